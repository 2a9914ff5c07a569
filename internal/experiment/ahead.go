package experiment

import (
	"slices"
	"time"

	"github.com/cherrystage/cherrystage/internal/adapters"
	"github.com/cherrystage/cherrystage/internal/replication"
	"github.com/cherrystage/cherrystage/internal/site"
	"github.com/pkg/errors"
)

// planInterval is how often homes plan replicas, as in package entry.
const planInterval = 100 * time.Millisecond

// planReplicas has homes load replicas ahead of demand.
func (sim *simulation) planReplicas() {
	for _, runner := range sim.runners {
		c := sim.controllers[runner.ID]
		if c == nil {
			continue
		}
		for _, plan := range c.PlanReplicas() {
			chosen := replication.Choose(sim.replicaCandidates(plan.Key, runner), plan.Unavailable, plan.Missing)
			replicas := min(plan.Missing, len(chosen))
			sim.result.Planned += replicas
			for range replicas {
				sim.loadReplica(c, runner, plan, &chosen)
			}
		}
	}
	sim.clock.after(planInterval, sim.planReplicas)
}

// reportInterval is how often owners report demand to homes, as in package entry.
const reportInterval = time.Second

// reportDemand has owners report the demand on their runners to the adapters' homes.
func (sim *simulation) reportDemand() {
	for _, runner := range sim.runners {
		c := sim.controllers[runner.ID]
		if c == nil {
			continue
		}
		for _, report := range c.DemandReports(nil) {
			home := sim.rankRunners(report.Key.PlacementKey())[0]
			sim.clock.after(sim.latency(runner.DataCentre, home.DataCentre), func() {
				if c := sim.controllers[home.ID]; c != nil {
					c.ApplyDemand(report)
				}
			})
		}
	}
	sim.clock.after(reportInterval, sim.reportDemand)
}

// replicaCandidates returns the runners that may get a replica, in the order of package entry.
func (sim *simulation) replicaCandidates(key adapters.Key, home *site.Runner) []replication.Candidate {
	order := sim.rankRunners(key.PlacementKey())
	if order[0] != home {
		order = slices.Clone(order)
		slices.SortStableFunc(order, func(a, b *site.Runner) int {
			return distanceFrom(home.DataCentre, a) - distanceFrom(home.DataCentre, b)
		})
	}
	var candidates []replication.Candidate
	for _, runner := range order {
		avoided := sim.ownerBoard.View(runner.ID, sim.clock.now).Suspect
		candidates = append(candidates, replication.Candidate{Runner: runner.ID, Avoided: avoided})
	}
	return candidates
}

func distanceFrom(centre string, runner *site.Runner) int {
	if runner.DataCentre == centre {
		return 0
	}
	return 1
}

// loadReplica asks the next of the chosen runners for a replica, and the one after it if that
// refuses.
func (sim *simulation) loadReplica(c *controller, home *site.Runner, plan adapters.ReplicaPlan, chosen *[]string) {
	if len(*chosen) == 0 {
		return
	}
	id := (*chosen)[0]
	*chosen = (*chosen)[1:]
	atHome := id == home.ID
	if !atHome {
		c.ReplicaRequested(plan.Key, id, sim.clock.now.Add(millis(sim.cfg.Store.LoadMS)))
	}
	target := sim.controllers[id]
	if target == nil {
		c.ReplicaRefused(plan.Key, id)
		return
	}
	delay := sim.latency(home.DataCentre, target.centre)
	sim.clock.after(delay, func() {
		readyAt, err := target.PrefetchAhead(adapters.AheadLoad{Key: plan.Key, PerSecond: plan.PerReplica})
		sim.scheduleStep(target, 0)
		sim.clock.after(delay, func() {
			if err != nil {
				sim.result.ReplicasRefused++
				c.ReplicaRefused(plan.Key, id)
				sim.loadReplica(c, home, plan, chosen)
				return
			}
			sim.result.ReplicasLoaded++
			if !atHome {
				c.ReplicaAccepted(plan.Key, id, readyAt)
				sim.notifyLocalHome(home, plan.Key, id, readyAt)
			}
		})
	})
}

// notifyLocalHome tells the first runner of a replica's data centre about it once it is ready.
func (sim *simulation) notifyLocalHome(home *site.Runner, key adapters.Key, runner string, readyAt time.Time) {
	centre := sim.byID[runner].runner.DataCentre
	for _, local := range sim.rankRunners(key.PlacementKey()) {
		if local.DataCentre != centre {
			continue
		}
		if local.ID == home.ID || local.ID == runner {
			return
		}
		sim.clock.at(readyAt, func() {
			if c := sim.controllers[local.ID]; c != nil {
				c.AddReplica(key, runner)
			}
		})
		return
	}
}

const (
	// recoveryInterval and recoveryAttempts are those of package entry.
	recoveryInterval = 200 * time.Millisecond
	recoveryAttempts = 15
)

// recover has the adapters of a lost runner loaded at their new homes.
func (sim *simulation) recover(lost []adapters.AheadLoad, attempts int) {
	var left []adapters.AheadLoad
	for _, load := range lost {
		home := sim.rankRunners(load.Key.PlacementKey())[0]
		c := sim.controllers[home.ID]
		if c == nil {
			continue
		}
		_, err := c.PrefetchAhead(load)
		sim.scheduleStep(c, 0)
		if err == nil {
			sim.result.Recovered++
		}
		if errors.Is(err, adapters.ErrBusy) || errors.Is(err, adapters.ErrNotOwner) {
			left = append(left, load)
		}
	}
	if len(left) > 0 && attempts > 1 {
		sim.clock.after(recoveryInterval, func() { sim.recover(left, attempts-1) })
	}
}
