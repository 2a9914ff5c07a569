package serve

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cherrystage/cherrystage/internal/adapters"
	"github.com/cherrystage/cherrystage/internal/forward"
	"github.com/cherrystage/cherrystage/internal/site"
	"github.com/shoenig/test/must"
)

// fakeQuotas answers every charge with one outcome and records charges and refunds.
type fakeQuotas struct {
	outcome  ChargeOutcome
	charged  []float64
	refunded int
}

func (q *fakeQuotas) Charge(_ context.Context, workspace *site.Workspace, cost float64, _ time.Duration) Charge {
	q.charged = append(q.charged, cost)
	return Charge{Outcome: q.outcome, Workspace: workspace.Name, Cost: cost, Wait: 1250 * time.Millisecond}
}

func (q *fakeQuotas) Refund(Charge) { q.refunded++ }

// serveWorkspace serves a request of a workspace with a quota in tokens.
func (w *testEnv) serveWorkspace(counted forward.TokenCounts) *httptest.ResponseRecorder {
	route := &site.Route{
		Name: "live", Kind: site.Streaming, Timeout: 5 * time.Second, TargetLatency: 600 * time.Millisecond, TargetGap: 250 * time.Millisecond,
		MaxAttempts: 2, Resumable: true, Targets: []site.Target{{Service: llm, Weight: 1}},
	}
	workspace := &site.Workspace{Name: "harbour", Quota: site.Quota{Rate: 100, Burst: 100, InTokens: true, DefaultTokens: 200}}
	request := &forward.Request{
		RequestMetadata: forward.RequestMetadata{ID: "q", Adapter: site.Adapter{Model: model, Name: "a1"}, PromptTokens: 800, OutputTokens: 100, TokenCounts: counted},
		Method:          http.MethodPost, Host: "host", Target: "/live/x", Header: http.Header{},
		Caller: forward.Caller{KeysEnforced: true, Workspace: workspace},
	}
	answer := httptest.NewRecorder()
	w.serve(w.t.Context(), answer, route, request, time.Now())
	return answer
}

var declaredTokens = forward.TokenCounts{Tokens: 900, Present: true}

// A workspace has used up its quota. The caller gets 429 with Retry-After, and no runner is
// asked for admission or sent anything.
func TestRequestOverQuotaIsNotSent(t *testing.T) {
	withTestEnv(t, 1, func(w *testEnv) {
		w.server.Quotas = &fakeQuotas{outcome: ChargeRefused}
		answer := w.serveWorkspace(declaredTokens)
		must.Eq(t, http.StatusTooManyRequests, answer.Code)
		must.Eq(t, "1.25", answer.Header().Get("Retry-After"))
		must.SliceEmpty(t, w.owners.asked)
		must.SliceEmpty(t, w.sentVersions)
	})
}

// No host that counts the quota answers. Whether it is exceeded is unknown: 503, not 429.
func TestRequestWithUnknownQuota(t *testing.T) {
	withTestEnv(t, 1, func(w *testEnv) {
		w.server.Quotas = &fakeQuotas{outcome: ChargeUnknown}
		answer := w.serveWorkspace(declaredTokens)
		must.Eq(t, http.StatusServiceUnavailable, answer.Code)
		must.SliceEmpty(t, w.sentVersions)
	})
}

// A served request is charged once, by the caller's token counts or else by the configured
// number, and is not refunded.
func TestServedRequestIsChargedOnce(t *testing.T) {
	for name, test := range map[string]struct {
		counted forward.TokenCounts
		cost    float64
	}{"tokens told": {declaredTokens, 900}, "none told": {forward.TokenCounts{}, 200}} {
		t.Run(name, func(t *testing.T) {
			withTestEnv(t, 1, func(w *testEnv) {
				q := &fakeQuotas{outcome: ChargeGranted}
				w.server.Quotas = q
				must.Eq(t, http.StatusOK, w.serveWorkspace(test.counted).Code)
				must.Eq(t, []float64{test.cost}, q.charged)
				must.Eq(t, 0, q.refunded)
			})
		})
	}
}

// The first runner's answer is cut off and another runner answers. The workspace is charged
// once and gets no refund, since the request ran.
func TestRetryIsNotChargedAgain(t *testing.T) {
	withTestEnv(t, 2, func(w *testEnv) {
		q := &fakeQuotas{outcome: ChargeGranted}
		w.server.Quotas = q
		// The retry budget starts empty.
		time.Sleep(10 * time.Second)
		first := true
		w.runnerHandler = func(rw http.ResponseWriter, r *http.Request) {
			if first {
				first = false
				panic(http.ErrAbortHandler)
			}
			rw.Header().Set("Id", r.Header.Get("Id"))
			rw.Header().Set(stampHeader, "s")
			rw.Header().Set("Content-Type", eventStreamType)
			_, _ = rw.Write([]byte("id: 1\ndata: piece\n\n"))
		}
		must.Eq(t, http.StatusOK, w.serveWorkspace(declaredTokens).Code)
		must.Len(t, 2, w.sentVersions)
		must.Len(t, 1, q.charged)
		must.Eq(t, 0, q.refunded)
	})
}

// No owner admits the request, or every runner refuses it. It has not run, and its workspace
// gets a refund.
func TestRequestThatDidNotRunIsRefunded(t *testing.T) {
	for name, refuse := range map[string]func(w *testEnv){
		"no place": func(w *testEnv) {
			no := func(*site.Runner, adapters.AdmissionRequest) (adapters.AdmissionResult, error) {
				return adapters.AdmissionResult{}, errors.New("no place")
			}
			for range 20 {
				w.owners.admissions = append(w.owners.admissions, no)
			}
		},
		"refused by the runner": func(w *testEnv) {
			w.runnerHandler = func(rw http.ResponseWriter, r *http.Request) {
				rw.Header().Set("Id", r.Header.Get("Id"))
				refuseRun(rw)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			withTestEnv(t, 1, func(w *testEnv) {
				q := &fakeQuotas{outcome: ChargeGranted}
				w.server.Quotas = q
				refuse(w)
				must.Eq(t, http.StatusServiceUnavailable, w.serveWorkspace(declaredTokens).Code)
				must.Eq(t, 1, q.refunded)
			})
		})
	}
}

// The caller's token counts are invalid. The answer says why, and nothing is charged.
func TestInvalidTokenCounts(t *testing.T) {
	withTestEnv(t, 1, func(w *testEnv) {
		q := &fakeQuotas{outcome: ChargeGranted}
		w.server.Quotas = q
		answer := w.serveWorkspace(forward.TokenCounts{Present: true, Err: errors.New("not a number")})
		must.Eq(t, http.StatusBadRequest, answer.Code)
		must.StrContains(t, answer.Body.String(), "not a number")
		must.SliceEmpty(t, q.charged)
		must.SliceEmpty(t, w.sentVersions)
	})
}
