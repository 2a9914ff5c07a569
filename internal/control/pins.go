package control

import (
	"context"
	"slices"
	"time"

	"github.com/cherrystage/cherrystage/internal/loading"
	"github.com/cherrystage/cherrystage/internal/peer"
	"github.com/cherrystage/cherrystage/internal/residency"
	"github.com/pkg/errors"
)

// Peer methods of this package.
const (
	MethodAcquire  = "pins.acquire"
	MethodReturn   = "pins.return"
	MethodMissing  = "pins.missing"
	methodRecall   = "pins.recall"
	methodList     = "pins.list"
	MethodPrefetch = "loads.prefetch"
)

// Refusal is the reason why an owner grants no pin.
type Refusal string

// After RefusedLoadBackoff the entry host refuses its request; after each of the
// others it may try another runner.
const (
	RefusedNotOwner    Refusal = "not_owner"
	RefusedInDoubt     Refusal = "in_doubt"
	RefusedLoadFailed  Refusal = "load_failed"
	RefusedLoadBackoff Refusal = "loads_put_off"
	RefusedLoadTimeout Refusal = "load_not_in_time"
)

// AcquireParams requests a pin from an owner, and a load if one is needed.
type AcquireParams struct {
	Runner   string `json:"runner"`
	Model    string `json:"model"`
	Priority int    `json:"priority"`
	WaitMS   int64  `json:"wait_ms"`
}

// AcquireResult is a pin, or the reason why there is none.
type AcquireResult struct {
	Pin     *residency.Pin `json:"pin,omitempty"`
	Refusal Refusal        `json:"refusal,omitempty"`
	// ExpectedMS is unused. It is the owner's estimate of the time until the load ends, in
	// milliseconds from the request.
	ExpectedMS int64 `json:"expected_ms,omitempty"`
	// Loaded reports whether the caller had to wait for a load.
	Loaded bool `json:"loaded,omitempty"`
}

type recallResult struct {
	Returned bool                `json:"returned"`
	Return   residency.PinReturn `json:"return"`
}

type listParams struct {
	Runner string `json:"runner"`
	Fence  uint64 `json:"fence"`
}

type listResult struct {
	Incarnation string              `json:"incarnation"`
	Pins        []residency.HeldPin `json:"pins"`
	// Complete is false if this host knows a later owner.
	Complete bool `json:"complete"`
	// OrdersOut is set if this host, as an earlier owner, has evictions in
	// flight.
	OrdersOut bool `json:"orders_out"`
}

// ReturnParams returns pins to their owner.
type ReturnParams struct {
	Returns []residency.PinReturn `json:"returns"`
}

// MissingParams tells an owner that an engine reports a model as missing.
type MissingParams struct {
	Runner string `json:"runner"`
	Model  string `json:"model"`
}

// PrefetchParams requests a load that nobody waits for yet.
type PrefetchParams struct {
	Runner string  `json:"runner"`
	Model  string  `json:"model"`
	Value  float64 `json:"value"`
}

// Register adds the methods that peers call.
func (c *Controller) Register(mux *peer.Mux) {
	peer.Handle(mux, MethodAcquire, c.Acquire)
	peer.Handle(mux, MethodReturn, func(_ context.Context, from peer.Identity, p ReturnParams) (struct{}, error) {
		c.ReturnPins(from.Host, p.Returns)
		return struct{}{}, nil
	})
	peer.Handle(mux, MethodMissing, func(_ context.Context, _ peer.Identity, p MissingParams) (struct{}, error) {
		c.ModelMissing(p)
		return struct{}{}, nil
	})
	peer.Handle(mux, methodRecall, func(_ context.Context, _ peer.Identity, pin residency.Pin) (recallResult, error) {
		ret, returned := c.deps.Holder.Recall(pin)
		return recallResult{Returned: returned, Return: ret}, nil
	})
	peer.Handle(mux, methodList, func(_ context.Context, _ peer.Identity, p listParams) (listResult, error) {
		return c.listPins(p), nil
	})
	peer.Handle(mux, MethodPrefetch, func(_ context.Context, _ peer.Identity, p PrefetchParams) (bool, error) {
		return c.Prefetch(p.Runner, p.Model, p.Value), nil
	})
}

// Acquire grants a pin. If the model has to be loaded first, it waits for the
// load until the deadline.
func (c *Controller) Acquire(ctx context.Context, from peer.Identity, p AcquireParams) (AcquireResult, error) {
	m := c.ownedRunner(p.Runner)
	if m == nil {
		return AcquireResult{Refusal: RefusedNotOwner}, nil
	}
	deadline := time.NewTimer(time.Duration(p.WaitMS) * time.Millisecond)
	defer deadline.Stop()
	var pending *pendingLoad
	defer func() {
		if pending != nil {
			m.removeWaiter(p.Model, pending)
		}
	}()
	for {
		changed := m.nextChange()
		pin, err := m.runner.Grant(from.Host, from.Incarnation, p.Model, time.Now())
		if err == nil {
			return AcquireResult{Pin: &pin, Loaded: pending != nil}, nil
		}
		if refusal := grantRefusal(err); refusal != "" {
			return AcquireResult{Refusal: refusal}, nil
		}
		if errors.Is(err, residency.ErrEvicting) {
			// The model is in demand again: cancel the recall.
			m.runner.CancelRecall(p.Model)
		}
		if pending == nil && errors.Is(err, residency.ErrNotResident) {
			pending = m.addLoad(c.waitingLoad(p), true)
			c.publishChange(m)
			changed = m.nextChange()
		}
		if pending != nil && m.loadError(pending) != nil {
			return AcquireResult{Refusal: loadRefusal(m.loadError(pending))}, nil
		}
		select {
		case <-changed:
		case <-deadline.C:
			return AcquireResult{Refusal: RefusedLoadTimeout}, nil
		case <-ctx.Done():
			return AcquireResult{}, ctx.Err()
		}
	}
}

func (c *Controller) waitingLoad(p AcquireParams) loading.Request {
	return loading.Request{Runner: p.Runner, Model: p.Model, Class: loading.ClassWaiting, Priority: p.Priority, Since: time.Now()}
}

func grantRefusal(err error) Refusal {
	switch {
	case errors.Is(err, residency.ErrNotOwner):
		return RefusedNotOwner
	case errors.Is(err, residency.ErrInDoubt):
		return RefusedInDoubt
	default:
		return ""
	}
}

func loadRefusal(err error) Refusal {
	if errors.Is(err, loading.ErrBackoff) {
		return RefusedLoadBackoff
	}
	return RefusedLoadFailed
}

// ReturnPins accepts the pins that a holder returns.
func (c *Controller) ReturnPins(holder string, returns []residency.PinReturn) {
	for _, ret := range returns {
		if m := c.ownedRunner(ret.Pin.Runner); m != nil {
			m.runner.AcceptReturn(holder, ret, time.Now())
		}
	}
}

// ModelMissing records that an engine reports a model as missing.
func (c *Controller) ModelMissing(p MissingParams) {
	if m := c.ownedRunner(p.Runner); m != nil {
		m.runner.ModelMissing(p.Model, time.Now())
		c.publishChange(m)
	}
}

func (c *Controller) listPins(p listParams) listResult {
	pins, complete := c.deps.Holder.ListPins(p.Runner, p.Fence)
	result := listResult{Incarnation: c.cfg.Self.Incarnation, Pins: pins, Complete: complete}
	c.mu.Lock()
	m := c.runners[p.Runner]
	c.mu.Unlock()
	if m == nil {
		return result
	}
	for _, ownership := range append(slices.Clone(m.earlier), m) {
		result.OrdersOut = result.OrdersOut || ownership.hasEvictionsBefore(p.Fence)
	}
	return result
}
