// Package serve is the life of one request of a caller: where it goes, what is
// tried again, and which answer it gets.
package serve

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cherrystage/cherrystage/internal/adapters"
	"github.com/cherrystage/cherrystage/internal/board"
	"github.com/cherrystage/cherrystage/internal/directory"
	"github.com/cherrystage/cherrystage/internal/forward"
	"github.com/cherrystage/cherrystage/internal/retrybudget"
	"github.com/cherrystage/cherrystage/internal/site"
	"github.com/cherrystage/cherrystage/internal/verdict"
	"github.com/hashicorp/go-hclog"
)

// Residency is what is known of the adapters on runners.
type Residency interface {
	// ReadyAt tells from when a runner has an adapter.
	ReadyAt(runner string, key adapters.Key) (time.Time, bool)
	// Admit asks the runner's owner when a request may be sent: once its adapter
	// is there and the prompts before it are read.
	Admit(ctx context.Context, runner *site.Runner, ask adapters.Admission) (adapters.Admitted, error)
	// Missing notes that a runner lacks an adapter that was thought there.
	Missing(runner *site.Runner, key adapters.Key)
	// Used notes that a request uses an adapter.
	Used(runner *site.Runner, adapter site.Adapter)
	// Loadable says whether a live host gives the runner its orders.
	Loadable(runner *site.Runner) bool
}

// Deps are what a server works with.
type Deps struct {
	DataCentre string
	Directory  *directory.Directory
	Board      *board.Board
	Residency  Residency
	Client     *forward.Client
	Limit      retrybudget.Limit
	// Hosts gives the number of hosts that share the retry budget.
	Hosts func() int
	Now   func() time.Time
	Log   hclog.Logger
}

// Server serves requests. It is safe for concurrent use.
type Server struct {
	Deps
	Counters Counters

	mu      sync.Mutex
	budgets map[string]*retrybudget.Budget
}

// New makes a server.
func New(deps Deps) *Server {
	return &Server{Deps: deps, budgets: map[string]*retrybudget.Budget{}}
}

func (s *Server) budget(service string) *retrybudget.Budget {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.budgets[service]
	if b == nil {
		b = retrybudget.New(s.Limit, s.Now())
		s.budgets[service] = b
	}
	return b
}

// Figures of a request's life.
const (
	// leastLeft is the time below which an attempt is not worth making: the way
	// to a runner and back takes some 4 ms.
	leastLeft = 10 * time.Millisecond
	// askTimeout bounds the owner's answer, which comes once a load is ordered.
	askTimeout = 3 * time.Second
	// earlyPause is the pause before a request that came before its adapter is
	// sent again.
	earlyPause = 30 * time.Millisecond
	// Callers leave a stream after the longest of: callerSilence, callerTargets
	// times the target latency and callerGaps times the target gap without an
	// event, by the platform's pages.
	callerSilence = 2 * time.Second
	callerTargets = 4
	callerGaps    = 8
	// sendMargin is what the first event of a request that is sent takes.
	sendMargin = 150 * time.Millisecond
	// maxAsks bounds the runners whose owners one request asks.
	maxAsks = 3
	// patienceShare of the target latency may go for other prompts on one
	// runner before the next is asked, which costs a fetch if the adapter does
	// not lie there.
	patienceShare = 2
	// hedgeFactor times the target latency is how long a repeatable request
	// waits for one runner before it goes to another.
	hedgeFactor = 2
	// leastHedge keeps short targets from turning slow steps into retries.
	leastHedge = 200 * time.Millisecond
	// silentFactor times the target latency without an answer counts against a
	// runner, whether or not the request is given up.
	silentFactor = 2
	// retrySoon and retryLater are what refused callers are told: the first
	// where places free up as answers end, the second where something has to
	// come back.
	retrySoon  = 300 * time.Millisecond
	retryLater = time.Second
)

// life is the state of one request.
type life struct {
	s        *Server
	w        http.ResponseWriter
	route    *site.Route
	service  *site.Service
	request  *forward.Request
	arrived  time.Time
	deadline time.Time
	budget   *retrybudget.Budget

	tried   map[string]bool
	sends   int
	mayRun  int
	asks    int
	runner  *site.Runner
	key     adapters.Key
	failure *forward.Failure
	started bool
	// callerGone says that the answer could not be written.
	callerGone bool
	finished   bool
	last       string
	status     int
	loaded     bool
	waited     time.Duration
	firstAt    time.Time
	// wroteAt and gap are the last write of events and the longest pause between two.
	wroteAt time.Time
	gap     time.Duration
	gapEnd  time.Time
}

// Serve serves one request. The answer, whatever it is, is written before it
// returns; http.ErrAbortHandler is panicked with to break an answer off that
// must not look complete.
func (s *Server) Serve(ctx context.Context, w http.ResponseWriter, route *site.Route, request *forward.Request, arrived time.Time) {
	l := &life{s: s, w: w, route: route, request: request, arrived: arrived, tried: map[string]bool{}}
	l.deadline = arrived.Add(patience(route, request))
	snapshot := s.Directory.Snapshot()
	name := route.Pick(rand.Float64())
	l.service = snapshot.Config.Services[name]
	if l.service == nil {
		l.refuse(retryLater, "the route's service is not configured")
		return
	}
	l.budget = s.budget(name)
	l.budget.Request(s.Now(), s.Hosts())
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(l.deadline.Sub(s.Now())))
	defer cancel()
	l.run(ctx)
	l.tell(ctx)
	if l.started && !l.finished {
		panic(http.ErrAbortHandler)
	}
}

func patience(route *site.Route, request *forward.Request) time.Duration {
	switch {
	case request.Patience == 0:
		return route.Timeout
	case route.Timeout == 0:
		return request.Patience
	default:
		return min(route.Timeout, request.Patience)
	}
}

func (l *life) left() time.Duration { return l.deadline.Sub(l.s.Now()) }

// run makes attempts until the request has its answer.
func (l *life) run(ctx context.Context) {
	for {
		if l.left() < leastLeft || ctx.Err() != nil {
			l.giveUp(ctx)
			return
		}
		if !l.place(ctx) {
			return
		}
		if l.sends > 0 && !l.budget.Take(l.s.Now(), l.s.Hosts()) {
			l.s.Counters.RetriesDenied.Add(1)
			l.fail("the retry budget is spent")
			return
		}
		l.failure = l.attempt(ctx)
		if l.failure == nil {
			return
		}
		if !l.again(ctx) {
			return
		}
	}
}

// place chooses a runner and has the adapter loaded there. It answers the
// request and returns false where none can take it.
func (l *life) place(ctx context.Context) bool {
	for {
		choice, candidates := l.choose()
		if choice.Index < 0 {
			l.refuseOrFail(retrySoon, "no runner has room")
			return false
		}
		l.runner = candidates[choice.Index]
		if l.service.Engine == nil {
			return true
		}
		if l.admitted(ctx, choice.Load) {
			return true
		}
		if ctx.Err() != nil {
			l.giveUp(ctx)
			return false
		}
		if l.asks >= maxAsks {
			l.refuseOrFail(retrySoon, "no runner could take the request in time")
			return false
		}
	}
}

// admitted waits until the request may be sent to the chosen runner.
func (l *life) admitted(ctx context.Context, load bool) bool {
	l.asks++
	l.loaded = l.loaded || load
	for again := true; again; {
		admitted, ok := l.ask(ctx)
		if !ok {
			return false
		}
		if !l.waitUntil(ctx, admitted.At) {
			return false
		}
		again = admitted.Again
	}
	return true
}

// waitUntil waits unless the request's time ends before.
func (l *life) waitUntil(ctx context.Context, at time.Time) bool {
	pause := at.Sub(l.s.Now())
	if pause > l.startWithin() {
		l.asks = maxAsks
		return false
	}
	if pause > 0 {
		l.waited += pause
		sleep(ctx, pause)
	}
	return ctx.Err() == nil
}

// ask asks the runner's owner. Where the owner is not there, an adapter that is
// known to lie on the runner is used without it.
func (l *life) ask(ctx context.Context) (adapters.Admitted, bool) {
	readyAt, known := l.s.Residency.ReadyAt(l.runner.ID, l.key)
	if (known || l.key.Name == "") && !l.s.Residency.Loadable(l.runner) {
		return adapters.Admitted{At: readyAt}, true
	}
	within := l.startWithin()
	asking, cancel := context.WithTimeout(ctx, min(askTimeout, within))
	defer cancel()
	admitted, err := l.s.Residency.Admit(asking, l.runner, adapters.Admission{
		Key: l.key, Tokens: l.request.PromptTokens, Patience: l.patience(), Within: within,
	})
	if err == nil {
		return admitted, true
	}
	l.s.Log.Debug("not admitted", "id", l.request.ID, "runner", l.runner.ID, "adapter", l.key.String(), "error", err.Error())
	l.tried[l.runner.ID] = true
	return adapters.Admitted{}, false
}

// startWithin is the time within which the request must be sent to be of use:
// callers give a stream up that shows nothing for a time.
func (l *life) startWithin() time.Duration {
	left := l.left()
	if l.route.Kind != site.Streaming {
		return left
	}
	silence := max(callerSilence, callerTargets*l.route.TargetLatency, callerGaps*l.route.TargetGap)
	return min(left, l.arrived.Add(silence-sendMargin).Sub(l.s.Now()))
}

// patience is how long the request waits for other prompts on one runner: a
// part of its target while there are other runners, and then all of its time.
func (l *life) patience() time.Duration {
	if l.asks >= maxAsks {
		return l.startWithin()
	}
	return l.route.TargetLatency / patienceShare
}

func sleep(ctx context.Context, pause time.Duration) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// again decides whether another attempt follows a failed one, and answers the
// request if not.
func (l *life) again(ctx context.Context) bool {
	if l.callerGone || ctx.Err() != nil {
		l.giveUp(ctx)
		return false
	}
	l.s.Log.Debug("attempt failed", "id", l.request.ID, "runner", l.runner.ID, "reason", string(l.failure.Reason), "verdict", l.failure.Verdict.String())
	if l.failure.Verdict == verdict.NotRun {
		return l.againNotRun(ctx)
	}
	l.mayRun++
	l.tried[l.runner.ID] = true
	if !l.route.MayRepeat() || l.mayRun >= l.route.MaxAttempts {
		l.fail("the runner failed and the request may not go to another")
		return false
	}
	return true
}

// againNotRun goes on after a runner did not run the request.
func (l *life) againNotRun(ctx context.Context) bool {
	if l.sends >= maxSends {
		l.refuseOrFail(retrySoon, "runners refused the request")
		return false
	}
	if l.key.Name == "" || !l.early() {
		l.tried[l.runner.ID] = true
		return true
	}
	l.s.Residency.Missing(l.runner, l.key)
	sleep(ctx, earlyPause)
	return true
}

// maxSends bounds how often one request is sent, whatever its kind.
const maxSends = 4

// early says whether a refusal came since the adapter was not there (yet), and
// not since the runner is full.
func (l *life) early() bool {
	told := l.failure.Told
	if told.Misdirected {
		return true
	}
	full := told.Load != nil && told.Load.Running >= told.Load.Slots
	return l.failure.Reason == forward.ReasonRefused && !full
}

func retryAfter(wait time.Duration) string {
	return strconv.FormatFloat(wait.Seconds(), 'f', 2, 64)
}
