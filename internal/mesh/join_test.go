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

// fleetOf makes the services of so many hosts, which know each other and have
// just heard each other.
func fleetOf(size int, now func() time.Time) []*Service {
	var names []string
	for i := range size {
		names = append(names, fmt.Sprintf("h%d", i))
	}
	services := make([]*Service, 0, size)
	for _, name := range names {
		state := NewState(name, Timing{Lease: UsualLease, OrderGap: 3 * time.Second, Margin: UsualMargin}, now())
		s := NewService(Deps{
			Self: peer.Identity{Host: name}, Address: name + ":1", State: state, Now: now, Log: hclog.NewNullLogger(),
			Kinds: map[string]*registry.Replica{"k": registry.NewReplica()},
		})
		for i, other := range names {
			s.State.Apply([]registry.Change{change(panics{}, hostName(other), HostRecord{Epoch: 1, Address: other + ":1"}, uint64(i+1))}, now())
		}
		s.Confirmed("k", now())
		s.spread.heardAt = now()
		services = append(services, s)
	}
	return services
}

type panics struct{}

func (panics) Fatalf(format string, args ...any) { panic(fmt.Sprintf(format, args...)) }
func (panics) Helper()                           {}

// due counts the hosts that call the store themselves within a time after what
// they know was confirmed.
func due(services []*Service, after time.Duration) int {
	count := 0
	for _, s := range services {
		if !s.State.Watcher("k") && s.Due("k", time.Second) <= after {
			count++
		}
	}
	return count
}

// The two watching hosts of a large fleet die. The others do not all turn to the
// store at the same moment, but one does at once, and half of them within five
// seconds; it tells the others.
func TestLargeFleetTurnsToTheStoreOneByOne(t *testing.T) {
	now := time.Unix(1000, 0)
	services := fleetOf(88, func() time.Time { return now })
	must.Eq(t, 0, due(services, time.Second-time.Millisecond))
	must.Between(t, 1, due(services, 1500*time.Millisecond), 20)
	must.Between(t, 30, due(services, 5*time.Second), 80)
	must.Eq(t, 86, due(services, 9*time.Second))
}

// A host that hears no other is on its own: it asks the store as soon as what it
// knows is too old. So does each host of a small fleet.
func TestDueAlone(t *testing.T) {
	now := time.Unix(1000, 0)
	services := fleetOf(88, func() time.Time { return now })
	now = now.Add(heardLately + time.Millisecond)
	must.Eq(t, 86, due(services, 0))
	must.Eq(t, watcherPause, services[0].Patience("k"))
	now = time.Unix(2000, 0)
	must.Eq(t, 5, due(fleetOf(7, func() time.Time { return now }), time.Second))
}

// The longest pause after a failure grows with the fleet, so that the calls of all
// hosts together do not.
func TestPatienceGrowsWithTheFleet(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, test := range []struct {
		hosts int
		want  time.Duration
	}{{7, 2 * time.Second}, {20, 2 * time.Second}, {88, 8800 * time.Millisecond}} {
		for _, s := range fleetOf(test.hosts, func() time.Time { return now }) {
			if s.State.Watcher("k") {
				must.Eq(t, watcherPause, s.Patience("k"))
				continue
			}
			must.Eq(t, test.want, s.Patience("k"))
		}
	}
}
