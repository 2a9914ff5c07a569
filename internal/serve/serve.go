// Package serve is the life of one request of a caller: where it goes, what is
// tried again, and which answer it gets.
package serve

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cherrystage/cherrystage/internal/adapters"
	"github.com/cherrystage/cherrystage/internal/board"
	"github.com/cherrystage/cherrystage/internal/directory"
	"github.com/cherrystage/cherrystage/internal/forward"
	"github.com/cherrystage/cherrystage/internal/placing"
	"github.com/cherrystage/cherrystage/internal/quarantine"
	"github.com/cherrystage/cherrystage/internal/retrybudget"
	"github.com/cherrystage/cherrystage/internal/site"
	"github.com/cherrystage/cherrystage/internal/timing"
	"github.com/cherrystage/cherrystage/internal/verdict"
	"github.com/hashicorp/go-hclog"
)

// Owners speaks to the hosts that give runners their orders.
type Owners interface {
	// Admit asks the runner's owner when a request may be sent: once its adapter
	// is there and the prompts before it are read.
	Admit(ctx context.Context, runner *site.Runner, ask adapters.AdmissionRequest) (adapters.AdmissionResult, error)
	// ReportPlaced tells an adapter's home that it was placed on another runner.
	ReportPlaced(home *site.Runner, key adapters.Key, runner *site.Runner)
	// Release notes that a request that was admitted for an adapter has ended.
	Release(runner *site.Runner, adapter site.Adapter)
	// ReportFirstEvent notes how long after a request was sent its runner showed the first event.
	ReportFirstEvent(runner *site.Runner, tokens int, first time.Duration)
	// ReportMissing notes that a runner lacks an adapter that was thought there.
	ReportMissing(runner *site.Runner, key adapters.Key)
	// OwnerOf names the host that gives a runner its orders, empty where there is none.
	OwnerOf(runner *site.Runner) string
	// ReportOutcome notes what became of a request; hard failures are those to
	// connect at all.
	ReportOutcome(runner string, good, hard bool)
	// ReportRefused notes that a runner turned a request away that it could have run.
	ReportRefused(runner string)
}

// Backpressure is what runners ask of the hosts in their answers.
type Backpressure interface {
	// HandleSignal notes what an answer to a request that was sent at a time says.
	HandleSignal(runner *site.Runner, signal *board.Signal, id string, sent time.Time)
	// Acquire takes one request of what a runner takes from this host and from all hosts
	// together, or says when to try again. A request that waited for its place may find a
	// runner that has asked for rest since.
	Acquire(ctx context.Context, runner *site.Runner) (wait time.Duration, ok bool)
}

// Deps are what a server works with.
type Deps struct {
	DataCentre   string
	Directory    *directory.Directory
	Board        *board.Board
	Owners       Owners
	Backpressure Backpressure
	Client       *forward.Client
	// Quarantine keeps requests that end runners away from them.
	Quarantine *quarantine.Quarantine
	RetryLimit retrybudget.Limit
	Quotas     Quotas
	// Ages gives how old the configuration and the list of runners may be.
	Ages func() (config, runners time.Duration)
	// HostCount gives the number of hosts that share the retry budget, 0 while it is not
	// known.
	HostCount func() int
	Now       func() time.Time
	Log       hclog.Logger
}

// Server serves requests. It is safe for concurrent use.
type Server struct {
	Deps
	Counters Counters

	spreads *placing.SpreadEstimator
	started time.Time

	mu      sync.Mutex
	budgets map[string]*retrybudget.Budget
}

// New makes a server.
func New(deps Deps) *Server {
	return &Server{Deps: deps, spreads: placing.NewSpreadEstimator(), started: deps.Now(), budgets: map[string]*retrybudget.Budget{}}
}

// budget gives a service's retry budget, which fills from the process's start on.
//
// A host of a large fleet gets a request for a plain service in a second, and its
// part of the slack fills one token in ten. Filled from the first request on, its
// callers would meet the service's failures without a second try for that long.
func (s *Server) budget(service string) *retrybudget.Budget {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.budgets[service]
	if b == nil {
		b = retrybudget.New(s.RetryLimit, s.started)
		s.budgets[service] = b
	}
	return b
}

// Figures of a request's life.
const (
	// leastLeft is the time below which an attempt is not worth making: the way
	// to a runner and back takes some 4 ms.
	leastLeft = 10 * time.Millisecond
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
	// firstMargin is the part of it that is not the reading of the request's prompt:
	// the way, a step of a full batch, and another prompt.
	firstMargin = 60 * time.Millisecond
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
	charge   Charge
	// content tells the request from all others that do not ask for the same.
	content quarantine.Fingerprint

	tried map[string]bool
	// earlyAt counts the sends to a runner that came before its adapter.
	earlyAt map[string]int
	// comeBack is when the first of the runners takes requests again that were passed over
	// since they take none now, 0 if none was.
	comeBack time.Duration
	// taken is the runner out of whose limit the request was taken before it got a place,
	// at takenAt.
	taken   string
	takenAt time.Time
	sends   int
	mayRun  int
	runner  *site.Runner
	key     adapters.Key
	// keyAt is when the adapter's version was chosen.
	keyAt   time.Time
	failure *forward.Failure
	started bool
	// callerGone says that the answer could not be written.
	callerGone bool
	finished   bool
	last       string
	status     int
	// reason is why this host answered in the runner's place.
	reason string
	loaded bool
	// rank is where the runner stands in the adapter's order; near says that the
	// order begins with the host's own data centre.
	rank int
	near bool
	// refusals are the owners' words on why they did not admit the request.
	refusals []string
	// asked are the runners and hosts of these owners.
	asked []string
	// passedOver are some of the runners that took no request.
	passedOver []string
	waited     time.Duration
	firstAt    time.Time
	// sentAt is when the last attempt was sent.
	sentAt time.Time
	// wroteAt and gap are the last write of events and the longest pause between two.
	wroteAt time.Time
	gap     time.Duration
	gapEnd  time.Time
}

// Serve serves one request. The answer, whatever it is, is written before it
// returns; http.ErrAbortHandler is panicked with to break an answer off that
// must not look complete.
func (s *Server) Serve(ctx context.Context, w http.ResponseWriter, route *site.Route, request *forward.Request, arrived time.Time) {
	l := &life{s: s, w: w, route: route, request: request, arrived: arrived, tried: map[string]bool{}, earlyAt: map[string]int{}}
	l.deadline = arrived.Add(patience(route, request))
	l.content = contentOf(request).Fingerprint()
	snapshot := s.Directory.Snapshot()
	name := route.Pick(rand.Float64())
	l.service = snapshot.Config.Services[name]
	if l.service == nil {
		l.refuse(retryLater, "the route's service is not configured")
		return
	}
	l.budget = s.budget(name)
	l.budget.RecordRequest(s.Now(), s.HostCount())
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(l.deadline.Sub(s.Now())))
	defer cancel()
	if l.chargeWorkspace(ctx) {
		l.run(ctx)
		l.giveChargeBack()
	}
	l.tell(ctx)
	if l.started && !l.finished {
		panic(http.ErrAbortHandler)
	}
}

func contentOf(request *forward.Request) quarantine.Content {
	content := quarantine.Content{Method: request.Method, Authority: request.Host, RequestURI: request.Target, Body: request.Body}
	if request.Adapter != (site.Adapter{}) {
		content.Adapter = request.Adapter.String()
	}
	return content
}

func patience(route *site.Route, request *forward.Request) time.Duration {
	switch {
	case request.ClientTimeout == 0:
		return route.Timeout
	case route.Timeout == 0:
		return request.ClientTimeout
	default:
		return min(route.Timeout, request.ClientTimeout)
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
		if l.keptFromRunners() || !l.place(ctx) {
			return
		}
		// The hosts may have agreed on it while it waited for its place.
		if l.keptFromRunners() {
			l.giveBack()
			return
		}
		if !l.takeOfLimit(ctx) {
			l.giveBack()
			continue
		}
		if l.sends > 0 && !l.budget.Take(l.s.Now(), l.s.HostCount()) {
			l.giveBack()
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

// keptFromRunners answers a request under which runners have ended. It says when a runner
// may be tried again, which is minutes away.
//
// Sent again under a new ID each time, such a request ends one runner after the other, and
// cuts off all that runs beside it. Since each host asks before each send, only the sends
// of the moment in which the hosts agree follow the third end.
func (l *life) keptFromRunners() bool {
	left, held := l.s.Quarantine.BlockedFor(l.content, l.s.Now())
	if !held {
		return false
	}
	l.s.Counters.Quarantined.Add(1)
	l.refuseOrFail(left, "runners have ended under this request")
	return true
}

// takenLife is for how long a request that was taken out of a limit may wait before it is
// sent. What waits longer would reach the runner together with later ones: with half a
// second, a window of four holds an eighth more than the limit.
const takenLife = 500 * time.Millisecond

// takeOfLimit takes the request out of what its runner takes from all hosts together, unless
// it was just before it got its place.
func (l *life) takeOfLimit(ctx context.Context) bool {
	if l.taken == l.runner.ID && l.s.Now().Sub(l.takenAt) < takenLife {
		l.taken = ""
		return true
	}
	wait, ok := l.s.Backpressure.Acquire(ctx, l.runner)
	if !ok {
		l.tried[l.runner.ID] = true
		l.passOver(l.runner.ID, wait)
	}
	return ok
}

// takeAhead takes the request out of its runner's limit before it gets a place there.
func (l *life) takeAhead(ctx context.Context) bool {
	if !l.takeOfLimit(ctx) {
		return false
	}
	l.taken, l.takenAt = l.runner.ID, l.s.Now()
	return true
}

// mostPassedOver bounds how many runners the request's line names that were passed over.
const mostPassedOver = 8

// passOver notes a runner that takes no request for a time.
func (l *life) passOver(runner string, wait time.Duration) {
	if len(l.passedOver) < mostPassedOver && !slices.Contains(l.passedOver, runner) {
		l.passedOver = append(l.passedOver, runner)
	}
	if l.comeBack == 0 || wait < l.comeBack {
		l.comeBack = wait
	}
}

// giveBack gives back the place that the request was admitted to and will not use. A place
// that nobody gives back counts as used until the longest of its requests would be over,
// and other adapters are refused for it.
func (l *life) giveBack() {
	if l.key.Name != "" {
		l.s.Owners.Release(l.runner, l.key.Adapter)
	}
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

// again decides whether another attempt follows a failed one, and answers the
// request if not.
func (l *life) again(ctx context.Context) bool {
	if l.callerGone || ctx.Err() != nil {
		l.giveUp(ctx)
		return false
	}
	l.s.Log.Info("attempt failed", "id", l.request.ID, "content", l.content.String(), "runner", l.runner.ID, "send", l.sends, "reason", string(l.failure.Reason),
		"verdict", l.failure.Verdict.String(), "cause", l.failure.Error(), "left_ms", l.left().Milliseconds())
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
	l.earlyAt[l.runner.ID]++
	l.s.Owners.ReportMissing(l.runner, l.key)
	timing.Sleep(ctx, earlyPause)
	return true
}

// maxSends bounds how often one request is sent, whatever its kind.
const maxSends = 4

// mostEarly is how often a request is sent again to a runner that refuses it as one does that
// still loads the adapter: then the load has failed, or the runner refuses for another reason.
const mostEarly = 2

// early says whether a refusal came since the adapter was not there (yet), and
// not since the runner is full or takes no request.
//
// Engines that want rest and engines that still load an adapter refuse alike. Sent to the
// same one until its sends were spent, a request was refused while others had places.
func (l *life) early() bool {
	told := l.failure.Metadata
	if told.Misdirected {
		return true
	}
	full := told.Load != nil && told.Load.Running >= told.Load.Slots
	if l.earlyAt[l.runner.ID] >= mostEarly {
		return false
	}
	view := l.s.Board.View(l.runner.ID, l.s.Now())
	return l.failure.Reason == forward.ReasonRefused && !full && view.BlockedFor == 0 && !view.Refusing
}

func retryAfter(wait time.Duration) string {
	return strconv.FormatFloat(wait.Seconds(), 'f', 2, 64)
}
