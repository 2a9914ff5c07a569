package mesh

import (
	"sync"
	"time"
)

// delayWindow is how long a host's fastest message serves as the baseline for its later
// ones: long enough to include one that was not queued, short enough that clocks drift by
// less than a millisecond.
const delayWindow = 20 * time.Second

// delays estimates how long messages from other hosts were queued on their way. Clocks
// need not agree, only run at the same rate: a message's delay is its transit time beyond
// that of the fastest recent message.
//
// The content of a message is as old as the message. Without an estimate, heartbeats that a
// host reads after a suspension, or that were queued on a full link, would count as current
// and keep the host from asking the store. It is safe for concurrent use.
type delays struct {
	mu     sync.Mutex
	byHost map[string]*offsetWindow
}

// offsetWindow holds the smallest differences between arrival and send time, in the
// current window and the previous one.
type offsetWindow struct {
	since             time.Time
	previous, current time.Duration
}

// estimate returns how long a message was queued that a host sent at sentMS by its own
// clock and that arrived now. It returns 0 if sentMS is 0, that is, unknown.
func (d *delays) estimate(host string, sentMS int64, now time.Time) time.Duration {
	if sentMS == 0 {
		return 0
	}
	took := now.Sub(time.UnixMilli(sentMS))
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.byHost == nil {
		d.byHost = map[string]*offsetWindow{}
	}
	window := d.byHost[host]
	if window == nil || now.Sub(window.since) > 2*delayWindow {
		window = &offsetWindow{since: now, previous: took, current: took}
		d.byHost[host] = window
	}
	if now.Sub(window.since) > delayWindow {
		window.since, window.previous, window.current = now, window.current, took
	}
	window.current = min(window.current, took)
	return took - min(window.previous, window.current)
}

// forget drops the state of a host.
func (d *delays) forget(host string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.byHost, host)
}
