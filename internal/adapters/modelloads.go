package adapters

import (
	"sync"
	"time"
)

// ModelLoadLimit is the weight store's limit on loads of base models by all hosts
// together. In each window it allows the store's rate over the window times
// Overshoot (1.1 is a tenth above the rate), plus extraLoads.
type ModelLoadLimit struct {
	Window    time.Duration
	Overshoot float64
}

const (
	// extraLoads are allowed beyond the rate, by the platform's documentation.
	extraLoads = 3
	// usedShare is the part of the limit that is divided among the hosts. It is one
	// half because a host that saved up its share and continues at its rate uses
	// twice the share in one window.
	usedShare = 0.5
)

// ModelLoadLimiter enforces one host's share of the limit. It is safe for concurrent
// use.
//
// It guards against all runners coming back empty at once: each owner orders the base
// model for each of its runners, and together they start more loads than the weight
// store allows.
type ModelLoadLimiter struct {
	limit ModelLoadLimit

	mu sync.Mutex
	// paidUntil is when the rate will have made up for the loads taken so far.
	paidUntil time.Time
}

// NewModelLoadLimiter returns the limiter of one host.
func NewModelLoadLimiter(limit ModelLoadLimit) *ModelLoadLimiter {
	return &ModelLoadLimiter{limit: limit}
}

// Take takes one load from the host's share. If there is none it returns how long to
// wait, otherwise 0.
func (m *ModelLoadLimiter) Take(now time.Time, perSecond float64, hosts int) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	window := m.limit.Window
	if window <= 0 || perSecond <= 0 {
		return 0
	}
	share := (perSecond*window.Seconds()*m.limit.Overshoot + extraLoads) * usedShare / float64(max(1, hosts))
	each := time.Duration(float64(window) / share)
	burst := max(0, window-each)
	if m.paidUntil.Before(now) {
		m.paidUntil = now
	}
	if wait := m.paidUntil.Sub(now) - burst; wait > 0 {
		return wait
	}
	m.paidUntil = m.paidUntil.Add(each)
	return 0
}
