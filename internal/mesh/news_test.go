package mesh

import (
	"context"
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

// A host learns of a change, and no other host sends heartbeats to the rest. Each host must
// tell the next one, until all have the change: callers of a host that is left out get the older
// configuration until its own next heartbeat.
func TestHostsWithoutHeartbeatsAreToldOfChanges(t *testing.T) {
	withCluster(t, func(m *cluster) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		m.joinAll()
		for _, s := range m.all {
			go s.tellNextHost(ctx)
		}
		m.update(100, "c")
		m.all["c"].Confirmed("k", time.Now())
		time.Sleep(50 * time.Millisecond)
		for host := range m.all {
			must.Eq(t, 2, m.revision(host), must.Sprint(host))
		}
	}, "a", "b", "c", "d")
}

// The next host lost power, and a live one follows it. The live one must still be told as soon
// as the lost one's lease is broken.
func TestNextHostFollowsTheLiveHosts(t *testing.T) {
	withCluster(t, func(m *cluster) {
		m.joinAll()
		state := m.all["b"].State
		next, ok := state.NextHost()
		must.True(t, ok)
		must.Eq(t, Peer{Host: "c", Address: "c:1"}, next)
		state.Apply([]registry.Change{change(t, hostRecordName("c"), HostRecord{Epoch: 1, Address: "c:1", Broken: true}, 9)}, time.Now())
		next, ok = state.NextHost()
		must.True(t, ok)
		must.Eq(t, Peer{Host: "a", Address: "a:1"}, next)
		state.Apply([]registry.Change{change(t, hostRecordName("a"), HostRecord{Epoch: 1, Address: "a:1", Broken: true}, 10)}, time.Now())
		_, ok = state.NextHost()
		must.False(t, ok)
	}, "a", "b", "c")
}

// News that waited on its way says that the receiver has all records. It must not count as a
// confirmation: the receiver would not ask the store while its records grow old.
func TestNewsConfirmsNothing(t *testing.T) {
	withCluster(t, func(m *cluster) {
		m.all["a"].Confirmed("k", time.Now())
		m.all["b"].Confirmed("k", time.Now())
		time.Sleep(time.Second)
		m.all["a"].Confirmed("k", time.Now())
		_, err := m.all["b"].handleNews(context.Background(), m.all["a"].Self, News{Address: "a:1", Known: m.all["a"].freshness.known()})
		must.NoError(t, err)
		must.Eq(t, time.Second, m.all["b"].Age("k"))
	}, "a", "b")
}

// joinAll lets all hosts know each other.
func (m *cluster) joinAll() {
	var records []registry.Change
	for host := range m.all {
		records = append(records, change(panicker{}, hostRecordName(host), HostRecord{Epoch: 1, Address: host + ":1"}, uint64(len(records)+1)))
	}
	for _, s := range m.all {
		s.State.Apply(records, time.Now())
	}
}
