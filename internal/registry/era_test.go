package registry

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/shoenig/test/must"
)

// inEra returns a position in an era.
func inEra(era Era, revision uint64) Position { return Position{Era: era, Revision: revision} }

func recordWithSpec(name string, revision uint64, spec string) Record {
	return Record{Name: name, Revision: revision, Spec: json.RawMessage(spec)}
}

// The store is restored from a copy. Its listing replaces the local records even where its
// revisions are lower, and later changes count even if their revision was issued before. A
// listing of the earlier era that was in flight must not undo this.
func TestLaterEraReplacesAllRecords(t *testing.T) {
	r := NewReplica()
	var eras []Era
	r.OnEra = func(era Era) { eras = append(eras, era) }
	must.True(t, r.Listed([]Record{record("a", 90), record("lost", 95)}, inEra(1, 100)))
	must.True(t, r.Listed([]Record{record("a", 40)}, inEra(2, 50)))
	_, there := r.Get("lost")
	must.False(t, there)
	r.Changed([]Change{{Record: record("a", 60)}}, inEra(2, 60))
	got, _ := r.Get("a")
	must.Eq(t, 60, got.Revision)
	must.False(t, r.Listed([]Record{record("a", 90)}, inEra(1, 110)))
	r.Changed([]Change{{Record: record("a", 120)}}, inEra(1, 120))
	got, _ = r.Get("a")
	must.Eq(t, 60, got.Revision)
	must.Eq(t, inEra(2, 60), r.Position())
	must.Eq(t, []Era{1, 2}, eras)
}

// eraStore answers watches in its era, whatever revision they begin from.
type eraStore struct {
	Store
	era   Era
	lists int
	// next is when the next era begins, or zero.
	next time.Time
}

func (e *eraStore) now() Era {
	if !e.next.IsZero() && time.Now().After(e.next) {
		return e.era + 1
	}
	return e.era
}

func (e *eraStore) List(context.Context, string) (Listing, error) {
	e.lists++
	return Listing{Records: []Record{record(fmt.Sprint("of era ", e.now()), 10)}, Position: inEra(e.now(), 10)}, nil
}

func (e *eraStore) Watch(_ context.Context, _ string, since uint64, wait time.Duration) (Changes, error) {
	time.Sleep(wait)
	return Changes{Position: inEra(e.now(), max(since, 12))}, nil
}

// The store was restored from a copy and has passed the revision that a host has, so a
// watch from there succeeds, in another history. If it continued, the host would never
// learn the new history before that revision, nor drop the records that the store has
// lost.
func TestWatchAcrossErasListsAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &eraStore{era: 1}
		replica := NewReplica()
		follower := &Follower{Store: store, Kind: "k", Sink: replica, Wait: time.Second, Now: time.Now, Log: hclog.NewNullLogger()}
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		store.next = time.Now().Add(2500 * time.Millisecond)
		follower.Run(ctx)
		must.Eq(t, 2, store.lists)
		_, old := replica.Get("of era 1")
		must.False(t, old)
		_, there := replica.Get("of era 2")
		must.True(t, there)
	})
}

// The answer to a listing belongs to an earlier era than other hosts announced meanwhile.
// It must not count as confirmed. The store must not be asked again without a pause, since
// all hosts of the fleet would do that simultaneously.
func TestListingOfAnEarlierEraIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &eraStore{era: 1}
		replica := NewReplica()
		replica.Listed(nil, inEra(2, 7))
		confirmed := 0
		follower := &Follower{
			Store: store, Kind: "k", Sink: replica, Wait: 10 * time.Millisecond, Now: time.Now, Log: hclog.NewNullLogger(),
			OnConfirmed: func(time.Time) { confirmed++ },
		}
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		follower.Run(ctx)
		must.Eq(t, 0, confirmed)
		must.Between(t, 1, store.lists, 26)
	})
}

// Two hosts hold the same records, one of them confirmed in a new era. The other must
// adopt just the position, and then apply the next change although its revision was issued
// before. A host with different records must not adopt it.
func TestSameRecordsMoveToANewEra(t *testing.T) {
	keep := func(spec json.RawMessage) json.RawMessage { return spec }
	a, b := NewContentReplica(keep), NewContentReplica(keep)
	a.Listed([]Record{recordWithSpec("main", 40, "1")}, inEra(2, 50))
	b.Listed([]Record{recordWithSpec("main", 90, "1")}, inEra(1, 100))
	must.True(t, b.AdoptPosition(a.Version()))
	must.Eq(t, inEra(2, 50), b.Position())
	b.Changed([]Change{{Record: recordWithSpec("main", 60, "2")}}, inEra(2, 60))
	got, _ := b.Get("main")
	must.Eq(t, "2", string(got.Spec))
	other := NewContentReplica(keep)
	other.Listed([]Record{recordWithSpec("main", 90, "3")}, inEra(1, 100))
	must.False(t, other.AdoptPosition(a.Version()))
}

// A record that the store has lost and a later one have the same name and revision. If
// they counted as equal, hosts of two eras would not fetch the record from each other.
func TestRecordsOfOneRevisionInTwoErasDiffer(t *testing.T) {
	a, b := NewReplica(), NewReplica()
	a.Listed([]Record{recordWithSpec("claim", 9, "x")}, inEra(1, 9))
	b.Listed([]Record{recordWithSpec("claim", 9, "y")}, inEra(2, 9))
	must.False(t, a.AdoptPosition(b.Version()))
	parts, base := a.Parts()
	a.MergeParts(b.DifferingParts(parts), base)
	got, _ := a.Get("claim")
	must.Eq(t, "y", string(got.Spec))
	must.Eq(t, b.Version(), a.Version())
}

// A host of an earlier era asks for the changes since its revision, which the new era has
// passed. Those would belong to another history, so it must get the parts that differ.
func TestDifferencesOnlyWithinAnEra(t *testing.T) {
	a, b := NewReplica(), NewReplica()
	a.Listed([]Record{record("kept", 1), record("new", 5)}, inEra(2, 6))
	a.Changed([]Change{{Record: record("late", 20)}}, inEra(2, 20))
	b.Listed([]Record{record("kept", 1), record("lost", 8)}, inEra(1, 9))
	_, ok := a.ChangedSince(b.Position())
	must.False(t, ok)
	pull(t, a, b)
	must.Eq(t, a.Version(), b.Version())
	_, lost := b.Get("lost")
	must.False(t, lost)
	// Within the new era the history begins with it.
	a.Changed([]Change{{Record: record("kept", 30)}}, inEra(2, 30))
	snapshot, ok := a.ChangedSince(b.Position())
	must.True(t, ok)
	must.Len(t, 1, snapshot.Records)
}

// A write is answered in another era than the host's. It may be lost already, or belong to
// records that the host does not have, so it must not be applied. A listing of a new era
// removes the host's own writes of the earlier one.
func TestWriteOfAnotherEra(t *testing.T) {
	r := NewReplica()
	r.Listed(nil, inEra(2, 50))
	for _, era := range []Era{1, 3} {
		must.False(t, r.Put(Record{Name: "claim", Revision: 60, Era: era}))
	}
	_, there := r.Get("claim")
	must.False(t, there)
	must.True(t, r.Put(Record{Name: "claim", Revision: 60, Era: 2}))
	r.Listed(nil, inEra(3, 55))
	_, there = r.Get("claim")
	must.False(t, there)
	r.Listed([]Record{record("again", 56)}, inEra(3, 56))
	r.Drop(record("again", 56), 2)
	_, there = r.Get("again")
	must.True(t, there)
}
