package mesh

import (
	"time"

	"github.com/cherrystage/cherrystage/internal/fleet"
)

const (
	// membershipSettle is how long after hosts joined or left this host begins to count
	// what another one counted: until the others know of the change too, both count. A
	// heartbeat that tells of it takes two intervals to reach everybody.
	membershipSettle = time.Second
	// maxCachedLeaders bounds the keys for which the first host is remembered.
	maxCachedLeaders = 1 << 14
)

// LeaderFor gives the host that comes first for a key, empty where none is known, and
// where it can be reached.
func (s *State) LeaderFor(key string) (host, address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	host = s.currentMembership().leaderFor(key)
	return host, s.members[host].Address
}

func (m *membership) leaderFor(key string) string {
	if first, known := m.leaders[key]; known {
		return first
	}
	if len(m.leaders) >= maxCachedLeaders {
		clear(m.leaders)
	}
	first := fleet.First(key, m.hosts)
	m.leaders[key] = first
	return first
}

// Leadership is the right of one host to do alone what a key names.
type Leadership struct {
	// Since is when at least no other host had it any more.
	Since time.Time
	// Epoch is that of the lease that it rests on.
	Epoch int64
}

// Leads says whether this host alone may do what a key names: it comes first for the
// key, and its lease is not over.
//
// A host that is suspended or cut off would otherwise go on beside its successor, and what
// each grants would add up. It suffices because the lease of a host is broken, and another
// one comes first, only after the host's own lease has been over for the order gap.
func (s *State) Leads(key string, now time.Time) (Leadership, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.epoch == 0 || s.currentMembership().leaderFor(key) != s.self || !now.Add(s.timing.Margin).Before(s.validUntil()) {
		return Leadership{}, false
	}
	since := s.started
	if settled := s.membershipChanged.Add(membershipSettle); !s.membershipChanged.IsZero() && settled.After(since) {
		since = settled
	}
	return Leadership{Since: since, Epoch: s.epoch}, true
}

// MembershipChangedAt gives when hosts last joined or left, zero where this host has seen no change.
func (s *State) MembershipChangedAt() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.membershipChanged
}
