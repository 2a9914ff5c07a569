package loading

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestSharesAreNeverUsedTwice(t *testing.T) {
	// Four hosts lend their shares to one that orders loads, then to another
	// whose view differs, and are cut off in between. Whatever each believes,
	// the loads of any window stay within the whole allowance.
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
				// The answer takes a while: the loan counts from the asking.
				asked := now.Add(-200 * time.Millisecond)
				if shares := lender.Lend(fmt.Sprint(borrower), now, loanLife); shares > 0 {
					all[borrower].Borrowed(fmt.Sprint(from), shares, asked, loanLife, now)
				}
			}
		}
		for _, a := range all {
			if a.Take(now) {
				loads++
			}
		}
	}
	seconds := (step * steps).Seconds()
	must.LessEq(t, int(perSecond*seconds)+hosts, loads)
	must.GreaterEq(t, int(perSecond*seconds*0.7), loads)
}

func TestWaitingCallersGoBeforeForeseenNeeds(t *testing.T) {
	now := time.Unix(0, 0)
	a := NewAllowance(1000, 1, now)
	a.SetOwnShares(1, true, now)
	q := NewQueue(1, a, time.Second)
	foreseen := q.Join(Ask{Model: "f", Class: ClassForeseen, Value: 9, Since: now})
	low := q.Join(Ask{Model: "l", Class: ClassWaiting, Since: now})
	high := q.Join(Ask{Model: "h", Class: ClassWaiting, Priority: 5, Since: now.Add(time.Second)})
	var order []uint64
	for range 3 {
		now = now.Add(time.Second)
		for _, ticket := range []uint64{foreseen, low, high} {
			if q.Permit(ticket, now, time.Minute) {
				order = append(order, ticket)
				q.Done(ticket, "x", true, time.Second, now)
			}
		}
	}
	must.Eq(t, []uint64{high, low, foreseen}, order)
}

func TestBrokenWeightsDoNotEatTheAllowance(t *testing.T) {
	// A model's loads fail every time. After two more tries it is put off for
	// longer and longer, while other models go on loading.
	now := time.Unix(0, 0)
	a := NewAllowance(1000, 1, now)
	a.SetOwnShares(1, true, now)
	q := NewQueue(1, a, time.Second)
	tries := 0
	for range 600 {
		now = now.Add(time.Second)
		ticket := q.Join(Ask{Model: "broken", Class: ClassWaiting, Since: now})
		if q.Permit(ticket, now, time.Minute) {
			tries++
			q.Done(ticket, "broken", false, time.Second, now)
		}
		now = now.Add(10 * time.Millisecond)
		// The broken one still waits, and must not hold up the other.
		other := q.Join(Ask{Model: "whole", Class: ClassWaiting, Since: now})
		must.True(t, q.Permit(other, now, time.Minute))
		q.Done(other, "whole", true, time.Second, now)
		q.Leave(ticket)
	}
	must.LessEq(t, 12, tries)
	must.Positive(t, q.Broken("broken", now))
}

func TestPermitThatIsNotGivenBackRunsOut(t *testing.T) {
	now := time.Unix(0, 0)
	a := NewAllowance(1000, 1, now)
	a.SetOwnShares(1, true, now)
	q := NewQueue(1, a, time.Second)
	now = now.Add(time.Second)
	must.True(t, q.Permit(q.Join(Ask{Model: "a", Class: ClassWaiting}), now, 10*time.Second))
	next := q.Join(Ask{Model: "b", Class: ClassWaiting})
	must.False(t, q.Permit(next, now.Add(9*time.Second), time.Minute))
	must.True(t, q.Permit(next, now.Add(10*time.Second), time.Minute))
}

func TestClaimsDivideTheShares(t *testing.T) {
	ended := func(owner Owner) bool { return owner.Host == "dead" }
	claims := Claims{Shares: []Owner{{Host: "dead", Incarnation: "1"}, {Host: "b", Incarnation: "1"}}}
	self := Owner{Host: "a", Incarnation: "1"}
	next, changed := claims.Claim(self, 8, 2, ended)
	must.True(t, changed)
	must.Eq(t, 4, next.Count(self))
	must.Eq(t, 1, next.Count(Owner{Host: "b", Incarnation: "1"}))
	fewer, changed := next.Claim(self, 8, 4, ended)
	must.True(t, changed)
	must.Eq(t, 2, fewer.Count(self))
	must.Eq(t, 0, fewer.Release(self).Count(self))
}
