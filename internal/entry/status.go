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
	// PromptTokenNS are the nanoseconds that each of these takes for a token of a prompt.
	PromptTokenNS []int64 `json:"reading_ns,omitempty"`
	// Quarantine is the digest of what the sender knows of requests that end runners, 0
	// where that is nothing.
	Quarantine uint64 `json:"quarantine,omitempty"`
	// Limits are what runners named as their limits, as far as the sender knows.
	Limits []board.Limit `json:"limits,omitempty"`
	// Leaving are runners that leave by their own word while their entries do not say so.
	Leaving []string `json:"leaving,omitempty"`
}

// statusTTL is how long what a peer told holds.
const statusTTL = 2 * time.Second

// peerStatuses implements mesh.Statuses.
type peerStatuses struct {
	board     *board.Board
	owner     *adapters.Owner
	directory *directory.Directory
	// localDigest gives this host's digest; quarantinedAt takes over a peer's.
	localDigest func() uint64
	onDigest    func(host string, digest uint64)
	// onLimit takes over what a peer knows of a runner's limit.
	onLimit func(told board.Limit, host string)
	// onLeaving takes over that a runner leaves.
	onLeaving func(runner, host string)
	now       func() time.Time
	log       hclog.Logger

	mu    sync.Mutex
	peers map[string]receivedStatus
}

type receivedStatus struct {
	status
	at time.Time
}

// Status implements mesh.Statuses.
func (s *peerStatuses) Status() any {
	current := status{Running: map[string]int{}, SuspectMS: map[string]int64{}}
	snapshot := s.directory.Snapshot()
	for id, running := range s.board.Own() {
		if runner := snapshot.Runners[id]; runner != nil && !snapshot.IsEngine(runner.Service) {
			current.Running[id] = running
		}
	}
	for runner, left := range s.board.Suspects(s.now()) {
		current.SuspectMS[runner] = left.Milliseconds()
	}
	current.Transit, current.Runners = s.owner.Transit()
	current.Load, current.Slots = s.owner.Full()
	for _, perToken := range s.owner.Readings() {
		current.PromptTokenNS = append(current.PromptTokenNS, int64(perToken))
	}
	current.Quarantine = s.localDigest()
	current.Limits = s.board.Limits(s.now())
	current.Leaving = s.directory.Leaving()
	return current
}

// StatusFrom implements mesh.Statuses.
func (s *peerStatuses) StatusFrom(host string, raw json.RawMessage) {
	var received status
	if err := json.Unmarshal(raw, &received); err != nil {
		s.log.Warn("peer's status not understood", "peer", host, "error", err.Error())
		return
	}
	s.onDigest(host, received.Quarantine)
	for _, limit := range received.Limits {
		s.onLimit(limit, host)
	}
	for _, runner := range received.Leaving {
		s.onLeaving(runner, host)
	}
	now := s.now()
	for runner, running := range received.Running {
		s.board.PeerOn(host, runner, running, now)
	}
	for runner, remainingMS := range received.SuspectMS {
		s.board.PeerSuspects(runner, time.Duration(remainingMS)*time.Millisecond, now)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for runner := range s.peers[host].Running {
		if _, still := received.Running[runner]; !still {
			s.board.PeerOn(host, runner, 0, now)
		}
	}
	s.peers[host] = receivedStatus{status: received, at: now}
}

// recentTotals adds up what peers told lately.
func (s *peerStatuses) recentTotals() status {
	s.mu.Lock()
	defer s.mu.Unlock()
	var total status
	now := s.now()
	for host, peerStatus := range s.peers {
		if now.Sub(peerStatus.at) > statusTTL {
			delete(s.peers, host)
			continue
		}
		total.Transit += peerStatus.Transit
		total.Runners += peerStatus.Runners
		total.Load += peerStatus.Load
		total.Slots += peerStatus.Slots
		total.PromptTokenNS = append(total.PromptTokenNS, peerStatus.PromptTokenNS...)
	}
	return total
}

// minReadings is the number of runners below which what most of them do is a guess.
const minReadings = 3

// typicalPromptTokenNS gives the time that most runners take for a token of a prompt, in
// nanoseconds, as far as this host hears: that of the third of them that is faster, so
// that some slow ones among few do not count as usual.
func (s *peerStatuses) typicalPromptTokenNS() float64 {
	readings := s.recentTotals().PromptTokenNS
	for _, perToken := range s.owner.Readings() {
		readings = append(readings, int64(perToken))
	}
	if len(readings) < minReadings {
		return 0
	}
	slices.Sort(readings)
	return float64(readings[len(readings)/3])
}

// peersInTransit gives the adapters on their way to peers' runners, and these runners.
func (s *peerStatuses) peersInTransit() (transit, runners int) {
	total := s.recentTotals()
	return total.Transit, total.Runners
}

// utilization gives how full the runners are that this host knows of.
func (s *peerStatuses) utilization() float64 {
	total := s.recentTotals()
	load, slots := s.owner.Full()
	load += total.Load
	slots += total.Slots
	if slots == 0 {
		return 0
	}
	return float64(load) / float64(slots)
}
