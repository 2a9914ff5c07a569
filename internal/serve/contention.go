package serve

import (
	"math/rand/v2"
	"time"

	"github.com/cherrystage/cherrystage/internal/adapters"
	"github.com/cherrystage/cherrystage/internal/precedence"
)

// countDeferral records that an owner let others go first.
func (l *lifecycle) countDeferral(admitted adapters.AdmissionResult, pause time.Duration) {
	if admitted.Ticket == 0 {
		return
	}
	l.deferrals++
	l.deferred += max(0, pause)
}

// contentionLogFields returns the log fields of a request that has a precedence.
func (l *lifecycle) contentionLogFields() []any {
	if !l.ranked {
		return nil
	}
	fields := []any{"precedence", []int{l.precedence.Workspace, l.precedence.Route}}
	if l.deferrals > 0 {
		fields = append(fields, "deferrals", l.deferrals, "deferred_ms", l.deferred.Milliseconds())
	}
	return fields
}

// noteWait records the wait that a refusal is based on.
func (l *lifecycle) noteWait(err error) {
	wait := adapters.WaitOf(err)
	if wait > 0 && (l.shortestWait == 0 || wait < l.shortestWait) {
		l.shortestWait = wait
	}
}

// retryAfter returns when the caller of a request should retry that no runner has
// capacity for.
func (l *lifecycle) retryAfter() time.Duration {
	if !l.ranked {
		return retryAfterShort
	}
	wait := retryAfterShort
	if l.shortestWait > 0 {
		wait = l.shortestWait
	}
	wait = max(wait, l.s.recoveryLeft())
	return min(precedence.RetryAfter(wait, l.precedence, rand.Float64()), max(minRetryAfter, l.timeLeft()/retryShareDivisor))
}

// minRetryAfter is the shortest time after which a caller should retry. Once the request's time is
// up, the part of it that is left is 0 or negative.
const minRetryAfter = 100 * time.Millisecond

// retryShareDivisor: callers honour a Retry-After of at most this part of the time that they have
// left, by the platform's specification.
const retryShareDivisor = 3

// recoveryPeriod is how long after its start a host does not know the runners it will have: those
// whose entries expired during an outage are listed again within about two seconds of its end, and
// their owners have to read their state.
//
// After a loss of all hosts, callers that were told to retry after a few hundred milliseconds met
// the same lack of runners, and most of them retry only once.
const recoveryPeriod = 2500 * time.Millisecond

// recoveryLeft returns how much of the recovery period is left, 0 if none is.
func (s *Server) recoveryLeft() time.Duration {
	return max(0, s.started.Add(recoveryPeriod).Sub(s.Now()))
}
