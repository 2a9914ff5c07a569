// Package timing holds waits that end with their context.
package timing

import (
	"context"
	"time"
)

// Sleep waits for a time, or until the context ends. It makes no timer where there is
// nothing to wait for: under the race detector Go 1.26 crashes in a test's bubble where many
// goroutines select timers that have expired already.
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

// Every does something again and again, with an interval between, until the
// context ends.
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
