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

func (b *hostBackoff) set(host string, until time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.until == nil {
		b.until = map[string]time.Time{}
	}
	b.until[host] = until
}

func (b *hostBackoff) active(host string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	until, ok := b.until[host]
	if ok && !now.Before(until) {
		delete(b.until, host)
	}
	return ok && now.Before(until)
}
