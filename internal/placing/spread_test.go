package placing

import (
	"math/rand/v2"
	"testing"

	"github.com/shoenig/test/must"
)

func TestWalkTriesEachPlaceOnce(t *testing.T) {
	walk := NewSpreadEstimator().Walk("a", 5)
	seen := map[int]bool{}
	first, _ := walk.Next(0.99)
	must.Eq(t, Step{Rank: 0, Home: true}, first, must.Sprint("a cold adapter's home comes first"))
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

// Two requests for the same cold adapter come to two hosts while its home is full.
// Both go on to the same runner, whatever they draw: one copy is made and not two.
func TestRequestsForAColdAdapterMeet(t *testing.T) {
	for _, draw := range []float64{0, 0.3, 0.6, 0.99} {
		walk := NewSpreadEstimator().Walk("a", 112)
		for want := range 6 {
			step, _ := walk.Next(draw)
			must.Eq(t, want, step.Rank)
		}
	}
}

// The home of an adapter names two runners that have it. They are asked before any
// runner that would have to load it, and then the home once more.
func TestNamedRunnersComeBeforeCopies(t *testing.T) {
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

// One adapter wants 25 of 112 runners, each of which takes 8 of its requests at
// a time. Eighty-eight hosts learn apart from each other. In steady state a
// request asks fewer than two owners, and next to none is refused after six.
func TestHotAdapterFindsItsRunners(t *testing.T) {
	const (
		hosts, runners, fair = 88, 112, 8
		wanted               = 25 * fair
		asks                 = 6
	)
	rng := rand.New(rand.NewPCG(1, 2))
	spreads := make([]*SpreadEstimator, hosts)
	for i := range spreads {
		spreads[i] = NewSpreadEstimator()
	}
	load := make([]int, runners)
	var running []int
	// copies are the runners that the home knows of.
	var copies []int
	held := map[int]bool{}
	turn := 0
	asked, refused, counted := 0, 0, 0
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
		for try := range asks {
			step, _ := walk.Next(rng.Float64())
			place := step.Rank
			if request >= 10_000 {
				asked++
			}
			if load[place] < fair {
				load[place]++
				running = append(running, place)
				s.Admitted("hot", place, try)
				admitted = true
				if !held[place] && !step.Home {
					copies = append(copies, place)
				}
				held[place] = true
				break
			}
			if step.Home && len(copies) > 0 {
				turn++
				walk.AddReplicas([]int{copies[turn%len(copies)], copies[(turn+1)%len(copies)], copies[(turn+2)%len(copies)]}, false)
			}
		}
		if request >= 10_000 {
			counted++
			if !admitted {
				refused++
			}
		}
	}
	must.Less(t, 2*counted, asked)
	must.Less(t, counted/200, refused)
	spread := 0
	for _, l := range load {
		if l > 0 {
			spread++
		}
	}
	t.Logf("%.2f owners asked a request, %d refused, spread over %d", float64(asked)/float64(counted), refused, spread)
	must.Less(t, 60, spread, must.Sprint("copies beyond need cost a fetch each"))
}

func TestSpreadsForget(t *testing.T) {
	s := NewSpreadEstimator()
	s.Admitted("a", 19, 3)
	must.Greater(t, 10, s.of("a").width)
	for range 400 {
		s.Admitted("a", 0, 0)
	}
	must.Eq(t, 1.0, s.of("a").width)
	must.MapEmpty(t, s.widths)
}
