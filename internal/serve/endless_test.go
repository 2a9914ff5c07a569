package serve

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cherrystage/cherrystage/internal/site"
	"github.com/shoenig/test/must"
)

// A runner answers without a length and ends in the middle of its answer: its connection closes as at
// the end of a whole one, and its port refuses connections from then on. The host takes what came for
// the answer, gives it a length and passes it on, and the caller gets a part with status 200. The
// request may be repeated, and another runner would answer it whole.
func TestAnswerWithoutLengthOfCrashedRunnerIsNotWhole(t *testing.T) {
	withTestEnv(t, 3, func(w *testEnv) {
		sends := 0
		w.runnerHandler = func(rw http.ResponseWriter, r *http.Request) {
			sends++
			if sends > 1 {
				rw.Header().Set("Id", r.Header.Get("Id"))
				rw.Header().Set(stampHeader, "s")
				_, _ = rw.Write([]byte("part and rest"))
				return
			}
			conn, buffer, err := http.NewResponseController(rw).Hijack()
			must.NoError(t, err)
			_, _ = buffer.WriteString("HTTP/1.1 200 OK\r\nConnection: close\r\nId: " + r.Header.Get("Id") + "\r\n" + stampHeader + ": s\r\n\r\npart")
			_ = buffer.Flush()
			w.net.KillHost(r.Header.Get(instanceHeader))
			_ = conn.Close()
		}
		// The retry budget starts empty.
		time.Sleep(20 * time.Second)
		route := &site.Route{
			Name: "plain", Kind: site.Idempotent, Timeout: 5 * time.Second, TargetLatency: 600 * time.Millisecond,
			MaxAttempts: 2, Targets: []site.Target{{Service: llm, Weight: 1}},
		}
		answer := httptest.NewRecorder()
		w.server.Serve(context.Background(), answer, route, w.request(), time.Now())
		must.Eq(t, http.StatusOK, answer.Code)
		must.Eq(t, "part and rest", answer.Body.String())
		must.Eq(t, 2, sends)
	})
}
