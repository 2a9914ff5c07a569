package mesh

import (
	"testing"
	"time"

	"github.com/cherrystage/cherrystage/internal/registry"
	"github.com/shoenig/test/must"
)

// keyLedBy returns a key that a host leads.
func keyLedBy(t *testing.T, hosts map[string]*State, host string) string {
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

// The leader of a key is cut off. Its leadership must end before another host can take
// over, or both grant the same budget.
func TestLeadershipEndsBeforeTakeover(t *testing.T) {
	hosts := newHosts(t, "a", "b", "c")
	key := keyLedBy(t, hosts, "a")
	exchangeHeartbeats(hosts, testStart)
	var lastRight, firstBreak time.Duration
	for passed := 10 * time.Millisecond; passed < 20*time.Second; passed += 10 * time.Millisecond {
		now := testStart.Add(passed)
		exchangeHeartbeats(hosts, now, "a")
		if _, ok := hosts["a"].Leads(key, now); ok {
			lastRight = passed
		}
		if firstBreak == 0 && breaks(hosts, "b", now) {
			firstBreak = passed
		}
	}
	must.Positive(t, lastRight)
	must.GreaterEq(t, testTiming.OrderGap, firstBreak-lastRight)
}

// All hosts agree on the one leader of a key.
func TestOneLeaderPerKey(t *testing.T) {
	hosts := newHosts(t, "a", "b", "c", "d", "e")
	exchangeHeartbeats(hosts, testStart)
	for _, first := range []string{"a", "b", "c", "d", "e"} {
		key := keyLedBy(t, hosts, first)
		for name, host := range hosts {
			_, ok := host.Leads(key, testStart.Add(time.Millisecond))
			must.Eq(t, name == first, ok)
		}
	}
}

// A starting process learns of all hosts together. That is no change, so it counts from its
// start. After a host joined or left it counts from membershipSettle later, when the other
// hosts know of the change too.
func TestLeadershipBeginsAfterMembershipSettles(t *testing.T) {
	hosts := newHosts(t, "a", "b", "c")
	key := keyLedBy(t, hosts, "a")
	exchangeHeartbeats(hosts, testStart)
	right, ok := hosts["a"].Leads(key, testStart)
	must.True(t, ok)
	must.Eq(t, testStart, right.Since)

	later := testStart.Add(time.Second)
	hosts["a"].Apply([]registry.Change{change(t, hostRecordName("c"), HostRecord{Address: "c:1", Epoch: 1, Broken: true}, 100)}, later)
	exchangeHeartbeats(hosts, later)
	right, ok = hosts["a"].Leads(key, later)
	must.True(t, ok)
	must.Eq(t, later.Add(membershipSettle), right.Since)
}
