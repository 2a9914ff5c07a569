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
	// Requests wait for loads when the only host is told to stop. It gives up its runners and no
	// host takes them, so the loads never happen. Each request must be served or rejected
	// immediately as not run. Otherwise callers would receive nothing until their deadline.
	envConfig := smallEnvironment()
	envConfig.LoadTime = 3 * time.Second
	inCluster(t, 1, envConfig, func(c *cluster) {
		answers := make(chan response, 5)
		for i := range cap(answers) {
			go func() { answers <- c.complete("e1", fmt.Sprintf("a%d", i), fmt.Sprint("waits", i), 5) }()
		}
		time.Sleep(500 * time.Millisecond)
		begin := time.Now()
		node := c.nodes["e1"]
		go func() { _, _ = node.Shutdown(context.Background(), node.callers) }()
		for range cap(answers) {
			got := receive(t, answers)
			if got.status != http.StatusOK {
				must.Eq(t, http.StatusServiceUnavailable, got.status)
				must.Eq(t, "not-run", got.verdict)
			}
		}
		must.Less(t, 2*time.Second, time.Since(begin))
	})
}
