package mesh

import (
	"slices"
	"testing"
	"time"

	"github.com/cherrystage/cherrystage/internal/peer"
	"github.com/cherrystage/cherrystage/internal/registry"
	"github.com/hashicorp/go-hclog"
	"github.com/shoenig/test/must"
)

// newFollowingService returns the service of a registered host that has listed records up to
// a position. It does not run.
func newFollowingService(t testingT, host string, at registry.Position, records ...registry.Record) *Service {
	t.Helper()
	s := NewService(Deps{
		Self: peer.Identity{Host: host}, Address: host + ":1", State: NewState(host, testTiming, testStart),
		Kinds: map[string]*registry.Replica{}, Runners: func() []Runner { return []Runner{{Address: runnerAddress}} },
		Now: func() time.Time { return testStart }, Log: hclog.NewNullLogger(),
	})
	s.fleet.Listed(records, at)
	s.State.Registered(1, nil, testStart)
	return s
}

// recordOf returns a record as the store would hold it.
func recordOf(t testingT, name string, spec any, revision uint64) registry.Record {
	t.Helper()
	return change(t, name, spec, revision).Record
}

// A host registers under its next epoch and claims a runner. A host whose watch lags reads the
// claim after a conflict, but still knows the claimer's record of the epoch before.
func TestClaimUnderAnEpochNotKnownYetIsKept(t *testing.T) {
	for _, known := range []HostRecord{{Epoch: 1, Broken: true}, {Epoch: 1}} {
		s := newFollowingService(t, "b", registry.Position{Revision: 10},
			recordOf(t, hostRecordName("b"), HostRecord{Epoch: 1}, 1),
			recordOf(t, hostRecordName("a"), known, 2))
		s.fleet.Put(recordOf(t, ownerRecordName(runnerAddress), OwnerRecord{Host: "a", Epoch: 2}, 21))
		must.SliceEmpty(t, s.State.Claims(s.Runners(), s.Now()), must.Sprintf("claims a runner whose owner's record is %+v", known))
	}
}

// A host that has just registered for the first time claims a runner. Another host reads the
// claim before the claimer's record.
func TestClaimOfAHostNotKnownYetIsKept(t *testing.T) {
	s := newFollowingService(t, "b", registry.Position{Revision: 10}, recordOf(t, hostRecordName("b"), HostRecord{Epoch: 1}, 1))
	s.fleet.Put(recordOf(t, ownerRecordName(runnerAddress), OwnerRecord{Host: "a", Epoch: 1}, 21))
	must.SliceEmpty(t, s.State.Claims(s.Runners(), s.Now()))
}

// A dead host's record is removed a minute after its lease was broken. The claims that it
// left must be replaced, also by a process that never saw that record.
func TestClaimOfARemovedHostIsReplaced(t *testing.T) {
	s := newFollowingService(t, "b", registry.Position{Revision: 10},
		recordOf(t, hostRecordName("b"), HostRecord{Epoch: 1}, 1),
		recordOf(t, ownerRecordName(runnerAddress), OwnerRecord{Host: "a", Epoch: 1}, 5))
	must.Len(t, 1, s.State.Claims(s.Runners(), s.Now()))
}

// A witness agrees to break a lease of whose latest renewal it does not know yet. If it
// promised again at the next heartbeat, the host would order on beside its successor.
func TestVoterThatLagsDoesNotPromise(t *testing.T) {
	b := newHosts(t, "a", "b")["b"]
	late := testStart.Add(testTiming.breakTimeout())
	b.Registered(1, nil, late)
	must.True(t, b.Vote("a", registry.Position{Revision: 9}, late))
	must.False(t, promises(b, "a", registry.Position{}, late), must.Sprint("promises to keep the lease that it agreed to break"))
	b.Apply([]registry.Change{change(t, hostRecordName("a"), HostRecord{Epoch: 1, Renewals: 1}, 10)}, late)
	must.True(t, promises(b, "a", registry.Position{}, late), must.Sprint("the record was renewed after the vote"))
}

// The witnesses of a host lost their leases and have registered again; one of them has just
// promised. A host that knows the renewed record, but not yet that its witnesses are back,
// must not count their votes as given.
func TestLeaseIsNotBrokenWhileWitnessesMayBeBack(t *testing.T) {
	s := newFollowingService(t, "z", registry.Position{Revision: 20},
		recordOf(t, hostRecordName("z"), HostRecord{Epoch: 1}, 1),
		recordOf(t, hostRecordName("a"), HostRecord{Epoch: 1, Witnesses: []string{"b", "c"}}, 2),
		recordOf(t, hostRecordName("b"), HostRecord{Epoch: 1, Broken: true}, 3),
		recordOf(t, hostRecordName("c"), HostRecord{Epoch: 1, Broken: true}, 4))
	s.fleet.Put(recordOf(t, hostRecordName("a"), HostRecord{Epoch: 1, Renewals: 1, Witnesses: []string{"b", "c"}}, 30))
	late := testStart.Add(2 * testTiming.breakTimeout())
	s.State.Registered(1, nil, late)
	must.SliceEmpty(t, s.State.Breakable(late))
}

// A renewal gets no answer while the store is away, so that promises do not count. The host
// lives: if its witnesses heard nothing more of it, they would break its lease.
func TestHostWithAnUncertainRenewalSendsHeartbeats(t *testing.T) {
	a := newHosts(t, "a", "b", "c")["a"]
	a.RenewalUncertain([]string{"b", "d"})
	var hosts []string
	for _, witness := range a.Witnesses() {
		hosts = append(hosts, witness.Host)
	}
	slices.Sort(hosts)
	must.Eq(t, []string{"b", "c"}, hosts)
	a.PromiseReceived("b", testStart.Add(testTiming.Lease/2))
	a.PromiseReceived("c", testStart.Add(testTiming.Lease/2))
	must.Eq(t, testStart.Add(testTiming.Lease), a.ValidUntil(), must.Sprint("counts promises although its record may name other witnesses"))
}

// A host whose lease has lapsed may have been broken without knowing it. No host accepts what
// it claims then.
func TestNoClaimWithoutALease(t *testing.T) {
	s := newFollowingService(t, "b", registry.Position{Revision: 10}, recordOf(t, hostRecordName("b"), HostRecord{Epoch: 1}, 1))
	must.Len(t, 1, s.State.Claims(s.Runners(), s.Now()))
	s.Now = func() time.Time { return testStart.Add(2 * testTiming.Lease) }
	must.SliceEmpty(t, s.State.Claims(s.Runners(), s.Now()))
}

// A witness agrees to break a lease, restarts and forgets that. The write that breaks the lease
// is still under way, or its answer was lost, and succeeds as long as the record is the one that
// the witness voted on. So the new process promises only for records that are written later than
// its own registration.
func TestRestartedWitnessDoesNotPromiseForAnOlderRecord(t *testing.T) {
	store := &memoryStore{records: map[string]registry.Record{}}
	for _, host := range []string{"a", "b"} {
		_, err := store.Create(t.Context(), Kind, hostRecordName(host), HostRecord{Epoch: 1, Witnesses: []string{"b"}})
		must.NoError(t, err)
	}
	s := newFollowingService(t, "b", registry.Position{Revision: 2}, store.records[hostRecordName("a")], store.records[hostRecordName("b")])
	s.Store, s.State.epoch = store, 0
	s.register(t.Context())
	must.False(t, promises(s.State, "a", registry.Position{}, testStart))
	renewed, err := store.Update(t.Context(), Kind, hostRecordName("a"), HostRecord{Epoch: 1, Renewals: 1, Witnesses: []string{"b"}}, 1)
	must.NoError(t, err)
	s.fleet.Put(renewed)
	must.True(t, promises(s.State, "a", registry.Position{}, testStart))
}

// A vote was given before the store was restored, and the write that breaks the lease succeeds
// afterwards, since the record is still the same. The voter must not promise for that record in
// the new era.
func TestVoteOutlastsARestore(t *testing.T) {
	b := newHosts(t, "a", "b")["b"]
	late := testStart.Add(testTiming.breakTimeout())
	b.Registered(1, nil, late)
	must.True(t, b.Vote("a", registry.Position{Revision: 1}, late))
	b.BeginEra(1, late)
	must.False(t, promises(b, "a", registry.Position{Era: 1}, late), must.Sprint("the peer has not said which record it has"))
	must.False(t, promises(b, "a", registry.Position{Era: 1, Revision: 1}, late), must.Sprint("the record is the one that was voted on"))
	must.True(t, promises(b, "a", registry.Position{Era: 1, Revision: 3}, late))
}

// A broken record is removed, and the host comes back while another host, which knows of the
// removal, replaces one of its claims. Under the epoch of before, the claim would be in force.
func TestRecreatedRecordHasANewEpoch(t *testing.T) {
	a := newHosts(t, "a", "b")["a"]
	must.Eq(t, 121, a.NextEpoch(HostRecord{}, 120))
	must.Eq(t, 3, a.NextEpoch(HostRecord{Epoch: 3}, 120), must.Sprint("a process that restarts keeps its claims"))
}

// A renewal without an answer may have put other witnesses in force. They alone decide then
// whether the lease is broken, so a majority of the former ones does not keep it.
func TestUncertainRenewalNeedsBothMajorities(t *testing.T) {
	a := newHosts(t, "a", "b", "c", "d", "e", "f")["a"]
	a.Registered(1, []string{"b", "c", "d"}, testStart)
	a.RenewalUncertain([]string{"b", "e", "f"})
	promised := testStart.Add(testTiming.Lease / 2)
	for _, host := range []string{"b", "c", "d"} {
		a.PromiseReceived(host, promised)
	}
	must.Eq(t, testStart.Add(testTiming.Lease), a.ValidUntil())
	a.PromiseReceived("e", promised)
	must.Eq(t, promised.Add(testTiming.Lease), a.ValidUntil())
}

// A restarted witness promises for no record that is older than its registration. If the host
// did not write a newer one, it would be short of a witness for as long as it has a majority.
func TestHostRenewsForARestartedWitness(t *testing.T) {
	hosts := newHosts(t, "a", "b", "c", "d")
	a := hosts["a"]
	hosts["b"].PromiseAfter(90)
	now := testStart
	for range 8 {
		now = now.Add(heartbeatInterval)
		for _, witness := range []string{"b", "c", "d"} {
			answer := hosts[witness].ReceiveHeartbeat("a", registry.Position{}, testStart)
			promised, renew := answer.Promised, answer.Renew
			must.Eq(t, witness == "b", renew)
			if promised {
				a.PromiseReceived(witness, now)
			}
			if renew {
				a.RenewalRequested(now)
			}
		}
	}
	must.True(t, a.NeedsRenewal(now))
	a.Registered(1, []string{"b", "c", "d"}, now)
	must.False(t, a.NeedsRenewal(now.Add(heartbeatInterval)))
}

// The store is back after an outage. Hosts that restarted meanwhile were silent because they
// could not register; they need a moment before they can be told from dead ones.
func TestNoLeaseIsBrokenRightAfterAnOutage(t *testing.T) {
	s := newFollowingService(t, "b", registry.Position{Revision: 10},
		recordOf(t, hostRecordName("b"), HostRecord{Epoch: 1}, 1),
		recordOf(t, hostRecordName("a"), HostRecord{Epoch: 1, Witnesses: []string{"b"}}, 2))
	now := testStart
	s.freshness.now = func() time.Time { return now }
	s.Confirmed(Kind, now)
	now = testStart.Add(10 * time.Second)
	must.SliceEmpty(t, s.breakable(now), must.Sprint("during the outage"))
	s.Confirmed(Kind, now)
	must.SliceEmpty(t, s.breakable(now), must.Sprint("as the store is back"))
	now = now.Add(registrationTime)
	must.Len(t, 1, s.breakable(now))
}

// A host was cut off until its lease was broken, and reaches a witness again before it learns
// that. The witness knows the broken record, which is newer than the one that it voted on. If it
// promised, the host would order its former runners beside their new owners.
func TestWitnessDoesNotPromiseForALeaseKnownToBeBroken(t *testing.T) {
	b := newHosts(t, "a", "b")["b"]
	late := testStart.Add(testTiming.breakTimeout())
	b.Registered(1, nil, late)
	must.True(t, b.Vote("a", registry.Position{Revision: 1}, late))
	b.Apply([]registry.Change{change(t, hostRecordName("a"), HostRecord{Epoch: 1, Broken: true}, 100)}, late)
	b.AdvanceTo(registry.Position{Revision: 100})
	must.False(t, promises(b, "a", registry.Position{}, late), must.Sprint("promises to keep a broken lease"))
	must.False(t, promises(b, "a", registry.Position{Revision: 1}, late), must.Sprint("promises to keep a broken lease"))
	must.True(t, promises(b, "a", registry.Position{Revision: 101}, late), must.Sprint("the host has registered again"))
	b.Apply([]registry.Change{change(t, hostRecordName("a"), HostRecord{Epoch: 2}, 101)}, late)
	must.True(t, promises(b, "a", registry.Position{}, late), must.Sprint("the host has registered again"))
}

// The same host stays cut off for so long that its record is removed.
func TestWitnessDoesNotPromiseForARemovedRecord(t *testing.T) {
	b := newHosts(t, "a", "b")["b"]
	late := testStart.Add(testTiming.breakTimeout())
	b.Registered(1, nil, late)
	b.Apply([]registry.Change{change(t, hostRecordName("a"), HostRecord{Epoch: 1, Broken: true}, 100)}, late)
	b.Apply([]registry.Change{{Record: registry.Record{Name: hostRecordName("a")}, Removed: true}}, late)
	b.AdvanceTo(registry.Position{Revision: 200})
	must.False(t, promises(b, "a", registry.Position{}, late), must.Sprint("promises to keep a lease without a record"))
	must.False(t, promises(b, "a", registry.Position{Revision: 1}, late), must.Sprint("promises to keep a lease without a record"))
	must.True(t, promises(b, "a", registry.Position{Revision: 201}, late), must.Sprint("the host has registered again"))
}
