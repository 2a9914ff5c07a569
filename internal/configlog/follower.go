package configlog

import (
	"sync"
	"sync/atomic"

	"github.com/cherrystage/cherrystage/internal/inventory"
	"github.com/pkg/errors"
)

// Follower holds the inventory that is in force on this node. Readers load the
// snapshot without locking; writers are serialized.
type Follower struct {
	current atomic.Pointer[inventory.Snapshot]

	mu      sync.Mutex
	recent  []Change
	changed chan struct{}
}

// NewFollower returns a follower at revision zero.
func NewFollower() *Follower {
	f := &Follower{changed: make(chan struct{})}
	f.current.Store(inventory.Empty())
	return f
}

// Snapshot returns the inventory in force.
func (f *Follower) Snapshot() *inventory.Snapshot { return f.current.Load() }

// Adopt puts a newer snapshot in force, with the changes that led to it as far
// as they are known, and reports whether it did. A snapshot that is not newer is
// ignored: a stale read or a replaced peer must not move a node back, or callers
// would see an accepted change revert.
func (f *Follower) Adopt(snapshot *inventory.Snapshot, changes []Change) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if snapshot.Revision() <= f.current.Load().Revision() {
		return false
	}
	f.recent = appendRecent(f.recent, changes, snapshot.Revision())
	f.current.Store(snapshot)
	close(f.changed)
	f.changed = make(chan struct{})
	return true
}

// appendRecent appends changes to the recent ones. It drops what does not form a
// contiguous run that ends at the revision, since peers can only apply such a run.
func appendRecent(recent, changes []Change, revision inventory.Revision) []Change {
	if len(changes) == 0 || changes[len(changes)-1].Revision != revision {
		return nil
	}
	if len(recent) > 0 && recent[len(recent)-1].Revision+1 != changes[0].Revision {
		recent = nil
	}
	joined := append(append([]Change(nil), recent...), changes...)
	if extra := len(joined) - compactionInterval; extra > 0 {
		joined = joined[extra:]
	}
	return joined
}

// Changed returns a channel that is closed at the next change.
func (f *Follower) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// Since returns the changes after a revision for a peer that is behind, and false
// if the peer needs the whole inventory.
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

// ApplyPeerChanges applies changes received from a peer; known ones are skipped.
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
