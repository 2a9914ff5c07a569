package contention

import (
	"cmp"
	"slices"
)

// HostPage is the page of one host.
type HostPage struct {
	Host string
	Page Page
}

// Missing is a host whose page could not be read, with the reason.
type Missing struct {
	Host  string `json:"host"`
	Error string `json:"error"`
}

// Fleet is the sum of the pages of hosts.
type Fleet struct {
	// Hosts is the number of pages, Missing the hosts without one. Sums are too low by what
	// these would report.
	Hosts   int       `json:"hosts"`
	Missing []Missing `json:"missing,omitempty"`
	// Totals is the sum of all requests; its key is empty.
	Totals Requests `json:"totals"`
	// Requests is sorted by the number of requests that wait or were refused, the greatest first.
	Requests []Requests `json:"requests,omitempty"`
	// Adapters is sorted by demand, the greatest first, and complete.
	Adapters  []Adapter        `json:"adapters,omitempty"`
	Evictions map[string]int64 `json:"evictions,omitempty"`
	// Runners is sorted by slowness, the slowest first.
	Runners []FleetRunner     `json:"runners,omitempty"`
	Slots   []FleetSlotLedger `json:"slots,omitempty"`
	// SlotTotals is the sum of all ledgers; its service is empty.
	SlotTotals SlotLedger `json:"slot_totals"`
}

// FleetRunner is a runner with the host that owns it.
type FleetRunner struct {
	Host string `json:"host"`
	Runner
	// Slowness is the prefill time per token relative to the median of all runners, times the
	// announced work time relative to the usual one; 1 where neither is known.
	Slowness float64 `json:"slowness"`
}

// FleetSlotLedger is a ledger with the host that keeps it.
type FleetSlotLedger struct {
	Host string `json:"host"`
	SlotLedger
}

// SlowThreshold is the slowness from which a runner counts as slow, as in package adapters.
const SlowThreshold = 1.2

// Slow reports whether work takes noticeably longer on the runner than on most.
func (r FleetRunner) Slow() bool { return r.Slowness >= SlowThreshold }

// Merge sums up the pages of hosts.
func Merge(pages []HostPage) Fleet {
	fleet := Fleet{Hosts: len(pages)}
	var requests []Requests
	adapters := map[string]Adapter{}
	for _, host := range pages {
		requests = append(requests, host.Page.Requests...)
		for _, adapter := range host.Page.Adapters {
			adapters[adapter.Adapter] = mergeAdapter(adapters[adapter.Adapter], adapter)
		}
		for reason, count := range host.Page.Evictions {
			if fleet.Evictions == nil {
				fleet.Evictions = map[string]int64{}
			}
			fleet.Evictions[reason] += count
		}
		for _, ledger := range host.Page.Slots {
			fleet.addLedger(host.Host, ledger)
		}
	}
	fleet.setRequests(requests)
	fleet.setAdapters(adapters)
	fleet.Runners = mergeRunners(pages)
	return fleet
}

func (f *Fleet) setRequests(requests []Requests) {
	f.Requests = sumByKey(requests)
	for _, one := range f.Requests {
		f.Totals.add(one)
	}
	slices.SortFunc(f.Requests, func(a, b Requests) int {
		return cmp.Or(cmp.Compare(b.Deferred+b.Refused, a.Deferred+a.Refused), a.RequestKey.compare(b.RequestKey))
	})
}

func (f *Fleet) setAdapters(byName map[string]Adapter) {
	for _, adapter := range byName {
		f.Adapters = append(f.Adapters, adapter)
	}
	slices.SortFunc(f.Adapters, func(a, b Adapter) int {
		return cmp.Or(cmp.Compare(b.PerS, a.PerS), cmp.Compare(a.Adapter, b.Adapter))
	})
}

// mergeAdapter adds the demand on another host's runners.
func mergeAdapter(sum, other Adapter) Adapter {
	replicas := slices.Concat(sum.Replicas, other.Replicas)
	slices.Sort(replicas)
	return Adapter{
		Adapter: other.Adapter, PerS: sum.PerS + other.PerS, RefusedPerS: sum.RefusedPerS + other.RefusedPerS,
		Replicas: slices.Compact(replicas), Planned: max(sum.Planned, other.Planned),
	}
}

func (f *Fleet) addLedger(host string, ledger SlotLedger) {
	f.Slots = append(f.Slots, FleetSlotLedger{Host: host, SlotLedger: ledger})
	total := &f.SlotTotals
	total.Slots += ledger.Slots
	total.Granted += ledger.Granted
	total.Queued += ledger.Queued
	total.LongestWaitMS = max(total.LongestWaitMS, ledger.LongestWaitMS)
	total.Grants += ledger.Grants
	total.Refused += ledger.Refused
	total.Expired += ledger.Expired
	total.Promoted += ledger.Promoted
	total.RefusedByRunner += ledger.RefusedByRunner
}

// mergeRunners lists the runners of all hosts. While a runner changes hands, two hosts may list it;
// the one with the later work time is kept.
func mergeRunners(pages []HostPage) []FleetRunner {
	byID := map[string]FleetRunner{}
	for _, host := range pages {
		for _, runner := range host.Page.Runners {
			known, listed := byID[runner.Runner]
			if !listed || later(runner, known.Runner) {
				byID[runner.Runner] = FleetRunner{Host: host.Host, Runner: runner}
			}
		}
	}
	typical := medianTokensPerMS(byID)
	runners := make([]FleetRunner, 0, len(byID))
	for _, runner := range byID {
		runner.Slowness = slowness(runner.Runner, typical)
		runners = append(runners, runner)
	}
	slices.SortFunc(runners, func(a, b FleetRunner) int {
		return cmp.Or(cmp.Compare(b.Slowness, a.Slowness), cmp.Compare(a.Runner.Runner, b.Runner.Runner))
	})
	return runners
}

// later reports whether a runner's work time was announced later than that of another report.
func later(a, b Runner) bool {
	return a.WorkPercent > 0 && (b.WorkPercent == 0 || a.WorkAgeMS < b.WorkAgeMS)
}

func medianTokensPerMS(runners map[string]FleetRunner) float64 {
	var speeds []float64
	for _, runner := range runners {
		if runner.TokensPerMS > 0 {
			speeds = append(speeds, runner.TokensPerMS)
		}
	}
	if len(speeds) == 0 {
		return 0
	}
	slices.Sort(speeds)
	return speeds[len(speeds)/2]
}

// usualPercent is the work time that a runner announces if work takes as long as usual.
const usualPercent = 100

func slowness(runner Runner, typical float64) float64 {
	slowness := 1.0
	if runner.TokensPerMS > 0 {
		slowness *= typical / runner.TokensPerMS
	}
	if runner.WorkPercent > 0 {
		slowness *= float64(runner.WorkPercent) / usualPercent
	}
	return slowness
}
