package adapters

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cherrystage/cherrystage/internal/board"
	"github.com/cherrystage/cherrystage/internal/precedence"
	"github.com/cherrystage/cherrystage/internal/site"
	"github.com/hashicorp/go-hclog"
)

const (
	// orderTimeout bounds the answer to an order, which takes about 3 ms. An order
	// without an answer is repeated for the same sequence number, so a timeout that
	// is too short does no harm. With 200 ms, a runner that lost a quarter of its
	// answers did 24 of the 32 loads per second that were waited for.
	orderTimeout = 80 * time.Millisecond
	// reportTimeout bounds the answer to a report request.
	reportTimeout = 500 * time.Millisecond
	// reportLag is how old a report may be. Reports are a few hundred milliseconds
	// old, so an order must be older than this before its absence from a report
	// counts.
	reportLag = 400 * time.Millisecond
	// modelPollInterval is the interval between reports while a base model is loaded.
	modelPollInterval = 200 * time.Millisecond
	// syncRetryInterval is the interval after a report that failed, or that has to be
	// repeated because an order is in doubt.
	syncRetryInterval = 250 * time.Millisecond
	// spareSlots is the number of slots that an idle controller keeps free, so that
	// the next load needs one order instead of two.
	spareSlots = 1
	// minEarlyRetry is the minimum extra wait after a request arrived before its
	// adapter's load was done, and earlyRetryShare the part of the load's time so far
	// to wait if that is longer. With the minimum alone, a request was sent four times
	// instead of twice while the store's bandwidth was divided among twice as many
	// loads as it serves at full speed.
	minEarlyRetry   = 40 * time.Millisecond
	earlyRetryShare = 0.15
	// fetchOverlap is how long before the estimated end of a fetch the next one is
	// ordered. Estimates that are slightly long, and the 5 ms that an order takes,
	// would otherwise leave the weight store idle between fetches: it did 55 in two
	// seconds where it can do 64, with requests waiting.
	fetchOverlap = 50 * time.Millisecond
	// minFetchShare is the least share of the time in which a runner may fetch,
	// regardless of the fleet's size.
	minFetchShare = 0.1
	// loadPollInterval is the interval at which a controller checks whether its next
	// load may start.
	loadPollInterval = 10 * time.Millisecond
	// idleInterval is the interval of a controller with nothing to do.
	idleInterval = 250 * time.Millisecond
)

// Authority tells what this host may do with the runner at an address.
type Authority interface {
	// Owns reports whether this host decides who may send requests to the runner. It may do so
	// without giving orders.
	Owns(address string, now time.Time) bool
	// MayOrder reports whether this host may give orders to the runner now, and with which
	// fencing token.
	MayOrder(address string, now time.Time) (token uint64, ok bool)
}

// Controller gives the orders to one runner, one at a time.
type Controller struct {
	ControllerDeps
	runner *site.Runner
	log    hclog.Logger

	mu    sync.Mutex
	spec  Spec
	slots *AdapterSlots
	pacer Pacer
	// incoming are the prompts of the requests that wait for loads.
	incoming incomingPrompts
	// turns orders the requests that wait for their turn at prefill.
	turns *precedence.Queue
	// prefill estimates how fast the runner runs prefill.
	prefill PrefillEstimator
	// work judges the work time that the runner announces.
	work workTracker
	// replicas are the other runners that hold the adapters whose home is this
	// runner.
	replicas *Replicas
	ahead    aheadState
	// synced is set while the slots reflect the runner's state. If it is unset, the
	// report is read before the next order.
	synced bool
	// modelHeld is set once the base model is loaded.
	modelHeld bool
	// pending are the loads that the runner has not accepted yet.
	pending []*pendingLoad
	lastSeq uint64
	// ordering is the adapter whose load is being ordered, the zero Key if none is.
	ordering Key
	// refusal is the reason to refuse all requests, nil once the runner's report has
	// been read.
	refusal error
	// wake ends the pause between two steps.
	wake chan struct{}
	// lastFetchAt is when the last fetch was ordered.
	lastFetchAt time.Time
	// fetches is the number of adapters being fetched from the weight store. The
	// controllers of other runners read it for their own loads.
	fetches atomic.Int32
	// probes counts the probes of the runner's work time.
	probes probeCounts
}

// ControllerDeps are the dependencies of a controller.
type ControllerDeps struct {
	Holder    string
	Engines   Engines
	Authority Authority
	// Reaches reports whether this host can send orders to the runner at an address, as far as
	// it knows. It may be nil, which stands for always.
	Reaches   func(address string) bool
	Times     *LoadTimes
	StoreLoad func() StoreLoad
	// RunnerView returns the number and state of requests on a runner, Utilization
	// the mean share of request slots in use over all runners.
	RunnerView  func(runner string, now time.Time) board.View
	Utilization func() float64
	// TypicalPrefill returns the prefill time per token of most runners in
	// nanoseconds, 0 if it is not known.
	TypicalPrefill func() float64
	// ModelLoads and HostCount limit the loads of base models.
	ModelLoads *ModelLoadLimiter
	HostCount  func() int
	// Brittle reports whether a service's runners fall over if they have to turn away many
	// requests. It may be nil, which stands for never.
	Brittle func(service string) bool
	// Contended reports whether the deployment calls for scheduling under contention, see
	// docs/design/contention.md. It may be nil, which stands for never.
	Contended func() bool
	// Contention counts decisions of all controllers of the host. It may be nil.
	Contention *ContentionCounters
	// Replication counts the decisions on replicas. It may be nil.
	Replication *ReplicationCounters
	// OnRestart is called when a runner has restarted under the same instance.
	OnRestart func(instance string, startedMS int64)
	// OnSignal is called with what a runner's answer says about the requests it can
	// take.
	OnSignal func(runner string, signal *board.Signal)
	// OnWork is called with the work time that a runner announced, in percent of the usual time.
	OnWork func(runner string, percent int, at time.Time)
	Now    func() time.Time
	Log    hclog.Logger
}

// NewController returns a controller that has not read its runner's state yet.
func NewController(runner *site.Runner, spec Spec, deps ControllerDeps) *Controller {
	if deps.Contention == nil {
		deps.Contention = &ContentionCounters{}
	}
	if deps.Brittle == nil {
		deps.Brittle = func(string) bool { return false }
	}
	if deps.Reaches == nil {
		deps.Reaches = func(string) bool { return true }
	}
	if deps.Replication == nil {
		deps.Replication = &ReplicationCounters{}
	}
	return &Controller{
		ControllerDeps: deps,
		runner:         runner,
		log:            deps.Log.With("runner", runner.ID, "address", runner.Address),
		spec:           spec,
		slots:          NewAdapterSlots(spec.Capacity),
		replicas:       NewReplicas(),
		turns:          precedence.NewQueue(uint64(deps.Now().UnixNano())),
		ahead:          newAheadState(),
		wake:           make(chan struct{}, 1),
	}
}

func (c *Controller) wakeUp() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Fetches returns the number of adapters that the runner fetches from the weight
// store.
func (c *Controller) Fetches() int { return int(c.fetches.Load()) }

// Run controls the runner until the context ends.
func (c *Controller) Run(ctx context.Context) {
	for ctx.Err() == nil {
		pause := c.Step(ctx)
		if pause > 0 {
			c.sleep(ctx, pause)
		}
	}
	c.refuseAll(ErrNotOwner)
}

// refuseAll refuses all requests until the runner's report is read.
func (c *Controller) refuseAll(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refusal = err
	c.synced = false
	c.pending = nil
}

func (c *Controller) sleep(ctx context.Context, pause time.Duration) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-c.wake:
	case <-timer.C:
	}
}

// Step does the next piece of work and returns how long to wait before the next one.
func (c *Controller) Step(ctx context.Context) time.Duration {
	if !c.Authority.Owns(c.runner.Address, c.Now()) {
		// Waiting requests find another runner sooner than the lease is regained.
		c.refuseAll(ErrNotOwner)
		return idleInterval
	}
	if !c.isSynced() {
		return c.sync(ctx)
	}
	if !c.Reaches(c.runner.Address) || !c.mayOrder() {
		return c.holdOrders()
	}
	if !c.hasModel() {
		return c.loadModel(ctx)
	}
	return c.runNext(ctx)
}

// holdOrders drops the pending loads while the runner cannot be ordered, and returns the pause
// before the next check. Their requests find another runner sooner than the path is regained.
func (c *Controller) holdOrders() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.slots.Advance(c.Now())
	c.updateFetches()
	c.pending = nil
	return idleInterval
}

func (c *Controller) isSynced() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.synced
}

func (c *Controller) hasModel() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.modelHeld
}

// sync reads the runner's report.
func (c *Controller) sync(ctx context.Context) time.Duration {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	report, err := c.Engines.Report(ctx, c.runner.Address)
	c.passSignal(report.Signal)
	if err != nil {
		c.log.Debug("runner report failed", "error", err.Error())
		c.refuseAll(ErrUnresponsive)
		return syncRetryInterval
	}
	if report.StartedMS != 0 && report.StartedMS != c.runner.StartedMS {
		return c.handleOtherLifetime(report.StartedMS)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Now()
	c.modelHeld = report.holds(c.spec.Model.Name)
	c.slots.ApplyReport(report.Sequence, report.Adapters, reportLag, now.Add(c.estimateLoad(false)), now)
	c.synced = true
	c.refusal = nil
	if inDoubtLoads := c.slots.InDoubt(); inDoubtLoads > 0 {
		// The report may be older than the order in doubt. If no later report were
		// read, the slot would stay occupied and count as a fetch for ever.
		c.synced = false
		c.log.Info("orders still in doubt after the runner's report", "orders", inDoubtLoads, "sequence", report.Sequence)
		return syncRetryInterval
	}
	c.log.Info("runner's state read", "sequence", report.Sequence, "adapters", len(report.Adapters), "model_held", c.modelHeld, "busy", report.Busy)
	if report.Busy {
		c.synced = false
		return modelPollInterval
	}
	return 0
}

// passSignal passes on what an answer says about the requests that the runner can
// take.
func (c *Controller) passSignal(signal *board.Signal) {
	if signal != nil {
		c.OnSignal(c.runner.ID, signal)
	}
}

// handleOtherLifetime discards a report of another lifetime of the runner. A later
// lifetime means that the runner has restarted; an earlier one means that the report
// was overtaken.
func (c *Controller) handleOtherLifetime(startedMS int64) time.Duration {
	c.log.Info("report of another lifetime of the runner ignored", "born", startedMS, "keeper_born", c.runner.StartedMS)
	c.refuseAll(ErrUnresponsive)
	if startedMS > c.runner.StartedMS {
		c.OnRestart(c.runner.Instance, startedMS)
	}
	return syncRetryInterval
}

// estimateLoad estimates the time of a load that starts now; recent is set if the
// runner held the adapter recently. c.mu must be held.
func (c *Controller) estimateLoad(recent bool) time.Duration {
	return c.Times.Estimate(recent, c.StoreLoad().withOneMoreFetch())
}

// loadModel orders the load of the base model and returns the pause until its result
// is read or the load is ordered again.
func (c *Controller) loadModel(ctx context.Context) time.Duration {
	if wait := c.ModelLoads.Take(c.Now(), c.spec.LoadsPerSecond, c.HostCount()); wait > 0 {
		return min(wait, modelPollInterval)
	}
	outcome := c.order(ctx, true, Key{Adapter: site.Adapter{Model: c.spec.Model.Name}})
	c.mu.Lock()
	defer c.mu.Unlock()
	if outcome == OutcomeAccepted {
		c.slots.Sequence++
	}
	if outcome == OutcomeDone {
		c.modelHeld = true
		return 0
	}
	c.synced = false
	return modelPollInterval + reportLag
}

// action is what a controller does next.
type action uint8

const (
	actionNone action = iota
	actionLoad
	actionUnload
	// actionDrop drops a load for which there is no slot. Requests that ask again are
	// refused and go to another runner.
	actionDrop
)

// task is an action on an adapter, or a pause.
type task struct {
	action action
	key    Key
	pause  time.Duration
	// evictedFor is what an adapter is unloaded for.
	evictedFor string
}

// runNext carries out the next task and returns the pause after it.
func (c *Controller) runNext(ctx context.Context) time.Duration {
	planned := c.plan()
	switch planned.action {
	case actionLoad:
		return c.loadAdapter(ctx, planned.key)
	case actionUnload:
		return c.unload(ctx, planned.key.Adapter, planned.evictedFor)
	case actionDrop:
		c.dropPending(planned.key)
		return 0
	default:
		return planned.pause
	}
}

// plan chooses the next task: the most urgent pending load, an unload that frees a
// slot for it, or an unload that frees a slot in advance.
func (c *Controller) plan() task {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Now()
	c.slots.Advance(now)
	c.updateFetches()
	c.dropStale(now)
	load := c.nextPending()
	if load == nil {
		return c.planSpareSlot(now)
	}
	if !c.mayLoad(load.key) || load.ahead && !c.mayLoadAhead(now) {
		return task{pause: loadPollInterval}
	}
	if _, replaces := c.slots.entries[load.key.Adapter]; replaces || c.slots.Free() > 0 {
		c.ordering = load.key
		return task{action: actionLoad, key: load.key}
	}
	victim, found := c.victim(now)
	if found && load.ahead && !c.mayEvictAhead(load.perSecond, now) {
		// The adapters with less demand have been evicted or requested since the load was queued.
		c.removePending(load)
		return task{}
	}
	if !found && now.Before(load.slotExpectedAt.Add(overdueExtension)) {
		return task{pause: loadPollInterval}
	}
	if !found {
		return task{action: actionDrop, key: load.key}
	}
	return task{action: actionUnload, key: Key{Adapter: victim}, evictedFor: load.purpose()}
}

// planSpareSlot returns the unload that frees a slot in advance, or a pause; c.mu must
// be held.
func (c *Controller) planSpareSlot(now time.Time) task {
	if c.slots.Free() >= spareSlots {
		return task{pause: idleInterval}
	}
	victim, found := c.victim(now)
	if !found {
		return task{pause: idleInterval}
	}
	return task{action: actionUnload, key: Key{Adapter: victim}, evictedFor: evictedForSpare}
}

// mayLoad reports whether one more load may start; c.mu must be held.
//
// Beyond a number of concurrent fetches the weight store only divides its bandwidth
// among them. On a cold start with four loads on each of nine runners, every load
// took over a second and none was in time. With one at a time each takes a quarter of
// a second, and the requests that have waited least are served in time. Adapters that
// the runner held recently don't come from the store and need not wait: behind
// fetches, a fifth of all loads took 270 ms instead of 25.
func (c *Controller) mayLoad(key Key) bool {
	inProgress, _ := c.slots.InProgress()
	if inProgress >= maxConcurrentLoads {
		return false
	}
	if c.slots.HeldRecently(key) {
		return true
	}
	store := c.StoreLoad()
	if float64(store.Fetches) < store.Capacity {
		return true
	}
	now := c.Now()
	return c.slots.FetchingAt(now.Add(fetchOverlap)) == 0 && now.Sub(c.lastFetchAt) >= c.fetchInterval(store)
}

// fetchInterval is the time between two fetches of one runner while the store is
// saturated; c.mu must be held. If there are more runners than concurrent fetches at
// full speed, each runner may fetch only part of the time. All at once, 112 loads
// took half a second each and none was in time; 64 at a time take 0.29 s.
func (c *Controller) fetchInterval(store StoreLoad) time.Duration {
	return time.Duration(float64(c.Times.Estimate(false, StoreLoad{})-fetchOverlap) / max(minFetchShare, min(1, store.PerRunner)))
}

// updateFetches publishes the number of fetches for other controllers; c.mu must be
// held.
func (c *Controller) updateFetches() {
	_, fetched := c.slots.InProgress()
	c.fetches.Store(int32(fetched))
}

func (c *Controller) heldRecently(key Key) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.slots.HeldRecently(key)
}
