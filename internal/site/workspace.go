package site

import (
	"cmp"
	"slices"

	"github.com/cherrystage/cherrystage/internal/credential"
)

// Workspace is a customer of the deployment. Its callers authenticate with one of its keys, and
// its quota is enforced over all hosts together.
type Workspace struct {
	Name string
	// Keys are the digests of the valid keys. Without any, every caller of the workspace is
	// rejected.
	Keys  []credential.Digest
	Quota Quota
	// Priority overrides the priority of the route unless it is nil; lower values are served
	// first.
	Priority *int
}

// Quota is the request limit of a workspace over all hosts together: a token bucket whose units
// are requests or tokens of a model.
type Quota struct {
	// Rate is in units per second; 0 means unlimited.
	Rate float64
	// Burst is the capacity beyond the rate, in units.
	Burst float64
	// InTokens is true if units are tokens, false if they are requests.
	InTokens bool
	// DefaultTokens is the cost of a request whose number of tokens is unknown.
	DefaultTokens int64
}

// Bounded reports whether the quota limits anything.
func (q Quota) Bounded() bool { return q.Rate > 0 }

// Cost returns the cost of a request in units. The argument tokens is the sum of the tokens in
// its prompt and its response; it is used only if the caller stated them.
func (q Quota) Cost(tokens int64, known bool) float64 {
	switch {
	case !q.InTokens:
		return 1
	case known:
		return float64(tokens)
	default:
		return float64(q.DefaultTokens)
	}
}

// PriorityOn returns the priority of a request of the workspace on a route: that of the
// workspace if it has one, otherwise that of the route.
func (w *Workspace) PriorityOn(route *Route) int {
	if w == nil || w.Priority == nil {
		return route.Priority
	}
	return *w.Priority
}

// Precedence orders requests that compete for the same capacity; lower values go first. The
// workspace's priority is compared before the route's.
type Precedence struct {
	Workspace, Route int
}

// Compare returns a negative number if p goes before other, 0 if neither does, and a positive
// number otherwise.
func (p Precedence) Compare(other Precedence) int {
	return cmp.Or(cmp.Compare(p.Workspace, other.Workspace), cmp.Compare(p.Route, other.Route))
}

// PrecedenceOf returns the precedence of a request on a route. The workspace is nil for a
// request without one; the route's priority then stands for both.
func PrecedenceOf(workspace *Workspace, route *Route) Precedence {
	return Precedence{Workspace: workspace.PriorityOn(route), Route: route.Priority}
}

// Workspaces holds the workspaces of one configuration. It is immutable.
type Workspaces struct {
	byName     map[string]*Workspace
	keyHolders credential.Holders
	// havePriorities is set if any workspace has a priority.
	havePriorities bool
	// WithSharedKey contains the names of workspaces that list a key of an earlier workspace.
	WithSharedKey []string
}

// NewWorkspaces returns the workspaces of a configuration. A key that several workspaces list
// belongs to the first of them, so that all hosts attribute its requests alike.
func NewWorkspaces(list []*Workspace) *Workspaces {
	workspaces := &Workspaces{byName: make(map[string]*Workspace, len(list)), keyHolders: credential.Holders{}}
	for _, workspace := range list {
		workspaces.byName[workspace.Name] = workspace
		workspaces.havePriorities = workspaces.havePriorities || workspace.Priority != nil
		for _, key := range workspace.Keys {
			if !workspaces.keyHolders.Add(key, workspace.Name) {
				workspaces.WithSharedKey = append(workspaces.WithSharedKey, workspace.Name)
			}
		}
	}
	return workspaces
}

// HavePriorities reports whether any workspace has a priority of its own.
func (w *Workspaces) HavePriorities() bool {
	return w != nil && w.havePriorities
}

// ByKey returns the workspace that a key belongs to.
func (w *Workspaces) ByKey(key credential.Digest) (*Workspace, bool) {
	if w == nil {
		return nil, false
	}
	name, ok := w.keyHolders.Holder(key)
	return w.byName[name], ok
}

// ByName returns a workspace by name.
func (w *Workspaces) ByName(name string) (*Workspace, bool) {
	if w == nil {
		return nil, false
	}
	workspace, ok := w.byName[name]
	return workspace, ok
}

// Names returns the names of all workspaces in sorted order.
func (w *Workspaces) Names() []string {
	if w == nil {
		return nil
	}
	names := make([]string, 0, len(w.byName))
	for name := range w.byName {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
