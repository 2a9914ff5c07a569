package fleet

import (
	"sort"
	"sync"
	"time"
)

// Member is the state of an entry host as announced by its own process.
type Member struct {
	Host        string `json:"host"`
	Incarnation string `json:"incarnation"`
	Address     string `json:"address"`
	DataCentre  string `json:"data_centre"`
	Region      string `json:"region,omitempty"`
	// Leaving is set while the process hands over its work and takes no more.
	Leaving bool `json:"leaving,omitempty"`
	// Ready is set once the process has an inventory and may own runners.
	Ready    bool   `json:"ready,omitempty"`
	Revision uint64 `json:"revision"`
	// WaitingLoads is the number of loads on its runners that callers wait for.
	WaitingLoads int `json:"wanted,omitempty"`
	// LoadWaitMS is how long a load requested from this member now would take until
	// it is done, in milliseconds. Only that of the member that orders the loads is
	// used.
	LoadWaitMS int64 `json:"load_wait_ms,omitempty"`
}

// Members holds the last announcement of each peer. It is safe for concurrent use.
type Members struct {
	timeout time.Duration

	mu      sync.RWMutex
	members map[string]memberState
}

type memberState struct {
	Member
	announcedAt time.Time
}

// NewMembers returns an empty table. Members whose last announcement is older than the
// timeout do not count as alive.
func NewMembers(timeout time.Duration) *Members {
	return &Members{timeout: timeout, members: map[string]memberState{}}
}

// Observe records an announcement and reports whether it comes from a process that is
// new for its host.
func (m *Members) Observe(member Member, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	old, known := m.members[member.Host]
	m.members[member.Host] = memberState{Member: member, announcedAt: now}
	return !known || old.Incarnation != member.Incarnation
}

// Remove drops a member that the platform no longer lists.
func (m *Members) Remove(host string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.members, host)
}

// Get returns the last announcement of a member.
func (m *Members) Get(host string) (Member, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	member, ok := m.members[host]
	return member.Member, ok
}

// Alive reports whether a member announced itself within the timeout.
func (m *Members) Alive(host string, now time.Time) bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	member, ok := m.members[host]
	return ok && now.Sub(member.announcedAt) <= m.timeout
}

// All returns all members sorted by host.
func (m *Members) All() []Member {
	m.mu.RLock()
	defer m.mu.RUnlock()
	all := make([]Member, 0, len(m.members))
	for _, member := range m.members {
		all = append(all, member.Member)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Host < all[j].Host })
	return all
}

// Candidates returns the members that may own a runner or hold a role now: alive,
// ready and not leaving. If the data centre has such members, only those are
// returned, which keeps traffic local.
func (m *Members) Candidates(dataCentre string, now time.Time) []string {
	m.mu.RLock()
	defer m.mu.RUnlock()
	var local, all []string
	for host, member := range m.members {
		if member.Leaving || !member.Ready || now.Sub(member.announcedAt) > m.timeout {
			continue
		}
		all = append(all, host)
		if member.DataCentre == dataCentre {
			local = append(local, host)
		}
	}
	if len(local) > 0 {
		all = local
	}
	sort.Strings(all)
	return all
}

// Limits on the peers of a node.
const (
	// maxFullMesh is the number of entry hosts up to which each exchanges heartbeats
	// with all others.
	maxFullMesh = 16
	// relaysPerDataCentre and relaysPerRegion are the numbers of peers in each other
	// data centre of the region and in each other region.
	relaysPerDataCentre = 2
	relaysPerRegion     = 1
)

// Neighbours returns the entry hosts that a node exchanges heartbeats with. In a
// small fleet that is all of them; in a large one it is the node's data centre, two
// hosts of each other data centre of the region and one of each other region. They
// are chosen by rendezvous hashing, so few change as hosts come and go.
func Neighbours(self Host, entries []Host) []Host {
	if len(entries) <= maxFullMesh {
		return withoutHost(entries, self.ID)
	}
	groups := map[string][]string{}
	byID := make(map[string]Host, len(entries))
	var chosen []Host
	for _, host := range withoutHost(entries, self.ID) {
		byID[host.ID] = host
		switch {
		case host.DataCentre == self.DataCentre:
			chosen = append(chosen, host)
		case host.Region == self.Region:
			groups["dc/"+host.DataCentre] = append(groups["dc/"+host.DataCentre], host.ID)
		default:
			groups["region/"+host.Region] = append(groups["region/"+host.Region], host.ID)
		}
	}
	for name, group := range groups {
		count := relaysPerDataCentre
		if name[0] == 'r' {
			count = relaysPerRegion
		}
		ranked := Rank(self.ID+"/"+name, group)
		for _, id := range ranked[:min(count, len(ranked))] {
			chosen = append(chosen, byID[id])
		}
	}
	sort.Slice(chosen, func(i, j int) bool { return chosen[i].ID < chosen[j].ID })
	return chosen
}

func withoutHost(hosts []Host, id string) []Host {
	var others []Host
	for _, host := range hosts {
		if host.ID != id {
			others = append(others, host)
		}
	}
	return others
}
