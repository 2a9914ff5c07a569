package adapters

import (
	"testing"
	"time"

	"github.com/cherrystage/cherrystage/internal/board"
	"github.com/cherrystage/cherrystage/internal/site"
	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
)

// newContendedController returns a test controller of a contended deployment.
func newContendedController(now *time.Time, capacity int, engine *fakeEngine) *Controller {
	c := newTestController(now, capacity, engine)
	c.Contended = func() bool { return true }
	return c
}

// makePopular has an adapter's home asked for it 40 times a second.
func makePopular(c *Controller, now *time.Time, key int) {
	c.slots.LoadAccepted(testKey(key), *now, *now)
	for range 60 {
		*now = now.Add(25 * time.Millisecond)
		c.slots.Advance(*now)
		ask := testRequest(key, time.Second)
		ask.Home = true
		_, _ = c.Admit(ask)
	}
}

// A popular adapter's home plans replicas, except where the deployment is not contended. There,
// loads ahead of demand are refused, replicas are named in turn as before, and nothing is counted.
func TestNothingIsLoadedAheadUnlessContended(t *testing.T) {
	for _, contended := range []bool{false, true} {
		now := epoch
		c := newContendedController(&now, 8, &fakeEngine{})
		c.Contended = func() bool { return contended }
		makePopular(c, &now, 1)
		plans := c.PlanReplicas()
		_, err := c.PrefetchAhead(AheadLoad{Key: testKey(2), PerSecond: 5})
		if contended {
			must.SliceLen(t, 1, plans)
			must.Positive(t, plans[0].Missing)
			must.NoError(t, err)
			continue
		}
		must.SliceEmpty(t, plans)
		must.ErrorIs(t, err, ErrBusy)
		must.SliceEmpty(t, c.pending)
		c.AddReplica(testKey(1), "a")
		must.Eq(t, []string{"a"}, c.pickReplicas(testKey(1)))
		must.Eq(t, 0, c.ahead.demand.Len())
		adapters, replicas := c.ahead.home.Size()
		must.Eq(t, 0, adapters+replicas)
	}
}

// The home's runner crashes while one of its adapters is popular. Until the runner is no longer
// listed, requests still ask this home, which goes on planning replicas. A host that lost its lease
// does not.
func TestHomeOfAnUnresponsiveRunnerPlansReplicas(t *testing.T) {
	now := epoch
	c := newContendedController(&now, 8, &fakeEngine{})
	makePopular(c, &now, 1)
	held := c.PlanReplicas()[0].Held
	must.Eq(t, 1, held)
	c.refuseAll(ErrUnresponsive)
	plans := c.PlanReplicas()
	must.SliceLen(t, 1, plans)
	must.Eq(t, 0, plans[0].Held)
	c.refuseAll(ErrNotOwner)
	must.SliceEmpty(t, c.PlanReplicas())
}

// Loads ahead of demand are pending when a request asks for another adapter. Its load goes first,
// although the others were pending before it and the request is late already or has much time.
func TestRequestedLoadGoesBeforeLoadsAhead(t *testing.T) {
	for _, budget := range []time.Duration{0, 450 * time.Millisecond, 2 * prefetchBudget} {
		now := epoch
		engine := &fakeEngine{}
		c := newContendedController(&now, 8, engine)
		for i := range maxAheadLoads {
			_, err := c.PrefetchAhead(AheadLoad{Key: testKey(i), PerSecond: 5})
			must.NoError(t, err)
		}
		_, err := c.PrefetchAhead(AheadLoad{Key: testKey(maxAheadLoads), PerSecond: 5})
		must.ErrorIs(t, err, ErrBusy)
		admitted, err := c.Admit(testRequest(9, budget))
		must.NoError(t, err)
		must.Eq(t, initialFetchTime, admitted.At.Sub(now))
		must.Eq(t, 0, c.runNext(t.Context()))
		must.Eq(t, testKey(9), engine.orders[0].Key, must.Sprint(budget))
	}
}

// Loads ahead of demand leave room among a runner's concurrent loads: with two of four taken, two
// adapters that requests wait for are loaded at once.
func TestLoadsAheadLeaveConcurrentLoadsToRequests(t *testing.T) {
	now := epoch
	engine := &fakeEngine{}
	c := newContendedController(&now, 12, engine)
	for i := range maxAheadLoads {
		_, err := c.PrefetchAhead(AheadLoad{Key: testKey(i), PerSecond: 5})
		must.NoError(t, err)
		must.Eq(t, 0, c.runNext(t.Context()))
	}
	must.SliceLen(t, maxAheadLoads, engine.orders)
	_, err := c.PrefetchAhead(AheadLoad{Key: testKey(5), PerSecond: 5})
	must.ErrorIs(t, err, ErrBusy)
	for i := range 2 {
		_, err := c.Admit(testRequest(10+i, 450*time.Millisecond))
		must.NoError(t, err)
		must.Eq(t, 0, c.runNext(t.Context()))
		must.Eq(t, testKey(10+i), engine.orders[maxAheadLoads+i].Key)
	}
}

// The weight store becomes saturated while a load ahead of demand waits to start. It does not
// start, and is dropped when the demand that called for it is over. No other one is accepted.
func TestNoLoadAheadAtASaturatedStore(t *testing.T) {
	now := epoch
	engine := &fakeEngine{}
	c := newContendedController(&now, 8, engine)
	_, err := c.PrefetchAhead(AheadLoad{Key: testKey(1), PerSecond: 5})
	must.NoError(t, err)
	c.StoreLoad = saturatedStore
	must.Eq(t, loadPollInterval, c.runNext(t.Context()))
	_, err = c.PrefetchAhead(AheadLoad{Key: testKey(2), PerSecond: 5})
	must.ErrorIs(t, err, ErrBusy)
	now = now.Add(aheadTTL + time.Millisecond)
	must.Eq(t, idleInterval, c.runNext(t.Context()))
	must.SliceEmpty(t, engine.orders)
	must.SliceEmpty(t, c.pending)
}

// All adapter slots but three are in use by requests. A load ahead of demand would take one that
// the next requests need, and is refused. It does not count as a load that takes a slot either.
func TestLoadAheadLeavesAdapterSlotsToRequests(t *testing.T) {
	now := epoch
	c := newContendedController(&now, 7, &fakeEngine{})
	for i := range 4 {
		c.slots.LoadAccepted(testKey(i), now, now)
	}
	now = now.Add(time.Second)
	c.slots.Advance(now)
	for i := range 4 {
		_, err := c.Admit(testRequest(i, time.Second))
		must.NoError(t, err)
	}
	_, err := c.PrefetchAhead(AheadLoad{Key: testKey(9), PerSecond: 50})
	must.ErrorIs(t, err, ErrNoFreeSlot)
	c.RequestsEnded(map[site.Adapter]int{testAdapter(0): 1})
	_, err = c.PrefetchAhead(AheadLoad{Key: testKey(9), PerSecond: 50})
	must.NoError(t, err)
	for i := range 4 {
		_, err = c.Admit(testRequest(20+i, time.Second))
		must.NoError(t, err)
	}
	_, err = c.Admit(testRequest(24, time.Second))
	must.ErrorIs(t, err, ErrNoFreeSlot)
}

// After a load ahead of demand was accepted, requests use so many adapters that it would take a slot
// that is left to them. It must not start.
func TestPendingLoadAheadLeavesAdapterSlotsToRequests(t *testing.T) {
	now := epoch
	engine := &fakeEngine{}
	c := newContendedController(&now, 7, engine)
	for i := range 4 {
		c.slots.LoadAccepted(testKey(i), now, now)
	}
	now = now.Add(time.Second)
	c.slots.Advance(now)
	for i := range 3 {
		_, err := c.Admit(testRequest(i, time.Second))
		must.NoError(t, err)
	}
	_, err := c.PrefetchAhead(AheadLoad{Key: testKey(9), PerSecond: 50})
	must.NoError(t, err)
	_, err = c.Admit(testRequest(3, time.Second))
	must.NoError(t, err)
	must.Eq(t, loadPollInterval, c.runNext(t.Context()))
	must.SliceEmpty(t, engine.orders)
	c.RequestsEnded(map[site.Adapter]int{testAdapter(0): 1})
	must.Eq(t, 0, c.runNext(t.Context()))
	must.SliceLen(t, 1, engine.orders)
}

// The idle adapters of a runner have more demand than a replica would get. It is refused.
func TestLoadAheadEvictsNoAdapterWithMoreDemand(t *testing.T) {
	now := epoch
	c := newContendedController(&now, 5, &fakeEngine{})
	for i := range 5 {
		c.slots.LoadAccepted(testKey(i), now, now)
	}
	for range 40 {
		now = now.Add(300 * time.Millisecond)
		c.slots.Advance(now)
		for i := range 5 {
			_, err := c.Admit(testRequest(i, time.Second))
			must.NoError(t, err)
			c.RequestsEnded(map[site.Adapter]int{testAdapter(i): 1})
		}
	}
	_, err := c.PrefetchAhead(AheadLoad{Key: testKey(9), PerSecond: 2})
	must.ErrorIs(t, err, ErrNoFreeSlot)
	_, err = c.PrefetchAhead(AheadLoad{Key: testKey(9), PerSecond: 50})
	must.NoError(t, err)
}

// A request asks for an adapter whose load ahead of demand is pending. The load becomes the
// request's, and the adapter is loaded once.
func TestRequestTakesOverLoadAhead(t *testing.T) {
	now := epoch
	engine := &fakeEngine{}
	c := newContendedController(&now, 8, engine)
	_, err := c.PrefetchAhead(AheadLoad{Key: testKey(1), PerSecond: 5})
	must.NoError(t, err)
	_, err = c.PrefetchAhead(AheadLoad{Key: testKey(1), PerSecond: 5})
	must.NoError(t, err)
	must.SliceLen(t, 1, c.pending)
	admitted, err := c.Admit(testRequest(1, time.Second))
	must.NoError(t, err)
	must.True(t, admitted.AskAgain)
	must.Eq(t, 0, c.runNext(t.Context()))
	must.Eq(t, idleInterval, c.runNext(t.Context()))
	must.SliceLen(t, 1, engine.orders)
	must.SliceEmpty(t, c.pending)
}

// A busy home names replicas that are ready before those that are being loaded. A request that was
// sent to one of the latter waited for its load although others had room.
func TestLoadingReplicasAreNamedLast(t *testing.T) {
	now := epoch
	c := newContendedController(&now, 8, &fakeEngine{})
	c.RunnerView = func(string, time.Time) board.View { return board.View{Load: 64} }
	c.ReplicaRequested(testKey(1), "refusing", now.Add(300*time.Millisecond))
	c.ReplicaRefused(testKey(1), "refusing")
	c.ReplicaRequested(testKey(1), "loading", now.Add(300*time.Millisecond))
	c.ReplicaAccepted(testKey(1), "loading", now.Add(300*time.Millisecond))
	c.AddReplica(testKey(1), "ready")
	ask := testRequest(1, time.Second)
	ask.Home = true
	named := func() []string {
		_, err := c.Admit(ask)
		var replicated *ReplicatedError
		must.True(t, errors.As(err, &replicated))
		return replicated.Runners
	}
	must.Eq(t, []string{"ready", "loading"}, named())
	now = now.Add(301 * time.Millisecond)
	must.SliceContainsAll(t, named(), []string{"ready", "loading"})
	must.True(t, c.replicas.Has(testKey(1)))
	c.RunnerRemoved("ready")
	must.Eq(t, []string{"loading"}, named())
}

// All adapter slots are promised to loads that requests wait for, and a load ahead of demand is
// pending. It has no slot to give up: a request that took its place would wait for a slot in vain.
// The wait that a refusal names does not include it either.
func TestLoadAheadHasNoSlotToGiveUp(t *testing.T) {
	waitOfRefusal := func(ahead bool) time.Duration {
		now := epoch
		c := newContendedController(&now, 7, &fakeEngine{})
		for i := range 3 {
			c.slots.LoadAccepted(testKey(i), now, now)
		}
		now = now.Add(time.Second)
		c.slots.Advance(now)
		for i := range 3 {
			ask := rankedRequest(i, 3, time.Second)
			ask.ExpectedOutputTokens = 20 * (i + 1)
			_, err := c.Admit(ask)
			must.NoError(t, err)
		}
		if ahead {
			_, err := c.PrefetchAhead(AheadLoad{Key: testKey(9), PerSecond: 50})
			must.NoError(t, err)
		}
		for i := range 4 {
			_, err := c.Admit(rankedRequest(20+i, 3, time.Second))
			must.NoError(t, err)
		}
		_, err := c.Admit(rankedRequest(24, 3, time.Second))
		must.ErrorIs(t, err, ErrNoFreeSlot)
		must.Eq(t, 0, c.Contention.DisplacedLoads.Load())
		must.Eq(t, ahead, c.isPending(testKey(9)))
		return WaitOf(err)
	}
	must.Positive(t, waitOfRefusal(false))
	must.Eq(t, waitOfRefusal(false), waitOfRefusal(true))
}

// The idle adapter with little demand, for which a load ahead of demand was accepted, is in use when
// the load can start. The load must not evict one with more demand instead.
func TestPendingLoadAheadEvictsNoAdapterWithMoreDemand(t *testing.T) {
	now := epoch
	engine := &fakeEngine{}
	c := newContendedController(&now, 5, engine)
	for i := range 5 {
		c.slots.LoadAccepted(testKey(i), now, now)
	}
	for range 40 {
		now = now.Add(300 * time.Millisecond)
		c.slots.Advance(now)
		for i := range 4 {
			_, err := c.Admit(testRequest(i, time.Second))
			must.NoError(t, err)
			c.RequestsEnded(map[site.Adapter]int{testAdapter(i): 1})
		}
	}
	_, err := c.PrefetchAhead(AheadLoad{Key: testKey(9), PerSecond: 2})
	must.NoError(t, err)
	_, err = c.Admit(testRequest(4, time.Second))
	must.NoError(t, err)
	c.runNext(t.Context())
	must.SliceEmpty(t, engine.orders)
	must.SliceEmpty(t, c.pending)
}

// A slow runner takes on fewer adapters ahead of demand too: their requests would wait for its slots
// while faster runners have free ones.
func TestSlowRunnerTakesOnFewerAdaptersAhead(t *testing.T) {
	for percent, accepted := range map[int]bool{0: true, 100: false} {
		now := epoch
		c := newContendedController(&now, 8, &fakeEngine{})
		c.runner.Slots = 16
		c.TypicalPrefill = func() float64 { return 20_000 }
		c.RunnerView = func(string, time.Time) board.View { return board.View{Load: 10, WorkPercent: percent} }
		for range 20 {
			c.ObservePrefillAt(40_000, percent)
		}
		_, err := c.PrefetchAhead(AheadLoad{Key: testKey(1), PerSecond: 5})
		must.Eq(t, accepted, err == nil, must.Sprintf("%d%%: %v", percent, err))
	}
}

// Refusals for the prompts before a request carry the wait where requests are ordered by priority.
// If these did not count as refusals, homes would plan too few replicas there.
func TestRefusalsWithAWaitCountAsDemand(t *testing.T) {
	for _, ranked := range []bool{false, true} {
		now := epoch
		c := newContendedController(&now, 8, &fakeEngine{})
		c.pacer.Admit(30_000, now)
		ask := rankedRequest(1, 3, time.Second)
		ask.Ranked = ranked
		_, err := c.Admit(ask)
		must.ErrorIs(t, err, ErrPromptBacklog)
		must.Positive(t, c.ahead.demand.Rate(ask.Key.Adapter, now.Add(time.Second)).RefusedPerSecond, must.Sprint(ranked))
	}
}
