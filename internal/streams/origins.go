// Package streams decides which runners may begin a stream and which may continue it. Runners of
// several software versions may serve side by side in one service, and what two versions write does
// not fit together: a stream may only be continued at the version that began it.
//
// A host remembers what began the streams that it relayed (Origins). While more than one version
// may have begun a stream, hosts also tell each other, before the first event is passed on. A host
// that is told nothing may continue a stream only if it can show that no other version can have
// begun it (Versions).
package streams

import (
	"sync"
	"time"
)

// Origin is where a stream began.
type Origin struct {
	Service string
	// Version is the software version of the runner that sent the first event.
	Version string
}

const (
	// Retention is how long a stream may be continued after it began, and how long a version that
	// no runner has any more counts as one that may have begun a stream. Callers' time limits,
	// which include the continuations, are at most 20 s.
	Retention = time.Minute
	// maxOrigins bounds the streams that a host remembers, 2 MB. The oldest are forgotten first:
	// they are the least likely to be continued, and an unknown stream is refused rather than
	// continued at the wrong version.
	maxOrigins = 16384
)

// Origins remembers which runners began streams, by the ID of the request that brought the first
// event. It is safe for concurrent use.
type Origins struct {
	mu      sync.Mutex
	entries map[string]originEntry
	// order holds the IDs by age, the oldest first. An ID that was recorded again stands in it
	// twice; the earlier place is then void.
	order []orderedID
}

type originEntry struct {
	Origin
	at  time.Time
	own bool
}

type orderedID struct {
	id string
	at time.Time
}

// NewOrigins returns an empty memory of streams.
func NewOrigins() *Origins { return &Origins{entries: map[string]originEntry{}} }

// Record remembers what began a stream. own is set on the host that relayed its first event.
func (o *Origins) Record(id string, origin Origin, own bool, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	known := o.entries[id]
	o.entries[id] = originEntry{Origin: origin, at: now, own: own || known.own && known.Origin == origin}
	o.order = append(o.order, orderedID{id: id, at: now})
	o.forgetOld(now)
}

// Get returns what began a stream.
func (o *Origins) Get(id string, now time.Time) (Origin, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	entry, ok := o.entries[id]
	return entry.Origin, ok && now.Sub(entry.at) < Retention
}

// Own returns the streams that this host began since a time.
func (o *Origins) Own(since time.Time) map[string]Origin {
	o.mu.Lock()
	defer o.mu.Unlock()
	found := map[string]Origin{}
	for id, entry := range o.entries {
		if entry.own && entry.at.After(since) {
			found[id] = entry.Origin
		}
	}
	return found
}

// Len returns the number of streams that are remembered.
func (o *Origins) Len() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.entries)
}

// forgetOld drops what is too old, and the oldest entries beyond maxOrigins. The lock is held.
func (o *Origins) forgetOld(now time.Time) {
	dropped := 0
	for _, oldest := range o.order {
		if now.Sub(oldest.at) < Retention && len(o.entries) <= maxOrigins {
			break
		}
		dropped++
		if entry := o.entries[oldest.id]; entry.at.Equal(oldest.at) {
			delete(o.entries, oldest.id)
		}
	}
	o.order = o.order[dropped:]
}
