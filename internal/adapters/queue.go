package adapters

import (
	"slices"
	"time"

	"github.com/cherrystage/cherrystage/internal/site"
)

// want is a load that somebody waits for.
type want struct {
	key Key
	// askedAt is when somebody asked for it last, until when it is of use.
	askedAt time.Time
	until   time.Time
	// target is when the adapter has to be there for its first asker to be
	// served on time.
	target time.Time
	// number grows with each load that is wanted.
	number uint64
	// placeAt is when a place should be free for it.
	placeAt time.Time
	// askers counts the requests that wait for it.
	askers int
}

// queueTime estimates how long a load takes until it is over, after those that
// go before it; the lock is held.
//
// While the weight store is not crowded, several fetches run side by side. Taken
// one after the other, a request whose adapter was there after 290 ms was told to
// come again after 580, too late for its target.
func (k *Controller) queueTime(w *want, now time.Time) time.Duration {
	own := k.loadTime(w.key)
	inTime := !w.target.Before(now.Add(own))
	var reloads time.Duration
	fetches := 0
	for _, other := range k.waiting {
		switch {
		case other == w || !k.before(other, w, inTime, now):
		case k.slots.Recent(other.key):
			reloads += k.loadTime(other.key)
		default:
			fetches++
		}
	}
	if k.slots.Recent(w.key) {
		return reloads + own
	}
	crowd := k.StoreLoad()
	if float64(crowd.Fetches) < crowd.Capacity {
		return reloads + own*time.Duration(1+fetches/lanes(crowd))
	}
	return reloads + k.turnsTime(fetches, crowd, now)
}

// turnsTime is how long a fetch takes at a crowded store, after so many others of
// this runner; the lock is held. Runners take turns there: a request was told that
// its adapter would be there in time and came back to find that it was not even on
// its way, too late to go anywhere else.
func (k *Controller) turnsTime(before int, crowd StoreLoad, now time.Time) time.Duration {
	turn := k.turn(crowd)
	first := max(0, k.fetchedAt.Add(turn).Sub(now))
	return first + time.Duration(before)*turn + k.Times.Estimate(false, crowd)
}

// lanes is the number of fetches that may run side by side.
func lanes(crowd StoreLoad) int {
	return min(maxTransit, max(1, 1+int(crowd.Capacity)-crowd.Fetches))
}

// loadTime gives the likely time of a load on an idle store; the lock is held.
func (k *Controller) loadTime(key Key) time.Duration {
	return k.Times.Estimate(k.slots.Recent(key), StoreLoad{})
}

// before says whether a load goes before another one, which could be over in
// time or not. Those that need nothing of the weight store go first.
func (k *Controller) before(other, w *want, inTime bool, now time.Time) bool {
	if reload := k.slots.Recent(other.key); reload != k.slots.Recent(w.key) {
		return reload
	}
	otherInTime := !other.target.Before(now.Add(k.loadTime(other.key)))
	if otherInTime != inTime {
		return otherInTime
	}
	if !inTime && other.askers != w.askers {
		// None of their requests will be on time. The adapter that most of them
		// wait for is also the one that most will ask for next.
		return other.askers > w.askers
	}
	if !other.target.Equal(w.target) {
		return other.target.Before(w.target)
	}
	return other.number < w.number
}

// want asks for an adapter and tells from when it is there; the lock is held.
// A load that cannot be ordered at once is queued: the asker comes again.
func (k *Controller) want(ask AdmissionRequest, now time.Time) (time.Time, error) {
	if readyAt, ok := k.slots.Ready(ask.Key); ok {
		k.slots.Touch(ask.Key.Adapter, now)
		return readyAt, nil
	}
	w := k.queued(ask.Key)
	known := w != nil
	if !known {
		if err := k.lies(ask); err != nil {
			return time.Time{}, err
		}
		k.wanted++
		w = &want{key: ask.Key, target: now.Add(ask.LatencyBudget), number: k.wanted}
	}
	took := k.queueTime(w, now)
	if took > k.loadPatience(ask) {
		return time.Time{}, ErrLoadTooSlow
	}
	if !known {
		wait, ok := k.placeWait(ask, took, now)
		if !ok {
			return time.Time{}, ErrNoFreeSlot
		}
		took += wait
		w.placeAt = now.Add(wait)
		k.waiting = append(k.waiting, w)
		k.nudge()
	}
	w.askedAt = now
	w.until = now.Add(ask.MaxWait)
	if !ask.Waited {
		w.askers++
	}
	return now.Add(took), nil
}

// placeLeft says whether a place is left for one more load beside those that wait;
// the lock is held.
//
// Requests for cold adapters come in clumps, and a runner has few places. Where one
// idle adapter was room enough for any number of waiting loads, all but one of their
// requests were refused in the end, after a quarter of a second and more, while
// another runner could have served them. On busy days of twelve runners with five
// places each, refusing them at once served 0.742 of what was owed and not 0.729
// (means of the same 12 days of 34 s).
func (k *Controller) placeLeft(now time.Time) bool {
	return k.slots.Free()+k.slots.Idle(now) > len(k.waiting)
}

// placeWait is how long a load waits for a place, and false if it should not wait
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
func (k *Controller) placeWait(ask AdmissionRequest, took time.Duration, now time.Time) (time.Duration, bool) {
	if k.placeLeft(now) {
		return 0, true
	}
	if !k.slots.Recent(ask.Key) {
		return 0, false
	}
	at, ok := k.slots.PlaceAt(1+len(k.waiting), now)
	wait := at.Sub(now)
	if !ok || wait > k.estimate(false) || wait+took > ask.LatencyBudget {
		return 0, false
	}
	return wait, true
}

// lies refuses the load of an adapter that lies on another runner already; the
// lock is held.
func (k *Controller) lies(ask AdmissionRequest) error {
	if ask.Home && !ask.Retry && k.replicas.Known(ask.Key) {
		return ErrHeldElsewhere
	}
	return nil
}

// loadPatience is how long a request waits for its adapter here; the lock is
// held. While others may load it sooner it does not wait beyond its target, unless
// a load alone takes longer than that: then it is late everywhere.
func (k *Controller) loadPatience(ask AdmissionRequest) time.Duration {
	if ask.LastResort || ask.Waited {
		return ask.MaxWait
	}
	return min(ask.MaxWait, max(ask.LatencyBudget, k.loadTime(ask.Key)))
}

// aheadTarget is how late a load that nobody waits for may be: after every load
// that somebody waits for and that can be in time.
const aheadTarget = 2 * time.Second

// Prefetch has an adapter loaded before anybody asks for it, if there is room.
func (k *Controller) Prefetch(key Key) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.Now()
	if _, there := k.slots.Ready(key); there || k.refusing != nil {
		return
	}
	if _, err := k.want(AdmissionRequest{Key: key, LatencyBudget: aheadTarget, MaxWait: 2 * aheadTarget}, now); err != nil {
		k.log.Debug("not loaded ahead", "adapter", key.String(), "version", key.Version, "error", err.Error())
	}
}

// Holds says whether any version of an adapter is on the runner.
func (k *Controller) Holds(adapter site.Adapter) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	_, ok := k.slots.places[adapter]
	return ok
}

// HeldKeys gives the adapters on the runner whose version is in force.
func (k *Controller) HeldKeys(versions map[site.Adapter]int64) []Key {
	k.mu.Lock()
	defer k.mu.Unlock()
	held := make([]Key, 0, len(k.slots.places))
	for adapter := range k.slots.places {
		key := Key{Adapter: adapter, Version: versions[adapter]}
		if k.holds(key) {
			held = append(held, key)
		}
	}
	return held
}

func (k *Controller) queued(key Key) *want {
	for _, w := range k.waiting {
		if w.key == key {
			return w
		}
	}
	return nil
}

// firstWaiting gives the load to order next; the lock is held.
//
// More loads may be wanted than the weight store can do. In the order of their
// coming all then wait for seconds and none is in time. Those that can still be
// in time go first, the most urgent before the others, and the late ones take
// what is left: as many as the store can do are on time.
func (k *Controller) firstWaiting() *want {
	var first *want
	now := k.Now()
	for _, w := range k.waiting {
		inTime := first != nil && !first.target.Before(now.Add(k.loadTime(first.key)))
		if first == nil || k.before(w, first, inTime, now) {
			first = w
		}
	}
	return first
}

// staleWant is how long after a load should have been over nobody has asked
// again: the callers have left.
const staleWant = time.Second

// forgetOld drops loads that are there or that nobody wants any more; the lock
// is held.
func (k *Controller) forgetOld(now time.Time) {
	k.waiting = slices.DeleteFunc(k.waiting, func(w *want) bool {
		_, there := k.slots.Ready(w.key)
		return there || now.After(w.until) || now.Sub(w.askedAt) > k.queueTime(w, now)+staleWant
	})
}

func (k *Controller) drop(key Key) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.waiting = slices.DeleteFunc(k.waiting, func(w *want) bool { return w.key == key })
}
