package adapters

import (
	"fmt"
	"testing"
	"time"

	"github.com/cherrystage/cherrystage/internal/site"
	"github.com/shoenig/test/must"
)

// cold is a request for an adapter that is not on the runner.
func cold(adapter string) AdmissionRequest {
	return AdmissionRequest{
		Key: Key{Adapter: site.Adapter{Model: "m", Name: adapter}}, PromptTokens: 2000, MaxOutputTokens: 100,
		PromptWait: 250 * time.Millisecond, LatencyBudget: 540 * time.Millisecond, MaxWait: 5 * time.Second,
	}
}

// Many requests for one adapter arrive while it is being loaded, and the runner has no backlog of
// prompts yet. Told to wait for the load all of them, they met when it was done, and each waited for
// the prompts of those before it. Requests that would be late go to another runner instead.
func TestRequestsForALoadingAdapterDoNotPileUp(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, contended := range []bool{false, true} {
		c := newTestController(&now, 4, &fakeEngine{})
		c.Contended = func() bool { return contended }
		admitted, refused := 0, 0
		for range 12 {
			switch _, err := c.Admit(cold("a")); err {
			case nil:
				admitted++
			default:
				must.ErrorIs(t, err, ErrPromptBacklog)
				refused++
			}
		}
		if !contended {
			must.Eq(t, 12, admitted)
			continue
		}
		// A prompt takes 100 ms, two fit into a burst, and 150 ms are left after the load.
		must.Between(t, 2, admitted, 4)
		last := cold("a")
		last.LastResort = true
		_, err := c.Admit(last)
		must.NoError(t, err, must.Sprint("no other runner takes it"))
	}
}

// The same with another adapter for each request.
func TestRequestsForLoadingAdaptersCountEachOther(t *testing.T) {
	now := time.Unix(1000, 0)
	c := newTestController(&now, 16, &fakeEngine{})
	c.Contended = func() bool { return true }
	admitted := 0
	for i := range 12 {
		if _, err := c.Admit(cold(fmt.Sprint("a", i))); err == nil {
			admitted++
		}
	}
	must.Between(t, 2, admitted, 5)
}

// A request that took its turn, or whose caller left, must not be counted for ever.
func TestIncomingPromptsAreForgotten(t *testing.T) {
	now := time.Unix(1000, 0)
	var incoming incomingPrompts
	due := now.Add(300 * time.Millisecond)
	incoming.add(due, 100, now)
	incoming.add(due, 200, now)
	incoming.add(due.Add(time.Second), 400, now)
	perToken := func(tokens int) time.Duration { return time.Duration(tokens) * time.Millisecond }
	must.Eq(t, due.Add(300*time.Millisecond), incoming.processedAt(due, now, now, perToken))
	must.Eq(t, now, incoming.processedAt(due.Add(-1), now, now, perToken))
	incoming.remove(200)
	incoming.remove(300)
	must.Eq(t, due.Add(100*time.Millisecond), incoming.processedAt(due, now, due, perToken))
	must.Eq(t, now, incoming.processedAt(due, now, due.Add(incomingGrace+1), perToken))
	must.Eq(t, due.Add(1400*time.Millisecond), incoming.processedAt(due.Add(time.Hour), now, due, perToken))
	for range 2 * maxIncoming {
		incoming.add(due.Add(time.Hour), 1, due.Add(time.Second))
	}
	must.LessEq(t, maxIncoming, len(incoming))
}
