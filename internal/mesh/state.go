// Package mesh is how hosts act together: who they are, whom of them one can
// hear, and which of them gives orders to which runner.
//
// A host may give orders while each other host has lately promised not to take
// its runners over; a promise is the answer to a heartbeat. Where a host does
// not answer, the lease is renewed in the store instead. So the store is not
// needed while all hosts hear each other, nor while it works.
package mesh

import (
	"sort"
	"sync"
	"time"

	"github.com/cherrystage/cherrystage/internal/fleet"
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

// Usual timing. A lease of 1.5 s survives five lost heartbeats of 250 ms, and
// ends early enough that a takeover takes about 5 s with a gap of 3 s.
const (
	UsualLease  = 1500 * time.Millisecond
	UsualMargin = 200 * time.Millisecond
)

// liveAfter is how fresh a sign of a peer must be for the peer to count as
// live: four heartbeats.
const liveAfter = time.Second

// State is the pure part: it takes the time as an argument and does no I/O. It
// is safe for concurrent use.
type State struct {
	self   string
	timing Timing

	mu      sync.Mutex
	members map[string]member
	owners  map[string]owner
	peers   map[string]*peerSigns
	// renewed is when the last successful renewal of the own lease was sent.
	renewed time.Time
	// started is when this process began: it has heard nobody before.
	started time.Time
	// epoch is this process's; 0 until it is registered.
	epoch int64
}

// peerSigns are the signs of life of one peer.
type peerSigns struct {
	// heard is the last sign, from itself or told by others.
	heard time.Time
	// promised is when the last heartbeat that it answered was sent.
	promised time.Time
	// revision is that of its record, first seen at changed.
	revision uint64
	changed  time.Time
}

// NewState makes the state of a host that knows nobody.
func NewState(self string, timing Timing, now time.Time) *State {
	return &State{
		self:    self,
		timing:  timing,
		members: map[string]member{},
		owners:  map[string]owner{},
		peers:   map[string]*peerSigns{},
		started: now,
	}
}

// Apply takes changed records over.
func (s *State) Apply(changes []registry.Change, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, change := range changes {
		s.apply(change, now)
	}
}

func (s *State) apply(change registry.Change, now time.Time) {
	if host, m, ok := decodeHost(change.Record); ok {
		if change.Removed {
			delete(s.members, host)
			return
		}
		s.members[host] = m
		signs := s.signs(host)
		if signs.revision != m.revision {
			signs.revision = m.revision
			signs.changed = now
		}
		if host == s.self && m.Broken {
			s.epoch = 0
		}
		return
	}
	if name, o, ok := decodeOwner(change.Record); ok {
		if change.Removed {
			delete(s.owners, name)
			return
		}
		s.owners[name] = o
	}
}

func (s *State) signs(host string) *peerSigns {
	signs := s.peers[host]
	if signs == nil {
		signs = &peerSigns{}
		s.peers[host] = signs
	}
	return signs
}

// Registered notes the own record as it was written at a time.
func (s *State) Registered(epoch int64, sent time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.epoch = epoch
	s.renewed = sent
}

// Lost notes that the own lease was found broken.
func (s *State) Lost() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.epoch = 0
}

// Epoch gives the own epoch, 0 before the host is registered.
func (s *State) Epoch() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.epoch
}

// Heard notes a sign of a peer that is as old as age.
func (s *State) Heard(host string, age time.Duration, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := now.Add(-age)
	if signs := s.signs(host); at.After(signs.heard) {
		signs.heard = at
	}
}

// Learn notes a host that is known by its heartbeat only, since the store does
// not answer this host. Its promise is needed like any other's: it may take
// runners over as soon as it cannot hear their owner.
func (s *State) Learn(host string, record HostRecord) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, known := s.members[host]; !known && host != s.self {
		s.members[host] = member{HostRecord: record}
	}
}

// Promised notes a peer's answer to a heartbeat that was sent at a time.
func (s *State) Promised(host string, sent time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if signs := s.signs(host); sent.After(signs.promised) {
		signs.promised = sent
	}
}

// Ages gives how long ago each other host was heard, for heartbeats.
func (s *State) Ages(now time.Time) map[string]time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	ages := map[string]time.Duration{}
	for host, signs := range s.peers {
		if host != s.self && !signs.heard.IsZero() && now.Sub(signs.heard) < s.timing.Lease+s.timing.OrderGap {
			ages[host] = now.Sub(signs.heard)
		}
	}
	return ages
}

// Peer is another host.
type Peer struct {
	Host    string
	Address string
}

// Peers gives the other hosts that have a record, those that a peer declared
// dead included: one that comes back is heard through its own heartbeats, and
// ours tell it that we live.
func (s *State) Peers() []Peer {
	s.mu.Lock()
	defer s.mu.Unlock()
	var peers []Peer
	for host, m := range s.members {
		if host != s.self && !m.Broken {
			peers = append(peers, Peer{Host: host, Address: m.Address})
		}
	}
	sort.Slice(peers, func(i, j int) bool { return peers[i].Host < peers[j].Host })
	return peers
}

// AddressOf gives where a host can be reached.
func (s *State) AddressOf(host string) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m, ok := s.members[host]
	return m.Address, ok
}

// Size gives the number of hosts, this one included.
func (s *State) Size() int { return len(s.Peers()) + 1 }

// Live gives the hosts with a fresh sign, this one included.
func (s *State) Live(now time.Time) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.live(now)
}

func (s *State) live(now time.Time) []string {
	live := []string{s.self}
	for host, signs := range s.peers {
		m, ok := s.members[host]
		if host != s.self && ok && !m.Broken && now.Sub(signs.heard) < liveAfter {
			live = append(live, host)
		}
	}
	sort.Strings(live)
	return live
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
	byStore := s.renewed.Add(s.timing.Lease)
	byPeers, ok := s.oldestPromise()
	if !ok || byPeers.Add(s.timing.Lease).Before(byStore) {
		return byStore
	}
	return byPeers.Add(s.timing.Lease)
}

// oldestPromise gives the oldest of the peers' promises. Without peers there is
// none: a host that knows nobody may be the one that is cut off.
func (s *State) oldestPromise() (time.Time, bool) {
	var oldest time.Time
	found := false
	for host, m := range s.members {
		if host == s.self || m.Broken {
			continue
		}
		promised := s.signs(host).promised
		if !found || promised.Before(oldest) {
			oldest = promised
		}
		found = true
	}
	return oldest, found
}

// MayOrder says whether this host may send an order to the runner at an
// address, and with which fencing token.
//
// Without the check a host that was suspended, or cut off from all others,
// would go on giving orders beside its successor: two hosts would load and
// unload adapters on one runner by different plans. It suffices because the
// successor waits out lease, gap and margin from the last sign of this host.
func (s *State) MayOrder(address string, now time.Time) (token uint64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, found := s.owners[ownerName(address)]
	if !found || o.Host != s.self || o.Epoch != s.epoch || s.epoch == 0 {
		return 0, false
	}
	return o.revision, now.Add(s.timing.Margin).Before(s.validUntil())
}

// OwnerOf gives the host that owns the runner at an address, dead or alive.
func (s *State) OwnerOf(address string) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.owners[ownerName(address)]
	if !ok || !s.holds(o) {
		return "", false
	}
	return o.Host, true
}

// Reachable says whether the owner of the runner at an address is live.
func (s *State) Reachable(address string, now time.Time) (string, bool) {
	host, ok := s.OwnerOf(address)
	if !ok || host == s.self {
		return host, ok
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return host, now.Sub(s.signs(host).heard) < liveAfter
}

// holds says whether an owner record is in force.
func (s *State) holds(o owner) bool {
	m, ok := s.members[o.Host]
	return ok && !m.Broken && m.Epoch == o.Epoch
}

// NeedsRenewal says whether the lease should be renewed in the store since some
// peer's promise is missing.
func (s *State) NeedsRenewal(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.epoch == 0 {
		return false
	}
	third := s.timing.Lease / 3
	promised, ok := s.oldestPromise()
	if ok && now.Sub(promised) < third+third/2 {
		return false
	}
	return now.Sub(s.renewed) > third
}

// Break is a peer whose lease may be ended.
type Break struct {
	Host     string
	Record   HostRecord
	Revision uint64
}

// Breakable gives the peers that nobody has heard, and whose record was not
// renewed, for so long that they have stopped giving orders and that the gap
// has passed since. The write must be conditional on the revision: a renewal
// that came meanwhile makes it fail.
func (s *State) Breakable(now time.Time) []Break {
	s.mu.Lock()
	defer s.mu.Unlock()
	wait := s.timing.Lease + s.timing.OrderGap + s.timing.Margin
	if now.Sub(s.started) < wait {
		return nil
	}
	var breaks []Break
	for host, m := range s.members {
		if host == s.self || m.Broken {
			continue
		}
		signs := s.signs(host)
		if now.Sub(signs.heard) < wait || now.Sub(signs.changed) < wait {
			continue
		}
		if fleet.First(host, s.live(now)) != s.self {
			continue
		}
		breaks = append(breaks, Break{Host: host, Record: m.HostRecord, Revision: m.revision})
	}
	return breaks
}

// Claim is a runner that this host should own.
type Claim struct {
	Address string
	Name    string
	// Revision is that of the record to replace, 0 where there is none.
	Revision uint64
	Record   OwnerRecord
}

// Claims gives the runners without an owner for which this host comes first
// among the live ones, and those it owned in an earlier epoch.
func (s *State) Claims(addresses []string, now time.Time) []Claim {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.epoch == 0 {
		return nil
	}
	live := s.live(now)
	var claims []Claim
	for _, address := range addresses {
		name := ownerName(address)
		o, found := s.owners[name]
		if found && s.holds(o) {
			continue
		}
		if fleet.First(address, live) != s.self {
			continue
		}
		claims = append(claims, Claim{Address: address, Name: name, Revision: o.revision, Record: OwnerRecord{Host: s.self, Epoch: s.epoch}})
	}
	return claims
}

// Dead gives hosts whose lease was ended so long ago that their record is of no
// use any more.
func (s *State) Dead(now time.Time, after time.Duration) []Break {
	s.mu.Lock()
	defer s.mu.Unlock()
	var dead []Break
	for host, m := range s.members {
		if m.Broken && host != s.self && now.Sub(s.signs(host).changed) > after && fleet.First(host, s.live(now)) == s.self {
			dead = append(dead, Break{Host: host, Record: m.HostRecord, Revision: m.revision})
		}
	}
	return dead
}
