// Package forward sends one attempt of a caller's request to one runner and
// classifies the outcome. The caller of the package decides whether to retry.
package forward

import (
	"bytes"
	"context"
	"io"
	"iter"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cherrystage/cherrystage/internal/answerhead"
	"github.com/cherrystage/cherrystage/internal/board"
	"github.com/cherrystage/cherrystage/internal/credential"
	"github.com/cherrystage/cherrystage/internal/reach"
	"github.com/cherrystage/cherrystage/internal/site"
	"github.com/cherrystage/cherrystage/internal/verdict"
	"github.com/pkg/errors"
)

// RequestMetadata holds what the headers of a caller's request say.
type RequestMetadata struct {
	// ID is the caller's identifier of this attempt.
	ID string
	// Adapter is the requested model, and adapter unless its name is empty. It is
	// the zero value for services without models.
	Adapter      site.Adapter
	PromptTokens int
	OutputTokens int
	// PromptParts yields the IDs of the parts of the prompt that other requests may share, in order.
	PromptParts iter.Seq[string]
	// TokenCounts is the total that the token-count header declares.
	TokenCounts TokenCounts
	// KeyDigest is the digest of the caller's bearer key; it is valid only if HasKey is set.
	KeyDigest credential.Digest
	HasKey    bool
	// ExpectedOutputTokens is the caller's estimate of the response length, 0 if it gives none.
	ExpectedOutputTokens int
	// ClientTimeout is how long the caller waits for the response, 0 if it does not say.
	ClientTimeout time.Duration
	// ResumeAfter is the ID of the last event that the caller received in an earlier response.
	ResumeAfter string
	// Resumes is the ID of the caller's request whose response brought the first event of the
	// stream that this request continues, "" if the caller names none.
	Resumes string
}

// TokenCounts is the number of tokens in prompt and response together, as the caller
// declares it.
type TokenCounts struct {
	Tokens int64
	// Present reports whether the caller declares counts. Err is set if they are malformed.
	Present bool
	Err     error
}

// Caller identifies the owner of a request.
type Caller struct {
	// KeysEnforced reports whether this deployment authenticates callers by key. If so,
	// the key is not forwarded to the runner, and the workspace that this host looked up
	// replaces any that the caller names.
	KeysEnforced bool
	// Workspace is nil on public routes and where keys are not enforced.
	Workspace *site.Workspace
}

// Attempt holds the values that are sent to the runner in the headers of one attempt.
type Attempt struct {
	// Instance identifies the runner that the attempt is addressed to.
	Instance string
	// Remaining is the time until the response is of no use to the caller.
	Remaining time.Duration
	// AdapterVersion is the adapter version required, 0 for any.
	AdapterVersion int64
	// Priority orders the requests that wait at the runner, from 0 (first) to 9.
	Priority int
	// ResumeAfter is the ID of the last event that the caller already has.
	ResumeAfter string
	// Caller is the owner of the request.
	Caller Caller
	// SentBefore reports that the request was sent to this address before. It is given a connection
	// that has carried nothing: on a kept one, the answer to the earlier attempt may arrive again, and
	// it names the same request.
	SentBefore bool
	// OnConnected is called once the request is given a connection, so that it may reach the
	// runner. It may be nil.
	OnConnected func()
}

// Load is the load that a runner reports in a response.
type Load struct {
	Running, Waiting, Slots int
	// WorkPercent is how long work takes on the runner's machine at the moment, as a percentage
	// of the usual time; 0 if the runner does not tell.
	WorkPercent int
}

// ResponseMetadata holds what the headers of a runner's response say.
type ResponseMetadata struct {
	// RequestID identifies the request that the response belongs to.
	RequestID string
	// Stamped reports whether the response carries the runner's stamp.
	Stamped bool
	// NotRun reports whether the runner states that it did not run the request.
	NotRun bool
	// Misdirected reports that another runner now has the address, or that the
	// runner lacks the adapter or its version.
	Misdirected bool
	// Load is nil if the runner does not report it.
	Load *Load
	// Signal is the runner's backpressure signal, nil if no response arrived.
	Signal *board.Signal
}

// Dialect parses and sets the headers of a platform.
type Dialect interface {
	// ParseRequest parses the headers of a caller's request.
	ParseRequest(header http.Header) (RequestMetadata, error)
	// SetRequestHeaders replaces the headers that belong to this layer in header, which
	// holds the end-to-end headers of the caller's headers, source.
	SetRequestHeaders(header, source http.Header, metadata RequestMetadata, attempt Attempt)
	// ParseResponse parses the headers of a runner's response.
	ParseResponse(status int, header http.Header) ResponseMetadata
}

// Request is a caller's request with its complete body.
type Request struct {
	RequestMetadata
	Method string
	Host   string
	// Target is the path and query as the caller sent them.
	Target string
	Header http.Header
	Body   []byte
	// ClientAddr is the remote address of the request, without a port.
	ClientAddr string
	Caller     Caller
}

// WorkspaceName returns the name of the request's workspace, or "" if it has none.
func (r *Request) WorkspaceName() string {
	if r.Caller.Workspace == nil {
		return ""
	}
	return r.Caller.Workspace.Name
}

// Response is a runner's response whose headers have arrived. The caller must
// close its body.
type Response struct {
	Status   int
	Header   http.Header
	Metadata ResponseMetadata
	Body     io.ReadCloser
	// ContentLength is the body's length, -1 if unknown.
	ContentLength int64
	// EndsWithConnection reports that the body has neither a length nor chunks: its end and the
	// end of the runner's process look the same.
	EndsWithConnection bool
	// Relay is the host through which the request was sent, "" if it was sent directly.
	Relay string
}

// Framing is how the end of a response's body is marked.
type Framing string

// Framings of a body.
const (
	FramingLength     Framing = "length"
	FramingChunks     Framing = "chunks"
	FramingConnection Framing = "connection" // it ends with its connection
)

// Framing returns how the end of the body is marked.
func (r *Response) Framing() Framing {
	switch {
	case r.EndsWithConnection:
		return FramingConnection
	case r.ContentLength < 0:
		return FramingChunks
	default:
		return FramingLength
	}
}

// Failure describes an attempt without a complete response to forward.
type Failure struct {
	Verdict verdict.Verdict
	Reason  Reason
	Cause   error
	// Metadata is set if response headers arrived.
	Metadata ResponseMetadata
	// ConnectionLost reports that the connection closed before the response was complete,
	// as it does when the runner's process ends.
	ConnectionLost bool
	// Connected reports that the request was given a connection, so that it may have reached
	// the runner. Relay is the host through which it was sent, "" if it was sent directly.
	Connected bool
	Relay     string
	// Kept reports that the connection had carried requests before this one, and IdleFor for how
	// long it had been unused. On such a connection the answer to an earlier request may arrive again.
	Kept    bool
	IdleFor time.Duration
	// FirstRepeat reports that the runner has sent an answer that was not due, and none in the time before.
	FirstRepeat bool
}

// TruncatedResponse returns the failure for a response whose body ended early.
func TruncatedResponse(metadata ResponseMetadata, cause error) *Failure {
	return &Failure{Verdict: verdict.MayHaveRun, Reason: ReasonBroken, Metadata: metadata, Cause: cause, ConnectionLost: isConnectionClosed(cause)}
}

// isConnectionClosed reports whether err means that the other side closed the connection.
func isConnectionClosed(err error) bool {
	for _, target := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, target) {
			return true
		}
	}
	return false
}

// Reason classifies failures.
type Reason string

// Reasons of failures.
const (
	ReasonConnect  Reason = "connect"  // no connection
	ReasonStalled  Reason = "stalled"  // no connection, because this host stood still
	ReasonRefused  Reason = "refused"  // the runner states that it did not run the request
	ReasonAbsent   Reason = "absent"   // the runner or the adapter is not at this address
	ReasonBroken   Reason = "broken"   // the connection or the response is broken
	ReasonForeign  Reason = "foreign"  // the response does not belong to the request
	ReasonTimeout  Reason = "timeout"  // the deadline passed
	ReasonCanceled Reason = "canceled" // the attempt was canceled
)

// Error implements error.
func (f *Failure) Error() string {
	text := string(f.Reason) + " (" + f.Verdict.String() + ")"
	if f.Cause != nil {
		text += ": " + f.Cause.Error()
	}
	return text
}

const (
	// idleTimeout is shorter than the runners' own idle timeout, so that a request
	// is not sent on a connection that the runner is closing.
	idleTimeout = 4 * time.Second
	// idlePerRunner covers the usual load of one host.
	idlePerRunner = 32
	// bufferBytes is small because an event has a few hundred bytes and each open
	// stream holds its buffers.
	bufferBytes = 2 << 10
	// maxResponseHeadBytes bounds the head of an answer; net/http would keep 10 MB of each.
	maxResponseHeadBytes = 64 << 10
)

// Paths connects to runners, directly or through another host.
type Paths interface {
	// Direct reports whether a connection to a runner should be tried directly first, MayRelay
	// whether another host may be asked for one.
	Direct(address string) bool
	MayRelay(address string) bool
	// Heard records that a runner answered on a direct connection.
	Heard()
	DialDirect(ctx context.Context, network, address string) (net.Conn, error)
	DialRelayed(ctx context.Context, network, address string) (net.Conn, error)
}

// Client sends attempts to runners. It is safe for concurrent use.
type Client struct {
	dialect         Dialect
	paths           Paths
	direct, relayed *answerhead.Transport
	// unused gives each request a direct connection that has carried nothing.
	unused    *answerhead.Transport
	repeaters repeaters
}

// NewClient returns a client that connects to runners by paths.
func NewClient(dialect Dialect, paths Paths) *Client {
	return &Client{
		dialect: dialect,
		paths:   paths,
		direct:  newTransport(paths.DialDirect, keepAlive),
		// Each tunnel serves one request, so that none is used once the direct path is back or the
		// relay stops.
		relayed: newTransport(paths.DialRelayed, singleUse),
		unused:  newTransport(paths.DialDirect, singleUse),
	}
}

// connUse is whether a connection serves further requests.
type connUse bool

const (
	keepAlive connUse = true
	singleUse connUse = false
)

func newTransport(dial func(ctx context.Context, network, address string) (net.Conn, error), use connUse) *answerhead.Transport {
	return &answerhead.Transport{Base: &http.Transport{
		DialContext:         dial,
		DisableKeepAlives:   use == singleUse,
		MaxIdleConnsPerHost: idlePerRunner,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
		ReadBufferSize:      bufferBytes,
		WriteBufferSize:     bufferBytes,
		// A runner in trouble may send a head without an end.
		MaxResponseHeaderBytes: maxResponseHeadBytes,
	}}
}

// CloseIdleConnections closes the idle direct connections.
func (c *Client) CloseIdleConnections() { c.direct.CloseIdleConnections() }

// Do makes one attempt. It returns once the response headers have arrived.
func (c *Client) Do(ctx context.Context, address string, request *Request, attempt Attempt) (*Response, *Failure) {
	response, sent := c.roundTrip(ctx, address, request, attempt)
	if sent.err != nil {
		failure := roundTripFailure(ctx, sent.err, sent.connected())
		sent.describe(failure)
		return nil, failure
	}
	metadata := c.dialect.ParseResponse(response.StatusCode, response.Header)
	if failure := checkResponse(request, response, metadata); failure != nil {
		_ = response.Body.Close()
		sent.describe(failure)
		if failure.Kept && metadata.RequestID != request.ID {
			failure.FirstRepeat = c.repeaters.note(address, time.Now())
		}
		return nil, failure
	}
	return &Response{
		Status:        response.StatusCode,
		Header:        endToEnd(response.Header),
		Metadata:      metadata,
		Body:          response.Body,
		ContentLength: response.ContentLength,

		EndsWithConnection: response.ContentLength < 0 && len(response.TransferEncoding) == 0 && request.Method != http.MethodHead,
		Relay:              sent.relay(),
	}, nil
}

// trip is the outcome of sending a request by one path.
type trip struct {
	// conn is the connection that the request was sent on, nil if there was none.
	conn atomic.Pointer[httptrace.GotConnInfo]
	err  error
}

func (t *trip) connected() bool { return t.conn.Load() != nil }

// describe records in a failure by which connection the request was sent.
func (t *trip) describe(failure *Failure) {
	conn := t.conn.Load()
	if conn == nil {
		return
	}
	failure.Connected, failure.Relay = true, reach.RelayOf(conn.Conn)
	failure.Kept, failure.IdleFor = conn.Reused, conn.IdleTime
}

// relay returns the host through which the request was sent, or "".
func (t *trip) relay() string {
	conn := t.conn.Load()
	if conn == nil {
		return ""
	}
	return reach.RelayOf(conn.Conn)
}

// roundTrip sends the request directly, or through a relay if no direct connection can be made, or
// the other way round where a relay is more likely to reach the runner. A request that was given a
// connection is not sent again. Where this host stood still while it connected, it tries that path
// once more.
func (c *Client) roundTrip(ctx context.Context, address string, request *Request, attempt Attempt) (*http.Response, *trip) {
	first, second := c.sendDirect, c.sendRelayed
	if !c.paths.Direct(address) {
		first, second = second, first
	}
	began, remaining := time.Now(), attempt.Remaining
	response, tried := first(ctx, address, request, attempt)
	if errors.Is(tried.err, reach.ErrStoodStill) && !tried.connected() && ctx.Err() == nil {
		attempt.Remaining = remaining - time.Since(began)
		response, tried = first(ctx, address, request, attempt)
	}
	if tried.err == nil || tried.connected() || ctx.Err() != nil {
		return response, tried
	}
	attempt.Remaining = remaining - time.Since(began)
	if response, other := second(ctx, address, request, attempt); other.err == nil || other.connected() {
		return response, other
	}
	return nil, tried
}

func (c *Client) sendDirect(ctx context.Context, address string, request *Request, attempt Attempt) (*http.Response, *trip) {
	transport := c.direct
	if attempt.SentBefore || c.repeaters.has(address, time.Now()) {
		transport = c.unused
	}
	response, sent := c.send(ctx, transport, address, request, attempt)
	if sent.err == nil {
		c.paths.Heard()
	}
	return response, sent
}

func (c *Client) sendRelayed(ctx context.Context, address string, request *Request, attempt Attempt) (*http.Response, *trip) {
	if !c.paths.MayRelay(address) {
		return nil, &trip{err: errNoRelay}
	}
	return c.send(ctx, c.relayed, address, request, attempt)
}

var errNoRelay = errors.New("no relay reached the runner lately")

func (c *Client) send(ctx context.Context, transport *answerhead.Transport, address string, request *Request, attempt Attempt) (*http.Response, *trip) {
	t := &trip{}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			t.conn.Store(&info)
			if attempt.OnConnected != nil {
				attempt.OnConnected()
			}
		},
	})
	var response *http.Response
	response, t.err = transport.RoundTrip(c.runnerRequest(address, request, attempt).WithContext(ctx))
	return response, t
}

// runnerRequest builds the request to the runner. Its body is never replayable,
// not even an empty one: net/http would silently resend a GET when a kept-alive
// connection breaks, and the request would run twice.
func (c *Client) runnerRequest(address string, request *Request, attempt Attempt) *http.Request {
	header := endToEnd(request.Header)
	c.dialect.SetRequestHeaders(header, request.Header, request.RequestMetadata, attempt)
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = nil
	}
	return &http.Request{
		Method:        request.Method,
		URL:           runnerURL(address, request.Target),
		Host:          request.Host,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        header,
		Body:          io.NopCloser(bytes.NewReader(request.Body)),
		ContentLength: int64(len(request.Body)),
	}
}

func roundTripFailure(ctx context.Context, err error, connected bool) *Failure {
	failure := &Failure{Verdict: verdict.MayHaveRun, Reason: ReasonBroken, Cause: err, ConnectionLost: connected && isConnectionClosed(err)}
	if !connected {
		failure.Verdict = verdict.NotRun
		failure.Reason = ReasonConnect
	}
	if !connected && errors.Is(err, reach.ErrStoodStill) {
		failure.Reason = ReasonStalled
	}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		failure.Reason = ReasonTimeout
	case ctx.Err() != nil:
		failure.Reason = ReasonCanceled
	}
	return failure
}

// checkResponse returns a failure if the response must not be forwarded.
func checkResponse(request *Request, response *http.Response, metadata ResponseMetadata) *Failure {
	if metadata.RequestID == "" || metadata.RequestID != request.ID {
		// A response to an earlier request on the connection may arrive again, in place of this
		// one's, which then runs. Only the ID tells them apart, and the signals in it are as old as
		// it is: a limit may have been lifted since.
		return &Failure{Verdict: verdict.MayHaveRun, Reason: ReasonForeign, Metadata: ResponseMetadata{RequestID: metadata.RequestID}, Cause: errors.Errorf("status %d names request %q", response.StatusCode, metadata.RequestID)}
	}
	if metadata.NotRun || metadata.Misdirected {
		reason := ReasonRefused
		if metadata.Misdirected {
			reason = ReasonAbsent
		}
		return &Failure{Verdict: verdict.NotRun, Reason: reason, Metadata: metadata, Cause: errors.Errorf("status %d", response.StatusCode)}
	}
	if statusImpliesNotRun[response.StatusCode] {
		// These statuses tell a caller that its request did not run, but only the
		// runner's not-run header proves it.
		return &Failure{Verdict: verdict.MayHaveRun, Reason: ReasonBroken, Metadata: metadata, Cause: errors.Errorf("status %d without a not-run header", response.StatusCode)}
	}
	success := response.StatusCode/100 == 2
	if success && (!metadata.Stamped || response.Header.Get("Content-Encoding") != "") {
		return &Failure{Verdict: verdict.MayHaveRun, Reason: ReasonForeign, Metadata: metadata, Cause: errors.New("success status without the runner's stamp, or with a content encoding")}
	}
	return nil
}

// statusImpliesNotRun holds the statuses that tell a caller that its request did not run.
var statusImpliesNotRun = map[int]bool{
	http.StatusRequestTimeout:     true,
	http.StatusMisdirectedRequest: true,
	http.StatusTooManyRequests:    true,
	http.StatusServiceUnavailable: true,
}

// hopByHop holds the headers that apply to a single connection.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true,
	"Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Proxy-Authenticate": true, "Proxy-Authorization": true, "Content-Length": true,
}

// endToEnd returns a copy of header without hop-by-hop headers.
func endToEnd(header http.Header) http.Header {
	connectionSpecific := map[string]bool{}
	for _, line := range header["Connection"] {
		for _, token := range strings.Split(line, ",") {
			connectionSpecific[http.CanonicalHeaderKey(strings.TrimSpace(token))] = true
		}
	}
	kept := make(http.Header, len(header))
	for name, values := range header {
		if !hopByHop[name] && !connectionSpecific[name] {
			kept[name] = values
		}
	}
	return kept
}
