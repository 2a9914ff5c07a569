package replication

import (
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// roomy is the situation of a home that holds all its adapters, while the weight store has room.
var roomy = Situation[testKey]{
	Runner: "home", Capacity: smallRunner, StoreRoom: 64,
	Own: func(testKey) (Rate, bool) { return Rate{}, true },
}

// askedHome returns a home whose adapter 1 was asked for at a constant rate, and the time.
func askedHome(rate float64) (*Home[testKey], time.Time) {
	h := NewHome[testKey]()
	now := epoch
	for range int(10 * rate) {
		now = now.Add(time.Duration(float64(time.Second) / rate))
		h.Asked(1, request, now)
	}
	return h, now
}

// An adapter lacks more replicas than may be loaded at a time. The home asks for eight, counts them
// while they are being loaded, and then asks for the rest, without further requests.
func TestReplicasAreLoadedInParallelWithinTheBound(t *testing.T) {
	h, now := askedHome(80)
	plans := h.Plans(roomy, now)
	must.SliceLen(t, 1, plans)
	must.Eq(t, maxConcurrentLoads, plans[0].Missing)
	must.True(t, plans[0].Unavailable("home"))
	for i := range plans[0].Missing {
		h.Requested(1, strconv.Itoa(i), now.Add(300*time.Millisecond), now)
	}
	plans = h.Plans(roomy, now)
	must.Eq(t, 0, plans[0].Missing)
	must.Eq(t, maxConcurrentLoads, plans[0].Loading)
	now = now.Add(301 * time.Millisecond)
	plans = h.Plans(roomy, now)
	must.Eq(t, 1+maxConcurrentLoads, plans[0].Held)
	must.Between(t, 4, plans[0].Missing, maxConcurrentLoads)
}

// The weight store has no room for loads that no request waits for.
func TestNothingIsPlannedAtASaturatedStore(t *testing.T) {
	h, now := askedHome(80)
	saturated := roomy
	saturated.StoreRoom = 0
	must.Eq(t, 0, h.Plans(saturated, now)[0].Missing)
	must.Positive(t, h.Plans(roomy, now)[0].Missing)
}

// Runners refuse the replicas of an adapter. Each is not asked again for a while, and after several
// refusals in a row none is: a home that asked on cost its peers thousands of messages.
func TestRefusedReplicasAreNotAskedForAgainAtOnce(t *testing.T) {
	h, now := askedHome(80)
	h.Requested(1, "full", now.Add(time.Second), now)
	h.Refused(1, "full", now)
	plan := h.Plans(roomy, now)[0]
	must.True(t, plan.Unavailable("full"))
	must.Eq(t, 0, plan.Loading)
	must.False(t, plan.Growing)
	for i := range maxRefusals {
		h.Refused(1, strconv.Itoa(i), now)
	}
	must.Eq(t, 0, h.Plans(roomy, now)[0].Missing)
	now = now.Add(refusalTTL + time.Millisecond)
	plan = h.Plans(roomy, now)[0]
	must.Positive(t, plan.Missing)
	must.False(t, plan.Unavailable("full"))
}

// The first runners that are asked have no room while demand grows. The others are asked at once: an
// adapter that was left alone for a second got its replicas a second late.
func TestGrowingDemandIsNotLeftAlone(t *testing.T) {
	h := NewHome[testKey]()
	now := epoch
	for range 20 {
		now = now.Add(20 * time.Millisecond)
		h.Asked(1, request, now)
	}
	for i := range maxRefusals {
		h.Refused(1, strconv.Itoa(i), now)
	}
	plan := h.Plans(roomy, now)[0]
	must.True(t, plan.Growing)
	must.Positive(t, plan.Missing)
}

// A runner evicts an adapter without saying so. A replica that nothing confirms is no longer
// counted, so that demand that returns gets new ones.
func TestUnconfirmedReplicasExpire(t *testing.T) {
	h, now := askedHome(8)
	h.Confirmed(1, "a", now)
	h.Asked(1, request, now)
	must.SliceEmpty(t, h.Plans(roomy, now))
	now = now.Add(holderTTL + time.Millisecond)
	for range 40 {
		now = now.Add(100 * time.Millisecond)
		h.Asked(1, request, now)
	}
	plans := h.Plans(roomy, now)
	must.SliceLen(t, 1, plans)
	must.Eq(t, 1, plans[0].Held)
}

// A request that the home refuses is admitted by a replica and reported from there. Both counted,
// the adapter would get twice the replicas that it needs.
func TestRefusedRequestsAreNotCountedTwice(t *testing.T) {
	h, now := askedHome(20)
	h.Reported(1, "a", Rate{PerSecond: 15, Running: 30, TokensPerSecond: 16_500}, now)
	plan := h.plan(1, roomy, now)
	must.Between(t, 38, plan.Demand.Running, 42)
	h.Reported(1, "b", Rate{PerSecond: 15, Running: 30, TokensPerSecond: 16_500}, now)
	plan = h.plan(1, roomy, now)
	must.Eq(t, 60, plan.Demand.Running)
	plan = h.plan(1, roomy, now.Add(reportTTL+time.Millisecond))
	must.Less(t, 40, plan.Demand.Running)
}

// The home refuses most requests of a growing demand as busy, although the estimate of their work
// asks for few replicas.
func TestRefusalsOfAGrowingDemandAddReplicas(t *testing.T) {
	h := NewHome[testKey]()
	now := epoch
	short := Sample{Requests: 1, Refused: 1, Tokens: 10, RunSeconds: 0.6}
	for range 20 {
		now = now.Add(10 * time.Millisecond)
		h.Asked(1, short, now)
	}
	must.True(t, h.plan(1, roomy, now).Growing)
	without := Needed(h.plan(1, roomy, now).Demand, smallRunner)
	for i := range without - 1 {
		h.Confirmed(1, strconv.Itoa(i), now)
	}
	must.Greater(t, without, h.plan(1, roomy, now).Needed)
}

// A removed runner holds nothing any more.
func TestRemovedRunnerIsNoReplica(t *testing.T) {
	h, now := askedHome(20)
	h.Confirmed(1, "a", now)
	h.Confirmed(1, "b", now)
	must.Eq(t, 3, h.plan(1, roomy, now).Held)
	h.RemoveRunner("a")
	must.Eq(t, 2, h.plan(1, roomy, now).Held)
	_, replicas := h.Size()
	must.Eq(t, 1, replicas)
}

// A replica is named to requests once it is ready. Before that it is named after those that are.
func TestReplicasBecomeReady(t *testing.T) {
	h, now := askedHome(20)
	h.Requested(1, "late", now.Add(300*time.Millisecond), now)
	h.Accepted(1, "soon", now.Add(100*time.Millisecond), now)
	must.SliceEmpty(t, h.TakeReady(1, now))
	must.Eq(t, []string{"soon", "late"}, h.LoadingRunners(1, 5, now))
	must.Eq(t, []string{"soon"}, h.LoadingRunners(1, 1, now))
	now = now.Add(101 * time.Millisecond)
	must.Eq(t, []string{"soon"}, h.TakeReady(1, now))
	must.SliceEmpty(t, h.TakeReady(1, now))
	must.Eq(t, []string{"late"}, h.LoadingRunners(1, 5, now))
}

// A home is told of replicas of more adapters, and of more replicas, than it keeps.
func TestHomeIsBounded(t *testing.T) {
	h := NewHome[testKey]()
	for i := range 3 * MaxKeys {
		h.Confirmed(testKey(i), "a", epoch.Add(time.Duration(i)))
	}
	adapters, replicas := h.Size()
	must.Eq(t, MaxKeys, adapters)
	must.Eq(t, MaxKeys, replicas)
	for i := range 3 * maxHolders {
		h.Confirmed(testKey(i%50), strconv.Itoa(i), epoch.Add(time.Second))
		_, replicas = h.Size()
		must.LessEq(t, maxHolders, replicas)
	}
	for i := range 3 * MaxKeys {
		h.Asked(testKey(i), request, epoch)
	}
	must.LessEq(t, MaxKeys, h.asks.Len())
	must.LessEq(t, MaxKeys, len(h.changed))
}

// A runner that held the adapter earlier, and evicted it since, is asked again. If it refuses, it does
// not count as a replica; if it accepts, requests are told when the replica is ready.
func TestReplicaThatWasEvictedIsLikeANewOne(t *testing.T) {
	for _, accepts := range []bool{false, true} {
		h, now := askedHome(80)
		h.Confirmed(1, "before", now)
		now = now.Add(holderTTL + time.Millisecond)
		readyAt := now.Add(300 * time.Millisecond)
		h.Requested(1, "before", readyAt, now)
		if !accepts {
			h.Refused(1, "before", now)
			h.Asked(1, request, now)
			plan := h.plan(1, roomy, now)
			must.Eq(t, 1, plan.Held, must.Sprint("the home's only"))
			must.Eq(t, 0, plan.Loading)
			continue
		}
		h.Accepted(1, "before", readyAt, now)
		must.SliceEmpty(t, h.TakeReady(1, now))
		must.Eq(t, []string{"before"}, h.TakeReady(1, readyAt))
	}
}
