package control

import (
	"context"
	"slices"
	"time"

	"github.com/cherrystage/cherrystage/internal/engine"
	"github.com/cherrystage/cherrystage/internal/loading"
	"github.com/cherrystage/cherrystage/internal/residency"
	"github.com/cherrystage/cherrystage/internal/timing"
	"github.com/cherrystage/cherrystage/internal/verdict"
	"github.com/pkg/errors"
)

const (
	// permitWait is short, so that the most urgent load is chosen again with
	// the callers that arrived meanwhile.
	permitWait = time.Second
	retryDelay = 50 * time.Millisecond
	// failureTTL is how long a failed load is remembered. Callers that request
	// it are refused meanwhile, so that they try another runner.
	failureTTL = 2 * time.Second
)

// pendingLoad is a model that is to be loaded on a runner.
type pendingLoad struct {
	request    loading.Request
	waiters    int
	inProgress bool
	loadErr    error
	endedAt    time.Time
}

// addLoad requests a load. callerWaits means that a caller waits for it.
func (m *managedRunner) addLoad(request loading.Request, callerWaits bool) *pendingLoad {
	m.mu.Lock()
	defer m.mu.Unlock()
	pending := m.loads[request.Model]
	if pending == nil || (pending.loadErr != nil && time.Since(pending.endedAt) > failureTTL) {
		pending = &pendingLoad{request: request}
		m.loads[request.Model] = pending
	}
	if callerWaits {
		pending.waiters++
		pending.request.Waiters = pending.waiters
		pending.request.Class = loading.ClassWaiting
		pending.request.Priority = max(pending.request.Priority, request.Priority)
	}
	close(m.changed)
	m.changed = make(chan struct{})
	return pending
}

// removeWaiter removes a waiting caller. It drops a load that has no more
// waiters and is not in progress.
func (m *managedRunner) removeWaiter(model string, pending *pendingLoad) {
	m.mu.Lock()
	defer m.mu.Unlock()
	pending.waiters--
	pending.request.Waiters = pending.waiters
	if pending.waiters <= 0 && !pending.inProgress && pending.loadErr == nil && pending.request.Class == loading.ClassWaiting && m.loads[model] == pending {
		delete(m.loads, model)
	}
}

func (m *managedRunner) loadError(pending *pendingLoad) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	return pending.loadErr
}

// awaitedLoads returns the number of loads that callers wait for.
func (m *managedRunner) awaitedLoads() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	count := 0
	for _, pending := range m.loads {
		if pending.waiters > 0 && pending.loadErr == nil {
			count++
		}
	}
	return count
}

// loadsWithoutSlot returns the models that are to be loaded and have no slot
// yet, sorted. It is published so that no other host has the same model loaded
// a second time while this one waits in a long load queue.
func (m *managedRunner) loadsWithoutSlot(view residency.View) []string {
	present := make(map[string]bool, len(view.Models))
	for _, slot := range view.Models {
		present[slot.Model] = true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	var open []string
	for model, pending := range m.loads {
		if pending.loadErr == nil && !present[model] {
			open = append(open, model)
		}
	}
	slices.Sort(open)
	return open
}

func (m *managedRunner) modelsToLoad() map[string]bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	wanted := make(map[string]bool, len(m.loads))
	for model, pending := range m.loads {
		wanted[model] = pending.loadErr == nil
	}
	return wanted
}

// nextLoad returns the most urgent load that is not in progress, and marks it
// as in progress.
func (m *managedRunner) nextLoad() *pendingLoad {
	m.mu.Lock()
	defer m.mu.Unlock()
	var open []*pendingLoad
	for model, pending := range m.loads {
		switch {
		case pending.loadErr != nil && time.Since(pending.endedAt) > failureTTL:
			delete(m.loads, model)
		case pending.loadErr == nil && !pending.inProgress:
			open = append(open, pending)
		}
	}
	if len(open) == 0 {
		return nil
	}
	now := time.Now()
	first := slices.MinFunc(open, func(a, b *pendingLoad) int { return loading.Compare(a.request, b.request, now) })
	first.inProgress = true
	return first
}

// loadRequest returns a copy of the load's request, which changes as callers
// come and go.
func (m *managedRunner) loadRequest(pending *pendingLoad) loading.Request {
	m.mu.Lock()
	defer m.mu.Unlock()
	return pending.request
}

// finishLoad ends an attempt at a load. retry keeps it for another attempt.
func (m *managedRunner) finishLoad(pending *pendingLoad, loadErr error, retry bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	pending.inProgress = false
	pending.loadErr = loadErr
	pending.endedAt = time.Now()
	if retry && (pending.waiters > 0 || pending.request.Class == loading.ClassPrefetch) {
		pending.loadErr = nil
		return
	}
	if loadErr == nil && m.loads[pending.request.Model] == pending {
		delete(m.loads, pending.request.Model)
	}
}

// runLoads executes the pending loads of a runner, the most urgent first.
func (c *Controller) runLoads(ctx context.Context, m *managedRunner) {
	for ctx.Err() == nil {
		changed := m.nextChange()
		pending := m.nextLoad()
		if pending == nil {
			select {
			case <-ctx.Done():
			case <-changed:
			}
			continue
		}
		retry, err := c.load(ctx, m, m.loadRequest(pending))
		m.finishLoad(pending, err, retry)
		c.publishChange(m)
		if retry {
			timing.Sleep(ctx, retryDelay)
		}
	}
}

// load loads one model on a runner, and reports whether to retry. It acquires
// the permit before it evicts: a model keeps serving while the load waits in
// the queue.
func (c *Controller) load(ctx context.Context, m *managedRunner, request loading.Request) (retry bool, err error) {
	if _, present := m.runner.State(request.Model); present {
		return false, nil
	}
	if m.runner.FreeSlots() <= 0 && len(c.candidatesFor(m, request, time.Now())) == 0 {
		// A caller waits for a slot; a prefetch is dropped and may be requested
		// again.
		return request.Class == loading.ClassWaiting, errNothingEvictable
	}
	permit, err := c.deps.Loads.Acquire(ctx, request, permitWait)
	if err != nil {
		return !errors.Is(err, loading.ErrBackoff), err
	}
	if !m.runner.BeginLoad(request.Model, time.Now()) {
		if err := c.evictForLoad(ctx, m, request); err != nil {
			permit.Cancel()
			return true, err
		}
		if !m.runner.BeginLoad(request.Model, time.Now()) {
			permit.Cancel()
			return true, errNothingEvictable
		}
	}
	c.publishChange(m)
	return false, c.sendLoad(ctx, m, request.Model, permit)
}

func (c *Controller) sendLoad(ctx context.Context, m *managedRunner, model string, permit *loading.Permit) error {
	started := time.Now()
	err := c.sendOrder(ctx, m, engine.OrderLoad, model)
	now := time.Now()
	if err != nil && ctx.Err() != nil {
		// The runner is handed over: the load goes on without this owner and
		// says nothing about the model.
		permit.Cancel()
	} else {
		permit.Done(err == nil, now.Sub(started))
	}
	switch {
	case err == nil:
		m.runner.LoadSucceeded(model, now)
	case verdict.Of(err) == verdict.NotRun:
		m.runner.LoadFailed(model)
		c.endIfFenced(m, err)
	default:
		m.runner.LoadUnknown(model, now.Add(c.cfg.MaxOrderDelay))
	}
	if err != nil {
		c.deps.Log.Warn("load failed", "runner", m.host.ID, "model", model, "error", err)
	}
	return err
}

// Prefetch requests a load that nobody waits for yet. It reports whether this
// host took it.
func (c *Controller) Prefetch(runner, model string, value float64) bool {
	m := c.ownedRunner(runner)
	if m == nil {
		return false
	}
	if _, present := m.runner.State(model); present {
		return false
	}
	request := loading.Request{Runner: runner, Model: model, Class: loading.ClassPrefetch, Since: time.Now(), Value: value}
	m.addLoad(request, false)
	return true
}
