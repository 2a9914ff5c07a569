package mesh

import (
	"testing"
	"time"

	"github.com/cherrystage/cherrystage/internal/registry"
	"github.com/shoenig/test/must"
)

// keyOf gives a key for which a host comes first.
func keyOf(t *testing.T, hosts map[string]*State, host string) string {
	t.Helper()
	for i := range 1000 {
		key := "quota.w." + string(rune('0'+i%10)) + string(rune('a'+i/10%26))
		if first, _ := hosts["a"].LeaderFor(key); first == host {
			return key
		}
	}
	t.Fatalf("no key for %s", host)
	return ""
}

// A host that counts for the fleet is cut off. It must stop granting before another host
// may take its place, or both grant what there is once.
func TestRightEndsBeforeTakeover(t *testing.T) {
	hosts := newHosts(t, "a", "b", "c")
	key := keyOf(t, hosts, "a")
	beatAll(hosts, epoch)
	var lastRight, firstBreak time.Duration
	for passed := 10 * time.Millisecond; passed < 20*time.Second; passed += 10 * time.Millisecond {
		now := epoch.Add(passed)
		beatAll(hosts, now, "a")
		if _, ok := hosts["a"].Leads(key, now); ok {
			lastRight = passed
		}
		if firstBreak == 0 && breaks(hosts, "b", now) {
			firstBreak = passed
		}
	}
	must.Positive(t, lastRight)
	must.GreaterEq(t, usual.OrderGap, firstBreak-lastRight)
}

// Only the host that comes first for a key has the right, on every host's view.
func TestOneHostHasTheRight(t *testing.T) {
	hosts := newHosts(t, "a", "b", "c", "d", "e")
	beatAll(hosts, epoch)
	for _, first := range []string{"a", "b", "c", "d", "e"} {
		key := keyOf(t, hosts, first)
		for name, host := range hosts {
			_, ok := host.Leads(key, epoch.Add(time.Millisecond))
			must.Eq(t, name == first, ok)
		}
	}
}

// A process that starts learns of all hosts at once: that is no change, and it counts from
// its start on. Once a host joins or is lost it counts from a moment later on, when the
// others know as well.
func TestCountingBeginsOnceHostsKnow(t *testing.T) {
	hosts := newHosts(t, "a", "b", "c")
	key := keyOf(t, hosts, "a")
	beatAll(hosts, epoch)
	right, ok := hosts["a"].Leads(key, epoch)
	must.True(t, ok)
	must.Eq(t, epoch, right.Since)

	later := epoch.Add(time.Second)
	hosts["a"].Apply([]registry.Change{change(t, hostRecordName("c"), HostRecord{Address: "c:1", Epoch: 1, Broken: true}, 100)}, later)
	beatAll(hosts, later)
	right, ok = hosts["a"].Leads(key, later)
	must.True(t, ok)
	must.Eq(t, later.Add(membershipSettle), right.Since)
}
