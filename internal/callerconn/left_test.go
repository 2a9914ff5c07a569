package callerconn

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cherrystage/cherrystage/internal/answer"
	"github.com/hashicorp/go-hclog"
	"github.com/shoenig/test/must"
)

// refusingListener accepts connections whose writes are told of a reset, before their reads find anything.
type refusingListener struct{ net.Listener }

// Accept implements net.Listener.
func (l refusingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return refusingConn{conn}, err
}

type refusingConn struct{ net.Conn }

// Write implements net.Conn.
func (refusingConn) Write([]byte) (int, error) { return 0, syscall.ECONNRESET }

// A caller resets its connection, and the write of its answer is told before a read finds anything: net/http ends the
// request's context at that moment, and not again. The caller would count as one that waits, and its request go on.
func TestCallerThatRefusedAWriteHasLeft(t *testing.T) {
	left := make(chan error, 1)
	server := NewServer(&http.Server{Handler: &Handler{
		Serve: func(ctx context.Context, w *answer.Writer, _ *http.Request) {
			beginStream(w)
			select {
			case <-ctx.Done():
			case <-time.After(2 * time.Second):
			}
			left <- ctx.Err()
		},
		Closing: func() bool { return false }, RequestID: func(*http.Request) string { return "q" },
		Log: hclog.NewNullLogger(), Unanswered: &atomic.Int64{},
	}})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	go func() { _ = server.Serve(refusingListener{listener}) }()
	t.Cleanup(func() { _ = server.Close() })
	conn, err := net.Dial("tcp", listener.Addr().String())
	must.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, callers["HTTP/1.1"])
	must.NoError(t, err)
	must.ErrorIs(t, <-left, context.Canceled)
}
