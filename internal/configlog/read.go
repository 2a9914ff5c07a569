package configlog

import (
	"context"
	"encoding/json"

	"github.com/cherrystage/cherrystage/internal/inventory"
	"github.com/cherrystage/cherrystage/internal/objectapi"
	"github.com/pkg/errors"
)

// Reader reads the log.
type Reader struct{ objects Objects }

// NewReader returns a reader.
func NewReader(objects Objects) *Reader { return &Reader{objects: objects} }

// Head reads the head. If there is none yet, the inventory is at revision zero.
func (r *Reader) Head(ctx context.Context) (Head, objectapi.Version, error) {
	object, err := r.objects.Get(ctx, HeadKey)
	if errors.Is(err, objectapi.ErrNotFound) {
		return Head{}, 0, nil
	}
	if err != nil {
		return Head{}, 0, err
	}
	head, err := decodeHead(object)
	return head, object.Version, err
}

// Change reads one change.
func (r *Reader) Change(ctx context.Context, ref Ref) (Change, error) {
	object, err := r.objects.Get(ctx, ref.Key())
	if err != nil {
		return Change{}, err
	}
	var change Change
	err = json.Unmarshal(object.Value, &change)
	return change, errors.Wrapf(err, "change %s", ref.ChangeID)
}

// CatchUp brings a snapshot to the head's revision and returns the changes that it
// read. It reads the chunks only if the changes do not suffice.
func (r *Reader) CatchUp(ctx context.Context, snapshot *inventory.Snapshot, head Head) (*inventory.Snapshot, []Change, error) {
	if snapshot.Revision() >= head.Revision {
		return snapshot, nil, nil
	}
	refs, complete := head.After(snapshot.Revision())
	if !complete || anyInChunks(refs) {
		fromChunks, err := r.readChunks(ctx, head)
		if err != nil {
			return nil, nil, err
		}
		snapshot = fromChunks
		refs, _ = head.After(snapshot.Revision())
	}
	var changes []Change
	for _, ref := range refs {
		change, err := r.Change(ctx, ref)
		if err != nil {
			return nil, nil, err
		}
		if snapshot, err = change.Apply(snapshot); err != nil {
			return nil, nil, err
		}
		changes = append(changes, change)
	}
	return snapshot, changes, nil
}

// anyInChunks reports whether one of the changes is stored in chunks only.
func anyInChunks(refs []Ref) bool {
	for _, ref := range refs {
		if ref.OpsInChunks {
			return true
		}
	}
	return false
}

func (r *Reader) readChunks(ctx context.Context, head Head) (*inventory.Snapshot, error) {
	var chunks [][]byte
	for _, name := range head.Chunks {
		object, err := r.objects.Get(ctx, chunkPrefix+name)
		if err != nil {
			return nil, err
		}
		chunks = append(chunks, object.Value)
	}
	return DecodeChunks(head.ChunksRevision, chunks)
}

// Audit reads up to limit changes backwards from the head, newest first.
func (r *Reader) Audit(ctx context.Context, limit int) ([]Change, error) {
	head, _, err := r.Head(ctx)
	if err != nil {
		return nil, err
	}
	var trail []Change
	for ref := head.last(); ref != nil && len(trail) < limit; {
		change, err := r.Change(ctx, *ref)
		if err != nil {
			return nil, err
		}
		trail = append(trail, change)
		ref = change.Previous
	}
	return trail, nil
}
