// Package residency tracks which models are loaded on which runner: for each
// runner its only owner, its slots, the pins that entry hosts hold on them, and
// the orders in flight.
//
// Invariant: an adapter is evicted only when no pin on it is held and no
// request can still be using it, even if processes pause or orders arrive late.
package residency

import (
	"slices"

	"github.com/pkg/errors"
)

// KeyPrefix is the key prefix of runner records in the object API.
const KeyPrefix = "runners/"

// Key returns the object key of a runner's record.
func Key(runner string) string { return KeyPrefix + runner }

// Record is the stored state of a runner: its owner and the evictions that may
// be in flight.
type Record struct {
	Runner string `json:"runner"`
	// Owner and Incarnation identify the owning process; both are empty when
	// the runner has been released.
	Owner       string `json:"owner,omitempty"`
	Incarnation string `json:"incarnation,omitempty"`
	// Fence is the fencing token: it increases with every takeover and never
	// decreases.
	Fence   uint64   `json:"fence"`
	Intents []Intent `json:"intents,omitempty"`
}

// Intent records that an owner may have sent an eviction under a fence. It is
// written before the order is sent.
type Intent struct {
	Model       string `json:"model"`
	Fence       uint64 `json:"fence"`
	Owner       string `json:"owner"`
	Incarnation string `json:"incarnation"`
	// Seq distinguishes the owner's evictions of one model.
	Seq int `json:"seq"`
}

// ErrOwned is returned for a takeover from an owner whose lease has not ended.
var ErrOwned = errors.New("runner has an owner whose lease holds")

// TakeOver returns the record after a takeover. ownerEnded is set if the lease
// of the recorded owner's incarnation has ended in the object API.
func (r Record) TakeOver(host, incarnation string, ownerEnded bool) (Record, error) {
	if r.Owner != "" && !ownerEnded && (r.Owner != host || r.Incarnation != incarnation) {
		return Record{}, ErrOwned
	}
	next := r
	next.Owner = host
	next.Incarnation = incarnation
	next.Fence = r.Fence + 1
	next.Intents = slices.Clone(r.Intents)
	return next, nil
}

// Release returns the record after its owner has released the runner.
func (r Record) Release() Record {
	next := r
	next.Owner = ""
	next.Incarnation = ""
	return next
}

// OwnedBy reports whether the record names this process and fence as owner.
func (r Record) OwnedBy(host, incarnation string, fence uint64) bool {
	return r.Owner == host && r.Incarnation == incarnation && r.Fence == fence
}

// WithIntent returns the record with one more intent.
func (r Record) WithIntent(intent Intent) Record {
	next := r
	next.Intents = append(slices.Clone(r.Intents), intent)
	return next
}

// WithoutIntents returns the record without the intents for which remove is
// true.
func (r Record) WithoutIntents(remove func(Intent) bool) Record {
	next := r
	next.Intents = slices.DeleteFunc(slices.Clone(r.Intents), remove)
	return next
}
