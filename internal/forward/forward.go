// Package forward makes one attempt of a caller's request on one runner and
// says what came of it. Whether to try again is decided elsewhere.
package forward

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cherrystage/cherrystage/internal/board"
	"github.com/cherrystage/cherrystage/internal/credential"
	"github.com/cherrystage/cherrystage/internal/site"
	"github.com/cherrystage/cherrystage/internal/verdict"
	"github.com/pkg/errors"
)

// RequestMetadata is what a caller's headers say of its request.
type RequestMetadata struct {
	// ID names this attempt of the caller.
	ID string
	// Adapter names the model, and the adapter unless its name is empty. It is
	// zero for services without models.
	Adapter      site.Adapter
	PromptTokens int
	OutputTokens int
	// TokenCounts is what the caller's numbers of tokens come to.
	TokenCounts TokenCounts
	// KeyDigest is the digest of the caller's bearer key, HasKey whether there is one.
	KeyDigest credential.Digest
	HasKey    bool
	// ExpectedOutputTokens is the caller's estimate of the answer's length, 0 if it has none.
	ExpectedOutputTokens int
	// ClientTimeout is how long the caller waits for the answer; 0 if it does not say.
	ClientTimeout time.Duration
	// ResumeAfter is the last event that the caller has of an earlier answer.
	ResumeAfter string
}

// TokenCounts is the number of tokens of a request, of its prompt and its answer together,
// as its caller tells it.
type TokenCounts struct {
	Tokens int64
	// Present says that the caller tells numbers, Err what is wrong with them.
	Present bool
	Err     error
}

// Caller is whose request it is.
type Caller struct {
	// KeysEnforced says that callers' keys count here: the runner gets no key, and the
	// workspace that this host found in place of one that the caller names.
	KeysEnforced bool
	// Workspace is nil on public routes and where keys do not count.
	Workspace *site.Workspace
}

// Attempt is what an attempt's headers tell the runner.
type Attempt struct {
	// Instance is the runner that the request is meant for.
	Instance string
	// Remaining is the time after which the answer is of no use.
	Remaining time.Duration
	// AdapterVersion is the version that must serve; 0 for any.
	AdapterVersion int64
	// Priority is the request's place among those that wait at the runner, from
	// 0, the first, to 9.
	Priority int
	// ResumeAfter is the last event that the caller already has.
	ResumeAfter string
	// Caller is whose request it is.
	Caller Caller
}

// Load is what a runner says of its load in an answer.
type Load struct {
	Running, Waiting, Slots int
}

// ResponseMetadata is what an answer's headers say beside the answer itself.
type ResponseMetadata struct {
	// RequestID is the request that the answer belongs to.
	RequestID string
	// Stamped answers carry the runner's mark.
	Stamped bool
	// NotRun is the runner's word that it did not run the request.
	NotRun bool
	// Misdirected: another runner has the address, or the adapter or its
	// version is not there.
	Misdirected bool
	// Load is nil where the runner does not tell it.
	Load *Load
	// Signal is what the runner asks of the hosts, nil where no answer came.
	Signal *board.Signal
}

// Dialect reads and writes the platform's headers.
type Dialect interface {
	// ParseRequest reads a caller's headers.
	ParseRequest(header http.Header) (RequestMetadata, error)
	// SetRequestHeaders replaces the headers that belong to this layer. The header is what
	// goes on of the caller's header, source.
	SetRequestHeaders(header, source http.Header, ask RequestMetadata, send Attempt)
	// ParseResponse reads an answer's headers.
	ParseResponse(status int, header http.Header) ResponseMetadata
}

// Request is a caller's request, read whole.
type Request struct {
	RequestMetadata
	Method string
	Host   string
	// Target is the request's path and query as the caller sent them.
	Target string
	Header http.Header
	Body   []byte
	// ClientAddr is the address that the request came from, without a port.
	ClientAddr string
	Caller     Caller
}

// WorkspaceName gives the name of the request's workspace, empty where it has none.
func (r *Request) WorkspaceName() string {
	if r.Caller.Workspace == nil {
		return ""
	}
	return r.Caller.Workspace.Name
}

// Response is a runner's answer whose headers have arrived. Its body must be
// closed.
type Response struct {
	Status   int
	Header   http.Header
	Metadata ResponseMetadata
	Body     io.ReadCloser
	// ContentLength is the body's length, -1 where the runner does not tell it.
	ContentLength int64
}

// Failure is an attempt that brought no answer to pass on.
type Failure struct {
	Verdict verdict.Verdict
	Reason  Reason
	Cause   error
	// Metadata is set where an answer came.
	Metadata ResponseMetadata
	// ConnectionLost says that the connection ended before the whole answer was there, as it does
	// when the runner's process ends.
	ConnectionLost bool
}

// TruncatedResponse gives the failure of an answer whose body ended before it was whole.
func TruncatedResponse(told ResponseMetadata, cause error) *Failure {
	return &Failure{Verdict: verdict.MayHaveRun, Reason: ReasonBroken, Metadata: told, Cause: cause, ConnectionLost: ended(cause)}
}

// ended says whether an error is that of a connection that the other side ended.
func ended(err error) bool {
	for _, end := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, end) {
			return true
		}
	}
	return false
}

// Reason classifies failures.
type Reason string

// Reasons of failures.
const (
	ReasonConnect  Reason = "connect"
	ReasonRefused  Reason = "refused"
	ReasonAbsent   Reason = "absent"
	ReasonBroken   Reason = "broken"
	ReasonForeign  Reason = "foreign"
	ReasonTimeout  Reason = "timeout"
	ReasonCanceled Reason = "canceled"
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
	// connectTimeout bounds the set-up of a connection. A runner is at most a
	// few milliseconds away; one that takes longer is silent or full.
	connectTimeout = 400 * time.Millisecond
	// idleTimeout is how long an idle connection is kept. It is shorter than the
	// runners', so that a request does not meet a connection that is closing.
	idleTimeout = 4 * time.Second
	// idlePerRunner keeps connections enough for the usual load of one host.
	idlePerRunner = 32
	// bufferBytes is small: an event is some hundred bytes, and each open stream
	// holds its buffers.
	bufferBytes = 2 << 10
)

// Client makes attempts. It is safe for concurrent use.
type Client struct {
	dialect   Dialect
	transport *http.Transport
	dialed    atomic.Int64
}

// NewClient makes a client.
func NewClient(dialect Dialect, dial func(ctx context.Context, network, address string) (net.Conn, error)) *Client {
	c := &Client{dialect: dialect}
	c.transport = &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, connectTimeout)
			defer cancel()
			c.dialed.Add(1)
			return dial(ctx, network, address)
		},
		MaxIdleConnsPerHost: idlePerRunner,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
		ReadBufferSize:      bufferBytes,
		WriteBufferSize:     bufferBytes,
	}
	return c
}

// Dialed gives the number of connections that were opened.
func (c *Client) Dialed() int64 { return c.dialed.Load() }

// Do makes one attempt. It returns when the answer's headers are there.
func (c *Client) Do(ctx context.Context, address string, request *Request, send Attempt) (*Response, *Failure) {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	out := c.outgoing(address, request, send).WithContext(ctx)
	response, err := c.transport.RoundTrip(out)
	if err != nil {
		return nil, failure(ctx, err, connected.Load())
	}
	told := c.dialect.ParseResponse(response.StatusCode, response.Header)
	if refusal := judge(request, response, told); refusal != nil {
		_ = response.Body.Close()
		return nil, refusal
	}
	return &Response{
		Status:        response.StatusCode,
		Header:        endToEnd(response.Header),
		Metadata:      told,
		Body:          response.Body,
		ContentLength: response.ContentLength,
	}, nil
}

// outgoing builds the request that the runner gets. Its body is never
// replayable for net/http, which otherwise sends a GET a second time by itself
// when a kept connection breaks: a second run that nobody counted.
func (c *Client) outgoing(address string, request *Request, send Attempt) *http.Request {
	header := endToEnd(request.Header)
	c.dialect.SetRequestHeaders(header, request.Header, request.RequestMetadata, send)
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = nil
	}
	return &http.Request{
		Method:        request.Method,
		URL:           &url.URL{Scheme: "http", Host: address, Opaque: request.Target},
		Host:          request.Host,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        header,
		Body:          io.NopCloser(bytes.NewReader(request.Body)),
		ContentLength: int64(len(request.Body)),
	}
}

func failure(ctx context.Context, err error, connected bool) *Failure {
	result := &Failure{Verdict: verdict.MayHaveRun, Reason: ReasonBroken, Cause: err, ConnectionLost: connected && ended(err)}
	if !connected {
		result.Verdict = verdict.NotRun
		result.Reason = ReasonConnect
	}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		result.Reason = ReasonTimeout
	case ctx.Err() != nil:
		result.Reason = ReasonCanceled
	}
	return result
}

// judge says whether an answer is one to pass on.
func judge(request *Request, response *http.Response, told ResponseMetadata) *Failure {
	if told.RequestID != "" && told.RequestID != request.ID {
		// A late second answer to an earlier request arrives where this one's is
		// due. Passed on, a caller would get somebody else's answer.
		return &Failure{Verdict: verdict.MayHaveRun, Reason: ReasonForeign, Metadata: told, Cause: errors.Errorf("answer to request %q", told.RequestID)}
	}
	if told.NotRun || told.Misdirected {
		reason := ReasonRefused
		if told.Misdirected {
			reason = ReasonAbsent
		}
		return &Failure{Verdict: verdict.NotRun, Reason: reason, Metadata: told, Cause: errors.Errorf("status %d", response.StatusCode)}
	}
	if promises[response.StatusCode] {
		// To a caller these statuses say that the request has not run. Only the
		// runner's explicit word says so.
		return &Failure{Verdict: verdict.MayHaveRun, Reason: ReasonBroken, Metadata: told, Cause: errors.Errorf("status %d without the word that the request has not run", response.StatusCode)}
	}
	success := response.StatusCode/100 == 2
	if success && (!told.Stamped || told.RequestID == "" || response.Header.Get("Content-Encoding") != "") {
		return &Failure{Verdict: verdict.MayHaveRun, Reason: ReasonForeign, Metadata: told, Cause: errors.New("a success without the runner's marks")}
	}
	return nil
}

// promises are the statuses by which a caller knows that its request has not
// run.
var promises = map[int]bool{
	http.StatusRequestTimeout:     true,
	http.StatusMisdirectedRequest: true,
	http.StatusTooManyRequests:    true,
	http.StatusServiceUnavailable: true,
}

// hopByHop are headers that concern one connection only.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true,
	"Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Proxy-Authenticate": true, "Proxy-Authorization": true, "Content-Length": true,
}

// endToEnd copies the headers that go on to the next hop.
func endToEnd(header http.Header) http.Header {
	named := map[string]bool{}
	for _, line := range header["Connection"] {
		for _, name := range strings.Split(line, ",") {
			named[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	kept := make(http.Header, len(header))
	for name, values := range header {
		if !hopByHop[name] && !named[name] {
			kept[name] = values
		}
	}
	return kept
}
