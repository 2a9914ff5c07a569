package quota

import (
	"maps"
	"sync"
)

const (
	// maxUsages bounds the workspaces that a host counts apart; further ones are counted
	// together as otherWorkspaces.
	maxUsages       = 1024
	otherWorkspaces = "(others)"
)

// Usage is what one host did for a workspace since its process started.
type Usage struct {
	// Requests that were charged, refused for the quota, and refused since no host that
	// counts answered.
	Charged int64 `json:"charged"`
	Refused int64 `json:"refused"`
	Unknown int64 `json:"unknown"`
	// Units were charged, and Returned given back since the request did not run.
	Units    float64 `json:"units"`
	Returned float64 `json:"returned"`
}

// WorkspaceMetrics is what a host's metrics tell of a workspace.
type WorkspaceMetrics struct {
	// Rate and Burst are the quota in force, in units a second and in units.
	Rate     float64 `json:"rate"`
	Burst    float64 `json:"burst"`
	InTokens bool    `json:"in_tokens"`
	Usage
}

// Add adds what another host did.
func (u *Usage) Add(other Usage) {
	u.Charged += other.Charged
	u.Refused += other.Refused
	u.Unknown += other.Unknown
	u.Units += other.Units
	u.Returned += other.Returned
}

// UsageByWorkspace counts by workspace. It is safe for concurrent use.
type UsageByWorkspace struct {
	mu sync.Mutex
	by map[string]Usage
}

// Add adds to a workspace's usage.
func (u *UsageByWorkspace) Add(workspace string, more Usage) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.by == nil {
		u.by = map[string]Usage{}
	}
	if _, known := u.by[workspace]; !known && len(u.by) >= maxUsages {
		workspace = otherWorkspaces
	}
	one := u.by[workspace]
	one.Add(more)
	u.by[workspace] = one
}

// All gives the usage of each workspace.
func (u *UsageByWorkspace) All() map[string]Usage {
	u.mu.Lock()
	defer u.mu.Unlock()
	return maps.Clone(u.by)
}
