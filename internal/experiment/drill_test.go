package experiment

import (
	"bytes"
	"fmt"
	"math"
	"path/filepath"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// smallDrill loses a third of the engines of a small scenario.
func smallDrill(t *testing.T, scenario string) *Drill {
	t.Helper()
	cfg, err := Scenario(scenario)
	must.NoError(t, err)
	cfg.LengthS = 9
	drill, err := RunDrill(cfg, Product, 1.0/3)
	must.NoError(t, err)
	return drill
}

// Guards against a drill that shows no loss or compares different loads: with the same requests,
// losing engines costs answers in time and has adapters fetched again, and only in the run that
// loses them.
func TestDrillShowsTheCostOfLostRunners(t *testing.T) {
	drill := smallDrill(t, "kushiro")
	all, lost := drill.All.Whole, drill.Lost.Whole
	must.Eq(t, all.Asked, lost.Asked)
	must.Less(t, all.InTime, lost.InTime)
	must.Greater(t, all.Failed, lost.Failed, must.Sprint("streams on lost engines break off"))
	must.Greater(t, drill.All.Fetches, drill.Lost.Fetches)
	must.Greater(t, all.P99FirstMS, lost.P99FirstMS)
	for name, kind := range drill.All.Kinds {
		must.Eq(t, kind.Asked, drill.Lost.Kinds[name].Asked, must.Sprint(name))
		must.Greater(t, kind.MedianFirstMS, kind.P99FirstMS, must.Sprint(name))
	}
	must.Eq(t, drill.All.Fetches, drill.All.Kinds["plan"].Fetches+drill.All.Kinds["audit"].Fetches)
}

// Guards against a loss of engines that changes which adapters become popular, or how fast the other
// engines are, so that the two runs of a drill would differ in more than the loss.
func TestLossChangesNothingElse(t *testing.T) {
	cfg, err := Scenario("uneven-runners")
	must.NoError(t, err)
	cfg.LengthS = 6
	cfg.Shifts = []ShiftConfig{{AtS: 2.5, Count: 40}}
	var popularity [][]int
	var speeds [][]float64
	for _, share := range []float64{0, 0.5} {
		sim := newSimulation(cfg, Reference, &FaultConfig{AtS: 2, ForS: 1, Share: share})
		sim.schedule()
		sim.clock.run(sim.started.Add(seconds(4)))
		popularity = append(popularity, sim.popularity)
		byAddress := make([]float64, 0, len(sim.byAddress))
		for i := range cfg.Engines.Count {
			byAddress = append(byAddress, sim.byAddress[fmt.Sprintf("e%d:1", i)].speed)
		}
		speeds = append(speeds, byAddress)
	}
	must.Eq(t, popularity[0], popularity[1])
	must.Eq(t, speeds[0], speeds[1])
}

// Guards against figures that change from run to run, which could not be compared before and after
// a change.
func TestDrillIsReproducible(t *testing.T) {
	var first, second bytes.Buffer
	must.NoError(t, WriteDrills(&first, []*Drill{smallDrill(t, "kushiro")}))
	must.NoError(t, WriteDrills(&second, []*Drill{smallDrill(t, "kushiro")}))
	must.Eq(t, first.String(), second.String())
	must.StrContains(t, first.String(), "33% of the runners lost from 3.0 s to 6.0 s")
	must.StrContains(t, first.String(), "kind audit")
}

// Guards against a drill that loses nothing or everything because of a mistyped share.
func TestDrillRefusesWrongShares(t *testing.T) {
	for _, share := range []float64{0, 1, -0.1, 25, math.NaN(), math.Inf(1)} {
		_, err := RunDrill(Config{}, Product, share)
		must.ErrorContains(t, err, "is not between 0 and 1")
	}
}

// Guards against a drill whose two runs cannot be told apart in a plot, and a missing class of
// requests where the load has workspaces.
func TestDrillOfScenarioWithWorkspaces(t *testing.T) {
	cfg, err := Scenario("contention")
	must.NoError(t, err)
	cfg.LengthS = 1.5
	drill, err := RunDrill(cfg, Product, 0.25)
	must.NoError(t, err)
	must.MapLen(t, 16, drill.All.Workspaces)
	asked := 0
	for _, workspace := range drill.Lost.Workspaces {
		asked += workspace.Asked
	}
	must.Eq(t, drill.Lost.Whole.Asked, asked)
	must.Eq(t, 0, drill.All.LostRunners)
	must.Eq(t, 0.25, drill.Lost.LostRunners)
	must.NoError(t, Plot(filepath.Join(t.TempDir(), "drill.png"), []*Result{drill.All, drill.Lost}))
}

// Guards against a model that hides the load from the decisions: requests carry the precedence of
// their workspace, or of their route.
func TestRequestsCarryTheirPrecedence(t *testing.T) {
	cfg, err := Scenario("contention")
	must.NoError(t, err)
	must.True(t, cfg.ordersByPriority())
	urgent := 0
	q := request{kind: &KindConfig{Priority: 2}, workspace: &WorkspaceConfig{Priority: &urgent}}
	must.Eq(t, 0, q.precedence().Workspace)
	must.Eq(t, 2, q.precedence().Route)
	q.workspace = nil
	must.Eq(t, 2, q.precedence().Workspace)
	calm, err := Scenario("calm")
	must.NoError(t, err)
	must.False(t, newSimulation(calm, Product, nil).contended())
}

// Guards against engines that differ only on paper: their speeds span the configured ratio, slowed
// engines take longer for a step, and owners learn of it.
func TestEnginesDifferInSpeedAndSlowDown(t *testing.T) {
	cfg, err := Scenario("uneven-runners")
	must.NoError(t, err)
	cfg.LengthS = 4
	sim := newSimulation(cfg, Product, nil)
	slowest, fastest := math.Inf(1), 0.0
	for _, e := range sim.engines {
		slowest, fastest = min(slowest, e.speed), max(fastest, e.speed)
	}
	must.Between(t, 2, fastest/slowest, 2.4)
	e := sim.engines[0]
	usual := e.stepTime(nil, 0)
	e.work = 2
	must.Eq(t, 2*usual, e.stepTime(nil, 0))
	sim.schedule()
	sim.clock.run(sim.started.Add(seconds(cfg.LengthS)))
	slowed := 0
	for _, e := range sim.engines {
		if view := sim.ownerBoard.View(e.runner.ID, sim.clock.now); view.WorkPercent > usualPercent {
			slowed++
		}
	}
	must.Positive(t, slowed)
	must.Positive(t, sim.typicalPrefill())
}

// Guards against a demand that stays even although the scenario says that it swings, and against
// surges that are not there within the second.
func TestDemandSwingsAndSurges(t *testing.T) {
	demand := DemandConfig{Swing: 0.5, SwingS: 16}
	must.Eq(t, 1, demand.swingFactor(0))
	must.Eq(t, 1.5, demand.swingFactor(4*time.Second))
	must.Eq(t, 0.5, demand.swingFactor(12*time.Second))
	surge := SurgeConfig{AtS: 2, ForS: 5, RiseS: 1, Share: 0.2}
	must.Eq(t, 0, surge.shareAt(1900*time.Millisecond))
	must.Eq(t, 0.1, surge.shareAt(2500*time.Millisecond))
	must.Eq(t, 0.2, surge.shareAt(3*time.Second))
	must.Eq(t, 0, surge.shareAt(7*time.Second))
}
