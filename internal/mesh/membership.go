package mesh

import (
	"slices"

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
	hosts    []string
	byCentre map[string][]string
	// watching are the watchers of a kind of record.
	watching map[string][]string
	// firsts are the hosts that come first for keys that were asked for.
	firsts map[string]string
}

// inForce gives the present membership; the lock is held. Its slices are shared and
// must not be changed.
func (s *State) inForce() *membership {
	if s.membership != nil {
		return s.membership
	}
	m := &membership{byCentre: map[string][]string{}, watching: map[string][]string{}, firsts: map[string]string{}}
	for host, member := range s.members {
		if !member.Broken {
			m.hosts = append(m.hosts, host)
		}
	}
	slices.Sort(m.hosts)
	for _, host := range m.hosts {
		centre := s.members[host].DataCentre
		m.byCentre[centre] = append(m.byCentre[centre], host)
	}
	s.membership = m
	return m
}

// near gives the hosts of a data centre, or all if it has none.
func (m *membership) near(centre string) []string {
	if near := m.byCentre[centre]; len(near) > 0 {
		return near
	}
	return m.hosts
}

// without gives the hosts but one.
func (m *membership) without(host string) []string {
	return slices.DeleteFunc(slices.Clone(m.hosts), func(other string) bool { return other == host })
}

// watchers is the number of hosts that watch a kind of record: one may be dead,
// cut off or deaf without the others noticing a delay.
const watchers = 2

func (m *membership) watchersOf(kind string) []string {
	watching, known := m.watching[kind]
	if !known {
		ranked := fleet.Rank("watch."+kind, m.hosts)
		watching = ranked[:min(len(ranked), watchers)]
		m.watching[kind] = watching
	}
	return watching
}
