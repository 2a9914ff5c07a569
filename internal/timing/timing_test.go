package timing

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

// Many goroutines of a test in virtual time wait for nothing. Under the race detector each
// timer that had expired already was a chance for the runtime to crash.
func TestWaitsForNothingInVirtualTime(t *testing.T) {
	for range 20 {
		synctest.Test(t, func(t *testing.T) {
			var group sync.WaitGroup
			for i := range 50 {
				group.Go(func() {
					for j := range 200 {
						Sleep(t.Context(), -time.Duration(i*j)*time.Millisecond)
						Sleep(t.Context(), time.Millisecond)
					}
				})
			}
			begun := time.Now()
			group.Wait()
			must.Eq(t, 200*time.Millisecond, time.Since(begun))
		})
	}
}

func TestSleepEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		begun := time.Now()
		Sleep(ctx, time.Minute)
		must.Eq(t, time.Second, time.Since(begun))
	})
}
