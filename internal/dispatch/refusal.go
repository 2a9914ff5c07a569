package dispatch

import (
	"context"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cherrystage/cherrystage/internal/claims"
	"github.com/cherrystage/cherrystage/internal/engine"
	"github.com/cherrystage/cherrystage/internal/verdict"
	"github.com/pkg/errors"
)

// Refusal codes, as sent to callers.
const (
	CodeNoRunner     = "no_runner"
	CodeNoTarget     = "no_target"
	CodeLoadQueue    = "load_queue_full"
	CodeAdapterFails = "adapter_fails_to_load"
	CodeOverloaded   = "overloaded"
	CodeDuplicate    = "duplicate_request"
	CodeClaim        = "claim_unavailable"
	CodeCallerGone   = "caller_gone"
	CodeStopping     = "stopping"
)

// Retry delays for refused callers.
const (
	retrySoon  = time.Second
	retryLater = 5 * time.Second
)

// Refusal is the final result of a request without a complete answer.
type Refusal struct {
	Status     int
	Code       string
	Message    string
	Verdict    verdict.Verdict
	RetryAfter time.Duration
}

// Error implements error.
func (r *Refusal) Error() string { return r.Code + ": " + r.Message + " (" + r.Verdict.String() + ")" }

func notRunRefusal(code, message string, retryAfter time.Duration) *Refusal {
	return &Refusal{Status: http.StatusServiceUnavailable, Code: code, Message: message, Verdict: verdict.NotRun, RetryAfter: retryAfter}
}

func gateRefusal(err error) *Refusal {
	var full *OverloadError
	if errors.As(err, &full) {
		return &Refusal{
			Status: http.StatusTooManyRequests, Code: CodeOverloaded, Message: full.Error(),
			Verdict: verdict.NotRun, RetryAfter: full.RetryAfter,
		}
	}
	return notRunRefusal(CodeCallerGone, "the caller went away", 0)
}

func claimRefusal(err error) *Refusal {
	var duplicate *claims.DuplicateError
	if errors.As(err, &duplicate) {
		return &Refusal{Status: http.StatusConflict, Code: CodeDuplicate, Message: duplicate.Error(), Verdict: duplicate.Earlier}
	}
	if errors.Is(err, context.Canceled) {
		return notRunRefusal(CodeCallerGone, "the caller went away", 0)
	}
	return notRunRefusal(CodeClaim, err.Error(), retryLater)
}

// failureRefusal converts the last attempt's failure into a refusal. If the
// target itself refused the request, its status is kept.
//
// A status below those of errors is not: its caller would take the refusal for an answer.
func failureRefusal(failure *engine.Failure) *Refusal {
	refusal := &Refusal{
		Status: http.StatusBadGateway, Code: failure.Code, Message: failure.Error(),
		Verdict: failure.Verdict(), RetryAfter: failure.RetryAfter,
	}
	switch {
	case isRequestStatus(failure) && failure.Code != engine.CodeNotLoaded:
		refusal.Status = failure.Status
	case failure.Code == engine.CodeSilent:
		refusal.Status = http.StatusGatewayTimeout
	case refusal.Verdict == verdict.NotRun:
		refusal.Status = http.StatusServiceUnavailable
		refusal.RetryAfter = max(refusal.RetryAfter, retrySoon)
	}
	return refusal
}

// isRequestStatus reports whether the target refused the request with a status for the caller.
func isRequestStatus(failure *engine.Failure) bool {
	return failure.Stage == engine.StageRefused && failure.Status >= http.StatusBadRequest && failure.Status < http.StatusInternalServerError
}

// sequence numbers what this process sends.
type sequence struct{ last atomic.Int64 }

func (s *sequence) next(prefix string) string {
	return prefix + "-" + strconv.FormatInt(s.last.Add(1), 10)
}

// roundRobin returns the next number, for selecting targets in turn.
func (s *sequence) roundRobin() int { return int(s.last.Add(1) & 0xffff) }
