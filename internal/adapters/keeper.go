package adapters

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cherrystage/cherrystage/internal/board"
	"github.com/cherrystage/cherrystage/internal/site"
	"github.com/hashicorp/go-hclog"
)

const (
	// orderTimeout bounds an order's answer, which takes some 3 ms. An order whose
	// answer is lost is given once more for the same sequence, so a timeout that
	// is too short does no harm; with 200 ms a runner that lost a quarter of its
	// answers did 24 loads a second of the 32 that were waited for.
	orderTimeout = 80 * time.Millisecond
	// reportTimeout bounds a report.
	reportTimeout = 500 * time.Millisecond
	// reportLag is how old a report may be: some hundred milliseconds, so an
	// order must be older than this to be missed in one.
	reportLag = 400 * time.Millisecond
	// modelPollInterval is the pause between reports while a base model is loaded.
	modelPollInterval = 200 * time.Millisecond
	// syncRetryInterval is the pause after a report that failed, or that an order in
	// doubt calls for.
	syncRetryInterval = 250 * time.Millisecond
	// spareSlots is the number of places that an idle keeper makes free ahead, so
	// that the next load needs one order and not two.
	spareSlots = 1
	// minEarlyRetry is how much later requests come after one came too early, at the
	// least, and earlyShare the part of the load's time so far that they wait
	// more: with the store's rate divided among twice as many loads as it serves
	// at full speed, a request was sent four times and not twice.
	minEarlyRetry   = 40 * time.Millisecond
	earlyRetryShare = 0.15
	// fetchOverlap is how long before a fetch is thought to be over the next one is
	// ordered. Estimates that are a little long, and an order's way of some 5 ms,
	// would leave the weight store idle between two fetches: it did 55 in two
	// seconds where it can do 64, with requests waiting.
	fetchOverlap = 50 * time.Millisecond
	// minFetchShare bounds how seldom a runner fetches, whatever the fleet's size.
	minFetchShare = 0.1
	// loadPollInterval is the pause of a keeper whose next load has to wait for
	// another to end.
	loadPollInterval = 10 * time.Millisecond
	// idleInterval is the pause of a keeper with nothing to do.
	idleInterval = 250 * time.Millisecond
)

// Authority says whether this host may give orders to the runner at an address
// now, and with which fencing token.
type Authority interface {
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
	// prefill is how fast the runner reads prompts.
	prefill PrefillEstimator
	// replicas tells where else the adapters lie whose home the runner is.
	replicas *Replicas
	synced   bool
	// modelHeld says that the base model is there.
	modelHeld bool
	pending   []*pendingLoad
	lastSeq   uint64
	// refusal is why requests are turned away, until the runner's report is
	// read again.
	refusal error
	wake    chan struct{}
	// lastFetchAt is when the last fetch was ordered.
	lastFetchAt time.Time
	// fetches is the number of adapters on their way from the weight store, for
	// other keepers' loads.
	fetches atomic.Int32
}

// ControllerDeps are what a keeper works with.
type ControllerDeps struct {
	Holder    string
	Engines   Engines
	Authority Authority
	Times     *LoadTimes
	StoreLoad func() StoreLoad
	// RunnerView gives what is known of a runner's requests, Share how full all
	// runners are on average.
	RunnerView  func(runner string, now time.Time) board.View
	Utilization func() float64
	// TypicalPrefill gives the time that most runners take for a token of a prompt, in
	// nanoseconds, 0 while that is not known.
	TypicalPrefill func() float64
	// ModelLoads and Hosts bound the loads of base models.
	ModelLoads *ModelLoadLimiter
	HostCount  func() int
	// OnRestart is told that a runner has started again under its instance.
	OnRestart func(instance string, born int64)
	// OnSignal is told what a runner's answer to a call says of the requests that it can take.
	OnSignal func(runner string, signal *board.Signal)
	Now      func() time.Time
	Log      hclog.Logger
}

// NewController makes a keeper that has read nothing of its runner yet.
func NewController(runner *site.Runner, spec Spec, deps ControllerDeps) *Controller {
	return &Controller{
		ControllerDeps: deps,
		runner:         runner,
		log:            deps.Log.With("runner", runner.ID, "address", runner.Address),
		spec:           spec,
		slots:          NewAdapterSlots(spec.Capacity),
		replicas:       NewReplicas(),
		wake:           make(chan struct{}, 1),
	}
}

func (c *Controller) wakeUp() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Fetches gives the number of adapters on their way from the weight store to the
// runner.
func (c *Controller) Fetches() int { return int(c.fetches.Load()) }

// Run works until the context ends.
func (c *Controller) Run(ctx context.Context) {
	for ctx.Err() == nil {
		pause := c.Step(ctx)
		if pause > 0 {
			c.sleep(ctx, pause)
		}
	}
	c.refuseAll(ErrNotOwner)
}

// refuseAll turns requests away until the runner's report is read.
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

// Step does the next thing and gives the pause before the one after it.
func (c *Controller) Step(ctx context.Context) time.Duration {
	if _, ok := c.Authority.MayOrder(c.runner.Address, c.Now()); !ok {
		// Whoever waits finds another runner sooner than the lease comes back.
		c.refuseAll(ErrNotOwner)
		return idleInterval
	}
	if !c.isSynced() {
		return c.sync(ctx)
	}
	if !c.hasModel() {
		return c.loadModel(ctx)
	}
	return c.runNext(ctx)
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
		c.log.Debug("report not read", "error", err.Error())
		c.refuseAll(ErrUnresponsive)
		return syncRetryInterval
	}
	if report.Born != 0 && report.Born != c.runner.Born {
		return c.handleOtherLifetime(report.Born)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Now()
	c.modelHeld = report.holds(c.spec.Model.Name)
	c.slots.ApplyReport(report.Sequence, report.Adapters, reportLag, now.Add(c.estimateLoad(false)), now)
	c.synced = true
	c.refusal = nil
	if inDoubtLoads := c.slots.InDoubt(); inDoubtLoads > 0 {
		// The report may be older than the order in doubt. Left at that, the place
		// would be lost and count as a fetch for good.
		c.synced = false
		c.log.Info("order still in doubt after the runner's report", "orders", inDoubtLoads, "sequence", report.Sequence)
		return syncRetryInterval
	}
	c.log.Info("runner's state read", "sequence", report.Sequence, "adapters", len(report.Adapters), "model_held", c.modelHeld, "busy", report.Busy)
	if report.Busy {
		c.synced = false
		return modelPollInterval
	}
	return 0
}

// passSignal passes on what an answer says of the requests that the runner can take.
func (c *Controller) passSignal(signal *board.Signal) {
	if signal != nil {
		c.OnSignal(c.runner.ID, signal)
	}
}

// handleOtherLifetime passes over a report of another lifetime than the keeper's. One of
// a later lifetime ends what is believed of this one; an earlier one is late.
func (c *Controller) handleOtherLifetime(born int64) time.Duration {
	c.log.Info("report of another lifetime", "born", born, "keeper_born", c.runner.Born)
	c.refuseAll(ErrUnresponsive)
	if born > c.runner.Born {
		c.OnRestart(c.runner.Instance, born)
	}
	return syncRetryInterval
}

// estimateLoad gives the time of a load that begins now; the lock is held.
func (c *Controller) estimateLoad(recent bool) time.Duration {
	return c.Times.Estimate(recent, c.StoreLoad().withOneMoreFetch())
}

// loadModel orders the base model and waits for it.
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

// action is what a keeper does next.
type action uint8

const (
	actionNone action = iota
	actionLoad
	actionUnload
	// actionDrop: there is no room; whoever asks again is sent to another runner.
	actionDrop
)

// task is an action on an adapter, or a pause.
type task struct {
	action action
	key    Key
	pause  time.Duration
}

// runNext does the runNext thing and gives the pause after it.
func (c *Controller) runNext(ctx context.Context) time.Duration {
	planned := c.plan()
	switch planned.action {
	case actionLoad:
		return c.loadAdapter(ctx, planned.key)
	case actionUnload:
		return c.unload(ctx, planned.key.Adapter)
	case actionDrop:
		c.dropPending(planned.key)
		return 0
	default:
		return planned.pause
	}
}

// plan decides what comes next: the load that is wanted first, room for it, or
// room for the next one.
func (c *Controller) plan() task {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Now()
	c.slots.Advance(now)
	c.updateFetches()
	c.dropStale(now)
	w := c.nextPending()
	if w == nil {
		return c.planSpareSlot(now)
	}
	if !c.mayLoad(w.key) {
		return task{pause: loadPollInterval}
	}
	if _, replaces := c.slots.entries[w.key.Adapter]; replaces || c.slots.Free() > 0 {
		return task{action: actionLoad, key: w.key}
	}
	victim, found := c.slots.Victim(now)
	if !found && now.Before(w.slotExpectedAt.Add(overdueExtension)) {
		return task{pause: loadPollInterval}
	}
	if !found {
		return task{action: actionDrop, key: w.key}
	}
	return task{action: actionUnload, key: Key{Adapter: victim}}
}

func (c *Controller) planSpareSlot(now time.Time) task {
	if c.slots.Free() >= spareSlots {
		return task{pause: idleInterval}
	}
	victim, found := c.slots.Victim(now)
	if !found {
		return task{pause: idleInterval}
	}
	return task{action: actionUnload, key: Key{Adapter: victim}}
}

// mayLoad says whether one more load may begin; the lock is held.
//
// Beyond a number of loads at a time the weight store only divides its rate
// among them. On a cold start, with four loads on each of nine runners, every
// load took over a second and none was in time; one at a time each takes a
// quarter of a second and those that wait least are served in time. What the
// runner held lately does not come from the store and waits for nothing: behind
// fetches, a fifth of all loads took 270 ms and not 25.
func (c *Controller) mayLoad(key Key) bool {
	transit, _ := c.slots.InProgress()
	if transit >= maxConcurrentLoads {
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

// fetchInterval is the time between two fetches of one runner while the store is crowded;
// the lock is held. With more runners than loads at full speed each fetches for a
// part of the time only: at once, 112 loads took half a second each and none was
// in time, while 64 at a time take 0.29 s.
func (c *Controller) fetchInterval(store StoreLoad) time.Duration {
	return time.Duration(float64(c.Times.Estimate(false, StoreLoad{})-fetchOverlap) / max(minFetchShare, min(1, store.PerRunner)))
}

// updateFetches keeps the number of fetches for other keepers; the lock is held.
func (c *Controller) updateFetches() {
	_, fetched := c.slots.InProgress()
	c.fetches.Store(int32(fetched))
}

func (c *Controller) heldRecently(key Key) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.slots.HeldRecently(key)
}
