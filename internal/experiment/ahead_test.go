package experiment

import (
	"testing"

	"github.com/cherrystage/cherrystage/internal/adapters"
	"github.com/shoenig/test/must"
)

// surges runs the scenario in which adapters rise to a fifth of all requests within a second, at a
// multiple of its load.
func surges(t *testing.T, seed uint64, load float64, contended bool) *Result {
	t.Helper()
	r := runScenario(t, "surges", Product, func(cfg *Config) {
		cfg.Seed, cfg.Contended = seed, contended
		for i := range cfg.Kinds {
			cfg.Kinds[i].PerS *= load
		}
	})
	t.Logf("contended %v: of %d surging requests %d in time, %d late; %d fetches of surging adapters; %d replicas planned, %d loaded, %d refused",
		contended, r.Surging.Asked, r.Surging.InTime, r.Surging.Late, r.SurgingFetches, r.Planned, r.ReplicasLoaded, r.ReplicasRefused)
	return r
}

// An adapter's demand rises to a fifth of all requests within a second. With replicas loaded one
// after the other, each for a request that all others refused, a tenth to a quarter of these
// requests were late. Loaded ahead of demand, at most a third as many are late, and there are fewer
// late requests over all adapters. All fetches grow by a tenth at most.
func TestRisingDemandGetsItsReplicasInTime(t *testing.T) {
	for _, load := range []float64{1, 1.7} {
		for seed := range uint64(2) {
			without, with := surges(t, seed+1, load, false), surges(t, seed+1, load, true)
			must.Eq(t, without.Surging.Asked, with.Surging.Asked)
			lateWithout, lateWith := without.Surging.Asked-without.Surging.InTime, with.Surging.Asked-with.Surging.InTime
			must.LessEq(t, lateWithout/3, lateWith)
			must.Greater(t, without.Whole.InTime, with.Whole.InTime)
			must.Greater(t, without.Whole.Share(), with.Whole.Share())
			must.LessEq(t, without.Fetches*11/10, with.Fetches)
		}
	}
}

// Without contention nothing is planned and loaded ahead of demand: the whole course of a day is
// that of the current behaviour, down to each count.
func TestUncontendedDayIsUnchanged(t *testing.T) {
	for scenario, want := range map[string][6]int{
		"kushiro":    {1396, 210, 475, 60, 19, 4632},
		"few-places": {904, 78, 316, 55, 61, 5248},
	} {
		r := runScenario(t, scenario, Product, func(cfg *Config) { cfg.LengthS = 16 })
		must.Eq(t, want, [6]int{r.Whole.InTime, r.Whole.Late, r.Fetches, r.Copies, r.Reloads, r.Asks}, must.Sprint(scenario))
		must.Eq(t, 0, r.Planned+r.ReplicasLoaded+r.ReplicasRefused)
	}
}

// Guards against a model that plays half of the decisions under contention: wherever owners decide by
// demand and precedence, homes also have replicas loaded ahead.
func TestContendedScenariosHaveReplicasLoadedAhead(t *testing.T) {
	for _, scenario := range []string{"contention", "uneven-runners"} {
		r := runScenario(t, scenario, Product, func(cfg *Config) { cfg.LengthS = 4 })
		must.Positive(t, r.Planned, must.Sprint(scenario))
		must.Positive(t, r.ReplicasLoaded, must.Sprint(scenario))
	}
}

// Guards against deferred requests of the model that lose their place: they return the ticket of the
// last answer, as hosts do.
func TestDeferredRequestOfTheModelReturnsItsTicket(t *testing.T) {
	cfg, err := Scenario("contention")
	must.NoError(t, err)
	sim := newSimulation(cfg, Product, nil)
	now := sim.clock.now
	q := &request{sim: sim, kind: &cfg.Kinds[0], host: sim.hosts[0], begun: now, arrived: now, runners: sim.runners}
	q.admitted(sim.runners[0], adapters.AdmissionResult{At: now, AskAgain: true, Ticket: 7})
	sim.clock.run(now)
	must.Eq(t, 7, q.ticket)
}
