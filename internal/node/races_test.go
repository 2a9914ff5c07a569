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

// fill asks for models one after another, so that they are resident.
func (c *cluster) fill(host string, models ...string) {
	for _, model := range models {
		requireWhole(c.t, c.ask(host, model, "fill-"+model, 1), model+"@1", 1)
	}
	time.Sleep(2 * time.Second)
}

// runnerWith gives the runner on which a model is resident, or "".
func (c *cluster) runnerWith(model string) string {
	for _, id := range []string{"runner-1", "runner-2", "runner-3", "runner-4"} {
		if e := c.world.Engine(id); e != nil && e.Resident(model) {
			return id
		}
	}
	return ""
}

// otherHost gives a running host other than the given ones.
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
	// A caller streams from an adapter for a minute and gets every piece.
	// Before that, the runner's owner checked its lease, sent an eviction and
	// was cut off; the order is obeyed 40 s later by an engine that ignores
	// fencing numbers, when a successor has long taken over. The successor
	// read the intent and lets nobody use the adapter on that runner.
	world := smallWorld()
	world.Unfenced = 4
	world.Runners = 4
	inCluster(t, 3, world, func(c *cluster) {
		c.fill("e1", "a0", "a1", "a2", "a3", "a4", "a5", "a6", "a7")
		// Idle pins go back, so that only the order under way is in the way.
		time.Sleep(time.Minute)
		held := make(chan engine.Order, 4)
		var holding atomic.Bool
		for _, e := range c.world.Engines {
			e.SetFaults(standin.Faults{HoldOrder: func(order engine.Order) {
				if order.Kind == engine.OrderEvict && holding.CompareAndSwap(false, true) {
					held <- order
					time.Sleep(40 * time.Second)
				}
			}})
		}
		c.addAdapter("b0")
		go c.ask("e1", "b0", "presses-for-room", 1)
		order := await(t, held)
		adapter := order.Model[:2]
		runner := c.runnerWith(order.Model)
		owner := c.ownerOf(runner)
		c.isolate(owner)
		time.Sleep(15 * time.Second)
		successor := c.successorOf(runner, owner)
		must.NotEq(t, "", successor, must.Sprint("nobody took the runner over"))
		got := c.ask(successor, adapter, "long", 3000)
		requireWhole(t, got, order.Model, 3000)
		must.Eq(t, 0, c.evictedInUse())
	})
}

// await gives what comes on a channel within a virtual minute.
func await[T any](t *testing.T, from <-chan T) T {
	t.Helper()
	select {
	case got := <-from:
		return got
	case <-time.After(time.Minute):
		t.Fatal("nothing came within a minute")
		panic("unreachable")
	}
}

// isolate cuts a host off from the platform and its peers; its connections to
// runners stay.
func (c *cluster) isolate(host string) {
	c.net.Partition(host, "platform")
	for id := range c.nodes {
		if id != host {
			c.net.Partition(host, id)
		}
	}
}

// successorOf gives the owner of a runner other than a former one.
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
	// A caller streams through a host that is cut off from its peers, with the
	// pin it was given before, and gets every piece. The owner was pressed for
	// room just before, when the host's pin was idle; the eviction would reach
	// the engine after the stream began. A holder that is not heard may be
	// paused just before it sends, so its pins stand.
	inCluster(t, 3, smallWorld(), func(c *cluster) {
		c.fill("e1", "a0", "a1", "a2", "a3")
		runner := c.runnerWith("a0@1")
		holder := c.otherHost(c.ownerOf(runner))
		requireWhole(t, c.ask(holder, "a0", "takes-the-pin", 1), "a0@1", 1)
		for id := range c.nodes {
			if id != holder {
				c.net.Partition(holder, id)
			}
		}
		evicting := c.delayEvictions("a0@1", 2*time.Second)
		var wg sync.WaitGroup
		for _, model := range []string{"a4", "a5", "a6", "a7"} {
			wg.Go(func() { c.ask(c.otherHost(holder), model, "press-"+model, 1) })
		}
		select {
		case <-evicting:
		case <-time.After(10 * time.Second):
		}
		got := c.ask(holder, "a0", "paused", 500)
		wg.Wait()
		must.Eq(t, 0, c.evictedInUse())
		requireWhole(t, got, "a0@1", 500)
		must.Eq(t, runner, c.nodes[holder].storyOf("paused"))
	})
}

// delayEvictions makes evictions of a model reach their engine late, and tells
// when the first was sent.
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

// storyOf gives the runner that served a request.
func (n *testNode) storyOf(request string) string {
	story, _ := n.traces.Find(request)
	return story.Runner
}

func TestRace05EngineRestartsBehindItsReport(t *testing.T) {
	// A caller asks right after the engine restarted with empty slots, while
	// its last report still says that the adapter is resident. The engine says
	// it has no such model; the request goes on to a load and is answered.
	inCluster(t, 2, smallWorld(), func(c *cluster) {
		c.fill("e1", "a0")
		c.world.Engine(c.runnerWith("a0@1")).Restart()
		requireWhole(t, c.ask("e1", "a0", "after-restart", 5), "a0@1", 5)
		must.Eq(t, 1, c.runs("after-restart"))
	})
}

func TestRace06LoadEndsAfterItsTimeout(t *testing.T) {
	// Loads take longer than the order's timeout. Callers are served by loads
	// that ended late. A slot whose load was not answered stays taken until a
	// report tells, so the engine is never asked for more than it can hold, and
	// no slot is lost afterwards.
	world := smallWorld()
	world.Runners = 1
	world.LoadTime = 3 * time.Second
	tune := func(cfg *settings.Settings) { cfg.Timing.OrderTimeout = 2 * time.Second }
	synctestCluster(t, 2, world, tune, func(c *cluster) {
		var wg sync.WaitGroup
		for _, model := range []string{"a0", "a1", "a2"} {
			wg.Go(func() { c.ask("e1", model, "slow-"+model, 1) })
		}
		wg.Wait()
		time.Sleep(20 * time.Second)
		must.Eq(t, 0, c.world.Engine("runner-1").Counts().NoSlot)
		c.world.WeightStore.SetSlowdown(0)
		c.fill("e1", "a3", "a4", "a5")
		runner, _ := c.nodes["e1"].table.Get("runner-1")
		must.Eq(t, 2, c.world.Engine("runner-1").ResidentCount())
		must.Eq(t, 0, runner.Free)
	})
}

func TestEngineIsFencedBeforeWhatItHoldsIsUsed(t *testing.T) {
	// An owner takes over an engine that shows itself empty. Then an order of
	// an earlier owner loads an adapter, callers use it, and a late eviction of
	// that earlier owner comes. It is refused: the new owner had the engine take
	// an order under its own number before it let anyone use the adapter.
	inCluster(t, 2, smallWorld(), func(c *cluster) {
		client := engine.NewClient(engine.Config{Dial: c.net.Host("former").Dial, ConnectTimeout: time.Second, OrderTimeout: time.Minute})
		late := engine.Order{Kind: engine.OrderLoad, Model: "a0@1"}
		must.NoError(t, client.Order(context.Background(), "runner-1:80", late))
		time.Sleep(2 * time.Second)
		got := make(chan answer, 1)
		go func() { got <- c.ask("e1", "a0", "uses-it", 500) }()
		time.Sleep(time.Second)
		late.Kind = engine.OrderEvict
		must.Error(t, client.Order(context.Background(), "runner-1:80", late))
		requireWhole(t, await(t, got), "a0@1", 500)
		must.Eq(t, 0, c.evictedInUse())
	})
}

func TestRace13TargetLeavesWhileRequestsWait(t *testing.T) {
	// A runner is listed as leaving while requests stream and others wait for
	// it. The streams end whole, the waiting ones are served elsewhere, and the
	// runner gets nothing new once the list has been read.
	inCluster(t, 2, smallWorld(), func(c *cluster) {
		c.fill("e1", "a0")
		runner := c.runnerWith("a0@1")
		var wg sync.WaitGroup
		streams := make([]answer, 8)
		for i := range streams {
			wg.Go(func() { streams[i] = c.ask("e1", "a0", "open", 500) })
		}
		time.Sleep(time.Second)
		host, _ := c.nodes["e1"].hosts.Host(runner)
		host.State = fleet.StateLeaving
		c.world.Platform.SetHost(host)
		time.Sleep(3 * time.Second)
		before := c.world.Engine(runner).Counts().Requests
		late := c.ask("e2", "a0", "late", 5)
		wg.Wait()
		requireWhole(t, late, "a0@1", 5)
		must.Eq(t, before, c.world.Engine(runner).Counts().Requests)
		for _, got := range streams {
			requireWhole(t, got, "a0@1", 500)
		}
	})
}

func TestEmptyHostListChangesNothing(t *testing.T) {
	// The platform's host list comes back empty for a while. Callers notice
	// nothing: the last list that said something stays in force.
	inCluster(t, 2, smallWorld(), func(c *cluster) {
		c.fill("e1", "a0")
		for _, id := range []string{"runner-1", "runner-2", "dispatch-1", "e1", "e2"} {
			c.world.Platform.RemoveHost(id)
		}
		time.Sleep(5 * time.Second)
		requireWhole(t, c.ask("e2", "a0", "listless", 5), "a0@1", 5)
		requireWhole(t, c.ask("e2", "a5", "listless-cold", 5), "a5@1", 5)
	})
}

func TestRace14AllHostsReplaced(t *testing.T) {
	// Every entry host is replaced within a minute, one after another, while a
	// caller keeps asking through whichever is up; then all are killed at once
	// and new ones start. Every request is answered whole in the end.
	inCluster(t, 3, smallWorld(), func(c *cluster) {
		c.fill("e1", "a0", "a1")
		for _, id := range []string{"e1", "e2", "e3"} {
			c.kill(id)
			requireWhole(t, c.ask(c.otherHost(id), "a0", "while-"+id+"-is-away", 5), "a0@1", 5)
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
			requireWhole(t, c.ask("e2", model, "after-all-"+model, 5), model+"@1", 5)
		}
		must.Eq(t, 0, c.evictedInUse())
	})
}

func TestRace15AllowanceKeptWhileCutOff(t *testing.T) {
	// No host hears another for a minute, and each is asked for ever new
	// adapters. Each keeps to its own share, so the weight store never sees
	// more loads than it allows, whatever window one looks at.
	world := smallWorld()
	world.LoadTime = 10 * time.Millisecond
	inCluster(t, 3, world, func(c *cluster) {
		c.net.Partition("e1", "e2")
		c.net.Partition("e1", "e3")
		c.net.Partition("e2", "e3")
		began := time.Now()
		var wg sync.WaitGroup
		for id := range c.nodes {
			for i := range 24 {
				model := string(rune('0' + i%8))
				wg.Go(func() { c.ask(id, "a"+model, "cold", 1) })
			}
		}
		wg.Wait()
		requireAllowance(t, c.world.WeightStore.LoadStarts(), began, 3.5, 3)
	})
}

func TestWeightStoreAtATenthOfItsRate(t *testing.T) {
	// The weight store says that it allows a tenth of its usual rate. Within
	// seconds all hosts together load no faster; what is resident is served on.
	world := smallWorld()
	world.LoadTime = 10 * time.Millisecond
	tune := func(cfg *settings.Settings) { cfg.WeightStore = cfg.ObjectAPI }
	synctestCluster(t, 3, world, tune, func(c *cluster) {
		c.fill("e1", "a0")
		c.world.Platform.SetLoadRate(0.35)
		time.Sleep(15 * time.Second)
		began := time.Now()
		var wg sync.WaitGroup
		for id := range c.nodes {
			for _, model := range []string{"a1", "a2", "a3", "a4", "a5", "a6", "a7"} {
				wg.Go(func() { c.ask(id, model, "cold-"+model, 1) })
			}
		}
		requireWhole(t, c.ask("e2", "a0", "resident", 5), "a0@1", 5)
		wg.Wait()
		requireAllowance(t, c.world.WeightStore.LoadStarts(), began, 0.35, 1)
	})
}

// requireAllowance fails if any window holds more load starts than the rate
// allows, with one load to spare for each host and one for the window's edge.
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
