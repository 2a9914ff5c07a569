package adapters

import (
	"errors"
	"testing"
	"time"

	"github.com/cherrystage/cherrystage/internal/board"
	"github.com/shoenig/test/must"
)

// Without this rule adapters are fetched to a runner that takes few requests, and
// again elsewhere for the requests that can't wait for their turn there.
func TestNothingIsFetchedToALimitedRunner(t *testing.T) {
	now := epoch
	c := newTestController(&now, 4, &fakeEngine{})
	c.slots.ApplyReport(0, []Held{{Key: testKey(1)}}, 0, now, now)
	c.RunnerView = func(string, time.Time) board.View { return board.View{Limited: true, Rate: 2} }

	_, err := c.Admit(testRequest(2, time.Second))
	must.ErrorIs(t, err, ErrBusy)
	_, err = c.Admit(testRequest(1, time.Second))
	must.NoError(t, err, must.Sprint("the runner holds it"))
	c.RunnerView = func(string, time.Time) board.View { return board.View{Limited: true, Rate: 2, LimitAge: limitRecheck} }
	_, err = c.Admit(testRequest(3, time.Second))
	must.NoError(t, err, must.Sprint("its limit may be over"))
	c.RunnerView = func(string, time.Time) board.View { return board.View{Limited: true, Rate: 2} }
	lastResort := testRequest(2, time.Second)
	lastResort.LastResort = true
	_, err = c.Admit(lastResort)
	must.NoError(t, err, must.Sprint("no other runner admits it"))
}

// A host that may not send to an adapter's home asks it which other runners hold the
// adapter. Otherwise it would have the adapter fetched again.
func TestHomeNamesReplicasToHostThatMayNotSend(t *testing.T) {
	now := epoch
	c := newTestController(&now, 4, &fakeEngine{})
	c.slots.ApplyReport(0, []Held{{Key: testKey(1)}}, 0, now, now)
	c.AddReplica(testKey(1), "other")
	ask := testRequest(1, time.Second)
	ask.Home, ask.Barred = true, true

	_, err := c.Admit(ask)
	var replicated *ReplicatedError
	must.True(t, errors.As(err, &replicated))
	must.Eq(t, &ReplicatedError{Refusal: ErrBarred, Runners: []string{"other"}}, replicated)
}
