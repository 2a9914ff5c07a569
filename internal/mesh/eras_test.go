package mesh

import (
	"testing"
	"time"

	"github.com/cherrystage/cherrystage/internal/registry"
	"github.com/shoenig/test/must"
)

// settles is how long after a new era began all have stopped that act by an earlier one.
var settles = usual.breakTimeout() + eraPropagation

// The store gives revisions out again: a claim of the new era has a lower one than that of the
// era before. Its token is higher all the same.
func TestTokensRiseWithTheEra(t *testing.T) {
	must.Eq(t, 7, fencingToken(0, 7))
	must.Greater(t, fencingToken(0, 90), fencingToken(1, 7))
	must.Greater(t, fencingToken(1, 1<<revisionBits-1), fencingToken(2, 1))
	must.Less(t, 1<<53, fencingToken(1<<13-1, 1<<revisionBits-1))
}

// The owner of a runner kept its lease while the store came back from a copy. It goes on at
// once: callers of adapters that have to be loaded wait for nothing.
func TestOwnerGoesOnInANewEra(t *testing.T) {
	hosts := newHosts(t, "a", "b")
	a := hosts["a"]
	beatAll(hosts, epoch)
	before, ok := a.MayOrder(runnerAddress, epoch)
	must.True(t, ok)
	a.BeginEra(1, epoch.Add(time.Second))
	a.RecordVerified()
	after, ok := a.MayOrder(runnerAddress, epoch.Add(time.Second))
	must.True(t, ok)
	must.Greater(t, before, after)
}

// The owner's lease was over when the store came back from a copy, or is over for a moment after
// it. Another host may have taken the runner over, and the store has lost that. The owner waits
// until that one has stopped.
func TestOwnerWithoutALeaseWaitsInANewEra(t *testing.T) {
	for name, begins := range map[string]time.Duration{"over before": 2 * usual.Lease, "over after": usual.Lease / 2} {
		t.Run(name, func(t *testing.T) {
			hosts := newHosts(t, "a", "b")
			a := hosts["a"]
			beatAll(hosts, epoch)
			a.BeginEra(1, epoch.Add(begins))
			a.RecordVerified()
			again := epoch.Add(3 * usual.Lease)
			a.PromiseReceived("b", again)
			_, ok := a.MayOrder(runnerAddress, again)
			must.False(t, ok)
			settled := epoch.Add(begins + settles)
			a.PromiseReceived("b", settled)
			_, ok = a.MayOrder(runnerAddress, settled)
			must.True(t, ok)
		})
	}
}

// A process starts after a drill and finds that it owns a runner. It cannot know whether another
// host acts by what the store has lost, and waits, unless the store says that the era is
// settled.
func TestProcessThatStartsWaitsUnlessTheEraIsSettled(t *testing.T) {
	for _, settled := range []registry.Era{0, 1, 2} {
		a := NewState("a", usual, epoch)
		a.BeginEra(2, epoch)
		a.Apply([]registry.Change{
			change(t, hostRecordName("a"), HostRecord{Epoch: 1}, 1),
			change(t, ownerRecordName(runnerAddress), OwnerRecord{Host: "a", Epoch: 1}, 2),
			change(t, eraRecordName, EraRecord{Settled: settled}, 3),
		}, epoch)
		a.Registered(1, nil, epoch)
		_, ok := a.MayOrder(runnerAddress, epoch)
		must.Eq(t, settled == 2, ok)
		_, due := a.EraToSettle(epoch.Add(settles))
		must.Eq(t, settled < 2, due)
	}
}

// A host of the earlier era hears one of the new one. There its record may name other witnesses,
// who do not hear it and break its lease: it gets no promise and no vote counts.
func TestPromisesAndVotesCountWithinOneEra(t *testing.T) {
	hosts := newHosts(t, "a", "b")
	b := hosts["b"]
	b.Registered(1, []string{"a"}, epoch)
	must.True(t, b.ReceiveHeartbeat("a", 0, epoch))
	b.BeginEra(1, epoch)
	b.RecordVerified()
	must.False(t, b.ReceiveHeartbeat("a", 0, epoch))
	must.True(t, b.ReceiveHeartbeat("a", 1, epoch))
	late := epoch.Add(usual.breakTimeout() + time.Second)
	must.False(t, b.Vote("a", registry.Position{Revision: 1}, late))
	must.True(t, b.Vote("a", registry.Position{Era: 1, Revision: 1}, late))
}

// The record that names a host's witnesses may be an older one in the new era. Until it has been
// looked at, promises of the witnesses that the host remembers keep no lease.
func TestPromisesCountOnceTheOwnRecordIsChecked(t *testing.T) {
	hosts := newHosts(t, "a", "b")
	a := hosts["a"]
	beatAll(hosts, epoch)
	a.BeginEra(1, epoch)
	a.PromiseReceived("b", epoch.Add(usual.Lease/2))
	_, ok := a.MayOrder(runnerAddress, epoch.Add(usual.Lease))
	must.False(t, ok)
	_, witnesses, unchecked := a.UnverifiedRecord()
	must.True(t, unchecked)
	must.Eq(t, []string{"b"}, witnesses)
}

// A lease was broken, and the store has lost that. Its epoch is over all the same: the host
// begins another one. A record that tells of the end of an earlier epoch ends nothing.
func TestEpochsOnlyGrow(t *testing.T) {
	a := newHosts(t, "a", "b")["a"]
	now := epoch.Add(6 * time.Second)
	a.Apply([]registry.Change{change(t, hostRecordName("a"), HostRecord{Epoch: 1, Broken: true}, 100)}, now)
	must.Eq(t, 0, a.Epoch())
	a.BeginEra(1, now)
	must.Eq(t, 2, a.NextEpoch(HostRecord{Epoch: 1}))
	a.Registered(2, nil, now)
	a.BeginEra(2, now)
	a.Apply([]registry.Change{change(t, hostRecordName("a"), HostRecord{Epoch: 1, Broken: true}, 40)}, now)
	must.Eq(t, 2, a.Epoch())
	must.Eq(t, 2, a.NextEpoch(HostRecord{Epoch: 1, Broken: true}))
}

// A host is dead and was declared so; the store has lost that. It is declared so again at once.
// Of another host that is silent nobody says so before all that act by the earlier era have
// stopped.
func TestKnownDeadAreBrokenAgainAtOnce(t *testing.T) {
	b := newHosts(t, "a", "b", "c")["b"]
	now := epoch.Add(20 * time.Second)
	b.Registered(1, []string{"a", "c"}, now)
	b.Apply([]registry.Change{change(t, hostRecordName("a"), HostRecord{Epoch: 1, Broken: true, Witnesses: []string{"b"}}, 100)}, now)
	b.BeginEra(1, now)
	b.Apply([]registry.Change{change(t, hostRecordName("a"), HostRecord{Epoch: 1, Witnesses: []string{"b"}}, 1)}, now)
	breakable := b.Breakable(now)
	must.Len(t, 1, breakable)
	must.Eq(t, "a", breakable[0].Host)
	must.Len(t, 2, b.Breakable(now.Add(settles)))
}

// Hosts that joined in the seconds that the store lost are missing for a moment. Nobody claims
// their runners before they are back.
func TestClaimsWaitInANewEra(t *testing.T) {
	a := newHosts(t, "a")["a"]
	now := epoch.Add(time.Minute)
	must.True(t, a.JoinsSettled(now, joinSettle))
	a.BeginEra(1, now)
	must.False(t, a.JoinsSettled(now, joinSettle))
}
