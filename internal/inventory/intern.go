package inventory

import (
	"strings"
	"sync"
)

// interner keeps one copy of each list of strings. Successive snapshots share
// one, and a dry run may use it while a change is applied, hence the lock.
type interner struct {
	mu   sync.Mutex
	kept map[string][]string
}

func (n *interner) intern(list []string) []string {
	key := strings.Join(list, "\x00")
	n.mu.Lock()
	defer n.mu.Unlock()
	if kept, ok := n.kept[key]; ok {
		return kept
	}
	kept := make([]string, len(list))
	for i, item := range list {
		kept[i] = strings.Clone(item)
	}
	n.kept[key] = kept
	return kept
}
