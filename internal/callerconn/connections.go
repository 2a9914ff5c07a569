package callerconn

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// unusedGrace is how long a new connection may take to bring its first request once the host closes
// idle connections.
const unusedGrace = 500 * time.Millisecond

// connections are the open connections of callers. They are safe for concurrent use.
type connections struct {
	// hostEnd ends when the host is about to end.
	hostEnd context.Context
	endHost context.CancelFunc

	mu   sync.Mutex
	open map[*recorder]struct{}
}

func newConnections() *connections {
	c := &connections{open: map[*recorder]struct{}{}}
	c.hostEnd, c.endHost = context.WithCancel(context.Background())
	return c
}

// onHostEnd calls f when the host is about to end, unless stop is called before.
func (r *recorder) onHostEnd(f func()) (stop func() bool) {
	if r == nil {
		return func() bool { return true }
	}
	return context.AfterFunc(r.connections.hostEnd, f)
}

// listener returns a listener whose connections are recorded.
func (c *connections) listener(inner net.Listener) net.Listener {
	return recordingListener{Listener: inner, connections: c}
}

type recordingListener struct {
	net.Listener
	connections *connections
}

// Accept implements net.Listener.
func (l recordingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	r := &recorder{Conn: conn, accepted: time.Now(), connections: l.connections}
	l.connections.mu.Lock()
	defer l.connections.mu.Unlock()
	l.connections.open[r] = struct{}{}
	return r, nil
}

func (c *connections) forget(r *recorder) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.open, r)
}

// closeIdle closes the connections on which nothing of a request has been read since the last answer,
// and returns the number of the others.
func (c *connections) closeIdle(now time.Time) int {
	c.mu.Lock()
	var idle []*recorder
	for r := range c.open {
		if r.closesIdle(now) {
			idle = append(idle, r)
		}
	}
	left := len(c.open) - len(idle)
	c.mu.Unlock()
	for _, r := range idle {
		_ = r.Close()
	}
	return left
}

// closesIdle reports whether no request has been read whole or in part that is not answered. If so,
// none is read any more: one that crosses the close must not reach a runner.
func (r *recorder) closesIdle(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closing = r.isIdle(now)
	return r.closing
}

func (r *recorder) isIdle(now time.Time) bool {
	_, skipped := r.fromStart()
	return !r.serving && r.received == skipped && (r.used || now.Sub(r.accepted) >= unusedGrace)
}

// recordState records that net/http has sent an answer to its end, which it does after the handler: the
// end of a chunked answer would be lost if its connection were closed before. A connection that net/http
// closes after an answer stays in use until then.
func recordState(conn net.Conn, state http.ConnState) {
	r, ok := conn.(*recorder)
	if !ok || state != http.StateIdle {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.serving, r.idleDeadlines = false, 0
}

// Close implements net.Conn.
func (r *recorder) Close() error {
	r.connections.forget(r)
	return r.Conn.Close()
}
