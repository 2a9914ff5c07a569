package loading

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Class is the reason for a load.
type Class string

// Classes of loads; waiting callers are served before prefetches.
const (
	ClassWaiting  Class = "waiting"
	ClassPrefetch Class = "foreseen"
)

// Request asks for a load of a model on a runner.
type Request struct {
	Runner   string    `json:"runner"`
	Model    string    `json:"model"`
	Class    Class     `json:"class"`
	Priority int       `json:"priority"`
	Since    time.Time `json:"since"`
	// Waiters is the number of requests waiting for the load.
	Waiters int `json:"waiters,omitempty"`
	// Value orders prefetches: the expected uses in the next minute.
	Value float64 `json:"value,omitempty"`
}

// Compare orders requests: waiting callers first, by priority and then by their
// total waiting time; then prefetches, by value. A load with many waiters ends
// more waiting, and a lone waiter is still served in the end, since time counts
// as much as the number of waiters.
func Compare(a, b Request, now time.Time) int {
	if a.Class != b.Class {
		if a.Class == ClassWaiting {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(b.Priority, a.Priority), cmp.Compare(b.Value, a.Value),
		cmp.Compare(b.totalWait(now), a.totalWait(now)), a.Since.Compare(b.Since), cmp.Compare(a.Model, b.Model))
}

// minWait lets the number of waiters count from the first moment on.
const minWait = 100 * time.Millisecond

// totalWait approximates the summed waiting time of all waiters.
func (r Request) totalWait(now time.Time) time.Duration {
	return (now.Sub(r.Since) + minWait) * time.Duration(max(1, r.Waiters))
}

// Queue orders loads and grants permits for them. It is safe for concurrent
// use.
type Queue struct {
	parallel  int
	allowance *Allowance

	mu           sync.Mutex
	lastTicket   uint64
	waiting      map[uint64]Request
	active       map[uint64]time.Time
	failing      map[string]failureState
	meanLoadTime time.Duration
	changed      chan struct{}
}

// failureState counts the consecutive failed loads of a model.
type failureState struct {
	failures     int
	backoffUntil time.Time
}

const (
	firstBackoff = 2 * time.Second
	maxBackoff   = 10 * time.Minute
	// failuresBeforeBackoff is the number of failures that are retried
	// elsewhere at once.
	failuresBeforeBackoff = 2
	// meanSmoothing is the smoothing divisor of the mean load time.
	meanSmoothing = 8
)

// NewQueue returns a queue over an allowance. defaultLoadTime is the assumed
// duration of a load until one has been measured.
func NewQueue(parallel int, allowance *Allowance, defaultLoadTime time.Duration) *Queue {
	return &Queue{
		parallel:     parallel,
		allowance:    allowance,
		waiting:      map[uint64]Request{},
		active:       map[uint64]time.Time{},
		failing:      map[string]failureState{},
		meanLoadTime: defaultLoadTime,
		changed:      make(chan struct{}),
	}
}

// Enqueue adds a request and returns its ticket.
func (q *Queue) Enqueue(request Request) uint64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.lastTicket++
	q.waiting[q.lastTicket] = request
	return q.lastTicket
}

// Remove removes a waiting request or releases a granted permit.
func (q *Queue) Remove(ticket uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.waiting, ticket)
	delete(q.active, ticket)
	q.notifyLocked()
}

// notifyLocked wakes the tickets that wait for a permit.
func (q *Queue) notifyLocked() {
	close(q.changed)
	q.changed = make(chan struct{})
}

// Changed returns a channel that is closed when a permit may have become
// available.
func (q *Queue) Changed() <-chan struct{} {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.changed
}

// TryPermit grants the ticket a permit if it is first in the queue and the
// allowance has a load left. The permit ends with Done or Remove, or expires
// after ttl.
func (q *Queue) TryPermit(ticket uint64, now time.Time, ttl time.Duration) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	for other, expiry := range q.active {
		if !now.Before(expiry) {
			delete(q.active, other)
		}
	}
	if _, ok := q.waiting[ticket]; !ok || len(q.active) >= q.parallel || q.firstLocked(now) != ticket {
		return false
	}
	if !q.allowance.TryTake(now) {
		return false
	}
	delete(q.waiting, ticket)
	q.active[ticket] = now.Add(ttl)
	return true
}

// firstLocked returns the ticket that is first in the queue. Requests for
// models in backoff are skipped.
func (q *Queue) firstLocked(now time.Time) uint64 {
	var best uint64
	for ticket, request := range q.waiting {
		if q.backoffLocked(request.Model, now) > 0 {
			continue
		}
		if best == 0 {
			best = ticket
			continue
		}
		order := Compare(request, q.waiting[best], now)
		if order < 0 || (order == 0 && ticket < best) {
			best = ticket
		}
	}
	return best
}

// Done releases a permit and records the result of the load. A model that keeps
// failing backs off exponentially, so that broken weights do not use up the
// allowance.
func (q *Queue) Done(ticket uint64, model string, ok bool, took time.Duration, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.active, ticket)
	q.notifyLocked()
	if ok {
		delete(q.failing, model)
		q.meanLoadTime += (took - q.meanLoadTime) / meanSmoothing
		return
	}
	state := q.failing[model]
	state.failures++
	if state.failures > failuresBeforeBackoff {
		backoff := firstBackoff << min(state.failures-failuresBeforeBackoff-1, 10)
		state.backoffUntil = now.Add(min(backoff, maxBackoff))
	}
	q.failing[model] = state
}

// Backoff returns the remaining backoff of a model's loads, or zero.
func (q *Queue) Backoff(model string, now time.Time) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.backoffLocked(model, now)
}

func (q *Queue) backoffLocked(model string, now time.Time) time.Duration {
	return max(0, q.failing[model].backoffUntil.Sub(now))
}

// ExpectedLoadTime returns the estimated time until a load requested now would
// be done, with waitingElsewhere more loads queued before it.
func (q *Queue) ExpectedLoadTime(waitingElsewhere int, now time.Time) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	ahead := len(q.active) + waitingElsewhere
	perLoad := q.meanLoadTime / time.Duration(q.parallel)
	if allowed := q.allowance.PerSecond(now); allowed > 0 {
		perLoad = max(perLoad, time.Duration(float64(time.Second)/allowed))
	}
	return time.Duration(ahead)*perLoad + q.meanLoadTime
}

// View is the state of the queue as shown to operators.
type View struct {
	Waiting []Request     `json:"waiting"`
	Active  int           `json:"active"`
	Broken  []string      `json:"broken,omitempty"`
	Mean    time.Duration `json:"mean_load_ns"`
	Rate    float64       `json:"rate_per_second"`
}

// View returns the state of the queue, with the waiting requests in order.
func (q *Queue) View(now time.Time) View {
	q.mu.Lock()
	defer q.mu.Unlock()
	view := View{Active: len(q.active), Mean: q.meanLoadTime, Rate: q.allowance.PerSecond(now)}
	for _, request := range q.waiting {
		view.Waiting = append(view.Waiting, request)
	}
	slices.SortFunc(view.Waiting, func(a, b Request) int { return Compare(a, b, now) })
	for model := range q.failing {
		if q.backoffLocked(model, now) > 0 {
			view.Broken = append(view.Broken, model)
		}
	}
	slices.Sort(view.Broken)
	return view
}
