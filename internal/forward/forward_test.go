package forward

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cherrystage/cherrystage/internal/board"
	"github.com/cherrystage/cherrystage/internal/reach"
	"github.com/cherrystage/cherrystage/internal/verdict"
	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
)

// A runner's status and headers decide whether its response is forwarded and whether the
// request has run. A wrong "not run" lets a request run twice; a wrong success gives a
// caller somebody else's response, or part of one.
func TestResponsesAreClassified(t *testing.T) {
	request := &Request{RequestMetadata: RequestMetadata{ID: "q"}}
	complete := ResponseMetadata{RequestID: "q", Stamped: true}
	for name, test := range map[string]struct {
		status   int
		metadata ResponseMetadata
		header   http.Header
		accepted bool
		reason   Reason
		verdict  verdict.Verdict
	}{
		"complete success":                {status: 200, metadata: complete, accepted: true},
		"error of the runner":             {status: 500, metadata: complete, accepted: true},
		"response to another request":     {status: 200, metadata: ResponseMetadata{RequestID: "p", Stamped: true}, reason: ReasonForeign, verdict: verdict.MayHaveRun},
		"success without a stamp":         {status: 200, metadata: ResponseMetadata{RequestID: "q"}, reason: ReasonForeign, verdict: verdict.MayHaveRun},
		"success without a request ID":    {status: 200, metadata: ResponseMetadata{Stamped: true}, reason: ReasonForeign, verdict: verdict.MayHaveRun},
		"503 not run without an ID":       {status: 503, metadata: ResponseMetadata{NotRun: true}, reason: ReasonForeign, verdict: verdict.MayHaveRun},
		"503 not run of another request":  {status: 503, metadata: ResponseMetadata{RequestID: "p", NotRun: true}, reason: ReasonForeign, verdict: verdict.MayHaveRun},
		"421 without an ID":               {status: 421, metadata: ResponseMetadata{Misdirected: true, NotRun: true}, reason: ReasonForeign, verdict: verdict.MayHaveRun},
		"error without an ID":             {status: 500, metadata: ResponseMetadata{Stamped: true}, reason: ReasonForeign, verdict: verdict.MayHaveRun},
		"success with a content encoding": {status: 200, metadata: complete, header: http.Header{"Content-Encoding": {"gzip"}}, reason: ReasonForeign, verdict: verdict.MayHaveRun},
		"503 marked not run":              {status: 503, metadata: ResponseMetadata{RequestID: "q", NotRun: true}, reason: ReasonRefused, verdict: verdict.NotRun},
		"runner is at another address":    {status: 421, metadata: ResponseMetadata{RequestID: "q", Misdirected: true}, reason: ReasonAbsent, verdict: verdict.NotRun},
		"503 without a not-run mark":      {status: 503, metadata: ResponseMetadata{RequestID: "q"}, reason: ReasonBroken, verdict: verdict.MayHaveRun},
		"429 without a not-run mark":      {status: 429, metadata: ResponseMetadata{RequestID: "q"}, reason: ReasonBroken, verdict: verdict.MayHaveRun},
		"408 without a not-run mark":      {status: 408, metadata: complete, reason: ReasonBroken, verdict: verdict.MayHaveRun},
	} {
		t.Run(name, func(t *testing.T) {
			if test.header == nil {
				test.header = http.Header{}
			}
			failure := checkResponse(request, &http.Response{StatusCode: test.status, Header: test.header}, test.metadata)
			if test.accepted {
				must.Nil(t, failure)
				return
			}
			must.Eq(t, test.reason, failure.Reason)
			must.Eq(t, test.verdict, failure.Verdict)
		})
	}
}

// Guards against a limit, a pause or a drain notice that is read again from an answer that is not due: it
// may have been lifted since.
func TestAnswerThatIsNotDueSignalsNothing(t *testing.T) {
	request := &Request{RequestMetadata: RequestMetadata{ID: "q"}}
	for _, id := range []string{"", "p"} {
		metadata := ResponseMetadata{RequestID: id, NotRun: true, Load: &Load{Slots: 1}, Signal: &board.Signal{Limited: true}}
		failure := checkResponse(request, &http.Response{StatusCode: http.StatusServiceUnavailable, Header: http.Header{}}, metadata)
		must.Nil(t, failure.Metadata.Signal)
		must.Nil(t, failure.Metadata.Load)
	}
}

// When a runner's process ends in the middle of a response, its connections close. Other
// failures must not count as that: a runner that sends a malformed response is alive, and
// a deadline of this host closes the connection on this side.
func TestLostConnectionsAreDetected(t *testing.T) {
	reset := &net.OpError{Op: "read", Err: syscall.ECONNRESET}
	for _, cause := range []error{io.EOF, io.ErrUnexpectedEOF, reset, errors.Wrap(reset, "read")} {
		must.True(t, TruncatedResponse(ResponseMetadata{}, cause).ConnectionLost, must.Sprint(cause))
		must.True(t, roundTripFailure(t.Context(), cause, true).ConnectionLost, must.Sprint(cause))
		must.False(t, roundTripFailure(t.Context(), cause, false).ConnectionLost, must.Sprint("the request was not sent: ", cause))
	}
	for _, cause := range []error{errors.New("malformed HTTP response"), context.DeadlineExceeded} {
		must.False(t, TruncatedResponse(ResponseMetadata{}, cause).ConnectionLost, must.Sprint(cause))
		must.False(t, roundTripFailure(t.Context(), cause, true).ConnectionLost, must.Sprint(cause))
	}
}

// Hop-by-hop headers are not forwarded: through Connection a caller could have this layer
// drop another header, or keep a runner's connection from being reused.
func TestHopByHopHeadersAreDropped(t *testing.T) {
	kept := endToEnd(http.Header{
		"Connection": {"X-Private, close"}, "X-Private": {"1"}, "Te": {"trailers"}, "Transfer-Encoding": {"chunked"}, "Content-Length": {"3"}, "X-Kept": {"1"},
	})
	must.Eq(t, http.Header{"X-Kept": {"1"}}, kept)
}

// stubDialect parses only the request ID of a response.
type stubDialect struct{}

func (stubDialect) ParseRequest(http.Header) (RequestMetadata, error)                { return RequestMetadata{}, nil }
func (stubDialect) SetRequestHeaders(_, _ http.Header, _ RequestMetadata, _ Attempt) {}
func (stubDialect) ParseResponse(_ int, header http.Header) (t ResponseMetadata) {
	return ResponseMetadata{RequestID: header.Get("Id")}
}

// A runner that cannot be reached has certainly not run the request; one whose connection
// breaks after it received the request may have.
func TestVerdictsOfConnectionFailures(t *testing.T) {
	for name, test := range map[string]struct {
		dial    func(ctx context.Context, network, address string) (net.Conn, error)
		reason  Reason
		verdict verdict.Verdict
	}{
		"no connection": {
			dial:   func(context.Context, string, string) (net.Conn, error) { return nil, errors.New("refused") },
			reason: ReasonConnect, verdict: verdict.NotRun,
		},
		"connection breaks": {
			dial: func(context.Context, string, string) (net.Conn, error) {
				local, remote := net.Pipe()
				go func() {
					_, _ = remote.Read(make([]byte, 1))
					_ = remote.Close()
				}()
				return local, nil
			},
			reason: ReasonBroken, verdict: verdict.MayHaveRun,
		},
	} {
		t.Run(name, func(t *testing.T) {
			paths := reach.DirectOnly(test.dial)
			client := NewClient(stubDialect{}, paths)
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			request := &Request{Method: http.MethodGet, Host: "h", Target: "/x", Header: http.Header{}, Body: []byte(strings.Repeat("x", 10))}
			answer, failure := client.Do(ctx, "r:80", request, Attempt{})
			must.Nil(t, answer)
			must.Eq(t, test.reason, failure.Reason)
			must.Eq(t, test.verdict, failure.Verdict)
			must.Eq(t, 1, paths.Dialed())
		})
	}
}

// remainingDialect notes the time that each attempt has left.
type remainingDialect struct {
	stubDialect
	remaining []time.Duration
}

func (d *remainingDialect) SetRequestHeaders(_, _ http.Header, _ RequestMetadata, attempt Attempt) {
	d.remaining = append(d.remaining, attempt.Remaining)
}

// suspendedPaths play a host that is suspended during its first dial to a runner, which lasts for a
// time; the runner answers the second.
type suspendedPaths struct {
	length         time.Duration
	dials, relayed int
}

func (p *suspendedPaths) Direct(string) bool   { return true }
func (p *suspendedPaths) MayRelay(string) bool { return true }
func (p *suspendedPaths) Heard()               {}

func (p *suspendedPaths) Ended(context.Context, string) bool { return false }

func (p *suspendedPaths) DialRelayed(context.Context, string, string) (net.Conn, error) {
	p.relayed++
	return nil, errors.New("no relay")
}

func (p *suspendedPaths) DialDirect(context.Context, string, string) (net.Conn, error) {
	p.dials++
	if p.dials == 1 {
		time.Sleep(p.length)
		return nil, errors.Wrap(reach.ErrStoodStill, "timeout")
	}
	local, remote := net.Pipe()
	go func() {
		_, _ = http.ReadRequest(bufio.NewReader(remote))
		_, _ = io.WriteString(remote, "HTTP/1.1 500 Failed\r\nId: q\r\nContent-Length: 0\r\n\r\n")
	}()
	return local, nil
}

// A host is suspended while it connects to a runner for a request. The connection is tried again. The
// runner has to learn how much of the request's time is left by then; otherwise it would work on for
// a caller that has left.
func TestRequestIsSentAfterAStandstill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		paths, dialect := &suspendedPaths{length: 1500 * time.Millisecond}, &remainingDialect{}
		client := NewClient(dialect, paths)
		ctx, cancel := context.WithTimeout(t.Context(), 4*time.Second)
		defer cancel()
		request := &Request{RequestMetadata: RequestMetadata{ID: "q"}, Method: http.MethodGet, Host: "h", Target: "/x", Header: http.Header{}}
		answer, failure := client.Do(ctx, "r:80", request, Attempt{Remaining: 4 * time.Second})
		must.Nil(t, failure)
		_ = answer.Body.Close()
		client.CloseIdleConnections()
		must.Eq(t, []time.Duration{4 * time.Second, 2500 * time.Millisecond}, dialect.remaining)
		must.Eq(t, 2, paths.dials)
		must.Eq(t, 0, paths.relayed)
	})
}
