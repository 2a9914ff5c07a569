package adapters

import (
	"errors"
	"testing"
	"time"

	"github.com/cherrystage/cherrystage/internal/board"
	"github.com/shoenig/test/must"
)

// Adapters are fetched to a runner that takes few requests, and once more elsewhere for the
// callers that cannot wait for their turn there.
func TestNothingIsFetchedToALimitedRunner(t *testing.T) {
	now := epoch
	k := keeperAt(&now, 4, &fakeEngine{})
	k.slots.Reported(0, []Held{{Key: keyed(1)}}, 0, now, now)
	k.RunnerView = func(string, time.Time) board.View { return board.View{Limited: true, Rate: 2} }

	_, err := k.Admit(admission(2, time.Second))
	must.ErrorIs(t, err, ErrBusy)
	_, err = k.Admit(admission(1, time.Second))
	must.NoError(t, err, must.Sprint("it lies there"))
	k.RunnerView = func(string, time.Time) board.View { return board.View{Limited: true, Rate: 2, LimitAge: limitRecheck} }
	_, err = k.Admit(admission(3, time.Second))
	must.NoError(t, err, must.Sprint("its limit may be over"))
	k.RunnerView = func(string, time.Time) board.View { return board.View{Limited: true, Rate: 2} }
	last := admission(2, time.Second)
	last.LastResort = true
	_, err = k.Admit(last)
	must.NoError(t, err, must.Sprint("no other runner takes it"))
}

// A host that may not send to an adapter's home has the adapter fetched anew although it lies
// on another runner.
func TestBarredAskerHearsWhereTheAdapterLies(t *testing.T) {
	now := epoch
	k := keeperAt(&now, 4, &fakeEngine{})
	k.slots.Reported(0, []Held{{Key: keyed(1)}}, 0, now, now)
	k.AddReplica(keyed(1), "other")
	ask := admission(1, time.Second)
	ask.Home, ask.Barred = true, true

	_, err := k.Admit(ask)
	var replicated *ReplicatedError
	must.True(t, errors.As(err, &replicated))
	must.Eq(t, &ReplicatedError{Refusal: ErrBarred, Runners: []string{"other"}}, replicated)
}
