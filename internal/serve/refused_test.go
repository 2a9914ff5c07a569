package serve

import (
	"net/http"
	"testing"
	"time"

	"github.com/cherrystage/cherrystage/internal/adapters"
	"github.com/cherrystage/cherrystage/internal/site"
	"github.com/shoenig/test/must"
)

// A request is sent to the engine that refuses it until its sends are spent, while others
// have places.
func TestRefusedRequestGoesToAnotherEngine(t *testing.T) {
	inWorld(t, 2, func(w *world) {
		refusing, refused := "", 0
		w.answer = func(rw http.ResponseWriter, r *http.Request) {
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
			rw.Header().Set("Content-Type", eventStream)
			_, _ = rw.Write([]byte("id: 1\ndata: piece\n\n"))
		}
		// The retry budget starts empty.
		time.Sleep(10 * time.Second)
		must.Eq(t, http.StatusOK, w.ask("a", 5*time.Second).Code)
		must.LessEq(t, 1+mostEarly, refused)
	})
}

// A request waits for its adapter while the runner begins to rest, and is sent there all the
// same once the adapter is there.
func TestRequestThatWaitedIsNotSentToARunnerThatRests(t *testing.T) {
	inWorld(t, 2, func(w *world) {
		first := ""
		w.owners.answers = append(w.owners.answers, func(runner *site.Runner, _ adapters.AdmissionRequest) (adapters.AdmissionResult, error) {
			first = runner.ID
			w.pressure.rests[runner.ID] = 3 * time.Second
			return adapters.AdmissionResult{At: time.Now().Add(300 * time.Millisecond)}, nil
		})
		sentTo := ""
		w.answer = func(rw http.ResponseWriter, r *http.Request) {
			sentTo = r.Header.Get(instanceHeader)
			w.answer = nil
			w.run(rw, r)
		}
		must.Eq(t, http.StatusOK, w.ask("a", 5*time.Second).Code)
		must.NotEq(t, first, sentTo)
		must.Eq(t, 2, w.owners.ended, must.Sprint("the place that it did not use is given back"))
	})
}

// All runners rest as the request is to be sent: its caller is told when the first is back.
func TestCallerIsToldWhenTheFirstRunnerIsBack(t *testing.T) {
	inWorld(t, 2, func(w *world) {
		w.pressure.rests["r0"], w.pressure.rests["r1"] = 3*time.Second, 1200*time.Millisecond
		answer := w.ask("a", 5*time.Second)
		must.Eq(t, http.StatusServiceUnavailable, answer.Code)
		must.Eq(t, "1.20", answer.Header().Get("Retry-After"))
		must.SliceEmpty(t, w.sent)
		must.Eq(t, 2, w.owners.ended)
	})
}
