// Package membership exchanges heartbeats between entry hosts. A heartbeat carries what
// other hosts must learn soon: the inventory revision, changed states of owned runners,
// and request counts for the hosts that aggregate them.
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

const methodHeartbeat = "member.beat"

// heartbeatTimeout bounds one heartbeat. A connection on which nothing arrives in that
// time is closed.
const heartbeatTimeout = 1500 * time.Millisecond

// Heartbeat is the request that a host sends to each of its neighbours.
type Heartbeat struct {
	Member fleet.Member     `json:"member"`
	Views  []residency.View `json:"views,omitempty"`
	Counts []demand.Count   `json:"counts,omitempty"`
	// Rates are the requests per second of models that are resident on the receiver's
	// runners.
	Rates []demand.Count `json:"rates,omitempty"`
	// Full asks for the receiver's whole state, because the sender has not had an answer
	// from it yet.
	Full bool `json:"full,omitempty"`
}

// HeartbeatResult is the answer to a Heartbeat.
type HeartbeatResult struct {
	Member fleet.Member     `json:"member"`
	Views  []residency.View `json:"views,omitempty"`
}

// Peers calls other entry hosts.
type Peers interface {
	Call(ctx context.Context, address, method string, params, result any) error
}

// Deps are the dependencies of a Service.
type Deps struct {
	Peers   Peers
	Hosts   *fleet.Table
	Members *fleet.Members
	// Self returns this host's current description.
	Self func() fleet.Member
	// Views returns the state of the runners that this host owns.
	Views func() []residency.View
	// OnViews receives a peer's view of its runners.
	OnViews func(views []residency.View)
	// TakeCounts returns the requests counted for a peer since the last call. OnCounts
	// receives the counts of a peer.
	TakeCounts func(host string) []demand.Count
	OnCounts   func(counts []demand.Count)
	// TakeRates returns the rates for a peer that owns runners. OnRates receives the rates
	// of a peer.
	TakeRates func(host string) []demand.Count
	OnRates   func(rates []demand.Count)
	// OnMember receives the description of each peer.
	OnMember func(member fleet.Member)
	Log      hclog.Logger
}

// Service sends and receives heartbeats.
type Service struct {
	deps     Deps
	interval time.Duration
	seeds    []string
	trigger  chan struct{}

	mu           sync.Mutex
	sentViews    map[string]map[string]residency.View
	incarnations map[string]string
	answered     int64
}

// NewService returns a Service that sends heartbeats at an interval. seeds are the
// addresses to use while there is no host list.
func NewService(deps Deps, interval time.Duration, seeds []string) *Service {
	return &Service{deps: deps, interval: interval, seeds: seeds, trigger: make(chan struct{}, 1), sentViews: map[string]map[string]residency.View{}, incarnations: map[string]string{}}
}

// Register adds the methods that peers call.
func (s *Service) Register(mux *peer.Mux) {
	peer.Handle(mux, methodHeartbeat, func(_ context.Context, from peer.Identity, heartbeat Heartbeat) (HeartbeatResult, error) {
		heartbeat.Member.Host = from.Host
		heartbeat.Member.Incarnation = from.Incarnation
		s.receive(heartbeat.Member, heartbeat.Views)
		s.deps.OnCounts(heartbeat.Counts)
		s.deps.OnRates(heartbeat.Rates)
		answer := HeartbeatResult{Member: s.deps.Self()}
		if heartbeat.Full {
			answer.Views = s.deps.Views()
		}
		return answer, nil
	})
}

func (s *Service) receive(member fleet.Member, views []residency.View) {
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
		case <-s.trigger:
			timing.Sleep(ctx, triggerDelay)
		}
	}
}

// triggerDelay lets changes that come together go out in one round.
const triggerDelay = 20 * time.Millisecond

// TriggerRound starts a round of heartbeats soon.
func (s *Service) TriggerRound() {
	select {
	case s.trigger <- struct{}{}:
	default:
	}
}

// SendHeartbeats sends one heartbeat to each neighbour and does not wait for the answers,
// so that a slow peer does not delay the next round.
func (s *Service) SendHeartbeats(ctx context.Context) {
	self := s.deps.Self()
	s.deps.Members.Observe(self, time.Now())
	s.forgetRemovedHosts()
	for _, to := range s.recipients(self) {
		go s.send(ctx, to)
	}
}

func (s *Service) forgetRemovedHosts() {
	for _, member := range s.deps.Members.All() {
		if s.deps.Hosts.Removed(member.Host) {
			s.deps.Members.Remove(member.Host)
		}
	}
}

// recipients returns the neighbours from the host list, or the seeds while there is no
// list.
func (s *Service) recipients(self fleet.Member) []recipient {
	entries := s.deps.Hosts.ByRole(fleet.RoleEntry)
	here := fleet.Host{ID: self.Host, DataCentre: self.DataCentre, Region: self.Region}
	var recipients []recipient
	for _, host := range fleet.Neighbours(here, entries) {
		recipients = append(recipients, recipient{host: host.ID, address: host.Address})
	}
	if len(entries) == 0 {
		for _, seed := range s.seeds {
			recipients = append(recipients, recipient{host: seed, address: seed})
		}
	}
	return recipients
}

type recipient struct{ host, address string }

func (s *Service) send(ctx context.Context, to recipient) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	changed := s.unsentViews(to.host)
	heartbeat := Heartbeat{
		Member: s.deps.Self(), Views: changed, Counts: s.deps.TakeCounts(to.host),
		Rates: s.deps.TakeRates(to.host), Full: !s.hasAnswered(to.host, ""),
	}
	var answer HeartbeatResult
	if err := s.deps.Peers.Call(ctx, to.address, methodHeartbeat, heartbeat, &answer); err != nil {
		s.forgetSent(to.host)
		s.deps.Log.Trace("heartbeat not answered", "peer", to.host, "error", err)
		return
	}
	if !s.hasAnswered(to.host, answer.Member.Incarnation) {
		// A new process lacks what was sent to the previous one.
		s.forgetSent(to.host)
	}
	s.noteAnswer(to.host, answer.Member.Incarnation)
	s.receive(answer.Member, answer.Views)
}

// hasAnswered reports whether a peer has answered before or, with an incarnation given,
// whether that process has.
func (s *Service) hasAnswered(host, incarnation string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	known, ok := s.incarnations[host]
	return ok && (incarnation == "" || known == incarnation)
}

func (s *Service) noteAnswer(host, incarnation string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.incarnations[host] = incarnation
	s.answered++
}

// unsentViews returns the states of owned runners that a peer has not been sent.
func (s *Service) unsentViews(host string) []residency.View {
	views := s.deps.Views()
	s.mu.Lock()
	defer s.mu.Unlock()
	sent := s.sentViews[host]
	if sent == nil {
		sent = map[string]residency.View{}
		s.sentViews[host] = sent
	}
	var changed []residency.View
	for _, view := range views {
		if !view.EquivalentForPeers(sent[view.Runner]) {
			changed = append(changed, view)
			sent[view.Runner] = view
		}
	}
	return changed
}

func (s *Service) forgetSent(host string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sentViews, host)
}

// HeartbeatsAnswered returns the number of heartbeats that peers have answered.
func (s *Service) HeartbeatsAnswered() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.answered
}
