package entry

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cherrystage/cherrystage/internal/awake"
	"github.com/cherrystage/cherrystage/internal/directory"
	"github.com/cherrystage/cherrystage/internal/mesh"
	"github.com/cherrystage/cherrystage/internal/peer"
	"github.com/cherrystage/cherrystage/internal/quota"
	"github.com/cherrystage/cherrystage/internal/serve"
	"github.com/cherrystage/cherrystage/internal/site"
	"github.com/cherrystage/cherrystage/internal/timing"
	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
)

const (
	// methodQuota requests units of a part of a quota.
	methodQuota = "quota.ask"
	// quotaTimeout bounds a call to a counting host, as ownerTimeout does an admission.
	quotaTimeout = 250 * time.Millisecond
	// maxHedgeDelay and minHedgeDelay bound how long to wait for one counting host before
	// the next is asked as well. Between them, the delay is the request's target latency
	// divided by targetDivisor. A late grant is kept for the next request.
	maxHedgeDelay = 100 * time.Millisecond
	minHedgeDelay = 30 * time.Millisecond
	targetDivisor = 4
	// maxUnitWait bounds how long a request waits for units that become available soon. The
	// wait is also at most its target latency divided by targetDivisor.
	maxUnitWait = 200 * time.Millisecond
	// quotaBackoff is how long a host that did not respond is skipped in favour of others.
	quotaBackoff = 500 * time.Millisecond
	// unknownRetryPause is the pause before all parts are asked again if none is counted at
	// the moment. After a loss of all hosts each part is counted again within a second.
	unknownRetryPause = 50 * time.Millisecond
	// unknownRetryAfter is when callers are told to retry if no part is counted.
	unknownRetryAfter = 300 * time.Millisecond
	// returnInterval is how often unused units are returned.
	returnInterval = 250 * time.Millisecond
)

// QuotaParams requests units of a part of a workspace's quota from its counting host.
type QuotaParams struct {
	Workspace string `json:"workspace"`
	Part      int    `json:"part"`
	// Cost, Prefetch and Returned are in the quota's units: the cost of the request at hand, what
	// the host will likely need in addition, and what it returns.
	Cost     float64 `json:"cost,omitempty"`
	Prefetch float64 `json:"ahead,omitempty"`
	Returned float64 `json:"back,omitempty"`
	// ReturnedAgeMS is how long ago the first of the returned units was granted.
	ReturnedAgeMS int64 `json:"back_ms,omitempty"`
}

// QuotaResult is the result of a request for units.
type QuotaResult struct {
	Granted float64 `json:"granted,omitempty"`
	// WaitMS is the time until the cost may be granted, if it was not.
	WaitMS int64 `json:"wait_ms,omitempty"`
	// Level is the number of units left in the part.
	Level float64 `json:"level"`
}

// quotaManager enforces the quotas of workspaces together with the other hosts. Each part
// of a quota is counted by one host; the others request units from it.
type quotaManager struct {
	host       string
	mesh       *mesh.State
	pool       *peer.Pool
	directory  *directory.Directory
	tolerance  quota.Tolerance
	counting   *leasedCounter
	allowances *quota.Allowances
	backoff    hostBackoff
	now        func() time.Time
	running    awake.Clock
	log        hclog.Logger
	// nextPart selects the part to ask first, round-robin.
	nextPart atomic.Uint32
	usages   quota.UsageByWorkspace
}

func newQuotaManager(host string, state *mesh.State, pool *peer.Pool, d *directory.Directory, tolerance quota.Tolerance, now func() time.Time, log hclog.Logger) *quotaManager {
	return &quotaManager{
		host: host, mesh: state, pool: pool, directory: d, tolerance: tolerance,
		counting: newLeasedCounter(host, state, quota.PartKey), allowances: quota.NewAllowances(), now: now, log: log,
	}
}

func (q *quotaManager) register(mux *peer.Mux) {
	peer.Handle(mux, methodQuota, func(_ context.Context, _ peer.Identity, p QuotaParams) (QuotaResult, error) {
		answer, err := q.grant(quota.GrantRequest{Key: p.Workspace, Part: p.Part, Cost: p.Cost, Prefetch: p.Prefetch, Returned: p.Returned, ReturnedAge: time.Duration(p.ReturnedAgeMS) * time.Millisecond})
		if err != nil {
			return QuotaResult{}, peer.NewRefusal(err)
		}
		return QuotaResult{Granted: answer.Granted, WaitMS: answer.RetryAfter.Milliseconds(), Level: answer.Level}, nil
	})
}

var (
	errNoCounter = errors.New("no reachable host counts this part of the quota")
	errNoQuota   = errors.New("this host knows no quota of the workspace")
)

// grant handles a request for units of a part that this host counts.
func (q *quotaManager) grant(request quota.GrantRequest) (quota.GrantResponse, error) {
	if request.Part < 0 || request.Part >= quota.Parts || !(request.Cost >= 0) || !(request.Prefetch >= 0) || !(request.Returned >= 0) || request.ReturnedAge < 0 {
		return quota.GrantResponse{}, errors.Errorf("part %d, cost %g, ahead %g, back %g", request.Part, request.Cost, request.Prefetch, request.Returned)
	}
	now := q.now()
	leadership, err := q.counting.leadership(request.Key, request.Part, now)
	if err != nil {
		return quota.GrantResponse{}, err
	}
	config := q.directory.Snapshot().Config
	if config == nil {
		return quota.GrantResponse{}, errNoQuota
	}
	workspace, ok := config.Workspaces.ByName(request.Key)
	if !ok || !workspace.Quota.Bounded() {
		return quota.GrantResponse{}, errNoQuota
	}
	limit := quota.PartLimit(workspace.Quota, q.tolerance)
	return q.counting.counter.Grant(request, limit, leadership, now), nil
}

// Charge implements serve.Quotas.
func (q *quotaManager) Charge(ctx context.Context, workspace *site.Workspace, cost float64, target time.Duration) serve.Charge {
	if !workspace.Quota.Bounded() {
		return serve.Charge{Outcome: serve.ChargeUnmetered, Workspace: workspace.Name}
	}
	charge := q.chargeWithRetry(ctx, workspace, cost, target)
	switch charge.Outcome {
	case serve.ChargeGranted:
		q.usages.Add(workspace.Name, quota.Usage{Charged: 1, Units: cost})
	case serve.ChargeRefused:
		q.usages.Add(workspace.Name, quota.Usage{Refused: 1})
	case serve.ChargeUnknown:
		q.usages.Add(workspace.Name, quota.Usage{Unknown: 1})
	case serve.ChargeUnmetered:
	}
	return charge
}

// chargeWithRetry retries a charge while units can still become available within a fraction
// of the request's target latency.
//
// After a loss of all hosts, buckets start empty. Without the retries, callers far below
// their quotas were refused in the first second although units came a moment later.
func (q *quotaManager) chargeWithRetry(ctx context.Context, workspace *site.Workspace, cost float64, target time.Duration) serve.Charge {
	charge := serve.Charge{Workspace: workspace.Name, Cost: cost, Window: q.tolerance.Window}
	until := q.now().Add(min(target/targetDivisor, maxUnitWait))
	for {
		q.chargeOnce(ctx, workspace, target, &charge)
		pause := charge.Wait
		switch {
		case charge.Outcome == serve.ChargeGranted || ctx.Err() != nil:
			charge.At = q.now()
			return charge
		case charge.Outcome == serve.ChargeUnknown:
			pause = unknownRetryPause
		}
		if q.now().Add(pause).After(until) {
			return charge
		}
		timing.Sleep(ctx, pause)
	}
}

// chargeOnce charges units granted before, or else requests new ones.
func (q *quotaManager) chargeOnce(ctx context.Context, workspace *site.Workspace, target time.Duration, charge *serve.Charge) {
	now := q.now()
	if part, ok := q.allowances.Spend(workspace.Name, charge.Cost, now); ok {
		charge.Outcome, charge.Part, charge.CountedBy = serve.ChargeGranted, part, "units granted before"
		return
	}
	if wait, refused := q.allowances.Refused(workspace.Name, charge.Cost, now); refused {
		charge.Outcome, charge.Wait, charge.CountedBy = serve.ChargeRefused, wait, "a refusal of all parts a moment ago"
		return
	}
	q.requestUnits(ctx, workspace, min(max(minHedgeDelay, target/targetDivisor), maxHedgeDelay), charge)
}

// requestUnits requests the units from one part after the other until one grants them.
func (q *quotaManager) requestUnits(ctx context.Context, workspace *site.Workspace, hedgeDelay time.Duration, charge *serve.Charge) {
	request := quota.GrantRequest{Key: workspace.Name, Cost: charge.Cost, Prefetch: q.allowances.PrefetchUnits(workspace.Name, q.now())}
	firstPart := int(q.nextPart.Add(1))
	charge.Outcome, charge.Wait = serve.ChargeUnknown, unknownRetryAfter
	for i := range quota.Parts {
		request.Part = (firstPart + i) % quota.Parts
		sent := q.now()
		answer, host, err := q.requestFromPart(ctx, request, hedgeDelay)
		if err != nil {
			continue
		}
		charge.CountedBy, charge.Level, charge.Age = host, answer.Level, q.now().Sub(sent)
		if answer.Granted > 0 {
			q.allowances.RecordUse(workspace.Name, charge.Cost, q.now())
			q.allowances.AddGrant(workspace.Name, request.Part, answer.Granted-charge.Cost, q.now())
			charge.Outcome, charge.Part = serve.ChargeGranted, request.Part
			return
		}
		if charge.Outcome == serve.ChargeUnknown || answer.RetryAfter < charge.Wait {
			charge.Outcome, charge.Wait = serve.ChargeRefused, answer.RetryAfter
		}
	}
	if charge.Outcome == serve.ChargeRefused {
		q.allowances.RefuseUntil(workspace.Name, charge.Wait, workspace.Quota.Rate, q.now())
	}
}

// requestFromPart requests units from the counting host of a part and returns that host's name.
func (q *quotaManager) requestFromPart(ctx context.Context, request quota.GrantRequest, hedgeDelay time.Duration) (quota.GrantResponse, string, error) {
	host, address := q.counting.countingHost(request.Key, request.Part)
	switch {
	case host == "":
		return quota.GrantResponse{}, "", errNoCounter
	case host == q.host:
		answer, err := q.grant(request)
		return answer, host, err
	case address == "" || q.backoff.active(host, q.now()):
		return quota.GrantResponse{}, host, errNoCounter
	}
	answers := make(chan grantResult, 1)
	go func() { answers <- q.call(address, request) }()
	result, err := awake.Receive(ctx, q.running.NewLimit(hedgeDelay), answers)
	switch {
	case err == nil:
		q.noteCallResult(host, result.err)
		return result.answer, host, result.err
	case errors.Is(err, awake.ErrExpired):
		q.backoff.set(host, q.now().Add(quotaBackoff))
	}
	go q.keepLateGrant(request, answers)
	return quota.GrantResponse{}, host, errNoCounter
}

type grantResult struct {
	answer quota.GrantResponse
	err    error
}

// call requests units from another host. It is not canceled with the request that it is
// for, since the next request can use the units.
func (q *quotaManager) call(address string, request quota.GrantRequest) grantResult {
	ctx, cancel := context.WithTimeout(context.Background(), quotaTimeout)
	defer cancel()
	params := QuotaParams{Workspace: request.Key, Part: request.Part, Cost: request.Cost, Prefetch: request.Prefetch, Returned: request.Returned, ReturnedAgeMS: request.ReturnedAge.Milliseconds()}
	var result QuotaResult
	if err := q.pool.Call(ctx, address, methodQuota, params, &result); err != nil {
		return grantResult{err: err}
	}
	wait := time.Duration(result.WaitMS) * time.Millisecond
	return grantResult{answer: quota.GrantResponse{Granted: result.Granted, RetryAfter: wait, Level: result.Level}}
}

// noteCallResult backs off from a host that cannot be reached. A host that responds that it
// does not count the part is asked again, since it may count it soon.
func (q *quotaManager) noteCallResult(host string, err error) {
	if err == nil || peer.IsRefusal(err) {
		return
	}
	q.backoff.set(host, q.now().Add(quotaBackoff))
	q.log.Info("quota counting host unreachable", "peer", host, "error", err.Error())
}

// keepLateGrant keeps units granted after the hedge delay for later requests.
func (q *quotaManager) keepLateGrant(request quota.GrantRequest, answers <-chan grantResult) {
	if result := <-answers; result.err == nil && result.answer.Granted > 0 {
		q.allowances.AddGrant(request.Key, request.Part, result.answer.Granted, q.now())
	}
}

// Refund implements serve.Quotas.
func (q *quotaManager) Refund(charge serve.Charge) {
	if charge.Outcome == serve.ChargeGranted {
		q.allowances.AddRefund(charge.Workspace, charge.Part, charge.Cost, charge.At)
		q.usages.Add(charge.Workspace, quota.Usage{Returned: charge.Cost})
	}
}

// run returns unused units and drops the counts of reassigned parts until ctx is done.
func (q *quotaManager) run(ctx context.Context) {
	timing.Every(ctx, returnInterval, func() {
		q.counting.dropReassigned()
		for _, back := range q.allowances.TakeIdle(q.now()) {
			go q.returnUnits(ctx, back)
		}
	})
}

// returnUnits returns units without retrying. If the call fails they count as spent:
// returned twice, they would be granted twice.
func (q *quotaManager) returnUnits(ctx context.Context, back quota.GrantRequest) {
	if _, host, err := q.requestFromPart(ctx, back, quotaTimeout); err != nil {
		q.log.Debug("could not return unused quota units", "workspace", back.Key, "part", back.Part, "units", back.Returned, "peer", host, "error", err.Error())
	}
}

// workspaceUse returns the usage of each workspace that sent requests to this host, with
// the quota in force.
func (q *quotaManager) workspaceUse() map[string]quota.WorkspaceMetrics {
	var workspaces *site.Workspaces
	if config := q.directory.Snapshot().Config; config != nil {
		workspaces = config.Workspaces
	}
	use := map[string]quota.WorkspaceMetrics{}
	for name, usage := range q.usages.All() {
		inUse := quota.WorkspaceMetrics{Usage: usage}
		if workspace, ok := workspaces.ByName(name); ok {
			inUse.Rate, inUse.Burst, inUse.InTokens = workspace.Quota.Rate, workspace.Quota.Burst, workspace.Quota.InTokens
		}
		use[name] = inUse
	}
	return use
}
