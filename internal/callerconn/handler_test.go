package callerconn

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cherrystage/cherrystage/internal/answer"
	"github.com/hashicorp/go-hclog"
	"github.com/shoenig/test/must"
)

// The read deadline of a body passes as the body ends: net/http ends the contexts of all later requests
// on the connection, whose callers could leave unnoticed.
func TestConnectionThatDoesNotShowItsCallersLeavingIsClosed(t *testing.T) {
	for _, blind := range []bool{false, true} {
		handler := &Handler{
			Serve: func(_ context.Context, w *answer.Writer, _ *http.Request) {
				_ = w.WriteWhole(http.StatusOK, []byte("answer"))
			},
			Closing: func() bool { return false }, RequestID: func(*http.Request) string { return "q" },
			Log: hclog.NewNullLogger(), Unanswered: &atomic.Int64{},
		}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		if blind {
			cancel()
		}
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, httptest.NewRequestWithContext(ctx, http.MethodGet, "/a/x", nil))
		must.Eq(t, http.StatusOK, recorder.Code)
		must.Eq(t, blind, recorder.Header().Get("Connection") == "close")
	}
}

// lateConn is a connection on which a request arrives as it is closed.
type lateConn struct {
	net.Conn
	closed chan struct{}
}

// Read implements net.Conn.
func (c lateConn) Read(into []byte) (int, error) {
	<-c.closed
	return copy(into, "GET "), nil
}

// Close implements net.Conn.
func (c lateConn) Close() error {
	close(c.closed)
	return nil
}

// A request arrives just as a stop closes its connection, and is passed on to a runner all the same.
func TestRequestThatCrossesTheCloseIsNotRead(t *testing.T) {
	all := newConnections()
	conn := &recorder{Conn: lateConn{closed: make(chan struct{})}, connections: all, accepted: time.Now().Add(-time.Minute)}
	all.open[conn] = struct{}{}
	must.Eq(t, 0, all.closeIdle(time.Now()))
	_, err := conn.Read(make([]byte, 16))
	must.ErrorIs(t, err, net.ErrClosed)
}
