package engine_test

import (
	"context"
	"io"
	"net/http"
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

// completeAt makes one attempt at an engine that pauses, and returns its positions.
func completeAt(t *testing.T, e *pausingEngine, during func(network *standin.Network)) (positions []int, failure *engine.Failure) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		network := standin.NewNetwork()
		listener, err := network.Host("engine").Listen("80")
		must.NoError(t, err)
		server := &http.Server{Handler: e}
		go func() { _ = server.Serve(listener) }()
		if during != nil {
			go during(network)
		}
		client := engine.NewClient(engine.Config{
			Dial: network.Host("entry").Dial, ConnectTimeout: time.Second, FirstPieceTimeout: 10 * time.Second,
			SilenceTimeout: 2 * time.Second, OrderTimeout: time.Second, MaxResumes: 2,
		})
		call := engine.Call{Address: "engine:80", Path: "/v1/completions", Body: []byte("{}"), Model: "m@1", AttemptID: "1"}
		failure = client.Complete(context.Background(), call, func(p engine.Piece) error {
			positions = append(positions, p.Position)
			return nil
		})
		time.Sleep(time.Minute)
		_ = server.Close()
		network.Close()
		time.Sleep(time.Minute)
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
