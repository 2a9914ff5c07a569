package serve

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cherrystage/cherrystage/internal/forward"
	"github.com/cherrystage/cherrystage/internal/site"
	"github.com/shoenig/test/must"
)

// A resumable stream runs for longer than its caller would have waited for the first event, and its
// runner then falls silent for good. The other runners are idle and the retry budget is full, but the
// time in which the stream may begin elsewhere is counted from the request's arrival and has passed:
// the host gives the stream up, and its caller sees the connection close in the middle.
func TestLongStreamGoesOnElsewhere(t *testing.T) {
	for _, speaks := range []time.Duration{time.Second, 2500 * time.Millisecond, 8 * time.Second} {
		withTestEnv(t, 3, func(w *testEnv) {
			const gap = 100 * time.Millisecond
			sends := 0
			w.runnerHandler = func(rw http.ResponseWriter, r *http.Request) {
				sends++
				rw.Header().Set("Id", r.Header.Get("Id"))
				rw.Header().Set(stampHeader, "s")
				rw.Header().Set("Content-Type", eventStreamType)
				if sends > 1 {
					_, _ = rw.Write([]byte("id: 100\ndata: last\n\n"))
					return
				}
				for i := range int(speaks / gap) {
					_, _ = fmt.Fprintf(rw, "id: %d\ndata: piece\n\n", i+1)
					_ = http.NewResponseController(rw).Flush()
					time.Sleep(gap)
				}
				<-r.Context().Done()
			}
			// The retry budget starts empty.
			time.Sleep(20 * time.Second)
			route := &site.Route{
				Name: "brief", Kind: site.Streaming, Resumable: true, Timeout: 30 * time.Second, TargetLatency: 600 * time.Millisecond,
				TargetGap: 250 * time.Millisecond, MaxAttempts: 2, Targets: []site.Target{{Service: llm, Weight: 1}},
			}
			request := &forward.Request{
				RequestMetadata: forward.RequestMetadata{ID: "q", Adapter: site.Adapter{Model: model, Name: "a"}, PromptTokens: 800, OutputTokens: 100},
				Method:          http.MethodPost, Host: "host", Target: "/brief/x", Header: http.Header{},
			}
			answer := httptest.NewRecorder()
			outcome := w.serve(context.Background(), answer, route, request, time.Now())
			must.Eq(t, whole, outcome, must.Sprintf("the stream was cut after %s", speaks))
			must.StrContains(t, answer.Body.String(), "data: last")
		})
	}
}
