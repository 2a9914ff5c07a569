package experiment

import (
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cherrystage/cherrystage/internal/adapters"
)

// usualPercent is the work time in percent that an engine announces if work takes as long as usual.
const usualPercent = 100

// drawSpeed draws an engine's speed relative to the middle, evenly on a logarithmic scale.
func drawSpeed(draws *rand.Rand, spread float64) float64 {
	if spread <= 1 {
		return 1
	}
	return math.Pow(spread, draws.Float64()-0.5)
}

// addressHash distinguishes the random numbers of engines. An engine that starts again has the
// same speed as before.
func addressHash(address string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(address))
	return hash.Sum64()
}

// scheduleSlowdown schedules an engine's next slowdown.
func (sim *simulation) scheduleSlowdown(e *engine) {
	slow := sim.cfg.Engines.Slowdowns
	if slow.EveryS <= 0 {
		return
	}
	sim.clock.after(seconds(e.draws.ExpFloat64()*slow.EveryS), func() {
		if e.gone {
			return
		}
		e.work = 1 + e.draws.Float64()*(slow.Factor-1)
		sim.clock.after(millis(slow.ForMS), func() {
			e.work = 1
			sim.scheduleSlowdown(e)
		})
	})
}

// announceWork tells the runner's owner the engine's work time, as answers do.
func (e *engine) announceWork() {
	if e.cfg.Slowdowns.EveryS > 0 {
		e.sim.ownerBoard.RecordWork(e.runner.ID, int(math.Round(usualPercent*e.work)), e.sim.clock.now)
	}
}

// contended reports whether the deployment calls for scheduling under contention, as in package
// entry.
func (sim *simulation) contended() bool {
	return sim.cfg.Contended || sim.cfg.ordersByPriority() || sim.cfg.Engines.Slowdowns.EveryS > 0
}

// observePrefill tells a runner's owner the time to the first event of an answer. Where engines
// are alike there is nothing to learn from it.
func (sim *simulation) observePrefill(runner string, tokens int, first time.Duration) {
	if c := sim.controllers[runner]; c != nil && sim.cfg.Engines.uneven() {
		c.ObservePrefill(adapters.PrefillPerToken(tokens, first))
	}
}

// typicalPrefill returns the prefill time per token of most runners in nanoseconds, 0 while it is
// not known or if all runners are alike. Like the product's, it is the lower tercile.
func (sim *simulation) typicalPrefill() float64 {
	if !sim.cfg.Engines.uneven() {
		return 0
	}
	if sim.clock.now.Before(sim.typicalAt.Add(typicalInterval)) {
		return sim.typical
	}
	sim.typicalAt = sim.clock.now
	var times []float64
	for _, runner := range sim.runners {
		if c := sim.controllers[runner.ID]; c != nil && c.PrefillPerToken() > 0 {
			times = append(times, c.PrefillPerToken())
		}
	}
	if len(times) < minPrefillTimes {
		sim.typical = 0
		return 0
	}
	slices.Sort(times)
	sim.typical = times[len(times)/3]
	return sim.typical
}

const (
	// typicalInterval is the time between two exchanges of prefill times, a heartbeat.
	typicalInterval = time.Second
	// minPrefillTimes is the number of runners below which no typical time is known, as in
	// package entry.
	minPrefillTimes = 3
)
