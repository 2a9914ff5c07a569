package experiment

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cherrystage/cherrystage/internal/adapters"
	"github.com/cherrystage/cherrystage/internal/board"
	"github.com/cherrystage/cherrystage/internal/fleet"
	"github.com/cherrystage/cherrystage/internal/placing"
	"github.com/cherrystage/cherrystage/internal/quarantine"
	"github.com/cherrystage/cherrystage/internal/reach"
	"github.com/cherrystage/cherrystage/internal/retrybudget"
	"github.com/cherrystage/cherrystage/internal/site"
	"github.com/cherrystage/cherrystage/internal/streams"
	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
)

// Policy selects who decides where requests go.
type Policy string

// The policies.
const (
	// Product is the product's own code.
	Product Policy = "product"
	// WithoutHomes is the product's own code without homes that know replicas: each owner
	// decides alone.
	WithoutHomes Policy = "homeless"
	// Reference knows the state of all engines at any time, without communication.
	Reference Policy = "reference"
)

// Policies returns all policies.
func Policies() []Policy { return []Policy{Product, WithoutHomes, Reference} }

const (
	modelName = "base"
	// orderRoundTrip is the time that an order and its answer take.
	orderRoundTrip = 3 * time.Millisecond
	// endReportDelay is the time from a request's end until the engine's owner learns of it.
	endReportDelay = 100 * time.Millisecond
	// suspicionInterval is how often hosts tell each other which runners they avoid.
	suspicionInterval = 300 * time.Millisecond
	// warmUp is the time for which the controllers run before the load begins.
	warmUp = time.Second
)

var errNoAnswer = errors.New("no answer from the engine")

// simulation is one run.
type simulation struct {
	cfg    Config
	policy Policy
	// demand draws the load and faults the faults, both the same for every policy; choices
	// draws everything else.
	demand, faults, choices *rand.Rand
	// shifts draws the adapters that become popular, badDraws the requests with a bad part.
	shifts, badDraws *rand.Rand
	// versionDraws draws what happens with versions. replaced holds the versions of engines by
	// address where they are not the first, listed the history of the versions that are present.
	versionDraws *rand.Rand
	replaced     map[string]string
	listed       []listedAt
	// contents counts the requests by which the quarantine knows them.
	contents int

	clock  *clock
	store  *weightStore
	result *Result

	hosts       []*host
	engines     []*engine
	byAddress   map[string]*engine
	byID        map[string]*engine
	runners     []*site.Runner
	controllers map[string]*controller
	// ranked caches the order of runners by key until the runners change.
	ranked map[string][]*site.Runner
	// load counts the requests that owners have admitted to each runner and that, as far as
	// the owners know, have not ended.
	load map[string]int
	// ownerBoard is the owners' view of the runners' health; loadTimes is what each host has
	// learnt about load times.
	ownerBoard *board.Board
	loadTimes  map[string]*adapters.LoadTimes
	fetchedTo  map[adapters.Key]map[string]bool
	// popularity maps popularity ranks to adapters.
	popularity []int
	// loss is the loss of engines of a drill; nil outside of drills, with a share of 0 in the run
	// of a drill with all engines.
	loss      *FaultConfig
	instances int
	started   time.Time
	hostsDown bool
	// cut is the cut of hosts from runners that is in progress, nil if there is none.
	cut *cut
	// firstDelay delays the first event of each request that runners get.
	firstDelay time.Duration
	// surging is the adapter of each surge in the configuration.
	surging []int
	// lastAsker is the last request that asked for an adapter, to which a fetch is attributed.
	lastAsker map[adapters.Key]*request
	// firstEvents holds the times from a request to its first event, in milliseconds, by class.
	firstEvents map[string][]float64
	// typical is the prefill time per token of most runners, as of typicalAt.
	typical   float64
	typicalAt time.Time
}

type host struct {
	name    string
	centre  string
	spreads *placing.SpreadEstimator
	board   *board.Board
	budget  *retrybudget.Budget
	paths   *reach.Paths
	// quarantine knows what ends engines.
	quarantine *quarantine.Quarantine
	// versions and origins know which versions began streams; listAsOf is how old the host's list
	// of engines is, generation that of versions when it was last looked at.
	versions   *streams.Versions
	origins    *streams.Origins
	listAsOf   time.Time
	generation int
	// cutOff is set while the host reaches no runner, cuts counts how often that began.
	cutOff bool
	cuts   int
	// stalledUntil is the end of the latest stall of the host. heardAt is when it last heard an event
	// of any runner, heardFrom of each.
	stalledUntil time.Time
	heardAt      time.Time
	heardFrom    map[string]time.Time
}

// controller is a runner's controller and the generation of its next scheduled step.
type controller struct {
	*adapters.Controller
	centre     string
	generation int
}

// Run simulates a configuration under a policy.
func Run(cfg Config, policy Policy) (*Result, error) { return run(cfg, policy, nil) }

// run simulates a configuration under a policy, with the loss of a drill if it isn't nil.
func run(cfg Config, policy Policy, loss *FaultConfig) (*Result, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	sim := newSimulation(cfg, policy, loss)
	sim.schedule()
	end := sim.started.Add(seconds(cfg.LengthS))
	sim.clock.run(end)
	// Requests made before the end may still be answered.
	sim.clock.run(end.Add(seconds(longestDeadline(cfg))))
	sim.result.finish(sim)
	return sim.result, nil
}

func longestDeadline(cfg Config) float64 {
	longest := 0.0
	for _, kind := range cfg.Kinds {
		longest = max(longest, kind.DeadlineS)
	}
	return longest
}

func newSimulation(cfg Config, policy Policy, loss *FaultConfig) *simulation {
	epoch := time.Unix(0, 0)
	sim := &simulation{
		cfg: cfg, policy: policy, clock: &clock{now: epoch},
		demand: rand.New(rand.NewPCG(cfg.Seed, 1)), faults: rand.New(rand.NewPCG(cfg.Seed, 2)), choices: rand.New(rand.NewPCG(cfg.Seed, 3)),
		byAddress: map[string]*engine{}, byID: map[string]*engine{}, controllers: map[string]*controller{},
		ranked: map[string][]*site.Runner{}, load: map[string]int{}, ownerBoard: board.New(), loadTimes: map[string]*adapters.LoadTimes{},
		fetchedTo: map[adapters.Key]map[string]bool{}, started: epoch.Add(warmUp),
	}
	sim.shifts, sim.badDraws = sim.faults, rand.New(rand.NewPCG(cfg.Seed, 6))
	sim.versionDraws, sim.replaced = rand.New(rand.NewPCG(cfg.Seed, 7)), map[string]string{}
	if loss != nil {
		// Otherwise a loss of engines would change which adapters become popular.
		sim.shifts = rand.New(rand.NewPCG(cfg.Seed, 4))
	}
	sim.loss, sim.lastAsker, sim.firstEvents = loss, map[adapters.Key]*request{}, map[string][]float64{}
	sim.result = newResult(cfg, policy)
	sim.store = &weightStore{clock: sim.clock, fullSpeed: cfg.Store.Full, loadTime: millis(cfg.Store.LoadMS), advancedTo: epoch}
	for i := range cfg.Hosts {
		h := &host{name: fmt.Sprintf("h%d", i), centre: sim.dataCentre(i), board: board.New()}
		sim.hosts = append(sim.hosts, h)
	}
	sim.startHosts()
	for i := range cfg.Engines.Count {
		sim.addEngine(fmt.Sprintf("e%d:1", i), sim.dataCentre(i))
	}
	sim.popularity = make([]int, cfg.Demand.Adapters)
	for i := range sim.popularity {
		sim.popularity[i] = i
	}
	sim.demand.Shuffle(len(sim.popularity), func(i, j int) { sim.popularity[i], sim.popularity[j] = sim.popularity[j], sim.popularity[i] })
	for range cfg.Surges {
		sim.surging = append(sim.surging, sim.demand.IntN(cfg.Demand.Adapters))
	}
	return sim
}

func (sim *simulation) dataCentre(i int) string { return fmt.Sprintf("c%d", i%sim.cfg.DataCentres) }

// startHosts gives every host an empty state.
func (sim *simulation) startHosts() {
	limit := retrybudget.Limit{Ratio: sim.cfg.Retries.Ratio, Slack: sim.cfg.Retries.Slack, Window: seconds(sim.cfg.Retries.WindowS)}
	for _, h := range sim.hosts {
		h.spreads = placing.NewSpreadEstimator()
		h.board = board.New()
		h.paths = reach.NewPaths()
		h.quarantine = quarantine.New()
		h.budget = retrybudget.New(limit, sim.clock.now)
	}
}

func (sim *simulation) addEngine(address, centre string) {
	sim.instances++
	id := fmt.Sprintf("i%d", sim.instances)
	runner := &site.Runner{ID: id, Instance: id, Address: address, DataCentre: centre, Slots: sim.cfg.Engines.Slots, SoftwareVersion: sim.versionOf(address)}
	e := newEngine(sim, sim.cfg.Engines, runner)
	sim.engines = append(sim.engines, e)
	sim.byAddress[address] = e
	sim.byID[runner.ID] = e
	sim.scheduleSlowdown(e)
	sim.listRunners()
	sim.startController(runner)
}

// listRunners updates the list of runners to the engines that are present.
func (sim *simulation) listRunners() {
	sim.runners = sim.runners[:0:0]
	for _, e := range sim.engines {
		if !e.gone {
			sim.runners = append(sim.runners, e.runner)
		}
	}
	sim.ranked = map[string][]*site.Runner{}
	if sim.resumable() {
		sim.noteVersions()
	}
}

func (sim *simulation) rankRunners(key string) []*site.Runner {
	if known := sim.ranked[key]; known != nil {
		return known
	}
	byAddress := make(map[string]*site.Runner, len(sim.runners))
	addresses := make([]string, 0, len(sim.runners))
	for _, runner := range sim.runners {
		byAddress[runner.Address] = runner
		addresses = append(addresses, runner.Address)
	}
	sorted := make([]*site.Runner, 0, len(sim.runners))
	for _, address := range fleet.Rank(key, addresses) {
		sorted = append(sorted, byAddress[address])
	}
	sim.ranked[key] = sorted
	return sorted
}

// soleOwner implements adapters.Authority: the ownership of runners is not simulated.
type soleOwner struct{}

func (soleOwner) Owns(string, time.Time) bool { return true }

func (soleOwner) MayOrder(string, time.Time) (uint64, bool) { return 1, true }

// startController starts the controller of a runner's owner.
func (sim *simulation) startController(runner *site.Runner) {
	if sim.policy == Reference {
		return
	}
	spec := adapters.Spec{Model: site.Model{Name: modelName}, Capacity: sim.cfg.Engines.Places, LoadsPerSecond: sim.cfg.Store.LoadsPerS}
	c := &controller{centre: runner.DataCentre, Controller: adapters.NewController(runner, spec, adapters.ControllerDeps{
		OnSignal: func(string, *board.Signal) {},
		Holder:   "owner", Engines: engineAPI{sim}, Authority: soleOwner{}, Reaches: sim.ownerReaches, Times: sim.ownerLoadTimes(runner), StoreLoad: sim.storeLoad, RunnerView: sim.ownerView, Utilization: sim.utilization, TypicalPrefill: sim.typicalPrefill, Contended: sim.contended,
		ModelLoads: adapters.NewModelLoadLimiter(adapters.ModelLoadLimit{}), HostCount: func() int { return sim.cfg.Hosts },
		Now: func() time.Time { return sim.clock.now }, Log: hclog.NewNullLogger(),
	})}
	sim.controllers[runner.ID] = c
	sim.scheduleStep(c, 0)
}

// ownerLoadTimes returns what the owner of a runner has learnt about load times.
func (sim *simulation) ownerLoadTimes(runner *site.Runner) *adapters.LoadTimes {
	owner := sim.ownerName(runner.Address)
	if sim.loadTimes[owner] == nil {
		sim.loadTimes[owner] = adapters.NewLoadTimes()
	}
	return sim.loadTimes[owner]
}

// scheduleStep schedules a controller's next step after a pause, in place of the one that was
// scheduled before.
func (sim *simulation) scheduleStep(c *controller, pause time.Duration) {
	c.generation++
	generation := c.generation
	sim.clock.after(pause, func() {
		if c.generation != generation {
			return
		}
		orders := sim.result.Orders
		pause := c.Step(context.Background())
		if sim.result.Orders != orders {
			pause = max(pause, orderRoundTrip)
		}
		sim.scheduleStep(c, max(pause, time.Microsecond))
	})
}

func (sim *simulation) storeLoad() adapters.StoreLoad {
	share := adapters.FetchCapacityPerRunner(sim.cfg.Store.LoadsPerS, len(sim.runners))
	return adapters.StoreLoad{Fetches: len(sim.store.active), Capacity: share * float64(len(sim.runners)), PerRunner: share}
}

// ownerView returns the owners' view of a runner.
func (sim *simulation) ownerView(runner string, now time.Time) board.View {
	view := sim.ownerBoard.View(runner, now)
	view.Load = sim.load[runner]
	return view
}

func (sim *simulation) utilization() float64 {
	total := 0
	for _, runner := range sim.runners {
		total += sim.load[runner.ID]
	}
	return float64(total) / float64(max(1, len(sim.runners)*sim.cfg.Engines.Slots))
}

func (sim *simulation) recordFetch(runner string, key adapters.Key) {
	sim.result.countFetch(sim.lastAsker[key])
	if slices.ContainsFunc(sim.surging, func(adapter int) bool { return adapterName(adapter) == key.Name }) {
		sim.result.SurgingFetches++
	}
	runners := sim.fetchedTo[key]
	if runners == nil {
		runners = map[string]bool{}
		sim.fetchedTo[key] = runners
	}
	runners[runner] = true
}

// schedule schedules the load and the faults.
func (sim *simulation) schedule() {
	sim.clock.at(sim.started, func() {
		for i := range sim.cfg.Kinds {
			sim.generateRequests(&sim.cfg.Kinds[i])
		}
	})
	for _, shift := range sim.cfg.Shifts {
		sim.clock.at(sim.started.Add(seconds(shift.AtS)), func() { sim.shift(shift.Count) })
	}
	if sim.loss != nil && sim.loss.Share > 0 {
		sim.clock.at(sim.started.Add(seconds(sim.loss.AtS)), func() { sim.crashEngines(*sim.loss) })
	}
	for _, crash := range sim.cfg.Crashes {
		sim.clock.at(sim.started.Add(seconds(crash.AtS)), func() { sim.crashEngines(crash) })
	}
	for _, silence := range sim.cfg.Silences {
		sim.clock.at(sim.started.Add(seconds(silence.AtS)), func() { sim.silenceEngines(silence) })
	}
	for _, stall := range sim.cfg.Stalls {
		sim.scheduleStalls(stall)
	}
	for _, cut := range sim.cfg.Cuts {
		sim.clock.at(sim.started.Add(seconds(cut.AtS)), func() { sim.cutHosts(cut) })
	}
	if sim.resumable() {
		sim.startVersions()
	}
	for i, replacement := range sim.cfg.Versions {
		sim.clock.at(sim.started.Add(seconds(replacement.AtS)), func() { sim.replaceEngines(replacement, i) })
	}
	for _, bad := range sim.cfg.BadParts {
		begins := sim.started.Add(seconds(bad.AtS))
		sim.clock.at(begins, func() { sim.generateBadRequests(bad, begins.Add(seconds(bad.ForS))) })
	}
	for _, loss := range sim.cfg.Losses {
		sim.clock.at(sim.started.Add(seconds(loss.AtS)), func() { sim.stopHosts(loss) })
	}
	sim.clock.after(suspicionInterval, sim.shareSuspicions)
	if sim.contended() {
		sim.clock.after(planInterval, sim.planReplicas)
		sim.clock.after(reportInterval, sim.reportDemand)
	}
}

// shift exchanges the most popular adapters with random others.
func (sim *simulation) shift(count int) {
	for i := range min(count, len(sim.popularity)) {
		j := sim.shifts.IntN(len(sim.popularity))
		sim.popularity[i], sim.popularity[j] = sim.popularity[j], sim.popularity[i]
	}
}

// drawEngines draws a share of the engines that are present, at least one.
func (sim *simulation) drawEngines(share float64) []*engine {
	var present []*engine
	for _, e := range sim.engines {
		if !e.gone {
			present = append(present, e)
		}
	}
	sim.faults.Shuffle(len(present), func(i, j int) { present[i], present[j] = present[j], present[i] })
	count := max(1, int(math.Round(share*float64(len(present)))))
	return present[:min(count, len(present))]
}

func (sim *simulation) crashEngines(fault FaultConfig) {
	var lost []adapters.AheadLoad
	for _, e := range sim.drawEngines(fault.Share) {
		e.crash()
		if c := sim.controllers[e.runner.ID]; c != nil {
			lost = append(lost, c.LostAdapters(nil)...)
		}
		sim.removeInstance(e.runner.ID)
		sim.clock.after(seconds(fault.ForS), func() { sim.addEngine(e.runner.Address, e.runner.DataCentre) })
	}
	sim.listRunners()
	if len(lost) > 0 {
		sim.recover(lost, recoveryAttempts)
	}
}

// removeInstance removes a runner's instance and tells the other controllers.
func (sim *simulation) removeInstance(runner string) {
	if c := sim.controllers[runner]; c != nil {
		c.generation++
		delete(sim.controllers, runner)
	}
	for _, c := range sim.controllers {
		c.RunnerRemoved(runner)
	}
	delete(sim.load, runner)
}

func (sim *simulation) silenceEngines(fault FaultConfig) {
	for _, e := range sim.drawEngines(fault.Share) {
		e.silent = true
		sim.clock.after(seconds(fault.ForS), func() {
			e.silent = false
			e.startStep()
		})
	}
}

// stopHosts stops all hosts and later restarts them without any state.
func (sim *simulation) stopHosts(fault FaultConfig) {
	sim.hostsDown = true
	for _, e := range sim.engines {
		for _, r := range append(append([]*engineRun(nil), e.running...), e.waiting...) {
			r.ended(false)
		}
		e.running, e.waiting = nil, nil
		e.finishEvictions()
	}
	sim.clock.after(seconds(fault.ForS), func() {
		sim.hostsDown = false
		sim.startHosts()
		sim.ownerBoard = board.New()
		sim.loadTimes = map[string]*adapters.LoadTimes{}
		sim.load = map[string]int{}
		for _, runner := range sim.runners {
			sim.removeInstance(runner.ID)
			sim.startController(runner)
		}
		sim.clock.after(rehomeDelay, sim.rehome)
	})
}

// rehomeDelay is the time from a restart of all hosts until homes know what other runners hold.
const rehomeDelay = time.Second

// rehome tells homes which of their adapters other runners hold.
func (sim *simulation) rehome() {
	if sim.policy != Product {
		return
	}
	for _, runner := range sim.runners {
		for key := range sim.byID[runner.ID].held {
			if home := sim.rankRunners(key.PlacementKey())[0]; home != runner {
				sim.controllers[home.ID].AddReplica(key, runner.ID)
			}
		}
	}
}

func (sim *simulation) shareSuspicions() {
	for _, h := range sim.hosts {
		for runner, left := range h.board.Suspects(sim.clock.now) {
			if e := sim.byID[runner]; e != nil && !h.paths.Works(e.runner.Address) {
				continue
			}
			sim.ownerBoard.MergePeerSuspicion(runner, left, sim.clock.now)
		}
	}
	sim.clock.after(suspicionInterval, sim.shareSuspicions)
}

// latency returns the one-way latency between two data centres.
func (sim *simulation) latency(from, to string) time.Duration {
	if from == to {
		return millis(sim.cfg.LocalMS)
	}
	return millis(sim.cfg.FarMS)
}
