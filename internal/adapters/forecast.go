package adapters

import (
	"slices"
	"time"

	"github.com/cherrystage/cherrystage/internal/site"
)

// Run is one request's use of an adapter.
type Run struct {
	// SentAt is when it is sent.
	SentAt time.Time
	// Expected is how long it will run at the usual pace, Max how long at most.
	Expected, Max time.Duration
}

const (
	// typicalTokenTime is what a token of an answer takes while its runner reads prompts
	// for half of the time: twice a step of 7 ms. It is a start; each runner's pace
	// is learnt from when answers end.
	typicalTokenTime = 15 * time.Millisecond
	// runtimeWeight is the weight of the newest answer in a runner's pace. Callers'
	// estimates are right in the middle only, so one answer tells little.
	runtimeWeight = 0.05
	// minRuntimeFactor and mostPace bound what one answer may say of the pace.
	minRuntimeFactor = 0.1
	maxRuntimeFactor = 4
	// overdueExtension is how much longer an answer is thought to run that should have ended:
	// half of the interval at which hosts tell of ended requests.
	overdueExtension = 100 * time.Millisecond
)

// BeginRun notes a request that is sent to an adapter.
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

// EndRuns notes that requests for an adapter have ended. From one that ran alone the
// runner's pace is learnt.
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

// SlotsFreeAt gives when so many places will most likely be free, and false where fewer
// than that can come free.
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

// freeAt gives when a resident adapter may most likely make way.
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
