// Package plain is the adapter to plain services: HTTP requests passed on as
// they are, with a verdict.
package plain

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/cherrystage/cherrystage/internal/engine"
	"github.com/pkg/errors"
)

// MaxAnswerBytes bounds an answer. It is held whole before it is passed on, so
// that a caller never sees half of one as if it were all.
const MaxAnswerBytes = 8 << 20

// Call is one attempt of a request on one host of a service.
type Call struct {
	Address    string
	Method     string
	Path       string
	Query      string
	Header     http.Header
	Body       []byte
	TraceID    string
	Idempotent bool
}

// Answer is a whole answer.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Client speaks to plain services. It is safe for concurrent use.
type Client struct {
	timeout time.Duration
	pooled  *http.Client
	fresh   *http.Client
}

const idlePerHost = 32

// NewClient makes a client; timeout bounds a whole request.
func NewClient(dial func(ctx context.Context, network, address string) (net.Conn, error), timeout time.Duration) *Client {
	transport := func(keepAlive bool) *http.Client {
		return &http.Client{
			Transport: &http.Transport{DialContext: dial, DisableKeepAlives: !keepAlive, MaxIdleConnsPerHost: idlePerHost, DisableCompression: true},
			// The answer belongs to the caller, redirects too.
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		}
	}
	return &Client{timeout: timeout, pooled: transport(true), fresh: transport(false)}
}

// hopHeaders concern one connection only and are not passed on. The
// idempotency key is among them: the HTTP library would take it as leave to
// send the request twice.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Authorization", "Idempotency-Key",
}

// PassHeader gives the headers that go on to the next hop.
func PassHeader(header http.Header) http.Header {
	passed := header.Clone()
	for _, name := range hopHeaders {
		passed.Del(name)
	}
	return passed
}

// Do makes one attempt.
func (c *Client) Do(ctx context.Context, call Call) (Answer, *engine.Failure) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var connected atomic.Bool
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req, err := newRequest(traced, call)
	if err != nil {
		return Answer{}, &engine.Failure{Stage: engine.StageConnect, Code: engine.CodeUnreachable, Cause: err}
	}
	client := c.pooled
	if !call.Idempotent {
		// A connection of its own, so that the library has no ground to send again.
		client = c.fresh
	}
	resp, err := client.Do(req)
	if err != nil {
		return Answer{}, sendFailure(connected.Load(), err)
	}
	defer func() { _ = resp.Body.Close() }()
	return readAnswer(resp)
}

func newRequest(ctx context.Context, call Call) (*http.Request, error) {
	url := "http://" + call.Address + call.Path
	if call.Query != "" {
		url += "?" + call.Query
	}
	req, err := http.NewRequestWithContext(ctx, call.Method, url, bytes.NewReader(call.Body))
	if err != nil {
		return nil, errors.Wrap(err, "request to service")
	}
	req.GetBody = nil
	req.Header = PassHeader(call.Header)
	req.Header.Set(engine.HeaderTrace, call.TraceID)
	return req, nil
}

func sendFailure(connected bool, err error) *engine.Failure {
	if !connected {
		return &engine.Failure{Stage: engine.StageConnect, Code: engine.CodeUnreachable, Cause: err}
	}
	return &engine.Failure{Stage: engine.StageSend, Code: engine.CodeNoAnswer, Cause: err}
}

func readAnswer(resp *http.Response) (Answer, *engine.Failure) {
	if resp.Header.Get(engine.HeaderNotRun) == "true" {
		return Answer{}, &engine.Failure{Stage: engine.StageRefused, Status: resp.StatusCode, Code: engine.CodeBusy, MarkedNotRun: true}
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, MaxAnswerBytes+1))
	if err != nil {
		return Answer{}, &engine.Failure{Stage: engine.StageSend, Code: engine.CodeTruncated, Cause: err}
	}
	if len(body) > MaxAnswerBytes {
		return Answer{}, &engine.Failure{Stage: engine.StageSend, Code: engine.CodeMalformed, Cause: errors.New("answer over the bound")}
	}
	return Answer{Status: resp.StatusCode, Header: PassHeader(resp.Header), Body: body}, nil
}
