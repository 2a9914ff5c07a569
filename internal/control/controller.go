// Package control manages the runners that this host owns: it takes them over
// under this host's lease, polls their load reports, and sends the orders to
// load and evict. The rules are in package residency; this package does the
// I/O.
package control

import (
	"context"
	"sync"
	"time"

	"github.com/cherrystage/cherrystage/internal/engine"
	"github.com/cherrystage/cherrystage/internal/fleet"
	"github.com/cherrystage/cherrystage/internal/lease"
	"github.com/cherrystage/cherrystage/internal/loading"
	"github.com/cherrystage/cherrystage/internal/objectapi"
	"github.com/cherrystage/cherrystage/internal/peer"
	"github.com/cherrystage/cherrystage/internal/residency"
	"github.com/hashicorp/go-hclog"
)

// Engines sends orders to engines and reads their load reports.
type Engines interface {
	Order(ctx context.Context, address string, order engine.Order) error
	Report(ctx context.Context, address string) (engine.Report, error)
}

// Objects reads and writes the object API.
type Objects interface {
	Get(ctx context.Context, key string) (objectapi.Object, error)
	Put(ctx context.Context, key string, value []byte, ifVersion objectapi.Version) (objectapi.Version, error)
}

// LoadPermits hands out permits to load.
type LoadPermits interface {
	Acquire(ctx context.Context, request loading.Request, wait time.Duration) (*loading.Permit, error)
}

// Demand estimates the request rate of a model.
type Demand interface {
	PerSecond(model string, now time.Time) float64
}

// Peers calls other entry hosts.
type Peers interface {
	Call(ctx context.Context, address, method string, params, result any) error
	CallLong(ctx context.Context, address, method string, params, result any) error
}

// Config configures a Controller.
type Config struct {
	Self           peer.Identity
	DataCentre     string
	LeaseLife      time.Duration
	ReportInterval time.Duration
	// MaxOrderDelay is the longest time after sending an order at which it can
	// still take effect.
	MaxOrderDelay time.Duration
	LoadWorkers   int
}

// Deps are the dependencies of a Controller.
type Deps struct {
	Engines Engines
	Objects Objects
	Loads   LoadPermits
	Demand  Demand
	Peers   Peers
	Hosts   *fleet.Table
	Members *fleet.Members
	Holder  *residency.Holder
	// Publish sends an owner's view of a runner to this host's table and to its
	// peers.
	Publish func(view residency.View)
	Log     hclog.Logger
}

// Controller manages the runners that this host owns. It is safe for concurrent
// use.
type Controller struct {
	cfg  Config
	deps Deps
	// lease is this host's own; observer tracks the leases of peers.
	lease    *lease.Holder
	observer *lease.Observer
	stored   storedLease

	mu       sync.Mutex
	runners  map[string]*managedRunner
	draining bool
}

// managedRunner is a runner that this host owns or has owned.
type managedRunner struct {
	runner *residency.Runner
	host   fleet.Host
	stop   context.CancelFunc
	done   chan struct{}

	mu         sync.Mutex
	record     residency.Record
	version    objectapi.Version
	changed    chan struct{}
	loads      map[string]*pendingLoad
	finishedAt map[residency.Intent]time.Time
	// orderSeq and evictionSeq number the orders and evictions sent;
	// evictionsInFlight counts those without an answer yet.
	orderSeq          int
	evictionSeq       int
	evictionsInFlight int
	// released is set once the runner's record does not name this ownership any more.
	released bool
	// earlier are this host's earlier ownerships of the runner that had evictions in flight
	// when this one began.
	earlier []*managedRunner
}

// New returns a controller that owns no runners.
func New(cfg Config, deps Deps) *Controller {
	return &Controller{
		cfg:      cfg,
		deps:     deps,
		lease:    lease.NewHolder(cfg.LeaseLife, cfg.LeaseLife/10),
		observer: lease.NewObserver(cfg.LeaseLife),
		runners:  map[string]*managedRunner{},
	}
}

func newManagedRunner(host fleet.Host) *managedRunner {
	return &managedRunner{
		runner:     residency.NewRunner(host.ID, host.ChecksFence),
		host:       host,
		changed:    make(chan struct{}),
		loads:      map[string]*pendingLoad{},
		finishedAt: map[residency.Intent]time.Time{},
	}
}

// ownedRunner returns a runner that this host owns, or nil.
func (c *Controller) ownedRunner(id string) *managedRunner {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.runners[id]
	if m == nil {
		return nil
	}
	if _, owned := m.runner.Owned(); !owned {
		return nil
	}
	return m
}

// Owned returns the runners that this host owns.
func (c *Controller) Owned() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var ids []string
	for id, m := range c.runners {
		if _, owned := m.runner.Owned(); owned {
			ids = append(ids, id)
		}
	}
	return ids
}

// AwaitedLoads returns the number of loads that callers wait for on owned
// runners.
func (c *Controller) AwaitedLoads() int {
	c.mu.Lock()
	all := make([]*managedRunner, 0, len(c.runners))
	for _, m := range c.runners {
		all = append(all, m)
	}
	c.mu.Unlock()
	count := 0
	for _, m := range all {
		count += m.awaitedLoads()
	}
	return count
}

// publishChange wakes those waiting for a change of a runner and publishes its
// state.
func (c *Controller) publishChange(m *managedRunner) {
	m.mu.Lock()
	close(m.changed)
	m.changed = make(chan struct{})
	m.mu.Unlock()
	if _, owned := m.runner.Owned(); owned {
		view := m.runner.View(c.cfg.Self.Host)
		view.Wanted = m.loadsWithoutSlot(view)
		c.deps.Publish(view)
	}
}

func (m *managedRunner) nextChange() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}

// Run renews this host's lease, and takes over and releases runners until the
// context ends.
func (c *Controller) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { c.keepLease(ctx) })
	wg.Go(func() { c.keepOwnership(ctx) })
	wg.Wait()
	c.stopAll()
}

func (c *Controller) stopAll() {
	c.mu.Lock()
	all := make([]*managedRunner, 0, len(c.runners))
	for _, m := range c.runners {
		all = append(all, m)
	}
	c.mu.Unlock()
	for _, m := range all {
		m.stop()
		<-m.done
	}
}

// LeaseValidUntil returns the time until which no peer can have broken this
// host's lease.
func (c *Controller) LeaseValidUntil() time.Time { return c.lease.ValidUntil() }
