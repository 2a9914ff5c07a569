package control

import (
	"context"
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

// Refusal is why an owner gives no pin.
type Refusal string

// Refusals. After each the asker may try another runner.
const (
	RefusedNotOwner Refusal = "not_owner"
	RefusedDoubt    Refusal = "in_doubt"
	RefusedLoad     Refusal = "load_failed"
	RefusedBroken   Refusal = "loads_put_off"
	RefusedTimeout  Refusal = "load_not_in_time"
)

// AcquireParams asks an owner for a pin, and for a load where one is needed.
type AcquireParams struct {
	Runner   string `json:"runner"`
	Model    string `json:"model"`
	Priority int    `json:"priority"`
	WaitMS   int64  `json:"wait_ms"`
}

// AcquireResult is a pin, or why there is none.
type AcquireResult struct {
	Pin     *residency.Pin `json:"pin,omitempty"`
	Refusal Refusal        `json:"refusal,omitempty"`
	// ExpectedMS is the owner's estimate of the load's end, from when it was asked.
	ExpectedMS int64 `json:"expected_ms,omitempty"`
	// Loaded says that the asker had to wait for a load.
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
	// Complete is false when this host already knows a later owner.
	Complete bool `json:"complete"`
	// OrdersOut: this host, as an earlier owner, has orders under way.
	OrdersOut bool `json:"orders_out"`
}

// ReturnParams gives pins back to their owner.
type ReturnParams struct {
	Returns []residency.PinReturn `json:"returns"`
}

// MissingParams tells an owner that an engine has said it lacks a model.
type MissingParams struct {
	Runner string `json:"runner"`
	Model  string `json:"model"`
}

// PrefetchParams asks an owner for a load that nobody waits for yet.
type PrefetchParams struct {
	Runner string  `json:"runner"`
	Model  string  `json:"model"`
	Value  float64 `json:"value"`
}

// Register adds the methods that peers call.
func (c *Controller) Register(mux *peer.Mux) {
	peer.Handle(mux, MethodAcquire, c.Acquire)
	peer.Handle(mux, MethodReturn, func(_ context.Context, from peer.Identity, p ReturnParams) (struct{}, error) {
		c.TakeBack(from.Host, p.Returns)
		return struct{}{}, nil
	})
	peer.Handle(mux, MethodMissing, func(_ context.Context, _ peer.Identity, p MissingParams) (struct{}, error) {
		c.Missing(p)
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

// Acquire grants a pin, after a load if one is needed and ends in time.
func (c *Controller) Acquire(ctx context.Context, from peer.Identity, p AcquireParams) (AcquireResult, error) {
	m := c.find(p.Runner)
	if m == nil {
		return AcquireResult{Refusal: RefusedNotOwner}, nil
	}
	deadline := time.NewTimer(time.Duration(p.WaitMS) * time.Millisecond)
	defer deadline.Stop()
	var w *want
	defer func() {
		if w != nil {
			m.dropWaiter(p.Model, w)
		}
	}()
	for {
		changed := m.waitChange()
		pin, err := m.runner.Grant(from.Host, from.Incarnation, p.Model, time.Now())
		if err == nil {
			return AcquireResult{Pin: &pin, Loaded: w != nil}, nil
		}
		if refusal := refusalOf(err); refusal != "" {
			return AcquireResult{Refusal: refusal}, nil
		}
		if errors.Is(err, residency.ErrEvicting) {
			// Somebody wants the model after all: a recall is called off.
			m.runner.CancelRecall(p.Model)
		}
		if w == nil && errors.Is(err, residency.ErrNotResident) {
			w = m.addWant(c.askFor(p), true)
			c.notify(m)
			changed = m.waitChange()
		}
		if w != nil && m.failure(w) != nil {
			return AcquireResult{Refusal: loadRefusal(m.failure(w))}, nil
		}
		select {
		case <-changed:
		case <-deadline.C:
			return AcquireResult{Refusal: RefusedTimeout}, nil
		case <-ctx.Done():
			return AcquireResult{}, ctx.Err()
		}
	}
}

func (c *Controller) askFor(p AcquireParams) loading.Ask {
	return loading.Ask{Runner: p.Runner, Model: p.Model, Class: loading.ClassWaiting, Priority: p.Priority, Since: time.Now()}
}

func refusalOf(err error) Refusal {
	switch {
	case errors.Is(err, residency.ErrNotOwner):
		return RefusedNotOwner
	case errors.Is(err, residency.ErrInDoubt):
		return RefusedDoubt
	default:
		return ""
	}
}

func loadRefusal(err error) Refusal {
	if errors.Is(err, loading.ErrBroken) {
		return RefusedBroken
	}
	return RefusedLoad
}

// TakeBack takes pins back from a holder.
func (c *Controller) TakeBack(holder string, returns []residency.PinReturn) {
	for _, ret := range returns {
		if m := c.find(ret.Pin.Runner); m != nil {
			m.runner.AcceptReturn(holder, ret, time.Now())
		}
	}
}

// Missing notes that an engine has said it lacks a model.
func (c *Controller) Missing(p MissingParams) {
	if m := c.find(p.Runner); m != nil {
		m.runner.ModelMissing(p.Model, time.Now())
		c.notify(m)
	}
}

func (c *Controller) listPins(p listParams) listResult {
	pins, complete := c.deps.Holder.ListPins(p.Runner, p.Fence)
	result := listResult{Incarnation: c.cfg.Self.Incarnation, Pins: pins, Complete: complete}
	c.mu.Lock()
	m := c.managed[p.Runner]
	c.mu.Unlock()
	if m != nil {
		m.mu.Lock()
		result.OrdersOut = m.evicting > 0 && m.record.Fence < p.Fence
		m.mu.Unlock()
	}
	return result
}
