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

// in is a position in an era.
func in(era Era, revision uint64) Position { return Position{Era: era, Revision: revision} }

func spelled(name string, revision uint64, spec string) Record {
	return Record{Name: name, Revision: revision, Spec: json.RawMessage(spec)}
}

// The store comes back from a copy. What it lists replaces what a host knows, also where its
// revisions are lower, and changes after it count, also those whose revision a record had
// before. A listing of the earlier era that was under way takes nothing back.
func TestLaterEraReplacesAllRecords(t *testing.T) {
	r := NewReplica()
	var eras []Era
	r.OnEra = func(era Era) { eras = append(eras, era) }
	must.True(t, r.Listed([]Record{record("a", 90), record("lost", 95)}, in(1, 100)))
	must.True(t, r.Listed([]Record{record("a", 40)}, in(2, 50)))
	_, there := r.Get("lost")
	must.False(t, there)
	r.Changed([]Change{{Record: record("a", 60)}}, in(2, 60))
	got, _ := r.Get("a")
	must.Eq(t, 60, got.Revision)
	must.False(t, r.Listed([]Record{record("a", 90)}, in(1, 110)))
	r.Changed([]Change{{Record: record("a", 120)}}, in(1, 120))
	got, _ = r.Get("a")
	must.Eq(t, 60, got.Revision)
	must.Eq(t, in(2, 60), r.Position())
	must.Eq(t, []Era{1, 2}, eras)
}

// eraStore answers watches in its era, whatever the revision that they begin from.
type eraStore struct {
	Store
	era   Era
	lists int
	// next is when the store is in the next era, never where it is zero.
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
	return Listing{Records: []Record{record(fmt.Sprint("of era ", e.now()), 10)}, Position: in(e.now(), 10)}, nil
}

func (e *eraStore) Watch(_ context.Context, _ string, since uint64, wait time.Duration) (Changes, error) {
	time.Sleep(wait)
	return Changes{Position: in(e.now(), max(since, 12))}, nil
}

// The store came back from a copy and has passed the revision that a host knows: the watch from
// it succeeds, in another history. Gone on with, the host would never learn what stands in the
// new one before that revision, nor forget what the store has lost.
func TestWatchAcrossErasIsALostHistory(t *testing.T) {
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

// The answer to a listing is of an earlier era than what others have told meanwhile. It does
// not count as knowledge, and the store is not asked again at once: a fleet would list without
// a pause.
func TestListingOfAnEarlierEraIsNoKnowledge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &eraStore{era: 1}
		replica := NewReplica()
		replica.Listed(nil, in(2, 7))
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

// Two hosts hold the same records, one of them by the word of the new era. The other takes over
// the position alone, and the next change counts for it although its revision was given out
// before. One whose records differ does not.
func TestSameRecordsMoveToANewEra(t *testing.T) {
	keep := func(spec json.RawMessage) json.RawMessage { return spec }
	a, b := NewContentReplica(keep), NewContentReplica(keep)
	a.Listed([]Record{spelled("main", 40, "1")}, in(2, 50))
	b.Listed([]Record{spelled("main", 90, "1")}, in(1, 100))
	must.True(t, b.AdoptPosition(a.Version()))
	must.Eq(t, in(2, 50), b.Position())
	b.Changed([]Change{{Record: spelled("main", 60, "2")}}, in(2, 60))
	got, _ := b.Get("main")
	must.Eq(t, "2", string(got.Spec))
	other := NewContentReplica(keep)
	other.Listed([]Record{spelled("main", 90, "3")}, in(1, 100))
	must.False(t, other.AdoptPosition(a.Version()))
}

// A record that the store has lost and one that it wrote since have one name and one revision.
// Taken for the same, hosts of two eras would not fetch it from each other.
func TestRecordsOfOneRevisionInTwoErasDiffer(t *testing.T) {
	a, b := NewReplica(), NewReplica()
	a.Listed([]Record{spelled("claim", 9, "x")}, in(1, 9))
	b.Listed([]Record{spelled("claim", 9, "y")}, in(2, 9))
	must.False(t, a.AdoptPosition(b.Version()))
	parts, base := a.Parts()
	a.MergeParts(b.DifferingParts(parts), base)
	got, _ := a.Get("claim")
	must.Eq(t, "y", string(got.Spec))
	must.Eq(t, b.Version(), a.Version())
}

// A host of the earlier era asks for what changed since its revision, which the new era has
// passed. Differences from there are those of another history: it gets the parts that differ.
func TestDifferencesOnlyWithinAnEra(t *testing.T) {
	a, b := NewReplica(), NewReplica()
	a.Listed([]Record{record("kept", 1), record("new", 5)}, in(2, 6))
	a.Changed([]Change{{Record: record("late", 20)}}, in(2, 20))
	b.Listed([]Record{record("kept", 1), record("lost", 8)}, in(1, 9))
	_, ok := a.ChangedSince(b.Position())
	must.False(t, ok)
	pull(t, a, b)
	must.Eq(t, a.Version(), b.Version())
	_, lost := b.Get("lost")
	must.False(t, lost)
	// Within the new era the history begins with it.
	a.Changed([]Change{{Record: record("kept", 30)}}, in(2, 30))
	snapshot, ok := a.ChangedSince(b.Position())
	must.True(t, ok)
	must.Len(t, 1, snapshot.Records)
}

// A write is answered in another era than the one that the host knows: it may be lost already,
// or stand among records of which the host knows nothing. It is not noted either way, and a
// listing of the new era takes the host's own writes of the earlier one away.
func TestWriteOfAnotherEra(t *testing.T) {
	r := NewReplica()
	r.Listed(nil, in(2, 50))
	for _, era := range []Era{1, 3} {
		must.False(t, r.Put(Record{Name: "claim", Revision: 60, Era: era}))
	}
	_, there := r.Get("claim")
	must.False(t, there)
	must.True(t, r.Put(Record{Name: "claim", Revision: 60, Era: 2}))
	r.Listed(nil, in(3, 55))
	_, there = r.Get("claim")
	must.False(t, there)
	r.Listed([]Record{record("again", 56)}, in(3, 56))
	r.Drop("again", 2)
	_, there = r.Get("again")
	must.True(t, there)
}
