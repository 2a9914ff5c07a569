package registry

import (
	"testing"

	"github.com/shoenig/test/must"
)

// A host's first records come from a peer and include one that the peer has just written,
// newer than the peer's position. The host passes on its changes to a third one, which has
// written a record itself, so that their digests differ anyway. Without the peer's record the
// third host would take itself for complete, and the claim of a host that it lacks for ended.
func TestChangesIncludeRecordsThatCameBeforeTheirPosition(t *testing.T) {
	writer := NewReplica()
	writer.Listed([]Record{record("x", 5)}, at(10))
	writer.Put(record("host", 12))
	starting := NewReplica()
	starting.MergeParts(writer.Snapshot(), starting.Version())
	starting.Changed([]Change{{Record: record("host", 12)}}, at(15))
	third := NewReplica()
	third.Listed([]Record{record("x", 5)}, at(10))
	third.Put(record("own", 16))
	mergeChanges(third, starting)
	_, ok := third.Get("host")
	must.True(t, ok || third.Revision() < 12, must.Sprintf("complete up to %d without a record of revision 12", third.Revision()))
}

// A host learns of a removal by a read, then moves on with a peer's changes. A third host asks
// it for changes and would keep the removed record for good.
func TestChangesIncludeRemovalsThatCameBeforeTheirPosition(t *testing.T) {
	watcher, reader, third := NewReplica(), NewReplica(), NewReplica()
	for _, r := range []*Replica{watcher, reader, third} {
		r.Listed([]Record{record("host", 5)}, at(10))
	}
	watcher.Changed([]Change{{Record: record("host", 12), Removed: true}}, at(15))
	reader.Drop(record("host", 5), 0)
	mergeChanges(reader, watcher)
	must.Eq(t, 15, reader.Revision())
	third.Put(record("own", 16))
	mergeChanges(third, reader)
	_, ok := third.Get("host")
	must.False(t, ok && third.Revision() >= 12, must.Sprintf("complete up to %d with a record that was removed in revision 12", third.Revision()))
}

// mergeChanges has a host fetch the changes of a peer.
func mergeChanges(r, from *Replica) {
	base := r.Version()
	if changes, ok := from.ChangedSince(base.Position); ok {
		r.MergeChanges(changes, base)
	}
}
