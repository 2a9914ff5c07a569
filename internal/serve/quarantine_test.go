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

// serveRepeatable serves a request for an adapter that may be attempted twice.
func (w *testEnv) serveRepeatable() *httptest.ResponseRecorder {
	route := &site.Route{
		Name: "live", Kind: site.Streaming, Timeout: 5 * time.Second, TargetLatency: 600 * time.Millisecond, TargetGap: 250 * time.Millisecond,
		MaxAttempts: 2, Resumable: true, Targets: []site.Target{{Service: llm, Weight: 1}},
	}
	answer := httptest.NewRecorder()
	w.serve(w.t.Context(), answer, route, w.request(), time.Now())
	return answer
}

func (w *testEnv) request() *forward.Request {
	return &forward.Request{
		RequestMetadata: forward.RequestMetadata{ID: "q", Adapter: site.Adapter{Model: model, Name: "a"}, PromptTokens: 800, OutputTokens: 100},
		Method:          http.MethodPost, Host: "host", Target: "/live/x", Header: http.Header{},
	}
}

// quarantineRequest quarantines the request as if another host had reported it.
func (w *testEnv) quarantineRequest() {
	w.server.Quarantine.Merge([]quarantine.Entry{{Content: contentOf(w.request()).Fingerprint(), Round: 2}}, time.Now())
}

// abortConnection closes the runner's connection without an answer.
func abortConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// A request is quarantined during a one-second wait for its admitted time. It is answered
// within a tenth of a second, not at the end of the wait, and no runner gets it.
func TestRequestIsQuarantinedWhileItWaits(t *testing.T) {
	withTestEnv(t, 2, func(w *testEnv) {
		w.owners.admissions = append(w.owners.admissions, admitAfter(time.Second, false))
		time.AfterFunc(300*time.Millisecond, w.quarantineRequest)
		begin := time.Now()
		answer := w.serveRepeatable()
		must.Eq(t, http.StatusServiceUnavailable, answer.Code)
		must.LessEq(t, 300*time.Millisecond+waitCheckInterval, time.Since(begin))
		must.SliceEmpty(t, w.sentVersions)
		must.Eq(t, len(w.owners.asked), w.owners.released, must.Sprint("released admissions"))
	})
}

// A request is quarantined after the first of two runners crashed under it. It may have run, so
// the answer must not say that it has not, and the second runner does not get it.
func TestRequestIsQuarantinedAfterARunnerCrash(t *testing.T) {
	withTestEnv(t, 2, func(w *testEnv) {
		w.runnerHandler = func(http.ResponseWriter, *http.Request) {
			w.quarantineRequest()
			panic(http.ErrAbortHandler)
		}
		must.Eq(t, http.StatusBadGateway, w.serveRepeatable().Code)
		must.Len(t, 1, w.sentVersions)
		must.Eq(t, len(w.owners.asked), w.owners.released)
	})
}

// A retry is admitted to a second runner, but the retry budget is spent. The admission must be
// released: otherwise its adapter counts as in use there for seconds, and others are refused.
func TestAdmissionIsReleasedWithoutRetryBudget(t *testing.T) {
	withTestEnv(t, 2, func(w *testEnv) {
		w.runnerHandler = abortConnection
		w.server.RetryLimit = retrybudget.Limit{Window: 10 * time.Second}
		must.Eq(t, http.StatusBadGateway, w.serveRepeatable().Code)
		must.Len(t, 1, w.sentVersions)
		must.Len(t, 2, w.owners.asked)
		must.Eq(t, 2, w.owners.released)
	})
}

// Cut-off answers are reported with their content and runner; a complete answer clears the
// request.
func TestCutOffAnswersAreReported(t *testing.T) {
	withTestEnv(t, 2, func(w *testEnv) {
		w.runnerHandler = abortConnection
		// The retry budget starts empty.
		time.Sleep(2 * time.Second)
		w.serveRepeatable()
		due, _ := w.server.Quarantine.TakeDue(time.Now().Add(time.Second), func(runner string, since time.Time) quarantine.Liveness {
			if w.server.Board.RespondedSince(runner, since) {
				return quarantine.Alive
			}
			return quarantine.Silent
		})
		must.Len(t, 2, due)
		must.NotEq(t, due[0].Runner, due[1].Runner)
		for _, truncation := range due {
			must.Eq(t, contentOf(w.request()).Fingerprint(), truncation.Content)
		}
		w.quarantineRequest()
		must.Eq(t, http.StatusServiceUnavailable, w.serveRepeatable().Code)
		w.server.Quarantine.RecordCompletion(quarantine.Subject{Fingerprint: due[0].Content}, time.Now())
		w.runnerHandler = nil
		must.Eq(t, http.StatusOK, w.serveRepeatable().Code)
	})
}
