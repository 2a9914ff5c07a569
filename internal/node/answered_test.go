package node

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cherrystage/cherrystage/internal/callerapi"
	"github.com/shoenig/test/must"
)

// rawRequest is the text of a request on a kept connection. A request of a service has an empty body.
func rawRequest(path, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: e1\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", path, callerKey, len(body), body)
}

// requestKinds are a request of each kind that callers send. Each takes some 0.4 s.
func requestKinds() map[string]string {
	return map[string]string{
		"whole":   rawRequest("/v1/completions", `{"model":"a0","max_tokens":20}`),
		"stream":  rawRequest("/v1/completions", `{"model":"a0","max_tokens":20,"stream":true}`),
		"service": rawRequest("/services/dispatch/berths", ""),
		"once":    rawRequest("/services/dispatch/tugs/7", ""),
	}
}

// callerConn is a connection of a caller.
type callerConn struct {
	net.Conn
	t      *testing.T
	reader *bufio.Reader
}

func (c *cluster) connect(host string) *callerConn {
	c.t.Helper()
	conn, err := c.net.Host("caller").Dial(context.Background(), "tcp", host+":80")
	must.NoError(c.t, err)
	return &callerConn{Conn: conn, t: c.t, reader: bufio.NewReader(conn)}
}

// rawAnswer is a final answer as its caller read it. cut is set if it broke off.
type rawAnswer struct {
	status        int
	body, verdict string
	closes, cut   bool
}

// next reads the next final answer, after any interim ones.
func (c *callerConn) next() rawAnswer {
	c.t.Helper()
	for {
		response, err := http.ReadResponse(c.reader, nil)
		must.NoError(c.t, err)
		if response.StatusCode/100 == 1 {
			continue
		}
		body, err := io.ReadAll(response.Body)
		verdict := response.Header.Get(callerapi.HeaderVerdict)
		if verdict == "" {
			verdict = response.Trailer.Get(callerapi.HeaderVerdict)
		}
		return rawAnswer{status: response.StatusCode, body: string(body), verdict: verdict, closes: response.Close, cut: err != nil}
	}
}

// requireRan wants an answer of a runner, whole and with content.
func requireRan(t *testing.T, kind string, got rawAnswer) {
	t.Helper()
	must.Eq(t, http.StatusOK, got.status, must.Sprint(kind, ": ", got.body))
	must.Eq(t, "ran", got.verdict, must.Sprint(kind))
	must.False(t, got.cut)
	must.NotEq(t, "", got.body)
	if kind == "stream" {
		must.StrContains(t, got.body, "[DONE]")
	}
}

// A caller closes its sending side after a whole request and reads on. It was taken for one that has
// left: its request was canceled and refused, or its stream ended, though it waited.
func TestHalfClosedCallerGetsItsAnswer(t *testing.T) {
	for kind, text := range requestKinds() {
		t.Run(kind, func(t *testing.T) {
			inCluster(t, 2, smallEnvironment(), func(c *cluster) {
				conn := c.connect("e1")
				go func() {
					_, _ = io.WriteString(conn, text)
					_ = conn.Conn.(interface{ CloseWrite() error }).CloseWrite()
				}()
				requireRan(c.t, kind, conn.next())
			})
		})
	}
}

// A caller that closes its whole connection keeps an engine at work for nobody.
func TestRequestEndsOnceItsCallerHasLeft(t *testing.T) {
	inCluster(t, 2, smallEnvironment(), func(c *cluster) {
		c.loadModels("e1", "a0")
		conn := c.connect("e1")
		_, err := io.WriteString(conn, rawRequest("/v1/completions", `{"model":"a0","max_tokens":5000}`))
		must.NoError(c.t, err)
		time.Sleep(100 * time.Millisecond)
		must.Eq(c.t, 1, c.nodes["e1"].openRequests.Open())
		must.NoError(c.t, conn.Close())
		time.Sleep(500 * time.Millisecond)
		must.Eq(c.t, 0, c.nodes["e1"].openRequests.Open())
	})
}

// Several requests are sent on one connection at once, and the host is told to stop before it has
// answered the first. Those behind it were read and closed without an answer.
func TestPipelinedRequestsAreAnsweredWhileStopping(t *testing.T) {
	for kind, text := range requestKinds() {
		t.Run(kind, func(t *testing.T) {
			inCluster(t, 2, smallEnvironment(), func(c *cluster) {
				c.loadModels("e1", "a0")
				conn := c.connect("e1")
				long := rawRequest("/v1/completions", `{"model":"a0","max_tokens":400}`)
				go func() { _, _ = io.WriteString(conn, long+strings.Repeat(text, 2)) }()
				time.Sleep(100 * time.Millisecond)
				node := c.nodes["e1"]
				stopped := make(chan error, 1)
				go func() {
					_, err := node.Shutdown(context.Background(), node.callers)
					stopped <- err
				}()
				requireRan(c.t, "whole", conn.next())
				for i := range 2 {
					got := conn.next()
					if got.status != http.StatusOK {
						must.Eq(c.t, http.StatusServiceUnavailable, got.status)
						must.Eq(c.t, "not-run", got.verdict)
					}
					must.Eq(c.t, i == 1, got.closes)
				}
				must.NoError(c.t, receive(c.t, stopped))
			})
		})
	}
}

// A kept connection on which a request follows each answer at once is read while the host stops. The
// request that was read then is answered, and the answer says that the connection closes.
func TestKeptConnectionIsAnsweredWhileStopping(t *testing.T) {
	inCluster(t, 2, smallEnvironment(), func(c *cluster) {
		c.loadModels("e1", "a0")
		conn := c.connect("e1")
		node := c.nodes["e1"]
		stopped := make(chan error, 1)
		for i := 0; ; i++ {
			must.Less(c.t, 1000, i)
			go func() { _, _ = io.WriteString(conn, requestKinds()["whole"]) }()
			got := conn.next()
			if got.status != http.StatusOK {
				must.Eq(c.t, http.StatusServiceUnavailable, got.status)
				must.Eq(c.t, "not-run", got.verdict)
			}
			if got.closes {
				break
			}
			if i == 2 {
				go func() {
					_, err := node.Shutdown(context.Background(), node.callers)
					stopped <- err
				}()
			}
		}
		must.NoError(c.t, receive(c.t, stopped))
	})
}
