package callerconn

import (
	"context"
	"net/http"
	"time"

	"github.com/cherrystage/cherrystage/internal/answer"
	"github.com/cherrystage/cherrystage/internal/timing"
)

// leftChecks are the waits after each interim answer to a caller whose input has ended. Together they
// are longer than the way to a caller and back.
var leftChecks = []time.Duration{30 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond}

// watchCaller returns a context for the request that ends once its caller has left. The context of
// net/http ends earlier: with the caller's input, which a caller also closes that has sent all it has
// and waits for the answer, and with any error of a read, such as a deadline.
func watchCaller(w *answer.Writer, r *http.Request) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.WithoutCancel(r.Context()))
	stop := context.AfterFunc(r.Context(), func() {
		if callerLeft(ctx, w, r) {
			w.CallerLeft()
			cancel()
		}
	})
	return ctx, func() {
		stop()
		cancel()
	}
}

// callerLeft finds out whether a caller has left after its input has ended.
//
// A caller that has closed its whole connection refuses whatever is sent to it. Until the answer
// begins, this host sends interim answers to find out; afterwards, the answer itself shows it.
func callerLeft(ctx context.Context, w *answer.Writer, r *http.Request) bool {
	conn := recorderFrom(r.Context())
	switch conn.inputState() {
	case inputOpen:
		return false
	case inputBroken:
		return true
	}
	if !r.ProtoAtLeast(1, 1) {
		// HTTP/1.0 has no interim answers.
		return false
	}
	for _, wait := range leftChecks {
		if !w.Interim() {
			return false
		}
		timing.Sleep(ctx, wait)
		if conn.hasWriteFailed() {
			return true
		}
	}
	return false
}
