package adapters

import (
	"github.com/cherrystage/cherrystage/internal/replication"
	"github.com/cherrystage/cherrystage/internal/site"
)

// minRecoveredPerSecond is the demand from which an adapter of a lost runner is loaded elsewhere
// before it is requested. Half of all adapters are requested once.
const minRecoveredPerSecond = 0.5

// LostAdapters returns the adapters that are lost with the runner, in the given versions, those with
// the most demand first: at most as many as the runner has adapter slots, and none that this runner
// knows as its home to be on another one. It returns none unless the deployment is contended.
func (c *Controller) LostAdapters(versions map[site.Adapter]int64) []AheadLoad {
	if !c.contended() {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	var lost []AheadLoad
	for _, demand := range c.ahead.demand.Most(replication.MaxKeys, minRecoveredPerSecond, c.Now()) {
		key := Key{Adapter: demand.Key, Version: versions[demand.Key]}
		if len(lost) < c.spec.Capacity && c.holdsOrLoads(key) && !c.replicas.Has(key) {
			lost = append(lost, AheadLoad{Key: key, PerSecond: demand.PerSecond, Lost: c.runner.ID})
		}
	}
	return lost
}
