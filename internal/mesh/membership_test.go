package mesh

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/cherrystage/cherrystage/internal/registry"
	"github.com/shoenig/test/must"
)

// inLargeFleet gives the state of one host of a fleet of so many in five data
// centres, long after the last record was written, with each host's heartbeats heard.
func inLargeFleet(t fataler, size int) (*State, time.Time) {
	t.Helper()
	names := make([]string, 0, size)
	for i := range size {
		names = append(names, fmt.Sprintf("host-%03d", i))
	}
	s := NewState(names[0], usual, epoch)
	for i, name := range names {
		witnesses := make([]string, 0, maxWitnesses)
		for w := range maxWitnesses {
			witnesses = append(witnesses, names[(i+1+7*w)%size])
		}
		record := HostRecord{Address: name + ":1", DataCentre: fmt.Sprintf("hall-%d", i%5), Epoch: 1, Witnesses: witnesses}
		s.applyChange(change(t, hostRecordName(name), record, uint64(i+1)), epoch)
		if i == 0 {
			s.Registered(1, witnesses, epoch)
		}
	}
	now := epoch.Add(time.Minute)
	for _, name := range names {
		s.ReceiveHeartbeat(name, 0, now)
		s.PromiseReceived(name, now)
	}
	return s, now
}

// Callers of a large fleet wait while their host's processor is at its duties. Each
// host looks at leases, owners and watches several times a second; a look that sorts
// and hashes all hosts, or does so once for each host, took 20 ms of a small host's
// core at 195 hosts. Nothing has changed between two looks, so they take next to
// nothing, whatever the fleet's size.
func TestDutiesOfALargeFleetAreCheap(t *testing.T) {
	s, now := inLargeFleet(t, 460)
	look := func() {
		must.SliceEmpty(t, s.Breakable(now))
		must.SliceEmpty(t, s.RemovableRecords(now, deadRecordRetention))
		s.IsWatcher("config")
		must.Eq(t, 460, s.Size())
		_, others := s.ChooseWitnesses(now)
		must.False(t, others)
	}
	look()
	must.LessEq(t, 60, testing.AllocsPerRun(20, look), must.Sprint("allocations of one look at 460 hosts"))
}

// A host joins, moves to another data centre, is broken and removed. What is worked
// out from the members follows each step: with a membership of before, two hosts
// would own a runner, or none.
func TestMembershipFollowsTheRecords(t *testing.T) {
	s, now := inLargeFleet(t, 3)
	set := func(record HostRecord, revision uint64) {
		s.Apply([]registry.Change{change(t, hostRecordName("host-009"), record, revision)}, now)
	}
	must.Eq(t, 3, s.Size())
	set(HostRecord{Epoch: 1, DataCentre: "hall-9"}, 10)
	must.Eq(t, []string{"host-000", "host-001", "host-002", "host-009"}, s.Members())
	must.Eq(t, []string{"host-009"}, s.currentMembership().hostsNear("hall-9"))
	set(HostRecord{Epoch: 1, DataCentre: "hall-1"}, 11)
	must.Eq(t, []string{"host-001", "host-009"}, s.currentMembership().hostsNear("hall-1"))
	must.Eq(t, 4, len(s.currentMembership().hostsNear("hall-9")), must.Sprint("all serve where a data centre has no host"))
	set(HostRecord{Epoch: 1, DataCentre: "hall-1", Broken: true}, 12)
	must.False(t, slices.Contains(s.Members(), "host-009"))
	set(HostRecord{Epoch: 2, DataCentre: "hall-1"}, 13)
	must.True(t, slices.Contains(s.Members(), "host-009"))
	removed := change(t, hostRecordName("host-009"), HostRecord{}, 14)
	removed.Removed = true
	s.Apply([]registry.Change{removed}, now)
	must.Eq(t, 3, s.Size())
}

// BenchmarkDuties is one look of a host of 195 at the leases that may be broken, taken
// five times a second: 6.25 ms when all hosts were sorted and hashed for each host,
// 0.055 ms since only those without living witnesses are.
func BenchmarkDuties(b *testing.B) {
	s, now := inLargeFleet(b, 195)
	for b.Loop() {
		s.Breakable(now)
	}
}
