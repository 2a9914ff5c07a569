package ingress

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cherrystage/cherrystage/internal/site"
	"github.com/shoenig/test/must"
)

const (
	smallChunked = "POST /a/x HTTP/1.1\r\nHost: h\r\nId: r\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
	conflicting  = "POST /a/x HTTP/1.1\r\nHost: h\r\nId: q\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
)

// largeChunked returns a request with more chunks than are recorded.
func largeChunked() string {
	return "POST /a/x HTTP/1.1\r\nHost: h\r\nId: r\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1000\r\n"+strings.Repeat("x", 4096)+"\r\n", 6) + "0\r\n\r\n"
}

// largeBodies returns a configuration that allows them.
func largeBodies() *site.Config {
	route := &site.Route{Name: "a", Host: "h", Prefix: "/a/", Kind: site.Idempotent}
	return site.NewConfig(1, []*site.Route{route}, nil, site.Limits{MaxBodyBytes: 4 << 20})
}

// Conflicting framing behind line ends or another request is not seen.
func TestConflictingFramingIsSeenBehind(t *testing.T) {
	for name, before := range map[string]string{
		"line ends":          post("/a/x", 5) + "\r\n\r\n",
		"general options":    generalOptions,
		"a body":             post("/a/x", 5),
		"a chunked body":     smallChunked,
		"a body with a tail": strings.Replace(smallChunked, "0\r\n\r\n", "0\r\nTrailer: t\r\n\r\n", 1),
	} {
		t.Run(name, func(t *testing.T) {
			withIngress(t, true, func(e *testIngress) {
				reader := e.sendOnly(before + conflicting)
				e.readAnswer(reader)
				must.Eq(e.t, http.StatusBadRequest, e.readAnswer(reader).status)
			})
		})
	}
}

// After one large chunked body, a kept connection is closed with each later chunked request.
func TestConnectionIsKeptAfterALargeChunkedBody(t *testing.T) {
	withIngressConfig(t, largeBodies(), func(e *testIngress) {
		conn := e.dial()
		reader := bufio.NewReader(conn)
		for i, text := range []string{largeChunked(), smallChunked, post("/a/x", 3), smallChunked} {
			go func() { _, _ = io.WriteString(conn, text) }()
			got := e.readAnswer(reader)
			must.Eq(e.t, http.StatusOK, got.status, must.Sprintf("request %d", i))
			must.False(e.t, got.closes, must.Sprintf("request %d", i))
		}
		go func() { _, _ = io.WriteString(conn, conflicting) }()
		must.Eq(e.t, http.StatusBadRequest, e.readAnswer(reader).status)
	})
}

// A request that is rejected for its header drops those that were read behind it.
func TestRequestBehindARejectedOneIsAnswered(t *testing.T) {
	withIngress(t, true, func(e *testIngress) {
		reader := e.sendOnly("GET /a/x HTTP/1.1\r\nHost: h\r\n\r\n" + post("/a/x", 3))
		must.Eq(e.t, http.StatusBadRequest, e.readAnswer(reader).status)
		must.Eq(e.t, http.StatusOK, e.readAnswer(reader).status)
	})
}

// A request whose body is too long drops those that were read behind it.
func TestRequestBehindATooLongOneIsAnswered(t *testing.T) {
	tooLong := strings.Replace(smallChunked, "3\r\nabc\r\n", "65\r\n"+strings.Repeat("x", maxBody+1)+"\r\n", 1)
	for name, text := range map[string]string{"with a length": post("/a/x", maxBody+1), "in chunks": tooLong} {
		t.Run(name, func(t *testing.T) {
			withIngress(t, true, func(e *testIngress) {
				reader := e.sendOnly(text + post("/a/x", 3))
				must.Eq(e.t, http.StatusRequestEntityTooLarge, e.readAnswer(reader).status)
				must.Eq(e.t, http.StatusOK, e.readAnswer(reader).status)
			})
		})
	}
}

// A caller sends a body that is too long and stops in the middle of it: its connection stays open.
func TestTooLongBodyThatDoesNotEndClosesItsConnection(t *testing.T) {
	withIngress(t, true, func(e *testIngress) {
		begin := time.Now()
		text := strings.Replace(post("/a/x", maxBody+1), "Id: q\r\n", "Id: q\r\nPatience: 2s\r\n", 1)
		got := e.readAnswer(e.sendOnly(text[:len(text)-10]))
		must.Eq(e.t, http.StatusRequestEntityTooLarge, got.status)
		must.True(e.t, got.closes)
		must.LessEq(e.t, 3*time.Second, time.Since(begin))
	})
}
