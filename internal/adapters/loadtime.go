package adapters

import (
	"sync"
	"time"
)

const (
	// initialFetchTime is the estimate for a load from the weight store, which takes
	// 250 to 288 ms by the platform's documentation. initialReloadTime is that for an
	// adapter that the runner held recently, a tenth of it. Where loads take 288 ms,
	// 458 requests were late on a grown day of the experiment with an initial 255 ms,
	// and 326 with 290. Where they take 250 ms it makes no difference, since the next
	// fetch is ordered before the current one should be done.
	initialFetchTime  = 290 * time.Millisecond
	initialReloadTime = 30 * time.Millisecond
	// tooEarlyStep and inTimeStep are the factors applied to an estimate after a load
	// that took longer and after one that was done in time. In equilibrium one load
	// in 23 is not done in time, which costs its request another attempt and 40 ms.
	// An estimate that is too long delays each request by the difference and costs
	// the runner loads.
	tooEarlyStep = 1.045
	inTimeStep   = 0.998
	// fetchesPerRunner and fetchesPerLoadRate estimate how many concurrent loads the
	// weight store serves at full speed, which isn't documented directly. The
	// platform's sheets have 8 with 9 runners, 16 with 18 and 64 with 112, and 3.5,
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
	// is the number of concurrent fetches, out of those that the store serves at full
	// speed, that falls to these runners.
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

// withOneMoreFetch returns the load with one more fetch running. After a total loss
// all runners start to load at once, and a host that knows only its own runner would
// otherwise see an idle store. The load known from many runners is used unchanged:
// with one more fetch, a load was estimated at 335 ms that took 281.
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

// TooEarly records a request that arrived before its adapter's load was done.
func (t *LoadTimes) TooEarly(recent bool) { t.scale(recent, tooEarlyStep) }

// InTime records a load. Those that turn out to be underestimated are recorded by
// TooEarly as well.
func (t *LoadTimes) InTime(recent bool) { t.scale(recent, inTimeStep) }

func (t *LoadTimes) scale(recent bool, step float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if recent {
		t.reload.scale(step)
		return
	}
	t.fetch.scale(step)
}
