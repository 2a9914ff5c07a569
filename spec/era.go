package spec

// EraSafeguards are the switches of the fourth machine: two hosts, one of which owns a runner,
// and a store that comes back from a copy: it has lost leases, their ends and claims, gives
// revisions out again and raises its era.
type EraSafeguards struct {
	// TokensByEra: a fencing token is the era above the revision.
	TokensByEra bool
	// Wait: by the word of a new era a host orders only once all have stopped that act by
	// an earlier one.
	Wait bool
	// Continuity: what a host goes on doing in a new era it may do only while its lease
	// stays valid without a gap.
	Continuity bool
	// FreshWaits: a process that starts waits as well, unless the store says that the era is
	// settled.
	FreshWaits bool
	// ListAnew: the records of a new era replace what a host knows, whatever their revisions.
	ListAnew bool
}

// EraProtocol is the protocol as it is built.
func EraProtocol() EraSafeguards {
	return EraSafeguards{TokensByEra: true, Wait: true, Continuity: true, FreshWaits: true, ListAnew: true}
}

// Bounds of the fourth machine, in ticks.
const (
	eraTicks  = 11
	eraDrills = 2
	// eraLease is how long a promise lets a host order, eraGap the time that must lie between
	// the orders of two hosts, eraNews the time in which all hosts in touch learn of a drill.
	eraLease  = 2
	eraGap    = 2
	eraNews   = 1
	eraSilent = eraLease + eraGap
	// eraRevisions is more than the revisions that are given out within the bounds.
	eraRevisions = 32
)

// eraRecords is what the store holds: of each host its epoch and whether its lease was broken,
// and who owns the runner. Revisions are those of the last change.
type eraRecords struct {
	Revision     uint8
	Epoch        [2]uint8
	Broken       [2]bool
	HostRevision [2]uint8
	Owner        uint8
	OwnerEpoch   uint8
	OwnerAt      uint8
	// Settled is the last era of which the store says that nobody acts by an earlier one.
	Settled uint8
}

// eraHost is what one host knows.
type eraHost struct {
	Era   uint8
	Known eraRecords
	// Epoch is the host's own, 0 before it is registered; Last the last one that it had,
	// Over the last one that it knows to be over.
	Epoch, Last, Over uint8
	// Until is the tick before which it may order.
	Until uint8
	// Heard is the tick of the last sign of the other host, OtherOver the other's last epoch
	// that is known to be over.
	Heard     uint8
	OtherOver uint8
	// Kept: it goes on ordering the runner in the era that it learnt of at Since.
	Kept  bool
	Since uint8
}

// EraState is one state of the fourth machine. Hosts[0] owns the runner at first and can be
// cut off from the store and the other host.
type EraState struct {
	Now    uint8
	Era    uint8
	Store  eraRecords
	Copy   eraRecords
	Hosts  [2]eraHost
	Drill  uint8
	Cut    bool
	WasCut bool
	Mended uint8
	// Restarted says that a process was started anew.
	Restarted bool
	// Orders: who gave the last one, when and under which token. Holder 0 is nobody.
	Holder  uint8
	Ordered uint8
	Token   uint16
	Why     string
}

func initialEra() EraState {
	records := eraRecords{Revision: 3, Epoch: [2]uint8{1, 1}, HostRevision: [2]uint8{1, 2}, Owner: 1, OwnerEpoch: 1, OwnerAt: 3}
	host := eraHost{Known: records, Epoch: 1, Last: 1, Until: eraLease}
	return EraState{Store: records, Copy: records, Hosts: [2]eraHost{host, host}}
}

// NextEra gives every state after one more tick. In each the store may be copied and come
// back from its copy, the first host may be cut off or be back, and a process may restart; a
// host learns of a new era at once or a tick later. Then each host does all that it may.
func NextEra(s EraState, g EraSafeguards) []EraState {
	if s.Now == eraTicks {
		return nil
	}
	states := []EraState{s}
	for _, step := range []func(n *EraState, g EraSafeguards) bool{
		copyStore, comeBackFromCopy, cutOrMend,
		func(n *EraState, g EraSafeguards) bool { return n.restart(g, 0) },
		func(n *EraState, g EraSafeguards) bool { return n.restart(g, 1) },
		func(n *EraState, g EraSafeguards) bool { return n.hear(g, 0) },
		func(n *EraState, g EraSafeguards) bool { return n.hear(g, 1) },
	} {
		states = with(states, g, step)
	}
	var next []EraState
	for _, n := range states {
		if !n.newsIsOut() {
			continue
		}
		for first := range n.Hosts {
			after := n
			after.act(g, first)
			after.act(g, 1-first)
			after.tick(g)
			after.act(g, first)
			next = append(next, after)
		}
	}
	return next
}

// with gives the states, and those that a step makes of them where it may be taken.
func with(states []EraState, g EraSafeguards, step func(n *EraState, g EraSafeguards) bool) []EraState {
	all := states
	for _, s := range states {
		if step(&s, g) {
			all = append(all, s)
		}
	}
	return all
}

func copyStore(n *EraState, _ EraSafeguards) bool {
	if n.Copy == n.Store || n.Era == eraDrills {
		return false
	}
	n.Copy = n.Store
	return true
}

func comeBackFromCopy(n *EraState, _ EraSafeguards) bool {
	if n.Era == eraDrills {
		return false
	}
	n.Store, n.Drill = n.Copy, n.Now
	n.Era++
	return true
}

func cutOrMend(n *EraState, _ EraSafeguards) bool {
	switch {
	case n.Cut:
		n.Cut, n.Mended = false, n.Now
	case !n.WasCut:
		n.Cut, n.WasCut = true, true
	default:
		return false
	}
	return true
}

// hear: a host learns of a new era.
func (s *EraState) hear(g EraSafeguards, h int) bool {
	if s.cut(h) || s.Hosts[h].Era == s.Era {
		return false
	}
	s.learn(g, h)
	return true
}

// act: a host does all that it may.
func (s *EraState) act(g EraSafeguards, h int) {
	if s.Why != "" {
		return
	}
	if !s.cut(h) {
		s.duties(g, h)
	}
	if s.mayOrder(g, h) {
		s.order(g, h)
	}
}

// duties: what a host writes to the store.
func (s *EraState) duties(g EraSafeguards, h int) {
	host := &s.Hosts[h]
	if s.wantsRecord(h) && host.Known.HostRevision[h] == s.Store.HostRevision[h] {
		s.register(g, h)
	}
	if s.mayBreak(g, h) {
		s.breakOther(h)
	}
	if s.mayClaim(h) {
		s.claim(h)
	}
	if host.Era == s.Era && s.Store.Settled < s.Era && host.Epoch > 0 && s.settled(g, h) {
		s.Store.Revision++
		s.Store.Settled = s.Era
	}
}

// tick: time passes. Hosts in touch learn what the store says in the era that they know, and
// promise each other.
func (s *EraState) tick(g EraSafeguards) {
	s.Now++
	for h := range s.Hosts {
		if !s.cut(h) && s.Hosts[h].Era == s.Era {
			s.learn(g, h)
		}
	}
	for h := range s.Hosts {
		if !s.Cut && s.mayBeat(h) {
			s.beat(g, h)
		}
	}
}

func (s *EraState) cut(h int) bool { return h == 0 && s.Cut }

// newsIsOut says whether time may pass: hosts in touch learn of a drill in time.
func (s *EraState) newsIsOut() bool {
	for h, host := range s.Hosts {
		since := s.Drill
		if h == 0 {
			since = max(since, s.Mended)
		}
		if !s.cut(h) && host.Era < s.Era && s.Now >= since+eraNews {
			return false
		}
	}
	return true
}

// learn: the host takes over what the store holds.
func (s *EraState) learn(g EraSafeguards, h int) {
	host, other := &s.Hosts[h], 1-h
	if host.Era < s.Era {
		owned := host.Epoch > 0 && host.Known.Owner == uint8(h+1) && host.Known.OwnerEpoch == host.Epoch
		valid := s.Now < host.Until || !g.Continuity
		host.Kept = owned && valid && (host.Kept || s.settled(g, h))
		host.Since = s.Now
		if !g.ListAnew && s.Store.Revision < host.Known.Revision {
			host.Era = s.Era
			return
		}
	}
	if host.Known.HostRevision[other] != s.Store.HostRevision[other] {
		host.Heard = s.Now
	}
	host.Era, host.Known = s.Era, s.Store
	if s.Store.Broken[other] {
		host.OtherOver = max(host.OtherOver, s.Store.Epoch[other])
	}
	if s.Store.Broken[h] && s.Store.Epoch[h] >= host.Epoch {
		host.Over = max(host.Over, s.Store.Epoch[h])
		host.Epoch = 0
	}
}

// restart: the process starts anew and knows what the store holds.
func (s *EraState) restart(g EraSafeguards, h int) bool {
	if s.Restarted || s.cut(h) {
		return false
	}
	s.Restarted = true
	s.Hosts[h] = eraHost{Era: s.Era, Known: s.Store, Heard: s.Now, Since: s.Now}
	if !g.FreshWaits {
		s.Hosts[h].Kept = true
	}
	return true
}

// recorded says that the host's own record, as it knows it, is that of its epoch.
func (s *EraState) recorded(h int) bool {
	host := &s.Hosts[h]
	return host.Epoch > 0 && !host.Known.Broken[h] && host.Known.Epoch[h] == host.Epoch
}

// mayBeat: the other host promises to one of its own era whose lease it does not know to be
// over.
func (s *EraState) mayBeat(h int) bool {
	other := &s.Hosts[1-h]
	return s.recorded(h) && other.Era == s.Hosts[h].Era &&
		!(other.Known.Broken[h] && other.Known.Epoch[h] >= s.Hosts[h].Epoch)
}

func (s *EraState) beat(g EraSafeguards, h int) {
	s.Hosts[1-h].Heard = s.Now
	s.extend(g, h)
}

// extend: the lease is valid for a while from now.
func (s *EraState) extend(g EraSafeguards, h int) {
	host := &s.Hosts[h]
	if g.Continuity && host.Until > 0 && s.Now >= host.Until {
		host.Kept = false
	}
	host.Until = s.Now + eraLease
}

// wantsRecord: the host has no record of its epoch, or cannot reach the other host.
func (s *EraState) wantsRecord(h int) bool {
	return !s.recorded(h) || s.cut(1-h) && s.Hosts[h].Until < s.Now+eraLease
}

func (s *EraState) register(g EraSafeguards, h int) {
	host := &s.Hosts[h]
	known := host.Known
	epoch := max(known.Epoch[h], host.Epoch)
	epoch = max(epoch, host.Last, host.Over+1)
	if known.Broken[h] && epoch == known.Epoch[h] {
		epoch++
	}
	s.Store.Revision++
	s.Store.Epoch[h], s.Store.Broken[h], s.Store.HostRevision[h] = epoch, false, s.Store.Revision
	if host.Era != s.Era {
		// The answer is of an era that the host knows nothing of yet.
		return
	}
	host.Known.Epoch[h], host.Known.Broken[h], host.Known.HostRevision[h] = epoch, false, s.Store.Revision
	host.Epoch, host.Last = epoch, epoch
	s.extend(g, h)
}

// mayBreak: the other host was silent for so long that it has stopped, and in a new era so has
// whoever acts by an earlier one, or its lease is known to be over.
func (s *EraState) mayBreak(g EraSafeguards, h int) bool {
	host, other := &s.Hosts[h], 1-h
	silent := s.Now-host.Heard >= eraSilent
	over := host.OtherOver >= host.Known.Epoch[other]
	return silent && (over || s.settled(g, h)) && !host.Known.Broken[other] && host.Known.HostRevision[other] == s.Store.HostRevision[other]
}

func (s *EraState) breakOther(h int) {
	host, other := &s.Hosts[h], 1-h
	s.Store.Revision++
	s.Store.Epoch[other], s.Store.Broken[other], s.Store.HostRevision[other] = host.Known.Epoch[other], true, s.Store.Revision
	if host.Era == s.Era {
		host.Known.Broken[other], host.Known.HostRevision[other] = true, s.Store.Revision
		host.OtherOver = max(host.OtherOver, host.Known.Epoch[other])
	}
}

// mayClaim: nobody owns the runner as far as the host knows.
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

// settled: all hosts have stopped what they did by an earlier era.
func (s *EraState) settled(g EraSafeguards, h int) bool {
	host := &s.Hosts[h]
	return !g.Wait || host.Era <= host.Known.Settled || s.Now-host.Since >= eraSilent+eraNews
}

func (s *EraState) mayOrder(g EraSafeguards, h int) bool {
	host := &s.Hosts[h]
	owns := s.recorded(h) && host.Known.Owner == uint8(h+1) && host.Known.OwnerEpoch == host.Epoch
	return owns && s.Now < host.Until && (host.Kept || s.settled(g, h))
}

func (s *EraState) order(g EraSafeguards, h int) {
	host := &s.Hosts[h]
	token := uint16(host.Known.OwnerAt)
	if g.TokensByEra {
		token += uint16(host.Era) * eraRevisions
	}
	holder := uint8(h + 1)
	switch {
	case s.Holder != 0 && token < s.Token:
		s.Why = "an order under a lower token than the one before"
	case s.Holder != 0 && s.Holder != holder && token == s.Token:
		s.Why = "orders of two hosts under one token"
	case s.Holder != 0 && s.Holder != holder && s.Now-s.Ordered < eraGap:
		s.Why = "orders of two hosts within the gap"
	}
	s.Holder, s.Ordered, s.Token = holder, s.Now, token
}

// ExploreEra visits the states of the fourth machine as Explore does.
func ExploreEra(g EraSafeguards, limit int) (int, []EraState, bool) {
	return explore(initialEra(), func(s EraState) []EraState { return NextEra(s, g) }, func(s EraState) bool { return s.Why != "" }, limit)
}
