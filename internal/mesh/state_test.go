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
	testStart  = time.Unix(1000, 0)
	testTiming = Timing{Lease: DefaultLease, OrderGap: 3 * time.Second, Margin: DefaultMargin, MaxStoreSilence: DefaultMaxStoreSilence}
)

const runnerAddress = "10.0.0.9:80"

// testingT is the common part of *testing.T, *testing.B and *rapid.T.
type testingT interface {
	Helper()
	Fatalf(format string, args ...any)
}

func change(t testingT, name string, spec any, revision uint64) registry.Change {
	t.Helper()
	raw, err := json.Marshal(spec)
	if err != nil {
		t.Fatalf("encode: %v", err)
	}
	return registry.Change{Record: registry.Record{Name: name, Revision: revision, Spec: raw}}
}

// newHosts returns the states of hosts that know each other. Each has up to five of the
// others as witnesses. Host a owns the runner.
func newHosts(t testingT, names ...string) map[string]*State {
	t.Helper()
	var changes []registry.Change
	for i, name := range names {
		changes = append(changes, change(t, hostRecordName(name), HostRecord{Address: name + ":1", Epoch: 1, Witnesses: others(names, name)}, uint64(i+1)))
	}
	changes = append(changes, change(t, ownerRecordName(runnerAddress), OwnerRecord{Host: "a", Epoch: 1}, 90))
	hosts := map[string]*State{}
	for _, name := range names {
		s := NewState(name, testTiming, testStart)
		s.Apply(changes, testStart)
		s.AdvanceTo(registry.Position{Revision: 90})
		s.Registered(1, others(names, name), testStart)
		hosts[name] = s
	}
	return hosts
}

func others(names []string, self string) []string {
	rest := slices.DeleteFunc(slices.Clone(names), func(name string) bool { return name == self })
	return rest[:min(len(rest), maxWitnesses)]
}

// promises reports whether a host answers a peer's heartbeat with a promise.
func promises(s *State, host string, at registry.Position, now time.Time) bool {
	return s.ReceiveHeartbeat(host, at, now).Promised
}

// exchangeHeartbeat delivers a heartbeat and its answer.
func exchangeHeartbeat(from, to *State, now time.Time) {
	answer := to.ReceiveHeartbeat(from.self, registry.Position{}, now)
	if answer.Promised {
		from.PromiseReceived(to.self, now)
	}
	if answer.Presumed {
		from.PresumedReceived(to.self, now)
	}
}

// exchangeHeartbeats delivers heartbeats between all hosts.
func exchangeHeartbeats(hosts map[string]*State, now time.Time, except ...string) {
	for _, from := range hosts {
		for _, to := range hosts {
			if from != to && !slices.Contains(except, from.self) && !slices.Contains(except, to.self) {
				exchangeHeartbeat(from, to, now)
			}
		}
	}
}

// The store is down and one of six hosts is dead. With the promises of a majority the others go on
// giving orders for as long as they may without news from the store, so that requests for adapters
// that are not loaded are served, and then still decide on requests for what runners hold.
func TestPromisesKeepLeasesWhileStoreIsDown(t *testing.T) {
	hosts := newHosts(t, "a", "b", "c", "d", "e", "f")
	for passed := time.Duration(0); passed < time.Minute; passed += heartbeatInterval {
		now := testStart.Add(passed)
		exchangeHeartbeats(hosts, now, "f")
		token, ok := hosts["a"].MayOrder(runnerAddress, now)
		must.Eq(t, passed < testTiming.MaxStoreSilence-testTiming.Margin, ok, must.Sprintf("after %s", passed))
		must.Eq(t, 90, token)
		must.True(t, hosts["a"].Owns(runnerAddress, now), must.Sprintf("after %s", passed))
		_, leads := hosts["a"].Leads("key-of-"+"a", now)
		must.Eq(t, hosts["a"].currentMembership().leaderFor("key-of-a") == "a", leads)
	}
	back := testStart.Add(time.Minute)
	for _, host := range hosts {
		host.StoreSeen(back)
	}
	must.True(t, hosts["a"].NeedsRenewal(back), must.Sprint("no witness can promise before it has renewed its own lease"))
	hosts["a"].Registered(1, others([]string{"a", "b", "c", "d", "e", "f"}, "a"), back)
	_, ok := hosts["a"].MayOrder(runnerAddress, back)
	must.True(t, ok)
}

// The owner is cut off from its peers and the store. It must stop giving orders before a
// peer can take over, or two hosts load and unload adapters on one runner within the order
// gap.
func TestOwnerStopsBeforeTakeover(t *testing.T) {
	hosts := newHosts(t, "a", "b", "c")
	exchangeHeartbeats(hosts, testStart)
	var lastOrder, firstBreak time.Duration
	for passed := 10 * time.Millisecond; passed < 20*time.Second; passed += 10 * time.Millisecond {
		now := testStart.Add(passed)
		exchangeHeartbeats(hosts, now, "a")
		if _, ok := hosts["a"].MayOrder(runnerAddress, now); ok {
			lastOrder = passed
		}
		if firstBreak == 0 && breaks(hosts, "b", now) {
			firstBreak = passed
		}
	}
	must.Positive(t, firstBreak)
	must.Less(t, 7*time.Second, firstBreak)
	must.GreaterEq(t, testTiming.OrderGap, firstBreak-lastOrder)
}

// breaks reports whether a host gets the votes to break the lease of host a.
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

// A process resumes after a suspension of ten seconds. Its lease has expired by a clock
// that includes the suspension, so it must not send the order that it was about to give.
func TestSuspendedOwnerDoesNotOrder(t *testing.T) {
	hosts := newHosts(t, "a", "b")
	exchangeHeartbeats(hosts, testStart)
	_, ok := hosts["a"].MayOrder(runnerAddress, testStart.Add(100*time.Millisecond))
	must.True(t, ok)
	_, ok = hosts["a"].MayOrder(runnerAddress, testStart.Add(10*time.Second))
	must.False(t, ok)
}

// The owner restarts and renews its record. It continues at once, since no other host has
// given orders meanwhile. If it had to wait for the gap, each restart would leave its
// runners without loads for seconds.
func TestRestartKeepsRunners(t *testing.T) {
	hosts := newHosts(t, "a", "b")
	b := hosts["b"]
	b.Apply([]registry.Change{change(t, hostRecordName("a"), HostRecord{Address: "a:1", Epoch: 1, Renewals: 1, Witnesses: []string{"b"}}, 99)}, testStart.Add(3*time.Second))
	must.SliceEmpty(t, b.Breakable(testStart.Add(6*time.Second)))
	host, ok := b.OwnerOf(runnerAddress)
	must.True(t, ok)
	must.Eq(t, "a", host)
}

// One witness receives no heartbeats of the owner and the others do. They must not
// vote to break its lease.
func TestMajorityKeepsLease(t *testing.T) {
	hosts := newHosts(t, "a", "b", "c", "d")
	for passed := time.Duration(0); passed < 30*time.Second; passed += heartbeatInterval {
		now := testStart.Add(passed)
		for _, to := range []string{"c", "d"} {
			exchangeHeartbeat(hosts["a"], hosts[to], now)
		}
		exchangeHeartbeats(hosts, now, "a")
		must.False(t, breaks(hosts, "b", now))
	}
}

// The owner finds its lease broken. It must not give orders under the old epoch, even if a
// promise arrives late.
func TestBrokenLeaseEndsOwnership(t *testing.T) {
	hosts := newHosts(t, "a", "b")
	a, b := hosts["a"], hosts["b"]
	broken := []registry.Change{change(t, hostRecordName("a"), HostRecord{Address: "a:1", Epoch: 1, Broken: true}, 100)}
	now := testStart.Add(6 * time.Second)
	a.Apply(broken, now)
	b.Apply(broken, now)
	b.Registered(1, []string{"a"}, now)
	a.PromiseReceived("b", now)
	_, ok := a.MayOrder(runnerAddress, now)
	must.False(t, ok)
	claims := b.Claims([]Runner{{Address: runnerAddress}}, now)
	must.Len(t, 1, claims)
	must.Eq(t, 90, claims[0].Revision)
}

// A witness voted to break a lease and the vote failed. It must not promise again for the
// same record, or the next vote would count it on both sides. It promises again once the
// record shows that the lease was kept.
func TestVoterDoesNotPromise(t *testing.T) {
	hosts := newHosts(t, "a", "b", "c")
	now := testStart.Add(testTiming.breakTimeout() + time.Second)
	b := hosts["b"]
	b.Registered(1, []string{"a", "c"}, now)
	must.True(t, b.Vote("a", registry.Position{Revision: 1}, now))
	must.False(t, promises(b, "a", registry.Position{}, now))
	b.Apply([]registry.Change{change(t, hostRecordName("a"), HostRecord{Epoch: 1, Renewals: 1}, 95)}, now)
	must.True(t, promises(b, "a", registry.Position{}, now))
}

// A host whose own lease has expired must not promise: its lease may have been broken
// without its knowledge, and a broken witness counts as a vote to break.
func TestExpiredWitnessDoesNotPromise(t *testing.T) {
	hosts := newHosts(t, "a", "b", "c")
	must.True(t, promises(hosts["b"], "a", registry.Position{}, testStart.Add(time.Second)))
	must.False(t, promises(hosts["b"], "a", registry.Position{}, testStart.Add(2*testTiming.Lease)))
}

// An owner and all its witnesses are gone for good. Another host breaks its lease once
// theirs are broken or were silent for long enough, and claims the runner.
func TestLeaseIsBrokenWhenAllWitnessesAreDead(t *testing.T) {
	now := testStart.Add(20 * time.Second)
	survivor := NewState("z", testTiming, testStart)
	survivor.Apply([]registry.Change{
		change(t, hostRecordName("a"), HostRecord{Epoch: 1, Witnesses: []string{"b", "c"}}, 1),
		change(t, hostRecordName("b"), HostRecord{Epoch: 1, Broken: true}, 2),
		change(t, hostRecordName("c"), HostRecord{Epoch: 1, Broken: true}, 3),
		change(t, hostRecordName("z"), HostRecord{Epoch: 1}, 4),
		change(t, ownerRecordName(runnerAddress), OwnerRecord{Host: "a", Epoch: 1}, 5),
	}, testStart)
	survivor.AdvanceTo(registry.Position{Revision: 5})
	survivor.Registered(1, nil, now)
	must.SliceEmpty(t, survivor.Breakable(testStart.Add(2*time.Second)))
	found := survivor.Breakable(now)
	must.Len(t, 1, found)
	must.Eq(t, "a", found[0].Host)
	must.LessEq(t, 0, found[0].VotesNeeded)
}

// Hosts lose heartbeats, renewals and the store at random, and are suspended. A takeover
// must never come within the gap after an order of the previous owner.
func TestTakeoverNeverComesWithinTheOrderGap(t *testing.T) {
	taken := 0
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"a", "b", "c", "d"}[:rapid.IntRange(2, 4).Draw(t, "hosts")]
		hosts := newHosts(t, names...)
		revision := uint64(100)
		renewals := int64(0)
		lastOrder := testStart
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
			now := testStart.Add(time.Duration(step) * 50 * time.Millisecond)
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
					if promises(hosts[name], "a", registry.Position{}, now) && rapid.Bool().Draw(t, "answer") {
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
				if gap := now.Sub(lastOrder); gap < testTiming.OrderGap {
					t.Fatalf("takeover %s after an order", gap)
				}
				return
			}
		}
	})
	t.Logf("%d of 100 runs came to a takeover", taken)
	must.Positive(t, taken, must.Sprint("no run came to a takeover"))
}

// The store comes back without a host's latest record and has one of an earlier epoch. No
// host accepts a claim under the host's own epoch, and if written, it would be written
// again and again.
func TestNoClaimUnderAnEpochThatTheStoreDoesNotKnow(t *testing.T) {
	a := newHosts(t, "a")["a"]
	runners := []Runner{{Address: "10.0.0.10:80"}}
	must.Len(t, 1, a.Claims(runners, testStart))
	a.Registered(2, nil, testStart)
	must.SliceEmpty(t, a.Claims(runners, testStart))
}

// All hosts of a deployment start together, and each knows the runners before it knows the
// other hosts. The ranking for claims must not depend on the host that computes it, or
// runners change owners at once.
func TestClaimRankingIsTheSameOnAllHosts(t *testing.T) {
	var changes []registry.Change
	for i := range 7 {
		changes = append(changes, change(t, hostRecordName(fmt.Sprintf("h%d", i)), HostRecord{Epoch: 1}, uint64(i+1)))
	}
	claimed := map[string]int{}
	for i := range 7 {
		s := NewState(fmt.Sprintf("h%d", i), testTiming, testStart)
		s.Apply(changes, testStart)
		s.Registered(1, nil, testStart)
		for _, claim := range s.Claims([]Runner{{Address: "r1:1"}, {Address: "r2:1"}, {Address: "r3:1"}, {Address: "r4:1"}}, testStart) {
			claimed[claim.Address]++
		}
	}
	for _, count := range claimed {
		must.Eq(t, 1, count)
	}
	must.MapLen(t, 4, claimed)
}

// A runner's owner is a host in its data centre as long as one is live.
func TestOwnerIsInTheRunnersDataCentre(t *testing.T) {
	s := NewState("a", testTiming, testStart)
	hosts := []registry.Change{
		change(t, hostRecordName("a"), HostRecord{Epoch: 1, DataCentre: "here"}, 1),
		change(t, hostRecordName("b"), HostRecord{Epoch: 1, DataCentre: "there"}, 2),
	}
	s.Apply(hosts, testStart)
	s.Registered(1, nil, testStart)
	runners := []Runner{{Address: "r1:1", DataCentre: "here"}, {Address: "r2:1", DataCentre: "there"}}
	claims := s.Claims(runners, testStart)
	must.Len(t, 1, claims)
	must.Eq(t, "r1:1", claims[0].Address)
	s.Apply([]registry.Change{change(t, hostRecordName("b"), HostRecord{Epoch: 1, DataCentre: "there", Broken: true}, 3)}, testStart)
	must.Len(t, 2, s.Claims(runners, testStart))
}

// In a fleet of four hundred hosts two watch each kind of record. The others cost the
// store nothing while they are in contact.
func TestTwoHostsWatchEachKindOfRecord(t *testing.T) {
	var changes []registry.Change
	for i := range 400 {
		changes = append(changes, change(t, hostRecordName(fmt.Sprintf("h%d", i)), HostRecord{Epoch: 1}, uint64(i+1)))
	}
	count := 0
	for i := range 400 {
		s := NewState(fmt.Sprintf("h%d", i), testTiming, testStart)
		s.Apply(changes, testStart)
		if s.IsWatcher("config") {
			count++
		}
	}
	must.Eq(t, watchersPerKind, count)
}

// Witnesses that answer stay, and silent ones are replaced if there are others. The choice
// changes no more often than the limit on store writes allows.
func TestOnlySilentWitnessesAreReplaced(t *testing.T) {
	s := NewState("a", testTiming, testStart)
	for i := range 9 {
		s.Apply([]registry.Change{change(t, hostRecordName(fmt.Sprintf("h%d", i)), HostRecord{Epoch: 1}, uint64(i+1))}, testStart)
	}
	chosen, changed := s.ChooseWitnesses(testStart)
	must.True(t, changed)
	must.Len(t, maxWitnesses, chosen)
	s.Registered(1, chosen, testStart)
	now := testStart.Add(10 * time.Second)
	for _, host := range chosen[1:] {
		s.PromiseReceived(host, now)
	}
	next, changed := s.ChooseWitnesses(now)
	must.True(t, changed)
	must.SliceNotContains(t, next, chosen[0])
	must.SliceContainsSubset(t, next, chosen[1:])
	s.Registered(1, next, now)
	_, changed = s.ChooseWitnesses(now.Add(minRechooseInterval / 2))
	must.False(t, changed)
}

// A whole data centre is lost. Its hosts' leases can only be broken by a majority of their
// witnesses, so no host may have a majority of them in its own data centre. Of the five,
// two are near, since their heartbeats do not cross data centres.
func TestWitnessesOfADataCentreThatIsLost(t *testing.T) {
	var changes []registry.Change
	for i := range 60 {
		record := HostRecord{Epoch: 1, DataCentre: fmt.Sprintf("hall-%d", i%5)}
		changes = append(changes, change(t, hostRecordName(fmt.Sprintf("h%02d", i)), record, uint64(i+1)))
	}
	for i := range 60 {
		s := NewState(fmt.Sprintf("h%02d", i), testTiming, testStart)
		s.Apply(changes, testStart)
		s.Registered(1, nil, testStart)
		witnesses, _ := s.ChooseWitnesses(testStart)
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

// A data centre of five hosts and one of a single host. With too few hosts elsewhere, near
// hosts must fill up the witnesses: a lease without witnesses would depend on the store.
func TestWitnessesOfASmallFleet(t *testing.T) {
	var changes []registry.Change
	for i := range 6 {
		record := HostRecord{Epoch: 1, DataCentre: fmt.Sprintf("hall-%d", i/5)}
		changes = append(changes, change(t, hostRecordName(fmt.Sprintf("h%d", i)), record, uint64(i+1)))
	}
	s := NewState("h0", testTiming, testStart)
	s.Apply(changes, testStart)
	s.Registered(1, nil, testStart)
	witnesses, _ := s.ChooseWitnesses(testStart)
	must.Eq(t, []string{"h1", "h2", "h3", "h4", "h5"}, witnesses)
}
