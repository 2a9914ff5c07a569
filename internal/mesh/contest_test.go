package mesh

import (
	"fmt"
	"testing"
	"time"

	"github.com/cherrystage/cherrystage/internal/registry"
	"github.com/shoenig/test/must"
)

// withLostOwner returns host b, which knows a lost host a, the owner of the runner, and a's five
// witnesses, which are lost as well.
func withLostOwner(t *testing.T) *State {
	t.Helper()
	b := NewState("b", testTiming, testStart)
	lost := []string{"l1", "l2", "l3", "l4", "l5"}
	changes := []registry.Change{
		change(t, hostRecordName("a"), HostRecord{Epoch: 1, Renewals: 7, Witnesses: lost}, 1),
		change(t, hostRecordName("b"), HostRecord{Epoch: 1}, 2),
		change(t, ownerRecordName(runnerAddress), OwnerRecord{Host: "a", Epoch: 1}, 3),
	}
	for i, name := range lost {
		changes = append(changes, change(t, hostRecordName(name), HostRecord{Epoch: 1, Witnesses: []string{"a"}}, uint64(10+i)))
	}
	b.Apply(changes, testStart)
	b.AdvanceTo(registry.Position{Revision: 20})
	return b
}

// contestNow has b's lease renewed and returns the hosts whose lease it contests.
func contestNow(b *State, now time.Time) []string {
	b.Registered(1, nil, now)
	var hosts []string
	for _, silent := range b.Contestable(now) {
		hosts = append(hosts, silent.Host)
	}
	return hosts
}

func applyContested(t *testing.T, b *State, revision uint64, renewals int64, contested bool, now time.Time) {
	t.Helper()
	b.Apply([]registry.Change{change(t, hostRecordName("a"), HostRecord{Epoch: 1, Renewals: renewals, Witnesses: []string{"l1", "l2", "l3", "l4", "l5"}, Contested: contested}, revision)}, now)
	b.AdvanceTo(registry.Position{Revision: revision})
}

// isBreakable reports whether b breaks a's lease, without any vote.
func isBreakable(t *testing.T, b *State, now time.Time) bool {
	t.Helper()
	for _, dead := range b.Breakable(now) {
		if dead.Host == "a" {
			must.Eq(t, 0, dead.VotesNeeded)
			return true
		}
	}
	return false
}

// A host is lost for good together with all its witnesses, which can't vote. Its lease must end all
// the same, or its runner has no owner and requests for adapters are refused for good; and only once
// its holder, if it lives cut off, has not ordered for the gap.
func TestLeaseOfAHostLostWithItsWitnessesIsBroken(t *testing.T) {
	b := withLostOwner(t)
	silent := testStart.Add(time.Second)
	b.ProbeUnanswered("a", silent)
	contestedAt := silent.Add(testTiming.breakTimeout() + contestDelay)
	must.SliceEmpty(t, contestNow(b, contestedAt.Add(-time.Millisecond)), must.Sprint("its witnesses may break the lease in this time"))
	must.Eq(t, []string{"a"}, contestNow(b, contestedAt))
	applyContested(t, b, 30, 7, true, contestedAt)
	must.SliceEmpty(t, contestNow(b, contestedAt), must.Sprint("contested once"))
	lapsed := contestedAt.Add(testTiming.MaxStoreSilence + testTiming.breakTimeout())
	must.False(t, isBreakable(t, b, lapsed.Add(-time.Millisecond)))
	must.True(t, isBreakable(t, b, lapsed))
	b.ProbeAnswered("a", lapsed)
	must.False(t, isBreakable(t, b, lapsed), must.Sprint("it lives"))
}

// A process that has just started finds a lease that was contested long ago. It can't know for how
// long, so it waits the whole time.
func TestStartedProcessWaitsForAContestAnew(t *testing.T) {
	b := NewState("b", testTiming, testStart)
	applyContested(t, b, 30, 7, true, testStart)
	b.ProbeUnanswered("a", testStart)
	lapsed := testStart.Add(testTiming.MaxStoreSilence + testTiming.breakTimeout())
	must.False(t, isBreakable(t, b, lapsed.Add(-time.Millisecond)))
	must.True(t, isBreakable(t, b, lapsed))
}

// A host that only one other does not reach answers the contest of its lease. It must not be contested
// again and again, at the cost of two writes each time.
func TestAnsweredContestIsNotRepeatedAtOnce(t *testing.T) {
	b := withLostOwner(t)
	b.ProbeUnanswered("a", testStart)
	contests, revision := 0, uint64(30)
	for now := testStart; now.Sub(testStart) < 2*time.Minute; now = now.Add(time.Second) {
		if len(contestNow(b, now)) == 0 {
			continue
		}
		contests++
		applyContested(t, b, revision, int64(revision), true, now)
		applyContested(t, b, revision+1, int64(revision+1), false, now)
		revision += 2
	}
	must.LessEq(t, int(2*time.Minute/contestPause), contests)
	must.Positive(t, contests)
}

// A host's lease is contested while its witnesses are about to break it. That is no renewal: they must
// not wait for as long again, while its runners have no owner.
func TestContestDoesNotDelayTheVotes(t *testing.T) {
	hosts := newHosts(t, "a", "b", "c")
	b := hosts["b"]
	nearly := testStart.Add(testTiming.breakTimeout() - time.Millisecond)
	b.Apply([]registry.Change{change(t, hostRecordName("a"), HostRecord{Address: "a:1", Epoch: 1, Witnesses: []string{"b", "c"}, Contested: true}, 95)}, nearly)
	b.AdvanceTo(registry.Position{Revision: 95})
	for _, dead := range b.Breakable(nearly.Add(testTiming.Margin)) {
		if dead.Host == "a" {
			must.Eq(t, 95, dead.Revision)
			return
		}
	}
	t.Fatal("the lease is not broken in time")
}

// A host that reads that its lease is contested must not take that for news from the store by which it
// may order on: the others wait from that moment.
func TestContestIsNoNewsFromTheStore(t *testing.T) {
	for _, contested := range []bool{false, true} {
		t.Run(fmt.Sprintf("contested %t", contested), func(t *testing.T) {
			a := newFollowingService(t, "a", registry.Position{Revision: 10},
				recordOf(t, hostRecordName("a"), HostRecord{Epoch: 1, Witnesses: []string{"w"}, Contested: contested}, 1),
				recordOf(t, ownerRecordName(runnerAddress), OwnerRecord{Host: "a", Epoch: 1}, 2))
			a.State.Registered(1, []string{"w"}, testStart)
			read := testStart.Add(testTiming.MaxStoreSilence / 2)
			a.freshness.now = func() time.Time { return read }
			a.Confirmed(Kind, read)
			late := testStart.Add(testTiming.MaxStoreSilence)
			a.State.PromiseReceived("w", late)
			_, ok := a.State.MayOrder(runnerAddress, late)
			must.Eq(t, !contested, ok)
		})
	}
}

// A living host renews its record as soon as it learns that its lease is contested.
func TestHolderAnswersAContest(t *testing.T) {
	a := newHosts(t, "a", "b")["a"]
	now := testStart.Add(time.Second)
	a.PromiseReceived("b", now)
	must.False(t, a.NeedsRenewal(now))
	a.Apply([]registry.Change{change(t, hostRecordName("a"), HostRecord{Address: "a:1", Epoch: 1, Witnesses: []string{"b"}, Contested: true}, 95)}, now)
	must.True(t, a.NeedsRenewal(now))
}

// The renewal takes the contest back.
func TestRenewalEndsAContest(t *testing.T) {
	record := HostRecord{Epoch: 1, Witnesses: []string{"w"}, Contested: true}
	a := newFollowingService(t, "a", registry.Position{Revision: 10}, recordOf(t, hostRecordName("a"), record, 1))
	store := &memoryStore{records: map[string]registry.Record{hostRecordName("a"): recordOf(t, hostRecordName("a"), record, 1)}, revision: 10}
	a.Store = store
	a.renew(t.Context(), []string{"w"})
	_, own, ok := decodeHost(store.records[hostRecordName("a")])
	must.True(t, ok)
	must.False(t, own.Contested)
	must.Eq(t, 1, own.Renewals)
}

// Many neighbours are lost. The nearest host that lives probes them all before long, one host probes
// one other in calm, and hosts that stay silent are probed seldom.
func TestLostNeighboursAreProbed(t *testing.T) {
	var names []string
	for i := range 64 {
		names = append(names, fmt.Sprintf("h%02d", i))
	}
	s := newHosts(t, names...)["h00"]
	must.Eq(t, []Peer{{Host: "h01", Address: "h01:1"}}, s.HostsToProbe(testStart))
	lost := map[string]bool{}
	for _, name := range names[1:40] {
		lost[name] = true
	}
	probes := 0
	now := testStart
	for ; now.Sub(testStart) < 30*time.Second; now = now.Add(probeInterval) {
		for _, host := range s.HostsToProbe(now) {
			probes++
			if lost[host.Host] {
				s.ProbeUnanswered(host.Host, now)
			} else {
				s.ProbeAnswered(host.Host, now)
			}
		}
	}
	silent := 0
	for _, host := range s.SilentHosts(now) {
		must.True(t, lost[host.Host])
		silent++
	}
	must.Eq(t, len(lost), silent)
	perLost := int(testTiming.breakTimeout()/probeInterval) + int(30*time.Second/silentProbeInterval) + 2
	must.LessEq(t, perLost*len(lost)+int(30*time.Second/probeInterval)*2, probes)
}

// A machine is gone, and a new one bears its name at another address. The old process may live on, cut off
// from the store, and order its runners; the new one must not register over its lease, or two machines order
// under one token. It registers once others have broken the lease, or by itself if nobody else is left.
func TestNewMachineOfTheSameNameWaitsForTheOldOne(t *testing.T) {
	old := HostRecord{Address: "gone:1", Epoch: 4, Renewals: 9, Witnesses: []string{"w"}}
	begin := func() (*Service, *memoryStore, *time.Time) {
		s := newFollowingService(t, "b", registry.Position{Revision: 10}, recordOf(t, hostRecordName("b"), old, 3),
			recordOf(t, ownerRecordName(runnerAddress), OwnerRecord{Host: "b", Epoch: 4}, 5))
		store := &memoryStore{records: map[string]registry.Record{hostRecordName("b"): recordOf(t, hostRecordName("b"), old, 3)}, revision: 10}
		s.Store, s.State.epoch = store, 0
		now := testStart
		s.Now, s.freshness.now = func() time.Time { return now }, func() time.Time { return now }
		return s, store, &now
	}
	t.Run("nobody else is left", func(t *testing.T) {
		s, _, now := begin()
		for ; s.State.Epoch() == 0 && now.Sub(testStart) < time.Minute; *now = now.Add(loopInterval) {
			s.maintainLease(t.Context())
		}
		must.Eq(t, 5, s.State.Epoch(), must.Sprint("the claims of the old one have ended"))
		must.GreaterEq(t, testTiming.MaxStoreSilence+testTiming.breakTimeout(), now.Sub(testStart))
		_, ok := s.State.MayOrder(runnerAddress, *now)
		must.False(t, ok)
	})
	t.Run("others broke the lease", func(t *testing.T) {
		s, store, now := begin()
		s.maintainLease(t.Context())
		must.Zero(t, s.State.Epoch())
		broken := old
		broken.Broken = true
		record, err := store.Update(t.Context(), Kind, hostRecordName("b"), broken, store.records[hostRecordName("b")].Revision)
		must.NoError(t, err)
		s.fleet.Put(record)
		*now = now.Add(time.Second)
		s.maintainLease(t.Context())
		must.Eq(t, 5, s.State.Epoch())
	})
	t.Run("the old one lives and answers", func(t *testing.T) {
		s, store, now := begin()
		writes := store.revision
		for ; now.Sub(testStart) < 2*time.Minute; *now = now.Add(loopInterval) {
			s.maintainLease(t.Context())
			if _, m, _ := decodeHost(store.records[hostRecordName("b")]); m.Contested {
				m.Contested, m.Renewals = false, m.Renewals+1
				record, err := store.Update(t.Context(), Kind, hostRecordName("b"), m.HostRecord, m.revision)
				must.NoError(t, err)
				s.fleet.Put(record)
			}
		}
		must.Zero(t, s.State.Epoch())
		must.LessEq(t, 2*uint64(2*time.Minute/contestPause+1), store.revision-writes)
	})
}
