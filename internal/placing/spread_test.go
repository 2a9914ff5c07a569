package placing

import (
	"math/rand/v2"
	"testing"

	"github.com/shoenig/test/must"
)

func TestWalkTriesEachRankOnce(t *testing.T) {
	walk := NewSpreadEstimator().Walk("a", 5)
	seen := map[int]bool{}
	first, _ := walk.Next(0.99)
	must.Eq(t, Step{Rank: 0, Home: true}, first, must.Sprint("the home of a cold adapter is tried first"))
	seen[first.Rank] = true
	for range 4 {
		step, ok := walk.Next(0.5)
		must.True(t, ok)
		must.False(t, seen[step.Rank])
		seen[step.Rank] = true
	}
	_, ok := walk.Next(0)
	must.False(t, ok)
}

// Two requests for the same cold adapter arrive at two hosts while its home is full.
// Both must go on to the same runner, whatever their random draw, so that one replica
// is loaded instead of two.
func TestColdAdapterRequestsTryTheSameRunners(t *testing.T) {
	for _, draw := range []float64{0, 0.3, 0.6, 0.99} {
		walk := NewSpreadEstimator().Walk("a", 112)
		for want := range 6 {
			step, _ := walk.Next(draw)
			must.Eq(t, want, step.Rank)
		}
	}
}

// The home of an adapter names runners that hold it. They are tried before any runner
// that would have to load the adapter, and then the home once more. Of the ranks
// named here, 7 does not exist and 0 is the home itself; both are skipped.
func TestReplicasAreTriedBeforeOtherRunners(t *testing.T) {
	walk := NewSpreadEstimator().Walk("a", 5)
	_, _ = walk.Next(0)
	walk.AddReplicas([]int{3, 7, 0, 1}, true)
	var steps []Step
	for range 5 {
		step, ok := walk.Next(0)
		must.True(t, ok)
		steps = append(steps, step)
	}
	must.Eq(t, []Step{{Rank: 3}, {Rank: 1}, {Home: true, Retry: true}, {Rank: 2}, {Rank: 4}}, steps)
	_, ok := walk.Next(0)
	must.False(t, ok)
}

// One adapter needs 25 of 112 runners, each of which runs 8 of its requests at a
// time. The 88 hosts learn independently. In steady state a request asks fewer than
// two owners on average, and fewer than one in 200 is refused by six.
func TestHotAdapterFindsItsRunners(t *testing.T) {
	const (
		hosts, runners, limit = 88, 112, 8
		wanted                = 25 * limit
		probes                = 6
	)
	rng := rand.New(rand.NewPCG(1, 2))
	spreads := make([]*SpreadEstimator, hosts)
	for i := range spreads {
		spreads[i] = NewSpreadEstimator()
	}
	load := make([]int, runners)
	var running []int
	// replicas are the runners that the home knows to hold the adapter.
	var replicas []int
	held := map[int]bool{}
	nextReplica := 0
	totalProbes, refused, measured := 0, 0, 0
	for request := range 20_000 {
		if len(running) >= wanted {
			i := rng.IntN(len(running))
			load[running[i]]--
			running[i] = running[len(running)-1]
			running = running[:len(running)-1]
		}
		s := spreads[rng.IntN(hosts)]
		walk := s.Walk("hot", runners)
		admitted := false
		for try := range probes {
			step, _ := walk.Next(rng.Float64())
			rank := step.Rank
			if request >= 10_000 {
				totalProbes++
			}
			if load[rank] < limit {
				load[rank]++
				running = append(running, rank)
				s.Admitted("hot", rank, try)
				admitted = true
				if !held[rank] && !step.Home {
					replicas = append(replicas, rank)
				}
				held[rank] = true
				break
			}
			if step.Home && len(replicas) > 0 {
				nextReplica++
				walk.AddReplicas([]int{replicas[nextReplica%len(replicas)], replicas[(nextReplica+1)%len(replicas)], replicas[(nextReplica+2)%len(replicas)]}, false)
			}
		}
		if request >= 10_000 {
			measured++
			if !admitted {
				refused++
			}
		}
	}
	must.Less(t, 2*measured, totalProbes)
	must.Less(t, measured/200, refused)
	spread := 0
	for _, l := range load {
		if l > 0 {
			spread++
		}
	}
	t.Logf("%.2f owners asked per request, %d refused, spread over %d runners", float64(totalProbes)/float64(measured), refused, spread)
	must.Less(t, 60, spread, must.Sprint("each unneeded replica costs a fetch"))
}

func TestSpreadDecays(t *testing.T) {
	s := NewSpreadEstimator()
	s.Admitted("a", 19, 3)
	must.Greater(t, 10, s.get("a").width)
	for range 400 {
		s.Admitted("a", 0, 0)
	}
	must.Eq(t, 1.0, s.get("a").width)
	must.MapEmpty(t, s.spreads)
}
