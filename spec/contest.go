package spec

// ContestSafeguards switches the parts of the model of contested leases: a host whose witnesses
// promise whatever happens, since they may be with it in a group of their own, and another host
// that takes it for lost.
type ContestSafeguards struct {
	// LeaseNeedsNews: the holder orders only for a bounded time after the store had its record
	// uncontested.
	LeaseNeedsNews bool
	// ContestIsNoNews: reading that its record is contested doesn't let the holder order on.
	ContestIsNoNews bool
	// NewsOfTheRead: news that another host passes on is as old as that host's read.
	NewsOfTheRead bool
	// WaitFromContest: the other host waits from when it first knew the contest, not from when it
	// first knew the record before it.
	WaitFromContest bool
	// CountAnew: a process that has started waits the whole time.
	CountAnew bool
	// RevisionsMatch: the write that breaks the lease depends on the revision of the contested
	// record.
	RevisionsMatch bool
	// Revisions is how many revisions the hosts know that may lie apart, up to maxContestRevisions.
	Revisions uint8
}

// ContestProtocol returns the safeguards of the implementation: all of them.
func ContestProtocol() ContestSafeguards {
	return ContestSafeguards{
		LeaseNeedsNews: true, ContestIsNoNews: true, NewsOfTheRead: true, WaitFromContest: true, CountAnew: true,
		RevisionsMatch: true, Revisions: 6,
	}
}

// Bounds of the model of contested leases. Ticks, restarts and delays are not bounded.
const (
	maxContestRevisions = 8
	// contestNews is for how many ticks after news of an uncontested record the holder orders,
	// contestGap the minimum number of ticks between orders of two hosts.
	contestNews = 2
	contestGap  = 1
	contestWait = contestNews + contestGap
)

// contestEntry is one write of the holder's record.
type contestEntry struct{ Contested, Broken bool }

// contestWrite is a write in flight that depends on a revision, 0 if there is none.
type contestWrite struct{ Revision, Age uint8 }

// ContestState is one state of the model of contested leases.
type ContestState struct {
	Revision uint8
	Log      [maxContestRevisions + 1]contestEntry
	// Registered says that the holder's process holds the lease, Knows which revision it knows, and
	// News how old its news of an uncontested record is. Ordered is the age of its last order.
	Registered           bool
	Knows, News, Ordered uint8
	// Renewal is the holder's write in flight.
	Renewal contestWrite
	// Read is the revision that a host between the two has read, ReadAge how long ago.
	Read, ReadAge uint8
	// Other is the revision that the other host knows, Since for how long.
	Other, Since uint8
	// Contest and Breaking are the revisions on which the other host's writes in flight depend.
	Contest, Breaking uint8
	Violation         leaseViolation
}

func initialContest() ContestState {
	return ContestState{Revision: 1, Registered: true, Knows: 1, Read: 1, Other: 1}
}

// NextContest returns every state that is reachable in one step.
func NextContest(s ContestState, g ContestSafeguards) []ContestState {
	var next []ContestState
	add := func(n ContestState) {
		n.check(g)
		n.normalize(g)
		next = append(next, n)
	}
	add(s.tick())
	s.holderSteps(g, add)
	s.otherSteps(g, add)
	s.landSteps(g, add)
	return next
}

type addContest func(n ContestState)

func (s ContestState) tick() ContestState {
	for _, a := range []*uint8{&s.News, &s.Renewal.Age, &s.ReadAge} {
		age(a, contestNews)
	}
	age(&s.Ordered, contestGap)
	age(&s.Since, contestWait)
	return s
}

// normalize resets what makes no difference any more, so that fewer states are distinct. Revisions
// that nobody will look at again are taken off, so the number of revisions bounds only how far
// apart those are that the hosts know.
func (s *ContestState) normalize(g ContestSafeguards) {
	if s.Read < s.Knows {
		s.Read, s.ReadAge = s.Knows, contestNews
	}
	if s.Renewal.Revision != s.Revision {
		s.Renewal = contestWrite{}
	}
	if s.Contest != s.Revision {
		s.Contest = 0
	}
	if s.Breaking != s.Revision && g.RevisionsMatch {
		s.Breaking = 0
	}
	unused := min(s.Knows, s.Other) - 1
	if unused == 0 {
		return
	}
	for _, revision := range []*uint8{&s.Revision, &s.Knows, &s.Read, &s.Other} {
		*revision -= unused
	}
	for _, revision := range []*uint8{&s.Renewal.Revision, &s.Contest, &s.Breaking} {
		*revision -= min(*revision, unused)
	}
	copy(s.Log[1:], s.Log[1+unused:])
	clear(s.Log[s.Revision+1:])
}

func (s *ContestState) record() contestEntry { return s.Log[s.Revision] }

// orders reports whether the holder gives orders.
func (s *ContestState) orders(g ContestSafeguards) bool {
	return s.Registered && (s.News < contestNews || !g.LeaseNeedsNews)
}

func (s *ContestState) check(g ContestSafeguards) {
	if s.Violation != leaseKept || !s.orders(g) {
		return
	}
	s.Ordered = 0
	if s.record().Broken {
		s.Violation = ordersByBrokenLease
	}
}

func (s *ContestState) write(e contestEntry) {
	s.Revision++
	s.Log[s.Revision] = e
}

// holderSteps has the host between read the store, the holder hear it, send a renewal or restart.
func (s ContestState) holderSteps(g ContestSafeguards, add addContest) {
	n := s
	n.Read, n.ReadAge = s.Revision, 0
	add(n)
	if s.Read >= s.Knows {
		n := s
		n.hear(g)
		add(n)
	}
	if s.Renewal.Revision == 0 && !s.Log[s.Knows].Broken {
		n := s
		n.Renewal = contestWrite{Revision: s.Knows}
		add(n)
	}
	n = s
	n.Registered, n.News = false, contestNews
	add(n)
}

func (s *ContestState) hear(g ContestSafeguards) {
	s.Knows = s.Read
	known := s.Log[s.Read]
	if known.Broken {
		s.Registered = false
		return
	}
	if known.Contested && g.ContestIsNoNews {
		return
	}
	news := s.ReadAge
	if !g.NewsOfTheRead {
		news = 0
	}
	s.News = min(s.News, news)
}

// otherSteps has the other host read the store, restart, and send the writes that contest and break
// the lease.
func (s ContestState) otherSteps(g ContestSafeguards, add addContest) {
	if s.Other != s.Revision {
		n := s
		n.learn(s.Revision, g)
		add(n)
	}
	n := s
	n.Since = 0
	if !g.CountAnew {
		n.Since = contestWait
	}
	add(n)
	known := s.Log[s.Other]
	if !known.Contested && !known.Broken {
		n := s
		n.Contest = s.Other
		add(n)
	}
	if known.Contested && !known.Broken && s.Since >= contestWait {
		n := s
		n.Breaking = s.Other
		add(n)
	}
}

func (s *ContestState) learn(revision uint8, g ContestSafeguards) {
	before := s.Log[s.Other]
	s.Other = revision
	onlyContested := s.record().Contested && !before.Contested
	if !onlyContested || g.WaitFromContest {
		s.Since = 0
	}
}

// landSteps has writes in flight reach the store, each with an answer or without one.
func (s ContestState) landSteps(g ContestSafeguards, add addContest) {
	if s.Revision == g.Revisions {
		return
	}
	if s.Renewal.Revision == s.Revision {
		n := s
		n.write(contestEntry{})
		sent := n.Renewal.Age
		n.Renewal = contestWrite{}
		add(n)
		n.Registered, n.Knows, n.News = true, n.Revision, min(s.News, sent)
		add(n)
	} else if s.Renewal.Revision != 0 {
		n := s
		n.Renewal = contestWrite{}
		add(n)
	}
	if s.Contest != 0 {
		n := s
		n.Contest = 0
		if s.Contest == s.Revision {
			n.write(contestEntry{Contested: true})
			add(n)
			n.learn(n.Revision, g)
		}
		add(n)
	}
	if s.Breaking != 0 {
		n := s
		n.Breaking = 0
		if s.Breaking == s.Revision || !g.RevisionsMatch && !s.record().Broken {
			n.write(contestEntry{Contested: true, Broken: true})
			if s.Ordered < contestGap {
				n.Violation = brokenWithinGap
			}
		}
		add(n)
	}
}

// ExploreContest searches the model of contested leases as Explore does.
func ExploreContest(g ContestSafeguards, limit int) (int, []ContestState, bool) {
	return explore(initialContest(), func(s ContestState) []ContestState { return NextContest(s, g) }, func(s ContestState) bool { return s.Violation != leaseKept }, limit)
}
