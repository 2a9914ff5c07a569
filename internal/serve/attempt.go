package serve

import (
	"bytes"
	"context"
	"net/http"

	"github.com/cherrystage/cherrystage/internal/forward"
	"github.com/cherrystage/cherrystage/internal/quarantine"
	"github.com/cherrystage/cherrystage/internal/verdict"
	"github.com/pkg/errors"
)

// finish records what an attempt showed about its runner and releases what it held. The failure is
// nil if its answer was passed on whole.
func (x *exchange) finish(failure *forward.Failure) {
	l := x.l
	l.recordOutcome(failure)
	l.recordCompletion(x, failure)
	x.release(refusedByRunner(failure))
}

// abandon leaves an attempt whose answer is not needed any more.
func (x *exchange) abandon() {
	x.leave()
	x.release(false)
}

// release releases what the attempt held. The argument refused reports that the runner refused it.
func (x *exchange) release(refused bool) {
	l := x.l
	x.cancel()
	x.memory.Release()
	l.firsts.end(x)
	l.releaseSlot(refused)
	l.s.Board.RecordEnd(l.runner.ID)
	if l.key.Name != "" {
		l.s.Owners.Release(l.runner, l.key.Adapter)
	}
}

// recordPath records by which path the request was sent, and whether it may have arrived: an
// attempt without a connection reached no runner, so the next one is not a retry.
func (l *lifecycle) recordPath(answer *forward.Response, failure *forward.Failure) {
	if failure != nil {
		l.via = failure.Relay
	} else {
		l.via = answer.Relay
	}
	if failure == nil || failure.Connected {
		l.arrivals++
	}
}

// recordSignal passes on the backpressure signal and the work time of an answer, also those of a
// failed attempt.
func (l *lifecycle) recordSignal(metadata forward.ResponseMetadata) {
	if metadata.Load != nil {
		l.s.Board.RecordWork(l.runner.ID, metadata.Load.WorkPercent, l.s.Now())
	}
	if metadata.Signal != nil {
		l.s.Backpressure.HandleSignal(l.runner, metadata.Signal, l.request.ID, l.sentAt)
	}
}

// recordCompletion tells the quarantine that the answer was complete, or that it was cut off
// and not canceled by this host or the caller.
func (l *lifecycle) recordCompletion(x *exchange, failure *forward.Failure) {
	now := l.s.Now()
	cut := quarantine.Truncation{Runner: l.runner.ID, At: now, Elapsed: now.Sub(l.sentAt)}
	switch {
	case failure == nil && l.complete && l.status/100 == 2 && x.answer.EndsWithConnection:
		cut.LooksWhole = true
		l.s.Quarantine.RecordTruncations(l.subjects, cut)
	case failure == nil && l.complete && l.status/100 == 2:
		l.s.Quarantine.RecordCompletions(l.subjects, now)
	case failure != nil && failure.ConnectionLost && x.ctx.Err() == nil:
		cut.LooksWhole = l.ending.unclear
		l.s.Quarantine.RecordTruncations(l.subjects, cut)
	}
}

func (l *lifecycle) sendOptions() forward.Attempt {
	return forward.Attempt{
		Instance:       l.runner.Instance,
		Remaining:      l.timeLeft(),
		AdapterVersion: l.key.Version,
		Priority:       uniformPriority,
		ResumeAfter:    l.lastEventID,
		Caller:         l.request.Caller,
		SentBefore:     l.sentTo[l.runner.Address],
	}
}

// uniformPriority is the priority of every request sent to a runner. An engine preempts a
// running request for one of a higher priority and processes its prompt again later. With the
// routes' own priorities, in batches of 12, 300 to 1,100 running streams a day were preempted
// by requests that take a tenth of their time, and each then paused for longer than its caller
// allows. Priorities are applied before a request is sent.
const uniformPriority = 5

// mayUseAnotherRunner reports whether the request may go to another runner although this one
// may have run it.
func (l *lifecycle) mayUseAnotherRunner() bool {
	return l.mayRepeat() && l.mayHaveRunCount+1 < l.route.MaxAttempts
}

// mayRepeat reports whether the request, or the rest of its answer, may be asked for again. A stream
// without event IDs cannot go on after its latest event.
func (l *lifecycle) mayRepeat() bool {
	return l.route.MayRepeat() && (l.events == 0 || l.lastEventID != "")
}

// recordOutcome records what the attempt shows about the runner's health.
func (l *lifecycle) recordOutcome(failure *forward.Failure) {
	switch {
	case failure == nil:
		if l.status < http.StatusInternalServerError {
			if l.s.Board.RecordSuccess(l.runner.ID, l.s.Now()) {
				l.s.Log.Info("runner no longer suspect", "runner", l.runner.ID, "id", l.request.ID)
			}
			l.s.Owners.ReportOutcome(l.runner.ID, true, false)
		} else {
			l.recordFailure(false)
		}
	case failure.Reason == forward.ReasonRefused && (!l.waitedForLoad || l.adapterMisses[l.runner.ID] > 0):
		// A request that waited for its adapter may arrive before the load completes; only
		// its first such refusal is not counted.
		l.s.Owners.ReportRefused(l.runner.ID)
	case errors.Is(failure.Cause, errNoEvent) && (l.headerWritten || l.request.ResumeAfter != ""):
		// It may be that nothing was left of the stream.
	case failure.Reason == forward.ReasonConnect:
		l.recordFailure(true)
	case failure.Reason == forward.ReasonBroken, failure.Reason == forward.ReasonForeign, failure.Reason == forward.ReasonTimeout:
		l.recordFailure(false)
	}
}

func (l *lifecycle) recordFailure(connectFailed bool) {
	l.s.Owners.ReportOutcome(l.runner.ID, false, connectFailed)
	if l.s.Board.RecordFailure(l.runner.ID, connectFailed, l.s.Now()) {
		l.s.Log.Warn("runner marked suspect", "runner", l.runner.ID, "hard", connectFailed, "id", l.request.ID)
	}
}

// notPassedOn returns the failure of a complete answer that is no event stream and is not passed on,
// nil if it may be.
func (x *exchange) notPassedOn(besideAnother bool) *forward.Failure {
	l := x.l
	serverError := x.answer.Status >= http.StatusInternalServerError
	askAnother := serverError && (besideAnother || l.mayUseAnotherRunner())
	// A runner that was to resume a stream has sent no event stream.
	if !askAnother && !l.headerWritten {
		return nil
	}
	return &forward.Failure{Verdict: verdict.MayHaveRun, Reason: forward.ReasonBroken, Cause: errors.Errorf("status %d", x.answer.Status), Metadata: x.answer.Metadata}
}

// writeWhole passes on a complete answer.
func (l *lifecycle) writeWhole(answer *forward.Response, body []byte) {
	copyHeader(l.w.Header(), answer.Header)
	l.noteHeader(answer.Status)
	l.complete = l.w.WriteWhole(answer.Status, body) == nil
}

func copyHeader(into, from http.Header) {
	for name, values := range from {
		into[name] = values
	}
}

// noteHeader records that the answer's header is written.
func (l *lifecycle) noteHeader(status int) {
	l.headerWritten = true
	l.status = status
	l.firstByteAt = l.s.Now()
}

// writeEvents passes on events, and returns a failure if the caller does not take them.
func (l *lifecycle) writeEvents(ctx context.Context, answer *forward.Response, events []byte) *forward.Failure {
	if !l.headerWritten {
		l.beginStream(ctx)
		copyHeader(l.w.Header(), answer.Header)
		l.noteHeader(answer.Status)
		l.w.WriteHeader(answer.Status)
		if l.via == "" {
			l.s.Owners.ReportFirstEvent(l.runner, l.request.PromptTokens, l.firstByteAt.Sub(l.sentAt))
		}
	}
	l.recordGap()
	if l.route.Resumable {
		l.recordLastEventID(events)
	}
	_, err := l.w.Write(events)
	if err == nil {
		err = http.NewResponseController(l.w).Flush()
	}
	if err != nil {
		l.callerGone = true
		return &forward.Failure{Verdict: verdict.MayHaveRun, Reason: forward.ReasonCanceled, Cause: err}
	}
	return nil
}

// recordGap records that the runner sent events, and the longest pause between two writes.
func (l *lifecycle) recordGap() {
	now := l.s.Now()
	l.s.Board.RecordActivity(l.runner.ID, now)
	if gap := now.Sub(l.lastWriteAt); !l.lastWriteAt.IsZero() && gap > l.longestGap {
		l.longestGap = gap
		l.longestGapEnd = now
	}
	l.lastWriteAt = now
	l.events++
}

// recordLastEventID stores the ID of the last event sent to the caller.
func (l *lifecycle) recordLastEventID(events []byte) {
	for _, line := range eventLines(events) {
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			l.lastEventID = string(bytes.TrimSpace(id))
		}
	}
}
