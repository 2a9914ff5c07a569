package engine_test

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cherrystage/cherrystage/internal/engine"
	"github.com/shoenig/test/must"
)

// As TestSlowAnswerOnPooledConnectionIsNotGivenUp, but the engine has not registered the stream yet, and
// answers what asks for its rest with 404.
func TestSlowAnswerOnPooledConnectionIsNotGivenUpFor404(t *testing.T) {
	var requests, dropped, failures atomic.Int32
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPost {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		if requests.Add(1) > 1 {
			select {
			case <-time.After(3 * time.Second):
			case <-r.Context().Done():
				dropped.Add(1)
				return
			}
		}
		writeEvents(w, piece(0), piece(1), done)
	})
	inEngine(t, handler, nil, func(client *engine.Client) {
		for attempt := range 2 {
			call := engine.Call{Address: "engine:80", Path: "/v1/completions", Body: []byte("{}"), Model: "m@1", AttemptID: strconv.Itoa(attempt), Idempotent: true}
			if client.Complete(context.Background(), call, func(engine.Piece) error { return nil }) != nil {
				failures.Add(1)
			}
			time.Sleep(time.Second)
		}
	})
	must.Eq(t, 0, dropped.Load())
	must.Eq(t, 0, failures.Load())
}
