package adapters

import (
	"testing"
	"time"

	"github.com/cherrystage/cherrystage/internal/board"
	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
)

func TestReplicasNameInTurn(t *testing.T) {
	r := NewReplicas()
	must.SliceEmpty(t, r.Named(keyed(1)))
	for _, runner := range []string{"a", "b", "c", "d", "b"} {
		r.Placed(keyed(1), runner)
	}
	must.Eq(t, []string{"a", "b", "c"}, r.Named(keyed(1)))
	must.Eq(t, []string{"d", "a", "b"}, r.Named(keyed(1)))
	r.Keep(func(runner string) bool { return runner == "c" })
	must.Eq(t, []string{"c"}, r.Named(keyed(1)))
	r.Keep(func(string) bool { return false })
	must.False(t, r.Known(keyed(1)))
}

func TestReplicasAreBounded(t *testing.T) {
	r := NewReplicas()
	for i := range maxReplicated + 10 {
		r.Placed(keyed(i), "a")
		r.Placed(keyed(0), "b")
	}
	must.MapLen(t, maxReplicated, r.byKey)
	must.True(t, r.Known(keyed(0)), must.Sprint("the one in use stays"))
	must.False(t, r.Known(keyed(1)))
	for i := range 3 * maxReplicas {
		r.Placed(keyed(0), keyed(i).Name)
	}
	must.SliceLen(t, maxReplicas, r.byKey[keyed(0)].runners)
}

// An adapter's home was busy when it was first asked for, so it lies on another
// runner. The home is free again when the next request comes. It sends the
// request to where the adapter lies and loads nothing; only when nobody there
// takes it does it load the adapter itself.
func TestHomeSendsWhereTheAdapterLies(t *testing.T) {
	now := epoch
	k := keeperAt(&now, 8, &fakeEngine{})
	k.AddReplica(keyed(1), "other")
	ask := admission(1, time.Second)
	ask.Home = true
	_, err := k.Admit(ask)
	var replicated *ReplicatedError
	must.True(t, errors.As(err, &replicated))
	must.ErrorIs(t, err, ErrHeldElsewhere)
	must.Eq(t, []string{"other"}, replicated.Runners)
	must.SliceEmpty(t, k.waiting)
	ask.Retry = true
	admitted, err := k.Admit(ask)
	must.NoError(t, err)
	must.True(t, admitted.AskAgain)
	must.SliceLen(t, 1, k.waiting)
}

// A runner that is asked as any other does not send requests away: only the home
// knows, and two runners that named each other would turn every request round.
func TestOnlyTheHomeSendsElsewhere(t *testing.T) {
	now := epoch
	k := keeperAt(&now, 8, &fakeEngine{})
	k.AddReplica(keyed(1), "other")
	_, err := k.Admit(admission(1, time.Second))
	must.NoError(t, err)
}

// A busy home of a much wanted adapter names the runners that have it too.
func TestBusyHomeNamesReplicas(t *testing.T) {
	now := epoch
	k := keeperAt(&now, 8, &fakeEngine{})
	k.RunnerView = func(string, time.Time) board.View { return board.View{Load: 64} }
	k.AddReplica(keyed(1), "other")
	ask := admission(1, time.Second)
	ask.Home = true
	_, err := k.Admit(ask)
	must.ErrorIs(t, err, ErrBusy)
	var replicated *ReplicatedError
	must.True(t, errors.As(err, &replicated))
}

// All slots of a runner are taken. A request whose adapter lies there waits a
// moment for a slot; one whose adapter would have to be loaded goes elsewhere.
func TestSlotsForWhatLiesThere(t *testing.T) {
	now := epoch
	k := keeperAt(&now, 8, &fakeEngine{})
	k.RunnerView = func(string, time.Time) board.View { return board.View{Load: 64} }
	_, err := k.Admit(admission(1, time.Second))
	must.ErrorIs(t, err, ErrBusy)
	k.slots.Loading(keyed(1), now, now)
	_, err = k.Admit(admission(1, time.Second))
	must.NoError(t, err)
}

// Three fetches are wanted, and an adapter that left the runner a moment ago. The
// latter needs nothing of the weight store: it is ordered first, beside a fetch
// that is on its way, and its request waits for 30 ms and not for the fetches.
func TestReloadsPassFetches(t *testing.T) {
	now := epoch
	engine := &fakeEngine{}
	k := keeperAt(&now, 8, engine)
	k.StoreLoad = crowded
	k.slots.Loading(keyed(0), now, now)
	k.slots.Left(named(0))
	for i := 1; i <= 3; i++ {
		_, err := k.Admit(admission(i, time.Second))
		must.NoError(t, err)
	}
	must.Eq(t, 0, k.next(t.Context()))
	must.Eq(t, keyed(1), engine.orders[0].Key)
	admitted, err := k.Admit(admission(0, time.Second))
	must.NoError(t, err)
	must.Eq(t, firstReloadTime, admitted.At.Sub(now))
	must.Eq(t, 0, k.next(t.Context()))
	must.Eq(t, keyed(0), engine.orders[1].Key)
	must.Eq(t, transitPoll, k.next(t.Context()), must.Sprint("the fetches wait for the store"))
}

// A version that the runner never held has to be fetched, whatever it held of the
// adapter before.
func TestNewVersionIsNoReload(t *testing.T) {
	now := epoch
	s := NewSlots(8)
	s.Loading(Key{Adapter: named(1), Version: 1}, now, now)
	s.Left(named(1))
	must.True(t, s.Recent(Key{Adapter: named(1), Version: 1}))
	must.False(t, s.Recent(Key{Adapter: named(1), Version: 2}))
}

// More loads are wanted than can be in time. Of those that are late anyhow, the
// one that most requests wait for comes first.
func TestLateLoadsGoByAskers(t *testing.T) {
	now := epoch
	k := keeperAt(&now, 100, &fakeEngine{})
	for _, i := range []int{1, 2, 3, 2, 2, 3} {
		ask := admission(i, 0)
		ask.LastResort = true
		_, err := k.Admit(ask)
		must.NoError(t, err)
	}
	must.Eq(t, keyed(2), k.firstWaiting().key)
	k.drop(keyed(2))
	must.Eq(t, keyed(3), k.firstWaiting().key)
}

func TestFullShareOfTheWeightStore(t *testing.T) {
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
	k := keeperAt(&now, 8, &fakeEngine{})
	k.StoreLoad = func() StoreLoad { return StoreLoad{Fetches: 0, Capacity: 0.5} }
	k.loadAdapter(t.Context(), keyed(1))
	readyAt, ok := k.slots.Ready(keyed(1))
	must.True(t, ok)
	must.Eq(t, 2*firstLoadTime, readyAt.Sub(now))
}
