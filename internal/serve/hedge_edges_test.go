package serve

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cherrystage/cherrystage/internal/adapters"
	"github.com/cherrystage/cherrystage/internal/forward"
	"github.com/cherrystage/cherrystage/internal/retrybudget"
	"github.com/cherrystage/cherrystage/internal/site"
	"github.com/shoenig/test/must"
)

// adapterOf returns an adapter whose first choice among two runners is the given one.
func adapterOf(runner string) string {
	runners := []*site.Runner{{ID: "r0", Address: "r0:80"}, {ID: "r1", Address: "r1:80"}}
	for i := 0; ; i++ {
		name := fmt.Sprintf("x%d", i)
		if RankRunners(adapters.Key{Adapter: site.Adapter{Model: model, Name: name}}.PlacementKey(), runners)[0].ID == runner {
			return name
		}
	}
}

// serveStream serves a request of its own ID for a stream that may go on at another runner.
func (w *testEnv) serveStream(id, adapter string, route site.Route) (answer *timedRecorder, wasCut bool) {
	route.Name, route.Targets = "queued", []site.Target{{Service: llm, Weight: 1}}
	request := &forward.Request{
		RequestMetadata: forward.RequestMetadata{ID: id, Adapter: site.Adapter{Model: model, Name: adapter}, PromptTokens: 800, OutputTokens: 100},
		Method:          http.MethodPost, Host: "host", Target: "/queued/x", Header: http.Header{},
	}
	answer = &timedRecorder{ResponseRecorder: httptest.NewRecorder()}
	outcome := w.serve(w.t.Context(), answer, &route, request, time.Now())
	return answer, outcome == cut
}

var resumableRoute = site.Route{
	Kind: site.Streaming, Timeout: 20 * time.Second, TargetLatency: 600 * time.Millisecond, TargetGap: 250 * time.Millisecond, MaxAttempts: 2, Resumable: true,
}

// scriptedRunners answers each arrival by a function of its ID, runner, and the number of the ID's
// arrival.
type scriptedRunners struct {
	mu       sync.Mutex
	arrivals map[string]int
	runs     []string
}

func (s *scriptedRunners) install(w *testEnv, play func(rw http.ResponseWriter, r *http.Request, id, runner string, number, after int)) {
	s.arrivals = map[string]int{}
	w.runnerHandler = func(rw http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		id, runner, after := r.Header.Get("Id"), r.Header.Get(instanceHeader), 0
		_, _ = fmt.Sscan(r.Header.Get(resumeHeader), &after)
		s.mu.Lock()
		s.arrivals[id]++
		number := s.arrivals[id]
		s.runs = append(s.runs, id+"@"+runner)
		s.mu.Unlock()
		rw.Header().Set("Id", id)
		play(rw, r, id, runner, number, after)
	}
}

func refuseRun(rw http.ResponseWriter) {
	rw.Header().Set(notRunHeader, "1")
	rw.WriteHeader(http.StatusServiceUnavailable)
}

func beginEvents(rw http.ResponseWriter) {
	rw.Header().Set(stampHeader, "s")
	rw.Header().Set("Content-Type", eventStreamType)
}

// pieces sends events at testInterval.
func pieces(rw http.ResponseWriter, r *http.Request, from, to int) {
	for event := from; event <= to; event++ {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(testInterval):
		}
		_, _ = fmt.Fprintf(rw, "id: %d\ndata: piece\n\n", event)
		_ = http.NewResponseController(rw).Flush()
	}
}

func pauseFor(r *http.Request, length time.Duration) {
	select {
	case <-r.Context().Done():
	case <-time.After(length):
	}
}

// A runner is silent for 2 s in the middle of a stream. The other one works on another stream of this
// host, and refuses the rest of this one after 0.4 s.
func TestSilentStreamIsNotCutWhereTheOtherRunnerIsHeardAndRefuses(t *testing.T) {
	withTestEnv(t, 2, func(w *testEnv) {
		s := &scriptedRunners{}
		s.install(w, func(rw http.ResponseWriter, r *http.Request, id, _ string, number, after int) {
			switch {
			case id == "beside":
				beginEvents(rw)
				pieces(rw, r, 1, 60)
			case number == 1:
				beginEvents(rw)
				pieces(rw, r, 1, 5)
				pauseFor(r, 2*time.Second)
				pieces(rw, r, 6, testEvents)
			default:
				pauseFor(r, 400*time.Millisecond)
				refuseRun(rw)
			}
		})
		time.Sleep(10 * time.Second)
		var beside sync.WaitGroup
		beside.Go(func() { w.serveStream("beside", adapterOf("r1"), resumableRoute) })
		answer, cut := w.serveStream("q", adapterOf("r0"), resumableRoute)
		beside.Wait()
		must.False(t, cut)
		must.Eq(t, wholeStream(), answer.Body.String())
	})
}

// A runner takes 1.7 s to its first event; the second one refuses the request 0.4 s after it was sent.
func TestWaitForAFirstEventIsKeptWhereTheOtherRunnerRefuses(t *testing.T) {
	withTestEnv(t, 2, func(w *testEnv) {
		s := &scriptedRunners{}
		s.install(w, func(rw http.ResponseWriter, r *http.Request, _, _ string, number, _ int) {
			if number > 1 {
				pauseFor(r, 400*time.Millisecond)
				refuseRun(rw)
				return
			}
			beginEvents(rw)
			pauseFor(r, 1600*time.Millisecond)
			pieces(rw, r, 1, testEvents)
		})
		time.Sleep(10 * time.Second)
		answer, cut := w.serveStream("q", adapterOf("r0"), resumableRoute)
		must.False(t, cut)
		must.Eq(t, http.StatusOK, answer.Code)
		must.Eq(t, wholeStream(), answer.Body.String())
	})
}

// The same for an answer that is no stream.
func TestSlowAnswerIsKeptWhereTheOtherRunnerRefuses(t *testing.T) {
	withTestEnv(t, 2, func(w *testEnv) {
		s := &scriptedRunners{}
		s.install(w, func(rw http.ResponseWriter, r *http.Request, _, _ string, number, _ int) {
			if number > 1 {
				pauseFor(r, 400*time.Millisecond)
				refuseRun(rw)
				return
			}
			pauseFor(r, 1600*time.Millisecond)
			rw.Header().Set(stampHeader, "s")
			_, _ = rw.Write([]byte("whole"))
		})
		time.Sleep(10 * time.Second)
		answer, cut := w.serveStream("q", adapterOf("r0"), site.Route{Kind: site.Idempotent, Timeout: 20 * time.Second, TargetLatency: 600 * time.Millisecond, MaxAttempts: 2})
		must.False(t, cut)
		must.Eq(t, http.StatusOK, answer.Code)
		must.Eq(t, "whole", answer.Body.String())
	})
}

// A runner is silent for good in the middle of a stream, and no connection to the next one can be
// made. The third one is well.
func TestStreamGoesOnAtTheThirdRunnerWhereTheSecondIsNotReached(t *testing.T) {
	withTestEnv(t, 3, func(w *testEnv) {
		s := &scriptedRunners{}
		s.install(w, func(rw http.ResponseWriter, r *http.Request, _, runner string, number, after int) {
			beginEvents(rw)
			if number > 1 {
				pieces(rw, r, after+1, testEvents)
				return
			}
			for _, other := range RankRunners(model+"/a", w.directory.Snapshot().ByService[llm]) {
				if other.ID != runner {
					w.net.Hang("host", other.ID)
					break
				}
			}
			pieces(rw, r, 1, 5)
			pauseFor(r, time.Hour)
		})
		time.Sleep(10 * time.Second)
		answer, cut := w.serveStream("q", "a", resumableRoute)
		must.False(t, cut)
		must.Eq(t, wholeStream(), answer.Body.String())
		must.Less(t, 2*time.Second, answer.longestPause())
	})
}

// A runner is silent for good in the middle of a stream. The second one goes on with it and breaks off
// after two events. The third one is well.
func TestStreamGoesOnAtTheThirdRunnerWhereTheSecondBreaksOff(t *testing.T) {
	withTestEnv(t, 3, func(w *testEnv) {
		s := &scriptedRunners{}
		s.install(w, func(rw http.ResponseWriter, r *http.Request, _, _ string, number, after int) {
			beginEvents(rw)
			switch number {
			case 1:
				pieces(rw, r, 1, 5)
				pauseFor(r, time.Hour)
			case 2:
				pieces(rw, r, after+1, after+2)
				panic(http.ErrAbortHandler)
			default:
				pieces(rw, r, after+1, testEvents)
			}
		})
		time.Sleep(10 * time.Second)
		route := resumableRoute
		route.MaxAttempts = 3
		answer, cut := w.serveStream("q", "a", route)
		must.False(t, cut)
		must.Eq(t, wholeStream(), answer.Body.String())
		must.Len(t, 3, s.runs)
	})
}

// A host has two streams, at two runners, and both fall silent for good. The third runner is well.
func TestStreamsOfAQuietHostLeaveTwoSilentRunners(t *testing.T) {
	withTestEnv(t, 3, func(w *testEnv) {
		s := &scriptedRunners{}
		var mu sync.Mutex
		dead := map[string]bool{}
		s.install(w, func(rw http.ResponseWriter, r *http.Request, _, runner string, number, after int) {
			beginEvents(rw)
			if number == 1 {
				mu.Lock()
				dead[runner] = true
				mu.Unlock()
				pieces(rw, r, 1, 5)
			}
			mu.Lock()
			silent := dead[runner]
			mu.Unlock()
			if silent {
				pauseFor(r, time.Hour)
				return
			}
			pieces(rw, r, after+1, testEvents)
		})
		names := map[string]string{}
		for i := 0; len(names) < 2; i++ {
			name := fmt.Sprintf("x%d", i)
			first := RankRunners(model+"/"+name, w.directory.Snapshot().ByService[llm])[0].ID
			if first != "r2" {
				names[first] = name
			}
		}
		time.Sleep(10 * time.Second)
		var both sync.WaitGroup
		for id, name := range names {
			both.Go(func() {
				route := resumableRoute
				route.MaxAttempts = 3
				answer, cut := w.serveStream(id, name, route)
				must.False(w.t, cut)
				must.Eq(w.t, wholeStream(), answer.Body.String())
				// Callers leave a stream that is silent for 2 s.
				must.Less(w.t, 1500*time.Millisecond, answer.longestPause())
			})
		}
		both.Wait()
	})
}

// A stream's runner ends while another one is being looked for, with the only retry that is left. That
// retry must serve the stream.
func TestRetryOfItsOwnSearchServesAStreamWhoseRunnerEnds(t *testing.T) {
	withTestEnv(t, 2, func(w *testEnv) {
		w.server.RetryLimit = retrybudget.Limit{Slack: 2.5, Window: 10 * time.Second}
		w.owners.admissions = append(w.owners.admissions, admitAfter(0, false), admitAfter(700*time.Millisecond, true))
		s := &scriptedRunners{}
		s.install(w, func(rw http.ResponseWriter, r *http.Request, _, _ string, number, after int) {
			beginEvents(rw)
			pieces(rw, r, after+1, max(after, 5))
			if number == 1 {
				pauseFor(r, time.Second)
				panic(http.ErrAbortHandler)
			}
			pieces(rw, r, 6, testEvents)
		})
		time.Sleep(10 * time.Second)
		answer, cut := w.serveStream("q", adapterOf("r0"), resumableRoute)
		must.False(t, cut)
		must.Eq(t, wholeStream(), answer.Body.String())
	})
}

// A silent stream waits for 1.4 s for a place elsewhere, with the only retry. Meanwhile the runner of
// another stream ends, which then needs a retry, while the silent one goes on by itself.
func TestSearchForASilentStreamLeavesTheRetryToAStreamWhoseRunnerEnded(t *testing.T) {
	withTestEnv(t, 2, func(w *testEnv) {
		w.server.RetryLimit = retrybudget.Limit{Slack: 2.5, Window: 10 * time.Second}
		w.owners.admissions = append(w.owners.admissions, admitAfter(0, false), admitAfter(0, false), admitAfter(1400*time.Millisecond, true))
		s := &scriptedRunners{}
		s.install(w, func(rw http.ResponseWriter, r *http.Request, id, _ string, number, after int) {
			beginEvents(rw)
			switch {
			case id == "silent":
				pieces(rw, r, 1, 5)
				pauseFor(r, 1500*time.Millisecond)
				pieces(rw, r, 6, testEvents)
			case number == 1:
				pieces(rw, r, 1, 11)
				pauseFor(r, 500*time.Millisecond)
				panic(http.ErrAbortHandler)
			default:
				pieces(rw, r, after+1, testEvents)
			}
		})
		time.Sleep(10 * time.Second)
		var beside sync.WaitGroup
		beside.Go(func() { w.serveStream("silent", adapterOf("r0"), resumableRoute) })
		answer, cut := w.serveStream("q", adapterOf("r1"), resumableRoute)
		beside.Wait()
		must.False(t, cut)
		must.Eq(t, wholeStream(), answer.Body.String())
	})
}

// The events of a stream have no IDs, so that nothing can go on after the latest one.
func TestStreamWithoutEventIDsIsNotBegunAnew(t *testing.T) {
	withTestEnv(t, 2, func(w *testEnv) {
		s := &scriptedRunners{}
		s.install(w, func(rw http.ResponseWriter, r *http.Request, _, _ string, number, _ int) {
			beginEvents(rw)
			for event := 1; event <= testEvents; event++ {
				pauseFor(r, testInterval)
				if number == 1 && event == 6 {
					pauseFor(r, 2*time.Second)
				}
				_, _ = fmt.Fprintf(rw, "data: piece %d\n\n", event)
				_ = http.NewResponseController(rw).Flush()
			}
		})
		time.Sleep(10 * time.Second)
		answer, _ := w.serveStream("q", adapterOf("r0"), resumableRoute)
		must.Eq(t, 1, strings.Count(answer.Body.String(), "data: piece 1\n"))
	})
}

// The second runner ends the stream at once, without an event. What the first one still has to send
// must not be missing from an answer that looks whole.
func TestEmptyRestDoesNotCompleteAStream(t *testing.T) {
	withTestEnv(t, 2, func(w *testEnv) {
		s := &scriptedRunners{}
		s.install(w, func(rw http.ResponseWriter, r *http.Request, _, _ string, number, _ int) {
			beginEvents(rw)
			if number > 1 {
				rw.WriteHeader(http.StatusOK)
				return
			}
			pieces(rw, r, 1, 5)
			pauseFor(r, 2*time.Second)
			pieces(rw, r, 6, testEvents)
		})
		time.Sleep(10 * time.Second)
		answer, cut := w.serveStream("q", adapterOf("r0"), resumableRoute)
		must.True(t, cut || answer.Body.String() == wholeStream())
		must.False(t, cut)
	})
}

// A runner's answer is longer than this host holds.
func TestLongAnswerIsNotShortened(t *testing.T) {
	withTestEnv(t, 1, func(w *testEnv) {
		body := strings.Repeat("x", maxHeldAnswerBytes+1)
		w.runnerHandler = func(rw http.ResponseWriter, r *http.Request) {
			rw.Header().Set("Id", r.Header.Get("Id"))
			rw.Header().Set(stampHeader, "s")
			_, _ = rw.Write([]byte(body))
		}
		answer, cut := w.serveStream("q", "a", site.Route{Kind: site.Idempotent, Timeout: 20 * time.Second, TargetLatency: 600 * time.Millisecond, MaxAttempts: 1})
		must.True(t, cut || answer.Code != http.StatusOK || answer.Body.Len() == len(body))
	})
}

// A retry is held for as long as a search for a place may take. Retries that are taken before it and
// used after it must stay within the limit of a window.
func TestRetriesThatWaitStayWithinTheLimit(t *testing.T) {
	limit := retrybudget.Limit{Slack: 50, Window: 10 * time.Second}
	start := time.Now()
	b := retrybudget.New(limit, start)
	now := start.Add(100 * time.Second)
	held := 0
	for b.Take(now, 1) {
		held++
	}
	now = now.Add(maxHedgeSearch)
	sent := held
	for end := now.Add(limit.Window); now.Before(end); now = now.Add(100 * time.Millisecond) {
		for b.Take(now, 1) {
			sent++
		}
	}
	must.LessEq(t, int(limit.Slack), sent)
}
