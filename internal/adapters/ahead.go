package adapters

import (
	"math"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cherrystage/cherrystage/internal/placing"
	"github.com/cherrystage/cherrystage/internal/replication"
	"github.com/cherrystage/cherrystage/internal/site"
	"github.com/pkg/errors"
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
	// EvictedForLoad counts evictions for loads that requests wait for, EvictedForAhead those for
	// loads ahead of demand, and EvictedForSpare those that free a slot in advance.
	EvictedForLoad, EvictedForAhead, EvictedForSpare atomic.Int64
	// EvictedWanted counts the evictions of adapters with at least
	// replication.MinReportedPerSecond requests per second, in a contended deployment.
	EvictedWanted atomic.Int64
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
func (c *Controller) recordDemand(ask AdmissionRequest, err error, now time.Time) {
	if ask.Key.Name == "" || !c.contended() {
		return
	}
	sample := replication.Sample{
		Requests: 1, Tokens: float64(ask.PromptTokens), RunSeconds: c.slots.runtimeFactor * expectedRunTime(ask).Seconds(),
	}
	// A request that waits for its load counts when it first asks, so that the adapter's demand is
	// known when the load is done.
	if err == nil && !ask.Waited {
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
func isBusy(err error) bool { return errors.Is(err, ErrBusy) || errors.Is(err, ErrPromptBacklog) }

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
	if c.refusal == ErrNotOwner {
		return nil
	}
	plans := c.ahead.home.Plans(replication.Situation[Key]{
		Runner:   c.runner.ID,
		Capacity: replication.Capacity{Slots: c.runner.Slots, TokensPerSecond: pacedPerMS * float64(time.Second/time.Millisecond)},
		Own: func(key Key) (replication.Rate, bool) {
			// A runner that does not answer serves no requests, whatever it holds.
			return c.ahead.demand.Rate(key.Adapter, now), c.refusal == nil && c.holdsOrLoads(key)
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

// DemandReport is the demand for an adapter that a runner admitted.
type DemandReport struct {
	Key    Key
	Runner string
	Rate   replication.Rate
}

// maxReports bounds the adapters that are reported for one runner. A runner with 32 request slots
// and requests of two seconds has no more adapters with the least reported demand.
const maxReports = 16

// DemandReports returns the demand for the adapters on the runner whose homes have to know it, in
// the given versions. It returns none unless the deployment is contended.
func (c *Controller) DemandReports(versions map[site.Adapter]int64) []DemandReport {
	if !c.contended() {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	var reports []DemandReport
	for _, demand := range c.ahead.demand.Most(maxReports, replication.MinReportedPerSecond, c.Now()) {
		key := Key{Adapter: demand.Key, Version: versions[demand.Key]}
		if c.holdsOrLoads(key) {
			reports = append(reports, DemandReport{Key: key, Runner: c.runner.ID, Rate: demand.Rate})
		}
	}
	return reports
}

// ApplyDemand records the demand for an adapter whose home is this runner, as the owner of another
// runner reports it.
func (c *Controller) ApplyDemand(report DemandReport) {
	if !c.contended() || report.Runner == c.runner.ID {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.replicas.Add(report.Key, report.Runner)
	c.ahead.home.Reported(report.Key, report.Runner, report.Rate, c.Now())
}

// AheadLoad asks for a load ahead of demand.
type AheadLoad struct {
	Key Key
	// PerSecond is the demand that is expected for the adapter on the runner.
	PerSecond float64
	// Lost is set if the load replaces that of a runner that was lost. It is refused if the
	// adapter's home knows another runner with it.
	Lost string
}

// PrefetchAhead loads an adapter ahead of demand and returns when it will be ready. It refuses with
// ErrBusy if the runner or the weight store has too much to do, with ErrNoFreeSlot if requests may
// need the adapter slot or if it holds an adapter with more demand, with ErrHeldElsewhere as
// described at AheadLoad, or with the reason for which all requests are refused.
func (c *Controller) PrefetchAhead(load AheadLoad) (time.Time, error) {
	key := load.Key
	now := c.Now()
	view := c.RunnerView(c.runner.ID, now)
	utilization := c.Utilization()
	typical := c.TypicalPrefill()
	c.mu.Lock()
	defer c.mu.Unlock()
	limits := placing.LimitsAt(c.runner.Slots, utilization, c.relativeSpeed(view, typical))
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
	if load.Lost != "" && c.replicas.HasBesides(key, load.Lost) {
		return time.Time{}, ErrHeldElsewhere
	}
	if c.isPending(key) {
		return now.Add(c.estimateLoad(c.slots.HeldRecently(key))), nil
	}
	if view.Suspect || view.Refusing || view.Limited || view.Load >= limits.NotLoaded {
		return time.Time{}, ErrBusy
	}
	if err := c.checkAheadLoad(load.PerSecond, now); err != nil {
		return time.Time{}, err
	}
	c.lastSeq++
	c.pending = append(c.pending, &pendingLoad{
		key: key, ahead: true, perSecond: load.PerSecond, seq: c.lastSeq, lastAskedAt: now, usefulUntil: now.Add(aheadTTL), dueAt: now.Add(prefetchBudget), slotExpectedAt: now,
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
	if !c.mayEvictAhead(perSecond, now) {
		return ErrNoFreeSlot
	}
	return nil
}

// mayEvictAhead reports whether there is an idle adapter with less demand than the given one, which
// a load ahead of demand may evict; c.mu must be held.
func (c *Controller) mayEvictAhead(perSecond float64, now time.Time) bool {
	_, demand, found := c.leastWanted(now)
	return found && demand < perSecond
}

// mayLoadAhead reports whether a load that no request waits for may start; c.mu must be held.
func (c *Controller) mayLoadAhead(now time.Time) bool {
	inProgress, _ := c.slots.InProgress()
	if inProgress >= maxAheadLoads || aheadRoom(c.StoreLoad()) == 0 {
		return false
	}
	return c.slots.Free()+c.slots.IdleCount(now) > c.reservedSlots()
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

// HotAdapter is an adapter with much demand and its replicas.
type HotAdapter = replication.Hot[Key]

// HottestAtHome returns the adapters with the most demand whose home is this runner.
func (c *Controller) HottestAtHome(limit int) []HotAdapter {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ahead.home.Hottest(limit, c.Now())
}
