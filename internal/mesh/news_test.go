package mesh

import (
	"testing"
	"time"

	"github.com/cherrystage/cherrystage/internal/registry"
	"github.com/shoenig/test/must"
)

// A host that watches gets a configuration from the store. It must tell other hosts at once: if
// it waited for its next heartbeat, they would serve callers by the older one meanwhile. An
// answer without changes is left to the next heartbeat.
func TestChangesFromTheStoreAreAnnouncedAtOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	s := newServices(3, func() time.Time { return now })[0]
	sender := &heartbeatSender{trigger: make(chan struct{}, 1)}
	s.senders["h1"] = sender
	replica := s.Kinds["k"]
	for _, step := range []struct {
		records   []registry.Record
		revision  uint64
		announced int
	}{
		{[]registry.Record{{Name: "a", Revision: 5}}, 5, 1},
		{[]registry.Record{{Name: "a", Revision: 5}}, 6, 0},
		{[]registry.Record{{Name: "a", Revision: 7}}, 7, 1},
		{nil, 8, 1},
	} {
		replica.Listed(step.records, registry.Position{Revision: step.revision})
		s.Confirmed("k", now)
		must.Eq(t, step.announced, len(sender.trigger), must.Sprintf("revision %d", step.revision))
		select {
		case <-sender.trigger:
		default:
		}
	}
}
