package entry

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cherrystage/cherrystage/internal/board"
	"github.com/cherrystage/cherrystage/internal/directory"
	"github.com/cherrystage/cherrystage/internal/mesh"
	"github.com/cherrystage/cherrystage/internal/peer"
	"github.com/cherrystage/cherrystage/internal/quota"
	"github.com/cherrystage/cherrystage/internal/site"
	"github.com/cherrystage/cherrystage/internal/timing"
	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
)

const (
	// methodLimit requests permission to send one request under a runner's rate limit.
	methodLimit = "limit.take"
	// limitPrefix is the prefix of the ranking keys that select the counting host of a
	// runner's limit.
	limitPrefix = "limit."
	// limitBurst is how long an unused limit accumulates. The platform tolerates 1.5 times
	// the limit in any four seconds, plus five requests.
	limitBurst = time.Second
	// minProbeRate is the rate, in requests per second, at which a runner with a lower or
	// zero limit is still probed: only a response can report that the limit has ended.
	minProbeRate = 0.2
	// limitRetryPause is how long a runner is skipped whose counting host does not respond
	// or does not count yet.
	limitRetryPause = 300 * time.Millisecond
	// reassignInterval is how often counts of reassigned limits are dropped.
	reassignInterval = time.Second
)

// LimitParams asks the host that counts a runner's limit for permission to send one request.
type LimitParams struct {
	// Instance identifies the runner across restarts: the calling host may know of another
	// lifetime of it.
	Instance string `json:"instance"`
	// Limit is the limit as the calling host knows it.
	Limit board.LimitReport `json:"limit"`
}

// LimitResult is the result of a request for permission.
type LimitResult struct {
	Granted bool `json:"granted,omitempty"`
	// WaitMS is the time after which to ask again if it is not granted.
	WaitMS int64 `json:"wait_ms,omitempty"`
	// Limit is the limit as the counting host knows it.
	Limit board.LimitReport `json:"limit"`
}

// backpressure applies the rate limits, pauses and leave announcements that runners signal
// in their responses.
//
// A runner's limit for all hosts together is one token bucket, counted by one host under
// its lease. A host that cannot reach the counting host sends nothing: with a share for
// each host, partitioned hosts would together exceed the limit, or the shares would be too
// small to be of use.
type backpressure struct {
	board     *board.Board
	brittle   *board.Brittleness
	directory *directory.Directory
	pool      *peer.Pool
	counting  *leasedCounter
	backoff   hostBackoff
	now       func() time.Time
	log       hclog.Logger

	granted, refused atomic.Int64
}

func limitKey(instance string, _ int) string { return limitPrefix + instance }

func newBackpressure(host string, state *mesh.State, pool *peer.Pool, b *board.Board, d *directory.Directory, now func() time.Time, log hclog.Logger) *backpressure {
	return &backpressure{board: b, brittle: board.NewBrittleness(), directory: d, pool: pool, counting: newLeasedCounter(host, state, limitKey), now: now, log: log}
}

func (p *backpressure) register(mux *peer.Mux) {
	peer.Handle(mux, methodLimit, func(_ context.Context, from peer.Identity, params LimitParams) (LimitResult, error) {
		p.applyPeerLimit(params.Limit, from.Host)
		result, err := p.grant(params)
		if err != nil {
			return LimitResult{}, peer.NewRefusal(err)
		}
		return result, nil
	})
}

// run drops the counts of reassigned limits until ctx is done.
func (p *backpressure) run(ctx context.Context) {
	timing.Every(ctx, reassignInterval, p.counting.dropReassigned)
}

// HandleSignal implements serve.Backpressure.
func (p *backpressure) HandleSignal(runner *site.Runner, signal *board.Signal, id string, sent time.Time) {
	p.applySignal(runner.ID, signal, sent, "request "+id)
}

// applyEngineSignal applies the signal in an engine's load report or response to an order.
// If it names no limit, a known limit stays: these responses do not come from the part of
// the engine that runs requests.
func (p *backpressure) applyEngineSignal(runner string, signal *board.Signal) {
	p.applySignal(runner, signal, time.Time{}, "report or order")
}

func (p *backpressure) applySignal(runner string, signal *board.Signal, sent time.Time, from string) {
	now := p.now()
	change := p.board.RecordSignal(runner, *signal, sent, now)
	p.logLimit(runner, change.LimitChange, from, 0)
	if known := p.directory.Snapshot().Runners[runner]; known != nil && signal.Malformed == "" && p.brittle.Record(known.Service, *signal, sent, now) {
		p.logBrittle(known.Service, "runner "+runner)
	}
	if change.BackoffStarted {
		p.log.Info("runner requested a pause", "runner", runner, "from", from, "rest_ms", signal.Backoff.Milliseconds())
	}
	if signal.Leaving && p.directory.MarkLeaving(runner) {
		p.log.Info("runner announced that it is leaving", "runner", runner, "from", from)
	}
	if change.MalformedStarted {
		p.log.Warn("malformed backpressure signal from runner", "runner", runner, "from", from, "said", signal.Malformed)
	}
}

// applyPeerLimit applies a runner's limit that a peer reports. Limits of unknown runners
// are ignored, since nothing would ever remove them.
func (p *backpressure) applyPeerLimit(limit board.LimitReport, host string) {
	if _, known := p.directory.Snapshot().Runners[limit.Runner]; !known {
		return
	}
	change := p.board.MergePeerLimit(limit, p.now())
	p.logLimit(limit.Runner, change, "host "+host, time.Duration(limit.AgeMS)*time.Millisecond)
}

// applyPeerBrittle applies what a peer reports on a service whose runners are brittle.
func (p *backpressure) applyPeerBrittle(report board.BrittleReport, host string) {
	if config := p.directory.Snapshot().Config; config == nil || config.Services[report.Service] == nil {
		return
	}
	if p.brittle.Merge(report, p.now()) {
		p.logBrittle(report.Service, "host "+host)
	}
}

func (p *backpressure) logBrittle(service, from string) {
	perSecond, isBrittle := p.brittle.Of(service, p.now())
	p.log.Info("brittleness of a service's runners changed", "service", service, "from", from, "brittle", isBrittle, "refusals_per_s", perSecond)
}

// isBrittle reports whether a service's runners are brittle.
func (p *backpressure) isBrittle(service string) bool {
	_, isBrittle := p.brittle.Of(service, p.now())
	return isBrittle
}

// applyPeerLeaving applies a peer's report that a runner is leaving.
func (p *backpressure) applyPeerLeaving(runner, host string) {
	if _, known := p.directory.Snapshot().Runners[runner]; known && p.directory.MarkLeaving(runner) {
		p.log.Info("runner announced that it is leaving", "runner", runner, "from", "host "+host)
	}
}

func (p *backpressure) logLimit(runner string, change board.LimitChange, from string, age time.Duration) {
	if change.Changed {
		p.log.Info("runner rate limit changed", "runner", runner, "from", from, "age_ms", age.Milliseconds(), "before_per_s", change.Before, "after_per_s", change.After)
	}
}

// Acquire implements serve.Backpressure.
func (p *backpressure) Acquire(ctx context.Context, runner *site.Runner) (time.Duration, bool) {
	view := p.board.View(runner.ID, p.now())
	if view.BlockedFor > 0 {
		return view.BlockedFor, false
	}
	if !view.Limited {
		return 0, true
	}
	wait, ok := p.takeFromLimit(ctx, runner)
	if ok {
		p.granted.Add(1)
		return 0, true
	}
	p.refused.Add(1)
	p.board.BlockUntil(runner.ID, p.now().Add(wait))
	return wait, false
}

// takeFromLimit asks the counting host of the runner's limit for permission to send one
// request. If it is refused, the returned duration is the time after which to ask again.
func (p *backpressure) takeFromLimit(ctx context.Context, runner *site.Runner) (time.Duration, bool) {
	params := LimitParams{Instance: runner.Instance, Limit: p.board.LimitReportFor(runner.ID, p.now())}
	host, address := p.counting.countingHost(runner.Instance, 0)
	var result LimitResult
	var err error
	switch {
	case host == p.counting.host:
		result, err = p.grant(params)
	case address == "" || p.backoff.active(host, p.now()):
		return limitRetryPause, false
	default:
		result, err = p.call(ctx, address, params)
	}
	if err != nil {
		p.noteTakeFailure(runner, host, err)
		return limitRetryPause, false
	}
	p.applyPeerLimit(result.Limit, host)
	return time.Duration(result.WaitMS) * time.Millisecond, result.Granted
}

var errPermissionOld = errors.New("the permission was given too long ago")

// call asks another host. As with admissions, a caller that disconnects does not cancel
// the call.
//
// A permission that this host reads long after it was given, because it stood still, is not used:
// hosts that have used it since would exceed the runner's limit together with this one.
func (p *backpressure) call(ctx context.Context, address string, params LimitParams) (LimitResult, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), ownerTimeout)
	defer cancel()
	var result LimitResult
	sent := p.now()
	err := p.pool.Call(ctx, address, methodLimit, params, &result)
	if err == nil && result.Granted && p.now().Sub(sent) > ownerTimeout {
		return LimitResult{}, errPermissionOld
	}
	return result, err
}

func (p *backpressure) noteTakeFailure(runner *site.Runner, host string, err error) {
	if !peer.IsRefusal(err) && !errors.Is(err, errPermissionOld) && host != p.counting.host {
		p.backoff.set(host, p.now().Add(ownerBackoff))
	}
	p.log.Info("could not take from runner rate limit", "runner", runner.ID, "counting_host", host, "passed_over_ms", limitRetryPause.Milliseconds(), "error", err.Error())
}

// grant handles a request for permission for a limit that this host counts.
func (p *backpressure) grant(params LimitParams) (LimitResult, error) {
	now := p.now()
	leadership, err := p.counting.leadership(params.Instance, 0, now)
	if err != nil {
		return LimitResult{}, err
	}
	known := params.Limit
	if _, listed := p.directory.Snapshot().Runners[known.Runner]; listed {
		known = p.board.LimitReportFor(known.Runner, now)
	}
	if !known.Limited {
		return LimitResult{Granted: true, Limit: known}, nil
	}
	rate := max(minProbeRate, known.Rate)
	limit := quota.Limit{Rate: rate, Burst: max(1, rate*limitBurst.Seconds())}
	answer := p.counting.counter.Grant(quota.GrantRequest{Key: params.Instance, Cost: 1}, limit, leadership, now)
	return LimitResult{Granted: answer.Granted > 0, WaitMS: answer.RetryAfter.Milliseconds(), Limit: known}, nil
}
