package entry

import (
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/cherrystage/cherrystage/internal/adapters"
	"github.com/cherrystage/cherrystage/internal/awake"
	"github.com/cherrystage/cherrystage/internal/board"
	"github.com/cherrystage/cherrystage/internal/directory"
	"github.com/cherrystage/cherrystage/internal/reach"
	"github.com/cherrystage/cherrystage/internal/standstill"
	"github.com/hashicorp/go-hclog"
)

// status is the state that hosts exchange in heartbeats. Each host hears from some
// others only, so what it receives is a sample of the fleet.
type status struct {
	// Running holds the sender's number of requests by runner, for services whose
	// runners have no owner.
	Running map[string]int `json:"running,omitempty"`
	// SuspectMS holds the runners that the sender avoids, with the remaining time.
	SuspectMS map[string]int64 `json:"suspect_ms,omitempty"`
	// Transit is the number of adapters being loaded on the sender's runners.
	Transit int `json:"transit,omitempty"`
	// Runners, Load and Slots are totals of the runners that the sender owns.
	Runners int `json:"runners,omitempty"`
	Load    int `json:"load,omitempty"`
	Slots   int `json:"slots,omitempty"`
	// PromptTokenNS holds the prompt processing time per token of each of these runners.
	PromptTokenNS []int64 `json:"reading_ns,omitempty"`
	// Quarantine is the digest of the sender's quarantine, 0 if it is empty.
	Quarantine uint64 `json:"quarantine,omitempty"`
	// Limits holds the rate limits of runners that the sender knows of.
	Limits []board.LimitReport `json:"limits,omitempty"`
	// Brittle holds the services whose runners are brittle, or were until lately.
	Brittle []board.BrittleReport `json:"brittle,omitempty"`
	// Leaving holds the runners that announced that they are leaving but whose entries do
	// not show it yet.
	Leaving []string `json:"leaving,omitempty"`
}

// statusTTL is how long a peer's status is valid while this host hears no other. The time for which it
// stood still does not count: if it took its peers for gone, it would find the weight store idle and
// load as many adapters as all of them together may.
const statusTTL = 2 * time.Second

// peerStatuses implements mesh.StatusExchange.
type peerStatuses struct {
	board     *board.Board
	owner     *adapters.Owner
	directory *directory.Directory
	paths     *reach.Paths
	// localDigest returns the digest of this host's quarantine; onDigest handles a peer's.
	localDigest func() uint64
	onDigest    func(host string, digest uint64)
	// onLimit handles a runner's limit as a peer knows it.
	onLimit func(limit board.LimitReport, host string)
	// brittle returns the services whose runners are brittle, and onBrittle handles a peer's
	// report on one.
	brittle   func() []board.BrittleReport
	onBrittle func(report board.BrittleReport, host string)
	// onLeaving handles a peer's report that a runner is leaving.
	onLeaving func(runner, host string)
	// standstill knows for which time this process could not run; nil stands for never.
	standstill *standstill.Monitor
	now        func() time.Time
	log        hclog.Logger

	mu    sync.Mutex
	peers map[string]receivedStatus
}

type receivedStatus struct {
	status
	asOf time.Time
}

// Status implements mesh.StatusExchange.
func (s *peerStatuses) Status() any {
	current := status{Running: map[string]int{}, SuspectMS: map[string]int64{}}
	snapshot := s.directory.Snapshot()
	for id, running := range s.board.OwnRequests() {
		if runner := snapshot.Runners[id]; runner != nil && !snapshot.IsEngine(runner.Service) {
			current.Running[id] = running
		}
	}
	for id, left := range s.board.Suspects(s.now()) {
		// Where a relay reaches the runner, the fault is this host's path; others are not warned.
		if runner := snapshot.Runners[id]; runner == nil || s.paths.Blames(runner.Address) {
			current.SuspectMS[id] = left.Milliseconds()
		}
	}
	current.Transit, current.Runners = s.owner.Fetches()
	current.Load, current.Slots = s.owner.RequestLoad()
	for _, perToken := range s.owner.PrefillTimes() {
		current.PromptTokenNS = append(current.PromptTokenNS, int64(perToken))
	}
	current.Quarantine = s.localDigest()
	current.Limits = s.board.LimitReports(s.now())
	current.Brittle = s.brittle()
	current.Leaving = s.directory.UnlistedLeaving()
	return current
}

// ReceiveStatus implements mesh.StatusExchange.
//
// What lay in a socket while this host stood still is not taken for new. Otherwise it would avoid
// runners that a peer suspected seconds ago, and put limits in force that were lifted since.
func (s *peerStatuses) ReceiveStatus(host string, raw json.RawMessage, asOf time.Time) {
	var received status
	if err := json.Unmarshal(raw, &received); err != nil {
		s.log.Warn("malformed status from peer", "peer", host, "error", err.Error())
		return
	}
	now := s.now()
	age := max(0, now.Sub(asOf))
	s.onDigest(host, received.Quarantine)
	for _, limit := range received.Limits {
		limit.AgeMS += age.Milliseconds()
		s.onLimit(limit, host)
	}
	for _, report := range received.Brittle {
		report.AgeMS += age.Milliseconds()
		s.onBrittle(report, host)
	}
	for _, runner := range received.Leaving {
		s.onLeaving(runner, host)
	}
	for runner, running := range received.Running {
		s.board.SetPeerRequests(host, runner, running, asOf)
	}
	for runner, remainingMS := range received.SuspectMS {
		if left := time.Duration(remainingMS)*time.Millisecond - age; left > 0 {
			s.board.MergePeerSuspicion(runner, left, now)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for runner := range s.peers[host].Running {
		if _, still := received.Running[runner]; !still {
			s.board.SetPeerRequests(host, runner, 0, now)
		}
	}
	s.peers[host] = receivedStatus{status: received, asOf: asOf}
}

// recentTotals returns the sums over the valid statuses of peers.
func (s *peerStatuses) recentTotals() status {
	s.mu.Lock()
	defer s.mu.Unlock()
	var total status
	now := s.now()
	for host, peerStatus := range s.peers {
		if awake.Between(s.standstill, peerStatus.asOf, now) > statusTTL {
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

// minReadings is the number of runners below which a typical time cannot be derived.
const minReadings = 3

// typicalPromptTokenNS returns the typical prompt processing time per token in nanoseconds,
// or 0 if too few runners are known. It is the lower tercile of the known runners, so that
// some slow ones among few do not count as typical.
func (s *peerStatuses) typicalPromptTokenNS() float64 {
	readings := s.recentTotals().PromptTokenNS
	for _, perToken := range s.owner.PrefillTimes() {
		readings = append(readings, int64(perToken))
	}
	if len(readings) < minReadings {
		return 0
	}
	slices.Sort(readings)
	return float64(readings[len(readings)/3])
}

// peersInTransit returns the number of adapters being loaded on peers' runners, and the
// number of these runners.
func (s *peerStatuses) peersInTransit() (transit, runners int) {
	total := s.recentTotals()
	return total.Transit, total.Runners
}

// utilization returns the ratio of load to slots over the runners known to this host.
func (s *peerStatuses) utilization() float64 {
	total := s.recentTotals()
	load, slots := s.owner.RequestLoad()
	load += total.Load
	slots += total.Slots
	if slots == 0 {
		return 0
	}
	return float64(load) / float64(slots)
}
