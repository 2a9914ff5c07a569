package entry

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cherrystage/cherrystage/internal/awake"
	"github.com/cherrystage/cherrystage/internal/mesh"
	"github.com/cherrystage/cherrystage/internal/peer"
	"github.com/cherrystage/cherrystage/internal/serve"
	"github.com/cherrystage/cherrystage/internal/site"
	"github.com/cherrystage/cherrystage/internal/slotledger"
	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
)

const (
	// slotTimeout is how long a request waits for the ledger's host beyond the time for which the
	// answer is held back there. Targets are 150 ms and more.
	slotTimeout = 50 * time.Millisecond
	// firstHold is how long the first answer is held back. Most waits are shorter: with 24 slots
	// held for 60 ms each, one is returned every 2.5 ms. The answer is still due within
	// slotTimeout of the call.
	firstHold = 20 * time.Millisecond
	// slotBackoff is how long a ledger's host is not asked after it did not answer, as with owners.
	slotBackoff = ownerBackoff
	// maxNamedRunners bounds the runners that a request names, at some 40 bytes each.
	maxNamedRunners = 16
	// lateSlotTimeout is how long an answer is awaited that came too late for its request, so that
	// a slot granted in it is returned.
	lateSlotTimeout = time.Second
)

// slotManager asks the hosts that keep the ledgers of plain runners' request slots for slots. It
// keeps the ledgers of those services that this host leads.
type slotManager struct {
	identity peer.Identity
	mesh     *mesh.State
	pool     *peer.Pool
	ledgers  *slotLedgers
	returns  *pendingReturns
	backoff  hostBackoff
	now      func() time.Time
	running  awake.Clock
	log      hclog.Logger
	number   atomic.Uint64

	granted, refused, unknown, waited, refusedByRunner atomic.Int64
}

func newSlotManager(identity peer.Identity, state *mesh.State, pool *peer.Pool, ledgers *slotLedgers, now func() time.Time, log hclog.Logger) *slotManager {
	return &slotManager{identity: identity, mesh: state, pool: pool, ledgers: ledgers, returns: newPendingReturns(), now: now, log: log}
}

// slotAsk is a request for a slot while it is asked for.
type slotAsk struct {
	serve.SlotRequest
	number uint64
	// giveUpAt is the end of the time that the request can wait.
	giveUpAt time.Time
	// hold is how long the next answer may be held back.
	hold time.Duration
}

// Acquire implements serve.SharedSlots.
func (m *slotManager) Acquire(ctx context.Context, request serve.SlotRequest) serve.SlotGrant {
	ask := slotAsk{SlotRequest: request, number: m.number.Add(1), giveUpAt: m.now().Add(request.MaxWait), hold: firstHold}
	grant := m.acquire(ctx, ask)
	switch grant.Outcome {
	case serve.SlotGranted:
		m.granted.Add(1)
	case serve.SlotRefused:
		m.refused.Add(1)
	case serve.SlotUnknown:
		m.unknown.Add(1)
	}
	return grant
}

// acquire asks until the request is granted a slot or refused. A request that waits is asked for
// again under the same number, which keeps its place.
//
// The first answer is held back for so short a time that it tells within slotTimeout whether the
// ledger's host can be reached. Later ones are held back for up to half a second: a grant then
// takes one message, without idle slots between two questions, and the cost of a long queue stays
// at two messages a second for each request.
func (m *slotManager) acquire(ctx context.Context, ask slotAsk) serve.SlotGrant {
	grant := serve.SlotGrant{Service: ask.Service, Number: ask.number}
	queuedAt := ""
	for {
		host, address := m.mesh.LeaderFor(slotKey(ask.Service))
		grant.Host = host
		if ctx.Err() != nil || !m.mayAsk(host, address) {
			m.leaveQueue(queuedAt, ask)
			return grant
		}
		result, err := m.ask(ctx, host, address, ask)
		if err != nil {
			return grant
		}
		grant.Runner, grant.Scarce, grant.Wait = result.Runner, result.Scarce, time.Duration(result.WaitMS)*time.Millisecond
		switch {
		case result.Runner != "":
			grant.Outcome = serve.SlotGranted
			return grant
		case result.Refused:
			grant.Outcome = serve.SlotRefused
			return grant
		case !m.now().Before(ask.giveUpAt):
			m.giveBack(host, ask, true)
			grant.Outcome = serve.SlotRefused
			return grant
		}
		queuedAt = host
		if ask.hold == firstHold {
			m.waited.Add(1)
			ask.hold = slotledger.HoldLimit
		}
	}
}

// mayAsk reports whether a host keeps the ledger and can be reached as far as is known.
func (m *slotManager) mayAsk(host, address string) bool {
	if host == m.identity.Host {
		return true
	}
	return host != "" && address != "" && !m.backoff.active(host, m.now())
}

// leaveQueue gives up a request's place at the host where it waits, if it does. The place would be
// granted a slot that nobody uses.
func (m *slotManager) leaveQueue(host string, ask slotAsk) {
	if host != "" {
		m.giveBack(host, ask, true)
	}
}

var errLedgerHostSilent = errors.New("the ledger's host does not answer in time")

// ask asks the ledger's host once. Without an answer the request must be placed without a slot; one
// that is granted later is returned.
func (m *slotManager) ask(ctx context.Context, host, address string, ask slotAsk) (SlotAcquireResult, error) {
	params := m.params(ask)
	if host == m.identity.Host {
		return m.askLocal(ctx, ask, params)
	}
	answers := make(chan slotAnswer, 1)
	go func() { answers <- m.call(host, address, params) }()
	limit := m.running.NewLimit(max(slotTimeout, ask.hold+slotTimeout-firstHold))
	answer, err := awake.Receive(ctx, limit, answers)
	if err == nil {
		m.noteAnswer(host, ask, answer.err)
		return answer.result, answer.err
	}
	if errors.Is(err, awake.ErrExpired) {
		err = errLedgerHostSilent
		m.noteUnreachable(host, err)
	}
	m.giveBack(host, ask, true)
	go m.giveBackLate(host, ask, answers)
	return SlotAcquireResult{}, err
}

// params returns the message for a request. Slots to be returned are added when it is sent.
func (m *slotManager) params(ask slotAsk) SlotAcquireParams {
	now := m.now()
	params := SlotAcquireParams{
		Service: ask.Service, Number: ask.number, DueMS: ask.Due.Sub(now).Milliseconds(), WaitMS: ask.giveUpAt.Sub(now).Milliseconds(),
		LeftMS: ask.Deadline.Sub(now).Milliseconds(), HoldMS: ask.hold.Milliseconds(),
	}
	if ask.Ranked {
		params.Rank = &[2]int{ask.Precedence.Workspace, ask.Precedence.Route}
	}
	for _, runner := range namedRunners(ask.Runners, ask.number) {
		params.Runners = append(params.Runners, SlotRunner{ID: runner.ID, Slots: runner.Slots})
	}
	return params
}

// namedRunners returns the runners that a request names to the ledger: all of them, or else
// maxNamedRunners, which differ from request to request.
func namedRunners(runners []*site.Runner, number uint64) []*site.Runner {
	if len(runners) <= maxNamedRunners {
		return runners
	}
	first := int(number * maxNamedRunners % uint64(len(runners)))
	return slices.Concat(runners[first:], runners[:first])[:maxNamedRunners]
}

func (m *slotManager) askLocal(ctx context.Context, ask slotAsk, params SlotAcquireParams) (SlotAcquireResult, error) {
	result, err := m.ledgers.acquire(ctx, m.identity, params)
	if err == nil && ctx.Err() != nil {
		m.ledgers.release(m.identity, []SlotRelease{{Service: ask.Service, Number: ask.number}})
		return SlotAcquireResult{}, ctx.Err()
	}
	return result, err
}

type slotAnswer struct {
	result SlotAcquireResult
	err    error
}

// call asks another host, and returns slots in the same message.
//
// It is not canceled with the request that it is for: the answer is needed to return a granted
// slot, and other requests share the connection. A deadline that passes does not close the
// connection, since the answer may be held back. A connection that is dead is closed by the call
// that then returns the slot.
func (m *slotManager) call(host, address string, params SlotAcquireParams) slotAnswer {
	returned := m.returns.take(host, false, m.now())
	params.Released = releasesOf(returned)
	hold := time.Duration(params.HoldMS) * time.Millisecond
	ctx, cancel := context.WithTimeout(context.Background(), hold+lateSlotTimeout)
	defer cancel()
	var answer slotAnswer
	answer.err = m.pool.CallLong(ctx, address, methodSlotsAcquire, params, &answer.result)
	if answer.err != nil && !peer.IsRefusal(answer.err) {
		m.returnLater(host, returned)
	}
	return answer
}

// noteAnswer backs off from a host that cannot be reached. A host that answers that it does not
// keep the ledger is asked again, since it may keep it soon.
func (m *slotManager) noteAnswer(host string, ask slotAsk, err error) {
	if err == nil || peer.IsRefusal(err) {
		return
	}
	m.noteUnreachable(host, err)
	m.giveBack(host, ask, false)
}

func (m *slotManager) noteUnreachable(host string, err error) {
	now := m.now()
	if !m.backoff.active(host, now) {
		m.log.Warn("slot ledger host unreachable, placing requests without it", "peer", host, "rest_ms", slotBackoff.Milliseconds(), "error", err.Error())
	}
	m.backoff.set(host, now.Add(slotBackoff))
}

// giveBackLate returns a slot, or a place in the queue, that was granted too late for its request. The
// earlier return may have overtaken the request.
func (m *slotManager) giveBackLate(host string, ask slotAsk, answers <-chan slotAnswer) {
	if answer := <-answers; answer.err == nil && !answer.result.Refused {
		m.giveBack(host, ask, true)
	}
}

// giveBack returns what a request holds, a slot or a place in the queue.
func (m *slotManager) giveBack(host string, ask slotAsk, urgent bool) {
	m.giveBackRelease(host, SlotRelease{Service: ask.Service, Number: ask.number}, urgent)
}

// Release implements serve.SharedSlots.
func (m *slotManager) Release(grant serve.SlotGrant, refused bool) {
	if refused {
		m.refusedByRunner.Add(1)
	}
	m.giveBackRelease(grant.Host, SlotRelease{Service: grant.Service, Number: grant.Number, Refused: refused}, grant.Scarce || refused)
}

func (m *slotManager) giveBackRelease(host string, release SlotRelease, urgent bool) {
	if host == m.identity.Host {
		m.ledgers.release(m.identity, []SlotRelease{release})
		return
	}
	schedule := m.returns.add(host, pendingReturn{SlotRelease: release, at: m.now()})
	switch {
	case urgent:
		go m.flush(host, schedule)
	case schedule:
		time.AfterFunc(returnDelay, func() { m.flush(host, true) })
	}
}

func (m *slotManager) returnLater(host string, returns []pendingReturn) {
	if len(returns) > 0 && m.returns.add(host, returns...) {
		time.AfterFunc(returnRetryPause, func() { m.flush(host, true) })
	}
}

// flush returns slots to a host. The argument scheduled reports that the call is the scheduled one.
//
// A return may be repeated, so it is until the grants have expired. Its call closes a connection
// that stays silent, which calls for slots do not.
func (m *slotManager) flush(host string, scheduled bool) {
	returned := m.returns.take(host, scheduled, m.now())
	address, known := m.mesh.AddressOf(host)
	if len(returned) == 0 || !known {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), ownerTimeout)
	defer cancel()
	err := m.pool.Call(ctx, address, methodSlotsRelease, SlotReleaseParams{Released: releasesOf(returned)}, nil)
	if err != nil {
		m.log.Debug("could not return request slots", "peer", host, "slots", len(returned), "error", err.Error())
		m.returnLater(host, returned)
	}
}
