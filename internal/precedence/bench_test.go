package precedence

import (
	"testing"
	"time"
)

// The cost of a decision while as many requests are deferred as may be.
func BenchmarkTurn(b *testing.B) {
	queue := NewQueue(0)
	prefill := Prefill{Backlog: 400 * time.Millisecond, Burst: burst}
	for i := range maxDeferred - 1 {
		ask := liveAsk(i % 16)
		ask.Left = time.Minute
		queue.Turn(ask, prefill, epoch)
	}
	ask := liveAsk(0)
	for b.Loop() {
		queue.TooLate(ask, prefill, epoch)
	}
}
