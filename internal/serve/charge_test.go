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

// quotas answers charges with one outcome and keeps what was charged and given back.
type quotas struct {
	outcome ChargeOutcome
	charged []float64
	back    int
}

func (q *quotas) Charge(_ context.Context, workspace *site.Workspace, cost float64, _ time.Duration) Charge {
	q.charged = append(q.charged, cost)
	return Charge{Outcome: q.outcome, Workspace: workspace.Name, Cost: cost, Wait: 1250 * time.Millisecond}
}

func (q *quotas) Refund(Charge) { q.back++ }

// askAs serves a request of a workspace whose quota is in tokens.
func (w *world) askAs(counted forward.TokenCounts) *httptest.ResponseRecorder {
	route := &site.Route{
		Name: "live", Kind: site.Streaming, Timeout: 5 * time.Second, TargetLatency: 600 * time.Millisecond, TargetGap: 250 * time.Millisecond,
		MaxAttempts: 2, Resumable: true, Targets: []site.Target{{Service: llm, Weight: 1}},
	}
	workspace := &site.Workspace{Name: "harbour", Quota: site.Quota{Rate: 100, Burst: 100, InTokens: true, PlainTokens: 200}}
	request := &forward.Request{
		RequestMetadata: forward.RequestMetadata{ID: "q", Adapter: site.Adapter{Model: model, Name: "a1"}, PromptTokens: 800, OutputTokens: 100, TokenCounts: counted},
		Method:          http.MethodPost, Host: "host", Target: "/live/x", Header: http.Header{},
		Caller: forward.Caller{KeysEnforced: true, Workspace: workspace},
	}
	answer := httptest.NewRecorder()
	w.server.Serve(w.t.Context(), answer, route, request, time.Now())
	return answer
}

var told = forward.TokenCounts{Tokens: 900, Present: true}

// A workspace has used its quota up. Its caller is told so and when to come back, before a
// place is asked for or anything is sent.
func TestRequestBeyondTheQuotaCostsNothing(t *testing.T) {
	inWorld(t, 1, func(w *world) {
		w.server.Quotas = &quotas{outcome: ChargeRefused}
		answer := w.askAs(told)
		must.Eq(t, http.StatusTooManyRequests, answer.Code)
		must.Eq(t, "1.25", answer.Header().Get("Retry-After"))
		must.SliceEmpty(t, w.owners.asked)
		must.SliceEmpty(t, w.sent)
	})
}

// No host that counts answers. That is no word on the workspace: 503, and come back.
func TestRequestWhoseQuotaIsNotKnown(t *testing.T) {
	inWorld(t, 1, func(w *world) {
		w.server.Quotas = &quotas{outcome: ChargeUnknown}
		answer := w.askAs(told)
		must.Eq(t, http.StatusServiceUnavailable, answer.Code)
		must.SliceEmpty(t, w.sent)
	})
}

// A request that is served is charged once by what its caller tells, or by the
// configuration's figure, and nothing goes back.
func TestServedRequestIsChargedOnce(t *testing.T) {
	for name, test := range map[string]struct {
		counted forward.TokenCounts
		cost    float64
	}{"tokens told": {told, 900}, "none told": {forward.TokenCounts{}, 200}} {
		t.Run(name, func(t *testing.T) {
			inWorld(t, 1, func(w *world) {
				q := &quotas{outcome: ChargeGranted}
				w.server.Quotas = q
				must.Eq(t, http.StatusOK, w.askAs(test.counted).Code)
				must.Eq(t, []float64{test.cost}, q.charged)
				must.Eq(t, 0, q.back)
			})
		})
	}
}

// The first runner breaks the answer off and another one goes on. The workspace pays once,
// and gets nothing back: the request ran.
func TestRepeatOfOursIsNotChargedAgain(t *testing.T) {
	inWorld(t, 2, func(w *world) {
		q := &quotas{outcome: ChargeGranted}
		w.server.Quotas = q
		// The retry budget begins empty.
		time.Sleep(10 * time.Second)
		first := true
		w.answer = func(rw http.ResponseWriter, r *http.Request) {
			if first {
				first = false
				panic(http.ErrAbortHandler)
			}
			rw.Header().Set("Id", r.Header.Get("Id"))
			rw.Header().Set(stampHeader, "s")
			rw.Header().Set("Content-Type", eventStream)
			_, _ = rw.Write([]byte("id: 1\ndata: piece\n\n"))
		}
		must.Eq(t, http.StatusOK, w.askAs(told).Code)
		must.Len(t, 2, w.sent)
		must.Len(t, 1, q.charged)
		must.Eq(t, 0, q.back)
	})
}

// No runner takes the request, or each one refuses it. It has not run, and its workspace
// gets back what it was charged.
func TestRequestThatDidNotRunIsGivenBack(t *testing.T) {
	for name, refuse := range map[string]func(w *world){
		"no place": func(w *world) {
			no := func(*site.Runner, adapters.AdmissionRequest) (adapters.AdmissionResult, error) {
				return adapters.AdmissionResult{}, errors.New("no place")
			}
			for range 20 {
				w.owners.answers = append(w.owners.answers, no)
			}
		},
		"refused by the runner": func(w *world) {
			w.answer = func(rw http.ResponseWriter, _ *http.Request) {
				rw.Header().Set(notRunHeader, "1")
				rw.WriteHeader(http.StatusServiceUnavailable)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			inWorld(t, 1, func(w *world) {
				q := &quotas{outcome: ChargeGranted}
				w.server.Quotas = q
				refuse(w)
				must.Eq(t, http.StatusServiceUnavailable, w.askAs(told).Code)
				must.Eq(t, 1, q.back)
			})
		})
	}
}

// A caller tells numbers that are none. It hears what is wrong, and nothing is charged.
func TestBadNumbersOfTokens(t *testing.T) {
	inWorld(t, 1, func(w *world) {
		q := &quotas{outcome: ChargeGranted}
		w.server.Quotas = q
		answer := w.askAs(forward.TokenCounts{Present: true, Err: errors.New("not a number")})
		must.Eq(t, http.StatusBadRequest, answer.Code)
		must.StrContains(t, answer.Body.String(), "not a number")
		must.SliceEmpty(t, q.charged)
		must.SliceEmpty(t, w.sent)
	})
}
