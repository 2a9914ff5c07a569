package entry

import (
	"context"
	"time"

	"github.com/cherrystage/cherrystage/internal/adapters"
	"github.com/cherrystage/cherrystage/internal/board"
	"github.com/cherrystage/cherrystage/internal/site"
	"github.com/cherrystage/cherrystage/internal/timing"
)

// OutcomesParams reports to an owner the outcomes of requests on its runners.
type OutcomesParams struct {
	Runners map[string]RunnerOutcomes `json:"runners"`
}

// RunnerOutcomes is a host's load on one runner and the outcomes of its requests there
// since its last report.
type RunnerOutcomes struct {
	// Running is the number of requests in flight.
	Running   int `json:"running"`
	Succeeded int `json:"good,omitempty"`
	Failed    int `json:"bad,omitempty"`
	// ConnectFailed counts failures to connect.
	ConnectFailed int `json:"hard,omitempty"`
	// Refused counts requests that the runner refused.
	Refused int `json:"refused,omitempty"`
	// PromptTokenNS is the shortest prompt processing time per token observed, in
	// nanoseconds.
	PromptTokenNS int64 `json:"reading_ns,omitempty"`
	// PromptWorkPercent is the work time that the runner announced with that observation, 0 if
	// it announced none.
	PromptWorkPercent int `json:"reading_work_percent,omitempty"`
	// WorkPercent is the work time that the runner announced to this host WorkAgeMS ago, in
	// percent of the usual time; 0 if there is nothing new.
	WorkPercent int   `json:"work_percent,omitempty"`
	WorkAgeMS   int64 `json:"work_age_ms,omitempty"`
	// Ended counts the requests that have ended, by adapter.
	Ended map[string]int `json:"ended,omitempty"`
}

// hasOutcomes reports whether there is any outcome or ended request.
func (r RunnerOutcomes) hasOutcomes() bool {
	return r.Succeeded+r.Failed+r.ConnectFailed+r.Refused+len(r.Ended) > 0
}

// reportedLoad is the load last reported for a runner.
type reportedLoad struct {
	running int
	at      time.Time
	// workAt is when the runner announced the work time that was reported last.
	workAt time.Time
}

// ReportOutcome implements serve.Owners.
func (o *ownerClient) ReportOutcome(runner string, succeeded, connectFailed bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	outcomes := o.pending[runner]
	switch {
	case succeeded:
		outcomes.Succeeded++
	case connectFailed:
		outcomes.ConnectFailed++
	default:
		outcomes.Failed++
	}
	o.pending[runner] = outcomes
}

// ReportRefused implements serve.Owners.
func (o *ownerClient) ReportRefused(runner string) {
	o.recordRefusal(runner, o.mesh.Size())
	o.mu.Lock()
	defer o.mu.Unlock()
	outcomes := o.pending[runner]
	outcomes.Refused++
	o.pending[runner] = outcomes
}

// recordRefusal records that a runner refused a request. A brittle one gets nothing more for as
// long as it takes until a number of senders together may be refused again.
func (o *ownerClient) recordRefusal(runner string, senders int) {
	now := o.now()
	if perSecond, isBrittle := o.brittleness(runner); isBrittle {
		o.board.RecordBrittleRefusal(runner, board.RefusalSpacing(perSecond, senders), now)
		return
	}
	o.board.RecordRefusal(runner, now)
}

// brittleness reports whether a runner is brittle, and how many requests it can turn away in a
// second.
func (o *ownerClient) brittleness(runner string) (perSecond float64, isBrittle bool) {
	if o.directory == nil {
		return 0, false
	}
	known := o.directory.Snapshot().Runners[runner]
	if known == nil {
		return 0, false
	}
	return o.brittle.Of(known.Service, o.now())
}

const (
	// brittleOutcomeInterval replaces outcomeInterval for brittle runners: their owners count
	// requests as running until they hear that they have ended.
	brittleOutcomeInterval = 40 * time.Millisecond
	// outcomeInterval is how often outcomes are reported to owners, if there are any.
	// Reporting four times as often frees slots sooner but makes no difference to
	// callers: the ratio of served requests on busy days was 0.775 and 0.777.
	outcomeInterval = 200 * time.Millisecond
	// loadRefreshInterval is how often an unchanged load is reported again, so that
	// the owner does not discard it as that of a host that is gone.
	loadRefreshInterval = time.Second
)

// reportOutcomes reports to owners what has changed on their runners. Reports that cannot
// be delivered are kept: an owner that does not learn that requests have ended considers
// the slots of their adapters in use until the longest of them would be over.
func (o *ownerClient) reportOutcomes(ctx context.Context, runners map[string]*site.Runner) {
	own := o.board.OwnRequests()
	byOwner := map[string]OutcomesParams{}
	for id, runner := range runners {
		_, address, err := o.locateOwner(runner)
		if err != nil {
			continue
		}
		outcomes, changed := o.takePending(id, own[id], o.newWorkTime(id))
		if !changed || address == "" {
			continue
		}
		if byOwner[address].Runners == nil {
			byOwner[address] = OutcomesParams{Runners: map[string]RunnerOutcomes{}}
		}
		byOwner[address].Runners[id] = outcomes
	}
	for address, params := range byOwner {
		go o.sendOutcomes(ctx, address, params)
	}
}

// reportBrittleOutcomes reports what changes on brittle runners until the next regular report.
func (o *ownerClient) reportBrittleOutcomes(ctx context.Context) {
	services := o.brittle.Any(o.now())
	if len(services) == 0 {
		return
	}
	runners := map[string]*site.Runner{}
	for _, service := range services {
		for _, runner := range o.directory.Snapshot().ByService[service] {
			runners[runner.ID] = runner
		}
	}
	for passed := brittleOutcomeInterval; passed < outcomeInterval; passed += brittleOutcomeInterval {
		timing.Sleep(ctx, brittleOutcomeInterval)
		o.reportOutcomes(ctx, runners)
	}
}

func (o *ownerClient) sendOutcomes(ctx context.Context, address string, params OutcomesParams) {
	ctx, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	if err := o.pool.Call(ctx, address, methodOutcomes, params, nil); err != nil {
		o.log.Debug("could not report outcomes to the owner", "address", address, "error", err.Error())
		o.restorePending(params)
	}
}

// restorePending merges an undelivered report into the pending outcomes.
func (o *ownerClient) restorePending(params OutcomesParams) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for runner, outcomes := range params.Runners {
		merged := o.pending[runner]
		merged.Succeeded += outcomes.Succeeded
		merged.Failed += outcomes.Failed
		merged.ConnectFailed += outcomes.ConnectFailed
		merged.Refused += outcomes.Refused
		if merged.Ended == nil {
			merged.Ended = outcomes.Ended
		} else {
			for adapter, requests := range outcomes.Ended {
				merged.Ended[adapter] += requests
			}
		}
		o.pending[runner] = merged
		delete(o.reported, runner)
	}
}

// takePending removes and returns what is to be reported for a runner, if anything.
func (o *ownerClient) takePending(runner string, running int, work workReport) (RunnerOutcomes, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.now()
	outcomes := o.pending[runner]
	last := o.reported[runner]
	refresh := running > 0 && now.Sub(last.at) >= loadRefreshInterval
	if !outcomes.hasOutcomes() && running == last.running && !refresh && work.percent == 0 {
		return RunnerOutcomes{}, false
	}
	delete(o.pending, runner)
	o.reported[runner] = reportedLoad{running: running, at: now, workAt: last.workAt}
	if work.percent > 0 {
		o.reported[runner] = reportedLoad{running: running, at: now, workAt: work.at}
		outcomes.WorkPercent, outcomes.WorkAgeMS = work.percent, now.Sub(work.at).Milliseconds()
	}
	outcomes.Running = running
	return outcomes, true
}

// ReportFirstEvent implements serve.Owners. The measurement is reported together with the outcomes.
func (o *ownerClient) ReportFirstEvent(runner *site.Runner, tokens int, first time.Duration) {
	perToken := adapters.PrefillPerToken(tokens, first)
	if perToken <= 0 {
		return
	}
	workPercent := o.currentWorkTime(runner.ID)
	if controller, ok := o.owner.Controller(runner.ID); ok {
		controller.ObservePrefillAt(perToken, workPercent)
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	outcomes := o.pending[runner.ID]
	outcomes.addPrefill(int64(perToken), workPercent)
	o.pending[runner.ID] = outcomes
}

func (o *ownerClient) applyEnded(runner string, ended map[string]int) {
	controller, ok := o.owner.Controller(runner)
	if !ok || len(ended) == 0 {
		return
	}
	byAdapter := make(map[site.Adapter]int, len(ended))
	for name, requests := range ended {
		byAdapter[site.ParseAdapter(name)] = requests
	}
	controller.RequestsEnded(byAdapter)
}

func (o *ownerClient) applyOutcomes(host string, params OutcomesParams) {
	now := o.now()
	for runner, outcomes := range params.Runners {
		o.board.SetPeerRequests(host, runner, outcomes.Running, now)
		o.applyEnded(runner, outcomes.Ended)
		o.applyWorkTime(runner, outcomes, now)
		if controller, ok := o.owner.Controller(runner); ok {
			controller.ObservePrefillAt(float64(outcomes.PromptTokenNS), outcomes.PromptWorkPercent)
		}
		for range outcomes.Succeeded {
			o.board.RecordSuccess(runner, now)
		}
		for range outcomes.Failed {
			o.board.RecordFailure(runner, false, now)
		}
		if outcomes.Succeeded == 0 {
			for range outcomes.Refused {
				o.recordRefusal(runner, 1)
			}
		}
		if outcomes.ConnectFailed > 0 {
			o.board.RecordFailure(runner, true, now)
		}
	}
}
