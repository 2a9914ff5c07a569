package engine

import (
	"context"
	"encoding/json"
	"io"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/tmaxmax/go-sse"
)

const (
	doneMark      = "[DONE]"
	maxPieceBytes = 1 << 20
	maxHeldPieces = 256
)

// After the closing mark the rest of the body is read, so that the connection
// can be used again; an engine that does not end it is not waited for.
const (
	drainTime  = 50 * time.Millisecond
	drainBytes = 512
)

var errSilent = errors.New("no piece within the time allowed")

// errCaller wraps the failure to pass a piece on.
type errCaller struct{ error }

// read passes pieces on until the answer is whole.
func (a *attempt) read(ctx context.Context, body io.Reader, patience *time.Timer) *Failure {
	sequential := a.assembler.Next()
	for event, err := range sse.Read(body, &sse.ReadConfig{MaxEventSize: maxPieceBytes}) {
		if err != nil {
			return a.readFailure(ctx, err)
		}
		patience.Reset(a.client.cfg.SilenceTimeout)
		position := positionOf(event, sequential)
		sequential++
		if event.Data == doneMark {
			a.assembler.End(position)
		} else if failure := a.take(Piece{Position: position, Data: []byte(event.Data)}); failure != nil {
			return failure
		}
		if a.assembler.Complete() {
			patience.Reset(drainTime)
			_, _ = io.CopyN(io.Discard, body, drainBytes)
			return nil
		}
	}
	return a.readFailure(ctx, io.ErrUnexpectedEOF)
}

// positionOf gives a piece's position: its event identifier where the engine
// sends one, else its place in the stream.
func positionOf(event sse.Event, sequential int) int {
	if position, err := strconv.Atoi(event.LastEventID); err == nil {
		return position
	}
	return sequential
}

func (a *attempt) take(piece Piece) *Failure {
	if failure := a.checkModel(piece); failure != nil {
		return failure
	}
	ready, err := a.assembler.Push(piece)
	if err != nil {
		return a.streamFailure(CodeMalformed, err)
	}
	for _, next := range ready {
		if err := a.pass(next); err != nil {
			return &Failure{Stage: StageCaller, Code: CodeCallerGone, Delivered: a.passed, Cause: errCaller{err}}
		}
		a.passed++
	}
	return nil
}

// checkModel refuses a piece under another name than the one asked for: it
// is another adapter's answer, or another version's.
func (a *attempt) checkModel(piece Piece) *Failure {
	var named struct {
		Model string `json:"model"`
	}
	if err := json.Unmarshal(piece.Data, &named); err != nil {
		return a.streamFailure(CodeMalformed, err)
	}
	if named.Model != a.call.Model {
		return a.streamFailure(CodeWrongModel, errors.Errorf("asked for %s, answered as %q", a.call.Model, named.Model))
	}
	return nil
}

func (a *attempt) readFailure(ctx context.Context, err error) *Failure {
	switch {
	case errors.Is(context.Cause(ctx), errSilent):
		return a.streamFailure(CodeSilent, errSilent)
	case ctx.Err() != nil:
		return &Failure{Stage: StageCaller, Code: CodeCallerGone, Delivered: a.passed, Cause: ctx.Err()}
	default:
		return a.streamFailure(CodeTruncated, err)
	}
}

// Assembler puts the pieces of one answer in order, each once.
type Assembler struct {
	next int
	end  int
	held map[int]Piece
}

// NewAssembler makes an assembler that waits for the first piece.
func NewAssembler() *Assembler { return &Assembler{end: -1} }

// Next gives the position of the first piece that is missing.
func (a *Assembler) Next() int { return a.next }

// End notes that the answer has so many pieces.
func (a *Assembler) End(count int) { a.end = count }

// Complete says whether all pieces have come.
func (a *Assembler) Complete() bool { return a.end >= 0 && a.next >= a.end }

// Push takes a piece and gives those that are now in order. A piece that came
// before is dropped; one that came early is held, up to a bound.
func (a *Assembler) Push(piece Piece) ([]Piece, error) {
	if piece.Position < a.next {
		return nil, nil
	}
	if piece.Position == a.next && len(a.held) == 0 {
		a.next++
		return []Piece{piece}, nil
	}
	if a.held == nil {
		a.held = map[int]Piece{}
	}
	a.held[piece.Position] = piece
	if len(a.held) > maxHeldPieces {
		return nil, errors.Errorf("piece %d is missing and %d came after it", a.next, len(a.held))
	}
	var ready []Piece
	for {
		next, ok := a.held[a.next]
		if !ok {
			return ready, nil
		}
		delete(a.held, a.next)
		a.next++
		ready = append(ready, next)
	}
}
