package mesh

import (
	"time"

	"github.com/cherrystage/cherrystage/internal/fleet"
)

const (
	// membershipSettle is how long after hosts joined or left a new leader waits before it
	// counts what another host counted: until all know of the change, both count. A
	// heartbeat with the change takes two intervals to reach all hosts.
	membershipSettle = time.Second
	// maxCachedLeaders bounds the keys whose leader is cached.
	maxCachedLeaders = 1 << 14
)

// LeaderFor returns the host that leads a key and its address, or "" if no host is known.
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

// Leadership is a host's exclusive right to act for a key.
type Leadership struct {
	// Since is a time after which certainly no other host has led the key.
	Since time.Time
	// Epoch is the epoch of the lease on which the leadership depends.
	Epoch int64
}

// Leads reports whether this host leads a key: it ranks first for the key and its lease is
// valid.
//
// Without the lease, a host that was suspended or cut off would continue alongside its
// successor, and the two would grant the same budget twice. Another host takes over only
// after the lease is broken, which is at least the order gap after it expired. A group of hosts that
// hears neither the store nor the others for long goes on beside it: what a leader counts is then
// counted twice, but if all leaders stopped in a long outage of the store, nothing would be.
func (s *State) Leads(key string, now time.Time) (Leadership, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.epoch == 0 || s.currentMembership().leaderFor(key) != s.self || !now.Add(s.timing.Margin).Before(s.presumedUntil()) {
		return Leadership{}, false
	}
	since := s.started
	if s.firstRecordsAt.Sub(s.started) > membershipSettle {
		// Another host may have led the key until shortly before these records.
		since = s.firstRecordsAt
	}
	if settled := s.membershipChanged.Add(membershipSettle); !s.membershipChanged.IsZero() && settled.After(since) {
		since = settled
	}
	return Leadership{Since: since, Epoch: s.epoch}, true
}

// MembershipChangedAt returns when hosts last joined or left, or the zero time if this
// host has seen no change.
func (s *State) MembershipChangedAt() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.membershipChanged
}
