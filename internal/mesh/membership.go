package mesh

import (
	"math/bits"
	"slices"
	"time"

	"github.com/cherrystage/cherrystage/internal/fleet"
)

// membership is data derived from the set of live hosts. It is computed once per change of
// the members and is not safe for concurrent use.
//
// Every host checks leases, owners and watchers several times a second. When each check
// sorted and hashed all hosts, some of them once per host, that took four fifths of an
// idle host's processor time in a fleet of 100, in bursts that delayed requests.
type membership struct {
	// hosts are the hosts whose lease is not broken, sorted.
	hosts        []string
	byDataCentre map[string][]string
	// reaching and reachingByDataCentre are those of the hosts that are not cut off from the
	// runners.
	reaching             []string
	reachingByDataCentre map[string][]string
	// ranked holds the hosts by kind of record, in the order in which they watch it.
	ranked map[string][]string
	// leaders caches the leader of each key that was asked for.
	leaders map[string]string
}

// currentMembership returns the current membership. Its slices are shared and must not be
// modified. The caller holds s.mu.
func (s *State) currentMembership() *membership {
	if s.membership != nil {
		return s.membership
	}
	m := &membership{byDataCentre: map[string][]string{}, reachingByDataCentre: map[string][]string{}, ranked: map[string][]string{}, leaders: map[string]string{}}
	for host, member := range s.members {
		if !member.Broken {
			m.hosts = append(m.hosts, host)
		}
	}
	slices.Sort(m.hosts)
	for _, host := range m.hosts {
		centre := s.members[host].DataCentre
		m.byDataCentre[centre] = append(m.byDataCentre[centre], host)
		if !s.members[host].CutOff {
			m.reaching = append(m.reaching, host)
			m.reachingByDataCentre[centre] = append(m.reachingByDataCentre[centre], host)
		}
	}
	s.membership = m
	return m
}

// reachingNear returns the hosts of a data centre that reach runners, or all such hosts if it
// has none.
func (m *membership) reachingNear(centre string) []string {
	if near := m.reachingByDataCentre[centre]; len(near) > 0 {
		return near
	}
	return m.reaching
}

// without returns all hosts but one.
func (m *membership) without(host string) []string {
	return slices.DeleteFunc(slices.Clone(m.hosts), func(other string) bool { return other == host })
}

// watchersPerKind is the number of hosts that watch a kind of record, so that one can be
// dead, cut off or without answers from the store without delaying the others.
const watchersPerKind = 2

// fallbackTurn returns a host's turn to ask the store for a kind of record: 0 for the
// watchers, 1 for as many hosts after them, and twice as many for each further turn. With
// n hosts the last turn is at most the binary logarithm of n. A host that is not live gets
// the last turn.
func (m *membership) fallbackTurn(kind, host string) int {
	ranked := m.rankedFor(kind)
	rank := slices.Index(ranked, host)
	if rank < 0 {
		rank = max(len(ranked), watchersPerKind)
	}
	return bits.Len(uint(rank / watchersPerKind))
}

// lastFallbackTurn returns the last turn in a fleet of a given size. The first turn asks
// without delay.
func lastFallbackTurn(hosts int) int { return bits.Len(uint((hosts - 1) / watchersPerKind)) }

// MaxFallbackDelay returns how long the last host of a fleet waits for its turn to ask the
// store.
func MaxFallbackDelay(hosts int) time.Duration { return fallbackDelay(lastFallbackTurn(hosts)) }

func fallbackDelay(turn int) time.Duration { return time.Duration(turn-1) * fallbackStep }

func (m *membership) watchersOf(kind string) []string {
	ranked := m.rankedFor(kind)
	return ranked[:min(len(ranked), watchersPerKind)]
}

// rankedFor returns the hosts in the order in which they watch a kind of record.
func (m *membership) rankedFor(kind string) []string {
	ranked, known := m.ranked[kind]
	if !known {
		ranked = fleet.Rank("watch."+kind, m.hosts)
		m.ranked[kind] = ranked
	}
	return ranked
}
