package adapters

import (
	"testing"
	"time"

	"github.com/cherrystage/cherrystage/internal/board"
	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
)

func TestReplicasArePickedInTurn(t *testing.T) {
	r := NewReplicas()
	must.SliceEmpty(t, r.Pick(testKey(1)))
	for _, runner := range []string{"a", "b", "c", "d", "b"} {
		r.Add(testKey(1), runner)
	}
	must.Eq(t, []string{"a", "b", "c"}, r.Pick(testKey(1)))
	must.Eq(t, []string{"d", "a", "b"}, r.Pick(testKey(1)))
	r.Retain(func(runner string) bool { return runner == "c" })
	must.Eq(t, []string{"c"}, r.Pick(testKey(1)))
	r.Retain(func(string) bool { return false })
	must.False(t, r.Has(testKey(1)))
}

func TestReplicasAreBounded(t *testing.T) {
	r := NewReplicas()
	for i := range maxTrackedAdapters + 10 {
		r.Add(testKey(i), "a")
		r.Add(testKey(0), "b")
	}
	must.MapLen(t, maxTrackedAdapters, r.byKey)
	must.True(t, r.Has(testKey(0)), must.Sprint("the one in use is kept"))
	must.False(t, r.Has(testKey(1)))
	for i := range 3 * maxReplicas {
		r.Add(testKey(0), testKey(i).Name)
	}
	must.SliceLen(t, maxReplicas, r.byKey[testKey(0)].runners)
}

// An adapter's home was busy when the adapter was first requested, so another runner
// holds it. When the next request comes, the home has room. It refers the request to
// that runner and loads nothing; only if no replica admits the request does it load
// the adapter itself.
func TestHomeRefersToReplicas(t *testing.T) {
	now := epoch
	c := newTestController(&now, 8, &fakeEngine{})
	c.AddReplica(testKey(1), "other")
	ask := testRequest(1, time.Second)
	ask.Home = true
	_, err := c.Admit(ask)
	var replicated *ReplicatedError
	must.True(t, errors.As(err, &replicated))
	must.ErrorIs(t, err, ErrHeldElsewhere)
	must.Eq(t, []string{"other"}, replicated.Runners)
	must.SliceEmpty(t, c.pending)
	ask.Retry = true
	admitted, err := c.Admit(ask)
	must.NoError(t, err)
	must.True(t, admitted.AskAgain)
	must.SliceLen(t, 1, c.pending)
}

// A runner that isn't the adapter's home refers no request elsewhere: only the home
// knows the replicas, and two runners that named each other would pass requests back
// and forth.
func TestOnlyTheHomeRefersToReplicas(t *testing.T) {
	now := epoch
	c := newTestController(&now, 8, &fakeEngine{})
	c.AddReplica(testKey(1), "other")
	_, err := c.Admit(testRequest(1, time.Second))
	must.NoError(t, err)
}

// The busy home of a popular adapter names the other runners that hold it.
func TestBusyHomeNamesReplicas(t *testing.T) {
	now := epoch
	c := newTestController(&now, 8, &fakeEngine{})
	c.RunnerView = func(string, time.Time) board.View { return board.View{Load: 64} }
	c.AddReplica(testKey(1), "other")
	ask := testRequest(1, time.Second)
	ask.Home = true
	_, err := c.Admit(ask)
	must.ErrorIs(t, err, ErrBusy)
	var replicated *ReplicatedError
	must.True(t, errors.As(err, &replicated))
}

// All request slots of a runner are in use. A request whose adapter is on the runner
// may queue for a slot; one whose adapter would have to be loaded goes elsewhere.
func TestFullRunnerAdmitsLoadedAdapters(t *testing.T) {
	now := epoch
	c := newTestController(&now, 8, &fakeEngine{})
	c.RunnerView = func(string, time.Time) board.View { return board.View{Load: 64} }
	_, err := c.Admit(testRequest(1, time.Second))
	must.ErrorIs(t, err, ErrBusy)
	c.slots.LoadAccepted(testKey(1), now, now)
	_, err = c.Admit(testRequest(1, time.Second))
	must.NoError(t, err)
}

// Three fetches are requested, and then an adapter that was unloaded a moment ago.
// The latter needs nothing from the weight store: its load is ordered first, during a
// running fetch, and its request waits for 30 ms instead of for the fetches.
func TestReloadsGoBeforeFetches(t *testing.T) {
	now := epoch
	engine := &fakeEngine{}
	c := newTestController(&now, 8, engine)
	c.StoreLoad = saturatedStore
	c.slots.LoadAccepted(testKey(0), now, now)
	c.slots.Unloaded(testAdapter(0))
	for i := 1; i <= 3; i++ {
		_, err := c.Admit(testRequest(i, time.Second))
		must.NoError(t, err)
	}
	must.Eq(t, 0, c.runNext(t.Context()))
	must.Eq(t, testKey(1), engine.orders[0].Key)
	admitted, err := c.Admit(testRequest(0, time.Second))
	must.NoError(t, err)
	must.Eq(t, initialReloadTime, admitted.At.Sub(now))
	must.Eq(t, 0, c.runNext(t.Context()))
	must.Eq(t, testKey(0), engine.orders[1].Key)
	must.Eq(t, loadPollInterval, c.runNext(t.Context()), must.Sprint("the fetches wait for the store"))
}

// A version that the runner never held has to be fetched, even if the runner held
// other versions of the adapter.
func TestNewVersionIsNotTakenForAReload(t *testing.T) {
	now := epoch
	s := NewAdapterSlots(8)
	s.LoadAccepted(Key{Adapter: testAdapter(1), Version: 1}, now, now)
	s.Unloaded(testAdapter(1))
	must.True(t, s.HeldRecently(Key{Adapter: testAdapter(1), Version: 1}))
	must.False(t, s.HeldRecently(Key{Adapter: testAdapter(1), Version: 2}))
}

// More loads are requested than can be done in time. Of those that are late in any
// case, the one that most requests wait for goes first.
func TestLateLoadsAreOrderedByRequests(t *testing.T) {
	now := epoch
	c := newTestController(&now, 100, &fakeEngine{})
	for _, i := range []int{1, 2, 3, 2, 2, 3} {
		ask := testRequest(i, 0)
		ask.LastResort = true
		_, err := c.Admit(ask)
		must.NoError(t, err)
	}
	must.Eq(t, testKey(2), c.nextPending().key)
	c.dropPending(testKey(2))
	must.Eq(t, testKey(3), c.nextPending().key)
}

// The names give the concurrent fetches by the platform's data sheets, want the
// estimates.
func TestFetchCapacityOfTheWeightStore(t *testing.T) {
	for _, test := range []struct {
		name    string
		perS    float64
		runners int
		want    float64
	}{
		{"9 runners, 8 at a time", 3.5, 9, 8},
		{"18 runners, 16 at a time", 5.8, 18, 13.3},
		{"112 runners, 64 at a time", 32, 112, 73.6},
		{"a store with an unknown rate", 0, 10, 8.9},
	} {
		t.Run(test.name, func(t *testing.T) {
			must.InDelta(t, test.want, FetchCapacityPerRunner(test.perS, test.runners)*float64(test.runners), 0.06)
		})
	}
}

// All runners start to load in the same second, and each host knows only its own
// runner. With twice as many loads as the weight store serves at full speed, the
// first load is estimated to take twice as long.
func TestFirstLoadAfterATotalLoss(t *testing.T) {
	now := epoch
	c := newTestController(&now, 8, &fakeEngine{})
	c.StoreLoad = func() StoreLoad { return StoreLoad{Fetches: 0, Capacity: 0.5} }
	c.loadAdapter(t.Context(), testKey(1))
	readyAt, ok := c.slots.Ready(testKey(1))
	must.True(t, ok)
	must.Eq(t, 2*initialFetchTime, readyAt.Sub(now))
}
