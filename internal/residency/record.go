// Package residency is the aggregate of what is loaded where: for each runner
// its one owner, its slots, the pins that entry hosts hold on them, and the
// orders under way.
//
// Its rule: an adapter is evicted only when no pin on it is out and no use of
// it can still be under way, whoever paused and whatever order comes late.
package residency

import (
	"slices"

	"github.com/pkg/errors"
)

// KeyPrefix is where runners' records stand in the object API.
const KeyPrefix = "runners/"

// Key gives the object of a runner's record.
func Key(runner string) string { return KeyPrefix + runner }

// Record is what is stored of a runner: its owner, and the evictions that an
// owner may have under way.
type Record struct {
	Runner string `json:"runner"`
	// Owner and Incarnation name the owning process; empty when released.
	Owner       string `json:"owner,omitempty"`
	Incarnation string `json:"incarnation,omitempty"`
	// Fence grows with each change of owner and never falls.
	Fence   uint64   `json:"fence"`
	Intents []Intent `json:"intents,omitempty"`
}

// Intent says that an eviction may be sent, or have been sent, under a fence
// by an owner. It is written before the order goes out.
type Intent struct {
	Model       string `json:"model"`
	Fence       uint64 `json:"fence"`
	Owner       string `json:"owner"`
	Incarnation string `json:"incarnation"`
	// Seq tells the owner's evictions of one model apart.
	Seq int `json:"seq"`
}

// ErrOwned refuses a takeover from an owner whose lease has not ended.
var ErrOwned = errors.New("runner has an owner whose lease holds")

// Take gives the record after a takeover. ownerEnded tells whether the lease
// of the recorded owner's incarnation has ended in the object API.
func (r Record) Take(host, incarnation string, ownerEnded bool) (Record, error) {
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

// Release gives the record after its owner has let it go.
func (r Record) Release() Record {
	next := r
	next.Owner = ""
	next.Incarnation = ""
	return next
}

// OwnedBy says whether the record names a process as owner under a fence.
func (r Record) OwnedBy(host, incarnation string, fence uint64) bool {
	return r.Owner == host && r.Incarnation == incarnation && r.Fence == fence
}

// WithIntent gives the record with one more intent.
func (r Record) WithIntent(intent Intent) Record {
	next := r
	next.Intents = append(slices.Clone(r.Intents), intent)
	return next
}

// WithoutIntents gives the record without the intents that settled names.
func (r Record) WithoutIntents(settled func(Intent) bool) Record {
	next := r
	next.Intents = slices.DeleteFunc(slices.Clone(r.Intents), settled)
	return next
}
