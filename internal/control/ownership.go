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

// reconcile takes over the runners that this host should own, and releases the
// others.
func (c *Controller) reconcile(ctx context.Context, now time.Time) {
	for _, host := range c.deps.Hosts.ByRole(fleet.RoleRunner) {
		wanted := c.desiredOwner(host, now) == c.cfg.Self.Host && !c.isDraining()
		m := c.ownedRunner(host.ID)
		switch {
		case wanted && m == nil:
			c.tryTakeOver(ctx, host)
		case !wanted && m != nil && c.successorReady(host, now):
			c.release(ctx, m)
		case !wanted && m == nil && c.successorReady(host, now):
			c.releaseEnded(ctx, host.ID)
		}
	}
	for _, id := range c.Owned() {
		if c.deps.Hosts.Removed(id) {
			c.forget(id)
		}
	}
}

// desiredOwner returns the member that rendezvous hashing selects for a runner.
func (c *Controller) desiredOwner(host fleet.Host, now time.Time) string {
	return fleet.First(host.ID, c.deps.Members.Candidates(host.DataCentre, now))
}

// successorReady reports whether another member is to take over a runner.
func (c *Controller) successorReady(host fleet.Host, now time.Time) bool {
	desired := c.desiredOwner(host, now)
	return desired != "" && desired != c.cfg.Self.Host
}

// tryTakeOver takes over a runner that its owner has released or whose owner's
// lease has ended. Otherwise it observes the owner's lease.
func (c *Controller) tryTakeOver(ctx context.Context, host fleet.Host) {
	if !c.lease.MayOrder(time.Now(), 0) {
		return
	}
	record, version, err := c.readRecord(ctx, host.ID)
	if err != nil {
		return
	}
	self := c.cfg.Self
	ended := record.Owner != "" && c.LeaseEnded(ctx, record.Owner, record.Incarnation)
	next, err := record.TakeOver(self.Host, self.Incarnation, ended)
	if err != nil {
		c.observeOwnerLease(ctx, record.Owner)
		return
	}
	version, err = c.writeRecord(ctx, next, version)
	if err != nil {
		return
	}
	c.startManaging(ctx, host, next, version)
}

// observeOwnerLease observes the lease of a silent owner and breaks it once it
// has expired. An owner that is alive releases the runner itself.
func (c *Controller) observeOwnerLease(ctx context.Context, owner string) {
	if c.deps.Members.Alive(owner, time.Now()) {
		c.observer.Forget(owner)
		return
	}
	c.breakIfExpired(ctx, owner)
}

// startManaging starts managing a runner that was taken over.
func (c *Controller) startManaging(ctx context.Context, host fleet.Host, record residency.Record, version objectapi.Version) {
	m := newManagedRunner(host)
	m.record = record
	m.version = version
	m.runner.TakeOver(record, c.possibleHolders())
	runCtx, stop := context.WithCancel(ctx)
	m.stop = stop
	m.done = make(chan struct{})
	c.mu.Lock()
	old := c.runners[host.ID]
	c.mu.Unlock()
	if old != nil {
		old.stop()
		m.earlier = old.ownershipsWithEvictions()
	}
	c.mu.Lock()
	c.runners[host.ID] = m
	c.mu.Unlock()
	c.deps.Holder.ObserveFence(host.ID, record.Fence)
	c.deps.Log.Info("runner taken over", "runner", host.ID, "fence", record.Fence, "intents", len(record.Intents))
	go c.manage(runCtx, m)
}

// possibleHolders returns all entry hosts that may hold pins: the listed hosts
// and the known members.
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

// release hands a runner over to its next owner: it stops sending orders, waits
// for those in flight, and releases the record.
func (c *Controller) release(ctx context.Context, m *managedRunner) {
	m.runner.EndOwnership()
	m.stop()
	<-m.done
	m.mu.Lock()
	record, version := m.record, m.version
	m.mu.Unlock()
	if _, err := c.writeRecord(ctx, record.Release(), version); err != nil {
		c.deps.Log.Warn("releasing runner failed; it is tried again", "runner", m.host.ID, "error", err)
	} else {
		m.markReleased()
		c.deps.Log.Info("runner released", "runner", m.host.ID)
	}
	c.publishChange(m)
}

// releaseEnded releases a runner whose ownership has ended although its record may still name
// this process: the release failed, or the lease was broken and has been renewed. The lease
// holds, so no other host could take the runner over.
func (c *Controller) releaseEnded(ctx context.Context, id string) {
	c.mu.Lock()
	m := c.runners[id]
	c.mu.Unlock()
	if m == nil || !m.isFinished() || m.isReleased() {
		return
	}
	record, version, err := c.readRecord(ctx, id)
	if err != nil {
		return
	}
	if record.OwnedBy(c.cfg.Self.Host, c.cfg.Self.Incarnation, m.fence()) {
		if _, err := c.writeRecord(ctx, record.Release(), version); err != nil {
			return
		}
		c.deps.Log.Info("runner released after its ownership had ended", "runner", id)
	}
	m.markReleased()
}

// isFinished reports whether all work on the runner has ended.
func (m *managedRunner) isFinished() bool {
	select {
	case <-m.done:
		return true
	default:
		return false
	}
}

func (m *managedRunner) markReleased() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.released = true
}

func (m *managedRunner) isReleased() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.released
}

func (m *managedRunner) fence() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.record.Fence
}

// forget drops a runner that the platform no longer lists.
func (c *Controller) forget(id string) {
	c.mu.Lock()
	m := c.runners[id]
	delete(c.runners, id)
	c.mu.Unlock()
	m.runner.EndOwnership()
	m.stop()
}

func (c *Controller) endAllOwnership() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.runners {
		m.runner.EndOwnership()
		m.stop()
	}
}

func (c *Controller) isDraining() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.draining
}

// Drain releases all runners and the lease. At a planned stop it is called
// before open streams are drained, so that successors take over at once.
func (c *Controller) Drain(ctx context.Context) {
	c.mu.Lock()
	c.draining = true
	c.mu.Unlock()
	for _, id := range c.Owned() {
		if m := c.ownedRunner(id); m != nil {
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

// writeRecord writes a runner's record. If the answer is lost, it reads the
// record back: if the stored record is the one written, the write was done.
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
