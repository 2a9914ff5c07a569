package dispatch

import (
	"sync"
	"time"
)

// budgetReserve lets a quiet host retry at all; budgetMost bounds what a busy
// one saves up.
const (
	budgetReserve = 3
	budgetMost    = 100
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
	return &RetryBudget{share: share, tokens: budgetReserve}
}

// First counts a first try.
func (b *RetryBudget) First() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(budgetMost, b.tokens+b.share)
}

// Retry takes one second try, if the budget allows it.
func (b *RetryBudget) Retry() bool {
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
	breakerFailures = 3
	breakerFirst    = time.Second
	breakerMost     = 30 * time.Second
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

// Avoid says whether a target is left alone now.
func (b *Breakers) Avoid(target string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.targets[target]
	return t != nil && t.failures >= breakerFailures && (t.probing || now.Before(t.until))
}

// Enter is called before a target is used. After its time of rest a failed
// target gets one request; until that one has ended, others stay away.
func (b *Breakers) Enter(target string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.targets[target]
	if t == nil || t.failures < breakerFailures {
		return true
	}
	if t.probing || now.Before(t.until) {
		return false
	}
	t.probing = true
	return true
}

// Leave notes how a use ended.
func (b *Breakers) Leave(target string, healthy bool, now time.Time) {
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
	if t.failures >= breakerFailures {
		rest := min(breakerFirst<<min(t.opens, 10), breakerMost)
		t.opens++
		t.until = now.Add(rest)
	}
}
