package experiment

import (
	"math"
	"slices"
	"time"

	"github.com/cherrystage/cherrystage/internal/fleet"
	"github.com/cherrystage/cherrystage/internal/site"
)

// Timing of the product's handling of failed paths, as in packages reach, entry and mesh.
const (
	// probeInterval is the interval of probes of failing paths.
	probeInterval = 250 * time.Millisecond
	// cutNoticed is how long after a cut an owner notices that it reaches none of its runners.
	cutNoticed = 700 * time.Millisecond
	// handoverTime is how long after that other hosts order the runners: the order gap, its
	// margin, and the time in which they learn of it and claim them.
	handoverTime = 3500 * time.Millisecond
	// cutSettle is how long after the beginning of a cut its effect may show.
	cutSettle = 3 * time.Second
)

// CutConfig cuts a share of the hosts off from all runners for a time. Callers and the other hosts
// still reach them. Open connections drop all data, and new ones cannot be made.
type CutConfig struct {
	AtS   float64 `toml:"at_s"`
	ForS  float64 `toml:"for_s"`
	Share float64 `toml:"share"`
	// WithoutRelays lets the hosts connect to runners directly only.
	WithoutRelays bool `toml:"without_relays"`
}

// FirstTries counts callers' first tries.
type FirstTries struct {
	Asked  int `json:"asked"`
	Served int `json:"served"`
}

// Share returns the share of first tries that were served.
func (f FirstTries) Share() float64 { return float64(f.Served) / float64(max(1, f.Asked)) }

// cut is a cut that is in progress.
type cut struct {
	CutConfig
	began time.Time
}

// cutHosts cuts hosts off, and heals the cut after its time.
func (sim *simulation) cutHosts(config CutConfig) {
	hosts := slices.Clone(sim.hosts)
	sim.faults.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	count := min(len(hosts), max(1, int(math.Round(config.Share*float64(len(hosts))))))
	sim.cut = &cut{CutConfig: config, began: sim.clock.now}
	for _, h := range hosts[:count] {
		h.cutOff, h.cuts = true, h.cuts+1
		sim.probePaths(h, h.cuts)
	}
	sim.clock.after(seconds(config.ForS), func() {
		for _, h := range hosts[:count] {
			h.cutOff = false
		}
		sim.cut = nil
	})
}

// probePaths probes the failing paths of a host until all work again.
func (sim *simulation) probePaths(h *host, number int) {
	sim.clock.after(probeInterval, func() {
		if h.cuts != number {
			return
		}
		if h.cutOff {
			sim.probePaths(h, number)
			return
		}
		for _, address := range h.paths.Failing() {
			h.paths.DirectWorked(address, sim.clock.now)
		}
	})
}

// path returns the one-way latency from a host to a runner by the path that the host takes, and the
// time until it has a connection. reached is false if it gets none.
func (sim *simulation) path(h *host, runner *site.Runner) (latency, setUp time.Duration, reached bool) {
	direct := sim.latency(h.centre, runner.DataCentre)
	if !h.cutOff && h.paths.Direct(runner.Address) {
		return direct, 0, true
	}
	if h.paths.Direct(runner.Address) {
		setUp = h.paths.ConnectTimeout()
		sim.directFailed(h, runner.Address)
	}
	relay := sim.relayFor(h, runner)
	if relay == nil || !h.paths.MayRelay(runner.Address, sim.clock.now) {
		h.paths.RelayFailed(runner.Address, sim.clock.now)
		return 0, setUp, false
	}
	h.paths.RelayWorked(runner.Address, relay.name, sim.clock.now)
	hop, rest := sim.latency(h.centre, relay.centre), sim.latency(relay.centre, runner.DataCentre)
	return hop + rest, setUp + 2*hop + 2*rest, true
}

// directFailed records a failed connection of a host that is cut off. While it is in doubt whether
// the host reaches any runner, others are probed.
func (sim *simulation) directFailed(h *host, address string) {
	h.paths.DirectFailed(address, len(sim.runners), false, sim.clock.now)
	if !h.paths.InDoubt() {
		return
	}
	sim.clock.after(h.paths.ConnectTimeout(), func() {
		for _, runner := range sim.runners {
			if h.cutOff && h.paths.InDoubt() && !h.paths.Fails(runner.Address) {
				h.paths.DirectFailed(runner.Address, len(sim.runners), true, sim.clock.now)
			}
		}
	})
}

// relayFor returns the host through which a host connects to a runner, or nil if none reaches it.
func (sim *simulation) relayFor(h *host, runner *site.Runner) *host {
	if sim.cut != nil && sim.cut.WithoutRelays {
		return nil
	}
	for _, centre := range []string{runner.DataCentre, h.centre, ""} {
		var names []string
		for _, other := range sim.hosts {
			if !other.cutOff && (centre == "" || other.centre == centre) {
				names = append(names, other.name)
			}
		}
		if first := fleet.First(runner.Address+" "+h.name, names); first != "" {
			return sim.hosts[slices.IndexFunc(sim.hosts, func(other *host) bool { return other.name == first })]
		}
	}
	return nil
}

// ownerReaches reports whether the runner at an address gets orders: its owner is not cut off, or
// another host has taken it over.
func (sim *simulation) ownerReaches(address string) bool {
	if sim.cut == nil {
		return true
	}
	owner := sim.hosts[slices.IndexFunc(sim.hosts, func(h *host) bool { return h.name == sim.ownerName(address) })]
	passed := sim.clock.now.Sub(sim.cut.began)
	if !owner.cutOff || passed < cutNoticed {
		return true
	}
	others := slices.ContainsFunc(sim.hosts, func(h *host) bool { return !h.cutOff })
	return others && !sim.cut.WithoutRelays && passed >= cutNoticed+handoverTime
}

// ownerName returns the owner of the runner at an address while no host is cut off.
func (sim *simulation) ownerName(address string) string {
	centre := sim.byAddress[address].runner.DataCentre
	var near []string
	for _, h := range sim.hosts {
		if h.centre == centre {
			near = append(near, h.name)
		}
	}
	return fleet.First(address, near)
}

// firstTries returns where a request counts: at the hosts that are cut off, or at the others, or
// nowhere if no cut has lasted for long enough.
func (sim *simulation) firstTries(h *host) *FirstTries {
	switch {
	case sim.cut == nil || sim.clock.now.Sub(sim.cut.began) < cutSettle:
		return nil
	case h.cutOff:
		return &sim.result.CutOff
	default:
		return &sim.result.NotCutOff
	}
}
