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
	host      string
	deps      ControllerDeps
	owns      func(address string) bool
	now       func() time.Time
	log       hclog.Logger
	times     *LoadTimes
	elsewhere func() (transit, runners int)
	// fullShare is what the weight store serves at full speed, per runner.
	fullShare atomic.Uint64

	mu      sync.Mutex
	keepers map[string]*running
	// late are orders without an answer that earlier keepers gave, by the runner's
	// instance.
	late map[string]LateOrders
}

type running struct {
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
		host: deps.Host, owns: deps.Owns, elsewhere: deps.PeerFetches,
		now: deps.Now, log: deps.Log, times: NewLoadTimes(), keepers: map[string]*running{}, late: map[string]LateOrders{},
	}
	o.deps = ControllerDeps{
		Holder: deps.Host, Engines: deps.Engines, Authority: deps.Authority, Times: o.times, StoreLoad: o.crowd, RunnerView: deps.RunnerView,
		Utilization: deps.Utilization, TypicalPrefill: deps.TypicalPrefill, ModelLoads: NewModelLoadLimiter(deps.ModelLoads), HostCount: deps.HostCount, OnRestart: deps.OnRestart, OnSignal: deps.OnSignal, Now: deps.Now, Log: deps.Log,
	}
	return o
}

func (o *Owner) crowd() StoreLoad {
	transit, runners := o.elsewhere()
	own, ownRunners := o.Fetches()
	share := math.Float64frombits(o.fullShare.Load())
	return StoreLoad{Fetches: transit + own, Capacity: share * float64(runners+ownRunners), PerRunner: share}
}

// Fetches gives the adapters on their way to this host's runners, and the
// number of these runners.
func (o *Owner) Fetches() (transit, runners int) {
	for _, keeper := range o.all() {
		transit += keeper.Fetches()
		runners++
	}
	return transit, runners
}

// PrefillTimes gives the time that each of this host's runners takes for a token of a
// prompt, in nanoseconds, as far as it is known.
func (o *Owner) PrefillTimes() []float64 {
	var readings []float64
	for _, keeper := range o.all() {
		if perToken := keeper.PrefillPerToken(); perToken > 0 {
			readings = append(readings, perToken)
		}
	}
	return readings
}

// RequestLoad gives the requests on this host's runners and their slots.
func (o *Owner) RequestLoad() (running, slots int) {
	now := o.now()
	for id, keeper := range o.all() {
		running += o.deps.RunnerView(id, now).Load
		slots += keeper.runner.Slots
	}
	return running, slots
}

func (o *Owner) all() map[string]*Controller {
	o.mu.Lock()
	defer o.mu.Unlock()
	all := make(map[string]*Controller, len(o.keepers))
	for id, keeper := range o.keepers {
		all[id] = keeper.Controller
	}
	return all
}

// Controller gives the keeper of a runner's lifetime.
func (o *Owner) Controller(id string) (*Controller, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	keeper, ok := o.keepers[id]
	if !ok {
		return nil, false
	}
	return keeper.Controller, true
}

// CurrentController gives the keeper of a runner's present lifetime, whichever lifetime the
// asker knows of. A host whose list of runners is behind, for the runner or the host
// is cut off from the store, would else find no owner until the cut heals.
func (o *Owner) CurrentController(id string) (*Controller, bool) {
	if keeper, ok := o.Controller(id); ok {
		return keeper, true
	}
	instance := site.InstanceOf(id)
	for _, keeper := range o.all() {
		if keeper.runner.Instance == instance {
			return keeper, true
		}
	}
	return nil, false
}

// Reconcile starts and stops keepers, so that there is one for each owned
// runner that may receive work.
func (o *Owner) Reconcile(ctx context.Context, config *site.Config, byService map[string][]*site.Runner) {
	wanted := o.wanted(config, byService)
	o.inherit(o.endAllBut(wanted))
	o.mu.Lock()
	defer o.mu.Unlock()
	for id, w := range wanted {
		if o.keepers[id] == nil {
			o.start(ctx, w.runner, w.engine)
		}
	}
}

// owned is a runner that needs a keeper.
type owned struct {
	runner *site.Runner
	engine *site.Engine
}

// wanted gives the runners that need a keeper, by their IDs.
func (o *Owner) wanted(config *site.Config, byService map[string][]*site.Runner) map[string]owned {
	wanted := map[string]owned{}
	for name, runners := range byService {
		service := config.Services[name]
		if service == nil || service.Engine == nil || len(service.Engine.Models) == 0 {
			continue
		}
		o.fullShare.Store(math.Float64bits(FetchCapacityPerRunner(service.Engine.LoadsPerSecond, len(runners))))
		for _, runner := range runners {
			if o.owns(runner.Address) {
				wanted[runner.ID] = owned{runner: runner, engine: service.Engine}
			}
		}
	}
	return wanted
}

// endAllBut stops the keepers of all runners but those wanted, and gives them.
func (o *Owner) endAllBut(wanted map[string]owned) []*Controller {
	o.mu.Lock()
	defer o.mu.Unlock()
	var ended []*Controller
	for id, keeper := range o.keepers {
		if _, ok := wanted[id]; ok {
			continue
		}
		keeper.stop()
		delete(o.keepers, id)
		ended = append(ended, keeper.Controller)
	}
	return ended
}

// inherit keeps the orders without an answer of keepers that have ended, for their runners
// may start again under their instances while these are carried out.
//
// Keepers are asked without the owner's lock: one that holds its own asks the owner for what
// is on its way to all runners. Each waiting for the other, the host would serve no adapter and
// learn nothing any more until its process ends.
func (o *Owner) inherit(ended []*Controller) {
	now := o.now()
	unanswered := make(map[string]LateOrders, len(ended))
	for _, keeper := range ended {
		if late := keeper.unanswered(now); len(late) > 0 {
			unanswered[keeper.runner.Instance] = late
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for instance, late := range o.late {
		late.expire(now)
		if len(late) == 0 {
			delete(o.late, instance)
		}
	}
	maps.Copy(o.late, unanswered)
}

// RunnerRemoved notes that a runner's lifetime has ended: no adapter lies there any more.
func (o *Owner) RunnerRemoved(runner string) {
	for _, keeper := range o.all() {
		keeper.RunnerRemoved(runner)
	}
}

func (o *Owner) start(ctx context.Context, runner *site.Runner, engine *site.Engine) {
	model := modelFor(runner, engine)
	spec := Spec{Model: model, Capacity: Capacity(engine, model), LoadsPerSecond: engine.LoadsPerSecond}
	ctx, cancel := context.WithCancel(ctx)
	keeper := NewController(runner, spec, o.deps)
	if late := o.late[runner.Instance]; late != nil {
		keeper.slots.Inherited = late
		delete(o.late, runner.Instance)
	}
	o.keepers[runner.ID] = &running{Controller: keeper, stop: cancel}
	o.log.Info("orders begin", "runner", runner.ID, "address", runner.Address, "model", model.Name, "places", spec.Capacity)
	go keeper.Run(ctx)
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
