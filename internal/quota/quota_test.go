package quota

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cherrystage/cherrystage/internal/site"
	"github.com/shoenig/test/must"
)

var (
	epoch = time.Unix(1_700_000_000, 0)
	// tolerance is that of a real deployment: 10% and 17,000 tokens above the quota in 8 s.
	tolerance = Tolerance{Window: 8 * time.Second, Overshoot: 0.1, Slack: 17_000}
)

func tokens(rate float64) site.Quota {
	return site.Quota{Rate: rate, Burst: rate, InTokens: true, DefaultTokens: 200}
}

// allowed returns the units that the deployment allows a workspace to use in one window.
func allowed(q site.Quota, t Tolerance) float64 {
	return (q.Rate*t.Window.Seconds()+q.Burst)*(1+t.Overshoot) + t.Slack
}

// run is a granted request.
type run struct {
	at   time.Time
	cost float64
}

// maxInWindow returns the largest number of units used within any window.
func maxInWindow(runs []run, window time.Duration) float64 {
	highest, sum, first := 0.0, 0.0, 0
	for _, r := range runs {
		sum += r.cost
		for r.at.Sub(runs[first].at) >= window {
			sum -= runs[first].cost
			first++
		}
		highest = max(highest, sum)
	}
	return highest
}

// fleet simulates hosts that request units from one counter for each part, without a network.
type fleet struct {
	quota    site.Quota
	counters [Parts]*Counter
	// since is when each part's leadership begins; down marks parts without a counting host.
	since [Parts]time.Time
	epoch [Parts]int64
	down  [Parts]bool
	hosts []*Allowances
	calls int
	runs  []run
	// refused and served count the requests.
	refused, served int
	// refusedAfter is how long runners hold requests before they refuse them, 0 if they run them.
	refusedAfter time.Duration
	held         []heldRequest
}

// heldRequest is a granted request that has not run.
type heldRequest struct {
	run
	host, part int
}

func newFleet(q site.Quota, hosts int) *fleet {
	f := &fleet{quota: q}
	for part := range Parts {
		f.counters[part] = NewCounter()
		f.since[part] = epoch.Add(-time.Minute)
		f.epoch[part] = 1
	}
	for range hosts {
		f.hosts = append(f.hosts, NewAllowances())
	}
	return f
}

const workspace = "w"

// request simulates one request at a host and reports whether it was granted.
func (f *fleet) request(host int, cost float64, now time.Time, turn int) bool {
	a := f.hosts[host]
	if part, ok := a.Spend(workspace, cost, now); ok {
		return f.granted(host, part, cost, now)
	}
	if _, refused := a.Refused(workspace, cost, now); refused {
		f.refused++
		return false
	}
	wait := maxRetryAfter
	for i := range Parts {
		part := (turn + i) % Parts
		if f.down[part] {
			continue
		}
		f.calls++
		req := GrantRequest{Key: workspace, Part: part, Cost: cost, Prefetch: a.PrefetchUnits(workspace, now)}
		response := f.counters[part].Grant(req, PartLimit(f.quota, tolerance), Leadership{Since: f.since[part], Epoch: f.epoch[part]}, now)
		if response.Granted > 0 {
			a.RecordUse(workspace, cost, now)
			a.AddGrant(workspace, part, response.Granted-cost, now)
			return f.granted(host, part, cost, now)
		}
		wait = min(wait, response.RetryAfter)
	}
	a.RefuseUntil(workspace, wait, f.quota.Rate, now)
	f.refused++
	return false
}

// granted runs a granted request, unless its runner is to refuse it after refusedAfter.
func (f *fleet) granted(host, part int, cost float64, now time.Time) bool {
	if f.refusedAfter > 0 {
		f.held = append(f.held, heldRequest{run: run{at: now, cost: cost}, host: host, part: part})
		return true
	}
	f.served++
	f.runs = append(f.runs, run{at: now, cost: cost})
	return true
}

// refuseHeld refunds the requests that their runners have held for a time.
func (f *fleet) refuseHeld(refusedAfter time.Duration, now time.Time) {
	for len(f.held) > 0 && now.Sub(f.held[0].at) >= refusedAfter {
		refused := f.held[0]
		f.held = f.held[1:]
		f.hosts[refused.host].AddRefund(workspace, refused.part, refused.cost, refused.at)
	}
}

// returnIdle makes all hosts return their idle units.
func (f *fleet) returnIdle(now time.Time) {
	for _, a := range f.hosts {
		for _, request := range a.TakeIdle(now) {
			if !f.down[request.Part] {
				f.counters[request.Part].Grant(request, PartLimit(f.quota, tolerance), Leadership{Since: f.since[request.Part], Epoch: f.epoch[request.Part]}, now)
			}
		}
	}
}

// load simulates requests to random hosts at a rate in units per second, with costs from 200
// units to almost twice the mean.
func (f *fleet) load(rng *rand.Rand, from time.Time, length time.Duration, rate func(at time.Duration) float64) {
	const mean = 2000
	var at, returnAt time.Duration
	for turn := 0; ; turn++ {
		at += time.Duration(rng.ExpFloat64() * mean / rate(at) * float64(time.Second))
		if at >= length {
			return
		}
		for ; returnAt < at; returnAt += 250 * time.Millisecond {
			f.returnIdle(from.Add(returnAt))
		}
		f.request(rng.IntN(len(f.hosts)), 200+rng.Float64()*2*(mean-200), from.Add(at), turn)
	}
}

func steady(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// A workspace that uses 55% of its quota suddenly sends eight times as much, for a long time. No
// window exceeds the tolerance, and the workspace still gets at least its quota.
func TestOverloadingWorkspaceIsLimitedToItsQuota(t *testing.T) {
	for _, rate := range []float64{4_200, 30_000, 285_000} {
		for _, hosts := range []int{1, 7, 63, 460} {
			f := newFleet(tokens(rate), hosts)
			f.load(rand.New(rand.NewPCG(1, 2)), epoch, 40*time.Second, func(at time.Duration) float64 {
				if at < 10*time.Second {
					return 0.55 * rate
				}
				return 4.4 * rate
			})
			highest := maxInWindow(f.runs, tolerance.Window)
			t.Logf("%.0f units/s, %d hosts: %.0f of %.0f allowed in a window, %d calls for %d requests", rate, hosts, highest, allowed(f.quota, tolerance), f.calls, f.served+f.refused)
			must.Less(t, allowed(f.quota, tolerance), highest)
			must.Greater(t, rate*tolerance.Window.Seconds(), highest)
		}
	}
}

// A workspace that uses 55% of its quota is served through any number of hosts. At most 1% of
// its requests are refused, or 5% while one of the three counting hosts is lost. The smallest
// quota, two requests per second, has four times these bounds: there even a single bucket
// refuses some simultaneous requests, and the loss of a part is noticeable.
func TestWorkspaceBelowItsQuotaIsServed(t *testing.T) {
	for _, lost := range []bool{false, true} {
		for _, rate := range []float64{4_200, 30_000, 285_000} {
			for _, hosts := range []int{1, 63, 460} {
				f := newFleet(tokens(rate), hosts)
				f.down[1] = lost
				f.load(rand.New(rand.NewPCG(3, 4)), epoch, 60*time.Second, steady(0.55*rate))
				share := float64(f.refused) / float64(f.refused+f.served)
				t.Logf("%.0f units/s, %d hosts, one part lost %v: %.3f refused, %.2f calls per request", rate, hosts, lost, share, float64(f.calls)/float64(f.refused+f.served))
				maxShare := 0.01
				if lost {
					maxShare = 0.05
				}
				if rate < 10_000 {
					maxShare *= 4
				}
				must.LessEq(t, maxShare, share)
			}
		}
	}
}

// equalShares is the alternative of a fixed, equal share of the quota for each host, without any
// communication.
type equalShares struct {
	buckets []*bucket
	limit   Limit
	runs    []run
	refused int
}

func newEqualShares(q site.Quota, hosts int) *equalShares {
	s := &equalShares{limit: Limit{Rate: q.Rate / float64(hosts), Burst: q.Burst / float64(hosts)}}
	for range hosts {
		s.buckets = append(s.buckets, newBucket(epoch.Add(-time.Minute)))
	}
	return s
}

func (s *equalShares) load(rng *rand.Rand, length time.Duration, rate float64) {
	const mean = 2000
	for at := time.Duration(0); at < length; at += time.Duration(rng.ExpFloat64() * mean / rate * float64(time.Second)) {
		cost := 200 + rng.Float64()*2*(mean-200)
		if s.buckets[rng.IntN(len(s.buckets))].take(GrantRequest{Cost: cost}, s.limit, epoch.Add(at)).Granted == 0 {
			s.refused++
			continue
		}
		s.runs = append(s.runs, run{at: epoch.Add(at), cost: cost})
	}
}

// Fixed equal shares do not work for a large fleet. A share of a small workspace's quota is less
// than one request, so the workspace is either refused far below its quota or, if a request may
// exceed the share, uses more than the deployment allows.
func TestEqualSharesOfASmallWorkspace(t *testing.T) {
	for _, rate := range []float64{4_200, 30_000, 285_000} {
		normal, overloaded := newEqualShares(tokens(rate), 63), newEqualShares(tokens(rate), 63)
		normal.load(rand.New(rand.NewPCG(3, 4)), 60*time.Second, 0.55*rate)
		overloaded.load(rand.New(rand.NewPCG(3, 4)), 60*time.Second, 4.4*rate)
		share := float64(normal.refused) / float64(normal.refused+len(normal.runs))
		highest := maxInWindow(overloaded.runs, tolerance.Window)
		t.Logf("%.0f units/s: %.3f refused at 55%% of the quota; %.0f of %.0f allowed used under overload", rate, share, highest, allowed(tokens(rate), tolerance))
		if rate < 10_000 {
			must.True(t, share > 0.5 || highest > allowed(tokens(rate), tolerance))
		}
	}
}

// All hosts restart repeatedly while a workspace overloads them. Earlier grants are forgotten,
// so buckets that start full would grant the burst again.
func TestRestartedFleetDoesNotGrantTheBurstAgain(t *testing.T) {
	for _, rate := range []float64{4_200, 285_000} {
		f := newFleet(tokens(rate), 63)
		rng := rand.New(rand.NewPCG(5, 6))
		at := epoch
		for range 8 {
			f.load(rng, at, 2*time.Second, steady(4.4*rate))
			at = at.Add(2 * time.Second)
			for part := range Parts {
				f.counters[part] = NewCounter()
				f.since[part] = at
			}
			for i := range f.hosts {
				f.hosts[i] = NewAllowances()
			}
		}
		must.Less(t, allowed(f.quota, tolerance), maxInWindow(f.runs, tolerance.Window))
	}
}

// A host whose lease was broken counts a part again under its next lease. It must not grant the
// units that its successor may have granted in between.
func TestNewLeaseStartsAnEmptyBucket(t *testing.T) {
	c := NewCounter()
	limit := Limit{Rate: 100, Burst: 1000}
	must.Eq(t, 900, c.Grant(GrantRequest{Key: workspace, Cost: 900}, limit, Leadership{Since: epoch.Add(-time.Hour), Epoch: 1}, epoch).Granted)
	later := epoch.Add(time.Hour)
	answer := c.Grant(GrantRequest{Key: workspace, Cost: 900}, limit, Leadership{Since: later.Add(-time.Second), Epoch: 2}, later)
	must.Eq(t, 0, answer.Granted)
	must.Eq(t, 100, answer.Level)
}

// A host that has just joined is asked before all others know of it. Its bucket starts to fill
// when its leadership begins, not when it is first asked: until then the previous leader still
// grants units.
func TestBucketIsEmptyBeforeOwnershipBegins(t *testing.T) {
	c := NewCounter()
	limit, leadership := Limit{Rate: 1000, Burst: 1000}, Leadership{Since: epoch.Add(time.Second), Epoch: 1}
	must.Eq(t, 0, c.Grant(GrantRequest{Key: workspace, Cost: 100}, limit, leadership, epoch).Granted)
	must.Eq(t, 0, c.Grant(GrantRequest{Key: workspace, Cost: 100}, limit, leadership, epoch.Add(time.Second)).Level)
	must.Eq(t, 100, c.Grant(GrantRequest{Key: workspace, Cost: 100}, limit, leadership, epoch.Add(1100*time.Millisecond)).Granted)
}

// After a limit is lowered to a tenth, the units above the new burst are not granted.
func TestLoweredLimit(t *testing.T) {
	c := NewCounter()
	leadership := Leadership{Since: epoch.Add(-time.Hour), Epoch: 1}
	must.Eq(t, 100, c.Grant(GrantRequest{Key: workspace, Cost: 100}, Limit{Rate: 1000, Burst: 1000}, leadership, epoch).Granted)
	low := Limit{Rate: 100, Burst: 100}
	must.Eq(t, 100, c.Grant(GrantRequest{Key: workspace, Cost: 100}, low, leadership, epoch).Granted)
	answer := c.Grant(GrantRequest{Key: workspace, Cost: 100}, low, leadership, epoch)
	must.Eq(t, 0, answer.Granted)
	must.Eq(t, time.Second, answer.RetryAfter)
}

// A request that costs more than the burst is granted from a full bucket, and later requests
// wait until its cost is refilled.
func TestRequestBeyondTheBurst(t *testing.T) {
	c := NewCounter()
	limit, leadership := Limit{Rate: 100, Burst: 100}, Leadership{Since: epoch.Add(-time.Hour), Epoch: 1}
	must.Eq(t, 300, c.Grant(GrantRequest{Key: workspace, Cost: 300}, limit, leadership, epoch).Granted)
	must.Eq(t, 0, c.Grant(GrantRequest{Key: workspace, Cost: 1}, limit, leadership, epoch.Add(1990*time.Millisecond)).Granted)
	must.Eq(t, 1, c.Grant(GrantRequest{Key: workspace, Cost: 1}, limit, leadership, epoch.Add(2020*time.Millisecond)).Granted)
}

// Refused callers that retry at the given times all succeed, because the times are spaced by
// their costs.
func TestRefusedCallersSucceedAfterRetryAfter(t *testing.T) {
	c := NewCounter()
	limit, leadership := Limit{Rate: 1000, Burst: 1000}, Leadership{Since: epoch.Add(-time.Hour), Epoch: 1}
	must.Eq(t, 1000, c.Grant(GrantRequest{Key: workspace, Cost: 1000}, limit, leadership, epoch).Granted)
	for i := range 5 {
		wait := c.Grant(GrantRequest{Key: workspace, Cost: 500}, limit, leadership, epoch).RetryAfter
		must.Eq(t, time.Duration(i+1)*500*time.Millisecond, wait)
	}
	for i := range 5 {
		at := epoch.Add(time.Duration(i+1)*500*time.Millisecond + time.Millisecond)
		must.Eq(t, 500, c.Grant(GrantRequest{Key: workspace, Cost: 500}, limit, leadership, at).Granted)
	}
}

// Units that were granted in advance and stay idle are returned exactly once.
func TestIdleUnitsAreReturned(t *testing.T) {
	a := NewAllowances()
	a.AddGrant(workspace, 1, 500, epoch)
	must.SliceEmpty(t, a.TakeIdle(epoch.Add(maxIdle-time.Millisecond)))
	must.Eq(t, []GrantRequest{{Key: workspace, Part: 1, Returned: 500, ReturnedAge: maxIdle}}, a.TakeIdle(epoch.Add(maxIdle)))
	must.SliceEmpty(t, a.TakeIdle(epoch.Add(time.Hour)))
	_, ok := a.Spend(workspace, 1, epoch.Add(time.Hour))
	must.False(t, ok)
}

// The bucket of a part that another host leads is dropped; it would otherwise have refilled by
// the time this host leads the part again.
func TestRetainDropsPartsOfOtherHosts(t *testing.T) {
	c := NewCounter()
	limit, leadership := Limit{Rate: 100, Burst: 100}, Leadership{Since: epoch.Add(-time.Hour), Epoch: 1}
	c.Grant(GrantRequest{Key: workspace, Cost: 100}, limit, leadership, epoch)
	c.Retain(func(string, int) bool { return true })
	must.Eq(t, 1, c.Size())
	c.Retain(func(string, int) bool { return false })
	must.Eq(t, 0, c.Size())
}

// A bucket never grants more than its burst, its refill and one request that exceeds the burst.
func FuzzBucket(f *testing.F) {
	f.Add(uint64(1), 100.0, 200.0)
	f.Add(uint64(2), 4200.0, 1.0)
	f.Fuzz(func(t *testing.T, seed uint64, rate, burst float64) {
		if !(rate > 0 && rate < 1e9 && burst >= 1 && burst < 1e9) {
			t.Skip()
		}
		rng := rand.New(rand.NewPCG(seed, 1))
		limit := Limit{Rate: rate, Burst: burst}
		b := newBucket(epoch.Add(-time.Hour))
		now, granted, largest := epoch, 0.0, 0.0
		for range 200 {
			now = now.Add(time.Duration(rng.Int64N(int64(time.Second))))
			ask := GrantRequest{Cost: 1 + rng.Float64()*burst*1.5, Prefetch: rng.Float64() * burst}
			largest = max(largest, ask.Cost)
			answer := b.take(ask, limit, now)
			granted += answer.Granted
			if bound := burst + rate*now.Sub(epoch).Seconds() + largest; granted > bound*1.000001 {
				t.Fatalf("%g units granted, want at most %g", granted, bound)
			}
			if answer.Granted == 0 && answer.RetryAfter <= 0 {
				t.Fatal("refused without a retry time")
			}
		}
	})
}
