package adapters

import (
	"testing"
	"time"

	"github.com/cherrystage/cherrystage/internal/site"
	"github.com/shoenig/test/must"
)

// evictionsOfWanted runs a runner with eight adapter slots for a minute. Four adapters are requested
// every two seconds, a fifth more often, and two others per second are requested once. It returns
// how often one of the five was evicted.
func evictionsOfWanted(t *testing.T, contended bool) int {
	t.Helper()
	const wanted = 5
	now := epoch
	engine := &fakeEngine{}
	c := newContendedController(&now, 8, engine)
	c.Contended = func() bool { return contended }
	ask := func(key int) {
		request := testRequest(key, 2*time.Second)
		request.PromptTokens = 100
		admitted, err := c.Admit(request)
		if err == nil && !admitted.AskAgain {
			c.RequestsEnded(map[site.Adapter]int{testAdapter(key): 1})
		}
	}
	for tick := range 60 * 20 {
		now = now.Add(50 * time.Millisecond)
		if tick%10 == 0 {
			ask(tick / 10 % 4)
		}
		if tick%15 == 0 {
			ask(4)
		}
		if tick%10 == 3 {
			ask(100 + tick)
		}
		for range 4 {
			engine.answers = []Outcome{OutcomeAccepted}
			if planned := c.plan(); planned.action == actionUnload {
				engine.answers = []Outcome{OutcomeDone}
			}
			c.runNext(t.Context())
		}
	}
	evicted := 0
	for _, order := range engine.orders {
		for key := range wanted {
			if !order.Load && order.Key.Adapter == testAdapter(key) {
				evicted++
			}
		}
	}
	return evicted
}

// Half of all adapters are requested once. In the order of last use, their stream evicts adapters
// that are requested every two seconds, whose next requests wait for fetches. By demand, these stay.
func TestOnceRequestedAdaptersEvictEachOther(t *testing.T) {
	byUse, byDemand := evictionsOfWanted(t, false), evictionsOfWanted(t, true)
	t.Logf("evictions of wanted adapters within a minute: %d by last use, %d by demand", byUse, byDemand)
	must.Positive(t, byUse)
	must.LessEq(t, byUse/4, byDemand)
}

// The idle adapter with the least demand is evicted, and among those with none the one that was used
// least recently. An adapter in use stays, whatever its demand.
func TestVictimHasTheLeastDemand(t *testing.T) {
	now := epoch
	c := newContendedController(&now, 8, &fakeEngine{})
	for i := range 4 {
		c.slots.LoadAccepted(testKey(i), now, now)
	}
	now = now.Add(time.Second)
	c.slots.Advance(now)
	c.slots.Touch(testAdapter(3), now)
	for i, requests := range []int{3, 1, 0, 0} {
		for range requests {
			_, err := c.Admit(testRequest(i, time.Second))
			must.NoError(t, err)
		}
	}
	c.RequestsEnded(map[site.Adapter]int{testAdapter(0): 3})
	for _, want := range []int{2, 3, 0} {
		victim, found := c.victim(now)
		must.True(t, found)
		must.Eq(t, testAdapter(want), victim)
		must.Eq(t, []any{"evicted_for", evictedForSpare, "demand", c.ahead.demand.Rate(victim, now).PerSecond}, c.evictionFields(victim, evictedForSpare, now))
		c.countEviction(victim, evictedForSpare)
		c.slots.Unloaded(victim)
	}
	_, found := c.victim(now)
	must.False(t, found)
	must.Eq(t, map[string]int64{evictedForSpare: 3}, c.Replication.Evictions())
	must.Eq(t, 0, c.Replication.EvictedWanted.Load())
}

// A runner's adapters are lost with it. Those in demand are returned, the most wanted first, at most
// as many as it has slots, and none that its home knows to be elsewhere.
func TestLostAdaptersAreTheMostWanted(t *testing.T) {
	now := epoch
	c := newContendedController(&now, 3, &fakeEngine{})
	for i := range 6 {
		c.slots.LoadAccepted(testKey(i), now, now)
	}
	now = now.Add(time.Second)
	c.slots.Advance(now)
	for round := range 12 {
		now = now.Add(250 * time.Millisecond)
		for i := range 6 {
			if i < 5 && round >= 2*i || i == 5 && round == 0 {
				_, _ = c.Admit(AdmissionRequest{Key: testKey(i), PromptTokens: 10, MaxWait: time.Second, PromptWait: time.Second})
			}
		}
	}
	c.AddReplica(testKey(1), "other")
	var lost []Key
	for _, load := range c.LostAdapters(nil) {
		must.Eq(t, "r", load.Lost)
		must.Positive(t, load.PerSecond)
		lost = append(lost, load.Key)
	}
	must.Eq(t, []Key{testKey(0), testKey(2), testKey(3)}, lost)

	home := newContendedController(&now, 8, &fakeEngine{})
	home.AddReplica(testKey(2), "r")
	_, err := home.PrefetchAhead(AheadLoad{Key: testKey(2), PerSecond: 2, Lost: "r"})
	must.NoError(t, err)
	home.AddReplica(testKey(3), "other")
	_, err = home.PrefetchAhead(AheadLoad{Key: testKey(3), PerSecond: 2, Lost: "r"})
	must.ErrorIs(t, err, ErrHeldElsewhere)
}

// Guards against evictions that the metrics miss: an unload that the runner has accepted but not done
// yet is one as well, in any deployment. An order that was not carried out is none.
func TestEvictionsAreCountedByPurpose(t *testing.T) {
	for _, contended := range []bool{false, true} {
		now := epoch
		engine := &fakeEngine{answers: []Outcome{OutcomeAccepted, OutcomeDone, OutcomeFenced}}
		c := newContendedController(&now, 4, engine)
		c.Contended = func() bool { return contended }
		for i := range 3 {
			c.slots.LoadAccepted(testKey(i), now, now)
		}
		c.unload(t.Context(), testAdapter(0), evictedForLoad)
		c.unload(t.Context(), testAdapter(1), evictedForSpare)
		c.unload(t.Context(), testAdapter(2), evictedForLoad)
		must.Eq(t, map[string]int64{evictedForLoad: 1, evictedForSpare: 1}, c.Replication.Evictions())
	}
}
