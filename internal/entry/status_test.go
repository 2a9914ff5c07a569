package entry

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/cherrystage/cherrystage/internal/adapters"
	"github.com/cherrystage/cherrystage/internal/board"
	"github.com/hashicorp/go-hclog"
	"github.com/shoenig/test/must"
)

func newStatuses(now *time.Time) *peerStatuses {
	clock := func() time.Time { return *now }
	return &peerStatuses{
		board: board.New(), now: clock, log: hclog.NewNullLogger(), peers: map[string]receivedStatus{}, onDigest: func(string, uint64) {},
		owner: adapters.NewOwner(adapters.OwnerDeps{Now: clock, Log: hclog.NewNullLogger()}),
	}
}

func (s *peerStatuses) hear(t *testing.T, host string, told status) {
	t.Helper()
	raw, err := json.Marshal(told)
	must.NoError(t, err)
	s.StatusFrom(host, raw)
}

// A third of the runners is slow, and a host hears of a few. What it takes for usual is
// what the faster of them do: with the slow ones for usual nobody would be told apart,
// and their callers' streams would pause. What is old or too little counts for nothing.
func TestUsualReadingIsThatOfMostRunners(t *testing.T) {
	now := time.Unix(1000, 0)
	s := newStatuses(&now)
	s.hear(t, "a", status{PromptTokenNS: []int64{36_000, 26_000}})
	must.Eq(t, 0, s.typicalPromptTokenNS(), must.Sprint("two runners are too few"))
	s.hear(t, "b", status{PromptTokenNS: []int64{27_000}})
	s.hear(t, "c", status{})
	must.Eq(t, 27_000, s.typicalPromptTokenNS())
	s.hear(t, "d", status{PromptTokenNS: []int64{37_000, 25_000, 38_000}})
	must.Eq(t, 27_000, s.typicalPromptTokenNS())
	now = now.Add(statusTTL + time.Millisecond)
	must.Eq(t, 0, s.typicalPromptTokenNS())
}

// Requests on a plain service's runner end. The peer that told of them tells of none any
// more, and the runner counts as free at once, not when the peer's word is forgotten.
func TestPeersRequestsThatEndedAreForgotten(t *testing.T) {
	now := time.Unix(1000, 0)
	s := newStatuses(&now)
	s.hear(t, "a", status{Running: map[string]int{"r": 4}})
	must.Eq(t, 4, s.board.View("r", now).Load)
	s.hear(t, "a", status{})
	must.Eq(t, 0, s.board.View("r", now).Load)
}

// A peer tells something that this host does not understand. What it told before stands.
func TestStatusThatIsNotUnderstood(t *testing.T) {
	now := time.Unix(1000, 0)
	s := newStatuses(&now)
	s.hear(t, "a", status{Transit: 3, Runners: 2, Load: 6, Slots: 24})
	s.StatusFrom("a", json.RawMessage(`{"transit":"many"}`))
	transit, runners := s.peersInTransit()
	must.Eq(t, 3, transit)
	must.Eq(t, 2, runners)
	must.Eq(t, 0.25, s.utilization())
}
