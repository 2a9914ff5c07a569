// Package retrybudget bounds the further attempts of requests, over all hosts
// together and without a word between them: each host spends its own part.
package retrybudget

import (
	"math"
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
	// saved is for how long the part of the requests that was not spent is kept.
	// Within one window the attempts of window + saved may then be made, which the
	// unused ratio covers. Without it a host of a large fleet could save up a single
	// attempt, and after a total loss requests whose adapter was not there in time
	// would be refused while the budget of the fleet is hardly used.
	saved = 2 * time.Second
)

// Budget is one service's part of one host: a bucket that starts empty, so that
// a process that restarts cannot spend its part a second time. It is safe for
// concurrent use.
type Budget struct {
	limit Limit

	mu     sync.Mutex
	tokens float64
	// recent is the number of requests of the last while, older ones fading out.
	recent float64
	at     time.Time
	denied int64
}

// New makes an empty budget.
func New(limit Limit, now time.Time) *Budget {
	return &Budget{limit: limit, at: now}
}

// RecordRequest counts a caller's request. Hosts is the number of hosts that share the
// limit, 0 while it is not known: nothing of the slack is given out then, for each of
// a fleet that starts at once would take the whole of it for its own.
func (b *Budget) RecordRequest(now time.Time, hosts int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now, hosts)
	b.recent++
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
	if hosts <= 0 {
		return 0
	}
	return b.limit.Slack * usedSlack / float64(hosts)
}

func (b *Budget) refill(now time.Time, hosts int) {
	passed := now.Sub(b.at)
	b.at = now
	if passed <= 0 || b.limit.Window <= 0 {
		return
	}
	b.recent *= math.Exp(-float64(passed) / float64(saved))
	b.add(b.share(hosts)*float64(passed)/float64(b.limit.Window), hosts)
}

// add fills the bucket, up to a host's share of the slack and what its recent
// requests allow.
func (b *Budget) add(tokens float64, hosts int) {
	most := max(1, b.share(hosts)) + b.limit.Ratio*usedRatio*b.recent
	b.tokens = min(b.tokens+tokens, most)
}
