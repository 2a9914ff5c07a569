package loading

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Class says why a load is wanted.
type Class string

// Classes of loads; a waiting caller goes before a foreseen need.
const (
	ClassWaiting  Class = "waiting"
	ClassForeseen Class = "foreseen"
)

// Ask is a wish to load a model on a runner.
type Ask struct {
	Runner   string    `json:"runner"`
	Model    string    `json:"model"`
	Class    Class     `json:"class"`
	Priority int       `json:"priority"`
	Since    time.Time `json:"since"`
	// Waiters is the number of requests that wait for the load.
	Waiters int `json:"waiters,omitempty"`
	// Value orders foreseen loads: the expected uses in the next minute.
	Value float64 `json:"value,omitempty"`
}

// Compare orders asks: waiting callers first, by priority and then by the time
// that all who wait have waited together; then foreseen loads by their value.
// Where many wait, a load ends more waiting; and one who waits alone comes
// first in the end, since time counts as much as numbers.
func Compare(a, b Ask, now time.Time) int {
	if a.Class != b.Class {
		if a.Class == ClassWaiting {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(b.Priority, a.Priority), cmp.Compare(b.Value, a.Value),
		cmp.Compare(b.waited(now), a.waited(now)), a.Since.Compare(b.Since), cmp.Compare(a.Model, b.Model))
}

// leastWait lets numbers count from the first moment on.
const leastWait = 100 * time.Millisecond

// waited is the time that all who wait have waited together, about.
func (a Ask) waited(now time.Time) time.Duration {
	return (now.Sub(a.Since) + leastWait) * time.Duration(max(1, a.Waiters))
}

// Queue is the one order of loads. It hands out permits and takes them back.
// It is safe for concurrent use.
type Queue struct {
	parallel  int
	allowance *Allowance

	mu      sync.Mutex
	next    uint64
	waiting map[uint64]Ask
	active  map[uint64]time.Time
	broken  map[string]breakage
	mean    time.Duration
	changed chan struct{}
}

// breakage counts the failed loads of a model in a row.
type breakage struct {
	failures int
	until    time.Time
}

// Limits of the queue.
const (
	firstBackoff = 2 * time.Second
	maxBackoff   = 10 * time.Minute
	// freeFailures are failures that are tried again elsewhere at once.
	freeFailures = 2
	meanWeight   = 8
)

// NewQueue makes a queue over an allowance. usual is the time of one load
// until one has been measured.
func NewQueue(parallel int, allowance *Allowance, usual time.Duration) *Queue {
	return &Queue{
		parallel:  parallel,
		allowance: allowance,
		waiting:   map[uint64]Ask{},
		active:    map[uint64]time.Time{},
		broken:    map[string]breakage{},
		mean:      usual,
		changed:   make(chan struct{}),
	}
}

// Join adds an ask and gives its ticket.
func (q *Queue) Join(ask Ask) uint64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.next++
	q.waiting[q.next] = ask
	return q.next
}

// Leave takes an ask that waits, or a permit that was handed out, away.
func (q *Queue) Leave(ticket uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.waiting, ticket)
	delete(q.active, ticket)
	q.wake()
}

// wake tells those who wait for a permit that the order has moved.
func (q *Queue) wake() {
	close(q.changed)
	q.changed = make(chan struct{})
}

// Changed gives a channel that is closed when a permit may have become free.
func (q *Queue) Changed() <-chan struct{} {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.changed
}

// Permit hands a permit to the ticket if it is first in order and the
// allowance has a load left. The permit is given back by Done or Leave, or
// runs out after life.
func (q *Queue) Permit(ticket uint64, now time.Time, life time.Duration) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	for other, till := range q.active {
		if !now.Before(till) {
			delete(q.active, other)
		}
	}
	if _, ok := q.waiting[ticket]; !ok || len(q.active) >= q.parallel || q.first(now) != ticket {
		return false
	}
	if !q.allowance.Take(now) {
		return false
	}
	delete(q.waiting, ticket)
	q.active[ticket] = now.Add(life)
	return true
}

// first gives the ticket that is next in order. Asks for a model whose loads
// are put off are passed over.
func (q *Queue) first(now time.Time) uint64 {
	var best uint64
	for ticket, ask := range q.waiting {
		if q.brokenLocked(ask.Model, now) > 0 {
			continue
		}
		if best == 0 {
			best = ticket
			continue
		}
		order := Compare(ask, q.waiting[best], now)
		if order < 0 || (order == 0 && ticket < best) {
			best = ticket
		}
	}
	return best
}

// Done gives a permit back and notes how the load ended. A model that keeps
// failing is put off for longer and longer, so that broken weights do not eat
// the allowance.
func (q *Queue) Done(ticket uint64, model string, ok bool, took time.Duration, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.active, ticket)
	q.wake()
	if ok {
		delete(q.broken, model)
		q.mean += (took - q.mean) / meanWeight
		return
	}
	b := q.broken[model]
	b.failures++
	if b.failures > freeFailures {
		backoff := firstBackoff << min(b.failures-freeFailures-1, 10)
		b.until = now.Add(min(backoff, maxBackoff))
	}
	q.broken[model] = b
}

// Broken gives the time for which a model's loads are put off, or zero.
func (q *Queue) Broken(model string, now time.Time) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.brokenLocked(model, now)
}

func (q *Queue) brokenLocked(model string, now time.Time) time.Duration {
	return max(0, q.broken[model].until.Sub(now))
}

// Expected gives the time until a load asked for now would be done, with so
// many others that wait before it.
func (q *Queue) Expected(others int, now time.Time) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	ahead := len(q.active) + others
	perLoad := q.mean / time.Duration(q.parallel)
	if allowed := q.allowance.PerSecond(now); allowed > 0 {
		perLoad = max(perLoad, time.Duration(float64(time.Second)/allowed))
	}
	return time.Duration(ahead)*perLoad + q.mean
}

// View is the queue as operators see it.
type View struct {
	Waiting []Ask         `json:"waiting"`
	Active  int           `json:"active"`
	Broken  []string      `json:"broken,omitempty"`
	Mean    time.Duration `json:"mean_load_ns"`
	Rate    float64       `json:"rate_per_second"`
}

// View gives the queue in its order.
func (q *Queue) View(now time.Time) View {
	q.mu.Lock()
	defer q.mu.Unlock()
	view := View{Active: len(q.active), Mean: q.mean, Rate: q.allowance.PerSecond(now)}
	for _, ask := range q.waiting {
		view.Waiting = append(view.Waiting, ask)
	}
	slices.SortFunc(view.Waiting, func(a, b Ask) int { return Compare(a, b, now) })
	for model := range q.broken {
		if q.brokenLocked(model, now) > 0 {
			view.Broken = append(view.Broken, model)
		}
	}
	slices.Sort(view.Broken)
	return view
}
