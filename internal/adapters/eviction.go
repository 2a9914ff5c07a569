package adapters

import (
	"sync/atomic"
	"time"

	"github.com/cherrystage/cherrystage/internal/replication"
	"github.com/cherrystage/cherrystage/internal/site"
)

// What an adapter is evicted for, as the log line and the metrics name it.
const (
	evictedForLoad  = "load"
	evictedForAhead = "load ahead"
	evictedForSpare = "spare slot"
)

// purpose returns what a load evicts other adapters for.
func (load *pendingLoad) purpose() string {
	if load.ahead {
		return evictedForAhead
	}
	return evictedForLoad
}

// victim returns the idle adapter to evict; c.mu must be held. In a contended deployment it is the
// one with the least demand, otherwise the least recently used.
//
// Half of all adapters are requested once. In the order of last use, each of them evicts an adapter
// that is requested every few seconds, whose next request then waits for a fetch.
func (c *Controller) victim(now time.Time) (site.Adapter, bool) {
	if !c.contended() {
		return c.slots.Victim(now)
	}
	victim, _, found := c.leastWanted(now)
	return victim, found
}

// evictionFields returns the fields of the log line on an eviction; c.mu must be held. It returns
// none unless the deployment is contended.
func (c *Controller) evictionFields(adapter site.Adapter, purpose string, now time.Time) []any {
	if !c.contended() {
		return nil
	}
	return []any{"evicted_for", purpose, "demand", c.ahead.demand.Rate(adapter, now).PerSecond}
}

// countEviction counts an eviction by its purpose and, in a contended deployment, by the demand for
// the adapter; c.mu must be held.
func (c *Controller) countEviction(adapter site.Adapter, purpose string) {
	switch purpose {
	case evictedForLoad:
		c.Replication.EvictedForLoad.Add(1)
	case evictedForAhead:
		c.Replication.EvictedForAhead.Add(1)
	case evictedForSpare:
		c.Replication.EvictedForSpare.Add(1)
	}
	if !c.contended() {
		return
	}
	if c.ahead.demand.Rate(adapter, c.Now()).PerSecond >= replication.MinReportedPerSecond {
		c.Replication.EvictedWanted.Add(1)
	}
}

// Evictions returns the number of evictions by what they made room for, without those that are 0.
func (r *ReplicationCounters) Evictions() map[string]int64 {
	evictions := map[string]int64{}
	for purpose, counter := range map[string]*atomic.Int64{
		evictedForLoad: &r.EvictedForLoad, evictedForAhead: &r.EvictedForAhead, evictedForSpare: &r.EvictedForSpare,
	} {
		if count := counter.Load(); count > 0 {
			evictions[purpose] = count
		}
	}
	return evictions
}

// leastWanted returns the idle adapter with the least demand and this demand per second; c.mu must
// be held. Ties are broken by last use.
func (c *Controller) leastWanted(now time.Time) (victim site.Adapter, perSecond float64, found bool) {
	for adapter, slot := range c.slots.entries {
		if !slot.idle(now) {
			continue
		}
		demand := c.ahead.demand.Rate(adapter, now).PerSecond
		if !found || demand < perSecond || demand == perSecond && c.slots.usedBefore(adapter, victim) {
			victim, perSecond, found = adapter, demand, true
		}
	}
	return victim, perSecond, found
}

// usedBefore reports whether an adapter was last used before another one.
func (s *AdapterSlots) usedBefore(adapter, other site.Adapter) bool {
	used, otherUsed := s.entries[adapter].usedAt, s.entries[other].usedAt
	if !used.Equal(otherUsed) {
		return used.Before(otherUsed)
	}
	return adapter.String() < other.String()
}
