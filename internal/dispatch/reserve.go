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
	// maxLoadFailures is the number of runners on which a load is tried.
	maxLoadFailures = 3
	viewPause       = 50 * time.Millisecond
	tellTimeout     = time.Second
	// residentWait bounds the wait for a pin on a model that should be resident.
	residentWait = 2 * time.Second
)

// spot is a runner on which this request holds a use of a pin.
type spot struct {
	runner routing.Runner
}

// reserve finds a runner that has the model, or has one load it, and takes a
// use of a pin there.
func (d *Dispatcher) reserve(ctx context.Context, req Request, state *tries, trace *Trace) (spot, *Refusal) {
	began := time.Now()
	deadline := began.Add(d.cfg.MaxWait)
	stalled := false
	for {
		now := time.Now()
		if ctx.Err() != nil {
			return spot{}, notRun(CodeCallerGone, "the caller went away", 0)
		}
		if !now.Before(deadline) {
			return spot{}, notRun(CodeNoRunner, "no runner could take the request in time", retrySoon)
		}
		decision := d.decide(ctx, req, state, now)
		found, refusal := d.follow(ctx, req, decision, state, deadline, trace)
		if refusal != nil {
			return spot{}, refusal
		}
		stalled = stalled || decision.Action != routing.ActionSend
		if found {
			if stalled {
				d.deps.Metrics.Stalled(time.Since(began))
				trace.Note("waited for a load on "+decision.Runner.ID, time.Now())
			}
			return spot{runner: decision.Runner}, nil
		}
	}
}

// decide chooses among what this host knows; for a model that is nowhere, the
// model's home chooses, so that hosts do not load it in several places.
func (d *Dispatcher) decide(ctx context.Context, req Request, state *tries, now time.Time) routing.Decision {
	times := d.times(now)
	located := d.reachable(req.Model, now)
	avoid := func(id string) bool { return state.avoided[id] || d.deps.Breakers.Avoid(id, now) }
	decision := routing.Choose(located, d.cfg.Weights, times, avoid)
	if decision.NeedsReplica {
		d.spread(ctx, req, decision.Runner.ID)
	}
	if decision.Action != routing.ActionNone {
		return decision
	}
	runner, ok := d.deps.Placer.Place(ctx, req.Model, req.Base, state.avoided, times)
	if !ok {
		return decision
	}
	return routing.Decision{Action: routing.ActionLoad, Runner: runner, Wait: times.Load, Reason: "to be loaded"}
}

// reachable gives the runners that have the model and can be used: those whose
// owner is heard, and those on which this host has a pin already. An owner that
// nobody hears keeps its runners for as long as it renews its lease.
func (d *Dispatcher) reachable(model string, now time.Time) []routing.Located {
	located := d.deps.Table.RunnersWith(model)
	return slices.DeleteFunc(located, func(l routing.Located) bool {
		return !d.deps.Members.Alive(l.Owner, now) && !d.deps.Holder.Holds(l.ID, model)
	})
}

// times gives the measured times that expected waits are made from.
func (d *Dispatcher) times(now time.Time) routing.Times {
	return routing.Times{Service: d.deps.Gate.Service(), Load: d.deps.Placer.LoadWait(now)}
}

// follow carries a decision out. It reports true once a use is taken; false
// means that knowledge was stale and another decision is due.
func (d *Dispatcher) follow(ctx context.Context, req Request, decision routing.Decision, state *tries, deadline time.Time, trace *Trace) (bool, *Refusal) {
	runner := decision.Runner
	orphaned := decision.Action == routing.ActionNone || runner.Owner == d.cfg.Self.Host
	if orphaned && d.stopped.Err() != nil {
		return false, notRun(CodeStopping, "this host is stopping and no other gives the runner orders", 0)
	}
	if decision.Action == routing.ActionNone {
		// Every runner has been tried or none is known: all may be tried again.
		clear(state.avoided)
		timing.Sleep(ctx, viewPause)
		return false, nil
	}
	if d.use(ctx, runner.ID, req.Model) {
		return true, nil
	}
	wait := time.Until(deadline)
	if decision.Action == routing.ActionSend {
		wait = min(wait, residentWait)
	} else if decision.Wait > wait {
		return false, notRun(CodeLoadQueue, "the adapter could not be loaded in time", decision.Wait)
	}
	result, err := d.acquire(ctx, req, runner, wait)
	if err != nil {
		trace.Note("owner "+runner.Owner+" of "+runner.ID+" does not answer: "+err.Error(), time.Now())
		timing.Sleep(ctx, viewPause)
		return false, nil
	}
	if result.Pin != nil && d.deps.Holder.Granted(*result.Pin, time.Now()) && d.use(ctx, runner.ID, req.Model) {
		return true, nil
	}
	return false, d.refused(ctx, runner.ID, result.Refusal, state)
}

// use takes a use of a pin and the breaker's leave to try the runner.
func (d *Dispatcher) use(ctx context.Context, runner, model string) bool {
	now := time.Now()
	if !d.deps.Holder.Use(runner, model) {
		return false
	}
	if d.deps.Breakers.Enter(runner, now) {
		return true
	}
	if ret, due := d.deps.Holder.Done(runner, model, true, now); due {
		d.giveBack(ctx, runner, ret)
	}
	return false
}

// refused takes an owner's refusal in: it is tried elsewhere, or given up.
func (d *Dispatcher) refused(ctx context.Context, runner string, refusal control.Refusal, state *tries) *Refusal {
	switch refusal {
	case control.RefusedBroken:
		return notRun(CodeAdapterFails, "loads of this adapter keep failing and are put off", retryLater)
	case control.RefusedLoad:
		state.loads++
		state.avoided[runner] = true
		if state.loads >= maxLoadFailures {
			return notRun(CodeAdapterFails, "the adapter could not be loaded", retryLater)
		}
	case control.RefusedDoubt:
		state.avoided[runner] = true
	default:
		timing.Sleep(ctx, viewPause)
	}
	return nil
}

// acquire asks the runner's owner, who may be this host, for a pin.
func (d *Dispatcher) acquire(ctx context.Context, req Request, runner routing.Runner, wait time.Duration) (control.AcquireResult, error) {
	params := control.AcquireParams{Runner: runner.ID, Model: req.Model, Priority: req.Priority, WaitMS: wait.Milliseconds()}
	if runner.Owner == d.cfg.Self.Host {
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		defer context.AfterFunc(d.stopped, cancel)()
		return d.deps.Owner.Acquire(ctx, d.cfg.Self, params)
	}
	ctx, cancel := context.WithTimeout(ctx, wait+tellTimeout)
	defer cancel()
	var result control.AcquireResult
	stop := d.cancelWhenSilent(ctx, cancel, runner.Owner)
	defer stop()
	err := d.deps.Peers.CallLong(ctx, d.addressOf(runner.Owner), control.MethodAcquire, params, &result)
	return result, err
}

// cancelWhenSilent gives a long call up when its peer is no longer heard: the
// caller's request must not wait for an owner that has died.
func (d *Dispatcher) cancelWhenSilent(ctx context.Context, cancel context.CancelFunc, host string) func() {
	ticker := time.NewTicker(silenceCheck)
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

const silenceCheck = 250 * time.Millisecond

func (d *Dispatcher) addressOf(host string) string {
	member, _ := d.deps.Members.Get(host)
	return member.Address
}

// spread asks for another copy of a busy model; nobody waits for it.
func (d *Dispatcher) spread(ctx context.Context, req Request, busy string) {
	runner, ok := d.deps.Placer.Place(ctx, req.Model, req.Base, map[string]bool{busy: true}, d.times(time.Now()))
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
	d.tell(ctx, runner.Owner, control.MethodPrefetch, control.PrefetchParams{Runner: runner.ID, Model: model, Value: value})
}

// giveBack returns a pin to the owner of its runner.
func (d *Dispatcher) giveBack(ctx context.Context, runner string, ret residency.Return) {
	owner, _ := d.deps.Table.Get(runner)
	if owner.Owner == d.cfg.Self.Host {
		d.deps.Owner.TakeBack(d.cfg.Self.Host, []residency.Return{ret})
		return
	}
	d.tell(ctx, owner.Owner, control.MethodReturn, control.ReturnParams{Returns: []residency.Return{ret}})
}

// missing drops the pin on a model that the engine does not have, and tells
// the owner, whose last report may still say otherwise.
func (d *Dispatcher) missing(ctx context.Context, runner routing.Runner, model string) {
	if ret, due := d.deps.Holder.Drop(runner.ID, model); due {
		d.giveBack(ctx, runner.ID, ret)
	}
	params := control.MissingParams{Runner: runner.ID, Model: model}
	if runner.Owner == d.cfg.Self.Host {
		d.deps.Owner.Missing(params)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, tellTimeout)
	defer cancel()
	// Waited for, so that the next decision finds the owner informed.
	if err := d.deps.Peers.Call(ctx, d.addressOf(runner.Owner), control.MethodMissing, params, nil); err != nil {
		d.deps.Log.Debug("owner not told of a missing model", "runner", runner.ID, "error", err)
	}
}

// tell sends a message that nothing waits for. A lost return only keeps its
// pin out until the owner recalls it.
func (d *Dispatcher) tell(ctx context.Context, host, method string, params any) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), tellTimeout)
	go func() {
		defer cancel()
		if err := d.deps.Peers.Call(ctx, d.addressOf(host), method, params, nil); err != nil {
			d.deps.Log.Debug("peer not told", "peer", host, "method", method, "error", err)
		}
	}()
}

// GiveBackIdle returns the pins that have not been used since a time.
func (d *Dispatcher) GiveBackIdle(ctx context.Context, since time.Time) {
	for _, ret := range d.deps.Holder.IdleSince(since) {
		d.giveBack(ctx, ret.Pin.Runner, ret)
	}
}
