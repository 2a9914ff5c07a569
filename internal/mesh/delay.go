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
	mu   sync.Mutex
	seen map[string]*fastest
}

// fastest are the least differences of clocks, of this window and the one before.
type fastest struct {
	since          time.Time
	before, lately time.Duration
}

// of gives how long a message waited that a host sent by its own clock and that came now, 0
// for one that does not say when it was sent.
func (d *delays) of(host string, sentMS int64, now time.Time) time.Duration {
	if sentMS == 0 {
		return 0
	}
	took := now.Sub(time.UnixMilli(sentMS))
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.seen == nil {
		d.seen = map[string]*fastest{}
	}
	f := d.seen[host]
	if f == nil || now.Sub(f.since) > 2*delayWindow {
		f = &fastest{since: now, before: took, lately: took}
		d.seen[host] = f
	}
	if now.Sub(f.since) > delayWindow {
		f.since, f.before, f.lately = now, f.lately, took
	}
	f.lately = min(f.lately, took)
	return took - min(f.before, f.lately)
}

// forget drops what was kept of a host.
func (d *delays) forget(host string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.seen, host)
}
