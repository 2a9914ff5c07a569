package mesh

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/cherrystage/cherrystage/internal/registry"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

var (
	epoch = time.Unix(1000, 0)
	usual = Timing{Lease: UsualLease, OrderGap: 3 * time.Second, Margin: UsualMargin}
)

const runnerAddress = "10.0.0.9:80"

// fataler is what tests and property tests have in common.
type fataler interface {
	Helper()
	Fatalf(format string, args ...any)
}

func hostChange(t fataler, host string, record HostRecord, revision uint64) registry.Change {
	return change(t, hostName(host), record, revision)
}

func change(t fataler, name string, spec any, revision uint64) registry.Change {
	t.Helper()
	raw, err := json.Marshal(spec)
	if err != nil {
		t.Fatalf("encode: %v", err)
	}
	return registry.Change{Record: registry.Record{Name: name, Revision: revision, Spec: raw}}
}

// newPair gives the states of two hosts that know each other; the first owns
// the runner.
func newPair(t fataler) (a, b *State) {
	changes := []registry.Change{
		hostChange(t, "a", HostRecord{Address: "a:1", Epoch: 1}, 1),
		hostChange(t, "b", HostRecord{Address: "b:1", Epoch: 1}, 2),
		change(t, ownerName(runnerAddress), OwnerRecord{Host: "a", Epoch: 1}, 3),
	}
	a, b = NewState("a", usual, epoch), NewState("b", usual, epoch)
	for _, s := range []*State{a, b} {
		s.Apply(changes, epoch)
		s.Registered(1, epoch)
	}
	return a, b
}

// The owner hears its only peer and the store is away for a minute. Promises
// alone keep it giving orders, so callers whose adapter is cold are served.
func TestPromisesReplaceTheStore(t *testing.T) {
	a, _ := newPair(t)
	for passed := time.Duration(0); passed < time.Minute; passed += 250 * time.Millisecond {
		now := epoch.Add(passed)
		a.Promised("b", now)
		token, ok := a.MayOrder(runnerAddress, now)
		must.True(t, ok)
		must.Eq(t, 3, token)
	}
}

// The owner is cut off from its peer and from the store. It must stop giving
// orders before the peer can take over, or two hosts load and unload adapters
// on one runner within the gap that the deployment sets.
func TestOwnerStopsBeforeTakeover(t *testing.T) {
	a, b := newPair(t)
	a.Promised("b", epoch)
	b.Heard("a", 0, epoch)
	var lastOrder, firstBreak time.Duration
	for passed := time.Duration(0); passed < 20*time.Second; passed += 10 * time.Millisecond {
		now := epoch.Add(passed)
		if _, ok := a.MayOrder(runnerAddress, now); ok {
			lastOrder = passed
		}
		if len(b.Breakable(now)) > 0 && firstBreak == 0 {
			firstBreak = passed
		}
	}
	must.Positive(t, firstBreak)
	must.GreaterEq(t, usual.OrderGap, firstBreak-lastOrder)
}

// A process that was suspended for ten seconds wakes up. Its lease is over by a
// clock that counted the suspension, so the order that it was about to give
// stays unsent.
func TestSuspendedOwnerDoesNotOrder(t *testing.T) {
	a, _ := newPair(t)
	a.Promised("b", epoch)
	_, ok := a.MayOrder(runnerAddress, epoch.Add(100*time.Millisecond))
	must.True(t, ok)
	_, ok = a.MayOrder(runnerAddress, epoch.Add(10*time.Second))
	must.False(t, ok)
}

// The owner restarts and finds its record unbroken: it goes on at once, since
// no other host has given orders meanwhile. Had it to wait out the gap, every
// restart would leave its runners without loads for seconds.
func TestRestartKeepsRunners(t *testing.T) {
	_, b := newPair(t)
	b.Apply([]registry.Change{hostChange(t, "a", HostRecord{Address: "a:1", Epoch: 1, Renewals: 1}, 9)}, epoch.Add(3*time.Second))
	must.SliceEmpty(t, b.Breakable(epoch.Add(6*time.Second)))
	host, ok := b.OwnerOf(runnerAddress)
	must.True(t, ok)
	must.Eq(t, "a", host)
}

// A peer cannot hear the owner, but a third host can and tells so. The owner is
// alive; its lease must not be broken.
func TestThirdHostsWordKeepsLease(t *testing.T) {
	_, b := newPair(t)
	for passed := time.Duration(0); passed < 30*time.Second; passed += time.Second {
		now := epoch.Add(passed)
		b.Heard("a", 200*time.Millisecond, now)
		must.SliceEmpty(t, b.Breakable(now))
	}
}

// After its lease was broken the owner finds its record so. It may not order
// under its old epoch, even if a promise comes in late.
func TestBrokenLeaseEndsOwnership(t *testing.T) {
	a, b := newPair(t)
	broken := []registry.Change{hostChange(t, "a", HostRecord{Address: "a:1", Epoch: 1, Broken: true}, 10)}
	now := epoch.Add(6 * time.Second)
	a.Apply(broken, now)
	b.Apply(broken, now)
	a.Promised("b", now)
	_, ok := a.MayOrder(runnerAddress, now)
	must.False(t, ok)
	claims := b.Claims([]string{runnerAddress}, now)
	must.Len(t, 1, claims)
	must.Eq(t, 3, claims[0].Revision)
}

// Hosts lose heartbeats, renewals and the store at random, and are suspended.
// Whatever happens, a takeover never comes within the gap after an order of the
// host before.
func TestNoTwoHostsWithinTheGap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := newPair(t)
		revision := uint64(10)
		renewals := int64(0)
		lastOrder := epoch
		cutFrom := rapid.IntRange(1, 100).Draw(t, "cut from")
		cutUntil := cutFrom + rapid.IntRange(0, 250).Draw(t, "cut for")
		for step := 1; step < 400; step++ {
			now := epoch.Add(time.Duration(step) * 50 * time.Millisecond)
			suspended := rapid.IntRange(0, 9).Draw(t, "a runs") == 0
			if !suspended {
				// A heartbeat may arrive while its answer is lost.
				cut := step >= cutFrom && step < cutUntil
				if !cut && rapid.IntRange(0, 3).Draw(t, "beat") == 0 {
					b.Heard("a", 0, now)
					if rapid.Bool().Draw(t, "answer") {
						a.Promised("b", now)
					}
				}
				if a.NeedsRenewal(now) && rapid.IntRange(0, 39).Draw(t, "store") == 39 {
					revision++
					renewals++
					a.Registered(1, now)
					b.Apply([]registry.Change{hostChange(t, "a", HostRecord{Epoch: 1, Renewals: renewals}, revision)}, now)
				}
				if _, ok := a.MayOrder(runnerAddress, now); ok {
					lastOrder = now
				}
			}
			if len(b.Breakable(now)) > 0 {
				if gap := now.Sub(lastOrder); gap < usual.OrderGap {
					t.Fatalf("takeover %s after an order", gap)
				}
				return
			}
		}
	})
}

// All hosts of a deployment start together and each knows the runners before
// it knows the others. The order in which they claim must not depend on who
// asks, or runners change hands at once.
func TestClaimsAgree(t *testing.T) {
	var changes []registry.Change
	for i := range 7 {
		changes = append(changes, hostChange(t, fmt.Sprintf("h%d", i), HostRecord{Epoch: 1}, uint64(i+1)))
	}
	claimed := map[string]int{}
	for i := range 7 {
		s := NewState(fmt.Sprintf("h%d", i), usual, epoch)
		s.Apply(changes, epoch)
		s.Registered(1, epoch)
		for j := range 7 {
			if i != j {
				s.Heard(fmt.Sprintf("h%d", j), 0, epoch)
			}
		}
		for _, claim := range s.Claims([]string{"r1:1", "r2:1", "r3:1", "r4:1"}, epoch) {
			claimed[claim.Address]++
		}
	}
	for _, count := range claimed {
		must.Eq(t, 1, count)
	}
	must.MapLen(t, 4, claimed)
}
