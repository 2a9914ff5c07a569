// Package mesh coordinates the hosts of a fleet: which hosts are live, and which of them
// gives orders to which runner.
//
// Each host names a few others as its witnesses. It may give orders while a majority of
// them recently promised not to break its lease; a promise is the answer to a heartbeat.
// If promises are missing, the host renews the lease in the store instead. So the store is
// needed only when hosts cannot reach each other, and a host's cost does not grow with the
// fleet.
package mesh

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cherrystage/cherrystage/internal/awake"
	"github.com/cherrystage/cherrystage/internal/registry"
	"github.com/cherrystage/cherrystage/internal/standstill"
)

// Timing holds the durations of leases.
type Timing struct {
	// Lease is how long a promise or a renewal lets a host give orders.
	Lease time.Duration
	// OrderGap is the minimum time between the orders of two hosts to one runner. The
	// deployment sets it.
	OrderGap time.Duration
	// Margin allows for the transit time of an order and for clocks that run at slightly
	// different rates. It is applied on both sides.
	Margin time.Duration
	// MaxStoreSilence is how long a host gives orders without news from the store, its own or
	// that of a host that it hears. 0 stands for any time; then no lease is contested.
	MaxStoreSilence time.Duration
}

// Default timing. A lease of 1.5 s survives four lost heartbeats of 300 ms, and ends early
// enough that a takeover takes about 5 s with a gap of 3 s.
const (
	DefaultLease  = 1500 * time.Millisecond
	DefaultMargin = 200 * time.Millisecond
	// DefaultMaxStoreSilence is longer than two of the platform's longest outages in a row. Hosts
	// that are lost with all their witnesses are replaced after it.
	DefaultMaxStoreSilence = 20 * time.Second
)

// breakTimeout returns how long a host must be silent before its lease is broken. By then
// it has not given orders for the order gap.
func (t Timing) breakTimeout() time.Duration { return t.Lease + t.OrderGap + t.Margin }

const (
	// maxWitnesses is the number of a host's witnesses. With five, two can fail together
	// before the store is needed.
	maxWitnesses = 5
	// witnessTimeout is how long a witness may leave heartbeats unanswered before it is
	// replaced.
	witnessTimeout = 2 * time.Second
	// minRechooseInterval is the minimum time between two changes of the witnesses, each
	// of which costs a write to the store.
	minRechooseInterval = 2 * time.Second
	// requestedRenewalInterval is the minimum time between two renewals that a witness asked
	// for.
	requestedRenewalInterval = 2 * time.Second
)

// State holds a host's view of the fleet and decides on leases and ownership. It does no
// I/O and takes the current time as an argument. It is safe for concurrent use.
type State struct {
	// Standstill knows for which time this process could not run; nil stands for never. What this
	// host concludes from the silence of others counts only the time in which it was running. Its
	// own rights end by the clock. It must be set before the first call.
	Standstill *standstill.Monitor

	self   string
	timing Timing

	mu      sync.Mutex
	members map[string]member
	owners  map[string]owner
	peers   map[string]*peerState
	// started is when this process started, before it heard from any other.
	started time.Time
	// firstRecordsAt is when the first records became known.
	firstRecordsAt time.Time
	// epoch is the epoch of this process, 0 until it is registered. lastEpoch is its last
	// non-zero value.
	epoch     int64
	lastEpoch int64
	eraTransition
	handover handover
	// revision is the revision of the current era up to which the records are complete.
	// Single records may be newer.
	revision uint64
	// promisesAfter is the revision of the record with which this process last registered. It
	// promises only for later records.
	promisesAfter uint64
	// renewedAt is the send time of the last successful write of this host's record.
	renewedAt time.Time
	// storeSeenAt is a time at which the store had this host's record uncontested.
	storeSeenAt time.Time
	// witnesses are the witnesses that this host's record names, nil while the record is
	// not known.
	witnesses []string
	// attempted are the witnesses of later writes of the record that got no answer, nil if
	// there was no such write. They may be in force instead.
	attempted []string
	chosenAt  time.Time
	// renewalRequested is when a witness last asked for a renewal instead of promising.
	renewalRequested time.Time
	// lastJoin is when an unknown host was last seen.
	lastJoin time.Time
	// membershipChanged is when hosts last joined or left. The first hosts learned after
	// the start are not a change.
	membershipChanged time.Time
	// membership is derived from members on demand, nil if outdated.
	membership *membership
}

// peerState is what is known of a peer besides its record.
type peerState struct {
	// heardAt is when the peer's last heartbeat arrived, refusedSince when this host began
	// to answer its heartbeats without a promise, zero after a promise.
	heardAt      time.Time
	refusedSince time.Time
	// promisedAt is the send time of the last heartbeat that the peer answered with a
	// promise.
	promisedAt time.Time
	// presumedAt is the same for any answer that presumes the lease, promises included.
	presumedAt time.Time
	// revision is the revision of the peer's record. changedAt is when a record of that content
	// was first seen, but for whether the lease is contested.
	revision  uint64
	changedAt time.Time
	contest   contestState
	// unansweredSince is when the first probe was sent that the peer did not answer, zero if it
	// answered the last one or is not probed.
	unansweredSince time.Time
	// probedAt is when this host last probed the peer, answeredAt when the peer last answered.
	probedAt, answeredAt time.Time
	// votedAt is the latest position of the peer's record whose lease this host has agreed
	// to break.
	votedAt registry.Position
}

// agreeToBreak records a vote to break the lease that the peer's record holds at a position.
func (p *peerState) agreeToBreak(at registry.Position) {
	if p.votedAt.Before(at) {
		p.votedAt = at
	}
}

// mayBeBroken reports whether a lease may be broken that is held by the peer's record at a
// position, because this host has agreed to it. A write that breaks the lease may have been
// sent in an earlier era; it then succeeds only if the record has that revision again.
func (p *peerState) mayBeBroken(at registry.Position) bool {
	if at.Era != p.votedAt.Era {
		return at.Revision == p.votedAt.Revision
	}
	return at.Revision <= p.votedAt.Revision
}

// noteHeartbeat records that a heartbeat arrived, and whether it was answered with a promise.
func (p *peerState) noteHeartbeat(now time.Time, promised bool, silence time.Duration) {
	wasSilent := now.Sub(p.heardAt) >= silence
	p.heardAt = now
	switch {
	case promised:
		p.refusedSince = time.Time{}
	case wasSilent || p.refusedSince.IsZero():
		p.refusedSince = now
	}
}

// refusalFactor is how many times longer than a silent host one may go without a promise
// before it counts as dead. In the meantime it can renew its record, or the store comes back.
const refusalFactor = 3

// isDead reports whether a peer has been silent for a time, or was heard but got no promise for
// refusalFactor times as long. Such a host lives and cannot order: the store refuses it, and its
// witnesses want a newer record. If it counted as live, its runners would get no orders for as
// long as it lives.
//
// The time for which this host stood still does not count: the peer's heartbeats lie unread in sockets.
func (s *State) isDead(p *peerState, now time.Time, silence time.Duration) bool {
	isRefused := !p.refusedSince.IsZero() && s.running(p.refusedSince, now) >= refusalFactor*silence
	return isRefused || s.running(p.heardAt, now) >= silence
}

// running returns for how long this host was certainly running between two times.
func (s *State) running(from, to time.Time) time.Duration {
	return awake.Between(s.Standstill, from, to)
}

// NewState returns the state of a host that knows no others.
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

// Apply applies changed records.
func (s *State) Apply(changes []registry.Change, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := len(s.members) > 0
	before := s.currentMembership()
	for _, change := range changes {
		s.applyChange(change, now)
	}
	if !known && len(s.members) > 0 {
		s.firstRecordsAt = now
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

// removeRecord drops a record by name alone, since a removal may not carry its content.
func (s *State) removeRecord(name string) {
	delete(s.owners, name)
	if host, ok := strings.CutPrefix(name, hostPrefix); ok {
		delete(s.members, host)
		s.membership = nil
	}
}

func (s *State) applyHost(host string, m member, now time.Time) {
	before, known := s.members[host]
	if !known || before.Broken && !m.Broken {
		s.lastJoin = now
	}
	s.members[host] = m
	if !known || before.Broken != m.Broken || before.DataCentre != m.DataCentre || before.CutOff != m.CutOff {
		s.membership = nil
	}
	peer := s.peerOf(host)
	if peer.revision != m.revision {
		peer.revision = m.revision
		peer.contest.note(before, m, now)
		if !onlyContested(before, m) {
			peer.changedAt = now
		}
	}
	if m.Broken {
		s.noteLeaseEnd(host, m.Epoch, now)
	}
	// A record of a broken earlier epoch can reappear if the store has lost the current
	// epoch.
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

// AdvanceTo records that all records up to a position of the store have been applied.
func (s *State) AdvanceTo(at registry.Position) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.revision == 0 {
		// Records that are written in this era have higher revisions than its first position.
		s.promisesAfter = min(s.promisesAfter, at.Revision)
	}
	s.revision = at.Revision
}

// RecordsApplied reports whether all records up to some position of the store have been applied in this
// era. A replica has its position earlier, before what depends on its records has heard of them.
func (s *State) RecordsApplied() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isCompleteTo(1)
}

// isCompleteTo reports whether all records up to a revision are known. The caller holds
// s.mu.
func (s *State) isCompleteTo(revision uint64) bool { return s.revision >= revision }

// Registered records a successful write of this host's record that was sent at a time.
func (s *State) Registered(epoch int64, witnesses []string, sent time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropRetainedIfLapsed(sent)
	if epoch != s.epoch {
		s.handover = handover{cutOff: s.handover.cutOff}
	}
	s.epoch, s.lastEpoch = epoch, epoch
	s.witnesses, s.recordWitnesses = witnesses, witnesses
	s.attempted = nil
	s.renewedAt = sent
	s.noteStoreSeen(sent)
	s.unverified = false
}

// PromiseAfter limits this host's promises to records that were written after a revision,
// that of its own registration.
//
// A process that has started does not know the votes of the one before, and a host whose
// lease was broken counts as a vote until all know that it has registered again. In both
// cases a lease may be broken by a write that is still under way, while its holder orders on
// by this host's promise. The write succeeds only if the record is unchanged, so a promise
// for a later record cannot meet it.
func (s *State) PromiseAfter(revision uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.promisesAfter = revision
}

// RenewalUncertain records that a write of this host's record with the given witnesses got
// no answer. Either the witnesses of before or the new ones are in force, so promises count
// only if a majority of both has given them. Until the record is known, ChooseWitnesses
// returns no third list.
func (s *State) RenewalUncertain(attempted []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !slices.Equal(s.witnesses, attempted) {
		s.attempted = append([]string{}, attempted...)
	}
}

// RecordUnknown records that it is not known which witnesses this host's record names, so
// that no promise counts.
func (s *State) RecordUnknown() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.witnesses, s.attempted = nil, nil
}

// LeaseLost records that this host's lease was found broken or missing.
func (s *State) LeaseLost(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.epoch != 0 {
		s.noteLeaseEnd(s.self, s.epoch, now)
	}
	s.epoch = 0
}

// Epoch returns this host's epoch, 0 before it is registered.
func (s *State) Epoch() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.epoch
}

// AddressOf returns the address of a host and whether the host is known.
func (s *State) AddressOf(host string) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m, ok := s.members[host]
	return m.Address, ok
}

// Members returns the hosts whose lease is not broken, sorted.
func (s *State) Members() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.currentMembership().hosts)
}

// NextHost returns the live host that follows this one in the order of names, the first after
// the last, and false if there is no other.
func (s *State) NextHost() (Peer, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	hosts := s.currentMembership().hosts
	if len(hosts) == 0 {
		return Peer{}, false
	}
	at, found := slices.BinarySearch(hosts, s.self)
	if found {
		at++
	}
	next := hosts[at%len(hosts)]
	return Peer{Host: next, Address: s.members[next].Address}, next != s.self
}

// Size returns the number of live hosts, including this one.
func (s *State) Size() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(1, len(s.currentMembership().hosts))
}

// ValidUntil returns the time until which no other host can give orders to this host's
// runners.
func (s *State) ValidUntil() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.validUntil()
}

// validUntil returns the end of this host's lease: a lease after its last renewal, or after the last
// promises of a majority of its witnesses, but no later than MaxStoreSilence after the store last
// had its record uncontested.
//
// A group of hosts that keeps itself in leases without the store can't be told from one that is
// lost. Without an end to its leases the runners of lost hosts would never get another owner.
func (s *State) validUntil() time.Time {
	if s.timing.MaxStoreSilence == 0 {
		return s.leaseEnd(s.majorityPromised(), time.Time{})
	}
	return s.leaseEnd(s.majorityPromised(), s.storeSeenAt.Add(s.timing.MaxStoreSilence))
}

// presumedUntil is validUntil without the end that the silence of the store sets. No order is given
// by it. Until then this host goes on with what takes no orders, since in a long outage of the store
// all hosts are without leases and no other one would.
func (s *State) presumedUntil() time.Time {
	presumed := s.majorityAnswered(func(p *peerState) time.Time { return p.presumedAt })
	return s.leaseEnd(presumed, time.Time{})
}

// leaseEnd returns the end of a lease that was renewed by promises at a time, and not later than a
// limit, if it is not zero. The caller holds s.mu.
func (s *State) leaseEnd(promised, limit time.Time) time.Time {
	if s.epoch == 0 {
		return time.Time{}
	}
	valid := s.renewedAt
	if promised.After(valid) {
		valid = promised
	}
	valid = valid.Add(s.timing.Lease)
	if !limit.IsZero() && limit.Before(valid) {
		valid = limit
	}
	if s.previousLeaseEnd.After(valid) {
		return s.previousLeaseEnd
	}
	return valid
}

// MayOrder reports whether this host may send an order to the runner at an address, and
// returns the fencing token for it.
//
// Without this check a host that was suspended or cut off would continue to give orders
// alongside its successor, and the two would load and unload adapters on one runner by
// different plans. The check suffices because the successor waits for lease, gap and margin
// after this host's last heartbeat or renewal, and again as long after the store came back
// without some of the records that hosts act on.
func (s *State) MayOrder(address string, now time.Time) (token uint64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, owned := s.ownClaim(address)
	owned = owned && now.Add(s.timing.Margin).Before(s.validUntil())
	return fencingToken(s.era, o.revision), owned && s.mayOrderInEra(ownerRecordName(address), now) && !s.isQuiet()
}

// Owns reports whether this host decides who may send requests to the runner at an address. A host
// that hands its runners over owns them until its claims have ended, but gives no orders. Nor does one
// whose records belong to a new era of the store, until all hosts have stopped acting on earlier ones:
// the runner's adapters may change under it meanwhile, and the runner rejects what it does not hold.
// The same holds for an owner that has had no news from the store for too long to order.
func (s *State) Owns(address string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, owned := s.ownClaim(address)
	return owned && now.Add(s.timing.Margin).Before(s.presumedUntil())
}

// ownClaim returns this host's claim on the runner at an address under its present epoch, and
// whether there is one. The caller holds s.mu.
func (s *State) ownClaim(address string) (owner, bool) {
	o, found := s.owners[ownerRecordName(address)]
	if !found || o.Host != s.self || o.Epoch != s.epoch || s.epoch == 0 {
		return owner{}, false
	}
	return o, true
}

// OwnerOf returns the host that owns the runner at an address, whether or not it can be
// reached.
func (s *State) OwnerOf(address string) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.owners[ownerRecordName(address)]
	if !ok || s.claimStatus(o) == claimEnded {
		return "", false
	}
	_, known := s.members[o.Host]
	return o.Host, known
}

// FallbackTurn returns this host's turn to ask the store for a kind of record, 0 if it is
// a watcher.
func (s *State) FallbackTurn(kind string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.currentMembership().fallbackTurn(kind, s.self)
}

// SecondWatcher returns the second host that watches a kind of record, and whether this host is
// the first.
func (s *State) SecondWatcher(kind string) (Peer, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	watchers := s.currentMembership().watchersOf(kind)
	if len(watchers) < watchersPerKind || watchers[0] != s.self {
		return Peer{}, false
	}
	return Peer{Host: watchers[1], Address: s.members[watchers[1]].Address}, true
}

// IsWatcher reports whether this host watches a kind of record for the others.
func (s *State) IsWatcher(kind string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Contains(s.currentMembership().watchersOf(kind), s.self)
}
