package callerconn

import (
	"context"
	"net/http"
	"time"

	"github.com/cherrystage/cherrystage/internal/answer"
	"github.com/cherrystage/cherrystage/internal/timing"
	"github.com/pkg/errors"
)

// interimWaits are the waits after the interim answers to a caller whose input has ended. A caller's
// refusal of one shows when a later one is sent.
var interimWaits = []time.Duration{0, 30 * time.Millisecond, 100 * time.Millisecond, 500 * time.Millisecond}

const (
	// answerWait is how long an answer that has begun may take to show whether its caller is there.
	answerWait = 300 * time.Millisecond
	// writesTaken is the number of writes that a caller that is there takes meanwhile: the first one
	// after it has left is still sent.
	writesTaken = 2
)

// Causes with which a request's context ends because its caller has left.
var (
	errBroken  = errors.New("its connection broke")
	errRefused = errors.New("it refused what was sent to it")
	errSilent  = errors.New("its input ended while its answer was silent")
)

// watchCaller returns a context for the request that ends once its caller has left, or with
// answer.ErrStopping as its cause. The context of net/http ends earlier: with the caller's input, which a
// caller also closes that has sent all it has and waits for the answer, and with any error of a read,
// such as a deadline.
func watchCaller(w *answer.Writer, r *http.Request) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(context.WithoutCancel(r.Context()))
	stopWatching := context.AfterFunc(r.Context(), func() {
		if left := callerLeft(ctx, w, r); left != nil {
			w.CallerLeft()
			cancel(left)
		}
	})
	stopWaiting := recorderFrom(r.Context()).onHostEnd(func() {
		// What has begun may still come to its end.
		if !w.Begun() {
			cancel(answer.ErrStopping)
		}
	})
	return ctx, func() {
		stopWatching()
		stopWaiting()
		cancel(nil)
	}
}

// callerLeft finds out whether a caller has left after its input has ended, and returns how that is
// known, nil if it has not.
//
// A caller that has closed its whole connection refuses whatever is sent to it. Until the answer
// begins, this host sends interim answers to find out; afterwards, the answer itself shows it. If it
// is silent then, the caller counts as having left: its runner would work on for nobody.
func callerLeft(ctx context.Context, w *answer.Writer, r *http.Request) error {
	conn := recorderFrom(r.Context())
	if conn.hasWriteFailed() {
		// net/http ends the request's context then, before a read shows anything.
		return errRefused
	}
	switch conn.inputState() {
	case inputOpen:
		return nil
	case inputBroken:
		return errBroken
	}
	writes := conn.writeCount()
	// HTTP/1.0 has no interim answers.
	if r.ProtoAtLeast(1, 1) {
		sendInterims(ctx, w, conn)
	}
	if !conn.hasWriteFailed() && w.Begun() {
		timing.Sleep(ctx, answerWait)
	}
	switch {
	case conn.hasWriteFailed():
		return errRefused
	case w.Begun() && conn.writeCount() < writes+writesTaken:
		return errSilent
	default:
		return nil
	}
}

// sendInterims sends interim answers until one is refused, the answer begins or there are enough.
func sendInterims(ctx context.Context, w *answer.Writer, conn *recorder) {
	for _, wait := range interimWaits {
		timing.Sleep(ctx, wait)
		if !w.Interim() || conn.hasWriteFailed() {
			return
		}
	}
}
