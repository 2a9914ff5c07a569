package quota

import (
	"maps"
	"sync"
)

const (
	// maxTrackedWorkspaces bounds the workspaces that are counted individually; any others are
	// counted together as otherWorkspaces.
	maxTrackedWorkspaces = 1024
	otherWorkspaces      = "(others)"
)

// Usage counts what one host did for a workspace since its process started.
type Usage struct {
	// Charged counts the requests that were charged, Refused those over the quota, and Unknown
	// those refused because no counting host responded.
	Charged int64 `json:"charged"`
	Refused int64 `json:"refused"`
	Unknown int64 `json:"unknown"`
	// Units were charged; Returned were refunded because their request did not run.
	Units    float64 `json:"units"`
	Returned float64 `json:"returned"`
}

// WorkspaceMetrics is a workspace's entry in a host's metrics.
type WorkspaceMetrics struct {
	// Rate is the quota's rate in units per second, Burst its burst in units.
	Rate     float64 `json:"rate"`
	Burst    float64 `json:"burst"`
	InTokens bool    `json:"in_tokens"`
	Usage
}

// Add adds the usage on another host.
func (u *Usage) Add(other Usage) {
	u.Charged += other.Charged
	u.Refused += other.Refused
	u.Unknown += other.Unknown
	u.Units += other.Units
	u.Returned += other.Returned
}

// UsageByWorkspace counts usage by workspace. It is safe for concurrent use.
type UsageByWorkspace struct {
	mu          sync.Mutex
	byWorkspace map[string]Usage
}

// Add adds to the usage of a workspace.
func (u *UsageByWorkspace) Add(workspace string, delta Usage) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.byWorkspace == nil {
		u.byWorkspace = map[string]Usage{}
	}
	if _, known := u.byWorkspace[workspace]; !known && len(u.byWorkspace) >= maxTrackedWorkspaces {
		workspace = otherWorkspaces
	}
	usage := u.byWorkspace[workspace]
	usage.Add(delta)
	u.byWorkspace[workspace] = usage
}

// All returns the usage of each workspace.
func (u *UsageByWorkspace) All() map[string]Usage {
	u.mu.Lock()
	defer u.mu.Unlock()
	return maps.Clone(u.byWorkspace)
}
