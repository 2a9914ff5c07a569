package mesh

import (
	"testing"
	"time"

	"github.com/cherrystage/cherrystage/internal/registry"
	"github.com/cherrystage/cherrystage/internal/standstill"
	"github.com/shoenig/test/must"
)

// shortGap is the timing of a deployment with an order gap of one second: a lease is broken after 2.7 s.
var shortGap = Timing{Lease: DefaultLease, OrderGap: time.Second, Margin: DefaultMargin}

// suspendedWitness returns host b, a witness of host a, that heard the others a moment
// ago and then was suspended for a time.
func suspendedWitness(t *testing.T, length time.Duration, monitor *standstill.Monitor) (b *State, woken time.Time) {
	t.Helper()
	names := []string{"a", "b", "c"}
	b = newHosts(t, names...)["b"]
	b.timing, b.Standstill = shortGap, monitor
	now := testStart
	for ; now.Before(testStart.Add(10 * time.Second)); now = now.Add(standstill.Interval) {
		monitor.Tick(now)
		b.Registered(1, others(names, "b"), now)
		b.ReceiveHeartbeat("a", registry.Position{}, now)
		b.ReceiveHeartbeat("c", registry.Position{}, now)
	}
	return b, now.Add(length)
}

// A witness is suspended, and so are others of its machine. Heartbeats of the host that it watches lie
// in its sockets when it wakes. If it agreed to break that host's lease, it would promise nothing
// until a newer record of the host is in the store: without the store, the host would lose its lease,
// and its runners would get no orders.
func TestStandstillIsNoSilenceOfAPeer(t *testing.T) {
	for _, length := range []time.Duration{1500 * time.Millisecond, 3 * time.Second, 30 * time.Second} {
		monitor := &standstill.Monitor{}
		b, woken := suspendedWitness(t, length, monitor)
		must.False(t, b.Vote("a", registry.Position{Revision: 1}, woken))
		must.SliceEmpty(t, b.Breakable(woken))
		b.Registered(1, []string{"a", "c"}, woken)
		promised := b.ReceiveHeartbeat("a", registry.Position{Revision: 1}, woken).Promised
		must.True(t, promised)

		monitor.Tick(woken)
		dead := woken
		for ; dead.Before(woken.Add(shortGap.breakTimeout() + 100*time.Millisecond)); dead = dead.Add(standstill.Interval) {
			monitor.Tick(dead)
		}
		must.True(t, b.Vote("a", registry.Position{Revision: 1}, dead), must.Sprint("a peer that stays silent"))
	}
}

// A host that is suspended has no lease when it wakes, whatever its monitor says of the time for which
// it was running: others may have taken its runners over.
func TestStandstillCountsForTheOwnLease(t *testing.T) {
	for _, length := range []time.Duration{1500 * time.Millisecond, 3 * time.Second} {
		now := testStart
		a := newHosts(t, "a", "b", "c")["a"]
		a.Standstill = &standstill.Monitor{}
		for ; now.Before(testStart.Add(time.Second)); now = now.Add(standstill.Interval) {
			a.Standstill.Tick(now)
		}
		a.Registered(1, []string{"b", "c"}, now)
		a.PromiseReceived("b", now)
		a.PromiseReceived("c", now)
		_, ok := a.MayOrder(runnerAddress, now)
		must.True(t, ok)
		woken := now.Add(length)
		_, ok = a.MayOrder(runnerAddress, woken)
		must.False(t, ok)
		must.False(t, a.Owns(runnerAddress, woken))
		_, leads := a.Leads("key", woken)
		must.False(t, leads)
		promised := a.ReceiveHeartbeat("b", registry.Position{Revision: 2}, woken).Promised
		must.False(t, promised)
		a.Standstill.Tick(woken)
		_, ok = a.MayOrder(runnerAddress, woken.Add(standstill.Interval))
		must.False(t, ok)
	}
}

// A host is suspended for longer than a witness may leave heartbeats unanswered. When it wakes, it keeps
// its witnesses: replaced, they would all have to learn its new record before they promise, and each
// host that was suspended would write to the store.
func TestStandstillDoesNotReplaceTheWitnesses(t *testing.T) {
	names := []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k"}
	now := testStart
	a := newHosts(t, names...)["a"]
	a.Standstill = &standstill.Monitor{}
	before, _ := a.ChooseWitnesses(now)
	a.Registered(1, before, now)
	for ; now.Before(testStart.Add(5 * time.Second)); now = now.Add(standstill.Interval) {
		a.Standstill.Tick(now)
		for _, witness := range before {
			a.PromiseReceived(witness, now)
		}
	}
	woken := now.Add(3 * time.Second)
	chosen, changed := a.ChooseWitnesses(woken)
	must.False(t, changed)
	must.Eq(t, before, chosen)
	a.Standstill.Tick(woken)
	for now = woken; now.Before(woken.Add(witnessTimeout + 100*time.Millisecond)); now = now.Add(standstill.Interval) {
		a.Standstill.Tick(now)
	}
	_, changed = a.ChooseWitnesses(now)
	must.True(t, changed, must.Sprint("witnesses that stay silent"))
}
