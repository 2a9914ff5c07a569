package mesh

import (
	"testing"
	"time"

	"github.com/cherrystage/cherrystage/internal/registry"
	"github.com/shoenig/test/must"
)

// The answer to a heartbeat contains only what the sender lacks: newer records, and a
// younger confirmation of records that both have, without which the sender would ask the
// store.
func TestHeartbeatAnswersOmitKnownRecords(t *testing.T) {
	now := time.Unix(1000, 0)
	clock := func() time.Time { return now }
	listed := func(revision uint64, names ...string) *registry.Replica {
		replica := registry.NewReplica()
		var records []registry.Record
		for i, name := range names {
			records = append(records, registry.Record{Name: name, Revision: uint64(i + 1)})
		}
		replica.Listed(records, registry.Position{Revision: revision})
		return replica
	}
	own := newFreshness(map[string]*registry.Replica{"same": listed(5, "a"), "more": listed(7, "a", "b"), "less": listed(3, "a")}, clock)
	peer := newFreshness(map[string]*registry.Replica{"same": listed(6, "a"), "more": listed(5, "a"), "less": listed(4, "a", "b")}, clock)
	for _, kind := range []string{"same", "more", "less"} {
		own.confirm(kind, now)
		peer.confirm(kind, now)
	}
	must.MapContainsKeys(t, own.newsFor(peer.known()), []string{"more"})
	must.MapLen(t, 1, own.newsFor(peer.known()))

	now = now.Add(time.Second)
	own.confirm("same", now)
	lacking := own.newsFor(peer.known())
	must.MapLen(t, 2, lacking)
	must.Eq(t, 0, lacking["same"].AgeMS)
	must.Eq(t, []string{"more"}, peer.learn("own:1", lacking, now))
	must.Eq(t, 0, peer.age("same"))

	must.MapLen(t, 3, own.newsFor(nil), must.Sprint("a host that announces nothing gets everything"))
}

// An answer without news still counts as contact. Taken for silence, it would make the
// host turn to the store and to the seeds.
func TestEmptyAnswersCountAsContact(t *testing.T) {
	now := time.Unix(1000, 0)
	s := newServices(3, func() time.Time { return now })[0]
	now = now.Add(time.Minute)
	must.Greater(t, contactTimeout, s.freshness.silence())
	s.learn("h1", "h1:1", nil, nil, now)
	must.Eq(t, 0, s.freshness.silence())
}
