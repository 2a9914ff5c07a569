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

	"github.com/pkg/errors"
)

// Config sets the client's patience. All durations must be above zero.
type Config struct {
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// ConnectTimeout bounds the set-up of a connection.
	ConnectTimeout time.Duration
	// FirstPieceTimeout bounds the time from sending to the first piece.
	FirstPieceTimeout time.Duration
	// SilenceTimeout is the longest gap between two pieces; it must be longer
	// than the engine's slowest step. After it the stream is resumed elsewhere.
	SilenceTimeout time.Duration
	// OrderTimeout bounds an order to load or evict.
	OrderTimeout time.Duration
	// MaxResumes bounds how often one answer is resumed.
	MaxResumes int
}

// Limits of what is read from an engine.
const (
	maxRefusalBytes = 4 << 10
	maxReportBytes  = 4 << 20
	reportTimeout   = 2 * time.Second
	cancelTimeout   = 2 * time.Second
	idlePerHost     = 64
	idleTimeout     = 20 * time.Second
	// connBuffer is small: a piece is a few hundred bytes, and every open stream
	// holds its buffers.
	connBuffer = 1 << 10
)

// Client speaks to engines. It is safe for concurrent use.
type Client struct {
	cfg    Config
	pooled *http.Client
	fresh  *http.Client
}

// NewClient makes a client.
func NewClient(cfg Config) *Client {
	return &Client{cfg: cfg, pooled: newHTTP(cfg, true), fresh: newHTTP(cfg, false)}
}

func newHTTP(cfg Config, keepAlive bool) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:         boundDial(cfg.Dial, cfg.ConnectTimeout),
		MaxIdleConnsPerHost: idlePerHost,
		IdleConnTimeout:     idleTimeout,
		DisableKeepAlives:   !keepAlive,
		DisableCompression:  true,
		ReadBufferSize:      connBuffer,
		WriteBufferSize:     connBuffer,
	}}
}

func boundDial(dial func(context.Context, string, string) (net.Conn, error), timeout time.Duration) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		return dial(ctx, network, address)
	}
}

// Call is one attempt of a completion on one runner.
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

// Complete makes one attempt and passes the answer's pieces on in order, each
// once. It returns nil after a whole answer and a *Failure otherwise.
func (c *Client) Complete(ctx context.Context, call Call, pass func(Piece) error) *Failure {
	run := &attempt{client: c, call: call, pass: pass, assembler: NewAssembler()}
	failure := run.first(ctx)
	for resumes := 0; failure != nil && run.resumable(ctx, failure) && resumes < c.cfg.MaxResumes; resumes++ {
		failure = run.resume(ctx)
	}
	if failure != nil && failure.Stage != StageConnect && failure.Stage != StageRefused {
		c.cancel(ctx, call)
	}
	return failure
}

// attempt is the state of one call of Complete.
type attempt struct {
	client    *Client
	call      Call
	pass      func(Piece) error
	assembler *Assembler
	passed    int
	// reused says that the first try went out on a pooled connection.
	reused atomic.Bool
}

func (a *attempt) first(ctx context.Context) *Failure {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	patience := time.AfterFunc(a.client.cfg.FirstPieceTimeout, func() { cancel(errSilent) })
	defer patience.Stop()
	resp, failure := a.send(ctx, patience)
	if failure != nil {
		return failure
	}
	defer func() { _ = resp.Body.Close() }()
	return a.read(ctx, resp.Body, patience)
}

// send posts the request and gives the response once its header has come.
func (a *attempt) send(ctx context.Context, patience *time.Timer) (*http.Response, *Failure) {
	var connected atomic.Bool
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			connected.Store(true)
			if info.Reused {
				// A pooled connection may have gone silent while it was idle:
				// then nothing would come for as long as the first piece may
				// take. After a shorter wait the answer is asked for on a new one.
				a.reused.Store(true)
				patience.Reset(min(a.client.cfg.SilenceTimeout, a.client.cfg.FirstPieceTimeout))
			}
		},
	})
	req, err := http.NewRequestWithContext(traced, http.MethodPost, "http://"+a.call.Address+a.call.Path, bytes.NewReader(a.call.Body))
	if err != nil {
		return nil, &Failure{Stage: StageConnect, Code: CodeUnreachable, Cause: err}
	}
	// Without GetBody the transport cannot send the body a second time by itself.
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Accept", "text/event-stream")
	req.Header.Set(HeaderRequestID, a.call.AttemptID)
	req.Header.Set(HeaderTrace, a.call.TraceID)
	req.Header.Set(HeaderPriority, strconv.Itoa(a.call.Priority))
	resp, err := a.client.httpFor(a.call.Idempotent).Do(req)
	if err != nil {
		return nil, a.sendFailure(ctx, connected.Load(), err)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, readRefusal(resp)
	}
	return resp, nil
}

// httpFor gives the connections for a request. One that may run only once
// takes a connection of its own: on a pooled one that the target is just
// closing, it would be unknown whether the target had read the request.
func (c *Client) httpFor(idempotent bool) *http.Client {
	if idempotent {
		return c.pooled
	}
	return c.fresh
}

func (a *attempt) sendFailure(ctx context.Context, connected bool, err error) *Failure {
	switch {
	case !connected && ctx.Err() != nil && !errors.Is(context.Cause(ctx), errSilent):
		return &Failure{Stage: StageConnect, Code: CodeCallerGone, Cause: err}
	case !connected:
		return &Failure{Stage: StageConnect, Code: CodeUnreachable, Cause: err}
	case errors.Is(context.Cause(ctx), errSilent):
		return &Failure{Stage: StageSend, Code: CodeSilent, Cause: err}
	case ctx.Err() != nil:
		return &Failure{Stage: StageCaller, Code: CodeCallerGone, Cause: err}
	default:
		return &Failure{Stage: StageSend, Code: CodeNoAnswer, Cause: err}
	}
}

func readRefusal(resp *http.Response) *Failure {
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

// resumable says whether the rest of the answer can be asked for: the engine
// has, or may have, begun the request, its connection broke or went silent,
// and the caller is still there.
func (a *attempt) resumable(ctx context.Context, failure *Failure) bool {
	if ctx.Err() != nil || (failure.Code != CodeTruncated && failure.Code != CodeSilent) {
		return false
	}
	return failure.Stage == StageStream || (failure.Stage == StageSend && a.reused.Load())
}

// resume takes the answer up again from the first piece that is missing, on a
// connection of its own, since the old one may be silent while new ones work.
func (a *attempt) resume(ctx context.Context) *Failure {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	patience := time.AfterFunc(a.client.cfg.SilenceTimeout, func() { cancel(errSilent) })
	defer patience.Stop()
	url := "http://" + a.call.Address + "/v1/streams/" + a.call.AttemptID + "?from=" + strconv.Itoa(a.assembler.Next())
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return a.streamFailure(CodeTruncated, err)
	}
	req.Header.Set(HeaderTrace, a.call.TraceID)
	resp, err := a.client.fresh.Do(req)
	if err != nil {
		return a.streamFailure(CodeTruncated, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return a.streamFailure(CodeNoAnswer, errors.Errorf("resume refused with status %d", resp.StatusCode))
	}
	return a.read(ctx, resp.Body, patience)
}

func (a *attempt) streamFailure(code string, cause error) *Failure {
	return &Failure{Stage: StageStream, Code: code, Delivered: a.passed, Cause: cause}
}

// cancel tells the engine to stop. It is a courtesy: nothing depends on its
// success, so it does not hold the caller's answer back.
func (c *Client) cancel(ctx context.Context, call Call) {
	ctx, stop := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	go func() {
		defer stop()
		req, err := http.NewRequestWithContext(ctx, http.MethodDelete, "http://"+call.Address+"/v1/streams/"+call.AttemptID, nil)
		if err != nil {
			return
		}
		if resp, err := c.fresh.Do(req); err == nil {
			_ = resp.Body.Close()
		}
	}()
}

// Dial gives the function that opens connections to targets, bounded in time.
func (c *Client) Dial() func(ctx context.Context, network, address string) (net.Conn, error) {
	return boundDial(c.cfg.Dial, c.cfg.ConnectTimeout)
}
