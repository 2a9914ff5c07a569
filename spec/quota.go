package spec

// QuotaSafeguards are the switches of the third machine: two hosts that count one part
// of a workspace's quota, the first one and the one that stands in for it once its lease
// was broken, and that grant units of it.
type QuotaSafeguards struct {
	// LeaseChecked: a host grants only while its lease is not over.
	LeaseChecked bool
	// StartEmpty: a process that starts grants what has come since and not a full bucket.
	StartEmpty bool
	// AnewUnderNextLease: a host whose lease was broken counts from nothing again.
	AnewUnderNextLease bool
	// Forget: a host that the part went away from forgets its bucket.
	Forget bool
	// Settle: what a host counts after hosts joined or left begins to fill once the
	// others know of it.
	Settle bool
}

// QuotaProtocol is the protocol as it is built.
func QuotaProtocol() QuotaSafeguards {
	return QuotaSafeguards{LeaseChecked: true, StartEmpty: true, AnewUnderNextLease: true, Forget: true, Settle: true}
}

// Bounds of the third machine, in ticks and units. A tick brings one unit.
const (
	quotaTicks = 12
	// quotaBurst is more than the order gap brings: else a bucket is rightly full again
	// by the time at which another host takes it over.
	quotaBurst  = 4
	quotaWindow = 4
	quotaLease  = 1
	quotaGap    = 2
	quotaSettle = 1
	// quotaAllowed is what may be granted in any window: the burst at its first tick, and
	// what each further one brings.
	quotaAllowed = quotaBurst + quotaWindow - 1
)

// counting is what one of the two hosts knows.
type counting struct {
	// Mine: it believes that it comes first for the part.
	Mine  bool
	Since uint8
	Epoch uint8
	// Has a bucket, which it began under an epoch.
	Has         bool
	Level       uint8
	BucketEpoch uint8
}

// QuotaState is one state of the third machine. Hosts[0] is the first one.
type QuotaState struct {
	Now   uint8
	Hosts [2]counting
	// Broken and Epoch are those of the first host's record, Heard when its lease was
	// last promised.
	Broken bool
	Epoch  uint8
	Heard  uint8
	// Cut: the first host hears nothing and is not heard.
	Cut bool
	// Returned is when the first host came back, while the other does not know it yet.
	Returned uint8
	Untold   bool
	Granted  [quotaWindow]uint8
	Why      string
}

func initialQuota() QuotaState {
	// The first host has counted for long: its bucket may be full.
	return QuotaState{Epoch: 1, Hosts: [2]counting{{Mine: true, Epoch: 1, Has: true, Level: quotaBurst, BucketEpoch: 1}, {}}}
}

// NextQuota gives every state that one step leads to.
func NextQuota(s QuotaState, g QuotaSafeguards) []QuotaState {
	var next []QuotaState
	add := func(change func(n *QuotaState)) {
		n := s
		change(&n)
		next = append(next, n)
	}
	for host := range s.Hosts {
		if quotaRight(s, g, host) {
			add(func(n *QuotaState) { grantUnit(n, g, host) })
		}
	}
	first := s.Hosts[0]
	if s.Now < quotaTicks && (!s.Untold || s.Now < s.Returned+quotaSettle) {
		add(passTick)
	}
	add(func(n *QuotaState) { n.Cut = !n.Cut })
	add(func(n *QuotaState) { restartFirst(n) })
	if !s.Broken && s.Now > s.Heard+quotaLease+quotaGap {
		add(func(n *QuotaState) { breakFirst(n, g) })
	}
	if s.Broken && !s.Cut && first.Mine {
		add(func(n *QuotaState) { lose(&n.Hosts[0], g) })
	}
	if s.Broken && !s.Cut && !first.Mine {
		add(func(n *QuotaState) { comeBack(n, g) })
	}
	if s.Untold {
		add(func(n *QuotaState) {
			n.Untold = false
			lose(&n.Hosts[1], g)
		})
	}
	return next
}

// quotaRight: the second host's own lease is taken to hold, the first one's may be over
// without its knowledge.
func quotaRight(s QuotaState, g QuotaSafeguards, host int) bool {
	if !s.Hosts[host].Mine {
		return false
	}
	return host == 1 || !g.LeaseChecked || s.Now <= s.Heard+quotaLease
}

func grantUnit(n *QuotaState, g QuotaSafeguards, host int) {
	h := &n.Hosts[host]
	if !h.Has || g.AnewUnderNextLease && h.BucketEpoch != h.Epoch {
		h.Has, h.BucketEpoch, h.Level = true, h.Epoch, quotaBurst
		if g.StartEmpty {
			h.Level = 0
			if n.Now > h.Since {
				h.Level = min(quotaBurst, n.Now-h.Since)
			}
		}
	}
	if h.Level == 0 {
		return
	}
	h.Level--
	n.Granted[0]++
	total := uint8(0)
	for _, units := range n.Granted {
		total += units
	}
	if total > quotaAllowed {
		n.Why = "more was granted in a window than the quota allows"
	}
}

func passTick(n *QuotaState) {
	n.Now++
	copy(n.Granted[1:], n.Granted[:quotaWindow-1])
	n.Granted[0] = 0
	for i := range n.Hosts {
		if n.Hosts[i].Has && n.Now > n.Hosts[i].Since {
			n.Hosts[i].Level = min(quotaBurst, n.Hosts[i].Level+1)
		}
	}
	if !n.Cut && !n.Broken {
		n.Heard = n.Now
	}
}

// restartFirst ends the first host's process and starts it anew under the same lease.
func restartFirst(n *QuotaState) {
	h := &n.Hosts[0]
	h.Has = false
	h.Since = max(h.Since, n.Now)
}

// breakFirst ends the first host's lease; the second one comes first from then on.
func breakFirst(n *QuotaState, g QuotaSafeguards) {
	n.Broken = true
	h := &n.Hosts[1]
	h.Mine, h.Epoch = true, 1
	h.Since = n.Now
	if g.Settle {
		h.Since += quotaSettle
	}
}

// lose has a host learn that the part is not its own any more.
func lose(h *counting, g QuotaSafeguards) {
	h.Mine = false
	if g.Forget {
		h.Has = false
	}
}

// comeBack has the first host register anew. The second one learns of it a moment later.
func comeBack(n *QuotaState, g QuotaSafeguards) {
	n.Broken = false
	n.Epoch++
	n.Heard = n.Now
	n.Returned, n.Untold = n.Now, n.Hosts[1].Mine
	h := &n.Hosts[0]
	h.Mine, h.Epoch = true, n.Epoch
	h.Since = n.Now
	if g.Settle {
		h.Since += quotaSettle
	}
}

// ExploreQuota visits the states of the third machine.
func ExploreQuota(g QuotaSafeguards, limit int) (states int, broken []QuotaState, complete bool) {
	return explore(initialQuota(), func(s QuotaState) []QuotaState { return NextQuota(s, g) },
		func(s QuotaState) bool { return s.Why != "" }, limit)
}
