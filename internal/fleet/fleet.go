// Package fleet holds what a node knows of the hosts: entry hosts (its peers), model
// runners and plain services, live or leaving.
//
// A target that is leaving gets no new work. A host list that is missing, stale or
// suddenly empty is not taken as evidence that anything changed.
package fleet

import (
	"sort"
	"sync"
)

// Role is the function of a host.
type Role string

// Roles of hosts.
const (
	RoleEntry   Role = "entry"
	RoleRunner  Role = "runner"
	RoleService Role = "service"
)

// State is the state of a host on the platform's list.
type State string

// States of hosts.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// Host is one entry of the host list.
type Host struct {
	ID         string `json:"id"`
	Role       Role   `json:"role"`
	State      State  `json:"state"`
	DataCentre string `json:"data_centre"`
	Region     string `json:"region,omitempty"`
	// Address is host:port. It takes callers' requests, or on an entry host, calls by
	// peers.
	Address string `json:"address"`
	// Service names the plain service that a service host belongs to.
	Service string `json:"service,omitempty"`
	// Base names the base model that a runner serves.
	Base string `json:"base,omitempty"`
	// ChecksFence is set if the runner rejects orders with an old fencing token.
	ChecksFence bool `json:"checks_fence,omitempty"`
}

// List is the platform's host list. Version increases with each change.
type List struct {
	Version uint64 `json:"version"`
	Hosts   []Host `json:"hosts"`
}

// Table holds the last accepted host list. It is safe for concurrent use.
type Table struct {
	mu         sync.RWMutex
	version    uint64
	hosts      map[string]Host
	removed    map[string]bool
	staleLists int
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{hosts: map[string]Host{}, removed: map[string]bool{}}
}

// Update accepts a list unless it is stale, and reports whether it did. A list with
// an older version was overtaken by a newer one. An empty list, once hosts are known,
// means that the platform lost its state: accepting it would stop traffic to every
// target at once, while keeping the old list costs at most a refused connection.
func (t *Table) Update(list List) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if list.Version < t.version || (len(list.Hosts) == 0 && len(t.hosts) > 0) {
		t.staleLists++
		return false
	}
	next := make(map[string]Host, len(list.Hosts))
	for _, host := range list.Hosts {
		next[host.ID] = host
		delete(t.removed, host.ID)
	}
	for id := range t.hosts {
		if _, ok := next[id]; !ok {
			t.removed[id] = true
		}
	}
	t.hosts = next
	t.version = list.Version
	return true
}

// Host returns a host by its identifier.
func (t *Table) Host(id string) (Host, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	host, ok := t.hosts[id]
	return host, ok
}

// Removed reports whether the platform once listed the host and no longer does. It is
// false for a host never listed, since the list may lag behind the host's start.
func (t *Table) Removed(id string) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.removed[id]
}

// StaleLists returns the number of rejected lists.
func (t *Table) StaleLists() int {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.staleLists
}

// ByRole returns the hosts of a role sorted by identifier, leaving ones included.
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

// MayReceive reports whether a host is listed and may get new work.
func (t *Table) MayReceive(id string) bool {
	host, ok := t.Host(id)
	return ok && host.State == StateLive
}
