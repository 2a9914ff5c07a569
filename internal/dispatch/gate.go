package dispatch

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"
)

// Gate admits requests up to a limit and lets the others wait their turn:
// by priority, and among callers of one priority by fair shares, so that one
// caller's burst does not starve the rest. It is safe for concurrent use.
type Gate struct {
	maxQueue int
	maxWait  time.Duration

	mu              sync.Mutex
	limit           int
	inUse           int
	queue           fairQueue
	meanServiceTime time.Duration
}

// OverloadError refuses a request that could not be served in time.
type OverloadError struct {
	RetryAfter time.Duration
	Waiting    int
}

// Error implements error.
func (e *OverloadError) Error() string {
	return fmt.Sprintf("no place in time: %d requests wait; try again in %s", e.Waiting, e.RetryAfter.Round(time.Second))
}

// NewGate makes a gate with a limit; service is the usual time of a request
// until one has been measured.
func NewGate(limit, maxQueue int, maxWait, defaultServiceTime time.Duration) *Gate {
	return &Gate{limit: limit, maxQueue: maxQueue, maxWait: maxWait, meanServiceTime: defaultServiceTime, queue: newFairQueue()}
}

// SetLimit changes the number of requests admitted at a time.
func (g *Gate) SetLimit(limit int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limit = max(1, limit)
	g.admitLocked()
}

// AdmissionRequest is a request at the gate.
type AdmissionRequest struct {
	Caller   string
	Weight   int
	Priority int
}

// Acquire waits for a place. It refuses at once, with the time after which to
// come again, a request that would wait too long.
func (g *Gate) Acquire(ctx context.Context, entrant AdmissionRequest) error {
	waiter, err := g.admitOrEnqueue(entrant)
	if err != nil || waiter == nil {
		return err
	}
	timer := time.NewTimer(g.maxWait)
	defer timer.Stop()
	select {
	case <-waiter.admitted:
		return nil
	case <-ctx.Done():
		err = ctx.Err()
	case <-timer.C:
		err = &OverloadError{RetryAfter: g.expectedWait(entrant.Priority), Waiting: g.Waiting()}
	}
	if g.abandon(waiter) {
		return err
	}
	// The place was given at the same moment.
	return nil
}

func (g *Gate) admitOrEnqueue(request AdmissionRequest) (*waiter, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.inUse < g.limit && g.queue.len() == 0 {
		g.inUse++
		return nil, nil
	}
	expected := g.expectedWaitLocked(request.Priority)
	if g.queue.len() >= g.maxQueue || expected > g.maxWait {
		return nil, &OverloadError{RetryAfter: max(time.Second, expected), Waiting: g.queue.len()}
	}
	return g.queue.push(request), nil
}

// expectedWaitLocked estimates a wait from the requests of the same or a higher
// priority that are ahead.
func (g *Gate) expectedWaitLocked(priority int) time.Duration {
	ahead := g.queue.countAhead(priority) + 1
	return g.meanServiceTime * time.Duration(ahead) / time.Duration(max(1, g.limit))
}

func (g *Gate) expectedWait(priority int) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return max(time.Second, g.expectedWaitLocked(priority))
}

func (g *Gate) abandon(w *waiter) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.remove(w)
}

// meanSmoothing smooths the mean time of a request.
const meanSmoothing = 32

// Release gives a place back; took is how long it was held.
func (g *Gate) Release(took time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inUse--
	g.meanServiceTime += (took - g.meanServiceTime) / meanSmoothing
	g.admitLocked()
}

func (g *Gate) admitLocked() {
	for g.inUse < g.limit && g.queue.len() > 0 {
		g.inUse++
		close(g.queue.pop().admitted)
	}
}

// InUse gives the number of requests admitted.
func (g *Gate) InUse() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.inUse
}

// Waiting gives the number of requests that wait.
func (g *Gate) Waiting() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.len()
}

// MeanServiceTime gives the mean time of a request.
func (g *Gate) MeanServiceTime() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.meanServiceTime
}

// fairQueue orders waiters by priority and, within one, by start-time fair
// queueing: each caller's requests are tagged as if callers were served in
// turn, in proportion to their weights.
type fairQueue struct {
	virtualTime float64
	finishTags  map[string]float64
	waiting     []*waiter
}

type waiter struct {
	entrant  AdmissionRequest
	startTag float64
	admitted chan struct{}
}

func newFairQueue() fairQueue { return fairQueue{finishTags: map[string]float64{}} }

func (q *fairQueue) len() int { return len(q.waiting) }

func (q *fairQueue) push(entrant AdmissionRequest) *waiter {
	start := max(q.virtualTime, q.finishTags[entrant.Caller])
	q.finishTags[entrant.Caller] = start + 1/float64(max(1, entrant.Weight))
	w := &waiter{entrant: entrant, startTag: start, admitted: make(chan struct{})}
	at, _ := slices.BinarySearchFunc(q.waiting, w, compareWaiters)
	for at < len(q.waiting) && compareWaiters(q.waiting[at], w) == 0 {
		at++
	}
	q.waiting = slices.Insert(q.waiting, at, w)
	return w
}

func compareWaiters(a, b *waiter) int {
	switch {
	case a.entrant.Priority != b.entrant.Priority:
		return b.entrant.Priority - a.entrant.Priority
	case a.startTag < b.startTag:
		return -1
	case a.startTag > b.startTag:
		return 1
	default:
		return 0
	}
}

func (q *fairQueue) pop() *waiter {
	first := q.waiting[0]
	q.waiting = q.waiting[1:]
	q.virtualTime = max(q.virtualTime, first.startTag)
	if len(q.waiting) == 0 {
		// Nobody waits: past use is forgotten, and the table stays small.
		clear(q.finishTags)
		q.virtualTime = 0
	}
	return first
}

func (q *fairQueue) remove(w *waiter) bool {
	at := slices.Index(q.waiting, w)
	if at < 0 {
		return false
	}
	q.waiting = slices.Delete(q.waiting, at, at+1)
	return true
}

// countAhead counts the waiters that a newcomer of a priority could not overtake.
func (q *fairQueue) countAhead(priority int) int {
	count := 0
	for _, w := range q.waiting {
		if w.entrant.Priority >= priority {
			count++
		}
	}
	return count
}
