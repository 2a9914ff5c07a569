package callerconn

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/cherrystage/cherrystage/internal/answer"
	"github.com/hashicorp/go-hclog"
	"github.com/shoenig/test/must"
)

// The read deadline of a body passes as the body ends: net/http ends the contexts of all later requests
// on the connection, whose callers could leave unnoticed.
func TestConnectionThatDoesNotShowItsCallersLeavingIsClosed(t *testing.T) {
	for _, blind := range []bool{false, true} {
		handler := &Handler{
			Serve: func(_ context.Context, w *answer.Writer, _ *http.Request) {
				_ = w.WriteWhole(http.StatusOK, []byte("answer"))
			},
			Closing: func() bool { return false }, RequestID: func(*http.Request) string { return "q" },
			Log: hclog.NewNullLogger(), Unanswered: &atomic.Int64{},
		}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		if blind {
			cancel()
		}
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, httptest.NewRequestWithContext(ctx, http.MethodGet, "/a/x", nil))
		must.Eq(t, http.StatusOK, recorder.Code)
		must.Eq(t, blind, recorder.Header().Get("Connection") == "close")
	}
}
