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
	// orderKey is hashed to choose the host that orders loads.
	orderKey = "loading/order"
	// loanLife bounds a loan; a lender that hears no more of the borrower has
	// its share back after it.
	loanLife       = 3 * time.Second
	borrowInterval = time.Second
	borrowTimeout  = 800 * time.Millisecond
	permitPoll     = 100 * time.Millisecond
	doneTimeout    = time.Second
)

// ErrBroken refuses a load of a model whose loads keep failing.
var ErrBroken = errors.New("loads of this model keep failing and are put off")

// Caller calls peers.
type Caller interface {
	Call(ctx context.Context, address, method string, params, result any) error
	CallLong(ctx context.Context, address, method string, params, result any) error
}

// Service hands out permits to load: by its own queue if this host orders
// loads for all, by asking the host that does otherwise, and by its own queue
// and share again if that host cannot be reached.
type Service struct {
	self      string
	queue     *Queue
	allowance *Allowance
	members   *fleet.Members
	peers     Caller
	life      time.Duration
	log       hclog.Logger
}

// NewService makes the service; life is the time after which a permit that
// was not given back runs out.
func NewService(self string, queue *Queue, allowance *Allowance, members *fleet.Members, peers Caller, life time.Duration, log hclog.Logger) *Service {
	return &Service{self: self, queue: queue, allowance: allowance, members: members, peers: peers, life: life, log: log}
}

type permitParams struct {
	Ask    Ask   `json:"ask"`
	WaitMS int64 `json:"wait_ms"`
}

type permitResult struct {
	Granted bool   `json:"granted"`
	Ticket  uint64 `json:"ticket,omitempty"`
	// BrokenMS is the time for which the model's loads are put off.
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
		return s.permitHere(ctx, p.Ask, time.Duration(p.WaitMS)*time.Millisecond)
	})
	peer.Handle(mux, methodDone, func(_ context.Context, _ peer.Identity, p doneParams) (struct{}, error) {
		s.queue.Done(p.Ticket, p.Model, p.OK, time.Duration(p.TookMS)*time.Millisecond, time.Now())
		return struct{}{}, nil
	})
	peer.Handle(mux, methodCancel, func(_ context.Context, _ peer.Identity, p doneParams) (struct{}, error) {
		s.queue.Leave(p.Ticket)
		return struct{}{}, nil
	})
	peer.Handle(mux, methodBorrow, func(_ context.Context, from peer.Identity, p borrowParams) (borrowResult, error) {
		shares := s.allowance.Lend(from.Host, time.Now(), time.Duration(p.LifeMS)*time.Millisecond)
		return borrowResult{Shares: shares}, nil
	})
}

// Permit is a right to start one load.
type Permit struct {
	service *Service
	address string // of the host that gave it; empty for this one
	ticket  uint64
	model   string
}

// Acquire waits for a permit, up to wait. It returns ErrBroken for a model
// whose loads are put off.
func (s *Service) Acquire(ctx context.Context, ask Ask, wait time.Duration) (*Permit, error) {
	address := s.orderer(time.Now())
	if address != "" {
		permit, err := s.acquireThere(ctx, address, ask, wait)
		if err == nil || errors.Is(err, ErrBroken) || ctx.Err() != nil {
			return permit, err
		}
		s.log.Debug("the host that orders loads does not answer; using this host's own share", "error", err)
	}
	result, err := s.permitHere(ctx, ask, wait)
	if err != nil {
		return nil, err
	}
	return s.permitOf(result, "", ask.Model)
}

func (s *Service) acquireThere(ctx context.Context, address string, ask Ask, wait time.Duration) (*Permit, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+borrowTimeout)
	defer cancel()
	var result permitResult
	params := permitParams{Ask: ask, WaitMS: wait.Milliseconds()}
	if err := s.peers.CallLong(ctx, address, methodPermit, params, &result); err != nil {
		return nil, err
	}
	return s.permitOf(result, address, ask.Model)
}

func (s *Service) permitOf(result permitResult, address, model string) (*Permit, error) {
	if result.BrokenMS > 0 {
		return nil, ErrBroken
	}
	if !result.Granted {
		return nil, errors.New("no permit to load within the time allowed")
	}
	return &Permit{service: s, address: address, ticket: result.Ticket, model: model}, nil
}

// Done gives a permit back.
func (p *Permit) Done(ok bool, took time.Duration) {
	if p.address == "" {
		p.service.queue.Done(p.ticket, p.model, ok, took, time.Now())
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), doneTimeout)
	defer cancel()
	params := doneParams{Ticket: p.ticket, Model: p.model, OK: ok, TookMS: took.Milliseconds()}
	// A lost message only costs the rest of the permit's life.
	if err := p.service.peers.Call(ctx, p.address, methodDone, params, nil); err != nil {
		p.service.log.Debug("permit not given back", "error", err)
	}
}

// permitHere waits in this host's queue. A ticket looks again when a permit
// was given back, and when the allowance has grown by one load.
func (s *Service) permitHere(ctx context.Context, ask Ask, wait time.Duration) (permitResult, error) {
	ticket := s.queue.Join(ask)
	deadline := time.Now().Add(wait)
	timer := time.NewTimer(permitPoll)
	defer timer.Stop()
	for {
		changed := s.queue.Changed()
		now := time.Now()
		timer.Reset(min(permitPoll, s.allowance.NextIn(now)))
		if broken := s.queue.Broken(ask.Model, now); broken > 0 {
			s.queue.Leave(ticket)
			return permitResult{BrokenMS: broken.Milliseconds()}, nil
		}
		if s.queue.Permit(ticket, now, s.life) {
			return permitResult{Granted: true, Ticket: ticket}, nil
		}
		if !now.Before(deadline) {
			s.queue.Leave(ticket)
			return permitResult{}, nil
		}
		select {
		case <-ctx.Done():
			s.queue.Leave(ticket)
			return permitResult{}, ctx.Err()
		case <-changed:
		case <-timer.C:
		}
	}
}

// orderer gives the address of the host that orders loads, or "" for this one.
func (s *Service) orderer(now time.Time) string {
	host := fleet.First(orderKey, s.members.Candidates("", now))
	if host == "" || host == s.self {
		return ""
	}
	member, _ := s.members.Get(host)
	return member.Address
}

// Run borrows the other hosts' shares while this host orders loads.
func (s *Service) Run(ctx context.Context) {
	ticker := time.NewTicker(borrowInterval)
	defer ticker.Stop()
	for {
		if s.orderer(time.Now()) == "" {
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
	params := borrowParams{LifeMS: loanLife.Milliseconds()}
	if err := s.peers.Call(ctx, member.Address, methodBorrow, params, &result); err != nil {
		return
	}
	s.allowance.Borrowed(member.Host, result.Shares, asked, loanLife, time.Now())
}

// Expected gives the likely time until a load asked for now would be done, if
// this host orders loads for all: after all that the members say they want.
func (s *Service) Expected() time.Duration {
	wanted := 0
	for _, member := range s.members.All() {
		wanted += member.WaitingLoads
	}
	return s.queue.Expected(wanted, time.Now())
}

// View gives this host's queue as operators see it.
func (s *Service) View() View { return s.queue.View(time.Now()) }

// Cancel gives back a permit under which no load was begun.
func (p *Permit) Cancel() {
	if p.address == "" {
		p.service.queue.Leave(p.ticket)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), doneTimeout)
	defer cancel()
	if err := p.service.peers.Call(ctx, p.address, methodCancel, doneParams{Ticket: p.ticket}, nil); err != nil {
		p.service.log.Debug("permit not given back", "error", err)
	}
}
