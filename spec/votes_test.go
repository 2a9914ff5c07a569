package spec

import (
	"testing"

	"github.com/shoenig/test/must"
)

// The holder of a lease and its witnesses restart, lose their leases and register again, while
// writes are delayed or get no answer, watches lag and heartbeats are lost: the lease is broken
// only once its holder has not ordered for the gap, and its holder does not order by it then.
func TestNoLeaseIsBrokenWhileItsHolderMayOrder(t *testing.T) {
	two, one := LeaseProtocol(), LeaseProtocol()
	one.Witnesses, one.Revisions = 1, two.Revisions+1
	for _, g := range []LeaseSafeguards{two, one} {
		states, path, complete := ExploreLease(g, 4*limit(t))
		t.Logf("%d possible witnesses, %d revisions: %d distinct states, every one within the bounds: %t", g.Witnesses, g.Revisions, states, complete)
		must.SliceEmpty(t, path, must.Sprintf("%+v", path))
		must.True(t, complete)
	}
}

// With any safeguard switched off, the exploration finds a lease that was broken too early.
func TestEachSafeguardOfLeasesIsNeeded(t *testing.T) {
	for name, off := range map[string]func(g *LeaseSafeguards){
		"break from one cut":          func(g *LeaseSafeguards) { g.BreakFromOneCut, g.Witnesses, g.Revisions = false, 1, 6 },
		"votes outlast lag":           func(g *LeaseSafeguards) { g.VotesOutlastLag = false },
		"highest vote counts":         func(g *LeaseSafeguards) { g.HighestVoteCounts = false },
		"broken leases end":           func(g *LeaseSafeguards) { g.BrokenLeasesEnd = false },
		"promises after registration": func(g *LeaseSafeguards) { g.PromisesAfterRegistration = false },
		"promises need a lease":       func(g *LeaseSafeguards) { g.PromisesNeedLease = false },
		"gone after a lease":          func(g *LeaseSafeguards) { g.GoneAfterLease = false },
		"silence after the start":     func(g *LeaseSafeguards) { g.SilenceAfterStart = false },
		"renewals keep the lease":     func(g *LeaseSafeguards) { g.RenewalsKeepLease = false },
		"witnesses of both writes":    func(g *LeaseSafeguards) { g.WitnessesOfBothWrites = false },
	} {
		t.Run(name, func(t *testing.T) {
			g := LeaseProtocol()
			off(&g)
			states, path, complete := ExploreLease(g, 4*limit(t))
			must.SliceNotEmpty(t, path, must.Sprintf("%d states, complete %t", states, complete))
			t.Logf("%s after %d steps, %d states", path[len(path)-1].Violation, len(path)-1, states)
		})
	}
}
