package serve

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cherrystage/cherrystage/internal/forward"
	"github.com/cherrystage/cherrystage/internal/membudget"
	"github.com/cherrystage/cherrystage/internal/site"
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

const eventStreamType = "text/event-stream"

// exchange is one attempt: a request that was sent to a runner, and its answer as it arrives.
type exchange struct {
	// l is the lifecycle of the request, or a fork of it for a second attempt.
	l *lifecycle
	// runner is its runner as known when it was sent, at sentAt.
	runner *site.Runner
	sentAt time.Time
	ctx    context.Context
	cancel context.CancelFunc
	// parts delivers the answer in order; its last part has ended or failure set.
	parts chan part
	// unused is closed by leave, when nothing takes the parts any more.
	unused chan struct{}
	// answer is the runner's answer, nil until its header has been taken.
	answer *forward.Response
	// connected is set once the request may have reached the runner. It is final once tripEnded is
	// closed, which follows soon after the attempt is canceled.
	connected atomic.Bool
	tripEnded chan struct{}
	// memory accounts for what is kept of the answer.
	memory *membudget.Hold
}

// part is what arrived of an answer.
type part struct {
	// answer is set in the first part, which has no content.
	answer *forward.Response
	// content holds complete events, or the whole body of an answer that is no event stream.
	content []byte
	ended   bool
	failure *forward.Failure
	// end is how an answer that has ended was found to be whole, or not.
	end ending
}

// send sends the request to the chosen runner.
func (l *lifecycle) send(ctx context.Context) *exchange {
	l.sends++
	l.sentAt = l.s.Now()
	l.s.Board.RecordStart(l.runner.ID, l.sentAt)
	x := &exchange{l: l, runner: l.runner, sentAt: l.sentAt, parts: make(chan part), unused: make(chan struct{}), tripEnded: make(chan struct{}), memory: l.s.Memory.Hold()}
	l.firsts.begin(x)
	x.ctx, x.cancel = context.WithCancel(ctx)
	options := l.sendOptions()
	options.OnConnected = func() { x.connected.Store(true) }
	l.sentTo[x.runner.Address] = true
	go x.run(l.s.Client, l.request, options)
	return x
}

func (x *exchange) run(client *forward.Client, request *forward.Request, options forward.Attempt) {
	answer, failure := client.Do(x.ctx, x.runner.Address, request, options)
	close(x.tripEnded)
	if failure != nil {
		x.deliver(part{failure: failure})
		return
	}
	defer func() { _ = answer.Body.Close() }()
	if !x.deliver(part{answer: answer}) {
		return
	}
	x.deliver(x.judgeEnd(answer, x.read(answer)))
}

// read reads an answer's body and returns its last part.
func (x *exchange) read(answer *forward.Response) part {
	if answer.Status == http.StatusOK && isEventStream(answer.Header) {
		return x.readEvents(answer)
	}
	return x.readWhole(answer)
}

// deliver passes a part on, and reports whether something took it.
func (x *exchange) deliver(p part) bool {
	select {
	case x.parts <- p:
		return true
	case <-x.unused:
		return false
	}
}

// leave cancels the attempt if it is under way, and takes no more of its answer.
func (x *exchange) leave() {
	x.cancel()
	close(x.unused)
}

// mayHaveReached reports whether the request may have reached the runner, once the attempt has been
// abandoned. An attempt that is canceled while it connects may still be given a connection, so this waits
// until that is decided.
func (x *exchange) mayHaveReached() bool {
	<-x.tripEnded
	return x.connected.Load()
}

// readWhole reads an answer that is no event stream to its end before it passes it on: a truncated
// answer must not look complete, and a repeatable request can still be retried.
func (x *exchange) readWhole(answer *forward.Response) part {
	body, err := membudget.ReadAll(answer.Body, answer.ContentLength, maxHeldAnswerBytes, x.memory)
	if errors.Is(err, membudget.ErrTooLong) {
		err = errTooLong
	}
	if err != nil {
		return part{failure: forward.TruncatedResponse(answer.Metadata, err)}
	}
	return part{content: body, ended: true}
}

// readEvents passes complete events on as they arrive, and returns the last part.
func (x *exchange) readEvents(answer *forward.Response) part {
	var held []byte
	chunk := make([]byte, readBufferBytes)
	for {
		n, err := answer.Body.Read(chunk)
		if grown := len(held) + n - cap(held); grown > 0 && !x.memory.Grow(int64(grown)) {
			return part{failure: forward.TruncatedResponse(answer.Metadata, membudget.ErrExhausted)}
		}
		held = append(held, chunk[:n]...)
		if length := eventsLen(held, err == io.EOF); length > 0 {
			if !x.deliver(part{content: bytes.Clone(held[:length])}) {
				return part{failure: forward.TruncatedResponse(answer.Metadata, errUnused)}
			}
			held = append(held[:0], held[length:]...)
		}
		if err == io.EOF && len(held) == 0 {
			return part{ended: true}
		}
		if err != nil || len(held) > maxEventBytes {
			return part{failure: forward.TruncatedResponse(answer.Metadata, streamError(answer, err))}
		}
	}
}

func isEventStream(header http.Header) bool {
	kind, _, _ := strings.Cut(header.Get("Content-Type"), ";")
	return strings.TrimSpace(kind) == eventStreamType
}

// streamError returns why a stream is not complete, given the error with which reading ended.
func streamError(answer *forward.Response, err error) error {
	switch {
	case err == io.EOF && answer.EndsWithConnection:
		return errors.Wrap(io.ErrUnexpectedEOF, "the connection ended within an event")
	case err == nil || err == io.EOF:
		return errNotWhole
	default:
		return err
	}
}

// errTooLong is why an answer is not passed on of which only a part could be held.
var errTooLong = errors.Errorf("the response is longer than %d bytes", maxHeldAnswerBytes)

// errUnused ends an answer that nothing takes any more.
var errUnused = errors.New("nothing takes the response")

var errNotWhole = errors.New("the stream ended within an event")

// completeEventsLen returns the length of the complete events at the start of held, which begins with a line.
func completeEventsLen(held []byte) int { return eventsLen(held, false) }

// eventsLen returns the length of the events at the start of held: each ends with a blank line. Lines end with
// LF, CRLF or CR. A CR behind which nothing is held may be half of a CRLF, unless the stream has ended.
func eventsLen(held []byte, ended bool) int {
	length, line := 0, 0
	for i := 0; i < len(held); i++ {
		if held[i] != '\r' && held[i] != '\n' {
			continue
		}
		if held[i] == '\r' && i+1 == len(held) && !ended {
			break
		}
		blank := i == line
		if held[i] == '\r' && i+1 < len(held) && held[i+1] == '\n' {
			i++
		}
		line = i + 1
		if blank {
			length = line
		}
	}
	return length
}

// holdsField reports whether events hold more than blank lines and comments.
func holdsField(events []byte) bool {
	return slices.ContainsFunc(eventLines(events), func(line []byte) bool { return line[0] != ':' })
}

// eventLines returns the lines of events without the blank ones.
func eventLines(events []byte) [][]byte {
	return bytes.FieldsFunc(events, func(r rune) bool { return r == '\r' || r == '\n' })
}
