package experiment

import (
	"time"

	"github.com/pkg/errors"
)

// StallKind says what stands still.
type StallKind string

// The kinds of stalls.
const (
	// StallBusiest silences the runner with most requests.
	StallBusiest StallKind = "busiest-runner"
	// StallRunners silences all runners at once, StallInTurn one after the other within EveryS.
	StallRunners StallKind = "all-runners"
	StallInTurn  StallKind = "runners-in-turn"
	// StallHosts suspends one host after the other, a host each time.
	StallHosts StallKind = "hosts-in-turn"
	// StallDark silences the runner with most requests for good. Its entry is removed later.
	StallDark StallKind = "dark-runner"
	// StallFirst delays the first event of each request that a runner gets meanwhile by DelayS.
	StallFirst StallKind = "slow-first-events"
)

// StallConfig has runners or hosts stand still for a time, in a series. Nothing breaks off: what
// stood still goes on where it was, except a dark runner.
type StallConfig struct {
	What StallKind `toml:"what"`
	AtS  float64   `toml:"at_s"`
	ForS float64   `toml:"for_s"`
	// Times and EveryS describe the series; without Times there is one stall.
	Times  int     `toml:"times"`
	EveryS float64 `toml:"every_s"`
	DelayS float64 `toml:"delay_s"`
}

const (
	// entryRemoved is the time from the end of a runner until its entry is removed: three
	// heartbeats.
	entryRemoved = 3600 * time.Millisecond
	// wakeReads is the time from a host's waking until it reads what waits in its sockets, after
	// its expired timers.
	wakeReads = time.Millisecond
)

func (c StallConfig) check() error {
	switch c.What {
	case StallBusiest, StallRunners, StallHosts, StallDark, StallFirst:
	case StallInTurn:
		if c.EveryS <= 0 {
			return errors.New("stalls: runners-in-turn lacks every_s")
		}
	default:
		return errors.Errorf("stalls: unknown what %q", c.What)
	}
	if c.What != StallDark && c.ForS <= 0 {
		return errors.Errorf("stalls: %s lacks for_s", c.What)
	}
	if c.Times > 1 && c.EveryS <= 0 {
		return errors.Errorf("stalls: a series of %s lacks every_s", c.What)
	}
	return nil
}

// scheduleStalls schedules a series of stalls.
func (sim *simulation) scheduleStalls(config StallConfig) {
	for i := range max(1, config.Times) {
		at := sim.started.Add(seconds(config.AtS + float64(i)*config.EveryS))
		sim.clock.at(at, func() { sim.stall(config, i) })
	}
}

// stall begins the stall of a series with the given number.
func (sim *simulation) stall(config StallConfig, number int) {
	switch config.What {
	case StallBusiest:
		sim.stallEngine(sim.busiestEngine(), config.ForS)
	case StallRunners:
		for _, e := range sim.engines {
			sim.stallEngine(e, config.ForS)
		}
	case StallInTurn:
		for i, e := range sim.engines {
			offset := config.EveryS * float64(i) / float64(len(sim.engines))
			sim.clock.after(seconds(offset), func() { sim.stallEngine(e, config.ForS) })
		}
	case StallHosts:
		h := sim.hosts[number%len(sim.hosts)]
		h.stalledUntil = sim.clock.now.Add(seconds(config.ForS))
	case StallDark:
		sim.darkenEngine(sim.busiestEngine())
	case StallFirst:
		sim.firstDelay = seconds(config.DelayS)
		sim.clock.after(seconds(config.ForS), func() { sim.firstDelay = 0 })
	}
}

func (sim *simulation) stallEngine(e *engine, forS float64) {
	if e.gone {
		return
	}
	e.silent = true
	sim.clock.after(seconds(forS), func() {
		e.silent = false
		e.startStep()
	})
}

// darkenEngine ends an engine that tells nobody: its connections stay open.
func (sim *simulation) darkenEngine(e *engine) {
	e.silent = true
	sim.clock.after(entryRemoved, func() {
		e.gone = true
		sim.removeInstance(e.runner.ID)
		sim.listRunners()
	})
}

// busiestEngine returns the present engine that runs most requests.
func (sim *simulation) busiestEngine() *engine {
	var busiest *engine
	for _, e := range sim.engines {
		if !e.gone && (busiest == nil || len(e.running) > len(busiest.running)) {
			busiest = e
		}
	}
	return busiest
}

// timer runs an action of a host after a duration, or when the host is awake again.
func (h *host) timer(c *clock, wait time.Duration, action func()) {
	c.after(wait, func() { c.at(h.stalledUntil, action) })
}

// receive runs an action of a host on data that arrives after a duration, or when the host is
// awake again and its expired timers have run.
func (h *host) receive(c *clock, delay time.Duration, action func()) {
	c.after(delay, func() {
		if !h.stalledUntil.After(c.now) {
			action()
			return
		}
		c.at(h.stalledUntil.Add(wakeReads), action)
	})
}
