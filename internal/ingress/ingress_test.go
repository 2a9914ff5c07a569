package ingress

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cherrystage/cherrystage/internal/answer"
	"github.com/cherrystage/cherrystage/internal/callerconn"
	"github.com/cherrystage/cherrystage/internal/credential"
	"github.com/cherrystage/cherrystage/internal/directory"
	"github.com/cherrystage/cherrystage/internal/forward"
	"github.com/cherrystage/cherrystage/internal/registry"
	"github.com/cherrystage/cherrystage/internal/site"
	"github.com/cherrystage/cherrystage/internal/standin"
	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
)

// testDialect reads a request's ID, key and timeout.
type testDialect struct{}

func (testDialect) ParseRequest(header http.Header) (forward.RequestMetadata, error) {
	metadata := forward.RequestMetadata{ID: header.Get("Id")}
	if metadata.ID == "" {
		return metadata, errors.New("no ID")
	}
	metadata.KeyDigest, metadata.HasKey = credential.BearerDigest(header["Authorization"])
	if text := header.Get("Patience"); text != "" {
		timeout, err := time.ParseDuration(text)
		if err != nil {
			return metadata, errors.Wrap(err, "patience")
		}
		metadata.ClientTimeout = timeout
	}
	return metadata, nil
}

func (testDialect) SetRequestHeaders(_, _ http.Header, _ forward.RequestMetadata, _ forward.Attempt) {
}
func (testDialect) ParseResponse(int, http.Header) forward.ResponseMetadata {
	return forward.ResponseMetadata{}
}

// testDecoder returns one configuration for every record.
type testDecoder struct{ config *site.Config }

func (d testDecoder) Config(json.RawMessage) (*site.Config, error) { return d.config, nil }
func (testDecoder) Runner(string, json.RawMessage) (*site.Runner, error) {
	return nil, errors.New("no runners")
}
func (testDecoder) StripRunner(spec json.RawMessage) json.RawMessage         { return spec }
func (testDecoder) StripConfig(spec json.RawMessage) json.RawMessage         { return spec }
func (testDecoder) StripAdapterVersion(spec json.RawMessage) json.RawMessage { return spec }
func (testDecoder) AdapterVersion(json.RawMessage) (site.AdapterVersion, error) {
	return site.AdapterVersion{}, errors.New("no versions")
}

const maxBody = 100

// testIngress is an ingress on an in-memory network, in virtual time.
type testIngress struct {
	t        *testing.T
	net      *standin.Network
	closing  atomic.Bool
	refusing atomic.Bool
	served   []*forward.Request
	// handler replaces the usual answer if it is set.
	handler func(ctx context.Context, w *answer.Writer)
	// shutdown stops the server gracefully.
	shutdown func(ctx context.Context)
}

func withIngress(t *testing.T, configured bool, run func(e *testIngress)) {
	t.Helper()
	var config *site.Config
	if configured {
		config = configWith(nil)
	}
	withIngressConfig(t, config, run)
}

// configWith returns a configuration with the route /a/ and the public route /open/ of host h.
func configWith(workspaces *site.Workspaces) *site.Config {
	route := &site.Route{Name: "a", Host: "h", Prefix: "/a/", Kind: site.Idempotent}
	open := &site.Route{Name: "open", Host: "h", Prefix: "/open/", Kind: site.Idempotent, Public: true}
	config := site.NewConfig(1, []*site.Route{route, open}, nil, site.Limits{MaxBodyBytes: maxBody})
	config.Workspaces = workspaces
	return config
}

func withIngressConfig(t *testing.T, config *site.Config, run func(e *testIngress)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		e := &testIngress{t: t, net: standin.NewNetwork()}
		defer func() {
			e.net.Close()
			// The server waits a moment before it closes a connection.
			time.Sleep(time.Second)
			synctest.Wait()
		}()
		server := newServer(config, e)
		listener, err := e.net.Host("entry").Listen("80")
		must.NoError(t, err)
		go func() { _ = server.Serve(listener) }()
		defer func() { _ = server.Close() }()
		e.shutdown = func(ctx context.Context) { _, _ = server.Shutdown(ctx) }
		run(e)
	})
}

// newServer returns a server with a configuration, or with none if that is nil. The test answers its
// requests.
func newServer(config *site.Config, e *testIngress) *callerconn.Server {
	known := directory.New(testDecoder{config: config}, time.Now, hclog.NewNullLogger())
	if config != nil {
		known.Configs.Changed([]registry.Change{{Record: registry.Record{Name: "main", Revision: 1}}}, registry.Position{Revision: 1})
	}
	return (&Ingress{
		ConfigAge: func() time.Duration { return 0 },
		Dialect:   testDialect{}, Directory: known, Now: time.Now, Log: hclog.NewNullLogger(),
		Serve: func(ctx context.Context, w *answer.Writer, _ *site.Config, _ *site.Route, request *forward.Request, _ time.Time) {
			e.served = append(e.served, request)
			if e.handler != nil {
				e.handler(ctx, w)
				return
			}
			_ = w.WriteWhole(http.StatusOK, []byte("served"))
		},
		Closing: e.closing.Load, Refusing: e.refusing.Load,
	}).Server()
}

// send writes text on a new connection and reads one answer.
func (e *testIngress) send(text string) *http.Response {
	e.t.Helper()
	conn, err := e.net.Host("caller").Dial(e.t.Context(), "tcp", "entry:80")
	must.NoError(e.t, err)
	return e.sendOn(conn, text)
}

func (e *testIngress) sendOn(conn net.Conn, text string) *http.Response {
	e.t.Helper()
	go func() { _, _ = io.WriteString(conn, text) }()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	must.NoError(e.t, err)
	body, err := io.ReadAll(response.Body)
	must.NoError(e.t, err)
	response.Body = io.NopCloser(strings.NewReader(string(body)))
	return response
}

// post returns a POST request for a path with a body of the given length.
func post(path string, length int) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nId: q\r\nContent-Length: %d\r\n\r\n%s", path, length, strings.Repeat("x", length))
}

// A request is passed on with its path and query byte for byte, its whole body and its
// caller's address.
func TestRequestIsPassedOnUnchanged(t *testing.T) {
	withIngress(t, true, func(e *testIngress) {
		response := e.send("POST /a/b%20c/../d?x=1%2b2&x=3 HTTP/1.1\r\nHost: h:8080\r\nId: q\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")
		must.Eq(t, http.StatusOK, response.StatusCode)
		must.Len(t, 1, e.served)
		request := e.served[0]
		must.Eq(t, "/a/b%20c/../d?x=1%2b2&x=3", request.Target)
		must.Eq(t, "abcde", string(request.Body))
		must.Eq(t, "q", request.ID)
		must.Eq(t, "caller", request.ClientAddr)
	})
}

// A target is passed on byte for byte also if its path begins with two slashes, or if it comes in absolute form
// with bytes that net/http would escape anew. Else a runner runs another path.
func TestTargetIsPassedOnAsItCame(t *testing.T) {
	for sent, target := range map[string]string{
		"//berth-7/tugs":         "//berth-7/tugs",
		"/a%2fb|c":               "/a%2fb|c",
		"http://h/a%2fb|c?x=1|2": "/a%2fb|c?x=1|2",
		"http://h//a/b":          "//a/b",
		"http://h":               "/",
		"http://h?x=1":           "/?x=1",
	} {
		everything := site.NewConfig(1, []*site.Route{{Name: "all", Host: "h", Prefix: "/", Kind: site.Idempotent}}, nil, site.Limits{MaxBodyBytes: maxBody})
		withIngressConfig(t, everything, func(e *testIngress) {
			response := e.send("POST " + sent + " HTTP/1.1\r\nHost: h\r\nId: q\r\nContent-Length: 0\r\n\r\n")
			must.Eq(t, http.StatusOK, response.StatusCode, must.Sprint(sent))
			must.Eq(t, target, e.served[0].Target)
		})
	}
}

// Requests that cannot be served are rejected with the right status, and the connection is
// closed if unread bytes may follow on it.
func TestRejectedRequests(t *testing.T) {
	for name, test := range map[string]struct {
		text   string
		status int
		closed bool
	}{
		"no route":                             {text: post("/b/x", 0), status: http.StatusNotFound},
		"path of two slashes that is no URI's": {text: post("//a|b", 0), status: http.StatusBadRequest},
		"no ID":                                {text: "GET /a/x HTTP/1.1\r\nHost: h\r\n\r\n", status: http.StatusBadRequest},
		"patience not a time":                  {text: "GET /a/x HTTP/1.1\r\nHost: h\r\nId: q\r\nPatience: soon\r\n\r\n", status: http.StatusBadRequest},
		"two lengths":                          {text: "POST /a/x HTTP/1.1\r\nHost: h\r\nId: q\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", status: http.StatusBadRequest, closed: true},
		"body over the limit":                  {text: post("/a/x", maxBody+1), status: http.StatusRequestEntityTooLarge},
		"chunks over the limit": {text: "POST /a/x HTTP/1.1\r\nHost: h\r\nId: q\r\nTransfer-Encoding: chunked\r\n\r\n65\r\n" + strings.Repeat("x", maxBody+1) + "\r\n0\r\n\r\n",
			status: http.StatusRequestEntityTooLarge},
		"body far over the limit": {text: post("/a/x", 300<<10), status: http.StatusRequestEntityTooLarge, closed: true},
	} {
		t.Run(name, func(t *testing.T) {
			withIngress(t, true, func(e *testIngress) {
				response := e.send(test.text)
				must.Eq(t, test.status, response.StatusCode)
				must.Eq(t, test.closed, response.Close)
				must.SliceEmpty(t, e.served)
			})
		})
	}
}

// A host without a configuration knows no route. It answers 503 with Retry-After: callers would
// take a 404 to mean that the route was removed.
func TestNothingIsDeniedWithoutAConfiguration(t *testing.T) {
	withIngress(t, false, func(e *testIngress) {
		response := e.send(post("/a/x", 0))
		must.Eq(t, http.StatusServiceUnavailable, response.StatusCode)
		must.Eq(t, unconfiguredRetryAfter, response.Header.Get("Retry-After"))
	})
}

// A caller sends only half of its body. It is told that the request has not run as soon as its
// own timeout has passed.
func TestIncompleteBodyTimesOutAsNotRun(t *testing.T) {
	withIngress(t, true, func(e *testIngress) {
		begin := time.Now()
		response := e.send("POST /a/x HTTP/1.1\r\nHost: h\r\nId: q\r\nPatience: 2s\r\nContent-Length: 50\r\n\r\nhalf")
		must.Eq(t, http.StatusRequestTimeout, response.StatusCode)
		must.Eq(t, 2*time.Second, time.Since(begin))
		must.SliceEmpty(t, e.served)
	})
}

// A stopping host first serves new requests and closes their connections. Later it refuses
// requests on open connections, since it could not complete them in time.
func TestStoppingHostServesThenRefuses(t *testing.T) {
	withIngress(t, true, func(e *testIngress) {
		e.closing.Store(true)
		response := e.send(post("/a/x", 3))
		must.Eq(t, http.StatusOK, response.StatusCode)
		must.True(t, response.Close)
		e.refusing.Store(true)
		response = e.send(post("/a/x", 3))
		must.Eq(t, http.StatusServiceUnavailable, response.StatusCode)
		must.Eq(t, stoppingRetryAfter, response.Header.Get("Retry-After"))
		must.Len(t, 1, e.served)
	})
}

// Two requests arrive on one connection. The recorded bytes of the first must not be taken for
// the framing of the second.
func TestFramingOfConsecutiveRequests(t *testing.T) {
	withIngress(t, true, func(e *testIngress) {
		conn, err := e.net.Host("caller").Dial(e.t.Context(), "tcp", "entry:80")
		must.NoError(t, err)
		must.Eq(t, http.StatusOK, e.sendOn(conn, post("/a/x", 5)).StatusCode)
		chunked := "POST /a/x HTTP/1.1\r\nHost: h\r\nId: r\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
		must.Eq(t, http.StatusOK, e.sendOn(conn, chunked).StatusCode)
		must.Eq(t, "abc", string(e.served[1].Body))
	})
}
