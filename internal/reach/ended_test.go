package reach

import (
	"context"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// A response ends with its connection, and the host asks whether the runner's process has ended with
// it. If it says so of a runner that lives, a caller gets an error instead of a whole answer.
func TestOnlyARunnerThatNobodyReachesHasEnded(t *testing.T) {
	for name, row := range map[string]struct {
		fail  func(w *relayTest)
		ended bool
	}{
		"lives":                          {func(*relayTest) {}, false},
		"has ended":                      {func(w *relayTest) { w.net.KillHost("r") }, true},
		"is silent":                      {func(w *relayTest) { w.net.Hang("a", "r") }, false},
		"refuses this host only":         {func(w *relayTest) { w.net.RefuseNew("a", "r") }, false},
		"refuses this host and a relay":  {func(w *relayTest) { w.net.RefuseNew("a", "r"); w.net.RefuseNew("b", "r") }, false},
		"has ended, and relays are gone": {func(w *relayTest) { w.net.KillHost("r"); w.net.KillHost("b"); w.net.KillHost("c") }, true},
		"resets connections beyond its limit": {func(w *relayTest) {
			w.connector.Dial = func(context.Context, string, string) (net.Conn, error) { return nil, syscall.ECONNRESET }
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			withRelays(t, func(t *testing.T, w *relayTest) {
				row.fail(w)
				began := time.Now()
				must.Eq(t, row.ended, w.connector.Ended(t.Context(), "r:80"))
				must.LessEq(t, endCheckTimeout, time.Since(began))
			})
		})
	}
}

// The same over TCP: the kernel refuses for a process that has ended, and a spare carries a request.
func TestEndOfARunnerOverTCP(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	address := listener.Addr().String()
	connector := DirectOnly((&net.Dialer{}).DialContext)
	must.False(t, connector.Ended(t.Context(), address))
	runner, err := listener.Accept()
	must.NoError(t, err)
	conn, err := connector.DialDirect(t.Context(), "tcp", address)
	must.NoError(t, err)
	must.Eq(t, 1, connector.Dialed())
	_, err = conn.Write([]byte("x"))
	must.NoError(t, err)
	_, err = runner.Read(make([]byte, 1))
	must.NoError(t, err)
	must.NoError(t, runner.Close())
	_, err = conn.Read(make([]byte, 1))
	must.ErrorIs(t, err, io.EOF)
	must.NoError(t, listener.Close())
	must.True(t, connector.Ended(t.Context(), address))
}

// The check gives up long before a usual connection does: that shows nothing of the path.
func TestSilentCheckDoesNotBlameThePath(t *testing.T) {
	withRelays(t, func(t *testing.T, w *relayTest) {
		w.net.Hang("a", "r")
		must.False(t, w.connector.Ended(t.Context(), "r:80"))
		must.True(t, w.connector.Paths.Works("r:80"))
	})
}

// The connection of a check serves the next request, so that checks cost no connections.
func TestConnectionOfACheckIsUsed(t *testing.T) {
	withRelays(t, func(t *testing.T, w *relayTest) {
		must.False(t, w.connector.Ended(t.Context(), "r:80"))
		runner := <-w.accepted
		time.Sleep(spareTimeout - time.Second)
		conn := w.dialDirect(t)
		must.Eq(t, 1, w.connector.Dialed())
		go func() { _, _ = conn.Write([]byte("x")) }()
		_, err := runner.Read(make([]byte, 1))
		must.NoError(t, err)
		time.Sleep(2 * spareTimeout)
		go func() { _, _ = runner.Write([]byte("y")) }()
		_, err = conn.Read(make([]byte, 1))
		must.NoError(t, err)
	})
}

// A relay that passed a spare on would prove that a runner lives which may have gone since.
func TestRelaysConnectAnew(t *testing.T) {
	withRelays(t, func(t *testing.T, w *relayTest) {
		must.False(t, w.connector.Ended(t.Context(), "r:80"))
		_, err := w.connector.DialNew(t.Context(), "tcp", "r:80")
		must.NoError(t, err)
		must.Eq(t, 2, w.connector.Dialed())
	})
}

// A request on a spare that its runner has left would be lost.
func TestSpareThatIsNotSoundIsNotUsed(t *testing.T) {
	for name, spoil := range map[string]func(w *relayTest, runner net.Conn){
		"the runner closed it":    func(_ *relayTest, runner net.Conn) { _ = runner.Close() },
		"the runner sent a byte":  func(_ *relayTest, runner net.Conn) { _, _ = runner.Write([]byte("x")) },
		"it timed out":            func(*relayTest, net.Conn) { time.Sleep(spareTimeout) },
		"the path fails meantime": func(w *relayTest, _ net.Conn) { w.connector.Paths.DirectFailed("r:80", 9, false, time.Now()) },
	} {
		t.Run(name, func(t *testing.T) {
			withRelays(t, func(t *testing.T, w *relayTest) {
				must.False(t, w.connector.Ended(t.Context(), "r:80"))
				spoil(w, <-w.accepted)
				time.Sleep(time.Millisecond)
				_ = w.dialDirect(t)
				must.Eq(t, 2, w.connector.Dialed())
			})
		})
	}
}

// A host stands still for longer than a spare lives: that it is too old shows before its read times
// out.
func TestSpareOfAHostThatStoodStillIsNotUsed(t *testing.T) {
	withRelays(t, func(t *testing.T, w *relayTest) {
		near, far := net.Pipe()
		defer func() { _ = far.Close() }()
		old := &spare{conn: near, openedAt: time.Now(), readEnded: make(chan error, 1)}
		must.True(t, w.connector.spares.add("r:80", old))
		time.Sleep(spareTimeout)
		must.Nil(t, w.connector.spares.take("r:80"))
		_, err := near.Read(make([]byte, 1))
		must.Error(t, err)
	})
}

// Spares of many checks in a row: their number is bounded, and unused ones are closed.
func TestSparesAreBoundedAndClosed(t *testing.T) {
	withRelays(t, func(t *testing.T, w *relayTest) {
		for range maxSparesPerRunner + 3 {
			must.False(t, w.connector.Ended(t.Context(), "r:80"))
		}
		must.Eq(t, maxSparesPerRunner, w.spares())
		time.Sleep(spareTimeout + time.Millisecond)
		must.Eq(t, 0, w.spares())
		for range maxSparesPerRunner + 3 {
			_, err := (<-w.accepted).Read(make([]byte, 1))
			must.Error(t, err)
		}
	})
}

func (w *relayTest) dialDirect(t *testing.T) net.Conn {
	t.Helper()
	conn, err := w.connector.DialDirect(t.Context(), "tcp", "r:80")
	must.NoError(t, err)
	return conn
}

// spares returns the number of spares for the runner.
func (w *relayTest) spares() int {
	w.connector.spares.mu.Lock()
	defer w.connector.spares.mu.Unlock()
	return len(w.connector.spares.byAddress["r:80"])
}
