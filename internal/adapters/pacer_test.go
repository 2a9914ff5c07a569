package adapters

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var epoch = time.Unix(1000, 0)

// The first prompt of a runner: the zero freeAt is far from the owner's clock. A wait
// computed from it overflowed, so that every request was refused.
func TestPacerAdmitsFirstPromptWithoutWait(t *testing.T) {
	var p Pacer
	must.Eq(t, 0, p.Wait(800, epoch))
	must.Eq(t, epoch, p.Admit(800, epoch))
}

// Thirty requests for adapters on one runner arrive at once. Sent at once, prefill in
// chunks of 2,048 tokens per step would make every running stream pause for longer
// than callers allow. Paced, no window of five steps holds more prefill than the
// allowed pause of 250 ms has room for.
func TestPacerSpreadsBurst(t *testing.T) {
	const (
		prompts  = 30
		tokens   = 826
		stepMS   = 5.9
		steps    = 5
		allowed  = 250 * time.Millisecond
		perMilli = 38.7
	)
	var p Pacer
	var sent []time.Time
	for range prompts {
		sent = append(sent, p.Admit(tokens, epoch))
	}
	for i, from := range sent {
		prefillTokens := 0
		for _, at := range sent[i:] {
			if at.Sub(from) < allowed {
				prefillTokens += tokens
			}
		}
		pause := time.Duration((steps*stepMS + float64(prefillTokens)/perMilli) * float64(time.Millisecond))
		must.LessEq(t, allowed, pause, must.Sprintf("window from prompt %d has prefill of %d tokens", i, prefillTokens))
	}
}

// A prompt longer than the burst is sent alone: after the prefill of those before it,
// and before the next. Sent at once behind a burst, the two together made every
// running stream pause for over 250 ms.
func TestPacerSendsLongPromptAlone(t *testing.T) {
	var p Pacer
	must.Eq(t, epoch, p.Admit(3000, epoch))
	alone := epoch.Add(prefillTime(3000))
	must.Eq(t, alone, p.Admit(7000, epoch))
	must.Eq(t, prefillTime(10_000)-prefillTime(burstTokens-800), p.Wait(800, epoch))
	must.Eq(t, 0, p.Wait(800, epoch.Add(prefillTime(10_000))))
}
