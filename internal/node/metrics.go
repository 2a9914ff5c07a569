package node

import (
	"expvar"
	"time"

	"github.com/cherrystage/cherrystage/internal/dispatch"
)

// hostMetrics are the metrics of this host. docs/operators/metrics.md lists them with their
// units.
type hostMetrics struct {
	dispatch.MetricsSnapshot
	Revision           uint64  `json:"revision"`
	Adapters           int     `json:"adapters"`
	Open               int     `json:"requests_open"`
	Unanswered         int64   `json:"requests_unanswered"`
	InUse              int     `json:"gate_in_use"`
	Waiting            int     `json:"gate_waiting"`
	RetriesDenied      int64   `json:"retries_denied"`
	PinsHeld           int     `json:"pins_held"`
	RunnersOwned       int     `json:"runners_owned"`
	LeaseSeconds       float64 `json:"lease_seconds_left"`
	AwaitedLoads       int     `json:"loads_wanted"`
	LoadsPerSecond     float64 `json:"loads_per_second_allowed"`
	ObjectCalls        int64   `json:"object_api_calls"`
	HeartbeatsAnswered int64   `json:"heartbeats_answered"`
	PeersRejected      int64   `json:"peer_rejected"`
	HostListsStale     int     `json:"host_lists_not_believed"`
	DemandModels       int     `json:"demand_models"`
	UptimeSeconds      float64 `json:"uptime_seconds"`
	RunnersBlocked     int     `json:"runners_blocked_by_unheard_hosts"`
}

// Vars returns the metrics of this host for the expvar page.
func (n *Node) Vars() expvar.Var { return expvar.Func(func() any { return n.collectMetrics() }) }

func (n *Node) collectMetrics() hostMetrics {
	now := time.Now()
	snapshot := n.follower.Snapshot()
	result := hostMetrics{
		MetricsSnapshot: n.metrics.Snapshot(), Revision: uint64(snapshot.Revision()), Adapters: snapshot.Len(),
		Open: n.openRequests.Open(), Unanswered: n.callerAPI.Unanswered.Load(), InUse: n.gate.InUse(), Waiting: n.gate.Waiting(), RetriesDenied: n.retryBudget.Denied(),
		PinsHeld: n.pinHolder.PinCount(), RunnersOwned: len(n.controller.Owned()),
		LeaseSeconds: max(0, n.controller.LeaseValidUntil().Sub(now).Seconds()), AwaitedLoads: n.controller.AwaitedLoads(),
		LoadsPerSecond: n.allowance.PerSecond(now), ObjectCalls: n.objects.CallCount(), HeartbeatsAnswered: n.membership.HeartbeatsAnswered(),
		PeersRejected: n.server.Rejected(), HostListsStale: n.hosts.StaleLists(), DemandModels: n.demand.estimator.Len(),
		UptimeSeconds: now.Sub(n.started).Seconds(),
	}
	for _, view := range n.ownedViews() {
		if view.Unheard > 0 {
			result.RunnersBlocked++
		}
	}
	return result
}
