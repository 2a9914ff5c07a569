package control

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/cherrystage/cherrystage/internal/lease"
	"github.com/cherrystage/cherrystage/internal/objectapi"
	"github.com/pkg/errors"
)

// renewalsPerLife is the number of renewals within a lease's lifetime.
const renewalsPerLife = 3

// renewAttempts bounds the attempts at one renewal: the stored lease may have a
// version other than the known one.
const renewAttempts = 2

// storedLease is what this host knows of its own stored lease.
type storedLease struct {
	mu      sync.Mutex
	version objectapi.Version
	renewal uint64
	held    bool
}

func (c *Controller) keepLease(ctx context.Context) {
	interval := c.cfg.LeaseLife / renewalsPerLife
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		c.lease.RecordTick(time.Now(), interval)
		c.renew(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// renew renews this host's lease once. A conflict means that a peer broke the
// lease while this process was paused or cut off: all ownership is lost then.
func (c *Controller) renew(ctx context.Context) {
	c.stored.mu.Lock()
	defer c.stored.mu.Unlock()
	for range renewAttempts {
		if c.isDraining() || !c.renewOnce(ctx) {
			return
		}
	}
}

// renewOnce reports whether to try again at once.
func (c *Controller) renewOnce(ctx context.Context) bool {
	record := lease.Record{Host: c.cfg.Self.Host, Incarnation: c.cfg.Self.Incarnation, Renewal: c.stored.renewal + 1}
	sent := time.Now()
	version, err := c.putLease(ctx, record, c.stored.version)
	switch {
	case err == nil:
		c.stored.version = version
		c.stored.renewal++
		c.stored.held = true
		c.lease.RecordRenewal(sent)
	case errors.Is(err, objectapi.ErrConflict), errors.Is(err, objectapi.ErrAnswerLost):
		return c.recoverLease(ctx)
	default:
		c.deps.Log.Debug("renewing lease failed", "error", err)
	}
	return false
}

func (c *Controller) putLease(ctx context.Context, record lease.Record, version objectapi.Version) (objectapi.Version, error) {
	text, err := json.Marshal(record)
	if err != nil {
		return 0, errors.Wrap(err, "encode lease")
	}
	return c.deps.Objects.Put(ctx, lease.Key(record.Host), text, version)
}

// recoverLease reads the stored lease of this host. It may be our own renewal
// whose answer was lost, the lease of an earlier process, or our lease, broken
// by a peer. In the last case ownership ends before the lease is renewed.
func (c *Controller) recoverLease(ctx context.Context) bool {
	record, version, err := c.readLease(ctx, c.cfg.Self.Host)
	if err != nil {
		return false
	}
	if c.stored.held && !record.HeldBy(c.cfg.Self.Incarnation) {
		c.deps.Log.Warn("lease has ended; all runners are given up", "ended_by", record.EndedBy, "holder", record.Incarnation)
		c.stored.held = false
		c.lease.MarkLost()
		c.endAllOwnership()
	}
	c.stored.version = version
	c.stored.renewal = max(c.stored.renewal, record.Renewal)
	return true
}

func (c *Controller) readLease(ctx context.Context, host string) (lease.Record, objectapi.Version, error) {
	object, err := c.deps.Objects.Get(ctx, lease.Key(host))
	if errors.Is(err, objectapi.ErrNotFound) {
		return lease.Record{Host: host}, 0, nil
	}
	if err != nil {
		return lease.Record{}, 0, err
	}
	var record lease.Record
	err = json.Unmarshal(object.Value, &record)
	return record, object.Version, errors.Wrap(err, "decode lease")
}

// LeaseEnded reports whether the object API shows the lease of a process as
// ended: broken, released, or replaced by a later process of its host.
func (c *Controller) LeaseEnded(ctx context.Context, host, incarnation string) bool {
	record, _, err := c.readLease(ctx, host)
	return err == nil && !record.HeldBy(incarnation)
}

// ProcessEnded reports whether the object API shows that a process has ended: it
// released its lease at a planned stop, or a later process of its host has
// replaced it. A lease that a peer broke says nothing of the process, which may
// be alive and cut off.
func (c *Controller) ProcessEnded(ctx context.Context, host, incarnation string) bool {
	record, version, err := c.readLease(ctx, host)
	if err != nil || version == 0 {
		return false
	}
	return record.Incarnation != incarnation || record.EndedBy == host
}

// breakIfExpired breaks the lease of a host that has not renewed it for its
// whole lifetime, measured by this host's clock. The update is conditional, so
// a renewal in the meantime wins.
func (c *Controller) breakIfExpired(ctx context.Context, host string) {
	record, version, err := c.readLease(ctx, host)
	if err != nil || record.EndedBy != "" {
		return
	}
	if !c.observer.Observe(host, version, time.Now()) {
		return
	}
	record.EndedBy = c.cfg.Self.Host
	if _, err := c.putLease(ctx, record, version); err == nil {
		c.deps.Log.Info("expired lease broken", "host", host, "incarnation", record.Incarnation)
	}
}

// releaseLease releases this host's lease at a planned stop, so that successors
// need not wait until it expires.
func (c *Controller) releaseLease(ctx context.Context) {
	c.stored.mu.Lock()
	defer c.stored.mu.Unlock()
	if !c.stored.held {
		return
	}
	record := lease.Record{Host: c.cfg.Self.Host, Incarnation: c.cfg.Self.Incarnation, Renewal: c.stored.renewal + 1, EndedBy: c.cfg.Self.Host}
	if _, err := c.putLease(ctx, record, c.stored.version); err != nil {
		c.deps.Log.Warn("releasing lease failed; successors wait until it expires", "error", err)
	}
	c.lease.MarkLost()
}
