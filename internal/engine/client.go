package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cherrystage/cherrystage/internal/answerhead"
	"github.com/pkg/errors"
)

// Config configures a client. All durations must be positive.
type Config struct {
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// ConnectTimeout bounds connection set-up.
	ConnectTimeout time.Duration
	// FirstPieceTimeout bounds the time from sending the request to the first piece.
	FirstPieceTimeout time.Duration
	// SilenceTimeout is the longest allowed gap between two pieces. It must exceed
	// the engine's slowest step. When it expires, the rest of the stream is requested
	// on a new connection beside the silent one.
	SilenceTimeout time.Duration
	// OrderTimeout bounds an order to load or evict.
	OrderTimeout time.Duration
	// MaxResumes bounds the number of resumes of one response.
	MaxResumes int
}

// Limits on responses from engines and on connections to them.
const (
	maxRefusalBytes = 4 << 10
	maxReportBytes  = 4 << 20
	reportTimeout   = 2 * time.Second
	cancelTimeout   = 2 * time.Second
	idlePerHost     = 64
	idleTimeout     = 20 * time.Second
	// connBuffer is small because a piece has a few hundred bytes and every open
	// stream holds its buffers.
	connBuffer = 1 << 10
)

// Client sends requests and orders to engines. It is safe for concurrent use.
type Client struct {
	cfg      Config
	pooled   *http.Client
	unpooled *http.Client
}

// NewClient returns a client with the given configuration.
func NewClient(cfg Config) *Client {
	return &Client{cfg: cfg, pooled: newHTTPClient(cfg, true), unpooled: newHTTPClient(cfg, false)}
}

func newHTTPClient(cfg Config, keepAlive bool) *http.Client {
	return &http.Client{Transport: &answerhead.Transport{Base: &http.Transport{
		DialContext:         dialWithTimeout(cfg.Dial, cfg.ConnectTimeout),
		MaxIdleConnsPerHost: idlePerHost,
		IdleConnTimeout:     idleTimeout,
		DisableKeepAlives:   !keepAlive,
		DisableCompression:  true,
		ReadBufferSize:      connBuffer,
		WriteBufferSize:     connBuffer,
	}}}
}

func dialWithTimeout(dial func(context.Context, string, string) (net.Conn, error), timeout time.Duration) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		return dial(ctx, network, address)
	}
}

// Call describes one attempt of a completion on one runner.
type Call struct {
	Address    string
	Path       string
	Body       []byte
	Model      string
	AttemptID  string
	TraceID    string
	Priority   int
	Idempotent bool
}

// Complete makes one attempt and calls deliver for each piece of the response, in
// order and exactly once. It returns nil after a complete response.
func (c *Client) Complete(ctx context.Context, call Call, deliver func(Piece) error) *Failure {
	a := &attempt{client: c, call: call, deliver: deliver, assembler: NewAssembler(), reused: make(chan net.Conn, 1)}
	f := newFollower(a)
	f.openFirst(ctx)
	failure := f.follow(ctx)
	if failure != nil && failure.Stage != StageConnect && (failure.Stage != StageRefused || failure.Unproven) {
		c.cancel(ctx, call)
	}
	return failure
}

// attempt is the state of one call of Complete.
type attempt struct {
	client    *Client
	call      Call
	deliver   func(Piece) error
	assembler *Assembler
	delivered int
	// reused has the pooled connection that the request was given, if any.
	reused chan net.Conn
}

// send posts the request and returns the response once its headers have arrived.
func (a *attempt) send(ctx context.Context) (*http.Response, *Failure) {
	var connected, reused atomic.Bool
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			connected.Store(true)
			reused.Store(info.Reused)
			if info.Reused {
				select {
				case a.reused <- info.Conn:
				default:
				}
			}
		},
	})
	req, err := http.NewRequestWithContext(traced, http.MethodPost, "http://"+a.call.Address+a.call.Path, bytes.NewReader(a.call.Body))
	if err != nil {
		return nil, &Failure{Stage: StageConnect, Code: CodeUnreachable, Cause: err}
	}
	// Without GetBody the transport cannot resend the body on its own.
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Accept", "text/event-stream")
	req.Header.Set(HeaderRequestID, a.call.AttemptID)
	req.Header.Set(HeaderTrace, a.call.TraceID)
	req.Header.Set(HeaderPriority, strconv.Itoa(a.call.Priority))
	resp, err := a.client.httpClient(a.call.Idempotent).Do(req)
	if err != nil {
		return nil, a.sendFailure(ctx, connected.Load(), err)
	}
	named := resp.Header.Get(HeaderRequestID)
	if named != "" && named != a.call.AttemptID {
		_ = resp.Body.Close()
		return nil, &Failure{Stage: StageSend, Code: CodeMalformed, Cause: errors.Errorf("the answer names attempt %q", named)}
	}
	if resp.StatusCode != http.StatusOK {
		failure := refusalFailure(resp)
		failure.Unproven = named == "" && reused.Load()
		return nil, failure
	}
	return resp, nil
}

// httpClient returns the HTTP client for a request. A non-idempotent request gets a
// new connection: if the target closed a pooled one meanwhile, it would be unknown
// whether it had read the request.
func (c *Client) httpClient(idempotent bool) *http.Client {
	if idempotent {
		return c.pooled
	}
	return c.unpooled
}

func (a *attempt) sendFailure(ctx context.Context, connected bool, err error) *Failure {
	switch {
	case !connected && ctx.Err() != nil && !errors.Is(context.Cause(ctx), errSilenceTimeout):
		return &Failure{Stage: StageConnect, Code: CodeCallerGone, Cause: err}
	case !connected:
		return &Failure{Stage: StageConnect, Code: CodeUnreachable, Cause: err}
	case errors.Is(context.Cause(ctx), errSilenceTimeout):
		return &Failure{Stage: StageSend, Code: CodeSilent, Cause: err}
	case ctx.Err() != nil:
		return &Failure{Stage: StageCaller, Code: CodeCallerGone, Cause: err}
	case errors.Is(err, answerhead.ErrMalformed):
		return &Failure{Stage: StageSend, Code: CodeMalformed, Cause: err}
	default:
		return &Failure{Stage: StageSend, Code: CodeNoAnswer, Cause: err}
	}
}

func refusalFailure(resp *http.Response) *Failure {
	defer func() { _ = resp.Body.Close() }()
	failure := &Failure{
		Stage:        StageRefused,
		Status:       resp.StatusCode,
		MarkedNotRun: resp.Header.Get(HeaderNotRun) == "true",
	}
	var refusal ErrorResponse
	if json.NewDecoder(io.LimitReader(resp.Body, maxRefusalBytes)).Decode(&refusal) == nil {
		failure.Code = refusal.Code
	}
	if failure.Code == "" {
		failure.Code = "status_" + strconv.Itoa(resp.StatusCode)
	}
	if seconds, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil {
		failure.RetryAfter = time.Duration(seconds) * time.Second
	}
	return failure
}

func (a *attempt) streamFailure(code string, cause error) *Failure {
	return &Failure{Stage: StageStream, Code: code, Delivered: a.delivered, Cause: cause}
}

// cancel asks the engine to stop, in the background and best-effort: nothing
// depends on its success, so the caller's response is not delayed.
func (c *Client) cancel(ctx context.Context, call Call) {
	ctx, stop := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	go func() {
		defer stop()
		req, err := http.NewRequestWithContext(ctx, http.MethodDelete, "http://"+call.Address+"/v1/streams/"+call.AttemptID, nil)
		if err != nil {
			return
		}
		if resp, err := c.unpooled.Do(req); err == nil {
			_ = resp.Body.Close()
		}
	}()
}

// Dial returns a dial function that is bounded by ConnectTimeout.
func (c *Client) Dial() func(ctx context.Context, network, address string) (net.Conn, error) {
	return dialWithTimeout(c.cfg.Dial, c.cfg.ConnectTimeout)
}
