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

// member describes this node to its peers.
func (n *Node) member() fleet.Member {
	n.mu.Lock()
	leaving := n.leaving
	n.mu.Unlock()
	revision := n.follower.Snapshot().Revision()
	return fleet.Member{
		Host: n.cfg.Host, Incarnation: n.self.Incarnation, Address: n.cfg.AdvertisedPeer(),
		DataCentre: n.cfg.DataCentre, Region: n.cfg.Region, Leaving: leaving, Ready: n.started.Before(time.Now()),
		Revision: uint64(revision), LoadWaitMS: n.loads.Expected().Milliseconds(), WaitingLoads: n.controller.Wanted(),
	}
}

// candidatesLife is how long the list of candidates is kept: every request
// asks for it, to find its adapter's home, and making it costs more the larger
// the fleet is.
const candidatesLife = 100 * time.Millisecond

type candidateList struct {
	hosts []string
	at    time.Time
}

// candidates gives the members that hold roles now.
func (n *Node) candidates(now time.Time) []string {
	kept := n.kept.Load()
	if kept != nil && now.Sub(kept.at) < candidatesLife {
		return kept.hosts
	}
	fresh := &candidateList{hosts: n.members.Candidates("", now), at: now}
	n.kept.Store(fresh)
	return fresh.hosts
}

// publish takes what this node's owner side tells of a runner over.
func (n *Node) publish(view residency.View) {
	n.mu.Lock()
	moved := !view.SameModels(n.owned[view.Runner])
	n.owned[view.Runner] = view
	n.mu.Unlock()
	n.table.Update(view)
	if moved {
		// Told at once: homes that place loads by a view half a second old
		// evict models while other runners have free slots.
		n.membership.TriggerRound()
	}
}

// ownedViews gives what this node tells of the runners it owns.
func (n *Node) ownedViews() []residency.View {
	var views []residency.View
	for _, id := range n.controller.Owned() {
		n.mu.Lock()
		view, ok := n.owned[id]
		n.mu.Unlock()
		if ok {
			views = append(views, view)
		}
	}
	return views
}

// seen takes what peers tell of their runners. The fencing number goes to the
// pins too, so that no grant of an earlier owner is taken any more.
func (n *Node) seen(views []residency.View) {
	for _, view := range views {
		if n.table.Update(view) {
			n.holder.Learn(view.Runner, view.Fence)
		}
	}
}

func (n *Node) heard(member fleet.Member) { n.sync.PullIfNewer(n.context(), member) }

// announce tells the peers of a new revision at once.
func (n *Node) announce() { n.membership.SendHeartbeats(n.context()) }

func (n *Node) context() context.Context {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.runCtx
}

// Snapshot gives the inventory in force.
func (n *Node) Snapshot() *inventory.Snapshot { return n.follower.Snapshot() }

// Accepted puts a change in force that this node has just had accepted.
func (n *Node) Accepted(change configlog.Change) {
	n.log.Named("audit").Info("change accepted", "revision", uint64(change.Revision), "change", change.ID,
		"operator", change.Operator, "from", uint64(change.From), "items", change.Items)
	n.sync.ApplyAccepted(change)
}

// Status gives the state of the deployment as this host sees it.
func (n *Node) Status() adminapi.Status {
	now := time.Now()
	snapshot := n.follower.Snapshot()
	status := adminapi.Status{
		Host: n.cfg.Host, Now: now.UTC(), Revision: snapshot.Revision(), Adapters: snapshot.Len(),
		LeaseValid: now.Before(n.controller.Lease()), Services: n.hosts.ByRole(fleet.RoleService),
		Loads: n.loads.View(), Requests: n.metrics.Figures(), InUse: n.gate.InUse(), Waiting: n.gate.Waiting(),
	}
	for _, member := range n.members.All() {
		host, _ := n.hosts.Host(member.Host)
		status.Hosts = append(status.Hosts, adminapi.HostStatus{Member: member, State: host.State, Speaking: n.members.Alive(member.Host, now)})
	}
	for _, view := range n.table.Views() {
		host, _ := n.hosts.Host(view.Runner)
		status.Runners = append(status.Runners, adminapi.RunnerStatus{View: view, State: host.State, DataCentre: host.DataCentre, Base: host.Base})
	}
	return status
}

// Peer methods of this package.
const (
	methodExplain = "trace.find"
	methodDrain   = "node.drain"
	methodDemand  = "demand.hand"
	askTimeout    = 2 * time.Second
)

type explainParams struct {
	Request string `json:"request"`
}

type explainResult struct {
	Found bool           `json:"found"`
	Story dispatch.Story `json:"story"`
}

func (n *Node) registerOwn(mux *peer.Mux) {
	peer.Handle(mux, methodExplain, func(_ context.Context, _ peer.Identity, p explainParams) (explainResult, error) {
		story, found := n.traces.Find(p.Request)
		return explainResult{Found: found, Story: story}, nil
	})
	peer.Handle(mux, methodDemand, func(_ context.Context, _ peer.Identity, p demandParams) (struct{}, error) {
		n.demand.estimator.Restore(p.Items, time.Now())
		return struct{}{}, nil
	})
	peer.Handle(mux, methodDrain, func(context.Context, peer.Identity, struct{}) (struct{}, error) {
		n.drainHere()
		return struct{}{}, nil
	})
}

// Explain gives the story of a request, from whichever host served it.
func (n *Node) Explain(ctx context.Context, request string) (dispatch.Story, bool) {
	if story, ok := n.traces.Find(request); ok {
		return story, true
	}
	for _, member := range n.members.All() {
		if member.Host == n.cfg.Host || !n.members.Alive(member.Host, time.Now()) {
			continue
		}
		var result explainResult
		err := n.call(ctx, member.Address, methodExplain, explainParams{Request: request}, &result)
		if err == nil && result.Found {
			return result.Story, true
		}
	}
	return dispatch.Story{}, false
}

func (n *Node) call(ctx context.Context, address, method string, params, result any) error {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	return n.pool.Call(ctx, address, method, params, result)
}

// Drain makes an entry host give its runners away and take no new requests.
func (n *Node) Drain(ctx context.Context, host string) error {
	if host == n.cfg.Host {
		n.drainHere()
		return nil
	}
	member, ok := n.members.Get(host)
	if !ok {
		return errors.Errorf("%s is not an entry host that this host hears; targets are drained through the platform's host list", host)
	}
	return n.call(ctx, member.Address, methodDrain, struct{}{}, nil)
}
