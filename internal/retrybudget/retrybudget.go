// Package retrybudget bounds the retries of requests across all hosts without communication
// between them: each host spends its own share.
package retrybudget

import (
	"math"
	"sync"
	"time"
)

// Limit is the deployment's bound on the retries for a service in each window: Ratio times the
// number of requests, plus Slack.
type Limit struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

const (
	// ratioShare is the share of the ratio that is spent. The rest covers callers' requests that
	// never arrive here, and unfavourable window boundaries.
	ratioShare = 0.7
	// slackShare is the share of the slack that is divided among the hosts. It must stay below
	// one half: a bucket that starts a window full and refills yields twice its size within the
	// window.
	slackShare = 0.4
	// recentDecay is how long unspent retries that requests earned are kept. The retries of
	// window + recentDecay can then fall into one window, which the unspent part of the ratio
	// covers. Without it a host of a large fleet could accumulate only one retry, and after a
	// total loss requests whose adapter is not loaded in time would be refused while most of the
	// fleet's budget is unused.
	recentDecay = 2 * time.Second
)

// Budget is one host's share of the budget of one service: a token bucket that starts empty, so
// that a restarted process cannot spend its share twice. It is safe for concurrent use.
type Budget struct {
	limit Limit

	mu     sync.Mutex
	tokens float64
	// recent is the exponentially decaying number of requests.
	recent     float64
	refilledAt time.Time
	denied     int64
}

// New returns an empty budget.
func New(limit Limit, now time.Time) *Budget {
	return &Budget{limit: limit, refilledAt: now}
}

// RecordRequest counts a caller's request. Hosts is the number of hosts that share the limit, or
// 0 while it is unknown: no slack is given out then, because every host of a fleet that starts
// together would otherwise take all of it.
func (b *Budget) RecordRequest(now time.Time, hosts int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now, hosts)
	b.recent++
	b.add(b.limit.Ratio*ratioShare, hosts)
}

// Take spends one retry and reports whether the budget had one.
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

// Return gives back a retry that was taken and not used.
func (b *Budget) Return(now time.Time, hosts int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now, hosts)
	b.add(1, hosts)
}

// Denied returns the number of retries that were denied.
func (b *Budget) Denied() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.denied
}

func (b *Budget) hostSlack(hosts int) float64 {
	if hosts <= 0 {
		return 0
	}
	return b.limit.Slack * slackShare / float64(hosts)
}

func (b *Budget) refill(now time.Time, hosts int) {
	elapsed := now.Sub(b.refilledAt)
	b.refilledAt = now
	if elapsed <= 0 || b.limit.Window <= 0 {
		return
	}
	b.recent *= math.Exp(-float64(elapsed) / float64(recentDecay))
	b.add(b.hostSlack(hosts)*float64(elapsed)/float64(b.limit.Window), hosts)
}

// add fills the bucket up to the host's share of the slack plus what its recent requests earned.
func (b *Budget) add(tokens float64, hosts int) {
	capacity := max(1, b.hostSlack(hosts)) + b.limit.Ratio*ratioShare*b.recent
	b.tokens = min(b.tokens+tokens, capacity)
}
