package board

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var epoch = time.Unix(1000, 0)

func TestLoadOfAllHosts(t *testing.T) {
	b := New()
	b.RecordStart("r", epoch)
	b.SetPeerRequests("p", "r", 4, epoch)
	b.SetPeerRequests("p", "s", 1, epoch)
	must.Eq(t, View{Own: 1, Load: 5}, b.View("r", epoch))
	b.SetPeerRequests("p", "r", 0, epoch)
	b.SetPeerRequests("p", "s", 2, epoch)
	must.Eq(t, 1, b.View("r", epoch).Load)
	must.Eq(t, 2, b.View("s", epoch).Load)
	must.Eq(t, 0, b.View("s", epoch.Add(peerLoadTTL)).Load, must.Sprint("a silent peer's requests are dropped"))
	b.RecordEnd("r")
	b.RecordEnd("r")
	must.Eq(t, 0, b.View("r", epoch).Own)
	must.MapEmpty(t, b.OwnRequests())
}

// Connections to a runner also break for reasons other than its failure. Only a response to a
// request that was sent after the break shows that the runner is alive.
func TestRespondedSinceIgnoresEarlierRequests(t *testing.T) {
	b := New()
	b.RecordResponse("r", epoch)
	b.RecordResponse("r", epoch.Add(-time.Second))
	must.False(t, b.RespondedSince("r", epoch))
	must.True(t, b.RespondedSince("r", epoch.Add(-time.Millisecond)))
	b.Forget("r", epoch)
	must.False(t, b.RespondedSince("r", epoch.Add(-time.Millisecond)))
}

// A runner fails two fifths of its requests while its health endpoint reports success. It is
// avoided after a few requests and tried again after a while.
func TestFailingRunnerIsAvoided(t *testing.T) {
	b := New()
	now := epoch
	suspected := false
	for i := range 20 {
		now = now.Add(20 * time.Millisecond)
		if i%5 < 2 {
			suspected = b.RecordFailure("r", false, now) || suspected
		} else {
			b.RecordSuccess("r", now)
		}
		if suspected {
			break
		}
	}
	must.True(t, suspected)
	must.True(t, b.View("r", now).Suspect)
	must.False(t, b.View("r", now.Add(initialSuspicion)).Suspect)
}

// A single failure must not make a runner suspect: if every runner failed one request in a
// hundred, none would be left to choose.
func TestSingleFailureIsTolerated(t *testing.T) {
	b := New()
	b.RecordSuccess("r", epoch)
	must.False(t, b.RecordFailure("r", false, epoch))
	must.False(t, b.View("r", epoch).Suspect)
}

// An unreachable runner is avoided at once, for longer each time up to a maximum.
func TestUnreachableRunnerIsAvoidedEverLonger(t *testing.T) {
	b := New()
	now := epoch
	for _, want := range []time.Duration{initialSuspicion, 2 * initialSuspicion, 4 * initialSuspicion, 8 * initialSuspicion, maxSuspicion, maxSuspicion} {
		must.True(t, b.RecordFailure("r", true, now))
		remaining := b.Suspects(now)["r"]
		must.Eq(t, want, remaining)
		now = now.Add(remaining)
	}
	b.RecordSuccess("r", now)
	b.RecordSuccess("r", now)
	b.RecordSuccess("r", now)
	b.RecordSuccess("r", now)
	b.RecordSuccess("r", now)
	b.RecordSuccess("r", now)
	must.False(t, b.View("r", now).Suspect)
}

// A peer that is cut off from a runner must not make this host avoid a runner that serves it.
func TestPeerSuspicionDoesNotOverrideOwnSuccess(t *testing.T) {
	b := New()
	b.RecordSuccess("r", epoch)
	b.MergePeerSuspicion("r", time.Second, epoch.Add(time.Millisecond))
	must.False(t, b.View("r", epoch.Add(time.Millisecond)).Suspect)
	b.MergePeerSuspicion("s", time.Second, epoch)
	must.True(t, b.View("s", epoch).Suspect)
	must.False(t, b.View("s", epoch.Add(initialSuspicion)).Suspect, must.Sprint("each host tries the runner itself"))
}

// A runner fails silently with three streams open. It becomes suspect once none of them has
// received data for longer than the longest normal pause; one slow request is not enough.
func TestSilentRunnerIsAvoided(t *testing.T) {
	b := New()
	b.RecordStart("r", epoch)
	must.False(t, b.View("r", epoch.Add(time.Second)).Suspect)
	b.RecordStart("r", epoch)
	b.RecordStart("r", epoch)
	b.RecordActivity("r", epoch.Add(time.Second))
	must.False(t, b.View("r", epoch.Add(time.Second+silenceThreshold)).Suspect)
	now := epoch.Add(time.Second + silenceThreshold + time.Millisecond)
	must.True(t, b.View("r", now).Suspect)
	must.MapContainsKey(t, b.Suspects(now), "r")
	b.RecordActivity("r", now)
	must.False(t, b.View("r", now).Suspect)
}
