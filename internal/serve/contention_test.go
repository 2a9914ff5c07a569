package serve

import (
	"errors"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/cherrystage/cherrystage/internal/adapters"
	"github.com/cherrystage/cherrystage/internal/site"
	"github.com/shoenig/test/must"
)

// deferWith answers an admission: others go first, the request asks again after wait.
func deferWith(ticket uint64, wait time.Duration) func(*site.Runner, adapters.AdmissionRequest) (adapters.AdmissionResult, error) {
	return func(*site.Runner, adapters.AdmissionRequest) (adapters.AdmissionResult, error) {
		return adapters.AdmissionResult{At: time.Now().Add(wait), AskAgain: true, Ticket: ticket}, nil
	}
}

func TestDeferredRequestReturnsItsTicket(t *testing.T) {
	withTestEnv(t, 2, func(w *testEnv) {
		w.owners.admissions = append(w.owners.admissions, deferWith(7, 80*time.Millisecond), deferWith(7, 40*time.Millisecond))
		answer := w.serveAdapter("a", 5*time.Second)
		must.Eq(t, http.StatusOK, answer.Code)
		must.Len(t, 3, w.owners.asked)
		must.Eq(t, 0, w.owners.asked[0].Ticket)
		must.False(t, w.owners.asked[0].Waited)
		for _, ask := range w.owners.asked[1:] {
			must.Eq(t, 7, ask.Ticket)
			must.True(t, ask.Waited)
		}
		must.Eq(t, 120*time.Millisecond, w.owners.asked[0].MaxWait-w.owners.asked[2].MaxWait)
	})
}

// The owner of the runner is lost while it defers a request. The request is placed on
// another runner, without its ticket, while it can still be on time.
func TestDeferredRequestOfLostOwnerGoesToAnotherRunner(t *testing.T) {
	withTestEnv(t, 2, func(w *testEnv) {
		lost := func(*site.Runner, adapters.AdmissionRequest) (adapters.AdmissionResult, error) {
			time.Sleep(50 * time.Millisecond)
			return adapters.AdmissionResult{}, errors.New("unreachable")
		}
		w.owners.admissions = append(w.owners.admissions, deferWith(7, 80*time.Millisecond), lost)
		answer := w.serveAdapter("a", 5*time.Second)
		must.Eq(t, http.StatusOK, answer.Code)
		must.Len(t, 3, w.owners.asked)
		must.Eq(t, 0, w.owners.asked[2].Ticket)
		must.False(t, w.owners.asked[2].Waited)
		must.Positive(t, w.owners.asked[2].LatencyBudget)
	})
}

// refuseWith answers an admission with a refusal.
func refuseWith(err error) func(*site.Runner, adapters.AdmissionRequest) (adapters.AdmissionResult, error) {
	return func(*site.Runner, adapters.AdmissionRequest) (adapters.AdmissionResult, error) {
		return adapters.AdmissionResult{}, err
	}
}

// Guards against callers that are all told to retry after the same time.
func TestRetryAfterFollowsTheShortestWait(t *testing.T) {
	refused := func(w *testEnv) string {
		for _, wait := range []time.Duration{900 * time.Millisecond, 600 * time.Millisecond, 0, 700 * time.Millisecond} {
			err := error(adapters.ErrPromptBacklog)
			if wait > 0 {
				err = &adapters.WaitError{Err: err, Wait: wait}
			}
			w.owners.admissions = append(w.owners.admissions, refuseWith(err))
		}
		answer := w.serveAdapter("a", 5*time.Second)
		must.Eq(t, http.StatusServiceUnavailable, answer.Code)
		must.Len(t, 0, w.owners.admissions)
		return answer.Header().Get("Retry-After")
	}
	withTestEnv(t, 2, func(w *testEnv) {
		must.Eq(t, "0.30", refused(w), must.Sprint("requests are not ordered by priority"))
	})
	withTestEnv(t, 2, func(w *testEnv) {
		w.orderByPriority()
		time.Sleep(recoveryPeriod)
		answers := map[string]bool{}
		for range 20 {
			answer := refused(w)
			seconds, err := strconv.ParseFloat(answer, 64)
			must.NoError(t, err)
			must.Between(t, 0.6, seconds, 0.81)
			answers[answer] = true
		}
		must.Greater(t, 3, len(answers))
		for _, ask := range w.owners.asked {
			must.True(t, ask.Ranked)
		}
	})
}

// All hosts lost power, and this one has just started: the runners that are listed so far refuse the
// request. Its caller retries only once, so it must not be told to do so before the other runners
// are listed, nor later than it would honour.
func TestRetryAfterALossOfAllHosts(t *testing.T) {
	withTestEnv(t, 1, func(w *testEnv) {
		w.orderByPriority()
		time.Sleep(500 * time.Millisecond)
		for _, timeout := range []time.Duration{12 * time.Second, 3 * time.Second} {
			w.owners.admissions = append(w.owners.admissions, refuseWith(adapters.ErrBusy), refuseWith(adapters.ErrBusy))
			answer := w.serveAdapter("a", timeout)
			must.Eq(t, http.StatusServiceUnavailable, answer.Code)
			seconds, err := strconv.ParseFloat(answer.Header().Get("Retry-After"), 64)
			must.NoError(t, err)
			must.Between(t, min(2, timeout.Seconds()/3), seconds, timeout.Seconds()/3)
		}
	})
}

// A request whose time ran out while it waited must not name a time to retry in the past, nor have
// its caller retry at once.
func TestRetryAfterTheRequestsTimeRanOut(t *testing.T) {
	withTestEnv(t, 1, func(w *testEnv) {
		w.orderByPriority()
		l := &lifecycle{call: &call{s: w.server, ranked: true}, attempt: &attempt{}}
		for _, left := range []time.Duration{-time.Second, 0, minTimeLeft} {
			l.deadline = time.Now().Add(left)
			must.GreaterEq(t, minRetryAfter, l.retryAfter())
		}
	})
}

// orderByPriority gives a workspace of the configuration a priority.
func (w *testEnv) orderByPriority() {
	priority := 1
	w.directory.Snapshot().Config.Workspaces = site.NewWorkspaces([]*site.Workspace{{Name: "w", Priority: &priority}})
}
