// Package mesh is how hosts act together: who they are, and which of them
// gives orders to which runner.
//
// Each host names a few others its witnesses. It may give orders while a
// majority of them has lately promised not to let its lease be broken; a
// promise is the answer to a heartbeat. Where promises are missing, the lease is
// renewed in the store instead. So the store is needed only where hosts do not
// hear each other, and a host's cost does not grow with the fleet.
package mesh

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cherrystage/cherrystage/internal/registry"
)

// Timing sets the leases.
type Timing struct {
	// Lease is how long a promise or a renewal lets a host give orders.
	Lease time.Duration
	// OrderGap is the time that must lie between the orders of two hosts to one
	// runner. It is the deployment's.
	OrderGap time.Duration
	// Margin is kept on both sides for the way of an order and for clocks that
	// run at slightly different rates.
	Margin time.Duration
}

// Usual timing. A lease of 1.5 s survives four lost heartbeats of 300 ms, and
// ends early enough that a takeover takes about 5 s with a gap of 3 s.
const (
	DefaultLease  = 1500 * time.Millisecond
	DefaultMargin = 200 * time.Millisecond
)

// breakTimeout is how long a host must have been silent before its lease is broken:
// it has then stopped giving orders for the length of the gap.
func (t Timing) breakTimeout() time.Duration { return t.Lease + t.OrderGap + t.Margin }

const (
	// maxWitnesses is the number of a host's witnesses: with five, two may be
	// gone at once without the store being needed.
	maxWitnesses = 5
	// witnessTimeout is how long a witness may leave heartbeats unanswered
	// before another takes its place.
	witnessTimeout = 2 * time.Second
	// minRechooseInterval is the least time between two choices of witnesses, each of which
	// costs a write to the store.
	minRechooseInterval = 2 * time.Second
)

// State is the pure part: it takes the time as an argument and does no I/O. It
// is safe for concurrent use.
type State struct {
	self   string
	timing Timing

	mu      sync.Mutex
	members map[string]member
	owners  map[string]owner
	peers   map[string]*peerState
	// started is when this process began: it has heard nobody before.
	started time.Time
	// epoch is this process's; 0 until it is registered. lastEpoch is the last one it had.
	epoch     int64
	lastEpoch int64
	eraTransition
	// renewedAt is when the last successful write of the own record was sent.
	renewedAt time.Time
	// witnesses are those of the own record; none while it is in doubt which
	// record is in force.
	witnesses []string
	chosenAt  time.Time
	// lastJoin is when a host was first seen last.
	lastJoin time.Time
	// membershipChanged is when hosts last joined or left. What is learnt when nobody was known
	// yet is no change.
	membershipChanged time.Time
	// membership is worked out from members when it is next asked for.
	membership *membership
}

// peerState is what is known of one peer beside its record.
type peerState struct {
	// heardAt is when its last heartbeat arrived here.
	heardAt time.Time
	// promisedAt is when the last heartbeat that it answered was sent.
	promisedAt time.Time
	// revision is that of its record, first seen at changed.
	revision  uint64
	changedAt time.Time
	// votedRevision is the revision of its record whose end this host has agreed to.
	votedRevision uint64
}

// NewState makes the state of a host that knows nobody.
func NewState(self string, timing Timing, now time.Time) *State {
	return &State{
		self:    self,
		timing:  timing,
		members: map[string]member{},
		owners:  map[string]owner{},
		peers:   map[string]*peerState{},
		started: now,
	}
}

// Apply takes changed records over.
func (s *State) Apply(changes []registry.Change, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := len(s.members) > 0
	before := s.currentMembership()
	for _, change := range changes {
		s.applyChange(change, now)
	}
	if known && !slices.Equal(before.hosts, s.currentMembership().hosts) {
		s.membershipChanged = now
	}
}

func (s *State) applyChange(change registry.Change, now time.Time) {
	if change.Removed {
		s.removeRecord(change.Name)
		return
	}
	if host, m, ok := decodeHost(change.Record); ok {
		s.applyHost(host, m, now)
		return
	}
	if name, o, ok := decodeOwner(change.Record); ok {
		s.owners[name] = o
		return
	}
	if record, ok := decodeEra(change.Record); ok {
		s.settled = max(s.settled, record.Settled)
	}
}

// removeRecord drops a record by its name alone: who learns that a record is gone may not
// know what it said.
func (s *State) removeRecord(name string) {
	delete(s.owners, name)
	if host, ok := strings.CutPrefix(name, hostPrefix); ok {
		delete(s.members, host)
		s.membership = nil
	}
}

func (s *State) applyHost(host string, m member, now time.Time) {
	before, known := s.members[host]
	if !known {
		s.lastJoin = now
	}
	s.members[host] = m
	if !known || before.Broken != m.Broken || before.DataCentre != m.DataCentre {
		s.membership = nil
	}
	peer := s.peerOf(host)
	if peer.revision != m.revision {
		peer.revision = m.revision
		peer.changedAt = now
	}
	if m.Broken {
		s.noteLeaseEnd(host, m.Epoch, now)
	}
	// The end of an earlier epoch stands there where the store has lost that this one began.
	if host == s.self && m.Broken && m.Epoch >= s.epoch {
		s.epoch = 0
	}
}

func (s *State) peerOf(host string) *peerState {
	peer := s.peers[host]
	if peer == nil {
		peer = &peerState{}
		s.peers[host] = peer
	}
	return peer
}

// Registered notes the own record as it was written at a time.
func (s *State) Registered(epoch int64, witnesses []string, sent time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropRetainedIfLapsed(sent)
	s.epoch, s.lastEpoch = epoch, epoch
	s.witnesses, s.recordWitnesses = witnesses, witnesses
	s.renewedAt = sent
	s.unverified = false
}

// RenewalUncertain notes that a write of the own record got no answer: the witnesses may
// be the old or the new ones, so no promise counts until the record is read.
func (s *State) RenewalUncertain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.witnesses = nil
}

// LeaseLost notes that the own lease was found broken.
func (s *State) LeaseLost(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.epoch != 0 {
		s.noteLeaseEnd(s.self, s.epoch, now)
	}
	s.epoch = 0
}

// Epoch gives the own epoch, 0 before the host is registered.
func (s *State) Epoch() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.epoch
}

// AddressOf gives where a host can be reached.
func (s *State) AddressOf(host string) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m, ok := s.members[host]
	return m.Address, ok
}

// Members gives the hosts whose lease is not broken, sorted.
func (s *State) Members() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.currentMembership().hosts)
}

// Size gives the number of hosts, this one included.
func (s *State) Size() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(1, len(s.currentMembership().hosts))
}

// ValidUntil gives the time up to which no other host can give orders to this
// host's runners.
func (s *State) ValidUntil() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.validUntil()
}

func (s *State) validUntil() time.Time {
	if s.epoch == 0 {
		return time.Time{}
	}
	valid := s.renewedAt
	if promised := s.majorityPromised(); promised.After(valid) {
		valid = promised
	}
	valid = valid.Add(s.timing.Lease)
	if s.previousLeaseEnd.After(valid) {
		return s.previousLeaseEnd
	}
	return valid
}

// MayOrder says whether this host may send an order to the runner at an
// address, and with which fencing token.
//
// Without the check a host that was suspended, or cut off from all others,
// would go on giving orders beside its successor: two hosts would load and
// unload adapters on one runner by different plans. It suffices because the
// successor waits out lease, gap and margin from the last sign of this host, and
// as long once the store has come back without some of what hosts act by.
func (s *State) MayOrder(address string, now time.Time) (token uint64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, found := s.owners[ownerRecordName(address)]
	if !found || o.Host != s.self || o.Epoch != s.epoch || s.epoch == 0 || !s.mayOrderInEra(ownerRecordName(address), now) {
		return 0, false
	}
	return fencingToken(s.era, o.revision), now.Add(s.timing.Margin).Before(s.validUntil())
}

// OwnerOf gives the host that owns the runner at an address, dead or alive.
func (s *State) OwnerOf(address string) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.owners[ownerRecordName(address)]
	if !ok || !s.ownerInForce(o) {
		return "", false
	}
	return o.Host, true
}

// ownerInForce says whether an owner record is in force.
func (s *State) ownerInForce(o owner) bool {
	m, ok := s.members[o.Host]
	return ok && !m.Broken && m.Epoch == o.Epoch
}

// FallbackTurn gives when this host's turn comes to ask the store for a kind of record: 0 if it is
// one of those that always watch it.
func (s *State) FallbackTurn(kind string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.currentMembership().fallbackTurn(kind, s.self)
}

// IsWatcher says whether this host is one of those that always watch a kind of
// record for the others.
func (s *State) IsWatcher(kind string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Contains(s.currentMembership().watchersOf(kind), s.self)
}
