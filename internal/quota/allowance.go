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
	// refunds are the units of requests that did not run, which are not spent here.
	refunds []refund
	// usage is the exponentially decaying sum of the units spent, as of usageAt.
	usage   float64
	usageAt time.Time
	// Until refusedUntil, requests are refused locally. Their retry times start at retryAt and
	// are spaced by rate, in units per second.
	refusedUntil time.Time
	retryAt      time.Time
	rate         float64
}

// refund is units of a part that were charged at some time from chargedAt on, for refundPeriod.
type refund struct {
	part      int
	units     float64
	chargedAt time.Time
}

// refundPeriod is the time of charges that are returned together.
const refundPeriod = 250 * time.Millisecond

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
// to return them to their part, which knows how many of them it would still hold.
func (a *Allowances) AddRefund(workspace string, part int, units float64, chargedAt time.Time) {
	a.withWorkspace(workspace, func(entry *allowance) { entry.addRefund(part, units, chargedAt) })
}

func (a *allowance) addRefund(part int, units float64, chargedAt time.Time) {
	period := chargedAt.Truncate(refundPeriod)
	for i := range a.refunds {
		if r := &a.refunds[i]; r.part == part && r.chargedAt.Truncate(refundPeriod).Equal(period) {
			r.units += units
			if chargedAt.Before(r.chargedAt) {
				r.chargedAt = chargedAt
			}
			return
		}
	}
	a.refunds = append(a.refunds, refund{part: part, units: units, chargedAt: chargedAt})
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
		for _, r := range entry.refunds {
			returns = append(returns, GrantRequest{Key: name, Part: r.part, Returned: r.units, ReturnedAge: now.Sub(r.chargedAt)})
		}
		entry.refunds = nil
		unused := now.Sub(entry.updatedAt)
		if unused < maxIdle {
			continue
		}
		for part, balance := range entry.balance {
			if balance > 0 {
				returns = append(returns, GrantRequest{Key: name, Part: part, Returned: balance, ReturnedAge: unused})
			}
		}
		entry.balance = [Parts]float64{}
		if now.After(entry.refusedUntil) && now.Sub(entry.usageAt) > 10*usageDecay {
			delete(s.workspaces, name)
		}
	}
	return returns
}
