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
	// maxAnswerBytes bounds an answer that is held until it is whole.
	maxAnswerBytes = 8 << 20
	// eventBuffer is the size of the reads of a stream: several events.
	eventBuffer = 4 << 10
	// maxEventBytes bounds what is held of an event that is not whole yet.
	maxEventBytes = 1 << 20
)

const (
	// gapFactor times the target gap is how long a resumable stream waits for
	// its next event before another runner goes on with it. A runner that
	// preempts a request makes it wait some steps, far less than leastGap.
	gapFactor = 3
	leastGap  = 800 * time.Millisecond
)

const eventStream = "text/event-stream"

// attempt sends the request to the chosen runner and passes its answer on. It
// returns nil once the request has its answer.
func (l *life) attempt(ctx context.Context) *forward.Failure {
	runner := l.runner
	l.sends++
	l.sentAt = l.s.Now()
	l.s.Board.RecordStart(runner.ID, l.sentAt)
	defer l.s.Board.RecordEnd(runner.ID)
	if l.key.Name != "" {
		defer l.s.Owners.Release(runner, l.key.Adapter)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silence := l.watch(cancel)
	defer silence.Stop()
	answer, failure := l.s.Client.Do(ctx, runner.Address, l.request, l.send())
	l.noteSignal(answer, failure)
	if failure == nil {
		l.s.Board.RecordResponse(runner.ID, l.sentAt)
		failure = l.pass(answer, silence)
	}
	l.judge(ctx, failure)
	l.noteEnd(ctx, failure)
	return failure
}

// noteSignal notes what an answer, whatever it is, says of the requests that its runner can
// take.
func (l *life) noteSignal(answer *forward.Response, failure *forward.Failure) {
	var told forward.ResponseMetadata
	if failure == nil {
		told = answer.Metadata
	} else {
		told = failure.Metadata
	}
	if told.Signal != nil {
		l.s.Backpressure.HandleSignal(l.runner, told.Signal, l.request.ID, l.sentAt)
	}
}

// noteEnd tells the quarantine how the request ended: whole, or cut off while nobody here
// wanted it to end.
func (l *life) noteEnd(ctx context.Context, failure *forward.Failure) {
	now := l.s.Now()
	switch {
	case failure == nil && l.finished && l.status/100 == 2:
		l.s.Quarantine.RecordCompletion(l.content, now)
	case failure != nil && failure.ConnectionLost && ctx.Err() == nil:
		l.s.Quarantine.RecordTruncation(quarantine.Truncation{Content: l.content, Runner: l.runner.ID, At: now, Elapsed: now.Sub(l.sentAt)})
	}
}

func (l *life) send() forward.Attempt {
	return forward.Attempt{
		Instance:       l.runner.Instance,
		Remaining:      l.left(),
		AdapterVersion: l.key.Version,
		Priority:       evenUrgency,
		ResumeAfter:    l.last,
		Caller:         l.request.Caller,
	}
}

// evenUrgency is that of every request. An engine stops a running request for a
// more urgent one and reads its prompt again later: with the routes' own
// priorities a batch of 12 lost 300 to 1,100 running streams a day to requests
// that take a tenth of their time, each of which then paused beyond what its
// caller allows. Who goes first is decided before a request is sent.
const evenUrgency = 5

var errSilent = errors.New("no answer within the time for one runner")

// watch counts silence against the runner, and ends the attempt of a request
// that may go to another runner.
func (l *life) watch(cancel context.CancelCauseFunc) *time.Timer {
	runner := l.runner.ID
	if l.mayGoOn() {
		wait := max(leastHedge, hedgeFactor*l.route.TargetLatency)
		return time.AfterFunc(min(wait, l.left()/2), func() { cancel(errSilent) })
	}
	return time.AfterFunc(max(leastHedge, silentFactor*l.route.TargetLatency), func() {
		l.s.Board.RecordFailure(runner, false, l.s.Now())
	})
}

// mayGoOn says whether another runner may be tried if this one may have run the
// request.
func (l *life) mayGoOn() bool {
	return l.route.MayRepeat() && l.mayRun+1 < l.route.MaxAttempts
}

// judge notes what the attempt says of the runner.
func (l *life) judge(ctx context.Context, failure *forward.Failure) {
	now := l.s.Now()
	switch {
	case failure == nil:
		if l.status < http.StatusInternalServerError {
			if l.s.Board.RecordSuccess(l.runner.ID, now) {
				l.s.Log.Info("runner trusted again", "runner", l.runner.ID, "id", l.request.ID)
			}
			l.s.Owners.ReportOutcome(l.runner.ID, true, false)
		} else {
			l.bad(false)
		}
	case errors.Is(context.Cause(ctx), errSilent):
		l.bad(false)
	case failure.Reason == forward.ReasonRefused && (!l.loaded || l.earlyAt[l.runner.ID] > 0):
		// One that had to wait for its adapter may have come before it, but not again.
		l.s.Owners.ReportRefused(l.runner.ID)
	case failure.Reason == forward.ReasonConnect:
		l.bad(true)
	case failure.Reason == forward.ReasonBroken, failure.Reason == forward.ReasonForeign, failure.Reason == forward.ReasonTimeout:
		l.bad(false)
	}
}

func (l *life) bad(hard bool) {
	l.s.Owners.ReportOutcome(l.runner.ID, false, hard)
	if l.s.Board.RecordFailure(l.runner.ID, hard, l.s.Now()) {
		l.s.Log.Warn("runner suspect", "runner", l.runner.ID, "hard", hard, "id", l.request.ID)
	}
}

// pass passes an answer on.
func (l *life) pass(answer *forward.Response, silence *time.Timer) *forward.Failure {
	defer func() { _ = answer.Body.Close() }()
	if answer.Status == http.StatusOK && isEventStream(answer.Header) {
		return l.passEvents(answer, silence)
	}
	return l.passWhole(answer)
}

func isEventStream(header http.Header) bool {
	kind, _, _ := strings.Cut(header.Get("Content-Type"), ";")
	return strings.TrimSpace(kind) == eventStream
}

// passWhole passes an answer on once it is whole: one that is cut short must
// not look complete, and a repeatable request can still go elsewhere.
func (l *life) passWhole(answer *forward.Response) *forward.Failure {
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswerBytes))
	if err != nil {
		return forward.TruncatedResponse(answer.Metadata, err)
	}
	if l.started {
		// A resumed stream got something else than events.
		return &forward.Failure{Verdict: verdict.MayHaveRun, Reason: forward.ReasonBroken, Cause: errors.Errorf("status %d", answer.Status), Metadata: answer.Metadata}
	}
	if answer.Status >= http.StatusInternalServerError && l.mayGoOn() {
		l.status = answer.Status
		return &forward.Failure{Verdict: verdict.MayHaveRun, Reason: forward.ReasonBroken, Cause: errors.Errorf("status %d", answer.Status), Metadata: answer.Metadata}
	}
	header := l.w.Header()
	copyHeader(header, answer.Header)
	header.Set("Content-Length", strconv.Itoa(len(body)))
	l.start(answer.Status)
	_, err = l.w.Write(body)
	l.finished = err == nil
	return nil
}

func copyHeader(into, from http.Header) {
	for name, values := range from {
		into[name] = values
	}
}

func (l *life) start(status int) {
	l.w.WriteHeader(status)
	l.started = true
	l.status = status
	l.firstAt = l.s.Now()
}

// passEvents passes whole events on as they come.
func (l *life) passEvents(answer *forward.Response, silence *time.Timer) *forward.Failure {
	flusher := http.NewResponseController(l.w)
	var held []byte
	chunk := make([]byte, eventBuffer)
	for {
		n, err := answer.Body.Read(chunk)
		held = append(held, chunk[:n]...)
		if whole := lastEventEnd(held); whole > 0 {
			l.awaitNext(silence)
			if failure := l.write(answer, flusher, held[:whole]); failure != nil {
				return failure
			}
			held = append(held[:0], held[whole:]...)
		}
		if err == io.EOF && len(held) == 0 && l.started {
			l.finished = true
			return nil
		}
		if err != nil || len(held) > maxEventBytes {
			if err == nil || err == io.EOF {
				err = errors.New("the stream ended within an event")
			}
			return forward.TruncatedResponse(answer.Metadata, err)
		}
	}
}

// awaitNext sets the patience for the next event. Only a stream that another
// runner may continue is cut for a runner's silence.
func (l *life) awaitNext(silence *time.Timer) {
	if !l.mayGoOn() {
		silence.Stop()
		return
	}
	silence.Reset(max(leastGap, gapFactor*l.route.TargetGap))
}

func (l *life) write(answer *forward.Response, flusher *http.ResponseController, events []byte) *forward.Failure {
	if !l.started {
		copyHeader(l.w.Header(), answer.Header)
		l.start(answer.Status)
		l.s.Owners.ReportFirstEvent(l.runner, l.request.PromptTokens, l.firstAt.Sub(l.sentAt))
	}
	l.noteGap()
	if l.route.Resumable {
		l.noteLast(events)
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

// noteGap notes that the runner sent events, and keeps the longest pause between
// two writes.
func (l *life) noteGap() {
	now := l.s.Now()
	l.s.Board.RecordActivity(l.runner.ID, now)
	if gap := now.Sub(l.wroteAt); !l.wroteAt.IsZero() && gap > l.gap {
		l.gap = gap
		l.gapEnd = now
	}
	l.wroteAt = now
}

// lastEventEnd gives the end of the last whole event.
func lastEventEnd(held []byte) int {
	end := 0
	if i := bytes.LastIndex(held, []byte("\n\n")); i >= 0 {
		end = i + 2
	}
	if i := bytes.LastIndex(held, []byte("\r\n\r\n")); i >= 0 {
		end = max(end, i+4)
	}
	return end
}

// noteLast remembers the last event that the caller was sent.
func (l *life) noteLast(events []byte) {
	for _, line := range bytes.Split(events, []byte("\n")) {
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			l.last = string(bytes.TrimSpace(id))
		}
	}
}
