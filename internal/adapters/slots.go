// Package adapters is the work of a runner's owner: which adapters lie on the
// runner, which come next and which make way. The rules are in Slots, which
// takes the time as an argument and does no I/O; Keeper gives the orders.
package adapters

import (
	"strconv"
	"time"

	"github.com/cherrystage/cherrystage/internal/site"
)

// Key names an adapter at a version; version 0 is whatever the store has.
type Key struct {
	site.Adapter
	Version int64
}

// phase of an adapter on a runner.
type phase uint8

const (
	// loading: ordered; ready at a known time.
	loading phase = iota
	// resident: requests for it are served.
	resident
	// inDoubt: an order was sent and no answer came.
	inDoubt
	// unloading: ordered away while requests still used it.
	unloading
)

type adapterSlot struct {
	phase   phase
	readyAt time.Time
	// orderedAt is when the order that led to this phase was sent.
	orderedAt time.Time
	usedAt    time.Time
	// requests counts the requests that were sent to it and have not ended; those of
	// a host that is gone end at busyUntil at the latest.
	requests  int
	latestEnd time.Time
	// lastRun is the request that began lastRun, likelyUntil when all of them will most
	// likely have ended.
	lastRun     Run
	expectedEnd time.Time
	// underestimated says that a request has come before the load was over.
	underestimated bool
	version        int64
	// reload: the runner held the adapter lately and needs nothing of the weight
	// store.
	reload bool
}

// maxConcurrentLoads is the number of adapters that may be on their way to one runner.
const maxConcurrentLoads = 4

// minResidence is how long an adapter stays after its load, so that the requests
// that waited for it find it.
const minResidence = 500 * time.Millisecond

// recentPerSlot is how many adapters that left a runner are remembered, for each
// of its places. The engine loads those it held recently ten times as fast; how
// many these are it does not say. On runners of 8, 21 and 30 places it was six
// times as many, those that lie there included. An adapter that is remembered for
// longer is met too early, which costs its request one more send.
const recentPerSlot = 5

// AdapterSlots is what the owner knows of one runner's places. It is not safe for
// concurrent use.
type AdapterSlots struct {
	capacity int
	entries  map[site.Adapter]*adapterSlot
	recent   map[Key]uint64
	clock    uint64
	// runtimeFactor is how many times as long as they likely should answers take here.
	runtimeFactor float64
	// Sequence is the number of orders that the runner has accepted.
	Sequence int64
	// Unanswered are orders of this lifetime without an answer, Inherited those of
	// earlier ones, which may still be carried out in this one.
	Unanswered, Inherited LateOrders
}

// NewAdapterSlots makes the places of a runner that holds nothing.
func NewAdapterSlots(capacity int) *AdapterSlots {
	return &AdapterSlots{
		capacity: capacity, entries: map[site.Adapter]*adapterSlot{}, recent: map[Key]uint64{}, runtimeFactor: 1,
		Unanswered: LateOrders{}, Inherited: LateOrders{},
	}
}

// SlotCapacity gives the number of adapters that fit on a runner.
func SlotCapacity(engine *site.Engine, model site.Model) int {
	capacity := engine.AdapterSlots
	if model.AdapterMB > 0 {
		room := int((engine.WeightsMB - model.WeightsMB) / model.AdapterMB)
		capacity = min(capacity, room)
	}
	return max(0, capacity)
}

// Advance turns loads whose time has passed into residents and drops the orders
// that are not carried out any more.
func (s *AdapterSlots) Advance(now time.Time) {
	s.Unanswered.expire(now)
	s.Inherited.expire(now)
	for _, p := range s.entries {
		if p.phase == loading && !now.Before(p.readyAt) {
			p.phase = resident
		}
	}
}

// Ready tells whether an adapter is there or on its way, and from when.
func (s *AdapterSlots) Ready(key Key) (time.Time, bool) {
	p := s.entries[key.Adapter]
	if p == nil || p.phase == inDoubt || p.phase == unloading {
		return time.Time{}, false
	}
	if key.Version != 0 && p.version < key.Version {
		return time.Time{}, false
	}
	return p.readyAt, true
}

// InProgress gives the number of adapters on their way, and how many of them come
// from the weight store.
func (s *AdapterSlots) InProgress() (all, fetched int) {
	for _, p := range s.entries {
		if p.phase != loading && p.phase != inDoubt {
			continue
		}
		all++
		if !p.reload {
			fetched++
		}
	}
	return all, fetched
}

// InDoubt gives the number of orders whose answer was lost and of which no report
// has told yet.
func (s *AdapterSlots) InDoubt() int {
	count := 0
	for _, p := range s.entries {
		if p.phase == inDoubt {
			count++
		}
	}
	return count
}

// FetchingAt gives the number of adapters that will still be on their way from the
// weight store at a time.
func (s *AdapterSlots) FetchingAt(at time.Time) int {
	count := 0
	for _, p := range s.entries {
		if p.phase == inDoubt || p.phase == loading && !p.reload && p.readyAt.After(at) {
			count++
		}
	}
	return count
}

// Free gives the number of places that hold nothing. A place in doubt is not
// free, and neither is one that a late order may take: a load beyond the places
// crashes the runner.
func (s *AdapterSlots) Free() int {
	return s.capacity - len(s.entries) - s.Inherited.reservedSlots(s.Sequence)
}

// Touch notes that somebody asks for an adapter.
func (s *AdapterSlots) Touch(adapter site.Adapter, now time.Time) {
	if p := s.entries[adapter]; p != nil && now.After(p.usedAt) {
		p.usedAt = now
	}
}

// idle says that no request is thought to use the adapter. An adapter in use
// cannot leave before its last answer ends: until then its place would be lost
// without being free, and new requests for it would be turned away.
func (p *adapterSlot) idle(now time.Time) bool {
	if p.phase != resident || now.Sub(p.readyAt) < minResidence {
		return false
	}
	return p.requests == 0 || now.After(p.latestEnd)
}

// Victim gives the idle adapter that was not used for the longest time.
func (s *AdapterSlots) Victim(now time.Time) (site.Adapter, bool) {
	var victim site.Adapter
	var oldest time.Time
	found := false
	for adapter, p := range s.entries {
		if !p.idle(now) {
			continue
		}
		if !found || p.usedAt.Before(oldest) || (p.usedAt.Equal(oldest) && adapter.String() < victim.String()) {
			victim, oldest, found = adapter, p.usedAt, true
		}
	}
	return victim, found
}

// IdleCount gives the number of adapters that may make way.
func (s *AdapterSlots) IdleCount(now time.Time) int {
	count := 0
	for _, p := range s.entries {
		if p.idle(now) {
			count++
		}
	}
	return count
}

// HeldRecently says whether the runner held this version of an adapter lately.
func (s *AdapterSlots) HeldRecently(key Key) bool {
	_, ok := s.recent[key]
	return ok
}

// LoadAccepted notes an accepted load.
func (s *AdapterSlots) LoadAccepted(key Key, readyAt, now time.Time) {
	s.Sequence++
	s.entries[key.Adapter] = &adapterSlot{
		phase: loading, readyAt: readyAt, orderedAt: now, usedAt: now, version: key.Version, reload: s.HeldRecently(key),
	}
}

// LoadInDoubt notes a load whose answer was lost.
func (s *AdapterSlots) LoadInDoubt(key Key, now time.Time) {
	s.entries[key.Adapter] = &adapterSlot{phase: inDoubt, orderedAt: now, usedAt: now, version: key.Version}
}

// UnloadAccepted notes an accepted unload that waits for requests to end.
func (s *AdapterSlots) UnloadAccepted(adapter site.Adapter, now time.Time) {
	s.Sequence++
	if p := s.entries[adapter]; p != nil {
		p.phase = unloading
		p.orderedAt = now
	}
}

// Unloaded notes an adapter that is gone by an accepted unload.
func (s *AdapterSlots) Unloaded(adapter site.Adapter) {
	s.Sequence++
	s.drop(adapter)
}

// maxLoadDuration is how long after its order a load may still be under way: the
// weight store's rate divided among many loads, and an order that is carried
// out some time after its answer.
const maxLoadDuration = 2 * time.Second

// RequestTooEarly notes that a runner turned a request away although the adapter's load
// was thought to be over. It gives false if the load was so long ago that the
// adapter must be gone; else the adapter counts as on its way for some more time:
// one that should have been a reload for as long as a fetch takes.
// The first complaint about a load says so.
func (s *AdapterSlots) RequestTooEarly(adapter site.Adapter, fetch time.Duration, now time.Time) (first Underestimate, underWay bool) {
	p := s.entries[adapter]
	if p == nil || p.phase == inDoubt || p.phase == unloading || now.Sub(p.orderedAt) > maxLoadDuration {
		return NoUnderestimate, false
	}
	if !p.underestimated {
		first = FetchUnderestimated
		if p.reload {
			first = ReloadUnderestimated
		}
	}
	p.underestimated = true
	if p.phase == loading && p.readyAt.After(now) {
		// Another request has complained a moment ago.
		return first, true
	}
	more := max(minEarlyRetry, time.Duration(earlyRetryShare*float64(now.Sub(p.orderedAt))))
	if p.reload {
		// The runner has forgotten the adapter after all.
		p.reload = false
		more = max(more, p.orderedAt.Add(fetch).Sub(now))
	}
	p.setLoading(now.Add(more))
	return first, true
}

// Underestimate says which kind of load was met too early for the first time.
type Underestimate uint8

// Complaints.
const (
	NoUnderestimate Underestimate = iota
	FetchUnderestimated
	ReloadUnderestimated
)

func (p *adapterSlot) setLoading(readyAt time.Time) {
	p.phase = loading
	p.readyAt = readyAt
}

func (s *AdapterSlots) drop(adapter site.Adapter) {
	left := Key{Adapter: adapter}
	if p := s.entries[adapter]; p != nil {
		left.Version = p.version
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

// assumedIdle is how long ago an adapter counts as used that was found on a
// runner: it makes way before those whose use was seen.
const assumedIdle = time.Second

// Held is an adapter in a runner's report.
type Held struct {
	Key
	// Incoming adapters are on their way.
	Incoming bool
}

// ApplyReport takes a runner's report over. Places whose order is younger than the
// report may be are kept: the report tells of some time ago.
func (s *AdapterSlots) ApplyReport(sequence int64, held []Held, lag time.Duration, incomingReadyAt, now time.Time) {
	s.Sequence = sequence
	seen := make(map[site.Adapter]bool, len(held))
	for _, h := range held {
		seen[h.Adapter] = true
		s.applyHeld(h, incomingReadyAt, now)
	}
	for adapter, p := range s.entries {
		if !seen[adapter] && now.Sub(p.orderedAt) > lag {
			s.drop(adapter)
		}
	}
}

func (s *AdapterSlots) applyHeld(h Held, incomingReadyAt, now time.Time) {
	p := s.entries[h.Adapter]
	if p == nil {
		p = &adapterSlot{usedAt: now.Add(-assumedIdle), version: h.Version, readyAt: now.Add(-minResidence)}
		s.entries[h.Adapter] = p
		if h.Incoming {
			p.phase = loading
			p.readyAt = incomingReadyAt
			return
		}
		p.phase = resident
		return
	}
	p.version = max(p.version, h.Version)
	if p.phase == inDoubt && h.Incoming {
		p.setLoading(incomingReadyAt)
		return
	}
	if p.phase == inDoubt {
		p.phase = resident
		p.readyAt = now
	}
}

// PlacementKey is what decides on which runners an adapter has its home.
func (k Key) PlacementKey() string {
	if k.Version == 0 {
		return k.String()
	}
	return k.String() + "@" + strconv.FormatInt(k.Version, 10)
}
