// Package node assembles the components of an entry host.
package node

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cherrystage/cherrystage/internal/callerapi"
	"github.com/cherrystage/cherrystage/internal/claims"
	"github.com/cherrystage/cherrystage/internal/configlog"
	"github.com/cherrystage/cherrystage/internal/configsync"
	"github.com/cherrystage/cherrystage/internal/control"
	"github.com/cherrystage/cherrystage/internal/dispatch"
	"github.com/cherrystage/cherrystage/internal/engine"
	"github.com/cherrystage/cherrystage/internal/fleet"
	"github.com/cherrystage/cherrystage/internal/hostlist"
	"github.com/cherrystage/cherrystage/internal/loading"
	"github.com/cherrystage/cherrystage/internal/membership"
	"github.com/cherrystage/cherrystage/internal/objectapi"
	"github.com/cherrystage/cherrystage/internal/peer"
	"github.com/cherrystage/cherrystage/internal/plain"
	"github.com/cherrystage/cherrystage/internal/residency"
	"github.com/cherrystage/cherrystage/internal/routing"
	"github.com/cherrystage/cherrystage/internal/settings"
	"github.com/cherrystage/cherrystage/internal/weights"
	"github.com/hashicorp/go-hclog"
)

// Dialer opens connections. Tests replace it to use an in-memory network.
type Dialer func(ctx context.Context, network, address string) (net.Conn, error)

const (
	// maxMissedHeartbeats is the number of missed heartbeats after which a member is suspected.
	maxMissedHeartbeats = 5
	// initialServiceTime is the assumed service time of a request until one has been measured.
	initialServiceTime = 2 * time.Second
	// maxResumes is the maximum number of times that one response is resumed.
	maxResumes = 3
	// orderLifeFactor times the timeout of an order is the maximum time that the order may take
	// at an engine. A load can exceed its timeout while it shares the weight store with others.
	orderLifeFactor = 3
)

// Node is an entry host.
type Node struct {
	cfg     *settings.Settings
	self    peer.Identity
	log     hclog.Logger
	started time.Time

	objects      *objectapi.Client
	hostList     *hostlist.Client
	weightStore  *weights.Client
	engines      *engine.Client
	pool         *peer.Pool
	server       *peer.Server
	hosts        *fleet.Table
	members      *fleet.Members
	runnerTable  *routing.Table
	pinHolder    *residency.Holder
	follower     *configlog.Follower
	publisher    *configlog.Publisher
	reader       *configlog.Reader
	sync         *configsync.Service
	membership   *membership.Service
	controller   *control.Controller
	allowance    *loading.Allowance
	loads        *loading.Service
	demand       *demandTracker
	dispatcher   *dispatch.Dispatcher
	claims       *claims.Store
	gate         *dispatch.Gate
	metrics      *dispatch.Metrics
	traces       *dispatch.Traces
	retryBudget  *dispatch.RetryBudget
	openRequests *requestLimiter
	placer       *dispatch.Placer
	callerAPI    *callerapi.API

	candidateCache atomic.Pointer[candidateList]
	wasCaughtUp    atomic.Bool
	stopping       atomic.Bool
	mu             sync.Mutex
	leaving        bool
	draining       bool
	viewsByRunner  map[string]residency.View
	// runCtx is cancelled when the node stops. Work triggered by messages of peers runs under
	// it.
	runCtx context.Context
	// demandVersion, recentVersions, shareState and lastCandidates are each accessed by one
	// background loop only.
	demandVersion  objectapi.Version
	recentVersions versionHistory
	shareState     shareClaimState
	lastCandidates []string
	// handedOver is closed when a drain has given up all runners.
	handedOver chan struct{}
}

// New returns a node that opens all outgoing connections through dial.
func New(cfg *settings.Settings, dial Dialer, log hclog.Logger) *Node {
	n := &Node{
		cfg:           cfg,
		self:          peer.Identity{Host: cfg.Host, Incarnation: newIncarnation()},
		log:           log,
		started:       time.Now(),
		viewsByRunner: map[string]residency.View{},
		runCtx:        context.Background(),

		handedOver: make(chan struct{}),
	}
	n.initClients(dial)
	n.initState()
	n.initServices()
	n.initDispatcher()
	return n
}

func newIncarnation() string {
	var id [8]byte
	_, _ = rand.Read(id[:])
	return hex.EncodeToString(id[:])
}

func (n *Node) initClients(dial Dialer) {
	t := n.cfg.Timing
	platform := &http.Transport{DialContext: dial, MaxIdleConnsPerHost: 16, IdleConnTimeout: 30 * time.Second}
	n.objects = objectapi.NewClient(n.cfg.ObjectAPI, platform)
	n.hostList = hostlist.NewClient(n.cfg.HostList, platform)
	if n.cfg.WeightStore != "" {
		n.weightStore = weights.NewClient(n.cfg.WeightStore, platform)
	}
	n.engines = engine.NewClient(engine.Config{
		Dial: dial, ConnectTimeout: t.ConnectTimeout, FirstPieceTimeout: t.FirstPieceTimeout,
		SilenceTimeout: t.SilenceTimeout, OrderTimeout: t.OrderTimeout, MaxResumes: maxResumes,
	})
	n.pool = peer.NewPool(n.self, []byte(n.cfg.PeerKey), peer.Dialer(dial), n.log.Named("peer"))
}

func (n *Node) initState() {
	l := n.cfg.Limits
	n.hosts = fleet.NewTable()
	n.members = fleet.NewMembers(maxMissedHeartbeats * n.cfg.Timing.HeartbeatInterval)
	n.runnerTable = routing.NewTable()
	n.pinHolder = residency.NewHolder()
	n.follower = configlog.NewFollower()
	n.publisher = configlog.NewPublisher(n.objects)
	n.reader = configlog.NewReader(n.objects)
	n.allowance = loading.NewAllowance(n.cfg.Loads.Rate, n.cfg.Loads.Shares, n.started)
	n.demand = newDemandTracker(n)
	n.gate = dispatch.NewGate(l.MaxStreams, l.MaxQueue, l.MaxWait, initialServiceTime)
	n.metrics = &dispatch.Metrics{}
	n.traces = dispatch.NewTraces()
	n.retryBudget = dispatch.NewRetryBudget(l.RetryBudget)
	n.openRequests = newRequestLimiter(l.MaxStreams + l.MaxQueue)
}

func (n *Node) initServices() {
	t := n.cfg.Timing
	queue := loading.NewQueue(n.cfg.Loads.Parallel, n.allowance, n.cfg.Loads.Time)
	n.loads = loading.NewService(n.cfg.Host, queue, n.allowance, n.members, n.pool, t.OrderTimeout, n.log.Named("loading"))
	n.controller = control.New(control.Config{
		Self: n.self, DataCentre: n.cfg.DataCentre, LeaseLife: t.LeaseLife, ReportInterval: t.ReportInterval,
		MaxOrderDelay: orderLifeFactor * t.OrderTimeout, LoadWorkers: n.cfg.Loads.Parallel,
	}, control.Deps{
		Engines: n.engines, Objects: n.objects, Loads: n.loads, Demand: n.demand, Peers: n.pool,
		Hosts: n.hosts, Members: n.members, Holder: n.pinHolder, Publish: n.publishView, Log: n.log.Named("control"),
	})
	n.membership = membership.NewService(membership.Deps{
		Peers: n.pool, Hosts: n.hosts, Members: n.members, Self: n.member, Views: n.ownedViews, OnViews: n.updatePeerViews,
		TakeCounts: n.demand.takeCounts, OnCounts: n.demand.addCounts, TakeRates: n.demand.ratesFor, OnRates: n.demand.setReportedRates, OnMember: n.pullNewerConfig, Log: n.log.Named("membership"),
	}, t.HeartbeatInterval, parseSeedPeers(n.cfg.SeedPeers))
	n.sync = configsync.New(configsync.Config{
		Host: n.cfg.Host, DataCentre: n.cfg.DataCentre, WatchWait: t.WatchWait, Poll: t.PollInterval,
	}, n.follower, n.objects, n.pool, n.hosts, n.notifyPeers, n.log.Named("config"))
}

func parseSeedPeers(text string) []string {
	var seeds []string
	for _, seed := range strings.Split(text, ",") {
		if seed = strings.TrimSpace(seed); seed != "" {
			seeds = append(seeds, seed)
		}
	}
	return seeds
}

func (n *Node) initDispatcher() {
	routingPolicy := routing.PresetNamed(n.cfg.Loads.Preset)
	n.claims = claims.NewStore(n.objects, n.cfg.Host)
	n.placer = dispatch.NewPlacer(n.cfg.Host, n.runnerTable, n.members, n.pool, routingPolicy, n.cfg.Loads.Time)
	n.dispatcher = dispatch.New(dispatch.Config{Self: n.self, MaxWait: n.cfg.Limits.MaxWait, Policy: routingPolicy}, dispatch.Deps{
		Engines: n.engines, Services: plain.NewClient(n.engineDial(), n.cfg.Timing.FirstPieceTimeout),
		Owner: n.controller, Peers: n.pool, Table: n.runnerTable, Hosts: n.hosts, Members: n.members, Holder: n.pinHolder,
		Claims: n.claims, Gate: n.gate, Budget: n.retryBudget, Breakers: dispatch.NewBreakers(),
		Placer: n.placer, Demand: n.demand, Traces: n.traces, Metrics: n.metrics, Log: n.log.Named("dispatch"),
	})
	n.callerAPI = callerapi.New(n.dispatcher, n.follower, n.openRequests, n, n.cfg.Limits.MaxBodyBytes, n.log.Named("callers"))
	mux := peer.NewMux()
	n.controller.Register(mux)
	n.loads.Register(mux)
	n.sync.Register(mux)
	n.membership.Register(mux)
	n.placer.Register(mux)
	n.registerPeerMethods(mux)
	n.server = peer.NewServer(n.self, []byte(n.cfg.PeerKey), mux, n.log.Named("peer"))
}

// engineDial returns a dial function that is bounded by the connect timeout.
func (n *Node) engineDial() Dialer { return n.engines.Dial() }
