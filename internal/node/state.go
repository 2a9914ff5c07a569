package node

import (
	"context"
	"time"

	"github.com/cherrystage/cherrystage/internal/adminapi"
	"github.com/cherrystage/cherrystage/internal/configlog"
	"github.com/cherrystage/cherrystage/internal/dispatch"
	"github.com/cherrystage/cherrystage/internal/fleet"
	"github.com/cherrystage/cherrystage/internal/inventory"
	"github.com/cherrystage/cherrystage/internal/peer"
	"github.com/cherrystage/cherrystage/internal/residency"
	"github.com/pkg/errors"
)

// member returns the description of this node for its peers.
func (n *Node) member() fleet.Member {
	n.mu.Lock()
	leaving := n.leaving
	n.mu.Unlock()
	revision := n.follower.Snapshot().Revision()
	return fleet.Member{
		Host: n.cfg.Host, Incarnation: n.self.Incarnation, Address: n.cfg.AdvertisedPeerAddress(),
		DataCentre: n.cfg.DataCentre, Region: n.cfg.Region, Leaving: leaving, Ready: n.started.Before(time.Now()),
		Revision: uint64(revision), LoadWaitMS: n.loads.ExpectedLoadTime().Milliseconds(), WaitingLoads: n.controller.AwaitedLoads(),
	}
}

// candidateCacheTTL is how long the list of candidates is cached. Every request needs it to find
// the home of its adapter, and the cost of computing it grows with the fleet.
const candidateCacheTTL = 100 * time.Millisecond

type candidateList struct {
	hosts []string
	at    time.Time
}

// candidates returns the members that may currently own runners or be homes of models.
func (n *Node) candidates(now time.Time) []string {
	cached := n.candidateCache.Load()
	if cached != nil && now.Sub(cached.at) < candidateCacheTTL {
		return cached.hosts
	}
	fresh := &candidateList{hosts: n.members.Candidates("", now), at: now}
	n.candidateCache.Store(fresh)
	return fresh.hosts
}

// publishView publishes this node's view of a runner that it owns.
func (n *Node) publishView(view residency.View) {
	n.mu.Lock()
	modelsChanged := !view.SameModels(n.viewsByRunner[view.Runner])
	n.viewsByRunner[view.Runner] = view
	n.mu.Unlock()
	n.runnerTable.Update(view)
	if modelsChanged {
		// Sent immediately: with views half a second old, homes that place loads would evict
		// models although other runners have free slots.
		n.membership.TriggerRound()
	}
}

// ownedViews returns the views of the runners that this node owns.
func (n *Node) ownedViews() []residency.View {
	var views []residency.View
	for _, id := range n.controller.Owned() {
		n.mu.Lock()
		view, ok := n.viewsByRunner[id]
		n.mu.Unlock()
		if ok {
			views = append(views, view)
		}
	}
	return views
}

// updatePeerViews stores the views that peers have of their runners. Passing on the fencing
// number keeps pins of earlier owners from being accepted.
func (n *Node) updatePeerViews(views []residency.View) {
	for _, view := range views {
		if n.runnerTable.Update(view) {
			n.pinHolder.ObserveFence(view.Runner, view.Fence)
		}
	}
}

func (n *Node) pullNewerConfig(member fleet.Member) { n.sync.PullIfNewer(n.context(), member) }

// notifyPeers sends heartbeats immediately, for example to announce a new revision.
func (n *Node) notifyPeers() { n.membership.SendHeartbeats(n.context()) }

func (n *Node) context() context.Context {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.runCtx
}

// Snapshot returns the inventory in force.
func (n *Node) Snapshot() *inventory.Snapshot { return n.follower.Snapshot() }

// Accepted puts an accepted change in force on this node.
func (n *Node) Accepted(change configlog.Change) {
	n.log.Named("audit").Info("change accepted", "revision", uint64(change.Revision), "change", change.ID,
		"operator", change.Operator, "from", uint64(change.From), "items", change.Items)
	n.sync.ApplyAccepted(change)
}

// Status returns the state of the deployment as seen by this host.
func (n *Node) Status() adminapi.Status {
	now := time.Now()
	snapshot := n.follower.Snapshot()
	status := adminapi.Status{
		Host: n.cfg.Host, Now: now.UTC(), Revision: snapshot.Revision(), Adapters: snapshot.Len(),
		LeaseValid: now.Before(n.controller.LeaseValidUntil()), Services: n.hosts.ByRole(fleet.RoleService),
		Loads: n.loads.View(), Requests: n.metrics.Snapshot(), InUse: n.gate.InUse(), Waiting: n.gate.Waiting(),
	}
	for _, member := range n.members.All() {
		host, _ := n.hosts.Host(member.Host)
		status.Hosts = append(status.Hosts, adminapi.HostStatus{Member: member, State: host.State, Alive: n.members.Alive(member.Host, now)})
	}
	for _, view := range n.runnerTable.Views() {
		host, _ := n.hosts.Host(view.Runner)
		status.Runners = append(status.Runners, adminapi.RunnerStatus{View: view, State: host.State, DataCentre: host.DataCentre, Base: host.Base})
	}
	return status
}

// Methods that peers can call.
const (
	methodExplain = "trace.find"
	methodDrain   = "node.drain"
	methodDemand  = "demand.hand"
	// peerCallTimeout limits the time of one call.
	peerCallTimeout = 2 * time.Second
)

type explainParams struct {
	Request string `json:"request"`
}

type explainResult struct {
	Found  bool                 `json:"found"`
	Report dispatch.TraceReport `json:"story"`
}

func (n *Node) registerPeerMethods(mux *peer.Mux) {
	peer.Handle(mux, methodExplain, func(_ context.Context, _ peer.Identity, p explainParams) (explainResult, error) {
		report, found := n.traces.Find(p.Request)
		return explainResult{Found: found, Report: report}, nil
	})
	peer.Handle(mux, methodDemand, func(_ context.Context, _ peer.Identity, p demandParams) (struct{}, error) {
		n.demand.estimator.Restore(p.Items, time.Now())
		return struct{}{}, nil
	})
	peer.Handle(mux, methodDrain, func(context.Context, peer.Identity, struct{}) (struct{}, error) {
		n.startDrain()
		return struct{}{}, nil
	})
}

// Explain returns how a request was handled, asking the other hosts if necessary.
func (n *Node) Explain(ctx context.Context, request string) (dispatch.TraceReport, bool) {
	if report, ok := n.traces.Find(request); ok {
		return report, true
	}
	for _, member := range n.members.All() {
		if member.Host == n.cfg.Host || !n.members.Alive(member.Host, time.Now()) {
			continue
		}
		var result explainResult
		err := n.call(ctx, member.Address, methodExplain, explainParams{Request: request}, &result)
		if err == nil && result.Found {
			return result.Report, true
		}
	}
	return dispatch.TraceReport{}, false
}

func (n *Node) call(ctx context.Context, address, method string, params, result any) error {
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	return n.pool.Call(ctx, address, method, params, result)
}

// Drain makes an entry host not ready and makes it give up its runners.
func (n *Node) Drain(ctx context.Context, host string) error {
	if host == n.cfg.Host {
		n.startDrain()
		return nil
	}
	member, ok := n.members.Get(host)
	if !ok {
		return errors.Errorf("%s is not an entry host that this host hears; targets are drained through the platform's host list", host)
	}
	return n.call(ctx, member.Address, methodDrain, struct{}{}, nil)
}
