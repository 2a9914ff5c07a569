package forward

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/cherrystage/cherrystage/internal/verdict"
	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
)

// What a runner answers decides whether its answer is passed on and whether the request
// has run. A wrong "not run" has a request run twice; a wrong success gives a caller
// somebody else's answer, or half of one.
func TestAnswersAreJudged(t *testing.T) {
	request := &Request{RequestMetadata: RequestMetadata{ID: "q"}}
	whole := ResponseMetadata{RequestID: "q", Stamped: true}
	for name, test := range map[string]struct {
		status  int
		told    ResponseMetadata
		header  http.Header
		passed  bool
		reason  Reason
		verdict verdict.Verdict
	}{
		"a whole success":                       {status: 200, told: whole, passed: true},
		"the runner's own failure":              {status: 500, told: whole, passed: true},
		"another request's answer":              {status: 200, told: ResponseMetadata{RequestID: "p", Stamped: true}, reason: ReasonForeign, verdict: verdict.MayHaveRun},
		"a success without a mark":              {status: 200, told: ResponseMetadata{RequestID: "q"}, reason: ReasonForeign, verdict: verdict.MayHaveRun},
		"a success without its request":         {status: 200, told: ResponseMetadata{Stamped: true}, reason: ReasonForeign, verdict: verdict.MayHaveRun},
		"an encoded success":                    {status: 200, told: whole, header: http.Header{"Content-Encoding": {"gzip"}}, reason: ReasonForeign, verdict: verdict.MayHaveRun},
		"full, and says that it has not run it": {status: 503, told: ResponseMetadata{RequestID: "q", NotRun: true}, reason: ReasonRefused, verdict: verdict.NotRun},
		"another runner has the address":        {status: 421, told: ResponseMetadata{RequestID: "q", Misdirected: true}, reason: ReasonAbsent, verdict: verdict.NotRun},
		"503 without the word":                  {status: 503, told: ResponseMetadata{RequestID: "q"}, reason: ReasonBroken, verdict: verdict.MayHaveRun},
		"429 without the word":                  {status: 429, told: ResponseMetadata{RequestID: "q"}, reason: ReasonBroken, verdict: verdict.MayHaveRun},
		"408 without the word":                  {status: 408, told: whole, reason: ReasonBroken, verdict: verdict.MayHaveRun},
	} {
		t.Run(name, func(t *testing.T) {
			if test.header == nil {
				test.header = http.Header{}
			}
			failure := judge(request, &http.Response{StatusCode: test.status, Header: test.header}, test.told)
			if test.passed {
				must.Nil(t, failure)
				return
			}
			must.Eq(t, test.reason, failure.Reason)
			must.Eq(t, test.verdict, failure.Verdict)
		})
	}
}

// A runner's process ends in the middle of an answer, and its connections end with it.
// Failures that have other causes say nothing of that: a runner that answers nonsense
// lives, and what this host ends itself was not cut off.
func TestAnswersThatAreCutOff(t *testing.T) {
	reset := &net.OpError{Op: "read", Err: syscall.ECONNRESET}
	for _, cause := range []error{io.EOF, io.ErrUnexpectedEOF, reset, errors.Wrap(reset, "read")} {
		must.True(t, TruncatedResponse(ResponseMetadata{}, cause).ConnectionLost, must.Sprint(cause))
		must.True(t, failure(t.Context(), cause, true).ConnectionLost, must.Sprint(cause))
		must.False(t, failure(t.Context(), cause, false).ConnectionLost, must.Sprint("the request was not sent: ", cause))
	}
	for _, cause := range []error{errors.New("malformed HTTP response"), context.DeadlineExceeded} {
		must.False(t, TruncatedResponse(ResponseMetadata{}, cause).ConnectionLost, must.Sprint(cause))
		must.False(t, failure(t.Context(), cause, true).ConnectionLost, must.Sprint(cause))
	}
}

// Headers of one connection do not go on: a caller could name another header there and
// have this layer drop it, or keep a runner's connection from being used again.
func TestHeadersOfOneConnectionStay(t *testing.T) {
	kept := endToEnd(http.Header{
		"Connection": {"X-Private, close"}, "X-Private": {"1"}, "Te": {"trailers"}, "Transfer-Encoding": {"chunked"}, "Content-Length": {"3"}, "X-Kept": {"1"},
	})
	must.Eq(t, http.Header{"X-Kept": {"1"}}, kept)
}

// plain reads and writes no headers of its own.
type plain struct{}

func (plain) ParseRequest(http.Header) (RequestMetadata, error)                { return RequestMetadata{}, nil }
func (plain) SetRequestHeaders(_, _ http.Header, _ RequestMetadata, _ Attempt) {}
func (plain) ParseResponse(_ int, header http.Header) (t ResponseMetadata) {
	return ResponseMetadata{RequestID: header.Get("Id")}
}

// A runner cannot be reached, or breaks off after it has the request. Only the first has
// certainly not run it.
func TestVerdictsOfConnections(t *testing.T) {
	for name, test := range map[string]struct {
		dial    func(ctx context.Context, network, address string) (net.Conn, error)
		reason  Reason
		verdict verdict.Verdict
	}{
		"no connection": {
			dial:   func(context.Context, string, string) (net.Conn, error) { return nil, errors.New("refused") },
			reason: ReasonConnect, verdict: verdict.NotRun,
		},
		"a connection that breaks": {
			dial: func(context.Context, string, string) (net.Conn, error) {
				near, far := net.Pipe()
				go func() {
					_, _ = far.Read(make([]byte, 1))
					_ = far.Close()
				}()
				return near, nil
			},
			reason: ReasonBroken, verdict: verdict.MayHaveRun,
		},
	} {
		t.Run(name, func(t *testing.T) {
			client := NewClient(plain{}, test.dial)
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			request := &Request{Method: http.MethodGet, Host: "h", Target: "/x", Header: http.Header{}, Body: []byte(strings.Repeat("x", 10))}
			answer, failure := client.Do(ctx, "r:80", request, Attempt{})
			must.Nil(t, answer)
			must.Eq(t, test.reason, failure.Reason)
			must.Eq(t, test.verdict, failure.Verdict)
			must.Eq(t, 1, client.Dialed())
		})
	}
}
