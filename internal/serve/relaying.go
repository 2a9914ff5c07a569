package serve

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cherrystage/cherrystage/internal/forward"
	"github.com/cherrystage/cherrystage/internal/verdict"
	"github.com/pkg/errors"
)

// relaying passes on the answer of an attempt. While it is silent, it looks for another runner, and
// sends the request there beside: the first attempt with something to pass on is kept.
//
// Silence alone does not show that a runner has failed. If the attempt were canceled before another
// is certain, the lack of anything that the other needs (the retry budget, an admission, the adapter,
// a permit) would cut a stream whose runner goes on a moment later.
type relaying struct {
	l   *lifecycle
	ctx context.Context
	// current is the attempt whose answer is passed on, hedge the one beside it, nil if there is
	// none.
	current, hedge *exchange
	// passedOn is set once events of the current attempt's answer have been passed on.
	passedOn bool
	// silence fires when the silence of the current attempt is to be judged. It is judged from
	// quietSince on.
	silence    *time.Timer
	quietSince time.Time
	// suspected is set once the current attempt's silence has been recorded, keptLogged once it has
	// been logged that no other runner takes the request.
	suspected, keptLogged bool
	// search looks for a runner for the hedge, nil if no search is under way.
	search *hedgeSearch
	// hedgeLimit fires when one of the two attempts has to be left.
	hedgeLimit *time.Timer
	// hedgeAnswers delivers whether the runner of the second attempt answers, if that is asked.
	hedgeAnswers chan bool
	hedgeAlive   bool
	// slowAnswers delivers whether the current attempt's runner answers, if that is asked because
	// others are as slow. It last did at answeredAt.
	slowAnswers chan bool
	answeredAt  time.Time
}

// relay sends the request to the chosen runner and relays its answer. It returns nil once
// the request is answered.
func (l *lifecycle) relay(ctx context.Context) *forward.Failure {
	current := l.send(ctx)
	r := &relaying{l: l, ctx: ctx, current: current, quietSince: current.sentAt, hedgeLimit: newStoppedTimer()}
	r.silence = time.NewTimer(r.silenceLimit())
	defer r.stop()
	for {
		done, failure := r.next()
		if done {
			return failure
		}
	}
}

func newStoppedTimer() *time.Timer {
	timer := time.NewTimer(time.Hour)
	timer.Stop()
	return timer
}

// next handles what happens next, first what has arrived. It reports whether the attempt is over.
func (r *relaying) next() (done bool, failure *forward.Failure) {
	select {
	case p := <-r.current.parts:
		return r.onCurrent(p)
	default:
	}
	select {
	case p := <-r.current.parts:
		return r.onCurrent(p)
	case p := <-r.hedgeParts():
		return r.onHedge(p)
	case found := <-r.search.result():
		r.onFound(found)
	case r.hedgeAlive = <-r.hedgeAnswers:
		r.hedgeAnswers = nil
	case alive := <-r.slowAnswers:
		r.onSlowAnswer(alive)
	case <-r.silence.C:
		r.onSilence()
	case <-r.hedgeLimit.C:
		r.onHedgeLimit()
	}
	return false, nil
}

// hedgeParts returns the channel of the hedge's parts, which blocks if there is no hedge.
func (r *relaying) hedgeParts() <-chan part {
	if r.hedge == nil {
		return nil
	}
	return r.hedge.parts
}

// onCurrent handles a part of the current attempt's answer.
func (r *relaying) onCurrent(p part) (bool, *forward.Failure) {
	x := r.current
	x.l.ending = p.end
	switch {
	case p.failure != nil:
		return r.currentFailed(p.failure)
	case p.judging:
		// All that is waited for is whether the answer is whole.
		r.silence.Stop()
		return false, nil
	case p.answer != nil:
		x.takeHeader(p.answer)
		return false, nil
	}
	if failure := r.refuseContent(x, p); failure != nil {
		return r.currentFailed(failure)
	}
	return r.passOn(p)
}

// takeHeader records what an answer's header tells.
func (x *exchange) takeHeader(answer *forward.Response) {
	x.answer = answer
	x.l.recordPath(answer, nil)
	x.l.recordSignal(answer.Metadata)
	x.l.s.Board.RecordResponse(x.l.runner.ID, x.l.sentAt)
}

// takeFailure records what a failure tells if no answer came before it, and by which path the request was sent if
// one did.
func (x *exchange) takeFailure(failure *forward.Failure) {
	if x.answer != nil {
		failure.Connected, failure.Relay = true, x.answer.Relay
		return
	}
	x.l.recordPath(nil, failure)
	x.l.recordSignal(failure.Metadata)
}

// refuseContent returns the failure of an attempt whose content must not be passed on, nil if it may
// be.
func (r *relaying) refuseContent(x *exchange, p part) *forward.Failure {
	if x.answer.Status == http.StatusOK && isEventStream(x.answer.Header) {
		if p.ended && (x == r.hedge || !r.passedOn) {
			return forward.TruncatedResponse(x.answer.Metadata, noEventError(x.answer))
		}
		return nil
	}
	return x.notPassedOn(x == r.hedge)
}

// noEventError returns why a stream without events is not the end of the caller's: a runner that does not
// have what the stream goes on with also ends it at once, and its caller would take the part that it has for
// all of it.
func noEventError(answer *forward.Response) error {
	if answer.EndsWithConnection {
		return errors.Wrap(io.ErrUnexpectedEOF, errNoEvent.Error())
	}
	return errNoEvent
}

var errNoEvent = errors.New("the stream ended without an event")

// passOn passes on a part of the current attempt's answer.
func (r *relaying) passOn(p part) (bool, *forward.Failure) {
	r.dropHedge()
	x, l := r.current, r.l
	l.firsts.arrived(x)
	switch {
	case p.ended && isEventStream(x.answer.Header) && x.answer.Status == http.StatusOK:
		l.w.Complete()
		l.complete = true
	case p.ended:
		l.writeWhole(x.answer, p.content)
	default:
		r.passedOn = r.passedOn || holdsField(p.content)
		if failure := l.writeEvents(r.ctx, x.answer, p.content); failure != nil {
			x.leave()
			x.finish(failure)
			return true, failure
		}
		r.restartSilence()
		return false, nil
	}
	x.finish(nil)
	return true, nil
}

// currentFailed ends the current attempt. A hedge takes its place if there is one.
func (r *relaying) currentFailed(failure *forward.Failure) (bool, *forward.Failure) {
	x := r.current
	x.takeFailure(failure)
	x.finish(failure)
	if r.hedge == nil || r.ctx.Err() != nil {
		r.dropHedge()
		return true, failure
	}
	if failure.Verdict == verdict.NotRun {
		r.hedge.l.mayHaveRunCount--
	}
	r.l.failure = failure
	r.l.logFailedAttempt()
	r.adoptHedge()
	return false, nil
}

// stop ends what is still under way.
func (r *relaying) stop() {
	r.silence.Stop()
	r.hedgeLimit.Stop()
	r.search.cancel()
	r.current.cancel()
}

// silenceLimit returns how long the current attempt may be silent before another runner is looked
// for.
func (r *relaying) silenceLimit() time.Duration {
	l := r.l
	switch {
	case l.headerWritten:
		return max(minEventSilence, eventSilenceFactor*l.route.TargetGap)
	case l.mayUseAnotherRunner():
		return min(max(minHedgeDelay, hedgeFactor*l.route.TargetLatency), l.timeLeft()/2)
	default:
		return max(minHedgeDelay, silenceFactor*l.route.TargetLatency)
	}
}

// restartSilence begins to judge the silence anew after events were passed on. Only a stream that
// another runner may continue is judged.
func (r *relaying) restartSilence() {
	r.quietSince, r.suspected, r.keptLogged, r.slowAnswers = r.l.s.Now(), false, false, nil
	if !r.l.mayUseAnotherRunner() {
		r.silence.Stop()
		return
	}
	r.silence.Reset(r.silenceLimit())
}
