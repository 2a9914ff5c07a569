package engine

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/tmaxmax/go-sse"
)

const (
	doneMarker        = "[DONE]"
	maxPieceBytes     = 1 << 20
	maxBufferedPieces = 256
)

// After the final event the rest of the body is drained so that the connection can
// be reused. drainTimeout applies to an engine that does not end the body.
const drainTimeout = 50 * time.Millisecond

var errSilenceTimeout = errors.New("no piece within the time allowed")

// callerError wraps an error from delivering a piece to the caller.
type callerError struct{ error }

// positionOf returns an event's ID if it is a number, else its index in the stream.
func positionOf(event sse.Event, sequential int) int {
	if position, err := strconv.Atoi(event.LastEventID); err == nil {
		return position
	}
	return sequential
}

func (a *attempt) accept(piece Piece) *Failure {
	if failure := a.checkModel(piece); failure != nil {
		return failure
	}
	ready, err := a.assembler.Push(piece)
	if err != nil {
		return a.streamFailure(CodeMalformed, err)
	}
	for _, next := range ready {
		if err := a.deliver(next); err != nil {
			return &Failure{Stage: StageCaller, Code: CodeCallerGone, Delivered: a.delivered, Cause: callerError{err}}
		}
		a.delivered++
	}
	return nil
}

// checkModel rejects a piece that names another model than the requested one: it
// comes from another adapter or another version.
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

// Assembler orders the pieces of one response and drops duplicates.
type Assembler struct {
	next     int
	end      int
	buffered map[int]Piece
}

// NewAssembler returns an assembler that expects the first piece.
func NewAssembler() *Assembler { return &Assembler{end: -1} }

// Next returns the position of the first missing piece.
func (a *Assembler) Next() int { return a.next }

// End records the total number of pieces.
func (a *Assembler) End(count int) { a.end = count }

// Complete reports whether all pieces have arrived.
func (a *Assembler) Complete() bool { return a.end >= 0 && a.next >= a.end }

// Push adds a piece and returns the pieces that are now in order. Duplicates are
// dropped. Early pieces are buffered; it fails if there are more than maxBufferedPieces.
func (a *Assembler) Push(piece Piece) ([]Piece, error) {
	if piece.Position < a.next {
		return nil, nil
	}
	if piece.Position == a.next && len(a.buffered) == 0 {
		a.next++
		return []Piece{piece}, nil
	}
	if a.buffered == nil {
		a.buffered = map[int]Piece{}
	}
	a.buffered[piece.Position] = piece
	if len(a.buffered) > maxBufferedPieces {
		return nil, errors.Errorf("piece %d is missing and %d came after it", a.next, len(a.buffered))
	}
	var ready []Piece
	for {
		next, ok := a.buffered[a.next]
		if !ok {
			return ready, nil
		}
		delete(a.buffered, a.next)
		a.next++
		ready = append(ready, next)
	}
}
