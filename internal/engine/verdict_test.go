package engine_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cherrystage/cherrystage/internal/engine"
	"github.com/cherrystage/cherrystage/internal/standin"
	"github.com/cherrystage/cherrystage/internal/verdict"
	"github.com/shoenig/test/must"
)

// piece returns one event of a response of the model m@1.
func piece(position int) string {
	return fmt.Sprintf("id: %d\ndata: {\"model\":\"m@1\",\"choices\":[{\"index\":0,\"text\":\"t\"}]}\n\n", position)
}

const done = "id: 2\ndata: [DONE]\n\n"

func writeEvents(w http.ResponseWriter, texts ...string) {
	w.Header().Set("Content-Type", "text/event-stream")
	for _, text := range texts {
		_, _ = io.WriteString(w, text)
		_ = http.NewResponseController(w).Flush()
	}
}

func resetConnection() { panic(http.ErrAbortHandler) }

// outcome is one way in which an attempt can end, and the expected classification.
type outcome struct {
	name    string
	serve   func(w http.ResponseWriter, r *http.Request)
	refused bool // the listener is closed
	stage   engine.Stage
	code    string
	verdict verdict.Verdict
	// retryIdempotent and retryNonIdempotent report whether an idempotent and a
	// non-idempotent request may be retried.
	retryIdempotent, retryNonIdempotent bool
	delivered                           int
}

func respondWith(code int, header ...string) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, _ *http.Request) {
		for i := 0; i+1 < len(header); i += 2 {
			w.Header().Set(header[i], header[i+1])
		}
		w.WriteHeader(code)
	}
}

func outcomes() []outcome {
	wait := func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
	return []outcome{
		{name: "connection refused", refused: true, stage: engine.StageConnect, code: engine.CodeUnreachable, verdict: verdict.NotRun, retryIdempotent: true, retryNonIdempotent: true},
		{name: "reset before the first byte", serve: func(http.ResponseWriter, *http.Request) { resetConnection() }, stage: engine.StageSend, code: engine.CodeNoAnswer, retryIdempotent: true},
		{name: "no answer in time", serve: wait, stage: engine.StageSend, code: engine.CodeSilent, retryIdempotent: true},
		{name: "reset after the headers", serve: func(w http.ResponseWriter, _ *http.Request) { writeEvents(w, ": begun\n\n"); resetConnection() }, stage: engine.StageStream, code: engine.CodeNoAnswer, retryIdempotent: true},
		{name: "reset after a piece", serve: func(w http.ResponseWriter, _ *http.Request) { writeEvents(w, piece(0)); resetConnection() }, stage: engine.StageStream, code: engine.CodeNoAnswer, delivered: 1},
		{name: "timeout after a piece", serve: func(w http.ResponseWriter, r *http.Request) { writeEvents(w, piece(0)); <-r.Context().Done() }, stage: engine.StageStream, code: engine.CodeNoAnswer, delivered: 1},
		{name: "early close", serve: func(w http.ResponseWriter, _ *http.Request) { writeEvents(w, piece(0)) }, stage: engine.StageStream, code: engine.CodeNoAnswer, delivered: 1},
		{name: "piece missing at the end", serve: func(w http.ResponseWriter, _ *http.Request) { writeEvents(w, piece(0), done) }, stage: engine.StageStream, code: engine.CodeNoAnswer, delivered: 1},
		{name: "malformed piece", serve: func(w http.ResponseWriter, _ *http.Request) { writeEvents(w, "data: {\n\n") }, stage: engine.StageStream, code: engine.CodeMalformed, retryIdempotent: true},
		{name: "response of another model", serve: func(w http.ResponseWriter, _ *http.Request) { writeEvents(w, "data: {\"model\":\"m@2\"}\n\n") }, stage: engine.StageStream, code: engine.CodeWrongModel, retryIdempotent: true},
		{name: "400", serve: respondWith(400), stage: engine.StageRefused, code: "status_400", verdict: verdict.NotRun},
		{name: "404, not loaded", serve: respondWith(404), stage: engine.StageRefused, code: "status_404", verdict: verdict.NotRun, retryIdempotent: true, retryNonIdempotent: true},
		{name: "409", serve: respondWith(409), stage: engine.StageRefused, code: "status_409", retryIdempotent: true},
		{name: "429 without a mark", serve: respondWith(429, "Retry-After", "3"), stage: engine.StageRefused, code: "status_429", retryIdempotent: true},
		{name: "429 marked not run", serve: respondWith(429, engine.HeaderNotRun, "true"), stage: engine.StageRefused, code: "status_429", verdict: verdict.NotRun, retryIdempotent: true, retryNonIdempotent: true},
		{name: "500", serve: respondWith(500), stage: engine.StageRefused, code: "status_500", retryIdempotent: true},
		{name: "502", serve: respondWith(502), stage: engine.StageRefused, code: "status_502", retryIdempotent: true},
		{name: "503 without a mark", serve: respondWith(503), stage: engine.StageRefused, code: "status_503", retryIdempotent: true},
		{name: "503 marked not run", serve: respondWith(503, engine.HeaderNotRun, "true"), stage: engine.StageRefused, code: "status_503", verdict: verdict.NotRun, retryIdempotent: true, retryNonIdempotent: true},
		{name: "302", serve: respondWith(302), stage: engine.StageRefused, code: "status_302", retryIdempotent: true},
	}
}

func TestVerdictOfEveryOutcome(t *testing.T) {
	// The verdict must be MayHaveRun unless the request certainly did not run. A
	// non-idempotent request is retried only after NotRun, an idempotent one also
	// while nothing was delivered to its caller.
	for _, test := range outcomes() {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				failure := runAttempt(t, test)
				must.NotNil(t, failure)
				must.Eq(t, test.stage, failure.Stage)
				must.Eq(t, test.code, failure.Code)
				must.Eq(t, test.verdict, failure.Verdict())
				must.Eq(t, test.delivered, failure.Delivered)
				must.Eq(t, test.retryIdempotent, failure.MayRetry(true))
				must.Eq(t, test.retryNonIdempotent, failure.MayRetry(false))
			})
		})
	}
}

func runAttempt(t *testing.T, test outcome) *engine.Failure {
	t.Helper()
	network := standin.NewNetwork()
	listener, err := network.Host("engine").Listen("80")
	must.NoError(t, err)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPost {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		test.serve(w, r)
	})}
	if test.refused {
		must.NoError(t, listener.Close())
	} else {
		go func() { _ = server.Serve(listener) }()
	}
	defer func() {
		_ = server.Close()
		network.Close()
		time.Sleep(time.Minute)
	}()
	return complete(network.Host("entry").Dial)
}

func complete(dial func(context.Context, string, string) (net.Conn, error)) *engine.Failure {
	client := engine.NewClient(engine.Config{
		Dial: dial, ConnectTimeout: time.Second, FirstPieceTimeout: 10 * time.Second,
		SilenceTimeout: 2 * time.Second, OrderTimeout: time.Second, MaxResumes: 2,
	})
	call := engine.Call{Address: "engine:80", Path: "/v1/completions", Body: []byte("{}"), Model: "m@1", AttemptID: "1"}
	return client.Complete(context.Background(), call, func(engine.Piece) error { return nil })
}

func FuzzAssembler(f *testing.F) {
	f.Add([]byte{0, 1, 2, 3})
	f.Add([]byte{3, 2, 1, 0, 0, 1})
	f.Add([]byte{0, 0, 0, 200, 1})
	f.Fuzz(func(t *testing.T, positions []byte) {
		// Pieces arrive in any order and any number of times; they are returned
		// as 0, 1, 2 and so on, each exactly once.
		assembler := engine.NewAssembler()
		next := 0
		for _, position := range positions {
			ready, err := assembler.Push(engine.Piece{Position: int(position)})
			if err != nil {
				return
			}
			for _, piece := range ready {
				must.Eq(t, next, piece.Position)
				next++
			}
		}
		must.Eq(t, next, assembler.Next())
	})
}
