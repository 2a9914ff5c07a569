package experiment

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/cherrystage/cherrystage/internal/adapters"
	"github.com/cherrystage/cherrystage/internal/board"
	"github.com/cherrystage/cherrystage/internal/fleet"
	"github.com/cherrystage/cherrystage/internal/placing"
	"github.com/cherrystage/cherrystage/internal/retrybudget"
	"github.com/cherrystage/cherrystage/internal/site"
	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
)

// Policy says who decides.
type Policy string

// Policies.
const (
	// Product is the product's decisions.
	Product Policy = "product"
	// Homeless is the product's without homes that know of replicas: each owner
	// for itself.
	Homeless Policy = "homeless"
	// Reference knows all engines at every moment and asks nobody.
	Reference Policy = "reference"
)

// Policies gives all of them.
func Policies() []Policy { return []Policy{Product, Homeless, Reference} }

const (
	modelName = "base"
	// orderWay is what an order and its answer take.
	orderWay = 3 * time.Millisecond
	// toldAfter is how long after a request's end its engine's owner hears of it.
	toldAfter = 100 * time.Millisecond
	// suspectsTold is how often hosts tell each other which runners they avoid.
	suspectsTold = 300 * time.Millisecond
	// wakeUp is the time that passes on the fleet's lead before the load begins.
	wakeUp = time.Second
)

var errNoAnswer = errors.New("the engine does not answer")

// world is one run.
type world struct {
	cfg    Config
	policy Policy
	// demand draws the load and faults the troubles, both the same for every
	// policy; rng draws the rest.
	demand, faults, rng *rand.Rand

	clock  *clock
	store  *weightStore
	result *Result

	hosts     []*host
	engines   []*engine
	byAddress map[string]*engine
	byID      map[string]*engine
	runners   []*site.Runner
	keepers   map[string]*keeper
	// orders of runners by adapter, until the runners change.
	ranked map[string][]*site.Runner
	// load counts the requests that owners admitted to each runner and that have
	// not ended, as far as the owners know.
	load map[string]int
	// owners is what owners believe of the runners' health, times what each host
	// has learnt of loads.
	owners *board.Board
	times  map[string]*adapters.LoadTimes
	copies map[adapters.Key]map[string]bool
	// wanted maps ranks of popularity to adapters.
	wanted  []int
	lives   int
	started time.Time
	down    bool
}

type host struct {
	name    string
	centre  string
	spreads *placing.SpreadEstimator
	board   *board.Board
	budget  *retrybudget.Budget
}

// keeper is a runner's keeper and when it works next.
type keeper struct {
	*adapters.Controller
	centre     string
	generation int
}

// Run plays a configuration.
func Run(cfg Config, policy Policy) (*Result, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	w := newWorld(cfg, policy)
	w.plan()
	end := w.started.Add(seconds(cfg.LengthS))
	w.clock.run(end)
	// Whoever asked in time gets an answer.
	w.clock.run(end.Add(seconds(longestDeadline(cfg))))
	w.result.finish(w)
	return w.result, nil
}

func longestDeadline(cfg Config) float64 {
	longest := 0.0
	for _, kind := range cfg.Kinds {
		longest = max(longest, kind.DeadlineS)
	}
	return longest
}

func newWorld(cfg Config, policy Policy) *world {
	epoch := time.Unix(0, 0)
	w := &world{
		cfg: cfg, policy: policy, clock: &clock{now: epoch},
		demand: rand.New(rand.NewPCG(cfg.Seed, 1)), faults: rand.New(rand.NewPCG(cfg.Seed, 2)), rng: rand.New(rand.NewPCG(cfg.Seed, 3)),
		byAddress: map[string]*engine{}, byID: map[string]*engine{}, keepers: map[string]*keeper{},
		ranked: map[string][]*site.Runner{}, load: map[string]int{}, owners: board.New(), times: map[string]*adapters.LoadTimes{},
		copies: map[adapters.Key]map[string]bool{}, started: epoch.Add(wakeUp),
	}
	w.result = newResult(cfg, policy)
	w.store = &weightStore{clock: w.clock, full: cfg.Store.Full, load: millis(cfg.Store.LoadMS), at: epoch}
	for i := range cfg.Hosts {
		h := &host{name: fmt.Sprintf("h%d", i), centre: w.centre(i), board: board.New()}
		w.hosts = append(w.hosts, h)
	}
	w.startHosts()
	for i := range cfg.Engines.Count {
		w.addEngine(fmt.Sprintf("e%d:1", i), w.centre(i))
	}
	w.wanted = make([]int, cfg.Demand.Adapters)
	for i := range w.wanted {
		w.wanted[i] = i
	}
	w.demand.Shuffle(len(w.wanted), func(i, j int) { w.wanted[i], w.wanted[j] = w.wanted[j], w.wanted[i] })
	return w
}

func (w *world) centre(i int) string { return fmt.Sprintf("c%d", i%w.cfg.DataCentres) }

// startHosts gives hosts nothing to remember.
func (w *world) startHosts() {
	limit := retrybudget.Limit{Ratio: w.cfg.Retries.Ratio, Slack: w.cfg.Retries.Slack, Window: seconds(w.cfg.Retries.WindowS)}
	for _, h := range w.hosts {
		h.spreads = placing.NewSpreadEstimator()
		h.board = board.New()
		h.budget = retrybudget.New(limit, w.clock.now)
	}
}

func (w *world) addEngine(address, centre string) {
	w.lives++
	id := fmt.Sprintf("i%d", w.lives)
	runner := &site.Runner{ID: id, Instance: id, Address: address, DataCentre: centre, Slots: w.cfg.Engines.Slots}
	e := newEngine(w, w.cfg.Engines, runner)
	w.engines = append(w.engines, e)
	w.byAddress[address] = e
	w.byID[runner.ID] = e
	w.listRunners()
	w.keep(runner)
}

// listRunners takes the runners that are there over.
func (w *world) listRunners() {
	w.runners = w.runners[:0:0]
	for _, e := range w.engines {
		if !e.gone {
			w.runners = append(w.runners, e.runner)
		}
	}
	w.ranked = map[string][]*site.Runner{}
}

func (w *world) order(key string) []*site.Runner {
	if known := w.ranked[key]; known != nil {
		return known
	}
	byAddress := make(map[string]*site.Runner, len(w.runners))
	addresses := make([]string, 0, len(w.runners))
	for _, runner := range w.runners {
		byAddress[runner.Address] = runner
		addresses = append(addresses, runner.Address)
	}
	sorted := make([]*site.Runner, 0, len(w.runners))
	for _, address := range fleet.Rank(key, addresses) {
		sorted = append(sorted, byAddress[address])
	}
	w.ranked[key] = sorted
	return sorted
}

// always implements adapters.Authority: who owns a runner is not played here.
type always struct{}

func (always) MayOrder(string, time.Time) (uint64, bool) { return 1, true }

// keep begins the work of a runner's owner.
func (w *world) keep(runner *site.Runner) {
	if w.policy == Reference {
		return
	}
	spec := adapters.Spec{Model: site.Model{Name: modelName}, Capacity: w.cfg.Engines.Places, LoadsPerSecond: w.cfg.Store.LoadsPerS}
	k := &keeper{centre: runner.DataCentre, Controller: adapters.NewController(runner, spec, adapters.ControllerDeps{
		OnSignal: func(string, *board.Signal) {},
		Holder:   "owner", Engines: engines{w}, Authority: always{}, Times: w.timesOf(runner), StoreLoad: w.crowd, RunnerView: w.view, Utilization: w.share, TypicalPrefill: unknown,
		ModelLoads: adapters.NewModelLoadLimiter(adapters.ModelLoadLimit{}), HostCount: func() int { return w.cfg.Hosts },
		Now: func() time.Time { return w.clock.now }, Log: hclog.NewNullLogger(),
	})}
	w.keepers[runner.ID] = k
	w.wake(k, 0)
}

// timesOf gives what the owner of a runner has learnt.
func (w *world) timesOf(runner *site.Runner) *adapters.LoadTimes {
	var near []string
	for _, h := range w.hosts {
		if h.centre == runner.DataCentre {
			near = append(near, h.name)
		}
	}
	owner := fleet.First(runner.Address, near)
	if w.times[owner] == nil {
		w.times[owner] = adapters.NewLoadTimes()
	}
	return w.times[owner]
}

// wake has a keeper work after a pause, and not when it would have otherwise.
func (w *world) wake(k *keeper, pause time.Duration) {
	k.generation++
	generation := k.generation
	w.clock.after(pause, func() {
		if k.generation != generation {
			return
		}
		orders := w.result.Orders
		pause := k.Step(context.Background())
		if w.result.Orders != orders {
			pause = max(pause, orderWay)
		}
		w.wake(k, max(pause, time.Microsecond))
	})
}

// unknown leaves out how fast runners read: they are all alike here.
func unknown() float64 { return 0 }

func (w *world) crowd() adapters.StoreLoad {
	share := adapters.FetchCapacityPerRunner(w.cfg.Store.LoadsPerS, len(w.runners))
	return adapters.StoreLoad{Fetches: len(w.store.active), Capacity: share * float64(len(w.runners)), PerRunner: share}
}

// view is what an owner believes of a runner.
func (w *world) view(runner string, now time.Time) board.View {
	view := w.owners.View(runner, now)
	view.Load = w.load[runner]
	return view
}

func (w *world) share() float64 {
	total := 0
	for _, runner := range w.runners {
		total += w.load[runner.ID]
	}
	return float64(total) / float64(max(1, len(w.runners)*w.cfg.Engines.Slots))
}

func (w *world) fetched(runner string, key adapters.Key) {
	w.result.Fetches++
	on := w.copies[key]
	if on == nil {
		on = map[string]bool{}
		w.copies[key] = on
	}
	on[runner] = true
}

// plan plans the load and the troubles.
func (w *world) plan() {
	w.clock.at(w.started, func() {
		for i := range w.cfg.Kinds {
			w.arrive(&w.cfg.Kinds[i])
		}
	})
	for _, shift := range w.cfg.Shifts {
		w.clock.at(w.started.Add(seconds(shift.AtS)), func() { w.shift(shift.Count) })
	}
	for _, crash := range w.cfg.Crashes {
		w.clock.at(w.started.Add(seconds(crash.AtS)), func() { w.crash(crash) })
	}
	for _, silence := range w.cfg.Silences {
		w.clock.at(w.started.Add(seconds(silence.AtS)), func() { w.silence(silence) })
	}
	for _, loss := range w.cfg.Losses {
		w.clock.at(w.started.Add(seconds(loss.AtS)), func() { w.lose(loss) })
	}
	w.clock.after(suspectsTold, w.tellSuspects)
}

// shift exchanges the most wanted adapters for others.
func (w *world) shift(count int) {
	for i := range min(count, len(w.wanted)) {
		j := w.faults.IntN(len(w.wanted))
		w.wanted[i], w.wanted[j] = w.wanted[j], w.wanted[i]
	}
}

// some draws a share of the engines that are there, one at least.
func (w *world) some(share float64) []*engine {
	var there []*engine
	for _, e := range w.engines {
		if !e.gone {
			there = append(there, e)
		}
	}
	w.faults.Shuffle(len(there), func(i, j int) { there[i], there[j] = there[j], there[i] })
	count := max(1, int(math.Round(share*float64(len(there)))))
	return there[:min(count, len(there))]
}

func (w *world) crash(fault FaultConfig) {
	for _, e := range w.some(fault.Share) {
		e.crash()
		w.forget(e.runner.ID)
		w.clock.after(seconds(fault.ForS), func() { w.addEngine(e.runner.Address, e.runner.DataCentre) })
	}
	w.listRunners()
}

// forget drops a runner's lifetime.
func (w *world) forget(runner string) {
	if k := w.keepers[runner]; k != nil {
		k.generation++
		delete(w.keepers, runner)
	}
	for _, k := range w.keepers {
		k.RunnerRemoved(runner)
	}
	delete(w.load, runner)
}

func (w *world) silence(fault FaultConfig) {
	for _, e := range w.some(fault.Share) {
		e.silent = true
		w.clock.after(seconds(fault.ForS), func() {
			e.silent = false
			e.start()
		})
	}
}

// lose stops all hosts and starts them again with nothing.
func (w *world) lose(fault FaultConfig) {
	w.down = true
	for _, e := range w.engines {
		for _, r := range append(append([]*run(nil), e.running...), e.waiting...) {
			r.ended(false)
		}
		e.running, e.waiting = nil, nil
		e.settleLeaving()
	}
	w.clock.after(seconds(fault.ForS), func() {
		w.down = false
		w.startHosts()
		w.owners = board.New()
		w.times = map[string]*adapters.LoadTimes{}
		w.load = map[string]int{}
		for _, runner := range w.runners {
			w.forget(runner.ID)
			w.keep(runner)
		}
		w.clock.after(rehomedAfter, w.rehome)
	})
}

// rehomedAfter is when homes have been told what lies on other runners.
const rehomedAfter = time.Second

// rehome tells homes what lies on other runners.
func (w *world) rehome() {
	if w.policy != Product {
		return
	}
	for _, runner := range w.runners {
		for key := range w.byID[runner.ID].held {
			if home := w.order(key.PlacementKey())[0]; home != runner {
				w.keepers[home.ID].AddReplica(key, runner.ID)
			}
		}
	}
}

func (w *world) tellSuspects() {
	for _, h := range w.hosts {
		for runner, left := range h.board.Suspects(w.clock.now) {
			w.owners.MergePeerSuspicion(runner, left, w.clock.now)
		}
	}
	w.clock.after(suspectsTold, w.tellSuspects)
}

// way is what a message takes between two data centres.
func (w *world) way(from, to string) time.Duration {
	if from == to {
		return millis(w.cfg.LocalMS)
	}
	return millis(w.cfg.FarMS)
}
