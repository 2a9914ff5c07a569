package node

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// A host that owns runners is cut off from the object API and the other hosts, but not from the
// weight store. The others break its lease and claim its shares of the store's rate. It goes on
// using them, so the fleet loads faster than the store allows.
func TestSharesOfAHostThatIsCutOff(t *testing.T) {
	inCluster(t, 3, smallEnvironment(), func(c *cluster) {
		cutOff := ""
		for id, n := range c.nodes {
			if len(n.controller.Owned()) > 0 {
				cutOff = id
			}
		}
		c.net.Partition(cutOff, "platform")
		for id := range c.nodes {
			if id != cutOff {
				c.net.Partition(cutOff, id)
			}
		}
		most := 0.0
		for range 30 {
			time.Sleep(time.Second)
			most = max(most, c.totalLoadRate())
		}
		must.LessEq(c.t, c.nodes[cutOff].cfg.Loads.Rate+1e-6, most)
	})
}

// A host crashes, its lease is broken, and later it starts again. Its shares must neither be used
// by others while its process may be alive nor stay unused once a later process has replaced it.
func TestSharesOfACrashedHostReturnWithItsNextProcess(t *testing.T) {
	inCluster(t, 3, smallEnvironment(), func(c *cluster) {
		c.kill("e3")
		time.Sleep(time.Minute)
		must.Less(c.t, c.nodes["e1"].cfg.Loads.Rate, c.totalLoadRate())
		c.start("e3")
		time.Sleep(time.Minute)
		must.InDelta(c.t, c.nodes["e1"].cfg.Loads.Rate, c.totalLoadRate(), 1e-6)
	})
}

// totalLoadRate returns the rate of loads that all hosts together allow themselves, in loads per
// second.
func (c *cluster) totalLoadRate() float64 {
	sum := 0.0
	for _, n := range c.nodes {
		sum += n.allowance.PerSecond(time.Now())
	}
	return sum
}
