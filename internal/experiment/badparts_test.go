package experiment

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func badPartScenario(t *testing.T, wholeRequests bool) *Result {
	t.Helper()
	r := runScenario(t, "calm", Product, func(cfg *Config) {
		cfg.BadParts = []BadPartConfig{{AtS: 4, ForS: 20, PerS: 3, DownS: 3, WholeRequests: wholeRequests}}
	})
	t.Logf("%+v", r.BadPart)
	return r
}

// A part of prompts ends each engine that begins a response on it. It is known after a few crashes,
// and sound requests, which share all other parts, are not blocked for it.
func TestBadPartIsKnownInTheModel(t *testing.T) {
	r := badPartScenario(t, false)
	must.GreaterEq(t, 3, r.BadPart.Crashes)
	must.LessEq(t, 3, r.BadPart.SentLate)
	must.Eq(t, 0, r.BadPart.Blocked)
	calm := runScenario(t, "calm", Product, nil)
	from := r.BadPart.settledAt.Sub(time.Unix(0, 0).Add(warmUp)) + sendsSettle
	must.GreaterEq(t, 0.97*servedFrom(calm, from), servedFrom(r, from))
}

// servedFrom returns the share of requests that were served, of those made from a time on.
func servedFrom(r *Result, from time.Duration) float64 {
	asked, served := 0, 0
	for i, window := range r.Windows {
		if time.Duration(i)*windowLength >= from {
			asked += window.Asked
			served += window.InTime + window.Late
		}
	}
	return float64(served) / float64(max(1, asked))
}

// The model shows the fault: where only whole requests are known, engines end as long as requests
// with the part come.
func TestModelShowsPartsThatOnlyWholeRequestsTell(t *testing.T) {
	r := badPartScenario(t, true)
	must.Greater(t, 20, r.BadPart.Crashes)
	must.Greater(t, 10, r.BadPart.SentLate)
}
