package site

import (
	"slices"

	"github.com/cherrystage/cherrystage/internal/credential"
)

// Workspace is a customer of the deployment: its callers show one of its keys, and
// all hosts together keep it to its quota.
type Workspace struct {
	Name string
	// Keys are the digests of the keys in force. A workspace without keys cannot be
	// called for.
	Keys  []credential.Digest
	Quota Quota
	// Priority goes before that of the route, where it is given; 0 goes first.
	Priority *int
}

// Quota bounds what a workspace may ask for, over all hosts together: a token bucket
// in units, which are requests or tokens.
type Quota struct {
	// Rate is in units a second; 0 sets no bound.
	Rate float64
	// Burst is in units beyond the rate.
	Burst float64
	// InTokens says that the unit is a token and not a request.
	InTokens bool
	// DefaultTokens is what a request counts that tells no numbers of tokens.
	DefaultTokens int64
}

// Bounded says whether the quota bounds anything.
func (q Quota) Bounded() bool { return q.Rate > 0 }

// Cost gives the units that a request counts. Tokens is the sum of those of its prompt
// and its answer; told says whether the caller told them.
func (q Quota) Cost(tokens int64, told bool) float64 {
	switch {
	case !q.InTokens:
		return 1
	case told:
		return float64(tokens)
	default:
		return float64(q.DefaultTokens)
	}
}

// PriorityOn gives the priority of a workspace's request on a route: the workspace's own
// goes before the route's.
func (w *Workspace) PriorityOn(route *Route) int {
	if w == nil || w.Priority == nil {
		return route.Priority
	}
	return *w.Priority
}

// Workspaces are those of one configuration. They are immutable.
type Workspaces struct {
	byName  map[string]*Workspace
	holders credential.Holders
	// WithSharedKey names the workspaces with a key that one listed before them holds.
	WithSharedKey []string
}

// NewWorkspaces makes the workspaces of a configuration. Of two that list a key the
// first one holds it, on every host, so that all agree whose request it is.
func NewWorkspaces(list []*Workspace) *Workspaces {
	workspaces := &Workspaces{byName: make(map[string]*Workspace, len(list)), holders: credential.Holders{}}
	for _, workspace := range list {
		workspaces.byName[workspace.Name] = workspace
		for _, key := range workspace.Keys {
			if !workspaces.holders.Add(key, workspace.Name) {
				workspaces.WithSharedKey = append(workspaces.WithSharedKey, workspace.Name)
			}
		}
	}
	return workspaces
}

// ByKey finds the workspace that a key belongs to.
func (w *Workspaces) ByKey(key credential.Digest) (*Workspace, bool) {
	if w == nil {
		return nil, false
	}
	name, ok := w.holders.Holder(key)
	return w.byName[name], ok
}

// ByName finds a workspace.
func (w *Workspaces) ByName(name string) (*Workspace, bool) {
	if w == nil {
		return nil, false
	}
	workspace, ok := w.byName[name]
	return workspace, ok
}

// Names gives the workspaces' names, sorted.
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
