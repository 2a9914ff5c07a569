package adapters

import "time"

// Pacer spreads the prefill of prompts on one runner over time. It does no I/O and is
// not safe for concurrent use.
//
// Callers arrive in bursts and a few adapters receive most requests, so ten prompts
// may reach a runner at once. An engine runs prefill between the decoding steps of
// all its requests, up to 2,048 tokens per step. Such a step takes 58 ms instead of
// 6; with an event every 5 tokens, each running stream pauses for 290 ms where 250 ms
// are allowed. In a simulated calm day of 34 s this made 307 of 1,837 streams late.
// With pacing, the prompts wait for tens of milliseconds and the running streams
// aren't affected.
type Pacer struct {
	// freeAt is when the prefill of all admitted prompts will be done, at the rate
	// pacedPerMS.
	freeAt time.Time
	// slowness is how many times as long as on most runners prefill takes on this
	// one; 0 counts as 1.
	slowness float64
	// pace replaces pacedPerMS, burstTokens and slowness on a runner that announces its
	// work time. It is unknown on all others.
	pace Pace
}

// cost returns the time that the pacer reserves for the prefill of a prompt on this
// runner.
func (p *Pacer) cost(tokens int) time.Duration {
	if p.pace.Known {
		return p.pace.duration(float64(tokens))
	}
	return time.Duration(max(1, p.slowness) * float64(prefillTime(tokens)))
}

const (
	// prefillPerMS is the number of prompt tokens that an engine processes per
	// millisecond, by the platform's data sheets. pacedPerMS is the rate at which the
	// pacer admits them in the long run.
	prefillPerMS = 38.7
	pacedPerMS   = 20
	// burstTokens may be sent at once; a longer prompt is sent alone. Five steps then
	// take at most (5 x step + burst/prefill) / (1 - paced/prefill) = 248 ms, where
	// step is the time of a step without prompts (5.9 ms).
	burstTokens = 3500
)

// Wait returns how long a prompt has to wait, without admitting it: until it and the
// prompts before it fit into a burst, or until the prefill of those before it is
// done.
func (p *Pacer) Wait(tokens int, now time.Time) time.Duration {
	if p.freeAt.Before(now) {
		return 0
	}
	room := max(0, p.burst()-p.cost(tokens))
	return max(0, p.freeAt.Sub(now)-room)
}

// burst returns the time that the pacer reserves for a burst.
func (p *Pacer) burst() time.Duration {
	if p.pace.Known {
		return p.pace.duration(p.pace.BurstTokens)
	}
	return prefillTime(burstTokens)
}

// setPace changes the pace. The prompts admitted so far keep their number of tokens, which take
// another time from now on.
func (p *Pacer) setPace(pace Pace, now time.Time) {
	if backlog := p.backlogTokens(now); backlog > 0 && pace != p.pace {
		next := Pacer{slowness: p.slowness, pace: pace}
		p.freeAt = now.Add(time.Duration(backlog * float64(next.cost(backlogUnit)) / backlogUnit))
	}
	p.pace = pace
}

// backlogUnit is a number of tokens whose cost is long enough to divide without rounding errors.
const backlogUnit = 1000

// backlogTokens returns the number of prompt tokens whose prefill is not done at the pacer's rate.
func (p *Pacer) backlogTokens(now time.Time) float64 {
	if !p.freeAt.After(now) {
		return 0
	}
	return float64(p.freeAt.Sub(now)) / float64(p.cost(backlogUnit)) * backlogUnit
}

// Admit admits a prompt and returns when it may be sent.
func (p *Pacer) Admit(tokens int, now time.Time) time.Time {
	wait := p.Wait(tokens, now)
	if p.freeAt.Before(now) {
		p.freeAt = now
	}
	p.freeAt = p.freeAt.Add(p.cost(tokens))
	return now.Add(wait)
}

// prefillTime returns the time that the pacer reserves for the prefill of a prompt on
// a runner of usual speed, which includes time for decoding steps in between.
func prefillTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / pacedPerMS * float64(time.Millisecond))
}
