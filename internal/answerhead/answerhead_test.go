package answerhead_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/cherrystage/cherrystage/internal/answerhead"
	"github.com/cherrystage/cherrystage/internal/standin"
	"github.com/shoenig/test/must"
)

func get(text string) (*http.Response, error) {
	client := &http.Client{Transport: &answerhead.Transport{Base: &http.Transport{DialContext: standin.DialAnswering(text)}}}
	return client.Get("http://runner/x")
}

// A server in trouble answers with a head that is none of HTTP, and net/http reads it all the same: the answer would
// be taken for one that is due.
func TestMalformedAnswersAreErrors(t *testing.T) {
	for _, malformed := range standin.MalformedAnswers {
		t.Run(malformed.Name, func(t *testing.T) {
			response, err := get(malformed.Text("200 OK", "Content-Length: 2\r\n", "ab"))
			if err == nil {
				_ = response.Body.Close()
			}
			must.Error(t, err)
		})
	}
}

// Answers of all statuses that HTTP has for final ones stay, in each framing, also behind interim answers.
func TestSoundAnswersStay(t *testing.T) {
	for status := 200; status <= 599; status++ {
		for _, framing := range []string{"Content-Length: 0\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "\r\n"} {
			for _, interim := range []string{"", "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"} {
				response, err := get(fmt.Sprintf("%sHTTP/1.1 %d Status\r\nX-A: 1\r\n%s", interim, status, framing))
				must.NoError(t, err)
				must.Eq(t, status, response.StatusCode)
				_, err = io.Copy(io.Discard, response.Body)
				must.NoError(t, err)
				_ = response.Body.Close()
			}
		}
	}
}

// A server in trouble sends interim answers without an end. The request would wait, and read, for as long.
func TestInterimAnswersWithoutEndAreGivenUp(t *testing.T) {
	for _, head := range []string{"HTTP/1.1 103 Early Hints\r\n\r\n", "HTTP/1.1 100 Continue\r\nX-A: " + strings.Repeat("a", 10<<10) + "\r\n\r\n"} {
		_, err := get(strings.Repeat(head, 4<<20/len(head)))
		must.ErrorIs(t, err, answerhead.ErrMalformed)
	}
	response, err := get(strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 1000) + "HTTP/1.1 204 No Content\r\n\r\n")
	must.NoError(t, err)
	_ = response.Body.Close()
}

// Each request keeps the hooks of its own trace: whether it was given a connection decides whether it may have run. Those of
// another request would be called with one trace for both.
func TestRequestsKeepTheirOwnTraces(t *testing.T) {
	transport := &answerhead.Transport{Base: &http.Transport{DialContext: standin.DialAnswering("HTTP/1.1 204 No Content\r\n\r\n"), DisableKeepAlives: true}}
	var group sync.WaitGroup
	for range 50 {
		group.Go(func() {
			var connections atomic.Int64
			ctx := httptrace.WithClientTrace(t.Context(), &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connections.Add(1) }})
			request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://runner/x", nil)
			must.NoError(t, err)
			response, err := transport.RoundTrip(request)
			must.NoError(t, err)
			_ = response.Body.Close()
			must.Eq(t, 1, connections.Load())
		})
	}
	group.Wait()
}

// http.Client closes idle connections by a method that it looks for in its transport.
func TestIdleConnectionsAreClosed(t *testing.T) {
	base := &idleCloser{}
	(&http.Client{Transport: &answerhead.Transport{Base: base}}).CloseIdleConnections()
	must.True(t, base.closed)
}

type idleCloser struct {
	http.RoundTripper
	closed bool
}

func (c *idleCloser) CloseIdleConnections() { c.closed = true }
