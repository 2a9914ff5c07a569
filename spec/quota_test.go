package spec

import (
	"testing"

	"github.com/shoenig/test/must"
)

// A workspace sends without end through two hosts that count one part of its quota after
// each other. The first one is cut off, restarted, loses its lease and comes back, in any
// order: no window holds more than the quota allows.
func TestNoWindowHoldsMoreThanTheQuota(t *testing.T) {
	states, broken, complete := ExploreQuota(QuotaProtocol(), 4*limit(t))
	t.Logf("%d distinct states, every one within the bounds: %t", states, complete)
	must.SliceEmpty(t, broken, must.Sprintf("%+v", broken))
	must.True(t, complete)
}

// With one safeguard switched off, the exploration finds a window with more.
func TestEachSafeguardOfTheQuotaIsNeeded(t *testing.T) {
	for name, off := range map[string]func(g *QuotaSafeguards){
		"lease checked":               func(g *QuotaSafeguards) { g.LeaseChecked = false },
		"a bucket starts empty":       func(g *QuotaSafeguards) { g.StartEmpty = false },
		"anew under the next lease":   func(g *QuotaSafeguards) { g.AnewUnderNextLease, g.Forget = false, false },
		"what went away is forgotten": func(g *QuotaSafeguards) { g.Forget = false },
		"settling":                    func(g *QuotaSafeguards) { g.Settle = false },
	} {
		t.Run(name, func(t *testing.T) {
			g := QuotaProtocol()
			off(&g)
			states, broken, complete := ExploreQuota(g, 4*limit(t))
			must.SliceNotEmpty(t, broken, must.Sprintf("%d states, complete %t", states, complete))
			t.Logf("%s after %d steps, %d states", broken[len(broken)-1].Why, len(broken)-1, states)
		})
	}
}
