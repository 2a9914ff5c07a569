package configlog

import (
	"sync"
	"sync/atomic"

	"github.com/cherrystage/cherrystage/internal/inventory"
	"github.com/pkg/errors"
)

// Follower holds the inventory that is in force on this node. Readers take the
// snapshot without a lock; writers take turns.
type Follower struct {
	current atomic.Pointer[inventory.Snapshot]

	mu     sync.Mutex
	recent []Change
	moved  chan struct{}
}

// NewFollower makes a follower at revision zero.
func NewFollower() *Follower {
	f := &Follower{moved: make(chan struct{})}
	f.current.Store(inventory.Empty())
	return f
}

// Snapshot gives the inventory in force.
func (f *Follower) Snapshot() *inventory.Snapshot { return f.current.Load() }

// Adopt puts a newer snapshot in force, with the changes that led to it as far
// as they are known. A snapshot that is not newer is left aside: a stale read
// or a peer that was replaced must never take a node back, or callers would
// see an accepted change revert.
func (f *Follower) Adopt(snapshot *inventory.Snapshot, changes []Change) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if snapshot.Revision() <= f.current.Load().Revision() {
		return false
	}
	f.recent = keepRecent(f.recent, changes, snapshot.Revision())
	f.current.Store(snapshot)
	close(f.moved)
	f.moved = make(chan struct{})
	return true
}

// keepRecent joins two runs of changes; only an unbroken run that ends at the
// revision is any use to a peer.
func keepRecent(recent, changes []Change, revision inventory.Revision) []Change {
	if len(changes) == 0 || changes[len(changes)-1].Revision != revision {
		return nil
	}
	if len(recent) > 0 && recent[len(recent)-1].Revision+1 != changes[0].Revision {
		recent = nil
	}
	joined := append(append([]Change(nil), recent...), changes...)
	if extra := len(joined) - compactAfter; extra > 0 {
		joined = joined[extra:]
	}
	return joined
}

// Changed gives a channel that is closed at the next change.
func (f *Follower) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.moved
}

// Since gives the changes after a revision for a peer that is behind; false if
// it needs the whole inventory.
func (f *Follower) Since(revision inventory.Revision) ([]Change, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	current := f.current.Load().Revision()
	if revision >= current {
		return nil, true
	}
	var changes []Change
	for _, change := range f.recent {
		if change.Revision > revision && !change.OpsInChunks {
			changes = append(changes, change)
		}
	}
	return changes, inventory.Revision(len(changes)) == current-revision
}

// ApplyPeerChanges applies a peer's changes.
func (f *Follower) ApplyPeerChanges(changes []Change) error {
	snapshot := f.Snapshot()
	var applied []Change
	for _, change := range changes {
		if change.Revision <= snapshot.Revision() {
			continue
		}
		next, err := change.Apply(snapshot)
		if err != nil {
			return errors.Wrap(err, "peer's changes")
		}
		snapshot = next
		applied = append(applied, change)
	}
	f.Adopt(snapshot, applied)
	return nil
}
