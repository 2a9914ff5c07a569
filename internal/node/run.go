package node

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cherrystage/cherrystage/internal/adminapi"
	"github.com/cherrystage/cherrystage/internal/callerconn"
	"github.com/cherrystage/cherrystage/internal/fleet"
	"github.com/cherrystage/cherrystage/internal/timing"
	"github.com/pkg/errors"
)

const (
	hostListInterval = time.Second
	idlePinInterval  = 5 * time.Second
	// maxPinIdleTime is how long an unused pin is kept: long enough for models in regular use,
	// short enough that a host that was cut off blocks few evictions.
	maxPinIdleTime         = 15 * time.Second
	admissionLimitInterval = 250 * time.Millisecond
	// loadLimitInterval is the interval at which the weight store's limits are read.
	loadLimitInterval = 10 * time.Second
	headerTimeout     = 10 * time.Second
)

// Listeners are the listeners of a node.
type Listeners struct {
	Callers, Operators, Peers net.Listener
}

// Background runs all components except the servers until the context is cancelled, and then
// closes the connections to and from peers.
func (n *Node) Background(ctx context.Context) {
	n.mu.Lock()
	n.runCtx = ctx
	n.mu.Unlock()
	n.refreshHostList(ctx)
	n.refreshLoadLimit(ctx)
	var wg sync.WaitGroup
	wg.Go(func() { timing.Every(ctx, hostListInterval, func() { n.refreshHostList(ctx) }) })
	wg.Go(func() { timing.Every(ctx, loadLimitInterval, func() { n.refreshLoadLimit(ctx) }) })
	wg.Go(func() { n.membership.Run(ctx) })
	wg.Go(func() { n.sync.Run(ctx) })
	wg.Go(func() { n.controller.Run(ctx) })
	wg.Go(func() { n.loads.Run(ctx) })
	wg.Go(func() { timing.Every(ctx, admissionLimitInterval, n.updateAdmissionLimit) })
	wg.Go(func() { timing.Every(ctx, prefetchInterval, func() { n.prefetchExpected(ctx) }) })
	wg.Go(func() { timing.Every(ctx, demandSaveInterval, func() { n.saveDemand(ctx) }) })
	wg.Go(func() { timing.Every(ctx, prefetchInterval, func() { n.takeOverDemand(ctx) }) })
	wg.Go(func() { timing.Every(ctx, shareInterval, func() { n.claimShares(ctx) }) })
	wg.Go(func() {
		timing.Every(ctx, idlePinInterval, func() { n.dispatcher.ReturnIdlePins(ctx, time.Now().Add(-maxPinIdleTime)) })
	})
	wg.Go(func() { timing.Every(ctx, claimSweepInterval, func() { n.sweepClaims(ctx) }) })
	wg.Wait()
	n.pool.Close()
	n.server.Close()
}

func (n *Node) refreshHostList(ctx context.Context) {
	list, err := n.hostList.Hosts(ctx)
	if err != nil {
		n.log.Debug("cannot read host list; keeping the last one", "error", err)
		return
	}
	if n.hosts.Update(list) {
		n.runnerTable.SetHosts(n.hosts.ByRole(fleet.RoleRunner))
	}
}

// refreshLoadLimit adopts the load rate that the weight store allows if it is lower than the
// configured one. The previous rate remains if the weight store does not respond.
func (n *Node) refreshLoadLimit(ctx context.Context) {
	if n.weightStore == nil {
		return
	}
	limits, err := n.weightStore.Limits(ctx)
	if err != nil {
		n.log.Debug("cannot read limits of the weight store; keeping the last ones", "error", err)
		return
	}
	n.allowance.SetRate(min(limits.PerSecond, n.cfg.Loads.Rate), time.Now())
}

// ServePeers serves peers until the listener is closed.
func (n *Node) ServePeers(listener net.Listener) error { return n.server.Serve(listener) }

// CallerServer returns the HTTP server for callers.
func (n *Node) CallerServer() *callerconn.Server {
	return callerconn.NewServer(n.httpServer(n.callerAPI.Handler()))
}

// OperatorServer returns the HTTP server for operators.
func (n *Node) OperatorServer() *http.Server {
	api := adminapi.New(n.publisher, n.reader, n, n.cfg.OperatorsByDigest())
	return n.httpServer(api.Handler())
}

func (n *Node) httpServer(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, MaxHeaderBytes: n.cfg.Limits.MaxHeaderBytes, ReadHeaderTimeout: headerTimeout, DisableGeneralOptionsHandler: true}
}

// Ready reports whether this host accepts new requests, for the load balancer.
func (n *Node) Ready() bool {
	n.mu.Lock()
	leaving := n.leaving
	n.mu.Unlock()
	return !leaving && n.follower.Snapshot().Revision() > 0 && n.caughtUp(time.Now())
}

// Stopping reports whether this host refuses requests and closes callers' connections.
func (n *Node) Stopping() bool { return n.stopping.Load() }

// startupGrace is how long a new host waits to hear from the other entry hosts.
const startupGrace = 2 * time.Second

// caughtUp reports whether a new host has heard from its peers and has a revision at least as
// recent as theirs. Once true, it remains true. The object API may be unavailable or return
// stale data, and the first peer to be heard from may be behind. If the host became ready too
// early, callers would see an accepted change revert.
func (n *Node) caughtUp(now time.Time) bool {
	if n.wasCaughtUp.Load() {
		return true
	}
	own := uint64(n.follower.Snapshot().Revision())
	for _, member := range n.members.All() {
		if member.Revision > own {
			return false
		}
	}
	for _, host := range n.hosts.ByRole(fleet.RoleEntry) {
		if !n.members.Alive(host.ID, now) && now.Sub(n.started) < startupGrace {
			return false
		}
	}
	n.wasCaughtUp.Store(true)
	return true
}

// startDrain makes this host not ready and gives up its runners. It continues to serve requests.
func (n *Node) startDrain() {
	n.mu.Lock()
	alreadyDraining := n.draining
	n.leaving = true
	n.draining = true
	n.mu.Unlock()
	if alreadyDraining {
		return
	}
	n.log.Info("draining: no longer ready; handing over runners", "open", n.openRequests.Open())
	n.notifyPeers()
	go func() {
		defer close(n.handedOver)
		n.handOver()
	}()
}

// claimSweepInterval is the interval at which old claims of idempotency keys are removed.
const claimSweepInterval = 10 * time.Minute

// sweepClaims removes old claims of idempotency keys. One host of the fleet does so. If several
// do it at the same time, that is harmless, because removals are conditional.
func (n *Node) sweepClaims(ctx context.Context) {
	if fleet.First("claims", n.candidates(time.Now())) != n.cfg.Host {
		return
	}
	removed, err := n.claims.Sweep(ctx, time.Now())
	if err != nil {
		n.log.Warn("cannot remove all old claims; will retry", "removed", removed, "error", err)
		return
	}
	n.log.Debug("removed old claims", "removed", removed)
}

const handOverTimeout = 10 * time.Second

func (n *Node) handOver() {
	ctx, cancel := context.WithTimeout(n.context(), handOverTimeout)
	defer cancel()
	n.controller.Drain(ctx)
	n.releaseShares(ctx)
	n.sendDemand(ctx)
	n.notifyPeers()
	n.dispatcher.HandoverDone()
}

// Shutdown stops this host gracefully: it becomes not ready immediately, accepts new requests
// until the load balancer has noticed, refuses those that come after that on kept connections, and
// waits for open streams. It returns the number of requests that were cut off because the drain limit was exceeded or the context was cancelled.
func (n *Node) Shutdown(ctx context.Context, callers *callerconn.Server) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, n.cfg.Timing.DrainLimit)
	defer cancel()
	n.startDrain()
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
	n.stopping.Store(true)
	cut, err := callers.Shutdown(ctx)
	select {
	case <-n.openRequests.Empty():
	case <-ctx.Done():
	}
	n.returnPins()
	if err != nil {
		_ = callers.Close()
	}
	if cut == 0 {
		return 0, nil
	}
	return cut, errors.Wrap(err, "drain")
}

// lastMessagesDelay is the time to send the last messages before exit.
const lastMessagesDelay = 200 * time.Millisecond

// returnPins returns all unused pins. Otherwise they would block evictions for as long as the
// platform lists this host.
func (n *Node) returnPins() {
	n.dispatcher.ReturnIdlePins(n.context(), time.Now().Add(time.Hour))
	timing.Sleep(n.context(), lastMessagesDelay)
}

// updateAdmissionLimit sets the maximum number of concurrent requests of this host: the
// overcommitted batch capacity of all runners minus the requests of other hosts, but at least
// an equal share of the capacity.
func (n *Node) updateAdmissionLimit() {
	runners := n.runnerTable.All("")
	capacity, usedByOthers := 0, 0
	for _, runner := range runners {
		if runner.Live {
			capacity += runner.MaxBatch
			usedByOthers += max(0, runner.Occupancy-runner.OwnRequests)
		}
	}
	if capacity == 0 {
		return
	}
	hosts := max(1, len(n.members.Candidates("", time.Now())))
	limit := max(capacity*overcommitPercent/100-usedByOthers, capacity/hosts)
	n.gate.SetLimit(min(limit, n.cfg.Limits.MaxStreams))
}

// overcommitPercent, relative to the runners' batches, keeps a short queue at each engine, so
// that free places are filled immediately.
const overcommitPercent = 150
