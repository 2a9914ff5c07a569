package serve

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/cherrystage/cherrystage/internal/adapters"
	"github.com/cherrystage/cherrystage/internal/contention"
	"github.com/cherrystage/cherrystage/internal/forward"
	"github.com/cherrystage/cherrystage/internal/site"
	"github.com/shoenig/test/must"
)

// Guards against requests that the metrics page counts wrongly or keeps counting as open: one is
// served, one refused for the owners' most frequent reason, and one fails.
func TestRequestsAreCountedByOutcome(t *testing.T) {
	withTestEnv(t, 2, func(w *testEnv) {
		must.Eq(t, http.StatusOK, w.serveAdapter("a", 5*time.Second).Code)
		busy := func(*site.Runner, adapters.AdmissionRequest) (adapters.AdmissionResult, error) {
			return adapters.AdmissionResult{}, adapters.ErrBusy
		}
		for range 100 {
			w.owners.admissions = append(w.owners.admissions, busy)
		}
		must.Eq(t, http.StatusServiceUnavailable, w.serveAdapter("a", 5*time.Second).Code)
		w.owners.admissions = nil
		w.runnerHandler = func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
		must.Eq(t, http.StatusBadGateway, w.serveAdapter("a", 5*time.Second).Code)
		must.Eq(t, []contention.Requests{
			{Served: 1, Failed: 1},
			{RequestKey: contention.RequestKey{Cause: adapters.ErrBusy.Error()}, Refused: 1},
		}, w.server.Contention.Requests())
	})
}

// Guards against a wait that operators can't see: while a request waits for its admission, it
// counts as open and as waiting.
func TestWaitingRequestIsCounted(t *testing.T) {
	withTestEnv(t, 1, func(w *testEnv) {
		w.owners.admissions = append(w.owners.admissions, admitAfter(300*time.Millisecond, false))
		var served sync.WaitGroup
		served.Go(func() { w.serveAdapter("a", 5*time.Second) })
		time.Sleep(200 * time.Millisecond)
		must.Eq(t, []contention.Requests{
			{Open: 1},
			{RequestKey: contention.RequestKey{Cause: contention.CausePlacement}, Deferred: 1},
		}, w.server.Contention.Requests())
		served.Wait()
		must.Eq(t, []contention.Requests{{Served: 1}}, w.server.Contention.Requests())
	})
}

// Guards against a precedence that stands in the log although requests aren't ordered by it, or is
// missing where they are.
func TestPrecedenceIsLoggedWhereRequestsAreOrdered(t *testing.T) {
	withTestEnv(t, 1, func(w *testEnv) {
		l := &lifecycle{call: &call{s: w.server, request: &forward.Request{}}, attempt: &attempt{}}
		must.SliceNotContains(t, l.contentionLogFields(), any("precedence"))
		l.ranked, l.precedence = true, site.Precedence{Workspace: 1, Route: 2}
		must.Eq(t, []any{"precedence", []int{1, 2}}, l.contentionLogFields())
	})
}
