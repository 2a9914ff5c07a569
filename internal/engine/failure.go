package engine

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/cherrystage/cherrystage/internal/verdict"
)

// Stage is the stage that an attempt had reached when it ended.
type Stage string

// Stages of an attempt, in their order.
const (
	StageConnect Stage = "connect" // no connection to the target
	StageSend    Stage = "send"    // connected, no response yet
	StageRefused Stage = "refused" // the target returned an error status
	StageStream  Stage = "stream"  // the response has begun
	StageCaller  Stage = "caller"  // the caller disconnected
)

// Failure describes an attempt that ended without a complete response.
type Failure struct {
	Stage  Stage
	Status int    // HTTP status of a refusal, else 0
	Code   string // code from the target or from this package
	// MarkedNotRun reports whether the target marked its refusal as issued before it
	// began the request.
	MarkedNotRun bool
	// Unproven reports that a refusal names no attempt and came on a connection that had carried
	// others: it may be a copy of the answer to one of those, while this one runs.
	Unproven bool
	// Delivered is the number of pieces delivered to the caller.
	Delivered  int
	RetryAfter time.Duration
	Cause      error
}

// Codes of failures that this package detects.
const (
	CodeWrongModel  = "wrong_model"
	CodeMalformed   = "malformed_answer"
	CodeTruncated   = "answer_cut"
	CodeUnproven    = "answer_end_unproven"
	CodeSilent      = "answer_silent"
	CodeNoAnswer    = "no_answer"
	CodeUnreachable = "target_unreachable"
	CodeCallerGone  = "caller_gone"
)

// Error implements error.
func (f *Failure) Error() string {
	text := fmt.Sprintf("attempt ended at stage %s: %s", f.Stage, f.Code)
	if f.Status != 0 {
		text += " (status " + strconv.Itoa(f.Status) + ")"
	}
	if f.Cause != nil {
		text += ": " + f.Cause.Error()
	}
	return text
}

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Cause }

// Verdict reports whether the request may have run. It did not run if no
// connection was made, if the target marked its refusal, or if the status is one
// that servers return before they begin, unless the refusal may be another attempt's.
// Otherwise it may have run.
func (f *Failure) Verdict() verdict.Verdict {
	switch f.Stage {
	case StageConnect:
		return verdict.NotRun
	case StageRefused:
		if !f.Unproven && (f.MarkedNotRun || refusedBeforeRun(f.Status)) {
			return verdict.NotRun
		}
	}
	return verdict.MayHaveRun
}

// refusedBeforeRun reports whether a status by definition precedes any work. 503
// and 429 do not qualify: servers also send them while they work on a request, so the
// target has to mark such a refusal.
func refusedBeforeRun(status int) bool {
	switch status {
	case http.StatusBadRequest, http.StatusUnauthorized, http.StatusForbidden, http.StatusNotFound,
		http.StatusMethodNotAllowed, http.StatusRequestEntityTooLarge, http.StatusUnsupportedMediaType,
		http.StatusUnprocessableEntity:
		return true
	default:
		return false
	}
}

// isRequestError reports whether the request itself was rejected, so that a retry
// elsewhere cannot help.
func isRequestError(status int) bool {
	return status == http.StatusBadRequest || status == http.StatusRequestEntityTooLarge ||
		status == http.StatusUnprocessableEntity || status == http.StatusUnsupportedMediaType
}

// MayRetry reports whether another attempt is safe and can help: after NotRun for
// any request, after MayHaveRun only for an idempotent one with no piece delivered.
func (f *Failure) MayRetry(idempotent bool) bool {
	if f.Stage == StageCaller || isRequestError(f.Status) {
		return false
	}
	if f.Verdict() == verdict.NotRun {
		return true
	}
	return idempotent && f.Delivered == 0
}
