package adapters

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// All runners of a deployment come back empty at once, and each host loads the base
// model on each of its own. In any window the loads of all hosts stay within the
// weight store's limit, or at one per host if there are more hosts than that, and all
// runners get their model.
func TestModelLoadsStayWithinTheStoresLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := ModelLoadLimit{Window: 5 * time.Second, Overshoot: 1.1}
		perSecond := float64(rapid.IntRange(1, 32).Draw(t, "loads per second"))
		hosts := rapid.IntRange(1, 100).Draw(t, "hosts")
		runners := rapid.IntRange(1, 150).Draw(t, "runners")
		parts := make([]*ModelLoadLimiter, hosts)
		for i := range parts {
			parts[i] = NewModelLoadLimiter(limit)
		}
		waiting := make([]int, hosts)
		for i := range runners {
			waiting[i%hosts]++
		}
		var begun []time.Time
		for step := 0; len(begun) < runners && step < 20*600; step++ {
			now := epoch.Add(time.Duration(step) * 100 * time.Millisecond)
			for i, part := range parts {
				for waiting[i] > 0 && part.Take(now, perSecond, hosts) == 0 {
					waiting[i]--
					begun = append(begun, now)
				}
			}
		}
		if len(begun) < runners {
			t.Fatalf("%d of %d runners have their model after 20 minutes", len(begun), runners)
		}
		bound := max(float64(hosts), perSecond*limit.Window.Seconds()*limit.Overshoot+extraLoads)
		for _, from := range begun {
			count := 0
			for _, at := range begun {
				if !at.Before(from) && at.Before(from.Add(limit.Window)) {
					count++
				}
			}
			if float64(count) > bound {
				t.Fatalf("%d loads within %s, bound %.1f", count, limit.Window, bound)
			}
		}
	})
}

func TestModelLoadsOfASmallFleet(t *testing.T) {
	loads := NewModelLoadLimiter(ModelLoadLimit{Window: 5 * time.Second, Overshoot: 1.1})
	must.Eq(t, 0, loads.Take(epoch, 3.5, 7))
	must.Positive(t, loads.Take(epoch, 3.5, 7))
	must.Eq(t, 0, loads.Take(epoch.Add(5*time.Second), 3.5, 7))
	must.Eq(t, 0, NewModelLoadLimiter(ModelLoadLimit{}).Take(epoch, 3.5, 7), must.Sprint("no limit"))
}
