package mesh

import (
	"sync"
	"time"
)

// delayWindow is for how long the fastest message of a host is what its later ones are
// measured by: long enough to hold one that met no queue, short enough that clocks drift by
// less than a millisecond.
const delayWindow = 20 * time.Second

// delays tells how long messages of other hosts waited on their way, by clocks that agree in
// their pace alone: a message is as late as it took longer than the fastest one lately.
//
// What another host says is as old as its message. Taken as new, words that a host finds when
// it wakes from a suspension, or that waited on a full link, keep it from asking the store. It
// is safe for concurrent use.
type delays struct {
	mu     sync.Mutex
	byHost map[string]*offsetWindow
}

// offsetWindow are the least differences of clocks, of this window and the one before.
type offsetWindow struct {
	since             time.Time
	previous, current time.Duration
}

// estimate gives how long a message waited that a host sent by its own clock and that came now, 0
// for one that does not say when it was sent.
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
	f := d.byHost[host]
	if f == nil || now.Sub(f.since) > 2*delayWindow {
		f = &offsetWindow{since: now, previous: took, current: took}
		d.byHost[host] = f
	}
	if now.Sub(f.since) > delayWindow {
		f.since, f.previous, f.current = now, f.current, took
	}
	f.current = min(f.current, took)
	return took - min(f.previous, f.current)
}

// forget drops what was kept of a host.
func (d *delays) forget(host string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.byHost, host)
}
