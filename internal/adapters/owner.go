package adapters

import (
	"context"
	"maps"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cherrystage/cherrystage/internal/board"
	"github.com/cherrystage/cherrystage/internal/fleet"
	"github.com/cherrystage/cherrystage/internal/site"
	"github.com/hashicorp/go-hclog"
)

// Owner runs a controller for each runner that this host owns.
type Owner struct {
	host        string
	deps        ControllerDeps
	owns        func(address string) bool
	now         func() time.Time
	log         hclog.Logger
	times       *LoadTimes
	replication ReplicationCounters
	peerFetches func() (fetches, runners int)
	// Contention counts decisions of all controllers.
	Contention ContentionCounters
	pacings    pacingCache
	// fetchCapacity is the number of concurrent fetches per runner that the weight
	// store serves at full speed, as float bits.
	fetchCapacity atomic.Uint64

	mu          sync.Mutex
	controllers map[string]*runningController
	// lateOrders are the unanswered orders of stopped controllers, by the runner's
	// instance.
	lateOrders map[string]LateOrders
}

type runningController struct {
	*Controller
	stop context.CancelFunc
}

// OwnerDeps are the dependencies of an owner.
type OwnerDeps struct {
	Host      string
	Engines   Engines
	Authority Authority
	// Owns reports whether this host owns the runner at an address.
	Owns func(address string) bool
	// Reaches reports whether this host can send orders to the runner at an address, as far as
	// it knows. It may be nil, which stands for always.
	Reaches func(address string) bool
	// PeerFetches returns the number of fetches on other hosts' runners and the
	// number of these runners, as far as the hosts reported them.
	PeerFetches func() (fetches, runners int)
	// RunnerView returns the number and state of requests on a runner.
	RunnerView func(runner string, now time.Time) board.View
	// Utilization returns the mean share of request slots in use.
	Utilization func() float64
	// TypicalPrefill returns the prefill time per token of most runners in
	// nanoseconds, 0 if it is not known.
	TypicalPrefill func() float64
	// HostCount returns the number of hosts that share the limit on loads of base
	// models.
	HostCount  func() int
	ModelLoads ModelLoadLimit
	// Brittle reports whether a service's runners fall over if they have to turn away many
	// requests. It may be nil, which stands for never.
	Brittle func(service string) bool
	// Contended reports whether the deployment calls for scheduling under contention, see
	// docs/design/contention.md. It may be nil, which stands for never.
	Contended func() bool
	// OnRestart is called when a runner has restarted under the same instance.
	OnRestart func(instance string, startedMS int64)
	// OnSignal is called with what a runner's answer says about the requests it can
	// take.
	OnSignal func(runner string, signal *board.Signal)
	// OnWork is called with the work time that a runner announced to this host's probe, in
	// percent of the usual time. It may be nil.
	OnWork func(runner string, percent int, at time.Time)
	Now    func() time.Time
	Log    hclog.Logger
}

// NewOwner returns an owner without runners.
func NewOwner(deps OwnerDeps) *Owner {
	if deps.Contended == nil {
		deps.Contended = func() bool { return false }
	}
	if deps.OnWork == nil {
		deps.OnWork = func(string, int, time.Time) {}
	}
	if deps.Brittle == nil {
		deps.Brittle = func(string) bool { return false }
	}
	if deps.Reaches == nil {
		deps.Reaches = func(string) bool { return true }
	}
	o := &Owner{
		host: deps.Host, owns: deps.Owns, peerFetches: deps.PeerFetches,
		now: deps.Now, log: deps.Log, times: NewLoadTimes(), controllers: map[string]*runningController{}, lateOrders: map[string]LateOrders{},
	}
	o.deps = ControllerDeps{
		Holder: deps.Host, Engines: deps.Engines, Authority: deps.Authority, Reaches: deps.Reaches, Times: o.times, StoreLoad: o.storeLoad,
		RunnerView: deps.RunnerView, Utilization: deps.Utilization, TypicalPrefill: deps.TypicalPrefill,
		ModelLoads: NewModelLoadLimiter(deps.ModelLoads), HostCount: deps.HostCount,
		Brittle: deps.Brittle, Contended: deps.Contended, Contention: &o.Contention, Replication: &o.replication,
		OnRestart: deps.OnRestart, OnSignal: deps.OnSignal, OnWork: deps.OnWork, Now: deps.Now, Log: deps.Log,
	}
	return o
}

// Replication returns the counters of decisions on replicas.
func (o *Owner) Replication() *ReplicationCounters { return &o.replication }

func (o *Owner) storeLoad() StoreLoad {
	fetches, runners := o.peerFetches()
	own, ownRunners := o.Fetches()
	share := math.Float64frombits(o.fetchCapacity.Load())
	return StoreLoad{Fetches: fetches + own, Capacity: share * float64(runners+ownRunners), PerRunner: share}
}

// Fetches returns the number of fetches on this host's runners and the number of
// these runners.
func (o *Owner) Fetches() (fetches, runners int) {
	for _, controller := range o.controllersByID() {
		fetches += controller.Fetches()
		runners++
	}
	return fetches, runners
}

// PrefillTimes returns the prefill times per token of this host's runners in
// nanoseconds, as far as they are known.
func (o *Owner) PrefillTimes() []float64 {
	var prefillTimes []float64
	for _, controller := range o.controllersByID() {
		if perToken := controller.PrefillPerToken(); perToken > 0 {
			prefillTimes = append(prefillTimes, perToken)
		}
	}
	return prefillTimes
}

// RequestLoad returns the number of requests on this host's runners and of their
// request slots.
func (o *Owner) RequestLoad() (running, slots int) {
	now := o.now()
	for id, controller := range o.controllersByID() {
		running += o.deps.RunnerView(id, now).Load
		slots += controller.runner.Slots
	}
	return running, slots
}

func (o *Owner) controllersByID() map[string]*Controller {
	o.mu.Lock()
	defer o.mu.Unlock()
	all := make(map[string]*Controller, len(o.controllers))
	for id, controller := range o.controllers {
		all[id] = controller.Controller
	}
	return all
}

// Controller returns the controller of a runner's lifetime.
func (o *Owner) Controller(id string) (*Controller, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	controller, ok := o.controllers[id]
	if !ok {
		return nil, false
	}
	return controller.Controller, true
}

// CurrentController returns the controller of a runner's current lifetime, whichever
// lifetime the caller asks for. Otherwise a host whose list of runners is out of
// date, because the runner or the host is cut off from the store, would find no owner
// until the connection is restored.
func (o *Owner) CurrentController(id string) (*Controller, bool) {
	if controller, ok := o.Controller(id); ok {
		return controller, true
	}
	instance := site.InstanceOf(id)
	for _, controller := range o.controllersByID() {
		if controller.runner.Instance == instance {
			return controller, true
		}
	}
	return nil, false
}

// Reconcile starts and stops controllers so that there is one for each owned runner
// that may receive work.
func (o *Owner) Reconcile(ctx context.Context, config *site.Config, byService map[string][]*site.Runner) {
	owned := o.ownedRunners(config, byService)
	o.inheritLateOrders(o.stopAllBut(owned))
	o.updatePacing(owned)
	o.mu.Lock()
	defer o.mu.Unlock()
	for id, needed := range owned {
		if o.controllers[id] == nil {
			o.start(ctx, needed)
		}
	}
}

// ownedRunner is a runner that needs a controller.
type ownedRunner struct {
	runner *site.Runner
	engine *site.Engine
	pacing Pacing
}

// ownedRunners returns the runners that need a controller, by ID.
func (o *Owner) ownedRunners(config *site.Config, byService map[string][]*site.Runner) map[string]ownedRunner {
	owned := map[string]ownedRunner{}
	for name, runners := range byService {
		service := config.Services[name]
		if service == nil || service.Engine == nil || len(service.Engine.Models) == 0 {
			continue
		}
		o.fetchCapacity.Store(math.Float64bits(FetchCapacityPerRunner(service.Engine.LoadsPerSecond, len(runners))))
		pacing := o.pacings.of(config, name)
		for _, runner := range runners {
			if o.owns(runner.Address) {
				owned[runner.ID] = ownedRunner{runner: runner, engine: service.Engine, pacing: pacing}
			}
		}
	}
	return owned
}

// stopAllBut stops and returns the controllers of all runners except those in keep.
func (o *Owner) stopAllBut(keep map[string]ownedRunner) []*Controller {
	o.mu.Lock()
	defer o.mu.Unlock()
	var stopped []*Controller
	for id, controller := range o.controllers {
		if _, ok := keep[id]; ok {
			continue
		}
		controller.stop()
		delete(o.controllers, id)
		stopped = append(stopped, controller.Controller)
	}
	return stopped
}

// inheritLateOrders keeps the unanswered orders of stopped controllers, since their
// runners may restart under the same instance while these can still be carried out.
//
// The controllers are asked without holding o.mu: a controller that holds its own
// lock asks the owner for the fetches of all runners. With both locks taken in
// opposite order the host would deadlock: it would serve no adapter and learn nothing
// new until its process ends.
func (o *Owner) inheritLateOrders(stopped []*Controller) {
	now := o.now()
	unanswered := make(map[string]LateOrders, len(stopped))
	for _, controller := range stopped {
		if late := controller.unansweredOrders(now); len(late) > 0 {
			unanswered[controller.runner.Instance] = late
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for instance, late := range o.lateOrders {
		late.expire(now)
		if len(late) == 0 {
			delete(o.lateOrders, instance)
		}
	}
	maps.Copy(o.lateOrders, unanswered)
}

// RunnerRemoved drops a runner whose lifetime has ended: it holds no adapters any
// more.
func (o *Owner) RunnerRemoved(runner string) {
	for _, controller := range o.controllersByID() {
		controller.RunnerRemoved(runner)
	}
}

func (o *Owner) start(ctx context.Context, needed ownedRunner) {
	runner, engine := needed.runner, needed.engine
	model := modelFor(runner, engine)
	spec := Spec{Model: model, Capacity: SlotCapacity(engine, model), LoadsPerSecond: engine.LoadsPerSecond, Pacing: needed.pacing}
	ctx, cancel := context.WithCancel(ctx)
	controller := NewController(runner, spec, o.deps)
	if late := o.lateOrders[runner.Instance]; late != nil {
		controller.slots.Inherited = late
		delete(o.lateOrders, runner.Instance)
	}
	o.controllers[runner.ID] = &runningController{Controller: controller, stop: cancel}
	o.log.Info("runner controller started", "runner", runner.ID, "address", runner.Address, "model", model.Name, "places", spec.Capacity)
	go controller.Run(ctx)
	go controller.watchWork(ctx)
}

// modelFor returns the model that a runner holds, or else the one assigned to it by
// rendezvous hashing.
func modelFor(runner *site.Runner, engine *site.Engine) site.Model {
	for _, model := range engine.Models {
		if runner.Holds(model.Name) {
			return model
		}
	}
	names := make([]string, 0, len(engine.Models))
	for _, model := range engine.Models {
		names = append(names, model.Name)
	}
	model, _ := engine.Model(fleet.First(runner.Address, names))
	return model
}
