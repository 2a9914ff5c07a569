package control

import (
	"cmp"
	"context"
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

// errNoVictim: nothing on the runner can be evicted now.
var errNoVictim = errors.New("nothing on the runner can be evicted now")

// makeRoom evicts the model of a runner that is least worth keeping. For a
// load that nobody waits for it takes only what is worth clearly less.
func (c *Controller) makeRoom(ctx context.Context, m *managed, ask loading.Ask) error {
	candidates := c.victimsFor(m, ask, time.Now())
	for _, candidate := range candidates {
		err := c.evict(ctx, m, candidate.Model)
		if err == nil {
			return nil
		}
		c.deps.Log.Debug("model not evicted", "runner", m.host.ID, "model", candidate.Model, "error", err)
	}
	return errNoVictim
}

// foreseenMargin keeps two models of like demand from taking turns.
const foreseenMargin = 0.5

// victimsFor gives the models that may be evicted for a load.
func (c *Controller) victimsFor(m *managed, ask loading.Ask, now time.Time) []residency.EvictionCandidate {
	candidates := c.victims(m, now)
	if ask.Class == loading.ClassWaiting {
		return candidates
	}
	return slices.DeleteFunc(candidates, func(candidate residency.EvictionCandidate) bool {
		return !candidate.InDoubt && c.deps.Demand.PerSecond(candidate.Model, now) > foreseenMargin*ask.Value
	})
}

// victims orders the models that could be evicted: in doubt and useless
// first, then by the expected uses that their eviction would cost.
func (c *Controller) victims(m *managed, now time.Time) []residency.EvictionCandidate {
	wanted := m.wantedModels()
	candidates := slices.DeleteFunc(m.runner.EvictionCandidates(), func(candidate residency.EvictionCandidate) bool {
		return candidate.Running > 0 || wanted[candidate.Model]
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

// evict takes one model off a runner: it recalls all pins, writes the intent
// where the engine ignores fencing, and only then sends the order.
func (c *Controller) evict(ctx context.Context, m *managed, model string) error {
	pinned, ok := m.runner.BeginRecall(model)
	if !ok {
		return errors.New("the model has no idle slot")
	}
	// A holder in the middle of a request says so at once, and the next model
	// is tried: a permit to load is held meanwhile.
	c.recall(ctx, m, pinned)
	if !m.runner.BeginEvict(model) {
		m.runner.CancelRecall(model)
		c.notify(m)
		return errors.New("the model is in use")
	}
	err := c.orderEviction(ctx, m, model)
	c.notify(m)
	return err
}

func (c *Controller) recall(ctx context.Context, m *managed, pinned []residency.HolderPin) {
	var wg sync.WaitGroup
	for _, out := range pinned {
		wg.Go(func() { c.recallOne(ctx, m, out) })
	}
	wg.Wait()
}

func (c *Controller) recallOne(ctx context.Context, m *managed, out residency.HolderPin) {
	ctx, cancel := context.WithTimeout(ctx, recallTimeout)
	defer cancel()
	var result recallResult
	if out.Holder == c.cfg.Self.Host {
		result.Return, result.Returned = c.deps.Holder.Recall(out.Pin)
	} else {
		member, ok := c.deps.Members.Get(out.Holder)
		if !ok || c.deps.Peers.Call(ctx, member.Address, methodRecall, out.Pin, &result) != nil {
			return
		}
	}
	if result.Returned {
		m.runner.AcceptReturn(out.Holder, result.Return, time.Now())
	}
}

// orderEviction sends the eviction, with the safeguards that the engine needs.
func (c *Controller) orderEviction(ctx context.Context, m *managed, model string) error {
	intent := c.newIntent(m, model)
	// Counted as under way from before the lease is checked, so that an
	// answer "no orders out" to a successor is true even if we pause here.
	m.countOrder(1)
	defer m.countOrder(-1)
	if !m.host.ChecksFence {
		if err := c.writeIntent(ctx, m, intent); err != nil {
			m.runner.EvictNotSent(model)
			return err
		}
		if !c.lease.MayOrder(time.Now(), 0) {
			m.runner.EvictUnknown(intent)
			m.noteOver(intent)
			return errors.New("this node's lease may have ended")
		}
	}
	// A handover that begins now waits for the answer: an order cut short
	// would leave its successor in doubt.
	err := c.order(context.WithoutCancel(ctx), m, engine.OrderEvict, model)
	switch {
	case err == nil:
		m.runner.Evicted(model, time.Now())
	case verdict.Of(err) == verdict.NotRun:
		m.runner.EvictNotSent(model)
		c.loseIfStale(m, err)
	default:
		m.runner.EvictUnknown(intent)
	}
	m.noteOver(intent)
	return err
}

func (c *Controller) newIntent(m *managed, model string) residency.Intent {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.evictions++
	return residency.Intent{
		Model: model, Fence: m.record.Fence, Owner: c.cfg.Self.Host,
		Incarnation: c.cfg.Self.Incarnation, Seq: m.evictions,
	}
}

// writeIntent records that an eviction may be sent, before it is. An engine
// that ignores fencing numbers would obey our order even if we were paused
// here and a successor were at work; reading the intent, the successor lets
// nobody use the model on this runner, so the late order can hit no request.
func (c *Controller) writeIntent(ctx context.Context, m *managed, intent residency.Intent) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	next := m.record.WithoutIntents(func(old residency.Intent) bool {
		since, over := m.over[old]
		return over && time.Since(since) > c.cfg.MaxOrderDelay
	}).WithIntent(intent)
	version, err := c.writeRecord(ctx, next, m.version)
	if err != nil {
		return errors.Wrap(err, "intent to evict not written")
	}
	m.record = next
	m.version = version
	return nil
}

func (m *managed) noteOver(intent residency.Intent) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.noteOverLocked(intent)
}

func (m *managed) countOrder(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.evicting += n
}
