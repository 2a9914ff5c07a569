package serve

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cherrystage/cherrystage/internal/adapters"
	"github.com/cherrystage/cherrystage/internal/forward"
	"github.com/cherrystage/cherrystage/internal/retrybudget"
	"github.com/cherrystage/cherrystage/internal/site"
	"github.com/cherrystage/cherrystage/internal/standstill"
	"github.com/cherrystage/cherrystage/internal/timing"
	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
)

const (
	testEvents   = 12
	testInterval = 100 * time.Millisecond
	// handoverBound is how long two runners may work on one request by the platform's specification.
	handoverBound = 400 * time.Millisecond
)

// testRun is one run of a request at a runner. End is when the runner stopped to work on it.
type testRun struct {
	runner     string
	from       int
	begin, end time.Time
}

// streamRunners lets the environment's runners send streams of testEvents events.
type streamRunners struct {
	w  *testEnv
	mu sync.Mutex
	// runs are in the order of arrival.
	runs []*testRun
	// pause is how long a run waits before an event, 0 for not at all.
	pause func(run *testRun, number, event int) time.Duration
	// refuses is set if requests after the first one are refused, after refusesAfter.
	refuses      bool
	refusesAfter time.Duration
	// headersAtOnce is set if the header of an answer is sent before its first event.
	headersAtOnce bool
}

func newStreamRunners(w *testEnv, pause func(run *testRun, number, event int) time.Duration) *streamRunners {
	s := &streamRunners{w: w, pause: pause}
	w.runnerHandler = s.handle
	return s
}

func (s *streamRunners) handle(rw http.ResponseWriter, r *http.Request) {
	after, _ := strconv.Atoi(r.Header.Get(resumeHeader))
	run := &testRun{runner: r.Header.Get(instanceHeader), from: after + 1, begin: time.Now()}
	s.mu.Lock()
	s.runs = append(s.runs, run)
	number := len(s.runs)
	s.mu.Unlock()
	defer func() { run.end = time.Now() }()
	rw.Header().Set("Id", r.Header.Get("Id"))
	if number > 1 && s.refuses {
		time.Sleep(s.refusesAfter)
		rw.Header().Set(notRunHeader, "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	rw.Header().Set(stampHeader, "s")
	rw.Header().Set("Content-Type", eventStreamType)
	if s.headersAtOnce {
		_ = http.NewResponseController(rw).Flush()
	}
	for event := run.from; event <= testEvents; event++ {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(testInterval + s.pause(run, number, event)):
		}
		_, _ = fmt.Fprintf(rw, "id: %d\ndata: piece\n\n", event)
		_ = http.NewResponseController(rw).Flush()
	}
}

// pauseOnce makes the first run pause before an event.
func pauseOnce(event int, length time.Duration) func(run *testRun, number, event int) time.Duration {
	return func(_ *testRun, number, at int) time.Duration {
		if number == 1 && at == event {
			return length
		}
		return 0
	}
}

// timedRecorder records an answer and when its parts came.
type timedRecorder struct {
	*httptest.ResponseRecorder
	times []time.Time
}

func (r *timedRecorder) Write(data []byte) (int, error) {
	r.times = append(r.times, time.Now())
	return r.ResponseRecorder.Write(data)
}

// longestPause returns the longest time between two parts.
func (r *timedRecorder) longestPause() time.Duration {
	var longest time.Duration
	for i := 1; i < len(r.times); i++ {
		longest = max(longest, r.times[i].Sub(r.times[i-1]))
	}
	return longest
}

// serveResumable serves a request for a stream that may go on at another runner, and reports whether
// its answer was cut.
func (w *testEnv) serveResumable() (answer *timedRecorder, wasCut bool) {
	route := &site.Route{
		Name: "queued", Kind: site.Streaming, Timeout: 20 * time.Second, TargetLatency: 600 * time.Millisecond, TargetGap: 250 * time.Millisecond,
		MaxAttempts: 2, Resumable: true, Targets: []site.Target{{Service: llm, Weight: 1}},
	}
	request := &forward.Request{
		RequestMetadata: forward.RequestMetadata{ID: "q", Adapter: site.Adapter{Model: model, Name: "a"}, PromptTokens: 800, OutputTokens: 100},
		Method:          http.MethodPost, Host: "host", Target: "/queued/x", Header: http.Header{},
	}
	answer = &timedRecorder{ResponseRecorder: httptest.NewRecorder()}
	outcome := w.serve(w.t.Context(), answer, route, request, time.Now())
	return answer, outcome == cut
}

func wholeStream() string {
	var text strings.Builder
	for event := 1; event <= testEvents; event++ {
		_, _ = fmt.Fprintf(&text, "id: %d\ndata: piece\n\n", event)
	}
	return text.String()
}

func refuseAdmission(*site.Runner, adapters.AdmissionRequest) (adapters.AdmissionResult, error) {
	return adapters.AdmissionResult{}, errors.New("no place")
}

// A runner is silent for 2.5 s in the middle of a stream and goes on. The stream may go on at another
// runner, but something that this takes is not to be had. Its caller must get all of it from the
// first runner, since nothing but the silence spoke against that one.
func TestSilentStreamIsNotCutWhileNoOtherRunnerTakesIt(t *testing.T) {
	for name, hinder := range map[string]func(w *testEnv, runners *streamRunners){
		"the retry budget is spent": func(w *testEnv, _ *streamRunners) {
			w.server.RetryLimit = retrybudget.Limit{Window: 10 * time.Second}
		},
		"owners admit nothing more": func(w *testEnv, _ *streamRunners) {
			w.owners.admissions = append(w.owners.admissions, admitAfter(0, false))
			for range 100 {
				w.owners.admissions = append(w.owners.admissions, refuseAdmission)
			}
		},
		"the adapter is not loaded elsewhere": func(_ *testEnv, runners *streamRunners) { runners.refuses = true },
		"the other runner refuses late": func(_ *testEnv, runners *streamRunners) {
			runners.refuses, runners.refusesAfter = true, 500*time.Millisecond
		},
		"the other runner takes its time to load": func(w *testEnv, _ *streamRunners) {
			w.owners.admissions = append(w.owners.admissions, admitAfter(0, false), admitAfter(1400*time.Millisecond, true))
		},
		"the other runner asked for a pause": func(w *testEnv, runners *streamRunners) {
			runners.pause = func(run *testRun, number, event int) time.Duration {
				for _, other := range []string{"r0", "r1"} {
					if other != run.runner {
						w.pressure.pause(other, 10*time.Second)
					}
				}
				return pauseOnce(5, 2500*time.Millisecond)(run, number, event)
			}
		},
		"the other runner is silent as well": func(_ *testEnv, runners *streamRunners) {
			runners.pause = func(run *testRun, number, event int) time.Duration {
				if number > 1 && event == run.from {
					return 2 * time.Second
				}
				return pauseOnce(5, 2500*time.Millisecond)(run, number, event)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			withTestEnv(t, 2, func(w *testEnv) {
				runners := newStreamRunners(w, pauseOnce(5, 2500*time.Millisecond))
				hinder(w, runners)
				// The retry budget starts empty.
				time.Sleep(10 * time.Second)
				answer, cut := w.serveResumable()
				must.False(t, cut)
				must.Eq(t, wholeStream(), answer.Body.String())
				must.Eq(t, 0, w.server.Counters.StreamsCut.Load())
			})
		})
	}
}

// Streams fall silent and the retry budget is spent. The owners of other runners are not asked for
// places that could not be used.
func TestSilentStreamWithoutARetryAsksNoOwner(t *testing.T) {
	withTestEnv(t, 2, func(w *testEnv) {
		w.server.RetryLimit = retrybudget.Limit{Window: 10 * time.Second}
		newStreamRunners(w, pauseOnce(5, 2500*time.Millisecond))
		answer, cut := w.serveResumable()
		must.False(t, cut)
		must.Eq(t, wholeStream(), answer.Body.String())
		must.Len(t, 1, w.owners.asked)
	})
}

// A runner goes silent for good in the middle of a stream. The stream goes on at another runner, soon
// enough for its caller, and the silent one is left before two work on the same request for long.
func TestStreamLeavesARunnerThatIsSilentForGood(t *testing.T) {
	for name, event := range map[string]int{"early": 3, "late": 11} {
		t.Run(name, func(t *testing.T) {
			withTestEnv(t, 2, func(w *testEnv) {
				runners := newStreamRunners(w, pauseOnce(event, time.Hour))
				time.Sleep(10 * time.Second)
				answer, cut := w.serveResumable()
				must.False(t, cut)
				must.Eq(t, wholeStream(), answer.Body.String())
				must.LessEq(t, max(minEventSilence, eventSilenceFactor*250*time.Millisecond)+2*testInterval, answer.longestPause())
				must.Len(t, 2, runners.runs)
				must.NotEq(t, runners.runs[0].runner, runners.runs[1].runner)
				must.Less(t, handoverBound, runners.runs[0].end.Sub(runners.runs[1].begin))
			})
		})
	}
}

// A runner is silent for good, and the one that the stream goes on at takes 0.6 s to its first event,
// but answers. The silent one is left before two work on the same request for long.
func TestSilentRunnerIsLeftForOneThatAnswers(t *testing.T) {
	for name, asked := range map[string]bool{"the request": false, "a question": true} {
		t.Run(name, func(t *testing.T) { playSlowFirstEvent(t, asked) })
	}
}

func playSlowFirstEvent(t *testing.T, asked bool) {
	withTestEnv(t, 2, func(w *testEnv) {
		w.server.Answers = func(context.Context, string) bool { return asked }
		runners := newStreamRunners(w, func(run *testRun, number, event int) time.Duration {
			if number > 1 && event == run.from {
				return 500 * time.Millisecond
			}
			return pauseOnce(5, time.Hour)(run, number, event)
		})
		runners.headersAtOnce = !asked
		time.Sleep(10 * time.Second)
		answer, cut := w.serveResumable()
		must.False(t, cut)
		must.Eq(t, wholeStream(), answer.Body.String())
		must.Len(t, 2, runners.runs)
		must.Less(t, handoverBound, runners.runs[0].end.Sub(runners.runs[1].begin))
	})
}

// A stream is older than the time that callers wait for a first event when its runner goes silent
// for good. It goes on elsewhere all the same: its caller waits from the latest event on.
func TestOldStreamLeavesARunnerThatIsSilentForGood(t *testing.T) {
	withTestEnv(t, 2, func(w *testEnv) {
		newStreamRunners(w, func(_ *testRun, number, event int) time.Duration {
			switch {
			case number > 1:
				return 0
			case event == 10:
				return time.Hour
			default:
				return 300 * time.Millisecond
			}
		})
		time.Sleep(10 * time.Second)
		answer, cut := w.serveResumable()
		must.False(t, cut)
		must.Eq(t, wholeStream(), answer.Body.String())
	})
}

// The first runner speaks again while the second one prepares its first event. Each event comes once,
// from the first, and the second stops.
func TestSilentRunnerThatSpeaksAgainKeepsItsStream(t *testing.T) {
	for _, silence := range []time.Duration{750, 790, 800, 820, 850, 880, 910, 940} {
		t.Run(fmt.Sprint(int(silence)), func(t *testing.T) {
			withTestEnv(t, 2, func(w *testEnv) {
				runners := newStreamRunners(w, func(run *testRun, number, event int) time.Duration {
					if number > 1 && event == run.from {
						return 50 * time.Millisecond
					}
					return pauseOnce(5, silence*time.Millisecond-testInterval)(run, number, event)
				})
				time.Sleep(10 * time.Second)
				answer, cut := w.serveResumable()
				must.False(t, cut)
				must.Eq(t, wholeStream(), answer.Body.String())
				must.LessEq(t, silence*time.Millisecond, answer.longestPause())
				if len(runners.runs) > 1 {
					must.LessEq(t, handoverBound, runners.runs[1].end.Sub(runners.runs[1].begin))
				}
			})
		})
	}
}

// A calm stream takes one run, and no admission more.
func TestCalmStreamTakesOneRun(t *testing.T) {
	withTestEnv(t, 2, func(w *testEnv) {
		runners := newStreamRunners(w, func(*testRun, int, int) time.Duration { return 600 * time.Millisecond })
		time.Sleep(10 * time.Second)
		answer, cut := w.serveResumable()
		must.False(t, cut)
		must.Eq(t, wholeStream(), answer.Body.String())
		must.Len(t, 1, runners.runs)
		must.Len(t, 1, w.owners.asked)
		must.Eq(t, 1, w.owners.released)
	})
}

// This host is suspended for 2 s in the middle of a stream, and finds the stream's timers expired when
// it wakes. It neither asks another runner nor counts the silence against this one.
func TestHostThatStoodStillKeepsItsStreams(t *testing.T) {
	withTestEnv(t, 2, func(w *testEnv) {
		monitor := &standstill.Monitor{}
		w.server.Standstill = monitor
		ctx, stop := context.WithCancel(w.t.Context())
		defer stop()
		suspendedUntil := time.Now().Add(10*time.Second + 2600*time.Millisecond)
		go timing.Every(ctx, standstill.Interval, func() {
			if now := time.Now(); now.Before(suspendedUntil.Add(-2*time.Second)) || now.After(suspendedUntil) {
				monitor.Tick(now)
			}
		})
		runners := newStreamRunners(w, pauseOnce(6, 2*time.Second))
		time.Sleep(10 * time.Second)
		answer, cut := w.serveResumable()
		must.False(t, cut)
		must.Eq(t, wholeStream(), answer.Body.String())
		must.Len(t, 1, runners.runs)
		must.Len(t, 1, w.owners.asked)
	})
}
