package serve

import (
	"net/http"
	"testing"
	"time"

	"github.com/cherrystage/cherrystage/internal/adapters"
	"github.com/cherrystage/cherrystage/internal/retrybudget"
	"github.com/cherrystage/cherrystage/internal/site"
	"github.com/shoenig/test/must"
)

// Guards against a request that is sent to the same refusing engine until its sends are used
// up, while other engines have free slots.
func TestRefusedRequestGoesToAnotherEngine(t *testing.T) {
	withTestEnv(t, 2, func(w *testEnv) {
		refusing, refused := "", 0
		w.runnerHandler = func(rw http.ResponseWriter, r *http.Request) {
			if refusing == "" {
				refusing = r.Header.Get(instanceHeader)
			}
			rw.Header().Set("Id", r.Header.Get("Id"))
			if r.Header.Get(instanceHeader) == refusing {
				refused++
				rw.Header().Set(notRunHeader, "1")
				rw.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			rw.Header().Set(stampHeader, "s")
			rw.Header().Set("Content-Type", eventStreamType)
			_, _ = rw.Write([]byte("id: 1\ndata: piece\n\n"))
		}
		// The retry budget starts empty.
		time.Sleep(10 * time.Second)
		must.Eq(t, http.StatusOK, w.serveAdapter("a", 5*time.Second).Code)
		must.LessEq(t, 1+maxAdapterMisses, refused)
	})
}

// Guards against a request that is sent to a runner that asked for a pause while the request
// waited for its adapter there.
func TestWaitingRequestIsNotSentToPausedRunner(t *testing.T) {
	withTestEnv(t, 2, func(w *testEnv) {
		first := ""
		w.owners.admissions = append(w.owners.admissions, func(runner *site.Runner, _ adapters.AdmissionRequest) (adapters.AdmissionResult, error) {
			first = runner.ID
			w.pressure.pauses[runner.ID] = 3 * time.Second
			return adapters.AdmissionResult{At: time.Now().Add(300 * time.Millisecond)}, nil
		})
		sentTo := ""
		w.runnerHandler = func(rw http.ResponseWriter, r *http.Request) {
			sentTo = r.Header.Get(instanceHeader)
			w.runnerHandler = nil
			w.handleRunner(rw, r)
		}
		must.Eq(t, http.StatusOK, w.serveAdapter("a", 5*time.Second).Code)
		must.NotEq(t, first, sentTo)
		must.Eq(t, 2, w.owners.released, must.Sprint("the unused admission is released"))
	})
}

// All runners are paused when the request is to be sent: Retry-After is the time until the
// first of them accepts requests again.
func TestRetryAfterIsTheShortestPause(t *testing.T) {
	withTestEnv(t, 2, func(w *testEnv) {
		w.pressure.pauses["r0"], w.pressure.pauses["r1"] = 3*time.Second, 1200*time.Millisecond
		answer := w.serveAdapter("a", 5*time.Second)
		must.Eq(t, http.StatusServiceUnavailable, answer.Code)
		must.Eq(t, "1.20", answer.Header().Get("Retry-After"))
		must.SliceEmpty(t, w.sentVersions)
		must.Eq(t, 2, w.owners.released)
	})
}

// Guards against a request that is refused for want of a retry although it has reached no runner
// yet: its connections were refused, so the next attempt is its first arrival.
func TestAttemptsWithoutConnectionNeedNoRetryBudget(t *testing.T) {
	withTestEnv(t, 4, func(w *testEnv) {
		w.server.RetryLimit = retrybudget.Limit{Window: 10 * time.Second}
		first := ""
		w.owners.admissions = append(w.owners.admissions, func(runner *site.Runner, _ adapters.AdmissionRequest) (adapters.AdmissionResult, error) {
			first = runner.ID
			w.net.Partition("host", runner.ID)
			return adapters.AdmissionResult{At: time.Now()}, nil
		})
		must.Eq(t, http.StatusOK, w.serveAdapter("a", 5*time.Second).Code)
		must.NotEq(t, "", first)
		must.Len(t, 1, w.sentVersions)
	})
}

// A request is admitted to the second runner that it asks, whose adapter is not loaded yet when it
// arrives. It goes there again once that is done, and not to a runner that has to load it first too.
func TestRequestGoesAgainWhereItsAdapterLoads(t *testing.T) {
	withTestEnv(t, 3, func(w *testEnv) {
		w.owners.admissions = append(w.owners.admissions, func(*site.Runner, adapters.AdmissionRequest) (adapters.AdmissionResult, error) {
			return adapters.AdmissionResult{}, adapters.ErrBusy
		})
		var sentTo []string
		w.runnerHandler = func(rw http.ResponseWriter, r *http.Request) {
			sentTo = append(sentTo, r.Header.Get(instanceHeader))
			if len(sentTo) > 1 {
				w.runnerHandler = nil
				w.handleRunner(rw, r)
				return
			}
			rw.Header().Set("Id", r.Header.Get("Id"))
			refuseRun(rw)
		}
		time.Sleep(10 * time.Second)
		must.Eq(t, http.StatusOK, w.serveAdapter("a", 5*time.Second).Code)
		must.Len(t, 2, sentTo)
		must.Eq(t, sentTo[0], sentTo[1])
	})
}

// No runner has an owner that gives orders when a request arrives. They have soon after; the request
// waits for that and is served, in time.
func TestRequestWaitsForRunnersToHaveOwners(t *testing.T) {
	for name, wait := range map[string]time.Duration{"soon": 250 * time.Millisecond, "too late": 2 * time.Second} {
		t.Run(name, func(t *testing.T) {
			withTestEnv(t, 2, func(w *testEnv) {
				arrived := time.Now()
				for range 100 {
					w.owners.admissions = append(w.owners.admissions, func(*site.Runner, adapters.AdmissionRequest) (adapters.AdmissionResult, error) {
						if time.Since(arrived) < wait {
							return adapters.AdmissionResult{}, adapters.ErrNotOwner
						}
						return adapters.AdmissionResult{At: time.Now()}, nil
					})
				}
				answer := w.serveAdapter("a", 5*time.Second)
				must.Less(t, 600*time.Millisecond, time.Since(arrived))
				if wait < 600*time.Millisecond {
					must.Eq(t, http.StatusOK, answer.Code)
					return
				}
				must.Eq(t, http.StatusServiceUnavailable, answer.Code)
				must.NotEq(t, "", answer.Header().Get("Retry-After"))
			})
		})
	}
}
