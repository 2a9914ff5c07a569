package serve

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/cherrystage/cherrystage/internal/board"
	"github.com/cherrystage/cherrystage/internal/forward"
	"github.com/cherrystage/cherrystage/internal/placing"
	"github.com/cherrystage/cherrystage/internal/precedence"
	"github.com/cherrystage/cherrystage/internal/site"
	"github.com/shoenig/test/must"
)

// fakeSlots answers requests for slots with decide and records them.
type fakeSlots struct {
	decide   func(request SlotRequest) SlotGrant
	asked    []SlotRequest
	released []bool
}

func (s *fakeSlots) Acquire(_ context.Context, request SlotRequest) SlotGrant {
	s.asked = append(s.asked, request)
	return s.decide(request)
}

func (s *fakeSlots) Release(_ SlotGrant, refused bool) { s.released = append(s.released, refused) }

// grantLast grants a slot of the runner that the request names last.
func grantLast(request SlotRequest) SlotGrant {
	return SlotGrant{Outcome: SlotGranted, Service: request.Service, Runner: request.Runners[len(request.Runners)-1].ID}
}

func slotsUnknown(SlotRequest) SlotGrant { return SlotGrant{} }

// withPlainEnv runs a test with runners of a service without models, where plain requests ask for
// slots.
func withPlainEnv(t *testing.T, runners int, slots *fakeSlots, run func(w *testEnv)) {
	t.Helper()
	withTestEnv(t, runners, func(w *testEnv) {
		w.server.Slots = slots
		config, priority := w.directory.Snapshot().Config, 1
		config.Services[llm].Engine = nil
		config.Workspaces = site.NewWorkspaces([]*site.Workspace{{Name: "workspace", Priority: &priority}})
		// The retry budget starts empty.
		time.Sleep(10 * time.Second)
		run(w)
	})
}

func plainRoute(kind site.Kind) *site.Route {
	return &site.Route{Name: "plain", Kind: kind, Timeout: 4 * time.Second, TargetLatency: 300 * time.Millisecond, MaxAttempts: 2, Priority: 2, Targets: []site.Target{{Service: llm, Weight: 1}}}
}

func (w *testEnv) servePlain(ctx context.Context, kind site.Kind) *httptest.ResponseRecorder {
	request := &forward.Request{RequestMetadata: forward.RequestMetadata{ID: "q"}, Method: http.MethodPost, Host: "host", Target: "/plain/x", Header: http.Header{}}
	answer := httptest.NewRecorder()
	w.serve(ctx, answer, plainRoute(kind), request, time.Now())
	return answer
}

// sentTo records the runners that requests reach, and answers with the given handler.
func (w *testEnv) sentTo(handle http.HandlerFunc) *[]string {
	sent := &[]string{}
	w.runnerHandler = func(rw http.ResponseWriter, r *http.Request) {
		w.mu.Lock()
		*sent = append(*sent, r.Header.Get(instanceHeader))
		w.mu.Unlock()
		rw.Header().Set("Id", r.Header.Get("Id"))
		handle(rw, r)
	}
	return sent
}

func answerOK(rw http.ResponseWriter, _ *http.Request) {
	rw.Header().Set(stampHeader, "s")
	_, _ = rw.Write([]byte("done"))
}

func refuseFull(rw http.ResponseWriter, _ *http.Request) {
	rw.Header().Set(notRunHeader, "1")
	rw.WriteHeader(http.StatusServiceUnavailable)
}

// Guards against a granted slot that is not used, or not returned. The request may wait for it for
// half of its time.
func TestPlainRequestUsesItsSlot(t *testing.T) {
	slots := &fakeSlots{decide: grantLast}
	withPlainEnv(t, 3, slots, func(w *testEnv) {
		sent := w.sentTo(answerOK)
		begin := time.Now()
		must.Eq(t, http.StatusOK, w.servePlain(w.t.Context(), site.Idempotent).Code)
		must.Eq(t, []string{"r2"}, *sent)
		must.Eq(t, []bool{false}, slots.released)
		must.Eq(t, 2*time.Second, slots.asked[0].MaxWait)
		must.Eq(t, begin.Add(300*time.Millisecond), slots.asked[0].Due)
		must.Eq(t, begin.Add(4*time.Second), slots.asked[0].Deadline)
	})
}

// A runner refuses although its slot was granted. The ledger hears of it, and the request asks for
// a slot of the other runners, out of the retry budget.
func TestPlainRequestIsRefusedByTheRunnerOfItsSlot(t *testing.T) {
	slots := &fakeSlots{decide: grantLast}
	withPlainEnv(t, 3, slots, func(w *testEnv) {
		var sent *[]string
		sent = w.sentTo(func(rw http.ResponseWriter, r *http.Request) {
			if len(*sent) == 1 {
				refuseFull(rw, r)
				return
			}
			answerOK(rw, r)
		})
		must.Eq(t, http.StatusOK, w.servePlain(w.t.Context(), site.NonIdempotent).Code)
		must.Eq(t, []string{"r2", "r1"}, *sent)
		must.Eq(t, []bool{true, false}, slots.released)
		must.Len(t, 2, slots.asked[1].Runners)
	})
}

// Guards against a retry that is made without the retry budget, and a slot that is kept then.
func TestPlainRetryWithASlotNeedsTheRetryBudget(t *testing.T) {
	slots := &fakeSlots{decide: grantLast}
	withPlainEnv(t, 3, slots, func(w *testEnv) {
		w.server.RetryLimit.Ratio, w.server.RetryLimit.Slack = 0, 0
		sent := w.sentTo(refuseFull)
		must.Eq(t, http.StatusServiceUnavailable, w.servePlain(w.t.Context(), site.Idempotent).Code)
		must.Len(t, 1, *sent)
		must.Eq(t, []bool{true, false}, slots.released)
		must.Eq(t, 1, w.server.Counters.RetriesDenied.Load())
	})
}

// Guards against a non-idempotent request that is sent twice because its slot or its runner failed.
func TestNonIdempotentPlainRequestIsSentOnce(t *testing.T) {
	slots := &fakeSlots{decide: grantLast}
	withPlainEnv(t, 3, slots, func(w *testEnv) {
		sent := w.sentTo(abortConnection)
		must.Eq(t, http.StatusBadGateway, w.servePlain(w.t.Context(), site.NonIdempotent).Code)
		must.Len(t, 1, *sent)
		must.Eq(t, []bool{false}, slots.released)
	})
}

// No slot becomes free in time: the request is refused without being sent, and its caller is told
// the expected wait, a little more for its low precedence, and up to a third of both.
func TestPlainRequestWithoutASlotIsRefused(t *testing.T) {
	const wait = 900 * time.Millisecond
	slots := &fakeSlots{decide: func(SlotRequest) SlotGrant { return SlotGrant{Outcome: SlotRefused, Wait: wait} }}
	withPlainEnv(t, 3, slots, func(w *testEnv) {
		sent := w.sentTo(answerOK)
		told := map[string]bool{}
		for range 20 {
			answer := w.servePlain(w.t.Context(), site.Idempotent)
			must.Eq(t, http.StatusServiceUnavailable, answer.Code)
			retryAfter, err := strconv.ParseFloat(answer.Header().Get("Retry-After"), 64)
			must.NoError(t, err)
			must.Between(t, wait.Seconds(), retryAfter, precedence.RetryAfter(wait, site.Precedence{Workspace: 2, Route: 2}, 1).Seconds()+0.01)
			told[answer.Header().Get("Retry-After")] = true
		}
		must.Greater(t, 5, len(told))
		must.SliceEmpty(t, *sent)
		must.SliceEmpty(t, slots.released)
	})
}

// The caller leaves while its request waits, and the slot comes too late: it is returned, and the
// request is not sent.
func TestSlotOfACallerThatLeftIsReturned(t *testing.T) {
	slots := &fakeSlots{}
	withPlainEnv(t, 2, slots, func(w *testEnv) {
		sent := w.sentTo(answerOK)
		ctx, leave := context.WithCancel(w.t.Context())
		slots.decide = func(request SlotRequest) SlotGrant {
			leave()
			return grantLast(request)
		}
		w.servePlain(ctx, site.Idempotent)
		must.SliceEmpty(t, *sent)
		must.Eq(t, []bool{false}, slots.released)
		must.Eq(t, 1, w.server.Counters.Canceled.Load())
	})
}

// The runner leaves while the request waits for its slot: the slot is returned and another runner
// chosen.
func TestSlotOfARunnerThatLeftIsReturned(t *testing.T) {
	slots := &fakeSlots{}
	withPlainEnv(t, 2, slots, func(w *testEnv) {
		sent := w.sentTo(answerOK)
		slots.decide = func(request SlotRequest) SlotGrant {
			grant := grantLast(request)
			w.directory.MarkLeaving(grant.Runner)
			return grant
		}
		must.Eq(t, http.StatusOK, w.servePlain(w.t.Context(), site.Idempotent).Code)
		must.Eq(t, []string{"r0"}, *sent)
		must.Eq(t, []bool{false}, slots.released)
	})
}

// Guards against requests for slots of runners that this host avoids. If there is no other it is
// placed without one.
func TestNoSlotOfASuspectRunnerIsAsked(t *testing.T) {
	slots := &fakeSlots{decide: grantLast}
	withPlainEnv(t, 2, slots, func(w *testEnv) {
		sent := w.sentTo(answerOK)
		w.server.Board.RecordFailure("r1", true, time.Now())
		w.servePlain(w.t.Context(), site.Idempotent)
		must.Len(t, 1, slots.asked[0].Runners)
		w.server.Board.RecordFailure("r0", true, time.Now())
		must.Eq(t, http.StatusOK, w.servePlain(w.t.Context(), site.Idempotent).Code)
		must.Len(t, 1, slots.asked)
		must.Len(t, 2, *sent)
	})
}

// recordRandomState gives runners random loads and health.
func recordRandomState(b *board.Board, rng *rand.Rand, runners int) {
	for i := range runners {
		runner := fmt.Sprint("r", i)
		for range rng.IntN(4) {
			b.RecordStart(runner, time.Now())
		}
		b.SetPeerRequests("peer", runner, rng.IntN(14), time.Now())
		if rng.IntN(4) == 0 {
			b.RecordFailure(runner, true, time.Now())
		}
		if rng.IntN(6) == 0 {
			b.RecordSignal(runner, board.Signal{Backoff: 700 * time.Millisecond}, time.Now(), time.Now())
		}
	}
}

// Where requests are not ordered by priority, and where no ledger answers, plain requests go to the
// runner that they went to before there were slots, with the same answers; without an order no slot
// is asked for. Guards against a change of placing for deployments that do not call for it.
func TestPlacingWithoutSlotsIsAsBefore(t *testing.T) {
	const runners = 4
	for seed := range uint64(60) {
		for name, ordered := range map[string]bool{"not ordered by priority": false, "no ledger": true} {
			t.Run(fmt.Sprint(name, seed), func(t *testing.T) {
				slots := &fakeSlots{decide: slotsUnknown}
				withPlainEnv(t, runners, slots, func(w *testEnv) {
					if !ordered {
						w.directory.Snapshot().Config.Workspaces = nil
					}
					recordRandomState(w.server.Board, rand.New(rand.NewPCG(seed, 1)), runners)
					want, wantCode := w.previousChoice()
					sent := w.sentTo(answerOK)
					answer := w.servePlain(w.t.Context(), site.Idempotent)
					must.Eq(t, wantCode, answer.Code)
					if wantCode == http.StatusOK {
						must.Eq(t, []string{want}, *sent)
					}
					must.SliceEmpty(t, slots.released)
					if !ordered {
						must.SliceEmpty(t, slots.asked)
					}
				})
			})
		}
	}
}

// previousChoice returns the runner by the rule that holds without slots, and the status of the
// answer.
func (w *testEnv) previousChoice() (string, int) {
	var candidates []placing.Candidate
	for _, runner := range w.directory.Snapshot().ByService[llm] {
		view := w.server.Board.View(runner.ID, time.Now())
		if view.BlockedFor == 0 {
			candidates = append(candidates, placing.Candidate{ID: runner.ID, Load: view.Load, Slots: runner.Slots, Suspect: view.Suspect || view.Refusing, Local: true})
		}
	}
	choice := placing.LeastLoaded(candidates)
	if choice < 0 {
		return "", http.StatusServiceUnavailable
	}
	return candidates[choice].ID, http.StatusOK
}

// Guards against a preference for runners of other data centres where as many slots are free.
func TestSlotsOfTheOwnDataCentreAreNamedFirst(t *testing.T) {
	slots := &fakeSlots{decide: grantLast}
	withPlainEnv(t, 2, slots, func(w *testEnv) {
		w.sentTo(answerOK)
		w.server.DataCentre = "east"
		w.putRecord(w.directory.Runners, "r1", site.Runner{Service: llm, Address: "r1:80", Slots: 12, DataCentre: "east"})
		w.servePlain(w.t.Context(), site.Idempotent)
		must.Eq(t, "r1", slots.asked[0].Runners[0].ID)
		must.True(t, slices.ContainsFunc(slots.asked[0].Runners, func(r *site.Runner) bool { return r.ID == "r0" }))
	})
}
