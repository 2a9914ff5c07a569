package adapters

import (
	"testing"
	"time"

	"github.com/cherrystage/cherrystage/internal/board"
	"github.com/cherrystage/cherrystage/internal/precedence"
	"github.com/cherrystage/cherrystage/internal/site"
	"github.com/shoenig/test/must"
)

// rankedRequest is a request of a workspace.
func rankedRequest(i, workspace int, budget time.Duration) AdmissionRequest {
	ask := testRequest(i, budget)
	ask.Ranked, ask.Precedence = true, site.Precedence{Workspace: workspace}
	return ask
}

// Guards against loads of low precedence that take the turns at a saturated store.
func TestLoadsAtSaturatedStoreGoByPrecedence(t *testing.T) {
	now := epoch
	c := newTestController(&now, 1000, &fakeEngine{})
	for i, workspace := range []int{7, 2, 5} {
		_, err := c.Admit(rankedRequest(i, workspace, 5*time.Second+time.Duration(i)*time.Millisecond))
		must.NoError(t, err)
	}
	must.Eq(t, testKey(0), c.nextPending().key, must.Sprint("by due time, the store has capacity"))
	c.StoreLoad = saturatedStore
	for _, next := range []int{1, 2, 0} {
		load := c.nextPending()
		must.Eq(t, testKey(next), load.key)
		c.dropPending(load.key)
	}
	// The highest request that waits for a load counts.
	for _, workspace := range []int{7, 2} {
		_, err := c.Admit(rankedRequest(3, workspace, 5*time.Second))
		must.NoError(t, err)
	}
	_, err := c.Admit(rankedRequest(4, 5, 5*time.Second))
	must.NoError(t, err)
	must.Eq(t, testKey(3), c.nextPending().key)
}

// For ten seconds, the loads requested are twice what the store can do. Guards against a
// high precedence that gains nothing, and against a low one that is starved.
func TestContendedStore(t *testing.T) {
	const (
		every      = 125 * time.Millisecond
		each       = 250 * time.Millisecond
		budget     = 700 * time.Millisecond
		workspaces = 4
	)
	play := func(ranked bool) (inTime, asked [workspaces]int) {
		now := epoch
		c := newTestController(&now, 1000, &fakeEngine{})
		c.StoreLoad = saturatedStore
		c.Times = NewLoadTimes()
		owner, asks := map[Key]int{}, map[Key]AdmissionRequest{}
		due := map[Key]time.Time{}
		next, free := 0, epoch
		for ; now.Before(epoch.Add(20 * time.Second)); now = now.Add(5 * time.Millisecond) {
			if now.Sub(epoch) >= time.Duration(next)*every {
				workspace := next * 7 / 3 % workspaces
				ask := rankedRequest(next, workspace, budget)
				ask.Ranked, ask.LastResort = ranked, true
				ask.PromptTokens = 1
				owner[ask.Key], due[ask.Key] = workspace, now.Add(budget)
				asked[workspace]++
				_, _ = c.Admit(ask)
				// Each request asks two runners as a last resort, so a runner gets twice as
				// many such asks as it can serve requests in its share of the load.
				c.noteAsk(ask, now)
				asks[ask.Key] = ask
				next++
			}
			if now.Before(free) || len(c.pending) == 0 {
				continue
			}
			load := c.nextPending()
			served := precedence.KindOf(asks[load.key].Precedence, asks[load.key].PromptTokens)
			c.turns.Shares.Served(served, true, 0, now)
			c.dropPending(load.key)
			c.slots.LoadAccepted(load.key, now.Add(each), now)
			free = now.Add(each)
			if !free.After(due[load.key]) {
				inTime[owner[load.key]]++
			}
		}
		return inTime, asked
	}
	before, asked := play(false)
	after, _ := play(true)
	t.Logf("in time by workspace: unranked %v, ranked %v, of %v", before, after, asked)
	must.GreaterEq(t, asked[0]*3/4, after[0])
	must.Greater(t, before[0], after[0])
	for workspace, loads := range after {
		// The store serves half of the requests.
		must.GreaterEq(t, asked[workspace]/2/4, loads)
	}
}

// All adapter slots are promised to queued loads. Guards against a refusal of higher
// precedence for want of a slot, and against loads that are displaced by equals.
func TestLoadOfHigherPrecedenceDisplacesQueuedOne(t *testing.T) {
	now := epoch
	c := newTestController(&now, 2, &fakeEngine{})
	for i, workspace := range []int{5, 3} {
		_, err := c.Admit(rankedRequest(i, workspace, 5*time.Second))
		must.NoError(t, err)
	}
	_, err := c.Admit(rankedRequest(2, 5, 5*time.Second))
	must.ErrorIs(t, err, ErrNoFreeSlot)
	_, err = c.Admit(rankedRequest(3, 0, 5*time.Second))
	must.NoError(t, err)
	must.Len(t, 2, c.pending)
	must.Nil(t, c.findPending(testKey(0)))
	must.Eq(t, 1, c.Contention.DisplacedLoads.Load())
	displaced := rankedRequest(0, 5, 5*time.Second)
	displaced.Waited = true
	_, err = c.Admit(displaced)
	must.ErrorIs(t, err, ErrNoFreeSlot, must.Sprint("its request is refused, so that its host can try another runner"))

	// Loads that were ordered stay.
	must.Eq(t, 0, c.Step(t.Context()))
	must.Eq(t, 0, c.Step(t.Context()))
	_, err = c.Admit(rankedRequest(4, -1, 5*time.Second))
	must.ErrorIs(t, err, ErrNoFreeSlot)
}

// Guards against requests of the lowest precedence that take the last request slots.
func TestLastRequestSlotsAreKeptForHigherPrecedence(t *testing.T) {
	now := epoch
	c := newTestController(&now, 8, &fakeEngine{})
	load := 0
	c.RunnerView = func(string, time.Time) board.View { return board.View{Load: load} }
	without := func(ask AdmissionRequest) AdmissionRequest {
		ask.Key.Name = ""
		return ask
	}
	low, high := without(rankedRequest(1, 9, time.Second)), without(rankedRequest(1, 0, time.Second))
	load = 56
	_, err := c.Admit(low)
	must.NoError(t, err, must.Sprint("nobody else asks"))
	_, err = c.Admit(high)
	must.NoError(t, err)
	_, err = c.Admit(low)
	must.ErrorIs(t, err, ErrBusy)
	must.Eq(t, 1, c.Contention.ReservedSlots.Load())
	load = 55
	_, err = c.Admit(low)
	must.NoError(t, err)
	load = 56
	now = now.Add(2 * time.Second)
	_, err = c.Admit(low)
	must.NoError(t, err, must.Sprint("the others have gone"))
	// As a last resort, some are admitted.
	refused := 0
	for range 36 {
		_, err = c.Admit(high)
		must.NoError(t, err)
		ask := low
		ask.LastResort = true
		if _, err = c.Admit(ask); err != nil {
			refused++
		}
		now = now.Add(time.Second / 2)
	}
	must.Between(t, 30, refused, 33)
}

// An adapter whose requests are deferred must not be evicted: it would be loaded again.
func TestAdapterOfDeferredRequestStays(t *testing.T) {
	now := epoch
	c := newTestController(&now, 1, &fakeEngine{})
	c.slots.ApplyReport(0, []Held{{Key: testKey(1)}}, 0, now, now)
	now = now.Add(time.Second)
	c.pacer.Admit(10_000, now)
	ask := rankedRequest(1, 0, 2*time.Second)
	admitted, err := c.Admit(ask)
	must.NoError(t, err)
	must.True(t, admitted.AskAgain)
	must.Positive(t, admitted.Ticket)
	_, evictable := c.slots.Victim(admitted.At.Add(10 * time.Millisecond))
	must.False(t, evictable)
	_, evictable = c.slots.Victim(admitted.At.Add(time.Second))
	must.True(t, evictable)
	// A load that is told of the slot before then would wait longer than its request was told.
	free, ok := c.slots.SlotsFreeAt(1, now)
	must.True(t, ok)
	must.Eq(t, admitted.At.Add(deferredGrace), free)
}

// Guards against refusals that tell callers nothing of the wait, and against a change where
// requests are not ordered by priority.
func TestRefusalsCarryTheWaitOnlyWithPriorityOrder(t *testing.T) {
	for _, ranked := range []bool{false, true} {
		now := epoch
		c := newTestController(&now, 1000, &fakeEngine{})
		c.pacer.Admit(30_000, now)
		ask := rankedRequest(1, 3, time.Second)
		ask.Ranked = ranked
		_, err := c.Admit(ask)
		must.ErrorIs(t, err, ErrPromptBacklog)
		must.Eq(t, ranked, WaitOf(err) > time.Second)

		c = newTestController(&now, 1000, &fakeEngine{})
		c.StoreLoad = saturatedStore
		for i := range 2 {
			ask = rankedRequest(i, 3, initialFetchTime+100*time.Millisecond)
			ask.Ranked = ranked
			_, err = c.Admit(ask)
		}
		must.ErrorIs(t, err, ErrLoadTooSlow)
		must.Eq(t, ranked, WaitOf(err) > 0)
		must.Eq(t, ErrLoadTooSlow.Error(), err.Error())
	}
}

// Guards against a refused request that others go on waiting for.
func TestRefusedRequestLeavesTheLine(t *testing.T) {
	now := epoch
	c := newTestController(&now, 4, &fakeEngine{})
	load := 0
	c.RunnerView = func(string, time.Time) board.View { return board.View{Load: load} }
	c.pacer.Admit(10_000, now)
	ask := rankedRequest(1, 0, 2*time.Second)
	ask.Key.Name = ""
	deferred, err := c.Admit(ask)
	must.NoError(t, err)
	must.Positive(t, deferred.Ticket)
	now = deferred.At
	load = 1000
	ask.Waited, ask.Ticket = true, deferred.Ticket
	_, err = c.Admit(ask)
	must.ErrorIs(t, err, ErrBusy)
	must.Eq(t, 0, c.turns.Deferred(now))
	must.Eq(t, 1, c.Contention.DeferralsRefused.Load())
}

// A runner slows down while requests are deferred, so that their prompts take longer. Guards against
// a wait worked out with the previous pace, after which a request is told to wait and refused later.
func TestDeferredRequestsCostWhatTheCurrentPaceSays(t *testing.T) {
	r := newWorkRunner()
	r.c.pacer.Admit(12_000, r.now)
	before := rankedRequest(1, 0, 2*time.Second)
	before.Key.Name, before.PromptTokens = "", 3000
	deferred, err := r.c.Admit(before)
	must.NoError(t, err)
	must.Positive(t, deferred.Ticket)
	r.percent = 350
	behind := rankedRequest(1, 5, 2*time.Second)
	behind.Key.Name, behind.LastResort, behind.MaxWait = "", true, time.Minute
	behind.LatencyBudget = 3 * time.Second
	_, err = r.c.Admit(behind)
	must.NoError(t, err)
	now := r.now
	wait, _ := r.c.turns.TooLate(r.c.turnOf(behind), r.c.prefillState(now), now)
	must.GreaterEq(t, r.c.pacer.Wait(800, now)+r.c.pacer.cost(3000), wait)
}

// The runner rejects the order of a load, which is queued again. Guards against a load that keeps
// its slot from higher precedence as if it had been ordered.
func TestLoadWhoseOrderWasRejectedCanBeDisplaced(t *testing.T) {
	now := epoch
	c := newTestController(&now, 1, &fakeEngine{answers: []Outcome{OutcomeRejected}})
	_, err := c.Admit(rankedRequest(0, 5, 5*time.Second))
	must.NoError(t, err)
	c.Step(t.Context())
	must.SliceLen(t, 1, c.pending)
	_, err = c.Admit(rankedRequest(1, 0, 5*time.Second))
	must.NoError(t, err)
	must.Eq(t, 1, c.Contention.DisplacedLoads.Load())
}
