package engine

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/cherrystage/cherrystage/internal/verdict"
)

// Stage is how far an attempt had come when it ended.
type Stage string

// Stages of an attempt, in their order.
const (
	StageConnect Stage = "connect" // no connection to the target
	StageSend    Stage = "send"    // on a connection, no answer yet
	StageRefused Stage = "refused" // the target answered with an error status
	StageStream  Stage = "stream"  // the answer has begun
	StageCaller  Stage = "caller"  // the caller went away
)

// Failure is an attempt that did not end with a whole answer.
type Failure struct {
	Stage  Stage
	Status int    // HTTP status of a refusal, else 0
	Code   string // the target's or this package's code
	// MarkedNotRun: the target marked its refusal as coming before the request was begun.
	MarkedNotRun bool
	// Delivered is the number of pieces that had been passed on.
	Delivered  int
	RetryAfter time.Duration
	Cause      error
}

// Codes of failures found on this side.
const (
	CodeWrongModel  = "wrong_model"
	CodeMalformed   = "malformed_answer"
	CodeTruncated   = "answer_cut"
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

// Unwrap gives the cause.
func (f *Failure) Unwrap() error { return f.Cause }

// Verdict says whether the request may have run. Without a connection nothing
// was sent; a refusal that the target marks, or one of the statuses by which
// servers refuse before they begin, did not run; all else may have run.
func (f *Failure) Verdict() verdict.Verdict {
	switch f.Stage {
	case StageConnect:
		return verdict.NotRun
	case StageRefused:
		if f.MarkedNotRun || refusedBeforeRun(f.Status) {
			return verdict.NotRun
		}
	}
	return verdict.MayHaveRun
}

// refusedBeforeRun lists the statuses that by their definition come before any
// work. 503 and 429 are not among them: servers send them in mid-work too, so
// there the target has to mark its refusal.
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

// callerFault says whether trying elsewhere cannot help, since the request
// itself was refused.
func callerFault(status int) bool {
	return status == http.StatusBadRequest || status == http.StatusRequestEntityTooLarge ||
		status == http.StatusUnprocessableEntity || status == http.StatusUnsupportedMediaType
}

// MayRetry says whether another attempt is safe and can help: after NotRun for
// any request, after MayHaveRun only for an idempotent one of which the caller
// has seen nothing yet.
func (f *Failure) MayRetry(idempotent bool) bool {
	if f.Stage == StageCaller || callerFault(f.Status) {
		return false
	}
	if f.Verdict() == verdict.NotRun {
		return true
	}
	return idempotent && f.Delivered == 0
}
