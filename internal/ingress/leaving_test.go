package ingress

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/cherrystage/cherrystage/internal/answer"
	"github.com/shoenig/test/must"
)

// untilLeft is a handler that waits until its caller counts as having left, for 10 s at most, and then
// reports for how long.
func untilLeft(ended chan<- time.Duration) func(ctx context.Context, w *answer.Writer) {
	return func(ctx context.Context, _ *answer.Writer) {
		begin := time.Now()
		select {
		case <-ctx.Done():
		case <-time.After(10 * time.Second):
		}
		ended <- time.Since(begin)
	}
}

// refusesLate is a connection whose peer's refusal of what is sent to it comes late.
type refusesLate struct {
	net.Conn
	from time.Time
}

// Write implements net.Conn.
func (c refusesLate) Write(data []byte) (int, error) {
	if time.Now().Before(c.from) {
		return len(data), nil
	}
	return 0, net.ErrClosed
}

// A caller that has left, and whose refusal of what is sent comes late from far away, is never noticed.
func TestFarCallerThatLeftIsNoticed(t *testing.T) {
	for refusal, limit := range map[time.Duration]time.Duration{
		20 * time.Millisecond: 100 * time.Millisecond, 100 * time.Millisecond: 300 * time.Millisecond, 400 * time.Millisecond: time.Second,
	} {
		t.Run(refusal.String(), func(t *testing.T) {
			wrap := func(conn net.Conn) net.Conn { return refusesLate{Conn: conn, from: time.Now().Add(refusal)} }
			withWrappedConnections(t, wrap, func(e *testIngress) {
				ended := make(chan time.Duration, 1)
				e.handler = untilLeft(ended)
				conn := e.dial()
				_, err := io.WriteString(conn, post("/a/x", 3))
				must.NoError(t, err)
				must.NoError(t, conn.Close())
				must.Less(t, limit, <-ended)
			})
		})
	}
}

// serveTCP serves callers over TCP and returns a connection to the server.
func serveTCP(t *testing.T, handler func(ctx context.Context, w *answer.Writer)) *net.TCPConn {
	t.Helper()
	server := newServer(configWith(nil), &testIngress{handler: handler})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	conn, err := net.Dial("tcp", listener.Addr().String())
	must.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn.(*net.TCPConn)
}

// The caller of a begun stream leaves while its runner is silent, which stays at work for nobody.
func TestBegunStreamEndsOnceItsCallerHasLeft(t *testing.T) {
	for _, gap := range []time.Duration{3 * time.Second, 300 * time.Millisecond, 40 * time.Millisecond} {
		t.Run(gap.String(), func(t *testing.T) {
			t.Parallel()
			ended := make(chan time.Time, 1)
			conn := serveTCP(t, func(ctx context.Context, w *answer.Writer) {
				for begin := time.Now(); ctx.Err() == nil && time.Since(begin) < 4*time.Second; {
					writeEvent(w, "data: x\n\n")
					select {
					case <-ctx.Done():
					case <-time.After(gap):
					}
				}
				ended <- time.Now()
			})
			_, err := io.WriteString(conn, post("/a/x", 3))
			must.NoError(t, err)
			_, err = conn.Read(make([]byte, 4096))
			must.NoError(t, err)
			must.NoError(t, conn.Close())
			left := time.Now()
			must.Less(t, 500*time.Millisecond, (<-ended).Sub(left))
		})
	}
}

// A caller closes its sending side in the middle of a stream, which is then cut.
func TestStreamGoesOnAfterItsCallerHasClosedItsSendingSide(t *testing.T) {
	conn := serveTCP(t, func(ctx context.Context, w *answer.Writer) {
		for range 20 {
			writeEvent(w, "data: x\n\n")
			select {
			case <-ctx.Done():
				return
			case <-time.After(50 * time.Millisecond):
			}
		}
		w.Complete()
	})
	_, err := io.WriteString(conn, post("/a/x", 3))
	must.NoError(t, err)
	time.Sleep(200 * time.Millisecond)
	must.NoError(t, conn.CloseWrite())
	all, err := io.ReadAll(conn)
	must.NoError(t, err)
	must.StrHasSuffix(t, "0\r\n\r\n", string(all))
}
