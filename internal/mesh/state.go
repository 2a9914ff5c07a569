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

// Usual timing. A lease of 1.5 s survives four lost heartbeats of 300 ms, and
// ends early enough that a takeover takes about 5 s with a gap of 3 s.
const (
	UsualLease  = 1500 * time.Millisecond
	UsualMargin = 200 * time.Millisecond
)

// silence is how long a host must have been silent before its lease is broken:
// it has then stopped giving orders for the length of the gap.
func (t Timing) silence() time.Duration { return t.Lease + t.OrderGap + t.Margin }

const (
	// maxWitnesses is the number of a host's witnesses: with five, two may be
	// gone at once without the store being needed.
	maxWitnesses = 5
	// witnessSilence is how long a witness may leave heartbeats unanswered
	// before another takes its place.
	witnessSilence = 2 * time.Second
	// rechoose is the least time between two choices of witnesses, each of which
	// costs a write to the store.
	rechoose = 2 * time.Second
)

// State is the pure part: it takes the time as an argument and does no I/O. It
// is safe for concurrent use.
type State struct {
	self   string
	timing Timing

	mu      sync.Mutex
	members map[string]member
	owners  map[string]owner
	peers   map[string]*peerSigns
	// started is when this process began: it has heard nobody before.
	started time.Time
	// epoch is this process's; 0 until it is registered.
	epoch int64
	// renewed is when the last successful write of the own record was sent.
	renewed time.Time
	// witnesses are those of the own record; none while it is in doubt which
	// record is in force.
	witnesses []string
	chosen    time.Time
	// joined is when a host was first seen last.
	joined time.Time
}

// peerSigns is what is known of one peer beside its record.
type peerSigns struct {
	// heard is when its last heartbeat arrived here.
	heard time.Time
	// promised is when the last heartbeat that it answered was sent.
	promised time.Time
	// revision is that of its record, first seen at changed.
	revision uint64
	changed  time.Time
	// voted is the revision of its record whose end this host has agreed to.
	voted uint64
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
		s.applyHost(host, m, change.Removed, now)
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

func (s *State) applyHost(host string, m member, removed bool, now time.Time) {
	if removed {
		delete(s.members, host)
		return
	}
	if _, known := s.members[host]; !known {
		s.joined = now
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
func (s *State) Registered(epoch int64, witnesses []string, sent time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.epoch = epoch
	s.witnesses = witnesses
	s.renewed = sent
}

// Doubt notes that a write of the own record got no answer: the witnesses may
// be the old or the new ones, so no promise counts until the record is read.
func (s *State) Doubt() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.witnesses = nil
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

// TakeBeat notes a peer's heartbeat and says whether this host promises to keep
// the peer's lease.
//
// A host whose own lease is over does not promise: its lease may be broken
// without its knowledge, and a broken witness counts as one that agrees to break.
// One that has agreed to break this lease does not promise either, until a newer
// record shows that the lease was kept.
func (s *State) TakeBeat(host string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	signs := s.signs(host)
	signs.heard = now
	voted := signs.voted != 0 && signs.voted == signs.revision
	return !voted && now.Before(s.validUntil())
}

// Promised notes a peer's promise in answer to a heartbeat sent at a time.
func (s *State) Promised(host string, sent time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if signs := s.signs(host); sent.After(signs.promised) {
		signs.promised = sent
	}
}

// Vote says whether this host agrees that the lease of a peer, in the record of
// a revision, is broken. From then on it does not promise to keep it.
func (s *State) Vote(host string, revision uint64, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	signs := s.signs(host)
	silence := s.timing.silence()
	if now.Sub(signs.heard) < silence || now.Sub(s.started) < silence || signs.revision > revision {
		return false
	}
	signs.voted = revision
	return true
}

// Peer is another host.
type Peer struct {
	Host    string
	Address string
}

// Witnesses gives the hosts that heartbeats go to.
func (s *State) Witnesses() []Peer {
	s.mu.Lock()
	defer s.mu.Unlock()
	var peers []Peer
	for _, host := range s.witnesses {
		if m, ok := s.members[host]; ok {
			peers = append(peers, Peer{Host: host, Address: m.Address})
		}
	}
	return peers
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
	return s.inForce()
}

func (s *State) inForce() []string {
	hosts := make([]string, 0, len(s.members))
	for host, m := range s.members {
		if !m.Broken {
			hosts = append(hosts, host)
		}
	}
	sort.Strings(hosts)
	return hosts
}

// Size gives the number of hosts, this one included.
func (s *State) Size() int { return max(1, len(s.Members())) }

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
	valid := s.renewed
	if promised := s.majorityPromised(); promised.After(valid) {
		valid = promised
	}
	return valid.Add(s.timing.Lease)
}

// majorityPromised gives the time from which a majority of the witnesses has
// promised; zero without witnesses.
func (s *State) majorityPromised() time.Time {
	if len(s.witnesses) == 0 {
		return time.Time{}
	}
	times := make([]time.Time, 0, len(s.witnesses))
	for _, host := range s.witnesses {
		times = append(times, s.signs(host).promised)
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	return times[majority(len(times))-1]
}

func majority(of int) int { return of/2 + 1 }

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

// holds says whether an owner record is in force.
func (s *State) holds(o owner) bool {
	m, ok := s.members[o.Host]
	return ok && !m.Broken && m.Epoch == o.Epoch
}

// NeedsRenewal says whether the lease should be renewed in the store, since the
// promises of a majority are missing.
func (s *State) NeedsRenewal(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.epoch == 0 {
		return false
	}
	third := s.timing.Lease / 3
	return now.Sub(s.majorityPromised()) > 3*third/2 && now.Sub(s.renewed) > third
}

// Choose gives the witnesses that the own record should name, and whether they
// are others than those it names. The own data centre is not preferred: a lease
// should not hang on one.
func (s *State) Choose(now time.Time) ([]string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.witnesses) > 0 && now.Sub(s.chosen) < rechoose {
		return s.witnesses, false
	}
	wanted := s.wanted(now)
	if slices.Equal(wanted, s.witnesses) {
		return wanted, false
	}
	s.chosen = now
	return wanted, true
}

// wanted keeps the witnesses that answer and fills up with others.
func (s *State) wanted(now time.Time) []string {
	var wanted []string
	for _, host := range s.witnesses {
		if m, ok := s.members[host]; ok && !m.Broken && now.Sub(s.signs(host).promised) < witnessSilence {
			wanted = append(wanted, host)
		}
	}
	var others []string
	for _, host := range s.inForce() {
		if host != s.self && !slices.Contains(wanted, host) {
			others = append(others, host)
		}
	}
	others = fleet.Rank("witness."+s.self, others)
	// Hosts that were silent as witnesses come last.
	slices.SortStableFunc(others, func(a, b string) int { return s.silent(a) - s.silent(b) })
	for _, host := range others {
		if len(wanted) < maxWitnesses {
			wanted = append(wanted, host)
		}
	}
	slices.Sort(wanted)
	return wanted
}

func (s *State) silent(host string) int {
	if slices.Contains(s.witnesses, host) {
		return 1
	}
	return 0
}

// Break is a peer whose lease should be ended.
type Break struct {
	Host     string
	Record   HostRecord
	Revision uint64
	// Witnesses are those whose votes are needed beside this host's.
	Witnesses []Peer
	// Votes is how many of them must agree.
	Votes int
}

// Breakable gives the peers that should be declared dead, as far as this host
// can tell: it is one of the peer's witnesses and has not heard it, and the
// peer's record was not renewed, for so long that the peer has stopped giving
// orders and that the gap has passed since. A majority of the witnesses must
// vote so too. The write must be conditional on the revision: a renewal that
// came meanwhile makes it fail.
func (s *State) Breakable(now time.Time) []Break {
	s.mu.Lock()
	defer s.mu.Unlock()
	silence := s.timing.silence()
	if now.Sub(s.started) < silence {
		return nil
	}
	var breaks []Break
	for host, m := range s.members {
		if host == s.self || m.Broken || now.Sub(s.signs(host).changed) < silence {
			continue
		}
		if b, ok := s.breakable(host, m, now); ok {
			breaks = append(breaks, b)
		}
	}
	return breaks
}

func (s *State) breakable(host string, m member, now time.Time) (Break, bool) {
	b := Break{Host: host, Record: m.HostRecord, Revision: m.revision, Votes: majority(len(m.Witnesses))}
	if len(m.Witnesses) == 0 {
		b.Votes = 0
	}
	own := slices.Index(m.Witnesses, s.self)
	if own >= 0 {
		// The first witness begins; the others follow if it does not.
		patience := s.timing.silence() + time.Duration(own)*s.timing.Margin
		if now.Sub(s.signs(host).heard) < patience {
			return b, false
		}
	} else if fleet.First(host, s.inForceBut(host)) != s.self {
		return b, false
	}
	for _, witness := range m.Witnesses {
		b.count(s, witness, now)
	}
	if own < 0 && b.Votes > 0 {
		// Only a host without living witnesses is broken by another.
		return b, false
	}
	return b, true
}

// count adds one witness: its vote is asked for, or counts as given where its
// own lease has been broken for long enough.
func (b *Break) count(s *State, witness string, now time.Time) {
	m, ok := s.members[witness]
	switch {
	case witness == s.self:
		b.Votes--
		s.signs(b.Host).voted = b.Revision
	case !ok || m.Broken:
		// It promised only while its own lease was valid, so its last promise is
		// as old as the gap, and over after a lease more.
		if !ok || now.Sub(s.signs(witness).changed) > s.timing.Lease {
			b.Votes--
		}
	default:
		b.Witnesses = append(b.Witnesses, Peer{Host: witness, Address: m.Address})
	}
}

func (s *State) inForceBut(host string) []string {
	return slices.DeleteFunc(s.inForce(), func(other string) bool { return other == host })
}

// Claim is a runner that this host should own.
type Claim struct {
	Address string
	Name    string
	// Revision is that of the record to replace, 0 where there is none.
	Revision uint64
	Record   OwnerRecord
}

// Runner is a runner that needs an owner.
type Runner struct {
	Address    string
	DataCentre string
}

// Claims gives the runners without an owner for which this host comes first
// among the hosts in force, and those it owned in an earlier epoch. Hosts of the
// runner's own data centre come before others: most of what an owner says and
// hears is about requests that stay there.
func (s *State) Claims(runners []Runner) []Claim {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.epoch == 0 {
		return nil
	}
	var claims []Claim
	for _, runner := range runners {
		address := runner.Address
		name := ownerName(address)
		o, found := s.owners[name]
		if found && s.holds(o) {
			continue
		}
		if fleet.First(address, s.near(runner.DataCentre)) != s.self {
			continue
		}
		claims = append(claims, Claim{Address: address, Name: name, Revision: o.revision, Record: OwnerRecord{Host: s.self, Epoch: s.epoch}})
	}
	return claims
}

// near gives the hosts in force of a data centre, or all if it has none.
func (s *State) near(centre string) []string {
	hosts := s.inForce()
	near := slices.DeleteFunc(slices.Clone(hosts), func(host string) bool { return s.members[host].DataCentre != centre })
	if len(near) == 0 {
		return hosts
	}
	return near
}

// Settled says that no host has joined for a time.
func (s *State) Settled(now time.Time, since time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(s.joined) >= since
}

// Dead gives hosts whose lease was ended so long ago that their record is of no
// use any more.
func (s *State) Dead(now time.Time, after time.Duration) []Break {
	s.mu.Lock()
	defer s.mu.Unlock()
	var dead []Break
	for host, m := range s.members {
		if m.Broken && host != s.self && now.Sub(s.signs(host).changed) > after && fleet.First(host, s.inForce()) == s.self {
			dead = append(dead, Break{Host: host, Record: m.HostRecord, Revision: m.revision})
		}
	}
	return dead
}

// Watcher says whether this host is one of those that always watch a kind of
// record for the others.
func (s *State) Watcher(kind string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	ranked := fleet.Rank("watch."+kind, s.inForce())
	return slices.Contains(ranked[:min(len(ranked), watchers)], s.self)
}

// watchers is the number of hosts that watch a kind of record: one may be dead,
// cut off or deaf without the others noticing a delay.
const watchers = 2
