package dispatch

import (
	"context"
	"slices"
	"time"

	"github.com/cherrystage/cherrystage/internal/control"
	"github.com/cherrystage/cherrystage/internal/residency"
	"github.com/cherrystage/cherrystage/internal/routing"
	"github.com/cherrystage/cherrystage/internal/timing"
)

const (
	// maxLoadFailures is the number of failed loads, on different runners,
	// after which a request is refused.
	maxLoadFailures = 3
	staleViewDelay  = 50 * time.Millisecond
	notifyTimeout   = time.Second
	// maxResidentWait bounds the wait for a pin on a model that should be
	// resident.
	maxResidentWait = 2 * time.Second
)

// reservation is a runner on which this request has begun a use of a pin.
type reservation struct {
	runner routing.Runner
}

// reserve finds a runner that has the model, or has one load it, and begins a
// use of a pin there.
func (d *Dispatcher) reserve(ctx context.Context, req Request, state *attemptState, trace *Trace) (reservation, *Refusal) {
	began := time.Now()
	deadline := began.Add(d.cfg.MaxWait)
	waitedForLoad := false
	for {
		now := time.Now()
		if ctx.Err() != nil {
			return reservation{}, notRunRefusal(CodeCallerGone, "the caller went away", 0)
		}
		if !now.Before(deadline) {
			return reservation{}, notRunRefusal(CodeNoRunner, "no runner could take the request in time", retrySoon)
		}
		decision := d.decide(ctx, req, state, now)
		found, refusal := d.execute(ctx, req, decision, state, deadline, trace)
		if refusal != nil {
			return reservation{}, refusal
		}
		waitedForLoad = waitedForLoad || decision.Action != routing.ActionSend
		if found {
			if waitedForLoad {
				d.deps.Metrics.ObserveLoadStall(time.Since(began))
				trace.Note("waited for a load on "+decision.Runner.ID, time.Now())
			}
			return reservation{runner: decision.Runner}, nil
		}
	}
}

// decide chooses among the runners that this host knows to have the model. If
// there are none, the model's home chooses one to load it, so that hosts do not
// load it in several places.
func (d *Dispatcher) decide(ctx context.Context, req Request, state *attemptState, now time.Time) routing.Decision {
	expected := d.expectedTimes(now)
	located := d.reachable(req.Model, now)
	avoid := func(id string) bool { return state.avoidTargets[id] || d.deps.Breakers.IsOpen(id, now) }
	decision := routing.Choose(located, d.cfg.Weights, expected, avoid)
	if decision.NeedsReplica {
		d.requestReplica(ctx, req, decision.Runner.ID)
	}
	if decision.Action != routing.ActionNone {
		return decision
	}
	runner, ok := d.deps.Placer.Place(ctx, req.Model, req.Base, state.avoidTargets, expected)
	if !ok {
		return decision
	}
	return routing.Decision{Action: routing.ActionLoad, Runner: runner, Wait: expected.Load, Reason: "to be loaded"}
}

// reachable returns the runners that have the model and can be used: their
// owner is alive, or this host already has a pin there. The owner of a runner
// keeps it for as long as it renews its lease, even if no other host hears from
// it.
func (d *Dispatcher) reachable(model string, now time.Time) []routing.Located {
	located := d.deps.Table.RunnersWith(model)
	return slices.DeleteFunc(located, func(l routing.Located) bool {
		return !d.deps.Members.Alive(l.Owner, now) && !d.deps.Holder.CanUse(l.ID, model)
	})
}

// expectedTimes returns the measured times on which expected waits are based.
func (d *Dispatcher) expectedTimes(now time.Time) routing.Times {
	return routing.Times{Service: d.deps.Gate.MeanServiceTime(), Load: d.deps.Placer.ExpectedLoadTime(now)}
}

// execute carries a decision out. It returns true once a use has begun; false
// means that the decision was based on stale knowledge and must be repeated.
func (d *Dispatcher) execute(ctx context.Context, req Request, decision routing.Decision, state *attemptState, deadline time.Time, trace *Trace) (bool, *Refusal) {
	runner := decision.Runner
	needsOwnOrders := decision.Action == routing.ActionNone || runner.Owner == d.cfg.Self.Host
	if needsOwnOrders && d.handoverCtx.Err() != nil {
		return false, notRunRefusal(CodeStopping, "this host is stopping and no other gives the runner orders", 0)
	}
	if decision.Action == routing.ActionNone {
		// Every runner was tried or none is known: allow all again.
		clear(state.avoidTargets)
		timing.Sleep(ctx, staleViewDelay)
		return false, nil
	}
	if d.tryUse(ctx, runner.ID, req.Model) {
		return true, nil
	}
	wait := time.Until(deadline)
	if decision.Action == routing.ActionSend {
		wait = min(wait, maxResidentWait)
	} else if decision.Wait > wait {
		return false, notRunRefusal(CodeLoadQueue, "the adapter could not be loaded in time", decision.Wait)
	}
	result, err := d.acquire(ctx, req, runner, wait)
	if err != nil {
		trace.Note("owner "+runner.Owner+" of "+runner.ID+" does not answer: "+err.Error(), time.Now())
		timing.Sleep(ctx, staleViewDelay)
		return false, nil
	}
	if result.Pin != nil && d.deps.Holder.AcceptGrant(*result.Pin, time.Now()) && d.tryUse(ctx, runner.ID, req.Model) {
		return true, nil
	}
	return false, d.handleRefusal(ctx, runner.ID, result.Refusal, state)
}

// tryUse begins a use of a pin, if the breaker allows the runner.
func (d *Dispatcher) tryUse(ctx context.Context, runner, model string) bool {
	now := time.Now()
	if !d.deps.Holder.BeginUse(runner, model) {
		return false
	}
	if d.deps.Breakers.Allow(runner, now) {
		return true
	}
	if ret, due := d.deps.Holder.EndUse(runner, model, true, now); due {
		d.returnPin(ctx, runner, ret)
	}
	return false
}

// handleRefusal handles an owner's refusal: the request is retried elsewhere or
// refused.
func (d *Dispatcher) handleRefusal(ctx context.Context, runner string, refusal control.Refusal, state *attemptState) *Refusal {
	switch refusal {
	case control.RefusedLoadBackoff:
		return notRunRefusal(CodeAdapterFails, "loads of this adapter keep failing and are put off", retryLater)
	case control.RefusedLoadFailed:
		state.failedLoads++
		state.avoidTargets[runner] = true
		if state.failedLoads >= maxLoadFailures {
			return notRunRefusal(CodeAdapterFails, "the adapter could not be loaded", retryLater)
		}
	case control.RefusedInDoubt:
		state.avoidTargets[runner] = true
	default:
		timing.Sleep(ctx, staleViewDelay)
	}
	return nil
}

// acquire requests a pin from the runner's owner, which may be this host.
func (d *Dispatcher) acquire(ctx context.Context, req Request, runner routing.Runner, wait time.Duration) (control.AcquireResult, error) {
	params := control.AcquireParams{Runner: runner.ID, Model: req.Model, Priority: req.Priority, WaitMS: wait.Milliseconds()}
	if runner.Owner == d.cfg.Self.Host {
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		defer context.AfterFunc(d.handoverCtx, cancel)()
		return d.deps.Owner.Acquire(ctx, d.cfg.Self, params)
	}
	ctx, cancel := context.WithTimeout(ctx, wait+notifyTimeout)
	defer cancel()
	var result control.AcquireResult
	stop := d.cancelWhenSilent(ctx, cancel, runner.Owner)
	defer stop()
	err := d.deps.Peers.CallLong(ctx, d.addressOf(runner.Owner), control.MethodAcquire, params, &result)
	return result, err
}

// cancelWhenSilent cancels a long call when its peer is no longer alive: the
// caller's request must not wait for a dead owner.
func (d *Dispatcher) cancelWhenSilent(ctx context.Context, cancel context.CancelFunc, host string) func() {
	ticker := time.NewTicker(silenceCheckInterval)
	done := make(chan struct{})
	go func() {
		defer ticker.Stop()
		for {
			select {
			case <-done:
				return
			case <-ctx.Done():
				return
			case now := <-ticker.C:
				if !d.deps.Members.Alive(host, now) {
					cancel()
					return
				}
			}
		}
	}()
	return func() { close(done) }
}

const silenceCheckInterval = 250 * time.Millisecond

func (d *Dispatcher) addressOf(host string) string {
	member, _ := d.deps.Members.Get(host)
	return member.Address
}

// requestReplica requests another replica of a busy model. Nobody waits for it.
func (d *Dispatcher) requestReplica(ctx context.Context, req Request, busy string) {
	runner, ok := d.deps.Placer.Place(ctx, req.Model, req.Base, map[string]bool{busy: true}, d.expectedTimes(time.Now()))
	if !ok || runner.ID == busy {
		return
	}
	d.Prefetch(ctx, runner, req.Model, 1)
}

// Prefetch asks a runner's owner for a load that nobody waits for.
func (d *Dispatcher) Prefetch(ctx context.Context, runner routing.Runner, model string, value float64) {
	if runner.Owner == d.cfg.Self.Host {
		d.deps.Owner.Prefetch(runner.ID, model, value)
		return
	}
	d.notify(ctx, runner.Owner, control.MethodPrefetch, control.PrefetchParams{Runner: runner.ID, Model: model, Value: value})
}

// returnPin returns a pin to the owner of its runner.
func (d *Dispatcher) returnPin(ctx context.Context, runner string, ret residency.PinReturn) {
	owner, _ := d.deps.Table.Get(runner)
	if owner.Owner == d.cfg.Self.Host {
		d.deps.Owner.ReturnPins(d.cfg.Self.Host, []residency.PinReturn{ret})
		return
	}
	d.notify(ctx, owner.Owner, control.MethodReturn, control.ReturnParams{Returns: []residency.PinReturn{ret}})
}

// reportMissing drops the pin on a model that the engine does not have, and
// informs the owner, whose last report may still list the model.
func (d *Dispatcher) reportMissing(ctx context.Context, runner routing.Runner, model string) {
	if ret, due := d.deps.Holder.Drop(runner.ID, model); due {
		d.returnPin(ctx, runner.ID, ret)
	}
	params := control.MissingParams{Runner: runner.ID, Model: model}
	if runner.Owner == d.cfg.Self.Host {
		d.deps.Owner.ModelMissing(params)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, notifyTimeout)
	defer cancel()
	// The call is synchronous, so that the next decision finds the owner
	// informed.
	if err := d.deps.Peers.Call(ctx, d.addressOf(runner.Owner), control.MethodMissing, params, nil); err != nil {
		d.deps.Log.Debug("reporting missing model to owner failed", "runner", runner.ID, "error", err)
	}
}

// notify sends a message without waiting for the answer. A lost return only
// keeps its pin held until the owner recalls it.
func (d *Dispatcher) notify(ctx context.Context, host, method string, params any) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), notifyTimeout)
	go func() {
		defer cancel()
		if err := d.deps.Peers.Call(ctx, d.addressOf(host), method, params, nil); err != nil {
			d.deps.Log.Debug("notifying peer failed", "peer", host, "method", method, "error", err)
		}
	}()
}

// ReturnIdlePins returns the pins that have not been used since a time.
func (d *Dispatcher) ReturnIdlePins(ctx context.Context, since time.Time) {
	for _, ret := range d.deps.Holder.ReturnIdle(since) {
		d.returnPin(ctx, ret.Pin.Runner, ret)
	}
}
