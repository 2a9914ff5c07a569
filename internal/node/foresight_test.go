package node

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestNewVersionIsLoadedBeforeItIsCurrent(t *testing.T) {
	// An adapter in steady use gets a new version in the inventory, which is
	// made current a minute later. The first caller of the new version waits
	// for no load.
	inCluster(t, 3, smallWorld(), func(c *cluster) {
		c.useFor(time.Minute, "a0")
		document := sampleDocument()
		document.Adapters[0].Versions = []string{"1", "2", "3"}
		c.apply(document)
		c.useFor(time.Minute, "a0")
		must.NotEq(t, "", c.runnerWith("a0@3"))
		document.Adapters[0].Current = "3"
		c.apply(document)
		time.Sleep(2 * time.Second)
		before := c.stalls()
		requireWhole(t, c.ask("e2", "a0", "new-version", 5), "a0@3", 5)
		must.Eq(t, before, c.stalls())
	})
}

// useFor asks for models through all hosts in turn, twice a second.
func (c *cluster) useFor(duration time.Duration, models ...string) {
	hosts := []string{"e1", "e2", "e3"}
	until := time.Now().Add(duration)
	for i := 0; time.Now().Before(until); i++ {
		go c.ask(hosts[i%3], models[i%len(models)], fmt.Sprint("use-", i), 3)
		time.Sleep(500 * time.Millisecond)
	}
}

// stalls counts the requests of all hosts that waited for a load.
func (c *cluster) stalls() int64 {
	var stalls int64
	for _, node := range c.nodes {
		stalls += node.metrics.Snapshot().Stalls
	}
	return stalls
}

func TestRestartedEngineIsRefilledHottestFirst(t *testing.T) {
	// Both engines restart cold. Nobody asks for half a minute; then the two
	// adapters that were in use are resident again, and callers wait for no load.
	inCluster(t, 3, smallWorld(), func(c *cluster) {
		c.useFor(2*time.Minute, "a0", "a1")
		c.world.Engine("runner-1").Restart()
		c.world.Engine("runner-2").Restart()
		time.Sleep(15 * time.Second)
		before := c.stalls()
		requireWhole(t, c.ask("e1", "a0", "refilled-0", 5), "a0@1", 5)
		requireWhole(t, c.ask("e2", "a1", "refilled-1", 5), "a1@1", 5)
		must.Eq(t, before, c.stalls())
	})
}

func TestDemandOutlivesItsHost(t *testing.T) {
	// All entry hosts are replaced at once by ones of the same names. What was
	// asked for before is known to the new ones within a minute.
	inCluster(t, 3, smallWorld(), func(c *cluster) {
		c.useFor(2*time.Minute, "a0", "a1")
		for _, id := range []string{"e1", "e2", "e3"} {
			c.kill(id)
		}
		for _, id := range []string{"e1", "e2", "e3"} {
			c.start(id)
		}
		time.Sleep(time.Minute)
		known := 0
		for _, node := range c.nodes {
			known += node.demand.estimator.Len()
		}
		must.GreaterEq(t, 2, known)
	})
}

func TestLoadedAheadAtTheHabitualHour(t *testing.T) {
	// An adapter is used at the same hour on three days. On the fourth it is
	// loaded shortly before that hour.
	inCluster(t, 2, smallWorld(), func(c *cluster) {
		now := time.Now().Truncate(time.Hour).Add(2 * time.Hour)
		for day := range 3 {
			at := now.Add(time.Duration(day-4) * 24 * time.Hour)
			for _, node := range c.nodes {
				node.demand.estimator.Add("a7@1", 1, at)
			}
		}
		time.Sleep(time.Until(now.Add(-time.Minute)))
		must.NotEq(t, "", c.runnerWith("a7@1"))
		requireWhole(t, c.ask("e1", "a7", "habit", 5), "a7@1", 5)
	})
}
