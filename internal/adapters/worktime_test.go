package adapters

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cherrystage/cherrystage/internal/board"
	"github.com/cherrystage/cherrystage/internal/site"
	"github.com/hashicorp/go-hclog"
	"github.com/shoenig/test/must"
)

// Deployments whose runners announce no work time must be served exactly as before. Decisions that
// use the runner's own pace by mistake would differ from those of the constants.
func TestRunnersWithoutWorkTimeKeepThePaceOfTheConstants(t *testing.T) {
	for seed := range uint64(10) {
		draw := rand.New(rand.NewPCG(seed, 1))
		now := epoch
		c := newTestController(&now, 4, &fakeEngine{})
		c.spec.Pacing = Pacing{EventTokens: 8, TargetGap: 300 * time.Millisecond, HealthPath: "/health"}
		c.TypicalPrefill = func() float64 { return 1e6 / 38.7 }
		if seed%2 == 0 {
			// A runner that announced its work time long ago, and no more since.
			c.RunnerView = func(string, time.Time) board.View {
				return board.View{WorkPercent: 250, WorkAge: workRetention + time.Second}
			}
		}
		var expected Pacer
		for range 200 {
			now = now.Add(time.Duration(draw.IntN(60)) * time.Millisecond)
			tokens := 1 + draw.IntN(4000)
			c.ObservePrefill(float64(20_000 + draw.IntN(40_000)))
			expected.slowness = slowness(c.prefill.PerToken(), 1e6/38.7)
			admitted, err := c.Admit(AdmissionRequest{PromptTokens: tokens, MaxWait: time.Minute, LastResort: true})
			must.NoError(t, err)
			must.Eq(t, expected.Admit(tokens, now), admitted.At)
		}
		must.Eq(t, prefillTime(900), c.promptTime(900))
	}
}

// Observations during a slowdown, taken for the runner's own speed, would make its pace account
// for the slowdown twice, and for some time after it.
func TestPrefillIsLearnedAtTheUsualSpeed(t *testing.T) {
	now := epoch
	c := newTestController(&now, 4, &fakeEngine{})
	for i := range 100 {
		percent := 100 + i%2*150
		c.ObservePrefillAt(25_000*float64(percent)/100, percent)
	}
	must.Between(t, 24_999, c.PrefillPerToken(), 25_001)
}

// workRunner is a runner whose figure and real speed the test sets.
type workRunner struct {
	now     time.Time
	percent int
	work    float64
	c       *Controller
}

func newWorkRunner() *workRunner {
	r := &workRunner{now: epoch, percent: 100, work: 1}
	r.c = newTestController(&r.now, 4, &fakeEngine{})
	r.c.spec.Pacing = Pacing{EventTokens: 8, TargetGap: 300 * time.Millisecond}
	r.c.RunnerView = func(string, time.Time) board.View { return board.View{Load: 1, WorkPercent: r.percent} }
	return r
}

// serve has a request served every 100 ms and returns how many were admitted.
func (r *workRunner) serve(period time.Duration) (admitted int) {
	for end := r.now.Add(period); r.now.Before(end); r.now = r.now.Add(100 * time.Millisecond) {
		_, err := r.c.Admit(AdmissionRequest{PromptTokens: 826, MaxWait: time.Second, LastResort: admitted == 0, LatencyBudget: 400 * time.Millisecond, PromptWait: 200 * time.Millisecond})
		if err == nil {
			admitted++
			r.c.ObservePrefillAt(25_000*r.work, r.percent)
		}
	}
	return admitted
}

func (r *workRunner) pace() float64 { return r.c.pacer.pace.rate() }

// A fast runner always announces 10,000%, or does so from some time on. It must not be left
// without work for longer than trustPeriod and the next judgement.
func TestFigureWithoutEffectIsIgnored(t *testing.T) {
	for _, before := range []time.Duration{0, 20 * time.Second} {
		r := newWorkRunner()
		r.serve(before)
		r.percent = 10_000
		r.serve(trustPeriod + time.Second)
		must.True(t, r.c.work.ignored)
		must.Eq(t, 100, r.serve(10*time.Second))
		must.Greater(t, 15, r.pace())
		r.percent = 100
		r.serve(time.Second)
		must.False(t, r.c.work.ignored)
		must.Between(t, 0, r.c.PrefillPerToken(), 26_000, must.Sprint("the wrong figure has not changed the learned speed"))
		must.Less(t, 40, r.pace())
	}
}

// A runner always announces 100% though it is slow. Its answers show its speed, and it gets fewer
// prompts than one of usual speed.
func TestSlowRunnerThatAnnouncesTheUsualWorkTime(t *testing.T) {
	r := newWorkRunner()
	r.serve(10 * time.Second)
	usual := r.pace()
	r.work = 1.7
	r.serve(60 * time.Second)
	must.Less(t, usual*0.75, r.pace())
	must.Positive(t, r.serve(5*time.Second))
}

// A runner that really takes ten times as long must not be taken for one with a wrong figure, and
// flooded with prompts.
func TestFigureThatAnswersConfirmIsKept(t *testing.T) {
	r := newWorkRunner()
	r.serve(20 * time.Second)
	r.percent, r.work = 1000, 10
	for range 15 {
		r.c.ObservePrefillAt(250_000, r.percent)
		r.serve(time.Second)
	}
	must.False(t, r.c.work.ignored)
	must.Eq(t, minPacedPerMS, r.pace())
}

// A work time that is too low would make the runner's streams pause.
func TestLowFigureIsBounded(t *testing.T) {
	r := newWorkRunner()
	r.serve(10 * time.Second)
	usual := r.pace()
	r.percent = 10
	r.serve(time.Second)
	must.LessEq(t, 3*usual, r.pace())
	r.serve(2 * trustPeriod)
	must.True(t, r.c.work.ignored)
	must.Between(t, 0.9*usual, r.pace(), 1.1*usual)
}

// A slowdown ends within a few hundred milliseconds. A figure from before that is not known to be
// over would hold prompts back.
func TestOldFigureCountsForNothing(t *testing.T) {
	r := newWorkRunner()
	var tracker workTracker
	must.Eq(t, 2.5, tracker.factor(board.View{WorkPercent: 250, WorkAge: workTTL}))
	must.Eq(t, 1.0, tracker.factor(board.View{WorkPercent: 250, WorkAge: workTTL + time.Millisecond}))
	r.c.updateWork(board.View{WorkPercent: 250, WorkAge: workTTL + time.Millisecond}, 0, r.now)
	must.True(t, r.c.pacer.pace.Known, must.Sprint("it still counts as one that announces"))
}

// A runner slows down several times a second at worst. One log line for each crossing would fill
// the log.
func TestSlowdownLinesAreBounded(t *testing.T) {
	var c crossing
	lines, crossings := 0, 0
	for i := range 600 {
		percent := 100
		if i%4 < 2 {
			percent = 250
		}
		if count := c.update(percent, epoch.Add(time.Duration(i)*100*time.Millisecond)); count > 0 {
			lines++
			crossings += count
		}
	}
	must.Between(t, 5, lines, 7)
	must.Between(t, 240, crossings, 300)
}

// probedEngine answers probes with a work time, an error or not at all.
type probedEngine struct {
	fakeEngine
	percent  int
	err      error
	hangs    bool
	probes   atomic.Int32
	inFlight atomic.Int32
	most     atomic.Int32
}

func (e *probedEngine) WorkPercent(ctx context.Context, _, _ string) (int, error) {
	e.probes.Add(1)
	e.most.Store(max(e.most.Load(), e.inFlight.Add(1)))
	defer e.inFlight.Add(-1)
	if e.hangs {
		<-ctx.Done()
		return 0, ctx.Err()
	}
	return e.percent, e.err
}

// probeFor runs the probes of a runner that announced its work time once, for a period.
func probeFor(t *testing.T, period time.Duration, engine *probedEngine, view board.View) (known board.View) {
	t.Helper()
	var mu sync.Mutex
	synctest.Test(t, func(t *testing.T) {
		announced := time.Now()
		now := time.Now()
		c := newTestController(&now, 4, engine)
		c.Now = time.Now
		c.RunnerView = func(string, time.Time) board.View {
			mu.Lock()
			defer mu.Unlock()
			view.WorkAge = time.Since(announced)
			return view
		}
		c.OnWork = func(_ string, percent int, at time.Time) {
			mu.Lock()
			defer mu.Unlock()
			view.WorkPercent, announced = percent, at
		}
		ctx, cancel := context.WithTimeout(t.Context(), period)
		defer cancel()
		go c.watchWork(ctx)
		for ctx.Err() == nil {
			time.Sleep(100 * time.Millisecond)
			_, err := c.Admit(AdmissionRequest{PromptTokens: 200, MaxWait: time.Second, LastResort: true})
			must.NoError(t, err, must.Sprint("the controller goes on working"))
			if ctx.Err() == nil {
				known = c.RunnerView("", time.Now())
			}
		}
		synctest.Wait()
	})
	return known
}

// The work time changes every few hundred milliseconds. A runner with long streams and few new
// requests would be paced by a figure that is long out of date.
func TestOutdatedWorkTimeIsProbed(t *testing.T) {
	engine := &probedEngine{percent: 250}
	known := probeFor(t, 5*time.Second, engine, board.View{Load: 1, WorkPercent: 100})
	must.Eq(t, 250, known.WorkPercent)
	must.LessEq(t, 300*time.Millisecond, known.WorkAge)
	must.Between(t, 15, engine.probes.Load(), 20)
}

// A runner that never announced a work time, or that runs nothing, must cost no probe.
func TestNoProbeWithoutNeed(t *testing.T) {
	for _, view := range []board.View{{Load: 1}, {WorkPercent: 100}} {
		engine := &probedEngine{percent: 100}
		probeFor(t, 5*time.Second, engine, view)
		must.Eq(t, 0, engine.probes.Load())
	}
}

// A health path that fails or does not answer must not stop the controller, and must not be asked
// ever more often: the figure expires, and the runner counts as one at its usual speed.
func TestFailedProbes(t *testing.T) {
	for name, engine := range map[string]*probedEngine{"error": {err: errors.New("refused")}, "hangs": {hangs: true}, "no figure": {}} {
		t.Run(name, func(t *testing.T) {
			known := probeFor(t, 30*time.Second, engine, board.View{Load: 1, WorkPercent: 250})
			must.Greater(t, 20*time.Second, known.WorkAge)
			must.Between(t, 5, engine.probes.Load(), 14)
			must.Eq(t, 1, engine.most.Load())
		})
	}
}

// A prompt sent to a runner that is slowed down makes all its streams pause. Requests that another
// runner may take go there; those that have no other choice, whose adapter is still to be loaded,
// or that meet no stream are admitted.
func TestSlowedDownRunnerRefusesPrompts(t *testing.T) {
	r := newWorkRunner()
	for range 50 {
		r.c.ObservePrefillAt(42_000, 100)
	}
	r.c.slots.ApplyReport(0, []Held{{Key: testKey(1)}}, 0, r.now, r.now)
	ask := testRequest(1, time.Second)
	_, err := r.c.Admit(ask)
	must.NoError(t, err, must.Sprint("usual speed"))
	r.now = r.now.Add(time.Second)

	r.percent = 250
	_, err = r.c.Admit(ask)
	must.ErrorIs(t, err, ErrPromptBacklog)
	_, err = r.c.Admit(testRequest(2, time.Second))
	must.NoError(t, err, must.Sprint("its adapter has to be loaded"))
	lastResort, waited := ask, ask
	lastResort.LastResort, waited.Waited = true, true
	for _, committed := range []AdmissionRequest{lastResort, waited} {
		r.now = r.now.Add(time.Second)
		_, err = r.c.Admit(committed)
		must.NoError(t, err)
	}
	r.now = r.now.Add(time.Second)
	r.c.RunnerView = func(string, time.Time) board.View { return board.View{WorkPercent: r.percent} }
	_, err = r.c.Admit(ask)
	must.NoError(t, err, must.Sprint("no stream can pause"))
}

// A slow runner that takes on as many adapters as the others has requests wait for its slots while
// faster runners are idle. A runner that announces nothing keeps its limits.
func TestSlowRunnerTakesOnFewerAdapters(t *testing.T) {
	for percent, admitted := range map[int]bool{0: true, 100: false} {
		now := epoch
		c := newTestController(&now, 4, &fakeEngine{})
		c.runner.Slots = 16
		c.TypicalPrefill = func() float64 { return 20_000 }
		c.RunnerView = func(string, time.Time) board.View { return board.View{Load: 10, WorkPercent: percent} }
		for range 20 {
			c.ObservePrefillAt(40_000, percent)
		}
		_, err := c.Admit(testRequest(1, time.Second))
		must.Eq(t, admitted, err == nil, must.Sprintf("%d%%: %v", percent, err))
	}
}

// Operators find out from the metrics which runners are slow and why prompts wait. Runners that
// announce nothing are not listed.
func TestRunnerSpeedForTheMetrics(t *testing.T) {
	r := newWorkRunner()
	r.serve(10 * time.Second)
	r.percent = 250
	for range 20 {
		_, _ = r.c.Admit(testRequest(1, time.Second))
		_, _ = r.c.Admit(AdmissionRequest{PromptTokens: 2000, MaxWait: time.Second})
	}
	speed, ok := r.c.speed()
	must.True(t, ok)
	must.Eq(t, 40, rounded(1e6/r.c.PrefillPerToken()))
	must.Eq(t, 250, speed.PeakPercent)
	must.Between(t, 4, speed.TokensPerMS, 7)
	must.Between(t, 500, speed.BurstTokens, 1000)
	must.Positive(t, r.c.PrefillBacklog())
	r.percent = 0
	_, ok = r.c.speed()
	must.False(t, ok)
}

// Operators change a route's target gap while runners are controlled. A controller that kept the
// gap of its start would pace prompts for the wrong one until the runner restarts.
func TestPacingFollowsTheConfiguration(t *testing.T) {
	owner := NewOwner(OwnerDeps{
		Engines: &lossyEngine{}, Authority: neverAuthorized{}, Owns: func(string) bool { return true }, HostCount: func() int { return 1 },
		PeerFetches: func() (int, int) { return 0, 0 }, RunnerView: func(string, time.Time) board.View { return board.View{} },
		Utilization: func() float64 { return 0 }, TypicalPrefill: func() float64 { return 0 }, OnRestart: func(string, int64) {},
		OnSignal: func(string, *board.Signal) {}, Now: time.Now, Log: hclog.NewNullLogger(),
	})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	runner := &site.Runner{ID: "r", Instance: "r", Address: "r:1", Service: "s"}
	pacingWith := func(gap time.Duration) Pacing {
		route := &site.Route{Host: "h", TargetGap: gap, Targets: []site.Target{{Service: "s", Weight: 1}}}
		service := &site.Service{Name: "s", HealthPath: "/alive", Engine: &site.Engine{Slots: 1, LoadsPerSecond: 1, EventTokens: 8, Models: []site.Model{{Name: "m"}}}}
		config := site.NewConfig(1, []*site.Route{route}, []*site.Service{service}, site.Limits{})
		owner.Reconcile(ctx, config, map[string][]*site.Runner{"s": {runner}})
		controller, ok := owner.Controller("r")
		must.True(t, ok)
		controller.mu.Lock()
		defer controller.mu.Unlock()
		return controller.spec.Pacing
	}
	must.Eq(t, Pacing{EventTokens: 8, TargetGap: 300 * time.Millisecond, HealthPath: "/alive"}, pacingWith(300*time.Millisecond))
	must.Eq(t, Pacing{EventTokens: 8, TargetGap: 200 * time.Millisecond, HealthPath: "/alive"}, pacingWith(200*time.Millisecond))
}
