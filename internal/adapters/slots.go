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
	// doubtful: an order was sent and no answer came.
	doubtful
	// leaving: ordered away while requests still used it.
	leaving
)

type place struct {
	phase   phase
	readyAt time.Time
	// orderedAt is when the order that led to this phase was sent.
	orderedAt time.Time
	usedAt    time.Time
	// users counts the requests that were sent to it and have not ended; those of
	// a host that is gone end at busyUntil at the latest.
	users     int
	busyUntil time.Time
	// last is the request that began last, likelyUntil when all of them will most
	// likely have ended.
	last        Run
	likelyUntil time.Time
	// early says that a request has come before the load was over.
	early   bool
	version int64
	// reload: the runner held the adapter lately and needs nothing of the weight
	// store.
	reload bool
}

// maxTransit is the number of adapters that may be on their way to one runner.
const maxTransit = 4

// leastStay is how long an adapter stays after its load, so that the requests
// that waited for it find it.
const leastStay = 500 * time.Millisecond

// recentPerPlace is how many adapters that left a runner are remembered, for each
// of its places. The engine loads those it held recently ten times as fast; how
// many these are it does not say. On runners of 8, 21 and 30 places it was six
// times as many, those that lie there included. An adapter that is remembered for
// longer is met too early, which costs its request one more send.
const recentPerPlace = 5

// Slots is what the owner knows of one runner's places. It is not safe for
// concurrent use.
type Slots struct {
	capacity int
	places   map[site.Adapter]*place
	recent   map[Key]uint64
	clock    uint64
	// pace is how many times as long as they likely should answers take here.
	pace float64
	// Sequence is the number of orders that the runner has accepted.
	Sequence int64
	// Unanswered are orders of this lifetime without an answer, Inherited those of
	// earlier ones, which may still be carried out in this one.
	Unanswered, Inherited LateOrders
}

// NewSlots makes the places of a runner that holds nothing.
func NewSlots(capacity int) *Slots {
	return &Slots{
		capacity: capacity, places: map[site.Adapter]*place{}, recent: map[Key]uint64{}, pace: 1,
		Unanswered: LateOrders{}, Inherited: LateOrders{},
	}
}

// Capacity gives the number of adapters that fit on a runner.
func Capacity(engine *site.Engine, model site.Model) int {
	capacity := engine.AdapterSlots
	if model.AdapterMB > 0 {
		room := int((engine.WeightsMB - model.WeightsMB) / model.AdapterMB)
		capacity = min(capacity, room)
	}
	return max(0, capacity)
}

// Settle turns loads whose time has passed into residents and drops the orders
// that are not carried out any more.
func (s *Slots) Settle(now time.Time) {
	s.Unanswered.expire(now)
	s.Inherited.expire(now)
	for _, p := range s.places {
		if p.phase == loading && !now.Before(p.readyAt) {
			p.phase = resident
		}
	}
}

// Ready tells whether an adapter is there or on its way, and from when.
func (s *Slots) Ready(key Key) (time.Time, bool) {
	p := s.places[key.Adapter]
	if p == nil || p.phase == doubtful || p.phase == leaving {
		return time.Time{}, false
	}
	if key.Version != 0 && p.version < key.Version {
		return time.Time{}, false
	}
	return p.readyAt, true
}

// Transit gives the number of adapters on their way, and how many of them come
// from the weight store.
func (s *Slots) Transit() (all, fetched int) {
	for _, p := range s.places {
		if p.phase != loading && p.phase != doubtful {
			continue
		}
		all++
		if !p.reload {
			fetched++
		}
	}
	return all, fetched
}

// Doubtful gives the number of orders whose answer was lost and of which no report
// has told yet.
func (s *Slots) Doubtful() int {
	count := 0
	for _, p := range s.places {
		if p.phase == doubtful {
			count++
		}
	}
	return count
}

// Fetching gives the number of adapters that will still be on their way from the
// weight store at a time.
func (s *Slots) Fetching(at time.Time) int {
	count := 0
	for _, p := range s.places {
		if p.phase == doubtful || p.phase == loading && !p.reload && p.readyAt.After(at) {
			count++
		}
	}
	return count
}

// Free gives the number of places that hold nothing. A place in doubt is not
// free, and neither is one that a late order may take: a load beyond the places
// crashes the runner.
func (s *Slots) Free() int {
	return s.capacity - len(s.places) - s.Inherited.places(s.Sequence)
}

// Touch notes that somebody asks for an adapter.
func (s *Slots) Touch(adapter site.Adapter, now time.Time) {
	if p := s.places[adapter]; p != nil && now.After(p.usedAt) {
		p.usedAt = now
	}
}

// idle says that no request is thought to use the adapter. An adapter in use
// cannot leave before its last answer ends: until then its place would be lost
// without being free, and new requests for it would be turned away.
func (p *place) idle(now time.Time) bool {
	if p.phase != resident || now.Sub(p.readyAt) < leastStay {
		return false
	}
	return p.users == 0 || now.After(p.busyUntil)
}

// Victim gives the idle adapter that was not used for the longest time.
func (s *Slots) Victim(now time.Time) (site.Adapter, bool) {
	var victim site.Adapter
	var oldest time.Time
	found := false
	for adapter, p := range s.places {
		if !p.idle(now) {
			continue
		}
		if !found || p.usedAt.Before(oldest) || (p.usedAt.Equal(oldest) && adapter.String() < victim.String()) {
			victim, oldest, found = adapter, p.usedAt, true
		}
	}
	return victim, found
}

// Idle gives the number of adapters that may make way.
func (s *Slots) Idle(now time.Time) int {
	count := 0
	for _, p := range s.places {
		if p.idle(now) {
			count++
		}
	}
	return count
}

// Recent says whether the runner held this version of an adapter lately.
func (s *Slots) Recent(key Key) bool {
	_, ok := s.recent[key]
	return ok
}

// Loading notes an accepted load.
func (s *Slots) Loading(key Key, readyAt, now time.Time) {
	s.Sequence++
	s.places[key.Adapter] = &place{
		phase: loading, readyAt: readyAt, orderedAt: now, usedAt: now, version: key.Version, reload: s.Recent(key),
	}
}

// Doubt notes a load whose answer was lost.
func (s *Slots) Doubt(key Key, now time.Time) {
	s.places[key.Adapter] = &place{phase: doubtful, orderedAt: now, usedAt: now, version: key.Version}
}

// Leaving notes an accepted unload that waits for requests to end.
func (s *Slots) Leaving(adapter site.Adapter, now time.Time) {
	s.Sequence++
	if p := s.places[adapter]; p != nil {
		p.phase = leaving
		p.orderedAt = now
	}
}

// Left notes an adapter that is gone by an accepted unload.
func (s *Slots) Left(adapter site.Adapter) {
	s.Sequence++
	s.drop(adapter)
}

// longestLoad is how long after its order a load may still be under way: the
// weight store's rate divided among many loads, and an order that is carried
// out some time after its answer.
const longestLoad = 2 * time.Second

// Early notes that a runner turned a request away although the adapter's load
// was thought to be over. It gives false if the load was so long ago that the
// adapter must be gone; else the adapter counts as on its way for some more time:
// one that should have been a reload for as long as a fetch takes.
// The first complaint about a load says so.
func (s *Slots) Early(adapter site.Adapter, fetch time.Duration, now time.Time) (complaint Complaint, underWay bool) {
	p := s.places[adapter]
	if p == nil || p.phase == doubtful || p.phase == leaving || now.Sub(p.orderedAt) > longestLoad {
		return NoComplaint, false
	}
	if !p.early {
		complaint = FetchEarly
		if p.reload {
			complaint = ReloadEarly
		}
	}
	p.early = true
	if p.phase == loading && p.readyAt.After(now) {
		// Another request has complained a moment ago.
		return complaint, true
	}
	more := max(earlyAgain, time.Duration(earlyShare*float64(now.Sub(p.orderedAt))))
	if p.reload {
		// The runner has forgotten the adapter after all.
		p.reload = false
		more = max(more, p.orderedAt.Add(fetch).Sub(now))
	}
	p.setLoading(now.Add(more))
	return complaint, true
}

// Complaint says which kind of load was met too early for the first time.
type Complaint uint8

// Complaints.
const (
	NoComplaint Complaint = iota
	FetchEarly
	ReloadEarly
)

func (p *place) setLoading(readyAt time.Time) {
	p.phase = loading
	p.readyAt = readyAt
}

func (s *Slots) drop(adapter site.Adapter) {
	left := Key{Adapter: adapter}
	if p := s.places[adapter]; p != nil {
		left.Version = p.version
	}
	delete(s.places, adapter)
	s.clock++
	s.recent[left] = s.clock
	if len(s.recent) <= recentPerPlace*s.capacity {
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

// unknownUse is how long ago an adapter counts as used that was found on a
// runner: it makes way before those whose use was seen.
const unknownUse = time.Second

// Held is an adapter in a runner's report.
type Held struct {
	Key
	// Incoming adapters are on their way.
	Incoming bool
}

// Reported takes a runner's report over. Places whose order is younger than the
// report may be are kept: the report tells of some time ago.
func (s *Slots) Reported(sequence int64, held []Held, lag time.Duration, incomingReadyAt, now time.Time) {
	s.Sequence = sequence
	seen := make(map[site.Adapter]bool, len(held))
	for _, h := range held {
		seen[h.Adapter] = true
		s.report(h, incomingReadyAt, now)
	}
	for adapter, p := range s.places {
		if !seen[adapter] && now.Sub(p.orderedAt) > lag {
			s.drop(adapter)
		}
	}
}

func (s *Slots) report(h Held, incomingReadyAt, now time.Time) {
	p := s.places[h.Adapter]
	if p == nil {
		p = &place{usedAt: now.Add(-unknownUse), version: h.Version, readyAt: now.Add(-leastStay)}
		s.places[h.Adapter] = p
		if h.Incoming {
			p.phase = loading
			p.readyAt = incomingReadyAt
			return
		}
		p.phase = resident
		return
	}
	p.version = max(p.version, h.Version)
	if p.phase == doubtful && h.Incoming {
		p.setLoading(incomingReadyAt)
		return
	}
	if p.phase == doubtful {
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
