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

	mu      sync.Mutex
	limit   int
	inUse   int
	queue   fairQueue
	service time.Duration
}

// FullError refuses a request that could not be served in time.
type FullError struct {
	RetryAfter time.Duration
	Waiting    int
}

// Error implements error.
func (e *FullError) Error() string {
	return fmt.Sprintf("no place in time: %d requests wait; try again in %s", e.Waiting, e.RetryAfter.Round(time.Second))
}

// NewGate makes a gate with a limit; service is the usual time of a request
// until one has been measured.
func NewGate(limit, maxQueue int, maxWait, service time.Duration) *Gate {
	return &Gate{limit: limit, maxQueue: maxQueue, maxWait: maxWait, service: service, queue: newFairQueue()}
}

// SetLimit changes the number of requests admitted at a time.
func (g *Gate) SetLimit(limit int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limit = max(1, limit)
	g.admit()
}

// Entrant is a request at the gate.
type Entrant struct {
	Caller   string
	Weight   int
	Priority int
}

// Enter waits for a place. It refuses at once, with the time after which to
// come again, a request that would wait too long.
func (g *Gate) Enter(ctx context.Context, entrant Entrant) error {
	waiter, err := g.join(entrant)
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
		err = &FullError{RetryAfter: g.expected(entrant.Priority), Waiting: g.Waiting()}
	}
	if g.giveUp(waiter) {
		return err
	}
	// The place was given at the same moment.
	return nil
}

func (g *Gate) join(entrant Entrant) (*waiter, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.inUse < g.limit && g.queue.len() == 0 {
		g.inUse++
		return nil, nil
	}
	expected := g.expectedLocked(entrant.Priority)
	if g.queue.len() >= g.maxQueue || expected > g.maxWait {
		return nil, &FullError{RetryAfter: max(time.Second, expected), Waiting: g.queue.len()}
	}
	return g.queue.push(entrant), nil
}

// expectedLocked estimates a wait from the requests of the same or a higher
// priority that are ahead.
func (g *Gate) expectedLocked(priority int) time.Duration {
	ahead := g.queue.ahead(priority) + 1
	return g.service * time.Duration(ahead) / time.Duration(max(1, g.limit))
}

func (g *Gate) expected(priority int) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return max(time.Second, g.expectedLocked(priority))
}

func (g *Gate) giveUp(w *waiter) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.remove(w)
}

// serviceWeight smooths the mean time of a request.
const serviceWeight = 32

// Leave gives a place back; took is how long it was held.
func (g *Gate) Leave(took time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inUse--
	g.service += (took - g.service) / serviceWeight
	g.admit()
}

func (g *Gate) admit() {
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

// Service gives the mean time of a request.
func (g *Gate) Service() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.service
}

// fairQueue orders waiters by priority and, within one, by start-time fair
// queueing: each caller's requests are tagged as if callers were served in
// turn, in proportion to their weights.
type fairQueue struct {
	virtual float64
	finish  map[string]float64
	waiting []*waiter
}

type waiter struct {
	entrant  Entrant
	start    float64
	admitted chan struct{}
}

func newFairQueue() fairQueue { return fairQueue{finish: map[string]float64{}} }

func (q *fairQueue) len() int { return len(q.waiting) }

func (q *fairQueue) push(entrant Entrant) *waiter {
	start := max(q.virtual, q.finish[entrant.Caller])
	q.finish[entrant.Caller] = start + 1/float64(max(1, entrant.Weight))
	w := &waiter{entrant: entrant, start: start, admitted: make(chan struct{})}
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
	case a.start < b.start:
		return -1
	case a.start > b.start:
		return 1
	default:
		return 0
	}
}

func (q *fairQueue) pop() *waiter {
	first := q.waiting[0]
	q.waiting = q.waiting[1:]
	q.virtual = max(q.virtual, first.start)
	if len(q.waiting) == 0 {
		// Nobody waits: past use is forgotten, and the table stays small.
		clear(q.finish)
		q.virtual = 0
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

// ahead counts the waiters that a newcomer of a priority could not overtake.
func (q *fairQueue) ahead(priority int) int {
	count := 0
	for _, w := range q.waiting {
		if w.entrant.Priority >= priority {
			count++
		}
	}
	return count
}
