package quota

import (
	"math"
	"sync"
	"time"
)

const (
	// prefetchPeriod is how much of the recent usage a host requests in advance.
	prefetchPeriod = 250 * time.Millisecond
	// usageDecay is the time constant of the moving average of the usage.
	usageDecay = time.Second
	// maxIdle is how long granted units may stay unused before they are returned. Units that are
	// kept longer would be spent in a later window than the one they were granted in.
	maxIdle = 500 * time.Millisecond
	// maxLocalRefusal is how long a refusal by all parts is applied to further requests without
	// asking: the counting hosts would otherwise be asked for every request of a workspace that
	// sends many times its quota.
	maxLocalRefusal = 100 * time.Millisecond
)

// Allowances holds the units that a host was granted and has not spent, by workspace. It is safe
// for concurrent use.
type Allowances struct {
	shards [shardCount]allowanceShard
}

type allowanceShard struct {
	mu         sync.Mutex
	workspaces map[string]*allowance
}

// allowance is the balance of one workspace.
type allowance struct {
	// balance holds the unspent units of each part, last changed at updatedAt.
	balance   [Parts]float64
	updatedAt time.Time
	// refunds holds the units of requests that did not run, which are not spent here.
	refunds [Parts]float64
	// usage is the exponentially decaying sum of the units spent, as of usageAt.
	usage   float64
	usageAt time.Time
	// Until refusedUntil, requests are refused locally. Their retry times start at retryAt and
	// are spaced by rate, in units per second.
	refusedUntil time.Time
	retryAt      time.Time
	rate         float64
}

// NewAllowances returns empty allowances.
func NewAllowances() *Allowances {
	a := &Allowances{}
	for i := range a.shards {
		a.shards[i].workspaces = map[string]*allowance{}
	}
	return a
}

func (a *Allowances) withWorkspace(workspace string, update func(entry *allowance)) {
	shard := &a.shards[shardOf(workspace)]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	entry := shard.workspaces[workspace]
	if entry == nil {
		entry = &allowance{}
		shard.workspaces[workspace] = entry
	}
	update(entry)
}

// Spend deducts the cost of a request from a part that has enough units, and returns the part.
func (a *Allowances) Spend(workspace string, cost float64, now time.Time) (part int, ok bool) {
	a.withWorkspace(workspace, func(entry *allowance) { part, ok = entry.spend(cost, now) })
	return part, ok
}

func (a *allowance) spend(cost float64, now time.Time) (int, bool) {
	for part, balance := range a.balance {
		if balance >= cost {
			a.balance[part] -= cost
			a.addUsage(cost, now)
			return part, true
		}
	}
	return 0, false
}

func (a *allowance) addUsage(cost float64, now time.Time) {
	a.updatedAt = now
	a.usage = a.recentUsage(now) + cost
	a.usageAt = now
}

func (a *allowance) recentUsage(now time.Time) float64 {
	if a.usageAt.IsZero() {
		return 0
	}
	return a.usage * math.Exp(-float64(max(0, now.Sub(a.usageAt)))/float64(usageDecay))
}

// Refused reports whether a request is refused locally, and how long to wait before a retry.
func (a *Allowances) Refused(workspace string, cost float64, now time.Time) (wait time.Duration, refused bool) {
	a.withWorkspace(workspace, func(entry *allowance) {
		if refused = now.Before(entry.refusedUntil); refused {
			wait = entry.nextRetry(cost, now)
		}
	})
	return wait, refused
}

// nextRetry returns how long the next refused request should wait before it is retried, after
// those refused before it.
func (a *allowance) nextRetry(cost float64, now time.Time) time.Duration {
	if a.rate > 0 {
		a.retryAt = a.retryAt.Add(time.Duration(cost / a.rate * float64(time.Second)))
	}
	return min(max(minRetryAfter, a.retryAt.Sub(now)), maxRetryAfter)
}

// RefuseUntil records that all parts refused a request that may be retried after wait. Rate is
// that of the workspace's quota, in units per second.
func (a *Allowances) RefuseUntil(workspace string, wait time.Duration, rate float64, now time.Time) {
	a.withWorkspace(workspace, func(entry *allowance) {
		entry.refusedUntil = now.Add(min(wait, maxLocalRefusal))
		entry.retryAt = now.Add(wait)
		entry.rate = rate
	})
}

// PrefetchUnits returns the units to request in addition to the cost of the current request.
func (a *Allowances) PrefetchUnits(workspace string, now time.Time) (units float64) {
	a.withWorkspace(workspace, func(entry *allowance) {
		units = math.Floor(entry.recentUsage(now) * float64(prefetchPeriod) / float64(usageDecay))
	})
	return units
}

// AddGrant adds granted units of a part.
func (a *Allowances) AddGrant(workspace string, part int, units float64, now time.Time) {
	a.withWorkspace(workspace, func(entry *allowance) {
		entry.balance[part] += units
		entry.updatedAt = now
	})
}

// AddRefund adds the units that were charged for a request at chargedAt and that has not run, for TakeIdle
// to return them to their part. It reports whether it did: a charge older than maxIdle counts as spent.
//
// The part gains units while requests wait. When those of long waits were spent afterwards, on top of these,
// a workspace whose requests had not run for seconds was served far more than its quota in the next window.
// Spent at this host, they would never grow old where all requests are refused soon.
func (a *Allowances) AddRefund(workspace string, part int, units float64, chargedAt, now time.Time) bool {
	if now.Sub(chargedAt) >= maxIdle {
		return false
	}
	a.withWorkspace(workspace, func(entry *allowance) { entry.refunds[part] += units })
	return true
}

// RecordUse counts units that were granted for a waiting request and spent at once.
func (a *Allowances) RecordUse(workspace string, cost float64, now time.Time) {
	a.withWorkspace(workspace, func(entry *allowance) { entry.addUsage(cost, now) })
}

// TakeIdle removes the refunded units and those that have been idle for maxIdle, and returns the requests
// that give them back. It also drops workspaces that are no longer in use.
func (a *Allowances) TakeIdle(now time.Time) []GrantRequest {
	var returns []GrantRequest
	for i := range a.shards {
		returns = append(returns, a.shards[i].takeIdle(now)...)
	}
	return returns
}

func (s *allowanceShard) takeIdle(now time.Time) []GrantRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	var returns []GrantRequest
	for name, entry := range s.workspaces {
		unused, idle := entry.refunds, now.Sub(entry.updatedAt) >= maxIdle
		entry.refunds = [Parts]float64{}
		if idle {
			for part, balance := range entry.balance {
				unused[part] += balance
			}
			entry.balance = [Parts]float64{}
		}
		for part, units := range unused {
			if units > 0 {
				returns = append(returns, GrantRequest{Key: name, Part: part, Returned: units})
			}
		}
		if idle && now.After(entry.refusedUntil) && now.Sub(entry.usageAt) > 10*usageDecay {
			delete(s.workspaces, name)
		}
	}
	return returns
}
