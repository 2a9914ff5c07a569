package adapters

import (
	"testing"
	"time"

	"github.com/cherrystage/cherrystage/internal/site"
	"github.com/shoenig/test/must"
)

// controllerWithBusySlot returns a controller whose only slot is used by one request
// with the given expected output, and whose runner held adapter 2 recently.
func controllerWithBusySlot(t *testing.T, now *time.Time, engine Engines, outputTokens int) *Controller {
	c := newTestController(now, 1, engine)
	c.slots.LoadAccepted(testKey(2), *now, *now)
	c.slots.Unloaded(testAdapter(2))
	c.slots.LoadAccepted(testKey(1), *now, *now)
	*now = now.Add(time.Second)
	c.slots.Advance(*now)
	ask := testRequest(1, time.Second)
	ask.MaxOutputTokens, ask.ExpectedOutputTokens = 600, outputTokens
	_, err := c.Admit(ask)
	must.NoError(t, err)
	return c
}

// All slots are in use, one by a request that will end soon. A request for an adapter
// that the runner held recently waits for that slot and is on time; one for an
// adapter that it never held is refused at once. Refused as well, the first would
// have its adapter fetched on another runner.
func TestRecentAdapterWaitsForASlot(t *testing.T) {
	now := epoch
	engine := &fakeEngine{answers: []Outcome{OutcomeDone}}
	c := controllerWithBusySlot(t, &now, engine, 10)
	_, err := c.Admit(testRequest(3, 800*time.Millisecond))
	must.ErrorIs(t, err, ErrNoFreeSlot)
	asked := now
	admitted, err := c.Admit(testRequest(2, 800*time.Millisecond))
	must.NoError(t, err)
	must.True(t, admitted.AskAgain)
	must.Between(t, 150*time.Millisecond, admitted.At.Sub(now), 350*time.Millisecond)
	must.Eq(t, loadPollInterval, c.runNext(t.Context()))

	now = now.Add(200 * time.Millisecond)
	c.RequestsEnded(map[site.Adapter]int{testAdapter(1): 1})
	must.Eq(t, 0, c.runNext(t.Context()))
	must.Eq(t, 0, c.runNext(t.Context()))
	now = now.Add(initialReloadTime)
	ask := testRequest(2, 800*time.Millisecond-now.Sub(asked))
	ask.Waited = true
	admitted, err = c.Admit(ask)
	must.NoError(t, err)
	must.False(t, admitted.AskAgain)
	must.Less(t, 800*time.Millisecond, admitted.At.Sub(asked))
	must.Len(t, 2, engine.orders)
}

// The slot is used by a long response. A request that would wait for it longer than a
// fetch takes is refused at once.
func TestNoWaitForALongResponse(t *testing.T) {
	now := epoch
	c := controllerWithBusySlot(t, &now, &fakeEngine{}, 400)
	_, err := c.Admit(testRequest(2, 10*time.Second))
	must.ErrorIs(t, err, ErrNoFreeSlot)
}

// A request that should have ended does not. The load that waits for its slot is
// dropped, so that its request goes to another runner when it asks again instead of
// being refused late.
func TestLoadIsDroppedWhenItsSlotIsNotFreed(t *testing.T) {
	now := epoch
	c := controllerWithBusySlot(t, &now, &fakeEngine{}, 10)
	admitted, err := c.Admit(testRequest(2, 800*time.Millisecond))
	must.NoError(t, err)
	now = admitted.At.Add(overdueExtension)
	must.Eq(t, 0, c.runNext(t.Context()))
	must.SliceEmpty(t, c.pending)
}

// Requests take twice as long as expected on this runner. After some of them the
// estimate of when its slots become free is right.
func TestRuntimeFactorIsLearned(t *testing.T) {
	now := epoch
	slots := NewAdapterSlots(1)
	slots.LoadAccepted(testKey(1), now, now)
	expected := 400 * time.Millisecond
	for range 100 {
		slots.Advance(now)
		slots.BeginRun(testAdapter(1), Run{SentAt: now, Expected: expected, Max: time.Minute})
		now = now.Add(2 * expected)
		slots.EndRuns(testAdapter(1), 1, now)
	}
	slots.BeginRun(testAdapter(1), Run{SentAt: now, Expected: expected, Max: time.Minute})
	at, ok := slots.SlotsFreeAt(1, now)
	must.True(t, ok)
	must.Between(t, 19*expected/10, at.Sub(now), 21*expected/10)
	_, ok = slots.SlotsFreeAt(2, now)
	must.False(t, ok)
}
