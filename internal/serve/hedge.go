package serve

import (
	"context"
	"time"

	"github.com/cherrystage/cherrystage/internal/forward"
	"github.com/cherrystage/cherrystage/internal/timing"
	"github.com/cherrystage/cherrystage/internal/verdict"
)

const (
	// eventSilenceFactor times the target gap, but at least minEventSilence, is how long a
	// resumable stream waits for its next event before another runner is looked for. A
	// request that its runner preempts waits some steps, far less than minEventSilence.
	eventSilenceFactor = 3
	minEventSilence    = 800 * time.Millisecond
	// hedgeFactor times the target latency, but at least minHedgeDelay, is how long a repeatable
	// request waits for an answer before another runner is looked for. With short targets a slow
	// step is no reason to do so.
	hedgeFactor   = 2
	minHedgeDelay = 200 * time.Millisecond
	// silenceFactor times the target latency without an answer counts as a failure of
	// the runner, even if the request goes on waiting.
	silenceFactor = 2
	// maxHedgeSearch bounds one search for another runner, which holds a retry.
	maxHedgeSearch = 2 * time.Second
	// hedgeRetryInterval is the time between two searches for another runner.
	hedgeRetryInterval = 250 * time.Millisecond
	// maxHedgeOverlap bounds how long two runners work on one request. The platform's
	// specification allows 400 ms, which include the way of the cancellation.
	maxHedgeOverlap = 300 * time.Millisecond
	// hedgeProbeDelay is how long the second attempt is awaited before its runner is asked whether
	// it answers, and hedgeProbeTimeout how long that may take.
	hedgeProbeDelay   = 100 * time.Millisecond
	hedgeProbeTimeout = 180 * time.Millisecond
	// maxSharedSilence is how much longer than others an attempt waits while no runner at all
	// sends anything.
	maxSharedSilence = time.Second
)

// onSilence judges the current attempt's silence: for the time that this process stood still it says
// nothing of the runner.
func (r *relaying) onSilence() {
	l, limit, now := r.l, r.silenceLimit(), r.l.s.Now()
	silent := l.s.Standstill.Awake(r.quietSince, now)
	if silent < limit {
		r.silence.Reset(limit - silent)
		return
	}
	if silent < limit+maxSharedSilence && l.s.Board.NoneHeard(now) {
		// It says nothing of this runner, and a second attempt would cost a retry and win nothing.
		r.silence.Reset(hedgeRetryInterval)
		return
	}
	if r.hedge != nil || r.search != nil {
		return
	}
	if l.mayUseAnotherRunner() && r.slowElsewhere() {
		r.askCurrent()
		return
	}
	r.hedgeOnSilence()
}

// hedgeOnSilence records that the current attempt's runner is silent, and looks for another one.
func (r *relaying) hedgeOnSilence() {
	if !r.suspected {
		r.suspected = true
		r.recordSilence()
	}
	l := r.l
	if !l.mayUseAnotherRunner() {
		return
	}
	r.search = l.searchHedge(r.ctx)
}

// recordSilence records that the runner is silent to a request.
func (r *relaying) recordSilence() {
	l := r.l
	if l.mayUseAnotherRunner() {
		l.recordFailure(false)
		return
	}
	l.s.Board.RecordFailure(l.runner.ID, false, l.s.Now())
}

// hedgeSearch looks for a runner for a second attempt in the background.
type hedgeSearch struct {
	found chan hedgeResult
	stop  context.CancelFunc
	// canceled is closed when nothing takes the result any more.
	canceled chan struct{}
}

// hedgeResult is a second attempt as it was placed; ok is false if no runner takes it.
type hedgeResult struct {
	l  *lifecycle
	ok bool
}

// searchHedge looks for another runner for the request while its current attempt is silent.
func (l *lifecycle) searchHedge(ctx context.Context) *hedgeSearch {
	ctx, cancel := context.WithTimeout(ctx, maxHedgeSearch)
	s := &hedgeSearch{found: make(chan hedgeResult), stop: cancel, canceled: make(chan struct{})}
	fork := l.fork()
	go func() {
		ok := fork.prepareHedge(ctx)
		select {
		case s.found <- hedgeResult{l: fork, ok: ok}:
		case <-s.canceled:
			if ok {
				fork.releaseAdmission()
				fork.budget.Return(fork.s.Now(), fork.s.HostCount())
			}
		}
	}()
	return s
}

// result returns the channel of the search's result, which blocks if there is no search.
func (s *hedgeSearch) result() <-chan hedgeResult {
	if s == nil {
		return nil
	}
	return s.found
}

// cancel ends the search, if there is one.
func (s *hedgeSearch) cancel() {
	if s != nil {
		s.stop()
		close(s.canceled)
	}
}

// prepareHedge is prepare for a second attempt. It takes the retry first: of many silent requests only
// as many ask the owners of runners as may be sent.
func (l *lifecycle) prepareHedge(ctx context.Context) bool {
	if !l.budget.Take(l.s.Now(), l.s.HostCount()) {
		l.hedgeRefusal = reasonBudgetSpent
		return false
	}
	if !l.prepare(ctx) {
		l.budget.Return(l.s.Now(), l.s.HostCount())
		return false
	}
	return true
}

// onFound sends the second attempt, or waits until another runner is looked for again.
func (r *relaying) onFound(found hedgeResult) {
	r.search.stop()
	r.search = nil
	if !found.ok {
		if !r.keptLogged {
			r.keptLogged = true
			r.l.logSilent("silent attempt kept: no other runner takes the request", "because", found.l.hedgeRefusal)
		}
		r.silence.Reset(hedgeRetryInterval)
		return
	}
	r.hedge = found.l.send(r.ctx)
	if found.l.service.Engine != nil {
		r.hedgeLimit.Reset(maxHedgeOverlap)
	}
	r.askHedge()
	r.l.s.Counters.Hedges.Add(1)
	r.l.logSilent("second attempt beside a silent one", "to", found.l.runner.ID)
}

// askHedge finds out whether the runner of the second attempt answers, if the attempt itself does not
// show it soon: a prompt may take longer than two runners may work on one request.
func (r *relaying) askHedge() {
	r.hedgeAnswers, r.hedgeAlive = nil, false
	l, x := r.l, r.hedge
	if l.service.Engine == nil || l.s.Answers == nil {
		return
	}
	r.hedgeAnswers = make(chan bool, 1)
	go func(answers chan<- bool) {
		timing.Sleep(x.ctx, hedgeProbeDelay)
		ctx, cancel := context.WithTimeout(x.ctx, hedgeProbeTimeout)
		defer cancel()
		answers <- ctx.Err() == nil && l.s.Answers(ctx, x.runner.Address)
	}(r.hedgeAnswers)
}

func (l *lifecycle) logSilent(message string, more ...any) {
	fields := []any{"id", l.request.ID, "runner", l.runner.ID, "begun", l.headerWritten}
	l.s.Log.Info(message, append(append(fields, l.silenceLogFields()...), more...)...)
}

// onHedge handles a part of the second attempt's answer.
func (r *relaying) onHedge(p part) (bool, *forward.Failure) {
	x := r.hedge
	if p.answer != nil {
		x.takeHeader(p.answer)
		return false, nil
	}
	failure := p.failure
	if failure == nil {
		failure = r.refuseContent(x, p)
	}
	if failure != nil {
		r.hedgeFailed(failure)
		return false, nil
	}
	r.leaveCurrent()
	return r.passOn(p)
}

// hedgeFailed ends the second attempt, and looks for a runner again soon.
func (r *relaying) hedgeFailed(failure *forward.Failure) {
	x := r.hedge
	x.takeFailure(failure)
	x.finish(failure)
	x.l.failure = failure
	x.l.logFailedAttempt()
	if failure.Verdict == verdict.NotRun {
		x.l.noteNotRun()
	}
	r.rejoin(failure.Verdict != verdict.NotRun)
	r.silence.Reset(hedgeRetryInterval)
}

// rejoin takes over what the second attempt has learnt, once that has ended without an answer.
func (r *relaying) rejoin(mayHaveRun bool) {
	l, fork := r.l, r.hedge.l
	l.sends, l.arrivals = fork.sends, fork.arrivals
	l.adapterMisses, l.tried, l.sentTo, l.loadingAt = fork.adapterMisses, fork.tried, fork.sentTo, fork.loadingAt
	delete(l.tried, l.runner.ID)
	l.tried[fork.runner.ID] = l.tried[fork.runner.ID] || mayHaveRun
	if mayHaveRun {
		l.mayHaveRunCount++
	}
	r.hedge = nil
	r.hedgeLimit.Stop()
}

// dropHedge ends the search for another runner and the second attempt, if there is one, because the
// current attempt has something to pass on.
func (r *relaying) dropHedge() {
	r.search.cancel()
	r.search = nil
	if r.hedge == nil {
		return
	}
	r.l.logSilent("second attempt left", "to", r.hedge.l.runner.ID)
	r.hedge.abandon()
	r.hedge.l.tried[r.hedge.l.runner.ID] = true
	r.rejoin(r.hedge.mayHaveReached())
}

// leaveCurrent leaves the silent attempt for the second one.
func (r *relaying) leaveCurrent() {
	r.l.logSilent("silent attempt left for the second one", "to", r.hedge.l.runner.ID)
	left := r.current
	left.abandon()
	r.adoptHedge()
	// It is asked again if the other one refuses.
	delete(r.l.tried, left.runner.ID)
}

// adoptHedge makes the second attempt the current one, after that has ended.
func (r *relaying) adoptHedge() {
	l, x := r.l, r.hedge
	l.attempt, x.l = x.l.attempt, l
	r.current, r.hedge, r.passedOn = x, nil, false
	r.hedgeLimit.Stop()
	r.quietSince, r.suspected, r.keptLogged = l.sentAt, false, false
	r.silence.Reset(r.silenceLimit())
}

// hedgeLives reports whether the runner of the second attempt has sent this host anything since the
// attempt, or answers it.
func (r *relaying) hedgeLives() bool {
	x := r.hedge
	return x.answer != nil || r.hedgeAlive || r.l.s.Board.HeardSince(x.l.runner.ID, x.l.sentAt)
}

// onHedgeLimit leaves one of the two attempts. The silent one is left only for a runner that lives: if
// both are silent, the first one has the request under way.
func (r *relaying) onHedgeLimit() {
	if r.hedge == nil {
		return
	}
	if r.hedgeLives() {
		r.leaveCurrent()
		return
	}
	r.dropHedge()
	r.silence.Reset(hedgeRetryInterval)
}
