package adapters

import (
	"slices"
	"time"

	"github.com/cherrystage/cherrystage/internal/site"
)

// Run is the use of an adapter by one request.
type Run struct {
	// SentAt is when the request is sent.
	SentAt time.Time
	// Expected is how long the request runs at the usual speed, Max the longest that
	// it can run.
	Expected, Max time.Duration
}

const (
	// typicalTokenTime is the initial estimate of the time per output token on a
	// runner that spends half of its time on prefill: twice a step of 7 ms. The
	// actual speed of each runner is learned from when requests end.
	typicalTokenTime = 15 * time.Millisecond
	// runtimeWeight is the weight of the newest request in the runtime factor.
	// Callers' length estimates are right only on average, so a single request tells
	// little.
	runtimeWeight = 0.05
	// minRuntimeFactor and maxRuntimeFactor limit the influence of one request.
	minRuntimeFactor = 0.1
	maxRuntimeFactor = 4
	// overdueExtension is how much longer a request is expected to run that should
	// have ended already: half of the interval at which hosts report ended requests.
	overdueExtension = 100 * time.Millisecond
)

// BeginRun records a request that is sent to an adapter.
func (s *AdapterSlots) BeginRun(adapter site.Adapter, run Run) {
	p := s.entries[adapter]
	if p == nil {
		return
	}
	p.requests++
	p.lastRun = run
	p.expectedEnd = laterOf(p.expectedEnd, run.SentAt.Add(time.Duration(s.runtimeFactor*float64(run.Expected))))
	p.latestEnd = laterOf(p.latestEnd, run.SentAt.Add(run.Max))
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// EndRuns records that requests for an adapter have ended. If it was a single request
// without others beside it, the runtime factor learns from it.
func (s *AdapterSlots) EndRuns(adapter site.Adapter, requests int, now time.Time) {
	p := s.entries[adapter]
	if p == nil {
		return
	}
	if p.requests == 1 && requests == 1 && p.lastRun.Expected > 0 {
		ratio := float64(now.Sub(p.lastRun.SentAt)) / float64(p.lastRun.Expected)
		s.runtimeFactor += runtimeWeight * (min(maxRuntimeFactor, max(minRuntimeFactor, ratio)) - s.runtimeFactor)
	}
	p.requests = max(0, p.requests-requests)
}

// SlotsFreeAt returns when count slots are expected to be free, or false if fewer can
// become free.
func (s *AdapterSlots) SlotsFreeAt(count int, now time.Time) (time.Time, bool) {
	count -= s.Free()
	if count <= 0 {
		return now, true
	}
	var ends []time.Time
	for _, p := range s.entries {
		if p.phase == resident {
			ends = append(ends, p.freeAt(now))
		}
	}
	if len(ends) < count {
		return time.Time{}, false
	}
	slices.SortFunc(ends, time.Time.Compare)
	return ends[count-1], true
}

// freeAt returns when a resident adapter is expected to be evictable.
func (p *adapterSlot) freeAt(now time.Time) time.Time {
	stay := laterOf(now, p.readyAt.Add(minResidence))
	if p.requests == 0 {
		return stay
	}
	if p.expectedEnd.Before(now) {
		return laterOf(stay, now.Add(overdueExtension))
	}
	return laterOf(stay, p.expectedEnd)
}
