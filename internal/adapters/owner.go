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

// Owner runs a keeper for each runner that this host owns.
type Owner struct {
	host        string
	deps        ControllerDeps
	owns        func(address string) bool
	now         func() time.Time
	log         hclog.Logger
	times       *LoadTimes
	peerFetches func() (transit, runners int)
	// fetchCapacity is what the weight store serves at full speed, per runner.
	fetchCapacity atomic.Uint64

	mu          sync.Mutex
	controllers map[string]*runningController
	// lateOrders are orders without an answer that earlier keepers gave, by the runner's
	// instance.
	lateOrders map[string]LateOrders
}

type runningController struct {
	*Controller
	stop context.CancelFunc
}

// OwnerDeps are what an owner works with.
type OwnerDeps struct {
	Host      string
	Engines   Engines
	Authority Authority
	// Owns says whether this host owns the runner at an address.
	Owns func(address string) bool
	// PeerFetches gives the adapters on their way and the runners, as far as other
	// hosts told of theirs.
	PeerFetches func() (transit, runners int)
	// RunnerView gives what is known of a runner's requests.
	RunnerView func(runner string, now time.Time) board.View
	// Utilization gives how full the runners are on average.
	Utilization func() float64
	// TypicalPrefill gives the time that most runners take for a token of a prompt, in
	// nanoseconds, 0 while that is not known.
	TypicalPrefill func() float64
	// HostCount gives the number of hosts, which share the bound on loads of base
	// models.
	HostCount  func() int
	ModelLoads ModelLoadLimit
	// OnRestart is told that a runner has started again under its instance.
	OnRestart func(instance string, born int64)
	// OnSignal is told what a runner's answer to a call says of the requests that it can take.
	OnSignal func(runner string, signal *board.Signal)
	Now      func() time.Time
	Log      hclog.Logger
}

// NewOwner makes an owner of nothing.
func NewOwner(deps OwnerDeps) *Owner {
	o := &Owner{
		host: deps.Host, owns: deps.Owns, peerFetches: deps.PeerFetches,
		now: deps.Now, log: deps.Log, times: NewLoadTimes(), controllers: map[string]*runningController{}, lateOrders: map[string]LateOrders{},
	}
	o.deps = ControllerDeps{
		Holder: deps.Host, Engines: deps.Engines, Authority: deps.Authority, Times: o.times, StoreLoad: o.storeLoad, RunnerView: deps.RunnerView,
		Utilization: deps.Utilization, TypicalPrefill: deps.TypicalPrefill, ModelLoads: NewModelLoadLimiter(deps.ModelLoads), HostCount: deps.HostCount, OnRestart: deps.OnRestart, OnSignal: deps.OnSignal, Now: deps.Now, Log: deps.Log,
	}
	return o
}

func (o *Owner) storeLoad() StoreLoad {
	transit, runners := o.peerFetches()
	own, ownRunners := o.Fetches()
	share := math.Float64frombits(o.fetchCapacity.Load())
	return StoreLoad{Fetches: transit + own, Capacity: share * float64(runners+ownRunners), PerRunner: share}
}

// Fetches gives the adapters on their way to this host's runners, and the
// number of these runners.
func (o *Owner) Fetches() (transit, runners int) {
	for _, controller := range o.controllersByID() {
		transit += controller.Fetches()
		runners++
	}
	return transit, runners
}

// PrefillTimes gives the time that each of this host's runners takes for a token of a
// prompt, in nanoseconds, as far as it is known.
func (o *Owner) PrefillTimes() []float64 {
	var readings []float64
	for _, controller := range o.controllersByID() {
		if perToken := controller.PrefillPerToken(); perToken > 0 {
			readings = append(readings, perToken)
		}
	}
	return readings
}

// RequestLoad gives the requests on this host's runners and their slots.
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

// Controller gives the keeper of a runner's lifetime.
func (o *Owner) Controller(id string) (*Controller, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	controller, ok := o.controllers[id]
	if !ok {
		return nil, false
	}
	return controller.Controller, true
}

// CurrentController gives the keeper of a runner's present lifetime, whichever lifetime the
// asker knows of. A host whose list of runners is behind, for the runner or the host
// is cut off from the store, would else find no owner until the cut heals.
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

// Reconcile starts and stops keepers, so that there is one for each owned
// runner that may receive work.
func (o *Owner) Reconcile(ctx context.Context, config *site.Config, byService map[string][]*site.Runner) {
	owned := o.ownedRunners(config, byService)
	o.inheritLateOrders(o.stopAllBut(owned))
	o.mu.Lock()
	defer o.mu.Unlock()
	for id, w := range owned {
		if o.controllers[id] == nil {
			o.start(ctx, w.runner, w.engine)
		}
	}
}

// ownedRunner is a runner that needs a keeper.
type ownedRunner struct {
	runner *site.Runner
	engine *site.Engine
}

// ownedRunners gives the runners that need a keeper, by their IDs.
func (o *Owner) ownedRunners(config *site.Config, byService map[string][]*site.Runner) map[string]ownedRunner {
	owned := map[string]ownedRunner{}
	for name, runners := range byService {
		service := config.Services[name]
		if service == nil || service.Engine == nil || len(service.Engine.Models) == 0 {
			continue
		}
		o.fetchCapacity.Store(math.Float64bits(FetchCapacityPerRunner(service.Engine.LoadsPerSecond, len(runners))))
		for _, runner := range runners {
			if o.owns(runner.Address) {
				owned[runner.ID] = ownedRunner{runner: runner, engine: service.Engine}
			}
		}
	}
	return owned
}

// stopAllBut stops the keepers of all runners but those wanted, and gives them.
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

// inheritLateOrders keeps the orders without an answer of keepers that have ended, for their runners
// may start again under their instances while these are carried out.
//
// Keepers are asked without the owner's lock: one that holds its own asks the owner for what
// is on its way to all runners. Each waiting for the other, the host would serve no adapter and
// learn nothing any more until its process ends.
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

// RunnerRemoved notes that a runner's lifetime has ended: no adapter lies there any more.
func (o *Owner) RunnerRemoved(runner string) {
	for _, controller := range o.controllersByID() {
		controller.RunnerRemoved(runner)
	}
}

func (o *Owner) start(ctx context.Context, runner *site.Runner, engine *site.Engine) {
	model := modelFor(runner, engine)
	spec := Spec{Model: model, Capacity: SlotCapacity(engine, model), LoadsPerSecond: engine.LoadsPerSecond}
	ctx, cancel := context.WithCancel(ctx)
	controller := NewController(runner, spec, o.deps)
	if late := o.lateOrders[runner.Instance]; late != nil {
		controller.slots.Inherited = late
		delete(o.lateOrders, runner.Instance)
	}
	o.controllers[runner.ID] = &runningController{Controller: controller, stop: cancel}
	o.log.Info("orders begin", "runner", runner.ID, "address", runner.Address, "model", model.Name, "places", spec.Capacity)
	go controller.Run(ctx)
}

// modelFor gives the model that a runner holds, or else the one that falls to it.
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
