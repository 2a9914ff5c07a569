package entry

import (
	"sync"
	"time"
)

// hostBackoff holds the hosts that did not respond and until when each is not called
// again. It is safe for concurrent use.
type hostBackoff struct {
	mu    sync.Mutex
	until map[string]time.Time
}

func (r *hostBackoff) set(host string, until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.until == nil {
		r.until = map[string]time.Time{}
	}
	r.until[host] = until
}

func (r *hostBackoff) active(host string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	until, ok := r.until[host]
	if ok && !now.Before(until) {
		delete(r.until, host)
	}
	return ok && now.Before(until)
}
