package node

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cherrystage/cherrystage/internal/engine"
	"github.com/cherrystage/cherrystage/internal/fleet"
	"github.com/cherrystage/cherrystage/internal/settings"
	"github.com/cherrystage/cherrystage/internal/standin"
	"github.com/shoenig/test/must"
)

// loadModels makes models resident by requesting them one after the other.
func (c *cluster) loadModels(host string, models ...string) {
	for _, model := range models {
		requireComplete(c.t, c.complete(host, model, "fill-"+model, 1), model+"@1", 1)
	}
	time.Sleep(2 * time.Second)
}

// runnerWithModel returns the runner on which a model is resident, or "".
func (c *cluster) runnerWithModel(model string) string {
	for _, id := range []string{"runner-1", "runner-2", "runner-3", "runner-4"} {
		if e := c.env.Engine(id); e != nil && e.Resident(model) {
			return id
		}
	}
	return ""
}

// otherHost returns a running host other than the given ones.
func (c *cluster) otherHost(not ...string) string {
	for _, id := range []string{"e1", "e2", "e3", "e4"} {
		_, running := c.nodes[id]
		for _, other := range not {
			running = running && id != other
		}
		if running {
			return id
		}
	}
	c.t.Fatal("no other host")
	return ""
}

func TestRace01LateEvictionOfPausedOwner(t *testing.T) {
	// The owner of a runner checks its lease, sends an eviction and is cut off. The engine,
	// which ignores fencing tokens, executes the order 40 s later, when a successor has taken
	// over. The successor has read the stored intent to evict and does not let requests use the
	// adapter on that runner, so a stream from the adapter is complete.
	envConfig := smallEnvironment()
	envConfig.Unfenced = 4
	envConfig.Runners = 4
	inCluster(t, 3, envConfig, func(c *cluster) {
		c.loadModels("e1", "a0", "a1", "a2", "a3", "a4", "a5", "a6", "a7")
		// Let idle pins be returned, so that only the pending order matters.
		time.Sleep(time.Minute)
		held := make(chan engine.Order, 4)
		var holding atomic.Bool
		for _, e := range c.env.Engines {
			e.SetFaults(standin.Faults{HoldOrder: func(order engine.Order) {
				if order.Kind == engine.OrderEvict && holding.CompareAndSwap(false, true) {
					held <- order
					time.Sleep(40 * time.Second)
				}
			}})
		}
		c.addAdapter("b0")
		go c.complete("e1", "b0", "presses-for-room", 1)
		order := receive(t, held)
		adapter := order.Model[:2]
		runner := c.runnerWithModel(order.Model)
		owner := c.ownerOf(runner)
		c.isolate(owner)
		time.Sleep(15 * time.Second)
		successor := c.successorOf(runner, owner)
		must.NotEq(t, "", successor, must.Sprint("nobody took the runner over"))
		got := c.complete(successor, adapter, "long", 3000)
		requireComplete(t, got, order.Model, 3000)
		must.Eq(t, 0, c.evictedInUse())
	})
}

// receive returns a value from a channel, or fails the test after a minute of virtual time.
func receive[T any](t *testing.T, from <-chan T) T {
	t.Helper()
	select {
	case got := <-from:
		return got
	case <-time.After(time.Minute):
		t.Fatal("nothing came within a minute")
		panic("unreachable")
	}
}

// isolate cuts a host off from the platform and its peers, but not from the runners.
func (c *cluster) isolate(host string) {
	c.net.Partition(host, "platform")
	for id := range c.nodes {
		if id != host {
			c.net.Partition(host, id)
		}
	}
}

// successorOf returns the owner of a runner, or "" if there is none but the former one.
func (c *cluster) successorOf(runner, former string) string {
	for id, node := range c.nodes {
		for _, owned := range node.controller.Owned() {
			if owned == runner && id != former {
				return id
			}
		}
	}
	return ""
}

func TestRace03HolderCutOffKeepsItsPin(t *testing.T) {
	// A host is cut off from its peers while it holds an idle pin. The owner of the runner needs
	// room and would evict the model after a stream under that pin has begun. Because a holder
	// that is not heard may be about to send, its pins remain valid and the stream is complete.
	inCluster(t, 3, smallEnvironment(), func(c *cluster) {
		c.loadModels("e1", "a0", "a1", "a2", "a3")
		runner := c.runnerWithModel("a0@1")
		holder := c.otherHost(c.ownerOf(runner))
		requireComplete(t, c.complete(holder, "a0", "takes-the-pin", 1), "a0@1", 1)
		for id := range c.nodes {
			if id != holder {
				c.net.Partition(holder, id)
			}
		}
		evicting := c.delayEvictions("a0@1", 2*time.Second)
		var wg sync.WaitGroup
		for _, model := range []string{"a4", "a5", "a6", "a7"} {
			wg.Go(func() { c.complete(c.otherHost(holder), model, "press-"+model, 1) })
		}
		select {
		case <-evicting:
		case <-time.After(10 * time.Second):
		}
		got := c.complete(holder, "a0", "paused", 500)
		wg.Wait()
		must.Eq(t, 0, c.evictedInUse())
		requireComplete(t, got, "a0@1", 500)
		must.Eq(t, runner, c.nodes[holder].servingRunner("paused"))
	})
}

// delayEvictions delays evictions of a model at the engines. The channel receives a value when
// one is sent.
func (c *cluster) delayEvictions(model string, delay time.Duration) <-chan bool {
	sent := make(chan bool, 16)
	c.setFaults(standin.Faults{HoldOrder: func(order engine.Order) {
		if order.Kind == engine.OrderEvict && order.Model == model {
			sent <- true
			time.Sleep(delay)
		}
	}})
	return sent
}

// servingRunner returns the runner that served a request.
func (n *testNode) servingRunner(request string) string {
	report, _ := n.traces.Find(request)
	return report.Runner
}

func TestRace05EngineRestartsBehindItsReport(t *testing.T) {
	// A request arrives just after an engine restarted with empty slots, while its last report
	// still lists the adapter. The engine responds that it does not have the model, and the
	// request waits for a load and is served.
	inCluster(t, 2, smallEnvironment(), func(c *cluster) {
		c.loadModels("e1", "a0")
		c.env.Engine(c.runnerWithModel("a0@1")).Restart()
		requireComplete(t, c.complete("e1", "a0", "after-restart", 5), "a0@1", 5)
		must.Eq(t, 1, c.runs("after-restart"))
	})
}

func TestRace06LoadEndsAfterItsTimeout(t *testing.T) {
	// Loads take longer than the order timeout, and requests are served by loads that ended
	// late. A slot whose load was not answered remains occupied until a report shows its state,
	// so the engine never receives more loads than it has slots, and no slot is lost.
	envConfig := smallEnvironment()
	envConfig.Runners = 1
	envConfig.LoadTime = 3 * time.Second
	configure := func(cfg *settings.Settings) { cfg.Timing.OrderTimeout = 2 * time.Second }
	inConfiguredCluster(t, 2, envConfig, configure, func(c *cluster) {
		var wg sync.WaitGroup
		for _, model := range []string{"a0", "a1", "a2"} {
			wg.Go(func() { c.complete("e1", model, "slow-"+model, 1) })
		}
		wg.Wait()
		time.Sleep(20 * time.Second)
		must.Eq(t, 0, c.env.Engine("runner-1").Counts().NoSlot)
		c.env.WeightStore.SetSlowdown(0)
		c.loadModels("e1", "a3", "a4", "a5")
		runner, _ := c.nodes["e1"].runnerTable.Get("runner-1")
		must.Eq(t, 2, c.env.Engine("runner-1").ResidentCount())
		must.Eq(t, 0, runner.Free)
	})
}

func TestEngineIsFencedBeforeItsAdaptersAreUsed(t *testing.T) {
	// An owner takes over an engine that reports itself empty. An order of an earlier owner then
	// loads an adapter, which is used, and is followed by a late eviction of the earlier owner.
	// The engine rejects the eviction, because the new owner had it execute an order with the
	// new fencing token before it allowed the adapter to be used.
	inCluster(t, 2, smallEnvironment(), func(c *cluster) {
		client := engine.NewClient(engine.Config{Dial: c.net.Host("former").Dial, ConnectTimeout: time.Second, OrderTimeout: time.Minute})
		late := engine.Order{Kind: engine.OrderLoad, Model: "a0@1"}
		must.NoError(t, client.Order(context.Background(), "runner-1:80", late))
		time.Sleep(2 * time.Second)
		got := make(chan response, 1)
		go func() { got <- c.complete("e1", "a0", "uses-it", 500) }()
		time.Sleep(time.Second)
		late.Kind = engine.OrderEvict
		must.Error(t, client.Order(context.Background(), "runner-1:80", late))
		requireComplete(t, receive(t, got), "a0@1", 500)
		must.Eq(t, 0, c.evictedInUse())
	})
}

func TestRace13TargetLeavesWhileRequestsWait(t *testing.T) {
	// A runner is listed as leaving while requests stream from it and others wait for it. The
	// streams are complete, the waiting requests are served elsewhere, and the runner receives
	// no new requests once the list has been read.
	inCluster(t, 2, smallEnvironment(), func(c *cluster) {
		c.loadModels("e1", "a0")
		runner := c.runnerWithModel("a0@1")
		var wg sync.WaitGroup
		streams := make([]response, 8)
		for i := range streams {
			wg.Go(func() { streams[i] = c.complete("e1", "a0", "open", 500) })
		}
		time.Sleep(time.Second)
		host, _ := c.nodes["e1"].hosts.Host(runner)
		host.State = fleet.StateLeaving
		c.env.Platform.SetHost(host)
		time.Sleep(3 * time.Second)
		before := c.env.Engine(runner).Counts().Requests
		late := c.complete("e2", "a0", "late", 5)
		wg.Wait()
		requireComplete(t, late, "a0@1", 5)
		must.Eq(t, before, c.env.Engine(runner).Counts().Requests)
		for _, got := range streams {
			requireComplete(t, got, "a0@1", 500)
		}
	})
}

func TestEmptyHostListChangesNothing(t *testing.T) {
	// The platform's host list is empty for a while. Requests are not affected, because the last
	// list that was not empty remains in force.
	inCluster(t, 2, smallEnvironment(), func(c *cluster) {
		c.loadModels("e1", "a0")
		for _, id := range []string{"runner-1", "runner-2", "dispatch-1", "e1", "e2"} {
			c.env.Platform.RemoveHost(id)
		}
		time.Sleep(5 * time.Second)
		requireComplete(t, c.complete("e2", "a0", "listless", 5), "a0@1", 5)
		requireComplete(t, c.complete("e2", "a5", "listless-cold", 5), "a5@1", 5)
	})
}

func TestRace14AllHostsReplaced(t *testing.T) {
	// All entry hosts are replaced within a minute, one after the other, while requests
	// continue. Then all are killed before new ones are started. Every request is served.
	inCluster(t, 3, smallEnvironment(), func(c *cluster) {
		c.loadModels("e1", "a0", "a1")
		for _, id := range []string{"e1", "e2", "e3"} {
			c.kill(id)
			requireComplete(t, c.complete(c.otherHost(id), "a0", "while-"+id+"-is-away", 5), "a0@1", 5)
			c.start(id)
			time.Sleep(15 * time.Second)
		}
		for _, id := range []string{"e1", "e2", "e3"} {
			c.kill(id)
		}
		for _, id := range []string{"e1", "e2", "e3"} {
			c.start(id)
		}
		time.Sleep(10 * time.Second)
		for _, model := range []string{"a0", "a1", "a2", "a3", "a4"} {
			requireComplete(t, c.complete("e2", model, "after-all-"+model, 5), model+"@1", 5)
		}
		must.Eq(t, 0, c.evictedInUse())
	})
}

func TestRace15AllowanceKeptWhileCutOff(t *testing.T) {
	// No hosts can reach each other, and each receives requests for many adapters. Each keeps to its
	// own share, so that in no time window the weight store receives more loads than it allows.
	envConfig := smallEnvironment()
	envConfig.LoadTime = 10 * time.Millisecond
	inCluster(t, 3, envConfig, func(c *cluster) {
		c.net.Partition("e1", "e2")
		c.net.Partition("e1", "e3")
		c.net.Partition("e2", "e3")
		began := time.Now()
		var wg sync.WaitGroup
		for id := range c.nodes {
			for i := range 24 {
				model := string(rune('0' + i%8))
				wg.Go(func() { c.complete(id, "a"+model, "cold", 1) })
			}
		}
		wg.Wait()
		requireAllowance(t, c.env.WeightStore.LoadStarts(), began, 3.5, 3)
	})
}

func TestLoadsFollowReducedWeightStoreRate(t *testing.T) {
	// The weight store reduces its allowed rate to a tenth. Within seconds all hosts together
	// keep to it, and requests for resident models are still served.
	envConfig := smallEnvironment()
	envConfig.LoadTime = 10 * time.Millisecond
	configure := func(cfg *settings.Settings) { cfg.WeightStore = cfg.ObjectAPI }
	inConfiguredCluster(t, 3, envConfig, configure, func(c *cluster) {
		c.loadModels("e1", "a0")
		c.env.Platform.SetLoadRate(0.35)
		time.Sleep(15 * time.Second)
		began := time.Now()
		var wg sync.WaitGroup
		for id := range c.nodes {
			for _, model := range []string{"a1", "a2", "a3", "a4", "a5", "a6", "a7"} {
				wg.Go(func() { c.complete(id, model, "cold-"+model, 1) })
			}
		}
		requireComplete(t, c.complete("e2", "a0", "resident", 5), "a0@1", 5)
		wg.Wait()
		requireAllowance(t, c.env.WeightStore.LoadStarts(), began, 0.35, 1)
	})
}

// requireAllowance fails the test if any time window contains more load starts than the rate
// allows, plus one for each host and one for the edge of the window.
func requireAllowance(t *testing.T, starts []time.Time, from time.Time, rate float64, hosts int) {
	t.Helper()
	var loads []time.Time
	for _, start := range starts {
		if start.After(from) {
			loads = append(loads, start)
		}
	}
	must.Greater(t, 0, len(loads))
	for i := range loads {
		for j := i; j < len(loads); j++ {
			window := loads[j].Sub(loads[i]).Seconds()
			allowed := rate*window + float64(hosts) + 1
			must.LessEq(t, allowed, float64(j-i+1), must.Sprintf("%d loads in %.2f s", j-i+1, window))
		}
	}
}
