package standin

import (
	"sync"
	"time"
)

// Links are the bandwidths of hosts' own links. A piece that goes between two hosts takes
// its turn on both, behind what went before it. Hosts without a bandwidth send at once.
// They are safe for concurrent use.
type Links struct {
	now func() time.Time

	mu sync.Mutex
	// bytesPerSecond of each host's link, the same in each direction.
	bytesPerSecond map[string]float64
	// free is when each direction of a link is free again.
	free map[direction]time.Time
}

type direction struct {
	host string
	out  bool
}

// NewLinks makes links without bounds.
func NewLinks(now func() time.Time) *Links {
	return &Links{now: now, bytesPerSecond: map[string]float64{}, free: map[direction]time.Time{}}
}

// bitsPerByte converts the bandwidths that deployments give.
const bitsPerByte = 8

// SetBandwidth sets the bandwidth of a host's link in Mbit/s.
func (l *Links) SetBandwidth(host string, mbps float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.bytesPerSecond[host] = mbps * 1e6 / bitsPerByte
}

// piece is how much of a message is sent at a time, so that connections share a link.
const piece = 4 << 10

// Reserve reserves the way of some bytes and gives how long they take to arrive.
func (l *Links) Reserve(from, to string, bytes int) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	arrived := l.reserveDirection(direction{from, true}, now, bytes)
	if at := l.reserveDirection(direction{to, false}, now, bytes); at.After(arrived) {
		arrived = at
	}
	return arrived.Sub(now)
}

// reserveDirection gives when the bytes have passed one direction of a link; the lock is held.
func (l *Links) reserveDirection(way direction, now time.Time, bytes int) time.Time {
	rate, limited := l.bytesPerSecond[way.host]
	if !limited {
		return now
	}
	begin := now
	if free := l.free[way]; free.After(begin) {
		begin = free
	}
	end := begin.Add(time.Duration(float64(bytes) / rate * float64(time.Second)))
	l.free[way] = end
	return end
}
