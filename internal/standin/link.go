package standin

import (
	"sync"
	"time"
)

// Links simulates the bandwidth of each host's network link. Data between two hosts is
// queued on both links in the order in which it was sent. Hosts without a bandwidth are
// unlimited. Links is safe for concurrent use.
type Links struct {
	now func() time.Time

	mu sync.Mutex
	// bytesPerSecond is the bandwidth of each host's link, in each direction.
	bytesPerSecond map[string]float64
	// free is when each direction of a link becomes idle.
	free map[direction]time.Time
}

type direction struct {
	host string
	out  bool
}

// NewLinks returns links of unlimited bandwidth.
func NewLinks(now func() time.Time) *Links {
	return &Links{now: now, bytesPerSecond: map[string]float64{}, free: map[direction]time.Time{}}
}

// bitsPerByte converts bandwidths, which are given in bits.
const bitsPerByte = 8

// SetBandwidth sets the bandwidth of a host's link in Mbit/s.
func (l *Links) SetBandwidth(host string, mbps float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.bytesPerSecond[host] = mbps * 1e6 / bitsPerByte
}

// pieceBytes is the size of the pieces into which writes are split, so that connections
// share a link.
const pieceBytes = 4 << 10

// Reserve reserves the links between two hosts for a number of bytes and returns the time
// until they arrive.
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

// reserveDirection reserves one direction of a link and returns when the bytes have passed
// it. The caller holds the lock.
func (l *Links) reserveDirection(dir direction, now time.Time, bytes int) time.Time {
	rate, limited := l.bytesPerSecond[dir.host]
	if !limited {
		return now
	}
	begin := now
	if free := l.free[dir]; free.After(begin) {
		begin = free
	}
	end := begin.Add(time.Duration(float64(bytes) / rate * float64(time.Second)))
	l.free[dir] = end
	return end
}
