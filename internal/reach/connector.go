package reach

import (
	"context"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cherrystage/cherrystage/internal/awake"
	"github.com/cherrystage/cherrystage/internal/timing"
	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
)

const (
	// probeInterval is the interval of the checks whether paths must be probed, and the least
	// time between two probes of one failing path.
	probeInterval = 250 * time.Millisecond
	// minProbes and maxProbes bound the probes of failing paths in one interval. Their number
	// doubles while probes succeed, so that a host with thousands of runners uses its own paths
	// again within seconds after a cut.
	minProbes = 4
	maxProbes = 64
	// doubtInterval is the least time between two rounds of probes of other runners.
	doubtInterval = 150 * time.Millisecond
	// extraProbeInterval is the least time between two probes of a runner that is silent, or of
	// the relays to a runner.
	extraProbeInterval = time.Second
	// maxRelayTries and relayedDialTimeout bound the search for a relay for one connection.
	maxRelayTries      = 6
	relayedDialTimeout = 700 * time.Millisecond
	// relayBackoff is how long a host is asked last that could not serve as a relay.
	relayBackoff = time.Second
)

// RelayHost is a host that may serve as a relay.
type RelayHost struct {
	Name string
	// Address is that of its relay.
	Address string
}

// ConnectorDeps are the dependencies of a Connector.
type ConnectorDeps struct {
	// Dial connects to runners, DialHost to other hosts.
	Dial, DialHost DialFunc
	// Key is shared by all hosts.
	Key []byte
	// Runners returns the addresses of all runners.
	Runners func() []string
	// Relays returns the hosts to ask for a tunnel to a runner, in order.
	Relays func(address string) []RelayHost
	// OnCutOff is called when no runner can be reached directly any more. It may be nil.
	OnCutOff func()
	Now      func() time.Time
	// Running tells for how long this process was running while it connected.
	Running awake.Clock
	Log     hclog.Logger
}

// Connector connects to runners, directly or through a relay, and probes failing paths. It is
// safe for concurrent use.
type Connector struct {
	ConnectorDeps
	Paths *Paths

	dialed  atomic.Int64
	relayed atomic.Int64
	probes  atomic.Int64

	mu sync.Mutex
	// relayFailedAt is when a host last could not serve as a relay.
	relayFailedAt map[string]time.Time
	// probedAt is when a runner, or the relays to it, was last probed; doubtedAt is when runners
	// were last probed because it was in doubt whether any can be reached.
	probedAt  map[string]time.Time
	doubtedAt time.Time
	// failed wakes Run up.
	failed chan struct{}
	// probeLimit bounds the probes of failing paths in the next interval.
	probeLimit int
}

// NewConnector returns a connector whose probes do not run yet.
func NewConnector(deps ConnectorDeps) *Connector {
	return &Connector{ConnectorDeps: deps, Paths: NewPaths(), relayFailedAt: map[string]time.Time{}, probedAt: map[string]time.Time{}, failed: make(chan struct{}, 1), probeLimit: minProbes}
}

// DirectOnly returns a connector without relays.
func DirectOnly(dial DialFunc) *Connector {
	return NewConnector(ConnectorDeps{
		Dial: dial, DialHost: dial, Runners: func() []string { return nil }, Relays: func(string) []RelayHost { return nil },
		Now: time.Now, Log: hclog.NewNullLogger(),
	})
}

// Dialed returns the number of direct connections tried, probes included; Relayed the number
// of tunnels opened; Probes the number of probes.
func (c *Connector) Dialed() int64  { return c.dialed.Load() }
func (c *Connector) Relayed() int64 { return c.relayed.Load() }
func (c *Connector) Probes() int64  { return c.probes.Load() }

// Direct reports whether a connection to a runner should be tried directly first.
func (c *Connector) Direct(address string) bool { return c.Paths.Direct(address) }

// MayRelay reports whether a relay may be asked for a connection to a runner.
func (c *Connector) MayRelay(address string) bool { return c.Paths.MayRelay(address, c.Now()) }

// Heard records that a runner answered on a direct connection.
func (c *Connector) Heard() { c.Paths.Heard(c.Now()) }

// ErrStoodStill is returned if a connection was not set up in time because this process stood still.
// It tells nothing of the other side.
var ErrStoodStill = errors.New("this host stood still while it connected")

// DialDirect connects to a runner directly.
func (c *Connector) DialDirect(ctx context.Context, network, address string) (net.Conn, error) {
	return c.dialDirect(ctx, network, address, false)
}

// dialDirect connects to a runner directly. probe is set for a probe of a runner that is not known
// to fail.
//
// A host that was suspended while it connected finds the time limits of all its dials passed when it
// wakes, also where the connections are set up. If it took these paths for failing, it would find
// itself cut off from runners, send requests through other hosts and warn them of sound runners.
func (c *Connector) dialDirect(ctx context.Context, network, address string, probe bool) (net.Conn, error) {
	timeout := c.Paths.ConnectTimeout()
	limit := c.Running.NewLimit(timeout)
	dialCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	c.dialed.Add(1)
	conn, err := c.Dial(dialCtx, network, address)
	switch {
	case err == nil:
		c.noteDirect(address)
		return conn, nil
	case ctx.Err() != nil:
		return nil, err
	case limit.StoodStill():
		return nil, errors.Wrap(ErrStoodStill, err.Error())
	default:
		c.noteDirectFailed(address, probe, err)
		return nil, err
	}
}

func (c *Connector) noteDirect(address string) {
	if c.Paths.DirectWorked(address, c.Now()) == Regained {
		c.Log.Info("direct path to runner regained", "address", address)
		c.mu.Lock()
		c.probeLimit = min(2*c.probeLimit, maxProbes)
		c.mu.Unlock()
	}
}

func (c *Connector) noteDirectFailed(address string, probe bool, err error) {
	switch c.Paths.DirectFailed(address, len(c.Runners()), probe, c.Now()) {
	case Failed:
		c.Log.Info("direct path to runner failed", "address", address, "error", err.Error())
	case CutOff:
		c.Log.Warn("host cut off from all runners", "address", address, "failing", len(c.Paths.Failing()), "error", err.Error())
		if c.OnCutOff != nil {
			c.OnCutOff()
		}
	}
	if c.Paths.InDoubt() {
		c.probeOthers(context.Background())
	}
	select {
	case c.failed <- struct{}{}:
	default:
	}
}

// probeOthers probes some runners that are not known to fail, at most once in doubtInterval.
func (c *Connector) probeOthers(ctx context.Context) {
	now := c.Now()
	c.mu.Lock()
	due := now.Sub(c.doubtedAt) >= doubtInterval
	if due {
		c.doubtedAt = now
	}
	c.mu.Unlock()
	if !due {
		return
	}
	runners := slices.DeleteFunc(c.Runners(), c.Paths.Fails)
	rand.Shuffle(len(runners), func(i, j int) { runners[i], runners[j] = runners[j], runners[i] })
	for _, address := range runners[:min(len(runners), doubtProbes)] {
		go c.probe(ctx, address, true)
	}
}

// errNoRelay is returned if no relay reaches a runner.
var errNoRelay = errors.New("no relay reaches the runner")

// DialRelayed connects to a runner through another host.
func (c *Connector) DialRelayed(ctx context.Context, _, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, relayedDialTimeout)
	defer cancel()
	err := errNoRelay
	for _, relay := range c.candidates(address) {
		limit := c.Running.NewLimit(tunnelTimeout)
		conn, failure := openTunnel(ctx, c.DialHost, c.Key, relay.Address, address)
		if failure == nil {
			c.Paths.RelayWorked(address, relay.Name, c.Now())
			c.relayed.Add(1)
			conn.(*tunnelConn).relay = relay.Name
			return conn, nil
		}
		if limit.StoodStill() {
			return nil, errors.Wrap(ErrStoodStill, failure.Error())
		}
		err = errors.Wrapf(failure, "relay %s", relay.Name)
		c.noteRelayFailed(relay.Name)
		if ctx.Err() != nil {
			break
		}
	}
	if ctx.Err() != nil && !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return nil, err
	}
	c.Paths.RelayFailed(address, c.Now())
	c.Log.Info("no relay reaches the runner", "address", address, "error", err.Error())
	return nil, err
}

// candidates returns the hosts to ask for a tunnel: first the one that served the runner last,
// last those that recently could not serve.
func (c *Connector) candidates(address string) []RelayHost {
	last := c.Paths.LastRelay(address)
	var first, usual, doubtful []RelayHost
	for _, relay := range c.Relays(address) {
		switch {
		case relay.Name == last:
			first = append(first, relay)
		case c.recentlyFailed(relay.Name):
			doubtful = append(doubtful, relay)
		default:
			usual = append(usual, relay)
		}
	}
	ordered := append(append(first, usual...), doubtful...)
	return ordered[:min(len(ordered), maxRelayTries)]
}

func (c *Connector) recentlyFailed(relay string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	failedAt, failed := c.relayFailedAt[relay]
	return failed && c.Now().Sub(failedAt) < relayBackoff
}

func (c *Connector) noteRelayFailed(relay string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Now()
	maps.DeleteFunc(c.relayFailedAt, func(_ string, at time.Time) bool { return now.Sub(at) >= relayBackoff })
	c.relayFailedAt[relay] = now
}

// Run probes failing paths until the context ends. It sleeps while there are none.
func (c *Connector) Run(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-c.failed:
		}
		c.probeUntilRegained(ctx)
	}
}

// probeUntilRegained probes failing paths until none is left.
func (c *Connector) probeUntilRegained(ctx context.Context) {
	for ctx.Err() == nil && c.Paths.AnyFails() {
		timing.Sleep(ctx, probeInterval)
		c.forgetUnlisted()
		for _, address := range c.toProbe() {
			go c.probe(ctx, address, false)
		}
		if c.Paths.InDoubt() || c.Paths.IsCutOff() {
			c.probeOthers(ctx)
		}
	}
}

func (c *Connector) forgetUnlisted() {
	listed := map[string]bool{}
	for _, address := range c.Runners() {
		listed[address] = true
	}
	c.Paths.Forget(func(address string) bool { return listed[address] })
}

// toProbe returns the failing paths to probe: those to runners that only a relay reaches, or all
// while none works.
func (c *Connector) toProbe() []string {
	c.mu.Lock()
	limit := c.probeLimit
	c.probeLimit = minProbes
	c.mu.Unlock()
	var chosen []string
	for _, address := range c.Paths.Failing() {
		if len(chosen) == limit {
			break
		}
		if c.Paths.Lost(address) || c.Paths.IsCutOff() {
			chosen = append(chosen, address)
		}
	}
	return chosen
}

// probe connects to a runner directly, which records whether that works.
func (c *Connector) probe(ctx context.Context, address string, inDoubt bool) {
	c.probes.Add(1)
	if conn, err := c.dialDirect(ctx, "tcp", address, inDoubt); err == nil {
		_ = conn.Close()
	}
}

// ProbeSilent probes a runner that has sent nothing for a while although requests wait for it,
// at most once in extraProbeInterval.
func (c *Connector) ProbeSilent(ctx context.Context, address string) {
	if c.Paths.Works(address) && c.extraProbeDue("direct "+address) {
		go c.probe(ctx, address, false)
	}
}

// ProveRelay checks whether a relay reaches a runner whose direct path fails, at most once in
// extraProbeInterval.
func (c *Connector) ProveRelay(address string) {
	if !c.MayRelay(address) || !c.extraProbeDue("relay "+address) {
		return
	}
	go func() {
		if conn, err := c.DialRelayed(context.Background(), "tcp", address); err == nil {
			_ = conn.Close()
		}
	}()
}

func (c *Connector) extraProbeDue(key string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Now()
	if now.Sub(c.probedAt[key]) < extraProbeInterval {
		return false
	}
	maps.DeleteFunc(c.probedAt, func(_ string, at time.Time) bool { return now.Sub(at) >= extraProbeInterval })
	c.probedAt[key] = now
	return true
}
