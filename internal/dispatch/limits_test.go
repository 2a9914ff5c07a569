package dispatch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
)

func TestRetryBudgetBoundsRetries(t *testing.T) {
	// A target fails every request. Retries stay within a fifth of the
	// requests, plus the initial tokens, so that they do not overload the
	// target further.
	budget := NewRetryBudget(0.2)
	retries := 0
	for range 1000 {
		budget.AddRequest()
		if budget.TryRetry() {
			retries++
		}
	}
	must.LessEq(t, 1000/5+initialRetryTokens, retries)
	must.GreaterEq(t, 1000/5, retries)
}

func TestBreakerProbesWithSingleRequest(t *testing.T) {
	// A target has failed three times. It is avoided; after the open time one
	// request probes it, and the others stay away until that one has ended.
	now := time.Unix(0, 0)
	b := NewBreakers()
	for range failuresToOpen {
		must.True(t, b.Allow("r", now))
		b.Record("r", false, now)
	}
	must.False(t, b.Allow("r", now))
	now = now.Add(minOpenTime)
	must.True(t, b.Allow("r", now))
	must.False(t, b.Allow("r", now))
	must.True(t, b.IsOpen("r", now))
	b.Record("r", false, now)
	must.False(t, b.Allow("r", now.Add(minOpenTime)))
	now = now.Add(2 * minOpenTime)
	must.True(t, b.Allow("r", now))
	b.Record("r", true, now)
	must.True(t, b.Allow("r", now))
	must.True(t, b.Allow("r", now))
}

func TestBurstOfOneCallerDoesNotStarveAnother(t *testing.T) {
	// One caller has a hundred requests waiting when another's first arrives.
	// The newcomer gets the second slot, and every second one from then on.
	q := newFairQueue()
	for range 100 {
		q.push(AdmissionRequest{Caller: "digests"})
	}
	for range 3 {
		q.push(AdmissionRequest{Caller: "gauge"})
	}
	var order []string
	for range 6 {
		order = append(order, q.pop().request.Caller)
	}
	must.SliceContainsAll(t, []string{"digests", "gauge", "digests", "gauge", "digests", "gauge"}, order)
	must.Eq(t, "gauge", order[1])
}

func TestHigherPriorityIsAdmittedFirst(t *testing.T) {
	q := newFairQueue()
	q.push(AdmissionRequest{Caller: "a", Priority: 0})
	q.push(AdmissionRequest{Caller: "b", Priority: 5})
	must.Eq(t, "b", q.pop().request.Caller)
}

func TestGateRefusesExcessWaitEarly(t *testing.T) {
	// All slots are taken for long and others wait. A new request that would
	// wait longer than allowed is refused at once, with a retry time; one that
	// is queued and not admitted within the maximum wait is refused then.
	synctest.Test(t, func(t *testing.T) {
		gate := NewGate(1, 10, 3*time.Second, 2*time.Second)
		must.NoError(t, gate.Acquire(context.Background(), AdmissionRequest{Caller: "a"}))
		waited := make(chan error, 1)
		go func() { waited <- gate.Acquire(context.Background(), AdmissionRequest{Caller: "a"}) }()
		synctest.Wait()
		began := time.Now()
		err := gate.Acquire(context.Background(), AdmissionRequest{Caller: "a"})
		var full *OverloadError
		must.True(t, errors.As(err, &full))
		must.Eq(t, 0, time.Since(began))
		must.Eq(t, 4*time.Second, full.RetryAfter)
		must.Error(t, <-waited)
		must.Eq(t, 3*time.Second, time.Since(began))
	})
}

func TestGateAdmitsWaitersOnRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate := NewGate(2, 10, time.Minute, time.Second)
		for i := range 8 {
			go func() {
				must.NoError(t, gate.Acquire(context.Background(), AdmissionRequest{Caller: "a"}))
				time.Sleep(time.Duration(i+1) * time.Second)
				gate.Release(time.Second)
			}()
		}
		time.Sleep(time.Minute)
		must.Eq(t, 0, gate.InUse())
		must.Eq(t, 0, gate.Waiting())
	})
}
