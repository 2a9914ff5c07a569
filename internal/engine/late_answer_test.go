package engine_test

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cherrystage/cherrystage/internal/engine"
	"github.com/cherrystage/cherrystage/internal/standin"
	"github.com/cherrystage/cherrystage/internal/verdict"
	"github.com/shoenig/test/must"
)

// An engine turns a request away and sends that refusal again as the next request on the connection begins to
// run. That one would count as not run, at an engine that names attempts and at one that does not.
func TestLateRefusalIsNoProofForTheNextAttempt(t *testing.T) {
	for name, names := range map[string]bool{"named": true, "unnamed": false} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			must.NoError(t, err)
			server := &standin.RawServer{
				Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					if names {
						w.Header().Set(engine.HeaderRequestID, r.Header.Get(engine.HeaderRequestID))
					}
					var body struct{ Refuse bool }
					_ = json.NewDecoder(r.Body).Decode(&body)
					if body.Refuse {
						w.Header().Set(engine.HeaderNotRun, "true")
						w.WriteHeader(http.StatusServiceUnavailable)
						return
					}
					writeEvents(w, piece(0), piece(1), done)
				}),
				Conduct: func(r *http.Request) standin.Conduct {
					if r.Method != http.MethodPost {
						return standin.Conduct{}
					}
					return standin.Conduct{Repeat: standin.RepeatBeforeNext}
				},
			}
			go server.Serve(t.Context(), listener)
			client := engine.NewClient(engine.Config{
				Dial: (&net.Dialer{}).DialContext, ConnectTimeout: time.Second, FirstPieceTimeout: 2 * time.Second,
				SilenceTimeout: 2 * time.Second, OrderTimeout: time.Second,
			})
			complete := func(id, body string) *engine.Failure {
				call := engine.Call{Address: listener.Addr().String(), Path: "/v1/completions", Body: []byte(body), Model: "m@1", AttemptID: id, Idempotent: true}
				return client.Complete(context.Background(), call, func(engine.Piece) error { return nil })
			}
			must.Eq(t, verdict.NotRun, complete("refused", `{"refuse":true}`).Verdict(), must.Sprint("a true refusal on a new connection"))
			failure := complete("run", `{}`)
			must.NotNil(t, failure)
			must.Eq(t, verdict.MayHaveRun, failure.Verdict())
		})
	}
}
