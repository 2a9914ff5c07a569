package node

import (
	"testing"

	"github.com/shoenig/test/must"
)

func TestRequestPastALoad(t *testing.T) {
	// A caller asks through one host for an adapter that no runner has. The
	// host's peer owns the runner and loads it; the caller gets the whole
	// answer under the version that was current.
	inCluster(t, 3, smallWorld(), func(c *cluster) {
		got := c.ask("e1", "a0", "r1", 5)
		requireWhole(t, got, "a0@1", 5)
		must.Eq(t, 1, c.runs("r1"))
		story, ok := c.nodes["e1"].traces.Find("r1")
		must.True(t, ok)
		t.Logf("%+v", story)
	})
}
