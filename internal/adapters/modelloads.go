package adapters

import (
	"sync"
	"time"
)

// ModelLoadLimit is the weight store's bound on loads of base models, over all hosts
// together: in each window, the store's rate over the window times Overshoot, and
// a few more.
type ModelLoadLimit struct {
	Window    time.Duration
	Overshoot float64
}

const (
	// extraLoads are allowed beyond the rate, by the platform's pages.
	extraLoads = 3
	// usedShare is the part of the bound that hosts share. Half: a host that has
	// saved its part up and goes on at its rate uses twice the part in a window.
	usedShare = 0.5
)

// ModelLoadLimiter keeps one host's part of the bound. It is safe for concurrent use.
//
// The load it answers: all runners come back empty at once. Each owner orders
// the base model for each of its runners, and more loads begin than the weight
// store allows.
type ModelLoadLimiter struct {
	limit ModelLoadLimit

	mu sync.Mutex
	// paidUntil is when the loads that were taken are paid for.
	paidUntil time.Time
}

// NewModelLoadLimiter makes a host's part.
func NewModelLoadLimiter(limit ModelLoadLimit) *ModelLoadLimiter {
	return &ModelLoadLimiter{limit: limit}
}

// Take takes one load, or gives how long to wait for it.
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
