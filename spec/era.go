package spec

// EraSafeguards switches the parts of the era model: two hosts, one of which owns a runner,
// and a store that is restored from a backup. The restored store has lost leases, their ends
// and claims, assigns revisions again that were in use, and increments its era.
type EraSafeguards struct {
	// TokensByEra: a fencing token has the era in its high bits, the revision in its low ones.
	TokensByEra bool
	// WaitUntilSettled: a host gives orders based on a new era's records only once every host
	// has stopped acting on those of an earlier era.
	WaitUntilSettled bool
	// ContinuousLease: a host continues its work into a new era only while its lease stays valid
	// without a gap.
	ContinuousLease bool
	// WaitAfterRestart: a restarted process waits too, unless the store says that the era is
	// settled.
	WaitAfterRestart bool
	// ReplaceRecords: the records of a new era replace what a host knows, even where their
	// revisions are lower.
	ReplaceRecords bool
}

// EraProtocol returns the safeguards of the implementation: all of them.
func EraProtocol() EraSafeguards {
	return EraSafeguards{TokensByEra: true, WaitUntilSettled: true, ContinuousLease: true, WaitAfterRestart: true, ReplaceRecords: true}
}

// Bounds of the era model, in ticks.
const (
	eraTicks    = 11
	eraRestores = 2
	// eraLease is how long a lease renewal lets a host give orders, eraOrderGap the minimum time
	// between orders of two hosts, eraPropagation the time in which all connected hosts learn of
	// a restore.
	eraLease       = 2
	eraOrderGap    = 2
	eraPropagation = 1
	eraSilence     = eraLease + eraOrderGap
	// eraRevisions exceeds the number of revisions assigned within the bounds.
	eraRevisions = 32
)

// eraRecords is the content of the store: each host's epoch and whether its lease was broken,
// and the runner's owner. Revisions are those of the last change.
type eraRecords struct {
	Revision     uint8
	Epoch        [2]uint8
	Broken       [2]bool
	HostRevision [2]uint8
	Owner        uint8
	OwnerEpoch   uint8
	OwnerAt      uint8
	// Settled is the latest era that is marked as settled: no host acts on an earlier one.
	Settled uint8
}

// eraHost is what one host knows.
type eraHost struct {
	Era   uint8
	Known eraRecords
	// Epoch is the host's own, 0 before it is registered; LastEpoch the last one that it had,
	// EndedEpoch the last of its own that it knows to have ended.
	Epoch, LastEpoch, EndedEpoch uint8
	// LeaseUntil is the tick at which its lease expires.
	LeaseUntil uint8
	// OtherHeard is the tick at which the other host was last heard from, OtherEndedEpoch the
	// other's last epoch that is known to have ended.
	OtherHeard      uint8
	OtherEndedEpoch uint8
	// Continues: it goes on ordering the runner in the era that it learnt of at EraSince,
	// without waiting for the era to settle.
	Continues bool
	EraSince  uint8
}

// EraState is one state of the era model. Hosts[0] owns the runner at first and can be
// partitioned from the store and the other host.
type EraState struct {
	Now           uint8
	Era           uint8
	Store         eraRecords
	Backup        eraRecords
	Hosts         [2]eraHost
	RestoredAt    uint8
	Cut           bool
	WasCut        bool
	ReconnectedAt uint8
	// Restarted says that a process was restarted.
	Restarted bool
	// LastHolder gave the last order (0 if there was none), at LastOrderAt with LastToken.
	LastHolder  uint8
	LastOrderAt uint8
	LastToken   uint16
	Violation   string
}

func initialEra() EraState {
	records := eraRecords{Revision: 3, Epoch: [2]uint8{1, 1}, HostRevision: [2]uint8{1, 2}, Owner: 1, OwnerEpoch: 1, OwnerAt: 3}
	host := eraHost{Known: records, Epoch: 1, LastEpoch: 1, LeaseUntil: eraLease}
	return EraState{Store: records, Backup: records, Hosts: [2]eraHost{host, host}}
}

// NextEra returns every state after one more tick. Within a tick the store may be backed up and
// restored, the first host may be partitioned or reconnected, and a process may restart; a host
// learns of a new era at once or a tick later. Then each host does everything it may do.
func NextEra(s EraState, g EraSafeguards) []EraState {
	if s.Now == eraTicks {
		return nil
	}
	states := []EraState{s}
	for _, step := range []func(n *EraState, g EraSafeguards) bool{
		backUpStore, restoreStore, cutOrReconnect,
		func(n *EraState, g EraSafeguards) bool { return n.restart(g, 0) },
		func(n *EraState, g EraSafeguards) bool { return n.restart(g, 1) },
		func(n *EraState, g EraSafeguards) bool { return n.learnNewEra(g, 0) },
		func(n *EraState, g EraSafeguards) bool { return n.learnNewEra(g, 1) },
	} {
		states = branch(states, g, step)
	}
	var next []EraState
	for _, n := range states {
		if !n.mayAdvance() {
			continue
		}
		for first := range n.Hosts {
			after := n
			after.runHost(g, first)
			after.runHost(g, 1-first)
			after.tick(g)
			after.runHost(g, first)
			next = append(next, after)
		}
	}
	return next
}

// branch returns the states and, for each in which the step applies, the state after it.
func branch(states []EraState, g EraSafeguards, step func(n *EraState, g EraSafeguards) bool) []EraState {
	all := states
	for _, s := range states {
		if step(&s, g) {
			all = append(all, s)
		}
	}
	return all
}

func backUpStore(n *EraState, _ EraSafeguards) bool {
	if n.Backup == n.Store || n.Era == eraRestores {
		return false
	}
	n.Backup = n.Store
	return true
}

func restoreStore(n *EraState, _ EraSafeguards) bool {
	if n.Era == eraRestores {
		return false
	}
	n.Store, n.RestoredAt = n.Backup, n.Now
	n.Era++
	return true
}

func cutOrReconnect(n *EraState, _ EraSafeguards) bool {
	switch {
	case n.Cut:
		n.Cut, n.ReconnectedAt = false, n.Now
	case !n.WasCut:
		n.Cut, n.WasCut = true, true
	default:
		return false
	}
	return true
}

// learnNewEra has a host learn of a new era.
func (s *EraState) learnNewEra(g EraSafeguards, h int) bool {
	if s.isCut(h) || s.Hosts[h].Era == s.Era {
		return false
	}
	s.readStore(g, h)
	return true
}

// runHost has a host do everything it may do: it writes records and orders the runner.
func (s *EraState) runHost(g EraSafeguards, h int) {
	if s.Violation != "" {
		return
	}
	if !s.isCut(h) {
		s.writeRecords(g, h)
	}
	if s.mayOrder(g, h) {
		s.order(g, h)
	}
}

// writeRecords has a host make all the writes to the store that it may.
func (s *EraState) writeRecords(g EraSafeguards, h int) {
	host := &s.Hosts[h]
	if s.mustRegister(h) && host.Known.HostRevision[h] == s.Store.HostRevision[h] {
		s.register(g, h)
	}
	if s.mayBreakLease(g, h) {
		s.breakLease(h)
	}
	if s.mayClaim(h) {
		s.claim(h)
	}
	if host.Era == s.Era && s.Store.Settled < s.Era && host.Epoch > 0 && s.settled(g, h) {
		s.Store.Revision++
		s.Store.Settled = s.Era
	}
}

// tick advances time. Connected hosts read the store in the era that they know, and renew each
// other's leases.
func (s *EraState) tick(g EraSafeguards) {
	s.Now++
	for h := range s.Hosts {
		if !s.isCut(h) && s.Hosts[h].Era == s.Era {
			s.readStore(g, h)
		}
	}
	for h := range s.Hosts {
		if !s.Cut && s.mayHeartbeat(h) {
			s.heartbeat(g, h)
		}
	}
}

func (s *EraState) isCut(h int) bool { return h == 0 && s.Cut }

// mayAdvance reports whether time may advance: connected hosts learn of a restore within
// eraPropagation.
func (s *EraState) mayAdvance() bool {
	for h, host := range s.Hosts {
		since := s.RestoredAt
		if h == 0 {
			since = max(since, s.ReconnectedAt)
		}
		if !s.isCut(h) && host.Era < s.Era && s.Now >= since+eraPropagation {
			return false
		}
	}
	return true
}

// readStore has a host replace what it knows by what the store holds.
func (s *EraState) readStore(g EraSafeguards, h int) {
	host, other := &s.Hosts[h], 1-h
	if host.Era < s.Era {
		owned := host.Epoch > 0 && host.Known.Owner == uint8(h+1) && host.Known.OwnerEpoch == host.Epoch
		valid := s.Now < host.LeaseUntil || !g.ContinuousLease
		host.Continues = owned && valid && (host.Continues || s.settled(g, h))
		host.EraSince = s.Now
		if !g.ReplaceRecords && s.Store.Revision < host.Known.Revision {
			host.Era = s.Era
			return
		}
	}
	if host.Known.HostRevision[other] != s.Store.HostRevision[other] {
		host.OtherHeard = s.Now
	}
	host.Era, host.Known = s.Era, s.Store
	if s.Store.Broken[other] {
		host.OtherEndedEpoch = max(host.OtherEndedEpoch, s.Store.Epoch[other])
	}
	if s.Store.Broken[h] && s.Store.Epoch[h] >= host.Epoch {
		host.EndedEpoch = max(host.EndedEpoch, s.Store.Epoch[h])
		host.Epoch = 0
	}
}

// restart restarts a host's process, which then knows only what the store holds.
func (s *EraState) restart(g EraSafeguards, h int) bool {
	if s.Restarted || s.isCut(h) {
		return false
	}
	s.Restarted = true
	s.Hosts[h] = eraHost{Era: s.Era, Known: s.Store, OtherHeard: s.Now, EraSince: s.Now}
	if !g.WaitAfterRestart {
		s.Hosts[h].Continues = true
	}
	return true
}

// recorded reports whether the host knows a stored record of its current epoch.
func (s *EraState) recorded(h int) bool {
	host := &s.Hosts[h]
	return host.Epoch > 0 && !host.Known.Broken[h] && host.Known.Epoch[h] == host.Epoch
}

// mayHeartbeat reports whether the other host answers a heartbeat: both know the same era, and
// the other one doesn't know of the end of the host's lease.
func (s *EraState) mayHeartbeat(h int) bool {
	other := &s.Hosts[1-h]
	return s.recorded(h) && other.Era == s.Hosts[h].Era &&
		!(other.Known.Broken[h] && other.Known.Epoch[h] >= s.Hosts[h].Epoch)
}

func (s *EraState) heartbeat(g EraSafeguards, h int) {
	s.Hosts[1-h].OtherHeard = s.Now
	s.extendLease(g, h)
}

// extendLease renews the host's lease. After a gap the host no longer continues earlier work.
func (s *EraState) extendLease(g EraSafeguards, h int) {
	host := &s.Hosts[h]
	if g.ContinuousLease && host.LeaseUntil > 0 && s.Now >= host.LeaseUntil {
		host.Continues = false
	}
	host.LeaseUntil = s.Now + eraLease
}

// mustRegister reports whether the host has no record of its epoch, or needs the store to renew
// its lease because the other host is unreachable.
func (s *EraState) mustRegister(h int) bool {
	return !s.recorded(h) || s.isCut(1-h) && s.Hosts[h].LeaseUntil < s.Now+eraLease
}

func (s *EraState) register(g EraSafeguards, h int) {
	host := &s.Hosts[h]
	known := host.Known
	epoch := max(known.Epoch[h], host.Epoch)
	epoch = max(epoch, host.LastEpoch, host.EndedEpoch+1)
	if known.Broken[h] && epoch == known.Epoch[h] {
		epoch++
	}
	s.Store.Revision++
	s.Store.Epoch[h], s.Store.Broken[h], s.Store.HostRevision[h] = epoch, false, s.Store.Revision
	if host.Era != s.Era {
		// The answer belongs to an era that the host doesn't know of yet.
		return
	}
	host.Known.Epoch[h], host.Known.Broken[h], host.Known.HostRevision[h] = epoch, false, s.Store.Revision
	host.Epoch, host.LastEpoch = epoch, epoch
	s.extendLease(g, h)
}

// mayBreakLease reports whether the host may break the other's lease: the other was silent for
// long enough to have stopped, and the era is settled or the other's epoch is known to have ended.
func (s *EraState) mayBreakLease(g EraSafeguards, h int) bool {
	host, other := &s.Hosts[h], 1-h
	silent := s.Now-host.OtherHeard >= eraSilence
	ended := host.OtherEndedEpoch >= host.Known.Epoch[other]
	return silent && (ended || s.settled(g, h)) && !host.Known.Broken[other] && host.Known.HostRevision[other] == s.Store.HostRevision[other]
}

func (s *EraState) breakLease(h int) {
	host, other := &s.Hosts[h], 1-h
	s.Store.Revision++
	s.Store.Epoch[other], s.Store.Broken[other], s.Store.HostRevision[other] = host.Known.Epoch[other], true, s.Store.Revision
	if host.Era == s.Era {
		host.Known.Broken[other], host.Known.HostRevision[other] = true, s.Store.Revision
		host.OtherEndedEpoch = max(host.OtherEndedEpoch, host.Known.Epoch[other])
	}
}

// mayClaim reports whether the host may claim the runner: the owner's lease, as far as the host
// knows, has ended.
func (s *EraState) mayClaim(h int) bool {
	known := &s.Hosts[h].Known
	if !s.recorded(h) || known.OwnerAt != s.Store.OwnerAt {
		return false
	}
	owner := known.Owner - 1
	return known.Broken[owner] || known.Epoch[owner] != known.OwnerEpoch
}

func (s *EraState) claim(h int) {
	host := &s.Hosts[h]
	s.Store.Revision++
	s.Store.Owner, s.Store.OwnerEpoch, s.Store.OwnerAt = uint8(h+1), host.Epoch, s.Store.Revision
	if host.Era == s.Era {
		host.Known.Owner, host.Known.OwnerEpoch, host.Known.OwnerAt = uint8(h+1), host.Epoch, s.Store.Revision
	}
}

// settled reports whether all hosts have stopped acting on earlier eras.
func (s *EraState) settled(g EraSafeguards, h int) bool {
	host := &s.Hosts[h]
	return !g.WaitUntilSettled || host.Era <= host.Known.Settled || s.Now-host.EraSince >= eraSilence+eraPropagation
}

func (s *EraState) mayOrder(g EraSafeguards, h int) bool {
	host := &s.Hosts[h]
	owns := s.recorded(h) && host.Known.Owner == uint8(h+1) && host.Known.OwnerEpoch == host.Epoch
	return owns && s.Now < host.LeaseUntil && (host.Continues || s.settled(g, h))
}

func (s *EraState) order(g EraSafeguards, h int) {
	host := &s.Hosts[h]
	token := uint16(host.Known.OwnerAt)
	if g.TokensByEra {
		token += uint16(host.Era) * eraRevisions
	}
	holder := uint8(h + 1)
	switch {
	case s.LastHolder != 0 && token < s.LastToken:
		s.Violation = "an order with a lower token than the one before"
	case s.LastHolder != 0 && s.LastHolder != holder && token == s.LastToken:
		s.Violation = "orders of two hosts with the same token"
	case s.LastHolder != 0 && s.LastHolder != holder && s.Now-s.LastOrderAt < eraOrderGap:
		s.Violation = "orders of two hosts within the order gap"
	}
	s.LastHolder, s.LastOrderAt, s.LastToken = holder, s.Now, token
}

// ExploreEra searches the era model as Explore does.
func ExploreEra(g EraSafeguards, limit int) (int, []EraState, bool) {
	return explore(initialEra(), func(s EraState) []EraState { return NextEra(s, g) }, func(s EraState) bool { return s.Violation != "" }, limit)
}
