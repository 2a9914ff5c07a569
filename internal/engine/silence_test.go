package engine_test

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cherrystage/cherrystage/internal/engine"
	"github.com/cherrystage/cherrystage/internal/standin"
	"github.com/shoenig/test/must"
)

// pausingEngine answers with a piece, a pause, another piece and the end. What asks for the rest of
// the stream gets the answer of rest.
type pausingEngine struct {
	pause time.Duration
	rest  func(w http.ResponseWriter, r *http.Request)
	// canceled is set once the engine was told to stop, dropped once the first connection ended early.
	canceled, dropped atomic.Bool
	rests             atomic.Int32
}

func (e *pausingEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.Method {
	case http.MethodDelete:
		e.canceled.Store(true)
	case http.MethodGet:
		e.rests.Add(1)
		e.rest(w, r)
	default:
		_, _ = io.Copy(io.Discard, r.Body)
		writeEvents(w, piece(0))
		select {
		case <-time.After(e.pause):
			writeEvents(w, piece(1), done)
		case <-r.Context().Done():
			e.dropped.Store(true)
		}
	}
}

// inEngine runs a test with a client of an engine in virtual time.
func inEngine(t *testing.T, handler http.Handler, during func(network *standin.Network), run func(client *engine.Client)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		network := standin.NewNetwork()
		listener, err := network.Host("engine").Listen("80")
		must.NoError(t, err)
		server := &http.Server{Handler: handler}
		go func() { _ = server.Serve(listener) }()
		if during != nil {
			go during(network)
		}
		run(engine.NewClient(engine.Config{
			Dial: network.Host("entry").Dial, ConnectTimeout: time.Second, FirstPieceTimeout: 10 * time.Second,
			SilenceTimeout: 2 * time.Second, OrderTimeout: time.Second, MaxResumes: 2,
		}))
		time.Sleep(time.Minute)
		_ = server.Close()
		network.Close()
		time.Sleep(time.Minute)
	})
}

// completeAt makes one attempt at an engine that pauses, and returns its positions.
func completeAt(t *testing.T, e *pausingEngine, during func(network *standin.Network)) (positions []int, failure *engine.Failure) {
	t.Helper()
	inEngine(t, e, during, func(client *engine.Client) {
		call := engine.Call{Address: "engine:80", Path: "/v1/completions", Body: []byte("{}"), Model: "m@1", AttemptID: "1"}
		failure = client.Complete(context.Background(), call, func(p engine.Piece) error {
			positions = append(positions, p.Position)
			return nil
		})
	})
	return positions, failure
}

// An engine pauses for longer than the silence timeout and goes on. The host asks for the rest of the
// stream on a new connection, which the engine refuses, being full. It had closed the first connection
// before it asked, so the caller's stream ended although the engine went on a second later.
func TestPausedStreamGoesOnWhereItsRestIsRefused(t *testing.T) {
	for _, status := range []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusInternalServerError} {
		e := &pausingEngine{pause: 3 * time.Second, rest: func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) }}
		positions, failure := completeAt(t, e, nil)
		must.Nil(t, failure)
		must.Eq(t, []int{0, 1}, positions)
		must.Eq(t, 1, e.rests.Load())
		must.False(t, e.dropped.Load())
		must.False(t, e.canceled.Load())
	}
}

// As above, but the engine takes no new connections for the rest of the stream, or resets them.
func TestPausedStreamGoesOnWithoutNewConnections(t *testing.T) {
	for _, during := range []func(network *standin.Network){
		func(network *standin.Network) {
			time.Sleep(time.Second)
			network.RefuseNew("entry", "engine")
		},
		nil,
	} {
		e := &pausingEngine{pause: 3500 * time.Millisecond, rest: func(http.ResponseWriter, *http.Request) { resetConnection() }}
		positions, failure := completeAt(t, e, during)
		must.Nil(t, failure)
		must.Eq(t, []int{0, 1}, positions)
		must.False(t, e.dropped.Load())
	}
}

// An engine, and with it each connection to it, is silent for longer than the silence timeout. The
// first piece on either connection decides, and no piece comes twice.
func TestPausedStreamIsHeardOnOneConnection(t *testing.T) {
	e := &pausingEngine{pause: 3 * time.Second, rest: func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(time.Second)
		writeEvents(w, piece(1), done)
	}}
	positions, failure := completeAt(t, e, nil)
	must.Nil(t, failure)
	must.Eq(t, []int{0, 1}, positions)
}

// The first connection is silent for good: the rest comes on the second, and the first is closed as
// soon as that speaks.
func TestRestOfStreamReplacesSilentConnection(t *testing.T) {
	e := &pausingEngine{pause: time.Hour}
	var droppedInTime atomic.Bool
	e.rest = func(w http.ResponseWriter, _ *http.Request) {
		writeEvents(w, piece(1))
		time.Sleep(time.Second)
		droppedInTime.Store(e.dropped.Load())
		writeEvents(w, done)
	}
	positions, failure := completeAt(t, e, nil)
	must.Nil(t, failure)
	must.Eq(t, []int{0, 1}, positions)
	must.True(t, droppedInTime.Load())
}

// An engine stays silent: after the last resume the attempt ends as silent, and the engine is told.
func TestSilentEngineIsGivenUpAfterItsResumes(t *testing.T) {
	e := &pausingEngine{pause: time.Hour, rest: func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }}
	positions, failure := completeAt(t, e, nil)
	must.NotNil(t, failure)
	must.Eq(t, engine.StageStream, failure.Stage)
	must.Eq(t, engine.CodeSilent, failure.Code)
	must.Eq(t, 1, failure.Delivered)
	must.Eq(t, []int{0}, positions)
	must.Eq(t, 2, e.rests.Load())
	must.True(t, e.canceled.Load())
}

// A request goes out on a pooled connection, and its engine, which is busy, takes longer than the
// silence timeout to begin its answer. The host asks for the answer on a new connection, in case the
// pooled one is dead, and the engine refuses that. The host had closed the pooled connection before it
// asked, so the caller got an error although the engine would have answered a second later.
func TestSlowAnswerOnPooledConnectionIsNotGivenUp(t *testing.T) {
	var requests, dropped atomic.Int32
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPost {
			w.WriteHeader(http.StatusServiceUnavailable)
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
			must.Nil(t, client.Complete(context.Background(), call, func(engine.Piece) error { return nil }))
			time.Sleep(time.Second)
		}
	})
	must.Eq(t, 2, requests.Load())
	must.Eq(t, 0, dropped.Load())
}

// An engine answers nothing any more, and the request is on a pooled connection: the attempt ends after
// the first silence and one for each resume, and not at the end of the time for a first piece.
func TestNoAnswerOnPooledConnectionEndsInTime(t *testing.T) {
	var requests atomic.Int32
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if r.Method == http.MethodPost && requests.Add(1) == 1 {
			writeEvents(w, piece(0), piece(1), done)
			return
		}
		<-r.Context().Done()
	})
	inEngine(t, handler, nil, func(client *engine.Client) {
		call := engine.Call{Address: "engine:80", Path: "/v1/completions", Body: []byte("{}"), Model: "m@1", AttemptID: "1", Idempotent: true}
		must.Nil(t, client.Complete(context.Background(), call, func(engine.Piece) error { return nil }))
		time.Sleep(time.Second)
		began := time.Now()
		failure := client.Complete(context.Background(), call, func(engine.Piece) error { return nil })
		must.NotNil(t, failure)
		must.Eq(t, engine.CodeSilent, failure.Code)
		must.True(t, failure.MayRetry(true))
		must.False(t, failure.MayRetry(false))
		must.LessEq(t, 3*2*time.Second, time.Since(began))
	})
}
