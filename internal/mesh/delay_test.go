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

// Two hosts' clocks differ by hours. Transit takes 1 to 3 ms, and some messages are queued
// on a full link. The estimate must be within that jitter of 2 ms, also after the sender
// restarts with another clock.
func TestDelayEstimateWithUnsynchronizedClocks(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	var d delays
	now := time.Unix(5000, 0)
	for _, offset := range []time.Duration{7 * time.Hour, -3 * time.Hour} {
		for i := range 200 {
			transit := time.Millisecond + time.Duration(rng.IntN(3))*time.Millisecond
			waited := time.Duration(0)
			if i > 0 && i%7 == 0 {
				waited = time.Duration(rng.IntN(5000)) * time.Millisecond
			}
			sent := now.Add(offset).UnixMilli()
			now = now.Add(transit + waited)
			must.Between(t, waited-3*time.Millisecond, d.estimate("h", sent, now), waited+3*time.Millisecond)
			now = now.Add(300 * time.Millisecond)
		}
		now = now.Add(3 * delayWindow)
	}
	d.forget("h")
	must.MapEmpty(t, d.byHost)
}

// A host resumes after a suspension of three seconds and reads a heartbeat that arrived
// when it began. The heartbeat confirms the host's records as of then, not as of now:
// something may have changed in between, so the host must ask the store.
func TestDelayedHeartbeatIsNotCurrent(t *testing.T) {
	now := time.Unix(1000, 0)
	s := newServices(5, func() time.Time { return now })[0]
	s.Statuses = noStatus{}
	replica := s.Kinds["k"]
	replica.Listed([]registry.Record{{Name: "a", Revision: 1, Spec: json.RawMessage("1")}}, registry.Position{Revision: 1})
	from := peer.Identity{Host: "h1"}
	receiveHeartbeat := func(sent time.Time) {
		_, err := s.handleHeartbeat(t.Context(), from, Heartbeat{Address: "h1:1", SentMS: sent.UnixMilli(), Known: map[string]KnownVersion{"k": {Version: replica.Version()}}})
		must.NoError(t, err)
	}
	receiveHeartbeat(now)
	now = now.Add(time.Second)
	receiveHeartbeat(now)
	must.Eq(t, 0, s.freshness.age("k"))
	sent := now.Add(100 * time.Millisecond)
	now = now.Add(3100 * time.Millisecond)
	receiveHeartbeat(sent)
	must.Eq(t, 3*time.Second, s.freshness.age("k"))
}
