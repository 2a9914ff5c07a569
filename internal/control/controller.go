// Package control is the owner's work on runners: it takes them over under
// this node's lease, reads their load reports, and gives the orders to load
// and evict. The rules are in package residency; this package does the I/O.
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

// Engines is what the controller needs of engines.
type Engines interface {
	Order(ctx context.Context, address string, order engine.Order) error
	Report(ctx context.Context, address string) (engine.Report, error)
}

// Objects is what the controller needs of the object API.
type Objects interface {
	Get(ctx context.Context, key string) (objectapi.Object, error)
	Put(ctx context.Context, key string, value []byte, ifVersion objectapi.Version) (objectapi.Version, error)
}

// Loads hands out permits to load.
type Loads interface {
	Acquire(ctx context.Context, ask loading.Ask, wait time.Duration) (*loading.Permit, error)
}

// Demand tells how often a model will likely be asked for.
type Demand interface {
	PerSecond(model string, now time.Time) float64
}

// Peers calls other entry hosts.
type Peers interface {
	Call(ctx context.Context, address, method string, params, result any) error
	CallLong(ctx context.Context, address, method string, params, result any) error
}

// Config sets the controller.
type Config struct {
	Self           peer.Identity
	DataCentre     string
	LeaseLife      time.Duration
	ReportInterval time.Duration
	// MaxOrderDelay is the longest time after which an order that was sent can
	// still take effect.
	MaxOrderDelay time.Duration
	LoadWorkers   int
}

// Deps are what the controller works with.
type Deps struct {
	Engines Engines
	Objects Objects
	Loads   Loads
	Demand  Demand
	Peers   Peers
	Hosts   *fleet.Table
	Members *fleet.Members
	Holder  *residency.Holder
	// Publish tells this host and its peers what an owner knows of a runner.
	Publish func(view residency.View)
	Log     hclog.Logger
}

// Controller owns runners. It is safe for concurrent use.
type Controller struct {
	cfg  Config
	deps Deps
	// lease is this node's own; observer times the peers'.
	lease    *lease.Holder
	observer *lease.Observer
	node     nodeLease

	mu       sync.Mutex
	managed  map[string]*managed
	draining bool
}

// managed is one runner that this node owns or has owned.
type managed struct {
	runner *residency.Runner
	host   fleet.Host
	stop   context.CancelFunc
	done   chan struct{}

	mu      sync.Mutex
	record  residency.Record
	version objectapi.Version
	changed chan struct{}
	wants   map[string]*want
	over    map[residency.Intent]time.Time
	// orders numbers the orders, evictions the evictions; evicting counts
	// those under way.
	orders    int
	evictions int
	evicting  int
}

// New makes a controller that owns nothing.
func New(cfg Config, deps Deps) *Controller {
	return &Controller{
		cfg:      cfg,
		deps:     deps,
		lease:    lease.NewHolder(cfg.LeaseLife, cfg.LeaseLife/10),
		observer: lease.NewObserver(cfg.LeaseLife),
		managed:  map[string]*managed{},
	}
}

func newManaged(host fleet.Host) *managed {
	return &managed{
		runner:  residency.NewRunner(host.ID, host.ChecksFence),
		host:    host,
		changed: make(chan struct{}),
		wants:   map[string]*want{},
		over:    map[residency.Intent]time.Time{},
	}
}

// find gives a runner that this node owns.
func (c *Controller) find(id string) *managed {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.managed[id]
	if m == nil {
		return nil
	}
	if _, owned := m.runner.Owned(); !owned {
		return nil
	}
	return m
}

// Owned gives the runners that this node owns.
func (c *Controller) Owned() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var ids []string
	for id, m := range c.managed {
		if _, owned := m.runner.Owned(); owned {
			ids = append(ids, id)
		}
	}
	return ids
}

// AwaitedLoads gives the number of loads that callers wait for on owned runners.
func (c *Controller) AwaitedLoads() int {
	c.mu.Lock()
	all := make([]*managed, 0, len(c.managed))
	for _, m := range c.managed {
		all = append(all, m)
	}
	c.mu.Unlock()
	wanted := 0
	for _, m := range all {
		wanted += m.waitedFor()
	}
	return wanted
}

// notify wakes those who wait for a change of a runner and tells its state.
func (c *Controller) notify(m *managed) {
	m.mu.Lock()
	close(m.changed)
	m.changed = make(chan struct{})
	m.mu.Unlock()
	if _, owned := m.runner.Owned(); owned {
		view := m.runner.View(c.cfg.Self.Host)
		view.Wanted = m.openWants(view)
		c.deps.Publish(view)
	}
}

func (m *managed) waitChange() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}

// Run keeps the node's lease, takes runners over and gives them away until
// the context ends.
func (c *Controller) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { c.keepLease(ctx) })
	wg.Go(func() { c.keepOwnership(ctx) })
	wg.Wait()
	c.stopAll()
}

func (c *Controller) stopAll() {
	c.mu.Lock()
	all := make([]*managed, 0, len(c.managed))
	for _, m := range c.managed {
		all = append(all, m)
	}
	c.mu.Unlock()
	for _, m := range all {
		m.stop()
		<-m.done
	}
}

// LeaseValidUntil tells until when nobody can have broken this node's lease.
func (c *Controller) LeaseValidUntil() time.Time { return c.lease.ValidUntil() }
