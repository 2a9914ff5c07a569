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
	must.Eq(t, 0, b.View("s", epoch.Add(peerCountLife)).Load, must.Sprint("a peer that stopped telling may be gone"))
	b.RecordEnd("r")
	b.RecordEnd("r")
	must.Eq(t, 0, b.View("r", epoch).Own)
	must.MapEmpty(t, b.OwnRequests())
}

// A runner's connections break off, some since it ended and some for other reasons. An
// answer to what was sent before says nothing of it; one to what was sent later says that
// the runner lives.
func TestAnswerShowsThatARunnerLives(t *testing.T) {
	b := New()
	b.RecordResponse("r", epoch)
	b.RecordResponse("r", epoch.Add(-time.Second))
	must.False(t, b.RespondedSince("r", epoch))
	must.True(t, b.RespondedSince("r", epoch.Add(-time.Millisecond)))
	b.Forget("r", epoch)
	must.False(t, b.RespondedSince("r", epoch.Add(-time.Millisecond)))
}

// A runner fails two fifths of its requests while its health page is good. It
// is avoided after some requests, tried again after a while, and trusted once
// it serves.
func TestFailingRunnerIsAvoided(t *testing.T) {
	b := New()
	now := epoch
	turned := false
	for i := range 20 {
		now = now.Add(20 * time.Millisecond)
		if i%5 < 2 {
			turned = b.RecordFailure("r", false, now) || turned
		} else {
			b.RecordSuccess("r", now)
		}
		if turned {
			break
		}
	}
	must.True(t, turned)
	must.True(t, b.View("r", now).Suspect)
	must.False(t, b.View("r", now.Add(suspectFirst)).Suspect)
}

// One broken answer among good ones is no reason to avoid a runner: with all
// runners failing one in a hundred, nowhere would be left to go.
func TestOneFailureIsForgiven(t *testing.T) {
	b := New()
	b.RecordSuccess("r", epoch)
	must.False(t, b.RecordFailure("r", false, epoch))
	must.False(t, b.View("r", epoch).Suspect)
}

// A runner that cannot be reached is avoided at once, longer each time, and
// never for ever.
func TestUnreachableRunner(t *testing.T) {
	b := New()
	now := epoch
	for _, want := range []time.Duration{suspectFirst, 2 * suspectFirst, 4 * suspectFirst, 8 * suspectFirst, suspectMost, suspectMost} {
		must.True(t, b.RecordFailure("r", true, now))
		left := b.Suspects(now)["r"]
		must.Eq(t, want, left)
		now = now.Add(left)
	}
	b.RecordSuccess("r", now)
	b.RecordSuccess("r", now)
	b.RecordSuccess("r", now)
	b.RecordSuccess("r", now)
	b.RecordSuccess("r", now)
	b.RecordSuccess("r", now)
	must.False(t, b.View("r", now).Suspect)
}

// A peer is cut off from a runner that serves this host. Its word must not take
// the runner away from this host's callers.
func TestPeersSuspicion(t *testing.T) {
	b := New()
	b.RecordSuccess("r", epoch)
	b.MergePeerSuspicion("r", time.Second, epoch.Add(time.Millisecond))
	must.False(t, b.View("r", epoch.Add(time.Millisecond)).Suspect)
	b.MergePeerSuspicion("s", time.Second, epoch)
	must.True(t, b.View("s", epoch).Suspect)
	must.False(t, b.View("s", epoch.Add(suspectFirst)).Suspect, must.Sprint("each host tries for itself"))
}

// A runner goes dark while three streams run on it. It is avoided as soon as
// none of them shows anything for longer than any pause; a single request that
// takes long says nothing yet.
func TestDarkRunner(t *testing.T) {
	b := New()
	b.RecordStart("r", epoch)
	must.False(t, b.View("r", epoch.Add(time.Second)).Suspect)
	b.RecordStart("r", epoch)
	b.RecordStart("r", epoch)
	b.RecordActivity("r", epoch.Add(time.Second))
	must.False(t, b.View("r", epoch.Add(time.Second+silentAfter)).Suspect)
	now := epoch.Add(time.Second + silentAfter + time.Millisecond)
	must.True(t, b.View("r", now).Suspect)
	must.MapContainsKey(t, b.Suspects(now), "r")
	b.RecordActivity("r", now)
	must.False(t, b.View("r", now).Suspect)
}
