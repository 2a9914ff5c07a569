package mesh

import (
	"math/bits"
	"slices"
	"time"

	"github.com/cherrystage/cherrystage/internal/fleet"
)

// membership is what follows from which hosts are in force. It is worked out once
// for each change of the members, and is not safe for concurrent use.
//
// The load it answers: every host looks at leases, owners and watches several times
// a second, and each look sorted and hashed all hosts, some of them once for each
// host. In a fleet of 100 that was four fifths of an idle host's processor time, in
// bursts during which its callers waited.
type membership struct {
	// hosts are those in force, sorted.
	hosts        []string
	byDataCentre map[string][]string
	// ranked are the hosts in the order in which they look after a kind of record.
	ranked map[string][]string
	// leaders are the hosts that come first for keys that were asked for.
	leaders map[string]string
}

// currentMembership gives the present membership; the lock is held. Its slices are shared and
// must not be changed.
func (s *State) currentMembership() *membership {
	if s.membership != nil {
		return s.membership
	}
	m := &membership{byDataCentre: map[string][]string{}, ranked: map[string][]string{}, leaders: map[string]string{}}
	for host, member := range s.members {
		if !member.Broken {
			m.hosts = append(m.hosts, host)
		}
	}
	slices.Sort(m.hosts)
	for _, host := range m.hosts {
		centre := s.members[host].DataCentre
		m.byDataCentre[centre] = append(m.byDataCentre[centre], host)
	}
	s.membership = m
	return m
}

// hostsNear gives the hosts of a data centre, or all if it has none.
func (m *membership) hostsNear(centre string) []string {
	if near := m.byDataCentre[centre]; len(near) > 0 {
		return near
	}
	return m.hosts
}

// without gives the hosts but one.
func (m *membership) without(host string) []string {
	return slices.DeleteFunc(slices.Clone(m.hosts), func(other string) bool { return other == host })
}

// watchersPerKind is the number of hosts that watch a kind of record: one may be dead,
// cut off or deaf without the others noticing a delay.
const watchersPerKind = 2

// fallbackTurn gives a host's turn to ask the store for a kind of record: 0 for those that watch,
// 1 for as many after them, and each time for twice as many. Of n hosts the last turn is
// the binary logarithm of n or less, and that of a host that is not in force is the last.
func (m *membership) fallbackTurn(kind, host string) int {
	ranked := m.rankedFor(kind)
	rank := slices.Index(ranked, host)
	if rank < 0 {
		rank = max(len(ranked), watchersPerKind)
	}
	return bits.Len(uint(rank / watchersPerKind))
}

// lastFallbackTurn gives the last of the turns in which the hosts of a fleet ask the store in place
// of those that watch; the first one comes at once.
func lastFallbackTurn(hosts int) int { return bits.Len(uint((hosts - 1) / watchersPerKind)) }

// MaxFallbackDelay gives for how long the last host of a fleet waits for its turn to ask the store.
func MaxFallbackDelay(hosts int) time.Duration { return fallbackDelay(lastFallbackTurn(hosts)) }

func fallbackDelay(turn int) time.Duration { return time.Duration(turn-1) * fallbackStep }

func (m *membership) watchersOf(kind string) []string {
	ranked := m.rankedFor(kind)
	return ranked[:min(len(ranked), watchersPerKind)]
}

// rankedFor gives the hosts in the order in which they look after a kind of record.
func (m *membership) rankedFor(kind string) []string {
	ranked, known := m.ranked[kind]
	if !known {
		ranked = fleet.Rank("watch."+kind, m.hosts)
		m.ranked[kind] = ranked
	}
	return ranked
}
