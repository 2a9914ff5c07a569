package slotledger

import "time"

const (
	// maxRetryJitter is the largest part of a wait that is added to it.
	maxRetryJitter = 1.0 / 3
	// minRetryAfter is a lower bound on the time that a refused caller is told to wait.
	minRetryAfter = 50 * time.Millisecond
)

// RetryAfter returns the time after which a refused caller should try again, given the expected
// wait and a random number in [0, 1). The jitter keeps callers that were refused together from
// coming back together.
func RetryAfter(wait time.Duration, random float64) time.Duration {
	wait = max(wait, minRetryAfter)
	return wait + time.Duration(float64(wait)*maxRetryJitter*random)
}
