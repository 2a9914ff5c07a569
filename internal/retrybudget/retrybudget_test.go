package retrybudget

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

var (
	epoch = time.Unix(1000, 0)
	limit = Limit{Ratio: 0.2, Slack: 54, Window: 10 * time.Second}
)

// All targets of a service fail at once, and seven hosts send every request on
// as often as they may. Over any window the further attempts of all hosts stay
// within the deployment's bound, also when some hosts restart in it.
func TestBudgetHoldsOverAllHosts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const hosts = 7
		perSecond := rapid.IntRange(0, 200).Draw(t, "requests a second")
		restart := rapid.IntRange(0, 300).Draw(t, "restart at tick")
		fail := rapid.IntRange(0, 250).Draw(t, "targets fail from tick")
		budgets := make([]*Budget, hosts)
		for i := range budgets {
			budgets[i] = New(limit, epoch)
		}
		var requests, retries []time.Time
		for tick := range 300 {
			now := epoch.Add(time.Duration(tick) * 100 * time.Millisecond)
			if tick == restart {
				for i := range 3 {
					budgets[i] = New(limit, now)
				}
			}
			for n := range perSecond / 10 {
				budgets[n%hosts].RecordRequest(now, hosts)
				requests = append(requests, now)
			}
			if tick < fail {
				continue
			}
			for _, b := range budgets {
				for b.Take(now, hosts) {
					retries = append(retries, now)
				}
			}
		}
		for tick := range 200 {
			from := epoch.Add(time.Duration(tick) * 100 * time.Millisecond)
			bound := limit.Ratio*float64(within(requests, from)) + limit.Slack
			if got := within(retries, from); float64(got) > bound {
				t.Fatalf("%d further attempts within 10 s from %s, bound %.0f", got, from.Sub(epoch), bound)
			}
		}
	})
}

func within(times []time.Time, from time.Time) int {
	count := 0
	for _, at := range times {
		if !at.Before(from) && at.Before(from.Add(limit.Window)) {
			count++
		}
	}
	return count
}

// One of 88 hosts, with eight requests a second. Three of its requests come before
// their adapters are there, at the same moment and after a quiet while. Each may be
// sent once more; the part of a fleet so large is a tenth of an attempt a second.
func TestQuietHostSavesAttempts(t *testing.T) {
	const hosts = 88
	b := New(Limit{Ratio: 0.2, Slack: 216, Window: 10 * time.Second}, epoch)
	now := epoch
	for range 40 {
		now = now.Add(125 * time.Millisecond)
		b.RecordRequest(now, hosts)
	}
	for range 3 {
		must.True(t, b.Take(now, hosts))
	}
	must.False(t, b.Take(now, hosts))
}

// A deployment that allows no further attempts gets none.
func TestNoBudget(t *testing.T) {
	b := New(Limit{Window: time.Second}, epoch)
	for i := range 100 {
		now := epoch.Add(time.Duration(i) * time.Second)
		b.RecordRequest(now, 1)
		must.False(t, b.Take(now, 1))
	}
	must.Eq(t, 100, b.Denied())
}

// A fleet of hundreds restarts at once and every request fails before the hosts have
// heard of each other. Each host that took itself for the only one would hand out the
// whole slack; none of it is handed out until the others are known.
func TestNoSlackWhileTheFleetIsNotKnown(t *testing.T) {
	b := New(limit, epoch)
	now := epoch.Add(limit.Window)
	b.RecordRequest(now, 0)
	must.False(t, b.Take(now, 0))
	now = now.Add(limit.Window)
	b.RecordRequest(now, 7)
	must.True(t, b.Take(now, 7), must.Sprint("once they are known the part is this host's"))
}

// A host of 195 gets a request for a plain service in a second. Its part of the slack
// makes a token in 11 s, whether or not there were requests meanwhile: the first of
// its callers that meets a failure gets its second try. Over all hosts the tokens that
// were saved up, spent at once, stay within the bound.
func TestLargeFleetSavesOneTryAHost(t *testing.T) {
	large := Limit{Ratio: 0.2, Slack: 430, Window: 10 * time.Second}
	const hosts = 195
	now := epoch.Add(14 * time.Second)
	tries := 0
	for range hosts {
		b := New(large, epoch)
		b.RecordRequest(now, hosts)
		for tick := range 100 {
			for b.Take(now.Add(time.Duration(tick)*100*time.Millisecond), hosts) {
				tries++
			}
		}
	}
	must.GreaterEq(t, hosts, tries)
	must.LessEq(t, int(large.Slack+large.Ratio*hosts), tries)
}
