package spec

// StoreSafeguards are the switches of the second machine: two writers that
// move one head by conditional updates, a follower, and two entry hosts that
// may send one once-only request.
type StoreSafeguards struct {
	// Conditional: the head is moved only from the version that was read.
	Conditional bool
	// ReadBack: after a lost answer the writer looks for its change in the head.
	ReadBack bool
	// NeverBack: a follower leaves a lower revision aside.
	NeverBack bool
	// Claim: a host sends a once-only request only under a claim.
	Claim bool
}

// StoreProtocol is the protocol as it is built.
func StoreProtocol() StoreSafeguards {
	return StoreSafeguards{Conditional: true, ReadBack: true, NeverBack: true, Claim: true}
}

const (
	writers     = 2
	maxRevision = 3
)

type writer struct {
	Phase    uint8 // 0 idle, 1 has read, 2 answer lost, 3 told accepted, 4 told refused
	Read     uint8
	Accepted uint8 // how often its change stands in the head
}

// StoreState is one state of the second machine.
type StoreState struct {
	Head    uint8
	Writers [writers]writer
	// Stale is a revision that a stale read or an old peer may still tell.
	Stale    [maxRevision + 1]bool
	Follower uint8
	Claimed  uint8 // 0 free, else the host's number
	Sent     [2]bool
	Runs     uint8
	Broken   string
}

// NextStore gives every state that one step leads to.
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
			add(func(n *StoreState) { follow(n, g, uint8(revision)) })
		}
	}
	for host := range 2 {
		sendOnce(s, g, host, add)
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
		add(func(n *StoreState) { accept(n, w, 3) })
		add(func(n *StoreState) { accept(n, w, 2) }) // the answer is lost
	case 2:
		add(func(n *StoreState) {
			if g.ReadBack && me.Accepted > 0 {
				n.Writers[w].Phase = 3
				return
			}
			n.Writers[w].Phase = 0
		})
	}
}

func accept(n *StoreState, w int, phase uint8) {
	if n.Writers[w].Read != n.Head {
		n.Broken = "a change was lost under another"
	}
	n.Stale[n.Head] = true
	n.Head = n.Writers[w].Read + 1
	n.Writers[w].Phase = phase
	n.Writers[w].Accepted++
	if n.Writers[w].Accepted > 1 {
		n.Broken = "one change was accepted twice"
	}
}

func follow(n *StoreState, g StoreSafeguards, revision uint8) {
	if revision < n.Follower {
		if g.NeverBack {
			return
		}
		n.Broken = "a revision went back"
	}
	n.Follower = revision
}

// sendOnce: a caller sends one once-only request through two hosts; either may
// die after sending, which is a host that takes no further step.
func sendOnce(s StoreState, g StoreSafeguards, host int, add func(func(*StoreState))) {
	number := uint8(host + 1)
	if g.Claim && s.Claimed == 0 {
		add(func(n *StoreState) { n.Claimed = number })
	}
	if s.Sent[host] || (g.Claim && s.Claimed != number) {
		return
	}
	add(func(n *StoreState) {
		n.Sent[host] = true
		n.Runs++
		if n.Runs > 1 {
			n.Broken = "a once-only request ran twice"
		}
	})
}

// ExploreStore visits every state of the second machine.
func ExploreStore(g StoreSafeguards, limit int) (states int, broken []StoreState, complete bool) {
	return explore(StoreState{}, func(s StoreState) []StoreState { return NextStore(s, g) },
		func(s StoreState) bool { return s.Broken != "" }, limit)
}
