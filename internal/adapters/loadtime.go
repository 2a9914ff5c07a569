package adapters

import (
	"sync"
	"time"
)

const (
	// firstLoadTime is what an adapter takes from the weight store, by the
	// platform's pages (250 to 288 ms), and firstReloadTime what one takes that
	// the runner held recently, a tenth of it.
	firstLoadTime   = 255 * time.Millisecond
	firstReloadTime = 30 * time.Millisecond
	// tooEarlyStep and inTimeStep move an estimate after a load that was not
	// over in time and after one that was. At rest one load in 23 is met too
	// early, which costs its request one more try and 40 ms; an estimate that is
	// too long costs each request the difference, and the runner its loads.
	tooEarlyStep = 1.045
	inTimeStep   = 0.998
	// transitShare is the number of loads at a time, per runner, that the weight
	// store serves at full speed: 8 with 9 runners, 16 with 18.
	transitShare = 0.89
	// minLoad, minReload and maxLoad bound the estimates.
	minLoad   = 100 * time.Millisecond
	minReload = 10 * time.Millisecond
	maxLoad   = 3 * time.Second
)

// LoadTimes estimates how long loads of adapters take. Runners do not tell
// when a load is over, so it is learnt from requests that came too early. It is
// safe for concurrent use.
type LoadTimes struct {
	mu    sync.Mutex
	fresh time.Duration
	again time.Duration
}

// NewLoadTimes makes the estimates to start from.
func NewLoadTimes() *LoadTimes {
	return &LoadTimes{fresh: firstLoadTime, again: firstReloadTime}
}

// Estimate gives the likely time of a load, with so many other adapters on
// their way over all runners.
func (t *LoadTimes) Estimate(recent bool, transit, runners int) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if recent {
		return t.again
	}
	crowd := float64(transit) / (transitShare * float64(max(1, runners)))
	return min(maxLoad, time.Duration(float64(t.fresh)*max(1, crowd)))
}

// TooEarly notes a request that came before its adapter was there.
func (t *LoadTimes) TooEarly(recent bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if recent {
		t.again = min(t.fresh, time.Duration(float64(t.again)*tooEarlyStep))
		return
	}
	t.fresh = min(maxLoad, time.Duration(float64(t.fresh)*tooEarlyStep))
}

// InTime notes a load that nobody met too early.
func (t *LoadTimes) InTime(recent bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if recent {
		t.again = max(minReload, time.Duration(float64(t.again)*inTimeStep))
		return
	}
	t.fresh = max(minLoad, time.Duration(float64(t.fresh)*inTimeStep))
}
