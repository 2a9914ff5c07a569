package entry

import (
	"context"
	"sync/atomic"
	"time"

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
	// methodQuota asks for units of a part of a quota.
	methodQuota = "quota.ask"
	// quotaTimeout bounds an ask, as ownerTimeout does an admission.
	quotaTimeout = 250 * time.Millisecond
	// mostPatience and leastPatience bound how long one counting host is waited for
	// before the next is asked as well; targetShare of a request's target latency lies
	// between them. What the first grants later is kept for the next request.
	mostPatience  = 100 * time.Millisecond
	leastPatience = 30 * time.Millisecond
	targetShare   = 4
	// mostWait bounds how long a request waits for units that come soon; targetShare of
	// its target latency does too.
	mostWait = 200 * time.Millisecond
	// quotaRest is how long a host that did not answer is passed over while others count.
	quotaRest = 500 * time.Millisecond
	// askAgain is the pause before all parts are asked once more, where none is counted
	// at the moment: after a loss of all hosts each counts again within a second.
	askAgain = 50 * time.Millisecond
	// quotaUnknownRetry is when a caller should come back where no part is counted.
	quotaUnknownRetry = 300 * time.Millisecond
	// backInterval is how often units that lie unused are looked for.
	backInterval = 250 * time.Millisecond
)

// QuotaParams asks the host that counts a part of a workspace's quota for units of it.
type QuotaParams struct {
	Workspace string `json:"workspace"`
	Part      int    `json:"part"`
	// Cost, Ahead and Back are in the quota's units: what the request at hand needs, what
	// the host will likely need besides, and what it gives back.
	Cost  float64 `json:"cost,omitempty"`
	Ahead float64 `json:"ahead,omitempty"`
	Back  float64 `json:"back,omitempty"`
}

// QuotaResult answers it.
type QuotaResult struct {
	Granted float64 `json:"granted,omitempty"`
	// WaitMS is when the cost may be granted, where it was not.
	WaitMS int64   `json:"wait_ms,omitempty"`
	Level  float64 `json:"level"`
}

// quotas is how the hosts keep workspaces to their quotas together.
type quotas struct {
	host       string
	mesh       *mesh.State
	pool       *peer.Pool
	directory  *directory.Directory
	tolerance  quota.Tolerance
	counting   *counting
	allowances *quota.Allowances
	resting    resting
	now        func() time.Time
	log        hclog.Logger
	// turn spreads asks over the parts.
	turn   atomic.Uint32
	usages quota.UsageByWorkspace
}

func newQuotas(host string, state *mesh.State, pool *peer.Pool, known *directory.Directory, tolerance quota.Tolerance, now func() time.Time, log hclog.Logger) *quotas {
	return &quotas{
		host: host, mesh: state, pool: pool, directory: known, tolerance: tolerance,
		counting: newCounting(host, state, quota.PartKey), allowances: quota.NewAllowances(), now: now, log: log,
	}
}

func (q *quotas) register(mux *peer.Mux) {
	peer.Handle(mux, methodQuota, func(_ context.Context, _ peer.Identity, p QuotaParams) (QuotaResult, error) {
		answer, err := q.count(quota.GrantRequest{Key: p.Workspace, Part: p.Part, Cost: p.Cost, Prefetch: p.Ahead, Returned: p.Back})
		if err != nil {
			return QuotaResult{}, peer.NewRefusal(err)
		}
		return QuotaResult{Granted: answer.Granted, WaitMS: answer.RetryAfter.Milliseconds(), Level: answer.Level}, nil
	})
}

var (
	errNoCounter = errors.New("no host counts this part of the quota")
	errNoQuota   = errors.New("this host knows no quota of the workspace")
)

// count answers an ask as the host that counts the part, if this one is.
func (q *quotas) count(ask quota.GrantRequest) (quota.GrantResponse, error) {
	if ask.Part < 0 || ask.Part >= quota.Parts || !(ask.Cost >= 0) || !(ask.Prefetch >= 0) || !(ask.Returned >= 0) {
		return quota.GrantResponse{}, errors.Errorf("part %d, cost %g, ahead %g, back %g", ask.Part, ask.Cost, ask.Prefetch, ask.Returned)
	}
	now := q.now()
	right, err := q.counting.right(ask.Key, ask.Part, now)
	if err != nil {
		return quota.GrantResponse{}, err
	}
	config := q.directory.Snapshot().Config
	if config == nil {
		return quota.GrantResponse{}, errNoQuota
	}
	workspace, ok := config.Workspaces.ByName(ask.Key)
	if !ok || !workspace.Quota.Bounded() {
		return quota.GrantResponse{}, errNoQuota
	}
	limit := quota.PartLimit(workspace.Quota, q.tolerance)
	return q.counting.counter.Grant(ask, limit, right, now), nil
}

// Charge implements serve.Quotas.
func (q *quotas) Charge(ctx context.Context, workspace *site.Workspace, cost float64, target time.Duration) serve.Charge {
	if !workspace.Quota.Bounded() {
		return serve.Charge{Outcome: serve.ChargeUnmetered, Workspace: workspace.Name}
	}
	charge := q.charge(ctx, workspace, cost, target)
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

// charge asks until it has an answer that stands. A request whose units come within a share
// of its target latency waits for them.
//
// After a loss of all hosts buckets begin empty. Callers far below their quotas were sent
// away in the first second, although their units came a moment later.
func (q *quotas) charge(ctx context.Context, workspace *site.Workspace, cost float64, target time.Duration) serve.Charge {
	charge := serve.Charge{Workspace: workspace.Name, Cost: cost, Window: q.tolerance.Window}
	until := q.now().Add(min(target/targetShare, mostWait))
	for {
		q.try(ctx, workspace, target, &charge)
		pause := charge.Wait
		switch {
		case charge.Outcome == serve.ChargeGranted || ctx.Err() != nil:
			return charge
		case charge.Outcome == serve.ChargeUnknown:
			pause = askAgain
		}
		if q.now().Add(pause).After(until) {
			return charge
		}
		timing.Sleep(ctx, pause)
	}
}

// try charges once: from what the host was granted before, or by asking.
func (q *quotas) try(ctx context.Context, workspace *site.Workspace, target time.Duration, charge *serve.Charge) {
	now := q.now()
	if part, ok := q.allowances.Spend(workspace.Name, charge.Cost, now); ok {
		charge.Outcome, charge.Part, charge.CountedBy = serve.ChargeGranted, part, "units granted before"
		return
	}
	if wait, refused := q.allowances.Refused(workspace.Name, charge.Cost, now); refused {
		charge.Outcome, charge.Wait, charge.CountedBy = serve.ChargeRefused, wait, "a refusal of all parts a moment ago"
		return
	}
	q.askAll(ctx, workspace, min(max(leastPatience, target/targetShare), mostPatience), charge)
}

// askAll asks for the units part by part: until one grants them, or all that are counted
// refuse.
func (q *quotas) askAll(ctx context.Context, workspace *site.Workspace, patience time.Duration, charge *serve.Charge) {
	ask := quota.GrantRequest{Key: workspace.Name, Cost: charge.Cost, Prefetch: q.allowances.PrefetchUnits(workspace.Name, q.now())}
	begin := int(q.turn.Add(1))
	charge.Outcome, charge.Wait = serve.ChargeUnknown, quotaUnknownRetry
	for i := range quota.Parts {
		ask.Part = (begin + i) % quota.Parts
		sent := q.now()
		answer, by, err := q.ask(ctx, ask, patience)
		if err != nil {
			continue
		}
		charge.CountedBy, charge.Level, charge.Age = by, answer.Level, q.now().Sub(sent)
		if answer.Granted > 0 {
			q.allowances.RecordUse(workspace.Name, charge.Cost, q.now())
			q.allowances.AddGrant(workspace.Name, ask.Part, answer.Granted-charge.Cost, q.now())
			charge.Outcome, charge.Part = serve.ChargeGranted, ask.Part
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

// ask asks the host that counts a part, and gives its name.
func (q *quotas) ask(ctx context.Context, ask quota.GrantRequest, patience time.Duration) (quota.GrantResponse, string, error) {
	host, address := q.counting.first(ask.Key, ask.Part)
	switch {
	case host == "":
		return quota.GrantResponse{}, "", errNoCounter
	case host == q.host:
		answer, err := q.count(ask)
		return answer, host, err
	case address == "" || q.resting.rests(host, q.now()):
		return quota.GrantResponse{}, host, errNoCounter
	}
	answers := make(chan askResult, 1)
	go func() { answers <- q.call(address, ask) }()
	timer := time.NewTimer(patience)
	defer timer.Stop()
	select {
	case result := <-answers:
		q.noteCall(host, result.err)
		return result.answer, host, result.err
	case <-timer.C:
		q.resting.rest(host, q.now().Add(quotaRest))
	case <-ctx.Done():
	}
	go q.takeLate(ask, answers)
	return quota.GrantResponse{}, host, errNoCounter
}

type askResult struct {
	answer quota.GrantResponse
	err    error
}

// call asks another host. The call does not end with the request that it is for: what it
// brings is of use to the next one.
func (q *quotas) call(address string, ask quota.GrantRequest) askResult {
	ctx, cancel := context.WithTimeout(context.Background(), quotaTimeout)
	defer cancel()
	params := QuotaParams{Workspace: ask.Key, Part: ask.Part, Cost: ask.Cost, Ahead: ask.Prefetch, Back: ask.Returned}
	var result QuotaResult
	if err := q.pool.Call(ctx, address, methodQuota, params, &result); err != nil {
		return askResult{err: err}
	}
	wait := time.Duration(result.WaitMS) * time.Millisecond
	return askResult{answer: quota.GrantResponse{Granted: result.Granted, RetryAfter: wait, Level: result.Level}}
}

// noteCall leaves a host that cannot be reached alone for a time. One that answers that
// it does not count the part is asked again, since it soon may.
func (q *quotas) noteCall(host string, err error) {
	if err == nil || peer.IsRefusal(err) {
		return
	}
	q.resting.rest(host, q.now().Add(quotaRest))
	q.log.Info("host that counts for a quota not reached", "peer", host, "error", err.Error())
}

// takeLate keeps what an answer brings that was not waited for.
func (q *quotas) takeLate(ask quota.GrantRequest, answers <-chan askResult) {
	if result := <-answers; result.err == nil && result.answer.Granted > 0 {
		q.allowances.AddGrant(ask.Key, ask.Part, result.answer.Granted, q.now())
	}
}

// Refund implements serve.Quotas.
func (q *quotas) Refund(charge serve.Charge) {
	if charge.Outcome == serve.ChargeGranted {
		q.allowances.AddGrant(charge.Workspace, charge.Part, charge.Cost, q.now())
		q.usages.Add(charge.Workspace, quota.Usage{Returned: charge.Cost})
	}
}

// run gives back what lies unused and forgets what other hosts count.
func (q *quotas) run(ctx context.Context) {
	timing.Every(ctx, backInterval, func() {
		q.counting.keep()
		for _, back := range q.allowances.TakeIdle(q.now()) {
			go q.giveBack(ctx, back)
		}
	})
}

// giveBack returns units once. Without an answer they count as spent: given back twice,
// they would be granted twice.
func (q *quotas) giveBack(ctx context.Context, back quota.GrantRequest) {
	if _, host, err := q.ask(ctx, back, quotaTimeout); err != nil {
		q.log.Debug("units not given back", "workspace", back.Key, "part", back.Part, "units", back.Returned, "peer", host, "error", err.Error())
	}
}

// use gives the workspaces that sent requests to this host, with their quotas in force.
func (q *quotas) use() map[string]quota.WorkspaceMetrics {
	var workspaces *site.Workspaces
	if config := q.directory.Snapshot().Config; config != nil {
		workspaces = config.Workspaces
	}
	use := map[string]quota.WorkspaceMetrics{}
	for name, usage := range q.usages.All() {
		one := quota.WorkspaceMetrics{Usage: usage}
		if workspace, ok := workspaces.ByName(name); ok {
			one.Rate, one.Burst, one.InTokens = workspace.Quota.Rate, workspace.Quota.Burst, workspace.Quota.InTokens
		}
		use[name] = one
	}
	return use
}
