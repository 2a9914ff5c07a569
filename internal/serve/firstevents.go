package serve

import (
	"sync"
	"time"
)

// firstEvents knows which attempts at the runners of one service wait for the first part of their
// answers, and which of those that got it were sent last. It is safe for concurrent use.
type firstEvents struct {
	mu      sync.Mutex
	waiting map[*exchange]bool
	// latest is the attempt that was sent last of those that were answered, and latestElsewhere that
	// among those at other runners than its own.
	latest, latestElsewhere answeredSend
}

// answeredSend is an attempt that got the first part of its answer.
type answeredSend struct {
	runner string
	sentAt time.Time
}

func newFirstEvents() *firstEvents { return &firstEvents{waiting: map[*exchange]bool{}} }

// begin records that an attempt was sent.
func (f *firstEvents) begin(x *exchange) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.waiting[x] = true
}

// arrived records that a part of an attempt's answer came.
func (f *firstEvents) arrived(x *exchange) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.waiting[x] {
		return
	}
	delete(f.waiting, x)
	sent := answeredSend{runner: x.runner.ID, sentAt: x.sentAt}
	switch {
	case sent.sentAt.After(f.latest.sentAt):
		if sent.runner != f.latest.runner {
			f.latestElsewhere = f.latest
		}
		f.latest = sent
	case sent.runner != f.latest.runner && sent.sentAt.After(f.latestElsewhere.sentAt):
		f.latestElsewhere = sent
	}
}

// end records that an attempt is over.
func (f *firstEvents) end(x *exchange) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.waiting, x)
}

// slowElsewhere reports whether other runners are late with first parts as well as that of a waiting
// attempt: one has let another attempt wait for longer than late, and none has answered any that was
// sent since x.
func (f *firstEvents) slowElsewhere(x *exchange, late time.Duration, awake func(since time.Time) time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.waiting[x] || f.latestAtOther(x.runner.ID).After(x.sentAt) {
		return false
	}
	for other := range f.waiting {
		if other.runner.ID != x.runner.ID && awake(other.sentAt) > late {
			return true
		}
	}
	return false
}

// latestAtOther returns when the latest answered attempt at any other runner was sent.
func (f *firstEvents) latestAtOther(runner string) time.Time {
	if f.latest.runner != runner {
		return f.latest.sentAt
	}
	return f.latestElsewhere.sentAt
}
