package adapters

import (
	"context"
	"maps"
	"time"

	"github.com/cherrystage/cherrystage/internal/site"
)

// order sends one order to the runner for the current sequence number. The order
// counts as unanswered until an answer arrives. details are added to the log line.
func (c *Controller) order(ctx context.Context, load bool, key Key, details ...any) Outcome {
	c.mu.Lock()
	sequence := c.slots.Sequence
	free, waiting := c.slots.Free(), len(c.pending)
	inProgress, fetched := c.slots.InProgress()
	// Recorded before it is sent, since the controller may be stopped while it waits
	// for the answer.
	answered := c.slots.Unanswered.add(sequence, load, c.Now())
	c.mu.Unlock()
	// Checked last, since the lease may end while this goroutine waits for the lock.
	now := c.Now()
	token, ok := c.Authority.MayOrder(c.runner.Address, now)
	if !ok {
		c.mu.Lock()
		answered()
		c.mu.Unlock()
		return OutcomeRejected
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	answer, err := c.Engines.Order(ctx, c.runner.Address, Order{
		Load: load, Key: key, Sequence: sequence, Holder: c.Holder, Token: token, Instance: c.runner.Instance, Valid: c.mayOrder,
	})
	c.passSignal(answer.Signal)
	outcome := answer.Outcome
	fields := []any{"load", load, "adapter", key.Adapter.String(), "version", key.Version, "sequence", sequence, "token", token, "outcome", outcome.String(), "took_ms", c.Now().Sub(now).Milliseconds(),
		"free", free, "transit", inProgress, "fetched", fetched, "reload", load && c.heldRecently(key), "waiting", waiting, "estimate_ms", c.Times.Estimate(false, StoreLoad{}).Milliseconds()}
	fields = append(fields, details...)
	if err != nil {
		fields = append(fields, "error", err.Error())
	}
	c.log.Info("order", fields...)
	if outcome != OutcomeUnknown {
		c.mu.Lock()
		answered()
		c.mu.Unlock()
	}
	return outcome
}

// mayOrder reports whether this host may give orders to the runner now.
func (c *Controller) mayOrder() bool {
	_, ok := c.Authority.MayOrder(c.runner.Address, c.Now())
	return ok
}

// unansweredOrders returns the orders that may still be carried out in a later
// lifetime.
func (c *Controller) unansweredOrders(now time.Time) LateOrders {
	c.mu.Lock()
	defer c.mu.Unlock()
	late := maps.Clone(c.slots.Inherited)
	late.merge(c.slots.Unanswered)
	late.expire(now)
	return late
}

// loadAdapter orders the load of an adapter, records its outcome and returns the pause
// after it.
func (c *Controller) loadAdapter(ctx context.Context, key Key) time.Duration {
	c.mu.Lock()
	recent := c.slots.HeldRecently(key)
	estimate := c.estimateLoad(recent)
	c.mu.Unlock()
	sent := c.Now()
	outcome := c.orderLoad(ctx, key)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ordering = Key{}
	now := c.Now()
	switch outcome {
	case OutcomeAccepted:
		c.slots.LoadAccepted(key, now.Add(estimate), now)
		if !recent {
			c.lastFetchAt = now
		}
		c.updateFetches()
		c.Times.LoadAccepted(recent)
		return 0
	case OutcomeDone:
		c.slots.LoadAccepted(key, now, now)
		c.slots.Sequence--
		return 0
	case OutcomeUnknown:
		c.slots.LoadInDoubt(key, sent)
	}
	return c.resync()
}

// maxOrderTries bounds how often a load is ordered for one sequence number. Where a
// third of the answers is lost, one load in 200 then ends in doubt.
const maxOrderTries = 5

// orderLoad orders a load and repeats the order for the same sequence number while it
// gets no answer. The runner accepts at most one of these orders, so a conflict means
// that it accepted an earlier one.
//
// Without repeats all requests waiting for the runner would wait out the timeout and
// a report, 0.5 s, for each lost answer.
func (c *Controller) orderLoad(ctx context.Context, key Key) Outcome {
	outcome := c.order(ctx, true, key)
	for try := 1; try < maxOrderTries && outcome == OutcomeUnknown; try++ {
		outcome = c.order(ctx, true, key)
		switch outcome {
		case OutcomeConflict:
			return OutcomeAccepted
		case OutcomeRejected, OutcomeFenced:
			// This says nothing of the orders before, which may be carried out.
			return OutcomeUnknown
		}
	}
	return outcome
}

// resync makes the controller read the report again; c.mu must be held.
func (c *Controller) resync() time.Duration {
	c.synced = false
	return syncRetryInterval
}

// unload orders the unload of an adapter, records its outcome and returns the pause
// after it.
func (c *Controller) unload(ctx context.Context, adapter site.Adapter, purpose string) time.Duration {
	c.mu.Lock()
	details := c.evictionFields(adapter, purpose, c.Now())
	c.mu.Unlock()
	outcome := c.order(ctx, false, Key{Adapter: adapter}, details...)
	c.mu.Lock()
	defer c.mu.Unlock()
	switch outcome {
	case OutcomeDone:
		c.countEviction(adapter, purpose)
		c.slots.Unloaded(adapter)
		return 0
	case OutcomeAccepted:
		c.countEviction(adapter, purpose)
		c.slots.UnloadAccepted(adapter, c.Now())
		c.synced = false
		return syncRetryInterval
	}
	return c.resync()
}
