package mesh

import (
	"context"
	"testing"
	"time"

	"github.com/cherrystage/cherrystage/internal/objectapi"
	"github.com/cherrystage/cherrystage/internal/registry"
	"github.com/shoenig/test/must"
)

// A host missed a restore of the store. In the new era a peer has just renewed its record, which
// got the revision that it had before. The peer must not count as silent since then.
func TestSameRevisionInANewEraIsAChange(t *testing.T) {
	b := NewState("b", testTiming, testStart)
	b.Apply([]registry.Change{
		change(t, hostRecordName("a"), HostRecord{Epoch: 1, Witnesses: []string{"b", "c", "d"}}, 7),
		change(t, hostRecordName("b"), HostRecord{Epoch: 1}, 2),
		change(t, hostRecordName("c"), HostRecord{Epoch: 1}, 3),
		change(t, hostRecordName("d"), HostRecord{Epoch: 1}, 4),
	}, testStart)
	b.AdvanceTo(registry.Position{Revision: 7})
	b.Registered(1, []string{"c", "d"}, testStart)
	late := testStart.Add(2 * testTiming.breakTimeout())
	b.BeginEra(1, late)
	b.Apply([]registry.Change{
		change(t, hostRecordName("a"), HostRecord{Epoch: 1, Renewals: 9, Witnesses: []string{"b", "c", "d"}}, 7),
		change(t, eraRecordName, EraRecord{Settled: 1}, 6),
	}, late)
	b.AdvanceTo(registry.Position{Era: 1, Revision: 8})
	must.SliceEmpty(t, b.Breakable(late), must.Sprint("a's record of the new era has been known for no time at all"))
}

// The same up to the orders: the peer renews in the new era and is cut off. The host that missed
// the restore must not break its lease, claim its runner and order it within the gap.
func TestNoOrderWithinTheGapAfterAMissedEra(t *testing.T) {
	record := func(name string, spec any, revision uint64) registry.Record { return recordOf(t, name, spec, revision) }
	aOld := HostRecord{Epoch: 1, Renewals: 3, Witnesses: []string{"b"}}
	aNew := HostRecord{Epoch: 1, Renewals: 9, Witnesses: []string{"b"}}
	owner := record(ownerRecordName(runnerAddress), OwnerRecord{Host: "a", Epoch: 1}, 3)
	own := record(hostRecordName("b"), HostRecord{Epoch: 1}, 2)
	b := newFollowingService(t, "b", registry.Position{Revision: 8}, record(hostRecordName("a"), aOld, 7), own, owner)
	now := testStart
	b.Now, b.freshness.now = func() time.Time { return now }, func() time.Time { return now }
	b.Confirmed(Kind, now)

	renewed := testStart.Add(20 * time.Second)
	a := NewState("a", testTiming, testStart)
	a.BeginEra(1, testStart.Add(5*time.Second))
	a.Apply([]registry.Change{{Record: record(hostRecordName("a"), aNew, 7)}, {Record: owner}, {Record: record(eraRecordName, EraRecord{Settled: 1}, 6)}}, renewed)
	a.AdvanceTo(registry.Position{Era: 1, Revision: 7})
	a.Registered(1, []string{"b"}, renewed)

	var lastOrder time.Time
	listed := false
	for now = renewed; now.Sub(renewed) < 10*time.Second; now = now.Add(50 * time.Millisecond) {
		if _, ok := a.MayOrder(runnerAddress, now); ok {
			lastOrder = now
		}
		if now.Sub(renewed) >= 100*time.Millisecond {
			if !listed {
				listed = true
				b.fleet.Listed([]registry.Record{record(hostRecordName("a"), aNew, 7), own, owner, record(eraRecordName, EraRecord{Settled: 1}, 6)}, registry.Position{Era: 1, Revision: 7})
				b.State.RecordVerified()
			}
			b.Confirmed(Kind, now)
			b.State.Registered(1, nil, now)
		}
		for _, dead := range b.breakable(now) {
			must.Eq(t, 7, dead.Revision)
			must.Eq(t, 0, dead.VotesNeeded)
			broken := aNew
			broken.Broken = true
			b.fleet.Changed([]registry.Change{{Record: record(hostRecordName("a"), broken, 8)}}, registry.Position{Era: 1, Revision: 8})
		}
		if b.State.JoinsSettled(now, joinSettle) && len(b.State.Claims(b.Runners(), now)) > 0 {
			b.fleet.Changed([]registry.Change{{Record: record(ownerRecordName(runnerAddress), OwnerRecord{Host: "b", Epoch: 1}, 9)}}, registry.Position{Era: 1, Revision: 9})
		}
		if token, ok := b.State.MayOrder(runnerAddress, now); ok {
			must.LessEq(t, now.Sub(lastOrder), testTiming.OrderGap, must.Sprintf("b orders under %d at +%s, a's last order was at +%s", token, now.Sub(renewed), lastOrder.Sub(renewed)))
			return
		}
	}
	t.Fatal("b never ordered")
}

// A host votes on a record, and the store is restored. The record has come to that revision again,
// and the voter's watch lags. The write that breaks the lease may still succeed.
func TestVoteOutlastsARestoreForALaggingVoter(t *testing.T) {
	b := newHosts(t, "a", "b")["b"]
	late := testStart.Add(testTiming.breakTimeout())
	b.Registered(1, nil, late)
	must.True(t, b.Vote("a", registry.Position{Revision: 7}, late))
	b.BeginEra(1, late)
	b.Apply([]registry.Change{change(t, hostRecordName("a"), HostRecord{Epoch: 1, Witnesses: []string{"b"}}, 3)}, late)
	b.AdvanceTo(registry.Position{Era: 1, Revision: 3})
	b.Registered(1, nil, late)
	must.False(t, promises(b, "a", registry.Position{Era: 1}, late), must.Sprint("promises while the record may be at the revision that it voted on"))
}

// A witness registered at a revision that the store has lost. It must promise again for records
// that were written in the new era, although their revisions are lower.
func TestPromisesForRecordsOfANewEra(t *testing.T) {
	b := newHosts(t, "a", "b")["b"]
	b.PromiseAfter(1000)
	b.BeginEra(1, testStart)
	b.RecordVerified()
	b.Registered(1, []string{"a"}, testStart)
	for revision := uint64(200); revision < 300; revision++ {
		b.Apply([]registry.Change{change(t, hostRecordName("a"), HostRecord{Epoch: 1, Renewals: int64(revision)}, revision)}, testStart)
		b.AdvanceTo(registry.Position{Era: 1, Revision: revision})
	}
	must.True(t, promises(b, "a", registry.Position{Era: 1}, testStart), must.Sprint("no promise after 100 renewals in the new era"))
}

// The position that a process knows lags. Its new record must still have an epoch above those that
// known claims of its host name.
func TestNextEpochIsAboveKnownClaims(t *testing.T) {
	a := newHosts(t, "a", "b")["a"]
	a.Apply([]registry.Change{change(t, ownerRecordName(runnerAddress), OwnerRecord{Host: "a", Epoch: 150}, 160)}, testStart)
	must.Greater(t, 150, a.NextEpoch(HostRecord{}, 120), must.Sprint("epoch is not above one that a known claim of this host names"))
}

// A host reads a broken record while it is removed, and gets the answer after the removal. The
// record must not come back: it would be removed again and again.
func TestReadDoesNotBringBackARemovedRecord(t *testing.T) {
	s := newFollowingService(t, "b", registry.Position{Revision: 10},
		recordOf(t, hostRecordName("a"), HostRecord{Epoch: 1, Broken: true}, 2),
		recordOf(t, hostRecordName("b"), HostRecord{Epoch: 1}, 1))
	s.Store = &changingStore{memoryStore: memoryStore{records: map[string]registry.Record{
		hostRecordName("a"): recordOf(t, hostRecordName("a"), HostRecord{Epoch: 1, Broken: true}, 2),
	}}, deliver: func() {
		s.fleet.Changed([]registry.Change{{Record: registry.Record{Name: hostRecordName("a"), Revision: 2}, Removed: true}}, registry.Position{Revision: 12})
	}}
	s.refreshAfterConflict(t.Context(), hostRecordName("a"), objectapi.ErrConflict)
	_, back := s.fleet.Get(hostRecordName("a"))
	must.False(t, back, must.Sprint("record of revision 2 is back at position 12, at which it is removed"))
}

// deleteCounter finds no record to remove, and counts the removals.
type deleteCounter struct {
	memoryStore
	deletes int
}

func (d *deleteCounter) Delete(context.Context, string, string, uint64) error {
	d.deletes++
	return &objectapi.Error{Op: "delete", Cause: objectapi.ErrNotFound}
}

// The record of a dead host is known here and gone from the store. Its removal must not be tried
// again and again.
func TestRecordThatIsGoneIsRemovedOnce(t *testing.T) {
	s := newFollowingService(t, "b", registry.Position{Revision: 12},
		recordOf(t, hostRecordName("a"), HostRecord{Epoch: 1, Broken: true}, 2),
		recordOf(t, hostRecordName("b"), HostRecord{Epoch: 1}, 1))
	store := &deleteCounter{memoryStore: memoryStore{records: map[string]registry.Record{}}}
	s.Store = store
	now := testStart
	s.Now, s.freshness.now = func() time.Time { return now }, func() time.Time { return now }
	for now.Sub(testStart) < 2*deadRecordRetention {
		now = now.Add(loopInterval)
		s.Confirmed(Kind, now)
		s.failOver(t.Context())
	}
	must.LessEq(t, 3, store.deletes)
}

// notFoundStore finds no record for a conditional write of a missing one, and counts the writes.
type notFoundStore struct {
	memoryStore
	updates int
}

func (n *notFoundStore) Update(ctx context.Context, kind, name string, spec any, revision uint64) (registry.Record, error) {
	n.updates++
	if _, ok := n.records[name]; !ok && revision != 0 {
		return registry.Record{}, &objectapi.Error{Op: "update", Cause: objectapi.ErrNotFound}
	}
	return n.memoryStore.Update(ctx, kind, name, spec, revision)
}

// A host knows a broken record of its own that was removed. It must register all the same.
func TestHostRegistersOverARecordThatIsGone(t *testing.T) {
	s := newFollowingService(t, "b", registry.Position{Revision: 10},
		recordOf(t, hostRecordName("b"), HostRecord{Epoch: 1, Broken: true}, 1))
	store := &notFoundStore{memoryStore: memoryStore{records: map[string]registry.Record{}, revision: 10}}
	s.Store = store
	s.State.epoch = 0
	now := testStart.Add(5 * time.Second)
	s.Now = func() time.Time { return now }
	for range 100 {
		s.maintainLease(t.Context())
		now = now.Add(time.Second)
	}
	must.NotEq(t, 0, s.State.Epoch(), must.Sprintf("not registered after 100 s, %d writes refused", store.updates))
}

// A host's record was removed and it does not know. It must renew its lease by a new record.
func TestHostRenewsOverARecordThatIsGone(t *testing.T) {
	s := newFollowingService(t, "b", registry.Position{Revision: 10},
		recordOf(t, hostRecordName("b"), HostRecord{Epoch: 1}, 1))
	store := &notFoundStore{memoryStore: memoryStore{records: map[string]registry.Record{}, revision: 10}}
	s.Store = store
	now := testStart.Add(5 * time.Second)
	s.Now = func() time.Time { return now }
	for range 100 {
		s.maintainLease(t.Context())
		now = now.Add(time.Second)
	}
	must.True(t, now.Add(-2*time.Second).Before(s.State.ValidUntil()), must.Sprintf("no lease after 100 s, %d writes refused", store.updates))
}

// maxWithoutOrders is how long the runners of a live host that the store refuses may be without
// orders: until the host asks for no more promises, then until it counts as dead.
func maxWithoutOrders() time.Duration {
	return (1+refusalFactor)*testTiming.breakTimeout() + testTiming.Margin + heartbeatInterval
}

// The store refuses a host's writes while a majority of its witnesses restarts. They want a newer
// record, which it cannot write, and its heartbeats keep arriving. If it counted as live, its
// runners would get no orders for as long as it lives.
func TestRefusedHostIsReplacedAfterWitnessesRestart(t *testing.T) {
	hosts := newHosts(t, "a", "b", "c", "d")
	hosts["b"].PromiseAfter(91)
	hosts["c"].PromiseAfter(92)
	now := testStart
	without := time.Duration(0)
	for now.Sub(testStart) < time.Minute {
		now = now.Add(heartbeatInterval)
		for _, witness := range []string{"b", "c", "d"} {
			hosts[witness].Registered(1, others([]string{"a", "b", "c", "d"}, witness), now)
			promised := hosts[witness].ReceiveHeartbeat("a", registry.Position{Revision: 1}, now).Promised
			if promised {
				hosts["a"].PromiseReceived(witness, now)
			}
			for _, dead := range hosts[witness].Breakable(now) {
				if dead.Host == "a" {
					return
				}
			}
		}
		if _, ok := hosts["a"].MayOrder(runnerAddress, now); !ok {
			without += heartbeatInterval
		}
	}
	must.Less(t, maxWithoutOrders(), without, must.Sprint("the runner has had no orders and a is not declared dead"))
}

// The same with two hosts, of which the only witness restarts.
func TestRefusedHostOfTwoIsReplaced(t *testing.T) {
	hosts := newHosts(t, "a", "b")
	hosts["b"].PromiseAfter(91)
	playRefused(t, hosts, "b")
}

// The store refuses a host's writes. The last one, without an answer, named another witness, which
// then dies, and the remaining one goes on promising.
func TestRefusedHostWithALostAttemptIsReplaced(t *testing.T) {
	hosts := newHosts(t, "a", "b", "c")
	hosts["a"].Registered(1, []string{"b"}, testStart)
	hosts["b"].Apply([]registry.Change{change(t, hostRecordName("a"), HostRecord{Epoch: 1, Witnesses: []string{"b"}}, 92)}, testStart)
	hosts["b"].AdvanceTo(registry.Position{Revision: 92})
	hosts["a"].RenewalUncertain([]string{"b", "c"})
	playRefused(t, hosts, "b")
}

// playRefused plays a minute in which a sends heartbeats to one witness and cannot write.
func playRefused(t *testing.T, hosts map[string]*State, witness string) {
	t.Helper()
	now, without := testStart, time.Duration(0)
	for now.Sub(testStart) < time.Minute {
		now = now.Add(heartbeatInterval)
		hosts[witness].Registered(1, nil, now)
		if !hosts["a"].WantsPromises(now) {
			hosts[witness].ReceiveLeaselessHeartbeat("a", now)
		} else if promises(hosts[witness], "a", registry.Position{Revision: 1}, now) {
			hosts["a"].PromiseReceived(witness, now)
		}
		for _, dead := range hosts[witness].Breakable(now) {
			if dead.Host == "a" {
				return
			}
		}
		if _, ok := hosts["a"].MayOrder(runnerAddress, now); !ok {
			without += heartbeatInterval
		}
	}
	must.Less(t, maxWithoutOrders(), without, must.Sprint("the runner has had no orders and a is not declared dead"))
}

// A witness's lease was broken a moment ago. It counts as a vote only after a lease more, since a
// promise that it gave before may still let the host order.
func TestBrokenWitnessCountsAfterALease(t *testing.T) {
	z := NewState("z", testTiming, testStart)
	z.Apply([]registry.Change{
		change(t, hostRecordName("a"), HostRecord{Epoch: 1, Witnesses: []string{"b"}}, 1),
		change(t, hostRecordName("b"), HostRecord{Epoch: 1}, 2),
		change(t, hostRecordName("z"), HostRecord{Epoch: 1}, 3),
	}, testStart)
	broken := testStart.Add(20 * time.Second)
	z.Apply([]registry.Change{change(t, hostRecordName("b"), HostRecord{Epoch: 1, Broken: true}, 4)}, broken)
	z.AdvanceTo(registry.Position{Revision: 4})
	must.SliceEmpty(t, z.Breakable(broken.Add(testTiming.Lease)))
	must.Len(t, 1, z.Breakable(broken.Add(testTiming.Lease+time.Millisecond)))
}

// A late write of an earlier process left a claim under a later epoch than this host's. No other
// host can tell it from one whose record is not known yet, so this host replaces it.
func TestOwnClaimUnderALaterEpochIsReplaced(t *testing.T) {
	s := newFollowingService(t, "b", registry.Position{Revision: 10},
		recordOf(t, hostRecordName("b"), HostRecord{Epoch: 1}, 1),
		recordOf(t, ownerRecordName(runnerAddress), OwnerRecord{Host: "b", Epoch: 4}, 5))
	must.Len(t, 1, s.State.Claims(s.Runners(), s.Now()))
}
