package serve

import (
	"errors"
	"net/http"
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
