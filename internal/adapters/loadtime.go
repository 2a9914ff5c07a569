package adapters

import (
	"sync"
	"time"
)

const (
	// initialFetchTime is the estimate for a load from the weight store, which takes
	// 250 to 288 ms by the platform's documentation. initialReloadTime is that for an
	// adapter that the runner held recently, a tenth of it. Where loads take 288 ms,
	// 458 requests of the scenario kushiro-grown (internal/experiment) were late with
	// an initial 255 ms, and 326 with 290. Where they take 250 ms it makes no
	// difference, since the next fetch is ordered before the current one should be
	// done.
	initialFetchTime  = 290 * time.Millisecond
	initialReloadTime = 30 * time.Millisecond
	// tooEarlyStep and inTimeStep are the factors applied to an estimate after a load
	// that took longer and after each accepted load. In equilibrium one load
	// in 23 is not done in time, which costs its request another attempt and 40 ms.
	// An estimate that is too long delays each request by the difference and costs
	// the runner loads.
	tooEarlyStep = 1.045
	inTimeStep   = 0.998
	// fetchesPerRunner and fetchesPerLoadRate estimate how many concurrent loads the
	// weight store serves at full speed, which isn't documented directly. The
	// platform's data sheets give 8 for 9 runners, 16 for 18 and 64 for 112, with 3.5,
	// 5.8 and 32 loads of base models per second. The smaller of 0.89 per runner and
	// 2.3 times that rate gives 8, 13 and 74. Too low a value costs loads, too high a
	// value only makes each load take longer.
	fetchesPerRunner   = 0.89
	fetchesPerLoadRate = 2.3
	// minFetchTime, minReloadTime and maxFetchTime bound the estimates.
	minFetchTime  = 100 * time.Millisecond
	minReloadTime = 10 * time.Millisecond
	maxFetchTime  = 3 * time.Second
)

// StoreLoad is the load of the weight store, as far as it is known.
type StoreLoad struct {
	// Fetches is the number of adapters being fetched by all known runners. Capacity
	// is these runners' share of the concurrent fetches that the store serves at full
	// speed.
	Fetches  int
	Capacity float64
	// PerRunner is the capacity for one runner.
	PerRunner float64
}

// slowdown returns the factor by which a fetch takes longer than at full speed.
func (s StoreLoad) slowdown() float64 {
	if s.Capacity <= 0 {
		return 1
	}
	return max(1, float64(s.Fetches)/s.Capacity)
}

// minKnownCapacity is the capacity below which a host knows too few of the other
// runners.
const minKnownCapacity = 3

// withOneMoreFetch adds one fetch to a load that is known from few runners only. After
// a total loss all runners start to load at once, and a host that knows only its own
// runner would otherwise see an idle store. The load known from many runners is
// returned unchanged: with one more fetch, a load was estimated at 335 ms that took
// 281.
func (s StoreLoad) withOneMoreFetch() StoreLoad {
	if s.Capacity < minKnownCapacity {
		s.Fetches++
	}
	return s
}

// FetchCapacityPerRunner returns the number of concurrent fetches per runner that the
// weight store serves at full speed.
func FetchCapacityPerRunner(loadsPerSecond float64, runners int) float64 {
	if loadsPerSecond <= 0 || runners <= 0 {
		return fetchesPerRunner
	}
	return min(fetchesPerRunner, fetchesPerLoadRate*loadsPerSecond/float64(runners))
}

// LoadTimes estimates how long loads of adapters take. Runners don't tell when a load
// is done, so it learns from requests that arrive too early. It is safe for
// concurrent use.
type LoadTimes struct {
	mu     sync.Mutex
	fetch  timeEstimate
	reload timeEstimate
}

// timeEstimate is the estimate for one kind of load.
type timeEstimate struct {
	time     time.Duration
	min, max time.Duration
}

// scale multiplies the estimate by a step, within its bounds.
func (e *timeEstimate) scale(step float64) {
	scaled := time.Duration(float64(e.time) * step)
	e.time = min(e.max, max(e.min, scaled))
}

// NewLoadTimes returns the initial estimates.
func NewLoadTimes() *LoadTimes {
	return &LoadTimes{
		fetch:  timeEstimate{time: initialFetchTime, min: minFetchTime, max: maxFetchTime},
		reload: timeEstimate{time: initialReloadTime, min: minReloadTime, max: initialFetchTime},
	}
}

// Estimate returns the expected time of a load at the given load of the store, which
// doesn't slow down reloads of recently held adapters.
func (t *LoadTimes) Estimate(recent bool, store StoreLoad) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if recent {
		return t.reload.time
	}
	return min(maxFetchTime, time.Duration(float64(t.fetch.time)*store.slowdown()))
}

// TooEarly records that a load was not done when a request for its adapter arrived.
// It is called once for each such load.
func (t *LoadTimes) TooEarly(recent bool) { t.scale(recent, tooEarlyStep) }

// LoadAccepted records an accepted load, which counts as done in time. If it turns out to
// take longer than estimated, TooEarly is called for it as well.
func (t *LoadTimes) LoadAccepted(recent bool) { t.scale(recent, inTimeStep) }

func (t *LoadTimes) scale(recent bool, step float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if recent {
		t.reload.scale(step)
		return
	}
	t.fetch.scale(step)
}
