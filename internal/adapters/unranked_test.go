package adapters

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// decisionsBefore is the hash of the decisions in TestUnrankedDecisionsAreAsBefore by the
// code that knew no order by precedence (fbf77d0).
const decisionsBefore = uint64(16485860511272442652)

// Without priority order, all decisions on admissions, loads and evictions are as they
// were before it existed: a runner that has too few adapter slots and too little prefill
// capacity gets requests for a minute, at times with a saturated store.
func TestUnrankedDecisionsAreAsBefore(t *testing.T) {
	random := rand.New(rand.NewPCG(7, 1))
	now := epoch
	engine := &fakeEngine{}
	c := newTestController(&now, 6, engine)
	hash := fnv.New64a()
	type again struct {
		ask AdmissionRequest
		at  time.Time
		end time.Time
	}
	var waiting []again
	admit := func(ask AdmissionRequest, end time.Time) {
		admitted, err := c.Admit(ask)
		fmt.Fprintln(hash, now.Sub(epoch), ask.Key, ask.PromptTokens, admitted.At.Sub(now), admitted.AskAgain, err)
		if err == nil && admitted.AskAgain {
			ask.Waited = true
			waiting = append(waiting, again{ask: ask, at: admitted.At, end: end})
		}
		if err == nil && !admitted.AskAgain && random.IntN(2) == 0 {
			c.slots.EndRuns(ask.Key.Adapter, 1, now)
		}
	}
	for ; now.Before(epoch.Add(time.Minute)); now = now.Add(5 * time.Millisecond) {
		c.StoreLoad = func() StoreLoad { return StoreLoad{Capacity: 8} }
		if now.Sub(epoch)/time.Second%3 == 0 {
			c.StoreLoad = saturatedStore
		}
		fmt.Fprintln(hash, c.Step(t.Context()), len(engine.orders))
		due := waiting
		waiting = nil
		for _, w := range due {
			if now.Before(w.at) {
				waiting = append(waiting, w)
				continue
			}
			elapsed := w.end.Sub(now)
			w.ask.LatencyBudget -= w.ask.MaxWait - elapsed
			w.ask.MaxWait = elapsed
			admit(w.ask, w.end)
		}
		if random.IntN(8) > 0 {
			continue
		}
		ask := testRequest(random.IntN(24), time.Duration(random.IntN(1500)-100)*time.Millisecond)
		ask.PromptTokens = 200 + random.IntN(2500)
		ask.LastResort, ask.Home = random.IntN(5) == 0, random.IntN(2) == 0
		if random.IntN(4) == 0 {
			ask.Key.Name = ""
		}
		admit(ask, now.Add(ask.MaxWait))
	}
	for _, order := range engine.orders {
		fmt.Fprintln(hash, order.Load, order.Key, order.Sequence)
	}
	must.Eq(t, decisionsBefore, hash.Sum64(), must.Sprintf("orders: %d", len(engine.orders)))
}
