// Package lease implements node leases. A node is the process that runs on an entry host. Each
// has one object in the object API, which it renews as the holder. A peer may break the lease
// once it has seen no renewal for longer than the lease's life.
//
// A lease ends when its record in the object API says so, not when some clock runs out. The
// holder's own clock only makes it stop earlier.
package lease

import (
	"sync"
	"time"

	"github.com/cherrystage/cherrystage/internal/objectapi"
)

// KeyPrefix is the prefix of the records' keys in the object API.
const KeyPrefix = "nodes/"

// Key returns the key of a host's record.
func Key(host string) string { return KeyPrefix + host }

// Record is the stored lease of one node.
type Record struct {
	Host string `json:"host"`
	// Incarnation changes with every start of the node's process.
	Incarnation string `json:"incarnation"`
	Renewal     uint64 `json:"renewal"`
	// EndedBy is the node that broke or released the lease, empty while the lease is held.
	EndedBy string `json:"ended_by,omitempty"`
}

// HeldBy reports whether the lease is held by the given incarnation.
func (r Record) HeldBy(incarnation string) bool {
	return r.Incarnation == incarnation && r.EndedBy == ""
}

// Holder is a node's view of its own lease. It is safe for concurrent use.
type Holder struct {
	life   time.Duration
	margin time.Duration

	mu           sync.Mutex
	validUntil   time.Time
	longestPause time.Duration
	lastTick     time.Time
}

// NewHolder returns a holder of a lease with the given life. Margin is how long before the lease
// could be broken the holder stops using it.
func NewHolder(life, margin time.Duration) *Holder {
	return &Holder{life: life, margin: margin}
}

// RecordRenewal records a successful renewal that was sent at the given time. The life counts
// from the time of sending, because the platform may have applied the renewal at any time since.
func (h *Holder) RecordRenewal(sent time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	until := sent.Add(h.life)
	if until.After(h.validUntil) {
		h.validUntil = until
	}
}

// MarkLost records that the lease was broken.
func (h *Holder) MarkLost() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.validUntil = time.Time{}
}

// RecordTick is called at regular intervals and measures the longest pause of the process.
func (h *Holder) RecordTick(now time.Time, interval time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.lastTick.IsZero() {
		pause := now.Sub(h.lastTick) - interval
		h.longestPause = max(h.longestPause, pause)
	}
	h.lastTick = now
}

// MayOrder reports whether an order that takes up to duration may be started: it must end before
// the lease could be broken, less the margin and the longest pause of the process so far, which
// counts up to a quarter of the life.
func (h *Holder) MayOrder(now time.Time, duration time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	pause := min(h.longestPause, h.life/4)
	return now.Add(duration + h.margin + pause).Before(h.validUntil)
}

// ValidUntil returns the time until which no peer can have broken the lease.
func (h *Holder) ValidUntil() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.validUntil
}

// Observer measures by this node's clock how long peers' leases have gone without renewal. It is
// safe for concurrent use.
type Observer struct {
	life time.Duration

	mu   sync.Mutex
	seen map[string]observation
}

type observation struct {
	version objectapi.Version
	since   time.Time
}

// NewObserver returns an observer. Life must equal that of the holders.
func NewObserver(life time.Duration) *Observer {
	return &Observer{life: life, seen: map[string]observation{}}
}

// Observe records the version of a peer's lease and reports whether it has been unchanged for
// longer than the lease's life. A version is first observed after its renewal, so by then the
// lease has also expired by the holder's own clock.
func (o *Observer) Observe(host string, version objectapi.Version, now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	last, ok := o.seen[host]
	if !ok || last.version != version {
		o.seen[host] = observation{version: version, since: now}
		return false
	}
	return now.Sub(last.since) > o.life
}

// Forget drops the observations of a peer that is reachable again.
func (o *Observer) Forget(host string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.seen, host)
}
