package timing

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

// Many goroutines in a synctest bubble sleep for a non-positive duration. Under the race
// detector the runtime could crash on each timer that had already expired.
func TestSleepOfNonPositiveDuration(t *testing.T) {
	for range 20 {
		synctest.Test(t, func(t *testing.T) {
			var wg sync.WaitGroup
			for i := range 50 {
				wg.Go(func() {
					for j := range 200 {
						Sleep(t.Context(), -time.Duration(i*j)*time.Millisecond)
						Sleep(t.Context(), time.Millisecond)
					}
				})
			}
			start := time.Now()
			wg.Wait()
			must.Eq(t, 200*time.Millisecond, time.Since(start))
		})
	}
}

func TestSleepStopsWhenContextIsDone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		start := time.Now()
		Sleep(ctx, time.Minute)
		must.Eq(t, time.Second, time.Since(start))
	})
}
