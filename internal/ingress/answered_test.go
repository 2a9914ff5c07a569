package ingress

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cherrystage/cherrystage/internal/answer"
	"github.com/shoenig/test/must"
)

// dial opens a connection of a caller.
func (e *testIngress) dial() net.Conn {
	e.t.Helper()
	conn, err := e.net.Host("caller").Dial(e.t.Context(), "tcp", "entry:80")
	must.NoError(e.t, err)
	return conn
}

// receivedAnswer is a final answer as its caller read it.
type receivedAnswer struct {
	status int
	body   string
	closes bool
}

// readAnswer reads the next final answer, after any interim ones.
func (e *testIngress) readAnswer(reader *bufio.Reader) receivedAnswer {
	e.t.Helper()
	for {
		response, err := http.ReadResponse(reader, nil)
		must.NoError(e.t, err)
		if response.StatusCode/100 == 1 {
			continue
		}
		body, err := io.ReadAll(response.Body)
		must.NoError(e.t, err)
		return receivedAnswer{status: response.StatusCode, body: string(body), closes: response.Close}
	}
}

// writeWhole writes an answer of a runner.
func writeWhole(w *answer.Writer, body string) {
	_ = w.WriteWhole(http.StatusOK, []byte(body))
}

// A caller that closes its sending side and reads on gets an empty success instead of its answer.
func TestHalfClosedCallerGetsItsAnswer(t *testing.T) {
	for name, text := range map[string]string{"read": "GET /a/x HTTP/1.1\r\nHost: h\r\nId: q\r\n\r\n", "call": post("/a/x", 20)} {
		t.Run(name, func(t *testing.T) {
			withIngress(t, true, func(e *testIngress) {
				e.handler = func(ctx context.Context, w *answer.Writer) {
					select {
					case <-ctx.Done():
					case <-time.After(2 * time.Second):
						writeWhole(w, "answer")
					}
				}
				conn := e.dial()
				go func() {
					_, _ = io.WriteString(conn, text)
					_ = conn.(interface{ CloseWrite() error }).CloseWrite()
				}()
				got := e.readAnswer(bufio.NewReader(conn))
				must.Eq(t, http.StatusOK, got.status)
				must.Eq(t, "answer", got.body)
			})
		})
	}
}

// A handler that ends without an answer gives its caller an empty success.
func TestHandlerWithoutAnswerIsNoSuccess(t *testing.T) {
	withIngress(t, true, func(e *testIngress) {
		e.handler = func(context.Context, *answer.Writer) {}
		got := e.readAnswer(e.sendOnly(post("/a/x", 3)))
		must.Eq(t, http.StatusInternalServerError, got.status)
	})
}

// A handler that panics before it has written anything closes the connection without an answer.
func TestHandlerThatPanicsIsAnswered(t *testing.T) {
	withIngress(t, true, func(e *testIngress) {
		e.handler = func(context.Context, *answer.Writer) { panic("a fault") }
		got := e.readAnswer(e.sendOnly(post("/a/x", 3)))
		must.Eq(t, http.StatusInternalServerError, got.status)
	})
}

// sendOnly writes text on a new connection and returns a reader of its answers.
func (e *testIngress) sendOnly(text string) *bufio.Reader {
	e.t.Helper()
	conn := e.dial()
	go func() { _, _ = io.WriteString(conn, text) }()
	return bufio.NewReader(conn)
}

// A host that stops closes a connection although it has read further requests on it.
func TestPipelinedRequestsAreAnsweredWhileStopping(t *testing.T) {
	chunked := "POST /a/x HTTP/1.1\r\nHost: h\r\nId: r\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
	for name, texts := range map[string][]string{
		"with lengths": {post("/a/x", 5), post("/a/x", 0), post("/a/x", 7)},
		"in chunks":    {chunked, chunked, chunked},
		"mixed":        {post("/a/x", 5), chunked, "GET /a/x HTTP/1.1\r\nHost: h\r\nId: q\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			withIngress(t, true, func(e *testIngress) {
				e.closing.Store(true)
				e.handler = func(_ context.Context, w *answer.Writer) { writeWhole(w, "answer") }
				reader := e.sendOnly(strings.Join(texts, ""))
				for i := range texts {
					got := e.readAnswer(reader)
					must.Eq(t, http.StatusOK, got.status)
					must.Eq(t, i == len(texts)-1, got.closes, must.Sprintf("answer %d", i))
				}
			})
		})
	}
}

// The second of three requests on one connection comes in chunks: the third is not answered.
func TestRequestBehindAChunkedOneIsAnswered(t *testing.T) {
	chunked := "POST /a/x HTTP/1.1\r\nHost: h\r\nId: r\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
	withIngress(t, true, func(e *testIngress) {
		reader := e.sendOnly(post("/a/x", 5) + chunked + post("/a/x", 6))
		for range 3 {
			must.Eq(t, http.StatusOK, e.readAnswer(reader).status)
		}
	})
}

// A host that is about to end closes a connection although it has read a further request on it.
func TestRequestReadDuringShutdownIsAnswered(t *testing.T) {
	withIngress(t, true, func(e *testIngress) {
		e.handler = func(_ context.Context, w *answer.Writer) {
			time.Sleep(500 * time.Millisecond)
			writeWhole(w, "answer")
		}
		reader := e.sendOnly(post("/a/x", 5) + post("/a/x", 6))
		go func() {
			time.Sleep(100 * time.Millisecond)
			e.closing.Store(true)
			e.refusing.Store(true)
			e.shutdown(e.t.Context())
		}()
		must.Eq(t, http.StatusOK, e.readAnswer(reader).status)
		got := e.readAnswer(reader)
		must.Eq(t, http.StatusServiceUnavailable, got.status)
		must.True(t, got.closes)
	})
}

// A caller that closes its whole connection keeps a runner at work for nobody.
func TestRequestEndsOnceItsCallerHasLeft(t *testing.T) {
	withIngress(t, true, func(e *testIngress) {
		ended := make(chan time.Duration, 1)
		e.handler = func(ctx context.Context, _ *answer.Writer) {
			begin := time.Now()
			<-ctx.Done()
			ended <- time.Since(begin)
		}
		conn := e.dial()
		_, err := io.WriteString(conn, post("/a/x", 3))
		must.NoError(t, err)
		must.NoError(t, conn.Close())
		must.Between(t, 0, <-ended, 400*time.Millisecond)
	})
}

// Over TCP, a caller that has left is found out by what it refuses, and one that has closed its
// sending side gets its answer.
func TestCallersThatLeaveOverTCP(t *testing.T) {
	for name, test := range map[string]struct {
		close  func(conn *net.TCPConn) error
		answer bool
	}{
		"sending side closed": {close: (*net.TCPConn).CloseWrite, answer: true},
		"connection closed":   {close: (*net.TCPConn).Close},
		"connection reset": {close: func(conn *net.TCPConn) error {
			_ = conn.SetLinger(0)
			return conn.Close()
		}},
	} {
		t.Run(name, func(t *testing.T) {
			ended := make(chan error, 1)
			server := newServer(configWith(nil), &testIngress{handler: func(ctx context.Context, w *answer.Writer) {
				select {
				case <-ctx.Done():
				case <-time.After(time.Second):
					writeWhole(w, "answer")
				}
				ended <- ctx.Err()
			}})
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			must.NoError(t, err)
			go func() { _ = server.Serve(listener) }()
			defer func() { _ = server.Close() }()
			conn, err := net.Dial("tcp", listener.Addr().String())
			must.NoError(t, err)
			_, err = io.WriteString(conn, post("/a/x", 3))
			must.NoError(t, err)
			must.NoError(t, test.close(conn.(*net.TCPConn)))
			if !test.answer {
				must.ErrorIs(t, <-ended, context.Canceled)
				return
			}
			must.NoError(t, <-ended)
			e := &testIngress{t: t}
			got := e.readAnswer(bufio.NewReader(conn))
			must.Eq(t, receivedAnswer{status: http.StatusOK, body: "answer"}, receivedAnswer{status: got.status, body: got.body})
		})
	}
}

// A caller resets its connection while the write of a long answer to it is blocked. The write is told of the reset,
// and the read finds a regular end, as that of a caller that waits: its request would go on for nobody.
func TestCallerWhoseResetAWriteIsToldHasLeft(t *testing.T) {
	ended := make(chan error, 1)
	server := newServer(configWith(nil), &testIngress{handler: func(ctx context.Context, w *answer.Writer) {
		w.WriteHeader(http.StatusOK)
		_, err := w.Write(make([]byte, 32<<20))
		must.Error(t, err)
		select {
		case <-ctx.Done():
		case <-time.After(5 * time.Second):
		}
		ended <- ctx.Err()
	}})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	go func() { _ = server.Serve(listener) }()
	defer func() { _ = server.Close() }()
	for range 10 {
		conn, err := net.Dial("tcp", listener.Addr().String())
		must.NoError(t, err)
		_, err = io.WriteString(conn, post("/a/x", 3))
		must.NoError(t, err)
		_, err = conn.Read(make([]byte, 1))
		must.NoError(t, err)
		time.Sleep(20 * time.Millisecond)
		must.NoError(t, conn.(*net.TCPConn).SetLinger(0))
		must.NoError(t, conn.Close())
		must.ErrorIs(t, <-ended, context.Canceled)
	}
}
