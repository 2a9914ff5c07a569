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
	slot := s.entries[adapter]
	if slot == nil {
		return
	}
	slot.requests++
	slot.lastRun = run
	slot.expectedEnd = laterOf(slot.expectedEnd, run.SentAt.Add(time.Duration(s.runtimeFactor*float64(run.Expected))))
	slot.latestEnd = laterOf(slot.latestEnd, run.SentAt.Add(run.Max))
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// EndRuns records that requests for an adapter have ended. The runtime factor learns
// from a request that was the only one for the adapter.
func (s *AdapterSlots) EndRuns(adapter site.Adapter, requests int, now time.Time) {
	slot := s.entries[adapter]
	if slot == nil {
		return
	}
	if slot.requests == 1 && requests == 1 && slot.lastRun.Expected > 0 {
		ratio := float64(now.Sub(slot.lastRun.SentAt)) / float64(slot.lastRun.Expected)
		s.runtimeFactor += runtimeWeight * (min(maxRuntimeFactor, max(minRuntimeFactor, ratio)) - s.runtimeFactor)
	}
	slot.requests = max(0, slot.requests-requests)
}

// SlotsFreeAt returns when count slots are expected to be free, or false if the free
// slots and the resident adapters are fewer than that.
func (s *AdapterSlots) SlotsFreeAt(count int, now time.Time) (time.Time, bool) {
	count -= s.Free()
	if count <= 0 {
		return now, true
	}
	var ends []time.Time
	for _, slot := range s.entries {
		if slot.phase == resident {
			ends = append(ends, slot.freeAt(now))
		}
	}
	if len(ends) < count {
		return time.Time{}, false
	}
	slices.SortFunc(ends, time.Time.Compare)
	return ends[count-1], true
}

// freeAt returns when a resident adapter is expected to be evictable.
func (slot *adapterSlot) freeAt(now time.Time) time.Time {
	stay := laterOf(laterOf(now, slot.deferredUntil), slot.readyAt.Add(minResidence))
	if slot.requests == 0 {
		return stay
	}
	if slot.expectedEnd.Before(now) {
		return laterOf(stay, now.Add(overdueExtension))
	}
	return laterOf(stay, slot.expectedEnd)
}
