package dispatch

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"
)

// Gate admits requests up to a limit and queues the others by priority. Callers
// of one priority get fair shares, so that a burst of one caller does not
// starve the rest. Gate is safe for concurrent use.
type Gate struct {
	maxQueue int
	maxWait  time.Duration

	mu              sync.Mutex
	limit           int
	inUse           int
	queue           fairQueue
	meanServiceTime time.Duration
}

// OverloadError refuses a request that cannot be admitted in time.
type OverloadError struct {
	RetryAfter time.Duration
	Waiting    int
}

// Error implements error.
func (e *OverloadError) Error() string {
	return fmt.Sprintf("no place in time: %d requests wait; try again in %s", e.Waiting, e.RetryAfter.Round(time.Second))
}

// NewGate returns a gate with a limit. defaultServiceTime is the assumed
// duration of a request until one has been measured.
func NewGate(limit, maxQueue int, maxWait, defaultServiceTime time.Duration) *Gate {
	return &Gate{limit: limit, maxQueue: maxQueue, maxWait: maxWait, meanServiceTime: defaultServiceTime, queue: newFairQueue()}
}

// SetLimit sets the number of requests admitted at a time.
func (g *Gate) SetLimit(limit int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limit = max(1, limit)
	g.admitLocked()
}

// AdmissionRequest describes a request for admission.
type AdmissionRequest struct {
	Caller   string
	Weight   int
	Priority int
}

// Acquire waits for admission. A request that would wait too long is refused at
// once, with the time after which to retry.
func (g *Gate) Acquire(ctx context.Context, request AdmissionRequest) error {
	waiter, err := g.admitOrEnqueue(request)
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
		err = &OverloadError{RetryAfter: g.expectedWait(request.Priority), Waiting: g.Waiting()}
	}
	if g.abandon(waiter) {
		return err
	}
	// Admitted at the same moment.
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

// expectedWaitLocked estimates the wait from the requests ahead, of the same or
// a higher priority.
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

// meanSmoothing is the smoothing divisor of the mean service time.
const meanSmoothing = 32

// Release ends a request's admission. took is the time since admission.
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

// InUse returns the number of admitted requests.
func (g *Gate) InUse() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.inUse
}

// Waiting returns the number of queued requests.
func (g *Gate) Waiting() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.len()
}

// MeanServiceTime returns the mean duration of a request.
func (g *Gate) MeanServiceTime() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.meanServiceTime
}

// fairQueue orders waiters by priority and, within a priority, by start-time
// fair queueing: the requests of each caller are tagged as if callers were
// served in turn, in proportion to their weights.
type fairQueue struct {
	virtualTime float64
	finishTags  map[string]float64
	waiting     []*waiter
}

type waiter struct {
	request  AdmissionRequest
	startTag float64
	admitted chan struct{}
}

func newFairQueue() fairQueue { return fairQueue{finishTags: map[string]float64{}} }

func (q *fairQueue) len() int { return len(q.waiting) }

func (q *fairQueue) push(request AdmissionRequest) *waiter {
	start := max(q.virtualTime, q.finishTags[request.Caller])
	q.finishTags[request.Caller] = start + 1/float64(max(1, request.Weight))
	w := &waiter{request: request, startTag: start, admitted: make(chan struct{})}
	at, _ := slices.BinarySearchFunc(q.waiting, w, compareWaiters)
	for at < len(q.waiting) && compareWaiters(q.waiting[at], w) == 0 {
		at++
	}
	q.waiting = slices.Insert(q.waiting, at, w)
	return w
}

func compareWaiters(a, b *waiter) int {
	switch {
	case a.request.Priority != b.request.Priority:
		return b.request.Priority - a.request.Priority
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
		// The queue is empty: reset the tags, so that the map stays small.
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

// countAhead counts the waiters that a new request of a priority cannot
// overtake.
func (q *fairQueue) countAhead(priority int) int {
	count := 0
	for _, w := range q.waiting {
		if w.request.Priority >= priority {
			count++
		}
	}
	return count
}
