// Package serve handles a caller's request from its arrival to its answer: it selects
// runners, retries failed attempts and relays the answer.
package serve

import (
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cherrystage/cherrystage/internal/adapters"
	"github.com/cherrystage/cherrystage/internal/answer"
	"github.com/cherrystage/cherrystage/internal/board"
	"github.com/cherrystage/cherrystage/internal/contention"
	"github.com/cherrystage/cherrystage/internal/directory"
	"github.com/cherrystage/cherrystage/internal/forward"
	"github.com/cherrystage/cherrystage/internal/membudget"
	"github.com/cherrystage/cherrystage/internal/placing"
	"github.com/cherrystage/cherrystage/internal/quarantine"
	"github.com/cherrystage/cherrystage/internal/retrybudget"
	"github.com/cherrystage/cherrystage/internal/site"
	"github.com/cherrystage/cherrystage/internal/standstill"
	"github.com/cherrystage/cherrystage/internal/timing"
	"github.com/cherrystage/cherrystage/internal/verdict"
	"github.com/hashicorp/go-hclog"
)

// Owners talks to the owners of runners, the hosts that control them.
type Owners interface {
	// Admit asks the runner's owner when a request may be sent: once its adapter
	// is loaded and the prompts ahead of it have been processed.
	Admit(ctx context.Context, runner *site.Runner, request adapters.AdmissionRequest) (adapters.AdmissionResult, error)
	// ReportPlaced tells the owner of home, the adapter's first-choice runner, that the
	// adapter was placed on another runner.
	ReportPlaced(home *site.Runner, key adapters.Key, runner *site.Runner)
	// Release ends the admission of one request for an adapter.
	Release(runner *site.Runner, adapter site.Adapter)
	// ReportFirstEvent reports the time from sending a request to its first event;
	// tokens is the length of its prompt.
	ReportFirstEvent(runner *site.Runner, tokens int, first time.Duration)
	// ReportMissing reports that a runner lacks an adapter that was expected there.
	ReportMissing(runner *site.Runner, key adapters.Key)
	// OwnerOf returns the name of the runner's owner, or "" if it has none.
	OwnerOf(runner *site.Runner) string
	// ReportOutcome reports the result of an attempt; connectFailed marks a failure to connect.
	ReportOutcome(runner string, succeeded, connectFailed bool)
	// ReportRefused reports that a runner refused a request that it could have run.
	ReportRefused(runner string)
}

// Backpressure applies the rate limits and pauses that runners ask for in their answers.
type Backpressure interface {
	// HandleSignal processes the signal in an answer to the request id, sent at sent.
	HandleSignal(runner *site.Runner, signal *board.Signal, id string, sent time.Time)
	// Acquire takes a permit for one request from the runner's rate limit, which all hosts
	// share. There is no permit for a runner that asked for a pause, possibly while the
	// request waited for its admission. Without a permit, wait is the time after which to try
	// again.
	Acquire(ctx context.Context, runner *site.Runner) (wait time.Duration, ok bool)
}

// Deps holds the dependencies of a Server.
type Deps struct {
	DataCentre   string
	Directory    *directory.Directory
	Board        *board.Board
	Owners       Owners
	Backpressure Backpressure
	Client       *forward.Client
	// Quarantine holds the requests that crash runners, which are not sent any more.
	Quarantine *quarantine.Quarantine
	RetryLimit retrybudget.Limit
	Quotas     Quotas
	// Ages returns upper bounds on the age of the configuration and of the runner list.
	Ages func() (config, runners time.Duration)
	// HostCount returns the number of hosts that share the retry budget, 0 while unknown.
	HostCount func() int
	// Slots grants the request slots of plain runners where requests are ordered by priority. It
	// may be nil if they never are.
	Slots SharedSlots
	// Streams knows which software version began a stream. It may be nil, which stands for
	// runners that are all alike.
	Streams Streams
	// Brittle reports whether a service's runners fall over if they have to turn away many
	// requests. It may be nil, which stands for never.
	Brittle func(service string) bool
	// Contention counts the requests for the metrics page; nil counts nothing.
	Contention *contention.Counters
	// Answers reports whether a model engine answers a question that takes no slot. It may be nil,
	// which stands for engines that are not asked.
	Answers func(ctx context.Context, address string) bool
	// SameProcess asks whether a runner's process still answers. It may be nil, which stands for not known.
	SameProcess SameProcess
	// Standstill knows for which time this process could not run; nil stands for never.
	Standstill *standstill.Monitor
	// Memory bounds the answers that attempts keep at a time. It may be nil, which stands for no bound.
	Memory *membudget.Budget
	Now    func() time.Time
	Log    hclog.Logger
}

// Server serves callers' requests. It is safe for concurrent use.
type Server struct {
	Deps
	Counters Counters

	spreads *placing.SpreadEstimator
	started time.Time

	mu      sync.Mutex
	budgets map[string]*retrybudget.Budget
	firsts  map[string]*firstEvents
}

// New returns a server.
func New(deps Deps) *Server {
	return &Server{Deps: deps, spreads: placing.NewSpreadEstimator(), started: deps.Now(), budgets: map[string]*retrybudget.Budget{}, firsts: map[string]*firstEvents{}}
}

// firstEvents returns what is known of the first events of a service's runners.
func (s *Server) firstEvents(service string) *firstEvents {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.firsts[service]
	if f == nil {
		f = newFirstEvents()
		s.firsts[service] = f
	}
	return f
}

// budget returns the retry budget of a service. It fills from the start of the process.
//
// In a large fleet a host gets about one request a second for a plain service, and its
// share of the slack adds one token every ten seconds. If the budget filled only from the
// first request on, failures in the ten seconds after it could not be retried.
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

const (
	// minTimeLeft is the remaining time below which no attempt is made: the round trip
	// to a runner takes about 4 ms.
	minTimeLeft = 10 * time.Millisecond
	// adapterMissDelay is the delay before a request is sent again to a runner that had
	// not loaded its adapter yet.
	adapterMissDelay = 30 * time.Millisecond
	// By the platform's specification, callers abandon a stream that shows no event for
	// the longest of callerSilenceMin, callerTargetFactor times the target latency and
	// callerGapFactor times the target gap.
	callerSilenceMin   = 2 * time.Second
	callerTargetFactor = 4
	callerGapFactor    = 8
	// sendMargin is the time from sending a request to its first event.
	sendMargin = 150 * time.Millisecond
	// firstEventMargin is the part of sendMargin that is not the processing of the
	// request's own prompt: the network, a step of a full batch and another prompt.
	firstEventMargin = 60 * time.Millisecond
	// The target latency divided by promptWaitDivisor is a lower bound for how long a request
	// may wait for other prompts on one runner before the next one is asked, where its
	// adapter may have to be fetched.
	promptWaitDivisor = 2
	// retryAfterShort and retryAfterLong are the Retry-After values of refusals: the
	// first where capacity frees up as answers end, the second where a component must
	// recover first.
	retryAfterShort = 300 * time.Millisecond
	retryAfterLong  = time.Second
)

// Serve serves one request on its route in a configuration, which may no longer be the one in force,
// and writes its answer. It leaves an answer that breaks off incomplete, and
// writes none for a caller that has left.
func (s *Server) Serve(ctx context.Context, w *answer.Writer, config *site.Config, route *site.Route, request *forward.Request, arrived time.Time) {
	l := newLifecycle(s, w, route, request, arrived)
	l.subjects = quarantine.SubjectsOf(contentOf(request), request.PromptParts)
	l.ranked, l.precedence = config.OrdersByPriority(), site.PrecedenceOf(request.Caller.Workspace, route)
	l.beginCount()
	defer l.endCount()
	if !l.findOrigin(ctx) {
		l.logRequest(ctx)
		return
	}
	name := l.pickService(rand.Float64())
	l.service = config.Services[name]
	if l.service == nil {
		l.refuse(retryAfterLong, "the route's service is not configured")
		return
	}
	l.brittle = s.Brittle != nil && s.Brittle(name)
	l.budget = s.budget(name)
	l.firsts = s.firstEvents(name)
	l.budget.RecordRequest(s.Now(), s.HostCount())
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(l.deadline.Sub(s.Now())))
	defer cancel()
	if l.chargeWorkspace(ctx) {
		l.run(ctx)
		l.refundIfNotRun()
	}
	l.logRequest(ctx)
}

func contentOf(request *forward.Request) quarantine.Content {
	content := quarantine.Content{Method: request.Method, Authority: request.Host, RequestURI: request.Target, Body: request.Body}
	if request.Adapter != (site.Adapter{}) {
		content.Adapter = request.Adapter.String()
	}
	return content
}

func requestTimeout(route *site.Route, request *forward.Request) time.Duration {
	switch {
	case request.ClientTimeout == 0:
		return route.Timeout
	case route.Timeout == 0:
		return request.ClientTimeout
	default:
		return min(route.Timeout, request.ClientTimeout)
	}
}

func (l *lifecycle) timeLeft() time.Duration { return l.deadline.Sub(l.s.Now()) }

// run makes attempts until the request is answered.
func (l *lifecycle) run(ctx context.Context) {
	for l.prepare(ctx) || l.awaitRest(ctx) {
		failure := l.relay(ctx)
		// A second attempt may have become the current one.
		l.failure, l.trial = failure, false
		if l.failure == nil || !l.retry(ctx) {
			return
		}
	}
}

// restRetryInterval is the time between two tries to go on with a begun stream.
const restRetryInterval = 100 * time.Millisecond

// awaitRest tries to go on with a begun stream while its caller waits. A retry, a place or a permit
// that is missing now may be there a moment later, whereas the answer has no other end than a cut.
func (l *lifecycle) awaitRest(ctx context.Context) bool {
	for l.events > 0 && !l.complete && ctx.Err() == nil && l.timeLeft() > restRetryInterval {
		timing.Sleep(ctx, restRetryInterval)
		if l.timeToStart() <= 0 {
			continue
		}
		clear(l.tried)
		l.refusals, l.refusedBy, l.soonestRetry = nil, nil, 0
		if l.prepareRest(ctx) {
			return true
		}
	}
	return false
}

// prepareRest is prepare for the rest of a stream. It takes the retry first: without one, the owners of
// runners would be asked for places that cannot be used.
func (l *lifecycle) prepareRest(ctx context.Context) bool {
	if l.arrivals > 0 && !l.budget.Take(l.s.Now(), l.s.HostCount()) {
		l.cut(reasonBudgetSpent)
		return false
	}
	l.hasRetry = l.arrivals > 0
	prepared := l.prepare(ctx)
	if l.hasRetry && !prepared {
		l.budget.Return(l.s.Now(), l.s.HostCount())
	}
	l.hasRetry = false
	return prepared
}

// prepare finds a runner to which the request may be sent now. If there is none, it answers the
// request and returns false.
func (l *lifecycle) prepare(ctx context.Context) bool {
	for {
		if l.timeLeft() < minTimeLeft || ctx.Err() != nil {
			l.giveUp(ctx)
			return false
		}
		if l.rejectIfQuarantined() || !l.placeCounted(ctx) {
			return false
		}
		// The request may have been quarantined while it waited for its admission.
		if l.rejectIfQuarantined() {
			l.releaseAdmission()
			return false
		}
		if l.acquirePermit(ctx) {
			break
		}
		l.releaseAdmission()
	}
	if l.arrivals > 0 && !l.hedging && !l.hasRetry && !l.budget.Take(l.s.Now(), l.s.HostCount()) {
		l.releaseAdmission()
		l.s.Counters.RetriesDenied.Add(1)
		l.fail(reasonBudgetSpent)
		return false
	}
	return true
}

// rejectIfQuarantined answers a request whose content, or a part of it, has crashed runners, with the time
// until the quarantine ends, and reports whether it did.
//
// Retried by its caller under a new ID each time, such a request crashes one runner after
// the other and cuts off all requests that run there. Every host checks before every send,
// so after the third crash it is sent only until the hosts have agreed.
func (l *lifecycle) rejectIfQuarantined() bool {
	left, held := l.s.Quarantine.Blocked(l.subjects, l.s.Now())
	if !held || l.trial {
		return false
	}
	if l.arrivals == 0 && l.s.Quarantine.TakeTrial(l.subjects, l.s.Now()) {
		l.trial = true
		l.s.Log.Info("trying a blocked part of a prompt", "id", l.request.ID, "parts", l.partsForLog())
		return false
	}
	if !l.hedging {
		l.s.Counters.Quarantined.Add(1)
	}
	l.refuseOrFail(left, "runners have ended under this request")
	return true
}

// permitTTL is how long a permit may be held before the request is sent. Requests that wait
// longer would reach the runner together with later ones: with half a second, a window of
// four seconds holds an eighth more requests than the limit.
const permitTTL = 500 * time.Millisecond

// acquirePermit takes a permit from the runner's rate limit, unless the request still holds
// one from acquirePermitEarly.
func (l *lifecycle) acquirePermit(ctx context.Context) bool {
	if l.permitRunner == l.runner.ID && l.s.Now().Sub(l.permitAt) < permitTTL {
		l.permitRunner = ""
		return true
	}
	wait, ok := l.s.Backpressure.Acquire(ctx, l.runner)
	if !ok {
		l.tried[l.runner.ID] = true
		l.skip(l.runner.ID, wait)
	}
	return ok
}

// acquirePermitEarly acquires a permit before the request is admitted to the runner.
func (l *lifecycle) acquirePermitEarly(ctx context.Context) bool {
	if !l.acquirePermit(ctx) {
		return false
	}
	l.permitRunner, l.permitAt = l.runner.ID, l.s.Now()
	return true
}

// maxSkipped bounds the skipped runners that the request's log line names.
const maxSkipped = 8

// skip records a runner that accepts no request until wait has passed.
func (l *lifecycle) skip(runner string, wait time.Duration) {
	if len(l.skipped) < maxSkipped && !slices.Contains(l.skipped, runner) {
		l.skipped = append(l.skipped, runner)
	}
	if l.soonestRetry == 0 || wait < l.soonestRetry {
		l.soonestRetry = wait
	}
}

// releaseAdmission releases an admission that the request will not use. An admission that is
// not released counts as in use until its longest possible request would have ended, and
// other adapters are refused meanwhile. The same holds for a request slot.
func (l *lifecycle) releaseAdmission() {
	l.releaseSlot(false)
	if l.key.Name != "" {
		l.s.Owners.Release(l.runner, l.key.Adapter)
	}
}

// timeToStart returns the time within which the request must be sent to be of use: callers
// abandon a stream that stays silent. For one that has not, its deadline alone counts, but no second
// attempt is made: the first one has had that time, and another would begin from the start.
func (l *lifecycle) timeToStart() time.Duration {
	left := l.timeLeft()
	if l.route.Kind != site.Streaming {
		return left
	}
	patience := l.patienceLeft()
	if patience <= 0 && !l.hedging {
		return left
	}
	return min(left, patience-sendMargin)
}

// patienceLeft returns the time until callers abandon a stream that stays silent, before its first event
// or after its latest one. It is negative for a caller that waits for longer.
func (l *lifecycle) patienceLeft() time.Duration {
	silentSince := l.arrived
	if l.headerWritten {
		silentSince = l.lastWriteAt
	}
	silence := max(callerSilenceMin, callerTargetFactor*l.route.TargetLatency, callerGapFactor*l.route.TargetGap)
	return silentSince.Add(silence).Sub(l.s.Now())
}

// awaitPatience waits until callers would have abandoned the stream, and reports whether this one still
// waits. A request that has not run is refused instead: its caller may send it again at once.
func (l *lifecycle) awaitPatience(ctx context.Context) bool {
	if l.hedging || l.mayHaveRunCount == 0 {
		return false
	}
	for patience := l.patienceLeft(); patience > 0 && ctx.Err() == nil; patience = l.patienceLeft() {
		timing.Sleep(ctx, patience)
	}
	return ctx.Err() == nil && l.timeToStart() > 0
}

// retry decides whether another attempt follows a failed one, and answers the request if
// not.
func (l *lifecycle) retry(ctx context.Context) bool {
	if l.callerGone || ctx.Err() != nil {
		l.giveUp(ctx)
		return false
	}
	l.logFailedAttempt()
	if l.failure.Verdict == verdict.NotRun {
		return l.retryNotRun(ctx)
	}
	l.mayHaveRunCount++
	l.tried[l.runner.ID] = true
	if !l.mayRepeat() || l.mayHaveRunCount >= l.route.MaxAttempts {
		l.fail("the runner failed and the request may not go to another")
		return false
	}
	return true
}

func (l *lifecycle) logFailedAttempt() {
	fields := []any{
		"id", l.request.ID, "content", l.subjects[0].String(), "parts", l.partsForLog(), "runner", l.runner.ID, "software_version", l.runner.SoftwareVersion, "last_event", l.lastEventID, "send", l.sends, "reason", string(l.failure.Reason),
		"verdict", l.failure.Verdict.String(), "cause", l.failure.Error(), "via", l.via, "left_ms", l.timeLeft().Milliseconds(),
		"connected", l.failure.Connected, "kept_connection", l.failure.Kept, "idle_ms", l.failure.IdleFor.Milliseconds(), "answer_id", l.failure.Metadata.RequestID,
	}
	fields = append(fields, l.ending.logFields()...)
	l.s.Log.Info("attempt failed", append(fields, l.silenceLogFields()...)...)
	if l.failure.FirstRepeat {
		l.s.Log.Warn("runner sends answers that are not due", "runner", l.runner.ID, "id", l.request.ID, "answer_id", l.failure.Metadata.RequestID)
	}
}

// retryNotRun is retry for a request that the runner did not run.
func (l *lifecycle) retryNotRun(ctx context.Context) bool {
	if l.sends >= maxSends && !l.headerWritten {
		l.refuseOrFail(l.retryAfter(), "runners refused the request")
		return false
	}
	if l.noteNotRun() {
		timing.Sleep(ctx, adapterMissDelay)
	}
	return true
}

// noteNotRun records that the runner did not run the request, and reports whether the same one may be
// tried again: it had not loaded the adapter yet.
func (l *lifecycle) noteNotRun() bool {
	if l.key.Name == "" || !l.adapterMissing() {
		l.tried[l.runner.ID] = true
		return false
	}
	l.adapterMisses[l.runner.ID]++
	l.loadingAt = loadingAdapter{runner: l.runner.ID, key: l.key}
	l.s.Owners.ReportMissing(l.runner, l.key)
	return true
}

// maxSends bounds the attempts of one request of any kind.
const maxSends = 4

// maxAdapterMisses bounds how often a request is sent again to a runner that refuses it as if
// it were still loading the adapter. After that the load has failed, or the runner refuses for
// another reason.
const maxAdapterMisses = 2

// adapterMissing reports whether the runner refused because the adapter is not loaded (yet),
// and not because it is full or accepts no requests.
//
// Engines that ask for a pause and engines that are still loading an adapter send the same
// refusal. Without a bound, a request used up its sends on such an engine and was refused
// while other engines had free slots.
func (l *lifecycle) adapterMissing() bool {
	metadata := l.failure.Metadata
	if metadata.Misdirected {
		return true
	}
	full := metadata.Load != nil && metadata.Load.Running >= metadata.Load.Slots
	if l.adapterMisses[l.runner.ID] >= maxAdapterMisses {
		return false
	}
	view := l.s.Board.View(l.runner.ID, l.s.Now())
	return l.failure.Reason == forward.ReasonRefused && !full && view.BlockedFor == 0 && !view.Refusing
}

func formatRetryAfter(wait time.Duration) string {
	return strconv.FormatFloat(wait.Seconds(), 'f', 2, 64)
}
