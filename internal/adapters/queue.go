package adapters

import (
	"slices"
	"time"

	"github.com/cherrystage/cherrystage/internal/site"
)

// pendingLoad is a load that somebody waits for.
type pendingLoad struct {
	key Key
	// lastAskedAt is when somebody asked for it last, until when it is of use.
	lastAskedAt time.Time
	usefulUntil time.Time
	// dueAt is when the adapter has to be there for its first asker to be
	// served on time.
	dueAt time.Time
	// seq grows with each load that is wanted.
	seq uint64
	// slotExpectedAt is when a place should be free for it.
	slotExpectedAt time.Time
	// requests counts the requests that wait for it.
	requests int
}

// timeUntilLoaded estimates how long a load takes until it is over, after those that
// go before it; the lock is held.
//
// While the weight store is not crowded, several fetches run side by side. Taken
// one after the other, a request whose adapter was there after 290 ms was told to
// come again after 580, too late for its target.
func (c *Controller) timeUntilLoaded(w *pendingLoad, now time.Time) time.Duration {
	own := c.idleLoadTime(w.key)
	inTime := !w.dueAt.Before(now.Add(own))
	var reloads time.Duration
	fetches := 0
	for _, other := range c.pending {
		switch {
		case other == w || !c.precedes(other, w, inTime, now):
		case c.slots.HeldRecently(other.key):
			reloads += c.idleLoadTime(other.key)
		default:
			fetches++
		}
	}
	if c.slots.HeldRecently(w.key) {
		return reloads + own
	}
	store := c.StoreLoad()
	if float64(store.Fetches) < store.Capacity {
		return reloads + own*time.Duration(1+fetches/parallelFetches(store))
	}
	return reloads + c.timeAtSaturatedStore(fetches, store, now)
}

// timeAtSaturatedStore is how long a fetch takes at a crowded store, after so many others of
// this runner; the lock is held. Runners take turns there: a request was told that
// its adapter would be there in time and came back to find that it was not even on
// its way, too late to go anywhere else.
func (c *Controller) timeAtSaturatedStore(before int, store StoreLoad, now time.Time) time.Duration {
	interval := c.fetchInterval(store)
	first := max(0, c.lastFetchAt.Add(interval).Sub(now))
	return first + time.Duration(before)*interval + c.Times.Estimate(false, store)
}

// parallelFetches is the number of fetches that may run side by side.
func parallelFetches(store StoreLoad) int {
	return min(maxConcurrentLoads, max(1, 1+int(store.Capacity)-store.Fetches))
}

// idleLoadTime gives the likely time of a load on an idle store; the lock is held.
func (c *Controller) idleLoadTime(key Key) time.Duration {
	return c.Times.Estimate(c.slots.HeldRecently(key), StoreLoad{})
}

// precedes says whether a load goes precedes another one, which could be over in
// time or not. Those that need nothing of the weight store go first.
func (c *Controller) precedes(other, w *pendingLoad, inTime bool, now time.Time) bool {
	if reload := c.slots.HeldRecently(other.key); reload != c.slots.HeldRecently(w.key) {
		return reload
	}
	otherInTime := !other.dueAt.Before(now.Add(c.idleLoadTime(other.key)))
	if otherInTime != inTime {
		return otherInTime
	}
	if !inTime && other.requests != w.requests {
		// None of their requests will be on time. The adapter that most of them
		// wait for is also the one that most will ask for next.
		return other.requests > w.requests
	}
	if !other.dueAt.Equal(w.dueAt) {
		return other.dueAt.Before(w.dueAt)
	}
	return other.seq < w.seq
}

// requestLoad asks for an adapter and tells from when it is there; the lock is held.
// A load that cannot be ordered at once is queued: the asker comes again.
func (c *Controller) requestLoad(ask AdmissionRequest, now time.Time) (time.Time, error) {
	if readyAt, ok := c.slots.Ready(ask.Key); ok {
		c.slots.Touch(ask.Key.Adapter, now)
		return readyAt, nil
	}
	w := c.findPending(ask.Key)
	known := w != nil
	if !known {
		if err := c.checkHeldElsewhere(ask); err != nil {
			return time.Time{}, err
		}
		c.lastSeq++
		w = &pendingLoad{key: ask.Key, dueAt: now.Add(ask.LatencyBudget), seq: c.lastSeq}
	}
	took := c.timeUntilLoaded(w, now)
	if took > c.maxLoadWait(ask) {
		return time.Time{}, ErrLoadTooSlow
	}
	if !known {
		wait, ok := c.slotWait(ask, took, now)
		if !ok {
			return time.Time{}, ErrNoFreeSlot
		}
		took += wait
		w.slotExpectedAt = now.Add(wait)
		c.pending = append(c.pending, w)
		c.wakeUp()
	}
	w.lastAskedAt = now
	w.usefulUntil = now.Add(ask.MaxWait)
	if !ask.Waited {
		w.requests++
	}
	return now.Add(took), nil
}

// slotLeft says whether a place is left for one more load beside those that wait;
// the lock is held.
//
// Requests for cold adapters come in clumps, and a runner has few places. Where one
// idle adapter was room enough for any number of waiting loads, all but one of their
// requests were refused in the end, after a quarter of a second and more, while
// another runner could have served them. On busy days of twelve runners with five
// places each, refusing them at once served 0.742 of what was owed and not 0.729
// (means of the same 12 days of 34 s).
func (c *Controller) slotLeft(now time.Time) bool {
	return c.slots.Free()+c.slots.IdleCount(now) > len(c.pending)
}

// slotWait is how long a load waits for a place, and false if it should not wait
// here; the lock is held.
//
// A runner loads what it held lately for a tenth of the time and without the weight
// store. Sent on while all its places were in use, a request had its adapter fetched
// elsewhere: three of ten fetches were of adapters that a runner still had in its
// memory, and on busy days the store was what most late answers had waited for. So
// such a request waits, for as long as a fetch would take at most. On the days that
// placeLeft names, 0.777 of what was owed was served and not 0.741, with a tenth
// fewer fetches. Others are sent on: where they waited for a place as the last
// resort, 0.748 was served.
func (c *Controller) slotWait(ask AdmissionRequest, took time.Duration, now time.Time) (time.Duration, bool) {
	if c.slotLeft(now) {
		return 0, true
	}
	if !c.slots.HeldRecently(ask.Key) {
		return 0, false
	}
	at, ok := c.slots.SlotsFreeAt(1+len(c.pending), now)
	wait := at.Sub(now)
	if !ok || wait > c.estimateLoad(false) || wait+took > ask.LatencyBudget {
		return 0, false
	}
	return wait, true
}

// checkHeldElsewhere refuses the load of an adapter that checkHeldElsewhere on another runner already; the
// lock is held.
func (c *Controller) checkHeldElsewhere(ask AdmissionRequest) error {
	if ask.Home && !ask.Retry && c.replicas.Has(ask.Key) {
		return ErrHeldElsewhere
	}
	return nil
}

// maxLoadWait is how long a request waits for its adapter here; the lock is
// held. While others may load it sooner it does not wait beyond its target, unless
// a load alone takes longer than that: then it is late everywhere.
func (c *Controller) maxLoadWait(ask AdmissionRequest) time.Duration {
	if ask.LastResort || ask.Waited {
		return ask.MaxWait
	}
	return min(ask.MaxWait, max(ask.LatencyBudget, c.idleLoadTime(ask.Key)))
}

// prefetchBudget is how late a load that nobody waits for may be: after every load
// that somebody waits for and that can be in time.
const prefetchBudget = 2 * time.Second

// Prefetch has an adapter loaded before anybody asks for it, if there is room.
func (c *Controller) Prefetch(key Key) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Now()
	if _, there := c.slots.Ready(key); there || c.refusal != nil {
		return
	}
	if _, err := c.requestLoad(AdmissionRequest{Key: key, LatencyBudget: prefetchBudget, MaxWait: 2 * prefetchBudget}, now); err != nil {
		c.log.Debug("not loaded ahead", "adapter", key.String(), "version", key.Version, "error", err.Error())
	}
}

// Holds says whether any version of an adapter is on the runner.
func (c *Controller) Holds(adapter site.Adapter) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, ok := c.slots.entries[adapter]
	return ok
}

// HeldKeys gives the adapters on the runner whose version is in force.
func (c *Controller) HeldKeys(versions map[site.Adapter]int64) []Key {
	c.mu.Lock()
	defer c.mu.Unlock()
	held := make([]Key, 0, len(c.slots.entries))
	for adapter := range c.slots.entries {
		key := Key{Adapter: adapter, Version: versions[adapter]}
		if c.holdsOrLoads(key) {
			held = append(held, key)
		}
	}
	return held
}

func (c *Controller) findPending(key Key) *pendingLoad {
	for _, w := range c.pending {
		if w.key == key {
			return w
		}
	}
	return nil
}

// nextPending gives the load to order next; the lock is held.
//
// More loads may be wanted than the weight store can do. In the order of their
// coming all then wait for seconds and none is in time. Those that can still be
// in time go first, the most urgent before the others, and the late ones take
// what is left: as many as the store can do are on time.
func (c *Controller) nextPending() *pendingLoad {
	var first *pendingLoad
	now := c.Now()
	for _, w := range c.pending {
		inTime := first != nil && !first.dueAt.Before(now.Add(c.idleLoadTime(first.key)))
		if first == nil || c.precedes(w, first, inTime, now) {
			first = w
		}
	}
	return first
}

// staleAfter is how long after a load should have been over nobody has asked
// again: the callers have left.
const staleAfter = time.Second

// dropStale drops loads that are there or that nobody wants any more; the lock
// is held.
func (c *Controller) dropStale(now time.Time) {
	c.pending = slices.DeleteFunc(c.pending, func(w *pendingLoad) bool {
		_, there := c.slots.Ready(w.key)
		return there || now.After(w.usefulUntil) || now.Sub(w.lastAskedAt) > c.timeUntilLoaded(w, now)+staleAfter
	})
}

func (c *Controller) dropPending(key Key) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending = slices.DeleteFunc(c.pending, func(w *pendingLoad) bool { return w.key == key })
}
