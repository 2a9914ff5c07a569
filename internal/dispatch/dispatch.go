// Package dispatch carries one request through its life: admitted, routed,
// sent, streamed, ended, with a verdict. The verdict decides about another
// try, and nothing else does.
package dispatch

import (
	"context"
	"time"

	"github.com/cherrystage/cherrystage/internal/claims"
	"github.com/cherrystage/cherrystage/internal/control"
	"github.com/cherrystage/cherrystage/internal/engine"
	"github.com/cherrystage/cherrystage/internal/fleet"
	"github.com/cherrystage/cherrystage/internal/peer"
	"github.com/cherrystage/cherrystage/internal/plain"
	"github.com/cherrystage/cherrystage/internal/residency"
	"github.com/cherrystage/cherrystage/internal/routing"
	"github.com/cherrystage/cherrystage/internal/verdict"
	"github.com/hashicorp/go-hclog"
)

// Engines makes attempts on engines.
type Engines interface {
	Complete(ctx context.Context, call engine.Call, pass func(engine.Piece) error) *engine.Failure
}

// Services makes attempts on plain services.
type Services interface {
	Do(ctx context.Context, call plain.Call) (plain.Answer, *engine.Failure)
}

// Owner is this host's own side as an owner of runners.
type Owner interface {
	Acquire(ctx context.Context, from peer.Identity, p control.AcquireParams) (control.AcquireResult, error)
	TakeBack(holder string, returns []residency.Return)
	Missing(p control.MissingParams)
	Prefetch(runner, model string, value float64) bool
}

// Peers calls other entry hosts.
type Peers interface {
	Call(ctx context.Context, address, method string, params, result any) error
	CallLong(ctx context.Context, address, method string, params, result any) error
}

// Demand counts requests.
type Demand interface {
	Count(model string, now time.Time)
}

// Config sets the dispatcher.
type Config struct {
	Self    peer.Identity
	MaxWait time.Duration
	Weights routing.Weights
}

// Deps are what the dispatcher works with.
type Deps struct {
	Engines  Engines
	Services Services
	Owner    Owner
	Peers    Peers
	Table    *routing.Table
	Hosts    *fleet.Table
	Members  *fleet.Members
	Holder   *residency.Holder
	Claims   *claims.Store
	Gate     *Gate
	Budget   *Budget
	Breakers *Breakers
	Placer   *Placer
	Demand   Demand
	Traces   *Traces
	Metrics  *Metrics
	Log      hclog.Logger
}

// Dispatcher serves requests. It is safe for concurrent use.
type Dispatcher struct {
	cfg  Config
	deps Deps
	ids  sequence
	// stopped ends once this host gives no more orders and its successors have
	// had time to take over.
	stopped context.Context
	stop    context.CancelFunc
}

// New makes a dispatcher.
func New(cfg Config, deps Deps) *Dispatcher {
	d := &Dispatcher{cfg: cfg, deps: deps}
	d.stopped, d.stop = context.WithCancel(context.Background())
	return d
}

// successorTime is what a successor needs to take a runner over that was given
// away: a heartbeat to learn of it and a conditional update.
const successorTime = time.Second

// HandedOver says that this host has given its runners away. Requests that wait
// for a load go on with the successors; where there are none by then, they are
// refused.
//
// Without it, requests that waited on the only host of a deployment when it was
// told to stop got no answer until their limit of half a minute passed.
func (d *Dispatcher) HandedOver() { time.AfterFunc(successorTime, d.stop) }

// Request is an admitted caller's request.
type Request struct {
	ID       string
	Caller   string
	Weight   int
	Priority int
	// Model is the adapter's versioned name; it stays for the request's life.
	Model string
	Base  string
	// Service names a plain service instead.
	Service string
	Path    string
	Body    []byte
	// Idempotent requests may be tried again after MayHaveRun.
	Idempotent bool
	// Key is the caller's idempotency key, or empty.
	Key string
	// Restart, where given, drops the pieces passed on so far: the caller has
	// seen none of them, so an idempotent request may begin anew.
	Restart func()
}

// maxAttempts bounds the tries of one request.
const maxAttempts = 4

// Complete serves a completion and passes the answer's pieces on. It returns
// nil after a whole answer, else a *Refusal with the verdict.
func (d *Dispatcher) Complete(ctx context.Context, req Request, pass func(engine.Piece) error) *Refusal {
	trace := d.deps.Traces.Begin(req.ID, req.Caller, req.Model, time.Now())
	refusal := d.guarded(ctx, req, trace, func(ctx context.Context) *Refusal {
		d.deps.Demand.Count(req.Model, time.Now())
		return d.attempts(ctx, req, trace, pass)
	})
	trace.End(refusal, time.Now())
	d.deps.Metrics.Ended(refusal)
	return refusal
}

// guarded runs a request inside its place at the gate and its claim. The gate
// comes first: what it turns away in an overload costs the object API nothing,
// and leaves no claim behind.
func (d *Dispatcher) guarded(ctx context.Context, req Request, trace *Trace, run func(ctx context.Context) *Refusal) *Refusal {
	return d.gated(ctx, req, trace, func(ctx context.Context) *Refusal {
		claim, refusal := d.claim(ctx, req, trace)
		if refusal != nil {
			return refusal
		}
		refusal = run(ctx)
		if claim != nil {
			claim.Finish(ctx, verdictOf(refusal))
		}
		return refusal
	})
}

func verdictOf(refusal *Refusal) verdict.Verdict {
	if refusal == nil {
		return verdict.Ran
	}
	return refusal.Verdict
}

// claim takes the idempotency key of a request that may run only once.
func (d *Dispatcher) claim(ctx context.Context, req Request, trace *Trace) (*claims.Claim, *Refusal) {
	if req.Idempotent || req.Key == "" {
		return nil, nil
	}
	nonce := d.ids.next(d.cfg.Self.Incarnation)
	claim, err := d.deps.Claims.Begin(ctx, req.Caller, req.Key, req.ID, nonce, time.Now())
	if err != nil {
		trace.Note("idempotency key not claimed: "+err.Error(), time.Now())
		return nil, claimRefusal(err)
	}
	return claim, nil
}

func (d *Dispatcher) gated(ctx context.Context, req Request, trace *Trace, run func(ctx context.Context) *Refusal) *Refusal {
	entered := time.Now()
	if err := d.deps.Gate.Enter(ctx, Entrant{Caller: req.Caller, Weight: req.Weight, Priority: req.Priority}); err != nil {
		return gateRefusal(err)
	}
	admitted := time.Now()
	d.deps.Metrics.Queued(admitted.Sub(entered))
	trace.Note("admitted", admitted)
	defer func() { d.deps.Gate.Leave(time.Since(admitted)) }()
	return run(ctx)
}

// tries is the state of one request over its attempts.
type tries struct {
	avoided map[string]bool
	loads   int
	// mayHaveRun: one of the tries so far may have run.
	mayHaveRun bool
}

// note takes a failed try in.
func (s *tries) note(failure *engine.Failure) {
	s.mayHaveRun = s.mayHaveRun || failure.Verdict() != verdict.NotRun
}

// final gives the answer over all tries. A last try that did not run says
// nothing of those before it: told "not run" on its word, a caller would
// believe that of a request that ran.
func (s *tries) final(refusal *Refusal) *Refusal {
	if !s.mayHaveRun || refusal.Verdict != verdict.NotRun {
		return refusal
	}
	whole := *refusal
	whole.Verdict = verdict.MayHaveRun
	whole.Message += "; an earlier try may have run"
	return &whole
}

// attempts tries the request until it has an answer, or another try is not
// safe, not likely to help, or not within the budget.
func (d *Dispatcher) attempts(ctx context.Context, req Request, trace *Trace, pass func(engine.Piece) error) *Refusal {
	d.deps.Budget.First()
	state := &tries{avoided: map[string]bool{}}
	for attempt := 1; ; attempt++ {
		spot, refusal := d.reserve(ctx, req, state, trace)
		if refusal != nil {
			return state.final(refusal)
		}
		failure := d.attempt(ctx, req, spot, trace, pass)
		if failure == nil {
			return nil
		}
		state.note(failure)
		if req.Restart != nil {
			failure.Delivered = 0
		}
		if !failure.MayRetry(req.Idempotent) || attempt == maxAttempts {
			return state.final(failureRefusal(failure))
		}
		// A missing model is this side's stale knowledge, not the target's
		// failure: it does not count against the budget.
		if failure.Code != engine.CodeNotLoaded && !d.deps.Budget.Retry() {
			trace.Note("no further try: retry budget used up", time.Now())
			return state.final(failureRefusal(failure))
		}
		state.avoided[spot.runner.ID] = failure.Code != engine.CodeNotLoaded
		d.deps.Metrics.Retried()
		if req.Restart != nil {
			req.Restart()
		}
	}
}

// attempt makes one try on a reserved runner.
func (d *Dispatcher) attempt(ctx context.Context, req Request, spot spot, trace *Trace, pass func(engine.Piece) error) *engine.Failure {
	runner := spot.runner
	started := time.Now()
	trace.Sent(runner.ID, started)
	d.deps.Table.Started(runner.ID)
	first := true
	call := engine.Call{
		Address: runner.Address, Path: req.Path, Body: req.Body, Model: req.Model,
		AttemptID: d.ids.next(d.cfg.Self.Incarnation), TraceID: req.ID,
		Priority: req.Priority, Idempotent: req.Idempotent,
	}
	failure := d.deps.Engines.Complete(ctx, call, func(piece engine.Piece) error {
		if first {
			first = false
			d.deps.Metrics.FirstPiece(time.Since(started))
			trace.Note("first piece", time.Now())
		}
		return pass(piece)
	})
	d.deps.Table.Finished(runner.ID)
	d.settle(ctx, req, spot, failure, trace)
	return failure
}

// settle ends an attempt: it gives the pin's use back and tells the breaker
// and the owner what was learned.
func (d *Dispatcher) settle(ctx context.Context, req Request, spot spot, failure *engine.Failure, trace *Trace) {
	now := time.Now()
	clean := failure == nil || failure.Verdict() == verdict.NotRun
	if ret, due := d.deps.Holder.Done(spot.runner.ID, req.Model, clean, now); due {
		d.giveBack(ctx, spot.runner.ID, ret)
	}
	d.deps.Breakers.Leave(spot.runner.ID, healthy(failure), now)
	if failure == nil {
		return
	}
	trace.Note(spot.runner.ID+": "+failure.Error(), now)
	if failure.Code == engine.CodeNotLoaded {
		d.missing(ctx, spot.runner, req.Model)
	}
}

// healthy says whether an attempt's end speaks for the target: an answer, a
// refusal of this very request, or a caller that went away.
func healthy(failure *engine.Failure) bool {
	if failure == nil || failure.Stage == engine.StageCaller || failure.Code == engine.CodeCallerGone {
		return true
	}
	return failure.Stage == engine.StageRefused && failure.Status < 500
}
