// Package retrybudget bounds the further attempts of requests, over all hosts
// together and without a word between them: each host spends its own part.
package retrybudget

import (
	"sync"
	"time"
)

// Limit is the deployment's bound: in each window a service may get Ratio times
// the requests for it, and Slack more, of further attempts.
type Limit struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

const (
	// usedRatio is the part of the ratio that is spent. The rest is for callers'
	// requests that never arrive here and for windows that cut unevenly.
	usedRatio = 0.7
	// usedSlack is the part of the slack that hosts share. Half: a bucket that
	// was full and refills gives twice its size within one window.
	usedSlack = 0.4
)

// Budget is one service's part of one host: a bucket that starts empty, so that
// a process that restarts cannot spend its part a second time. It is safe for
// concurrent use.
type Budget struct {
	limit Limit

	mu     sync.Mutex
	tokens float64
	at     time.Time
	denied int64
}

// New makes an empty budget.
func New(limit Limit, now time.Time) *Budget {
	return &Budget{limit: limit, at: now}
}

// Request counts a caller's request.
func (b *Budget) Request(now time.Time, hosts int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now, hosts)
	b.add(b.limit.Ratio*usedRatio, hosts)
}

// Take takes one further attempt if there is one.
func (b *Budget) Take(now time.Time, hosts int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now, hosts)
	if b.tokens < 1 {
		b.denied++
		return false
	}
	b.tokens--
	return true
}

// Denied gives the further attempts that were not made.
func (b *Budget) Denied() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.denied
}

func (b *Budget) share(hosts int) float64 {
	return b.limit.Slack * usedSlack / float64(max(1, hosts))
}

func (b *Budget) refill(now time.Time, hosts int) {
	passed := now.Sub(b.at)
	b.at = now
	if passed <= 0 || b.limit.Window <= 0 {
		return
	}
	b.add(b.share(hosts)*float64(passed)/float64(b.limit.Window), hosts)
}

// add fills the bucket, up to a host's share of the slack.
func (b *Budget) add(tokens float64, hosts int) {
	b.tokens = min(b.tokens+tokens, max(1, b.share(hosts)))
}
