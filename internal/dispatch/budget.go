package dispatch

import (
	"sync"
	"time"
)

// initialRetryTokens lets a quiet host retry at all; maxRetryTokens bounds what a busy
// one saves up.
const (
	initialRetryTokens = 3
	maxRetryTokens     = 100
)

// RetryBudget bounds second tries to a share of first tries, over the whole host:
// a failing target is not beaten further by everybody's retries.
type RetryBudget struct {
	share float64

	mu     sync.Mutex
	tokens float64
	denied int64
}

// NewRetryBudget makes a budget; share is the second tries allowed for each first.
func NewRetryBudget(share float64) *RetryBudget {
	return &RetryBudget{share: share, tokens: initialRetryTokens}
}

// AddRequest counts a first try.
func (b *RetryBudget) AddRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(maxRetryTokens, b.tokens+b.share)
}

// TryRetry takes one second try, if the budget allows it.
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

// Denied gives the second tries that were not made.
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

// Breakers leave targets alone that keep failing, and try each again after a
// while with a single request. It is safe for concurrent use.
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

// NewBreakers makes breakers that are all closed.
func NewBreakers() *Breakers { return &Breakers{targets: map[string]*breaker{}} }

// IsOpen says whether a target is left alone now.
func (b *Breakers) IsOpen(target string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.targets[target]
	return t != nil && t.failures >= failuresToOpen && (t.probing || now.Before(t.until))
}

// Allow is called before a target is used. After its time of rest a failed
// target gets one request; until that one has ended, others stay away.
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

// Record notes how a use ended.
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
