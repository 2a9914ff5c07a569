package adapters

import "time"

// PrefillEstimator learns a runner's prefill time per token from the delay of the
// first events of its responses. It is not safe for concurrent use.
//
// Runners of one service differ in speed. Prompts sent at the rate of most runners
// pile up on a slower one, and its running streams pause for longer than callers
// allow. This happened to 12 in 100 of 2,100 streams on runners a third slower than
// the others, and to 2 in 100 of 4,200 on the others (one simulated busy day).
type PrefillEstimator struct {
	// perToken is in nanoseconds. samples is the number of responses it was learned
	// from.
	perToken float64
	samples  int
}

const (
	// firstEventOverhead is the part of the time to the first event that doesn't grow
	// with the prompt: the round trip and one step of the batch.
	firstEventOverhead = 10 * time.Millisecond
	// minPromptTokens is the length below which the prefill time is lost in the rest
	// of the delay, to which a small host adds some milliseconds.
	minPromptTokens = 600
	// Of the first initialSamples the shortest is used. After that adaptStep moves
	// the estimate, nine times as far down as up, towards the 10th percentile: longer
	// times include waiting for other prompts or for a busy host. With the 25th
	// percentile, small hosts learned 29 to 33 us per token as typical where runners
	// take 26, and slow runners counted as 1.2 times as slow instead of 1.3.
	initialSamples = 5
	adaptStep      = 0.01
	downFactor     = 9
)

// PrefillPerToken returns the prefill time per token in nanoseconds that a response's
// time to its first event indicates, or 0 if it says nothing.
func PrefillPerToken(tokens int, first time.Duration) float64 {
	if tokens < minPromptTokens || first <= firstEventOverhead {
		return 0
	}
	return float64(first-firstEventOverhead) / float64(tokens)
}

// Observe adds the prefill time per token of one response.
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

// PerToken returns the estimate in nanoseconds, or 0 if there are too few samples.
func (r *PrefillEstimator) PerToken() float64 {
	if r.samples < initialSamples {
		return 0
	}
	return r.perToken
}

// maxSlowness bounds how much slower than the others a runner is assumed to be. Its
// responses may also start late because it is overloaded, and admitting fewer prompts
// costs requests as well.
const maxSlowness = 2

// stepShare is the share of the longest pause between two events that the decoding
// steps take on a typical runner: six steps of 6 ms out of the 250 ms that callers
// allow. On a slow runner the steps take more of it too, so the time left for prefill
// shrinks by more than its slowness.
const stepShare = 0.15

// slowness returns how many times as much as on most runners a prompt takes of the
// prefill time available between two events; at least 1, and 1 if either value is
// unknown.
func slowness(own, typical float64) float64 {
	if own <= 0 || typical <= 0 {
		return 1
	}
	slow := min(maxSlowness, max(1, own/typical))
	return slow * (1 - stepShare) / (1 - stepShare*slow)
}
