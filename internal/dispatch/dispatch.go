// Package dispatch serves a request from admission to its final verdict: it
// admits, routes and sends the request and streams the answer. The verdict
// alone decides whether another attempt is made.
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

// Engines sends completions to engines.
type Engines interface {
	Complete(ctx context.Context, call engine.Call, pass func(engine.Piece) error) *engine.Failure
}

// Services sends requests to plain services.
type Services interface {
	Do(ctx context.Context, call plain.Call) (plain.Answer, *engine.Failure)
}

// Owner is this host in its role as an owner of runners.
type Owner interface {
	Acquire(ctx context.Context, from peer.Identity, p control.AcquireParams) (control.AcquireResult, error)
	ReturnPins(holder string, returns []residency.PinReturn)
	ModelMissing(p control.MissingParams)
	Prefetch(runner, model string, value float64) bool
}

// Peers calls other entry hosts.
type Peers interface {
	Call(ctx context.Context, address, method string, params, result any) error
	CallLong(ctx context.Context, address, method string, params, result any) error
}

// Demand counts requests by model.
type Demand interface {
	Count(model string, now time.Time)
}

// Config configures a Dispatcher.
type Config struct {
	Self    peer.Identity
	MaxWait time.Duration
	Policy  routing.Policy
}

// Deps are the dependencies of a Dispatcher.
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
	Budget   *RetryBudget
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
	// handoverCtx ends once this host sends no more orders and its successors
	// have had time to take over.
	handoverCtx context.Context
	endHandover context.CancelFunc
}

// New returns a dispatcher.
func New(cfg Config, deps Deps) *Dispatcher {
	d := &Dispatcher{cfg: cfg, deps: deps}
	d.handoverCtx, d.endHandover = context.WithCancel(context.Background())
	return d
}

// takeoverTime is the time that a successor needs to take over a released
// runner: a heartbeat to learn of it and a conditional update.
const takeoverTime = time.Second

// HandoverDone records that this host has released its runners. Requests that
// wait for a load continue with the successors, or are refused if there are
// none after takeoverTime.
//
// Without it, requests waiting on the only host of a deployment that was told
// to stop got no answer until their limit of half a minute had passed.
func (d *Dispatcher) HandoverDone() { time.AfterFunc(takeoverTime, d.endHandover) }

// Request is a caller's request.
type Request struct {
	ID       string
	Caller   string
	Weight   int
	Priority int
	// Model is the adapter's versioned name. It does not change during the
	// request.
	Model string
	Base  string
	// Service names a plain service, instead of Model.
	Service string
	Path    string
	Body    []byte
	// Idempotent requests may be retried after MayHaveRun.
	Idempotent bool
	// IdempotencyKey is the caller's idempotency key, or empty.
	IdempotencyKey string
	// DiscardPieces, if set, discards the pieces passed on so far. The caller
	// has seen none of them, so an idempotent request may be started again.
	DiscardPieces func()
}

// maxAttempts bounds the attempts of one request.
const maxAttempts = 4

// Complete serves a completion and passes the pieces of the answer on. It
// returns nil after a complete answer, and a *Refusal with the verdict
// otherwise.
func (d *Dispatcher) Complete(ctx context.Context, req Request, pass func(engine.Piece) error) *Refusal {
	trace := d.deps.Traces.Begin(req.ID, req.Caller, req.Model, time.Now())
	refusal := d.admitAndClaim(ctx, req, trace, func(ctx context.Context) *Refusal {
		d.deps.Demand.Count(req.Model, time.Now())
		return d.runAttempts(ctx, req, trace, pass)
	})
	trace.End(refusal, time.Now())
	d.deps.Metrics.CountRequest(refusal)
	return refusal
}

// admitAndClaim runs a request between admission and release at the gate, with
// its idempotency key claimed. The gate comes first: a request that it refuses
// under overload makes no object API call and leaves no claim behind.
func (d *Dispatcher) admitAndClaim(ctx context.Context, req Request, trace *Trace, run func(ctx context.Context) *Refusal) *Refusal {
	return d.admit(ctx, req, trace, func(ctx context.Context) *Refusal {
		claim, refusal := d.claimKey(ctx, req, trace)
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

// claimKey claims the idempotency key of a request that may run only once.
func (d *Dispatcher) claimKey(ctx context.Context, req Request, trace *Trace) (*claims.Claim, *Refusal) {
	if req.Idempotent || req.IdempotencyKey == "" {
		return nil, nil
	}
	nonce := d.ids.next(d.cfg.Self.Incarnation)
	claim, err := d.deps.Claims.Begin(ctx, req.Caller, req.IdempotencyKey, req.ID, nonce, time.Now())
	if err != nil {
		trace.Note("idempotency key not claimed: "+err.Error(), time.Now())
		return nil, claimRefusal(err)
	}
	return claim, nil
}

func (d *Dispatcher) admit(ctx context.Context, req Request, trace *Trace, run func(ctx context.Context) *Refusal) *Refusal {
	entered := time.Now()
	if err := d.deps.Gate.Acquire(ctx, AdmissionRequest{Caller: req.Caller, Weight: req.Weight, Priority: req.Priority}); err != nil {
		return gateRefusal(err)
	}
	admitted := time.Now()
	d.deps.Metrics.ObserveQueueTime(admitted.Sub(entered))
	trace.Note("admitted", admitted)
	defer func() { d.deps.Gate.Release(time.Since(admitted)) }()
	return run(ctx)
}

// attemptState is the state of a request across its attempts.
type attemptState struct {
	avoidTargets map[string]bool
	failedLoads  int
	// mayHaveRun is set if an earlier attempt may have run.
	mayHaveRun bool
}

// recordFailure records a failed attempt.
func (s *attemptState) recordFailure(failure *engine.Failure) {
	s.mayHaveRun = s.mayHaveRun || failure.Verdict() != verdict.NotRun
}

// finalRefusal returns the refusal over all attempts. If the last attempt did
// not run, an earlier one may have: a bare "not run" would mislead the caller
// about a request that did run.
func (s *attemptState) finalRefusal(refusal *Refusal) *Refusal {
	if !s.mayHaveRun || refusal.Verdict != verdict.NotRun {
		return refusal
	}
	combined := *refusal
	combined.Verdict = verdict.MayHaveRun
	combined.Message += "; an earlier try may have run"
	return &combined
}

// runAttempts tries the request until it has an answer, or a retry is unsafe,
// unlikely to help, or beyond the budget.
func (d *Dispatcher) runAttempts(ctx context.Context, req Request, trace *Trace, pass func(engine.Piece) error) *Refusal {
	d.deps.Budget.AddRequest()
	state := &attemptState{avoidTargets: map[string]bool{}}
	for attempt := 1; ; attempt++ {
		reserved, refusal := d.reserve(ctx, req, state, trace)
		if refusal != nil {
			return state.finalRefusal(refusal)
		}
		failure := d.attempt(ctx, req, reserved, trace, pass)
		if failure == nil {
			return nil
		}
		state.recordFailure(failure)
		if req.DiscardPieces != nil {
			failure.Delivered = 0
		}
		if !failure.MayRetry(req.Idempotent) || attempt == maxAttempts {
			return state.finalRefusal(failureRefusal(failure))
		}
		// A missing model means that this host's view is stale, not that the
		// target failed: it does not count against the budget.
		if failure.Code != engine.CodeNotLoaded && !d.deps.Budget.TryRetry() {
			trace.Note("no further try: retry budget used up", time.Now())
			return state.finalRefusal(failureRefusal(failure))
		}
		state.avoidTargets[reserved.runner.ID] = failure.Code != engine.CodeNotLoaded
		d.deps.Metrics.CountRetry()
		if req.DiscardPieces != nil {
			req.DiscardPieces()
		}
	}
}

// attempt sends the request to a reserved runner once.
func (d *Dispatcher) attempt(ctx context.Context, req Request, reserved reservation, trace *Trace, pass func(engine.Piece) error) *engine.Failure {
	runner := reserved.runner
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
			d.deps.Metrics.ObserveFirstPiece(time.Since(started))
			trace.Note("first piece", time.Now())
		}
		return pass(piece)
	})
	d.deps.Table.Finished(runner.ID)
	d.finishAttempt(ctx, req, reserved, failure, trace)
	return failure
}

// finishAttempt ends an attempt: it ends the use of the pin and informs the
// breaker and the owner.
func (d *Dispatcher) finishAttempt(ctx context.Context, req Request, reserved reservation, failure *engine.Failure, trace *Trace) {
	now := time.Now()
	clean := failure == nil || failure.Verdict() == verdict.NotRun
	if ret, due := d.deps.Holder.EndUse(reserved.runner.ID, req.Model, clean, now); due {
		d.returnPin(ctx, reserved.runner.ID, ret)
	}
	d.deps.Breakers.Record(reserved.runner.ID, healthy(failure), now)
	if failure == nil {
		trace.Note(reserved.runner.ID+": whole, shown by its end marker behind all pieces", now)
		return
	}
	trace.Note(reserved.runner.ID+": "+failure.Error(), now)
	if failure.Code == engine.CodeNotLoaded {
		d.reportMissing(ctx, reserved.runner, req.Model)
	}
}

// healthy reports whether the attempt shows the target to be healthy: it
// answered, refused this particular request, or the caller went away. An answer
// whose end proves nothing is how some sound services give all of theirs.
func healthy(failure *engine.Failure) bool {
	switch {
	case failure == nil, failure.Stage == engine.StageCaller:
		return true
	case failure.Code == engine.CodeCallerGone, failure.Code == engine.CodeUnproven:
		return true
	default:
		return failure.Stage == engine.StageRefused && failure.Status < 500
	}
}
