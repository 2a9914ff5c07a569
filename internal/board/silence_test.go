package board

import (
	"testing"
	"time"

	"github.com/cherrystage/cherrystage/internal/standstill"
	"github.com/shoenig/test/must"
)

// Packets of all paths are dropped: no runner sends anything while requests wait for several.
func TestAllPathsAreInDoubtWhenNoRunnerSendsAnything(t *testing.T) {
	b := New()
	b.RecordStart("r1", at(0))
	b.RecordStart("r2", at(0))
	b.RecordActivity("r3", at(0))
	must.SliceEmpty(t, b.DoubtfulPaths(at(400)))
	must.Len(t, 2, b.DoubtfulPaths(at(401)))
	b.RecordActivity("r3", at(410))
	must.SliceEmpty(t, b.DoubtfulPaths(at(420)), must.Sprint("another runner has sent data"))
}

// A probe is a connection more, so a runner that takes long for one answer under load is not
// probed; one that sends nothing to several requests for a second is.
func TestSlowAnswersPutNoPathInDoubt(t *testing.T) {
	b := New()
	b.RecordStart("slow", at(0))
	b.RecordStart("silent", at(0))
	b.RecordStart("silent", at(10))
	b.RecordActivity("other", at(1000))
	must.SliceEmpty(t, b.DoubtfulPaths(at(int(runnerSilence/time.Millisecond))))
	b.RecordActivity("other", at(1001))
	must.Eq(t, []string{"silent"}, b.DoubtfulPaths(at(1001)))
}

// A host is suspended for 1.5 s while requests wait for its runners. On waking it neither avoids
// them, nor warns others of them, nor doubts its paths: what they sent waits in its sockets.
func TestHostThatStoodStillSuspectsNoRunner(t *testing.T) {
	b := New()
	b.Standstill = &standstill.Monitor{}
	tick := func(from, to int) {
		for ms := from; ms <= to; ms += int(standstill.Interval / time.Millisecond) {
			b.Standstill.Tick(at(ms))
		}
	}
	tick(0, 500)
	for _, runner := range []string{"r1", "r2"} {
		b.RecordStart(runner, at(300))
		b.RecordStart(runner, at(400))
		b.RecordActivity(runner, at(500))
	}
	suspectsNone := func(when string) {
		must.False(t, b.View("r1", at(2000)).Suspect, must.Sprint(when))
		must.MapEmpty(t, b.Suspects(at(2000)), must.Sprint(when))
		must.SliceEmpty(t, b.DoubtfulPaths(at(2000)), must.Sprint(when))
		must.False(t, b.NoneHeard(at(2000)), must.Sprint(when))
	}
	suspectsNone("before its first tick")
	tick(2000, 2200)
	suspectsNone("after it")
	tick(2000, 2500)
	must.True(t, b.View("r1", at(2500)).Suspect, must.Sprint("the runners stay silent"))
}

// All four runners are silent to a host, two requests wait for each. The host avoids them, but warns
// others only once it hears another runner: until then its own paths may be what has failed.
func TestHostThatHearsNoRunnerWarnsOfNone(t *testing.T) {
	b := New()
	for _, runner := range []string{"r1", "r2", "r3", "r4"} {
		b.RecordStart(runner, at(0))
		b.RecordStart(runner, at(0))
	}
	must.True(t, b.View("r1", at(500)).Suspect)
	must.MapEmpty(t, b.Suspects(at(500)))
	for _, runner := range []string{"r2", "r3", "r4"} {
		b.RecordActivity(runner, at(600))
	}
	must.Eq(t, map[string]time.Duration{"r1": initialSuspicion}, b.Suspects(at(700)))
}

// A host stands still for 4 s. What its peers have in flight at a runner still counts until they
// report again: with none it would send the runner more than it takes.
func TestPeersLoadCountsAfterAStandstill(t *testing.T) {
	b := New()
	b.Standstill = &standstill.Monitor{}
	b.Standstill.Tick(at(0))
	b.SetPeerRequests("h", "r", 7, at(0))
	must.Eq(t, 7, b.View("r", at(4000)).Load)
	for ms := 4000; ms <= 7100; ms += 50 {
		b.Standstill.Tick(at(ms))
	}
	must.Eq(t, 0, b.View("r", at(7100)).Load, must.Sprint("the peer has stopped"))
}
