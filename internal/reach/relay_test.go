package reach

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cherrystage/cherrystage/internal/standin"
	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
)

const testKey = "0123456789abcdef"

// relayTest is a network of host a, which asks, hosts b and c, which relay, and runner r.
type relayTest struct {
	net       *standin.Network
	connector *Connector
	relays    map[string]*Relay
	// accepted receives the runner's ends of connections.
	accepted chan net.Conn
}

func withRelays(t *testing.T, run func(t *testing.T, w *relayTest)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := &relayTest{net: standin.NewNetwork(), relays: map[string]*Relay{}, accepted: make(chan net.Conn, 16)}
		runner, err := w.net.Host("r").Listen("80")
		must.NoError(t, err)
		go func() {
			for {
				conn, err := runner.Accept()
				if err != nil {
					return
				}
				w.accepted <- conn
			}
		}()
		listeners := []net.Listener{runner}
		for _, name := range []string{"b", "c"} {
			listener, err := w.net.Host(name).Listen("71")
			must.NoError(t, err)
			listeners = append(listeners, listener)
			w.relays[name] = &Relay{
				Key: []byte(testKey), Dial: w.net.Host(name).Dial, Reaches: func(string) bool { return true },
				IsRunner: func(address string) bool { return address == "r:80" }, Log: hclog.NewNullLogger(),
			}
			server := w.relays[name].Server()
			go func() { _ = server.Serve(listener) }()
		}
		w.connector = NewConnector(ConnectorDeps{
			Dial: w.net.Host("a").Dial, DialHost: w.net.Host("a").Dial, Key: []byte(testKey), Runners: func() []string { return []string{"r:80"} },
			Relays: func(string) []RelayHost { return []RelayHost{{"b", "b:71"}, {"c", "c:71"}} }, Now: time.Now, Log: hclog.NewNullLogger(),
		})
		run(t, w)
		for _, listener := range listeners {
			_ = listener.Close()
		}
		w.net.Close()
		time.Sleep(time.Minute)
	})
}

func (w *relayTest) dialRelayed(t *testing.T) net.Conn {
	t.Helper()
	conn, err := w.connector.DialRelayed(t.Context(), "tcp", "r:80")
	must.NoError(t, err)
	return conn
}

// What the host and the runner send passes through the tunnel unchanged.
func TestTunnelCarriesBothDirections(t *testing.T) {
	withRelays(t, func(t *testing.T, w *relayTest) {
		conn := w.dialRelayed(t)
		must.Eq(t, "b", RelayOf(conn))
		runner := <-w.accepted
		go func() { _, _ = io.WriteString(conn, "request\n") }()
		text, err := bufio.NewReader(runner).ReadString('\n')
		must.NoError(t, err)
		must.Eq(t, "request\n", text)
		go func() { _, _ = io.WriteString(runner, "answer\n") }()
		text, err = bufio.NewReader(conn).ReadString('\n')
		must.NoError(t, err)
		must.Eq(t, "answer\n", text)
	})
}

// A caller leaves, so its host closes the tunnel. The runner must learn of it at once, or it works
// for nobody.
func TestRunnerLearnsThatTheHostHasClosed(t *testing.T) {
	withRelays(t, func(t *testing.T, w *relayTest) {
		conn := w.dialRelayed(t)
		runner := <-w.accepted
		began := time.Now()
		must.NoError(t, conn.Close())
		_, err := runner.Read(make([]byte, 1))
		must.Error(t, err)
		must.Less(t, 100*time.Millisecond, time.Since(began))
		time.Sleep(2 * time.Second)
		must.Eq(t, 0, w.relays["b"].Open())
	})
}

// The relay is killed while a tunnel is open: the host's end must fail, and not stay silent.
func TestHostLearnsThatTheRelayIsGone(t *testing.T) {
	withRelays(t, func(t *testing.T, w *relayTest) {
		conn := w.dialRelayed(t)
		w.net.KillHost("b")
		_, err := conn.Read(make([]byte, 1))
		must.Error(t, err)
	})
}

// A relay that cannot serve, for whichever reason, is followed by the next.
func TestNextRelayIsAskedWhereOneCannotServe(t *testing.T) {
	for name, fail := range map[string]func(w *relayTest){
		"does not reach the runner":       func(w *relayTest) { w.net.Partition("b", "r") },
		"its path to the runner hangs":    func(w *relayTest) { w.net.Hang("b", "r") },
		"knows that it does not reach it": func(w *relayTest) { w.relays["b"].Reaches = func(string) bool { return false } },
		"does not know the runner":        func(w *relayTest) { w.relays["b"].IsRunner = func(string) bool { return false } },
		"stops":                           func(w *relayTest) { w.relays["b"].Close() },
		"is gone":                         func(w *relayTest) { w.net.KillHost("b") },
		"is silent":                       func(w *relayTest) { w.net.Hang("a", "b") },
		"has another key":                 func(w *relayTest) { w.relays["b"].Key = []byte("another") },
	} {
		t.Run(name, func(t *testing.T) {
			withRelays(t, func(t *testing.T, w *relayTest) {
				fail(w)
				must.Eq(t, "c", RelayOf(w.dialRelayed(t)))
				must.Eq(t, 0, w.relays["b"].Open())
			})
		})
	}
}

// No host reaches the runner: the search for a relay ends in time for an answer to the caller.
func TestSearchForARelayEnds(t *testing.T) {
	withRelays(t, func(t *testing.T, w *relayTest) {
		w.net.Hang("r", "*")
		began := time.Now()
		_, err := w.connector.DialRelayed(t.Context(), "tcp", "r:80")
		must.ErrorIs(t, err, errNoTunnel)
		must.LessEq(t, relayedDialTimeout, time.Since(began))
		must.False(t, w.connector.MayRelay("r:80"))
	})
}

// Tunnels lead to runners only; a host that asks for another address gets none.
func TestRelayConnectsToRunnersOnly(t *testing.T) {
	withRelays(t, func(t *testing.T, w *relayTest) {
		_, err := openTunnel(t.Context(), w.net.Host("a").Dial, []byte(testKey), "b:71", "c:71")
		must.ErrorIs(t, err, errNoTunnel)
		must.Eq(t, 0, w.relays["c"].Opened())
	})
}

// The number of tunnels that a relay holds is bounded, for its own callers' sake.
func TestRelayBoundsItsTunnels(t *testing.T) {
	withRelays(t, func(t *testing.T, w *relayTest) {
		w.relays["b"].open.Store(maxTunnels)
		must.Eq(t, "c", RelayOf(w.dialRelayed(t)))
		must.Eq(t, maxTunnels, w.relays["b"].Open())
	})
}

// A runner's connection breaks off in the middle of a response that has no length. Through the
// tunnel it must not look like the regular end of the connection.
func TestResetOfTheRunnerReachesTheHost(t *testing.T) {
	runner, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer func() { _ = runner.Close() }()
	go func() {
		conn, err := runner.Accept()
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, "part")
		time.Sleep(50 * time.Millisecond)
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}()
	relay := &Relay{Key: []byte(testKey), Dial: (&net.Dialer{}).DialContext, Reaches: func(string) bool { return true }, IsRunner: func(string) bool { return true }, Log: hclog.NewNullLogger()}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer func() { _ = listener.Close() }()
	go func() { _ = relay.Server().Serve(listener) }()
	conn, err := openTunnel(t.Context(), (&net.Dialer{}).DialContext, []byte(testKey), listener.Addr().String(), runner.Addr().String())
	must.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = io.ReadAll(conn)
	must.True(t, errors.Is(err, syscall.ECONNRESET), must.Sprintf("%v", err))
}

// Only CONNECT is served.
func TestRelayServesNothingElse(t *testing.T) {
	withRelays(t, func(t *testing.T, w *relayTest) {
		client := &http.Client{Transport: &http.Transport{DialContext: w.net.Host("a").Dial, DisableKeepAlives: true}}
		response, err := client.Get("http://b:71/")
		must.NoError(t, err)
		defer func() { _ = response.Body.Close() }()
		must.Eq(t, http.StatusMethodNotAllowed, response.StatusCode)
	})
}

// The direct path is regained: a probe notices, though no request tries it.
func TestProbesNoticeThatThePathIsBack(t *testing.T) {
	withRelays(t, func(t *testing.T, w *relayTest) {
		ctx, cancel := context.WithCancel(t.Context())
		go w.connector.Run(ctx)
		w.net.Partition("a", "r")
		_, err := w.connector.DialDirect(t.Context(), "tcp", "r:80")
		must.Error(t, err)
		_ = w.dialRelayed(t).Close()
		time.Sleep(2 * time.Second)
		must.False(t, w.connector.Direct("r:80"))
		w.net.Heal("a", "r")
		time.Sleep(2 * probeInterval)
		must.True(t, w.connector.Direct("r:80"))
		probes := w.connector.Probes()
		time.Sleep(5 * time.Second)
		must.Eq(t, probes, w.connector.Probes(), must.Sprint("probes of a path that works"))
		cancel()
	})
}

// A runner that sends nothing while requests wait for it may be behind a cut that drops packets.
func TestSilentRunnerIsProbedOnceASecond(t *testing.T) {
	withRelays(t, func(t *testing.T, w *relayTest) {
		w.net.Hang("a", "r")
		for range 10 {
			w.connector.ProbeSilent(t.Context(), "r:80")
		}
		time.Sleep(connectTimeout)
		synctest.Wait()
		must.Eq(t, 1, w.connector.Probes())
		must.False(t, w.connector.Paths.Works("r:80"))
	})
}

// A relay, or what has its address now, answers with a head that is none of HTTP. No tunnel may be believed in.
func TestMalformedAnswerOpensNoTunnel(t *testing.T) {
	for _, malformed := range standin.MalformedAnswers {
		_, err := openTunnel(t.Context(), standin.DialAnswering(malformed.Text("200 OK", "", "")), []byte(testKey), "relay:71", "runner:80")
		must.Error(t, err, must.Sprint(malformed.Name))
	}
	conn, err := openTunnel(t.Context(), standin.DialAnswering("HTTP/1.1 200 OK\r\n\r\n"), []byte(testKey), "relay:71", "runner:80")
	must.NoError(t, err)
	_ = conn.Close()
}
