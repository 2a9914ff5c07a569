package node

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestNewVersionIsLoadedBeforeItIsCurrent(t *testing.T) {
	// An adapter in steady use gets a new version, which is made current a minute later. The
	// first request for the new version does not wait for a load.
	inCluster(t, 3, smallEnvironment(), func(c *cluster) {
		c.requestFor(time.Minute, "a0")
		document := sampleDocument()
		document.Adapters[0].Versions = []string{"1", "2", "3"}
		c.apply(document)
		c.requestFor(time.Minute, "a0")
		must.NotEq(t, "", c.runnerWithModel("a0@3"))
		document.Adapters[0].Current = "3"
		c.apply(document)
		time.Sleep(2 * time.Second)
		before := c.countStalls()
		requireComplete(t, c.complete("e2", "a0", "new-version", 5), "a0@3", 5)
		must.Eq(t, before, c.countStalls())
	})
}

// requestFor sends requests for the models through all hosts in turn, two per second.
func (c *cluster) requestFor(duration time.Duration, models ...string) {
	hosts := []string{"e1", "e2", "e3"}
	until := time.Now().Add(duration)
	for i := 0; time.Now().Before(until); i++ {
		go c.complete(hosts[i%3], models[i%len(models)], fmt.Sprint("use-", i), 3)
		time.Sleep(500 * time.Millisecond)
	}
}

// countStalls returns the number of requests that waited for a load, over all hosts.
func (c *cluster) countStalls() int64 {
	var stalls int64
	for _, node := range c.nodes {
		stalls += node.metrics.Snapshot().Stalls
	}
	return stalls
}

func TestRestartedEngineReloadsAdaptersInUse(t *testing.T) {
	// Both engines restart empty. After 15 s without requests, the two adapters
	// that were in use are resident again and requests do not wait for loads.
	inCluster(t, 3, smallEnvironment(), func(c *cluster) {
		c.requestFor(2*time.Minute, "a0", "a1")
		c.env.Engine("runner-1").Restart()
		c.env.Engine("runner-2").Restart()
		time.Sleep(15 * time.Second)
		before := c.countStalls()
		requireComplete(t, c.complete("e1", "a0", "refilled-0", 5), "a0@1", 5)
		requireComplete(t, c.complete("e2", "a1", "refilled-1", 5), "a1@1", 5)
		must.Eq(t, before, c.countStalls())
	})
}

func TestDemandIsRestoredAfterHostReplacement(t *testing.T) {
	// All entry hosts are replaced together by hosts of the same names. Within a minute, the new
	// ones have restored the demand estimates.
	inCluster(t, 3, smallEnvironment(), func(c *cluster) {
		c.requestFor(2*time.Minute, "a0", "a1")
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

func TestPrefetchBeforeUsualHour(t *testing.T) {
	// An adapter is used at the same hour on three days. On the fourth day it is loaded shortly
	// before that hour.
	inCluster(t, 2, smallEnvironment(), func(c *cluster) {
		now := time.Now().Truncate(time.Hour).Add(2 * time.Hour)
		for day := range 3 {
			at := now.Add(time.Duration(day-4) * 24 * time.Hour)
			for _, node := range c.nodes {
				node.demand.estimator.Add("a7@1", 1, at)
			}
		}
		time.Sleep(time.Until(now.Add(-time.Minute)))
		must.NotEq(t, "", c.runnerWithModel("a7@1"))
		requireComplete(t, c.complete("e1", "a7", "habit", 5), "a7@1", 5)
	})
}
