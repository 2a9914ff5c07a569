package node

import (
	"testing"

	"github.com/shoenig/test/must"
)

func TestRequestWaitsForLoad(t *testing.T) {
	// A request arrives for an adapter that no runner has. A peer of the host owns the runner
	// and loads the adapter, and the caller receives the complete response of the current
	// version.
	inCluster(t, 3, smallEnvironment(), func(c *cluster) {
		got := c.complete("e1", "a0", "r1", 5)
		requireComplete(t, got, "a0@1", 5)
		must.Eq(t, 1, c.runs("r1"))
		report, ok := c.nodes["e1"].traces.Find("r1")
		must.True(t, ok)
		t.Logf("%+v", report)
	})
}
