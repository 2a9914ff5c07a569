package fleet

import (
	"sort"
	"sync"
	"time"
)

// Member is an entry host as its own process describes it.
type Member struct {
	Host        string `json:"host"`
	Incarnation string `json:"incarnation"`
	Address     string `json:"address"`
	DataCentre  string `json:"data_centre"`
	Region      string `json:"region,omitempty"`
	// Leaving: the process hands its work over and takes none.
	Leaving bool `json:"leaving,omitempty"`
	// Ready: the process has an inventory and may own runners.
	Ready    bool   `json:"ready,omitempty"`
	Revision uint64 `json:"revision"`
	// WaitingLoads is the number of loads that callers wait for on its runners.
	WaitingLoads int `json:"wanted,omitempty"`
	// LoadWaitMS is the time, in milliseconds, until a load asked of this
	// member now would be done; of use from the member that orders loads.
	LoadWaitMS int64 `json:"load_wait_ms,omitempty"`
}

// Members is what a node has heard from its peers. It is safe for concurrent use.
type Members struct {
	silence time.Duration

	mu    sync.RWMutex
	heard map[string]heardMember
}

type heardMember struct {
	Member
	at time.Time
}

// NewMembers makes an empty table; a member that was silent for longer than
// silence counts as suspect.
func NewMembers(silence time.Duration) *Members {
	return &Members{silence: silence, heard: map[string]heardMember{}}
}

// Observe notes a message of a member and reports whether a new process speaks
// for the host.
func (m *Members) Observe(member Member, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	old, known := m.heard[member.Host]
	m.heard[member.Host] = heardMember{Member: member, at: now}
	return !known || old.Incarnation != member.Incarnation
}

// Remove drops a member that the platform no longer lists.
func (m *Members) Remove(host string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.heard, host)
}

// Get gives what a member last told.
func (m *Members) Get(host string) (Member, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	heard, ok := m.heard[host]
	return heard.Member, ok
}

// Alive says whether a member was heard of late.
func (m *Members) Alive(host string, now time.Time) bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	heard, ok := m.heard[host]
	return ok && now.Sub(heard.at) <= m.silence
}

// All gives every member heard of, sorted by host.
func (m *Members) All() []Member {
	m.mu.RLock()
	defer m.mu.RUnlock()
	all := make([]Member, 0, len(m.heard))
	for _, heard := range m.heard {
		all = append(all, heard.Member)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Host < all[j].Host })
	return all
}

// Candidates gives the members that may own a runner or hold a role now:
// speaking, ready and not leaving. With a data centre given, its members go
// before all others: talk is local.
func (m *Members) Candidates(dataCentre string, now time.Time) []string {
	m.mu.RLock()
	defer m.mu.RUnlock()
	var local, all []string
	for host, heard := range m.heard {
		if heard.Leaving || !heard.Ready || now.Sub(heard.at) > m.silence {
			continue
		}
		all = append(all, host)
		if heard.DataCentre == dataCentre {
			local = append(local, host)
		}
	}
	if len(local) > 0 {
		all = local
	}
	sort.Strings(all)
	return all
}

// Limits of a node's neighbourhood.
const (
	// fullMesh is the number of entry hosts up to which each talks to all.
	fullMesh = 16
	// relaysPerDataCentre and relaysPerRegion bound talk beyond the data centre.
	relaysPerDataCentre = 2
	relaysPerRegion     = 1
)

// Neighbours gives the entry hosts that a node exchanges heartbeats with: all
// of a small fleet; of a large one its own data centre, two hosts of each
// other data centre of the region, and one of each other region. The choice
// is by rendezvous hashing, so it moves little as hosts come and go.
func Neighbours(self Host, entries []Host) []Host {
	if len(entries) <= fullMesh {
		return without(entries, self.ID)
	}
	groups := map[string][]string{}
	byID := make(map[string]Host, len(entries))
	var chosen []Host
	for _, host := range without(entries, self.ID) {
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

func without(hosts []Host, id string) []Host {
	var others []Host
	for _, host := range hosts {
		if host.ID != id {
			others = append(others, host)
		}
	}
	return others
}
