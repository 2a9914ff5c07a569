package mesh

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/cherrystage/cherrystage/internal/registry"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

var (
	epoch = time.Unix(1000, 0)
	usual = Timing{Lease: DefaultLease, OrderGap: 3 * time.Second, Margin: DefaultMargin}
)

const runnerAddress = "10.0.0.9:80"

// fataler is what tests and property tests have in common.
type fataler interface {
	Helper()
	Fatalf(format string, args ...any)
}

func change(t fataler, name string, spec any, revision uint64) registry.Change {
	t.Helper()
	raw, err := json.Marshal(spec)
	if err != nil {
		t.Fatalf("encode: %v", err)
	}
	return registry.Change{Record: registry.Record{Name: name, Revision: revision, Spec: raw}}
}

// newHosts gives the states of hosts that know each other, each with all others
// as witnesses, up to five. Host a owns the runner.
func newHosts(t fataler, names ...string) map[string]*State {
	t.Helper()
	var changes []registry.Change
	for i, name := range names {
		changes = append(changes, change(t, hostRecordName(name), HostRecord{Address: name + ":1", Epoch: 1, Witnesses: others(names, name)}, uint64(i+1)))
	}
	changes = append(changes, change(t, ownerRecordName(runnerAddress), OwnerRecord{Host: "a", Epoch: 1}, 90))
	hosts := map[string]*State{}
	for _, name := range names {
		s := NewState(name, usual, epoch)
		s.Apply(changes, epoch)
		s.Registered(1, others(names, name), epoch)
		hosts[name] = s
	}
	return hosts
}

func others(names []string, self string) []string {
	rest := slices.DeleteFunc(slices.Clone(names), func(name string) bool { return name == self })
	return rest[:min(len(rest), maxWitnesses)]
}

// beat plays a heartbeat and its answer.
func beat(from, to *State, now time.Time) {
	if to.ReceiveHeartbeat(from.self, 0, now) {
		from.PromiseReceived(to.self, now)
	}
}

// beatAll plays heartbeats among hosts.
func beatAll(hosts map[string]*State, now time.Time, except ...string) {
	for _, from := range hosts {
		for _, to := range hosts {
			if from != to && !slices.Contains(except, from.self) && !slices.Contains(except, to.self) {
				beat(from, to, now)
			}
		}
	}
}

// The store is away for a minute and one of six hosts is dead. The promises of
// a majority keep the others giving orders, so callers whose adapter is cold are
// served.
func TestPromisesReplaceTheStore(t *testing.T) {
	hosts := newHosts(t, "a", "b", "c", "d", "e", "f")
	for passed := time.Duration(0); passed < time.Minute; passed += heartbeatInterval {
		now := epoch.Add(passed)
		beatAll(hosts, now, "f")
		token, ok := hosts["a"].MayOrder(runnerAddress, now)
		must.True(t, ok, must.Sprintf("after %s", passed))
		must.Eq(t, 90, token)
	}
}

// The owner is cut off from its peers and from the store. It must stop giving
// orders before they can take over, or two hosts load and unload adapters on one
// runner within the gap that the deployment sets.
func TestOwnerStopsBeforeTakeover(t *testing.T) {
	hosts := newHosts(t, "a", "b", "c")
	beatAll(hosts, epoch)
	var lastOrder, firstBreak time.Duration
	for passed := 10 * time.Millisecond; passed < 20*time.Second; passed += 10 * time.Millisecond {
		now := epoch.Add(passed)
		beatAll(hosts, now, "a")
		if _, ok := hosts["a"].MayOrder(runnerAddress, now); ok {
			lastOrder = passed
		}
		if firstBreak == 0 && breaks(hosts, "b", now) {
			firstBreak = passed
		}
	}
	must.Positive(t, firstBreak)
	must.Less(t, 7*time.Second, firstBreak)
	must.GreaterEq(t, usual.OrderGap, firstBreak-lastOrder)
}

// breaks says whether a host gets the votes to end the lease of a.
func breaks(hosts map[string]*State, by string, now time.Time) bool {
	for _, b := range hosts[by].Breakable(now) {
		if b.Host != "a" {
			continue
		}
		votes := b.VotesNeeded
		for _, witness := range b.Witnesses {
			if hosts[witness.Host].Vote("a", registry.Position{Revision: b.Revision}, now) {
				votes--
			}
		}
		return votes <= 0
	}
	return false
}

// A process that was suspended for ten seconds wakes up. Its lease is over by a
// clock that counted the suspension, so the order that it was about to give
// stays unsent.
func TestSuspendedOwnerDoesNotOrder(t *testing.T) {
	hosts := newHosts(t, "a", "b")
	beatAll(hosts, epoch)
	_, ok := hosts["a"].MayOrder(runnerAddress, epoch.Add(100*time.Millisecond))
	must.True(t, ok)
	_, ok = hosts["a"].MayOrder(runnerAddress, epoch.Add(10*time.Second))
	must.False(t, ok)
}

// The owner restarts and its record is renewed: it goes on at once, since no
// other host has given orders meanwhile. Had it to wait out the gap, every
// restart would leave its runners without loads for seconds.
func TestRestartKeepsRunners(t *testing.T) {
	hosts := newHosts(t, "a", "b")
	b := hosts["b"]
	b.Apply([]registry.Change{change(t, hostRecordName("a"), HostRecord{Address: "a:1", Epoch: 1, Renewals: 1, Witnesses: []string{"b"}}, 99)}, epoch.Add(3*time.Second))
	must.SliceEmpty(t, b.Breakable(epoch.Add(6*time.Second)))
	host, ok := b.OwnerOf(runnerAddress)
	must.True(t, ok)
	must.Eq(t, "a", host)
}

// One witness cannot hear the owner, the others can. They do not vote for the
// end of its lease.
func TestMajorityKeepsLease(t *testing.T) {
	hosts := newHosts(t, "a", "b", "c", "d")
	for passed := time.Duration(0); passed < 30*time.Second; passed += heartbeatInterval {
		now := epoch.Add(passed)
		for _, to := range []string{"c", "d"} {
			beat(hosts["a"], hosts[to], now)
		}
		beatAll(hosts, now, "a")
		must.False(t, breaks(hosts, "b", now))
	}
}

// After its lease was broken the owner finds its record so. It may not order
// under its old epoch, even if a promise comes in late.
func TestBrokenLeaseEndsOwnership(t *testing.T) {
	hosts := newHosts(t, "a", "b")
	a, b := hosts["a"], hosts["b"]
	broken := []registry.Change{change(t, hostRecordName("a"), HostRecord{Address: "a:1", Epoch: 1, Broken: true}, 100)}
	now := epoch.Add(6 * time.Second)
	a.Apply(broken, now)
	b.Apply(broken, now)
	a.PromiseReceived("b", now)
	_, ok := a.MayOrder(runnerAddress, now)
	must.False(t, ok)
	claims := b.Claims([]Runner{{Address: runnerAddress}})
	must.Len(t, 1, claims)
	must.Eq(t, 90, claims[0].Revision)
}

// A witness has voted for the end of a lease and the vote failed. It must not
// promise again for the same record, or the next vote would count it on both
// sides; it does so once the record shows that the lease was kept.
func TestVoterDoesNotPromise(t *testing.T) {
	hosts := newHosts(t, "a", "b", "c")
	now := epoch.Add(usual.breakTimeout() + time.Second)
	b := hosts["b"]
	b.Registered(1, []string{"a", "c"}, now)
	must.True(t, b.Vote("a", registry.Position{Revision: 1}, now))
	must.False(t, b.ReceiveHeartbeat("a", 0, now))
	b.Apply([]registry.Change{change(t, hostRecordName("a"), HostRecord{Epoch: 1, Renewals: 1}, 95)}, now)
	must.True(t, b.ReceiveHeartbeat("a", 0, now))
}

// A host whose own lease is over promises nothing: its lease may have been
// broken without its knowledge, and a broken witness counts as one that agrees.
func TestExpiredWitnessDoesNotPromise(t *testing.T) {
	hosts := newHosts(t, "a", "b", "c")
	must.True(t, hosts["b"].ReceiveHeartbeat("a", 0, epoch.Add(time.Second)))
	must.False(t, hosts["b"].ReceiveHeartbeat("a", 0, epoch.Add(2*usual.Lease)))
}

// An owner and all its witnesses are gone for good. Another host ends their
// leases once they are broken or were silent, and claims the runner.
func TestAllWitnessesGone(t *testing.T) {
	now := epoch.Add(20 * time.Second)
	survivor := NewState("z", usual, epoch)
	survivor.Apply([]registry.Change{
		change(t, hostRecordName("a"), HostRecord{Epoch: 1, Witnesses: []string{"b", "c"}}, 1),
		change(t, hostRecordName("b"), HostRecord{Epoch: 1, Broken: true}, 2),
		change(t, hostRecordName("c"), HostRecord{Epoch: 1, Broken: true}, 3),
		change(t, hostRecordName("z"), HostRecord{Epoch: 1}, 4),
		change(t, ownerRecordName(runnerAddress), OwnerRecord{Host: "a", Epoch: 1}, 5),
	}, epoch)
	survivor.Registered(1, nil, now)
	must.SliceEmpty(t, survivor.Breakable(epoch.Add(2*time.Second)))
	found := survivor.Breakable(now)
	must.Len(t, 1, found)
	must.Eq(t, "a", found[0].Host)
	must.LessEq(t, 0, found[0].VotesNeeded)
}

// Hosts lose heartbeats, renewals and the store at random, and are suspended.
// Whatever happens, a takeover never comes within the gap after an order of the
// host before.
func TestNoTwoHostsWithinTheGap(t *testing.T) {
	taken := 0
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"a", "b", "c", "d"}[:rapid.IntRange(2, 4).Draw(t, "hosts")]
		hosts := newHosts(t, names...)
		revision := uint64(100)
		renewals := int64(0)
		lastOrder := epoch
		cutFrom := rapid.IntRange(1, 100).Draw(t, "cut from")
		// Short draws are the likely ones, and a takeover needs 94 steps of silence.
		cutUntil := cutFrom + rapid.SampledFrom([]int{0, 60, 90, 120, 200, 300}).Draw(t, "cut for")
		storeAway := rapid.Bool().Draw(t, "the store is away during the cut")
		cutOff := map[string]bool{}
		for _, name := range names[1:] {
			cutOff[name] = rapid.SampledFrom([]bool{true, true, true, false}).Draw(t, "a is cut off from "+name)
		}
		a := hosts["a"]
		for step := 1; step < 400; step++ {
			now := epoch.Add(time.Duration(step) * 50 * time.Millisecond)
			for _, name := range names[1:] {
				hosts[name].Registered(1, nil, now)
			}
			if rapid.IntRange(0, 9).Draw(t, "a runs") != 0 || step == 1 {
				cut := step >= cutFrom && step < cutUntil
				for _, name := range names[1:] {
					if (cut && cutOff[name]) || rapid.IntRange(0, 3).Draw(t, "beat") != 0 {
						continue
					}
					// A heartbeat may arrive while its answer is lost.
					if hosts[name].ReceiveHeartbeat("a", 0, now) && rapid.Bool().Draw(t, "answer") {
						a.PromiseReceived(name, now)
					}
				}
				if a.NeedsRenewal(now) && !(cut && storeAway) && rapid.IntRange(0, 39).Draw(t, "store") == 39 {
					revision++
					renewals++
					a.Registered(1, others(names, "a"), now)
					renewed := change(t, hostRecordName("a"), HostRecord{Epoch: 1, Renewals: renewals, Witnesses: others(names, "a")}, revision)
					for _, name := range names[1:] {
						hosts[name].Apply([]registry.Change{renewed}, now)
					}
				}
				if _, ok := a.MayOrder(runnerAddress, now); ok {
					lastOrder = now
				}
			}
			for _, name := range names[1:] {
				if !breaks(hosts, name, now) {
					continue
				}
				taken++
				if gap := now.Sub(lastOrder); gap < usual.OrderGap {
					t.Fatalf("takeover %s after an order", gap)
				}
				return
			}
		}
	})
	t.Logf("%d of 100 runs came to a takeover", taken)
	must.Positive(t, taken, must.Sprint("no run came to a takeover"))
}

// The store comes back without a host's newest record: it tells of an earlier epoch than the
// host's own. A claim under the own one counts for nobody; written, it would be written again
// at once, without an end.
func TestNoClaimUnderAnEpochThatTheStoreDoesNotKnow(t *testing.T) {
	a := newHosts(t, "a")["a"]
	runners := []Runner{{Address: "10.0.0.10:80"}}
	must.Len(t, 1, a.Claims(runners))
	a.Registered(2, nil, epoch)
	must.SliceEmpty(t, a.Claims(runners))
}

// All hosts of a deployment start together and each knows the runners before
// it knows the others. The order in which they claim must not depend on who
// asks, or runners change hands at once.
func TestClaimsAgree(t *testing.T) {
	var changes []registry.Change
	for i := range 7 {
		changes = append(changes, change(t, hostRecordName(fmt.Sprintf("h%d", i)), HostRecord{Epoch: 1}, uint64(i+1)))
	}
	claimed := map[string]int{}
	for i := range 7 {
		s := NewState(fmt.Sprintf("h%d", i), usual, epoch)
		s.Apply(changes, epoch)
		s.Registered(1, nil, epoch)
		for _, claim := range s.Claims([]Runner{{Address: "r1:1"}, {Address: "r2:1"}, {Address: "r3:1"}, {Address: "r4:1"}}) {
			claimed[claim.Address]++
		}
	}
	for _, count := range claimed {
		must.Eq(t, 1, count)
	}
	must.MapLen(t, 4, claimed)
}

// A runner's owner is a host of its own data centre as long as one is in force.
func TestOwnerIsNear(t *testing.T) {
	s := NewState("a", usual, epoch)
	hosts := []registry.Change{
		change(t, hostRecordName("a"), HostRecord{Epoch: 1, DataCentre: "here"}, 1),
		change(t, hostRecordName("b"), HostRecord{Epoch: 1, DataCentre: "there"}, 2),
	}
	s.Apply(hosts, epoch)
	s.Registered(1, nil, epoch)
	runners := []Runner{{Address: "r1:1", DataCentre: "here"}, {Address: "r2:1", DataCentre: "there"}}
	claims := s.Claims(runners)
	must.Len(t, 1, claims)
	must.Eq(t, "r1:1", claims[0].Address)
	s.Apply([]registry.Change{change(t, hostRecordName("b"), HostRecord{Epoch: 1, DataCentre: "there", Broken: true}, 3)}, epoch)
	must.Len(t, 2, s.Claims(runners))
}

// Of four hundred hosts two watch each kind of record; the others cost the
// store nothing while they hear from them.
func TestFewHostsWatch(t *testing.T) {
	var changes []registry.Change
	for i := range 400 {
		changes = append(changes, change(t, hostRecordName(fmt.Sprintf("h%d", i)), HostRecord{Epoch: 1}, uint64(i+1)))
	}
	count := 0
	for i := range 400 {
		s := NewState(fmt.Sprintf("h%d", i), usual, epoch)
		s.Apply(changes, epoch)
		if s.IsWatcher("config") {
			count++
		}
	}
	must.Eq(t, watchersPerKind, count)
}

// The witnesses of a host: those that answer stay, silent ones make way once
// there are others, and the choice changes no more often than the store allows.
func TestChooseWitnesses(t *testing.T) {
	s := NewState("a", usual, epoch)
	for i := range 9 {
		s.Apply([]registry.Change{change(t, hostRecordName(fmt.Sprintf("h%d", i)), HostRecord{Epoch: 1}, uint64(i+1))}, epoch)
	}
	chosen, others := s.ChooseWitnesses(epoch)
	must.True(t, others)
	must.Len(t, maxWitnesses, chosen)
	s.Registered(1, chosen, epoch)
	now := epoch.Add(10 * time.Second)
	for _, host := range chosen[1:] {
		s.PromiseReceived(host, now)
	}
	next, others := s.ChooseWitnesses(now)
	must.True(t, others)
	must.SliceNotContains(t, next, chosen[0])
	must.SliceContainsSubset(t, next, chosen[1:])
	s.Registered(1, next, now)
	_, others = s.ChooseWitnesses(now.Add(minRechooseInterval / 2))
	must.False(t, others)
}

// A data centre is lost with all its hosts, and the store's word on each of them may
// only be changed by a majority of its witnesses. No host has a majority of them in
// its own data centre, so the others can end the leases and callers elsewhere get its
// runners back. Of the five, two are near: their heartbeats cross no data centre.
func TestWitnessesOfADataCentreThatIsLost(t *testing.T) {
	var changes []registry.Change
	for i := range 60 {
		record := HostRecord{Epoch: 1, DataCentre: fmt.Sprintf("hall-%d", i%5)}
		changes = append(changes, change(t, hostRecordName(fmt.Sprintf("h%02d", i)), record, uint64(i+1)))
	}
	for i := range 60 {
		s := NewState(fmt.Sprintf("h%02d", i), usual, epoch)
		s.Apply(changes, epoch)
		s.Registered(1, nil, epoch)
		witnesses, _ := s.ChooseWitnesses(epoch)
		must.Len(t, maxWitnesses, witnesses)
		near := 0
		for _, witness := range witnesses {
			if s.members[witness].DataCentre == s.members[s.self].DataCentre {
				near++
			}
		}
		must.Eq(t, nearWitnesses, near)
	}
}

// Two data centres of three hosts each. Where too few hosts lie elsewhere, those near
// fill up the witnesses: a lease without witnesses would hang on the store.
func TestWitnessesOfASmallFleet(t *testing.T) {
	var changes []registry.Change
	for i := range 6 {
		record := HostRecord{Epoch: 1, DataCentre: fmt.Sprintf("hall-%d", i/5)}
		changes = append(changes, change(t, hostRecordName(fmt.Sprintf("h%d", i)), record, uint64(i+1)))
	}
	s := NewState("h0", usual, epoch)
	s.Apply(changes, epoch)
	s.Registered(1, nil, epoch)
	witnesses, _ := s.ChooseWitnesses(epoch)
	must.Eq(t, []string{"h1", "h2", "h3", "h4", "h5"}, witnesses)
}
