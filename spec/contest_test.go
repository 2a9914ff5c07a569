package spec

import (
	"testing"

	"github.com/shoenig/test/must"
)

// A host that is cut off together with its witnesses, which promise whatever happens, is taken for
// lost. Its lease is contested and broken without a vote: only once it has not ordered for the gap.
func TestNoContestedLeaseIsBrokenWhileItsHolderMayOrder(t *testing.T) {
	states, path, complete := ExploreContest(ContestProtocol(), 4*limit(t))
	t.Logf("%d distinct states, every one within the bounds: %t", states, complete)
	must.SliceEmpty(t, path, must.Sprintf("%+v", path))
	must.True(t, complete)
}

// With any safeguard switched off, the exploration finds a lease that was broken too early.
func TestEachSafeguardOfContestedLeasesIsNeeded(t *testing.T) {
	for name, off := range map[string]func(g *ContestSafeguards){
		"a lease needs news":   func(g *ContestSafeguards) { g.LeaseNeedsNews = false },
		"a contest is no news": func(g *ContestSafeguards) { g.ContestIsNoNews = false },
		"news of the read":     func(g *ContestSafeguards) { g.NewsOfTheRead = false },
		"wait from contest":    func(g *ContestSafeguards) { g.WaitFromContest = false },
		"count anew":           func(g *ContestSafeguards) { g.CountAnew = false },
		"revisions match":      func(g *ContestSafeguards) { g.RevisionsMatch = false },
	} {
		t.Run(name, func(t *testing.T) {
			g := ContestProtocol()
			off(&g)
			states, path, complete := ExploreContest(g, 4*limit(t))
			must.SliceNotEmpty(t, path, must.Sprintf("%d states, complete %t", states, complete))
			t.Logf("%s after %d steps, %d states", path[len(path)-1].Violation, len(path)-1, states)
		})
	}
}
