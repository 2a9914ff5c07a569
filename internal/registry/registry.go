// Package registry is the port to the store in which everything lasting lies:
// records by kind and name, with revisions, conditional writes and watches.
package registry

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cherrystage/cherrystage/internal/objectapi"
	"github.com/pkg/errors"
)

// Era numbers the histories of the store. One that comes back from a copy has lost its last
// writes, gives their revisions out again, and says so by a higher era. 0 stands for a store
// that tells of none.
type Era uint64

// Position is a place in the store's histories: a revision of an era. Revisions of two eras
// say nothing about each other.
type Position struct {
	Era      Era    `json:"era,omitempty"`
	Revision uint64 `json:"revision"`
}

// Before says that another position is of a later era, or a later one of the same era.
func (p Position) Before(other Position) bool {
	if p.Era != other.Era {
		return p.Era < other.Era
	}
	return p.Revision < other.Revision
}

// Record is one object of the store.
type Record struct {
	Name string `json:"name"`
	// Revision is the store's revision at the record's last change.
	Revision uint64          `json:"revision"`
	Spec     json.RawMessage `json:"spec"`
	// Era is that of the store's answer to a read or a write of this record alone.
	Era Era `json:"-"`
}

// Change tells that a record was written or removed.
type Change struct {
	Record
	Removed bool
}

// Listing is all records of a kind.
type Listing struct {
	Records []Record
	// Position is the store's, up to which these are all records.
	Position
	// Age is how long before the listing was whole its first page began to arrive. The store
	// may have changed since: a list of many pages takes seconds where many hosts ask at once.
	Age time.Duration
}

// Changes answer a watch.
type Changes struct {
	List []Change
	// Position is the store's, up to which these are all changes.
	Position
	// Age is how long before Watch returned the answer began to arrive. The store may have
	// changed since: a large answer takes long over a thin link.
	Age time.Duration
}

// ErrHistoryGone: the store no longer knows the changes since the asked
// revision, so the watcher must list again.
var ErrHistoryGone = errors.New("the store's history no longer reaches back to the asked revision")

// AnyRevision is the revision of an unconditional write.
const AnyRevision uint64 = 0

// Store is the platform's store. Failed calls return an error whose cause is
// one of package objectapi, or ErrHistoryGone.
type Store interface {
	// List gives all records of a kind.
	List(ctx context.Context, kind string) (Listing, error)
	// ListStale is List at a tenth of the price, from a copy that may be some seconds
	// behind, and of an earlier era than it says.
	ListStale(ctx context.Context, kind string) (Listing, error)
	// Watch waits for changes after a revision, up to a time.
	Watch(ctx context.Context, kind string, since uint64, wait time.Duration) (Changes, error)
	// Get reads one record.
	Get(ctx context.Context, kind, name string) (Record, error)
	// Create writes a record that must not exist yet.
	Create(ctx context.Context, kind, name string, spec any) (Record, error)
	// Update writes a record that must exist, with the given revision unless
	// that is Any.
	Update(ctx context.Context, kind, name string, spec any, revision uint64) (Record, error)
	// Delete removes a record with the given revision.
	Delete(ctx context.Context, kind, name string, revision uint64) error
}

// IsConflict says that a conditional write found another revision.
func IsConflict(err error) bool { return errors.Is(err, objectapi.ErrConflict) }

// IsNotFound says that the record does not exist.
func IsNotFound(err error) bool { return errors.Is(err, objectapi.ErrNotFound) }
