package spec

// QuotaSafeguards switches the parts of the quota model: two hosts grant units of one
// part of a workspace's quota, the first one and the one that replaces it once its lease
// was broken.
type QuotaSafeguards struct {
	// LeaseChecked: a host grants only while its lease is valid.
	LeaseChecked bool
	// StartWithEmptyBucket: a process starts with an empty bucket, which fills from then on.
	StartWithEmptyBucket bool
	// ResetOnNewLease: a host whose lease was broken starts a new bucket.
	ResetOnNewLease bool
	// DropLostBucket: a host that loses the part drops its bucket.
	DropLostBucket bool
	// SettlingTime: after hosts joined or left, a new bucket begins to fill only once
	// the other hosts know of the change.
	SettlingTime bool
}

// QuotaProtocol returns the safeguards of the implementation: all of them.
func QuotaProtocol() QuotaSafeguards {
	return QuotaSafeguards{LeaseChecked: true, StartWithEmptyBucket: true, ResetOnNewLease: true, DropLostBucket: true, SettlingTime: true}
}

// Bounds of the quota model, in ticks and units. A bucket gains one unit a tick.
const (
	quotaTicks = 12
	// quotaBurst exceeds the units gained within the order gap. Otherwise a bucket would
	// legitimately be full again by the time another host takes over.
	quotaBurst  = 4
	quotaWindow = 4
	quotaLease  = 1
	quotaGap    = 2
	quotaSettle = 1
	// quotaAllowed is the maximum in any window: the burst at its first tick, and one unit
	// for each further tick.
	quotaAllowed = quotaBurst + quotaWindow - 1
)

// quotaHost is what one of the two hosts knows.
type quotaHost struct {
	// Counts: the host believes that it counts the part, from Since on.
	Counts bool
	Since  uint8
	Epoch  uint8
	// HasBucket: it has a bucket with Level units, which it started in BucketEpoch.
	HasBucket   bool
	Level       uint8
	BucketEpoch uint8
}

// QuotaState is one state of the quota model. Hosts[0] is the first host.
type QuotaState struct {
	Now   uint8
	Hosts [2]quotaHost
	// Broken and Epoch are those of the first host's stored record; Heard is the tick at
	// which its lease was last renewed.
	Broken bool
	Epoch  uint8
	Heard  uint8
	// Cut: the first host is partitioned from the other one and the store.
	Cut bool
	// Returned is when the first host rejoined; ReturnUnknown says that the second host
	// doesn't know of it yet.
	Returned      uint8
	ReturnUnknown bool
	Granted       [quotaWindow]uint8
	Violation     string
}

func initialQuota() QuotaState {
	// The first host has been counting for a long time, so its bucket may be full.
	return QuotaState{Epoch: 1, Hosts: [2]quotaHost{{Counts: true, Epoch: 1, HasBucket: true, Level: quotaBurst, BucketEpoch: 1}, {}}}
}

// NextQuota returns every state that is reachable in one step.
func NextQuota(s QuotaState, g QuotaSafeguards) []QuotaState {
	var next []QuotaState
	add := func(change func(n *QuotaState)) {
		n := s
		change(&n)
		next = append(next, n)
	}
	for host := range s.Hosts {
		if mayGrant(s, g, host) {
			add(func(n *QuotaState) { grantUnit(n, g, host) })
		}
	}
	first := s.Hosts[0]
	if s.Now < quotaTicks && (!s.ReturnUnknown || s.Now < s.Returned+quotaSettle) {
		add(passTick)
	}
	add(func(n *QuotaState) { n.Cut = !n.Cut })
	add(func(n *QuotaState) { restartFirst(n) })
	if !s.Broken && s.Now > s.Heard+quotaLease+quotaGap {
		add(func(n *QuotaState) { breakFirst(n, g) })
	}
	if s.Broken && !s.Cut && first.Counts {
		add(func(n *QuotaState) { losePart(&n.Hosts[0], g) })
	}
	if s.Broken && !s.Cut && !first.Counts {
		add(func(n *QuotaState) { rejoinFirst(n, g) })
	}
	if s.ReturnUnknown {
		add(func(n *QuotaState) {
			n.ReturnUnknown = false
			losePart(&n.Hosts[1], g)
		})
	}
	return next
}

// mayGrant reports whether a host may grant units. The second host's lease is assumed
// valid; the first one's may have expired without its knowledge.
func mayGrant(s QuotaState, g QuotaSafeguards, host int) bool {
	if !s.Hosts[host].Counts {
		return false
	}
	return host == 1 || !g.LeaseChecked || s.Now <= s.Heard+quotaLease
}

func grantUnit(n *QuotaState, g QuotaSafeguards, host int) {
	h := &n.Hosts[host]
	if !h.HasBucket || g.ResetOnNewLease && h.BucketEpoch != h.Epoch {
		h.HasBucket, h.BucketEpoch, h.Level = true, h.Epoch, quotaBurst
		if g.StartWithEmptyBucket {
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
		n.Violation = "more was granted in a window than the quota allows"
	}
}

func passTick(n *QuotaState) {
	n.Now++
	copy(n.Granted[1:], n.Granted[:quotaWindow-1])
	n.Granted[0] = 0
	for i := range n.Hosts {
		if n.Hosts[i].HasBucket && n.Now > n.Hosts[i].Since {
			n.Hosts[i].Level = min(quotaBurst, n.Hosts[i].Level+1)
		}
	}
	if !n.Cut && !n.Broken {
		n.Heard = n.Now
	}
}

// restartFirst restarts the first host's process under the same lease.
func restartFirst(n *QuotaState) {
	h := &n.Hosts[0]
	h.HasBucket = false
	h.Since = max(h.Since, n.Now)
}

// breakFirst breaks the first host's lease; the second host counts the part from then on.
func breakFirst(n *QuotaState, g QuotaSafeguards) {
	n.Broken = true
	h := &n.Hosts[1]
	h.Counts, h.Epoch = true, 1
	h.Since = n.Now
	if g.SettlingTime {
		h.Since += quotaSettle
	}
}

// losePart has a host learn that it doesn't count the part any more.
func losePart(h *quotaHost, g QuotaSafeguards) {
	h.Counts = false
	if g.DropLostBucket {
		h.HasBucket = false
	}
}

// rejoinFirst has the first host register again. The second one learns of it later.
func rejoinFirst(n *QuotaState, g QuotaSafeguards) {
	n.Broken = false
	n.Epoch++
	n.Heard = n.Now
	n.Returned, n.ReturnUnknown = n.Now, n.Hosts[1].Counts
	h := &n.Hosts[0]
	h.Counts, h.Epoch = true, n.Epoch
	h.Since = n.Now
	if g.SettlingTime {
		h.Since += quotaSettle
	}
}

// ExploreQuota searches the quota model as Explore does.
func ExploreQuota(g QuotaSafeguards, limit int) (states int, path []QuotaState, complete bool) {
	return explore(initialQuota(), func(s QuotaState) []QuotaState { return NextQuota(s, g) },
		func(s QuotaState) bool { return s.Violation != "" }, limit)
}
