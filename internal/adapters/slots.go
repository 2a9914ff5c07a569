// Package adapters decides for the owner of a runner which adapters are on the
// runner, which are loaded next and which are evicted. AdapterSlots holds the rules;
// it does no I/O and takes the time as an argument. Controller gives the orders to
// the runner.
package adapters

import (
	"strconv"
	"time"

	"github.com/cherrystage/cherrystage/internal/site"
)

// Key identifies a version of an adapter. Version 0 stands for whichever version the
// weight store has.
type Key struct {
	site.Adapter
	Version int64
}

// phase is the state of an adapter on a runner.
type phase uint8

const (
	// loading: the load was accepted and should be done at readyAt.
	loading phase = iota
	// resident: requests for the adapter can be served.
	resident
	// inDoubt: the order was sent but no answer arrived.
	inDoubt
	// unloading: the unload was accepted and waits for requests that use the adapter.
	unloading
)

// adapterSlot is a slot in use.
type adapterSlot struct {
	phase   phase
	readyAt time.Time
	// orderedAt is when the order that led to this phase was sent.
	orderedAt time.Time
	usedAt    time.Time
	// requests counts the requests that were sent to the adapter and have not ended.
	// Requests of a host that is gone count until latestEnd.
	requests  int
	latestEnd time.Time
	// deferredUntil is when the last request that was deferred will have asked again.
	deferredUntil time.Time
	// lastRun is the request that started last. expectedEnd is when all requests are
	// expected to have ended.
	lastRun     Run
	expectedEnd time.Time
	// underestimated is set once a request arrived before the load was done.
	underestimated bool
	version        int64
	// reload is set if the runner held the adapter recently, so that the load needs
	// nothing from the weight store.
	reload bool
}

// maxConcurrentLoads is the number of adapters that one runner may load at a time.
const maxConcurrentLoads = 4

// minResidence is how long an adapter stays after its load, so that the requests that
// waited for it can use it.
const minResidence = 500 * time.Millisecond

// recentPerSlot is how many evicted adapters are remembered for each slot of a
// runner. The engine reloads adapters that it held recently ten times as fast, but
// doesn't tell how many it keeps. Runners with 8, 21 and 30 slots kept six times as
// many, resident ones included. A request for an adapter that is remembered for too
// long arrives before the load is done and has to be sent once more.
const recentPerSlot = 5

// AdapterSlots is the owner's view of the adapter slots of one runner. It is not safe
// for concurrent use.
type AdapterSlots struct {
	capacity int
	entries  map[site.Adapter]*adapterSlot
	// recent holds the adapters that left the runner recently, with the clock at that
	// time.
	recent map[Key]uint64
	clock  uint64
	// runtimeFactor is the ratio of actual to expected run times of requests on this
	// runner.
	runtimeFactor float64
	// Sequence is the number of orders that the runner has accepted.
	Sequence int64
	// Unanswered are the orders without an answer of the runner's current lifetime.
	// Inherited are those of earlier lifetimes, which may still be carried out in
	// this one.
	Unanswered, Inherited LateOrders
}

// NewAdapterSlots returns the slots of a runner without adapters.
func NewAdapterSlots(capacity int) *AdapterSlots {
	return &AdapterSlots{
		capacity: capacity, entries: map[site.Adapter]*adapterSlot{}, recent: map[Key]uint64{}, runtimeFactor: 1,
		Unanswered: LateOrders{}, Inherited: LateOrders{},
	}
}

// SlotCapacity returns the number of adapters that fit on a runner.
func SlotCapacity(engine *site.Engine, model site.Model) int {
	capacity := engine.AdapterSlots
	if model.AdapterMB > 0 {
		room := int((engine.WeightsMB - model.WeightsMB) / model.AdapterMB)
		capacity = min(capacity, room)
	}
	return max(0, capacity)
}

// Advance marks loads whose expected time has passed as resident and drops late
// orders that can no longer be carried out.
func (s *AdapterSlots) Advance(now time.Time) {
	s.Unanswered.expire(now)
	s.Inherited.expire(now)
	for _, slot := range s.entries {
		if slot.phase == loading && !now.Before(slot.readyAt) {
			slot.phase = resident
		}
	}
}

// Ready reports whether an adapter is resident or being loaded, and from when it can
// be used.
func (s *AdapterSlots) Ready(key Key) (time.Time, bool) {
	slot := s.entries[key.Adapter]
	if slot == nil || slot.phase == inDoubt || slot.phase == unloading {
		return time.Time{}, false
	}
	if key.Version != 0 && slot.version < key.Version {
		return time.Time{}, false
	}
	return slot.readyAt, true
}

// InProgress returns the number of adapters being loaded, and how many of these are
// fetched from the weight store.
func (s *AdapterSlots) InProgress() (all, fetched int) {
	for _, slot := range s.entries {
		if slot.phase != loading && slot.phase != inDoubt {
			continue
		}
		all++
		if !slot.reload {
			fetched++
		}
	}
	return all, fetched
}

// InDoubt returns the number of loads without an answer that no report has confirmed
// or ruled out yet.
func (s *AdapterSlots) InDoubt() int {
	count := 0
	for _, slot := range s.entries {
		if slot.phase == inDoubt {
			count++
		}
	}
	return count
}

// FetchingAt returns the number of fetches from the weight store that will still be
// running at a time.
func (s *AdapterSlots) FetchingAt(at time.Time) int {
	count := 0
	for _, slot := range s.entries {
		if slot.phase == inDoubt || slot.phase == loading && !slot.reload && slot.readyAt.After(at) {
			count++
		}
	}
	return count
}

// Free returns the number of free slots. Slots in doubt are not free, nor are those
// that late orders may take: a load beyond the runner's slots crashes it.
func (s *AdapterSlots) Free() int {
	return s.capacity - len(s.entries) - s.Inherited.reservedSlots(s.Sequence)
}

// Requests returns the number of requests that were sent to adapters and have not ended as far as
// is known.
func (s *AdapterSlots) Requests() int {
	count := 0
	for _, slot := range s.entries {
		count += slot.requests
	}
	return count
}

// Touch records that an adapter was requested.
func (s *AdapterSlots) Touch(adapter site.Adapter, now time.Time) {
	if slot := s.entries[adapter]; slot != nil && now.After(slot.usedAt) {
		slot.usedAt = now
	}
}

// hold keeps an adapter until a time, for a request that was deferred.
func (s *AdapterSlots) hold(adapter site.Adapter, until time.Time) {
	if slot := s.entries[adapter]; slot != nil {
		slot.deferredUntil = laterOf(slot.deferredUntil, until)
	}
}

// idle reports whether the adapter can be evicted: it has been resident for a while
// and no request is expected to use it. An adapter in use can't be unloaded before
// its last request ends. Until then its slot would not be free, and new requests for
// it would be rejected.
func (slot *adapterSlot) idle(now time.Time) bool {
	if slot.phase != resident || now.Sub(slot.readyAt) < minResidence {
		return false
	}
	if now.Before(slot.deferredUntil) {
		return false
	}
	return slot.requests == 0 || now.After(slot.latestEnd)
}

// Victim returns the least recently used idle adapter.
func (s *AdapterSlots) Victim(now time.Time) (site.Adapter, bool) {
	var victim site.Adapter
	var oldest time.Time
	found := false
	for adapter, slot := range s.entries {
		if !slot.idle(now) {
			continue
		}
		if !found || slot.usedAt.Before(oldest) || (slot.usedAt.Equal(oldest) && adapter.String() < victim.String()) {
			victim, oldest, found = adapter, slot.usedAt, true
		}
	}
	return victim, found
}

// IdleCount returns the number of adapters that can be evicted.
func (s *AdapterSlots) IdleCount(now time.Time) int {
	count := 0
	for _, slot := range s.entries {
		if slot.idle(now) {
			count++
		}
	}
	return count
}

// HeldRecently reports whether this version of an adapter left the runner recently.
func (s *AdapterSlots) HeldRecently(key Key) bool {
	_, ok := s.recent[key]
	return ok
}

// LoadAccepted records that the runner accepted a load.
func (s *AdapterSlots) LoadAccepted(key Key, readyAt, now time.Time) {
	s.Sequence++
	s.entries[key.Adapter] = &adapterSlot{
		phase: loading, readyAt: readyAt, orderedAt: now, usedAt: now, version: key.Version, reload: s.HeldRecently(key),
	}
}

// LoadInDoubt records a load without an answer.
func (s *AdapterSlots) LoadInDoubt(key Key, now time.Time) {
	s.entries[key.Adapter] = &adapterSlot{phase: inDoubt, orderedAt: now, usedAt: now, version: key.Version}
}

// UnloadAccepted records an accepted unload that waits for requests to end.
func (s *AdapterSlots) UnloadAccepted(adapter site.Adapter, now time.Time) {
	s.Sequence++
	if slot := s.entries[adapter]; slot != nil {
		slot.phase = unloading
		slot.orderedAt = now
	}
}

// Unloaded records an unload that is done.
func (s *AdapterSlots) Unloaded(adapter site.Adapter) {
	s.Sequence++
	s.drop(adapter)
}

// maxLoadDuration is how long after its order a load may still be running, when the
// weight store's bandwidth is divided among many loads or the order is carried out
// some time after its answer.
const maxLoadDuration = 2 * time.Second

// RequestTooEarly records that the runner rejected a request although the adapter's
// load should have been done. underWay is false if the order is so old that the
// adapter must be gone. Otherwise the adapter counts as loading for some more time; a
// supposed reload, for as long as a fetch takes. first is set for the first such
// request of a load only.
func (s *AdapterSlots) RequestTooEarly(adapter site.Adapter, fetch time.Duration, now time.Time) (first Underestimate, underWay bool) {
	slot := s.entries[adapter]
	if slot == nil || slot.phase == inDoubt || slot.phase == unloading || now.Sub(slot.orderedAt) > maxLoadDuration {
		return NoUnderestimate, false
	}
	if !slot.underestimated {
		first = FetchUnderestimated
		if slot.reload {
			first = ReloadUnderestimated
		}
	}
	slot.underestimated = true
	if slot.phase == loading && slot.readyAt.After(now) {
		// Another request was rejected a moment ago.
		return first, true
	}
	more := max(minEarlyRetry, time.Duration(earlyRetryShare*float64(now.Sub(slot.orderedAt))))
	if slot.reload {
		// The runner no longer had the adapter in memory.
		slot.reload = false
		more = max(more, slot.orderedAt.Add(fetch).Sub(now))
	}
	slot.setLoading(now.Add(more))
	return first, true
}

// Underestimate tells which kind of load was found to take longer than estimated, for
// the first request that finds it.
type Underestimate uint8

// Kinds of underestimated loads.
const (
	NoUnderestimate Underestimate = iota
	FetchUnderestimated
	ReloadUnderestimated
)

func (slot *adapterSlot) setLoading(readyAt time.Time) {
	slot.phase = loading
	slot.readyAt = readyAt
}

// drop frees an adapter's slot and remembers the adapter as recently held.
func (s *AdapterSlots) drop(adapter site.Adapter) {
	left := Key{Adapter: adapter}
	if slot := s.entries[adapter]; slot != nil {
		left.Version = slot.version
	}
	delete(s.entries, adapter)
	s.clock++
	s.recent[left] = s.clock
	if len(s.recent) <= recentPerSlot*s.capacity {
		return
	}
	var oldest Key
	var least uint64
	for recent, at := range s.recent {
		if least == 0 || at < least {
			oldest, least = recent, at
		}
	}
	delete(s.recent, oldest)
}

// assumedIdle is how long before the report an adapter that is known only from it is
// assumed to have been used, so that it is evicted before those whose use was observed.
const assumedIdle = time.Second

// Held is an adapter in a runner's report.
type Held struct {
	Key
	// Incoming is set for adapters being loaded.
	Incoming bool
}

// ApplyReport updates the slots from a runner's report. The report may be as old as
// lag; adapters that were ordered within that time are kept even if it lacks them.
func (s *AdapterSlots) ApplyReport(sequence int64, held []Held, lag time.Duration, incomingReadyAt, now time.Time) {
	s.Sequence = sequence
	seen := make(map[site.Adapter]bool, len(held))
	for _, h := range held {
		seen[h.Adapter] = true
		s.applyHeld(h, incomingReadyAt, now)
	}
	for adapter, slot := range s.entries {
		if !seen[adapter] && now.Sub(slot.orderedAt) > lag {
			s.drop(adapter)
		}
	}
}

func (s *AdapterSlots) applyHeld(h Held, incomingReadyAt, now time.Time) {
	slot := s.entries[h.Adapter]
	if slot == nil {
		slot = &adapterSlot{usedAt: now.Add(-assumedIdle), version: h.Version, readyAt: now.Add(-minResidence)}
		s.entries[h.Adapter] = slot
		if h.Incoming {
			slot.phase = loading
			slot.readyAt = incomingReadyAt
			return
		}
		slot.phase = resident
		return
	}
	slot.version = max(slot.version, h.Version)
	if slot.phase == inDoubt && h.Incoming {
		slot.setLoading(incomingReadyAt)
		return
	}
	if slot.phase == inDoubt {
		slot.phase = resident
		slot.readyAt = now
	}
}

// PlacementKey returns the key by which runners are ranked for an adapter.
func (k Key) PlacementKey() string {
	if k.Version == 0 {
		return k.String()
	}
	return k.String() + "@" + strconv.FormatInt(k.Version, 10)
}
