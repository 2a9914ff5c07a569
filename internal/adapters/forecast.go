package adapters

import (
	"slices"
	"time"

	"github.com/cherrystage/cherrystage/internal/site"
)

// Run is one request's use of an adapter.
type Run struct {
	// At is when it is sent.
	At time.Time
	// Likely is how long it will run at the usual pace, Longest how long at most.
	Likely, Longest time.Duration
}

const (
	// usualToken is what a token of an answer takes while its runner reads prompts
	// for half of the time: twice a step of 7 ms. It is a start; each runner's pace
	// is learnt from when answers end.
	usualToken = 15 * time.Millisecond
	// paceWeight is the weight of the newest answer in a runner's pace. Callers'
	// estimates are right in the middle only, so one answer tells little.
	paceWeight = 0.05
	// leastPace and mostPace bound what one answer may say of the pace.
	leastPace = 0.1
	mostPace  = 4
	// overdue is how much longer an answer is thought to run that should have ended:
	// half of the interval at which hosts tell of ended requests.
	overdue = 100 * time.Millisecond
)

// Begin notes a request that is sent to an adapter.
func (s *Slots) Begin(adapter site.Adapter, run Run) {
	p := s.places[adapter]
	if p == nil {
		return
	}
	p.users++
	p.last = run
	p.likelyUntil = later(p.likelyUntil, run.At.Add(time.Duration(s.pace*float64(run.Likely))))
	p.busyUntil = later(p.busyUntil, run.At.Add(run.Longest))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// End notes that requests for an adapter have ended. From one that ran alone the
// runner's pace is learnt.
func (s *Slots) End(adapter site.Adapter, requests int, now time.Time) {
	p := s.places[adapter]
	if p == nil {
		return
	}
	if p.users == 1 && requests == 1 && p.last.Likely > 0 {
		ratio := float64(now.Sub(p.last.At)) / float64(p.last.Likely)
		s.pace += paceWeight * (min(mostPace, max(leastPace, ratio)) - s.pace)
	}
	p.users = max(0, p.users-requests)
}

// PlaceAt gives when so many places will most likely be free, and false where fewer
// than that can come free.
func (s *Slots) PlaceAt(places int, now time.Time) (time.Time, bool) {
	places -= s.Free()
	if places <= 0 {
		return now, true
	}
	var ends []time.Time
	for _, p := range s.places {
		if p.phase == resident {
			ends = append(ends, p.freeAt(now))
		}
	}
	if len(ends) < places {
		return time.Time{}, false
	}
	slices.SortFunc(ends, time.Time.Compare)
	return ends[places-1], true
}

// freeAt gives when a resident adapter may most likely make way.
func (p *place) freeAt(now time.Time) time.Time {
	stay := later(now, p.readyAt.Add(leastStay))
	if p.users == 0 {
		return stay
	}
	if p.likelyUntil.Before(now) {
		return later(stay, now.Add(overdue))
	}
	return later(stay, p.likelyUntil)
}
