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

// runRunner works on one owned runner until the ownership ends.
func (c *Controller) runRunner(ctx context.Context, m *managed) {
	defer close(m.done)
	var wg sync.WaitGroup
	wg.Go(func() { c.readReports(ctx, m) })
	for range c.cfg.Parallel {
		wg.Go(func() { c.loadWanted(ctx, m) })
	}
	wg.Wait()
}

func (c *Controller) readReports(ctx context.Context, m *managed) {
	ticker := time.NewTicker(c.cfg.ReportInterval)
	defer ticker.Stop()
	fenced := !m.host.ChecksFence
	for {
		asked := time.Now()
		report, err := c.deps.Engines.Report(ctx, m.host.Address)
		if err == nil && !fenced && len(report.Resident) > 0 {
			err = c.fenceEngine(ctx, m, report)
			fenced = err == nil
		}
		if err == nil {
			m.runner.Observe(report, asked)
			m.runner.Open()
			c.hearHolders(ctx, m)
			c.settleDoubts(m, time.Now())
			c.notify(m)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// fenceEngine gives an engine that checks fencing an order under the new number,
// so that no late order of the owner before is obeyed: a load of what is loaded
// already changes nothing else. It comes before the first report with anything
// loaded is believed: what an earlier owner loaded after a report that showed
// the engine empty must get no pin while that owner could still evict it.
func (c *Controller) fenceEngine(ctx context.Context, m *managed, report engine.Report) error {
	err := c.order(ctx, m, engine.OrderLoad, report.Resident[0].Model)
	if err != nil {
		c.loseIfStale(m, err)
	}
	return err
}

// order sends one order and counts it while it is under way.
func (c *Controller) order(ctx context.Context, m *managed, kind engine.OrderKind, model string) error {
	m.mu.Lock()
	m.orders++
	sequence := m.orders
	fence := m.record.Fence
	m.mu.Unlock()
	id := c.cfg.Self.Incarnation + "-" + m.host.ID + "-" + strconv.Itoa(sequence)
	return c.deps.Engines.Order(ctx, m.host.Address, engine.Order{ID: id, Kind: kind, Model: model, Fence: fence})
}

// loseIfStale gives a runner up whose engine has seen a later owner.
func (c *Controller) loseIfStale(m *managed, err error) {
	var refused *engine.OrderError
	if errors.As(err, &refused) && refused.Code == engine.CodeStaleFence {
		c.deps.Log.Warn("engine has a later owner; runner given up", "runner", m.host.ID)
		m.runner.Lose()
		m.stop()
	}
}

// hearHolders asks the members that have not told their pins yet.
func (c *Controller) hearHolders(ctx context.Context, m *managed) {
	c.noteNewMembers(m)
	fence, owned := m.runner.Owned()
	if !owned {
		return
	}
	var wg sync.WaitGroup
	for _, host := range m.runner.Unheard() {
		wg.Go(func() { c.hearHolder(ctx, m, host, fence) })
	}
	wg.Wait()
}

func (c *Controller) hearHolder(ctx context.Context, m *managed, host string, fence uint64) {
	if c.deps.Hosts.Removed(host) {
		m.runner.Ended(host, "", time.Now())
		return
	}
	list, err := c.askPins(ctx, host, m.host.ID, fence)
	if err != nil || !list.Complete {
		return
	}
	m.runner.Heard(host, list.Incarnation, list.Pins, time.Now())
	c.noteOrders(m, host, list)
}

// noteNewMembers finds members that this owner has not heard, and processes
// that have ended: one whose host is gone, or for which a later one speaks.
func (c *Controller) noteNewMembers(m *managed) {
	for _, member := range c.deps.Members.All() {
		if c.deps.Hosts.Removed(member.Host) {
			m.runner.Ended(member.Host, "", time.Now())
			continue
		}
		m.runner.Joined(member.Host, member.Incarnation)
		m.runner.Ended(member.Host, member.Incarnation, time.Now())
	}
	for _, host := range c.deps.Hosts.ByRole(fleet.RoleEntry) {
		if _, known := c.deps.Members.Get(host.ID); !known {
			m.runner.Joined(host.ID, "")
		}
	}
}

func (c *Controller) askPins(ctx context.Context, host, runner string, fence uint64) (listResult, error) {
	params := listParams{Runner: runner, Fence: fence}
	if host == c.cfg.Self.Host {
		return c.listPins(params), nil
	}
	member, ok := c.deps.Members.Get(host)
	if !ok {
		return listResult{}, errors.Errorf("no address of %s", host)
	}
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	var list listResult
	err := c.deps.Peers.Call(ctx, member.Address, methodList, params, &list)
	return list, err
}

// noteOrders learns from an earlier owner that none of its orders is under way.
func (c *Controller) noteOrders(m *managed, host string, list listResult) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, intent := range m.record.Intents {
		sameProcess := intent.Owner == host && intent.Incarnation == list.Incarnation
		otherProcess := intent.Owner == host && intent.Incarnation != list.Incarnation
		if otherProcess || (sameProcess && !list.OrdersOut) {
			m.noteOverLocked(intent)
		}
	}
}

func (m *managed) noteOverLocked(intent residency.Intent) {
	if _, noted := m.over[intent]; !noted {
		m.over[intent] = time.Now()
	}
}

// settleDoubts drops doubts about evictions whose sender is proven to send no
// more, once an order that it had sent before cannot take effect any longer.
func (c *Controller) settleDoubts(m *managed, now time.Time) {
	m.mu.Lock()
	for _, intent := range m.record.Intents {
		if c.deps.Hosts.Removed(intent.Owner) {
			m.noteOverLocked(intent)
		}
	}
	over := make(map[residency.Intent]bool, len(m.over))
	for intent, since := range m.over {
		over[intent] = now.Sub(since) > c.cfg.OrderLife
	}
	m.mu.Unlock()
	m.runner.SettleDoubts(func(intent residency.Intent) bool { return over[intent] })
	m.forgetOver(over)
}

// forgetOver drops settled evictions that the record no longer names.
func (m *managed) forgetOver(settled map[residency.Intent]bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for intent, done := range settled {
		if done && !slices.Contains(m.record.Intents, intent) {
			delete(m.over, intent)
		}
	}
}
