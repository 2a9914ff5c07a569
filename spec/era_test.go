package spec

import (
	"testing"

	"github.com/shoenig/test/must"
)

// The store is restored from a backup, up to twice, while the runner's owner is partitioned and
// reconnected and a process restarts: no two hosts order the runner within the gap, and no
// token is lower than one before.
func TestNoTwoHostsOrderAcrossARestore(t *testing.T) {
	states, path, complete := ExploreEra(EraProtocol(), 2*limit(t))
	t.Logf("%d distinct states, every one within the bounds: %t", states, complete)
	must.SliceEmpty(t, path, must.Sprintf("%+v", path))
}

// With any safeguard switched off, the exploration finds orders that violate the invariant.
func TestEachEraSafeguardIsNeeded(t *testing.T) {
	for name, off := range map[string]func(g *EraSafeguards){
		"tokens by era":      func(g *EraSafeguards) { g.TokensByEra = false },
		"wait until settled": func(g *EraSafeguards) { g.WaitUntilSettled = false },
		"continuous lease":   func(g *EraSafeguards) { g.ContinuousLease = false },
		"wait after restart": func(g *EraSafeguards) { g.WaitAfterRestart = false },
		"replace records":    func(g *EraSafeguards) { g.ReplaceRecords = false },
	} {
		t.Run(name, func(t *testing.T) {
			g := EraProtocol()
			off(&g)
			states, path, complete := ExploreEra(g, 4*limit(t))
			must.SliceNotEmpty(t, path, must.Sprintf("%d states, complete %t", states, complete))
			t.Logf("%s after %d steps, %d states", path[len(path)-1].Violation, len(path)-1, states)
		})
	}
}
