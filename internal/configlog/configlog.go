// Package configlog stores the inventory in the object API: immutable changes
// and chunks, and one head that is replaced by conditional update.
//
// The head names every change since the last set of chunks. A change is
// accepted exactly when a head that names it is written. Followers apply the
// accepted changes in the order of their revisions and never go back.
package configlog

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/cherrystage/cherrystage/internal/inventory"
	"github.com/cherrystage/cherrystage/internal/objectapi"
	"github.com/pkg/errors"
)

// Keys in the object API.
const (
	HeadKey      = "config/head"
	changePrefix = "config/change/"
	chunkPrefix  = "config/chunk/"
)

// Limits of the log.
const (
	// historyLength is the number of changes that a head names. A writer
	// whose response was lost finds its change among them.
	historyLength = 256
	// compactionInterval is the number of changes after which new chunks are written.
	compactionInterval = 64
	// maxInlineOpsBytes is the maximum size of a change that contains its ops; a
	// larger one is stored in new chunks immediately.
	maxInlineOpsBytes = 512 << 10
	// maxChunkBytes bounds a chunk, well below the largest value that the object API
	// takes.
	maxChunkBytes = 512 << 10
)

// Ref names one accepted change in the head.
type Ref struct {
	Revision inventory.Revision `json:"revision"`
	ChangeID string             `json:"change_id"`
	// OpsInChunks means that the change's ops are stored in the chunks only.
	OpsInChunks bool `json:"rebased,omitempty"`
}

// Key returns the key of the object that holds the change.
func (r Ref) Key() string {
	return changePrefix + strconv.FormatUint(uint64(r.Revision), 10) + "-" + r.ChangeID
}

// Head names the accepted changes. It is the only object that is ever updated.
type Head struct {
	Revision inventory.Revision `json:"revision"`
	// ChunksRevision is the revision of the snapshot in the chunks.
	ChunksRevision inventory.Revision `json:"base"`
	Chunks         []string           `json:"chunks,omitempty"`
	// Changes are the last accepted changes, oldest first; those after ChunksRevision
	// are applied on top of the chunks.
	Changes []Ref `json:"changes"`
}

// Find returns a change by its identifier.
func (h Head) Find(changeID string) (Ref, bool) {
	for _, ref := range h.Changes {
		if ref.ChangeID == changeID {
			return ref, true
		}
	}
	return Ref{}, false
}

// After returns the changes after a revision, oldest first, and false if the
// chunks are needed to get from there to the head.
func (h Head) After(revision inventory.Revision) ([]Ref, bool) {
	var refs []Ref
	for _, ref := range h.Changes {
		if ref.Revision > revision {
			refs = append(refs, ref)
		}
	}
	complete := inventory.Revision(len(refs)) == h.Revision-revision
	return refs, complete
}

// Change is one accepted change of the inventory. It is also its own entry of the
// audit trail, so the two cannot differ.
type Change struct {
	ID       string    `json:"id"`
	Operator string    `json:"operator"`
	At       time.Time `json:"at"`
	// From is the revision that the operator made the change from.
	From     inventory.Revision `json:"from"`
	Revision inventory.Revision `json:"revision"`
	Note     string             `json:"note,omitempty"`
	// Previous names the change before this one, so that the audit trail can
	// be followed beyond the changes that the head names.
	Previous *Ref           `json:"previous,omitempty"`
	Ops      []inventory.Op `json:"ops,omitempty"`
	// OpsInChunks means that the ops were too large and are stored in the head's chunks.
	OpsInChunks bool `json:"rebased,omitempty"`
	// Items is the number of ops.
	Items int `json:"items"`
}

// Ref returns the reference to the change.
func (c Change) Ref() Ref {
	return Ref{Revision: c.Revision, ChangeID: c.ID, OpsInChunks: c.OpsInChunks}
}

// Apply applies the change to the snapshot of the revision before it.
func (c Change) Apply(snapshot *inventory.Snapshot) (*inventory.Snapshot, error) {
	if c.OpsInChunks {
		return nil, errors.Errorf("change %s stands in chunks", c.ID)
	}
	if c.Revision != snapshot.Revision()+1 {
		return nil, errors.Errorf("change to revision %d does not follow revision %d", c.Revision, snapshot.Revision())
	}
	return snapshot.Apply(c.Revision, c.Ops)
}

func decodeHead(object objectapi.Object) (Head, error) {
	var head Head
	err := json.Unmarshal(object.Value, &head)
	return head, errors.Wrap(err, "head of the inventory")
}

// withChange returns the head after one more change.
func (h Head) withChange(change Change) Head {
	next := h
	next.Revision = change.Revision
	next.Changes = append(append([]Ref(nil), h.Changes...), change.Ref())
	if extra := len(next.Changes) - historyLength; extra > 0 {
		next.Changes = next.Changes[extra:]
	}
	return next
}

func (h Head) last() *Ref {
	if len(h.Changes) == 0 {
		return nil
	}
	ref := h.Changes[len(h.Changes)-1]
	return &ref
}
