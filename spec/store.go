package spec

// StoreSafeguards switches the parts of the store model: two writers that advance one
// configuration head by conditional updates, a follower that reads it, and two entry
// hosts that may each send the same non-idempotent request.
type StoreSafeguards struct {
	// Conditional: a writer updates the head only if it is still at the version
	// that it read.
	Conditional bool
	// VerifyAfterLostAnswer: after a lost answer the writer looks for its change in
	// the head.
	VerifyAfterLostAnswer bool
	// RejectOlderRevisions: a follower ignores revisions below its own.
	RejectOlderRevisions bool
	// RequireClaim: a host sends a non-idempotent request only if it holds the claim.
	RequireClaim bool
}

// StoreProtocol returns the safeguards of the implementation: all of them.
func StoreProtocol() StoreSafeguards {
	return StoreSafeguards{Conditional: true, VerifyAfterLostAnswer: true, RejectOlderRevisions: true, RequireClaim: true}
}

const (
	writers     = 2
	maxRevision = 3
)

type writer struct {
	Phase    uint8 // 0 idle, 1 has read, 2 answer lost, 3 reported accepted, 4 reported refused
	Read     uint8
	Accepted uint8 // how often its change was committed
}

// StoreState is one state of the store model.
type StoreState struct {
	Head    uint8
	Writers [writers]writer
	// Stale are old revisions that a stale read or a lagging peer may still return.
	Stale     [maxRevision + 1]bool
	Follower  uint8
	Claimed   uint8 // number of the host that holds the claim, 0 if it is free
	Sent      [2]bool
	Runs      uint8
	Violation string
}

// NextStore returns every state that is reachable in one step.
func NextStore(s StoreState, g StoreSafeguards) []StoreState {
	var next []StoreState
	add := func(change func(n *StoreState)) {
		n := s
		change(&n)
		next = append(next, n)
	}
	for w := range writers {
		writerSteps(s, g, w, add)
	}
	for revision := range s.Stale {
		if s.Stale[revision] || revision == int(s.Head) {
			add(func(n *StoreState) { applyRevision(n, g, uint8(revision)) })
		}
	}
	for host := range 2 {
		sendSteps(s, g, host, add)
	}
	return next
}

func writerSteps(s StoreState, g StoreSafeguards, w int, add func(func(*StoreState))) {
	me := s.Writers[w]
	switch me.Phase {
	case 0:
		add(func(n *StoreState) { n.Writers[w] = writer{Phase: 1, Read: s.Head, Accepted: me.Accepted} })
	case 1:
		if s.Head == maxRevision {
			return
		}
		if g.Conditional && me.Read != s.Head {
			add(func(n *StoreState) { n.Writers[w].Phase = 4 })
			return
		}
		add(func(n *StoreState) { commitChange(n, w, 3) })
		add(func(n *StoreState) { commitChange(n, w, 2) }) // the answer is lost
	case 2:
		add(func(n *StoreState) {
			if g.VerifyAfterLostAnswer && me.Accepted > 0 {
				n.Writers[w].Phase = 3
				return
			}
			n.Writers[w].Phase = 0
		})
	}
}

func commitChange(n *StoreState, w int, phase uint8) {
	if n.Writers[w].Read != n.Head {
		n.Violation = "a change overwrote another"
	}
	n.Stale[n.Head] = true
	n.Head = n.Writers[w].Read + 1
	n.Writers[w].Phase = phase
	n.Writers[w].Accepted++
	if n.Writers[w].Accepted > 1 {
		n.Violation = "one change was accepted twice"
	}
}

func applyRevision(n *StoreState, g StoreSafeguards, revision uint8) {
	if revision < n.Follower {
		if g.RejectOlderRevisions {
			return
		}
		n.Violation = "the follower's revision decreased"
	}
	n.Follower = revision
}

// sendSteps has a caller send one non-idempotent request through two hosts. A host
// that crashes after sending is one that takes no further step.
func sendSteps(s StoreState, g StoreSafeguards, host int, add func(func(*StoreState))) {
	number := uint8(host + 1)
	if g.RequireClaim && s.Claimed == 0 {
		add(func(n *StoreState) { n.Claimed = number })
	}
	if s.Sent[host] || (g.RequireClaim && s.Claimed != number) {
		return
	}
	add(func(n *StoreState) {
		n.Sent[host] = true
		n.Runs++
		if n.Runs > 1 {
			n.Violation = "a non-idempotent request ran twice"
		}
	})
}

// ExploreStore searches the store model as Explore does.
func ExploreStore(g StoreSafeguards, limit int) (states int, path []StoreState, complete bool) {
	return explore(StoreState{}, func(s StoreState) []StoreState { return NextStore(s, g) },
		func(s StoreState) bool { return s.Violation != "" }, limit)
}
