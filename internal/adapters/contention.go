package adapters

import (
	"sync/atomic"
	"time"

	"github.com/cherrystage/cherrystage/internal/placing"
	"github.com/cherrystage/cherrystage/internal/precedence"
	"github.com/pkg/errors"
)

// ContentionCounters count the decisions by which some requests go before others.
type ContentionCounters struct {
	// Deferrals counts the times that a request was told to ask again because others go
	// first, DeferralsRefused the deferred requests that were refused in the end.
	Deferrals, DeferralsRefused atomic.Int64
	// DisplacedLoads counts the queued loads that gave their adapter slots to loads of
	// higher precedence, ReservedSlots the requests refused because the last request
	// slots are kept for higher precedence.
	DisplacedLoads, ReservedSlots atomic.Int64
}

// ordersByRank reports whether loads are ordered by the ranks of their requests: while
// the weight store is saturated. c.mu must be held.
func (c *Controller) ordersByRank(now time.Time) bool {
	if !c.turns.Active(now) {
		return false
	}
	store := c.StoreLoad()
	return float64(store.Fetches) >= store.Capacity
}

// rankOf returns the rank of a request's load; c.mu must be held.
func (c *Controller) rankOf(ask AdmissionRequest, now time.Time) precedence.Rank {
	if ask.proactive || !c.turns.Active(now) {
		return precedence.Rank{}
	}
	return c.turns.RankOf(c.turnOf(ask), now)
}

// displaceLoad removes the queued load of the lowest rank to make room for a load of a
// higher one. It returns how long that load waits for the slot, or false if there is no
// such load or the slot is free too late. Adapters that are loaded or being loaded stay.
// c.mu must be held.
func (c *Controller) displaceLoad(ask AdmissionRequest, rank precedence.Rank, loadTime time.Duration, now time.Time) (time.Duration, bool) {
	if !c.turns.Active(now) {
		return 0, false
	}
	queued := make([]precedence.QueuedLoad, 0, len(c.pending))
	var loads []*pendingLoad
	for _, load := range c.pending {
		// Loads ahead of demand have no slot of their own, see slotLeft.
		if _, ordered := c.slots.entries[load.key.Adapter]; ordered || load.ahead || load.key == c.ordering {
			continue
		}
		loads = append(loads, load)
		queued = append(queued, precedence.QueuedLoad{Rank: load.rank, DueAt: load.dueAt})
	}
	index, found := precedence.Displaced(queued, rank)
	if !found {
		return 0, false
	}
	displaced := loads[index]
	wait := max(0, displaced.slotExpectedAt.Sub(now))
	if wait+loadTime > c.maxLoadWait(ask) {
		return 0, false
	}
	c.removePending(displaced)
	c.Contention.DisplacedLoads.Add(1)
	c.log.Info("queued load displaced", "adapter", displaced.key.String(), "requests", displaced.requests, "precedence", displaced.rank.Precedence, "for", ask.Key.String(), "for_precedence", rank.Precedence)
	return wait, true
}

// keepsLastSlots reports whether the free request slots are kept for requests of higher
// precedence; c.mu must be held. A request that was told to ask again has its slot.
func (c *Controller) keepsLastSlots(ask AdmissionRequest, load int, now time.Time) bool {
	if load < placing.Unreserved(c.runner.Slots) || ask.Waited || !c.turns.Reserved(c.turnOf(ask), now) {
		return false
	}
	c.Contention.ReservedSlots.Add(1)
	return true
}

// WaitError is a refusal with the time after which the runner is expected to have
// capacity for such a request.
type WaitError struct {
	Err  error
	Wait time.Duration
}

// Error implements error.
func (e *WaitError) Error() string { return e.Err.Error() }

// Unwrap returns the refusal.
func (e *WaitError) Unwrap() error { return e.Err }

// WaitOf returns the wait that a refusal carries, 0 if it carries none.
func WaitOf(err error) time.Duration {
	var waitErr *WaitError
	if !errors.As(err, &waitErr) {
		return 0
	}
	return waitErr.Wait
}

// delayed adds the expected wait to a refusal; 0 stands for none.
func delayed(err error, wait time.Duration) error {
	if wait <= 0 {
		return err
	}
	return &WaitError{Err: err, Wait: wait}
}

// loadTooSlow refuses a request whose adapter would be loaded after loadTime; c.mu must
// be held.
func (c *Controller) loadTooSlow(ask AdmissionRequest, loadTime time.Duration, now time.Time) error {
	if !c.turns.Active(now) {
		return ErrLoadTooSlow
	}
	return delayed(ErrLoadTooSlow, loadTime-c.idleLoadTime(ask.Key))
}

// noFreeSlot refuses a request for whose adapter there is no slot; c.mu must be held.
func (c *Controller) noFreeSlot(now time.Time) error {
	if !c.turns.Active(now) {
		return ErrNoFreeSlot
	}
	at, ok := c.slots.SlotsFreeAt(1+c.requestedLoads(), now)
	if !ok {
		return ErrNoFreeSlot
	}
	return delayed(ErrNoFreeSlot, at.Sub(now))
}
