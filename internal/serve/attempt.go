package serve

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cherrystage/cherrystage/internal/forward"
	"github.com/cherrystage/cherrystage/internal/quarantine"
	"github.com/cherrystage/cherrystage/internal/verdict"
	"github.com/pkg/errors"
)

const (
	// maxHeldAnswerBytes bounds an answer that is buffered until it is complete.
	maxHeldAnswerBytes = 8 << 20
	// readBufferBytes is the size of a read from a stream, enough for several events.
	readBufferBytes = 4 << 10
	// maxEventBytes bounds the buffered part of an incomplete event.
	maxEventBytes = 1 << 20
)

const (
	// eventTimeoutFactor times the target gap, but at least minEventTimeout, is how long a
	// resumable stream waits for its next event before it continues on another runner. A
	// request that its runner preempts waits some steps, far less than minEventTimeout.
	eventTimeoutFactor = 3
	minEventTimeout    = 800 * time.Millisecond
)

const eventStreamType = "text/event-stream"

// attempt sends the request to the chosen runner and relays its answer. It returns nil once
// the request is answered.
func (l *lifecycle) attempt(ctx context.Context) (failure *forward.Failure) {
	runner := l.runner
	l.sends++
	l.sentAt = l.s.Now()
	l.s.Board.RecordStart(runner.ID, l.sentAt)
	defer l.s.Board.RecordEnd(runner.ID)
	defer func() { l.releaseSlot(refusedByRunner(failure)) }()
	if l.key.Name != "" {
		defer l.s.Owners.Release(runner, l.key.Adapter)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silence := l.watchSilence(cancel)
	defer silence.Stop()
	answer, failure := l.s.Client.Do(ctx, runner.Address, l.request, l.sendOptions())
	l.recordPath(answer, failure)
	l.recordSignal(answer, failure)
	if failure == nil {
		l.s.Board.RecordResponse(runner.ID, l.sentAt)
		failure = l.relay(ctx, answer, silence)
	}
	l.recordOutcome(ctx, failure)
	l.recordCompletion(ctx, answer, failure)
	return failure
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
func (l *lifecycle) recordSignal(answer *forward.Response, failure *forward.Failure) {
	var metadata forward.ResponseMetadata
	if failure == nil {
		metadata = answer.Metadata
	} else {
		metadata = failure.Metadata
	}
	if metadata.Load != nil {
		l.s.Board.RecordWork(l.runner.ID, metadata.Load.WorkPercent, l.s.Now())
	}
	if metadata.Signal != nil {
		l.s.Backpressure.HandleSignal(l.runner, metadata.Signal, l.request.ID, l.sentAt)
	}
}

// recordCompletion tells the quarantine that the answer was complete, or that it was cut off
// and not canceled by this host or the caller.
func (l *lifecycle) recordCompletion(ctx context.Context, answer *forward.Response, failure *forward.Failure) {
	now := l.s.Now()
	cut := quarantine.Truncation{Runner: l.runner.ID, At: now, Elapsed: now.Sub(l.sentAt)}
	switch {
	case failure == nil && l.complete && l.status/100 == 2 && answer.EndsWithConnection:
		cut.LooksWhole = true
		l.s.Quarantine.RecordTruncations(l.subjects, cut)
	case failure == nil && l.complete && l.status/100 == 2:
		l.s.Quarantine.RecordCompletions(l.subjects, now)
	case failure != nil && failure.ConnectionLost && ctx.Err() == nil:
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
	}
}

// uniformPriority is the priority of every request sent to a runner. An engine preempts a
// running request for one of a higher priority and processes its prompt again later. With the
// routes' own priorities, in batches of 12, 300 to 1,100 running streams a day were preempted
// by requests that take a tenth of their time, and each then paused for longer than its caller
// allows. Priorities are applied before a request is sent.
const uniformPriority = 5

var errAttemptTimeout = errors.New("no answer within the time limit for one runner")

// watchSilence starts a timer for the runner's silence. It cancels the attempt if the request
// may go to another runner, and otherwise counts a failure of the runner.
func (l *lifecycle) watchSilence(cancel context.CancelCauseFunc) *time.Timer {
	runner := l.runner.ID
	if l.mayUseAnotherRunner() {
		wait := max(minHedgeDelay, hedgeFactor*l.route.TargetLatency)
		return time.AfterFunc(min(wait, l.timeLeft()/2), func() { cancel(errAttemptTimeout) })
	}
	return time.AfterFunc(max(minHedgeDelay, silenceFactor*l.route.TargetLatency), func() {
		l.s.Board.RecordFailure(runner, false, l.s.Now())
	})
}

// mayUseAnotherRunner reports whether the request may go to another runner although this one
// may have run it.
func (l *lifecycle) mayUseAnotherRunner() bool {
	return l.route.MayRepeat() && l.mayHaveRunCount+1 < l.route.MaxAttempts
}

// recordOutcome records what the attempt shows about the runner's health.
func (l *lifecycle) recordOutcome(ctx context.Context, failure *forward.Failure) {
	now := l.s.Now()
	switch {
	case failure == nil:
		if l.status < http.StatusInternalServerError {
			if l.s.Board.RecordSuccess(l.runner.ID, now) {
				l.s.Log.Info("runner no longer suspect", "runner", l.runner.ID, "id", l.request.ID)
			}
			l.s.Owners.ReportOutcome(l.runner.ID, true, false)
		} else {
			l.recordFailure(false)
		}
	case errors.Is(context.Cause(ctx), errAttemptTimeout):
		l.recordFailure(false)
	case failure.Reason == forward.ReasonRefused && (!l.waitedForLoad || l.adapterMisses[l.runner.ID] > 0):
		// A request that waited for its adapter may arrive before the load completes; only
		// its first such refusal is not counted.
		l.s.Owners.ReportRefused(l.runner.ID)
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

// relay passes a runner's answer on to the caller.
func (l *lifecycle) relay(ctx context.Context, answer *forward.Response, silence *time.Timer) *forward.Failure {
	defer func() { _ = answer.Body.Close() }()
	if answer.Status == http.StatusOK && isEventStream(answer.Header) {
		return l.relayEvents(ctx, answer, silence)
	}
	return l.relayWhole(answer)
}

func isEventStream(header http.Header) bool {
	kind, _, _ := strings.Cut(header.Get("Content-Type"), ";")
	return strings.TrimSpace(kind) == eventStreamType
}

// relayWhole relays an answer once it is complete: a truncated answer must not look complete,
// and a repeatable request can still be retried.
func (l *lifecycle) relayWhole(answer *forward.Response) *forward.Failure {
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxHeldAnswerBytes))
	if err != nil {
		return forward.TruncatedResponse(answer.Metadata, err)
	}
	if l.headerWritten {
		// The runner that was to resume the stream sent no event stream.
		return &forward.Failure{Verdict: verdict.MayHaveRun, Reason: forward.ReasonBroken, Cause: errors.Errorf("status %d", answer.Status), Metadata: answer.Metadata}
	}
	if answer.Status >= http.StatusInternalServerError && l.mayUseAnotherRunner() {
		l.status = answer.Status
		return &forward.Failure{Verdict: verdict.MayHaveRun, Reason: forward.ReasonBroken, Cause: errors.Errorf("status %d", answer.Status), Metadata: answer.Metadata}
	}
	header := l.w.Header()
	copyHeader(header, answer.Header)
	header.Set("Content-Length", strconv.Itoa(len(body)))
	l.writeHeader(answer.Status)
	_, err = l.w.Write(body)
	l.complete = err == nil
	return nil
}

func copyHeader(into, from http.Header) {
	for name, values := range from {
		into[name] = values
	}
}

func (l *lifecycle) writeHeader(status int) {
	l.w.WriteHeader(status)
	l.headerWritten = true
	l.status = status
	l.firstByteAt = l.s.Now()
}

// relayEvents relays complete events as they arrive.
func (l *lifecycle) relayEvents(ctx context.Context, answer *forward.Response, silence *time.Timer) *forward.Failure {
	flusher := http.NewResponseController(l.w)
	var held []byte
	chunk := make([]byte, readBufferBytes)
	for {
		n, err := answer.Body.Read(chunk)
		held = append(held, chunk[:n]...)
		if length := completeEventsLen(held); length > 0 {
			l.resetSilence(silence)
			if failure := l.writeEvents(ctx, answer, flusher, held[:length]); failure != nil {
				return failure
			}
			held = append(held[:0], held[length:]...)
		}
		if err == io.EOF && len(held) == 0 && l.headerWritten {
			l.complete = true
			return nil
		}
		if err != nil || len(held) > maxEventBytes {
			return forward.TruncatedResponse(answer.Metadata, streamError(answer, err))
		}
	}
}

// streamError returns why a stream is not complete, given the error with which reading ended.
func streamError(answer *forward.Response, err error) error {
	switch {
	case err == io.EOF && answer.EndsWithConnection:
		return errors.Wrap(io.ErrUnexpectedEOF, "the connection ended within an event")
	case err == nil || err == io.EOF:
		return errors.New("the stream ended within an event")
	default:
		return err
	}
}

// resetSilence restarts the timeout for the next event. Only a stream that another runner
// may continue is canceled for a runner's silence.
func (l *lifecycle) resetSilence(silence *time.Timer) {
	if !l.mayUseAnotherRunner() {
		silence.Stop()
		return
	}
	silence.Reset(max(minEventTimeout, eventTimeoutFactor*l.route.TargetGap))
}

func (l *lifecycle) writeEvents(ctx context.Context, answer *forward.Response, flusher *http.ResponseController, events []byte) *forward.Failure {
	if !l.headerWritten {
		l.beginStream(ctx)
		copyHeader(l.w.Header(), answer.Header)
		l.writeHeader(answer.Status)
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
		err = flusher.Flush()
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

// completeEventsLen returns the length of the complete events at the start of held.
func completeEventsLen(held []byte) int {
	end := 0
	if i := bytes.LastIndex(held, []byte("\n\n")); i >= 0 {
		end = i + 2
	}
	if i := bytes.LastIndex(held, []byte("\r\n\r\n")); i >= 0 {
		end = max(end, i+4)
	}
	return end
}

// recordLastEventID stores the ID of the last event sent to the caller.
func (l *lifecycle) recordLastEventID(events []byte) {
	for _, line := range bytes.Split(events, []byte("\n")) {
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			l.lastEventID = string(bytes.TrimSpace(id))
		}
	}
}
