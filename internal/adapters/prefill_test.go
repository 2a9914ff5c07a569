package adapters

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// firstEventTime returns the simulated time to the first event on a runner with the
// given prefill rate, as measured by a small host. Half of the requests wait for
// other prompts.
func firstEventTime(draw *rand.Rand, tokens int, perMS float64) time.Duration {
	prefill := time.Duration(float64(tokens) / perMS * float64(time.Millisecond))
	wait := time.Duration(draw.ExpFloat64() * float64(6*time.Millisecond))
	if draw.Float64() < 0.5 {
		wait += time.Duration(draw.ExpFloat64() * float64(40*time.Millisecond))
	}
	return firstEventOverhead + prefill + wait
}

func learnedRate(draw *rand.Rand, answers int, perMS float64) float64 {
	var r PrefillEstimator
	for range answers {
		tokens := 200 + draw.IntN(3000)
		r.Observe(PrefillPerToken(tokens, firstEventTime(draw, tokens, perMS)))
	}
	return r.PerToken()
}

// Half of all responses start late because of other prompts. The prefill time is
// learned from the others: to within 30% after about ten responses, and it stays
// there.
func TestPrefillRateIsLearned(t *testing.T) {
	for seed := range uint64(20) {
		for _, perMS := range []float64{20, 29.8, 38.7, 60} {
			draw := rand.New(rand.NewPCG(seed, 1))
			for _, answers := range []int{12, 300} {
				got := learnedRate(draw, answers, perMS)
				must.Between(t, 0.99, got*perMS/1e6, 1.3, must.Sprintf("%v tokens/ms after %d responses", perMS, answers))
			}
		}
	}
}

// Short prompts and times below the overhead say nothing, and a runner with too few
// samples counts as one of typical speed.
func TestPrefillRateWithFewSamples(t *testing.T) {
	must.Eq(t, 0, PrefillPerToken(100, time.Second))
	must.Eq(t, 0, PrefillPerToken(800, firstEventOverhead))
	var r PrefillEstimator
	for range initialSamples - 1 {
		r.Observe(50_000)
		r.Observe(0)
	}
	must.Eq(t, 0, r.PerToken())
	must.Eq(t, 1.0, slowness(r.PerToken(), 25_000))
	r.Observe(50_000)
	must.Eq(t, slowness(maxSlowness, 1), slowness(r.PerToken(), 20_000), must.Sprint("bounded"))
	must.Between(t, 1.35, slowness(1.3, 1), 1.4)
	must.Eq(t, 1.0, slowness(r.PerToken(), 0))
	must.Eq(t, 1.0, slowness(r.PerToken(), 60_000), must.Sprint("a faster runner gets no more than callers' pauses allow"))
}

// One runner in three does prefill at 29.8 tokens per millisecond instead of 38.7 and
// is as much slower in decoding. Thirty requests arrive at once. If the runner gets
// as many prompts as the others, its running streams pause for 323 ms where 250 are
// allowed. With its prefill speed learned from its responses, it gets as many as it
// can take, and the pauses stay within the limit.
func TestSlowRunnerGetsPromptsAtItsOwnPace(t *testing.T) {
	const (
		prompts = 30
		tokens  = 826
		slow    = 1.3
		allowed = 250 * time.Millisecond
	)
	longest := func(now *time.Time, learnedPerMS float64) time.Duration {
		c := newTestController(now, 4, &fakeEngine{})
		c.TypicalPrefill = func() float64 { return 1e6 / 38.7 }
		draw := rand.New(rand.NewPCG(1, 1))
		for range 40 {
			c.ObservePrefill(PrefillPerToken(tokens, firstEventTime(draw, tokens, learnedPerMS)))
		}
		var sent []time.Time
		for range prompts {
			admitted, err := c.Admit(AdmissionRequest{PromptTokens: tokens, MaxOutputTokens: 100, PromptWait: 10 * time.Second, LatencyBudget: 10 * time.Second, MaxWait: 10 * time.Second})
			must.NoError(t, err)
			sent = append(sent, admitted.At)
		}
		var pause time.Duration
		for i, from := range sent {
			prefillTokens := 0
			for _, at := range sent[i:] {
				if at.Sub(from) < allowed {
					prefillTokens += tokens
				}
			}
			pause = max(pause, time.Duration((5*5.9+float64(prefillTokens)/38.7)*slow*float64(time.Millisecond)))
		}
		return pause
	}
	now := epoch
	must.Greater(t, allowed, longest(&now, 38.7), must.Sprint("speed not learned"))
	must.LessEq(t, allowed, longest(&now, 38.7/slow))
}
