package reach

import (
	"bufio"
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cherrystage/cherrystage/internal/answerhead"
	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
)

// DialFunc opens connections.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

const (
	// relayConnectTimeout bounds a relay's own connection to a runner.
	relayConnectTimeout = 200 * time.Millisecond
	// tunnelTimeout bounds the set-up of a tunnel through one relay.
	tunnelTimeout = 300 * time.Millisecond
	// maxTunnels bounds the tunnels that a relay holds open at a time. Each needs two file
	// descriptors and buffers of tunnelBufferBytes.
	maxTunnels        = 600
	tunnelBufferBytes = 4 << 10
	// stallTimeout is how long either end of a tunnel may accept no data.
	stallTimeout = 15 * time.Second
	// lingerTime is how long a tunnel waits for its host to close after the runner has.
	lingerTime = time.Second
	// proxyAuthorization carries the proof that the asking host holds the shared key.
	proxyAuthorization = "Proxy-Authorization"
	bearerPrefix       = "Bearer "
)

// proofFor returns the proof that a request for a tunnel comes from a host with the key.
func proofFor(key []byte, address string) string {
	mac := hmac.New(sha256.New, key)
	_, _ = io.WriteString(mac, "relay\x00"+address)
	return hex.EncodeToString(mac.Sum(nil))
}

// Relay lets other hosts connect to runners through this host: it serves HTTP's CONNECT
// method. It connects to runners directly only, so that tunnels never form a loop.
type Relay struct {
	// Key is shared by all hosts.
	Key []byte
	// Dial connects to a runner directly.
	Dial DialFunc
	// Reaches reports whether this host is not known to fail to reach a runner, and IsRunner
	// whether an address is that of a runner.
	Reaches  func(address string) bool
	IsRunner func(address string) bool
	Log      hclog.Logger

	open    atomic.Int64
	opened  atomic.Int64
	refused atomic.Int64
	closing atomic.Bool
}

// Open returns the number of open tunnels, Opened and Refused how many were opened and refused.
func (r *Relay) Open() int64    { return r.open.Load() }
func (r *Relay) Opened() int64  { return r.opened.Load() }
func (r *Relay) Refused() int64 { return r.refused.Load() }

// Close refuses new tunnels from now on. Open ones go on to their end.
func (r *Relay) Close() { r.closing.Store(true) }

// Server returns the HTTP server of the relay.
func (r *Relay) Server() *http.Server {
	return &http.Server{Handler: r, ReadHeaderTimeout: time.Second}
}

// ServeHTTP implements http.Handler.
func (r *Relay) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	if status := r.check(request); status != http.StatusOK {
		r.refused.Add(1)
		w.WriteHeader(status)
		return
	}
	if r.open.Add(1) > maxTunnels {
		r.open.Add(-1)
		r.refused.Add(1)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer r.open.Add(-1)
	ctx, cancel := context.WithTimeout(request.Context(), relayConnectTimeout)
	runner, err := r.Dial(ctx, "tcp", request.Host)
	cancel()
	if err != nil {
		r.refused.Add(1)
		r.Log.Debug("no tunnel to runner", "address", request.Host, "error", err.Error())
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	r.serveTunnel(w, runner)
}

// check returns the status of the refusal of a request for a tunnel, or 200.
func (r *Relay) check(request *http.Request) int {
	proof := request.Header.Get(proxyAuthorization)
	switch {
	case request.Method != http.MethodConnect:
		return http.StatusMethodNotAllowed
	case !hmac.Equal([]byte(proof), []byte(bearerPrefix+proofFor(r.Key, request.Host))):
		r.Log.Warn("tunnel refused: wrong key", "from", request.RemoteAddr)
		return http.StatusProxyAuthRequired
	case !r.IsRunner(request.Host):
		return http.StatusForbidden
	case r.closing.Load():
		return http.StatusServiceUnavailable
	case !r.Reaches(request.Host):
		return http.StatusBadGateway
	default:
		return http.StatusOK
	}
}

// serveTunnel copies data between the host that asked and the runner until either closes.
//
// The host's connection ends regularly only behind all that a runner sent that ended its own regularly. A
// part of a response without a length would look whole otherwise: the kernel closes the connections of a
// process that is killed as if the process had. One that resets on close does so then too.
func (r *Relay) serveTunnel(w http.ResponseWriter, runner net.Conn) {
	defer func() { _ = runner.Close() }()
	host, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		r.Log.Error("tunnel not served", "error", err.Error())
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	defer func() { _ = host.Close() }()
	setResetOnClose(host, true)
	r.opened.Add(1)
	if _, err := io.WriteString(host, "HTTP/1.1 200 OK\r\n\r\n"); err != nil {
		return
	}
	var copies sync.WaitGroup
	copies.Go(func() {
		// The host closes once its request has ended or its caller has left, so the runner
		// has to learn of it at once.
		_ = copyStalling(runner, buffered.Reader)
		_ = runner.Close()
	})
	if err := copyStalling(host, runner); err != nil {
		_ = host.Close()
	} else {
		closeWrite(host)
		// What is still to be sent must arrive.
		setResetOnClose(host, false)
		_ = host.SetReadDeadline(time.Now().Add(lingerTime))
	}
	copies.Wait()
}

// copyStalling copies until the source ends, and fails if the destination accepts no data for
// stallTimeout. It returns nil if the source ended regularly.
func copyStalling(into net.Conn, from io.Reader) error {
	buffer := make([]byte, tunnelBufferBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			_ = into.SetWriteDeadline(time.Now().Add(stallTimeout))
			if _, err := into.Write(buffer[:n]); err != nil {
				return err
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// setResetOnClose sets whether a TCP connection is reset when it is closed, also by the end of the process.
func setResetOnClose(conn net.Conn, resets bool) {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return
	}
	lingerSeconds := -1
	if resets {
		lingerSeconds = 0
	}
	_ = tcp.SetLinger(lingerSeconds)
}

// closeWrite ends the outgoing direction of a connection, or all of it if it has no such half.
func closeWrite(conn net.Conn) {
	if half, ok := conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
		return
	}
	_ = conn.Close()
}

// errNoTunnel is returned if a relay answered that it opens no tunnel.
var errNoTunnel = errors.New("the relay opens no tunnel")

// openTunnel asks the relay at an address for a tunnel to a runner.
func openTunnel(ctx context.Context, dial DialFunc, key []byte, relay, runner string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, tunnelTimeout)
	defer cancel()
	conn, err := dial(ctx, "tcp", relay)
	if err != nil {
		return nil, err
	}
	deadline, _ := ctx.Deadline()
	_ = conn.SetDeadline(deadline)
	reader, err := requestTunnel(conn, key, runner)
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	if err := conn.SetDeadline(time.Time{}); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return &tunnelConn{Conn: conn, reader: reader}, nil
}

func requestTunnel(conn net.Conn, key []byte, runner string) (*bufio.Reader, error) {
	request := &http.Request{
		Method: http.MethodConnect,
		URL:    &url.URL{Opaque: runner},
		Host:   runner,
		Header: http.Header{proxyAuthorization: {bearerPrefix + proofFor(key, runner)}},
	}
	if err := request.Write(conn); err != nil {
		return nil, err
	}
	reader := bufio.NewReaderSize(conn, tunnelBufferBytes)
	response, err := http.ReadResponse(reader, request)
	if err != nil {
		return nil, err
	}
	if err := answerhead.Check(response); err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		return nil, errors.Wrapf(errNoTunnel, "status %d", response.StatusCode)
	}
	return reader, nil
}

// tunnelConn is a tunnel to a runner. The reader may hold data that followed the relay's answer.
type tunnelConn struct {
	net.Conn
	reader *bufio.Reader
	relay  string
}

// Read implements net.Conn.
func (c *tunnelConn) Read(into []byte) (int, error) { return c.reader.Read(into) }

// RelayOf returns the host through which a connection goes, or "" if it is direct.
func RelayOf(conn net.Conn) string {
	if tunnel, ok := conn.(*tunnelConn); ok {
		return tunnel.relay
	}
	return ""
}
