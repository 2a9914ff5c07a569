package control

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cherrystage/cherrystage/internal/fleet"
	"github.com/cherrystage/cherrystage/internal/objectapi"
	"github.com/cherrystage/cherrystage/internal/residency"
	"github.com/pkg/errors"
)

const ownershipInterval = 500 * time.Millisecond

func (c *Controller) keepOwnership(ctx context.Context) {
	ticker := time.NewTicker(ownershipInterval)
	defer ticker.Stop()
	for {
		c.reconcile(ctx, time.Now())
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// reconcile brings what this node owns closer to what it should own.
func (c *Controller) reconcile(ctx context.Context, now time.Time) {
	for _, host := range c.deps.Hosts.ByRole(fleet.RoleRunner) {
		wanted := c.desiredOwner(host, now) == c.cfg.Self.Host && !c.isDraining()
		m := c.find(host.ID)
		switch {
		case wanted && m == nil:
			c.tryTake(ctx, host)
		case !wanted && m != nil && c.successorReady(host, now):
			c.release(ctx, m)
		}
	}
	for _, id := range c.Owned() {
		if c.deps.Hosts.Removed(id) {
			c.drop(id)
		}
	}
}

// desiredOwner is the member that rendezvous hashing gives for a runner.
func (c *Controller) desiredOwner(host fleet.Host, now time.Time) string {
	return fleet.First(host.ID, c.deps.Members.Candidates(host.DataCentre, now))
}

// successorReady says whether another member stands ready to take a runner.
func (c *Controller) successorReady(host fleet.Host, now time.Time) bool {
	desired := c.desiredOwner(host, now)
	return desired != "" && desired != c.cfg.Self.Host
}

// tryTake takes a runner whose owner has released it or whose owner's lease
// has ended, and times the lease of an owner that is not heard.
func (c *Controller) tryTake(ctx context.Context, host fleet.Host) {
	if !c.lease.MayOrder(time.Now(), 0) {
		return
	}
	record, version, err := c.readRecord(ctx, host.ID)
	if err != nil {
		return
	}
	self := c.cfg.Self
	ended := record.Owner != "" && c.Ended(ctx, record.Owner, record.Incarnation)
	next, err := record.Take(self.Host, self.Incarnation, ended)
	if err != nil {
		c.watchOwner(ctx, record.Owner)
		return
	}
	version, err = c.writeRecord(ctx, next, version)
	if err != nil {
		return
	}
	c.adopt(ctx, host, next, version)
}

// watchOwner times the lease of an owner, and breaks it once it has lapsed. An
// owner that is heard gives the runner up by itself.
func (c *Controller) watchOwner(ctx context.Context, owner string) {
	if c.deps.Members.Alive(owner, time.Now()) {
		c.observer.Forget(owner)
		return
	}
	c.breakIfLapsed(ctx, owner)
}

// adopt begins the work on a runner that was taken over.
func (c *Controller) adopt(ctx context.Context, host fleet.Host, record residency.Record, version objectapi.Version) {
	m := newManaged(host)
	m.record = record
	m.version = version
	m.runner.TakeOver(record, c.possibleHolders())
	runCtx, stop := context.WithCancel(ctx)
	m.stop = stop
	m.done = make(chan struct{})
	c.mu.Lock()
	old := c.managed[host.ID]
	c.managed[host.ID] = m
	c.mu.Unlock()
	if old != nil {
		old.stop()
	}
	c.deps.Holder.Learn(host.ID, record.Fence)
	c.deps.Log.Info("runner taken over", "runner", host.ID, "fence", record.Fence, "intents", len(record.Intents))
	go c.runRunner(runCtx, m)
}

// possibleHolders are all entry hosts that may hold pins: those listed and
// those heard of.
func (c *Controller) possibleHolders() []string {
	seen := map[string]bool{}
	var holders []string
	add := func(host string) {
		if !seen[host] {
			seen[host] = true
			holders = append(holders, host)
		}
	}
	for _, host := range c.deps.Hosts.ByRole(fleet.RoleEntry) {
		add(host.ID)
	}
	for _, member := range c.deps.Members.All() {
		add(member.Host)
	}
	return holders
}

// release gives a runner to its next owner: no order is begun any more, and
// the record is freed once those under way have ended.
func (c *Controller) release(ctx context.Context, m *managed) {
	m.runner.Lose()
	m.stop()
	<-m.done
	m.mu.Lock()
	record, version := m.record, m.version
	m.mu.Unlock()
	if _, err := c.writeRecord(ctx, record.Release(), version); err != nil {
		c.deps.Log.Warn("runner not released; its next owner waits for this node's lease to end", "runner", m.host.ID, "error", err)
	}
	c.notify(m)
	c.deps.Log.Info("runner released", "runner", m.host.ID)
}

// drop forgets a runner that the platform no longer lists.
func (c *Controller) drop(id string) {
	c.mu.Lock()
	m := c.managed[id]
	delete(c.managed, id)
	c.mu.Unlock()
	m.runner.Lose()
	m.stop()
}

func (c *Controller) loseAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.managed {
		m.runner.Lose()
		m.stop()
	}
}

func (c *Controller) isDraining() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.draining
}

// Drain gives all runners away and ends the lease. It is called at a planned
// stop, before open streams are drained, so that successors take over at once.
func (c *Controller) Drain(ctx context.Context) {
	c.mu.Lock()
	c.draining = true
	c.mu.Unlock()
	for _, id := range c.Owned() {
		if m := c.find(id); m != nil {
			c.release(ctx, m)
		}
	}
	c.releaseLease(ctx)
}

func (c *Controller) readRecord(ctx context.Context, runner string) (residency.Record, objectapi.Version, error) {
	object, err := c.deps.Objects.Get(ctx, residency.Key(runner))
	if errors.Is(err, objectapi.ErrNotFound) {
		return residency.Record{Runner: runner}, 0, nil
	}
	if err != nil {
		return residency.Record{}, 0, err
	}
	var record residency.Record
	err = json.Unmarshal(object.Value, &record)
	return record, object.Version, errors.Wrap(err, "decode runner's record")
}

// writeRecord writes a runner's record. When the answer is lost it reads the
// record back: if it names this process under this fence, the write was done.
func (c *Controller) writeRecord(ctx context.Context, record residency.Record, version objectapi.Version) (objectapi.Version, error) {
	text, err := json.Marshal(record)
	if err != nil {
		return 0, errors.Wrap(err, "encode runner's record")
	}
	written, err := c.deps.Objects.Put(ctx, residency.Key(record.Runner), text, version)
	if err == nil || !errors.Is(err, objectapi.ErrAnswerLost) {
		return written, err
	}
	object, readErr := c.deps.Objects.Get(ctx, residency.Key(record.Runner))
	if readErr != nil || string(object.Value) != string(text) {
		return 0, err
	}
	return object.Version, nil
}
