package inventory

import (
	"slices"
	"strings"
	"sync"
)

// profile is what adapters have in common.
type profile struct {
	base     string
	current  string
	versions []string
	callers  []string
}

// interner keeps one copy of each profile. Successive snapshots share one, and
// a dry run may use it while a change is applied, hence the lock. It keeps
// profiles that no adapter has any more until the process ends, at most one
// for each change.
type interner struct {
	mu   sync.Mutex
	kept map[string]*profile
}

func (n *interner) intern(a Adapter) *profile {
	key := strings.Join([]string{a.Base, a.Current, strings.Join(a.Versions, ","), strings.Join(a.Callers, ",")}, "/")
	n.mu.Lock()
	defer n.mu.Unlock()
	if kept, ok := n.kept[key]; ok {
		return kept
	}
	kept := &profile{
		base:     strings.Clone(a.Base),
		current:  strings.Clone(a.Current),
		versions: slices.Clone(a.Versions),
		callers:  slices.Clone(a.Callers),
	}
	n.kept[key] = kept
	return kept
}
