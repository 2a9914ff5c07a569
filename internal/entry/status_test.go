package entry

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/cherrystage/cherrystage/internal/adapters"
	"github.com/cherrystage/cherrystage/internal/board"
	"github.com/cherrystage/cherrystage/internal/directory"
	"github.com/cherrystage/cherrystage/internal/reach"
	"github.com/cherrystage/cherrystage/internal/registry"
	"github.com/cherrystage/cherrystage/internal/site"
	"github.com/hashicorp/go-hclog"
	"github.com/shoenig/test/must"
)

func newPeerStatuses(now *time.Time) *peerStatuses {
	clock := func() time.Time { return *now }
	return &peerStatuses{
		board: board.New(), now: clock, log: hclog.NewNullLogger(), peers: map[string]receivedStatus{}, onDigest: func(string, uint64) {},
		owner: adapters.NewOwner(adapters.OwnerDeps{Now: clock, Log: hclog.NewNullLogger()}),
	}
}

func (s *peerStatuses) receive(t *testing.T, host string, sent status) {
	t.Helper()
	raw, err := json.Marshal(sent)
	must.NoError(t, err)
	s.ReceiveStatus(host, raw, s.now())
}

// A third of the runners is slow, and a host knows of a few runners only. The typical time
// must be that of the faster ones: otherwise slow runners would not be recognized and their
// callers' streams would pause. Expired or too few measurements yield no typical time.
func TestTypicalPromptTokenTime(t *testing.T) {
	now := time.Unix(1000, 0)
	s := newPeerStatuses(&now)
	s.receive(t, "a", status{PromptTokenNS: []int64{36_000, 26_000}})
	must.Eq(t, 0, s.typicalPromptTokenNS(), must.Sprint("two runners are too few"))
	s.receive(t, "b", status{PromptTokenNS: []int64{27_000}})
	s.receive(t, "c", status{})
	must.Eq(t, 27_000, s.typicalPromptTokenNS())
	s.receive(t, "d", status{PromptTokenNS: []int64{37_000, 25_000, 38_000}})
	must.Eq(t, 27_000, s.typicalPromptTokenNS())
	now = now.Add(statusTTL + time.Millisecond)
	must.Eq(t, 0, s.typicalPromptTokenNS())
}

// When a peer's requests on a runner of a plain service end, its next status omits the
// runner. The runner must count as free at once, not only when the old status expires.
func TestEndedRequestsOfPeersAreForgotten(t *testing.T) {
	now := time.Unix(1000, 0)
	s := newPeerStatuses(&now)
	s.receive(t, "a", status{Running: map[string]int{"r": 4}})
	must.Eq(t, 4, s.board.View("r", now).Load)
	s.receive(t, "a", status{})
	must.Eq(t, 0, s.board.View("r", now).Load)
}

// A malformed status from a peer is ignored and its previous status stays valid.
func TestMalformedStatusIsIgnored(t *testing.T) {
	now := time.Unix(1000, 0)
	s := newPeerStatuses(&now)
	s.receive(t, "a", status{Transit: 3, Runners: 2, Load: 6, Slots: 24})
	s.ReceiveStatus("a", json.RawMessage(`{"transit":"many"}`), now)
	transit, runners := s.peersInTransit()
	must.Eq(t, 3, transit)
	must.Eq(t, 2, runners)
	must.Eq(t, 0.25, s.utilization())
}

// runnerDecoder decodes any record as a runner.
type runnerDecoder struct{ directory.Decoder }

func (runnerDecoder) Runner(name string, _ json.RawMessage) (*site.Runner, error) {
	return &site.Runner{ID: name, Instance: name, Service: "s", Address: name + ":1"}, nil
}

func (runnerDecoder) StripRunner(spec json.RawMessage) json.RawMessage { return spec }

// A runner crashes, and the host that finds out warns the others: each of them would else send it
// a request of its own. A host that only lost its own path to a runner warns nobody: the others
// reach the runner and would avoid it for nothing.
func TestHostsWarnOfRunnersThatCrashed(t *testing.T) {
	now := time.Unix(1000, 0)
	runners := directory.New(runnerDecoder{}, func() time.Time { return now }, hclog.NewNullLogger())
	runners.Runners.Listed([]registry.Record{{Name: "r", Revision: 1, Spec: json.RawMessage(`{}`)}}, registry.Position{Revision: 1})
	runner := runners.Snapshot().Runners["r"]
	must.NotNil(t, runner)
	for _, row := range []struct {
		name  string
		paths func(p *reach.Paths)
		warns bool
	}{
		{"its path works", func(*reach.Paths) {}, true},
		{"the runner's process ended", func(p *reach.Paths) { p.DirectFailed(runner.Address, 9, false, now) }, true},
		{"no relay reaches it either", func(p *reach.Paths) {
			p.DirectFailed(runner.Address, 9, false, now)
			p.RelayFailed(runner.Address, now)
		}, true},
		{"a relay reaches it", func(p *reach.Paths) {
			p.DirectFailed(runner.Address, 9, false, now)
			p.RelayWorked(runner.Address, "h2", now)
		}, false},
		{"the host is cut off", func(p *reach.Paths) {
			for _, address := range []string{"a", "b", "c", "d"} {
				p.DirectFailed(address, 4, true, now)
			}
			must.True(t, p.IsCutOff())
		}, false},
	} {
		t.Run(row.name, func(t *testing.T) {
			s := newPeerStatuses(&now)
			s.directory, s.paths = runners, reach.NewPaths()
			s.localDigest, s.brittle = func() uint64 { return 0 }, func() []board.BrittleReport { return nil }
			row.paths(s.paths)
			s.board.RecordFailure("r", true, now)
			_, warns := s.Status().(status).SuspectMS["r"]
			must.Eq(t, row.warns, warns)
		})
	}
}
