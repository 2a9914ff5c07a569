package loading

import (
	"context"
	"time"

	"github.com/cherrystage/cherrystage/internal/fleet"
	"github.com/cherrystage/cherrystage/internal/peer"
	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
)

// Peer methods of this package.
const (
	methodPermit = "loads.permit"
	methodDone   = "loads.done"
	methodCancel = "loads.cancel"
	methodBorrow = "loads.borrow"
)

const (
	// coordinatorKey is hashed to select the host that coordinates loads.
	coordinatorKey = "loading/order"
	// loanDuration bounds a loan: if the borrower falls silent, the lender has
	// its share back after this time.
	loanDuration   = 3 * time.Second
	borrowInterval = time.Second
	borrowTimeout  = 800 * time.Millisecond
	permitPoll     = 100 * time.Millisecond
	doneTimeout    = time.Second
)

// ErrBackoff is returned for a model whose loads keep failing and are in
// backoff.
var ErrBackoff = errors.New("loads of this model keep failing and are in backoff")

// Peers calls other entry hosts.
type Peers interface {
	Call(ctx context.Context, address, method string, params, result any) error
	CallLong(ctx context.Context, address, method string, params, result any) error
}

// Service grants permits to load. The coordinator uses its own queue; other
// hosts ask the coordinator, and use their own queue and shares if it cannot be
// reached.
type Service struct {
	self      string
	queue     *Queue
	allowance *Allowance
	members   *fleet.Members
	peers     Peers
	permitTTL time.Duration
	log       hclog.Logger
}

// NewService returns a service. permitTTL is the time after which an unreturned
// permit expires.
func NewService(self string, queue *Queue, allowance *Allowance, members *fleet.Members, peers Peers, permitTTL time.Duration, log hclog.Logger) *Service {
	return &Service{self: self, queue: queue, allowance: allowance, members: members, peers: peers, permitTTL: permitTTL, log: log}
}

type permitParams struct {
	Ask    Request `json:"ask"`
	WaitMS int64   `json:"wait_ms"`
}

type permitResult struct {
	Granted bool   `json:"granted"`
	Ticket  uint64 `json:"ticket,omitempty"`
	// BrokenMS is the remaining backoff of the model's loads, in milliseconds.
	BrokenMS int64 `json:"broken_ms,omitempty"`
}

type doneParams struct {
	Ticket uint64 `json:"ticket"`
	Model  string `json:"model"`
	OK     bool   `json:"ok"`
	TookMS int64  `json:"took_ms"`
}

type borrowParams struct {
	LifeMS int64 `json:"life_ms"`
}

type borrowResult struct {
	Shares int `json:"shares"`
}

// Register adds the methods that peers call.
func (s *Service) Register(mux *peer.Mux) {
	peer.Handle(mux, methodPermit, func(ctx context.Context, _ peer.Identity, p permitParams) (permitResult, error) {
		return s.waitLocally(ctx, p.Ask, time.Duration(p.WaitMS)*time.Millisecond)
	})
	peer.Handle(mux, methodDone, func(_ context.Context, _ peer.Identity, p doneParams) (struct{}, error) {
		s.queue.Done(p.Ticket, p.Model, p.OK, time.Duration(p.TookMS)*time.Millisecond, time.Now())
		return struct{}{}, nil
	})
	peer.Handle(mux, methodCancel, func(_ context.Context, _ peer.Identity, p doneParams) (struct{}, error) {
		s.queue.Remove(p.Ticket)
		return struct{}{}, nil
	})
	peer.Handle(mux, methodBorrow, func(_ context.Context, from peer.Identity, p borrowParams) (borrowResult, error) {
		shares := s.allowance.Lend(from.Host, time.Now(), time.Duration(p.LifeMS)*time.Millisecond)
		return borrowResult{Shares: shares}, nil
	})
}

// Permit allows one load to be started.
type Permit struct {
	service *Service
	address string // of the host that gave it; empty for this one
	ticket  uint64
	model   string
}

// Acquire waits up to wait for a permit. It returns ErrBackoff for a model
// whose loads are in backoff.
func (s *Service) Acquire(ctx context.Context, request Request, wait time.Duration) (*Permit, error) {
	address := s.coordinatorAddress(time.Now())
	if address != "" {
		permit, err := s.acquireRemote(ctx, address, request, wait)
		if err == nil || errors.Is(err, ErrBackoff) || ctx.Err() != nil {
			return permit, err
		}
		s.log.Debug("load coordinator is unreachable; using this host's own shares", "error", err)
	}
	result, err := s.waitLocally(ctx, request, wait)
	if err != nil {
		return nil, err
	}
	return s.newPermit(result, "", request.Model)
}

func (s *Service) acquireRemote(ctx context.Context, address string, request Request, wait time.Duration) (*Permit, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+borrowTimeout)
	defer cancel()
	var result permitResult
	params := permitParams{Ask: request, WaitMS: wait.Milliseconds()}
	if err := s.peers.CallLong(ctx, address, methodPermit, params, &result); err != nil {
		return nil, err
	}
	return s.newPermit(result, address, request.Model)
}

func (s *Service) newPermit(result permitResult, address, model string) (*Permit, error) {
	if result.BrokenMS > 0 {
		return nil, ErrBackoff
	}
	if !result.Granted {
		return nil, errors.New("no load permit was granted in time")
	}
	return &Permit{service: s, address: address, ticket: result.Ticket, model: model}, nil
}

// Done returns a permit and reports the result of its load.
func (p *Permit) Done(ok bool, took time.Duration) {
	if p.address == "" {
		p.service.queue.Done(p.ticket, p.model, ok, took, time.Now())
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), doneTimeout)
	defer cancel()
	params := doneParams{Ticket: p.ticket, Model: p.model, OK: ok, TookMS: took.Milliseconds()}
	// If the message is lost, the permit expires.
	if err := p.service.peers.Call(ctx, p.address, methodDone, params, nil); err != nil {
		p.service.log.Debug("returning load permit failed", "error", err)
	}
}

// waitLocally waits for a permit in this host's queue. It checks again when a
// permit is returned and when the allowance has grown by one load.
func (s *Service) waitLocally(ctx context.Context, request Request, wait time.Duration) (permitResult, error) {
	ticket := s.queue.Enqueue(request)
	deadline := time.Now().Add(wait)
	timer := time.NewTimer(permitPoll)
	defer timer.Stop()
	for {
		changed := s.queue.Changed()
		now := time.Now()
		timer.Reset(min(permitPoll, s.allowance.TimeToNext(now)))
		if backoff := s.queue.Backoff(request.Model, now); backoff > 0 {
			s.queue.Remove(ticket)
			return permitResult{BrokenMS: backoff.Milliseconds()}, nil
		}
		if s.queue.TryPermit(ticket, now, s.permitTTL) {
			return permitResult{Granted: true, Ticket: ticket}, nil
		}
		if !now.Before(deadline) {
			s.queue.Remove(ticket)
			return permitResult{}, nil
		}
		select {
		case <-ctx.Done():
			s.queue.Remove(ticket)
			return permitResult{}, ctx.Err()
		case <-changed:
		case <-timer.C:
		}
	}
}

// coordinatorAddress returns the address of the host that coordinates loads, or
// "" if that is this host.
func (s *Service) coordinatorAddress(now time.Time) string {
	host := fleet.First(coordinatorKey, s.members.Candidates("", now))
	if host == "" || host == s.self {
		return ""
	}
	member, _ := s.members.Get(host)
	return member.Address
}

// Run borrows the shares of the other hosts while this host coordinates loads.
func (s *Service) Run(ctx context.Context) {
	ticker := time.NewTicker(borrowInterval)
	defer ticker.Stop()
	for {
		if s.coordinatorAddress(time.Now()) == "" {
			s.borrowAll(ctx)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (s *Service) borrowAll(ctx context.Context) {
	for _, member := range s.members.All() {
		if member.Host == s.self || !s.members.Alive(member.Host, time.Now()) {
			continue
		}
		go s.borrow(ctx, member)
	}
}

func (s *Service) borrow(ctx context.Context, member fleet.Member) {
	ctx, cancel := context.WithTimeout(ctx, borrowTimeout)
	defer cancel()
	asked := time.Now()
	var result borrowResult
	params := borrowParams{LifeMS: loanDuration.Milliseconds()}
	if err := s.peers.Call(ctx, member.Address, methodBorrow, params, &result); err != nil {
		return
	}
	s.allowance.AddLoan(member.Host, result.Shares, asked, loanDuration, time.Now())
}

// ExpectedLoadTime returns the estimated time until a load requested now would
// be done, after all loads that the members say are waiting. It is meaningful
// on the coordinator only.
func (s *Service) ExpectedLoadTime() time.Duration {
	waiting := 0
	for _, member := range s.members.All() {
		waiting += member.WaitingLoads
	}
	return s.queue.ExpectedLoadTime(waiting, time.Now())
}

// View returns the state of this host's queue.
func (s *Service) View() View { return s.queue.View(time.Now()) }

// Cancel returns a permit under which no load was started.
func (p *Permit) Cancel() {
	if p.address == "" {
		p.service.queue.Remove(p.ticket)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), doneTimeout)
	defer cancel()
	if err := p.service.peers.Call(ctx, p.address, methodCancel, doneParams{Ticket: p.ticket}, nil); err != nil {
		p.service.log.Debug("returning load permit failed", "error", err)
	}
}
