// Package membership exchanges heartbeats between entry hosts. A heartbeat
// carries what must reach the others soon: the revision in force, the state of
// owned runners where it changed, and counts of requests for the hosts that
// keep them.
package membership

import (
	"context"
	"sync"
	"time"

	"github.com/cherrystage/cherrystage/internal/demand"
	"github.com/cherrystage/cherrystage/internal/fleet"
	"github.com/cherrystage/cherrystage/internal/peer"
	"github.com/cherrystage/cherrystage/internal/residency"
	"github.com/cherrystage/cherrystage/internal/timing"
	"github.com/hashicorp/go-hclog"
)

const methodBeat = "member.beat"

// beatTimeout bounds one heartbeat; a connection that lets one pass is given up.
const beatTimeout = 1500 * time.Millisecond

// Heartbeat is a heartbeat.
type Heartbeat struct {
	Member fleet.Member     `json:"member"`
	Views  []residency.View `json:"views,omitempty"`
	Counts []demand.Count   `json:"counts,omitempty"`
	// Rates are the requests a second of models resident on the receiver's runners.
	Rates []demand.Count `json:"rates,omitempty"`
	// Full: the sender wants the receiver's whole state, since it has just started.
	Full bool `json:"full,omitempty"`
}

// HeartbeatResult is the answer to a heartbeat.
type HeartbeatResult struct {
	Member fleet.Member     `json:"member"`
	Views  []residency.View `json:"views,omitempty"`
}

// Peers calls other entry hosts.
type Peers interface {
	Call(ctx context.Context, address, method string, params, result any) error
}

// Deps are what the service works with.
type Deps struct {
	Peers   Peers
	Hosts   *fleet.Table
	Members *fleet.Members
	// Self describes this node now.
	Self func() fleet.Member
	// Views gives the runners that this node owns.
	Views func() []residency.View
	// OnViews takes what a peer tells of its runners.
	OnViews func(views []residency.View)
	// TakeCounts gives the requests counted for a peer since the last call;
	// Counted takes those that a peer sends.
	TakeCounts func(host string) []demand.Count
	OnCounts   func(counts []demand.Count)
	// TakeRates gives rates for a peer that owns runners; Rates takes a peer's.
	TakeRates func(host string) []demand.Count
	OnRates   func(rates []demand.Count)
	// OnMember is told each member's word.
	OnMember func(member fleet.Member)
	Log      hclog.Logger
}

// Service sends and takes heartbeats.
type Service struct {
	deps     Deps
	interval time.Duration
	seeds    []string
	nudged   chan struct{}

	mu    sync.Mutex
	sent  map[string]map[string]residency.View
	met   map[string]string
	count int64
}

// NewService makes the service. seeds are peers' addresses to start from while
// the host list is away.
func NewService(deps Deps, interval time.Duration, seeds []string) *Service {
	return &Service{deps: deps, interval: interval, seeds: seeds, nudged: make(chan struct{}, 1), sent: map[string]map[string]residency.View{}, met: map[string]string{}}
}

// Register adds the methods that peers call.
func (s *Service) Register(mux *peer.Mux) {
	peer.Handle(mux, methodBeat, func(_ context.Context, from peer.Identity, beat Heartbeat) (HeartbeatResult, error) {
		beat.Member.Host = from.Host
		beat.Member.Incarnation = from.Incarnation
		s.take(beat.Member, beat.Views)
		s.deps.OnCounts(beat.Counts)
		s.deps.OnRates(beat.Rates)
		answer := HeartbeatResult{Member: s.deps.Self()}
		if beat.Full {
			answer.Views = s.deps.Views()
		}
		return answer, nil
	})
}

func (s *Service) take(member fleet.Member, views []residency.View) {
	now := time.Now()
	s.deps.Members.Observe(member, now)
	s.deps.OnViews(views)
	s.deps.OnMember(member)
}

// Run sends heartbeats until the context ends.
func (s *Service) Run(ctx context.Context) {
	ticker := time.NewTicker(s.interval)
	defer ticker.Stop()
	for {
		s.SendHeartbeats(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-s.nudged:
			timing.Sleep(ctx, nudgePause)
		}
	}
}

// nudgePause lets changes that come together go out together.
const nudgePause = 20 * time.Millisecond

// TriggerRound makes a round go out soon.
func (s *Service) TriggerRound() {
	select {
	case s.nudged <- struct{}{}:
	default:
	}
}

// SendHeartbeats sends one heartbeat to each neighbour. A slow peer does not hold the
// next round up; it is sent to again once it has answered.
func (s *Service) SendHeartbeats(ctx context.Context) {
	self := s.deps.Self()
	s.deps.Members.Observe(self, time.Now())
	s.forgetGone()
	for _, to := range s.targets(self) {
		go s.send(ctx, to)
	}
}

func (s *Service) forgetGone() {
	for _, member := range s.deps.Members.All() {
		if s.deps.Hosts.Removed(member.Host) {
			s.deps.Members.Remove(member.Host)
		}
	}
}

// targets gives the peers' addresses: the host list's, and the seeds as long
// as no list has come.
func (s *Service) targets(self fleet.Member) []target {
	entries := s.deps.Hosts.ByRole(fleet.RoleEntry)
	here := fleet.Host{ID: self.Host, DataCentre: self.DataCentre, Region: self.Region}
	var targets []target
	for _, host := range fleet.Neighbours(here, entries) {
		targets = append(targets, target{host: host.ID, address: host.Address})
	}
	if len(entries) == 0 {
		for _, seed := range s.seeds {
			targets = append(targets, target{host: seed, address: seed})
		}
	}
	return targets
}

type target struct{ host, address string }

func (s *Service) send(ctx context.Context, to target) {
	ctx, cancel := context.WithTimeout(ctx, beatTimeout)
	defer cancel()
	fresh := s.changedFor(to.host)
	beat := Heartbeat{
		Member: s.deps.Self(), Views: fresh, Counts: s.deps.TakeCounts(to.host),
		Rates: s.deps.TakeRates(to.host), Full: !s.hasMet(to.host, ""),
	}
	var answer HeartbeatResult
	if err := s.deps.Peers.Call(ctx, to.address, methodBeat, beat, &answer); err != nil {
		s.forgetSent(to.host)
		s.deps.Log.Trace("heartbeat not answered", "peer", to.host, "error", err)
		return
	}
	if !s.hasMet(to.host, answer.Member.Incarnation) {
		// A new process knows nothing of what the old one was told.
		s.forgetSent(to.host)
	}
	s.meet(to.host, answer.Member.Incarnation)
	s.take(answer.Member, answer.Views)
}

// hasMet says whether a peer has answered before; with an incarnation given,
// whether that process has.
func (s *Service) hasMet(host, incarnation string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	met, ok := s.met[host]
	return ok && (incarnation == "" || met == incarnation)
}

func (s *Service) meet(host, incarnation string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.met[host] = incarnation
	s.count++
}

// changedFor gives the owned runners' states that a peer has not been sent.
func (s *Service) changedFor(host string) []residency.View {
	views := s.deps.Views()
	s.mu.Lock()
	defer s.mu.Unlock()
	sent := s.sent[host]
	if sent == nil {
		sent = map[string]residency.View{}
		s.sent[host] = sent
	}
	var changed []residency.View
	for _, view := range views {
		if !view.Same(sent[view.Runner]) {
			changed = append(changed, view)
			sent[view.Runner] = view
		}
	}
	return changed
}

func (s *Service) forgetSent(host string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sent, host)
}

// HeartbeatsAnswered gives the number of heartbeats answered so far.
func (s *Service) HeartbeatsAnswered() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.count
}
