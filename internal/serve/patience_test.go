package serve

import (
	"net/http"
	"testing"
	"time"

	"github.com/cherrystage/cherrystage/internal/adapters"
	"github.com/cherrystage/cherrystage/internal/site"
	"github.com/shoenig/test/must"
)

// breakOffAfter makes the first run fail before an event, after it was silent for a time.
func breakOffAfter(event int, silence time.Duration) func(run *testRun, number, event int) time.Duration {
	return func(_ *testRun, number, at int) time.Duration {
		if number == 1 && at == event {
			time.Sleep(silence)
			panic(http.ErrAbortHandler)
		}
		return 0
	}
}

// admitOnceUntil makes owners admit the first request, and others only after a time, of which they refuse
// some first.
func (w *testEnv) admitOnceUntil(wait time.Duration, refusals int) {
	from := time.Now().Add(wait)
	admit := func(runner *site.Runner, request adapters.AdmissionRequest) (adapters.AdmissionResult, error) {
		if time.Now().Before(from) {
			return refuseAdmission(runner, request)
		}
		if refusals > 0 {
			refusals--
			return refuseAdmission(runner, request)
		}
		return adapters.AdmissionResult{At: time.Now()}, nil
	}
	w.owners.admissions = append(w.owners.admissions, admitAfter(0, false))
	for range 1000 {
		w.owners.admissions = append(w.owners.admissions, admit)
	}
}

// A runner is silent for longer than callers usually wait and then fails, and no other takes the stream
// until later. The caller is still there, with most of its time left: its stream must not be cut.
func TestBegunStreamGoesOnWhileItsCallerStays(t *testing.T) {
	for _, silence := range []time.Duration{time.Second, 2100 * time.Millisecond, 2200 * time.Millisecond, 2300 * time.Millisecond, 2500 * time.Millisecond, 4 * time.Second} {
		withTestEnv(t, 2, func(w *testEnv) {
			runners := newStreamRunners(w, breakOffAfter(5, silence))
			time.Sleep(10 * time.Second)
			w.admitOnceUntil(4500*time.Millisecond, 0)
			answer, cut := w.serveResumable()
			must.False(t, cut, must.Sprintf("failed after a silence of %s", silence))
			must.Eq(t, wholeStream(), answer.Body.String())
			must.Len(t, 2, runners.runs)
		})
	}
}

// The same before the first event: the runner asked first after the failure does not take the request.
// Its caller is still there, so the next one is asked.
func TestStreamIsBegunElsewhereWhileItsCallerStays(t *testing.T) {
	for _, silence := range []time.Duration{2100 * time.Millisecond, 2200 * time.Millisecond, 2300 * time.Millisecond, 2500 * time.Millisecond, 4 * time.Second} {
		withTestEnv(t, 3, func(w *testEnv) {
			runners := newStreamRunners(w, breakOffAfter(1, silence))
			time.Sleep(10 * time.Second)
			w.admitOnceUntil(silence, 1)
			answer, cut := w.serveResumable()
			must.False(t, cut)
			must.Eq(t, http.StatusOK, answer.Code, must.Sprintf("failed after a silence of %s: %s", silence, answer.Body))
			must.Eq(t, wholeStream(), answer.Body.String())
			must.Len(t, 2, runners.runs)
		})
	}
}

// A stream has run for 1.2 s when its runner goes silent for good. Another runner has the adapter 0.6 s
// after it is asked: soon enough for a caller that waits from the latest event on.
func TestOldStreamGoesOnWhereItsAdapterLoads(t *testing.T) {
	const load = 600 * time.Millisecond
	withTestEnv(t, 2, func(w *testEnv) {
		newStreamRunners(w, func(_ *testRun, number, event int) time.Duration {
			switch {
			case number > 1:
				return 0
			case event == 4:
				return time.Hour
			default:
				return 300 * time.Millisecond
			}
		})
		time.Sleep(10 * time.Second)
		w.owners.admissions = append(w.owners.admissions, admitAfter(0, false))
		for range 100 {
			w.owners.admissions = append(w.owners.admissions, func(runner *site.Runner, request adapters.AdmissionRequest) (adapters.AdmissionResult, error) {
				if request.MaxWait < load {
					return refuseAdmission(runner, request)
				}
				return adapters.AdmissionResult{At: time.Now().Add(load)}, nil
			})
		}
		answer, cut := w.serveResumable()
		must.False(t, cut)
		must.Eq(t, wholeStream(), answer.Body.String())
		must.LessEq(t, minEventSilence+load+2*testInterval, answer.longestPause())
	})
}

// A begun stream breaks off while no retry is left. Owners are not to be asked for places that cannot be used.
func TestOwnersAreNotAskedWithoutARetry(t *testing.T) {
	withTestEnv(t, 2, func(w *testEnv) {
		newStreamRunners(w, breakOffAfter(5, 0))
		time.Sleep(10 * time.Second)
		budget := w.server.budget(llm)
		now := time.Now()
		for budget.Take(now, 100000) {
		}
		w.server.HostCount = func() int { return 100000 }
		start := time.Now()
		_, cut := w.serveResumable()
		t.Logf("cut %v after %s: %d calls for admission, %d releases", cut, time.Since(start), len(w.owners.asked), w.owners.released)
		must.Less(t, 10, len(w.owners.asked))
	})
}

// A runner is silent for longer than callers usually wait. No place is reserved for a second attempt beside it.
func TestNoPlaceIsReservedPastTheUsualPatience(t *testing.T) {
	withTestEnv(t, 2, func(w *testEnv) {
		newStreamRunners(w, func(_ *testRun, number, event int) time.Duration {
			if event == 5 {
				return 9 * time.Second
			}
			return 0
		})
		time.Sleep(10 * time.Second)
		w.owners.admissions = append(w.owners.admissions, admitAfter(0, false))
		reserved := 0
		for range 1000 {
			w.owners.admissions = append(w.owners.admissions, func(runner *site.Runner, request adapters.AdmissionRequest) (adapters.AdmissionResult, error) {
				if request.MaxWait < 3*time.Second {
					return refuseAdmission(runner, request)
				}
				reserved++
				return adapters.AdmissionResult{At: time.Now().Add(3 * time.Second)}, nil
			})
		}
		_, cut := w.serveResumable()
		longest := time.Duration(0)
		for _, a := range w.owners.asked[1:] {
			longest = max(longest, a.MaxWait)
		}
		t.Logf("cut %v, %d asked, %d places reserved for longer than a search lasts, longest wait asked for %s", cut, len(w.owners.asked), reserved, longest)
		must.Eq(t, 0, reserved)
	})
}
