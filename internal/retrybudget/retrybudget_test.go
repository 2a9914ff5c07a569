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

// All targets of a service fail together and seven hosts retry every request as often as they
// may. In any window the retries of all hosts stay within the deployment's bound, also when some
// hosts restart.
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
			bound := limit.Ratio*float64(countInWindow(requests, from)) + limit.Slack
			if got := countInWindow(retries, from); float64(got) > bound {
				t.Fatalf("%d retries within 10 s from %s, want at most %.0f", got, from.Sub(epoch), bound)
			}
		}
	})
}

func countInWindow(times []time.Time, from time.Time) int {
	count := 0
	for _, at := range times {
		if !at.Before(from) && at.Before(from.Add(limit.Window)) {
			count++
		}
	}
	return count
}

// One of 88 hosts receives eight requests per second. After a period without retries, three
// requests fail at the same time because their adapters are not loaded yet; each can be retried,
// although the host's share of the slack is only a tenth of a retry per second.
func TestQuietHostAccumulatesRetries(t *testing.T) {
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

// A deployment that allows no retries gets none.
func TestNoRetriesAllowed(t *testing.T) {
	b := New(Limit{Window: time.Second}, epoch)
	for i := range 100 {
		now := epoch.Add(time.Duration(i) * time.Second)
		b.RecordRequest(now, 1)
		must.False(t, b.Take(now, 1))
	}
	must.Eq(t, 100, b.Denied())
}

// A fleet of hundreds of hosts restarts and every request fails before the hosts know each
// other. A host that believed it was alone would spend the whole slack, so none is available
// until the number of hosts is known.
func TestNoSlackWhileHostCountIsUnknown(t *testing.T) {
	b := New(limit, epoch)
	now := epoch.Add(limit.Window)
	b.RecordRequest(now, 0)
	must.False(t, b.Take(now, 0))
	now = now.Add(limit.Window)
	b.RecordRequest(now, 7)
	must.True(t, b.Take(now, 7), must.Sprint("this host's share, once the number of hosts is known"))
}

// Each of 195 hosts receives one request for a plain service in a second. Its share
// of the slack yields one retry in 11 s, even without requests, so the first failed request can
// be retried. If all hosts spend their accumulated retries together, they stay within the bound.
func TestLargeFleetAccumulatesOneRetryPerHost(t *testing.T) {
	large := Limit{Ratio: 0.2, Slack: 430, Window: 10 * time.Second}
	const hosts = 195
	now := epoch.Add(14 * time.Second)
	retries := 0
	for range hosts {
		b := New(large, epoch)
		b.RecordRequest(now, hosts)
		for tick := range 100 {
			for b.Take(now.Add(time.Duration(tick)*100*time.Millisecond), hosts) {
				retries++
			}
		}
	}
	must.GreaterEq(t, hosts, retries)
	must.LessEq(t, int(large.Slack+large.Ratio*hosts), retries)
}

// A retry that was taken and not used may be used by another request, and no more than that.
func TestUnusedRetryIsReturned(t *testing.T) {
	now := time.Unix(1000, 0)
	b := New(Limit{Ratio: 0, Slack: 50, Window: 10 * time.Second}, now)
	now = now.Add(10 * time.Second)
	must.True(t, b.Take(now, 20))
	must.False(t, b.Take(now, 20))
	b.Return(now, 20)
	must.True(t, b.Take(now, 20))
	must.False(t, b.Take(now, 20))
}
