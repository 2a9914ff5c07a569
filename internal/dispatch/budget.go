package dispatch

import (
	"sync"
	"time"
)

// initialRetryTokens lets an idle host retry at all. maxRetryTokens bounds what
// a busy host accumulates.
const (
	initialRetryTokens = 3
	maxRetryTokens     = 100
)

// RetryBudget limits the retries of the whole host to a share of its requests,
// so that retries do not overload a failing target further.
type RetryBudget struct {
	share float64

	mu     sync.Mutex
	tokens float64
	denied int64
}

// NewRetryBudget returns a budget that allows share retries per request.
func NewRetryBudget(share float64) *RetryBudget {
	return &RetryBudget{share: share, tokens: initialRetryTokens}
}

// AddRequest counts the first attempt of a request.
func (b *RetryBudget) AddRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(maxRetryTokens, b.tokens+b.share)
}

// TryRetry takes one retry, if the budget allows it.
func (b *RetryBudget) TryRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		b.denied++
		return false
	}
	b.tokens--
	return true
}

// Denied returns the number of retries that were denied.
func (b *RetryBudget) Denied() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.denied
}

const (
	failuresToOpen = 3
	minOpenTime    = time.Second
	maxOpenTime    = 30 * time.Second
)

// Breakers are circuit breakers, one per target: a target that keeps failing is
// avoided, and probed with a single request after a while. Breakers is safe for
// concurrent use.
type Breakers struct {
	mu      sync.Mutex
	targets map[string]*breaker
}

type breaker struct {
	failures int
	opens    int
	until    time.Time
	probing  bool
}

// NewBreakers returns breakers that are all closed.
func NewBreakers() *Breakers { return &Breakers{targets: map[string]*breaker{}} }

// IsOpen reports whether a target is avoided now.
func (b *Breakers) IsOpen(target string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.targets[target]
	return t != nil && t.failures >= failuresToOpen && (t.probing || now.Before(t.until))
}

// Allow reports whether a target may be used now, and is called before each
// use. After the breaker's open time one request probes the target; until it
// has ended, the others stay away.
func (b *Breakers) Allow(target string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.targets[target]
	if t == nil || t.failures < failuresToOpen {
		return true
	}
	if t.probing || now.Before(t.until) {
		return false
	}
	t.probing = true
	return true
}

// Record records the result of a use.
func (b *Breakers) Record(target string, healthy bool, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if healthy {
		delete(b.targets, target)
		return
	}
	t := b.targets[target]
	if t == nil {
		t = &breaker{}
		b.targets[target] = t
	}
	t.failures++
	t.probing = false
	if t.failures >= failuresToOpen {
		openTime := min(minOpenTime<<min(t.opens, 10), maxOpenTime)
		t.opens++
		t.until = now.Add(openTime)
	}
}
