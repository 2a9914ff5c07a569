package serve

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cherrystage/cherrystage/internal/adapters"
	"github.com/cherrystage/cherrystage/internal/awake"
	"github.com/cherrystage/cherrystage/internal/forward"
	"github.com/cherrystage/cherrystage/internal/reach"
	"github.com/cherrystage/cherrystage/internal/site"
	"github.com/cherrystage/cherrystage/internal/standstill"
	"github.com/cherrystage/cherrystage/internal/timing"
	"github.com/shoenig/test/must"
)

// This host gets too little processor time: each tick comes 75 ms late. A second runner is silent too.
// Two runners must not work on the request for longer than usual: their time does not stand still.
func TestSlowTicksDoNotLetTwoRunnersWorkForLong(t *testing.T) {
	withTestEnv(t, 2, func(w *testEnv) {
		monitor := &standstill.Monitor{}
		w.server.Standstill = monitor
		ctx, stop := context.WithCancel(w.t.Context())
		defer stop()
		go timing.Every(ctx, 125*time.Millisecond, func() { monitor.Tick(time.Now()) })
		runners := newStreamRunners(w, func(run *testRun, number, event int) time.Duration {
			if event == 5 || number > 1 && event == run.from {
				return 4 * time.Second
			}
			return 0
		})
		w.readBodies()
		time.Sleep(10 * time.Second)
		answer, cut := w.serveResumable()
		must.False(t, cut)
		must.Eq(t, wholeStream(), answer.Body.String())
		time.Sleep(5 * time.Second)
		synctest.Wait()
		must.Len(t, 2, runners.runs)
		first, second := runners.runs[0], runners.runs[1]
		t.Log(first.runner, first.end.Sub(first.begin), second.runner, second.begin.Sub(first.begin), second.end.Sub(first.begin))
		must.False(t, first.end.IsZero() || second.end.IsZero())
		both := min(first.end.Sub(second.begin), second.end.Sub(second.begin))
		must.LessEq(t, handoverBound, both)
	})
}

// readBodies lets runners read the body of a request before they answer. Until then net/http doesn't tell
// them that the host has closed the connection.
func (w *testEnv) readBodies() {
	handler := w.runnerHandler
	w.runnerHandler = func(rw http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		handler(rw, r)
	}
}

// The silent runner's work ends soon after the second one has begun.
func TestSilentRunnerIsTold(t *testing.T) {
	withTestEnv(t, 2, func(w *testEnv) {
		runners := newStreamRunners(w, pauseOnce(5, time.Hour))
		w.readBodies()
		time.Sleep(10 * time.Second)
		_, cut := w.serveResumable()
		must.False(t, cut)
		synctest.Wait()
		must.Len(t, 2, runners.runs)
		must.False(t, runners.runs[0].end.IsZero())
		must.Less(t, handoverBound, runners.runs[0].end.Sub(runners.runs[1].begin))
	})
}

// This host stands still for 2 s while it connects to a runner, whose answer waits in its socket when it
// wakes. It must not take the runner for unreachable, and warn others of it.
func TestHostThatStoodStillWhileConnectingSuspectsNoRunner(t *testing.T) {
	withTestEnv(t, 1, func(w *testEnv) {
		monitor := &standstill.Monitor{}
		w.server.Standstill, w.server.Board.Standstill = monitor, monitor
		ctx, stop := context.WithCancel(w.t.Context())
		defer stop()
		var mu sync.Mutex
		suspended := false
		go timing.Every(ctx, standstill.Interval, func() {
			mu.Lock()
			defer mu.Unlock()
			if !suspended {
				monitor.Tick(time.Now())
			}
		})
		suspend := func(to bool) { mu.Lock(); suspended = to; mu.Unlock() }
		dial := w.net.Host("host").Dial
		connector := reach.DirectOnly(func(ctx context.Context, network, address string) (net.Conn, error) {
			suspend(true)
			time.Sleep(2 * time.Second)
			suspend(false)
			if ctx.Err() != nil {
				return nil, ctx.Err()
			}
			return dial(ctx, network, address)
		})
		connector.Running = awake.Clock{Now: time.Now, Standstill: monitor}
		w.server.Client = forward.NewClient(testDialect{}, connector)
		time.Sleep(10 * time.Second)
		w.serveAdapter("a", 10*time.Second)
		must.MapLen(t, 0, w.server.Board.Suspects(time.Now()))
	})
}

type loadRun struct {
	runner     string
	from       int
	begin, end time.Time
	gone       bool
}

// Streams of many callers beside runners that pause, refuse, refuse late, break off and go dark; some callers
// leave. Whatever happens, answers are in order, at most two runners run a request, not beside each
// other for long, and everything that was taken is given back.
func TestRandomStreams(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { playRandomStreams(t, seed) })
	}
}

func playRandomStreams(t *testing.T, seed uint64) {
	withTestEnv(t, 3, func(w *testEnv) {
		rng := rand.New(rand.NewPCG(seed, 1))
		var mu sync.Mutex
		draw := func(n int) int { mu.Lock(); defer mu.Unlock(); return rng.IntN(n) }
		runs := map[string][]*loadRun{}
		admitted := 0
		for range 3000 {
			w.owners.admissions = append(w.owners.admissions, func(runner *site.Runner, ask adapters.AdmissionRequest) (adapters.AdmissionResult, error) {
				switch draw(10) {
				case 0:
					return adapters.AdmissionResult{}, adapters.ErrBusy
				case 1:
					return adapters.AdmissionResult{At: time.Now().Add(time.Duration(draw(500)) * time.Millisecond), AskAgain: true}, nil
				case 2:
					mu.Lock()
					admitted++
					mu.Unlock()
					return adapters.AdmissionResult{At: time.Now().Add(time.Duration(draw(400)) * time.Millisecond)}, nil
				default:
					mu.Lock()
					admitted++
					mu.Unlock()
					return adapters.AdmissionResult{At: time.Now()}, nil
				}
			})
		}
		w.runnerHandler = func(rw http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			id, after := r.Header.Get("Id"), 0
			_, _ = fmt.Sscan(r.Header.Get(resumeHeader), &after)
			rw.Header().Set("Id", id)
			if draw(12) == 0 {
				pauseFor(r, time.Duration(draw(600))*time.Millisecond)
				refuseRun(rw)
				return
			}
			run := &loadRun{runner: r.Header.Get(instanceHeader), from: after + 1, begin: time.Now()}
			mu.Lock()
			runs[id] = append(runs[id], run)
			mu.Unlock()
			defer func() { mu.Lock(); run.end = time.Now(); mu.Unlock() }()
			beginEvents(rw)
			if draw(3) == 0 {
				_ = http.NewResponseController(rw).Flush()
			}
			for event := after + 1; event <= testEvents; event++ {
				pauseFor(r, testInterval)
				switch draw(40) {
				case 0:
					pauseFor(r, time.Duration(700+draw(1800))*time.Millisecond)
				case 1:
					pauseFor(r, time.Duration(750+draw(500))*time.Millisecond)
				case 2:
					if draw(3) == 0 {
						mu.Lock()
						run.gone = true
						mu.Unlock()
						panic(http.ErrAbortHandler)
					}
				case 3:
					if draw(4) == 0 {
						pauseFor(r, time.Hour)
					}
				}
				if r.Context().Err() != nil {
					return
				}
				_, _ = fmt.Fprintf(rw, "id: %d\ndata: piece\n\n", event)
				_ = http.NewResponseController(rw).Flush()
			}
		}
		time.Sleep(10 * time.Second)
		var callers sync.WaitGroup
		var checks []func()
		for i := range 40 {
			id, adapter, leave := fmt.Sprintf("s%d", i), fmt.Sprintf("a%d", draw(6)), time.Duration(0)
			if draw(5) == 0 {
				leave = time.Duration(300+draw(2500)) * time.Millisecond
			}
			callers.Go(func() {
				ctx, cancel := context.WithCancel(w.t.Context())
				defer cancel()
				if leave > 0 {
					time.AfterFunc(leave, cancel)
				}
				answer := httptest.NewRecorder()
				whole := true
				func() {
					defer func() {
						if recover() != nil {
							whole = false
						}
					}()
					route := resumableRoute
					route.Timeout, route.Name, route.Targets = 8*time.Second, "queued", []site.Target{{Service: llm, Weight: 1}}
					request := &forward.Request{RequestMetadata: forward.RequestMetadata{ID: id, Adapter: site.Adapter{Model: model, Name: adapter}, PromptTokens: 800, OutputTokens: 100}, Method: http.MethodPost, Host: "host", Target: "/queued/x", Header: http.Header{}}
					w.serve(ctx, answer, &route, request, time.Now())
				}()
				ended := time.Now()
				mu.Lock()
				defer mu.Unlock()
				checks = append(checks, func() {
					if answer.Code == http.StatusOK {
						must.True(t, strings.HasPrefix(wholeStream(), answer.Body.String()), must.Sprint(id, answer.Body.String()))
						if whole && ctx.Err() == nil {
							must.Eq(t, wholeStream(), answer.Body.String())
						}
					}
					if answer.Code == http.StatusServiceUnavailable {
						must.Len(t, 0, runs[id], must.Sprint("refused and run ", id))
					}
					lasting := 0
					for i, run := range runs[id] {
						if !run.gone {
							lasting++
						}
						must.Less(t, 100*time.Millisecond, run.end.Sub(ended), must.Sprint("works on ", id))
						must.Less(t, ended.Add(100*time.Millisecond).UnixNano(), run.begin.UnixNano(), must.Sprint("begun after the end"))
						for _, later := range runs[id][i+1:] {
							end := run.end
							if later.end.Before(end) {
								end = later.end
							}
							must.Less(t, handoverBound, end.Sub(later.begin), must.Sprint("two runners at work on ", id))
						}
					}
					must.LessEq(t, 2, lasting, must.Sprint("runs of ", id))
				})
			})
			time.Sleep(time.Duration(draw(120)) * time.Millisecond)
		}
		callers.Wait()
		time.Sleep(3 * time.Second)
		synctest.Wait()
		mu.Lock()
		defer mu.Unlock()
		for _, check := range checks {
			check()
		}
		must.Eq(t, admitted, w.owners.released)
		must.MapLen(t, 0, w.server.Board.OwnRequests())
	})
}
