package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestTableRejectsStaleLists(t *testing.T) {
	table := NewTable()
	must.True(t, table.Update(List{Version: 2, Hosts: []Host{{ID: "a", State: StateLive}, {ID: "b", State: StateLive}}}))
	must.False(t, table.Update(List{Version: 1, Hosts: []Host{{ID: "a", State: StateLeaving}}}))
	must.False(t, table.Update(List{Version: 3}))
	must.True(t, table.MayReceive("a"))
	must.False(t, table.Removed("b"))
	must.True(t, table.Update(List{Version: 4, Hosts: []Host{{ID: "a", State: StateLeaving}}}))
	must.False(t, table.MayReceive("a"))
	must.True(t, table.Removed("b"))
	must.False(t, table.Removed("never seen"))
	must.Eq(t, 2, table.StaleLists())
}

func TestRendezvousMovesOnlyKeysOfARemovedMember(t *testing.T) {
	members := []string{"a", "b", "c", "d"}
	moved := 0
	for i := range 1000 {
		key := fmt.Sprint("runner-", i)
		before := First(key, members)
		after := First(key, []string{"a", "b", "c"})
		must.Eq(t, before, Rank(key, members)[0])
		if before != after {
			must.Eq(t, "d", before)
			moved++
		}
	}
	must.Between(t, 200, moved, 300)
}

func TestNeighboursOfALargeFleet(t *testing.T) {
	// 460 hosts in 25 data centres of 7 regions: a host exchanges heartbeats with its
	// own data centre, with two hosts of each other data centre in its region, and
	// with one host of each other region.
	var hosts []Host
	for i := range 460 {
		hosts = append(hosts, Host{ID: fmt.Sprintf("e%03d", i), DataCentre: fmt.Sprint("dc", i%25), Region: fmt.Sprint("region", i%25%7)})
	}
	got := Neighbours(hosts[0], hosts)
	regions, local := map[string]int{}, 0
	for _, host := range got {
		regions[host.Region]++
		if host.DataCentre == "dc0" {
			local++
		}
	}
	must.MapLen(t, 7, regions)
	must.Eq(t, 18, local)
	must.Eq(t, 18+3*2, regions["region0"])
	must.Eq(t, 1, regions["region3"])
	must.Len(t, 7, Neighbours(hosts[0], hosts[:8]))
}

func TestMemberCandidates(t *testing.T) {
	now := time.Unix(100, 0)
	m := NewMembers(2 * time.Second)
	m.Observe(Member{Host: "a", Ready: true, DataCentre: "x"}, now)
	m.Observe(Member{Host: "b", Ready: true, DataCentre: "y"}, now)
	m.Observe(Member{Host: "c", Ready: true, Leaving: true, DataCentre: "x"}, now)
	m.Observe(Member{Host: "d", DataCentre: "x"}, now)
	must.Eq(t, []string{"a"}, m.Candidates("x", now))
	must.Eq(t, []string{"a", "b"}, m.Candidates("", now))
	must.Eq(t, []string{"a", "b"}, m.Candidates("z", now))
	must.SliceEmpty(t, m.Candidates("", now.Add(3*time.Second)))
	must.True(t, m.Observe(Member{Host: "a", Incarnation: "2"}, now))
	must.False(t, m.Observe(Member{Host: "a", Incarnation: "2"}, now))
}
