// Package ingress takes callers' requests: it reads them whole, within the
// configured limits, finds their route and hands them to be served.
package ingress

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cherrystage/cherrystage/internal/directory"
	"github.com/cherrystage/cherrystage/internal/forward"
	"github.com/cherrystage/cherrystage/internal/site"
	"github.com/hashicorp/go-hclog"
	"github.com/labstack/echo/v4"
)

const (
	// headerTimeout bounds how long a caller may take to send a request's
	// header. It is twice what the platform's pages give as a limit, which a
	// caller may use up.
	headerTimeout = 6 * time.Second
	// idleTimeout is longer than callers keep idle connections, so that they
	// close them and no request meets a connection that is closing here.
	idleTimeout = 60 * time.Second
	// maxHeaderBytes bounds a header; the platform's pages give 16 KiB.
	maxHeaderBytes = 64 << 10
	// bodyTimeout bounds the reading of a body when the caller gives no
	// deadline.
	bodyTimeout = 10 * time.Second
	// defaultBodyBytes bounds a body before a configuration says it.
	defaultBodyBytes = 4 << 20
	// unknownRetry is when a caller should come back to a host that has no
	// configuration yet.
	unknownRetry = "0.5"
	// leavingRetry is when a caller should come back that a stopping host
	// refused: another host takes it at once.
	leavingRetry = "0.05"
)

// Serve serves a request on its route.
type Serve func(ctx context.Context, w http.ResponseWriter, route *site.Route, request *forward.Request, arrived time.Time)

// Ingress handles callers' requests.
type Ingress struct {
	Dialect   forward.Dialect
	Directory *directory.Directory
	Serve     Serve
	Now       func() time.Time
	Log       hclog.Logger
	// ConfigAge gives how old what the host knows of the configuration may be.
	ConfigAge func() time.Duration
	// Closing says that connections should be closed after their answer.
	Closing func() bool
	// Refusing says that no request is begun any more.
	Refusing func() bool
}

// Server makes the HTTP server for callers.
func (i *Ingress) Server() *http.Server {
	router := echo.New()
	router.HideBanner = true
	router.HidePort = true
	// Routes come from the configuration and not from the router, so everything
	// is taken before it.
	router.Pre(func(echo.HandlerFunc) echo.HandlerFunc {
		return func(c echo.Context) error {
			i.handle(c.Response().Writer, c.Request())
			return nil
		}
	})
	return &http.Server{
		Handler:           router,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnContext:       withRecorder,
		ErrorLog:          i.Log.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
	}
}

func (i *Ingress) handle(w http.ResponseWriter, r *http.Request) {
	arrived := i.Now()
	recorder := recorderOf(r.Context())
	defer recorder.reset()
	if i.Closing() {
		w.Header().Set("Connection", "close")
	}
	if i.Refusing() {
		w.Header().Set("Retry-After", leavingRetry)
		i.reject(w, r, http.StatusServiceUnavailable, "this host is stopping")
		return
	}
	if len(r.TransferEncoding) > 0 {
		switch recorder.framing() {
		case framingBoth:
			i.reject(w, r, http.StatusBadRequest, "both Content-Length and Transfer-Encoding")
			return
		case framingUnknown:
			w.Header().Set("Connection", "close")
		}
	}
	ask, err := i.Dialect.ParseRequest(r.Header)
	if err != nil {
		i.reject(w, r, http.StatusBadRequest, err.Error())
		return
	}
	config := i.Directory.Snapshot().Config
	if config == nil {
		w.Header().Set("Retry-After", unknownRetry)
		i.reject(w, r, http.StatusServiceUnavailable, "this host has no configuration yet")
		return
	}
	route, ok := config.Match(hostName(r.Host), pathOf(r))
	if !ok {
		i.reject(w, r, http.StatusNotFound, "no route", i.judged(config)...)
		return
	}
	caller, known := callerOf(config, route, ask)
	if !known {
		i.unauthorized(w, r, config)
		return
	}
	body, status := i.read(w, r, config, ask)
	if status != 0 {
		i.reject(w, r, status, "body not read")
		return
	}
	request := &forward.Request{
		RequestMetadata: ask,
		Method:          r.Method,
		Host:            r.Host,
		Target:          targetOf(r),
		Header:          r.Header,
		Body:            body,
		ClientAddr:      hostName(r.RemoteAddr),
		Caller:          caller,
	}
	i.Serve(r.Context(), w, route, request, arrived)
}

// callerOf finds whose request it is by the configuration in force. It is not known
// where the route wants a key and no workspace holds the one that came.
func callerOf(config *site.Config, route *site.Route, ask forward.RequestMetadata) (forward.Caller, bool) {
	caller := forward.Caller{KeysEnforced: config.Workspaces != nil}
	if !caller.KeysEnforced {
		return caller, true
	}
	if ask.HasKey {
		caller.Workspace, _ = config.Workspaces.ByKey(ask.KeyDigest)
	}
	return caller, caller.Workspace != nil || route.Public
}

// unauthorized answers a request without a key in force. Its body is not waited for:
// net/http would read it before the answer, and a caller that sends slowly would hold
// the connection for nothing. What is left of it is read after the answer, so that the
// next request on the connection begins where it should.
func (i *Ingress) unauthorized(w http.ResponseWriter, r *http.Request, config *site.Config) {
	control := http.NewResponseController(w)
	if err := control.EnableFullDuplex(); err != nil {
		i.Log.Debug("the answer waits for the request's body", "error", err.Error())
	}
	w.Header().Set("WWW-Authenticate", "Bearer")
	i.reject(w, r, http.StatusUnauthorized, "no key in force came with the request", i.judged(config)...)
	if err := control.Flush(); err != nil {
		return
	}
	_ = control.SetReadDeadline(time.Now().Add(bodyTimeout))
	defer func() { _ = control.SetReadDeadline(time.Time{}) }()
	if _, err := io.Copy(io.Discard, http.MaxBytesReader(w, r.Body, defaultBodyBytes)); err != nil {
		i.Log.Debug("the rest of a rejected request was not read", "error", err.Error())
	}
}

// read reads the body and gives the status to reject the request with, or 0.
func (i *Ingress) read(w http.ResponseWriter, r *http.Request, config *site.Config, ask forward.RequestMetadata) ([]byte, int) {
	if r.Body == nil || r.Body == http.NoBody {
		return nil, 0
	}
	limit := config.Limits.MaxBodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	if r.ContentLength > limit {
		return nil, http.StatusRequestEntityTooLarge
	}
	patience := ask.ClientTimeout
	if patience == 0 {
		patience = bodyTimeout
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(patience))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	_ = control.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	var network net.Error
	switch {
	case err == nil:
		return body, 0
	case errors.As(err, &tooLarge):
		return nil, http.StatusRequestEntityTooLarge
	case errors.As(err, &network) && network.Timeout():
		return nil, http.StatusRequestTimeout
	default:
		return nil, http.StatusBadRequest
	}
}

// reject answers a request that goes no further. Where its framing or its body is in
// doubt the connection is closed: what follows on it may be the rest of what was not read.
func (i *Ingress) reject(w http.ResponseWriter, r *http.Request, status int, reason string, judged ...any) {
	line := []any{"id", i.idOf(r), "method", r.Method, "host_header", r.Host, "path", r.URL.Path, "status", status, "reason", reason}
	i.Log.Info("request rejected", append(line, judged...)...)
	switch status {
	case http.StatusNotFound, http.StatusServiceUnavailable, http.StatusUnauthorized:
	default:
		w.Header().Set("Connection", "close")
	}
	body := reason + "\n"
	header := w.Header()
	header.Set("Content-Type", "text/plain; charset=utf-8")
	header.Set("X-Content-Type-Options", "nosniff")
	// With its length the answer is whole once it is flushed.
	header.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = io.WriteString(w, body)
}

// judged gives, for the log, the configuration that a request was rejected by.
func (i *Ingress) judged(config *site.Config) []any {
	return []any{"config_version", config.Version, "config_age_ms", i.ConfigAge().Milliseconds()}
}

// idOf gives the request's id for the log, where it has one.
func (i *Ingress) idOf(r *http.Request) string {
	ask, err := i.Dialect.ParseRequest(r.Header)
	if err != nil {
		return ""
	}
	return ask.ID
}

func hostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return host
}

// targetOf gives path and query as the caller sent them.
func targetOf(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

func pathOf(r *http.Request) string {
	path, _, _ := strings.Cut(targetOf(r), "?")
	return path
}
