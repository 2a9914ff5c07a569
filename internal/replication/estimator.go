// Package replication estimates the demand for each adapter and decides how many replicas an
// adapter needs and which runners get them. It does no I/O, starts no goroutine and takes the
// time as an argument.
//
// An adapter that becomes popular within a second needs its replicas within that second. Replicas
// that are loaded one after the other, each for a request that every other one refused, come too
// late: the prompts of the requests that waited then queue behind each other.
package replication

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// slowHalfLife is the half-life of the counts that reports and evictions are based on.
	slowHalfLife = 2 * time.Second
	// fastHalfLife is the half-life of the count that detects growth. It is shorter than a fetch,
	// so that a replica is ordered before the requests that need it arrive.
	fastHalfLife = 250 * time.Millisecond
	// keptOfFull is the share of the entries that remain when a full estimator drops those with
	// the least demand. Dropping several at a time makes the cost of an insertion small on average.
	keptOfFull = 0.75
)

// Sample is the demand of one request.
type Sample struct {
	// Requests and Refused count requests and refusals because a runner was busy.
	Requests, Refused float64
	// Tokens is the length of the prompt, RunSeconds the expected time in a request slot.
	Tokens, RunSeconds float64
}

// Rate is a demand per second.
type Rate struct {
	PerSecond, RefusedPerSecond float64
	// TokensPerSecond is the rate of prompt tokens.
	TokensPerSecond float64
	// Running is the number of request slots that the demand keeps busy.
	Running float64
}

func (r Rate) plus(other Rate) Rate {
	return Rate{
		PerSecond:        r.PerSecond + other.PerSecond,
		RefusedPerSecond: r.RefusedPerSecond + other.RefusedPerSecond,
		TokensPerSecond:  r.TokensPerSecond + other.TokensPerSecond,
		Running:          r.Running + other.Running,
	}
}

// scaledTo returns the rate with the same mix of requests at another number per second.
func (r Rate) scaledTo(perSecond float64) Rate {
	if r.PerSecond <= 0 {
		return r
	}
	factor := perSecond / r.PerSecond
	return Rate{
		PerSecond:        perSecond,
		RefusedPerSecond: r.RefusedPerSecond * factor,
		TokensPerSecond:  r.TokensPerSecond * factor,
		Running:          r.Running * factor,
	}
}

// Key identifies an adapter.
type Key interface {
	comparable
	String() string
}

// Estimator counts the demand by key, with counts that decay. It holds a bounded number of keys
// and is not safe for concurrent use.
type Estimator[K Key] struct {
	limit   int
	entries map[K]*estimate
}

// estimate is the decayed demand for one key.
type estimate struct {
	slow Sample
	// fastRequests and fastRefused have the fast half-life.
	fastRequests, fastRefused float64
	updatedAt                 time.Time
}

// NewEstimator returns an estimator for up to limit keys.
func NewEstimator[K Key](limit int) *Estimator[K] {
	return &Estimator[K]{limit: max(1, limit), entries: map[K]*estimate{}}
}

// Add counts a sample. If the estimator is full, the keys with the least demand are dropped.
func (e *Estimator[K]) Add(key K, sample Sample, now time.Time) {
	known := e.entries[key]
	if known == nil {
		if len(e.entries) >= e.limit {
			e.dropLeast(now)
		}
		known = &estimate{updatedAt: now}
		e.entries[key] = known
	}
	known.decay(now)
	known.slow.Requests += sample.Requests
	known.slow.Refused += sample.Refused
	known.slow.Tokens += sample.Tokens
	known.slow.RunSeconds += sample.RunSeconds
	known.fastRequests += sample.Requests
	known.fastRefused += sample.Refused
}

func (e *estimate) decay(now time.Time) {
	elapsed := now.Sub(e.updatedAt)
	if elapsed <= 0 {
		return
	}
	slow, fast := remaining(elapsed, slowHalfLife), remaining(elapsed, fastHalfLife)
	e.slow.Requests *= slow
	e.slow.Refused *= slow
	e.slow.Tokens *= slow
	e.slow.RunSeconds *= slow
	e.fastRequests *= fast
	e.fastRefused *= fast
	e.updatedAt = now
}

func remaining(elapsed, halfLife time.Duration) float64 {
	return math.Exp2(-float64(elapsed) / float64(halfLife))
}

// perSecond converts a decayed count to a rate.
func perSecond(count float64, halfLife time.Duration) float64 {
	return count * math.Ln2 / halfLife.Seconds()
}

// dropLeast drops the keys with the least demand.
func (e *Estimator[K]) dropLeast(now time.Time) {
	keys := e.byDemand(now)
	keep := min(len(keys)-1, int(float64(e.limit)*keptOfFull))
	for _, key := range keys[max(0, keep):] {
		delete(e.entries, key)
	}
}

// byDemand returns all keys, those with the most demand first.
func (e *Estimator[K]) byDemand(now time.Time) []K {
	keys := make([]K, 0, len(e.entries))
	for key, known := range e.entries {
		known.decay(now)
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b K) int {
		return orderByDemand(e.entries[a].slow.Requests, e.entries[b].slow.Requests, a, b)
	})
	return keys
}

// orderByDemand compares two keys, the one with more demand first. Ties are broken by name.
func orderByDemand[K Key](demandA, demandB float64, a, b K) int {
	if demandA != demandB {
		return cmp.Compare(demandB, demandA)
	}
	return cmp.Compare(a.String(), b.String())
}

// Rate returns the demand for a key over the last seconds.
func (e *Estimator[K]) Rate(key K, now time.Time) Rate {
	known := e.entries[key]
	if known == nil {
		return Rate{}
	}
	known.decay(now)
	return Rate{
		PerSecond:        perSecond(known.slow.Requests, slowHalfLife),
		RefusedPerSecond: perSecond(known.slow.Refused, slowHalfLife),
		TokensPerSecond:  perSecond(known.slow.Tokens, slowHalfLife),
		Running:          perSecond(known.slow.RunSeconds, slowHalfLife),
	}
}

// Demand is a key with its demand.
type Demand[K Key] struct {
	Key K
	Rate
}

// Most returns up to limit keys with at least the given rate, those with the most demand first.
func (e *Estimator[K]) Most(limit int, atLeast float64, now time.Time) []Demand[K] {
	var most []Demand[K]
	for key, known := range e.entries {
		if perSecond(known.slow.Requests, slowHalfLife) < atLeast {
			// It was too little already when the last request was counted.
			continue
		}
		if rate := e.Rate(key, now); rate.PerSecond >= atLeast {
			most = append(most, Demand[K]{Key: key, Rate: rate})
		}
	}
	slices.SortFunc(most, func(a, b Demand[K]) int { return orderByDemand(a.PerSecond, b.PerSecond, a.Key, b.Key) })
	return most[:min(limit, len(most))]
}

// Len returns the number of keys.
func (e *Estimator[K]) Len() int { return len(e.entries) }

// Growth describes how the demand for a key changes.
type Growth struct {
	// Growing is set if the demand of the last moments is clearly above that of the last seconds.
	Growing bool
	// PerSecond is the demand expected by the time a load that starts now is done.
	PerSecond float64
	// RefusedShare is the share of the requests of the last moments that were refused because the
	// runner was busy.
	RefusedShare float64
}

const (
	// growthFactor is how far the demand of the last moments has to exceed that of the last
	// seconds to count as growth.
	growthFactor = 1.2
	// minGrowthRequests is the least decayed count of requests from which growth is expected to
	// go on. Fewer arrive together by chance for adapters of usual demand.
	minGrowthRequests = 4
)

// Growth returns how the demand for a key changes.
//
// The demand of the last moments is taken as one standard deviation below what was counted, so
// that a few requests that arrive together by chance don't make an adapter popular. Demand that
// grows is expected to rise once more by as much as it rose.
func (e *Estimator[K]) Growth(key K, now time.Time) Growth {
	known := e.entries[key]
	if known == nil {
		return Growth{}
	}
	known.decay(now)
	slow := perSecond(known.slow.Requests, slowHalfLife)
	count := known.fastRequests
	fast := perSecond(max(0, count-math.Sqrt(count)), fastHalfLife)
	growth := Growth{PerSecond: max(slow, fast)}
	if count > 0 {
		growth.RefusedShare = min(1, known.fastRefused/count)
	}
	if count >= minGrowthRequests && fast > growthFactor*slow {
		growth.Growing = true
		growth.PerSecond = fast + (fast - slow)
	}
	return growth
}
