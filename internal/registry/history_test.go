package registry

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// pull fetches from a peer as hosts do: the changes first, then the parts if the changes
// are incomplete. It returns the size of the answers in bytes.
func pull(t must.T, from, into *Replica) (bytes int) {
	before := into.Version()
	size := func(snapshot Snapshot) int {
		encoded, err := json.Marshal(snapshot)
		must.NoError(t, err)
		return len(encoded)
	}
	if snapshot, ok := from.ChangedSince(before.Position); ok {
		bytes += size(snapshot)
		if into.MergeChanges(snapshot, before) {
			return bytes
		}
	}
	parts, base := into.Parts()
	snapshot := from.DifferingParts(parts)
	into.MergeParts(snapshot, base)
	return bytes + size(snapshot)
}

// A host lacks a change, a new record and a removal. It must get just these three and then
// hold the peer's records.
func TestChangesSinceARevision(t *testing.T) {
	a, b := NewReplica(), NewReplica()
	list := []Record{record("a", 1), record("b", 2), record("c", 3)}
	a.Listed(list, at(3))
	b.Listed(list, at(3))
	a.Changed([]Change{{Record: record("b", 4)}, {Record: record("d", 5)}, {Record: record("c", 6), Removed: true}}, at(6))
	snapshot, ok := a.ChangedSince(at(3))
	must.True(t, ok)
	must.Len(t, 2, snapshot.Records)
	must.Eq(t, []string{"c"}, snapshot.Removed)
	must.True(t, b.MergeChanges(snapshot, b.Version()))
	must.Eq(t, a.Version(), b.Version())
}

// A record is changed and changed back between two fetches, so that it is not among the
// changes. The digest must show that it still differs.
func TestRevertedChangeIsNoticed(t *testing.T) {
	strip := func(spec json.RawMessage) json.RawMessage { return spec }
	a, b := NewContentReplica(strip), NewContentReplica(strip)
	state := func(revision uint64, spec string) Record {
		return Record{Name: "a", Revision: revision, Spec: json.RawMessage(spec)}
	}
	a.Listed([]Record{state(1, `"x"`)}, at(1))
	b.Listed([]Record{state(5, `"y"`)}, at(5))
	a.Changed([]Change{{Record: state(9, `"x"`)}}, at(9))
	snapshot, ok := a.ChangedSince(at(5))
	must.True(t, ok)
	must.False(t, b.MergeChanges(snapshot, b.Version()))
	pull(t, a, b)
	must.Eq(t, a.Version(), b.Version())
}

// A peer's first listing is newer than a host's records. The peer does not know what was
// removed before, and must say so.
func TestChangesBeforeTheFirstList(t *testing.T) {
	a, b := NewReplica(), NewReplica()
	b.Listed([]Record{record("a", 1), record("gone", 2)}, at(2))
	a.Listed([]Record{record("a", 1)}, at(7))
	_, ok := a.ChangedSince(at(2))
	must.False(t, ok)
	pull(t, a, b)
	must.Eq(t, a.Version().Digest, b.Version().Digest)
}

// A host that wrote a record itself is ahead of its peer. That must not cause a fetch of
// parts.
func TestOwnWriteDoesNotCauseAFetchOfParts(t *testing.T) {
	a, b := NewReplica(), NewReplica()
	a.Listed([]Record{record("a", 1)}, at(1))
	b.Listed([]Record{record("a", 1)}, at(1))
	a.Changed([]Change{{Record: record("c", 2)}}, at(2))
	b.Put(record("own", 3))
	snapshot, ok := a.ChangedSince(at(1))
	must.True(t, ok)
	must.True(t, b.MergeChanges(snapshot, b.Version()))
	_, kept := b.Get("own")
	must.True(t, kept)
}

// Whatever changes in the store, and whichever of three hosts learns of it first: a host
// that fetches from one that is ahead then holds the same records.
func TestFetchingHostsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := map[string]uint64{}
		var events []Change
		revision := uint64(1)
		hosts := []*Replica{NewReplica(), NewReplica(), NewReplica()}
		seen := make([]int, len(hosts))
		list := func(host int) {
			var records []Record
			for name, at := range store {
				records = append(records, record(name, at))
			}
			hosts[host].Listed(records, at(revision))
			seen[host] = len(events)
		}
		for host := range hosts {
			list(host)
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			host := rapid.IntRange(0, 2).Draw(t, "host")
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				name := fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "name"))
				revision++
				if _, ok := store[name]; ok && rapid.Bool().Draw(t, "remove") {
					events = append(events, Change{Record: record(name, revision), Removed: true})
					delete(store, name)
					continue
				}
				store[name] = revision
				events = append(events, Change{Record: record(name, revision)})
			case 2:
				hosts[host].Changed(events[seen[host]:], at(revision))
				seen[host] = len(events)
			case 3:
				list(host)
			default:
				other := (host + 1) % len(hosts)
				if hosts[other].Revision() > hosts[host].Revision() {
					pull(t, hosts[other], hosts[host])
					must.Eq(t, hosts[other].Version(), hosts[host].Version())
					seen[host] = seen[other]
				}
			}
		}
	})
}

// The runners of 300 hosts are claimed, thirty at a time, while each host follows the
// claims. Each claim must reach a host about once, so that all fetches together are at
// most twice the list. Fetched by parts, nearly the whole list came again with each fetch.
func TestClaimsReachAHostOnce(t *testing.T) {
	const runners, batch = 3000, 30
	claims := func(first, count int) (changes []Change) {
		for i := first; i < first+count; i++ {
			spec := fmt.Sprintf(`{"host":"front-data-centre-%d","epoch":1}`, i%300)
			changes = append(changes, Change{Record: Record{Name: fmt.Sprintf("runner.10-3-64-%d-8282", i), Revision: uint64(i + 2), Spec: json.RawMessage(spec)}})
		}
		return changes
	}
	a, b, byParts := NewReplica(), NewReplica(), NewReplica()
	for _, r := range []*Replica{a, b, byParts} {
		r.Listed(nil, at(1))
	}
	fetched, fetchedByParts := 0, 0
	for first := 0; first < runners; first += batch {
		a.Changed(claims(first, batch), at(uint64(first+batch+1)))
		fetched += pull(t, a, b)
		parts, base := byParts.Parts()
		snapshot := a.DifferingParts(parts)
		encoded, err := json.Marshal(snapshot)
		must.NoError(t, err)
		fetchedByParts += len(encoded)
		byParts.MergeParts(snapshot, base)
	}
	whole, err := json.Marshal(a.Snapshot())
	must.NoError(t, err)
	t.Logf("the list has %d bytes; fetched as changes %d, by parts %d", len(whole), fetched, fetchedByParts)
	must.Eq(t, a.Version(), b.Version())
	must.LessEq(t, 2*len(whole), fetched)
}
