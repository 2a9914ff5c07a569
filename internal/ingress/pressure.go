package ingress

import (
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// pressureSamples is the number of latest samples that count. A single one may be of a process
	// that was suspended for seconds.
	pressureSamples = 5
	// highLateness is the typical lateness from which the host counts as overloaded. Its work then
	// queues for longer than most callers' targets leave, and grows with each new connection.
	highLateness = 50 * time.Millisecond
)

// Pressure tells from how late timers fire whether this process gets too little processor time for
// its work. It is safe for concurrent use.
//
// The balancer may hand most new connections to one host for seconds. A host that read them all
// would be late for all, whereas callers whose connections it closes unread go to another host.
type Pressure struct {
	mu      sync.Mutex
	samples []time.Duration
	high    atomic.Bool
	// Shed counts the connections that were closed unread.
	Shed atomic.Int64
}

// Observe records how late a timer fired, and reports whether the host's state changed.
func (p *Pressure) Observe(late time.Duration) (changed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.samples = append(p.samples, late)
	if len(p.samples) < pressureSamples {
		return false
	}
	p.samples = p.samples[len(p.samples)-pressureSamples:]
	sorted := slices.Sorted(slices.Values(p.samples))
	high := sorted[len(sorted)/2] >= highLateness
	return p.high.Swap(high) != high
}

// High reports whether the host is overloaded.
func (p *Pressure) High() bool { return p.high.Load() }

// WrapListener returns a listener that closes new connections unread while the host is overloaded.
func (p *Pressure) WrapListener(inner net.Listener) net.Listener {
	return &sheddingListener{Listener: inner, pressure: p}
}

type sheddingListener struct {
	net.Listener
	pressure *Pressure
}

// Accept implements net.Listener.
func (l *sheddingListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil || !l.pressure.High() {
			return conn, err
		}
		l.pressure.Shed.Add(1)
		_ = conn.Close()
	}
}
