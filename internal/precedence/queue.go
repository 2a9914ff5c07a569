package precedence

import (
	"time"

	"github.com/cherrystage/cherrystage/internal/site"
)

const (
	// beginWithin is the wait from which a request takes its turn instead of being
	// deferred. It covers the message to ask again, 3 ms and on small hosts 15, so that
	// the runner does not idle meanwhile. Requests that arrive later wait for it, which
	// is little against the 400 ms that streams have.
	beginWithin = 20 * time.Millisecond
	// farWait is the wait from which only farShare of it is waited before the request
	// asks again: those before it may leave.
	farWait  = 150 * time.Millisecond
	farShare = 0.8
	// maxAsks bounds how often a request is deferred on one runner. Each time it waits
	// at least twice as long as the time before, at first askShare of the time for which
	// it may be deferred, so that all of them take that time.
	maxAsks  = 8
	askShare = 1.0 / 63
	// maxPauseShare bounds how long a request waits until it asks again, as a share of
	// the time for which it is of use: if the owner is lost meanwhile, most of that
	// time is left for another runner.
	maxPauseShare = 0.25
	// overdueShare is the share of its time for which a request may be deferred. The
	// rest is left for the runners that its host tries next.
	overdueShare = 0.5
	// minSpareTime is the spare time below which a request is not deferred.
	minSpareTime = 100 * time.Millisecond
	// askGrace is how long after its time a request that has not asked again still
	// counts as waiting, entryTTL how long it is remembered.
	askGrace = 60 * time.Millisecond
	entryTTL = 2 * time.Second
	// maxDeferred bounds the deferred requests of one runner. At 41 ms each they take
	// longer than most callers wait.
	maxDeferred = 64
	// activeFor is how long after the last ranked request the order counts.
	activeFor = 10 * time.Second
)

// Ask is what a request says of itself when it asks for its turn.
type Ask struct {
	// Ticket identifies a request that was deferred before, 0 if it was not. Waited is
	// set if it was told to ask again, for its turn or for its adapter.
	Ticket uint64
	Waited bool
	// LastResort is set if no other runner takes the request.
	LastResort bool
	// Size is the length of the prompt in tokens. A ticket of another owner, for a prompt
	// of another length, is not taken for one of this.
	Size int
	// Ranked is false if its host knows no precedence.
	Ranked     bool
	Precedence site.Precedence
	// Cost is the time that the prefill takes at the runner's pace.
	Cost time.Duration
	// Slack is the time within which the prefill has to begin for the request to be on
	// time, Left the time within which it has to begin to be of use, and WaitLimit how
	// long the request may wait on this runner.
	Slack, Left, WaitLimit time.Duration
}

// Verdict is the decision on a request that asks for its turn.
type Verdict uint8

// Verdicts.
const (
	// Begin: it takes its turn.
	Begin Verdict = iota
	// Defer: it asks again after Pause, with Ticket.
	Defer
	// Refuse: its turn would come too late, after Wait.
	Refuse
)

// Decision is a verdict and what it is based on.
type Decision struct {
	Verdict Verdict
	Pause   time.Duration
	Ticket  uint64
	// Wait is how long the request is expected to wait for its turn.
	Wait time.Duration
	// Reason names the rule that decided.
	Reason string
}

// waiting is a deferred request.
type waiting struct {
	Prompt
	ranked bool
	size   int
	// lastResort is set if no other runner takes the request.
	lastResort bool
	askedAt    time.Time
	overdue    time.Time
	asks       int
	// nextAsk is when it asks again.
	nextAsk time.Time
}

// Queue is the queue for the prefill of one runner. It is not safe for concurrent use.
type Queue struct {
	Shares   Shares
	deferred map[uint64]*waiting
	last     uint64
	// rankedAt is when a ranked request asked last, ranked is false if none did.
	ranked   bool
	rankedAt time.Time
}

// NewQueue returns a queue without requests. Tickets are numbered from first on, which
// should differ from owner to owner.
func NewQueue(first uint64) *Queue { return &Queue{last: first, deferred: map[uint64]*waiting{}} }

// Asked counts a request that asks for admission.
func (q *Queue) Asked(ask Ask, now time.Time) {
	if ask.Ranked {
		q.ranked, q.rankedAt = true, now
	}
	if ask.Waited || !q.Active(now) {
		return
	}
	q.Shares.Asked(q.kindOf(ask, now), ask.LastResort, now)
}

// Active reports whether the order counts on the runner: a ranked request asked lately.
// Elsewhere all decisions are as without the order.
func (q *Queue) Active(now time.Time) bool { return q.ranked && now.Sub(q.rankedAt) < activeFor }

// PrecedenceOf returns the precedence of a request. One whose host knows none counts as
// having the lowest that was seen.
func (q *Queue) PrecedenceOf(ranked bool, p site.Precedence, now time.Time) site.Precedence {
	if ranked {
		return p
	}
	lowest, _ := q.Shares.Lowest(now)
	return lowest
}

func (q *Queue) kindOf(ask Ask, now time.Time) Kind {
	return KindOf(q.PrecedenceOf(ask.Ranked, ask.Precedence, now), ask.Size)
}

// Deferred returns the number of deferred requests that are expected to ask again.
func (q *Queue) Deferred(now time.Time) int {
	count := 0
	for _, w := range q.deferred {
		if w.waits(now) {
			count++
		}
	}
	return count
}

// waits reports whether a request is still expected to ask again.
func (w *waiting) waits(now time.Time) bool { return now.Sub(w.nextAsk) <= askGrace }

// Leave forgets a deferred request, and reports whether there was one.
func (q *Queue) Leave(ticket uint64) bool {
	_, there := q.deferred[ticket]
	delete(q.deferred, ticket)
	return there
}

// Recost updates the costs of the deferred prompts when the pace of the runner has changed. cost
// returns the time that the prefill of a prompt with a number of tokens takes.
func (q *Queue) Recost(cost func(tokens int) time.Duration) {
	for _, w := range q.deferred {
		w.Cost = cost(w.size)
	}
}

// expire forgets requests that did not ask again.
func (q *Queue) expire(now time.Time) {
	for ticket, w := range q.deferred {
		if now.Sub(w.nextAsk) > entryTTL || now.After(w.End) {
			delete(q.deferred, ticket)
		}
	}
}

// candidate returns the queue's entry of a request that asks, or a new one.
func (q *Queue) candidate(ask Ask, now time.Time) *waiting {
	w := q.deferred[ask.Ticket]
	if !ask.Ranked && ask.Waited {
		w = q.nextUnranked(ask.Size)
	}
	if w == nil || w.ranked != ask.Ranked || w.size != ask.Size {
		w = &waiting{ranked: ask.Ranked, size: ask.Size, askedAt: now, overdue: now.Add(max(ask.Slack, time.Duration(overdueShare*float64(ask.Left))))}
		w.Seq = q.last + 1
	}
	kind := q.kindOf(ask, now)
	w.Precedence = kind.Precedence
	w.Protected = w.Protected || q.Shares.Protected(kind)
	w.lastResort = ask.LastResort
	w.Cost, w.Due, w.End = ask.Cost, now.Add(ask.Slack), now.Add(ask.Left)
	w.Overdue = w.Protected && ask.Slack < 0
	return w
}

// waitOf returns how long a request waits for those that go before it. Those that ask
// again only after it can begin do not count: the runner would idle until they ask.
func (q *Queue) waitOf(w *waiting, prefill Prefill, now time.Time) time.Duration {
	prompts := make([]*Prompt, 0, len(q.deferred)+1)
	for _, other := range q.deferred {
		if other.Seq != w.Seq && other.waits(now) {
			prompts = append(prompts, &other.Prompt)
		}
	}
	if len(prompts) == 0 {
		return prefill.Wait(w.Cost, 0)
	}
	var before time.Duration
	for _, p := range Order(append(prompts, &w.Prompt), prefill, now) {
		if p.Seq == w.Seq {
			break
		}
		if q.deferred[p.Seq].nextAsk.Sub(now) <= prefill.Wait(p.Cost, before)+beginWithin {
			before += p.Cost
		}
	}
	return prefill.Wait(w.Cost, before)
}

// TooLate reports whether a request would wait for its turn for longer than it may, and
// how long that is.
//
// Requests of higher precedence that arrive meanwhile go before it as well. If they were
// not counted, requests of low precedence would be told to wait and be refused after
// half of their time, when other runners can help them no more.
func (q *Queue) TooLate(ask Ask, prefill Prefill, now time.Time) (time.Duration, bool) {
	q.expire(now)
	w := q.candidate(ask, now)
	wait := q.waitOf(w, prefill, now)
	if wait <= beginWithin {
		return wait, false
	}
	if w.Protected && prefill.Wait(w.Cost, 0) <= ask.WaitLimit {
		return wait, false
	}
	if !ask.Waited {
		wait = q.withHigher(w, wait, now)
	}
	return wait, wait > ask.WaitLimit
}

// withHigher adds to a wait the requests of higher precedence that are expected to
// arrive meanwhile.
func (q *Queue) withHigher(w *waiting, wait time.Duration, now time.Time) time.Duration {
	return time.Duration(float64(wait) / (1 - q.Shares.HigherWork(w.Precedence, now)))
}

// Turn decides whether a request takes its turn now.
//
// A request that takes its turn at once whenever it asks is served in the order of
// arrival, whatever time the others have. So a request takes its turn only when little
// is before it, and is told until then to ask again. The queue decides anew each time,
// so requests with less time go before it, but not for more than half of its time.
func (q *Queue) Turn(ask Ask, prefill Prefill, now time.Time) Decision {
	q.expire(now)
	w := q.candidate(ask, now)
	own := prefill.Wait(w.Cost, 0)
	wait := q.waitOf(w, prefill, now)
	switch {
	case wait <= beginWithin:
		return q.begin(w, own, "first", now)
	case len(q.deferred) >= maxDeferred && q.deferred[w.Seq] == nil:
		return q.withoutPlace(w, own, wait, ask, now)
	case wait > ask.Left && (!w.Protected || own > ask.Left):
		return Decision{Verdict: Refuse, Wait: wait, Reason: "backlog"}
	}
	if !now.Before(w.overdue) {
		if !w.Protected && q.withHigher(w, wait, now) > ask.Left {
			return Decision{Verdict: Refuse, Wait: wait, Reason: "backlog"}
		}
		w.Overdue = true
		wait = q.waitOf(w, prefill, now)
	}
	if wait <= beginWithin || w.asks >= maxAsks || ask.Left-wait < minSpareTime {
		return q.begin(w, own, "deferred long enough", now)
	}
	w.asks++
	pause := w.pause(wait, ask, now)
	w.nextAsk = now.Add(pause)
	q.deferred[w.Seq] = w
	q.last = max(q.last, w.Seq)
	return Decision{Verdict: Defer, Pause: pause, Ticket: w.Seq, Wait: wait, Reason: "others first"}
}

// withoutPlace decides on a request that would have to be deferred while as many are as
// may be: it takes its turn if it could be on time.
func (q *Queue) withoutPlace(w *waiting, own, wait time.Duration, ask Ask, now time.Time) Decision {
	if wait > ask.Slack {
		return Decision{Verdict: Refuse, Wait: wait, Reason: "queue full"}
	}
	return q.begin(w, own, "queue full", now)
}

// pause returns when a request asks again that is expected to wait for so long.
func (w *waiting) pause(wait time.Duration, ask Ask, now time.Time) time.Duration {
	pause := wait - beginWithin/2
	if wait > farWait {
		pause = time.Duration(farShare * float64(wait))
	}
	least := time.Duration(askShare * float64(w.overdue.Sub(w.askedAt)) * float64(int(1)<<(w.asks-1)))
	pause = min(max(pause, least), time.Duration(maxPauseShare*float64(ask.Left)))
	if until := w.overdue.Sub(now); until > 0 {
		pause = min(pause, until)
	}
	if ask.Slack > 0 {
		// While it can be on time, it asks whenever its turn is expected.
		pause = min(pause, wait-beginWithin/2)
	}
	return max(pause, beginWithin/2)
}

// begin counts a request that takes its turn.
func (q *Queue) begin(w *waiting, wait time.Duration, reason string, now time.Time) Decision {
	delete(q.deferred, w.Seq)
	q.Shares.Served(KindOf(w.Precedence, w.size), w.lastResort, w.Cost, now)
	return Decision{Verdict: Begin, Wait: wait, Reason: reason}
}

// nextUnranked returns, of the deferred requests with prompts of this length whose hosts
// know no precedence, the one that asks next, or nil. These hosts return no tickets. If
// two such requests are taken for each other, only the counts of their asks change places.
func (q *Queue) nextUnranked(size int) *waiting {
	var next *waiting
	for _, w := range q.deferred {
		if !w.ranked && w.size == size && (next == nil || w.nextAsk.Before(next.nextAsk) || w.nextAsk.Equal(next.nextAsk) && w.Seq < next.Seq) {
			next = w
		}
	}
	return next
}
