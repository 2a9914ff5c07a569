// Package plain is the client of plain HTTP services. It forwards requests and answers
// unchanged except for some headers, and reports how far a failed request got.
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

	"github.com/cherrystage/cherrystage/internal/answerhead"
	"github.com/cherrystage/cherrystage/internal/engine"
	"github.com/pkg/errors"
)

// MaxAnswerBytes is the largest answer. Answers are buffered as a whole before they are
// forwarded, so that a caller never takes a truncated one for complete.
const MaxAnswerBytes = 8 << 20

// Call is one attempt to send a request to one host of a service.
type Call struct {
	Address string
	Method  string
	Path    string
	Query   string
	Header  http.Header
	Body    []byte
	TraceID string
}

// Answer is a complete response of a service.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// End is what shows that it is whole.
	End End
}

// Client sends requests to plain services. It is safe for concurrent use.
//
// Each request has a connection of its own. The answers of plain services name no request, so a
// copy of an earlier one on a kept connection would be taken for the one that is due.
type Client struct {
	timeout time.Duration
	client  *http.Client
}

// NewClient returns a client; timeout bounds a whole request.
func NewClient(dial func(ctx context.Context, network, address string) (net.Conn, error), timeout time.Duration) *Client {
	return &Client{timeout: timeout, client: &http.Client{
		Transport: &answerhead.Transport{Base: &http.Transport{DialContext: dial, DisableKeepAlives: true, DisableCompression: true}},
		// All answers go to the caller, redirects included.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// droppedHeaders are not forwarded: hop-by-hop headers, credentials, and the idempotency
// key, for which the HTTP library would retry the request by itself.
var droppedHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Authorization", "Idempotency-Key",
}

// forwardHeader returns the headers without those that are not forwarded.
func forwardHeader(header http.Header) http.Header {
	forwarded := header.Clone()
	for _, name := range droppedHeaders {
		forwarded.Del(name)
	}
	return forwarded
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
	resp, err := c.client.Do(req)
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
	req.Header = forwardHeader(call.Header)
	req.Header.Set(engine.HeaderTrace, call.TraceID)
	return req, nil
}

func sendFailure(connected bool, err error) *engine.Failure {
	if !connected {
		return &engine.Failure{Stage: engine.StageConnect, Code: engine.CodeUnreachable, Cause: err}
	}
	if errors.Is(err, answerhead.ErrMalformed) {
		return &engine.Failure{Stage: engine.StageSend, Code: engine.CodeMalformed, Cause: err}
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
	end := endOf(resp, body)
	if end == "" {
		return Answer{}, &engine.Failure{Stage: engine.StageSend, Code: engine.CodeUnproven, Cause: errUnprovenEnd}
	}
	return Answer{Status: resp.StatusCode, Header: forwardHeader(resp.Header), Body: body, End: end}, nil
}
