package adapters

import (
	"testing"
	"time"

	"github.com/cherrystage/cherrystage/internal/site"
	"github.com/shoenig/test/must"
)

// inUse makes a keeper whose only place is used by one request that will likely run
// for a time, and that held adapter 2 a moment ago.
func inUse(t *testing.T, now *time.Time, engine Engines, likely int) *Controller {
	k := keeperAt(now, 1, engine)
	k.slots.Loading(keyed(2), *now, *now)
	k.slots.Left(named(2))
	k.slots.Loading(keyed(1), *now, *now)
	*now = now.Add(time.Second)
	k.slots.Settle(*now)
	ask := admission(1, time.Second)
	ask.MaxOutputTokens, ask.ExpectedOutputTokens = 600, likely
	_, err := k.Admit(ask)
	must.NoError(t, err)
	return k
}

// All places are in use, one by an answer that will end soon. A request for an
// adapter that the runner held lately waits for that place and is there in time; one
// for an adapter that it never held is sent on at once. Sent on as well, the first
// would have had its adapter fetched on another runner.
func TestAdapterHeldLatelyWaitsForItsPlace(t *testing.T) {
	now := epoch
	engine := &fakeEngine{answers: []Outcome{OutcomeDone}}
	k := inUse(t, &now, engine, 10)
	_, err := k.Admit(admission(3, 800*time.Millisecond))
	must.ErrorIs(t, err, ErrNoFreeSlot)
	asked := now
	admitted, err := k.Admit(admission(2, 800*time.Millisecond))
	must.NoError(t, err)
	must.True(t, admitted.AskAgain)
	must.Between(t, 150*time.Millisecond, admitted.At.Sub(now), 350*time.Millisecond)
	must.Eq(t, transitPoll, k.next(t.Context()))

	now = now.Add(200 * time.Millisecond)
	k.RequestsEnded(map[site.Adapter]int{named(1): 1})
	must.Eq(t, 0, k.next(t.Context()))
	must.Eq(t, 0, k.next(t.Context()))
	now = now.Add(firstReloadTime)
	ask := admission(2, 800*time.Millisecond-now.Sub(asked))
	ask.Waited = true
	admitted, err = k.Admit(ask)
	must.NoError(t, err)
	must.False(t, admitted.AskAgain)
	must.Less(t, 800*time.Millisecond, admitted.At.Sub(asked))
	must.Len(t, 2, engine.orders)
}

// The place is used by a long answer. Whoever would wait for it beyond the time of a
// fetch is sent on at once.
func TestNobodyWaitsForALongAnswer(t *testing.T) {
	now := epoch
	k := inUse(t, &now, &fakeEngine{}, 400)
	_, err := k.Admit(admission(2, 10*time.Second))
	must.ErrorIs(t, err, ErrNoFreeSlot)
}

// The answer that should have ended does not. Who waits for its place is told so
// when it comes again and searches on; waiting for good, it would be refused late.
func TestPlaceThatDoesNotComeFree(t *testing.T) {
	now := epoch
	k := inUse(t, &now, &fakeEngine{}, 10)
	admitted, err := k.Admit(admission(2, 800*time.Millisecond))
	must.NoError(t, err)
	now = admitted.At.Add(overdue)
	must.Eq(t, 0, k.next(t.Context()))
	must.SliceEmpty(t, k.waiting)
}

// Answers take twice as long as callers think, on this runner. After some of them its
// places are expected to come free when they do.
func TestPaceIsLearnt(t *testing.T) {
	now := epoch
	slots := NewSlots(1)
	slots.Loading(keyed(1), now, now)
	likely := 400 * time.Millisecond
	for range 100 {
		slots.Settle(now)
		slots.Begin(named(1), Run{At: now, Likely: likely, Longest: time.Minute})
		now = now.Add(2 * likely)
		slots.End(named(1), 1, now)
	}
	slots.Begin(named(1), Run{At: now, Likely: likely, Longest: time.Minute})
	at, ok := slots.PlaceAt(1, now)
	must.True(t, ok)
	must.Between(t, 19*likely/10, at.Sub(now), 21*likely/10)
	_, ok = slots.PlaceAt(2, now)
	must.False(t, ok)
}
