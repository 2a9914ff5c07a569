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
	must.True(t, r.Has(testKey(0)), must.Sprint("the one in use stays"))
	must.False(t, r.Has(testKey(1)))
	for i := range 3 * maxReplicas {
		r.Add(testKey(0), testKey(i).Name)
	}
	must.SliceLen(t, maxReplicas, r.byKey[testKey(0)].runners)
}

// An adapter's home was busy when it was first asked for, so it lies on another
// runner. The home is free again when the next request comes. It sends the
// request to where the adapter lies and loads nothing; only when nobody there
// takes it does it load the adapter itself.
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

// A runner that is asked as any other does not send requests away: only the home
// knows, and two runners that named each other would turn every request round.
func TestOnlyTheHomeRefersToReplicas(t *testing.T) {
	now := epoch
	c := newTestController(&now, 8, &fakeEngine{})
	c.AddReplica(testKey(1), "other")
	_, err := c.Admit(testRequest(1, time.Second))
	must.NoError(t, err)
}

// A busy home of a much wanted adapter names the runners that have it too.
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

// All slots of a runner are taken. A request whose adapter lies there waits a
// moment for a slot; one whose adapter would have to be loaded goes elsewhere.
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

// Three fetches are wanted, and an adapter that left the runner a moment ago. The
// latter needs nothing of the weight store: it is ordered first, beside a fetch
// that is on its way, and its request waits for 30 ms and not for the fetches.
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

// A version that the runner never held has to be fetched, whatever it held of the
// adapter before.
func TestNewVersionIsNoReload(t *testing.T) {
	now := epoch
	s := NewAdapterSlots(8)
	s.LoadAccepted(Key{Adapter: testAdapter(1), Version: 1}, now, now)
	s.Unloaded(testAdapter(1))
	must.True(t, s.HeldRecently(Key{Adapter: testAdapter(1), Version: 1}))
	must.False(t, s.HeldRecently(Key{Adapter: testAdapter(1), Version: 2}))
}

// More loads are wanted than can be in time. Of those that are late anyhow, the
// one that most requests wait for comes first.
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
		{"a store that does not tell its rate", 0, 10, 8.9},
	} {
		t.Run(test.name, func(t *testing.T) {
			must.InDelta(t, test.want, FetchCapacityPerRunner(test.perS, test.runners)*float64(test.runners), 0.06)
		})
	}
}

// All runners begin to load in the same second, and each host knows of its own
// runner only. With twice as many at a time as the weight store serves at full
// speed, the first load is taken to last twice as long.
func TestFirstLoadAfterATotalLoss(t *testing.T) {
	now := epoch
	c := newTestController(&now, 8, &fakeEngine{})
	c.StoreLoad = func() StoreLoad { return StoreLoad{Fetches: 0, Capacity: 0.5} }
	c.loadAdapter(t.Context(), testKey(1))
	readyAt, ok := c.slots.Ready(testKey(1))
	must.True(t, ok)
	must.Eq(t, 2*initialFetchTime, readyAt.Sub(now))
}
