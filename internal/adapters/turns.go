package adapters

import (
	"time"

	"github.com/cherrystage/cherrystage/internal/precedence"
)

// deferredGrace is how long after the time at which a deferred request asks again its
// adapter is kept: its message may be late.
const deferredGrace = 100 * time.Millisecond

// prefillState returns what the pacer has admitted; c.mu must be held.
func (c *Controller) prefillState(now time.Time) precedence.Prefill {
	return precedence.Prefill{Backlog: max(0, c.pacer.freeAt.Sub(now)), Burst: c.pacer.burst()}
}

// turnOf returns what a request says of itself when it asks for its turn; c.mu must be
// held.
func (c *Controller) turnOf(ask AdmissionRequest) precedence.Ask {
	return precedence.Ask{
		Ticket: ask.Ticket, Waited: ask.Waited, LastResort: ask.LastResort, Size: ask.PromptTokens, Ranked: ask.Ranked, Precedence: ask.Precedence,
		Cost: c.pacer.cost(ask.PromptTokens), Slack: ask.LatencyBudget, Left: ask.MaxWait, WaitLimit: maxPromptWait(ask),
	}
}

// noteAsk counts a request that asks for admission; c.mu must be held.
func (c *Controller) noteAsk(ask AdmissionRequest, now time.Time) {
	if !ask.Barred {
		c.turns.Asked(c.turnOf(ask), now)
	}
}

// checkBacklog refuses a request that would wait too long for other prompts; c.mu must
// be held.
func (c *Controller) checkBacklog(ask AdmissionRequest, now time.Time) error {
	if !c.turns.Active(now) {
		if c.pacer.Wait(ask.PromptTokens, now) > maxPromptWait(ask) {
			return ErrPromptBacklog
		}
		return nil
	}
	if ask.Ticket != 0 {
		// deferTurn refuses it for the same reason.
		return nil
	}
	if wait, tooLate := c.turns.TooLate(c.turnOf(ask), c.prefillState(now), now); tooLate {
		return delayed(ErrPromptBacklog, wait)
	}
	return nil
}

// leaveQueue forgets the deferral of a request that is refused, so that others no longer wait for
// it; c.mu must be held.
func (c *Controller) leaveQueue(ask AdmissionRequest) {
	if c.turns.Leave(ask.Ticket) {
		c.Contention.DeferralsRefused.Add(1)
	}
}

// deferTurn defers a request whose adapter is loaded while others go first; again is
// false if it takes its turn now. c.mu must be held.
func (c *Controller) deferTurn(ask AdmissionRequest, now time.Time) (deferred AdmissionResult, again bool, err error) {
	if !c.turns.Active(now) {
		return AdmissionResult{}, false, nil
	}
	turn := c.turns.Turn(c.turnOf(ask), c.prefillState(now), now)
	switch turn.Verdict {
	case precedence.Refuse:
		return AdmissionResult{}, false, delayed(ErrPromptBacklog, turn.Wait)
	case precedence.Defer:
		c.Contention.Deferrals.Add(1)
		at := now.Add(turn.Pause)
		c.slots.hold(ask.Key.Adapter, at.Add(deferredGrace))
		return AdmissionResult{At: at, AskAgain: true, Ticket: turn.Ticket}, true, nil
	default:
		return AdmissionResult{}, false, nil
	}
}
