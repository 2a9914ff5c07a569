package mesh

import (
	"testing"
	"time"

	"github.com/cherrystage/cherrystage/internal/registry"
	"github.com/shoenig/test/must"
)

// eraSettleTime is how long after a new era began all hosts have stopped acting on an
// earlier one.
var eraSettleTime = testTiming.breakTimeout() + eraPropagation

// The store issues revisions again, so a claim of the new era may have a lower one. Its
// fencing token must be higher all the same.
func TestFencingTokensIncreaseWithTheEra(t *testing.T) {
	must.Eq(t, 7, fencingToken(0, 7))
	must.Greater(t, fencingToken(0, 90), fencingToken(1, 7))
	must.Greater(t, fencingToken(1, 1<<revisionBits-1), fencingToken(2, 1))
	must.Less(t, 1<<53, fencingToken(1<<13-1, 1<<revisionBits-1))
}

// The owner of a runner kept its lease while the store was restored from a copy. It goes
// on at once, so that requests for adapters that must be loaded do not wait.
func TestOwnerContinuesInANewEra(t *testing.T) {
	hosts := newHosts(t, "a", "b")
	a := hosts["a"]
	exchangeHeartbeats(hosts, testStart)
	before, ok := a.MayOrder(runnerAddress, testStart)
	must.True(t, ok)
	a.BeginEra(1, testStart.Add(time.Second))
	a.RecordVerified()
	after, ok := a.MayOrder(runnerAddress, testStart.Add(time.Second))
	must.True(t, ok)
	must.Greater(t, before, after)
}

// The owner's lease expired before the store was restored from a copy, or shortly after.
// Another host may have taken the runner over in records that the store has lost, so the
// owner waits until that host has stopped.
func TestOwnerWithoutALeaseWaitsInANewEra(t *testing.T) {
	for name, begins := range map[string]time.Duration{"over before": 2 * testTiming.Lease, "over after": testTiming.Lease / 2} {
		t.Run(name, func(t *testing.T) {
			hosts := newHosts(t, "a", "b")
			a := hosts["a"]
			exchangeHeartbeats(hosts, testStart)
			a.BeginEra(1, testStart.Add(begins))
			a.RecordVerified()
			again := testStart.Add(3 * testTiming.Lease)
			a.PromiseReceived("b", again)
			_, ok := a.MayOrder(runnerAddress, again)
			must.False(t, ok)
			settled := testStart.Add(begins + eraSettleTime)
			a.PromiseReceived("b", settled)
			_, ok = a.MayOrder(runnerAddress, settled)
			must.True(t, ok)
		})
	}
}

// A process starts after a restore and finds that it owns a runner. Another host may act
// on records that the store has lost, so the process waits unless the store's record says
// that the era is settled.
func TestStartedOwnerWaitsUnlessTheEraIsSettled(t *testing.T) {
	for _, settled := range []registry.Era{0, 1, 2} {
		a := NewState("a", testTiming, testStart)
		a.BeginEra(2, testStart)
		a.Apply([]registry.Change{
			change(t, hostRecordName("a"), HostRecord{Epoch: 1}, 1),
			change(t, ownerRecordName(runnerAddress), OwnerRecord{Host: "a", Epoch: 1}, 2),
			change(t, eraRecordName, EraRecord{Settled: settled}, 3),
		}, testStart)
		a.Registered(1, nil, testStart)
		_, ok := a.MayOrder(runnerAddress, testStart)
		must.Eq(t, settled == 2, ok)
		_, due := a.EraToSettle(testStart.Add(eraSettleTime))
		must.Eq(t, settled < 2, due)
	}
}

// A host of an earlier era sends a heartbeat to one of the new era, in which its record
// may name other witnesses that receive nothing from it and break its lease. It gets no promise,
// and votes across eras do not count.
func TestPromisesAndVotesCountWithinOneEra(t *testing.T) {
	hosts := newHosts(t, "a", "b")
	b := hosts["b"]
	b.Registered(1, []string{"a"}, testStart)
	must.True(t, promises(b, "a", registry.Position{}, testStart))
	b.BeginEra(1, testStart)
	b.RecordVerified()
	must.False(t, promises(b, "a", registry.Position{}, testStart))
	must.True(t, promises(b, "a", registry.Position{Era: 1}, testStart))
	late := testStart.Add(testTiming.breakTimeout() + time.Second)
	must.False(t, b.Vote("a", registry.Position{Revision: 1}, late))
	must.True(t, b.Vote("a", registry.Position{Era: 1, Revision: 1}, late))
}

// In the new era the store may have an older record with other witnesses. Until the record
// is checked, promises of the remembered witnesses do not extend the lease.
func TestPromisesCountOnceTheOwnRecordIsChecked(t *testing.T) {
	hosts := newHosts(t, "a", "b")
	a := hosts["a"]
	exchangeHeartbeats(hosts, testStart)
	a.BeginEra(1, testStart)
	a.PromiseReceived("b", testStart.Add(testTiming.Lease/2))
	_, ok := a.MayOrder(runnerAddress, testStart.Add(testTiming.Lease))
	must.False(t, ok)
	_, witnesses, unchecked := a.UnverifiedRecord()
	must.True(t, unchecked)
	must.Eq(t, []string{"b"}, witnesses)
}

// The store has lost that a lease was broken. The host must begin a new epoch all the
// same. A record with a broken earlier epoch must not end the current one.
func TestEpochsNeverDecrease(t *testing.T) {
	a := newHosts(t, "a", "b")["a"]
	now := testStart.Add(6 * time.Second)
	a.Apply([]registry.Change{change(t, hostRecordName("a"), HostRecord{Epoch: 1, Broken: true}, 100)}, now)
	must.Eq(t, 0, a.Epoch())
	a.BeginEra(1, now)
	must.Eq(t, 2, a.NextEpoch(HostRecord{Epoch: 1}, 50))
	a.Registered(2, nil, now)
	a.BeginEra(2, now)
	a.Apply([]registry.Change{change(t, hostRecordName("a"), HostRecord{Epoch: 1, Broken: true}, 40)}, now)
	must.Eq(t, 2, a.Epoch())
	must.Eq(t, 2, a.NextEpoch(HostRecord{Epoch: 1, Broken: true}, 50))
}

// The store has lost that a dead host's lease was broken. The lease is broken again at
// once. Another silent host must not be declared dead before all hosts have stopped acting
// on the earlier era.
func TestLeasesOfDeadHostsAreBrokenAgainInANewEra(t *testing.T) {
	b := newHosts(t, "a", "b", "c")["b"]
	now := testStart.Add(20 * time.Second)
	b.Registered(1, []string{"a", "c"}, now)
	b.Apply([]registry.Change{change(t, hostRecordName("a"), HostRecord{Epoch: 1, Broken: true, Witnesses: []string{"b"}}, 100)}, now)
	b.BeginEra(1, now)
	b.Apply([]registry.Change{change(t, hostRecordName("a"), HostRecord{Epoch: 1, Witnesses: []string{"b"}}, 1)}, now)
	b.AdvanceTo(registry.Position{Era: 1, Revision: 90})
	breakable := b.Breakable(now)
	must.Len(t, 1, breakable)
	must.Eq(t, "a", breakable[0].Host)
	must.Len(t, 2, b.Breakable(now.Add(eraSettleTime)))
}

// Hosts that joined in the seconds that the store lost are missing for a moment. Their
// runners must not be claimed before they are back.
func TestClaimsWaitInANewEra(t *testing.T) {
	a := newHosts(t, "a")["a"]
	now := testStart.Add(time.Minute)
	must.True(t, a.JoinsSettled(now, joinSettle))
	a.BeginEra(1, now)
	must.False(t, a.JoinsSettled(now, joinSettle))
}
