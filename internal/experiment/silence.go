package experiment

import (
	"maps"
	"time"

	"github.com/cherrystage/cherrystage/internal/site"
)

// SilencePolicy selects what a host does about a resumable stream whose runner is silent.
type SilencePolicy string

// The policies for silence. Without one, streams are not resumed.
const (
	// SilenceListen listens until the stream ends or its caller leaves.
	SilenceListen SilencePolicy = "listen"
	// SilenceCancel cancels the attempt, and then looks for another runner.
	SilenceCancel SilencePolicy = "cancel"
	// SilenceBeside makes a second attempt beside the first, if all that it needs can be had. The
	// first event of either decides.
	SilenceBeside SilencePolicy = "beside"
	// SilenceEvidence makes a second attempt once the runner's entry is removed.
	SilenceEvidence SilencePolicy = "evidence"
)

// SilencePolicies returns all policies for silence.
func SilencePolicies() []SilencePolicy {
	return []SilencePolicy{SilenceListen, SilenceCancel, SilenceBeside, SilenceEvidence}
}

// Timing of the handling of silence, as in package serve.
const (
	minEventTimeout    = 800 * time.Millisecond
	eventTimeoutFactor = 3
	minHedgeDelay      = 200 * time.Millisecond
	hedgeFactor        = 2
	// secondWait is how long a second attempt may bring no event while nothing is heard of its
	// runner. Within the same time some runner must have been heard before one is made.
	secondWait = 300 * time.Millisecond
	// askAgainWait is the pause before a second attempt is tried for again.
	askAgainWait = 100 * time.Millisecond
	// silenceAttempts is the routes' greatest number of attempts that may run.
	silenceAttempts = 2
)

// SilenceResult counts what silence did to streams.
type SilenceResult struct {
	Policy SilencePolicy `json:"policy,omitempty"`
	// Whole counts streams with all their events. The host cut CutBudget for want of a retry, CutPlace
	// for want of a runner and CutLate since no time was left to begin elsewhere. The callers of Left
	// streams left during a pause. NotBegun ended without a first event.
	Whole     int `json:"whole"`
	CutBudget int `json:"cut_budget"`
	CutPlace  int `json:"cut_place"`
	CutLate   int `json:"cut_late"`
	Left      int `json:"left"`
	NotBegun  int `json:"not_begun"`
	// LongestPauseMS is the longest pause in a stream that is whole.
	LongestPauseMS float64 `json:"longest_pause_ms"`
	// Runs and Prompts count the runs and the processed prompts beyond the first of each request.
	Runs    int `json:"runs_beyond"`
	Prompts int `json:"prompts_beyond"`
	// Won counts second attempts that carried a stream on, GivenUp those without an event, Overtaken
	// those whose first spoke before them. A second attempt was put off NotHeard times since no runner
	// was heard, NoRetry times for want of a retry, and NotPlaced times for want of a runner.
	Won       int `json:"won"`
	GivenUp   int `json:"given_up"`
	Overtaken int `json:"overtaken"`
	NotHeard  int `json:"not_heard"`
	NoRetry   int `json:"no_retry"`
	NotPlaced int `json:"not_placed"`
	// LongestBesideMS is the longest time from the sending of a second attempt until it was decided.
	LongestBesideMS float64 `json:"longest_beside_ms"`
	// LateFirst counts requests with their first event after the target.
	LateFirst int `json:"late_first"`
}

// silenceState is what a request knows of the silence of its attempts.
type silenceState struct {
	// passed counts the tokens that the caller has. attempts counts the runs that may have begun
	// since the request arrived; pays is set if another one takes a retry.
	passed   int
	attempts int
	pays     bool
	// hasRetry is set while a retry has been taken that is not used yet.
	hasRetry bool
	// second is the attempt beside this one, nil if there is none. beside is the request for which
	// this is the second attempt, besideRun its silent run at besideRunner, and adopted is set once
	// that request goes on with this run.
	second       *request
	beside       *request
	besideRun    *engineRun
	besideRunner *site.Runner
	adopted      bool
}

// Cut returns the number of streams that hosts ended without their whole answer.
func (r SilenceResult) Cut() int { return r.CutBudget + r.CutPlace + r.CutLate }

// cutReason says why a stream could not go on elsewhere.
type cutReason uint8

const (
	noPlace cutReason = iota
	noRetry
)

// patience returns the pause after which a caller leaves.
func (r *request) patience() time.Duration {
	return max(callerSilence, silenceTargets*millis(r.kind.TargetMS), silenceGaps*millis(r.kind.GapMS))
}

// silenceLimit returns how long an attempt may be silent.
func (r *request) silenceLimit(sent *engineRun) time.Duration {
	if sent.heard {
		return max(minEventTimeout, eventTimeoutFactor*millis(r.kind.GapMS))
	}
	return max(minHedgeDelay, hedgeFactor*millis(r.kind.TargetMS))
}

// watchSilence has the host act once an attempt is silent for too long.
func (r *request) watchSilence(sent *engineRun, runner *site.Runner) {
	sim, h := r.sim, r.host
	if sim.cfg.Silence == "" || sim.cfg.Silence == SilenceListen {
		return
	}
	h.timer(sim.clock, sent.heardAt.Add(r.silenceLimit(sent)).Sub(sim.clock.now), func() {
		switch {
		case r.finished || r.run != sent || r.attempts >= silenceAttempts:
		case sim.clock.now.Sub(sent.heardAt) < r.silenceLimit(sent):
			r.watchSilence(sent, runner)
		case sim.cfg.Silence == SilenceCancel:
			r.cancelAndLook(runner)
		default:
			r.tryBeside(sent, runner)
		}
	})
}

// cancelAndLook cancels the attempt and looks for another runner.
func (r *request) cancelAndLook(runner *site.Runner) {
	r.dropRun()
	r.host.board.RecordFailure(runner.ID, false, r.sim.clock.now)
	r.tried[runner.ID] = true
	r.pays = true
	r.startSearch()
}

// recordBeside records how long a second attempt was beside the first.
func (r *request) recordBeside() {
	if r.run != nil {
		result := &r.sim.result.Silence
		result.LongestBesideMS = max(result.LongestBesideMS, float64(r.sim.clock.now.Sub(r.run.sentAt))/float64(time.Millisecond))
	}
}

// dropRun cancels the current run on its engine.
func (r *request) dropRun() {
	if r.run == nil || r.engine == nil {
		return
	}
	r.engine.cancel(r.run)
	r.host.board.RecordEnd(r.engine.runner.ID)
	r.sim.reportEnd(r.engine.runner.ID, r.key)
	r.run = nil
}

// cut ends a stream that cannot go on.
func (r *request) cut(why cutReason) {
	if r.first.IsZero() {
		r.pays = false
		r.retryOrRefuse()
		return
	}
	result := &r.sim.result.Silence
	r.finished = true
	switch {
	case why == noRetry:
		result.CutBudget++
	case r.timeLeft() <= 0:
		result.CutLate++
	default:
		result.CutPlace++
	}
	r.sim.result.countFailed(r)
}

// tryBeside makes a second attempt, or asks again later.
func (r *request) tryBeside(sent *engineRun, runner *site.Runner) {
	sim := r.sim
	if r.finished || r.run != sent || r.second != nil || r.attempts >= silenceAttempts {
		return
	}
	if sim.clock.now.Sub(sent.heardAt) < r.silenceLimit(sent) {
		r.watchSilence(sent, runner)
		return
	}
	if !r.mayTryBeside(runner) || !r.takeRetry() {
		r.host.timer(sim.clock, askAgainWait, func() { r.tryBeside(sent, runner) })
		return
	}
	second := &request{
		sim: sim, kind: r.kind, workspace: r.workspace, key: r.key, prompt: r.prompt + r.passed, output: r.output - r.passed,
		begun: r.begun, arrived: sim.clock.now, host: r.host, tried: maps.Clone(r.tried), retried: true,
		silenceState: silenceState{pays: true, beside: r, besideRun: sent, besideRunner: runner},
	}
	second.tried[runner.ID] = true
	r.second = second
	second.startSearch()
}

// takeRetry takes a retry, which the request keeps until a second attempt is sent.
func (r *request) takeRetry() bool {
	r.hasRetry = r.hasRetry || r.host.budget.Take(r.sim.clock.now, len(r.sim.hosts))
	if !r.hasRetry {
		r.sim.result.Silence.NoRetry++
	}
	return r.hasRetry
}

// mayTryBeside reports whether there is reason to believe that the runner is silent and not the
// host, its links or all runners.
func (r *request) mayTryBeside(runner *site.Runner) bool {
	sim := r.sim
	if sim.cfg.Silence == SilenceEvidence {
		e := sim.byID[runner.ID]
		return e == nil || e.gone
	}
	heard := sim.clock.now.Sub(r.host.heardAt) < secondWait
	if !heard {
		sim.result.Silence.NotHeard++
	}
	return heard
}

// endUnsent ends an attempt beyond the first that could not be made: a second one goes without, and
// a stream whose first was canceled is cut.
func (r *request) endUnsent(why cutReason) {
	if r.beside == nil {
		r.cut(why)
		return
	}
	r.sim.result.Silence.NotPlaced++
	r.endSecond()
}

// endSecond ends a second attempt that brought nothing. The first goes on.
func (r *request) endSecond() {
	first := r.beside
	if r.finished || r.adopted {
		return
	}
	r.finished = true
	r.recordBeside()
	r.dropRun()
	first.second = nil
	r.host.timer(r.sim.clock, askAgainWait, func() { first.tryBeside(r.besideRun, r.besideRunner) })
}

// watchSecond gives a second attempt up that brings no event while its runner is not heard.
func (r *request) watchSecond(sent *engineRun, runner *site.Runner) {
	sim, since := r.sim, r.sim.clock.now
	r.host.timer(sim.clock, secondWait, func() {
		if r.finished || r.run != sent || r.adopted {
			return
		}
		if r.host.heardFrom[runner.ID].After(since) {
			r.watchSecond(sent, runner)
			return
		}
		sim.result.Silence.GivenUp++
		r.endSecond()
	})
}

// adopt has the first attempt's request go on with the run of the second.
func (r *request) adopt(second *request) {
	sim := r.sim
	r.dropRun()
	r.host.board.RecordFailure(second.besideRunner.ID, false, sim.clock.now)
	second.adopted = true
	second.recordBeside()
	r.engine, r.run, r.second = second.engine, second.run, nil
	sim.result.Silence.Won++
	r.watchSilence(r.run, r.engine.runner)
}

// overtake ends the second attempt, if there is one, since the first has spoken.
func (r *request) overtake() {
	if second := r.second; second != nil && !second.adopted {
		second.finished = true
		if second.run != nil {
			r.sim.result.Silence.Overtaken++
		}
		second.recordBeside()
		second.dropRun()
		r.second = nil
	}
}

// hear records an event of a runner at the host of a request.
func (r *request) hear(sent *engineRun, runner *site.Runner) {
	now := r.sim.clock.now
	h := r.host
	h.heardAt = now
	if h.heardFrom == nil {
		h.heardFrom = map[string]time.Time{}
	}
	h.heardFrom[runner.ID] = now
	sent.heard, sent.heardAt = true, now
}

// watchCaller has the caller leave if its stream pauses for too long.
func (r *request) watchCaller() {
	sim := r.sim
	if sim.cfg.Silence == "" {
		return
	}
	sim.clock.at(r.lastSeen.Add(r.patience()), func() {
		switch {
		case r.finished:
		case sim.clock.now.Sub(r.lastSeen) < r.patience():
			r.watchCaller()
		default:
			sim.result.Silence.Left++
			r.abandon()
		}
	})
}

// countSilence counts a stream that is whole.
func (r *request) countSilence() {
	result := &r.sim.result.Silence
	result.Whole++
	result.LongestPauseMS = max(result.LongestPauseMS, float64(r.gap)/float64(time.Millisecond))
	if r.first.Sub(r.begun) > millis(r.kind.TargetMS) {
		result.LateFirst++
	}
}
