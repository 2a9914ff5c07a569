// Package fleet holds what a node knows of the hosts: entry hosts (its peers),
// model runners and plain services, live or leaving.
//
// Its rules: a target seen leaving gets nothing new; a host list that is
// silent, stale or suddenly empty is no proof that anything changed.
package fleet

import (
	"sort"
	"sync"
)

// Role tells what a host does.
type Role string

// Roles of hosts.
const (
	RoleEntry   Role = "entry"
	RoleRunner  Role = "runner"
	RoleService Role = "service"
)

// State of a host on the platform's list.
type State string

// States of hosts.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// Host is one line of the host list.
type Host struct {
	ID         string `json:"id"`
	Role       Role   `json:"role"`
	State      State  `json:"state"`
	DataCentre string `json:"data_centre"`
	Region     string `json:"region,omitempty"`
	// Address is host:port, for callers' requests or, on an entry host, for peers.
	Address string `json:"address"`
	// Service names the plain service that a service host belongs to.
	Service string `json:"service,omitempty"`
	// Base names the base model that a runner serves.
	Base string `json:"base,omitempty"`
	// ChecksFence says that the runner refuses an order with an old fencing number.
	ChecksFence bool `json:"checks_fence,omitempty"`
}

// List is the platform's answer. Version grows with each change of the list.
type List struct {
	Version uint64 `json:"version"`
	Hosts   []Host `json:"hosts"`
}

// Table is the last host list that was taken over. It is safe for concurrent use.
type Table struct {
	mu      sync.RWMutex
	version uint64
	hosts   map[string]Host
	gone    map[string]bool
	stale   int
}

// NewTable makes an empty table.
func NewTable() *Table {
	return &Table{hosts: map[string]Host{}, gone: map[string]bool{}}
}

// Update takes a list over and reports whether it did. A list with an older
// version is an answer that was overtaken. An empty list, once hosts are
// known, is a platform that lost its memory: to believe it would turn every
// target away at once, and to keep the old one costs at most a refused
// connection.
func (t *Table) Update(list List) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if list.Version < t.version || (len(list.Hosts) == 0 && len(t.hosts) > 0) {
		t.stale++
		return false
	}
	next := make(map[string]Host, len(list.Hosts))
	for _, host := range list.Hosts {
		next[host.ID] = host
		delete(t.gone, host.ID)
	}
	for id := range t.hosts {
		if _, ok := next[id]; !ok {
			t.gone[id] = true
		}
	}
	t.hosts = next
	t.version = list.Version
	return true
}

// Host gives one host by its identifier.
func (t *Table) Host(id string) (Host, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	host, ok := t.hosts[id]
	return host, ok
}

// Removed says that the platform once listed the host and no longer does. A host
// never seen is not gone: the list may lag behind its start.
func (t *Table) Removed(id string) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.gone[id]
}

// StaleLists gives the number of lists that were not believed.
func (t *Table) StaleLists() int {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.stale
}

// ByRole gives the hosts of one role, sorted by identifier, leaving ones included.
func (t *Table) ByRole(role Role) []Host {
	t.mu.RLock()
	defer t.mu.RUnlock()
	var found []Host
	for _, host := range t.hosts {
		if host.Role == role {
			found = append(found, host)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].ID < found[j].ID })
	return found
}

// MayReceive says whether a host may get new work.
func (t *Table) MayReceive(id string) bool {
	host, ok := t.Host(id)
	return ok && host.State == StateLive
}
