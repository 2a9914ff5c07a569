package placing

import (
	"testing"

	"github.com/shoenig/test/must"
)

// limitsRegardlessOfSpeed returns the limits of runners whose speed is not known.
func limitsRegardlessOfSpeed(slots int, utilization float64) Limits {
	notLoaded := int(max(utilization*maxLoadRatio, uncontendedShare)*float64(slots)) + 1
	return Limits{
		NotLoaded: min(notLoaded, slots),
		Loaded:    int(loadedShare * float64(slots)),
		Max:       slots + max(1, int(float64(slots)*queueShare)),
	}
}

// A slow runner that takes as many adapters as the others has its slots occupied for longer, and
// requests wait there while faster runners are idle.
func TestLimitsShrinkWithTheSpeed(t *testing.T) {
	must.Eq(t, Limits{NotLoaded: 8, Loaded: 17, Max: 20}, LimitsAt(16, 0.2, 0.5))
	must.Eq(t, Limits{NotLoaded: 15, Loaded: 18, Max: 20}, LimitsAt(16, 0.2, 1))
	for slots := 1; slots <= 64; slots++ {
		for _, utilization := range []float64{0, 0.5, 0.9, 1.2} {
			before := LimitsFor(slots, utilization)
			must.Eq(t, limitsRegardlessOfSpeed(slots, utilization), before)
			must.Eq(t, before, LimitsAt(slots, utilization, 1))
			must.Eq(t, before, LimitsAt(slots, utilization, 2.4), must.Sprint("a fast runner has no more slots"))
			must.Eq(t, LimitsAt(slots, utilization, minSpeed), LimitsAt(slots, utilization, 0))
			for speed := 0.9; speed > 0; speed -= 0.1 {
				limits := LimitsAt(slots, utilization, speed)
				must.LessEq(t, before.NotLoaded, limits.NotLoaded)
				must.LessEq(t, before.Loaded, limits.Loaded)
				must.Eq(t, before.Max, limits.Max, must.Sprint("the last resort"))
				must.GreaterEq(t, slots, limits.Loaded)
				must.Positive(t, limits.NotLoaded)
				before = limits
			}
		}
	}
}
