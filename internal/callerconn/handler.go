// Package callerconn serves callers' connections: each request that was read on one ends with an answer
// or with a broken connection, also where its caller has closed its sending side, and while the host
// stops.
package callerconn

import (
	"context"
	"fmt"
	"net/http"
	"runtime/debug"
	"sync/atomic"

	"github.com/cherrystage/cherrystage/internal/answer"
	"github.com/hashicorp/go-hclog"
)

// Handler is the http.Handler of a Server. All fields are required.
type Handler struct {
	// Serve answers a request. The context ends once its caller has left.
	Serve func(ctx context.Context, w *answer.Writer, r *http.Request)
	// Closing reports whether connections are to be closed after the next answer.
	Closing func() bool
	// RequestID returns a request's ID for the log.
	RequestID func(r *http.Request) string
	Log       hclog.Logger
	// Unanswered counts the requests for which nothing had been written when Serve ended.
	Unanswered *atomic.Int64
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(inner http.ResponseWriter, r *http.Request) {
	conn := recorderFrom(r.Context())
	conn.begin()
	w := answer.NewWriter(inner)
	w.OnHeader = func(header http.Header) {
		if (h.Closing() || hidesLeaving(r)) && !conn.hasReadAhead(r) {
			header.Set("Connection", "close")
		}
	}
	ctx, stop := watchCaller(w, r)
	defer h.end(w, r, stop)
	h.Serve(ctx, w, r)
}

// hidesLeaving reports whether the connection does not show that its caller leaves: the context of
// net/http has ended although the caller may send more.
func hidesLeaving(r *http.Request) bool {
	return r.Context().Err() != nil && recorderFrom(r.Context()).inputState() == inputOpen
}

// end ends the answer to a request whose handler has returned or panicked.
func (h *Handler) end(w *answer.Writer, r *http.Request, stopWatching func()) {
	cause := recover()
	stopWatching()
	outcome := w.End()
	recorderFrom(r.Context()).end(r)
	if cause != nil {
		h.Log.Error("request handler panicked", "id", h.RequestID(r), "cause", fmt.Sprint(cause), "stack", string(debug.Stack()))
	}
	switch outcome {
	case answer.Missing:
		h.logUnanswered(r)
	case answer.Cut:
		if !r.ProtoAtLeast(1, 1) {
			recorderFrom(r.Context()).resetAtClose()
		}
		panic(http.ErrAbortHandler)
	case answer.Left:
		panic(http.ErrAbortHandler)
	}
}

// logUnanswered logs a request for which nothing had been written when its handler ended.
func (h *Handler) logUnanswered(r *http.Request) {
	h.Unanswered.Add(1)
	h.Log.Warn("request ended without an answer", "id", h.RequestID(r), "method", r.Method, "path", r.URL.Path, "input", recorderFrom(r.Context()).inputState().String())
}
