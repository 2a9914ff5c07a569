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
	// bounds are those of a deployment: 10% and 17,000 tokens beyond the quota in 8 s.
	bounds = Tolerance{Window: 8 * time.Second, Overshoot: 0.1, Slack: 17_000}
)

func tokens(rate float64) site.Quota {
	return site.Quota{Rate: rate, Burst: rate, InTokens: true, PlainTokens: 200}
}

// allowed is what the deployment lets a workspace run in one window.
func allowed(q site.Quota, t Tolerance) float64 {
	return (q.Rate*t.Window.Seconds()+q.Burst)*(1+t.Overshoot) + t.Slack
}

// run is one request that was granted, at a moment.
type run struct {
	at   time.Time
	cost float64
}

// mostInWindow gives the most units that ran within any window.
func mostInWindow(runs []run, window time.Duration) float64 {
	most, sum, first := 0.0, 0.0, 0
	for _, r := range runs {
		sum += r.cost
		for r.at.Sub(runs[first].at) >= window {
			sum -= runs[first].cost
			first++
		}
		most = max(most, sum)
	}
	return most
}

// fleet plays hosts that ask one counter for each part, without a network.
type fleet struct {
	quota    site.Quota
	counters [Parts]*Counter
	// since is from when on each part may be counted; down are parts that nobody counts.
	since [Parts]time.Time
	epoch [Parts]int64
	down  [Parts]bool
	hosts []*Allowances
	asks  int
	runs  []run
	// refused counts requests, asked what all came to.
	refused, served int
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

const name = "w"

// request plays one request at a host and says whether it may run.
func (f *fleet) request(host int, cost float64, now time.Time, turn int) bool {
	a := f.hosts[host]
	if _, ok := a.Spend(name, cost, now); ok {
		return f.ran(cost, now)
	}
	if _, refused := a.Refused(name, cost, now); refused {
		f.refused++
		return false
	}
	wait := longestWait
	for i := range Parts {
		part := (turn + i) % Parts
		if f.down[part] {
			continue
		}
		f.asks++
		ask := GrantRequest{Key: name, Part: part, Cost: cost, Prefetch: a.PrefetchUnits(name, now)}
		answer := f.counters[part].Grant(ask, PartLimit(f.quota, bounds), Ownership{Since: f.since[part], Epoch: f.epoch[part]}, now)
		if answer.Granted > 0 {
			a.RecordUse(name, cost, now)
			a.AddGrant(name, part, answer.Granted-cost, now)
			return f.ran(cost, now)
		}
		wait = min(wait, answer.RetryAfter)
	}
	a.RefuseUntil(name, wait, f.quota.Rate, now)
	f.refused++
	return false
}

func (f *fleet) ran(cost float64, now time.Time) bool {
	f.served++
	f.runs = append(f.runs, run{at: now, cost: cost})
	return true
}

// giveBack has all hosts give back what lies unused.
func (f *fleet) giveBack(now time.Time) {
	for _, a := range f.hosts {
		for _, back := range a.TakeIdle(now) {
			if !f.down[back.Part] {
				f.counters[back.Part].Grant(back, PartLimit(f.quota, bounds), Ownership{Since: f.since[back.Part], Epoch: f.epoch[back.Part]}, now)
			}
		}
	}
}

// load plays requests that come to random hosts at a rate of units a second. Their costs
// are drawn from few words to long texts.
func (f *fleet) load(rng *rand.Rand, from time.Time, length time.Duration, rate func(at time.Duration) float64) {
	const mean = 2000
	var at, backAt time.Duration
	for turn := 0; ; turn++ {
		at += time.Duration(rng.ExpFloat64() * mean / rate(at) * float64(time.Second))
		if at >= length {
			return
		}
		for ; backAt < at; backAt += 250 * time.Millisecond {
			f.giveBack(from.Add(backAt))
		}
		f.request(rng.IntN(len(f.hosts)), 200+rng.Float64()*2*(mean-200), from.Add(at), turn)
	}
}

func steady(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// A workspace sends eight times its usual, which is 55% of its quota, at once and for
// long. In no window more runs than the deployment allows, and all that the quota allows
// does run.
func TestLoudWorkspaceIsKeptToItsQuota(t *testing.T) {
	for _, rate := range []float64{4_200, 30_000, 285_000} {
		for _, hosts := range []int{1, 7, 63, 460} {
			f := newFleet(tokens(rate), hosts)
			f.load(rand.New(rand.NewPCG(1, 2)), epoch, 40*time.Second, func(at time.Duration) float64 {
				if at < 10*time.Second {
					return 0.55 * rate
				}
				return 4.4 * rate
			})
			most := mostInWindow(f.runs, bounds.Window)
			t.Logf("%.0f units/s, %d hosts: %.0f of %.0f allowed in a window, %d asks for %d requests", rate, hosts, most, allowed(f.quota, bounds), f.asks, f.served+f.refused)
			must.Less(t, allowed(f.quota, bounds), most)
			must.Greater(t, rate*bounds.Window.Seconds(), most)
		}
	}
}

// A workspace sends 55% of its quota, its usual, through any number of hosts. One request
// in a hundred is refused at most, and one in twenty with one of its three counting hosts
// lost. The quota of the smallest is two requests a second; a single bucket would refuse
// some of what comes together too, and a lost part shows.
func TestWorkspaceBelowItsQuotaIsServed(t *testing.T) {
	for _, lost := range []bool{false, true} {
		for _, rate := range []float64{4_200, 30_000, 285_000} {
			for _, hosts := range []int{1, 63, 460} {
				f := newFleet(tokens(rate), hosts)
				f.down[1] = lost
				f.load(rand.New(rand.NewPCG(3, 4)), epoch, 60*time.Second, steady(0.55*rate))
				share := float64(f.refused) / float64(f.refused+f.served)
				t.Logf("%.0f units/s, %d hosts, one part lost %v: %.3f refused, %.2f asks a request", rate, hosts, lost, share, float64(f.asks)/float64(f.refused+f.served))
				most := 0.01
				if lost {
					most = 0.05
				}
				if rate < 10_000 {
					most *= 4
				}
				must.LessEq(t, most, share)
			}
		}
	}
}

// shares is another way to keep a quota: each host its own equal part, and no word
// between them.
type shares struct {
	buckets []*bucket
	limit   Limit
	runs    []run
	refused int
}

func newShares(q site.Quota, hosts int) *shares {
	s := &shares{limit: Limit{Rate: q.Rate / float64(hosts), Burst: q.Burst / float64(hosts)}}
	for range hosts {
		s.buckets = append(s.buckets, newBucket(epoch.Add(-time.Minute)))
	}
	return s
}

func (s *shares) load(rng *rand.Rand, length time.Duration, rate float64) {
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

// Equal shares without a word between hosts are no way for a fleet: each share of a small
// workspace is less than one request, so that it is refused far below its quota, or, where
// a share may be exceeded by one request, runs more than the deployment allows.
func TestEqualSharesOfASmallWorkspace(t *testing.T) {
	for _, rate := range []float64{4_200, 30_000, 285_000} {
		calm, loud := newShares(tokens(rate), 63), newShares(tokens(rate), 63)
		calm.load(rand.New(rand.NewPCG(3, 4)), 60*time.Second, 0.55*rate)
		loud.load(rand.New(rand.NewPCG(3, 4)), 60*time.Second, 4.4*rate)
		share := float64(calm.refused) / float64(calm.refused+len(calm.runs))
		most := mostInWindow(loud.runs, bounds.Window)
		t.Logf("%.0f units/s: %.3f refused at 55%% of the quota; %.0f of %.0f allowed run when it is loud", rate, share, most, allowed(tokens(rate), bounds))
		if rate < 10_000 {
			must.True(t, share > 0.5 || most > allowed(tokens(rate), bounds))
		}
	}
}

// All hosts start anew again and again beside a loud workspace. What was granted before
// is not known any more; a bucket that began full would spend the burst twice.
func TestFleetThatStartsAnewDoesNotSpendTheBurstTwice(t *testing.T) {
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
		must.Less(t, allowed(f.quota, bounds), mostInWindow(f.runs, bounds.Window))
	}
}

// A host whose lease was broken counts a part again under its next lease. Units that its
// successor granted meanwhile are not there any more.
func TestPartIsCountedAnewUnderTheNextLease(t *testing.T) {
	c := NewCounter()
	limit := Limit{Rate: 100, Burst: 1000}
	must.Eq(t, 900, c.Grant(GrantRequest{Key: name, Cost: 900}, limit, Ownership{Since: epoch.Add(-time.Hour), Epoch: 1}, epoch).Granted)
	later := epoch.Add(time.Hour)
	answer := c.Grant(GrantRequest{Key: name, Cost: 900}, limit, Ownership{Since: later.Add(-time.Second), Epoch: 2}, later)
	must.Eq(t, 0, answer.Granted)
	must.Eq(t, 100, answer.Level)
}

// A host that has just joined is asked before the others all know of it. What it counts
// begins to fill once they do, and not when it was first asked: until then the host before
// it counts too.
func TestPartThatIsAskedForTooEarlyStaysEmpty(t *testing.T) {
	c := NewCounter()
	limit, right := Limit{Rate: 1000, Burst: 1000}, Ownership{Since: epoch.Add(time.Second), Epoch: 1}
	must.Eq(t, 0, c.Grant(GrantRequest{Key: name, Cost: 100}, limit, right, epoch).Granted)
	must.Eq(t, 0, c.Grant(GrantRequest{Key: name, Cost: 100}, limit, right, epoch.Add(time.Second)).Level)
	must.Eq(t, 100, c.Grant(GrantRequest{Key: name, Cost: 100}, limit, right, epoch.Add(1100*time.Millisecond)).Granted)
}

// A limit is lowered to a tenth. What the bucket held under the higher one is not
// granted any more.
func TestLoweredLimit(t *testing.T) {
	c := NewCounter()
	right := Ownership{Since: epoch.Add(-time.Hour), Epoch: 1}
	must.Eq(t, 100, c.Grant(GrantRequest{Key: name, Cost: 100}, Limit{Rate: 1000, Burst: 1000}, right, epoch).Granted)
	low := Limit{Rate: 100, Burst: 100}
	must.Eq(t, 100, c.Grant(GrantRequest{Key: name, Cost: 100}, low, right, epoch).Granted)
	answer := c.Grant(GrantRequest{Key: name, Cost: 100}, low, right, epoch)
	must.Eq(t, 0, answer.Granted)
	must.Eq(t, time.Second, answer.RetryAfter)
}

// A request that costs more than a bucket can hold is granted once it is full, and paid
// for by those after it.
func TestRequestBeyondTheBurst(t *testing.T) {
	c := NewCounter()
	limit, right := Limit{Rate: 100, Burst: 100}, Ownership{Since: epoch.Add(-time.Hour), Epoch: 1}
	must.Eq(t, 300, c.Grant(GrantRequest{Key: name, Cost: 300}, limit, right, epoch).Granted)
	must.Eq(t, 0, c.Grant(GrantRequest{Key: name, Cost: 1}, limit, right, epoch.Add(1990*time.Millisecond)).Granted)
	must.Eq(t, 1, c.Grant(GrantRequest{Key: name, Cost: 1}, limit, right, epoch.Add(2020*time.Millisecond)).Granted)
}

// Callers that are refused come back when they are told. Each finds its units, since
// they are told times one after the other.
func TestRefusedCallersFindTheirUnitsWhenTheyComeBack(t *testing.T) {
	c := NewCounter()
	limit, right := Limit{Rate: 1000, Burst: 1000}, Ownership{Since: epoch.Add(-time.Hour), Epoch: 1}
	must.Eq(t, 1000, c.Grant(GrantRequest{Key: name, Cost: 1000}, limit, right, epoch).Granted)
	for i := range 5 {
		wait := c.Grant(GrantRequest{Key: name, Cost: 500}, limit, right, epoch).RetryAfter
		must.Eq(t, time.Duration(i+1)*500*time.Millisecond, wait)
	}
	for i := range 5 {
		at := epoch.Add(time.Duration(i+1)*500*time.Millisecond + time.Millisecond)
		must.Eq(t, 500, c.Grant(GrantRequest{Key: name, Cost: 500}, limit, right, at).Granted)
	}
}

// Units that were granted ahead and lie unused go back, once, and no others are lost.
func TestUnusedUnitsGoBack(t *testing.T) {
	a := NewAllowances()
	a.AddGrant(name, 1, 500, epoch)
	must.SliceEmpty(t, a.TakeIdle(epoch.Add(idleLife-time.Millisecond)))
	must.Eq(t, []GrantRequest{{Key: name, Part: 1, Returned: 500}}, a.TakeIdle(epoch.Add(idleLife)))
	must.SliceEmpty(t, a.TakeIdle(epoch.Add(time.Hour)))
	_, ok := a.Spend(name, 1, epoch.Add(time.Hour))
	must.False(t, ok)
}

// A part that another host counts now is forgotten: its bucket would have filled here.
func TestPartOfAnotherHostIsForgotten(t *testing.T) {
	c := NewCounter()
	limit, right := Limit{Rate: 100, Burst: 100}, Ownership{Since: epoch.Add(-time.Hour), Epoch: 1}
	c.Grant(GrantRequest{Key: name, Cost: 100}, limit, right, epoch)
	c.Retain(func(string, int) bool { return true })
	must.Eq(t, 1, c.Size())
	c.Retain(func(string, int) bool { return false })
	must.Eq(t, 0, c.Size())
}

// Whatever is asked, a bucket never grants more than it can hold and what it gains,
// beyond one request that is larger than it.
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
				t.Fatalf("%g granted, %g there", granted, bound)
			}
			if answer.Granted == 0 && answer.RetryAfter <= 0 {
				t.Fatal("refused without a time to come back")
			}
		}
	})
}
