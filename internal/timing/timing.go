// Package timing provides waits that a context can cancel.
package timing

import (
	"context"
	"time"
)

// Sleep waits for the given duration or until ctx is done. It returns at once, without a
// timer, if wait is not positive: under the race detector, Go 1.26 crashes in a synctest
// bubble when many goroutines select on timers that have already expired.
func Sleep(ctx context.Context, wait time.Duration) {
	if wait <= 0 {
		return
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// Every calls do at every interval until ctx is done.
func Every(ctx context.Context, interval time.Duration, do func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			do()
		}
	}
}
