package reach

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// A runner that no path reaches is tried directly, as without relays, and through a relay at most
// once in a while.
func TestRunnerThatNoRelayReachesIsTriedDirectly(t *testing.T) {
	p := NewPaths()
	must.Eq(t, Failed, p.DirectFailed("r", 20, false, at(0)))
	must.False(t, p.Direct("r"))
	for _, pause := range []time.Duration{minRelayBackoff, 2 * minRelayBackoff, maxRelayBackoff, maxRelayBackoff} {
		p.RelayFailed("r", at(0))
		must.True(t, p.Direct("r"))
		must.False(t, p.MayRelay("r", at(0)))
		must.True(t, p.MayRelay("r", at(0).Add(pause)))
	}
	must.False(t, p.Lost("r"))
}

// A runner that only a relay reaches is lost until a direct connection succeeds.
func TestRunnerThatOnlyARelayReachesIsLost(t *testing.T) {
	p := NewPaths()
	p.DirectFailed("r", 20, false, at(0))
	must.False(t, p.Lost("r"))
	p.RelayWorked("r", "b", at(10))
	must.True(t, p.Lost("r"))
	must.Eq(t, "b", p.LastRelay("r"))
	must.Eq(t, Regained, p.DirectWorked("r", at(20)))
	must.False(t, p.Lost("r"))
	must.True(t, p.Direct("r"))
}

// Runners that crash, also several together, do not make a host count as cut off from the others:
// runners that no request turned to must fail as well.
func TestHostIsCutOffOnceSeveralRunnersFailAndNoneAnswers(t *testing.T) {
	p := NewPaths()
	p.Heard(at(0))
	p.DirectFailed("r1", 20, false, at(1))
	p.DirectFailed("r2", 20, false, at(2))
	must.True(t, p.InDoubt())
	p.Heard(at(3))
	must.False(t, p.InDoubt(), must.Sprint("a runner answered directly"))
	for i, crashed := range []string{"r1", "r2", "r3", "r4", "r5"} {
		must.NotEq(t, CutOff, p.DirectFailed(crashed, 20, false, at(4+i)))
	}
	must.True(t, p.InDoubt())
	must.Eq(t, Failed, p.DirectFailed("r6", 20, true, at(10)))
	must.Eq(t, CutOff, p.DirectFailed("r7", 20, true, at(11)))
	must.False(t, p.Works("r8"), must.Sprint("a runner that has not been tried"))
	p.DirectWorked("r1", at(12))
	must.True(t, p.Works("r8"))
	must.False(t, p.Works("r2"), must.Sprint("other paths stay failing until they are tried"))
}

// A fleet of two runners has fewer than the evidence that a large one needs.
func TestSmallFleetsNeedAllRunnersToFail(t *testing.T) {
	p := NewPaths()
	must.Eq(t, Failed, p.DirectFailed("r1", 2, false, at(0)))
	must.Eq(t, CutOff, p.DirectFailed("r2", 2, false, at(1)))
}

// Runners that are gone leave nothing behind.
func TestUnlistedRunnersAreForgotten(t *testing.T) {
	p := NewPaths()
	p.DirectFailed("r1", 2, false, at(0))
	p.DirectFailed("r2", 2, false, at(1))
	p.Forget(func(string) bool { return false })
	must.False(t, p.IsCutOff())
	must.SliceEmpty(t, p.Failing())
}

// A relay reached a runner that this host does not reach. Whether the runner lives since is not known
// until the relay reaches it again.
func TestRelayedSince(t *testing.T) {
	p, now := NewPaths(), time.Unix(1000, 0)
	must.False(t, p.RelayedSince("r", now.Add(-time.Hour)))
	p.DirectFailed("r", 5, false, now)
	must.False(t, p.RelayedSince("r", now.Add(-time.Hour)))
	p.RelayWorked("r", "h2", now.Add(time.Second))
	must.True(t, p.RelayedSince("r", now))
	must.False(t, p.RelayedSince("r", now.Add(time.Second)))
	p.RelayFailed("r", now.Add(2*time.Second))
	must.False(t, p.RelayedSince("r", now))
}
