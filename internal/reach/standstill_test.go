package reach

import (
	"context"
	"testing"
	"time"

	"github.com/cherrystage/cherrystage/internal/awake"
	"github.com/cherrystage/cherrystage/internal/standin"
	"github.com/shoenig/test/must"
)

// withSuspension runs a test in which host a is suspended 10 ms after the test began.
func withSuspension(t *testing.T, run func(t *testing.T, w *relayTest, length time.Duration)) {
	t.Helper()
	for _, length := range []time.Duration{1500 * time.Millisecond, 3 * time.Second} {
		withRelays(t, func(t *testing.T, w *relayTest) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			process := standin.StartProcess(ctx)
			w.connector.Running = awake.Clock{Now: time.Now, Standstill: &process.Monitor}
			time.AfterFunc(10*time.Millisecond, func() {
				process.Suspend(length)
				w.net.Silence("a", length-10*time.Millisecond)
			})
			run(t, w, length)
		})
	}
}

// A host is suspended while it connects to a runner. When it wakes, the time limit has passed. The
// runner is sound: if the path counted as failing, the host would use a relay, doubt its paths to all
// runners, and warn others of the runner.
func TestStandstillIsNoFailureOfAPath(t *testing.T) {
	withSuspension(t, func(t *testing.T, w *relayTest, length time.Duration) {
		w.net.Silence("a", length)
		_, err := w.connector.DialDirect(t.Context(), "tcp", "r:80")
		must.ErrorIs(t, err, ErrStoodStill)
		must.True(t, w.connector.Paths.Works("r:80"))
		must.True(t, w.connector.Direct("r:80"))
		time.Sleep(length)
		conn, err := w.connector.DialDirect(t.Context(), "tcp", "r:80")
		must.NoError(t, err)
		_ = conn.Close()
	})
}

// A host is suspended while it connects through another host. If no relay counted as reaching the
// runner, the host would take the runner for gone, count its responses that broke off as crashes, and
// warn others of it.
func TestStandstillIsNoFailureOfARelay(t *testing.T) {
	withSuspension(t, func(t *testing.T, w *relayTest, length time.Duration) {
		w.connector.Paths.DirectFailed("r:80", 20, false, time.Now())
		w.net.Silence("a", length)
		_, err := w.connector.DialRelayed(t.Context(), "tcp", "r:80")
		must.ErrorIs(t, err, ErrStoodStill)
		must.True(t, w.connector.MayRelay("r:80"))
		must.False(t, w.connector.recentlyFailed("b"))
		time.Sleep(length)
		_ = w.dialRelayed(t).Close()
	})
}

// A runner hangs while the host stands still, and afterwards: the dial after the standstill tells.
func TestPathFailsAfterAStandstill(t *testing.T) {
	withSuspension(t, func(t *testing.T, w *relayTest, length time.Duration) {
		w.net.Hang("a", "r")
		_, err := w.connector.DialDirect(t.Context(), "tcp", "r:80")
		must.ErrorIs(t, err, ErrStoodStill)
		time.Sleep(length)
		_, err = w.connector.DialDirect(t.Context(), "tcp", "r:80")
		must.Error(t, err)
		must.False(t, w.connector.Paths.Works("r:80"))
	})
}
