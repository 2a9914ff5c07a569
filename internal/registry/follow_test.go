package registry

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cherrystage/cherrystage/internal/objectapi"
	"github.com/hashicorp/go-hclog"
	"github.com/shoenig/test/must"
)

// downStore fails every call and counts them.
type downStore struct {
	Store
	calls int
}

func (d *downStore) List(context.Context, string) (Listing, error) {
	d.calls++
	return Listing{}, &objectapi.Error{Op: "list", Cause: objectapi.ErrUnavailable}
}

func (d *downStore) Watch(context.Context, string, uint64, time.Duration) (Changes, error) {
	d.calls++
	return Changes{}, &objectapi.Error{Op: "watch", Cause: objectapi.ErrUnavailable}
}

func callsWhileDown(t *testing.T, maxPause time.Duration, revision uint64) int {
	store := &downStore{}
	synctest.Test(t, func(t *testing.T) {
		replica := NewReplica()
		if revision > 0 {
			replica.Listed(nil, at(revision))
		}
		follower := &Follower{
			Store: store, Kind: "k", Sink: replica, Wait: time.Second, Now: time.Now, Log: hclog.NewNullLogger(),
			MaxRetryPause: func() time.Duration { return maxPause },
		}
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		follower.Run(ctx)
	})
	return store.calls
}

// The store is down for ten seconds. Watching hosts and hosts without records ask twice a
// second. The others ask seldom, since every call has a price and other hosts tell them of
// the store's return.
func TestRetryPauseInAnOutage(t *testing.T) {
	must.Between(t, 18, callsWhileDown(t, defaultMaxRetryPause, 7), 26)
	must.Between(t, 18, callsWhileDown(t, 2*time.Second, 0), 26)
	must.LessEq(t, 10, callsWhileDown(t, 2*time.Second, 7))
	must.LessEq(t, 8, callsWhileDown(t, 9*time.Second, 7))
}

// A host leaves an outage to the others and then loses contact with them. It must ask the
// store at once instead of waiting for the end of its long pause.
func TestLongPauseEndsWithoutContact(t *testing.T) {
	store := &downStore{}
	quiet := 0
	synctest.Test(t, func(t *testing.T) {
		replica := NewReplica()
		replica.Listed(nil, at(7))
		begun := time.Now()
		follower := &Follower{
			Store: store, Kind: "k", Sink: replica, Wait: time.Second, Now: time.Now, Log: hclog.NewNullLogger(),
			MaxRetryPause: func() time.Duration {
				if time.Since(begun) < 10*time.Second {
					quiet = store.calls
					return time.Minute
				}
				return defaultMaxRetryPause
			},
		}
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		defer cancel()
		follower.Run(ctx)
	})
	must.Eq(t, 1, quiet)
	must.GreaterEq(t, quiet+15, store.calls)
}

// staleStore has a copy that is behind, of an earlier era, or down.
type staleStore struct {
	Store
	copied Listing
	away   bool
	lists  int
	// watched lists the revisions from which watches began.
	watched []uint64
}

func (c *staleStore) List(context.Context, string) (Listing, error) {
	c.lists++
	return Listing{Records: []Record{record("a", 1), record("b", 9)}, Position: Position{Era: 1, Revision: 10}}, nil
}

func (c *staleStore) ListStale(context.Context, string) (Listing, error) {
	if c.away {
		return Listing{}, &objectapi.Error{Op: "list", Cause: objectapi.ErrUnavailable}
	}
	return c.copied, nil
}

func (c *staleStore) Watch(_ context.Context, _ string, since uint64, wait time.Duration) (Changes, error) {
	c.watched = append(c.watched, since)
	time.Sleep(wait)
	return Changes{Position: Position{Era: 1, Revision: since}}, nil
}

// A host starts with a listing from a stale copy. The first listing of the store itself
// must add what the copy lacks and remove what the store has lost, and no watch may begin
// at the copy's position. If the copy is down or empty, the store must be listed at once.
func TestListingAfterStartFromStaleCopy(t *testing.T) {
	for _, test := range []struct {
		name   string
		store  staleStore
		copied int
	}{
		{name: "copy is behind", store: staleStore{copied: Listing{Records: []Record{record("a", 1)}, Position: Position{Era: 1, Revision: 5}}}, copied: 1},
		{name: "copy is of an earlier era", store: staleStore{copied: Listing{Records: []Record{record("a", 1), record("b", 40), record("lost", 45)}, Position: Position{Era: 1, Revision: 50}}}, copied: 1},
		{name: "copy is down", store: staleStore{away: true}},
		{name: "copy is empty", store: staleStore{}},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				replica := NewReplica()
				copied, confirmed := 0, 0
				follower := &Follower{
					Store: &test.store, Kind: "k", Sink: replica, Wait: time.Second, Now: time.Now, Log: hclog.NewNullLogger(),
					OnStaleList: func() { copied++ }, OnConfirmed: func(time.Time) { confirmed++ },
				}
				ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
				defer cancel()
				follower.Run(ctx)
				got, there := replica.Get("b")
				must.True(t, there)
				must.Eq(t, 9, got.Revision)
				_, there = replica.Get("lost")
				must.False(t, there)
				must.Eq(t, Position{Era: 1, Revision: 10}, replica.Position())
				must.Eq(t, 1, test.store.lists)
				must.Eq(t, test.copied, copied)
				must.Eq(t, []uint64{10}, test.store.watched)
				must.Positive(t, confirmed)
			})
		})
	}
}

// oneWatch answers one watch and no further ones.
type oneWatch struct {
	Store
	answer Changes
	after  time.Duration
	asked  bool
}

func (o *oneWatch) Watch(ctx context.Context, _ string, _ uint64, _ time.Duration) (Changes, error) {
	if o.asked {
		<-ctx.Done()
		return Changes{}, ctx.Err()
	}
	o.asked = true
	time.Sleep(o.after)
	return o.answer, nil
}

func (o *oneWatch) List(context.Context, string) (Listing, error) {
	time.Sleep(o.after)
	return Listing{Position: at(9), Age: o.answer.Age}, nil
}

// slowSink takes half a second to apply changes, like a host with a small share of a core.
type slowSink struct{ *Replica }

func (s slowSink) Changed(changes []Change, at Position) {
	time.Sleep(500 * time.Millisecond)
	s.Replica.Changed(changes, at)
}

// Records count as confirmed once they are applied, as of the time when the store began to
// answer, or at the latest when the watch's wait ended. Counted from the end of the
// answer, a large answer over a slow link, a slow reader and a suspended host would each
// tell others that nothing newer existed when it did.
func TestRecordsAreConfirmedAsOfTheResponseStart(t *testing.T) {
	news := []Change{{Record: record("a", 9)}}
	for _, test := range []struct {
		name      string
		answer    Changes
		after     time.Duration
		confirmed time.Duration
		asOf      time.Duration
	}{
		{"news over a thin link to a slow reader", Changes{List: news, Position: at(9), Age: 300 * time.Millisecond}, 700 * time.Millisecond, 1200 * time.Millisecond, 400 * time.Millisecond},
		{"nothing new", Changes{Position: at(7)}, time.Second, 1500 * time.Millisecond, time.Second},
		{"nothing new to a host that was suspended", Changes{Position: at(7)}, 5 * time.Second, 5500 * time.Millisecond, time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				replica := NewReplica()
				replica.Listed(nil, at(7))
				begun := time.Now()
				var confirmed, asOf time.Duration
				follower := &Follower{
					Store: &oneWatch{answer: test.answer, after: test.after}, Kind: "k", Sink: slowSink{replica}, Wait: time.Second, Now: time.Now, Log: hclog.NewNullLogger(),
					OnStaleList: nil, OnConfirmed: func(at time.Time) { confirmed, asOf = time.Since(begun), at.Sub(begun) },
				}
				ctx, cancel := context.WithTimeout(t.Context(), 6*time.Second)
				defer cancel()
				must.NoError(t, follower.watch(ctx))
				must.Eq(t, test.confirmed, confirmed)
				must.Eq(t, test.asOf, asOf)
			})
		})
	}
}

// A listing takes two seconds to begin at a store that hundreds of hosts ask together, and
// another second for its pages. It counts as of its first page. Counted from the request,
// hosts that start together would wait for another answer of the store before they claim
// runners.
func TestListingIsAsOldAsItsFirstPage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		begun := time.Now()
		var asOf time.Duration
		follower := &Follower{
			Store: &oneWatch{answer: Changes{Age: time.Second}, after: 3 * time.Second}, Kind: "k", Sink: NewReplica(), Wait: time.Second, Now: time.Now, Log: hclog.NewNullLogger(),
			OnConfirmed: func(at time.Time) { asOf = at.Sub(begun) },
		}
		must.NoError(t, follower.list(t.Context()))
		must.Eq(t, 2*time.Second, asOf)
	})
}

// After an outage a host of a large fleet is in a pause of ten seconds or more. After two
// the watching hosts reach the store and say so. The pause must end then: if those hosts
// die, this one must ask as soon as its records are too old, not eight seconds later.
func TestPauseEndsOnceOthersReachTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &downStore{}
		replica := NewReplica()
		replica.Listed(nil, at(7))
		begun := time.Now()
		reachedAfter := 2 * time.Second
		follower := &Follower{
			Store: store, Kind: "k", Sink: replica, Wait: time.Second, Now: time.Now, Log: hclog.NewNullLogger(),
			MaxRetryPause: func() time.Duration { return 20 * time.Second },
			WatchDelay: func() time.Duration {
				if since := time.Since(begun); since > reachedAfter {
					return reachedAfter + time.Second - since
				}
				return 0
			},
		}
		ctx, cancel := context.WithTimeout(t.Context(), 3500*time.Millisecond)
		defer cancel()
		follower.Run(ctx)
		must.Eq(t, 2, store.calls, must.Sprint("a listing in the outage, and a watch after it"))
	})
}

// listingStore lists and fails every watch.
type listingStore struct{ downStore }

func (*listingStore) List(context.Context, string) (Listing, error) {
	return Listing{Position: at(7)}, nil
}

// A host's own watches fail. It must not go on telling the other watching host that
// it begins watches: that one would leave the store to a host that the store does not answer.
func TestFailingWatchesAreNotAnnounced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &listingStore{}
		begun := 0
		follower := &Follower{
			Store: store, Kind: "k", Sink: NewReplica(), Wait: time.Second, Now: time.Now, Log: hclog.NewNullLogger(),
			OnWatch: func() { begun++ },
		}
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		follower.Run(ctx)
		must.Greater(t, 10, store.calls)
		must.Eq(t, 1, begun)
	})
}

// briefStore fails the first watch and notes how long the later ones wait.
type briefStore struct {
	listingStore
	waits []time.Duration
}

func (b *briefStore) Watch(_ context.Context, _ string, since uint64, wait time.Duration) (Changes, error) {
	b.waits = append(b.waits, wait)
	if len(b.waits) == 1 {
		return Changes{}, &objectapi.Error{Op: "watch", Cause: objectapi.ErrUnavailable}
	}
	time.Sleep(wait)
	return Changes{Position: at(since)}, nil
}

// The store is back from an outage for a second only. A watch that waits for changes would show
// nothing in that time, and hosts that need news from the store would miss it.
func TestFirstWatchAfterAnOutageIsShort(t *testing.T) {
	store := &briefStore{}
	synctest.Test(t, func(t *testing.T) {
		replica := NewReplica()
		replica.Listed(nil, at(7))
		follower := &Follower{Store: store, Kind: "k", Sink: replica, Wait: 2 * time.Second, Now: time.Now, Log: hclog.NewNullLogger()}
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		follower.Run(ctx)
	})
	must.Greater(t, 3, len(store.waits))
	must.LessEq(t, outageWait, store.waits[1])
	must.Eq(t, 2*time.Second, store.waits[2], must.Sprint("the store is back"))
}

// hangingStore fails the first watch, answers the second only after a time, and the others at once.
type hangingStore struct {
	listingStore
	watches int
	hangs   time.Duration
}

func (h *hangingStore) Watch(_ context.Context, _ string, since uint64, wait time.Duration) (Changes, error) {
	h.watches++
	switch h.watches {
	case 1:
		return Changes{}, &objectapi.Error{Op: "watch", Cause: objectapi.ErrUnavailable}
	case 2:
		time.Sleep(h.hangs)
	default:
		time.Sleep(wait)
	}
	return Changes{Position: at(since)}, nil
}

// A call hangs in an outage and is answered as the store is back. What it says is as old as the call, so the
// outage would look shorter than it was, and hosts that could not register in it would be declared dead.
func TestAnswerThatHungInAnOutageConfirmsNothing(t *testing.T) {
	const hangs = 1500 * time.Millisecond
	store := &hangingStore{hangs: hangs}
	synctest.Test(t, func(t *testing.T) {
		replica := NewReplica()
		replica.Listed(nil, at(7))
		begin := time.Now()
		var first time.Time
		follower := &Follower{Store: store, Kind: "k", Sink: replica, Wait: 2 * time.Second, Now: time.Now, Log: hclog.NewNullLogger(), OnConfirmed: func(asOf time.Time) {
			// The first listing comes before the outage.
			if first.IsZero() && asOf.After(begin) {
				first = asOf
			}
		}}
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		follower.Run(ctx)
		must.GreaterEq(t, hangs, first.Sub(begin))
		must.Less(t, hangs+time.Second, first.Sub(begin))
	})
}
