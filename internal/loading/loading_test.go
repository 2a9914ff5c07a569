package loading

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestSharesAreNeverUsedTwice(t *testing.T) {
	// Four hosts lend their shares first to one coordinator, then to another
	// whose membership view differs, with partitions in between. Whatever each
	// host assumes, the loads in total stay within the allowance.
	const hosts, perSecond = 4, 4.0
	now := time.Unix(0, 0)
	var all []*Allowance
	for range hosts {
		a := NewAllowance(perSecond, hosts, now)
		a.SetOwnShares(1, true, now)
		all = append(all, a)
	}
	loads := 0
	const step = 10 * time.Millisecond
	const steps = 6000
	for i := range steps {
		now = now.Add(step)
		borrower := (i / 700) % hosts
		if i%100 == 0 && (i/1000)%2 == 0 {
			for from, lender := range all {
				if from == borrower {
					continue
				}
				// The answer takes a while: the loan starts when it is
				// requested.
				asked := now.Add(-200 * time.Millisecond)
				if shares := lender.Lend(fmt.Sprint(borrower), now, loanDuration); shares > 0 {
					all[borrower].AddLoan(fmt.Sprint(from), shares, asked, loanDuration, now)
				}
			}
		}
		for _, a := range all {
			if a.TryTake(now) {
				loads++
			}
		}
	}
	seconds := (step * steps).Seconds()
	must.LessEq(t, int(perSecond*seconds)+hosts, loads)
	must.GreaterEq(t, int(perSecond*seconds*0.7), loads)
}

func TestWaitingCallersPrecedePrefetches(t *testing.T) {
	now := time.Unix(0, 0)
	a := NewAllowance(1000, 1, now)
	a.SetOwnShares(1, true, now)
	q := NewQueue(1, a, time.Second)
	prefetch := q.Enqueue(Request{Model: "f", Class: ClassPrefetch, Value: 9, Since: now})
	low := q.Enqueue(Request{Model: "l", Class: ClassWaiting, Since: now})
	high := q.Enqueue(Request{Model: "h", Class: ClassWaiting, Priority: 5, Since: now.Add(time.Second)})
	var order []uint64
	for range 3 {
		now = now.Add(time.Second)
		for _, ticket := range []uint64{prefetch, low, high} {
			if q.TryPermit(ticket, now, time.Minute) {
				order = append(order, ticket)
				q.Done(ticket, "x", true, time.Second, now)
			}
		}
	}
	must.Eq(t, []uint64{high, low, prefetch}, order)
}

func TestFailingModelDoesNotExhaustAllowance(t *testing.T) {
	// A model's loads always fail. From the third failure on they back off, while
	// other models keep loading.
	now := time.Unix(0, 0)
	a := NewAllowance(1000, 1, now)
	a.SetOwnShares(1, true, now)
	q := NewQueue(1, a, time.Second)
	attempts := 0
	for range 600 {
		now = now.Add(time.Second)
		ticket := q.Enqueue(Request{Model: "broken", Class: ClassWaiting, Since: now})
		if q.TryPermit(ticket, now, time.Minute) {
			attempts++
			q.Done(ticket, "broken", false, time.Second, now)
		}
		now = now.Add(10 * time.Millisecond)
		// The failing model still waits, and must not block the other one.
		other := q.Enqueue(Request{Model: "whole", Class: ClassWaiting, Since: now})
		must.True(t, q.TryPermit(other, now, time.Minute))
		q.Done(other, "whole", true, time.Second, now)
		q.Remove(ticket)
	}
	must.LessEq(t, 12, attempts)
	must.Positive(t, q.Backoff("broken", now))
}

func TestUnreturnedPermitExpires(t *testing.T) {
	now := time.Unix(0, 0)
	a := NewAllowance(1000, 1, now)
	a.SetOwnShares(1, true, now)
	q := NewQueue(1, a, time.Second)
	now = now.Add(time.Second)
	must.True(t, q.TryPermit(q.Enqueue(Request{Model: "a", Class: ClassWaiting}), now, 10*time.Second))
	next := q.Enqueue(Request{Model: "b", Class: ClassWaiting})
	must.False(t, q.TryPermit(next, now.Add(9*time.Second), time.Minute))
	must.True(t, q.TryPermit(next, now.Add(10*time.Second), time.Minute))
}

func TestClaimsDivideShares(t *testing.T) {
	hasEnded := func(owner Owner) bool { return owner.Host == "dead" }
	claims := Claims{Shares: []Owner{{Host: "dead", Incarnation: "1"}, {Host: "b", Incarnation: "1"}}}
	self := Owner{Host: "a", Incarnation: "1"}
	next, changed := claims.Claim(self, 8, 2, hasEnded)
	must.True(t, changed)
	must.Eq(t, 4, next.Count(self))
	must.Eq(t, 1, next.Count(Owner{Host: "b", Incarnation: "1"}))
	fewer, changed := next.Claim(self, 8, 4, hasEnded)
	must.True(t, changed)
	must.Eq(t, 2, fewer.Count(self))
	must.Eq(t, 0, fewer.Release(self).Count(self))
}
