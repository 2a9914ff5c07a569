package registry

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// at returns a position in era 0.
func at(revision uint64) Position { return Position{Revision: revision} }

func record(name string, revision uint64) Record { return Record{Name: name, Revision: revision} }

// A listing of revision 5 arrives after one of revision 8. Applied, it would bring back an
// old configuration and a removed record.
func TestReplicaIgnoresOlderListing(t *testing.T) {
	r := NewReplica()
	r.Listed([]Record{record("a", 7)}, at(8))
	r.Listed([]Record{record("a", 3), record("gone", 4)}, at(5))
	got, _ := r.Get("a")
	must.Eq(t, 7, got.Revision)
	_, back := r.Get("gone")
	must.False(t, back)
	must.Eq(t, 8, r.Revision())
	r.Changed([]Change{{Record: record("a", 6)}}, at(9))
	got, _ = r.Get("a")
	must.Eq(t, 7, got.Revision)
	must.Eq(t, 9, r.Revision())
}

// A peer's snapshot contains a record that was removed and created again. The watch then
// delivers the old removal, which must not remove the new record.
func TestOldRemovalKeepsNewerRecord(t *testing.T) {
	r := NewReplica()
	r.Listed([]Record{record("a", 9)}, at(9))
	r.Changed([]Change{{Record: record("a", 4), Removed: true}}, at(9))
	_, ok := r.Get("a")
	must.True(t, ok)
	r.Changed([]Change{{Record: record("a", 12), Removed: true}}, at(12))
	_, ok = r.Get("a")
	must.False(t, ok)
}

// Two hosts hold the same records at different revisions of the store, because other kinds
// changed. If they compared revisions, they would fetch from each other for ever.
func TestDigestIsIndependentOfStoreRevision(t *testing.T) {
	a, b := NewReplica(), NewReplica()
	a.Listed([]Record{record("x", 1), record("y", 2)}, at(2))
	b.Listed([]Record{record("y", 2)}, at(2))
	b.Changed([]Change{{Record: record("x", 1)}}, at(50))
	must.Eq(t, a.Version().Digest, b.Version().Digest)
	b.Changed([]Change{{Record: record("x", 51), Removed: true}}, at(51))
	must.NotEq(t, a.Version().Digest, b.Version().Digest)
	a.Listed([]Record{record("y", 2)}, at(60))
	must.Eq(t, a.Version().Digest, b.Version().Digest)
}

func TestReplicaReportsChanges(t *testing.T) {
	var reported []Change
	r := NewReplica()
	r.OnChange = func(changes []Change, _ bool) { reported = append(reported, changes...) }
	r.Listed([]Record{record("a", 1), record("b", 2)}, at(2))
	must.Len(t, 2, reported)
	reported = nil
	r.Listed([]Record{record("a", 1), record("c", 3)}, at(3))
	must.Len(t, 2, reported, must.Sprint("one added and one removed; the unchanged one is not reported"))
	reported = nil
	r.Put(record("a", 5))
	r.Changed([]Change{{Record: record("a", 5)}}, at(5))
	must.Len(t, 1, reported, must.Sprint("the watch delivers an own write again"))
}

// A runner's record changes with each adapter that is loaded or unloaded, which this layer
// does not use. Such a change must not be reported, and hosts that have and have not seen
// it must have the same digest.
func TestChangesOfStrippedFieldsAreNotReported(t *testing.T) {
	state := func(name string, revision uint64, spec string) Record {
		return Record{Name: name, Revision: revision, Spec: json.RawMessage(spec)}
	}
	reported := 0
	first := func(spec json.RawMessage) json.RawMessage { return spec[:1] }
	a, b := NewContentReplica(first), NewContentReplica(first)
	a.OnChange = func(changes []Change, _ bool) { reported += len(changes) }
	a.Listed([]Record{state("r", 1, "Rxx")}, at(1))
	b.Listed([]Record{state("r", 1, "Rxx")}, at(1))
	must.Eq(t, 1, reported)
	a.Changed([]Change{{Record: state("r", 2, "Ryy")}}, at(2))
	must.Eq(t, 1, reported)
	must.Eq(t, b.Version().Digest, a.Version().Digest)
	got, _ := a.Get("r")
	must.Eq(t, 2, got.Revision)
	a.Changed([]Change{{Record: state("r", 3, "Dyy")}}, at(3))
	must.Eq(t, 2, reported)
	must.NotEq(t, b.Version().Digest, a.Version().Digest)
}

// Two hosts have a thousand records, of which one host has seen a few changes. The other
// must fetch only the parts that differ, and then hold the same records.
func TestReplicaFetchesDifferences(t *testing.T) {
	first, second := NewReplica(), NewReplica()
	var records []Record
	for i := range 1000 {
		records = append(records, record(fmt.Sprintf("r%d", i), uint64(i+1)))
	}
	first.Listed(records, at(1000))
	second.Listed(records, at(1000))
	first.Changed([]Change{{Record: record("r7", 1001)}, {Record: record("r8", 1002), Removed: true}, {Record: record("new", 1003)}}, at(1003))
	parts, base := second.Parts()
	snapshot := first.DifferingParts(parts)
	must.Less(t, 100, len(snapshot.Records))
	var reported []Change
	second.OnChange = func(changed []Change, _ bool) { reported = changed }
	second.MergeParts(snapshot, base)
	must.Eq(t, first.Version(), second.Version())
	must.Len(t, 3, reported)
	_, there := second.Get("r8")
	must.False(t, there)
}

// A host asks for differences and there are none, because it learned of the change
// elsewhere meanwhile. It must keep its records.
func TestReplicaKeepsRecordsWithoutDifferences(t *testing.T) {
	first, second := NewReplica(), NewReplica()
	first.Listed([]Record{record("a", 1)}, at(2))
	second.Listed([]Record{record("a", 1)}, at(1))
	parts, base := second.Parts()
	wire, err := json.Marshal(first.DifferingParts(parts))
	must.NoError(t, err)
	var snapshot Snapshot
	must.NoError(t, json.Unmarshal(wire, &snapshot))
	second.MergeParts(snapshot, base)
	_, there := second.Get("a")
	must.True(t, there)
	must.Eq(t, 2, second.Revision())
}

// Between a host's request and the answer its own watch brings a change. What the answer
// leaves out may no longer be the peer's, so nothing of it may be applied.
func TestReplicaDropsAnAnswerToAnOlderVersion(t *testing.T) {
	first, second := NewReplica(), NewReplica()
	first.Listed([]Record{record("a", 9), record("b", 2)}, at(9))
	second.Listed([]Record{record("a", 1), record("b", 2)}, at(2))
	parts, base := second.Parts()
	snapshot := first.DifferingParts(parts)
	second.Changed([]Change{{Record: record("b", 5)}}, at(5))
	second.MergeParts(snapshot, base)
	got, _ := second.Get("a")
	must.Eq(t, 1, got.Revision)
	must.Eq(t, 5, second.Revision())
}

// Replicas that change and fetch from each other at random must converge and never go
// back.
func TestReplicasConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := NewReplica()
		replicas := []*Replica{NewReplica(), NewReplica(), NewReplica()}
		revision := uint64(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			name := fmt.Sprintf("r%d", rapid.IntRange(0, 90).Draw(t, "record"))
			revision++
			change := Change{Record: record(name, revision), Removed: rapid.Bool().Draw(t, "removed")}
			store.Changed([]Change{change}, at(revision))
			to := replicas[rapid.IntRange(0, 2).Draw(t, "to")]
			from := append(replicas, store)[rapid.IntRange(0, 3).Draw(t, "from")]
			before := to.Revision()
			parts, base := to.Parts()
			to.MergeParts(from.DifferingParts(parts), base)
			if to.Revision() < before {
				t.Fatalf("revision went back from %d to %d", before, to.Revision())
			}
		}
		for _, to := range replicas {
			parts, base := to.Parts()
			to.MergeParts(store.DifferingParts(parts), base)
			if to.Version() != store.Version() {
				t.Fatalf("%v is not %v", to.Version(), store.Version())
			}
		}
	})
}

// A host claims a runner and applies its own write. A peer that is ahead otherwise, but
// has not seen the write, sends its records. They must not replace the write: the host
// stopped giving the runner orders and claimed it again, a quarter of a second and two
// calls to the store later.
func TestOlderSnapshotDoesNotReplaceOwnWrite(t *testing.T) {
	older := []Record{{Name: "a", Revision: 8}, {Name: "b", Revision: 11}}
	for name, pass := range map[string]func(own, peer *Replica){
		"differences": func(own, peer *Replica) {
			parts, base := own.Parts()
			own.MergeParts(peer.DifferingParts(parts), base)
		},
		"listing": func(own, peer *Replica) { own.MergeParts(peer.Snapshot(), own.Version()) },
	} {
		t.Run(name, func(t *testing.T) {
			own, peer := NewReplica(), NewReplica()
			own.Listed([]Record{{Name: "a", Revision: 8}}, at(10))
			own.Put(Record{Name: "claim", Revision: 12})
			own.Put(Record{Name: "a", Revision: 13})
			peer.Listed(older, at(11))
			pass(own, peer)
			_, claimed := own.Get("claim")
			must.True(t, claimed)
			renewed, _ := own.Get("a")
			must.Eq(t, 13, renewed.Revision)
			_, learnt := own.Get("b")
			must.True(t, learnt)

			own.Listed(older, at(14))
			_, claimed = own.Get("claim")
			must.False(t, claimed, must.Sprint("a later listing without the record removes it"))
		})
	}
}

// A peer's changes leave a difference. If the position moved all the same, the replica would
// count as complete up to it, and what is missing as removed.
func TestIncompleteChangesDoNotMoveThePosition(t *testing.T) {
	r := NewReplica()
	var moved []Position
	r.OnPosition = func(at Position) { moved = append(moved, at) }
	first := Position{Revision: 10}
	r.Listed([]Record{{Name: "a", Revision: 5}}, first)
	must.False(t, r.MergeChanges(Snapshot{Position: Position{Revision: 20}, Since: 10, Digest: 1}, r.Version()))
	must.Eq(t, first, r.Position())
	must.True(t, r.MergeChanges(Snapshot{Position: Position{Revision: 20}, Since: 10, Digest: r.Version().Digest}, r.Version()))
	must.Eq(t, []Position{first, {Revision: 20}}, moved)
}
