package serve

import (
	"context"
	"time"

	"github.com/cherrystage/cherrystage/internal/forward"
	"github.com/cherrystage/cherrystage/internal/placing"
	"github.com/cherrystage/cherrystage/internal/site"
)

// SharedSlots grants the request slots of plain runners, which all hosts share.
type SharedSlots interface {
	// Acquire asks for a slot on one of the request's runners and waits for it for at most
	// MaxWait, or until ctx is done.
	Acquire(ctx context.Context, request SlotRequest) SlotGrant
	// Release returns a granted slot. The argument refused reports that the runner refused the
	// request.
	Release(grant SlotGrant, refused bool)
}

// SlotRequest is a request for a slot of a service.
type SlotRequest struct {
	Service string
	// Runners are those that the request may go to, preferred ones first.
	Runners []*site.Runner
	// Ranked is set if requests are ordered by priority, by Precedence.
	Ranked     bool
	Precedence site.Precedence
	// Due is when the answer is due, Deadline when it is of no use any more.
	Due, Deadline time.Time
	// MaxWait is how long the request may wait for a slot.
	MaxWait time.Duration
}

// SlotOutcome is the answer to a SlotRequest.
type SlotOutcome uint8

// Outcomes of a SlotRequest.
const (
	// SlotUnknown means that no ledger answered. The request is placed by what this host knows.
	SlotUnknown SlotOutcome = iota
	SlotGranted
	// SlotRefused means that no slot becomes free while the request can wait.
	SlotRefused
)

func (o SlotOutcome) String() string {
	switch o {
	case SlotGranted:
		return "granted"
	case SlotRefused:
		return "refused"
	default:
		return "unknown"
	}
}

// SlotGrant is the answer to a SlotRequest, and the slot if it is granted.
type SlotGrant struct {
	Outcome SlotOutcome
	Service string
	// Runner is the ID of the runner with the granted slot.
	Runner string
	// Number identifies the grant among those of this process.
	Number uint64
	// Host is the host that keeps the ledger, "" if none is known.
	Host string
	// Wait is the expected time until a slot is free for a refused request.
	Wait time.Duration
	// Scarce reports that the slot should be returned without delay.
	Scarce bool
}

// sharesSlots reports whether plain requests ask for a slot before they are sent: if they are
// ordered by priority, or if runners must not have to turn requests away.
func (l *lifecycle) sharesSlots() bool { return l.s.Slots != nil && (l.ranked || l.brittle) }

// reasonNoSlot is the answer to callers if no slot becomes free in time.
const reasonNoSlot = "no runner has a free request slot in time"

// placeBySlot asks for a slot of one of the runners and chooses its runner. With SlotRefused the
// request has been answered, with SlotUnknown it has not been placed.
func (l *lifecycle) placeBySlot(ctx context.Context, runners []*site.Runner, candidates []placing.Candidate) SlotOutcome {
	usable := withoutSuspects(runners, candidates)
	if len(usable) == 0 {
		return SlotUnknown
	}
	asked := l.s.Now()
	grant := l.s.Slots.Acquire(ctx, SlotRequest{
		Service: l.service.Name, Runners: NearFirst(usable, l.s.DataCentre), Ranked: l.ranked, Precedence: l.precedence,
		Due: l.arrived.Add(l.route.TargetLatency), Deadline: l.deadline, MaxWait: l.timeLeft() / slotWaitDivisor,
	})
	l.slotAnswer = &grant
	l.slotWaited += l.s.Now().Sub(asked)
	if grant.Outcome == SlotGranted {
		l.slot = &grant
	}
	switch {
	case ctx.Err() != nil || l.timeLeft() < minTimeLeft:
		l.releaseSlot(false)
		l.giveUp(ctx)
		return SlotRefused
	case grant.Outcome == SlotGranted:
		return l.useSlot(usable)
	case grant.Outcome == SlotRefused:
		l.shortestWait = grant.Wait
		l.refuseOrFail(l.retryAfter(), reasonNoSlot)
	}
	return grant.Outcome
}

// slotWaitDivisor: a request waits for a slot for at most the remaining time divided by it, so that
// as much is left to run, and to try another runner if the first one refuses.
const slotWaitDivisor = 2

// useSlot chooses the runner of a granted slot. The slot is returned if the runner left meanwhile.
func (l *lifecycle) useSlot(usable []*site.Runner) SlotOutcome {
	for _, runner := range usable {
		if runner.ID == l.slot.Runner {
			l.runner = runner
			if l.runnerAvailable() {
				return SlotGranted
			}
		}
	}
	l.releaseSlot(false)
	return SlotUnknown
}

func withoutSuspects(runners []*site.Runner, candidates []placing.Candidate) []*site.Runner {
	var found []*site.Runner
	for i, candidate := range candidates {
		if !candidate.Suspect {
			found = append(found, runners[i])
		}
	}
	return found
}

// releaseSlot returns the slot that the request holds, if any.
func (l *lifecycle) releaseSlot(refused bool) {
	if l.slot == nil {
		return
	}
	l.s.Slots.Release(*l.slot, refused)
	l.slot = nil
}

// refusedByRunner reports whether a runner refused the attempt for lack of capacity.
func refusedByRunner(failure *forward.Failure) bool {
	return failure != nil && failure.Reason == forward.ReasonRefused
}

// slotLogFields returns the fields on the slot for the request's log line.
func (l *lifecycle) slotLogFields() []any {
	if l.slotAnswer == nil {
		return nil
	}
	return []any{"slot", l.slotAnswer.Outcome.String(), "slot_from", l.slotAnswer.Host, "slot_wait_ms", l.slotWaited.Milliseconds()}
}
