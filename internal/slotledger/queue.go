package slotledger

import (
	"cmp"
	"slices"
	"time"
)

// waiter is a request that waits for a slot.
type waiter struct {
	request Request
	runners []*runner
	// promoted is set if the request goes before others of higher precedence.
	promoted bool
	// overdue is set once the request can no longer be answered by the time that it is due. It
	// then goes after the others of its precedence. Ordered by due time alone, all requests of a
	// precedence that gets a little less than it asks for are answered late.
	overdue bool
	// arrival orders requests that are equal otherwise.
	arrival   uint64
	arrivedAt time.Time
	// giveUpAt is the end of the time that the request can wait.
	giveUpAt time.Time
	// attendedUntil is when the request is dropped if its holder does not ask for it again.
	attendedUntil time.Time
}

// compare orders waiting requests; those that get slots first are smaller.
func (w *waiter) compare(other *waiter) int {
	return cmp.Or(
		-compareBool(w.promoted, other.promoted),
		w.request.Precedence.Compare(other.request.Precedence),
		compareBool(w.overdue, other.overdue),
		w.request.Due.Compare(other.request.Due),
		cmp.Compare(w.arrival, other.arrival),
	)
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// moveOverdue moves the requests that became overdue after the others of their precedence.
func (l *Ledger) moveOverdue(now time.Time) {
	changed := false
	latest := now.Add(overdueHolds * l.holds.mean())
	for _, w := range l.queue {
		if !w.overdue && w.request.Due.Before(latest) {
			w.overdue, changed = true, true
		}
	}
	if changed {
		slices.SortStableFunc(l.queue, (*waiter).compare)
	}
}

// enqueue adds a new request to the queue.
func (l *Ledger) enqueue(request Request, now time.Time) *waiter {
	l.arrivals++
	w := &waiter{
		request: request, runners: l.nameRunners(request.Runners, now), arrival: l.arrivals, arrivedAt: now, promoted: l.shares.fallsShort(request.Precedence, now),
		giveUpAt: now.Add(min(request.MaxWait, maxExpectedWait)), attendedUntil: now.Add(attendance),
	}
	w.request.Runners = nil
	l.shares.asked(request.Precedence, now)
	if w.promoted {
		l.counts.Promoted++
	}
	at, _ := slices.BinarySearchFunc(l.queue, w, (*waiter).compare)
	l.queue = slices.Insert(l.queue, at, w)
	l.waiting[request.ID] = w
	return w
}

// nameRunners takes over the slots that a request states for its runners, and returns the runners.
func (l *Ledger) nameRunners(named []Runner, now time.Time) []*runner {
	named = named[:min(len(named), maxCandidates)]
	found := make([]*runner, 0, len(named))
	for _, candidate := range named {
		r := l.runners[candidate.ID]
		if r == nil && len(l.runners) >= maxRunners {
			continue
		}
		if r == nil {
			r = &runner{id: candidate.ID, growthInterval: minGrowthInterval}
			l.runners[candidate.ID] = r
		}
		r.announce(candidate, now)
		found = append(found, r)
	}
	return found
}

func (l *Ledger) remove(w *waiter) {
	delete(l.waiting, w.request.ID)
	l.queue = slices.DeleteFunc(l.queue, func(other *waiter) bool { return other == w })
}

// removeWhere removes the waiting requests that decide decides on, given the number of others
// before each, and returns the decisions.
func (l *Ledger) removeWhere(decide func(w *waiter, ahead int) (Decision, bool)) []Decision {
	var decisions []Decision
	left := l.queue[:0]
	for _, w := range l.queue {
		decision, decided := decide(w, len(left))
		if !decided {
			left = append(left, w)
			continue
		}
		delete(l.waiting, w.request.ID)
		decisions = append(decisions, decision)
	}
	clear(l.queue[len(left):])
	l.queue = left
	return decisions
}

// grantFree grants the free slots to waiting requests in order.
func (l *Ledger) grantFree(now time.Time) []Decision {
	free, _ := l.freeSlots(now)
	if free == 0 || len(l.queue) == 0 {
		return nil
	}
	decisions := l.removeWhere(func(w *waiter, _ int) (Decision, bool) {
		if free == 0 {
			return Decision{}, false
		}
		r := mostFree(w.runners, now)
		if r == nil {
			return Decision{}, false
		}
		free--
		l.grant(w.request, r, now)
		return Decision{ID: w.request.ID, Outcome: Granted, Runner: r.id}, true
	})
	scarce := l.scarce(now)
	for i := range decisions {
		decisions[i].Scarce = scarce
	}
	return decisions
}

// refuseHopeless refuses the waiting requests that cannot begin in time. A request may become one
// after it was queued, when others of higher precedence arrive.
func (l *Ledger) refuseHopeless(now time.Time) []Decision {
	var last *waiter
	rateBefore := 0.0
	return l.removeWhere(func(w *waiter, ahead int) (Decision, bool) {
		if last == nil || last.promoted != w.promoted || last.overdue != w.overdue || last.request.Precedence != w.request.Precedence {
			rateBefore = l.rateBefore(w, now)
		}
		last = w
		return l.refusal(w, ahead, rateBefore, now)
	})
}

// rateBefore returns the rate of requests, per second, that go before a waiting request although
// they arrive later: those of higher precedence, and before an overdue one also those of its own.
func (l *Ledger) rateBefore(w *waiter, now time.Time) float64 {
	if w.promoted {
		return 0
	}
	return l.shares.rateBefore(w.request.Precedence, w.overdue, now)
}

// refusal returns the refusal of a waiting request with the given number of others before it, if
// it cannot begin in time.
func (l *Ledger) refusal(w *waiter, ahead int, rateBefore float64, now time.Time) (Decision, bool) {
	wait := l.expectedWait(w, ahead, rateBefore, now)
	if ahead < maxWaiters && !now.Add(wait).After(w.giveUpAt) {
		return Decision{}, false
	}
	l.counts.Refused++
	return Decision{ID: w.request.ID, Outcome: Refused, Wait: wait}, true
}

// dropUnattended drops the waiting requests that their holders do not ask for any more.
func (l *Ledger) dropUnattended(now time.Time) []Decision {
	return l.removeWhere(func(w *waiter, _ int) (Decision, bool) {
		return Decision{ID: w.request.ID, Outcome: Withdrawn}, !now.Before(w.attendedUntil)
	})
}

// mostFree returns the runner with the most free slots, nil if none has any. Ties go to the first.
func mostFree(candidates []*runner, now time.Time) *runner {
	var best *runner
	most := 0
	for _, r := range candidates {
		if free := r.free(now); free > most {
			best, most = r, free
		}
	}
	return best
}

func (l *Ledger) grant(request Request, r *runner, now time.Time) {
	lifetime := min(max(minLifetime, request.Lifetime), maxLifetime)
	held := &grant{runner: r, at: now, expires: now.Add(lifetime), beyondSlots: r.granted >= r.slots}
	l.grants[request.ID] = held
	r.granted++
	if held.expires.Before(l.nextExpiry) {
		l.nextExpiry = held.expires
	}
	l.shares.served(request.Precedence, now)
	l.counts.Granted++
}

// expectedWait returns the expected time until a waiting request with the given number of others
// before it gets a slot, at most maxExpectedWait. That many and one slot must be returned first, and
// rateBefore of the returned slots go to later requests of higher precedence.
func (l *Ledger) expectedWait(w *waiter, ahead int, rateBefore float64, now time.Time) time.Duration {
	slots := 0
	opensAt := now.Add(maxExpectedWait)
	for _, r := range w.runners {
		slots += r.capacity()
		if r.fullUntil.Before(opensAt) {
			opensAt = r.fullUntil
		}
	}
	returned := float64(slots) / max(l.holds.mean(), minHold).Seconds()
	rate := max(returned-rateBefore, returned*leastRate)
	if rate <= 0 {
		return maxExpectedWait
	}
	turn := min(float64(ahead+1)/rate, maxExpectedWait.Seconds())
	return min(max(0, opensAt.Sub(now))+time.Duration(turn*float64(time.Second)), maxExpectedWait)
}

// freeSlots returns the number of free slots and of all slots.
func (l *Ledger) freeSlots(now time.Time) (free, slots int) {
	for _, r := range l.runners {
		free += r.free(now)
		slots += r.capacity()
	}
	return free, slots
}

// scarce reports whether slots should be returned without delay.
func (l *Ledger) scarce(now time.Time) bool {
	free, slots := l.freeSlots(now)
	return len(l.queue) > 0 || free*scarceDivisor <= slots
}
