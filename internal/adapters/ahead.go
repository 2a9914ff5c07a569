package adapters

import (
	"math"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cherrystage/cherrystage/internal/placing"
	"github.com/cherrystage/cherrystage/internal/replication"
	"github.com/cherrystage/cherrystage/internal/site"
)

// Loads ahead of demand, see docs/design/replication.md. Everything here has an effect only while
// the deployment is contended.

const (
	// maxAheadLoads is the number of loads in progress on a runner from which none is added that
	// no request waits for. The rest of maxConcurrentLoads is left to loads that requests wait for.
	maxAheadLoads = 2
	// aheadTTL is how long a load that no request waits for may wait to start. After that the
	// demand that called for it has changed.
	aheadTTL = time.Second
	// aheadStoreShare is the share of the weight store's full-speed fetches up to which loads are
	// added that no request waits for.
	aheadStoreShare = 0.75
	// maxNamedLoading is how many replicas that are still being loaded are named to a request, after
	// those that are ready.
	maxNamedLoading = 2
)

// ReplicationCounters count the decisions on replicas of one host. They are safe for concurrent
// use.
type ReplicationCounters struct {
	// Planned counts replicas that homes asked for. Loaded and Refused count the answers of the
	// runners that were asked, Unreachable those that did not come.
	Planned, Loaded, Refused, Unreachable atomic.Int64
	// Recovered counts loads of what a lost runner held.
	Recovered atomic.Int64
	// Evicted counts evictions by demand. EvictedWanted are those of adapters with at least
	// replication.MinReportedPerSecond requests per second.
	Evicted, EvictedWanted atomic.Int64
}

// aheadState is a controller's state for loads ahead of demand. It is guarded by Controller.mu.
type aheadState struct {
	// demand is the demand that the runner admitted.
	demand *replication.Estimator[site.Adapter]
	home   *replication.Home[Key]
	// planLoggedAt is when the plan of an adapter was last logged.
	planLoggedAt map[Key]time.Time
}

func newAheadState() aheadState {
	return aheadState{demand: replication.NewEstimator[site.Adapter](replication.MaxKeys), home: replication.NewHome[Key](), planLoggedAt: map[Key]time.Time{}}
}

// contended reports whether the deployment calls for scheduling under contention.
func (c *Controller) contended() bool { return c.Contended != nil && c.Contended() }

// recordDemand counts a request that asked for admission; c.mu must be held.
func (c *Controller) recordDemand(ask AdmissionRequest, admitted AdmissionResult, err error, now time.Time) {
	if ask.Key.Name == "" || !c.contended() {
		return
	}
	sample := replication.Sample{
		Requests: 1, Tokens: float64(ask.PromptTokens), RunSeconds: c.slots.runtimeFactor * expectedRunTime(ask).Seconds(),
	}
	if err == nil && !admitted.AskAgain {
		c.ahead.demand.Add(ask.Key.Adapter, sample, now)
	}
	busy := isBusy(err)
	if busy {
		c.ahead.demand.Add(ask.Key.Adapter, replication.Sample{Refused: 1}, now)
		sample.Refused = 1
	}
	// A request asks the home once, however often it asks again.
	if ask.Home && !ask.Retry && !ask.Waited && !ask.LastResort {
		c.ahead.home.Asked(ask.Key, sample, now)
	}
}

// isBusy reports whether a request was refused because the runner has too much to do.
func isBusy(err error) bool { return err == ErrBusy || err == ErrPromptBacklog }

// replicaConfirmed records that another runner holds an adapter whose home is this runner; c.mu
// must be held.
func (c *Controller) replicaConfirmed(key Key, runner string) {
	if c.contended() {
		c.ahead.home.Confirmed(key, runner, c.Now())
	}
}

// pickReplicas returns the runners to name to a request that this home refused; c.mu must be held.
// Those that are still being loaded come last: a request that goes there waits for the load.
func (c *Controller) pickReplicas(key Key) []string {
	if !c.contended() {
		return c.replicas.Pick(key)
	}
	now := c.Now()
	for _, runner := range c.ahead.home.TakeReady(key, now) {
		c.replicas.Add(key, runner)
	}
	return append(c.replicas.Pick(key), c.ahead.home.LoadingRunners(key, maxNamedLoading, now)...)
}

// ReplicaPlan tells which replicas an adapter lacks whose home is this runner.
type ReplicaPlan = replication.Plan[Key]

// PlanReplicas returns the replicas to load now, none unless the deployment is contended.
func (c *Controller) PlanReplicas() []ReplicaPlan {
	if !c.contended() {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Now()
	if c.refusal != nil {
		return nil
	}
	plans := c.ahead.home.Plans(replication.Situation[Key]{
		Runner:   c.runner.ID,
		Capacity: replication.Capacity{Slots: c.runner.Slots, TokensPerSecond: pacedPerMS * float64(time.Second/time.Millisecond)},
		Own: func(key Key) (replication.Rate, bool) {
			return c.ahead.demand.Rate(key.Adapter, now), c.holdsOrLoads(key)
		},
		StoreRoom: aheadRoom(c.StoreLoad()),
	}, now)
	missing := plans[:0]
	for _, plan := range plans {
		if plan.Missing == 0 {
			continue
		}
		missing = append(missing, plan)
		c.logPlan(plan, now)
	}
	return missing
}

// planLogInterval is the time between two log lines on the plan of one adapter, maxPlansLogged the
// number of adapters that are remembered for it.
const (
	planLogInterval = time.Second
	maxPlansLogged  = 256
)

// logPlan writes a log line on a plan, at most one per adapter and planLogInterval; c.mu must be
// held.
func (c *Controller) logPlan(plan ReplicaPlan, now time.Time) {
	if now.Sub(c.ahead.planLoggedAt[plan.Key]) < planLogInterval {
		return
	}
	if len(c.ahead.planLoggedAt) >= maxPlansLogged {
		clear(c.ahead.planLoggedAt)
	}
	c.ahead.planLoggedAt[plan.Key] = now
	c.log.Info("replicas planned", "adapter", plan.Key.String(), "version", plan.Key.Version, "per_s", plan.Demand.PerSecond, "tokens_per_s", plan.Demand.TokensPerSecond,
		"running", plan.Demand.Running, "growing", plan.Growing, "needed", plan.Needed, "held", plan.Held, "loading", plan.Loading, "missing", plan.Missing)
}

// aheadRoom returns how many fetches may be added that no request waits for.
func aheadRoom(store StoreLoad) int {
	return max(0, int(math.Floor(aheadStoreShare*store.Capacity))-store.Fetches)
}

// ReplicaRequested records that a runner is asked for a replica that this home planned, which should
// be ready at a time.
func (c *Controller) ReplicaRequested(key Key, runner string, readyAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ahead.home.Requested(key, runner, readyAt, c.Now())
}

// ReplicaAccepted records that a runner accepted a replica that this home planned, which will be
// ready at a time.
func (c *Controller) ReplicaAccepted(key Key, runner string, readyAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ahead.home.Accepted(key, runner, readyAt, c.Now())
}

// ReplicaRefused records that a runner refused a replica that this home planned.
func (c *Controller) ReplicaRefused(key Key, runner string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ahead.home.Refused(key, runner, c.Now())
}

// PrefetchAhead loads an adapter ahead of demand and returns when it will be ready. perSecond is
// the demand that is expected for it on this runner. It refuses with ErrBusy if the runner or the
// weight store has too much to do, with ErrNoFreeSlot if requests may need the adapter slot or if
// it holds an adapter with more demand, or with the reason for which all requests are refused.
func (c *Controller) PrefetchAhead(key Key, perSecond float64) (time.Time, error) {
	now := c.Now()
	view := c.RunnerView(c.runner.ID, now)
	limits := placing.LimitsFor(c.runner.Slots, c.Utilization())
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.refusal != nil {
		return time.Time{}, c.refusal
	}
	if !c.contended() {
		return time.Time{}, ErrBusy
	}
	if readyAt, there := c.slots.Ready(key); there {
		c.slots.Touch(key.Adapter, now)
		return readyAt, nil
	}
	if c.isPending(key) {
		return now.Add(c.estimateLoad(c.slots.HeldRecently(key))), nil
	}
	if view.Suspect || view.Refusing || view.Limited || view.Load >= limits.NotLoaded {
		return time.Time{}, ErrBusy
	}
	if err := c.checkAheadLoad(perSecond, now); err != nil {
		return time.Time{}, err
	}
	c.lastSeq++
	c.pending = append(c.pending, &pendingLoad{
		key: key, ahead: true, seq: c.lastSeq, lastAskedAt: now, usefulUntil: now.Add(aheadTTL), dueAt: now.Add(prefetchBudget), slotExpectedAt: now,
	})
	c.wakeUp()
	return now.Add(c.estimateLoad(c.slots.HeldRecently(key))), nil
}

// reservedSlotShare is the share of the adapter slots that are left, free or idle, to loads that
// requests wait for, and minReservedSlots their least number. On runners where almost all adapters
// are in use, a replica that nobody needs yet would have requests for other adapters refused.
const (
	reservedSlotShare = 0.25
	minReservedSlots  = 3
)

// reservedSlots returns the number of adapter slots that loads ahead of demand leave.
func (c *Controller) reservedSlots() int {
	return max(minReservedSlots, int(math.Ceil(reservedSlotShare*float64(c.spec.Capacity))))
}

// checkAheadLoad returns why no load may be added that no request waits for; c.mu must be held.
func (c *Controller) checkAheadLoad(perSecond float64, now time.Time) error {
	c.dropStale(now)
	inProgress, _ := c.slots.InProgress()
	if aheadRoom(c.StoreLoad()) == 0 || inProgress+len(c.pending) >= maxAheadLoads {
		return ErrBusy
	}
	free := c.slots.Free()
	if free+c.slots.IdleCount(now) <= len(c.pending)+c.reservedSlots() {
		return ErrNoFreeSlot
	}
	if free > spareSlots {
		return nil
	}
	if _, demand, found := c.leastWanted(now); !found || demand >= perSecond {
		return ErrNoFreeSlot
	}
	return nil
}

// mayLoadAhead reports whether a load that no request waits for may start; c.mu must be held.
func (c *Controller) mayLoadAhead() bool {
	inProgress, _ := c.slots.InProgress()
	return inProgress < maxAheadLoads && aheadRoom(c.StoreLoad()) > 0
}

// isPending reports whether a load of an adapter is pending; c.mu must be held.
func (c *Controller) isPending(key Key) bool {
	return slices.ContainsFunc(c.pending, func(load *pendingLoad) bool { return load.key == key })
}

// requestedLoads returns the number of pending loads that requests wait for; c.mu must be held.
func (c *Controller) requestedLoads() int {
	count := 0
	for _, load := range c.pending {
		if !load.ahead {
			count++
		}
	}
	return count
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
