package control

import (
	"cmp"
	"context"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cherrystage/cherrystage/internal/engine"
	"github.com/cherrystage/cherrystage/internal/loading"
	"github.com/cherrystage/cherrystage/internal/residency"
	"github.com/cherrystage/cherrystage/internal/verdict"
	"github.com/pkg/errors"
)

const recallTimeout = 500 * time.Millisecond

var errNothingEvictable = errors.New("nothing on the runner can be evicted now")

// evictForLoad evicts the least valuable model of a runner. For a load that
// nobody waits for, it evicts only models of clearly lower value.
func (c *Controller) evictForLoad(ctx context.Context, m *managedRunner, request loading.Request) error {
	candidates := c.candidatesFor(m, request, time.Now())
	for _, candidate := range candidates {
		err := c.evict(ctx, m, candidate.Model)
		if err == nil {
			return nil
		}
		c.deps.Log.Debug("eviction failed", "runner", m.host.ID, "model", candidate.Model, "error", err)
	}
	return errNothingEvictable
}

// prefetchMargin keeps two models of similar demand from evicting each other in
// turn.
const prefetchMargin = 0.5

// candidatesFor returns the models that may be evicted for a load, in order of
// preference.
func (c *Controller) candidatesFor(m *managedRunner, request loading.Request, now time.Time) []residency.EvictionCandidate {
	candidates := c.rankedCandidates(m, now)
	if request.Class == loading.ClassWaiting {
		return candidates
	}
	return slices.DeleteFunc(candidates, func(candidate residency.EvictionCandidate) bool {
		return !candidate.InDoubt && c.deps.Demand.PerSecond(candidate.Model, now) > prefetchMargin*request.Value
	})
}

// rankedCandidates returns the models that can be evicted: those in doubt
// first, since they get no pins, then by increasing demand.
func (c *Controller) rankedCandidates(m *managedRunner, now time.Time) []residency.EvictionCandidate {
	toLoad := m.modelsToLoad()
	candidates := slices.DeleteFunc(m.runner.EvictionCandidates(), func(candidate residency.EvictionCandidate) bool {
		return candidate.Running > 0 || toLoad[candidate.Model]
	})
	value := make(map[string]float64, len(candidates))
	for _, candidate := range candidates {
		value[candidate.Model] = c.deps.Demand.PerSecond(candidate.Model, now)
	}
	slices.SortFunc(candidates, func(a, b residency.EvictionCandidate) int {
		if a.InDoubt != b.InDoubt {
			if a.InDoubt {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(value[a.Model], value[b.Model]), a.LastUse.Compare(b.LastUse), cmp.Compare(a.Model, b.Model))
	})
	return candidates
}

// evict evicts one model from a runner: it recalls all pins, writes the intent
// if the engine does not check fencing, and only then sends the order.
func (c *Controller) evict(ctx context.Context, m *managedRunner, model string) error {
	pinned, ok := m.runner.BeginRecall(model)
	if !ok {
		return errors.New("the model is not resident on the runner")
	}
	// A holder with a request in flight answers at once, and the caller tries
	// the next model instead of waiting while it holds a load permit.
	c.recallAll(ctx, m, pinned)
	if !m.runner.BeginEvict(model) {
		m.runner.CancelRecall(model)
		c.publishChange(m)
		return errors.New("the model is in use")
	}
	err := c.sendEviction(ctx, m, model)
	c.publishChange(m)
	return err
}

func (c *Controller) recallAll(ctx context.Context, m *managedRunner, pinned []residency.HolderPin) {
	var wg sync.WaitGroup
	for _, held := range pinned {
		wg.Go(func() { c.recallOne(ctx, m, held) })
	}
	wg.Wait()
}

func (c *Controller) recallOne(ctx context.Context, m *managedRunner, held residency.HolderPin) {
	ctx, cancel := context.WithTimeout(ctx, recallTimeout)
	defer cancel()
	var result recallResult
	if held.Holder == c.cfg.Self.Host {
		result.Return, result.Returned = c.deps.Holder.Recall(held.Pin)
	} else {
		member, ok := c.deps.Members.Get(held.Holder)
		if !ok || c.deps.Peers.Call(ctx, member.Address, methodRecall, held.Pin, &result) != nil {
			return
		}
	}
	if result.Returned {
		m.runner.AcceptReturn(held.Holder, result.Return, time.Now())
	}
}

// sendEviction sends an eviction, after the checks that an engine without
// fencing needs.
func (c *Controller) sendEviction(ctx context.Context, m *managedRunner, model string) error {
	intent := c.newIntent(m, model)
	// Counted before the lease is checked, so that listPins does not tell a
	// successor that no eviction is in flight while this process is paused here.
	m.addEvictionsInFlight(1)
	defer m.addEvictionsInFlight(-1)
	if !m.host.ChecksFence {
		if err := c.writeIntent(ctx, m, intent); err != nil {
			m.runner.EvictNotRun(model)
			return err
		}
		if !c.lease.MayOrder(time.Now(), 0) {
			m.runner.EvictUnknown(intent)
			m.markFinished(intent)
			return errors.New("this host's lease may have ended")
		}
	}
	// A handover that begins now waits for the answer: cancelling the order
	// would leave the successor in doubt.
	err := c.sendOrder(context.WithoutCancel(ctx), m, engine.OrderEvict, model)
	switch {
	case err == nil:
		m.runner.Evicted(model, time.Now())
	case verdict.Of(err) == verdict.NotRun:
		m.runner.EvictNotRun(model)
		c.endIfFenced(m, err)
	default:
		m.runner.EvictUnknown(intent)
	}
	m.markFinished(intent)
	return err
}

func (c *Controller) newIntent(m *managedRunner, model string) residency.Intent {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.evictionSeq++
	return residency.Intent{
		Model: model, Fence: m.record.Fence, Owner: c.cfg.Self.Host,
		Incarnation: c.cfg.Self.Incarnation, Seq: m.evictionSeq,
	}
}

// writeIntent records that an eviction may be sent, before it is. An engine
// that does not check fencing would obey this order even if this process were
// paused here and a successor had taken over. The successor reads the intent
// and grants no pins on the model, so that the late order cannot hit a request.
func (c *Controller) writeIntent(ctx context.Context, m *managedRunner, intent residency.Intent) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	next := m.record.WithoutIntents(func(old residency.Intent) bool {
		since, finished := m.finishedAt[old]
		return finished && time.Since(since) > c.cfg.MaxOrderDelay
	}).WithIntent(intent)
	version, err := c.writeRecord(ctx, next, m.version)
	if err != nil {
		return errors.Wrap(err, "write eviction intent")
	}
	m.record = next
	m.version = version
	return nil
}

func (m *managedRunner) markFinished(intent residency.Intent) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.markFinishedLocked(intent)
}

func (m *managedRunner) addEvictionsInFlight(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.evictionsInFlight += n
}

// hasEvictionsBefore reports whether evictions of this ownership are in flight and its fencing
// token is lower than fence.
func (m *managedRunner) hasEvictionsBefore(fence uint64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.evictionsInFlight > 0 && m.record.Fence < fence
}

// ownershipsWithEvictions returns those of this ownership and the earlier ones that have
// evictions in flight.
func (m *managedRunner) ownershipsWithEvictions() []*managedRunner {
	return slices.DeleteFunc(append(slices.Clone(m.earlier), m), func(ownership *managedRunner) bool {
		return !ownership.hasEvictionsBefore(math.MaxUint64)
	})
}
