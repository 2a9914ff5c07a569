package precedence

import (
	"time"

	"github.com/cherrystage/cherrystage/internal/site"
)

const (
	// minRetryAfter covers the round trip of a caller in another data centre and of the
	// admission. A caller leaves a stream after two seconds without an event, so one that
	// is told to wait for longer than maxRetryAfter has left.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 5 * time.Second
	// jitterShare is the greatest part of the wait that is added at random, so that
	// callers refused at the same time do not retry at the same time.
	jitterShare = 1.0 / 3
	// lowestPriority is the priority from which the wait is twice the expected one. The
	// requests of higher precedence that retry meanwhile go first then.
	lowestPriority = 16
)

// RetryAfter returns when a refused caller should retry: after the expected wait, later
// for lower precedence, with jitter. draw is a uniform random number in [0, 1).
func RetryAfter(wait time.Duration, p site.Precedence, draw float64) time.Duration {
	wait = min(max(wait, minRetryAfter), maxRetryAfter)
	share := func(priority int) float64 { return float64(min(max(priority, 0), lowestPriority)) / lowestPriority }
	later := 1 + (share(p.Workspace)*lowestPriority+share(p.Route))/(lowestPriority+1)
	return time.Duration(float64(wait) * later * (1 + jitterShare*draw))
}
