// Package configlog keeps the inventory in the object API: immutable changes
// and chunks, and one head that is moved by conditional update.
//
// The head names every change since the last set of chunks. A change is
// accepted at the moment at which a head that names it is written, and at no
// other. Followers apply the accepted changes in the order of their revisions
// and never step back.
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
	// that lost an answer finds its change among them.
	historyLength = 256
	// compactAfter is the number of changes after which new chunks are written.
	compactAfter = 64
	// inlineOpsBytes bounds the steps kept inside a change; a larger change
	// goes into chunks at once.
	inlineOpsBytes = 512 << 10
	// chunkBytes bounds a chunk, well below the largest value.
	chunkBytes = 512 << 10
)

// Ref names one accepted change in the head.
type Ref struct {
	Revision inventory.Revision `json:"revision"`
	ChangeID string             `json:"change_id"`
	// OpsInChunks says that the change's steps stand in the chunks only.
	OpsInChunks bool `json:"rebased,omitempty"`
}

// Key gives the object that holds the change.
func (r Ref) Key() string {
	return changePrefix + strconv.FormatUint(uint64(r.Revision), 10) + "-" + r.ChangeID
}

// Head is the one object that is ever changed.
type Head struct {
	Revision inventory.Revision `json:"revision"`
	// ChunksRevision is the revision that the chunks hold.
	ChunksRevision inventory.Revision `json:"base"`
	Chunks         []string           `json:"chunks,omitempty"`
	// Changes are the last accepted changes, oldest first; those after Base
	// are to be applied to the chunks.
	Changes []Ref `json:"changes"`
}

// Find looks for a change by its identifier.
func (h Head) Find(changeID string) (Ref, bool) {
	for _, ref := range h.Changes {
		if ref.ChangeID == changeID {
			return ref, true
		}
	}
	return Ref{}, false
}

// After gives the changes after a revision, oldest first. It reports false if
// the chunks are needed to get from there to the head.
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

// Change is one accepted change of the inventory, which is its own line of
// the audit trail: the two cannot differ, since they are one object.
type Change struct {
	ID       string             `json:"id"`
	Operator string             `json:"operator"`
	At       time.Time          `json:"at"`
	From     inventory.Revision `json:"from"`
	Revision inventory.Revision `json:"revision"`
	Note     string             `json:"note,omitempty"`
	// Previous names the change before this one, so that the audit trail can
	// be followed beyond what the head names.
	Previous *Ref           `json:"previous,omitempty"`
	Ops      []inventory.Op `json:"ops,omitempty"`
	// OpsInChunks says that the steps were too large and stand in the head's chunks.
	OpsInChunks bool `json:"rebased,omitempty"`
	// Items is the number of steps.
	Items int `json:"items"`
}

// Ref gives the change's name.
func (c Change) Ref() Ref {
	return Ref{Revision: c.Revision, ChangeID: c.ID, OpsInChunks: c.OpsInChunks}
}

// Apply makes the next snapshot from a change.
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

// extend gives the head after one more change.
func (h Head) extend(change Change) Head {
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
