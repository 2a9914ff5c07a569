package adapters

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cherrystage/cherrystage/internal/board"
	"github.com/cherrystage/cherrystage/internal/site"
	"github.com/shoenig/test/must"
)

// unloadingEngine accepts loads and carries out unloads at once.
type unloadingEngine struct{ fakeEngine }

func (e *unloadingEngine) Order(_ context.Context, _ string, order Order) (OrderAnswer, error) {
	if order.Load {
		return OrderAnswer{Outcome: OutcomeAccepted}, nil
	}
	return OrderAnswer{Outcome: OutcomeDone}, nil
}

// overloadedRunner is a runner on which priority order, loads ahead of demand and a pace that
// follows the work time act together.
type overloadedRunner struct {
	t       *testing.T
	c       *Controller
	random  *rand.Rand
	now     time.Time
	percent int
	fetches int
	waiting []*overloadRequest
	running []*overloadRequest
}

// overloadRequest is a request that asks at a time, or that ends then if it runs.
type overloadRequest struct {
	AdmissionRequest
	arrived time.Time
	at      time.Time
}

const (
	overloadStep    = 5 * time.Millisecond
	overloadBudget  = 500 * time.Millisecond
	overloadMaxWait = 2 * time.Second
)

func newOverloadedRunner(t *testing.T, seed uint64) *overloadedRunner {
	r := &overloadedRunner{t: t, random: rand.New(rand.NewPCG(seed, 1)), now: epoch, percent: 100}
	r.c = newContendedController(&r.now, 8, nil)
	r.c.Engines = &unloadingEngine{}
	r.c.spec.Pacing = Pacing{EventTokens: 8, TargetGap: 300 * time.Millisecond}
	r.c.runner.Slots = 16
	r.c.RunnerView = func(string, time.Time) board.View { return board.View{Load: len(r.running), WorkPercent: r.percent} }
	r.c.StoreLoad = func() StoreLoad { return StoreLoad{Fetches: r.fetches, Capacity: 8, PerRunner: 0.9} }
	return r
}

// arrive has a request arrive now and then, or a load ahead of demand.
func (r *overloadedRunner) arrive() {
	if r.random.IntN(4) == 0 {
		ask := testRequest(r.random.IntN(14), 0)
		ask.PromptTokens = []int{200, 826, 2368}[r.random.IntN(3)]
		ask.Ranked, ask.Precedence = r.random.IntN(8) > 0, site.Precedence{Workspace: r.random.IntN(4)}
		ask.LastResort = r.random.IntN(3) == 0
		r.waiting = append(r.waiting, &overloadRequest{AdmissionRequest: ask, arrived: r.now, at: r.now})
	}
	if r.random.IntN(20) == 0 {
		_, _ = r.c.PrefetchAhead(AheadLoad{Key: testKey(r.random.IntN(20)), PerSecond: float64(r.random.IntN(10))})
	}
}

// change has the runner's work time and the load of the weight store change now and then.
func (r *overloadedRunner) change() {
	if r.random.IntN(50) == 0 {
		r.percent = []int{80, 100, 100, 250, 350}[r.random.IntN(5)]
	}
	if r.random.IntN(100) == 0 {
		r.fetches = r.random.IntN(10)
	}
}

// due removes the requests whose time has come from a list and returns them.
func (r *overloadedRunner) due(requests *[]*overloadRequest) (due []*overloadRequest) {
	var left []*overloadRequest
	for _, request := range *requests {
		if request.at.After(r.now) {
			left = append(left, request)
		} else {
			due = append(due, request)
		}
	}
	*requests = left
	return due
}

func (r *overloadedRunner) ask(request *overloadRequest) {
	waited := r.now.Sub(request.arrived)
	must.LessEq(r.t, overloadMaxWait+overloadStep, waited, must.Sprint("the request asks although its time is up"))
	request.LatencyBudget, request.MaxWait = overloadBudget-waited, overloadMaxWait-waited
	admitted, err := r.c.Admit(request.AdmissionRequest)
	if err != nil {
		return
	}
	request.at = admitted.At
	if admitted.AskAgain {
		request.Waited, request.Ticket = true, admitted.Ticket
		r.waiting = append(r.waiting, request)
		return
	}
	request.at = request.at.Add(time.Duration(100+r.random.IntN(400)) * time.Millisecond)
	r.running = append(r.running, request)
}

func (r *overloadedRunner) step() {
	r.now = r.now.Add(overloadStep)
	for _, request := range r.due(&r.waiting) {
		r.ask(request)
	}
	for _, request := range r.due(&r.running) {
		r.c.RequestsEnded(map[site.Adapter]int{request.Key.Adapter: 1})
	}
	r.c.runNext(r.t.Context())
}

// A runner is asked for more than it can do for 20 s, and for nothing afterwards. Guards against
// requests that are deferred for ever, and against adapters, loads and places in the queue that are
// kept for requests that have ended.
func TestNothingIsKeptAfterAnOverload(t *testing.T) {
	var deferrals, displaced, evicted int64
	for seed := range uint64(20) {
		r := newOverloadedRunner(t, seed)
		for range 20 * time.Second / overloadStep {
			r.change()
			r.arrive()
			r.step()
		}
		for range 6 * time.Second / overloadStep {
			r.step()
		}
		must.SliceEmpty(t, r.waiting)
		must.SliceEmpty(t, r.running)
		must.SliceEmpty(t, r.c.pending)
		must.Eq(t, 0, r.c.turns.Deferred(r.now))
		must.Eq(t, len(r.c.slots.entries), r.c.slots.IdleCount(r.now))
		deferrals += r.c.Contention.Deferrals.Load()
		displaced += r.c.Contention.DisplacedLoads.Load()
		counters := r.c.Replication
		evicted += counters.EvictedForLoad.Load() + counters.EvictedForAhead.Load() + counters.EvictedForSpare.Load()
	}
	for name, count := range map[string]int64{"deferrals": deferrals, "displaced loads": displaced, "evictions": evicted} {
		must.Positive(t, count, must.Sprint(name))
	}
}
