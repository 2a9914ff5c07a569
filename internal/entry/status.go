package entry

import (
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/cherrystage/cherrystage/internal/adapters"
	"github.com/cherrystage/cherrystage/internal/board"
	"github.com/cherrystage/cherrystage/internal/directory"
	"github.com/hashicorp/go-hclog"
)

// status is what hosts tell each other in heartbeats. Each host hears some
// others, so it is a sample of the fleet.
type status struct {
	// Running counts the sender's requests by runner, for services whose runners
	// have no owner.
	Running map[string]int `json:"running,omitempty"`
	// SuspectMS names runners that the sender avoids, and for how much longer.
	SuspectMS map[string]int64 `json:"suspect_ms,omitempty"`
	// Transit is the number of adapters on their way to the sender's runners.
	Transit int `json:"transit,omitempty"`
	// Runners, Load and Slots sum up the runners that the sender owns.
	Runners int `json:"runners,omitempty"`
	Load    int `json:"load,omitempty"`
	Slots   int `json:"slots,omitempty"`
	// ReadingNS are the nanoseconds that each of these takes for a token of a prompt.
	ReadingNS []int64 `json:"reading_ns,omitempty"`
	// Quarantine is the digest of what the sender knows of requests that end runners, 0
	// where that is nothing.
	Quarantine uint64 `json:"quarantine,omitempty"`
	// Limits are what runners named as their limits, as far as the sender knows.
	Limits []board.LimitReport `json:"limits,omitempty"`
	// Leaving are runners that leave by their own word while their entries do not say so.
	Leaving []string `json:"leaving,omitempty"`
}

// statusLife is how long what a peer told holds.
const statusLife = 2 * time.Second

// statuses implements mesh.StatusExchange.
type statuses struct {
	board     *board.Board
	owner     *adapters.Owner
	directory *directory.Directory
	// quarantined gives this host's digest; quarantinedAt takes over a peer's.
	quarantined   func() uint64
	quarantinedAt func(host string, digest uint64)
	// limitAt takes over what a peer knows of a runner's limit.
	limitAt func(told board.LimitReport, host string)
	// leavingAt takes over that a runner leaves.
	leavingAt func(runner, host string)
	now       func() time.Time
	log       hclog.Logger

	mu    sync.Mutex
	peers map[string]heard
}

type heard struct {
	status
	at time.Time
}

// Status implements mesh.StatusExchange.
func (s *statuses) Status() any {
	told := status{Running: map[string]int{}, SuspectMS: map[string]int64{}}
	snapshot := s.directory.Snapshot()
	for id, running := range s.board.OwnRequests() {
		if runner := snapshot.Runners[id]; runner != nil && !snapshot.IsEngine(runner.Service) {
			told.Running[id] = running
		}
	}
	for runner, left := range s.board.Suspects(s.now()) {
		told.SuspectMS[runner] = left.Milliseconds()
	}
	told.Transit, told.Runners = s.owner.Fetches()
	told.Load, told.Slots = s.owner.RequestLoad()
	for _, perToken := range s.owner.PrefillTimes() {
		told.ReadingNS = append(told.ReadingNS, int64(perToken))
	}
	told.Quarantine = s.quarantined()
	told.Limits = s.board.LimitReports(s.now())
	told.Leaving = s.directory.Leaving()
	return told
}

// ReceiveStatus implements mesh.StatusExchange.
func (s *statuses) ReceiveStatus(host string, raw json.RawMessage) {
	var told status
	if err := json.Unmarshal(raw, &told); err != nil {
		s.log.Warn("peer's status not understood", "peer", host, "error", err.Error())
		return
	}
	s.quarantinedAt(host, told.Quarantine)
	for _, limit := range told.Limits {
		s.limitAt(limit, host)
	}
	for _, runner := range told.Leaving {
		s.leavingAt(runner, host)
	}
	now := s.now()
	for runner, running := range told.Running {
		s.board.SetPeerRequests(host, runner, running, now)
	}
	for runner, ms := range told.SuspectMS {
		s.board.MergePeerSuspicion(runner, time.Duration(ms)*time.Millisecond, now)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for runner := range s.peers[host].Running {
		if _, still := told.Running[runner]; !still {
			s.board.SetPeerRequests(host, runner, 0, now)
		}
	}
	s.peers[host] = heard{status: told, at: now}
}

// sum adds up what peers told lately.
func (s *statuses) sum() status {
	s.mu.Lock()
	defer s.mu.Unlock()
	var total status
	now := s.now()
	for host, told := range s.peers {
		if now.Sub(told.at) > statusLife {
			delete(s.peers, host)
			continue
		}
		total.Transit += told.Transit
		total.Runners += told.Runners
		total.Load += told.Load
		total.Slots += told.Slots
		total.ReadingNS = append(total.ReadingNS, told.ReadingNS...)
	}
	return total
}

// fewReadings is the number of runners below which what most of them do is a guess.
const fewReadings = 3

// reading gives the time that most runners take for a token of a prompt, in
// nanoseconds, as far as this host hears: that of the third of them that is faster, so
// that some slow ones among few do not count as usual.
func (s *statuses) reading() float64 {
	readings := s.sum().ReadingNS
	for _, perToken := range s.owner.PrefillTimes() {
		readings = append(readings, int64(perToken))
	}
	if len(readings) < fewReadings {
		return 0
	}
	slices.Sort(readings)
	return float64(readings[len(readings)/3])
}

// crowd gives the adapters on their way to peers' runners, and these runners.
func (s *statuses) crowd() (transit, runners int) {
	total := s.sum()
	return total.Transit, total.Runners
}

// share gives how full the runners are that this host knows of.
func (s *statuses) share() float64 {
	total := s.sum()
	load, slots := s.owner.RequestLoad()
	load += total.Load
	slots += total.Slots
	if slots == 0 {
		return 0
	}
	return float64(load) / float64(slots)
}
