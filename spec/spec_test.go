package spec

import (
	"os"
	"strconv"
	"testing"

	"github.com/shoenig/test/must"
)

// limit returns the maximum number of states of one exploration; SPEC_STATES overrides it.
func limit(t *testing.T) int {
	if text := os.Getenv("SPEC_STATES"); text != "" {
		number, err := strconv.Atoi(text)
		must.NoError(t, err)
		return number
	}
	return 1_000_000
}

func TestNoModelInUseIsEvicted(t *testing.T) {
	// In any order of steps, with an owner paused for any time and its order
	// delayed, no model is evicted while a holder uses it.
	for name, fenced := range map[string]bool{"fenced": true, "unfenced": false} {
		t.Run(name, func(t *testing.T) {
			states, path, complete := Explore(Protocol(fenced), limit(t))
			t.Logf("one model: %d distinct states, every one within the bounds: %t", states, complete)
			must.SliceEmpty(t, path, must.Sprintf("%+v", path))
			must.True(t, complete)
			two := Protocol(fenced)
			two.Models = 2
			states, path, complete = Explore(two, limit(t)/4)
			t.Logf("two models: %d distinct states, every one within the bounds: %t", states, complete)
			must.SliceEmpty(t, path, must.Sprintf("%+v", path))
		})
	}
}

func TestEachSafeguardIsNeeded(t *testing.T) {
	// With any safeguard switched off, the exploration finds a violation.
	for _, row := range []struct {
		name   string
		fenced bool
		off    func(g *Safeguards)
	}{
		{"engine checks fencing", true, func(g *Safeguards) { g.Fenced = false }},
		{"fencing order first", true, func(g *Safeguards) { g.FenceFirst = false }},
		{"intents", false, func(g *Safeguards) { g.Intents = false }},
		{"all holders reported", true, func(g *Safeguards) { g.AwaitAllReports = false }},
		{"all holders reported, unfenced", false, func(g *Safeguards) { g.AwaitAllReports = false }},
		{"pins returned", true, func(g *Safeguards) { g.AwaitPinReturns = false }},
		{"void grants", true, func(g *Safeguards) { g.VoidRecalledGrants = false }},
		{"old grants refused", true, func(g *Safeguards) { g.RefuseOldGrants = false }},
	} {
		t.Run(row.name, func(t *testing.T) {
			g := Protocol(row.fenced)
			row.off(&g)
			states, path, _ := Explore(g, limit(t))
			must.SliceNotEmpty(t, path, must.Sprintf("%d states", states))
			t.Logf("%s after %d steps, %d states", path[len(path)-1].Violation, len(path)-1, states)
		})
	}
}

func TestNoChangeIsLostAndNoRequestRunsTwice(t *testing.T) {
	// With two writers, lost answers, stale reads, and one non-idempotent request
	// through two hosts, no change is lost or accepted twice, the follower's
	// revision never decreases, and the request runs at most once.
	states, path, complete := ExploreStore(StoreProtocol(), limit(t))
	t.Logf("%d distinct states", states)
	must.True(t, complete)
	must.SliceEmpty(t, path)
	for name, off := range map[string]func(g *StoreSafeguards){
		"conditional update":       func(g *StoreSafeguards) { g.Conditional = false },
		"read back":                func(g *StoreSafeguards) { g.VerifyAfterLostAnswer = false },
		"older revisions rejected": func(g *StoreSafeguards) { g.RejectOlderRevisions = false },
		"claim":                    func(g *StoreSafeguards) { g.RequireClaim = false },
	} {
		g := StoreProtocol()
		off(&g)
		_, path, _ := ExploreStore(g, limit(t))
		must.SliceNotEmpty(t, path, must.Sprint(name))
	}
}
