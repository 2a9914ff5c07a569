// Package entry assembles an entry host, which proxies callers' requests to runners.
// It connects the request path to the platform's store and to the peer hosts.
package entry

import (
	"cmp"
	"context"
	"crypto/rand"
	"encoding/hex"
	"expvar"
	"net"
	"sync/atomic"
	"time"

	"github.com/cherrystage/cherrystage/internal/adapters"
	"github.com/cherrystage/cherrystage/internal/answer"
	"github.com/cherrystage/cherrystage/internal/awake"
	"github.com/cherrystage/cherrystage/internal/board"
	"github.com/cherrystage/cherrystage/internal/callerconn"
	"github.com/cherrystage/cherrystage/internal/contention"
	"github.com/cherrystage/cherrystage/internal/directory"
	"github.com/cherrystage/cherrystage/internal/forward"
	"github.com/cherrystage/cherrystage/internal/ingress"
	"github.com/cherrystage/cherrystage/internal/membudget"
	"github.com/cherrystage/cherrystage/internal/mesh"
	"github.com/cherrystage/cherrystage/internal/peer"
	"github.com/cherrystage/cherrystage/internal/quota"
	"github.com/cherrystage/cherrystage/internal/reach"
	"github.com/cherrystage/cherrystage/internal/registry"
	"github.com/cherrystage/cherrystage/internal/retrybudget"
	"github.com/cherrystage/cherrystage/internal/serve"
	"github.com/cherrystage/cherrystage/internal/site"
	"github.com/cherrystage/cherrystage/internal/standstill"
	"github.com/cherrystage/cherrystage/internal/timing"
	"github.com/hashicorp/go-hclog"
)

// Platform holds the platform-specific dependencies of a host.
type Platform struct {
	Store   registry.Store
	Decoder directory.Decoder
	Dialect forward.Dialect
	// Engines returns the client for orders and reports, given the paths to runners.
	Engines func(paths RunnerPaths) adapters.Engines
	// Record kinds in the platform's store.
	ConfigKind, RunnerKind, VersionKind string
}

// RunnerPaths are the ways to connect to runners.
type RunnerPaths struct {
	Direct, Relayed DialFunc
	// UseRelay reports whether to connect to a runner through another host.
	UseRelay func(address string) bool
}

// Config configures a host.
type Config struct {
	Host       string
	DataCentre string
	// PeerAddress is the address at which peers reach this host.
	PeerAddress string
	// RelayPort is the port on which every host relays connections to runners for the others,
	// "" if no host does.
	RelayPort string
	// Seeds are the addresses of hosts that a new process contacts first.
	Seeds          []string
	PeerKey        []byte
	OrderGap       time.Duration
	ShutdownGrace  time.Duration
	RetryLimit     retrybudget.Limit
	QuotaTolerance quota.Tolerance
	LoadLimit      adapters.ModelLoadLimit
	// HeldBytes bounds the bodies and answers that requests keep at a time, in bytes; 0 stands for
	// defaultHeldBytes.
	HeldBytes int64
}

// defaultHeldBytes is the bound of a host without a memory limit.
const defaultHeldBytes = 256 << 20

// DialFunc opens connections.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dialers open connections to other hosts and to runners.
type Dialers struct{ Hosts, Runners DialFunc }

// Entry is one entry host. It is safe for concurrent use.
type Entry struct {
	cfg            Config
	log            hclog.Logger
	now            func() time.Time
	directory      *directory.Directory
	followers      []*registry.Follower
	board          *board.Board
	state          *mesh.State
	mesh           *mesh.Service
	owner          *adapters.Owner
	owners         *ownerClient
	replicator     *replicator
	quarantineSync *quarantineSync
	streams        *streamOrigins
	quotas         *quotaManager
	backpressure   *backpressure
	slots          *slotManager
	server         *serve.Server
	client         *forward.Client
	connector      *reach.Connector
	relay          *reach.Relay
	ingress        *ingress.Ingress
	callerServer   *callerconn.Server
	pressure       ingress.Pressure
	standstill     standstill.Monitor
	peerServer     *peer.Server
	started        time.Time
	stopping       atomic.Bool
	rejecting      atomic.Bool
	ready          atomic.Bool
	wake           chan struct{}
	openRequests   atomic.Int64
	grace          atomic.Int64

	// requestCounts and contentionSources fill the metrics page's part on contention.
	requestCounts     *contention.Counters
	contentionSources contention.Sources
}

// watchSchedule sets how often a kind of record is watched.
type watchSchedule struct {
	// maxWait bounds one watch call; minInterval is the least time between two.
	maxWait, minInterval time.Duration
	// maxAge is the age at which a host stops relying on records relayed by peers
	// and asks the store itself.
	maxAge time.Duration
}

// A configuration must be in force, and a leaving runner avoided, within two
// seconds; a new version must be in force within five. A change that the watch
// misses is seen after maxWait by the hosts that watch, and after maxAge by a host
// that no peer informs. Runner entries change several times a second, with every
// adapter loaded or evicted; at one call per change and host they accounted for
// four fifths of all store calls, hence their longer minInterval.
var (
	configWatch  = watchSchedule{maxWait: 800 * time.Millisecond, minInterval: 200 * time.Millisecond, maxAge: 1500 * time.Millisecond}
	runnerWatch  = watchSchedule{maxWait: 800 * time.Millisecond, minInterval: 800 * time.Millisecond, maxAge: 1600 * time.Millisecond}
	versionWatch = watchSchedule{maxWait: 2 * time.Second, minInterval: 500 * time.Millisecond, maxAge: 3500 * time.Millisecond}
	fleetWatch   = watchSchedule{maxWait: 2 * time.Second, minInterval: 300 * time.Millisecond, maxAge: 4 * time.Second}
)

// reconcileInterval is how often owned runners and readiness are checked without
// a change event.
const reconcileInterval = 100 * time.Millisecond

// New assembles a host. Nothing runs until Background, ServeCallers and ServePeers
// are called.
func New(cfg Config, platform Platform, dial Dialers, now func() time.Time, log hclog.Logger) *Entry {
	e := &Entry{cfg: cfg, log: log, now: now, started: now(), wake: make(chan struct{}, 1)}
	e.grace.Store(int64(cfg.ShutdownGrace))
	e.requestCounts = contention.NewCounters()
	e.contentionSources = contention.Sources{Adapters: e.adapterStates, Evictions: e.evictions, Runners: e.runnerStates, Slots: e.slotLedgerStates}
	identity := peer.Identity{Host: cfg.Host, Incarnation: newIncarnation()}
	running := awake.Clock{Now: now, Standstill: &e.standstill}
	pool := peer.NewPool(identity, cfg.PeerKey, peer.Dialer(dial.Hosts), log)
	pool.Clock = running
	e.directory = directory.New(platform.Decoder, now, log)
	e.directory.Standstill = &e.standstill
	e.directory.OnRunner = func(runner *site.Runner, gone bool) { e.runnerChanged(runner, gone) }
	e.directory.OnVersion = func(version site.AdapterVersion) { go e.prefetchVersion(version) }
	e.board = board.New()
	e.board.Standstill = &e.standstill
	e.state = mesh.NewState(cfg.Host, mesh.Timing{Lease: mesh.DefaultLease, OrderGap: cfg.OrderGap, Margin: mesh.DefaultMargin, MaxStoreSilence: mesh.DefaultMaxStoreSilence}, now())
	e.state.Standstill = &e.standstill
	e.createPaths(dial, running)
	e.backpressure = newBackpressure(cfg.Host, e.state, pool, e.board, e.directory, now, log)
	e.owners = newOwnerClient(cfg.Host, e.state, pool, e.board, now, log)
	e.owners.brittle, e.owners.directory = e.backpressure.brittle, e.directory
	e.quarantineSync = newQuarantineSync(cfg.Host, e.state, pool, platform.Store, e.board, now, log)
	e.streams = newStreamOrigins(cfg.Host, e.state, pool, platform.Store, now, log)
	e.quotas = newQuotaManager(cfg.Host, e.state, pool, e.directory, cfg.QuotaTolerance, now, log)
	e.slots = newSlotManager(identity, e.state, pool, newSlotLedgers(e.state, e.board, e.backpressure.brittle, e.directory, now, log), now, log)
	e.quotas.running, e.slots.running = running, running
	statuses := &peerStatuses{
		board: e.board, directory: e.directory, paths: e.connector.Paths, standstill: &e.standstill, now: now, log: log, peers: map[string]receivedStatus{},
		localDigest: e.quarantineSync.quarantine.Digest, onDigest: e.quarantineSync.onPeerDigest, onLimit: e.backpressure.applyPeerLimit,
		brittle: func() []board.BrittleReport { return e.backpressure.brittle.Reports(now()) }, onBrittle: e.backpressure.applyPeerBrittle, onLeaving: e.backpressure.applyPeerLeaving,
	}
	engines := platform.Engines(RunnerPaths{Direct: e.connector.DialDirect, Relayed: e.connector.DialRelayed, UseRelay: e.usesRelay})
	e.owner = adapters.NewOwner(adapters.OwnerDeps{
		Host: cfg.Host, Authority: e.state, Reaches: e.connector.Paths.Works,
		Engines: engines, Owns: e.owns, PeerFetches: statuses.peersInTransit, RunnerView: e.board.View, Utilization: statuses.utilization, TypicalPrefill: statuses.typicalPromptTokenNS,
		HostCount: e.state.Size, Brittle: e.backpressure.isBrittle, ModelLoads: cfg.LoadLimit, Contended: e.contended, OnRestart: e.directory.MarkRestarted, OnSignal: e.backpressure.applyEngineSignal, OnWork: e.board.RecordWork, Now: now, Log: log,
	})
	e.owners.owner, e.owners.ownerless.report = e.owner, engines.Report
	e.replicator = newReplicator(e.owner, e.owners, e.board, e.contended, now)
	statuses.owner = e.owner
	e.mesh = mesh.NewService(mesh.Deps{
		Self: identity, Address: cfg.PeerAddress, Seeds: cfg.Seeds, DataCentre: cfg.DataCentre, State: e.state, Store: platform.Store,
		Kinds: map[string]*registry.Replica{
			platform.ConfigKind:  e.directory.Configs,
			platform.RunnerKind:  e.directory.Runners,
			platform.VersionKind: e.directory.Versions,
		},
		Pool: pool, Statuses: statuses, Runners: e.engineRunners, Reach: e.reachesOwned, OtherChanges: e.applyOtherRecords, Now: now, Log: log,
	})
	e.quarantineSync.liveness, e.quarantineSync.quarantine.Standstill = e.runnerLiveness, &e.standstill
	e.quarantineSync.broadcast, e.quarantineSync.records = e.mesh.HeartbeatNow, e.mesh.Fleet()
	e.streams.records = e.mesh.Fleet()
	e.streams.age = func() time.Duration { return e.mesh.Age(platform.RunnerKind) }
	e.streams.recordsAge = func() time.Duration { return e.mesh.Age(mesh.Kind) }
	e.createFollowers(platform)
	mux := peer.NewMux()
	e.mesh.Register(mux)
	e.owners.register(mux)
	e.quarantineSync.register(mux)
	e.streams.register(mux)
	e.quotas.register(mux)
	e.backpressure.register(mux)
	e.slots.ledgers.register(mux)
	e.peerServer = peer.NewServer(identity, cfg.PeerKey, mux, log)
	e.client = forward.NewClient(platform.Dialect, e.connector)
	memory := membudget.New(cmp.Or(cfg.HeldBytes, defaultHeldBytes))
	e.server = serve.New(serve.Deps{
		DataCentre: cfg.DataCentre, Directory: e.directory, Board: e.board, Owners: e.owners, Backpressure: e.backpressure,
		Client: e.client, Quarantine: e.quarantineSync.quarantine, RetryLimit: cfg.RetryLimit, Quotas: e.quotas, Ages: func() (config, runners time.Duration) {
			return e.mesh.Age(platform.ConfigKind), e.mesh.Age(platform.RunnerKind)
		}, HostCount: e.sharingHosts, Slots: e.slots, Streams: e.streams, Brittle: e.backpressure.isBrittle, Contention: e.requestCounts, Standstill: &e.standstill, Memory: memory,
		Answers: func(ctx context.Context, address string) bool {
			_, err := engines.Report(ctx, address)
			return err == nil
		},
		SameProcess: processCheck(engines),
		Now:         now, Log: log,
	})
	e.ingress = &ingress.Ingress{
		Dialect: platform.Dialect, Directory: e.directory, Serve: e.serve, Now: now, Log: log, Closing: e.stopping.Load, Refusing: e.rejecting.Load, Memory: memory,
		ConfigAge: func() time.Duration { return e.mesh.Age(platform.ConfigKind) },
	}
	e.callerServer = e.ingress.Server()
	return e
}

// applyOtherRecords applies records of the fleet's kind that are neither of hosts nor of owners.
func (e *Entry) applyOtherRecords(changes []registry.Change) {
	e.quarantineSync.applyRecords(changes)
	e.streams.applyRecords(changes)
}

// sharingHosts returns the number of hosts among which deployment-wide bounds are
// shared, 0 until the store or a peer has provided the host list.
func (e *Entry) sharingHosts() int {
	if e.mesh.Fleet().Revision() == 0 {
		return 0
	}
	return e.state.Size()
}

// workAnnouncementTTL is how long after a runner announced its work time the deployment counts as
// one with uneven runners.
const workAnnouncementTTL = time.Minute

// contended reports whether the deployment calls for scheduling under contention: its configuration
// orders requests by priority, or its runners announce their work time.
func (e *Entry) contended() bool {
	config := e.directory.Snapshot().Config
	return config != nil && config.OrdersByPriority() || e.board.WorkAnnouncedWithin(workAnnouncementTTL, e.now())
}

// configVersion returns the version of the configuration in force, 0 if there is none.
func (e *Entry) configVersion() int64 {
	if config := e.directory.Snapshot().Config; config != nil {
		return config.Version
	}
	return 0
}

func newIncarnation() string {
	var raw [8]byte
	_, _ = rand.Read(raw[:])
	return hex.EncodeToString(raw[:])
}

func (e *Entry) createFollowers(platform Platform) {
	newFollower := func(kind string, sink registry.Sink, schedule watchSchedule) *registry.Follower {
		return &registry.Follower{
			Store: platform.Store, Kind: kind, Sink: sink, Wait: schedule.maxWait, MinInterval: schedule.minInterval, Now: e.now, Log: e.log,
			WatchDelay:    func() time.Duration { return e.mesh.WatchDelay(kind, schedule.maxAge) },
			OnWatch:       func() { e.mesh.WatchBegins(kind, schedule.maxWait) },
			MaxRetryPause: func() time.Duration { return e.mesh.MaxRetryPause(kind) },
			OnConfirmed:   func(asOf time.Time) { e.mesh.Confirmed(kind, asOf) },
		}
	}
	runners := newFollower(platform.RunnerKind, e.directory.Runners, runnerWatch)
	runners.OnOutageEnd = e.outageEnded
	versions := newFollower(platform.VersionKind, e.directory.Versions, versionWatch)
	for kind, follower := range map[string]*registry.Follower{platform.RunnerKind: runners, platform.VersionKind: versions} {
		// Learning of a runner or a version a moment late costs a request one more
		// attempt; a late configuration or host may cost more.
		follower.OnStaleList = func() { e.mesh.ListedStale(kind) }
	}
	fleet := newFollower(mesh.Kind, e.mesh.Fleet(), fleetWatch)
	for _, follower := range []*registry.Follower{runners, versions, fleet} {
		follower.DeferList = func() bool { return e.directory.Configs.Revision() == 0 }
	}
	e.followers = []*registry.Follower{newFollower(platform.ConfigKind, e.directory.Configs, configWatch), runners, versions, fleet}
}

// maxHarmlessOutage is the length up to which an outage of the store cannot let a
// runner's entry expire: entries live for three heartbeats of a runner.
const maxHarmlessOutage = time.Second

func (e *Entry) outageEnded(length time.Duration) {
	if length >= maxHarmlessOutage {
		e.directory.OutageEnded()
	}
}

func (e *Entry) owns(address string) bool {
	host, ok := e.state.OwnerOf(address)
	return ok && host == e.cfg.Host
}

// engineRunners returns the runners that need an owner.
func (e *Entry) engineRunners() []mesh.Runner {
	snapshot := e.directory.Snapshot()
	if snapshot.Config == nil {
		return nil
	}
	var needOwner []mesh.Runner
	for name, runners := range snapshot.ByService {
		service := snapshot.Config.Services[name]
		if service == nil || service.Engine == nil {
			continue
		}
		for _, runner := range runners {
			needOwner = append(needOwner, mesh.Runner{Address: runner.Address, DataCentre: runner.DataCentre})
		}
	}
	return needOwner
}

func (e *Entry) runnerChanged(runner *site.Runner, gone bool) {
	if gone || runner.Leaving {
		e.replicator.runnerLost(runner, gone, e.directory.Snapshot)
	}
	if gone {
		e.board.Forget(runner.ID, e.now())
		e.owners.forget(runner.ID)
		e.owner.RunnerRemoved(runner.ID)
	}
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// prefetchVersion loads the new version of an adapter in use on the runner that its
// requests will be routed to, since the first of them would otherwise wait a quarter
// of a second. Each host that owns a runner with the adapter does so.
func (e *Entry) prefetchVersion(version site.AdapterVersion) {
	snapshot := e.directory.Snapshot()
	key := adapters.Key{Adapter: version.Adapter, Version: version.Version}
	for service, runners := range snapshot.ByService {
		if !snapshot.IsEngine(service) || !e.holdsAny(runners, version.Adapter) {
			continue
		}
		if ranked := serve.RankRunners(key.PlacementKey(), serve.WithModel(runners, key.Model)); len(ranked) > 0 {
			e.log.Info("prefetching new adapter version", "adapter", key.String(), "version", key.Version, "runner", ranked[0].ID)
			e.owners.prefetch(context.Background(), ranked[0], key)
		}
	}
}

func (e *Entry) holdsAny(runners []*site.Runner, adapter site.Adapter) bool {
	for _, runner := range runners {
		if controller, ok := e.owner.Controller(runner.ID); ok && controller.Holds(adapter) {
			return true
		}
	}
	return false
}

func (e *Entry) serve(ctx context.Context, w *answer.Writer, config *site.Config, route *site.Route, request *forward.Request, arrived time.Time) {
	e.openRequests.Add(1)
	defer e.openRequests.Add(-1)
	e.server.Serve(ctx, w, config, route, request, arrived)
}

// Background runs the host's watches, peer exchange and reconciliation until ctx is done.
func (e *Entry) Background(ctx context.Context) {
	go timing.Every(ctx, standstill.Interval, e.observeStandstill)
	for _, follower := range e.followers {
		go follower.Run(ctx)
	}
	go e.mesh.Run(ctx)
	go e.quarantineSync.run(ctx)
	go e.streams.run(ctx)
	go e.quotas.run(ctx)
	go e.backpressure.run(ctx)
	go e.slots.ledgers.run(ctx)
	go e.connector.Run(ctx)
	go timing.Every(ctx, outcomeInterval, func() {
		e.probeSilentRunners(ctx)
		e.owners.reportOutcomes(ctx, e.directory.Snapshot().Runners)
		e.owners.reportBrittleOutcomes(ctx)
	})
	notifier := newHomeNotifier(e.owner, e.owners)
	go timing.Every(ctx, homeNotifyInterval, func() { notifier.run(ctx, e.directory.Snapshot()) })
	go timing.Every(ctx, homeNotifyInterval, func() { e.replicator.report(ctx, e.directory.Snapshot()) })
	go timing.Every(ctx, planInterval, func() { e.replicator.plan(ctx, e.directory.Snapshot()) })
	for ctx.Err() == nil {
		e.directory.Expire()
		asOf := e.streams.asOf(e.now())
		snapshot := e.directory.Snapshot()
		e.streams.observe(snapshot, asOf)
		if snapshot.Config != nil {
			e.owner.Reconcile(ctx, snapshot.Config, snapshot.ByService)
		}
		e.updateReadiness(snapshot)
		e.waitForChange(ctx)
	}
}

// loggedStandstill is the length from which a standstill is logged: that of the shortest silence from
// which a host draws a conclusion.
const loggedStandstill = 300 * time.Millisecond

// observeStandstill records that this process is running, and logs for how long it did not.
func (e *Entry) observeStandstill() {
	if stood := e.standstill.Tick(e.now()); stood >= loggedStandstill {
		e.log.Warn("this host stood still", "stood_still_ms", stood.Milliseconds(), "requests", e.openRequests.Load(), "config", e.configVersion())
	}
}

// waitForChange waits for a change, or for reconcileInterval. How late its timer fires tells whether
// the host gets too little processor time.
func (e *Entry) waitForChange(ctx context.Context) {
	due := time.Now().Add(reconcileInterval)
	timer := time.NewTimer(reconcileInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-e.wake:
	case <-timer.C:
		if late := time.Since(due); e.pressure.Observe(late) {
			e.log.Warn("overload changed", "overloaded", e.pressure.High(), "late_ms", late.Milliseconds(), "requests", e.openRequests.Load(), "connections_shed", e.pressure.Shed.Load())
		}
	}
}

// updateReadiness marks the host ready once it has a configuration and runners.
func (e *Entry) updateReadiness(snapshot *directory.Snapshot) {
	ready := snapshot.Config != nil && len(snapshot.Runners) > 0 && !e.stopping.Load()
	if e.ready.Swap(ready) != ready {
		e.log.Info("readiness changed", "ready", ready, "config_known", snapshot.Config != nil, "runners", len(snapshot.Runners))
	}
}

// Ready reports whether the load balancer should send callers to this host.
func (e *Entry) Ready() bool { return e.ready.Load() && !e.stopping.Load() }

// ServeCallers serves callers on listener until Shutdown.
func (e *Entry) ServeCallers(listener net.Listener) error {
	return e.callerServer.Serve(e.pressure.WrapListener(listener))
}

// ServePeers serves the other hosts until listener is closed.
func (e *Entry) ServePeers(listener net.Listener) error { return e.peerServer.Serve(listener) }

const (
	// drainNotice is how long new connections still arrive after shutdown begins:
	// the balancer probes once a second and removes a host after two failed probes.
	drainNotice = 2500 * time.Millisecond
	// exitMargin is left before the platform kills the process.
	exitMargin = 300 * time.Millisecond
)

// Shutdown stops accepting callers and waits for the requests in flight, within the
// platform's grace period.
//
// Requests are still served while the balancer sends new connections. After that,
// the listener and idle connections are closed, and new requests on open connections
// are refused: a stream begun then would not finish before the process exits.
func (e *Entry) Shutdown(ctx context.Context) {
	start := e.now()
	e.stopping.Store(true)
	e.ready.Store(false)
	timing.Sleep(ctx, drainNotice)
	e.rejecting.Store(true)
	e.relay.Close()
	grace := time.Duration(e.grace.Load()) - exitMargin - e.now().Sub(start)
	shutdownCtx, cancel := context.WithTimeout(ctx, max(0, grace))
	defer cancel()
	if left, err := e.callerServer.Shutdown(shutdownCtx); err != nil {
		e.log.Warn("requests aborted: the shutdown grace period ended", "requests", left, "error", err.Error())
	}
	e.drainTunnels(shutdownCtx)
	e.log.Info("requests drained", "left", e.openRequests.Load(), "took_ms", e.now().Sub(start).Milliseconds())
}

func (e *Entry) standstillCount() int64 {
	count, _ := e.standstill.Totals()
	return count
}

func (e *Entry) standstillMS() int64 {
	_, total := e.standstill.Totals()
	return total.Milliseconds()
}

// SetShutdownGrace changes the grace period, which may change while the process runs.
// The order gap and the retry budget's share are agreed between processes and stay
// fixed for the life of a process.
func (e *Entry) SetShutdownGrace(grace time.Duration) { e.grace.Store(int64(grace)) }

// Vars returns the metrics.
func (e *Entry) Vars() *expvar.Map {
	vars := new(expvar.Map).Init()
	counters := &e.server.Counters
	for name, value := range map[string]func() int64{
		"requests_open":       e.openRequests.Load,
		"requests_served":     counters.Served.Load,
		"requests_refused":    counters.Refused.Load,
		"requests_failed":     counters.Failed.Load,
		"requests_left":       counters.Canceled.Load,
		"requests_unanswered": e.ingress.Unanswered.Load,
		"retries_denied":      counters.RetriesDenied.Load,
		"quarantine_refused":  counters.Quarantined.Load,
		"quota_refused":       counters.OverQuota.Load,
		"streams_continued":   counters.StreamsContinued.Load,
		"origins_unknown":     counters.OriginsUnknown.Load,
		"streams_cut":         counters.StreamsCut.Load,
		"ends_shown":          counters.EndsShown.Load,
		"ends_not_shown":      counters.EndsNotShown.Load,
		"hedges":              counters.Hedges.Load,
		"standstills":         e.standstillCount,
		"standstill_ms":       e.standstillMS,
		"origins_asked":       e.streams.asked.Load,
		"origins_told":        e.streams.announced.Load,
		"origins_untold":      e.streams.unannounced.Load,
		"connections_dialed":  e.connector.Dialed,
		"connections_shed":    e.pressure.Shed.Load,
		"connections_probed":  e.connector.Probes,
		"tunnels_used":        e.connector.Relayed,
		"tunnels_open":        e.relay.Open,
		"tunnels_served":      e.relay.Opened,
		"tunnels_refused":     e.relay.Refused,
		"paths_failing":       func() int64 { return int64(len(e.connector.Paths.Failing())) },
		"limit_granted":       e.backpressure.granted.Load,
		"limit_refused":       e.backpressure.refused.Load,
		"services_brittle":    func() int64 { return int64(len(e.backpressure.brittle.Any(e.now()))) },
		"slots_granted":       e.slots.granted.Load,
		"slots_waited":        e.slots.waited.Load,
		"slots_refused":       e.slots.refused.Load,
		"slots_unknown":       e.slots.unknown.Load,
		"slots_disputed":      e.slots.refusedByRunner.Load,
		"slots_not_returned":  e.slots.returns.lostCount,
	} {
		vars.Set(name, expvar.Func(func() any { return value() }))
	}
	contention := &e.owner.Contention
	for name, counter := range map[string]*atomic.Int64{
		"requests_deferred":      &contention.Deferrals,
		"deferred_refused":       &contention.DeferralsRefused,
		"loads_displaced":        &contention.DisplacedLoads,
		"reserved_slots_refused": &contention.ReservedSlots,
	} {
		vars.Set(name, expvar.Func(func() any { return counter.Load() }))
	}
	vars.Set("first_byte_ms", &counters.FirstByte)
	vars.Set("runners_known", expvar.Func(func() any { return len(e.directory.Snapshot().Runners) }))
	vars.Set("quarantine_size", expvar.Func(func() any { return e.quarantineSync.quarantine.Size() }))
	vars.Set("workspaces", expvar.Func(func() any { return e.quotas.workspaceUse() }))
	vars.Set("quota_parts_counted", expvar.Func(func() any { return e.quotas.counting.counter.Size() }))
	vars.Set("runners_limited", expvar.Func(func() any { return e.board.LimitedCount() }))
	vars.Set("contention", expvar.Func(func() any { return e.contentionSources.Page(e.requestCounts) }))
	vars.Set("config_version", expvar.Func(func() any { return e.configVersion() }))
	vars.Set("knowledge", expvar.Func(func() any { return e.mesh.ReplicationStatus() }))
	vars.Set("hosts_in_force", expvar.Func(func() any { return e.state.Size() }))
	vars.Set("adapters_in_transit", expvar.Func(func() any { transit, _ := e.owner.Fetches(); return transit }))
	vars.Set("runner_speeds", expvar.Func(func() any { return e.owner.RunnerSpeeds() }))
	replicationVars(vars, e.owner)
	return vars
}
