package adapters

import (
	"context"
	"maps"
	"time"

	"github.com/cherrystage/cherrystage/internal/site"
)

// order gives one order.
func (k *Controller) order(ctx context.Context, load bool, key Key) Outcome {
	now := k.Now()
	token, ok := k.Authority.MayOrder(k.runner.Address, now)
	if !ok {
		return OutcomeRejected
	}
	k.mu.Lock()
	sequence := k.slots.Sequence
	free, waiting := k.slots.Free(), len(k.waiting)
	transit, fetched := k.slots.Transit()
	// Noted before it is sent: the keeper may be stopped while it waits for the answer.
	settled := k.slots.Unanswered.note(sequence, load, now)
	k.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	answer, err := k.Engines.Order(ctx, k.runner.Address, Order{
		Load: load, Key: key, Sequence: sequence, Holder: k.Holder, Token: token, Instance: k.runner.Instance,
	})
	k.signalled(answer.Signal)
	outcome := answer.Outcome
	fields := []any{"load", load, "adapter", key.Adapter.String(), "version", key.Version, "sequence", sequence, "token", token, "outcome", outcome.String(), "took_ms", k.Now().Sub(now).Milliseconds(),
		"free", free, "transit", transit, "fetched", fetched, "reload", load && k.isRecent(key), "waiting", waiting, "estimate_ms", k.Times.Estimate(false, StoreLoad{}).Milliseconds()}
	if err != nil {
		fields = append(fields, "error", err.Error())
	}
	k.log.Info("order", fields...)
	if outcome != OutcomeUnknown {
		k.mu.Lock()
		settled()
		k.mu.Unlock()
	}
	return outcome
}

// unanswered gives the orders that may still be carried out in a later lifetime.
func (k *Controller) unanswered(now time.Time) LateOrders {
	k.mu.Lock()
	defer k.mu.Unlock()
	late := maps.Clone(k.slots.Inherited)
	late.merge(k.slots.Unanswered)
	late.expire(now)
	return late
}

func (k *Controller) loadAdapter(ctx context.Context, key Key) time.Duration {
	k.mu.Lock()
	recent := k.slots.Recent(key)
	took := k.estimate(recent)
	k.mu.Unlock()
	sent := k.Now()
	outcome := k.orderLoad(ctx, key)
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.Now()
	switch outcome {
	case OutcomeAccepted:
		k.slots.Loading(key, now.Add(took), now)
		if !recent {
			k.fetchedAt = now
		}
		k.countTransit()
		k.Times.InTime(recent)
		return 0
	case OutcomeDone:
		k.slots.Loading(key, now, now)
		k.slots.Sequence--
		return 0
	case OutcomeUnknown:
		k.slots.Doubt(key, sent)
	}
	return k.resync()
}

// orderTries bounds how often a load is ordered for one sequence. Where a third of
// the answers is lost, one load in 200 then ends in doubt.
const orderTries = 5

// orderLoad orders a load and, while no answer comes, orders it again for the same
// sequence: of all these orders the runner takes at most one. A conflict then says
// that it took an earlier one.
//
// Without the further orders all who wait for the runner would wait out the
// timeout and a report, 0.5 s, for each answer that is lost.
func (k *Controller) orderLoad(ctx context.Context, key Key) Outcome {
	outcome := k.order(ctx, true, key)
	for try := 1; try < orderTries && outcome == OutcomeUnknown; try++ {
		outcome = k.order(ctx, true, key)
		if outcome == OutcomeConflict {
			return OutcomeAccepted
		}
	}
	return outcome
}

// resync has the report read; the lock is held.
func (k *Controller) resync() time.Duration {
	k.synced = false
	return syncPause
}

func (k *Controller) unload(ctx context.Context, adapter site.Adapter) time.Duration {
	outcome := k.order(ctx, false, Key{Adapter: adapter})
	k.mu.Lock()
	defer k.mu.Unlock()
	switch outcome {
	case OutcomeDone:
		k.slots.Left(adapter)
		return 0
	case OutcomeAccepted:
		k.slots.Leaving(adapter, k.Now())
		k.synced = false
		return syncPause
	}
	return k.resync()
}
