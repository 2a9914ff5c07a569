package adapters

import "time"

// PrefillEstimator learns how long a runner takes to read a token of a prompt, from when its
// answers begin. It is not safe for concurrent use.
//
// The load it answers: runners of one service differ in speed. Prompts that are handed
// out as fast as most runners read them pile up on a slower one, and its running
// streams pause for longer than callers allow: on runners a third slower than the
// others 12 in 100 of 2,100 streams did, 2 in 100 of 4,200 on the others (one busy day).
type PrefillEstimator struct {
	// perToken is in nanoseconds; answers counts what it was learnt from.
	perToken float64
	samples  int
}

const (
	// firstEventOverhead is the part of an answer's beginning that does not grow with the
	// prompt: the way there and back and a step of the batch.
	firstEventOverhead = 10 * time.Millisecond
	// minPromptTokens is the length below which a prompt's reading is lost in the rest: a
	// small host adds some milliseconds to both.
	minPromptTokens = 600
	// initialSamples are taken at their shortest; from then on readingStep moves the
	// estimate, nine times as far down as up, towards the lowest tenth: what is above it
	// waited for other prompts or for a busy host. By the lowest quarter small hosts
	// took 29 to 33 us a token for usual where runners read one in 26, and slow runners
	// for 1.2 times as slow and not 1.3.
	initialSamples = 5
	adaptStep      = 0.01
	downFactor     = 9
)

// PrefillPerToken gives the time a token that an answer's beginning tells of, in
// nanoseconds, or 0 if it tells nothing.
func PrefillPerToken(tokens int, first time.Duration) float64 {
	if tokens < minPromptTokens || first <= firstEventOverhead {
		return 0
	}
	return float64(first-firstEventOverhead) / float64(tokens)
}

// Observe takes over what one answer tells.
func (r *PrefillEstimator) Observe(perToken float64) {
	if perToken <= 0 {
		return
	}
	r.samples++
	switch {
	case r.samples <= initialSamples:
		if r.samples == 1 || perToken < r.perToken {
			r.perToken = perToken
		}
	case perToken < r.perToken:
		r.perToken = max(perToken, r.perToken*(1-adaptStep*downFactor))
	default:
		r.perToken = min(perToken, r.perToken*(1+adaptStep))
	}
}

// PerToken gives the estimate in nanoseconds, or 0 before there is one.
func (r *PrefillEstimator) PerToken() float64 {
	if r.samples < initialSamples {
		return 0
	}
	return r.perToken
}

// maxSlowness bounds how much slower than the others a runner is taken for: its answers
// may begin late since it is crowded, and fewer prompts cost it callers as well.
const maxSlowness = 2

// stepShare is the part of the longest pause that callers allow which the steps of one
// event take on a usual runner: six steps of 6 ms of 250. A slow runner's steps take more
// of it as well, so that less than its share of reading is left for prompts.
const stepShare = 0.15

// slowness gives how many times as much as on most runners a prompt takes of what may be
// read between two events of this one; at least 1. Where either is not known yet it is 1.
func slowness(own, typical float64) float64 {
	if own <= 0 || typical <= 0 {
		return 1
	}
	slow := min(maxSlowness, max(1, own/typical))
	return slow * (1 - stepShare) / (1 - stepShare*slow)
}
