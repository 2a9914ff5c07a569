package adapters

import (
	"sync"
	"time"
)

const (
	// initialFetchTime is what an adapter takes from the weight store, by the
	// platform's pages (250 to 288 ms), and firstReloadTime what one takes that
	// the runner held recently, a tenth of it. Where loads take 288 ms, 255 to
	// begin with had 458 requests late on a grown day of the experiment and 290
	// has 326; where they take 250 it makes no difference, since the next fetch is
	// ordered before the one before it should be over.
	initialFetchTime  = 290 * time.Millisecond
	initialReloadTime = 30 * time.Millisecond
	// tooEarlyStep and inTimeStep move an estimate after a load that was not
	// over in time and after one that was. At rest one load in 23 is met too
	// early, which costs its request one more try and 40 ms; an estimate that is
	// too long costs each request the difference, and the runner its loads.
	tooEarlyStep = 1.045
	inTimeStep   = 0.998
	// fetchesPerRunner and transitRate tell how many loads at a time the weight store
	// serves at full speed, which nothing says outright. The sheets have 8 with 9
	// runners, 16 with 18 and 64 with 112, and 3.5, 5.8 and 32 loads of base models
	// a second: the smaller of 0.89 a runner and 2.3 times that rate gives 8, 13
	// and 74. Too low costs loads, too high only makes each of them longer.
	fetchesPerRunner   = 0.89
	fetchesPerLoadRate = 2.3
	// minFetchTime, minReload and maxLoad bound the estimates.
	minFetchTime  = 100 * time.Millisecond
	minReloadTime = 10 * time.Millisecond
	maxFetchTime  = 3 * time.Second
)

// StoreLoad is the weight store's load, as far as it is known.
type StoreLoad struct {
	// Fetches is the number of adapters on their way to the runners that are
	// known of, Full the part of what the store serves at full speed that falls
	// to them.
	Fetches  int
	Capacity float64
	// PerRunner is that part for one runner.
	PerRunner float64
}

// slowdown says how many times as long a load takes.
func (c StoreLoad) slowdown() float64 {
	if c.Capacity <= 0 {
		return 1
	}
	return max(1, float64(c.Fetches)/c.Capacity)
}

// minKnownCapacity is the part of the weight store below which a host knows too little of
// the others.
const minKnownCapacity = 3

// withOneMoreFetch gives the load once one more adapter is on its way. At a total loss
// all runners begin to load at once, and a host that knows of its own runner only
// would otherwise see an idle store. What is known of many runners is taken as it
// is: counted once more, a load was thought to take 335 ms where it took 281.
func (c StoreLoad) withOneMoreFetch() StoreLoad {
	if c.Capacity < minKnownCapacity {
		c.Fetches++
	}
	return c
}

// FetchCapacityPerRunner is the number of loads at a time, per runner, that the weight store
// serves at full speed.
func FetchCapacityPerRunner(loadsPerSecond float64, runners int) float64 {
	if loadsPerSecond <= 0 || runners <= 0 {
		return fetchesPerRunner
	}
	return min(fetchesPerRunner, fetchesPerLoadRate*loadsPerSecond/float64(runners))
}

// LoadTimes estimates how long loads of adapters take. Runners do not tell
// when a load is over, so it is learnt from requests that came too early. It is
// safe for concurrent use.
type LoadTimes struct {
	mu     sync.Mutex
	fetch  timeEstimate
	reload timeEstimate
}

// timeEstimate is of one kind of load.
type timeEstimate struct {
	time     time.Duration
	min, max time.Duration
}

// scale takes a load into account that was met too early or was over in time.
func (e *timeEstimate) scale(step float64) {
	moved := time.Duration(float64(e.time) * step)
	e.time = min(e.max, max(e.min, moved))
}

// NewLoadTimes makes the estimates to start from.
func NewLoadTimes() *LoadTimes {
	return &LoadTimes{
		fetch:  timeEstimate{time: initialFetchTime, min: minFetchTime, max: maxFetchTime},
		reload: timeEstimate{time: initialReloadTime, min: minReloadTime, max: initialFetchTime},
	}
}

// Estimate gives the likely time of a load while so much else is on its way.
func (t *LoadTimes) Estimate(recent bool, store StoreLoad) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if recent {
		return t.reload.time
	}
	return min(maxFetchTime, time.Duration(float64(t.fetch.time)*store.slowdown()))
}

// TooEarly notes a request that came before its adapter was there.
func (t *LoadTimes) TooEarly(recent bool) { t.move(recent, tooEarlyStep) }

// InTime notes a load that nobody met too early.
func (t *LoadTimes) InTime(recent bool) { t.move(recent, inTimeStep) }

func (t *LoadTimes) move(recent bool, step float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if recent {
		t.reload.scale(step)
		return
	}
	t.fetch.scale(step)
}
