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
	// modelPoll is the pause between reports while a base model is loaded.
	modelPoll = 200 * time.Millisecond
	// syncPause is the pause after a report that failed, or that an order in
	// doubt calls for.
	syncPause = 250 * time.Millisecond
	// keptFree is the number of places that an idle keeper makes free ahead, so
	// that the next load needs one order and not two.
	keptFree = 1
	// earlyAgain is how much later requests come after one came too early, at the
	// least, and earlyShare the part of the load's time so far that they wait
	// more: with the store's rate divided among twice as many loads as it serves
	// at full speed, a request was sent four times and not twice.
	earlyAgain = 40 * time.Millisecond
	earlyShare = 0.15
	// overlap is how long before a fetch is thought to be over the next one is
	// ordered. Estimates that are a little long, and an order's way of some 5 ms,
	// would leave the weight store idle between two fetches: it did 55 in two
	// seconds where it can do 64, with requests waiting.
	overlap = 50 * time.Millisecond
	// leastShare bounds how seldom a runner fetches, whatever the fleet's size.
	leastShare = 0.1
	// transitPoll is the pause of a keeper whose next load has to wait for
	// another to end.
	transitPoll = 10 * time.Millisecond
	// idlePass is the pause of a keeper with nothing to do.
	idlePass = 250 * time.Millisecond
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
	slots *Slots
	pacer Pacer
	// reading is how fast the runner reads prompts.
	reading PrefillEstimator
	// replicas tells where else the adapters lie whose home the runner is.
	replicas *Replicas
	synced   bool
	// modelHeld says that the base model is there.
	modelHeld bool
	waiting   []*want
	wanted    uint64
	// refusing is why requests are turned away, until the runner's report is
	// read again.
	refusing error
	wake     chan struct{}
	// fetchedAt is when the last fetch was ordered.
	fetchedAt time.Time
	// transit is the number of adapters on their way from the weight store, for
	// other keepers' loads.
	transit atomic.Int32
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
		slots:          NewSlots(spec.Capacity),
		replicas:       NewReplicas(),
		wake:           make(chan struct{}, 1),
	}
}

func (k *Controller) nudge() {
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// Fetches gives the number of adapters on their way from the weight store to the
// runner.
func (k *Controller) Fetches() int { return int(k.transit.Load()) }

// Run works until the context ends.
func (k *Controller) Run(ctx context.Context) {
	for ctx.Err() == nil {
		pause := k.Step(ctx)
		if pause > 0 {
			k.sleep(ctx, pause)
		}
	}
	k.refuse(ErrNotOwner)
}

// refuse turns requests away until the runner's report is read.
func (k *Controller) refuse(err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.refusing = err
	k.synced = false
	k.waiting = nil
}

func (k *Controller) sleep(ctx context.Context, pause time.Duration) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-k.wake:
	case <-timer.C:
	}
}

// Step does the next thing and gives the pause before the one after it.
func (k *Controller) Step(ctx context.Context) time.Duration {
	if _, ok := k.Authority.MayOrder(k.runner.Address, k.Now()); !ok {
		// Whoever waits finds another runner sooner than the lease comes back.
		k.refuse(ErrNotOwner)
		return idlePass
	}
	if !k.isSynced() {
		return k.sync(ctx)
	}
	if !k.hasModel() {
		return k.loadModel(ctx)
	}
	return k.next(ctx)
}

func (k *Controller) isSynced() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.synced
}

func (k *Controller) hasModel() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.modelHeld
}

// sync reads the runner's report.
func (k *Controller) sync(ctx context.Context) time.Duration {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	report, err := k.Engines.Report(ctx, k.runner.Address)
	k.signalled(report.Signal)
	if err != nil {
		k.log.Debug("report not read", "error", err.Error())
		k.refuse(ErrUnresponsive)
		return syncPause
	}
	if report.Born != 0 && report.Born != k.runner.StartedMS {
		return k.otherLifetime(report.Born)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.Now()
	k.modelHeld = report.holds(k.spec.Model.Name)
	k.slots.Reported(report.Sequence, report.Adapters, reportLag, now.Add(k.estimate(false)), now)
	k.synced = true
	k.refusing = nil
	if doubtful := k.slots.Doubtful(); doubtful > 0 {
		// The report may be older than the order in doubt. Left at that, the place
		// would be lost and count as a fetch for good.
		k.synced = false
		k.log.Info("order still in doubt after the runner's report", "orders", doubtful, "sequence", report.Sequence)
		return syncPause
	}
	k.log.Info("runner's state read", "sequence", report.Sequence, "adapters", len(report.Adapters), "model_held", k.modelHeld, "busy", report.Busy)
	if report.Busy {
		k.synced = false
		return modelPoll
	}
	return 0
}

// signalled passes on what an answer says of the requests that the runner can take.
func (k *Controller) signalled(signal *board.Signal) {
	if signal != nil {
		k.OnSignal(k.runner.ID, signal)
	}
}

// otherLifetime passes over a report of another lifetime than the keeper's. One of
// a later lifetime ends what is believed of this one; an earlier one is late.
func (k *Controller) otherLifetime(born int64) time.Duration {
	k.log.Info("report of another lifetime", "born", born, "keeper_born", k.runner.StartedMS)
	k.refuse(ErrUnresponsive)
	if born > k.runner.StartedMS {
		k.OnRestart(k.runner.Instance, born)
	}
	return syncPause
}

// estimate gives the time of a load that begins now; the lock is held.
func (k *Controller) estimate(recent bool) time.Duration {
	return k.Times.Estimate(recent, k.StoreLoad().withOneMore())
}

// loadModel orders the base model and waits for it.
func (k *Controller) loadModel(ctx context.Context) time.Duration {
	if wait := k.ModelLoads.Take(k.Now(), k.spec.LoadsPerSecond, k.HostCount()); wait > 0 {
		return min(wait, modelPoll)
	}
	outcome := k.order(ctx, true, Key{Adapter: site.Adapter{Model: k.spec.Model.Name}})
	k.mu.Lock()
	defer k.mu.Unlock()
	if outcome == OutcomeAccepted {
		k.slots.Sequence++
	}
	if outcome == OutcomeDone {
		k.modelHeld = true
		return 0
	}
	k.synced = false
	return modelPoll + reportLag
}

// action is what a keeper does next.
type action uint8

const (
	rest action = iota
	loadIt
	unloadIt
	// dropIt: there is no room; whoever asks again is sent to another runner.
	dropIt
)

// step is an action on an adapter, or a pause.
type step struct {
	action action
	key    Key
	pause  time.Duration
}

// next does the next thing and gives the pause after it.
func (k *Controller) next(ctx context.Context) time.Duration {
	planned := k.plan()
	switch planned.action {
	case loadIt:
		return k.loadAdapter(ctx, planned.key)
	case unloadIt:
		return k.unload(ctx, planned.key.Adapter)
	case dropIt:
		k.drop(planned.key)
		return 0
	default:
		return planned.pause
	}
}

// plan decides what comes next: the load that is wanted first, room for it, or
// room for the next one.
func (k *Controller) plan() step {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.Now()
	k.slots.Settle(now)
	k.countTransit()
	k.forgetOld(now)
	w := k.firstWaiting()
	if w == nil {
		return k.planRoom(now)
	}
	if !k.mayLoad(w.key) {
		return step{pause: transitPoll}
	}
	if _, replaces := k.slots.places[w.key.Adapter]; replaces || k.slots.Free() > 0 {
		return step{action: loadIt, key: w.key}
	}
	victim, found := k.slots.Victim(now)
	if !found && now.Before(w.placeAt.Add(overdue)) {
		return step{pause: transitPoll}
	}
	if !found {
		return step{action: dropIt, key: w.key}
	}
	return step{action: unloadIt, key: Key{Adapter: victim}}
}

func (k *Controller) planRoom(now time.Time) step {
	if k.slots.Free() >= keptFree {
		return step{pause: idlePass}
	}
	victim, found := k.slots.Victim(now)
	if !found {
		return step{pause: idlePass}
	}
	return step{action: unloadIt, key: Key{Adapter: victim}}
}

// mayLoad says whether one more load may begin; the lock is held.
//
// Beyond a number of loads at a time the weight store only divides its rate
// among them. On a cold start, with four loads on each of nine runners, every
// load took over a second and none was in time; one at a time each takes a
// quarter of a second and those that wait least are served in time. What the
// runner held lately does not come from the store and waits for nothing: behind
// fetches, a fifth of all loads took 270 ms and not 25.
func (k *Controller) mayLoad(key Key) bool {
	transit, _ := k.slots.Transit()
	if transit >= maxTransit {
		return false
	}
	if k.slots.Recent(key) {
		return true
	}
	crowd := k.StoreLoad()
	if float64(crowd.Fetches) < crowd.Capacity {
		return true
	}
	now := k.Now()
	return k.slots.Fetching(now.Add(overlap)) == 0 && now.Sub(k.fetchedAt) >= k.turn(crowd)
}

// turn is the time between two fetches of one runner while the store is crowded;
// the lock is held. With more runners than loads at full speed each fetches for a
// part of the time only: at once, 112 loads took half a second each and none was
// in time, while 64 at a time take 0.29 s.
func (k *Controller) turn(crowd StoreLoad) time.Duration {
	return time.Duration(float64(k.Times.Estimate(false, StoreLoad{})-overlap) / max(leastShare, min(1, crowd.PerRunner)))
}

// countTransit keeps the number of fetches for other keepers; the lock is held.
func (k *Controller) countTransit() {
	_, fetched := k.slots.Transit()
	k.transit.Store(int32(fetched))
}

func (k *Controller) isRecent(key Key) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.slots.Recent(key)
}
