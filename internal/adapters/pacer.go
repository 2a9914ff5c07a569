package adapters

import "time"

// Pacer spreads the reading of prompts on one runner. It is pure and not safe
// for concurrent use.
//
// The load it answers: callers come in clumps and a few adapters take most
// requests, so ten prompts may reach a runner at once. An engine reads prompts
// between the steps of all that it runs, up to 2,048 tokens a step: a step then
// takes 58 ms and not 6, and with an event every 5 tokens each running stream
// pauses for 290 ms where 250 ms are allowed. On a calm day of 34 s that made
// 307 of 1,837 streams late. Spaced out, the prompts wait some ten milliseconds
// and the running streams notice nothing.
type Pacer struct {
	// freeAt is when the prompts that were admitted will have been read.
	freeAt time.Time
	// slowness is how many times as long as most runners this one reads; 0 counts as 1.
	slowness float64
}

// cost is the time that a prompt takes of what is handed out.
func (p *Pacer) cost(tokens int) time.Duration {
	return time.Duration(max(1, p.slowness) * float64(prefillTime(tokens)))
}

const (
	// prefillPerMS is the number of prompt tokens that an engine reads in a
	// millisecond, by the platform's sheets, and pacedPerMS what is handed out
	// in the long run.
	prefillPerMS = 38.7
	pacedPerMS   = 20
	// burstTokens may come at once; a longer prompt goes alone. With step the
	// time of a step without prompts (5.9 ms), five steps then take at most
	// (5 x step + burst/read) / (1 - paced/read) = 248 ms.
	burstTokens = 3500
)

// Wait gives how long a prompt has to wait, without admitting it: until it and
// those before it fit into a burst, or until those before it are read.
func (p *Pacer) Wait(tokens int, now time.Time) time.Duration {
	if p.freeAt.Before(now) {
		return 0
	}
	room := max(0, prefillTime(burstTokens)-p.cost(tokens))
	return max(0, p.freeAt.Sub(now)-room)
}

// Admit admits a prompt and gives when it may be sent.
func (p *Pacer) Admit(tokens int, now time.Time) time.Time {
	wait := p.Wait(tokens, now)
	if p.freeAt.Before(now) {
		p.freeAt = now
	}
	p.freeAt = p.freeAt.Add(p.cost(tokens))
	return now.Add(wait)
}

func prefillTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / pacedPerMS * float64(time.Millisecond))
}
