package control

import (
	"context"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cherrystage/cherrystage/internal/engine"
	"github.com/cherrystage/cherrystage/internal/fleet"
	"github.com/cherrystage/cherrystage/internal/residency"
	"github.com/pkg/errors"
)

const listTimeout = time.Second

// manage runs the work on one owned runner until the ownership ends.
func (c *Controller) manage(ctx context.Context, m *managedRunner) {
	defer close(m.done)
	var wg sync.WaitGroup
	wg.Go(func() { c.pollReports(ctx, m) })
	for range c.cfg.LoadWorkers {
		wg.Go(func() { c.runLoads(ctx, m) })
	}
	wg.Wait()
}

func (c *Controller) pollReports(ctx context.Context, m *managedRunner) {
	ticker := time.NewTicker(c.cfg.ReportInterval)
	defer ticker.Stop()
	// fenced is set when the engine needs no fencing order any more, or never
	// did.
	fenced := !m.host.ChecksFence
	for {
		asked := time.Now()
		report, err := c.deps.Engines.Report(ctx, m.host.Address)
		if err == nil && !fenced && len(report.Resident) > 0 {
			err = c.fenceEngine(ctx, m, report)
			fenced = err == nil
		}
		if err == nil {
			m.runner.ApplyReport(report, asked)
			m.runner.EnableGrants()
			c.collectPins(ctx, m)
			c.resolveInDoubt(m, time.Now())
			c.publishChange(m)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// fenceEngine sends an engine that checks fencing an order under the new fence,
// so that it obeys no late order of the previous owner. The order is to load a
// resident model, which changes nothing else. It precedes the first report with
// a resident model that is applied: a model that an earlier owner loaded after
// an empty report must get no pin while that owner could still evict it.
func (c *Controller) fenceEngine(ctx context.Context, m *managedRunner, report engine.Report) error {
	err := c.sendOrder(ctx, m, engine.OrderLoad, report.Resident[0].Model)
	if err != nil {
		c.endIfFenced(m, err)
	}
	return err
}

// sendOrder sends an order with the next sequence number.
func (c *Controller) sendOrder(ctx context.Context, m *managedRunner, kind engine.OrderKind, model string) error {
	m.mu.Lock()
	m.orderSeq++
	sequence := m.orderSeq
	fence := m.record.Fence
	m.mu.Unlock()
	id := c.cfg.Self.Incarnation + "-" + m.host.ID + "-" + strconv.Itoa(sequence)
	return c.deps.Engines.Order(ctx, m.host.Address, engine.Order{ID: id, Kind: kind, Model: model, Fence: fence})
}

// endIfFenced ends the ownership of a runner whose engine has seen a later
// owner.
func (c *Controller) endIfFenced(m *managedRunner, err error) {
	var refused *engine.OrderError
	if errors.As(err, &refused) && refused.Code == engine.CodeStaleFence {
		c.deps.Log.Warn("engine has accepted a later owner; giving runner up", "runner", m.host.ID)
		m.runner.EndOwnership()
		m.stop()
	}
}

// collectPins asks the members that have not reported their pins yet.
func (c *Controller) collectPins(ctx context.Context, m *managedRunner) {
	c.updateMembers(m)
	fence, owned := m.runner.Owned()
	if !owned {
		return
	}
	var wg sync.WaitGroup
	for _, host := range m.runner.PendingHolders() {
		wg.Go(func() { c.collectPinsFrom(ctx, m, host, fence) })
	}
	wg.Wait()
}

func (c *Controller) collectPinsFrom(ctx context.Context, m *managedRunner, host string, fence uint64) {
	if c.deps.Hosts.Removed(host) {
		m.runner.ProcessEnded(host, "", time.Now())
		return
	}
	list, err := c.fetchPins(ctx, host, m.host.ID, fence)
	if err != nil || !list.Complete {
		return
	}
	m.runner.AddReportedPins(host, list.Incarnation, list.Pins, time.Now())
	c.markFinishedIntents(m, host, list)
}

// updateMembers records the members that this owner has not heard from, and the
// processes that have ended: their host was removed, or a later process runs
// there.
func (c *Controller) updateMembers(m *managedRunner) {
	for _, member := range c.deps.Members.All() {
		if c.deps.Hosts.Removed(member.Host) {
			m.runner.ProcessEnded(member.Host, "", time.Now())
			continue
		}
		m.runner.MemberSeen(member.Host, member.Incarnation)
		m.runner.ProcessEnded(member.Host, member.Incarnation, time.Now())
	}
	for _, host := range c.deps.Hosts.ByRole(fleet.RoleEntry) {
		if _, known := c.deps.Members.Get(host.ID); !known {
			m.runner.MemberSeen(host.ID, "")
		}
	}
}

func (c *Controller) fetchPins(ctx context.Context, host, runner string, fence uint64) (listResult, error) {
	params := listParams{Runner: runner, Fence: fence}
	if host == c.cfg.Self.Host {
		return c.listPins(params), nil
	}
	member, ok := c.deps.Members.Get(host)
	if !ok {
		return listResult{}, errors.Errorf("address of host %s is unknown", host)
	}
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	var list listResult
	err := c.deps.Peers.Call(ctx, member.Address, methodList, params, &list)
	return list, err
}

// markFinishedIntents marks the intents of an earlier owner as finished, if
// that process has no evictions in flight or has been replaced.
func (c *Controller) markFinishedIntents(m *managedRunner, host string, list listResult) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, intent := range m.record.Intents {
		sameProcess := intent.Owner == host && intent.Incarnation == list.Incarnation
		otherProcess := intent.Owner == host && intent.Incarnation != list.Incarnation
		if otherProcess || (sameProcess && !list.OrdersOut) {
			m.markFinishedLocked(intent)
		}
	}
}

func (m *managedRunner) markFinishedLocked(intent residency.Intent) {
	if _, noted := m.finishedAt[intent]; !noted {
		m.finishedAt[intent] = time.Now()
	}
}

// resolveInDoubt resolves the evictions whose sender is known to send no more,
// once an order sent before that can no longer take effect.
func (c *Controller) resolveInDoubt(m *managedRunner, now time.Time) {
	m.mu.Lock()
	for _, intent := range m.record.Intents {
		if c.deps.Hosts.Removed(intent.Owner) {
			m.markFinishedLocked(intent)
		}
	}
	expired := make(map[residency.Intent]bool, len(m.finishedAt))
	for intent, since := range m.finishedAt {
		expired[intent] = now.Sub(since) > c.cfg.MaxOrderDelay
	}
	m.mu.Unlock()
	m.runner.ResolveInDoubt(func(intent residency.Intent) bool { return expired[intent] })
	m.pruneFinished(expired)
}

// pruneFinished drops expired evictions that the record no longer lists.
func (m *managedRunner) pruneFinished(expired map[residency.Intent]bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for intent, pastDelay := range expired {
		if pastDelay && !slices.Contains(m.record.Intents, intent) {
			delete(m.finishedAt, intent)
		}
	}
}
