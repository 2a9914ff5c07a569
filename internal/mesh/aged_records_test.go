package mesh

import (
	"context"
	"testing"
	"time"

	"github.com/cherrystage/cherrystage/internal/objectapi"
	"github.com/cherrystage/cherrystage/internal/peer"
	"github.com/cherrystage/cherrystage/internal/registry"
	"github.com/hashicorp/go-hclog"
	"github.com/shoenig/test/must"
)

// A host was frozen while its lease was broken. It runs again and sends a heartbeat before it
// has read that. If its witnesses promised, it would order on beside its successor.
func TestBrokenLeaseIsNotPromised(t *testing.T) {
	hosts := newHosts(t, "a", "b", "c")
	late := testStart.Add(testTiming.breakTimeout())
	for _, host := range []string{"b", "c"} {
		witness := hosts[host]
		witness.Registered(1, others([]string{"a", "b", "c"}, host), late)
		must.True(t, witness.Vote("a", registry.Position{Revision: 1}, late))
		witness.Apply([]registry.Change{change(t, hostRecordName("a"), HostRecord{Epoch: 1, Broken: true}, 100)}, late)
		exchangeHeartbeat(hosts["a"], witness, late)
	}
	_, ok := hosts["a"].MayOrder(runnerAddress, late)
	must.False(t, ok, must.Sprint("orders by promises given after its lease was broken"))
}

// A witness agrees to break a lease at a renewal that it does not know yet. A second host asks
// it for a vote on the record before. The first break is still under way when the renewal
// arrives, and the witness must not promise to keep it.
func TestVoteOnAnOlderRecordKeepsTheLaterVote(t *testing.T) {
	late := testStart.Add(2 * testTiming.breakTimeout())
	for name, voteAgain := range map[string]func(b *State){
		"asked":     func(b *State) { b.Vote("a", registry.Position{Revision: 1}, late) },
		"own break": func(b *State) { must.Len(t, 1, b.Breakable(late)) },
	} {
		b := newHosts(t, "a", "b")["b"]
		b.Registered(1, []string{"a"}, late)
		must.True(t, b.Vote("a", registry.Position{Revision: 100}, late))
		voteAgain(b)
		b.Apply([]registry.Change{change(t, hostRecordName("a"), HostRecord{Epoch: 1, Renewals: 1, Witnesses: []string{"b"}}, 100)}, late)
		must.False(t, promises(b, "a", registry.Position{}, late), must.Sprint(name))
	}
}

// changingStore delivers changes to a replica while a read that found no record is under way.
type changingStore struct {
	memoryStore
	deliver func()
}

func (c *changingStore) Get(ctx context.Context, kind, name string) (registry.Record, error) {
	record, err := c.memoryStore.Get(ctx, kind, name)
	c.deliver()
	return record, err
}

// A host reads the record of a dead host, which has been removed. Before it has the answer, that
// host registers again and the watch delivers its record. If the answer removed that record, the
// claims of a live host would count as ended.
func TestReadDoesNotRemoveALaterRecord(t *testing.T) {
	s := newFollowingService(t, "b", registry.Position{Revision: 10},
		recordOf(t, hostRecordName("b"), HostRecord{Epoch: 1}, 1),
		recordOf(t, hostRecordName("a"), HostRecord{Epoch: 1, Broken: true}, 2))
	s.Store = &changingStore{memoryStore: memoryStore{records: map[string]registry.Record{}}, deliver: func() {
		s.fleet.Changed([]registry.Change{
			{Record: registry.Record{Name: hostRecordName("a"), Revision: 12}, Removed: true},
			change(t, hostRecordName("a"), HostRecord{Epoch: 13}, 14),
			change(t, ownerRecordName(runnerAddress), OwnerRecord{Host: "a", Epoch: 13}, 15),
		}, registry.Position{Revision: 15})
	}}
	s.refreshAfterConflict(t.Context(), hostRecordName("a"), objectapi.ErrConflict)
	must.SliceEmpty(t, s.State.Claims(s.Runners(), s.Now()))
}

// A process starts and finds no record of its host. It registers while its first listing is
// being applied. If its epoch were 1, a claim of the removed record could be in force again,
// while another host is replacing it.
func TestEpochWhileTheFirstListingIsApplied(t *testing.T) {
	s := NewService(Deps{
		Self: peer.Identity{Host: "a"}, Address: "a:1", State: NewState("a", testTiming, testStart),
		Kinds: map[string]*registry.Replica{}, Runners: func() []Runner { return nil },
		Now: func() time.Time { return testStart }, Log: hclog.NewNullLogger(),
	})
	applied := s.fleet.OnChange
	var epoch int64
	s.fleet.OnChange = func(changes []registry.Change, whole bool) {
		applied(changes, whole)
		// The main loop, which OnChange wakes, runs before OnPosition is called.
		must.NotEq(t, 0, s.fleet.Revision())
		epoch = s.State.NextEpoch(HostRecord{}, s.fleet.Revision())
	}
	s.fleet.Listed([]registry.Record{recordOf(t, ownerRecordName(runnerAddress), OwnerRecord{Host: "a", Epoch: 1}, 5)}, registry.Position{Revision: 10})
	must.Greater(t, 10, epoch)
}

// A renewal that names other witnesses gets no answer, and the store is restored. The write may
// be in the restored record or still succeed, so the promises of the earlier witnesses alone do
// not show that the lease holds.
func TestUncertainRenewalOutlivesAnEra(t *testing.T) {
	a := newHosts(t, "a", "b", "c")["a"]
	a.RenewalUncertain([]string{"d", "e"})
	a.BeginEra(1, testStart)
	a.RecordVerified()
	later := testStart.Add(testTiming.Lease / 2)
	a.PromiseReceived("b", later)
	a.PromiseReceived("c", later)
	must.Eq(t, testStart.Add(testTiming.Lease), a.ValidUntil())
}

// A process gets its first records ten seconds after it started. Until shortly before, another
// host led the key, whose lease is broken in them. Counted from the start of the process, the
// budget of these seconds would be granted twice.
func TestLeadershipBeginsAfterALateFirstListing(t *testing.T) {
	b := NewState("b", testTiming, testStart)
	late := testStart.Add(10 * time.Second)
	b.Apply([]registry.Change{
		change(t, hostRecordName("b"), HostRecord{Epoch: 1}, 1),
		change(t, hostRecordName("c"), HostRecord{Epoch: 1, Broken: true}, 2),
	}, late)
	b.Registered(1, nil, late)
	leadership, ok := b.Leads("k", late)
	must.True(t, ok)
	must.False(t, leadership.Since.Before(late.Add(-testTiming.breakTimeout()+testTiming.Lease)), must.Sprintf("since %s after the start", leadership.Since.Sub(testStart)))
}
