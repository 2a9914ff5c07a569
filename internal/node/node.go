// Package node puts the parts of the daemon together: one entry host.
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

// Dialer opens connections; tests put a network of their own here.
type Dialer func(ctx context.Context, network, address string) (net.Conn, error)

const (
	// memberSilence is how many heartbeats may be missed before a member
	// counts as suspect.
	memberSilence = 5
	// usualService is the usual time of a request until one was measured.
	usualService = 2 * time.Second
	maxResumes   = 3
	// orderLives is how many times its timeout an order may go on at an engine:
	// a load that was not answered in time may share the weight store with others.
	orderLives = 3
)

// Node is one entry host.
type Node struct {
	cfg     *settings.Settings
	self    peer.Identity
	log     hclog.Logger
	started time.Time

	objects    *objectapi.Client
	hostList   *hostlist.Client
	weights    *weights.Client
	engines    *engine.Client
	pool       *peer.Pool
	server     *peer.Server
	hosts      *fleet.Table
	members    *fleet.Members
	table      *routing.Table
	holder     *residency.Holder
	follower   *configlog.Follower
	publisher  *configlog.Publisher
	reader     *configlog.Reader
	sync       *configsync.Service
	membership *membership.Service
	controller *control.Controller
	allowance  *loading.Allowance
	loads      *loading.Service
	demand     *demandKeeper
	dispatcher *dispatch.Dispatcher
	claims     *claims.Store
	gate       *dispatch.Gate
	metrics    *dispatch.Metrics
	traces     *dispatch.Traces
	budget     *dispatch.Budget
	streams    *streams
	placer     *dispatch.Placer

	kept     atomic.Pointer[candidateList]
	caught   atomic.Bool
	mu       sync.Mutex
	leaving  bool
	draining bool
	owned    map[string]residency.View
	// runCtx ends with the node; work that a peer's message starts runs under it.
	runCtx context.Context
	// demandVersion and lastCandidates belong to the loops that keep demand.
	demandVersion  objectapi.Version
	fresh          freshVersions
	claimed        shareClaims
	lastCandidates []string
	// handedOver is closed once a drain has given all runners away.
	handedOver chan struct{}
}

// New makes a node. All connections out are made by dial.
func New(cfg *settings.Settings, dial Dialer, log hclog.Logger) *Node {
	n := &Node{
		cfg:     cfg,
		self:    peer.Identity{Host: cfg.Host, Incarnation: newIncarnation()},
		log:     log,
		started: time.Now(),
		owned:   map[string]residency.View{},
		runCtx:  context.Background(),

		handedOver: make(chan struct{}),
	}
	n.makeClients(dial)
	n.makeState()
	n.makeServices()
	n.makeDispatcher()
	return n
}

func newIncarnation() string {
	var id [8]byte
	_, _ = rand.Read(id[:])
	return hex.EncodeToString(id[:])
}

func (n *Node) makeClients(dial Dialer) {
	t := n.cfg.Timing
	platform := &http.Transport{DialContext: dial, MaxIdleConnsPerHost: 16, IdleConnTimeout: 30 * time.Second}
	n.objects = objectapi.NewClient(n.cfg.ObjectAPI, platform)
	n.hostList = hostlist.NewClient(n.cfg.HostList, platform)
	if n.cfg.WeightStore != "" {
		n.weights = weights.NewClient(n.cfg.WeightStore, platform)
	}
	n.engines = engine.NewClient(engine.Config{
		Dial: dial, ConnectTimeout: t.ConnectTimeout, FirstPieceTimeout: t.FirstPieceTimeout,
		SilenceTimeout: t.SilenceTimeout, OrderTimeout: t.OrderTimeout, MaxResumes: maxResumes,
	})
	n.pool = peer.NewPool(n.self, []byte(n.cfg.PeerKey), peer.Dialer(dial), n.log.Named("peer"))
}

func (n *Node) makeState() {
	l := n.cfg.Limits
	n.hosts = fleet.NewTable()
	n.members = fleet.NewMembers(memberSilence * n.cfg.Timing.HeartbeatInterval)
	n.table = routing.NewTable()
	n.holder = residency.NewHolder()
	n.follower = configlog.NewFollower()
	n.publisher = configlog.NewPublisher(n.objects)
	n.reader = configlog.NewReader(n.objects)
	n.allowance = loading.NewAllowance(n.cfg.Loads.Rate, n.cfg.Loads.Shares, n.started)
	n.demand = newDemandKeeper(n)
	n.gate = dispatch.NewGate(l.MaxStreams, l.MaxQueue, l.MaxWait, usualService)
	n.metrics = &dispatch.Metrics{}
	n.traces = dispatch.NewTraces()
	n.budget = dispatch.NewBudget(l.RetryBudget)
	n.streams = newStreams(l.MaxStreams + l.MaxQueue)
}

func (n *Node) makeServices() {
	t := n.cfg.Timing
	queue := loading.NewQueue(n.cfg.Loads.Parallel, n.allowance, n.cfg.Loads.Time)
	n.loads = loading.NewService(n.cfg.Host, queue, n.allowance, n.members, n.pool, t.OrderTimeout, n.log.Named("loading"))
	n.controller = control.New(control.Config{
		Self: n.self, DataCentre: n.cfg.DataCentre, LeaseLife: t.LeaseLife, ReportInterval: t.ReportInterval,
		OrderLife: orderLives * t.OrderTimeout, Parallel: n.cfg.Loads.Parallel,
	}, control.Deps{
		Engines: n.engines, Objects: n.objects, Loads: n.loads, Demand: n.demand, Peers: n.pool,
		Hosts: n.hosts, Members: n.members, Holder: n.holder, Publish: n.publish, Log: n.log.Named("control"),
	})
	n.membership = membership.NewService(membership.Deps{
		Peers: n.pool, Hosts: n.hosts, Members: n.members, Self: n.member, Views: n.ownedViews, OnViews: n.seen,
		TakeCounts: n.demand.take, OnCounts: n.demand.counted, TakeRates: n.demand.ratesFor, OnRates: n.demand.tell, OnMember: n.heard, Log: n.log.Named("membership"),
	}, t.HeartbeatInterval, splitSeeds(n.cfg.Seeds))
	n.sync = configsync.New(configsync.Config{
		Host: n.cfg.Host, DataCentre: n.cfg.DataCentre, WatchWait: t.WatchWait, Poll: t.PollInterval,
	}, n.follower, n.objects, n.pool, n.hosts, n.announce, n.log.Named("config"))
}

func splitSeeds(text string) []string {
	var seeds []string
	for _, seed := range strings.Split(text, ",") {
		if seed = strings.TrimSpace(seed); seed != "" {
			seeds = append(seeds, seed)
		}
	}
	return seeds
}

func (n *Node) makeDispatcher() {
	weights := routing.PresetNamed(n.cfg.Loads.Preset)
	n.claims = claims.NewStore(n.objects, n.cfg.Host)
	n.placer = dispatch.NewPlacer(n.cfg.Host, n.table, n.members, n.pool, weights, n.cfg.Loads.Time)
	n.dispatcher = dispatch.New(dispatch.Config{Self: n.self, MaxWait: n.cfg.Limits.MaxWait, Weights: weights}, dispatch.Deps{
		Engines: n.engines, Services: plain.NewClient(n.engineDial(), n.cfg.Timing.FirstPieceTimeout),
		Owner: n.controller, Peers: n.pool, Table: n.table, Hosts: n.hosts, Members: n.members, Holder: n.holder,
		Claims: n.claims, Gate: n.gate, Budget: n.budget, Breakers: dispatch.NewBreakers(),
		Placer: n.placer, Demand: n.demand, Traces: n.traces, Metrics: n.metrics, Log: n.log.Named("dispatch"),
	})
	mux := peer.NewMux()
	n.controller.Register(mux)
	n.loads.Register(mux)
	n.sync.Register(mux)
	n.membership.Register(mux)
	n.placer.Register(mux)
	n.registerOwn(mux)
	n.server = peer.NewServer(n.self, []byte(n.cfg.PeerKey), mux, n.log.Named("peer"))
}

func (n *Node) engineDial() Dialer { return n.engines.Dial() }
