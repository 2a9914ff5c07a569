// Package lease holds the rules of node leases: one object a node in the
// object API, renewed by its holder, that a peer may break once it has seen
// no renewal for longer than the lease's life.
//
// A lease ends as a fact in the object API (its record says so), not by
// anybody's clock. The holder's own clock only makes it stop earlier.
package lease

import (
	"sync"
	"time"

	"github.com/cherrystage/cherrystage/internal/objectapi"
)

// KeyPrefix is where the records stand in the object API.
const KeyPrefix = "nodes/"

// Key gives the object of a node's lease.
func Key(host string) string { return KeyPrefix + host }

// Record is the stored lease of one node.
type Record struct {
	Host string `json:"host"`
	// Incarnation changes with every start of the node's process.
	Incarnation string `json:"incarnation"`
	Renewal     uint64 `json:"renewal"`
	// EndedBy names the node that broke or released the lease; empty while it holds.
	EndedBy string `json:"ended_by,omitempty"`
}

// HeldBy says whether a record is the living lease of an incarnation.
func (r Record) HeldBy(incarnation string) bool {
	return r.Incarnation == incarnation && r.EndedBy == ""
}

// Holder is a node's view of its own lease. It is safe for concurrent use.
type Holder struct {
	life   time.Duration
	margin time.Duration

	mu         sync.Mutex
	validUntil time.Time
	longest    time.Duration
	lastBeat   time.Time
}

// NewHolder makes a holder of leases with a life; margin is the time by which
// the holder stops before its lease could be broken.
func NewHolder(life, margin time.Duration) *Holder {
	return &Holder{life: life, margin: margin}
}

// RecordRenewal notes a successful renewal that was sent at the given time. The life
// counts from the sending: the platform may have taken it at any time since.
func (h *Holder) RecordRenewal(sent time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	until := sent.Add(h.life)
	if until.After(h.validUntil) {
		h.validUntil = until
	}
}

// MarkLost notes that the lease was broken.
func (h *Holder) MarkLost() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.validUntil = time.Time{}
}

// RecordTick notes a regular tick and learns the longest pause of this process.
func (h *Holder) RecordTick(now time.Time, interval time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.lastBeat.IsZero() {
		pause := now.Sub(h.lastBeat) - interval
		h.longest = max(h.longest, pause)
	}
	h.lastBeat = now
}

// MayOrder says whether an order that takes up to duration may be begun: its
// end must fall before the lease could be broken, less the margin and the
// longest pause that this process has seen, up to half of the life.
func (h *Holder) MayOrder(now time.Time, duration time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	pause := min(h.longest, h.life/4)
	return now.Add(duration + h.margin + pause).Before(h.validUntil)
}

// ValidUntil gives the time up to which nobody can have broken the lease.
func (h *Holder) ValidUntil() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.validUntil
}

// Observer times how long peers' leases have gone without renewal, by this
// node's own clock. It is safe for concurrent use.
type Observer struct {
	life time.Duration

	mu   sync.Mutex
	seen map[string]sighting
}

type sighting struct {
	version objectapi.Version
	since   time.Time
}

// NewObserver makes an observer; life must be the holders'.
func NewObserver(life time.Duration) *Observer {
	return &Observer{life: life, seen: map[string]sighting{}}
}

// Observe notes the version of a peer's lease as read at a time, and says
// whether it has now been unchanged for the lease's whole life. The first
// sighting comes after the renewal, so the peer's own clock has run out by then.
func (o *Observer) Observe(host string, version objectapi.Version, now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	last, ok := o.seen[host]
	if !ok || last.version != version {
		o.seen[host] = sighting{version: version, since: now}
		return false
	}
	return now.Sub(last.since) > o.life
}

// Forget drops what was seen of a peer that is heard again.
func (o *Observer) Forget(host string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.seen, host)
}
