package serve

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cherrystage/cherrystage/internal/forward"
	"github.com/cherrystage/cherrystage/internal/quarantine"
	"github.com/cherrystage/cherrystage/internal/retrybudget"
	"github.com/cherrystage/cherrystage/internal/site"
	"github.com/shoenig/test/must"
)

// askRepeatable serves a request for an adapter that may go to two runners.
func (w *world) askRepeatable() *httptest.ResponseRecorder {
	route := &site.Route{
		Name: "live", Kind: site.Streaming, Timeout: 5 * time.Second, TargetLatency: 600 * time.Millisecond, TargetGap: 250 * time.Millisecond,
		MaxAttempts: 2, Resumable: true, Targets: []site.Target{{Service: llm, Weight: 1}},
	}
	answer := httptest.NewRecorder()
	w.server.Serve(w.t.Context(), answer, route, w.request(), time.Now())
	return answer
}

func (w *world) request() *forward.Request {
	return &forward.Request{
		RequestMetadata: forward.RequestMetadata{ID: "q", Adapter: site.Adapter{Model: model, Name: "a"}, PromptTokens: 800, OutputTokens: 100},
		Method:          http.MethodPost, Host: "host", Target: "/live/x", Header: http.Header{},
	}
}

// hold has the request kept from runners, as another host told.
func (w *world) hold() {
	w.server.Quarantine.Merge([]quarantine.Entry{{Content: contentOf(w.request()).Fingerprint(), Round: 2}}, time.Now())
}

// breakOff ends the runner's connection before an answer.
func breakOff(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// A request waits at its runner's owner for a second while hosts agree to keep it from
// runners. Its caller hears so within a tenth of a second and not when its turn comes, and
// no runner gets it.
func TestRequestIsKeptWhileItWaits(t *testing.T) {
	inWorld(t, 2, func(w *world) {
		w.owners.answers = append(w.owners.answers, later(time.Second, false))
		time.AfterFunc(300*time.Millisecond, w.hold)
		begin := time.Now()
		answer := w.askRepeatable()
		must.Eq(t, http.StatusServiceUnavailable, answer.Code)
		must.LessEq(t, 300*time.Millisecond+leavingCheck, time.Since(begin))
		must.SliceEmpty(t, w.sent)
		must.Eq(t, len(w.owners.asked), w.owners.ended, must.Sprint("places that were given back"))
	})
}

// Hosts agree on a request after the first of two runners has ended under it. It may have run, so
// its caller must not be told that it has not, and the second runner does not get it.
func TestRequestIsKeptAfterARunnersEnd(t *testing.T) {
	inWorld(t, 2, func(w *world) {
		w.answer = func(http.ResponseWriter, *http.Request) {
			w.hold()
			panic(http.ErrAbortHandler)
		}
		must.Eq(t, http.StatusBadGateway, w.askRepeatable().Code)
		must.Len(t, 1, w.sent)
		must.Eq(t, len(w.owners.asked), w.owners.ended)
	})
}

// A request is admitted to a second runner, and the retry budget is spent. The place that
// it was admitted to is given back: its adapter would count as used there for seconds, and
// others would be refused for it.
func TestPlaceIsGivenBackWithoutABudget(t *testing.T) {
	inWorld(t, 2, func(w *world) {
		w.answer = breakOff
		w.server.RetryLimit = retrybudget.Limit{Window: 10 * time.Second}
		must.Eq(t, http.StatusBadGateway, w.askRepeatable().Code)
		must.Len(t, 1, w.sent)
		must.Len(t, 2, w.owners.asked)
		must.Eq(t, 2, w.owners.ended)
	})
}

// Answers that break off are told with their content and runner; one that comes whole
// clears its request.
func TestEndsOfAnswersAreTold(t *testing.T) {
	inWorld(t, 2, func(w *world) {
		w.answer = breakOff
		// The retry budget starts empty.
		time.Sleep(2 * time.Second)
		w.askRepeatable()
		due, _ := w.server.Quarantine.TakeDue(time.Now().Add(time.Second), w.server.Board.RespondedSince)
		must.Len(t, 2, due)
		must.NotEq(t, due[0].Runner, due[1].Runner)
		for _, cut := range due {
			must.Eq(t, contentOf(w.request()).Fingerprint(), cut.Content)
		}
		w.hold()
		must.Eq(t, http.StatusServiceUnavailable, w.askRepeatable().Code)
		w.server.Quarantine.RecordCompletion(due[0].Content, time.Now())
		w.answer = nil
		must.Eq(t, http.StatusOK, w.askRepeatable().Code)
	})
}
