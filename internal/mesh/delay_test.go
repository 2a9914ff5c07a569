package mesh

import (
	"encoding/json"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cherrystage/cherrystage/internal/peer"
	"github.com/cherrystage/cherrystage/internal/registry"
	"github.com/shoenig/test/must"
)

// Two hosts' clocks differ by hours. Messages take 1 to 3 ms, some wait on a full link: what
// each waited is found to within the 2 ms, also after the sender started anew with another clock.
func TestWaitOfMessagesBetweenClocksThatDiffer(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	var d delays
	now := time.Unix(5000, 0)
	for _, offset := range []time.Duration{7 * time.Hour, -3 * time.Hour} {
		for i := range 200 {
			way := time.Millisecond + time.Duration(rng.IntN(3))*time.Millisecond
			waited := time.Duration(0)
			if i > 0 && i%7 == 0 {
				waited = time.Duration(rng.IntN(5000)) * time.Millisecond
			}
			sent := now.Add(offset).UnixMilli()
			now = now.Add(way + waited)
			must.Between(t, waited-3*time.Millisecond, d.estimate("h", sent, now), waited+3*time.Millisecond)
			now = now.Add(300 * time.Millisecond)
		}
		now = now.Add(3 * delayWindow)
	}
	d.forget("h")
	must.MapEmpty(t, d.byHost)
}

// A host wakes from a suspension of three seconds and finds a heartbeat that came at its
// begin: its sender had confirmed what both know just then. The host does not take that for
// new: something may have changed in the three seconds, and it asks the store.
func TestOldHeartbeatIsNotNews(t *testing.T) {
	now := time.Unix(1000, 0)
	s := fleetOf(5, func() time.Time { return now })[0]
	s.Statuses = noStatus{}
	replica := s.Kinds["k"]
	replica.Listed([]registry.Record{{Name: "a", Revision: 1, Spec: json.RawMessage("1")}}, registry.Position{Revision: 1})
	from := peer.Identity{Host: "h1"}
	beat := func(sent time.Time) {
		_, err := s.handleHeartbeat(t.Context(), from, Heartbeat{Address: "h1:1", SentMS: sent.UnixMilli(), Known: map[string]KnownVersion{"k": {Version: replica.Version()}}})
		must.NoError(t, err)
	}
	beat(now)
	now = now.Add(time.Second)
	beat(now)
	must.Eq(t, 0, s.freshness.age("k"))
	sent := now.Add(100 * time.Millisecond)
	now = now.Add(3100 * time.Millisecond)
	beat(sent)
	must.Eq(t, 3*time.Second, s.freshness.age("k"))
}
