package ingress

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cherrystage/cherrystage/internal/answer"
	"github.com/cherrystage/cherrystage/internal/standin"
	"github.com/shoenig/test/must"
)

// wrappingListener wraps the connections that it accepts.
type wrappingListener struct {
	net.Listener
	wrap func(net.Conn) net.Conn
}

// Accept implements net.Listener.
func (l wrappingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.wrap(conn), nil
}

// withWrappedConnections runs a test with an ingress whose connections are wrapped.
func withWrappedConnections(t *testing.T, wrap func(net.Conn) net.Conn, run func(e *testIngress)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		e := &testIngress{t: t, net: standin.NewNetwork()}
		defer func() {
			e.net.Close()
			time.Sleep(time.Second)
			synctest.Wait()
		}()
		server := newServer(configWith(nil), e)
		listener, err := e.net.Host("entry").Listen("80")
		must.NoError(t, err)
		go func() { _ = server.Serve(wrappingListener{Listener: listener, wrap: wrap}) }()
		defer func() { _ = server.Close() }()
		e.shutdown = func(ctx context.Context) { _, _ = server.Shutdown(ctx) }
		run(e)
	})
}

// writeEvent writes an event of a stream.
func writeEvent(w *answer.Writer, event string) {
	if !w.Begun() {
		w.Header().Set("Content-Type", "text/event-stream")
		w.WriteHeader(http.StatusOK)
	}
	_, _ = io.WriteString(w, event)
	_ = w.FlushError()
}

// lateEndConn writes the end of a chunked answer late, as to a slow reader or on a busy machine.
type lateEndConn struct{ net.Conn }

// Write implements net.Conn.
func (c lateEndConn) Write(data []byte) (int, error) {
	if strings.HasSuffix(string(data), "0\r\n\r\n") {
		time.Sleep(200 * time.Millisecond)
	}
	return c.Conn.Write(data)
}

// A stop closes a stream's connection after its last event and before its end.
func TestShutdownDoesNotCutTheEndOfAStream(t *testing.T) {
	withWrappedConnections(t, func(conn net.Conn) net.Conn { return lateEndConn{conn} }, func(e *testIngress) {
		e.handler = func(_ context.Context, w *answer.Writer) {
			writeEvent(w, "data: x\n\n")
			time.Sleep(time.Second)
			w.Complete()
		}
		reader := e.sendOnly(post("/a/x", 5))
		go func() {
			time.Sleep(500 * time.Millisecond)
			e.shutdown(e.t.Context())
		}()
		must.Eq(e.t, "data: x\n\n", e.readAnswer(reader).body)
	})
}

// shutsDownWithin checks that a stop ends long before its grace period does.
func (e *testIngress) shutsDownWithin(limit time.Duration) {
	e.t.Helper()
	begin := time.Now()
	ctx, cancel := context.WithTimeout(e.t.Context(), 20*time.Second)
	defer cancel()
	e.shutdown(ctx)
	must.Less(e.t, limit, time.Since(begin))
}

const generalOptions = "OPTIONS * HTTP/1.1\r\nHost: h\r\nId: q\r\n\r\n"

// A general OPTIONS request gets an empty success, and its connection is never idle afterwards.
func TestGeneralOptionsIsNoSuccess(t *testing.T) {
	withIngress(t, true, func(e *testIngress) {
		got := e.readAnswer(e.sendOnly(generalOptions))
		must.Eq(e.t, http.StatusNotFound, got.status)
		e.shutsDownWithin(time.Second)
	})
}

// A line end behind a body keeps its connection from being idle, so that a stop lasts to its end.
func TestShutdownClosesAConnectionWithALineEndBehindABody(t *testing.T) {
	withIngress(t, true, func(e *testIngress) {
		e.readAnswer(e.sendOnly(post("/a/x", 5) + "\r\n"))
		e.shutsDownWithin(time.Second)
	})
}

// The grace period ends while a request waits for a runner: its connection breaks without an answer.
func TestRequestThatWaitsAtTheEndOfTheGracePeriodIsAnswered(t *testing.T) {
	withIngress(t, true, func(e *testIngress) {
		e.handler = func(ctx context.Context, w *answer.Writer) {
			<-ctx.Done()
			must.ErrorIs(e.t, context.Cause(ctx), answer.ErrStopping)
			_ = w.WriteOwn(http.StatusServiceUnavailable, "not run")
		}
		reader := e.sendOnly(post("/a/x", 5))
		time.Sleep(100 * time.Millisecond)
		go func() {
			ctx, cancel := context.WithTimeout(e.t.Context(), time.Second)
			defer cancel()
			e.shutdown(ctx)
			e.net.Close()
		}()
		must.Eq(e.t, http.StatusServiceUnavailable, e.readAnswer(reader).status)
	})
}

// A server that was shut down before it serves a listener accepts callers all the same.
func TestServeAfterShutdownEnds(t *testing.T) {
	server := newServer(configWith(nil), &testIngress{})
	_, err := server.Shutdown(t.Context())
	must.NoError(t, err)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(listener) }()
	select {
	case err := <-ended:
		must.ErrorIs(t, err, http.ErrServerClosed)
	case <-time.After(time.Second):
		_ = server.Close()
		t.Fatal("still serves")
	}
}
