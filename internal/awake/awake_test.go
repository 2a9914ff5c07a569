package awake

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cherrystage/cherrystage/internal/standin"
	"github.com/cherrystage/cherrystage/internal/standstill"
	"github.com/shoenig/test/must"
)

// withSuspension runs a test with the clock of a process that is suspended for a time after 100 ms.
func withSuspension(t *testing.T, length time.Duration, run func(clock Clock)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		defer time.Sleep(2 * time.Hour)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		process := standin.StartProcess(ctx)
		time.AfterFunc(100*time.Millisecond, func() { process.Suspend(length) })
		run(Clock{Now: time.Now, Standstill: &process.Monitor})
	})
}

// receive waits 250 ms for a value that is there after a delay, and returns how long it waited.
func receive(clock Clock, delay time.Duration) (time.Duration, error) {
	value := make(chan int, 1)
	begin := time.Now()
	go func() {
		time.Sleep(delay)
		value <- 1
	}()
	_, err := Receive(context.Background(), clock.NewLimit(250*time.Millisecond), value)
	return time.Since(begin), err
}

// A process waits for others while it is suspended. What arrived meanwhile is read after it woke.
func TestWaitGoesOnAfterAStandstill(t *testing.T) {
	for _, length := range []time.Duration{1500 * time.Millisecond, 3 * time.Second} {
		withSuspension(t, length, func(clock Clock) {
			waited, err := receive(clock, length+50*time.Millisecond)
			must.NoError(t, err)
			must.Eq(t, length+50*time.Millisecond, waited)
		})
	}
}

// What does not arrive either in the time in which the process was running is not waited for.
func TestWaitEndsAfterTheTimeAwake(t *testing.T) {
	withSuspension(t, 1500*time.Millisecond, func(clock Clock) {
		waited, err := receive(clock, 10*time.Second)
		must.ErrorIs(t, err, ErrExpired)
		must.Between(t, 1600*time.Millisecond, waited, 1900*time.Millisecond)
	})
	withSuspension(t, 0, func(Clock) {
		waited, err := receive(Clock{}, time.Second)
		must.ErrorIs(t, err, ErrExpired)
		must.Eq(t, 250*time.Millisecond, waited)
	})
}

// A process that stops does not tell its monitor any more that it runs: its waits end nevertheless.
func TestWaitOfAStoppedProcessEnds(t *testing.T) {
	withSuspension(t, time.Hour, func(clock Clock) {
		limit := clock.NewLimit(250 * time.Millisecond)
		begin := time.Now()
		ctx, cancel := context.WithTimeout(context.Background(), 250*time.Millisecond)
		defer cancel()
		err := limit.Await(ctx, func(ctx context.Context) error {
			<-ctx.Done()
			return ctx.Err()
		})
		must.ErrorIs(t, err, context.DeadlineExceeded)
		must.Less(t, maxExtension+time.Second, time.Since(begin))
		waited, err := receive(clock, time.Hour)
		must.ErrorIs(t, err, ErrExpired)
		must.Less(t, maxExtension+time.Second, waited)
	})
}

// A process is suspended right after it asked a question that is to be answered within 50 ms. The
// monitor counts up to 75 ms of the suspension as time in which the process was running; if that
// ended the wait, no short wait would outlast a standstill.
func TestShortLimitOutlastsAStandstill(t *testing.T) {
	epoch := time.Unix(1000, 0)
	now := epoch
	m := &standstill.Monitor{}
	m.Tick(now)
	clock := Clock{Now: func() time.Time { return now }, Standstill: m}
	limit := clock.NewLimit(50 * time.Millisecond)
	now = epoch.Add(49 * time.Millisecond)
	must.Eq(t, time.Millisecond, limit.Left())
	now = epoch.Add(1500 * time.Millisecond)
	must.Positive(t, limit.Left())
	for range 3 {
		now = now.Add(standstill.Interval)
		m.Tick(now)
	}
	must.NonPositive(t, limit.Left())
}

// A process that is a little late now and then was running for most of a time limit: what did not
// happen within the limit counts.
func TestSmallDelaysAreNoStandstill(t *testing.T) {
	now := time.Unix(1000, 0)
	m := &standstill.Monitor{}
	m.Tick(now)
	limit := Clock{Now: func() time.Time { return now }, Standstill: m}.NewLimit(400 * time.Millisecond)
	for range 5 {
		now = now.Add(80 * time.Millisecond)
		must.Eq(t, 5*time.Millisecond, m.Tick(now))
	}
	must.False(t, limit.StoodStill())
	now = now.Add(time.Second)
	must.False(t, limit.StoodStill(), must.Sprint("a standstill after the limit had passed"))
}
