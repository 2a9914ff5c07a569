package inventory

import (
	"slices"
	"strings"
	"sync"
)

// profile holds the fields of an adapter that many adapters share.
type profile struct {
	base     string
	current  string
	versions []string
	callers  []string
}

// interner keeps one copy of each profile. Successive snapshots share it, and
// a dry run may use it while a change is applied, hence the lock. Profiles that
// no adapter uses any more are kept until the process ends, at most one per
// operation that puts an adapter.
type interner struct {
	mu       sync.Mutex
	profiles map[string]*profile
}

func (in *interner) intern(a Adapter) *profile {
	key := strings.Join([]string{a.Base, a.Current, strings.Join(a.Versions, ","), strings.Join(a.Callers, ",")}, "/")
	in.mu.Lock()
	defer in.mu.Unlock()
	if known, ok := in.profiles[key]; ok {
		return known
	}
	added := &profile{
		base:     strings.Clone(a.Base),
		current:  strings.Clone(a.Current),
		versions: slices.Clone(a.Versions),
		callers:  slices.Clone(a.Callers),
	}
	in.profiles[key] = added
	return added
}
