package quota

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// returnInOrder makes hosts return their units up to a time, each at its own time in every interval, as
// started processes do.
type returnInOrder struct {
	at   time.Duration
	tick int
}

func (r *returnInOrder) until(f *fleet, at time.Duration) {
	const interval = 250 * time.Millisecond
	for ; r.at < at; r.at += interval / time.Duration(len(f.hosts)) {
		now := epoch.Add(r.at)
		for _, request := range f.hosts[r.tick%len(f.hosts)].TakeIdle(now) {
			f.counters[request.Part].Grant(request, PartLimit(f.quota, tolerance), Leadership{Since: f.since[request.Part], Epoch: f.epoch[request.Part]}, now)
		}
		r.tick++
	}
}

// Runners refuse all requests of a workspace far above its quota, each after a time, and run them all from
// then on. Units of the refused requests must not have added up, whenever hosts return them.
func TestUnitsOfRefusedRequestsDoNotAddUp(t *testing.T) {
	for _, rate := range []float64{30_000, 285_000} {
		for _, hosts := range []int{7, 63} {
			for _, times := range []float64{2, 5, 20} {
				for _, refusedAfter := range []time.Duration{20 * time.Millisecond, 100 * time.Millisecond, 300 * time.Millisecond, 450 * time.Millisecond, 2 * time.Second, 5 * time.Second} {
					highest := playRefusals(rate, hosts, times, refusedAfter)
					t.Logf("%.0f units/s, %d hosts, %.0f times the quota, refused after %s: %.0f of %.0f allowed in a window", rate, hosts, times, refusedAfter, highest, allowed(tokens(rate), tolerance))
					must.Less(t, allowed(tokens(rate), tolerance), highest)
					must.Greater(t, rate*tolerance.Window.Seconds(), highest)
				}
			}
		}
	}
}

// playRefusals returns the most units that ran within a window.
func playRefusals(rate float64, hosts int, times float64, refusedAfter time.Duration) float64 {
	const mean, stall, length = 2000, 10 * time.Second, 30 * time.Second
	f := newFleet(tokens(rate), hosts)
	f.refusedAfter = refusedAfter
	rng := rand.New(rand.NewPCG(5, 6))
	var returns returnInOrder
	for at, turn := time.Duration(0), 0; at < length; turn++ {
		at += time.Duration(rng.ExpFloat64() * mean / (times * rate) * float64(time.Second))
		returns.until(f, at)
		f.refuseHeld(refusedAfter, epoch.Add(at))
		if at >= stall {
			f.refusedAfter = 0
		}
		f.request(rng.IntN(hosts), 200+rng.Float64()*2*(mean-200), epoch.Add(at), turn)
	}
	return maxInWindow(f.runs, tolerance.Window)
}

// A workspace below its quota: runners refuse each request after a time, its caller sends it once more 0.3 s
// later, and that one runs. At up to 70% of the quota, at most one in a hundred is refused for it.
func TestWorkspaceBelowItsQuotaIsServedAfterRefusals(t *testing.T) {
	for _, refusedAfter := range []time.Duration{300 * time.Millisecond, 800 * time.Millisecond} {
		for _, share := range []float64{0.45, 0.55, 0.7} {
			refused, sent := playRetries(share, refusedAfter)
			t.Logf("refused by runners after %s, %.2f of the quota: %d of %d refused for the quota", refusedAfter, share, refused, sent)
			must.LessEq(t, 0.01, float64(refused)/float64(sent))
		}
	}
}

func playRetries(share float64, refusedAfter time.Duration) (refused, sent int) {
	const rate, mean, hosts = 30_000.0, 2000.0, 63
	type send struct {
		at    time.Duration
		retry bool
	}
	f := newFleet(tokens(rate), hosts)
	rng := rand.New(rand.NewPCG(5, 6))
	var sends []send
	for at := time.Duration(0); at < 30*time.Second; {
		at += time.Duration(rng.ExpFloat64() * mean / (share * rate) * float64(time.Second))
		sends = append(sends, send{at: at})
	}
	var returns returnInOrder
	for ; len(sends) > 0; sent++ {
		slices.SortFunc(sends, func(a, b send) int { return int(a.at - b.at) })
		next := sends[0]
		sends = sends[1:]
		returns.until(f, next.at)
		f.refuseHeld(refusedAfter, epoch.Add(next.at))
		f.refusedAfter = refusedAfter
		if next.retry {
			f.refusedAfter = 0
		}
		if !f.request(rng.IntN(hosts), 200+rng.Float64()*2*(mean-200), epoch.Add(next.at), sent) {
			refused++
			continue
		}
		if !next.retry {
			sends = append(sends, send{at: next.at + refusedAfter + 300*time.Millisecond, retry: true})
		}
	}
	return refused, sent
}

// A part begins with an empty bucket on a new host. Units that were granted before are not taken back
// there: the host that granted them may have granted its whole burst since.
func TestUnitsFromBeforeABucketAreNotTakenBack(t *testing.T) {
	limit := Limit{Rate: 100, Burst: 1000}
	b := newBucket(epoch)
	b.take(GrantRequest{Returned: 500, ReturnedAge: 2 * time.Second}, limit, epoch.Add(time.Second))
	must.Eq(t, 100, b.level)
	b.take(GrantRequest{Returned: 500, ReturnedAge: time.Second}, limit, epoch.Add(time.Second))
	must.Eq(t, 600, b.level)
}

// Calls reach a bucket in another order than they read the clock.
func TestReturnWithAnOlderClockIsTaken(t *testing.T) {
	limit := Limit{Rate: 100, Burst: 1000}
	for _, late := range []time.Duration{time.Millisecond, 300 * time.Millisecond, 5 * time.Second} {
		for _, age := range []time.Duration{0, maxReturnAge, maxReturnAge + time.Second} {
			b := newBucket(epoch.Add(-time.Hour))
			b.take(GrantRequest{Cost: 800}, limit, epoch)
			b.take(GrantRequest{Returned: 100, ReturnedAge: age}, limit, epoch.Add(-late))
			must.LessEq(t, 1000, b.level)
		}
	}
}
