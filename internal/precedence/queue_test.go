package precedence

import (
	"testing"
	"time"

	"github.com/cherrystage/cherrystage/internal/site"
	"github.com/shoenig/test/must"
)

var epoch = time.Unix(1000, 0)

const (
	shortCost = 41 * time.Millisecond
	longCost  = 118 * time.Millisecond
	burst     = 175 * time.Millisecond
)

// prompt returns a prompt of a workspace that has slack left.
func prompt(seq uint64, workspace int, cost, slack time.Duration) *Prompt {
	return &Prompt{Seq: seq, Precedence: site.Precedence{Workspace: workspace}, Cost: cost, Due: epoch.Add(slack), End: epoch.Add(slack + 2*time.Second)}
}

func sequence(prompts []*Prompt) []uint64 {
	var order []uint64
	for _, p := range prompts {
		order = append(order, p.Seq)
	}
	return order
}

// Guards against prompts with much time that go ahead of those with little.
func TestLeastTimeGoesFirstWhereAllCanBeInTime(t *testing.T) {
	order := Order([]*Prompt{prompt(1, 0, longCost, 1800*time.Millisecond), prompt(2, 9, shortCost, 400*time.Millisecond), prompt(3, 5, shortCost, 900*time.Millisecond)}, Prefill{Burst: burst}, epoch)
	must.Eq(t, []uint64{2, 3, 1}, sequence(order))
}

// Guards against an overload in which each request is a little late, whatever its
// precedence.
func TestLowestPrecedenceIsPutOffWhereNotAllCanBeInTime(t *testing.T) {
	prefill := Prefill{Backlog: 200 * time.Millisecond, Burst: burst}
	var prompts []*Prompt
	for i := range 8 {
		prompts = append(prompts, prompt(uint64(i+1), i, shortCost, 300*time.Millisecond+time.Duration(7-i)*time.Millisecond))
	}
	order := sequence(Order(prompts, prefill, epoch))
	must.Eq(t, []uint64{3, 2, 1}, order[:3], must.Sprint(order))
	must.Eq(t, []uint64{4, 5, 6, 7, 8}, order[3:], must.Sprint("those put off, by precedence"))
}

// Guards against long prompts that are put off for good because short ones keep coming.
func TestRequestInDangerPrecedesLowerOnes(t *testing.T) {
	prefill := Prefill{Backlog: burst, Burst: burst}
	long, short := prompt(1, 0, longCost, 200*time.Millisecond), prompt(2, 9, shortCost, 190*time.Millisecond)
	must.Eq(t, []uint64{1, 2}, sequence(Order([]*Prompt{short, long}, prefill, epoch)))
	short.Precedence.Workspace = 0
	must.Eq(t, []uint64{2, 1}, sequence(Order([]*Prompt{short, long}, prefill, epoch)))
}

func TestOverdueAndProtectedGoFirst(t *testing.T) {
	overdue := prompt(1, 9, longCost, -time.Second)
	overdue.Overdue = true
	protected := prompt(2, 9, shortCost, 50*time.Millisecond)
	protected.Protected = true
	order := Order([]*Prompt{prompt(3, 0, shortCost, 60*time.Millisecond), prompt(4, 0, shortCost, -time.Millisecond), protected, overdue}, Prefill{Burst: burst}, epoch)
	must.Eq(t, []uint64{1, 2, 3, 4}, sequence(order))
}

func liveAsk(workspace int) Ask {
	return Ask{Ranked: true, Precedence: site.Precedence{Workspace: workspace}, Size: 826, Cost: shortCost, Slack: 400 * time.Millisecond, Left: 2 * time.Second, WaitLimit: 300 * time.Millisecond}
}

func TestRequestBeginsAtOnceWhereLittleIsBeforeIt(t *testing.T) {
	queue := NewQueue(0)
	must.Eq(t, Begin, queue.Turn(liveAsk(0), Prefill{Backlog: 130 * time.Millisecond, Burst: burst}, epoch).Verdict)
	turn := queue.Turn(liveAsk(0), Prefill{Backlog: 300 * time.Millisecond, Burst: burst}, epoch)
	must.Eq(t, Defer, turn.Verdict)
	must.Positive(t, turn.Ticket)
	must.Between(t, 10*time.Millisecond, turn.Pause, 170*time.Millisecond)
}

// Guards against requests that are told to ask again without end.
func TestAsksAreBounded(t *testing.T) {
	for _, slack := range []time.Duration{-time.Second, 0, 400 * time.Millisecond, 1800 * time.Millisecond} {
		queue := NewQueue(0)
		now, ask := epoch, liveAsk(5)
		ask.Slack = slack
		asks := 0
		for {
			// However often it asks, others have taken their turns.
			turn := queue.Turn(ask, Prefill{Backlog: 400 * time.Millisecond, Burst: burst}, now)
			asks++
			if turn.Verdict != Defer {
				must.Eq(t, Begin, turn.Verdict)
				break
			}
			ask.Ticket, ask.Waited = turn.Ticket, true
			now = now.Add(turn.Pause)
			ask.Slack, ask.Left = ask.Slack-turn.Pause, ask.Left-turn.Pause
		}
		must.LessEq(t, maxAsks+1, asks)
		must.Less(t, 2*time.Second, now.Sub(epoch), must.Sprint("it can still be served"))
		must.Eq(t, 0, queue.Deferred(now))
	}
}

// Guards against a runner that idles until a request asks that was told to ask later.
func TestRequestThatAsksLaterBlocksNoOther(t *testing.T) {
	queue := NewQueue(0)
	first := queue.Turn(liveAsk(0), Prefill{Backlog: time.Second, Burst: burst}, epoch)
	must.Eq(t, Defer, first.Verdict)
	must.Greater(t, 100*time.Millisecond, first.Pause)
	must.Eq(t, Begin, queue.Turn(liveAsk(9), Prefill{Burst: burst}, epoch).Verdict)
}

// Guards against a queue that keeps the places of requests whose hosts have gone.
func TestRequestsThatDoNotAskAgainAreForgotten(t *testing.T) {
	queue := NewQueue(0)
	prefill := Prefill{Backlog: 200 * time.Millisecond, Burst: burst}
	var last Decision
	for range 5 {
		last = queue.Turn(liveAsk(0), prefill, epoch)
		must.Eq(t, Defer, last.Verdict)
	}
	now := epoch.Add(last.Pause + askGrace + time.Millisecond)
	must.Eq(t, Begin, queue.Turn(liveAsk(9), Prefill{Burst: burst}, now).Verdict)
	must.Eq(t, 0, queue.Deferred(epoch.Add(5*time.Second)))
}

// Guards against requests of low precedence that wait on a runner for half of their time
// and are refused then.
func TestExpectedHigherWorkCounts(t *testing.T) {
	queue := NewQueue(0)
	for i := range 100 {
		queue.Shares.Served(Kind{}, false, shortCost, epoch.Add(time.Duration(i)*60*time.Millisecond))
	}
	now := epoch.Add(6 * time.Second)
	prefill := Prefill{Backlog: 300 * time.Millisecond, Burst: burst}
	wait, tooLate := queue.TooLate(liveAsk(0), prefill, now)
	must.False(t, tooLate)
	low, tooLate := queue.TooLate(liveAsk(9), prefill, now)
	must.True(t, tooLate)
	must.Greater(t, wait, low)
}

// Guards against starvation: where two thirds of the requests are served, of those that no
// runner takes in time a third of that share is.
func TestShareOfStarvedPrecedence(t *testing.T) {
	var shares Shares
	low, high := KindOf(site.Precedence{Workspace: 9}, 826), Kind{}
	const refused = 300
	served := 0
	for i := range refused * lastResortAsks {
		now := epoch.Add(time.Duration(i) * 100 * time.Millisecond)
		shares.Served(high, false, shortCost, now)
		shares.Asked(low, true, now)
		if shares.Protected(low) {
			shares.Served(low, true, shortCost, now)
			served++
		}
	}
	must.Between(t, refused*2/3/4, served, refused*2/3/2)
}

func TestReserveIsForAllButTheLowest(t *testing.T) {
	var shares Shares
	high, low := Kind{}, KindOf(site.Precedence{Workspace: 9}, 826)
	must.False(t, shares.Reserved(low, epoch))
	shares.Asked(low, false, epoch)
	must.False(t, shares.Reserved(low, epoch), must.Sprint("only one precedence asks"))
	shares.Asked(high, false, epoch)
	must.True(t, shares.Reserved(low, epoch))
	must.False(t, shares.Reserved(high, epoch))
	must.False(t, shares.Reserved(low, epoch.Add(2*recentAsk)))
}

// A host of the previous version sends no rank.
func TestUnrankedCountsAsLowestSeen(t *testing.T) {
	queue := NewQueue(0)
	must.False(t, queue.Active(epoch))
	queue.Asked(Ask{}, epoch)
	must.False(t, queue.Active(epoch), must.Sprint("no ranked request asked"))
	queue.Asked(liveAsk(3), epoch)
	queue.Asked(liveAsk(7), epoch)
	must.True(t, queue.Active(epoch))
	must.False(t, queue.Active(epoch.Add(activeFor)))
	must.Eq(t, site.Precedence{Workspace: 7}, queue.PrecedenceOf(false, site.Precedence{}, epoch))
	ask := liveAsk(0)
	ask.Ranked = false
	prefill := Prefill{Backlog: 300 * time.Millisecond, Burst: burst}
	now, asks := epoch, 1
	for turn := queue.Turn(ask, prefill, now); turn.Verdict == Defer; turn = queue.Turn(ask, prefill, now) {
		must.Eq(t, 1, queue.Deferred(now))
		now, asks = now.Add(turn.Pause), asks+1
		ask.Waited, ask.Slack, ask.Left = true, ask.Slack-turn.Pause, ask.Left-turn.Pause
	}
	must.LessEq(t, maxAsks+1, asks)
	must.Eq(t, 0, queue.Deferred(now))
}

// A ticket of a lost owner must not stand for another request.
func TestTicketsOfOtherOwnersAreUnknown(t *testing.T) {
	queue := NewQueue(uint64(epoch.UnixNano()))
	ask := liveAsk(0)
	ask.Ticket, ask.Waited = 1, true
	turn := queue.Turn(ask, Prefill{Backlog: 300 * time.Millisecond, Burst: burst}, epoch)
	must.Eq(t, Defer, turn.Verdict)
	must.Greater(t, uint64(1), turn.Ticket)
}

// Guards against state that grows with the requests that ask.
func TestDeferredRequestsAreBounded(t *testing.T) {
	queue := NewQueue(0)
	prefill := Prefill{Backlog: 300 * time.Millisecond, Burst: burst}
	for i := range 2 * maxDeferred {
		ask := liveAsk(i % 16)
		ask.Left = time.Minute
		queue.Turn(ask, prefill, epoch)
	}
	must.Eq(t, maxDeferred, queue.Deferred(epoch))
	last := liveAsk(16)
	last.Left, last.Slack = time.Minute, 10*time.Millisecond
	must.Eq(t, Refuse, queue.Turn(last, prefill, epoch).Verdict)
	must.Eq(t, Begin, queue.Turn(liveAsk(-1), prefill, epoch).Verdict)
	for i := range 2 * maxLevels {
		queue.Shares.Asked(KindOf(site.Precedence{Workspace: i}, 826), false, epoch.Add(time.Duration(i)))
	}
	must.Eq(t, maxLevels, len(queue.Shares.levels))
}
