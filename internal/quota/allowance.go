package quota

import (
	"math"
	"sync"
	"time"
)

const (
	// aheadTime is for how long ahead a host asks for units, by what it used lately.
	aheadTime = 250 * time.Millisecond
	// useMemory is over how long that use is averaged.
	useMemory = time.Second
	// idleLife is how long granted units may lie unused before they are given back. What
	// lies longer counts for a window in which it may not be spent.
	idleLife = 500 * time.Millisecond
	// refusedLife is how long a refusal by all parts stands for further requests: beside
	// a workspace that sends many times its quota the counting hosts would be asked for
	// each of them.
	refusedLife = 100 * time.Millisecond
)

// Allowances are the units that a host was granted and has not spent, by workspace. It
// is safe for concurrent use.
type Allowances struct {
	shards [shardCount]allowanceShard
}

type allowanceShard struct {
	mu         sync.Mutex
	workspaces map[string]*allowance
}

// allowance is one workspace's.
type allowance struct {
	// left are the units of each part, changed at touched.
	left    [Parts]float64
	touched time.Time
	// use is what was spent lately, older amounts fading out, as of usedAt.
	use    float64
	usedAt time.Time
	// Until refusedUntil requests are refused without asking; what they are told is
	// counted from backAt and drawn out by rate, in units a second.
	refusedUntil time.Time
	backAt       time.Time
	rate         float64
}

// NewAllowances makes allowances of nothing.
func NewAllowances() *Allowances {
	a := &Allowances{}
	for i := range a.shards {
		a.shards[i].workspaces = map[string]*allowance{}
	}
	return a
}

func (a *Allowances) with(workspace string, do func(one *allowance)) {
	shard := &a.shards[shardOf(workspace)]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	one := shard.workspaces[workspace]
	if one == nil {
		one = &allowance{}
		shard.workspaces[workspace] = one
	}
	do(one)
}

// Spend spends the units of a request, if one part's are enough, and gives the part.
func (a *Allowances) Spend(workspace string, cost float64, now time.Time) (part int, ok bool) {
	a.with(workspace, func(one *allowance) { part, ok = one.spend(cost, now) })
	return part, ok
}

func (a *allowance) spend(cost float64, now time.Time) (int, bool) {
	for part, left := range a.left {
		if left >= cost {
			a.left[part] -= cost
			a.used(cost, now)
			return part, true
		}
	}
	return 0, false
}

func (a *allowance) used(cost float64, now time.Time) {
	a.touched = now
	a.use = a.recentUse(now) + cost
	a.usedAt = now
}

func (a *allowance) recentUse(now time.Time) float64 {
	if a.usedAt.IsZero() {
		return 0
	}
	return a.use * math.Exp(-float64(max(0, now.Sub(a.usedAt)))/float64(useMemory))
}

// Refused says whether a request is refused without asking, and when to come back.
func (a *Allowances) Refused(workspace string, cost float64, now time.Time) (wait time.Duration, refused bool) {
	a.with(workspace, func(one *allowance) {
		if refused = now.Before(one.refusedUntil); refused {
			wait = one.putOff(cost, now)
		}
	})
	return wait, refused
}

// putOff gives when one more refused request may come back, after those before it.
func (a *allowance) putOff(cost float64, now time.Time) time.Duration {
	if a.rate > 0 {
		a.backAt = a.backAt.Add(time.Duration(cost / a.rate * float64(time.Second)))
	}
	return min(max(leastWait, a.backAt.Sub(now)), longestWait)
}

// RefuseUntil notes that all parts refused a request that may come back after a time.
// Rate is the workspace's, in units a second.
func (a *Allowances) RefuseUntil(workspace string, wait time.Duration, rate float64, now time.Time) {
	a.with(workspace, func(one *allowance) {
		one.refusedUntil = now.Add(min(wait, refusedLife))
		one.backAt = now.Add(wait)
		one.rate = rate
	})
}

// PrefetchUnits gives the units to ask for beyond those of the request at hand.
func (a *Allowances) PrefetchUnits(workspace string, now time.Time) (ahead float64) {
	a.with(workspace, func(one *allowance) {
		ahead = math.Floor(one.recentUse(now) * float64(aheadTime) / float64(useMemory))
	})
	return ahead
}

// AddGrant adds units of a part.
func (a *Allowances) AddGrant(workspace string, part int, units float64, now time.Time) {
	a.with(workspace, func(one *allowance) {
		one.left[part] += units
		one.touched = now
	})
}

// RecordUse notes units that were granted for a request that was waiting for them.
func (a *Allowances) RecordUse(workspace string, cost float64, now time.Time) {
	a.with(workspace, func(one *allowance) { one.used(cost, now) })
}

// TakeIdle takes out the units that have lain unused, to be given back, and forgets
// workspaces of which nothing is left.
func (a *Allowances) TakeIdle(now time.Time) []GrantRequest {
	var back []GrantRequest
	for i := range a.shards {
		back = append(back, a.shards[i].unspent(now)...)
	}
	return back
}

func (s *allowanceShard) unspent(now time.Time) []GrantRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	var back []GrantRequest
	for name, one := range s.workspaces {
		if now.Sub(one.touched) < idleLife {
			continue
		}
		for part, left := range one.left {
			if left > 0 {
				back = append(back, GrantRequest{Key: name, Part: part, Returned: left})
			}
		}
		one.left = [Parts]float64{}
		if now.After(one.refusedUntil) && now.Sub(one.usedAt) > 10*useMemory {
			delete(s.workspaces, name)
		}
	}
	return back
}
