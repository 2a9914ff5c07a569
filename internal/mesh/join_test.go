package mesh

import (
	"fmt"
	"testing"
	"time"

	"github.com/cherrystage/cherrystage/internal/peer"
	"github.com/cherrystage/cherrystage/internal/registry"
	"github.com/hashicorp/go-hclog"
	"github.com/shoenig/test/must"
)

// newServices returns the services of hosts that know each other and were just in contact.
func newServices(size int, now func() time.Time) []*Service {
	var names []string
	for i := range size {
		names = append(names, fmt.Sprintf("h%d", i))
	}
	var records []registry.Change
	for i, name := range names {
		records = append(records, change(panicker{}, hostRecordName(name), HostRecord{Epoch: 1, Address: name + ":1"}, uint64(i+1)))
	}
	services := make([]*Service, 0, size)
	for _, name := range names {
		state := NewState(name, Timing{Lease: DefaultLease, OrderGap: 3 * time.Second, Margin: DefaultMargin}, now())
		s := NewService(Deps{
			Self: peer.Identity{Host: name}, Address: name + ":1", State: state, Now: now, Log: hclog.NewNullLogger(),
			Kinds: map[string]*registry.Replica{"k": registry.NewReplica()},
		})
		s.State.Apply(records, now())
		s.Confirmed("k", now())
		s.freshness.lastContact = now()
		services = append(services, s)
	}
	return services
}

type panicker struct{}

func (panicker) Fatalf(format string, args ...any) { panic(fmt.Sprintf(format, args...)) }
func (panicker) Helper()                           {}

// countDue counts the hosts, other than watchers, that ask the store themselves within a
// time after their records were confirmed.
func countDue(services []*Service, after time.Duration) int {
	count := 0
	for _, s := range services {
		if !s.State.IsWatcher("k") && s.WatchDelay("k", time.Second) <= after {
			count++
		}
	}
	return count
}

// Both watchers of a large fleet die. The others must not all ask the store at the same
// moment: two ask in the first turn and twice as many in each further turn, so that those with an
// answer can inform the rest. Whatever they send, the last host has asked after the last
// turn.
func TestFallbackQueriesAreStaggered(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, size := range []int{3, 9, 24, 65, 195, 460} {
		services := newServices(size, func() time.Time { return now })
		must.Eq(t, 0, countDue(services, time.Second-time.Millisecond))
		asked := 0
		for turn := range lastFallbackTurn(size) {
			asked = min(size-watchersPerKind, asked+watchersPerKind<<turn)
			must.Eq(t, asked, countDue(services, time.Second+time.Duration(turn)*fallbackStep), must.Sprintf("%d hosts, turn %d", size, turn))
		}
		must.Eq(t, size-watchersPerKind, asked)
	}
}

// A host without contact asks the store as soon as its records are too old.
func TestWatchDelayWithoutContact(t *testing.T) {
	now := time.Unix(1000, 0)
	services := newServices(88, func() time.Time { return now })
	now = now.Add(contactTimeout + time.Millisecond)
	must.Eq(t, 86, countDue(services, 0))
	must.Eq(t, watcherRetryPause, services[0].MaxRetryPause("k"))
}

// Other hosts announced a change to a host and do not deliver it, because they are frozen
// or their links are full. The host must ask the store after behindTimeout, or earlier if
// its records are too old.
func TestHostThatIsBehindAsksTheStore(t *testing.T) {
	now := time.Unix(1000, 0)
	s := newServices(88, func() time.Time { return now })[0]
	for _, other := range newServices(88, func() time.Time { return now }) {
		if other.State.FallbackTurn("k") > 1 {
			s = other
		}
	}
	must.Positive(t, s.WatchDelay("k", time.Second)-behindTimeout)
	s.freshness.learn("other:1", map[string]KnownVersion{"k": {Version: registry.Version{Position: registry.Position{Revision: 7}, Digest: 7}}}, now)
	must.Eq(t, behindTimeout, s.WatchDelay("k", time.Second))
	now = now.Add(behindTimeout)
	must.Eq(t, 0, s.WatchDelay("k", time.Second))
	s.Kinds["k"].Changed([]registry.Change{{Record: registry.Record{Name: "a", Revision: 7}}}, registry.Position{Revision: 7})
	must.Positive(t, s.WatchDelay("k", time.Second))
}

// The longest pause after a failure grows with the fleet, so that the total rate of calls
// does not.
func TestRetryPauseGrowsWithTheFleet(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, test := range []struct {
		hosts int
		want  time.Duration
	}{{7, 3 * time.Second}, {20, 3 * time.Second}, {88, 13200 * time.Millisecond}} {
		for _, s := range newServices(test.hosts, func() time.Time { return now }) {
			if s.State.IsWatcher("k") {
				must.Eq(t, watcherRetryPause, s.MaxRetryPause("k"))
				continue
			}
			must.Eq(t, test.want, s.MaxRetryPause("k"))
		}
	}
}
