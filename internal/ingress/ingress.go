// Package ingress accepts callers' requests: it reads them whole, within the configured
// limits, authenticates them, finds their route and passes them on to be served.
package ingress

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cherrystage/cherrystage/internal/answer"
	"github.com/cherrystage/cherrystage/internal/callerconn"
	"github.com/cherrystage/cherrystage/internal/directory"
	"github.com/cherrystage/cherrystage/internal/forward"
	"github.com/cherrystage/cherrystage/internal/membudget"
	"github.com/cherrystage/cherrystage/internal/site"
	"github.com/hashicorp/go-hclog"
	"github.com/labstack/echo/v4"
)

const (
	// headerTimeout bounds how long a caller may take to send a request's header. It is
	// twice the limit in the platform's specification, all of which a caller may use.
	headerTimeout = 6 * time.Second
	// idleTimeout is longer than callers keep idle connections, so that callers close
	// them and no request is sent on a connection that this host is closing.
	idleTimeout = 60 * time.Second
	// maxHeaderBytes bounds a header; the platform's specification allows 16 KiB.
	maxHeaderBytes = 64 << 10
	// bodyTimeout bounds the reading of a body if the caller gives no deadline.
	bodyTimeout = 10 * time.Second
	// defaultBodyBytes bounds a body if the configuration sets no limit.
	defaultBodyBytes = 4 << 20
	// unconfiguredRetryAfter is the Retry-After value, in seconds, of a host that has no
	// configuration yet.
	unconfiguredRetryAfter = "0.5"
	// stoppingRetryAfter is the Retry-After value, in seconds, of a host that is stopping:
	// another host can serve the request at once.
	stoppingRetryAfter = "0.05"
	// memoryWait is how long a request waits for memory for its body, at most a quarter of its time.
	// What it has not read stays with the caller.
	memoryWait = 2 * time.Second
	// unreadTimeout bounds the reading of a body whose request has been rejected.
	unreadTimeout = 2 * time.Second
	// noMemoryRetryAfter is the Retry-After value, in seconds, of a host that has no memory for
	// another long body. Those that it holds are passed on within fractions of a second.
	noMemoryRetryAfter = "0.5"
)

// Serve serves a request on its route in a configuration; arrived is when its header had been read.
type Serve func(ctx context.Context, w *answer.Writer, config *site.Config, route *site.Route, request *forward.Request, arrived time.Time)

// Ingress accepts callers' requests over HTTP.
type Ingress struct {
	Dialect   forward.Dialect
	Directory *directory.Directory
	Serve     Serve
	Now       func() time.Time
	Log       hclog.Logger
	// Memory bounds the bodies that requests keep at a time. It may be nil, which stands for no bound.
	Memory *membudget.Budget
	// ConfigAge returns an upper bound on the age of the host's configuration.
	ConfigAge func() time.Duration
	// Closing reports whether connections are to be closed after the next answer.
	Closing func() bool
	// Refusing reports whether new requests are refused.
	Refusing func() bool
	// Unanswered counts the requests whose handler ended without having written anything.
	Unanswered atomic.Int64
}

// Server returns the HTTP server for callers.
func (i *Ingress) Server() *callerconn.Server {
	handler := &callerconn.Handler{Serve: i.handle, Closing: i.Closing, RequestID: i.requestID, Log: i.Log, Unanswered: &i.Unanswered}
	router := echo.New()
	router.HideBanner = true
	router.HidePort = true
	// Routes come from the configuration, so every request is handled before echo's router.
	router.Pre(func(echo.HandlerFunc) echo.HandlerFunc {
		return func(c echo.Context) error {
			handler.ServeHTTP(c.Response().Writer, c.Request())
			return nil
		}
	})
	return callerconn.NewServer(&http.Server{
		Handler:           router,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          i.Log.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
	})
}

func (i *Ingress) handle(ctx context.Context, w *answer.Writer, r *http.Request) {
	arrived := i.Now()
	if i.Refusing() {
		w.Header().Set("Retry-After", stoppingRetryAfter)
		i.reject(w, r, http.StatusServiceUnavailable, "this host is stopping")
		return
	}
	if len(r.TransferEncoding) > 0 {
		switch callerconn.FramingOf(r) {
		case callerconn.FramingConflict:
			i.rejectAndClose(w, r, http.StatusBadRequest, "both Content-Length and Transfer-Encoding")
			return
		case callerconn.FramingUnknown:
			w.Header().Set("Connection", "close")
		}
	}
	if !forward.CanSend(requestTarget(r)) {
		i.reject(w, r, http.StatusBadRequest, "the path has bytes that no URI may have")
		return
	}
	metadata, err := i.Dialect.ParseRequest(r.Header)
	if err != nil {
		i.reject(w, r, http.StatusBadRequest, err.Error())
		return
	}
	config := i.Directory.Snapshot().Config
	if config == nil {
		w.Header().Set("Retry-After", unconfiguredRetryAfter)
		i.reject(w, r, http.StatusServiceUnavailable, "this host has no configuration yet")
		return
	}
	route, ok := config.Match(stripPort(r.Host), requestPath(r))
	if !ok {
		i.reject(w, r, http.StatusNotFound, "no route", i.configLogFields(config)...)
		return
	}
	caller, known := identifyCaller(config, route, metadata)
	if !known {
		i.rejectUnauthorized(w, r, config)
		return
	}
	hold := i.Memory.Hold()
	defer hold.Release()
	body, status := i.readBody(w, r, config, metadata, hold)
	if status != 0 {
		i.rejectBody(w, r, status)
		return
	}
	request := &forward.Request{
		RequestMetadata: metadata,
		Method:          r.Method,
		Host:            r.Host,
		Target:          requestTarget(r),
		Header:          r.Header,
		Body:            body,
		ClientAddr:      stripPort(r.RemoteAddr),
		Caller:          caller,
	}
	i.Serve(ctx, w, config, route, request, arrived)
}

// identifyCaller finds the workspace of the request's key in the configuration in force. It
// returns false if the route requires a key and no workspace has the one that was sent.
func identifyCaller(config *site.Config, route *site.Route, metadata forward.RequestMetadata) (forward.Caller, bool) {
	caller := forward.Caller{KeysEnforced: config.Workspaces != nil}
	if !caller.KeysEnforced {
		return caller, true
	}
	if metadata.HasKey {
		caller.Workspace, _ = config.Workspaces.ByKey(metadata.KeyDigest)
	}
	return caller, caller.Workspace != nil || route.Public
}

// rejectUnauthorized answers a request without a valid key, without waiting for its body:
// net/http would read the body first, and a slow caller would occupy the connection for
// nothing. The rest of the body is read after the answer, so that the next request on the
// connection is parsed from its start.
func (i *Ingress) rejectUnauthorized(w *answer.Writer, r *http.Request, config *site.Config) {
	w.Header().Set("WWW-Authenticate", "Bearer")
	i.rejectBeforeBody(w, r, bodyTimeout, http.StatusUnauthorized, "no key in force came with the request", i.configLogFields(config)...)
}

// rejectBeforeBody answers a request without waiting for its body, and reads that afterwards, for up to a
// time, without keeping it.
func (i *Ingress) rejectBeforeBody(w *answer.Writer, r *http.Request, timeout time.Duration, status int, reason string, fields ...any) {
	control := http.NewResponseController(w)
	if err := control.EnableFullDuplex(); err != nil {
		i.Log.Debug("full duplex not available, the answer waits for the request's body", "error", err.Error())
	}
	i.reject(w, r, status, reason, fields...)
	if err := control.Flush(); err != nil {
		return
	}
	_ = control.SetReadDeadline(time.Now().Add(timeout))
	defer func() { _ = control.SetReadDeadline(time.Time{}) }()
	if _, err := io.Copy(io.Discard, http.MaxBytesReader(w.Unwrap(), r.Body, defaultBodyBytes)); err != nil {
		i.Log.Debug("rest of a rejected request's body not read", "error", err.Error())
	}
}

// readBody reads the body, which hold accounts for. It returns the status to reject the request with,
// or 0.
func (i *Ingress) readBody(w *answer.Writer, r *http.Request, config *site.Config, metadata forward.RequestMetadata, hold *membudget.Hold) ([]byte, int) {
	if r.Body == nil || r.Body == http.NoBody {
		return nil, 0
	}
	limit := config.Limits.MaxBodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	timeout := metadata.ClientTimeout
	if timeout == 0 {
		timeout = bodyTimeout
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(timeout))
	ctx, cancel := context.WithTimeout(r.Context(), min(memoryWait, timeout/4))
	defer cancel()
	body, err := membudget.AwaitAll(ctx, r.Body, r.ContentLength, limit, hold)
	switch {
	case errors.Is(err, membudget.ErrTooLong):
		// The deadline is left for net/http, which reads the rest.
		return nil, http.StatusRequestEntityTooLarge
	case errors.Is(err, membudget.ErrExhausted):
		return nil, http.StatusServiceUnavailable
	}
	_ = control.SetReadDeadline(time.Time{})
	var network net.Error
	switch {
	case err == nil:
		return body, 0
	case errors.As(err, &network) && network.Timeout():
		return nil, http.StatusRequestTimeout
	default:
		return nil, http.StatusBadRequest
	}
}

// reject answers a request that is not served.
func (i *Ingress) reject(w *answer.Writer, r *http.Request, status int, reason string, fields ...any) {
	line := []any{"id", i.requestID(r), "method", r.Method, "host_header", r.Host, "path", r.URL.Path, "status", status, "reason", reason}
	i.Log.Info("request rejected", append(line, fields...)...)
	_ = w.WriteOwn(status, reason)
}

// rejectBody answers a request whose body is too long or was not read. net/http reads the rest of one
// that is too long, if that is short enough, and else closes the connection.
func (i *Ingress) rejectBody(w *answer.Writer, r *http.Request, status int) {
	switch status {
	case http.StatusRequestEntityTooLarge:
		i.reject(w, r, status, "body too long")
		return
	case http.StatusServiceUnavailable:
		// A caller that still sends would see its connection reset instead of the answer.
		w.Header().Set("Retry-After", noMemoryRetryAfter)
		w.Header().Set("Connection", "close")
		i.rejectBeforeBody(w, r, unreadTimeout, status, "too many long bodies at once")
		return
	}
	i.rejectAndClose(w, r, status, "body not read")
}

// rejectAndClose is reject for a request of which it is not known where it ends, so that the bytes that
// follow may belong to it.
func (i *Ingress) rejectAndClose(w *answer.Writer, r *http.Request, status int, reason string) {
	w.Header().Set("Connection", "close")
	i.reject(w, r, status, reason)
}

// configLogFields returns the log fields on the configuration that a request was rejected by.
func (i *Ingress) configLogFields(config *site.Config) []any {
	return []any{"config_version", config.Version, "config_age_ms", i.ConfigAge().Milliseconds()}
}

// requestID returns the request's ID for the log, or "" if its headers are invalid.
func (i *Ingress) requestID(r *http.Request) string {
	metadata, err := i.Dialect.ParseRequest(r.Header)
	if err != nil {
		return ""
	}
	return metadata.ID
}

func stripPort(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return host
}

// requestTarget returns the path and query exactly as the caller sent them, in absolute form too: the URL
// that net/http parses from it would escape some bytes anew, and unescape others.
func requestTarget(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") || !r.URL.IsAbs() {
		return r.RequestURI
	}
	_, rest, _ := strings.Cut(r.RequestURI, "://")
	begin := strings.IndexAny(rest, "/?")
	switch {
	case begin < 0:
		return "/"
	case rest[begin] == '?':
		return "/" + rest[begin:]
	default:
		return rest[begin:]
	}
}

func requestPath(r *http.Request) string {
	path, _, _ := strings.Cut(requestTarget(r), "?")
	return path
}
