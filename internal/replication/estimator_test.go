package replication

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

type testKey int

func (k testKey) String() string { return strconv.Itoa(int(k)) }

var epoch = time.Unix(1000, 0)

// request is a request of usual length, which runs for two seconds.
var request = Sample{Requests: 1, Tokens: 1100, RunSeconds: 2}

// smallRunner takes 16 requests at a time.
var smallRunner = Capacity{Slots: 16, TokensPerSecond: 20_000}

func TestRateFollowsTheDemandWithinSeconds(t *testing.T) {
	e := NewEstimator[testKey](10)
	now := epoch
	for range 200 {
		now = now.Add(50 * time.Millisecond)
		e.Add(1, request, now)
	}
	rate := e.Rate(1, now)
	must.Between(t, 19, rate.PerSecond, 21)
	must.Between(t, 38, rate.Running, 42)
	must.Between(t, 20_900, rate.TokensPerSecond, 23_100)
	must.Between(t, 9, e.Rate(1, now.Add(slowHalfLife)).PerSecond, 11)
}

// Ten thousand adapters are asked for once each, and one adapter ten times a second. The number of
// adapters that are counted stays bounded, and the wanted one is not forgotten.
func TestEstimatorIsBoundedAndKeepsTheMostWanted(t *testing.T) {
	e := NewEstimator[testKey](64)
	now := epoch
	for i := range 10_000 {
		now = now.Add(10 * time.Millisecond)
		e.Add(testKey(i+1), request, now)
		if i%10 == 0 {
			e.Add(0, request, now)
		}
		must.LessEq(t, 64, e.Len())
	}
	most := e.Most(1, 0, now)
	must.SliceLen(t, 1, most)
	must.Eq(t, 0, int(most[0].Key))
	must.Between(t, 8, most[0].PerSecond, 12)
}

// neededAfter returns how many replicas are needed for an adapter whose demand rises evenly to a
// rate within a second, some time after it began to rise.
func neededAfter(rate float64, after time.Duration) int {
	e := NewEstimator[testKey](10)
	requests := 0.0
	for at := time.Duration(0); at <= after; at += time.Millisecond {
		requests += rate * min(1, at.Seconds()) / 1000
		if requests >= 1 {
			requests--
			e.Add(1, request, epoch.Add(at))
		}
	}
	now := epoch.Add(after)
	growth := e.Growth(1, now)
	return Needed(e.Rate(1, now).scaledTo(growth.PerSecond), smallRunner)
}

// Demand rises to 85 requests a second within one second, which takes 16 runners. The second
// replica has to be ordered before the first runner is full, and most of them when the demand has
// risen. Loaded one after the other, they came over five seconds.
func TestReplicasArePlannedWhileDemandRises(t *testing.T) {
	must.GreaterEq(t, 2, neededAfter(85, 450*time.Millisecond))
	must.GreaterEq(t, 5, neededAfter(85, 700*time.Millisecond))
	must.GreaterEq(t, 10, neededAfter(85, time.Second))
	must.Between(t, 14, neededAfter(85, 1500*time.Millisecond), 21)
	must.Between(t, 15, neededAfter(85, 20*time.Second), 17)
}

// Requests for an adapter of usual demand arrive together by chance. That must not make it popular:
// each replica costs a fetch and the adapter slot of another adapter.
func TestChanceArrivalsNeedNoReplica(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	e := NewEstimator[testKey](10)
	now := epoch
	several := 0
	for range 1000 {
		now = now.Add(time.Duration(rng.ExpFloat64() / 2 * float64(time.Second)))
		e.Add(1, request, now)
		if Needed(e.Rate(1, now).scaledTo(e.Growth(1, now).PerSecond), smallRunner) > 1 {
			several++
		}
	}
	must.LessEq(t, 20, several)
}

func TestNeededReplicas(t *testing.T) {
	must.Eq(t, 1, Needed(Rate{}, smallRunner))
	must.Eq(t, 1, Needed(Rate{Running: 11}, smallRunner))
	must.Eq(t, 2, Needed(Rate{Running: 12}, smallRunner))
	must.Eq(t, 3, Needed(Rate{Running: 12, TokensPerSecond: 30_000}, smallRunner))
	must.Eq(t, maxNeeded, Needed(Rate{Running: 1e9}, smallRunner))
	must.Eq(t, 1, Needed(Rate{Running: 12}, Capacity{}))
	must.Eq(t, 3, neededWhileStarved(2, 2))
	must.Eq(t, 3, neededWhileStarved(2, 20))
	must.Eq(t, 5, neededWhileStarved(5, 1))
}

func TestChosenRunnersFollowTheOrder(t *testing.T) {
	candidates := []Candidate{{Runner: "a"}, {Runner: "b", Avoided: true}, {Runner: "c"}, {Runner: "d"}}
	held := func(runner string) bool { return runner == "c" }
	must.Eq(t, []string{"a", "d"}, Choose(candidates, held, 1))
	for i := range 20 {
		candidates = append(candidates, Candidate{Runner: strconv.Itoa(i)})
	}
	chosen := Choose(candidates, held, 2)
	must.SliceLen(t, 2*triesPerReplica, chosen)
	must.Eq(t, []string{"a", "d", "0", "1"}, chosen[:4])
	must.SliceEmpty(t, Choose(candidates, held, 0))
}
