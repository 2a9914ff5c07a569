package entry

import (
	"encoding/json"
	"errors"
	"testing"
	"time"

	"github.com/cherrystage/cherrystage/internal/adapters"
	"github.com/cherrystage/cherrystage/internal/site"
	"github.com/shoenig/test/must"
)

// Guards against refusals that lose their reason, their runners or their wait on the way
// to the asking host.
func TestRefusalsCrossTheWire(t *testing.T) {
	refused := []error{
		adapters.ErrBusy,
		&adapters.ReplicatedError{Refusal: adapters.ErrHeldElsewhere, Runners: []string{"a"}},
		&adapters.WaitError{Err: adapters.ErrPromptBacklog, Wait: 700 * time.Millisecond},
		&adapters.WaitError{Err: &adapters.ReplicatedError{Refusal: adapters.ErrNoFreeSlot, Runners: []string{"a", "b"}}, Wait: time.Second},
	}
	for _, err := range refused {
		result, ok := refusalResult(err)
		must.True(t, ok)
		raw, marshalErr := json.Marshal(result)
		must.NoError(t, marshalErr)
		var received AdmitResult
		must.NoError(t, json.Unmarshal(raw, &received))
		must.Eq(t, err.Error(), received.refusalError().Error())
		must.Eq(t, adapters.WaitOf(err), adapters.WaitOf(received.refusalError()))
		var sent, got *adapters.ReplicatedError
		must.Eq(t, errors.As(err, &sent), errors.As(received.refusalError(), &got))
		must.Eq(t, sent, got)
	}
}

// Guards against a ticket or a precedence that is lost on the way to the owner, and
// against one that a host without priority order seems to send.
func TestRankCrossesTheWire(t *testing.T) {
	raw, err := json.Marshal(AdmitParams{Runner: "r", Rank: rankOf(adapters.AdmissionRequest{Ranked: true, Precedence: site.Precedence{Workspace: 3, Route: 1}}), Ticket: 9})
	must.NoError(t, err)
	var received AdmitParams
	must.NoError(t, json.Unmarshal(raw, &received))
	ask := received.admission()
	must.True(t, ask.Ranked)
	must.Eq(t, site.Precedence{Workspace: 3, Route: 1}, ask.Precedence)
	must.Eq(t, 9, ask.Ticket)
	must.False(t, AdmitParams{}.admission().Ranked)
	raw, err = json.Marshal(AdmitParams{Runner: "r"})
	must.NoError(t, err)
	must.Eq(t, `{"runner":"r","model":""}`, string(raw))
}

// Guards against a request that is sent a fraction of a millisecond before its adapter is loaded: the
// runner refuses it, and its owner takes the refusal for one that it knows of already.
func TestAdmissionIsNotSoonerOnTheWire(t *testing.T) {
	must.Eq(t, 38, wholeMS(37400*time.Microsecond))
	must.Eq(t, 37, wholeMS(37*time.Millisecond))
	must.Eq(t, 0, wholeMS(-time.Millisecond))
}
