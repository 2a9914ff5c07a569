package forward

import (
	"maps"
	"sync"
	"time"
)

// repeaterMemory is how long a runner gets a connection for each request after it has sent an answer
// that was not due.
const repeaterMemory = 10 * time.Second

// repeaters are the runners that have lately sent an answer that was not due. It is safe for
// concurrent use.
//
// Such an answer takes the place of the due one, which nobody reads any more: the request runs and its
// caller gets a failure. On a connection that has carried nothing there is none to repeat.
type repeaters struct {
	mu   sync.Mutex
	seen map[string]time.Time
}

// note records an answer that was not due, and reports whether it is the first of the runner for a while.
func (r *repeaters) note(address string, now time.Time) (first bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.DeleteFunc(r.seen, func(_ string, at time.Time) bool { return now.Sub(at) >= repeaterMemory })
	if r.seen == nil {
		r.seen = map[string]time.Time{}
	}
	_, known := r.seen[address]
	r.seen[address] = now
	return !known
}

// has reports whether a runner has lately sent an answer that was not due.
func (r *repeaters) has(address string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	at, known := r.seen[address]
	return known && now.Sub(at) < repeaterMemory
}
