package entry

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cherrystage/cherrystage/internal/board"
	"github.com/cherrystage/cherrystage/internal/directory"
	"github.com/cherrystage/cherrystage/internal/mesh"
	"github.com/cherrystage/cherrystage/internal/peer"
	"github.com/cherrystage/cherrystage/internal/placing"
	"github.com/cherrystage/cherrystage/internal/slotledger"
	"github.com/cherrystage/cherrystage/internal/timing"
	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
)

const (
	// newLedgerPeriod is how long a new ledger grants nothing. By then the requests that another
	// ledger granted slots, and those placed without one, have ended.
	newLedgerPeriod = time.Second
	// ledgerTick is how often a ledger with waiting requests is advanced, a fraction of the time
	// that a request runs.
	ledgerTick = 10 * time.Millisecond
	// ledgerSweepInterval is how often ledgers are checked for hosts that left and for services
	// that other hosts lead.
	ledgerSweepInterval = time.Second
)

var (
	errNotLedgerHost  = errors.New("this host does not keep the ledger of the service's slots")
	errLedgerNew      = errors.New("the ledger of the service's slots is new")
	errNoPlainService = errors.New("this host knows no such service without models")
	errWaitEnded      = errors.New("the wait for a slot was ended")
	errNoneOffered    = errors.New("all runners of the request are suspect or paused")
)

// slotLedgers keeps the ledgers of those services that this host leads, for all hosts.
type slotLedgers struct {
	mesh      *mesh.State
	board     *board.Board
	brittle   *board.Brittleness
	directory *directory.Directory
	now       func() time.Time
	log       hclog.Logger

	mu        sync.Mutex
	byService map[string]*servedLedger
	// members are the hosts that were in force at the last sweep.
	members []string
}

// servedLedger is the ledger of one service under one lease of this host.
type servedLedger struct {
	*slotledger.Ledger
	service string
	epoch   int64
	// activeFrom is when the ledger grants the first slot.
	activeFrom time.Time

	mu sync.Mutex
	// held holds the calls of waiting requests that are held back.
	held    map[slotledger.ID]chan slotledger.Decision
	ticking bool
	// ended is closed when the ledger ends.
	ended chan struct{}
}

func newSlotLedgers(state *mesh.State, b *board.Board, brittle *board.Brittleness, d *directory.Directory, now func() time.Time, log hclog.Logger) *slotLedgers {
	return &slotLedgers{mesh: state, board: b, brittle: brittle, directory: d, now: now, log: log, byService: map[string]*servedLedger{}}
}

func (s *slotLedgers) register(mux *peer.Mux) {
	peer.Handle(mux, methodSlotsAcquire, func(ctx context.Context, from peer.Identity, p SlotAcquireParams) (SlotAcquireResult, error) {
		s.release(from, p.Released)
		result, err := s.acquire(ctx, from, p)
		if err != nil {
			return SlotAcquireResult{}, peer.NewRefusal(err)
		}
		return result, nil
	})
	peer.Handle(mux, methodSlotsRelease, func(_ context.Context, from peer.Identity, p SlotReleaseParams) (struct{}, error) {
		s.release(from, p.Released)
		return struct{}{}, nil
	})
}

// current returns the ledger of a service that this host leads.
func (s *slotLedgers) current(service string, now time.Time) (*servedLedger, error) {
	leadership, ok := s.mesh.Leads(slotKey(service), now)
	if !ok {
		return nil, errNotLedgerHost
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	ledger := s.byService[service]
	if ledger == nil || ledger.epoch != leadership.Epoch {
		if !s.isPlain(service) {
			return nil, errNoPlainService
		}
		s.end(ledger, "the host's lease was renewed in another epoch")
		ledger = s.begin(service, leadership, now)
	}
	if now.Before(ledger.activeFrom) {
		return nil, errLedgerNew
	}
	return ledger, nil
}

func (s *slotLedgers) isPlain(service string) bool {
	config := s.directory.Snapshot().Config
	return config != nil && config.Services[service] != nil && config.Services[service].Engine == nil
}

// begin begins a ledger. The caller holds s.mu.
func (s *slotLedgers) begin(service string, leadership mesh.Leadership, now time.Time) *servedLedger {
	activeFrom := now.Add(newLedgerPeriod)
	if leadership.Since.After(activeFrom) {
		activeFrom = leadership.Since
	}
	ledger := &servedLedger{
		Ledger: slotledger.New(), service: service, epoch: leadership.Epoch, activeFrom: activeFrom,
		held: map[slotledger.ID]chan slotledger.Decision{}, ended: make(chan struct{}),
	}
	s.byService[service] = ledger
	s.log.Info("slot ledger began", "service", service, "epoch", leadership.Epoch, "active_in_ms", activeFrom.Sub(now).Milliseconds())
	return ledger
}

// end ends a ledger: the requests that wait are placed without it. The caller holds s.mu.
func (s *slotLedgers) end(ledger *servedLedger, reason string) {
	if ledger == nil {
		return
	}
	delete(s.byService, ledger.service)
	close(ledger.ended)
	status := ledger.Status(s.now())
	s.log.Info("slot ledger ended", "service", ledger.service, "epoch", ledger.epoch, "reason", reason, "running", status.Running, "waiting", status.Waiting)
}

// acquire handles a request for a slot. While the request waits, the answer is held back for the
// time that the request names, but at most for slotledger.HoldLimit.
func (s *slotLedgers) acquire(ctx context.Context, from peer.Identity, params SlotAcquireParams) (SlotAcquireResult, error) {
	now := s.now()
	ledger, err := s.current(params.Service, now)
	if err != nil {
		return SlotAcquireResult{}, err
	}
	request := params.request(from, now)
	request.Runners = s.offered(params.Service, params.Runners, now)
	if len(request.Runners) == 0 {
		// The request is placed without a slot, and may wait here from an earlier call.
		ledger.deliver(ledger.Release([]slotledger.Release{{ID: request.ID}}, now))
		return SlotAcquireResult{}, errNoneOffered
	}
	decided := ledger.hold(request.ID)
	defer ledger.unhold(request.ID, decided)
	own, others := ledger.Acquire(request, now)
	ledger.deliver(others)
	if own.Outcome != slotledger.Queued {
		return slotResult(own)
	}
	s.startTicking(ledger)
	return ledger.await(ctx, own, decided, min(max(0, milliseconds(params.HoldMS)), slotledger.HoldLimit))
}

// offered returns the runners that are neither suspect nor paused as far as this host knows.
//
// A brittle runner gets no more than its slots, since it may let none wait, and nothing for a
// while after it refused a request.
func (s *slotLedgers) offered(service string, named []SlotRunner, now time.Time) []slotledger.Runner {
	perSecond, isBrittle := s.brittle.Of(service, now)
	var found []slotledger.Runner
	for _, runner := range named {
		view := s.board.View(runner.ID, now)
		if !view.Suspect && !view.Refusing && view.BlockedFor == 0 {
			offer := slotledger.Runner{ID: runner.ID, Slots: runner.Slots, Queue: placing.QueueFor(runner.Slots)}
			if isBrittle {
				offer.Queue, offer.RefusalPause = 0, board.RefusalSpacing(perSecond, 1)
			}
			found = append(found, offer)
		}
	}
	return found
}

// hold registers a call that is to get the decision on a request.
func (l *servedLedger) hold(id slotledger.ID) chan slotledger.Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	decided := make(chan slotledger.Decision, 1)
	l.held[id] = decided
	return decided
}

func (l *servedLedger) unhold(id slotledger.ID, decided chan slotledger.Decision) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.held[id] == decided {
		delete(l.held, id)
	}
}

// deliver passes decisions to the calls that are held back. A grant to a request whose call is not
// held back is found when its holder asks again.
func (l *servedLedger) deliver(decisions []slotledger.Decision) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, decision := range decisions {
		if decided, ok := l.held[decision.ID]; ok {
			delete(l.held, decision.ID)
			decided <- decision
		}
	}
}

// await waits for the decision on a queued request. Without one in time the request keeps its
// place.
func (l *servedLedger) await(ctx context.Context, queued slotledger.Decision, decided <-chan slotledger.Decision, bound time.Duration) (SlotAcquireResult, error) {
	timer := time.NewTimer(bound)
	defer timer.Stop()
	select {
	case decision := <-decided:
		return slotResult(decision)
	case <-l.ended:
		return SlotAcquireResult{}, errNotLedgerHost
	case <-timer.C:
	case <-ctx.Done():
	}
	select {
	case decision := <-decided:
		return slotResult(decision)
	default:
		return slotResult(queued)
	}
}

// release handles slots that a host returns. Those of services that this host does not lead are
// ignored: their grants end with their ledger.
func (s *slotLedgers) release(from peer.Identity, released []SlotRelease) {
	byService := map[string][]slotledger.Release{}
	for _, one := range released {
		id := slotledger.ID{Holder: holderOf(from), Number: one.Number}
		byService[one.Service] = append(byService[one.Service], slotledger.Release{ID: id, Refused: one.Refused})
	}
	for service, releases := range byService {
		if ledger := s.existing(service); ledger != nil && s.stillLeads(ledger) {
			ledger.deliver(ledger.Release(releases, s.now()))
		}
	}
}

// existing returns the ledger of a service, nil if there is none.
func (s *slotLedgers) existing(service string) *servedLedger {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byService[service]
}

// startTicking advances a ledger regularly until no request waits.
func (s *slotLedgers) startTicking(ledger *servedLedger) {
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	if !ledger.ticking {
		ledger.ticking = true
		time.AfterFunc(ledgerTick, func() { s.tick(ledger) })
	}
}

func (s *slotLedgers) tick(ledger *servedLedger) {
	if !s.stillLeads(ledger) {
		return
	}
	ledger.deliver(ledger.Advance(s.now()))
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	ledger.ticking = ledger.Waiting() > 0
	if ledger.ticking {
		time.AfterFunc(ledgerTick, func() { s.tick(ledger) })
	}
}

// stillLeads reports whether this host still leads a ledger's service, and ends the ledger if not.
func (s *slotLedgers) stillLeads(ledger *servedLedger) bool {
	leadership, ok := s.mesh.Leads(slotKey(ledger.service), s.now())
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byService[ledger.service] != ledger {
		return false
	}
	if !ok || leadership.Epoch != ledger.epoch {
		s.end(ledger, "this host no longer leads the service")
		return false
	}
	return true
}

// run removes what hosts that left hold, and ledgers of other hosts, until ctx is done.
func (s *slotLedgers) run(ctx context.Context) {
	timing.Every(ctx, ledgerSweepInterval, s.sweep)
}

func (s *slotLedgers) sweep() {
	gone := s.membersGone()
	for _, ledger := range s.all() {
		if !s.stillLeads(ledger) {
			continue
		}
		if !s.isPlain(ledger.service) {
			s.remove(ledger, "the service is no longer configured as one without models")
			continue
		}
		if len(gone) > 0 {
			ledger.deliver(ledger.DropHolders(func(h slotledger.Holder) bool { return gone[h.Host] }, s.now()))
		}
		ledger.deliver(ledger.Advance(s.now()))
	}
}

// membersGone returns the hosts whose leases have ended since the last sweep.
func (s *slotLedgers) membersGone() map[string]bool {
	members := s.mesh.Members()
	s.mu.Lock()
	defer s.mu.Unlock()
	gone := map[string]bool{}
	for _, host := range s.members {
		if _, found := slices.BinarySearch(members, host); !found {
			gone[host] = true
		}
	}
	s.members = members
	return gone
}

func (s *slotLedgers) remove(ledger *servedLedger, reason string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byService[ledger.service] == ledger {
		s.end(ledger, reason)
	}
}

func (s *slotLedgers) all() []*servedLedger {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Values(s.byService))
}

// status returns the state of the ledgers that this host keeps, by service.
func (s *slotLedgers) status() map[string]slotledger.Status {
	status := map[string]slotledger.Status{}
	now := s.now()
	for _, ledger := range s.all() {
		status[ledger.service] = ledger.Status(now)
	}
	return status
}
