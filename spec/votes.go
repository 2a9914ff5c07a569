package spec

// LeaseSafeguards switches the parts of the model of votes and promises.
type LeaseSafeguards struct {
	// BreakFromOneCut: a host breaks a lease only if it knows all records up to that of the lease.
	BreakFromOneCut bool
	// VotesOutlastLag: a voter promises again only for a record with a revision above the one that
	// it voted on, even if it did not know that revision when it voted.
	VotesOutlastLag bool
	// HighestVoteCounts: a vote on an earlier record does not replace one on a later record.
	HighestVoteCounts bool
	// BrokenLeasesEnd: a record that says that the lease was broken is no record to promise for.
	BrokenLeasesEnd bool
	// PromisesAfterRegistration: a process promises only for records with a revision above that of
	// its own registration.
	PromisesAfterRegistration bool
	// PromisesNeedLease: a witness promises only while its own lease is valid.
	PromisesNeedLease bool
	// GoneAfterLease: a witness whose lease was broken counts as a vote only after the duration of
	// a lease.
	GoneAfterLease bool
	// SilenceAfterStart: a process votes only once it has run for as long as a host has to be
	// silent.
	SilenceAfterStart bool
	// RenewalsKeepLease: a lease is broken only once its record has not changed for as long as a
	// host has to be silent.
	RenewalsKeepLease bool
	// WitnessesOfBothWrites: after a renewal without an answer, promises count only from the
	// witnesses of before and from those of the renewal.
	WitnessesOfBothWrites bool
	// Witnesses is the number of hosts that the holder's record can name as its witness, 1 or 2.
	Witnesses uint8
	// Revisions is the number of revisions that the store issues, up to maxLeaseRevisions. The
	// first two are those of the initial state.
	Revisions uint8
}

// LeaseProtocol returns the safeguards of the implementation: all of them.
func LeaseProtocol() LeaseSafeguards {
	return LeaseSafeguards{
		BreakFromOneCut: true, VotesOutlastLag: true, HighestVoteCounts: true, BrokenLeasesEnd: true,
		PromisesAfterRegistration: true, PromisesNeedLease: true, GoneAfterLease: true, SilenceAfterStart: true,
		RenewalsKeepLease: true, WitnessesOfBothWrites: true, Witnesses: 2, Revisions: 5,
	}
}

// Bounds of the model of votes and promises. Ticks, restarts and delays are not bounded.
const (
	maxLeaseRevisions = 8
	// leaseTime is for how many ticks a promise or a renewal keeps a lease valid, leaseGap the
	// minimum number of ticks between orders of two hosts.
	leaseTime    = 1
	leaseGap     = 1
	leaseSilence = leaseTime + leaseGap
	// Ages are counted up to maxAge, after which they make no difference.
	maxAge = leaseSilence
)

// The hosts of the model are the holder of the lease, a witness, and a third host that can be
// the holder's other witness. The holder's record and the witness's are in the store.
const (
	holderRecord  = 0
	witnessRecord = 1
	// noLeaseRecord takes the place of a write that nobody needs any more.
	noLeaseRecord = 2
	// noWitness and firstWitness are values of the holder's record.
	noWitness    = 0
	firstWitness = 1
)

// leaseViolation is an invariant that was violated. It is a number, since states without pointers
// are explored in much less time.
type leaseViolation uint8

const (
	leaseKept leaseViolation = iota
	brokenWithinGap
	ordersByBrokenLease
)

func (v leaseViolation) String() string {
	return [...]string{
		"none", "a lease was broken within the order gap of its holder's last order",
		"the holder may order although its lease was broken",
	}[v]
}

// leaseEntry is one write to the store. Witness is that of the holder's record.
type leaseEntry struct {
	Record  uint8
	Broken  bool
	Witness uint8
}

// leaseHolder is the host whose lease is at stake.
type leaseHolder struct {
	Registered bool
	// Witness is the one that its record names as far as it knows, Attempted that of a renewal
	// without an answer.
	Witness, Attempted uint8
	// Renewed and Promised are the ages of the last renewal and of each witness's last promise.
	Renewed  uint8
	Promised [2]uint8
	// Since is how long ago its lease was last valid, up to the gap.
	Since uint8
}

// leaseVoter is what a witness or breaker knows of the holder.
type leaseVoter struct {
	// Known is the revision of the holder's record as known for the time Changed.
	Known, Changed uint8
	// Silent is how long it has not heard from the holder; a started process has heard nothing
	// since its start.
	Silent uint8
	// Voted is the revision of the record whose lease it has agreed to break.
	Voted uint8
}

// LeaseState is one state of the model of votes and promises. Majorities are reduced to the one
// host that each majority of promises has in common with each majority of votes: the record names
// one witness, and any other host may ask it for its vote. Any host may break the witness's own
// lease, once that has been without effect for the order gap.
//
// No step has to happen, so an outage of the store is a time without writes and reads, a
// partition one without heartbeats and votes, and a watch lags for any time.
type LeaseState struct {
	Revision uint8
	Log      [maxLeaseRevisions + 1]leaseEntry
	Holder   leaseHolder
	// Voters are the two witnesses. The first one restarts and loses its own lease, the second
	// one's view of its record lags.
	Voters [2]leaseVoter
	// Registered and PromisesAfter are the first witness's.
	Registered    bool
	PromisesAfter uint8
	// Prefix is the revision up to which the second host knows all records, Gone how long it has
	// known that the first one's lease was broken.
	Prefix, Gone uint8
	// Renewal is the witness that a renewal in flight names, noWitness if there is none. Breaking
	// says that a write that breaks the lease is in flight. Both depend on the holder's record in
	// the store.
	Renewal   uint8
	Breaking  bool
	Violation leaseViolation
}

func initialLease() LeaseState {
	s := LeaseState{Registered: true}
	s.Holder = leaseHolder{Registered: true, Witness: firstWitness, Promised: [2]uint8{maxAge, maxAge}}
	s.write(leaseEntry{Record: witnessRecord})
	s.write(leaseEntry{Record: holderRecord, Witness: firstWitness})
	s.Prefix = s.Revision
	for v := range s.Voters {
		s.Voters[v] = leaseVoter{Known: s.Revision}
	}
	return s
}

// NextLease returns every state that is reachable in one step.
func NextLease(s LeaseState, g LeaseSafeguards) []LeaseState {
	var next []LeaseState
	add := func(n LeaseState) {
		n.checkLease(g)
		n.normalize(g)
		next = append(next, n)
	}
	add(s.tick())
	s.watchSteps(add)
	s.heartbeatSteps(g, add)
	s.restartSteps(g, add)
	s.breakSteps(g, add)
	if s.Revision < g.Revisions {
		s.holderWrites(g, add)
		s.witnessWrites(g, add)
		s.landBreak(add)
	}
	return next
}

type addLease func(n LeaseState)

// latest returns the last write of a record up to a revision.
func (s *LeaseState) latest(record, revision uint8) (uint8, leaseEntry) {
	for at := revision; at > 0; at-- {
		if s.Log[at].Record == record {
			return at, s.Log[at]
		}
	}
	return 0, leaseEntry{}
}

// write adds a write. Those in flight fail if it changes the holder's record.
func (s *LeaseState) write(e leaseEntry) {
	s.Revision++
	s.Log[s.Revision] = e
	if e.Record == holderRecord {
		s.Renewal, s.Breaking = noWitness, false
	}
}

func age(a *uint8, limit uint8) { *a = min(*a+1, limit) }

func (s LeaseState) tick() LeaseState {
	age(&s.Holder.Renewed, maxAge)
	age(&s.Holder.Since, leaseGap)
	age(&s.Gone, maxAge)
	for v := range s.Voters {
		age(&s.Holder.Promised[v], maxAge)
		age(&s.Voters[v].Changed, maxAge)
		age(&s.Voters[v].Silent, maxAge)
	}
	return s
}

// hasLease reports whether the holder may order.
func (s *LeaseState) hasLease(g LeaseSafeguards) bool {
	holder := &s.Holder
	if !holder.Registered {
		return false
	}
	promised := holder.Promised[holder.Witness-1]
	if holder.Attempted != noWitness && g.WitnessesOfBothWrites {
		promised = max(promised, holder.Promised[holder.Attempted-1])
	}
	return min(holder.Renewed, promised) <= leaseTime
}

// checkLease notes whether the holder may order, and whether it does so by a lease that was
// broken.
func (s *LeaseState) checkLease(g LeaseSafeguards) {
	if s.Violation != leaseKept || !s.hasLease(g) {
		return
	}
	s.Holder.Since = 0
	if _, own := s.latest(holderRecord, s.Revision); own.Broken {
		s.Violation = ordersByBrokenLease
	}
}

// normalize resets what makes no difference any more, so that fewer states are distinct.
func (s *LeaseState) normalize(g LeaseSafeguards) {
	holder := &s.Holder
	for v := range s.Voters {
		voter := &s.Voters[v]
		if voter.Voted < voter.Known {
			voter.Voted = 0
		}
		if s.Log[voter.Known].Broken {
			voter.Changed = maxAge
		}
		if witness := uint8(v + 1); witness != holder.Witness && witness != holder.Attempted {
			// The renewal that replaced the witness is no older than its last promise.
			holder.Promised[v] = maxAge
		}
	}
	if g.Witnesses == 1 {
		s.Voters[1].Silent = 0
	}
	if s.PromisesAfter < s.Voters[0].Known {
		s.PromisesAfter = 0
	}
	for s.Prefix < s.Voters[1].Known && s.Log[s.Prefix+1].Record == holderRecord {
		s.Prefix++
	}
	if _, own := s.latest(witnessRecord, s.Prefix); !own.Broken {
		s.Gone = 0
	}
	s.dropReplaced()
}

// dropReplaced drops writes that all hosts know to have been replaced.
func (s *LeaseState) dropReplaced() {
	complete := min(s.Prefix, s.Voters[0].Known, s.holderKnows())
	lastHolder, _ := s.latest(holderRecord, complete)
	lastWitness, _ := s.latest(witnessRecord, complete)
	for at := uint8(1); at < complete; at++ {
		if at != lastHolder && at != lastWitness {
			s.Log[at] = leaseEntry{Record: noLeaseRecord}
		}
	}
}

// watchSteps has a host learn of changes. The second host knows a single record ahead of the
// others if it has read that.
func (s LeaseState) watchSteps(add addLease) {
	for v := range s.Voters {
		if current, _ := s.latest(holderRecord, s.Revision); s.Voters[v].Known < current {
			n := s
			n.learn(v, n.nextChange(s.Voters[v].Known))
			add(n)
		}
	}
	if s.Prefix == s.Revision {
		return
	}
	s.Prefix++
	change := s.Log[s.Prefix]
	if change.Record == holderRecord && s.Prefix > s.Voters[1].Known {
		s.learn(1, s.Prefix)
	}
	if change.Record == witnessRecord {
		s.Gone = 0
	}
	add(s)
}

// nextChange returns the revision of the first change of the holder's record after another.
func (s *LeaseState) nextChange(known uint8) uint8 {
	for at := known + 1; ; at++ {
		if s.Log[at].Record == holderRecord {
			return at
		}
	}
}

func (s *LeaseState) learn(v int, revision uint8) {
	s.Voters[v].Known, s.Voters[v].Changed = revision, 0
}

// heartbeatSteps has a host that may be the holder's witness receive a heartbeat, and the holder
// its answer.
func (s LeaseState) heartbeatSteps(g LeaseSafeguards, add addLease) {
	holder := s.Holder
	for v := range s.Voters {
		witness := uint8(v + 1)
		if !holder.Registered || witness != holder.Witness && witness != holder.Attempted {
			continue
		}
		n := s
		n.Voters[v].Silent = 0
		add(n) // the answer is lost, or is no promise
		if s.promises(v, g) {
			n.Holder.Promised[v] = 0
			add(n)
		}
	}
}

// promises reports whether a witness answers a heartbeat with a promise. The heartbeat carries
// the revision of the holder's record.
func (s *LeaseState) promises(v int, g LeaseSafeguards) bool {
	voter := s.Voters[v]
	after := voter.Voted
	if !g.VotesOutlastLag && voter.Known != voter.Voted {
		after = 0
	}
	if v == 0 {
		if _, own := s.latest(witnessRecord, s.Revision); !s.Registered || own.Broken && g.PromisesNeedLease {
			return false
		}
		after = max(after, s.PromisesAfter)
	}
	if s.Log[voter.Known].Broken && g.BrokenLeasesEnd {
		after = max(after, voter.Known)
	}
	return max(voter.Known, s.holderKnows()) > after
}

// holderKnows returns the latest revision that the holder may know its record to have.
func (s *LeaseState) holderKnows() uint8 {
	at, own := s.latest(holderRecord, s.Revision)
	for own.Broken {
		at, own = s.latest(holderRecord, at-1)
	}
	return at
}

// restartSteps has the holder or the first witness restart.
func (s LeaseState) restartSteps(g LeaseSafeguards, add addLease) {
	n := s
	n.Holder = leaseHolder{Renewed: maxAge, Promised: [2]uint8{maxAge, maxAge}, Since: s.Holder.Since}
	add(n)
	s.Registered, s.PromisesAfter = false, 0
	s.Voters[0] = leaseVoter{Known: s.Voters[0].Known}
	if !g.SilenceAfterStart {
		s.Voters[0].Silent = maxAge
	}
	add(s)
}

// holderWrites has the holder renew its lease or register, each with an answer or without one,
// and a renewal without an answer reach the store later.
func (s LeaseState) holderWrites(g LeaseSafeguards, add addLease) {
	if s.Renewal != noWitness {
		n := s
		n.write(leaseEntry{Record: holderRecord, Witness: s.Renewal})
		add(n)
	}
	_, own := s.latest(holderRecord, s.Revision)
	for witness := uint8(firstWitness); witness <= g.Witnesses; witness++ {
		if s.Holder.Attempted != noWitness && witness != s.Holder.Attempted {
			continue
		}
		if s.Holder.Registered && !own.Broken {
			n := s
			n.Renewal = witness
			if witness != s.Holder.Witness {
				n.Holder.Attempted = witness
			}
			add(n)
		}
		n := s
		n.write(leaseEntry{Record: holderRecord, Witness: witness})
		if !s.Holder.Registered {
			add(n)
		}
		n.Holder.Registered, n.Holder.Witness, n.Holder.Attempted, n.Holder.Renewed = true, witness, noWitness, 0
		add(n)
	}
}

// witnessWrites has the first witness's own lease be broken, once it has been without a lease for
// the order gap, and has it register again.
func (s LeaseState) witnessWrites(g LeaseSafeguards, add addLease) {
	_, own := s.latest(witnessRecord, s.Revision)
	if !own.Broken && s.Holder.Promised[0] >= leaseGap {
		n := s
		n.write(leaseEntry{Record: witnessRecord, Broken: true})
		add(n)
	}
	if !s.Registered || own.Broken {
		s.write(leaseEntry{Record: witnessRecord})
		s.Registered = true
		if g.PromisesAfterRegistration {
			s.PromisesAfter = s.Revision
		}
		add(s)
	}
}

// breakSteps has a host that takes the holder for dead send the write that breaks its lease,
// once it has the votes.
func (s LeaseState) breakSteps(g LeaseSafeguards, add addLease) {
	for v, voter := range s.Voters {
		record := s.Log[voter.Known]
		if record.Broken || voter.Changed < leaseSilence && g.RenewalsKeepLease {
			continue
		}
		if v == 1 && s.Prefix < voter.Known && g.BreakFromOneCut {
			continue
		}
		n := s
		switch {
		case v == 1 && record.Witness == firstWitness && s.witnessGone(g):
		case !n.vote(int(record.Witness-1), voter.Known, g):
			continue
		}
		current, _ := s.latest(holderRecord, s.Revision)
		n.Breaking = s.Breaking || voter.Known == current
		add(n)
	}
}

// witnessGone reports whether the second host counts the first witness as a vote.
func (s *LeaseState) witnessGone(g LeaseSafeguards) bool {
	_, own := s.latest(witnessRecord, s.Prefix)
	return own.Broken && (s.Gone > leaseTime || !g.GoneAfterLease)
}

// vote asks a witness to agree to break the lease of a record.
func (s *LeaseState) vote(v int, revision uint8, g LeaseSafeguards) bool {
	voter := &s.Voters[v]
	if voter.Silent < leaseSilence || voter.Known > revision {
		return false
	}
	if g.HighestVoteCounts {
		revision = max(revision, voter.Voted)
	}
	voter.Voted = revision
	return true
}

// landBreak has a write that breaks the lease reach the store.
func (s LeaseState) landBreak(add addLease) {
	if !s.Breaking {
		return
	}
	_, own := s.latest(holderRecord, s.Revision)
	own.Broken = true
	s.write(own)
	if s.Holder.Since < leaseGap {
		s.Violation = brokenWithinGap
	}
	add(s)
}

// ExploreLease searches the model of votes and promises as Explore does.
func ExploreLease(g LeaseSafeguards, limit int) (int, []LeaseState, bool) {
	return explore(initialLease(), func(s LeaseState) []LeaseState { return NextLease(s, g) }, func(s LeaseState) bool { return s.Violation != leaseKept }, limit)
}
