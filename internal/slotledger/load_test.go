package slotledger

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cherrystage/cherrystage/internal/board"
	"github.com/cherrystage/cherrystage/internal/placing"
	"github.com/cherrystage/cherrystage/internal/retrybudget"
	"github.com/cherrystage/cherrystage/internal/site"
	"github.com/shoenig/test/must"
)

// plainLoad is the load of plain requests on one deployment.
type plainLoad struct {
	name                  string
	work, target, limit   time.Duration
	hosts, runners, slots int
	// queue is how many requests wait at a runner before it refuses, ledgerQueue how many of these the
	// ledger grants.
	queue, ledgerQueue        int
	linkDelay, localLinkDelay time.Duration
}

var (
	contentionLoad = plainLoad{name: "60 ms", work: 60 * time.Millisecond, target: 300 * time.Millisecond, limit: 4 * time.Second, hosts: 60, runners: 4, slots: 6, linkDelay: 700 * time.Microsecond, localLinkDelay: 100 * time.Microsecond}
	queueingLoad   = plainLoad{name: "60 ms, queue", work: 60 * time.Millisecond, target: 300 * time.Millisecond, limit: 4 * time.Second, hosts: 60, runners: 4, slots: 6, queue: 24, ledgerQueue: 2, linkDelay: 700 * time.Microsecond, localLinkDelay: 100 * time.Microsecond}
	unevenLoad     = plainLoad{name: "30 ms", work: 30 * time.Millisecond, target: 150 * time.Millisecond, limit: 1500 * time.Millisecond, hosts: 60, runners: 4, slots: 6, linkDelay: 250 * time.Microsecond, localLinkDelay: 100 * time.Microsecond}
)

const (
	precedences = 4
	// By heartbeats every heartbeatInterval, a host exchanges what it has in flight with some
	// others, and those with it.
	heartbeatInterval = 450 * time.Millisecond
	witnesses         = 5
	releaseDelay      = 15 * time.Millisecond
	attemptsPerCaller = 4
	loadLength        = 8 * time.Second
)

func (p plainLoad) capacity() float64 {
	return float64(p.runners*p.slots) / p.work.Seconds()
}

type event struct {
	at  time.Duration
	seq int
	do  func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// tally counts what the callers of one precedence got.
type tally struct{ asked, onTime, late, refused int }

func (t tally) onTimeShare() float64 { return float64(t.onTime) / float64(t.asked) }
func (t tally) servedShare() float64 { return float64(t.onTime+t.late) / float64(t.asked) }

type simHost struct {
	index   int
	peers   []*simHost
	board   *board.Board
	budget  *retrybudget.Budget
	pending []Release
	flush   bool
	number  uint64
}

type simCall struct {
	host       *simHost
	arrived    time.Duration
	precedence int
	sends      int
	tried      map[int]bool
	id         ID
	scarce     bool
	// decided is set once the ledger granted a slot to the call or refused it.
	decided bool
	// slot is set while the call holds a grant.
	slot bool
}

// sim plays the requests of many hosts in virtual time, as plain function calls.
type sim struct {
	plainLoad
	rng    *rand.Rand
	now    time.Duration
	events eventQueue
	seq    int
	hosts  []*simHost
	// running is the number of requests on each runner.
	running []int
	// queued holds the requests that wait at each runner.
	queued [][]func()
	// ledger is nil if hosts choose by what heartbeats say.
	ledger *Ledger
	calls  map[ID]*simCall

	// peers is the number of hosts to which each host sends heartbeats.
	peers int

	tallies         [precedences]tally
	sends, refusals int
	messages        int
	maxWaiting      int
}

func newSim(load plainLoad, shared bool, seed uint64) *sim {
	s := &sim{plainLoad: load, rng: rand.New(rand.NewPCG(seed, 1)), running: make([]int, load.runners), queued: make([][]func(), load.runners), peers: witnesses, calls: map[ID]*simCall{}}
	if shared {
		s.ledger = New()
	}
	for i := range load.hosts {
		limit := retrybudget.Limit{Ratio: 0.2, Slack: 50, Window: 10 * time.Second}
		s.hosts = append(s.hosts, &simHost{index: i, board: board.New(), budget: retrybudget.New(limit, s.clock(-time.Minute))})
	}
	return s
}

func (s *sim) clock(at time.Duration) time.Time { return time.Unix(1000, 0).Add(at) }
func (s *sim) time() time.Time                  { return s.clock(s.now) }

func (s *sim) after(delay time.Duration, do func()) {
	s.seq++
	heap.Push(&s.events, event{at: s.now + delay, seq: s.seq, do: do})
}

func runnerName(i int) string { return fmt.Sprintf("r%d", i) }

// delayTo returns the one-way delay between a host and a numbered place; a quarter of the hosts
// share its data centre.
func (s *sim) delayTo(host *simHost, place int) time.Duration {
	if host.index%4 == place%4 {
		return s.localLinkDelay
	}
	return s.linkDelay
}

// play plays a demand in requests per second until loadLength.
func (s *sim) play(demand float64) {
	for _, host := range s.hosts {
		for _, i := range s.rng.Perm(len(s.hosts))[:s.peers] {
			host.peers = append(host.peers, s.hosts[i])
		}
		s.after(time.Duration(s.rng.Int64N(int64(heartbeatInterval))), func() { s.heartbeat(host) })
	}
	s.after(0, func() { s.arrive(demand) })
	if s.ledger != nil {
		s.after(10*time.Millisecond, s.advance)
	}
	for len(s.events) > 0 {
		next := heap.Pop(&s.events).(event)
		s.now = next.at
		next.do()
	}
}

func (s *sim) advance() {
	s.maxWaiting = max(s.maxWaiting, s.ledger.Waiting())
	s.deliver(s.ledger.Advance(s.time()))
	if s.now < loadLength+s.limit {
		s.after(10*time.Millisecond, s.advance)
	}
}

func (s *sim) arrive(demand float64) {
	if s.now >= loadLength {
		return
	}
	s.after(time.Duration(s.rng.ExpFloat64()/demand*float64(time.Second)), func() { s.arrive(demand) })
	call := &simCall{host: s.hosts[s.rng.IntN(len(s.hosts))], arrived: s.now, precedence: s.rng.IntN(precedences), tried: map[int]bool{}}
	s.tallies[call.precedence].asked++
	call.host.budget.RecordRequest(s.time(), len(s.hosts))
	s.place(call)
}

// heartbeat exchanges what one host has in flight with its peers.
func (s *sim) heartbeat(from *simHost) {
	for _, peer := range from.peers {
		s.tell(from, peer)
		s.tell(peer, from)
	}
	if s.now < loadLength {
		s.after(heartbeatInterval, func() { s.heartbeat(from) })
	}
}

func (s *sim) tell(from, to *simHost) {
	own := from.board.OwnRequests()
	s.after(s.linkDelay, func() {
		for r := range s.runners {
			to.board.SetPeerRequests(runnerName(from.index), runnerName(r), own[runnerName(r)], s.time())
		}
	})
}

func (s *sim) place(call *simCall) {
	if s.ledger != nil {
		s.acquire(call)
		return
	}
	var indexes []int
	var candidates []placing.Candidate
	for r := range s.runners {
		if call.tried[r] {
			continue
		}
		view := call.host.board.View(runnerName(r), s.time())
		indexes = append(indexes, r)
		candidates = append(candidates, placing.Candidate{ID: runnerName(r), Load: view.Load, Slots: s.slots, Suspect: view.Suspect || view.Refusing, Local: call.host.index%4 == r%4})
	}
	choice := placing.LeastLoaded(candidates)
	if choice < 0 {
		s.refuse(call)
		return
	}
	s.send(call, indexes[choice])
}

func (s *sim) refuse(call *simCall) { s.tallies[call.precedence].refused++ }

func (s *sim) acquire(call *simCall) {
	host := call.host
	host.number++
	call.id = ID{Holder: Holder{Host: runnerName(host.index)}, Number: host.number}
	s.calls[call.id], call.decided = call, false
	left := call.arrived + s.limit - s.now
	request := Request{ID: call.id, Precedence: site.Precedence{Workspace: call.precedence}, Due: s.clock(call.arrived + s.target), MaxWait: left / 2, Lifetime: left}
	for r := range s.runners {
		if !call.tried[r] {
			request.Runners = append(request.Runners, Runner{ID: runnerName(r), Slots: s.slots, Queue: s.ledgerQueue})
		}
	}
	released := host.pending
	host.pending = nil
	s.after(s.delayTo(host, 0), func() {
		s.deliver(s.ledger.Release(released, s.time()))
		s.ask(call, request)
	})
}

// ask asks for a slot, and again while the call waits.
func (s *sim) ask(call *simCall, request Request) {
	if call.decided {
		return
	}
	s.messages++
	decision, others := s.ledger.Acquire(request, s.time())
	s.deliver(append(others, decision))
	s.after(HoldLimit, func() { s.ask(call, request) })
}

func (s *sim) deliver(decisions []Decision) {
	for _, decision := range decisions {
		call := s.calls[decision.ID]
		call.decided = decision.Outcome != Queued
		switch decision.Outcome {
		case Granted:
			s.after(s.delayTo(call.host, 0), func() { s.granted(call, decision) })
		case Refused:
			s.after(s.delayTo(call.host, 0), func() { s.refuse(call) })
		case Queued, Withdrawn:
		}
	}
}

func (s *sim) granted(call *simCall, decision Decision) {
	call.slot, call.scarce = true, decision.Scarce
	for r := range s.runners {
		if runnerName(r) == decision.Runner {
			s.send(call, r)
		}
	}
}

// send sends an attempt to a runner, which refuses it if its slots and its queue are full.
func (s *sim) send(call *simCall, r int) {
	if call.sends > 0 && !call.host.budget.Take(s.time(), len(s.hosts)) {
		s.release(call, false)
		s.refuse(call)
		return
	}
	call.sends++
	s.sends++
	sent := s.time()
	call.host.board.RecordStart(runnerName(r), sent)
	delay := s.delayTo(call.host, r)
	s.after(delay, func() {
		begin := func() { s.run(r, func() { s.after(delay, func() { s.answered(call, r, sent) }) }) }
		switch {
		case s.running[r] < s.slots:
			begin()
		case len(s.queued[r]) < s.queue:
			s.queued[r] = append(s.queued[r], begin)
		default:
			s.refusals++
			s.after(delay, func() { s.refusedByRunner(call, r) })
		}
	})
}

// run runs a request on a runner, and the next one of its queue after it.
func (s *sim) run(r int, ended func()) {
	s.running[r]++
	work := time.Duration(float64(s.work) * (0.9 + 0.2*s.rng.Float64()))
	s.after(work, func() {
		s.running[r]--
		ended()
		if len(s.queued[r]) > 0 {
			next := s.queued[r][0]
			s.queued[r] = s.queued[r][1:]
			next()
		}
	})
}

func (s *sim) refusedByRunner(call *simCall, r int) {
	call.host.board.RecordEnd(runnerName(r))
	call.host.board.RecordRefusal(runnerName(r), s.time())
	s.release(call, true)
	call.tried[r] = true
	if call.sends >= attemptsPerCaller {
		s.refuse(call)
		return
	}
	s.place(call)
}

func (s *sim) answered(call *simCall, r int, sent time.Time) {
	call.host.board.RecordEnd(runnerName(r))
	call.host.board.RecordResponse(runnerName(r), sent)
	s.release(call, false)
	if s.now-call.arrived <= s.target {
		s.tallies[call.precedence].onTime++
	} else {
		s.tallies[call.precedence].late++
	}
}

func (s *sim) release(call *simCall, refused bool) {
	if !call.slot {
		return
	}
	call.slot = false
	host := call.host
	host.pending = append(host.pending, Release{ID: call.id, Refused: refused})
	if call.scarce || refused {
		s.flushReleases(host)
		return
	}
	if !host.flush {
		host.flush = true
		s.after(releaseDelay, func() {
			host.flush = false
			s.flushReleases(host)
		})
	}
}

func (s *sim) flushReleases(host *simHost) {
	if len(host.pending) == 0 {
		return
	}
	released := host.pending
	host.pending = nil
	s.messages++
	s.after(s.delayTo(host, 0), func() { s.deliver(s.ledger.Release(released, s.time())) })
}

// total sums over all precedences.
func (s *sim) total() tally {
	var all tally
	for _, t := range s.tallies {
		all.asked += t.asked
		all.onTime += t.onTime
		all.late += t.late
		all.refused += t.refused
	}
	return all
}

func (s *sim) runnerRefusalShare() float64 { return float64(s.refusals) / float64(s.sends) }

func (s *sim) log(t *testing.T, name string) {
	all := s.total()
	line := fmt.Sprintf("%s, %s: %d asked, %.3f on time, %.3f late, %.3f refused to the caller; %.4f of %d sends refused by runners; %.2f messages a request, at most %d waiting;", s.name, name,
		all.asked, all.onTimeShare(), float64(all.late)/float64(all.asked), float64(all.refused)/float64(all.asked), s.runnerRefusalShare(), s.sends, float64(s.messages)/float64(all.asked), s.maxWaiting)
	for precedence, got := range s.tallies {
		line += fmt.Sprintf(" precedence %d: %.3f on time, %.3f served;", precedence, got.onTimeShare(), got.servedShare())
	}
	t.Log(line)
}

// playBoth plays the same demand with the choice by heartbeats and with the ledger.
func playBoth(t *testing.T, load plainLoad, share float64, seed uint64) (today, shared *sim) {
	t.Helper()
	today, shared = newSim(load, false, seed), newSim(load, true, seed)
	today.play(share * load.capacity())
	shared.play(share * load.capacity())
	today.log(t, fmt.Sprintf("demand %.1f, by heartbeats", share))
	shared.log(t, fmt.Sprintf("demand %.1f, shared slots", share))
	must.Eq(t, shared.total().asked, shared.total().onTime+shared.total().late+shared.total().refused, must.Sprint("every caller gets one answer"))
	return today, shared
}

// Guards against arrivals that are refused by full runners while other runners have free slots:
// at half of the capacity nobody is refused.
func TestNobodyIsRefusedAtHalfOfTheCapacity(t *testing.T) {
	for _, load := range []plainLoad{contentionLoad, unevenLoad} {
		for seed := range uint64(2) {
			today, shared := playBoth(t, load, 0.5, seed)
			must.Positive(t, today.refusals, must.Sprint("the load shows the fault that the ledger mends"))
			must.Zero(t, shared.refusals)
			must.Zero(t, shared.total().refused)
			must.GreaterEq(t, today.total().onTimeShare(), shared.total().onTimeShare())
		}
	}
}

// Guards against an order that is lost when the demand exceeds the capacity: the first precedences
// are served on time, nobody is starved, and no fewer requests are served than by heartbeats.
func TestPrecedenceDecidesBeyondTheCapacity(t *testing.T) {
	for _, load := range []plainLoad{contentionLoad, unevenLoad} {
		for seed := range uint64(2) {
			today, shared := playBoth(t, load, 1.2, seed)
			all := shared.total()
			for _, first := range shared.tallies[:2] {
				must.Greater(t, 0.99, first.onTimeShare())
			}
			must.Greater(t, today.total().onTimeShare()+0.05, all.onTimeShare())
			for _, got := range shared.tallies {
				must.Greater(t, 0.25*all.servedShare(), got.servedShare(), must.Sprint("no precedence is starved"))
			}
			must.Less(t, today.runnerRefusalShare(), shared.runnerRefusalShare())
			must.Greater(t, today.total().servedShare(), all.servedShare())
		}
	}
}

// Guards against slots that are idle while their release and the next request are on the way:
// runners that queue a few requests are kept busy beyond their capacity, and more requests than by
// heartbeats are on time.
func TestRunnersWithQueuesAreKeptBusy(t *testing.T) {
	const demand, busy = 1.2, 0.98
	for seed := range uint64(2) {
		today, shared := playBoth(t, queueingLoad, demand, seed)
		must.Zero(t, shared.refusals)
		must.Greater(t, busy/demand, shared.total().servedShare())
		must.Greater(t, today.total().onTimeShare(), shared.total().onTimeShare())
		for _, first := range shared.tallies[:2] {
			must.Greater(t, 0.99, first.onTimeShare())
		}
	}
}
