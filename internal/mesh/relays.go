package mesh

import "github.com/cherrystage/cherrystage/internal/fleet"

// HostAddress is a host's name and the address at which its peers reach it.
type HostAddress struct{ Name, Address string }

// nearRelays is the number of hosts of one data centre that are considered before hosts of
// others: if they cannot serve, the data centre is most likely cut off as a whole.
const nearRelays = 2

// Relays returns the live hosts other than this one, not known to be cut off, through which to connect to a runner: a few
// of the runner's data centre and of this host's own, then all others. Different hosts rank
// the relays of a runner differently.
func (s *State) Relays(address, dataCentre string) []HostAddress {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.currentMembership()
	key := address + " " + s.self
	listed := map[string]bool{s.self: true}
	var relays []HostAddress
	add := func(hosts []string, most int) {
		for _, host := range fleet.Rank(key, hosts) {
			if most == 0 {
				return
			}
			if listed[host] {
				continue
			}
			listed[host] = true
			most--
			relays = append(relays, HostAddress{Name: host, Address: s.members[host].Address})
		}
	}
	add(m.reachingByDataCentre[dataCentre], nearRelays)
	add(m.reachingByDataCentre[s.members[s.self].DataCentre], nearRelays)
	add(m.reaching, len(m.reaching))
	return relays
}
