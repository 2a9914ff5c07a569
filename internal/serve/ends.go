package serve

import (
	"context"
	"io"
	"net"
	"time"

	"github.com/cherrystage/cherrystage/internal/forward"
	"github.com/cherrystage/cherrystage/internal/site"
	"github.com/cherrystage/cherrystage/internal/timing"
	"github.com/pkg/errors"
)

// ErrProcessUnknown is returned if nothing at a runner's address tells which process answers there.
var ErrProcessUnknown = errors.New("nothing tells which process answers")

// ErrAnotherProcess is returned if another process than the expected one answers at a runner's address.
var ErrAnotherProcess = errors.New("another process answers")

// errEndNotShown is why an answer that ended with its connection is not passed on as whole.
var errEndNotShown = errors.Wrap(io.ErrUnexpectedEOF, "the end of the response is not shown to be its runner's")

const (
	// processCheckTimeout bounds the question whether a runner's process is still the same.
	processCheckTimeout = time.Second
	// processCheckPause is the pause before a question that got no answer is asked again.
	processCheckPause = 20 * time.Millisecond
	// shortStandstill is a time within which no runner ends and is back.
	shortStandstill = 300 * time.Millisecond
)

// ending is how the end of an answer's body was judged.
type ending struct {
	framing forward.Framing
	// shown is what showed that an answer that ended with its connection is whole, or why nothing did;
	// "" for other framings. took is how long that took.
	shown string
	took  time.Duration
}

// endShown is the value of ending.shown for an answer that is whole.
const endShown = "the same process still answers"

// logFields tell why the end of an answer was believed, or not.
func (e ending) logFields() []any {
	switch {
	case e.framing == "":
		return nil
	case e.shown == "":
		return []any{"end", string(e.framing)}
	default:
		return []any{"end", string(e.framing), "end_shown", e.shown, "end_ms", e.took.Milliseconds()}
	}
}

// judgeEnd returns the last part of an answer: a failure unless its body is shown to be whole.
//
// net/http finds the end of a body with a length or in chunks. A body without either ends with its
// connection, and a runner that crashes in the middle closes that just as regularly: callers would take
// the part for the answer. Only the process that wrote it can show that this was its end, by still being
// there. Anything less is no proof: a connection may open at a process that is ending, at its successor, or
// at one that is silent.
func (x *exchange) judgeEnd(answer *forward.Response, last part) part {
	if !last.ended {
		return last
	}
	last.end.framing = answer.Framing()
	if last.end.framing != forward.FramingConnection {
		return last
	}
	asked := x.l.s.Now()
	err := x.showEnd(answer)
	last.end.shown, last.end.took = endShown, x.l.s.Now().Sub(asked)
	if err == nil {
		x.l.s.Counters.EndsShown.Add(1)
		return last
	}
	x.l.s.Counters.EndsNotShown.Add(1)
	last.end.shown = err.Error()
	return part{end: last.end, failure: forward.TruncatedResponse(answer.Metadata, errors.WithMessage(errEndNotShown, err.Error()))}
}

// showEnd returns nil if the process to which the request was sent still answers, and otherwise why that
// is not shown. It takes a round trip.
func (x *exchange) showEnd(answer *forward.Response) error {
	if x.l.s.SameProcess == nil {
		return ErrProcessUnknown
	}
	if x.runner.StartedMS == 0 && x.stoodStill() {
		return errors.New("this host stood still, and the runner tells no start")
	}
	ctx, cancel := context.WithTimeout(x.ctx, processCheckTimeout)
	defer cancel()
	for {
		err := x.l.s.SameProcess(ctx, x.l.service, x.runner)
		if !isTimeout(err) || ctx.Err() != nil {
			return err
		}
		// A sound runner may be silent for a moment.
		timing.Sleep(ctx, processCheckPause)
	}
}

// isTimeout reports whether err means that the other side was silent.
func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// stoodStill reports whether this host stood still since the request was sent, for long enough that the
// runner may have ended and be back.
func (x *exchange) stoodStill() bool {
	now := x.l.s.Now()
	return now.Sub(x.sentAt)-x.l.s.Standstill.Awake(x.sentAt, now) >= shortStandstill
}

// SameProcess asks which process answers at the address of a runner of a service. It returns nil if it is
// the one that is given, ErrAnotherProcess or ErrProcessUnknown if not, and the error of the question if that
// got no answer.
type SameProcess func(ctx context.Context, service *site.Service, runner *site.Runner) error
