package node

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestOnlyHostStopsWhileRequestsWait(t *testing.T) {
	// Callers wait for loads when their host, the only one, is told to stop. It
	// gives its runners away and nobody takes them, so the loads never come.
	// Each caller is served or told at once that its request has not run; left
	// alone, they had no byte within their whole limit.
	world := smallWorld()
	world.LoadTime = 3 * time.Second
	inCluster(t, 1, world, func(c *cluster) {
		answers := make(chan answer, 5)
		for i := range cap(answers) {
			go func() { answers <- c.ask("e1", fmt.Sprintf("a%d", i), fmt.Sprint("waits", i), 5) }()
		}
		time.Sleep(500 * time.Millisecond)
		begin := time.Now()
		node := c.nodes["e1"]
		go func() { _, _ = node.Shutdown(context.Background(), node.callers) }()
		for range cap(answers) {
			got := await(t, answers)
			if got.status != http.StatusOK {
				must.Eq(t, http.StatusServiceUnavailable, got.status)
				must.Eq(t, "not-run", got.verdict)
			}
		}
		must.Less(t, 2*time.Second, time.Since(begin))
	})
}
