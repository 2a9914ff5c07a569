package reach

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/cherrystage/cherrystage/internal/resetconn"
	"github.com/hashicorp/go-hclog"
	"github.com/shoenig/test/must"
)

// relayProcessVariable makes the test binary run as a relay instead of the tests.
const relayProcessVariable = "CHERRYSTAGE_TEST_RELAY"

func TestMain(m *testing.M) {
	if os.Getenv(relayProcessVariable) != "" {
		runRelayProcess()
		return
	}
	os.Exit(m.Run())
}

// runRelayProcess serves a relay, prints its address, and ends on SIGTERM with tunnels open, as a host does
// whose time to stop is over.
func runRelayProcess() {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	relay := newTCPRelay()
	go func() { _ = relay.Server().Serve(listener) }()
	terminated := make(chan os.Signal, 1)
	signal.Notify(terminated, syscall.SIGTERM)
	fmt.Println(listener.Addr())
	<-terminated
	relay.Close()
}

// dialTCP opens connections as the daemon does.
var dialTCP = resetconn.Dial((&net.Dialer{}).DialContext)

func newTCPRelay() *Relay {
	return &Relay{Key: []byte(testKey), Dial: dialTCP, Reaches: func(string) bool { return true }, IsRunner: func(string) bool { return true }, Log: hclog.NewNullLogger()}
}

// relayProcess is a relay with a process of its own.
type relayProcess struct {
	command *exec.Cmd
	address string
}

func startRelayProcess(t *testing.T) *relayProcess {
	t.Helper()
	command := exec.Command(os.Args[0])
	command.Env = append(os.Environ(), relayProcessVariable+"=1")
	command.Stderr = os.Stderr
	out, err := command.StdoutPipe()
	must.NoError(t, err)
	must.NoError(t, command.Start())
	t.Cleanup(func() {
		_ = command.Process.Kill()
		_ = command.Wait()
	})
	address, err := bufio.NewReader(out).ReadString('\n')
	must.NoError(t, err)
	return &relayProcess{command: command, address: strings.TrimSpace(address)}
}

func (p *relayProcess) signal(signals ...syscall.Signal) {
	for _, next := range signals {
		_ = p.command.Process.Signal(next)
		time.Sleep(50 * time.Millisecond)
	}
}

// openThrough opens a tunnel through a relay, and returns its end and that of the runner.
func openThrough(t *testing.T, relay string) (host net.Conn, runner *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer func() { _ = listener.Close() }()
	host, err = openTunnel(t.Context(), dialTCP, []byte(testKey), relay, listener.Addr().String())
	must.NoError(t, err)
	t.Cleanup(func() { _ = host.Close() })
	accepted, err := listener.Accept()
	must.NoError(t, err)
	t.Cleanup(func() { _ = accepted.Close() })
	return host, accepted.(*net.TCPConn)
}

// A runner answers through a relay without a length, and the relay's process ends in the middle. Its kernel
// ends both connections as if either side had closed them. The runner lives, so the host takes the end for
// that of the answer, and its caller gets a part as a whole answer.
func TestEndOfARelayIsNotTheEndOfAnAnswer(t *testing.T) {
	for name, end := range map[string]func(p *relayProcess, runner net.Conn){
		"is killed":                 func(p *relayProcess, _ net.Conn) { p.signal(syscall.SIGKILL) },
		"is terminated":             func(p *relayProcess, _ net.Conn) { p.signal(syscall.SIGTERM) },
		"is suspended, then killed": func(p *relayProcess, _ net.Conn) { p.signal(syscall.SIGSTOP, syscall.SIGKILL) },
		"is suspended, then terminated": func(p *relayProcess, _ net.Conn) {
			p.signal(syscall.SIGSTOP, syscall.SIGTERM, syscall.SIGCONT)
		},
		"is killed with data to read": func(p *relayProcess, runner net.Conn) {
			p.signal(syscall.SIGSTOP)
			_, _ = io.WriteString(runner, "rest")
			p.signal(syscall.SIGKILL)
		},
		"is killed with data to write": func(p *relayProcess, runner net.Conn) {
			_ = runner.SetWriteDeadline(time.Now().Add(200 * time.Millisecond))
			_, _ = runner.Write(make([]byte, 64<<20))
			p.signal(syscall.SIGKILL)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			relay := startRelayProcess(t)
			host, runner := openThrough(t, relay.address)
			_, err := io.WriteString(runner, "part")
			must.NoError(t, err)
			_, err = io.ReadFull(host, make([]byte, len("part")))
			must.NoError(t, err)
			end(relay, runner)
			rest, err := io.ReadAll(host)
			must.Error(t, err, must.Sprintf("%d bytes and a regular end", len(rest)))
		})
	}
}

// The same where the relay's process lives on and only the tunnel's own handler ends.
func TestPanicOfARelayIsNotTheEndOfAnAnswer(t *testing.T) {
	relay := newTCPRelay()
	dial := relay.Dial
	relay.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		return panickingConn{conn}, err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer func() { _ = listener.Close() }()
	server := relay.Server()
	server.ErrorLog = log.New(io.Discard, "", 0)
	go func() { _ = server.Serve(listener) }()
	host, runner := openThrough(t, listener.Addr().String())
	_, err = io.WriteString(runner, "part")
	must.NoError(t, err)
	_, err = io.ReadAll(host)
	must.Error(t, err)
}

// panickingConn panics as it reads.
type panickingConn struct{ net.Conn }

func (panickingConn) Read([]byte) (int, error) { panic("read") }

// An answer without a length that its runner has ended is whole, also where the host reads it late and the
// relay's process has ended meanwhile.
func TestRegularEndPassesThroughATunnel(t *testing.T) {
	const length = 256 << 10
	for name, killed := range map[string]bool{"relay lives": false, "relay is killed behind the end": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			relay := startRelayProcess(t)
			host, runner := openThrough(t, relay.address)
			_, err := runner.Write(make([]byte, length))
			must.NoError(t, err)
			must.NoError(t, runner.CloseWrite())
			time.Sleep(lingerTime + 500*time.Millisecond)
			if killed {
				relay.signal(syscall.SIGKILL)
			}
			content, err := io.ReadAll(host)
			must.NoError(t, err)
			must.Eq(t, length, len(content))
		})
	}
}

// tunnelUpload is more than a tunnel holds, so that its writes are blocked until the runner reads.
const tunnelUpload = 24 << 20

// A runner begins to answer a long upload through a relay and resets the connection. At the relay the blocked write
// to the runner is told of the reset, at the host the one to the relay: each read would find a regular end, and the
// host pass the part on as a whole answer.
func TestResetDuringAnUploadPassesThroughATunnel(t *testing.T) {
	for name, end := range map[string]func(relay *relayProcess, runner *net.TCPConn){
		"runner resets": func(_ *relayProcess, runner *net.TCPConn) {
			_ = runner.SetLinger(0)
			_ = runner.Close()
		},
		"runner closes with the upload unread": func(_ *relayProcess, runner *net.TCPConn) { _ = runner.Close() },
		"relay is killed":                      func(relay *relayProcess, _ *net.TCPConn) { relay.signal(syscall.SIGKILL) },
	} {
		for _, pause := range []time.Duration{0, 300 * time.Microsecond, 20 * time.Millisecond} {
			t.Run(fmt.Sprintf("%s, %s", name, pause), func(t *testing.T) {
				t.Parallel()
				for range 8 {
					relay := startRelayProcess(t)
					host, runner := openThrough(t, relay.address)
					beginUpload(t, host, runner)
					time.Sleep(pause)
					end(relay, runner)
					read, err := io.ReadAll(host)
					must.Error(t, err, must.Sprintf("%q and a regular end", read))
				}
			})
		}
	}
}

// The same for a runner that ends its answer regularly: it is whole, at once.
func TestRegularEndDuringAnUploadPassesThroughATunnel(t *testing.T) {
	relay := startRelayProcess(t)
	host, runner := openThrough(t, relay.address)
	beginUpload(t, host, runner)
	must.NoError(t, runner.CloseWrite())
	_ = host.SetReadDeadline(time.Now().Add(lingerTime / 2))
	read, err := io.ReadAll(host)
	must.NoError(t, err)
	must.Eq(t, "part", string(read))
}

// beginUpload begins a long upload, and an answer to it.
func beginUpload(t *testing.T, host net.Conn, runner *net.TCPConn) {
	t.Helper()
	go func() { _, _ = host.Write(make([]byte, tunnelUpload)) }()
	_, err := runner.Read(make([]byte, 1))
	must.NoError(t, err)
	_, err = io.WriteString(runner, "part")
	must.NoError(t, err)
}

// The other direction: a host's end of a tunnel is reset while the relay's write of a long answer to it is blocked.
// The runner has a part of a request, which its length shows, and learns that the connection has ended.
func TestResetOfTheHostLeavesNoWholeRequest(t *testing.T) {
	for _, pause := range []time.Duration{0, 300 * time.Microsecond, 20 * time.Millisecond} {
		t.Run(pause.String(), func(t *testing.T) {
			t.Parallel()
			relay := startRelayProcess(t)
			host, runner := openThrough(t, relay.address)
			_, err := io.WriteString(host, "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 50\r\n\r\na part of the body")
			must.NoError(t, err)
			answered := make(chan error, 1)
			go func() {
				_, err := runner.Write(make([]byte, tunnelUpload))
				answered <- err
			}()
			_, err = io.ReadFull(host, make([]byte, 1))
			must.NoError(t, err)
			time.Sleep(pause)
			must.NoError(t, host.(*tunnelConn).Conn.(interface{ SetLinger(int) error }).SetLinger(0))
			must.NoError(t, host.Close())
			request, err := http.ReadRequest(bufio.NewReader(runner))
			must.NoError(t, err)
			body, err := io.ReadAll(request.Body)
			must.Error(t, err, must.Sprintf("%q", body))
			must.Error(t, <-answered)
		})
	}
}
