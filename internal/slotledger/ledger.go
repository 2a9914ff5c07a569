package slotledger

import (
	"slices"
	"sync"
	"time"
)

// Ledger holds the request slots of one service's runners. It is safe for concurrent use.
type Ledger struct {
	mu      sync.Mutex
	runners map[string]*runner
	grants  map[ID]*grant
	// queue holds the waiting requests in the order in which they get slots; waiting holds the
	// same requests by ID.
	queue   []*waiter
	waiting map[ID]*waiter
	// waitingSince is the start of the current period in which requests wait, zero if none does.
	waitingSince time.Time
	// nextExpiry is a lower bound on the earliest expiry of a grant.
	nextExpiry time.Time
	// prunedAt is when runners that are no longer named were last dropped.
	prunedAt time.Time
	arrivals uint64
	holds    holdTime
	shares   shares
	counts   Counts
}

type runner struct {
	id             string
	slots, granted int
	// queue is how many requests beyond its slots the runner is granted, at most maxQueue. It grows
	// by one at a time while requests wait, not before queueGrowsAt.
	queue, maxQueue int
	queueGrowsAt    time.Time
	growthInterval  time.Duration
	// refusalPause is for how long it counts as full after any refusal, 0 for the usual rule.
	refusalPause time.Duration
	// fullUntil is set while the runner counts as full because it refused a request.
	fullUntil time.Time
	namedAt   time.Time
}

func (r *runner) free(now time.Time) int {
	if now.Before(r.fullUntil) {
		return 0
	}
	return max(0, r.capacity()-r.granted)
}

// capacity returns how many requests the runner may be granted.
func (r *runner) capacity() int { return r.slots + r.queue }

// announce takes over what a request states of the runner.
func (r *runner) announce(stated Runner, now time.Time) {
	r.slots, r.maxQueue, r.namedAt = bounded(stated.Slots), bounded(stated.Queue), now
	r.queue = min(r.queue, r.maxQueue)
	r.refusalPause = stated.RefusalPause
}

func bounded(slots int) int { return min(max(0, slots), maxSlots) }

// growQueue lets a runner whose slots are all granted have one more request, if it is time.
func (r *runner) growQueue(now time.Time) {
	if r.queue >= r.maxQueue || r.granted < r.slots || now.Before(r.queueGrowsAt) {
		return
	}
	r.queue++
	r.queueGrowsAt = now.Add(r.growthInterval)
}

// refused records that the runner refused a granted request, after the end of its grant. beyond is
// set if the grant was beyond the runner's slots. Others may have ended since.
func (r *runner) refused(beyond bool, now time.Time) {
	if r.refusalPause > 0 {
		r.fullUntil = now.Add(r.refusalPause)
		return
	}
	if !beyond && r.granted < r.slots {
		r.fullUntil = now.Add(fullPeriod)
		return
	}
	r.queue = min(r.queue, max(0, r.granted-r.slots))
	r.growthInterval = min(2*r.growthInterval, maxGrowthInterval)
	r.queueGrowsAt = now.Add(r.growthInterval)
}

type grant struct {
	runner  *runner
	at      time.Time
	expires time.Time
	// beyondSlots is set if all slots of the runner were granted already.
	beyondSlots bool
}

// Counts counts a ledger's decisions since it began.
type Counts struct {
	Granted int64
	Refused int64
	// Promoted counts the requests that went first because the slots of their precedence fell
	// short of the least share.
	Promoted int64
	// Expired counts the grants that were not returned in time.
	Expired int64
	// RefusedByRunner counts the refusals of runners with a free slot by the ledger.
	RefusedByRunner int64
}

// Status is the state of a ledger for operators.
type Status struct {
	Counts
	Slots   int
	Running int
	Waiting int
	// LongestWait is how long the request waits that has waited longest, 0 if none waits.
	LongestWait time.Duration
	// MeanHold is the mean time for which a slot is held.
	MeanHold time.Duration
	// Full lists the runners that count as full because they refused a request.
	Full []string
}

// New returns a ledger without grants.
func New() *Ledger {
	return &Ledger{runners: map[string]*runner{}, grants: map[ID]*grant{}, waiting: map[ID]*waiter{}, holds: newHoldTime(), shares: newShares()}
}

// Acquire asks for a slot and returns the decision on the request, and the decisions on other
// requests that follow from it. A request that is asked for again keeps its place or its grant.
func (l *Ledger) Acquire(request Request, now time.Time) (Decision, []Decision) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expireGrants(now)
	l.pruneRunners(now)
	if held, ok := l.grants[request.ID]; ok {
		return Decision{ID: request.ID, Outcome: Granted, Runner: held.runner.id, Scarce: l.scarce(now)}, l.grantFree(now)
	}
	w, known := l.waiting[request.ID]
	if !known {
		w = l.enqueue(request, now)
	}
	w.attendedUntil = now.Add(attendance)
	decisions := l.grantFree(now)
	if !known && l.waiting[request.ID] == w {
		decisions = append(decisions, l.refuseNew(w, now)...)
	}
	return l.takeOwn(request.ID, decisions, now)
}

// refuseNew refuses a new request that cannot begin in time, or the last one if the queue is full.
func (l *Ledger) refuseNew(w *waiter, now time.Time) []Decision {
	if decision, refused := l.refusal(w, slices.Index(l.queue, w), l.rateBefore(w, now), now); refused {
		l.remove(w)
		return []Decision{decision}
	}
	if len(l.queue) <= maxWaiters {
		return nil
	}
	last := l.queue[len(l.queue)-1]
	decision, _ := l.refusal(last, maxWaiters, l.rateBefore(last, now), now)
	l.remove(last)
	return []Decision{decision}
}

// takeOwn separates the decision on one request from those on others. Without one, the request is
// still queued.
func (l *Ledger) takeOwn(id ID, decisions []Decision, now time.Time) (Decision, []Decision) {
	if at := slices.IndexFunc(decisions, func(d Decision) bool { return d.ID == id }); at >= 0 {
		own := decisions[at]
		return own, slices.Delete(decisions, at, at+1)
	}
	w := l.waiting[id]
	return Decision{ID: id, Outcome: Queued, Wait: l.expectedWait(w, slices.Index(l.queue, w), l.rateBefore(w, now), now)}, decisions
}

// Release ends grants and waits, and returns the decisions that follow. An unknown ID has no
// effect, so a release may be repeated.
func (l *Ledger) Release(releases []Release, now time.Time) []Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expireGrants(now)
	var decisions []Decision
	for _, release := range releases {
		if withdrawn, ok := l.release(release, now); ok {
			decisions = append(decisions, withdrawn)
		}
	}
	return append(decisions, l.grantFree(now)...)
}

func (l *Ledger) release(release Release, now time.Time) (Decision, bool) {
	if w, ok := l.waiting[release.ID]; ok {
		l.remove(w)
		return Decision{ID: release.ID, Outcome: Withdrawn}, true
	}
	held, ok := l.grants[release.ID]
	if !ok {
		return Decision{}, false
	}
	l.endGrant(release.ID, held)
	if release.Refused {
		held.runner.refused(held.beyondSlots, now)
		l.counts.RefusedByRunner++
	} else {
		l.holds.observe(now.Sub(held.at))
	}
	return Decision{}, false
}

func (l *Ledger) endGrant(id ID, held *grant) {
	delete(l.grants, id)
	held.runner.granted--
}

// Advance applies the passage of time: grants expire, and waiting requests are granted slots or
// refused. It returns the decisions that follow. While requests wait it has to be called at least
// every few tens of milliseconds.
func (l *Ledger) Advance(now time.Time) []Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expireGrants(now)
	decisions := l.dropUnattended(now)
	l.moveOverdue(now)
	l.growQueues(now)
	decisions = append(decisions, l.grantFree(now)...)
	return append(decisions, l.refuseHopeless(now)...)
}

// DropHolders ends the grants and waits of holders that are gone, and returns the decisions that
// follow.
func (l *Ledger) DropHolders(gone func(Holder) bool, now time.Time) []Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, held := range l.grants {
		if gone(id.Holder) {
			l.endGrant(id, held)
			l.counts.Expired++
		}
	}
	decisions := l.removeWhere(func(w *waiter, _ int) (Decision, bool) {
		return Decision{ID: w.request.ID, Outcome: Withdrawn}, gone(w.request.ID.Holder)
	})
	return append(decisions, l.grantFree(now)...)
}

// growQueues grants more beyond their slots to runners once requests have waited for a while
// without a pause.
func (l *Ledger) growQueues(now time.Time) {
	if len(l.queue) == 0 {
		l.waitingSince = time.Time{}
		return
	}
	if l.waitingSince.IsZero() {
		l.waitingSince = now
	}
	if now.Sub(l.waitingSince) < minGrowthInterval {
		return
	}
	for _, r := range l.runners {
		r.growQueue(now)
	}
}

// expireGrants ends the grants that were not returned in time.
func (l *Ledger) expireGrants(now time.Time) {
	if now.Before(l.nextExpiry) {
		return
	}
	l.nextExpiry = now.Add(maxLifetime)
	for id, held := range l.grants {
		if !now.Before(held.expires) {
			l.endGrant(id, held)
			l.counts.Expired++
			continue
		}
		if held.expires.Before(l.nextExpiry) {
			l.nextExpiry = held.expires
		}
	}
}

func (l *Ledger) pruneRunners(now time.Time) {
	if now.Sub(l.prunedAt) < runnerRetention {
		return
	}
	l.prunedAt = now
	for id, r := range l.runners {
		if r.granted == 0 && now.Sub(r.namedAt) >= runnerRetention {
			delete(l.runners, id)
		}
	}
}

// Waiting returns the number of waiting requests.
func (l *Ledger) Waiting() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.queue)
}

// Status returns the state of the ledger.
func (l *Ledger) Status(now time.Time) Status {
	l.mu.Lock()
	defer l.mu.Unlock()
	status := Status{Counts: l.counts, Running: len(l.grants), Waiting: len(l.queue), MeanHold: l.holds.mean()}
	for _, w := range l.queue {
		status.LongestWait = max(status.LongestWait, now.Sub(w.arrivedAt))
	}
	for _, r := range l.runners {
		status.Slots += r.slots
		if now.Before(r.fullUntil) {
			status.Full = append(status.Full, r.id)
		}
	}
	slices.Sort(status.Full)
	return status
}
