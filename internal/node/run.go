package node

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cherrystage/cherrystage/internal/adminapi"
	"github.com/cherrystage/cherrystage/internal/callerapi"
	"github.com/cherrystage/cherrystage/internal/fleet"
	"github.com/cherrystage/cherrystage/internal/timing"
	"github.com/pkg/errors"
)

const (
	hostListInterval = time.Second
	idleInterval     = 5 * time.Second
	// pinIdle is how long an unused pin is kept: long enough for a model in
	// use, short enough that a host cut off blocks few evictions.
	pinIdle       = 15 * time.Second
	limitInterval = 250 * time.Millisecond
	// limitsInterval is the time between readings of the weight store's limits.
	limitsInterval = 10 * time.Second
	headerTimeout  = 10 * time.Second
)

// Listeners are the addresses that a node serves on.
type Listeners struct {
	Callers, Operators, Peers net.Listener
}

// Background runs everything but the servers until the context ends.
func (n *Node) Background(ctx context.Context) {
	n.mu.Lock()
	n.runCtx = ctx
	n.mu.Unlock()
	n.readHosts(ctx)
	n.readLimits(ctx)
	var wg sync.WaitGroup
	wg.Go(func() { timing.Every(ctx, hostListInterval, func() { n.readHosts(ctx) }) })
	wg.Go(func() { timing.Every(ctx, limitsInterval, func() { n.readLimits(ctx) }) })
	wg.Go(func() { n.membership.Run(ctx) })
	wg.Go(func() { n.sync.Run(ctx) })
	wg.Go(func() { n.controller.Run(ctx) })
	wg.Go(func() { n.loads.Run(ctx) })
	wg.Go(func() { timing.Every(ctx, limitInterval, n.setLimit) })
	wg.Go(func() { timing.Every(ctx, foresightInterval, func() { n.foresee(ctx) }) })
	wg.Go(func() { timing.Every(ctx, demandInterval, func() { n.saveDemand(ctx) }) })
	wg.Go(func() { timing.Every(ctx, foresightInterval, func() { n.inheritDemand(ctx) }) })
	wg.Go(func() { timing.Every(ctx, shareInterval, func() { n.claimShares(ctx) }) })
	wg.Go(func() {
		timing.Every(ctx, idleInterval, func() { n.dispatcher.GiveBackIdle(ctx, time.Now().Add(-pinIdle)) })
	})
	wg.Go(func() { timing.Every(ctx, sweepInterval, func() { n.sweepClaims(ctx) }) })
	wg.Wait()
	n.pool.Close()
	n.server.Close()
}

func (n *Node) readHosts(ctx context.Context) {
	list, err := n.hostList.Hosts(ctx)
	if err != nil {
		n.log.Debug("host list not read; the last one stays in force", "error", err)
		return
	}
	if n.hosts.Update(list) {
		n.table.SetHosts(n.hosts.ByRole(fleet.RoleRunner))
	}
}

// readLimits follows the weight store when it allows fewer loads than the
// settings say. Without an answer the last limits stay.
func (n *Node) readLimits(ctx context.Context) {
	if n.weights == nil {
		return
	}
	limits, err := n.weights.Limits(ctx)
	if err != nil {
		n.log.Debug("the weight store's limits not read; the last ones stay in force", "error", err)
		return
	}
	n.allowance.SetRate(min(limits.PerSecond, n.cfg.Loads.Rate), time.Now())
}

// ServePeers serves peers until the listener closes.
func (n *Node) ServePeers(listener net.Listener) error { return n.server.Serve(listener) }

// CallerServer gives the HTTP server for callers.
func (n *Node) CallerServer() *http.Server {
	api := callerapi.New(n.dispatcher, n.follower, n.streams, n.Ready, n.cfg.Limits.MaxBodyBytes)
	return n.httpServer(api.Handler())
}

// OperatorServer gives the HTTP server for operators.
func (n *Node) OperatorServer() *http.Server {
	api := adminapi.New(n.publisher, n.reader, n, n.cfg.OperatorByDigest())
	return n.httpServer(api.Handler())
}

func (n *Node) httpServer(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, MaxHeaderBytes: n.cfg.Limits.MaxHeaderBytes, ReadHeaderTimeout: headerTimeout}
}

// Ready tells the balancer whether this host takes new requests.
func (n *Node) Ready() bool {
	n.mu.Lock()
	leaving := n.leaving
	n.mu.Unlock()
	return !leaving && n.follower.Snapshot().Revision() > 0 && n.caughtUp(time.Now())
}

// startGrace is how long a fresh host waits to hear the other entry hosts.
const startGrace = 2 * time.Second

// caughtUp says whether a fresh host has heard its peers and is not behind any
// of them. The object API may be away, or a read of it stale, and the first
// peer heard may be behind: a caller sent here too early would see an accepted
// change revert. Once it was true it stays so.
func (n *Node) caughtUp(now time.Time) bool {
	if n.caught.Load() {
		return true
	}
	own := uint64(n.follower.Snapshot().Revision())
	for _, member := range n.members.All() {
		if member.Revision > own {
			return false
		}
	}
	for _, host := range n.hosts.ByRole(fleet.RoleEntry) {
		if !n.members.Alive(host.ID, now) && now.Sub(n.started) < startGrace {
			return false
		}
	}
	n.caught.Store(true)
	return true
}

// drainHere makes this host not ready and gives its runners away. Requests
// that still come are served.
func (n *Node) drainHere() {
	n.mu.Lock()
	already := n.draining
	n.leaving = true
	n.draining = true
	n.mu.Unlock()
	if already {
		return
	}
	n.log.Info("draining: not ready any more; runners are handed over", "open", n.streams.Open())
	n.announce()
	go func() {
		defer close(n.handedOver)
		n.handOver()
	}()
}

// sweepInterval is how often old claims are removed.
const sweepInterval = 10 * time.Minute

// sweepClaims removes old claims on one host of the fleet. Two that both believe
// to be it do no harm: removals are conditional.
func (n *Node) sweepClaims(ctx context.Context) {
	if fleet.First("claims", n.candidates(time.Now())) != n.cfg.Host {
		return
	}
	removed, err := n.claims.Sweep(ctx, time.Now())
	if err != nil {
		n.log.Warn("old claims not swept; tried again later", "removed", removed, "error", err)
		return
	}
	n.log.Debug("old claims swept", "removed", removed)
}

const handOverTimeout = 10 * time.Second

func (n *Node) handOver() {
	ctx, cancel := context.WithTimeout(n.context(), handOverTimeout)
	defer cancel()
	n.controller.Drain(ctx)
	n.releaseShares(ctx)
	n.handDemand(ctx)
	n.announce()
	n.dispatcher.HandedOver()
}

// Shutdown ends this host's service without cutting a request off: it is not
// ready at once, takes new work until the balancer has noticed, and then waits
// for the open streams. It returns the number that were cut off, because the
// limit passed or the context ended.
func (n *Node) Shutdown(ctx context.Context, callers *http.Server) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, n.cfg.Timing.DrainLimit)
	defer cancel()
	n.drainHere()
	notice := time.NewTimer(n.cfg.Timing.DrainNotice)
	defer notice.Stop()
	select {
	case <-notice.C:
	case <-ctx.Done():
	}
	select {
	case <-n.handedOver:
	case <-ctx.Done():
	}
	err := callers.Shutdown(ctx)
	select {
	case <-n.streams.Empty():
	case <-ctx.Done():
	}
	n.farewell()
	cut := n.streams.Open()
	if err != nil {
		_ = callers.Close()
	}
	if cut == 0 {
		return 0, nil
	}
	return cut, errors.Wrap(err, "drain")
}

// farewellTime lets the last messages go out.
const farewellTime = 200 * time.Millisecond

// farewell gives all unused pins back: left out, they would block evictions for
// as long as the platform lists this host.
func (n *Node) farewell() {
	n.dispatcher.GiveBackIdle(n.context(), time.Now().Add(time.Hour))
	timing.Sleep(n.context(), farewellTime)
}

// setLimit sets how many requests this host admits at a time: what the runners
// can batch less what other hosts have there, and at least a fair part.
func (n *Node) setLimit() {
	runners := n.table.All("")
	places, elsewhere := 0, 0
	for _, runner := range runners {
		if runner.Live {
			places += runner.MaxBatch
			elsewhere += max(0, runner.Occupancy-runner.OwnRequests)
		}
	}
	if places == 0 {
		return
	}
	hosts := max(1, len(n.members.Candidates("", time.Now())))
	limit := max(places*overcommit/100-elsewhere, places/hosts)
	n.gate.SetLimit(min(limit, n.cfg.Limits.MaxStreams))
}

// overcommit, in percent of the runners' batches, keeps a short queue before
// each engine, so that a place that frees is filled at once.
const overcommit = 150
