// Package timing holds waits that end with their context.
package timing

import (
	"context"
	"time"
)

// Sleep waits for a time, or until the context ends.
func Sleep(ctx context.Context, wait time.Duration) {
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
