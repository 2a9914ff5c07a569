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
	// permitWait is short: after it the most urgent wish is chosen anew, since
	// others may have come to wait meanwhile.
	permitWait = time.Second
	retryPause = 50 * time.Millisecond
	// failureMemory is how long a failed load refuses the callers that come
	// for it, so that they go to another runner.
	failureMemory = 2 * time.Second
)

// want is a model that is to be loaded on a runner.
type want struct {
	ask     loading.Ask
	waiters int
	taken   bool
	failed  error
	failAt  time.Time
}

// addWant asks for a load; waiting says that a caller waits for it.
func (m *managed) addWant(ask loading.Ask, waiting bool) *want {
	m.mu.Lock()
	defer m.mu.Unlock()
	w := m.wants[ask.Model]
	if w == nil || (w.failed != nil && time.Since(w.failAt) > failureMemory) {
		w = &want{ask: ask}
		m.wants[ask.Model] = w
	}
	if waiting {
		w.waiters++
		w.ask.Waiters = w.waiters
		w.ask.Class = loading.ClassWaiting
		w.ask.Priority = max(w.ask.Priority, ask.Priority)
	}
	close(m.changed)
	m.changed = make(chan struct{})
	return w
}

// dropWaiter takes a waiting caller back; a want that nobody waits for any
// more, and that is not being loaded, is dropped.
func (m *managed) dropWaiter(model string, w *want) {
	m.mu.Lock()
	defer m.mu.Unlock()
	w.waiters--
	w.ask.Waiters = w.waiters
	if w.waiters <= 0 && !w.taken && w.failed == nil && w.ask.Class == loading.ClassWaiting && m.wants[model] == w {
		delete(m.wants, model)
	}
}

func (m *managed) failure(w *want) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	return w.failed
}

// waitedFor gives the number of loads that callers wait for.
func (m *managed) waitedFor() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	count := 0
	for _, w := range m.wants {
		if w.waiters > 0 && w.failed == nil {
			count++
		}
	}
	return count
}

// openWants gives the models that are wanted and have no slot yet, sorted. Told
// to the other hosts, it keeps them from having one model loaded twice while
// the queue of loads is long.
func (m *managed) openWants(view residency.View) []string {
	present := make(map[string]bool, len(view.Models))
	for _, slot := range view.Models {
		present[slot.Model] = true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	var open []string
	for model, w := range m.wants {
		if w.failed == nil && !present[model] {
			open = append(open, model)
		}
	}
	slices.Sort(open)
	return open
}

func (m *managed) wantedModels() map[string]bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	wanted := make(map[string]bool, len(m.wants))
	for model, w := range m.wants {
		wanted[model] = w.failed == nil
	}
	return wanted
}

// takeWant gives the most urgent want that nobody works on.
func (m *managed) takeWant() *want {
	m.mu.Lock()
	defer m.mu.Unlock()
	var open []*want
	for model, w := range m.wants {
		switch {
		case w.failed != nil && time.Since(w.failAt) > failureMemory:
			delete(m.wants, model)
		case w.failed == nil && !w.taken:
			open = append(open, w)
		}
	}
	if len(open) == 0 {
		return nil
	}
	now := time.Now()
	first := slices.MinFunc(open, func(a, b *want) int { return loading.Compare(a.ask, b.ask, now) })
	first.taken = true
	return first
}

// askOf gives a copy of a want's ask, which changes as callers come and go.
func (m *managed) askOf(w *want) loading.Ask {
	m.mu.Lock()
	defer m.mu.Unlock()
	return w.ask
}

// finishWant ends the work on a want. retry leaves it to be taken again.
func (m *managed) finishWant(w *want, failed error, retry bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	w.taken = false
	w.failed = failed
	w.failAt = time.Now()
	if retry && (w.waiters > 0 || w.ask.Class == loading.ClassForeseen) {
		w.failed = nil
		return
	}
	if failed == nil && m.wants[w.ask.Model] == w {
		delete(m.wants, w.ask.Model)
	}
}

// loadWanted loads what is wanted on a runner, the most urgent first.
func (c *Controller) loadWanted(ctx context.Context, m *managed) {
	for ctx.Err() == nil {
		changed := m.waitChange()
		w := m.takeWant()
		if w == nil {
			select {
			case <-ctx.Done():
			case <-changed:
			}
			continue
		}
		retry, err := c.load(ctx, m, m.askOf(w))
		m.finishWant(w, err, retry)
		c.notify(m)
		if retry {
			timing.Sleep(ctx, retryPause)
		}
	}
}

// load brings one model onto a runner, and reports whether the wish is to be
// taken up again. It takes the permit before it makes room: a model goes on
// serving for as long as the queue of loads is long.
func (c *Controller) load(ctx context.Context, m *managed, ask loading.Ask) (retry bool, err error) {
	if _, present := m.runner.State(ask.Model); present {
		return false, nil
	}
	if m.runner.FreeSlots() <= 0 && len(c.victimsFor(m, ask, time.Now())) == 0 {
		// A caller waits for room; a foreseen need is dropped and may come again.
		return ask.Class == loading.ClassWaiting, errNoVictim
	}
	permit, err := c.deps.Loads.Acquire(ctx, ask, permitWait)
	if err != nil {
		return !errors.Is(err, loading.ErrBroken), err
	}
	if !m.runner.BeginLoad(ask.Model, time.Now()) {
		if err := c.makeRoom(ctx, m, ask); err != nil {
			permit.Cancel()
			return true, err
		}
		if !m.runner.BeginLoad(ask.Model, time.Now()) {
			permit.Cancel()
			return true, errNoVictim
		}
	}
	c.notify(m)
	return false, c.orderLoad(ctx, m, ask.Model, permit)
}

func (c *Controller) orderLoad(ctx context.Context, m *managed, model string, permit *loading.Permit) error {
	started := time.Now()
	err := c.order(ctx, m, engine.OrderLoad, model)
	now := time.Now()
	if err != nil && ctx.Err() != nil {
		// The runner is handed over: the load goes on without us and says nothing about the model.
		permit.Cancel()
	} else {
		permit.Done(err == nil, now.Sub(started))
	}
	switch {
	case err == nil:
		m.runner.LoadSucceeded(model, now)
	case verdict.Of(err) == verdict.NotRun:
		m.runner.LoadFailed(model)
		c.loseIfStale(m, err)
	default:
		m.runner.LoadUnknown(model, now.Add(c.cfg.MaxOrderDelay))
	}
	if err != nil {
		c.deps.Log.Warn("load failed", "runner", m.host.ID, "model", model, "error", err)
	}
	return err
}

// Prefetch asks for a load that nobody waits for yet.
func (c *Controller) Prefetch(runner, model string, value float64) bool {
	m := c.find(runner)
	if m == nil {
		return false
	}
	if _, present := m.runner.State(model); present {
		return false
	}
	ask := loading.Ask{Runner: runner, Model: model, Class: loading.ClassForeseen, Since: time.Now(), Value: value}
	m.addWant(ask, false)
	return true
}
