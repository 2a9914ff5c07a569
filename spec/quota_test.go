package spec

import (
	"testing"

	"github.com/shoenig/test/must"
)

// Two hosts take turns at counting one part of a workspace's quota, which is always used to the
// full. The first one is partitioned, restarted, loses its lease and rejoins, in any order: no
// window holds more than the quota allows.
func TestNoWindowHoldsMoreThanTheQuota(t *testing.T) {
	states, path, complete := ExploreQuota(QuotaProtocol(), 4*limit(t))
	t.Logf("%d distinct states, every one within the bounds: %t", states, complete)
	must.SliceEmpty(t, path, must.Sprintf("%+v", path))
	must.True(t, complete)
}

// With any safeguard switched off, the exploration finds a window that exceeds the quota.
func TestEachSafeguardOfTheQuotaIsNeeded(t *testing.T) {
	for name, off := range map[string]func(g *QuotaSafeguards){
		"lease checked":               func(g *QuotaSafeguards) { g.LeaseChecked = false },
		"bucket starts empty":         func(g *QuotaSafeguards) { g.StartWithEmptyBucket = false },
		"bucket reset on a new lease": func(g *QuotaSafeguards) { g.ResetOnNewLease, g.DropLostBucket = false, false },
		"lost bucket dropped":         func(g *QuotaSafeguards) { g.DropLostBucket = false },
		"settling time":               func(g *QuotaSafeguards) { g.SettlingTime = false },
	} {
		t.Run(name, func(t *testing.T) {
			g := QuotaProtocol()
			off(&g)
			states, path, complete := ExploreQuota(g, 4*limit(t))
			must.SliceNotEmpty(t, path, must.Sprintf("%d states, complete %t", states, complete))
			t.Logf("%s after %d steps, %d states", path[len(path)-1].Violation, len(path)-1, states)
		})
	}
}
