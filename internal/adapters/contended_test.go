package adapters

import (
	"container/heap"
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cherrystage/cherrystage/internal/site"
	"github.com/shoenig/test/must"
)

// contendedRoute is one kind of requests of the load under contention, see docs/design/contention.md.
type contendedRoute struct {
	name             string
	share            float64
	tokens, priority int
	target, maxWait  time.Duration
}

var contendedRoutes = []contendedRoute{
	{name: "live", share: 248, tokens: 826, target: 500 * time.Millisecond, maxWait: 2250 * time.Millisecond},
	{name: "batch", share: 50, tokens: 826, priority: 1, target: time.Second, maxWait: 3850 * time.Millisecond},
	{name: "long", share: 74, tokens: 2368, priority: 2, target: 2 * time.Second, maxWait: 3 * time.Second},
}

const (
	contendedWorkspaces = 16
	// contendedMargin is the part of the target that remains for the answer, contendedHop
	// how long a message to an owner takes.
	contendedMargin = 60 * time.Millisecond
	contendedHop    = 1500 * time.Microsecond
)

// contendedRequest is one request on its way over the runners, as internal/serve sends it.
type contendedRequest struct {
	route     *contendedRoute
	workspace int
	arrived   time.Time
	order     []int
	key       Key
	// probe counts the runners asked. ask is what was last asked.
	probe     int
	waited    bool
	ticket    uint64
	asks      int
	deferrals int
	sentAt    time.Time
	refused   bool
	// deferredBy is the runner that deferred the request last, lostOwner is set if its
	// owner was lost meanwhile.
	deferredBy int
	lostOwner  bool
}

func (r *contendedRequest) onTime() bool {
	return !r.refused && !r.sentAt.After(r.arrived.Add(r.route.target-contendedMargin-prefillTime(r.route.tokens)))
}

type contendedEvent struct {
	at  time.Time
	seq int
	run *contendedRequest
	// do is called instead if there is no request.
	do func()
}

type contendedEvents []contendedEvent

func (e contendedEvents) Len() int { return len(e) }
func (e contendedEvents) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].seq < e[j].seq
}
func (e contendedEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *contendedEvents) Push(x any)   { *e = append(*e, x.(contendedEvent)) }
func (e *contendedEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// contendedLoad plays requests on a few runners.
type contendedLoad struct {
	runners int
	// utilization is the load as a share of what the runners' prefill can do.
	utilization float64
	duration    time.Duration
	ranked      func(*contendedRequest) bool
	seed        uint64
	// lostAt is when the owner of the first runner is lost, 0 if it is not. Another host
	// takes over a second later.
	lostAt time.Duration
	// adapters is the number of adapters, 0 if requests need none, and fetches the number
	// of concurrent fetches at the store's full speed.
	adapters, fetches int
}

// contendedResult is what became of the requests.
type contendedResult struct {
	// idleWhileDeferred is for how long runners had nothing to do while a request that
	// they deferred waited, of a total time of span.
	requests          []*contendedRequest
	idleWhileDeferred time.Duration
	span              time.Duration
}

func (l contendedLoad) play() contendedResult {
	random := rand.New(rand.NewPCG(l.seed, 1))
	now := epoch
	lost, replaced := false, false
	controllers := make([]*Controller, l.runners)
	for i := range controllers {
		controllers[i] = newTestController(&now, 17, &fakeEngine{})
	}
	var shares, tokens float64
	for _, route := range contendedRoutes {
		shares += route.share
		tokens += route.share * float64(route.tokens)
	}
	rate := l.utilization * float64(l.runners) * pacedPerMS * 1000 / (tokens / shares)
	var events contendedEvents
	seq := 0
	push := func(at time.Time, r *contendedRequest) {
		seq++
		heap.Push(&events, contendedEvent{at: at, seq: seq, run: r})
	}
	result := contendedResult{span: l.duration * time.Duration(l.runners)}
	for at := epoch; at.Before(epoch.Add(l.duration)); at = at.Add(time.Duration(random.ExpFloat64() / rate * float64(time.Second))) {
		r := &contendedRequest{workspace: random.IntN(contendedWorkspaces), arrived: at, order: random.Perm(l.runners)}
		draw := random.Float64() * shares
		for i := range contendedRoutes {
			r.route = &contendedRoutes[i]
			if draw -= r.route.share; draw < 0 {
				break
			}
		}
		result.requests = append(result.requests, r)
		push(at, r)
	}
	if l.adapters > 0 {
		l.addAdapters(random, controllers, result.requests, &now, func(at time.Time, do func()) {
			seq++
			heap.Push(&events, contendedEvent{at: at, seq: seq, do: do})
		})
	}
	for len(events) > 0 {
		event := heap.Pop(&events).(contendedEvent)
		if !event.at.Before(now) {
			for _, c := range controllers {
				from := laterOf(now, c.pacer.freeAt)
				if c.turns.Deferred(event.at) > 0 && event.at.After(from) && event.at.Before(epoch.Add(l.duration)) {
					result.idleWhileDeferred += event.at.Sub(from)
				}
			}
			now = event.at
		}
		if l.lostAt > 0 && !now.Before(epoch.Add(l.lostAt)) {
			if !lost {
				lost = true
				controllers[0].refuseAll(ErrNotOwner)
			}
			if !replaced && !now.Before(epoch.Add(l.lostAt+time.Second)) {
				replaced = true
				controllers[0] = newTestController(&now, 17, &fakeEngine{})
			}
		}
		if event.do != nil {
			event.do()
			continue
		}
		r := event.run
		r.lostOwner = r.lostOwner || lost && !replaced && r.ticket != 0 && r.deferredBy == 0
		left := r.arrived.Add(r.route.maxWait).Sub(now)
		lastResort := r.probe >= l.runners
		if left <= 0 || r.probe >= l.runners+min(2, l.runners) {
			r.refused = true
			continue
		}
		ask := AdmissionRequest{
			Key: r.key, PromptTokens: r.route.tokens, MaxOutputTokens: 100, PromptWait: r.route.target / 2,
			LatencyBudget: r.arrived.Add(r.route.target - contendedMargin).Sub(now), MaxWait: left, LastResort: lastResort, Waited: r.waited,
		}
		if l.ranked(r) {
			ask.Ranked, ask.Precedence, ask.Ticket = true, site.Precedence{Workspace: r.workspace, Route: r.route.priority}, r.ticket
		}
		r.asks++
		admitted, err := controllers[r.order[r.probe%l.runners]].Admit(ask)
		switch {
		case err != nil:
			r.probe++
			r.waited, r.ticket = false, 0
			push(now.Add(2*contendedHop), r)
		case admitted.AskAgain:
			r.deferrals++
			r.deferredBy = r.order[r.probe%l.runners]
			r.waited, r.ticket = true, admitted.Ticket
			push(admitted.At.Add(2*contendedHop), r)
		case admitted.At.Sub(now) > left:
			r.refused = true
		default:
			r.sentAt = admitted.At
			if r.key.Name != "" {
				c, key := controllers[r.order[r.probe%l.runners]], r.key.Adapter
				seq++
				heap.Push(&events, contendedEvent{at: r.sentAt.Add(contendedRun), seq: seq, do: func() { c.RequestsEnded(map[site.Adapter]int{key: 1}) }})
			}
		}
	}
	return result
}

// contendedRun is how long a request runs.
const contendedRun = time.Second

// addAdapters gives the requests adapters, of which a fifth asks for the same one, and has
// the controllers load them from a store that all share.
func (l contendedLoad) addAdapters(random *rand.Rand, controllers []*Controller, requests []*contendedRequest, now *time.Time, at func(time.Time, func())) {
	zipf := rand.NewZipf(random, 1.1, 20, uint64(l.adapters-1))
	for _, r := range requests {
		key := 0
		if random.IntN(5) > 0 {
			key = int(zipf.Uint64())
		}
		r.key = testKey(key)
		r.order = rand.New(rand.NewPCG(uint64(key), 2)).Perm(l.runners)
	}
	store := func() StoreLoad {
		load := StoreLoad{Capacity: float64(l.fetches), PerRunner: min(1, float64(l.fetches)/float64(l.runners))}
		for _, c := range controllers {
			load.Fetches += c.Fetches()
		}
		return load
	}
	var step func()
	step = func() {
		for _, c := range controllers {
			for pause := time.Duration(0); pause == 0; {
				pause = c.Step(context.Background())
			}
		}
		if now.Before(epoch.Add(l.duration + 5*time.Second)) {
			at(now.Add(5*time.Millisecond), step)
		}
	}
	for _, c := range controllers {
		c.StoreLoad = store
	}
	at(epoch, step)
}

// contendedShares are the shares of requests by result.
type contendedShares struct{ onTime, late, refused, count float64 }

func (s contendedShares) served() float64 { return s.onTime + s.late }

func (s contendedShares) String() string {
	return fmt.Sprintf("%.3f on time, %.3f late, %.3f refused of %.0f", s.onTime, s.late, s.refused, s.count)
}

func (r contendedResult) of(matches func(*contendedRequest) bool) contendedShares {
	var s contendedShares
	for _, request := range r.requests {
		if !matches(request) {
			continue
		}
		s.count++
		switch {
		case request.refused:
			s.refused++
		case request.onTime():
			s.onTime++
		default:
			s.late++
		}
	}
	s.onTime, s.late, s.refused = s.onTime/s.count, s.late/s.count, s.refused/s.count
	return s
}

func allContended(*contendedRequest) bool  { return true }
func noneContended(*contendedRequest) bool { return false }

func (r contendedResult) log(t *testing.T, name string) {
	t.Helper()
	asks, most := 0, 0
	for _, request := range r.requests {
		asks += request.asks
		most = max(most, request.deferrals)
	}
	t.Logf("%s: %s; asks %.2f, most deferrals %d, idle while deferred %.4f", name, r.of(allContended), float64(asks)/float64(len(r.requests)), most, r.idleShare())
	for quarter := range 4 {
		t.Logf("  workspaces %d to %d: %s", quarter*4, quarter*4+3, r.of(inQuarter(quarter)))
		for i := range contendedRoutes {
			t.Logf("    %s: %s", contendedRoutes[i].name, r.of(func(q *contendedRequest) bool { return inQuarter(quarter)(q) && q.route == &contendedRoutes[i] }))
		}
	}
	t.Logf("  least served share of a workspace on a route: %.3f", r.leastServed())
}

// inQuarter matches the requests of a quarter of the workspaces; quarter 0 goes first.
func inQuarter(quarter int) func(*contendedRequest) bool {
	return func(r *contendedRequest) bool { return r.workspace*4/contendedWorkspaces == quarter }
}

func (r contendedResult) idleShare() float64 { return float64(r.idleWhileDeferred) / float64(r.span) }

// leastServed returns the least served share of a workspace's requests on a route.
func (r contendedResult) leastServed() float64 {
	least := 1.0
	for workspace := range contendedWorkspaces {
		for i := range contendedRoutes {
			least = min(least, r.of(func(q *contendedRequest) bool { return q.workspace == workspace && q.route == &contendedRoutes[i] }).served())
		}
	}
	return least
}

// playContended plays two minutes on four runners.
func playContended(t *testing.T, utilization float64, ranked func(*contendedRequest) bool, name string) contendedResult {
	t.Helper()
	result := contendedLoad{runners: 4, utilization: utilization, duration: 2 * time.Minute, ranked: ranked, seed: 1}.play()
	result.log(t, name)
	return result
}

// At nine tenths of the prefill capacity all requests can be on time, and are. Guards
// against deferrals that make requests late or runners idle without need.
func TestContendedLoadBelowCapacity(t *testing.T) {
	t.Parallel()
	before := playContended(t, 0.9, noneContended, "unranked")
	after := playContended(t, 0.9, allContended, "ranked")
	must.GreaterEq(t, 0.995, after.of(allContended).onTime)
	must.GreaterEq(t, before.of(allContended).onTime, after.of(allContended).onTime)
	must.GreaterEq(t, 0.97, after.leastServed())
	must.LessEq(t, 0.02, after.idleShare())
}

// With more prompts than the runners can process, the order of arrival makes nearly all
// requests late. In the order of precedence the requests that are served are on time, and
// the lowest precedence bears the refusals. Guards against starvation as well: each
// workspace gets at least a quarter of the overall share on each route.
func TestContendedLoadBeyondCapacity(t *testing.T) {
	t.Parallel()
	for _, played := range []struct{ utilization, firstOnTime float64 }{{1.3, 0.99}, {2, 0.95}} {
		utilization, firstOnTime := played.utilization, played.firstOnTime
		before := playContended(t, utilization, noneContended, fmt.Sprintf("%.1f unranked", utilization))
		after := playContended(t, utilization, allContended, fmt.Sprintf("%.1f ranked", utilization))
		must.GreaterEq(t, firstOnTime, after.of(inQuarter(0)).onTime)
		for quarter := 1; quarter < 4; quarter++ {
			must.GreaterEq(t, after.of(inQuarter(quarter)).onTime, after.of(inQuarter(quarter-1)).onTime)
			must.GreaterEq(t, before.of(inQuarter(quarter)).onTime, after.of(inQuarter(quarter)).onTime)
		}
		all := after.of(allContended)
		must.GreaterEq(t, before.of(allContended).served(), all.served())
		must.GreaterEq(t, all.served()/4, after.leastServed())
		must.LessEq(t, 0.01, after.idleShare())
		for _, request := range after.requests {
			must.LessEq(t, 3*maxContendedDeferrals, request.deferrals)
			must.False(t, request.sentAt.After(request.arrived.Add(request.route.maxWait)))
		}
	}
}

// maxContendedDeferrals bounds how often one runner defers a request. It asks up to three
// runners that defer it.
const maxContendedDeferrals = 9

// Hosts of the previous version send no rank and no ticket. Their requests have the
// lowest precedence that was seen. Guards against requests of such hosts that starve, or
// that go before those of the others.
func TestContendedLoadOfUnrankedHosts(t *testing.T) {
	t.Parallel()
	ranked := func(r *contendedRequest) bool { return r.arrived.UnixNano()%4 != 0 }
	result := playContended(t, 1.3, ranked, "a quarter of the hosts sends no rank")
	unranked := result.of(func(r *contendedRequest) bool { return !ranked(r) })
	t.Logf("  unranked: %s", unranked)
	must.GreaterEq(t, result.of(allContended).served()/4, unranked.served())
	must.GreaterEq(t, result.of(allContended).served()/4, result.leastServed())
	must.GreaterEq(t, unranked.onTime, result.of(func(r *contendedRequest) bool { return ranked(r) && inQuarter(0)(r) }).onTime)
}

// The owner of a runner is lost while requests are deferred there, and its successor knows
// none of them. Guards against requests that wait for the lost owner until they are late.
func TestDeferredRequestsOfLostOwnerAreOnTimeElsewhere(t *testing.T) {
	t.Parallel()
	lost, onTime := 0, 0
	for seed := range uint64(20) {
		result := contendedLoad{runners: 4, utilization: 0.8, duration: 25 * time.Second, ranked: allContended, seed: seed, lostAt: 20 * time.Second}.play()
		for _, request := range result.requests {
			if request.lostOwner {
				lost++
				must.False(t, request.refused)
			}
			if request.lostOwner && request.onTime() {
				onTime++
			}
		}
	}
	t.Logf("%d of %d on time", onTime, lost)
	must.Positive(t, lost)
	must.GreaterEq(t, lost*9/10, onTime)
}

// Requests need adapters, of which the runners hold a sixth, and the store is saturated.
// Guards against an order of turns, loads and slots that together starve a workspace or cost
// more than they gain.
func TestContendedAdapters(t *testing.T) {
	t.Parallel()
	load := contendedLoad{runners: 6, utilization: 0.8, duration: 2 * time.Minute, seed: 1, adapters: 600, fetches: 4}
	load.ranked = noneContended
	before := load.play()
	before.log(t, "unranked")
	load.ranked = allContended
	after := load.play()
	after.log(t, "ranked")
	must.GreaterEq(t, before.of(allContended).onTime+0.02, after.of(allContended).onTime)
	must.GreaterEq(t, before.of(allContended).served(), after.of(allContended).served())
	must.GreaterEq(t, before.of(inQuarter(0)).onTime+0.03, after.of(inQuarter(0)).onTime)
	must.GreaterEq(t, 0.98, after.of(inQuarter(0)).served())
	must.GreaterEq(t, after.of(allContended).served()/2, after.leastServed())
	must.LessEq(t, 0.01, after.idleShare())
}
