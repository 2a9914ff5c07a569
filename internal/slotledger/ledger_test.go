package slotledger

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cherrystage/cherrystage/internal/site"
	"github.com/shoenig/test/must"
)

var start = time.Unix(1000, 0)

// requestFor returns a request of host "h" for the given runners with one slot each.
func requestFor(number uint64, precedence int, runners ...string) Request {
	request := Request{
		ID: ID{Holder: Holder{Host: "h", Incarnation: "1"}, Number: number}, Precedence: site.Precedence{Workspace: precedence},
		Due: start.Add(300 * time.Millisecond), MaxWait: 2 * time.Second, Lifetime: 4 * time.Second,
	}
	for _, id := range runners {
		request.Runners = append(request.Runners, Runner{ID: id, Slots: 1})
	}
	return request
}

func numbers(decisions []Decision, outcome Outcome) []uint64 {
	var found []uint64
	for _, decision := range decisions {
		if decision.Outcome == outcome {
			found = append(found, decision.ID.Number)
		}
	}
	return found
}

func mustAcquire(t *testing.T, l *Ledger, request Request, now time.Time, want Outcome) Decision {
	t.Helper()
	decision, _ := l.Acquire(request, now)
	must.Eq(t, want, decision.Outcome)
	return decision
}

// Guards against requests that pile up on one runner while another has more free slots.
func TestSlotIsOnTheRunnerWithTheMostFreeSlots(t *testing.T) {
	l := New()
	request := requestFor(1, 0)
	request.Runners = []Runner{{ID: "a", Slots: 2}, {ID: "b", Slots: 3}}
	var chosen []string
	for number := range uint64(5) {
		request.ID.Number = number
		chosen = append(chosen, mustAcquire(t, l, request, start, Granted).Runner)
	}
	must.Eq(t, []string{"b", "a", "b", "a", "b"}, chosen)
	request.ID.Number = 9
	mustAcquire(t, l, request, start, Queued)
}

// Guards against a slot that goes to a request of lower precedence, or to one that is due later,
// while another waits for it.
func TestQueueIsOrderedByPrecedenceThenDueTime(t *testing.T) {
	l := New()
	mustAcquire(t, l, requestFor(1, 0, "a"), start, Granted)
	late, soon, first := requestFor(2, 5, "a"), requestFor(3, 5, "a"), requestFor(4, 3, "a")
	late.Due = start.Add(900 * time.Millisecond)
	for _, request := range []Request{late, soon, first} {
		mustAcquire(t, l, request, start, Queued)
	}
	last := uint64(1)
	for _, want := range []uint64{4, 3, 2} {
		must.Eq(t, []uint64{want}, numbers(l.Release([]Release{{ID: requestFor(last, 0).ID}}, start), Granted))
		last = want
	}
}

// Guards against requests that are all answered late because the one that waited longest always
// goes first: one that cannot be on time any more goes after those that can.
func TestOverdueRequestGoesLastOfItsPrecedence(t *testing.T) {
	l := New()
	mustAcquire(t, l, requestFor(1, 0, "a"), start, Granted)
	mustAcquire(t, l, requestFor(2, 5, "a"), start, Queued)
	mustAcquire(t, l, requestFor(3, 6, "a"), start, Queued)
	now := start.Add(280 * time.Millisecond)
	must.SliceEmpty(t, l.Advance(now))
	fresh := requestFor(4, 5, "a")
	fresh.Due = now.Add(300 * time.Millisecond)
	mustAcquire(t, l, fresh, now, Queued)
	must.Eq(t, []uint64{4}, numbers(l.Release([]Release{{ID: requestFor(1, 0).ID}}, now), Granted))
	must.Eq(t, []uint64{2}, numbers(l.Release([]Release{{ID: fresh.ID}}, now), Granted), must.Sprint("still before those of lower precedence"))
}

// Guards against a request that waits although it cannot begin in time, at its arrival or once
// others of higher precedence have arrived.
func TestHopelessRequestIsRefusedAtOnce(t *testing.T) {
	l := New()
	mustAcquire(t, l, requestFor(1, 0, "a"), start, Granted)
	hasty := requestFor(2, 0, "a")
	hasty.MaxWait = 10 * time.Millisecond
	must.GreaterEq(t, initialHold, mustAcquire(t, l, hasty, start, Refused).Wait)
	must.Eq(t, 0, l.Waiting())

	low := requestFor(3, 9, "a")
	low.MaxWait = 3 * initialHold
	mustAcquire(t, l, low, start, Queued)
	refused := false
	for number := range uint64(5) {
		_, others := l.Acquire(requestFor(10+number, 0, "a"), start)
		refused = refused || len(numbers(append(others, l.Advance(start)...), Refused)) == 1
	}
	must.True(t, refused)
	_, waits := l.waiting[low.ID]
	must.False(t, waits)
}

// Guards against a waiting request that is never answered: at the end of the time that it can
// wait it is refused.
func TestWaitEnds(t *testing.T) {
	l := New()
	mustAcquire(t, l, requestFor(1, 0, "a"), start, Granted)
	mustAcquire(t, l, requestFor(2, 0, "a"), start, Queued)
	for passed := time.Duration(0); passed < 2*time.Second-initialHold; passed += 10 * time.Millisecond {
		mustAcquire(t, l, requestFor(2, 0, "a"), start.Add(passed), Queued)
		must.SliceEmpty(t, l.Advance(start.Add(passed)))
	}
	must.Eq(t, []uint64{2}, numbers(l.Advance(start.Add(2*time.Second)), Refused))
}

// Guards against a request that loses its place or gets a second slot when its holder asks again,
// and against a repeated release that frees another's slot.
func TestRepeatedCallsHaveNoFurtherEffect(t *testing.T) {
	l := New()
	first := mustAcquire(t, l, requestFor(1, 0, "a"), start, Granted)
	must.Eq(t, first.Runner, mustAcquire(t, l, requestFor(1, 0, "a"), start, Granted).Runner)
	mustAcquire(t, l, requestFor(2, 0, "a"), start, Queued)
	mustAcquire(t, l, requestFor(3, 0, "a"), start, Queued)
	mustAcquire(t, l, requestFor(2, 0, "a"), start, Queued)
	must.Eq(t, 2, l.Waiting())
	release := []Release{{ID: requestFor(1, 0).ID}}
	must.Eq(t, []uint64{2}, numbers(l.Release(release, start), Granted))
	must.SliceEmpty(t, l.Release(release, start))
	must.Eq(t, 1, l.Status(start).Running)
}

// Guards against a slot that is granted to a request whose caller has gone.
func TestWithdrawnRequestGetsNoSlot(t *testing.T) {
	l := New()
	mustAcquire(t, l, requestFor(1, 0, "a"), start, Granted)
	mustAcquire(t, l, requestFor(2, 0, "a"), start, Queued)
	must.Eq(t, []uint64{2}, numbers(l.Release([]Release{{ID: requestFor(2, 0).ID}}, start), Withdrawn))
	must.SliceEmpty(t, l.Release([]Release{{ID: requestFor(1, 0).ID}}, start))
	must.Eq(t, 0, l.Status(start).Running)
}

// Guards against a slot that is counted as taken for ever when its release is lost.
func TestGrantsExpire(t *testing.T) {
	for lifetime, want := range map[time.Duration]time.Duration{0: minLifetime, time.Second: time.Second, time.Hour: maxLifetime} {
		l := New()
		request := requestFor(1, 0, "a")
		request.Lifetime = lifetime
		mustAcquire(t, l, request, start, Granted)
		l.Advance(start.Add(want - time.Millisecond))
		must.Eq(t, 1, l.Status(start).Running)
		l.Advance(start.Add(want))
		must.Eq(t, 0, l.Status(start).Running)
		must.Eq(t, 1, l.Status(start).Expired)
	}
}

// Guards against requests that are sent to a runner that has just refused one although the ledger
// shows free slots there.
func TestRefusingRunnerCountsAsFullForAWhile(t *testing.T) {
	l := New()
	request := requestFor(1, 0)
	request.Runners = []Runner{{ID: "a", Slots: 6}}
	mustAcquire(t, l, request, start, Granted)
	l.Release([]Release{{ID: request.ID, Refused: true}}, start)
	request.ID.Number = 2
	mustAcquire(t, l, request, start, Queued)
	must.SliceEmpty(t, l.Advance(start.Add(fullPeriod-time.Millisecond)))
	must.Eq(t, []uint64{2}, numbers(l.Advance(start.Add(fullPeriod)), Granted))
	must.Eq(t, 1, l.Status(start).RefusedByRunner)
	must.Eq(t, initialHold, l.Status(start).MeanHold, must.Sprint("a refusal tells nothing of how long requests run"))
}

// Guards against slots that stay taken by a host that has died, and waits of it that get slots.
func TestHoldersThatAreGoneLoseTheirSlots(t *testing.T) {
	l := New()
	gone, alive := requestFor(1, 0, "a"), requestFor(2, 0, "a")
	gone.ID.Host = "dead"
	mustAcquire(t, l, gone, start, Granted)
	gone.ID.Number = 3
	mustAcquire(t, l, gone, start, Queued)
	mustAcquire(t, l, alive, start, Queued)
	decisions := l.DropHolders(func(h Holder) bool { return h.Host == "dead" }, start)
	must.Eq(t, []uint64{3}, numbers(decisions, Withdrawn))
	must.Eq(t, []uint64{2}, numbers(decisions, Granted))
}

// Guards against waits of a host that died without a word: they end before the host's lease does.
func TestUnattendedWaitIsDropped(t *testing.T) {
	l := New()
	mustAcquire(t, l, requestFor(1, 0, "a"), start, Granted)
	mustAcquire(t, l, requestFor(2, 0, "a"), start, Queued)
	mustAcquire(t, l, requestFor(2, 0, "a"), start.Add(HoldLimit), Queued)
	must.SliceEmpty(t, l.Advance(start.Add(HoldLimit+attendance-time.Millisecond)))
	must.Eq(t, []uint64{2}, numbers(l.Advance(start.Add(HoldLimit+attendance)), Withdrawn))
}

// Guards against a precedence without any slot while others take all: its requests go first as
// long as it falls short of the least share.
func TestLeastShareOfALowPrecedence(t *testing.T) {
	l := New()
	granted, now := 0, start
	for number := uint64(1); number <= 400; number += 2 {
		now = now.Add(10 * time.Millisecond)
		l.Release([]Release{{ID: requestFor(number-2, 0).ID}, {ID: requestFor(number-1, 0).ID}}, now)
		mustAcquire(t, l, requestFor(number, 0, "a"), now, Granted)
		low := requestFor(number+1, 9, "a")
		mustAcquire(t, l, low, now, Queued)
		if l.queue[0].promoted {
			granted++
			l.Release([]Release{{ID: requestFor(number, 0).ID}}, now)
		}
		l.Release([]Release{{ID: low.ID}}, now)
	}
	must.Between(t, 20, granted, 60, must.Sprint("of 200"))
}

// Guards against an unbounded queue, and against a request of low precedence that keeps its place
// while one of higher precedence is refused for lack of places.
func TestFullQueueRefusesTheLast(t *testing.T) {
	l := New()
	ask := func(number uint64, precedence int) (Decision, []Decision) {
		request := requestFor(number, precedence)
		request.Runners = []Runner{{ID: "a", Slots: maxSlots}}
		return l.Acquire(request, start)
	}
	for number := range uint64(maxSlots + maxWaiters) {
		ask(number, 5)
	}
	must.Eq(t, maxWaiters, l.Waiting())
	own, _ := ask(100_000, 5)
	must.Eq(t, Refused, own.Outcome)
	own, others := ask(100_001, 1)
	must.Eq(t, Queued, own.Outcome)
	must.Len(t, 1, numbers(others, Refused))
	must.Eq(t, maxWaiters, l.Waiting())
}

// Guards against memory that grows with the names that hosts send.
func TestNamesAreBounded(t *testing.T) {
	l := New()
	for i := range 2 * maxRunners {
		request := requestFor(uint64(i), i, fmt.Sprint("r", i))
		l.Acquire(request, start)
		l.Release([]Release{{ID: request.ID}}, start)
	}
	must.LessEq(t, maxRunners, len(l.runners))
	must.LessEq(t, maxShares+1, len(l.shares.byPrecedence))
	l.Acquire(requestFor(1, 0, "a"), start.Add(runnerRetention))
	must.MapLen(t, 1, l.runners)
}

// ledgerModel checks a ledger's decisions against what callers rely on.
type ledgerModel struct {
	t       *testing.T
	ledger  *Ledger
	slots   map[string]int
	granted map[ID]string
	waiting map[ID]bool
}

func (m *ledgerModel) apply(decisions []Decision) {
	m.t.Helper()
	for _, decision := range decisions {
		if decision.Outcome == Queued {
			m.waiting[decision.ID] = true
			continue
		}
		if !m.waiting[decision.ID] {
			m.t.Fatalf("decision %v on a request that does not wait", decision)
		}
		delete(m.waiting, decision.ID)
		if decision.Outcome == Granted {
			m.granted[decision.ID] = decision.Runner
		}
	}
	m.check()
}

// check compares the ledger with the model. Grants may end without a decision, but never appear.
func (m *ledgerModel) check() {
	m.t.Helper()
	used := map[string]int{}
	for id, held := range m.ledger.grants {
		if m.granted[id] != held.runner.id {
			m.t.Fatalf("%v holds a slot of %s that was granted to nobody", id, held.runner.id)
		}
		used[held.runner.id]++
	}
	for id, r := range m.ledger.runners {
		if used[id] != r.granted {
			m.t.Fatalf("%s counts %d grants and has %d", id, r.granted, used[id])
		}
		if used[id] > m.slots[id] {
			m.t.Fatalf("%d grants on the %d slots of %s", used[id], m.slots[id], id)
		}
	}
	if len(m.waiting) != len(m.ledger.queue) || len(m.waiting) != len(m.ledger.waiting) {
		m.t.Fatalf("%d requests wait, %d are queued", len(m.waiting), len(m.ledger.queue))
	}
	for i, w := range m.ledger.queue {
		if !m.waiting[w.request.ID] || i > 0 && m.ledger.queue[i-1].compare(w) > 0 {
			m.t.Fatalf("place %d of the queue is wrong", i)
		}
	}
}

// acquire asks for a slot. If the request held a grant that has not expired it is the same one.
func (m *ledgerModel) acquire(request Request, now time.Time) {
	m.t.Helper()
	before := m.ledger.grants[request.ID]
	own, others := m.ledger.Acquire(request, now)
	if before != nil && m.ledger.grants[request.ID] == before {
		if own.Outcome != Granted || own.Runner != before.runner.id {
			m.t.Fatalf("%v for a request that holds a slot of %s", own, before.runner.id)
		}
	} else {
		m.waiting[request.ID] = true
		others = append(others, own)
	}
	m.apply(others)
}

// Never more grants than slots, no waiting request is forgotten, and nothing is kept for ever,
// whatever is asked and returned in whatever order.
func FuzzLedger(f *testing.F) {
	for seed := range uint64(20) {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, seed uint64) {
		rng := rand.New(rand.NewPCG(seed, 1))
		m := &ledgerModel{t: t, ledger: New(), slots: map[string]int{}, granted: map[ID]string{}, waiting: map[ID]bool{}}
		runners := 1 + rng.IntN(4)
		for r := range runners {
			m.slots[fmt.Sprint("r", r)] = rng.IntN(4)
		}
		now := start
		for number := range uint64(400) {
			now = now.Add(time.Duration(rng.Int64N(int64(20 * time.Millisecond))))
			some := ID{Holder: Holder{Host: fmt.Sprint("h", rng.IntN(3))}, Number: number - min(number, rng.Uint64N(40))}
			switch rng.IntN(10) {
			case 0:
				m.apply(m.ledger.Advance(now))
			case 1:
				m.apply(m.ledger.Release([]Release{{ID: some, Refused: true}}, now))
			case 2, 3, 4:
				m.apply(m.ledger.Release([]Release{{ID: some}, {ID: some}}, now))
			case 5:
				if rng.IntN(20) == 0 {
					m.apply(m.ledger.DropHolders(func(h Holder) bool { return h.Host == some.Host }, now))
				}
			default:
				request := Request{
					ID: some, Precedence: site.Precedence{Workspace: rng.IntN(3), Route: rng.IntN(2)}, Due: now.Add(time.Duration(rng.Int64N(int64(time.Second)))),
					MaxWait: time.Duration(rng.Int64N(int64(2 * time.Second))), Lifetime: time.Duration(rng.Int64N(int64(6 * time.Second))),
				}
				for _, r := range rng.Perm(runners)[:rng.IntN(runners+1)] {
					id := fmt.Sprint("r", r)
					request.Runners = append(request.Runners, Runner{ID: id, Slots: m.slots[id]})
				}
				m.acquire(request, now)
			}
		}
		m.apply(m.ledger.Advance(now.Add(time.Minute)))
		m.apply(m.ledger.Advance(now.Add(2 * time.Minute)))
		if len(m.ledger.grants) > 0 || len(m.ledger.queue) > 0 {
			t.Fatalf("%d grants and %d waiting requests are left", len(m.ledger.grants), len(m.ledger.queue))
		}
	})
}

// Guards against a runner that is granted more than it takes: it gets one more at a time beyond its
// slots while requests wait, and fewer after a refusal, for longer with each one.
func TestGrantsBeyondTheSlotsFollowTheRunner(t *testing.T) {
	l := New()
	queueing := func(number uint64) Request {
		request := requestFor(number, 0)
		request.Runners = []Runner{{ID: "a", Slots: 1, Queue: 2}}
		request.MaxWait, request.Due = time.Minute, start.Add(time.Minute)
		return request
	}
	mustAcquire(t, l, queueing(1), start, Granted)
	for number := uint64(2); number <= 4; number++ {
		mustAcquire(t, l, queueing(number), start, Queued)
	}
	attend := func(now time.Time) []uint64 {
		for number := uint64(2); number <= 4; number++ {
			if _, waits := l.waiting[queueing(number).ID]; waits {
				l.Acquire(queueing(number), now)
			}
		}
		return numbers(l.Advance(now), Granted)
	}
	must.SliceEmpty(t, attend(start))
	must.SliceEmpty(t, attend(start.Add(minGrowthInterval-1)))
	must.Eq(t, []uint64{2}, attend(start.Add(minGrowthInterval)))
	must.SliceEmpty(t, attend(start.Add(2*minGrowthInterval-1)))
	now := start.Add(2 * minGrowthInterval)
	must.Eq(t, []uint64{3}, attend(now))
	must.SliceEmpty(t, numbers(l.Release([]Release{{ID: queueing(3).ID, Refused: true}}, now), Granted))
	must.SliceEmpty(t, attend(now.Add(minGrowthInterval)))
	must.SliceEmpty(t, attend(now.Add(2*minGrowthInterval-1)))
	must.Eq(t, []uint64{4}, attend(now.Add(2*minGrowthInterval)))
}

// Guards against a status that hides from operators how long requests wait and which runners refuse.
func TestStatusShowsTheLongestWaitAndFullRunners(t *testing.T) {
	l := New()
	mustAcquire(t, l, requestFor(1, 0, "a"), start, Granted)
	mustAcquire(t, l, requestFor(2, 0, "b"), start, Granted)
	mustAcquire(t, l, requestFor(3, 0, "a"), start, Queued)
	mustAcquire(t, l, requestFor(4, 0, "a"), start.Add(20*time.Millisecond), Queued)
	now := start.Add(30 * time.Millisecond)
	l.Release([]Release{{ID: requestFor(2, 0).ID, Refused: true}}, now)
	status := l.Status(now)
	must.Eq(t, 2, status.Slots)
	must.Eq(t, 1, status.Running)
	must.Eq(t, 2, status.Waiting)
	must.Eq(t, 30*time.Millisecond, status.LongestWait)
	must.Eq(t, []string{"b"}, status.Full)
	must.SliceEmpty(t, l.Status(now.Add(fullPeriod)).Full)
}

// A runner refuses a request beyond its slots, and another of its requests ends before the refusal is
// known. The runner is not closed for a while, it is granted fewer beyond its slots.
func TestLateRefusalBeyondTheSlotsDoesNotCloseTheRunner(t *testing.T) {
	l := New()
	queueing := func(number uint64) Request {
		request := requestFor(number, 0)
		request.Runners = []Runner{{ID: "a", Slots: 2, Queue: 1}}
		return request
	}
	mustAcquire(t, l, queueing(1), start, Granted)
	mustAcquire(t, l, queueing(2), start, Granted)
	mustAcquire(t, l, queueing(3), start, Queued)
	must.SliceEmpty(t, l.Advance(start))
	now := start.Add(minGrowthInterval)
	must.Eq(t, []uint64{3}, numbers(l.Advance(now), Granted))
	l.Release([]Release{{ID: queueing(1).ID}, {ID: queueing(3).ID, Refused: true}}, now)
	must.SliceEmpty(t, l.Status(now).Full)
	mustAcquire(t, l, queueing(4), now, Granted)
	mustAcquire(t, l, queueing(5), now, Queued)
	must.SliceEmpty(t, numbers(l.Advance(now.Add(2*minGrowthInterval-1)), Granted))
}
