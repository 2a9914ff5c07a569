package placing

import (
	"math/rand/v2"
	"testing"

	"github.com/shoenig/test/must"
)

func TestWalkTriesEachPlaceOnce(t *testing.T) {
	walk := NewSpreads().Walk("a", 5)
	seen := map[int]bool{}
	first, _ := walk.Next(0.99)
	must.Eq(t, 0, first, must.Sprint("a cold adapter's first runner comes first"))
	seen[first] = true
	for range 4 {
		place, ok := walk.Next(0.5)
		must.True(t, ok)
		must.False(t, seen[place])
		seen[place] = true
	}
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
	spreads := make([]*Spreads, hosts)
	for i := range spreads {
		spreads[i] = NewSpreads()
	}
	load := make([]int, runners)
	var running []int
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
			place, _ := walk.Next(rng.Float64())
			if request >= 10_000 {
				asked++
			}
			if load[place] < fair {
				load[place]++
				running = append(running, place)
				s.Admitted("hot", place, try)
				admitted = true
				break
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
	s := NewSpreads()
	s.Admitted("a", 19, 3)
	must.Greater(t, 10, s.of("a").width)
	for range 400 {
		s.Admitted("a", 0, 0)
	}
	must.Eq(t, 1.0, s.of("a").width)
	must.MapEmpty(t, s.widths)
}
