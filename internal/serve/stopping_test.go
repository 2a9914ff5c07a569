package serve

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cherrystage/cherrystage/internal/answer"
	"github.com/cherrystage/cherrystage/internal/site"
	"github.com/shoenig/test/must"
)

// The host of a request is about to end while the request waits, or while a runner is at work on it: its
// caller gets nothing.
func TestRequestIsAnsweredWhenItsHostIsAboutToEnd(t *testing.T) {
	for name, test := range map[string]struct {
		waits  bool
		status int
	}{
		"waiting for a runner": {waits: true, status: http.StatusServiceUnavailable},
		"at a runner":          {status: http.StatusBadGateway},
	} {
		t.Run(name, func(t *testing.T) {
			withTestEnv(t, 1, func(w *testEnv) {
				if test.waits {
					w.owners.admissions = append(w.owners.admissions, admitAfter(time.Second, false))
				}
				w.runnerHandler = func(_ http.ResponseWriter, r *http.Request) {
					_, _ = io.Copy(io.Discard, r.Body)
					<-r.Context().Done()
				}
				route := &site.Route{Name: "live", Kind: site.Streaming, Timeout: 5 * time.Second, TargetLatency: time.Second, MaxAttempts: 1, Targets: []site.Target{{Service: llm, Weight: 1}}}
				request := w.request()
				request.Adapter = site.Adapter{Model: model, Name: "a"}
				ctx, end := context.WithCancelCause(context.Background())
				recorder := httptest.NewRecorder()
				begin := time.Now()
				time.AfterFunc(300*time.Millisecond, func() { end(answer.ErrStopping) })
				must.Eq(t, whole, w.serve(ctx, recorder, route, request, time.Now()))
				must.Eq(t, test.status, recorder.Code)
				must.LessEq(t, 450*time.Millisecond, time.Since(begin))
			})
		})
	}
}
