package adapters

import (
	"slices"
	"time"
)

const (
	// incomingGrace is how long after its load is done a request may ask for its turn: a round trip
	// to its host, and some milliseconds on a busy host.
	incomingGrace = 50 * time.Millisecond
	// maxIncoming bounds the prompts that are remembered for one runner.
	maxIncoming = 256
)

// incomingPrompt is the prompt of a request that asks for its turn when its adapter is loaded.
type incomingPrompt struct {
	dueAt  time.Time
	tokens int
}

// incomingPrompts are the prompts of the requests that wait for loads on one runner, in the order in
// which they are due. It is not safe for concurrent use.
//
// Requests that need a load choose a runner by its backlog of prompts at that moment. Without a
// count of those that were told the same, a dozen of them met when their loads were done and waited
// for each other's prompts for longer than the load had taken.
type incomingPrompts []incomingPrompt

// add records a request that asks for its turn at a time.
func (p *incomingPrompts) add(dueAt time.Time, tokens int, now time.Time) {
	*p = slices.DeleteFunc(*p, func(prompt incomingPrompt) bool { return now.After(prompt.dueAt.Add(incomingGrace)) })
	if len(*p) >= maxIncoming {
		return
	}
	at, _ := slices.BinarySearchFunc(*p, dueAt, func(prompt incomingPrompt, dueAt time.Time) int { return prompt.dueAt.Compare(dueAt) })
	*p = slices.Insert(*p, at, incomingPrompt{dueAt: dueAt, tokens: tokens})
}

// remove drops the prompt of a request that asks for its turn.
func (p *incomingPrompts) remove(tokens int) {
	if at := slices.IndexFunc(*p, func(prompt incomingPrompt) bool { return prompt.tokens == tokens }); at >= 0 {
		*p = slices.Delete(*p, at, at+1)
	}
}

// processedAt returns when a runner will have processed the prompts that are due by a time. It is
// free of other prompts from freeAt on, and cost returns how long a prompt takes.
func (p incomingPrompts) processedAt(by, freeAt, now time.Time, cost func(tokens int) time.Duration) time.Time {
	for _, prompt := range p {
		if prompt.dueAt.After(by) {
			break
		}
		if !now.After(prompt.dueAt.Add(incomingGrace)) {
			freeAt = laterOf(freeAt, prompt.dueAt).Add(cost(prompt.tokens))
		}
	}
	return freeAt
}

// waitAfterLoad returns how long a request waits for other prompts once its adapter is loaded; c.mu
// must be held.
func (c *Controller) waitAfterLoad(ask AdmissionRequest, readyAt, now time.Time) time.Duration {
	processed := c.incoming.processedAt(readyAt, c.pacer.freeAt, now, c.pacer.cost)
	room := max(0, c.pacer.burst()-c.pacer.cost(ask.PromptTokens))
	return max(0, processed.Sub(readyAt)-room)
}

// checkTurnAfterLoad refuses a request that would wait too long for other prompts once its adapter
// is loaded, while other runners may serve it sooner; c.mu must be held. Where a load alone takes
// longer than the request has, it is late everywhere and half of the usual wait is accepted.
func (c *Controller) checkTurnAfterLoad(ask AdmissionRequest, readyAt, now time.Time) error {
	if ask.LastResort || ask.Waited || !c.contended() {
		return nil
	}
	wait := readyAt.Sub(now) + c.waitAfterLoad(ask, readyAt, now)
	if wait <= max(ask.LatencyBudget, c.idleLoadTime(ask.Key)+ask.PromptWait/2) {
		return nil
	}
	return delayed(ErrPromptBacklog, wait)
}
