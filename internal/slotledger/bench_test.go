package slotledger

import (
	"fmt"
	"testing"
	"time"

	"github.com/cherrystage/cherrystage/internal/site"
)

// BenchmarkAcquireAndRelease takes the time of one request with a given number of others waiting,
// on four runners of six slots.
func BenchmarkAcquireAndRelease(b *testing.B) {
	for _, waiting := range []int{0, 200} {
		b.Run(fmt.Sprint(waiting, " waiting"), func(b *testing.B) {
			l := New()
			request := Request{MaxWait: time.Minute, Lifetime: time.Second}
			for i := range 4 {
				request.Runners = append(request.Runners, Runner{ID: fmt.Sprint("r", i), Slots: 6})
			}
			if waiting == 0 {
				waiting = -1
			}
			now, oldest := start, uint64(0)
			for number := range uint64(24 + waiting) {
				request.ID.Number = number
				l.Acquire(request, now)
			}
			for number := uint64(24 + waiting); b.Loop(); number++ {
				now = now.Add(time.Microsecond)
				request.ID.Number, request.Precedence, request.Due = number, site.Precedence{Workspace: int(number % 16)}, now
				l.Acquire(request, now)
				l.Release([]Release{{ID: ID{Number: oldest}}}, now)
				oldest++
			}
		})
	}
}
