package standin

import (
	"bytes"
	"context"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// Network is an in-memory network between named hosts, for tests in virtual time. Hosts
// can be partitioned, and open connections can be made to drop all data while new ones
// work.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*memListener
	conns     map[*memConn]struct{}
	cut       map[[2]string]bool
	// hanging are the pairs of hosts between which nothing arrives, refusing those between
	// which only new connections fail.
	hanging  map[[2]string]bool
	refusing map[[2]string]bool
	// silentUntil is until when a host neither sends nor receives; nothing is lost.
	silentUntil map[string]time.Time
	// pathSilentUntil is the same for the path between two hosts.
	pathSilentUntil map[[2]string]time.Time
	closed          bool
	// Links limits the bandwidth of hosts.
	Links *Links
}

// NewNetwork returns a network without listeners.
func NewNetwork() *Network {
	return &Network{listeners: map[string]*memListener{}, conns: map[*memConn]struct{}{}, cut: map[[2]string]bool{}, hanging: map[[2]string]bool{}, refusing: map[[2]string]bool{}, silentUntil: map[string]time.Time{}, pathSilentUntil: map[[2]string]time.Time{}, Links: NewLinks(time.Now)}
}

// HostNet is the network as seen by one process on a host.
type HostNet struct {
	network *Network
	host    string
	// ended is set once the process has ended. It is guarded by network.mu.
	ended bool
}

// Host returns the network as seen by a process on a host.
func (n *Network) Host(name string) *HostNet { return &HostNet{network: n, host: name} }

// End simulates the end of the process: it opens no connection any more, whoever runs on the host
// afterwards. The goroutines of a process that a test ends go on; without this they reach others again
// once the host is healed for the next process. Its open connections end by Partition or KillHost.
func (h *HostNet) End() {
	h.network.mu.Lock()
	defer h.network.mu.Unlock()
	h.ended = true
}

// Listen listens on a port of the host's only address.
func (h *HostNet) Listen(port string) (net.Listener, error) {
	h.network.mu.Lock()
	defer h.network.mu.Unlock()
	address := h.host + ":" + port
	listener := &memListener{network: h.network, host: h.host, address: memAddr(address), incoming: make(chan net.Conn), closed: make(chan struct{})}
	h.network.listeners[address] = listener
	return listener, nil
}

// Dial opens a connection from the host.
func (h *HostNet) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	refused := &net.OpError{Op: "dial", Net: network, Addr: memAddr(address), Err: syscall.ECONNREFUSED}
	target := hostOf(address)
	h.network.mu.Lock()
	listener := h.network.listeners[address]
	blocked := h.network.closed || h.ended || isListed(h.network.cut, h.host, target) || isListed(h.network.refusing, h.host, target)
	hangs := isListed(h.network.hanging, h.host, target)
	h.network.mu.Unlock()
	if silent := h.network.silence(h.host, target); silent > 0 && !hangs {
		if err := waitFor(ctx, silent); err != nil {
			return nil, &net.OpError{Op: "dial", Net: network, Addr: memAddr(address), Err: err}
		}
	}
	if hangs {
		return nil, &net.OpError{Op: "dial", Net: network, Addr: memAddr(address), Err: hang(ctx)}
	}
	if listener == nil || blocked {
		return nil, refused
	}
	near, far := net.Pipe()
	client := &memConn{Conn: near, network: h.network, owner: h.host, ends: [2]string{h.host, target}, closed: make(chan struct{})}
	server := &memConn{Conn: far, network: h.network, owner: target, ends: [2]string{h.host, target}, closed: make(chan struct{})}
	client.peer, server.peer = server, client
	if !h.network.add(h, client, server) {
		return nil, refused
	}
	select {
	case listener.incoming <- server:
		return client, nil
	case <-listener.closed:
		_ = client.Close()
		return nil, refused
	case <-ctx.Done():
		_ = client.Close()
		return nil, &net.OpError{Op: "dial", Net: network, Addr: memAddr(address), Err: ctx.Err()}
	}
}

// dialGiveUp is how long the operating system tries to open a connection.
const dialGiveUp = 2 * time.Second

// hang waits until a connection that hangs is given up.
func hang(ctx context.Context) error {
	if err := waitFor(ctx, dialGiveUp); err != nil {
		return err
	}
	return syscall.ETIMEDOUT
}

// waitFor waits for a time, or returns the error of the context if that ends first.
func waitFor(ctx context.Context, length time.Duration) error {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

func hostOf(address string) string {
	host, _, _ := net.SplitHostPort(address)
	return host
}

// add registers the ends of a process's connection. It returns false if the network is closed or the
// process has ended.
func (n *Network) add(process *HostNet, conns ...*memConn) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed || process.ended {
		return false
	}
	for _, conn := range conns {
		n.conns[conn] = struct{}{}
	}
	return true
}

// isListed reports whether a set of pairs contains two hosts in either order.
func isListed(pairs map[[2]string]bool, a, b string) bool {
	return pairs[[2]string{a, b}] || pairs[[2]string{b, a}] || pairs[[2]string{a, "*"}] || pairs[[2]string{b, "*"}]
}

// Partition closes the connections between two hosts and refuses new ones; "*" stands
// for every other host.
func (n *Network) Partition(a, b string) {
	n.mu.Lock()
	n.cut[[2]string{a, b}] = true
	n.mu.Unlock()
	n.each(a, b, func(conn *memConn) { _ = conn.abort() })
}

// KillHost simulates the end of a host's process: its ends of connections are closed, so
// that the other ends read EOF, and new ones are refused until Heal(host, "*").
func (n *Network) KillHost(host string) {
	n.mu.Lock()
	n.cut[[2]string{host, "*"}] = true
	n.mu.Unlock()
	n.each(host, "*", func(conn *memConn) {
		if conn.owner == host {
			_ = conn.abort()
		}
	})
}

// Silence makes a host neither send nor receive for a time. What is sent meanwhile arrives
// afterwards, as after a retransmission.
func (n *Network) Silence(host string, length time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.silentUntil[host] = time.Now().Add(length)
}

// SilencePath is Silence for what two hosts send to each other.
func (n *Network) SilencePath(a, b string, length time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.pathSilentUntil[[2]string{a, b}] = time.Now().Add(length)
}

// silence returns for how long either of two hosts, or the path between them, is silent.
func (n *Network) silence(a, b string) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	path := max(time.Until(n.pathSilentUntil[[2]string{a, b}]), time.Until(n.pathSilentUntil[[2]string{b, a}]))
	return max(0, path, time.Until(n.silentUntil[a]), time.Until(n.silentUntil[b]))
}

// Hang makes the open connections between two hosts drop all data, and new ones hang, as
// packets that are dropped in between do.
func (n *Network) Hang(a, b string) {
	n.mu.Lock()
	n.hanging[[2]string{a, b}] = true
	n.mu.Unlock()
	n.Blackhole(a, b)
}

// RefuseNew refuses new connections between two hosts; open ones live on.
func (n *Network) RefuseNew(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.refusing[[2]string{a, b}] = true
}

// Heal undoes Partition, Hang, RefuseNew and KillHost: new connections work again.
func (n *Network) Heal(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.cut, [2]string{a, b})
	delete(n.hanging, [2]string{a, b})
	delete(n.refusing, [2]string{a, b})
}

// Blackhole makes the open connections between two hosts drop all data without either end
// noticing. New connections work.
func (n *Network) Blackhole(a, b string) {
	n.each(a, b, func(conn *memConn) { conn.blackhole() })
}

func (n *Network) each(a, b string, do func(conn *memConn)) {
	n.mu.Lock()
	var chosen []*memConn
	for conn := range n.conns {
		if conn.between(a, b) {
			chosen = append(chosen, conn)
		}
	}
	n.mu.Unlock()
	for _, conn := range chosen {
		do(conn)
	}
}

// Close closes every connection and refuses new ones.
func (n *Network) Close() {
	n.mu.Lock()
	n.closed = true
	n.mu.Unlock()
	n.each("*", "*", func(conn *memConn) { _ = conn.abort() })
}

type memAddr string

func (a memAddr) Network() string { return "tcp" }
func (a memAddr) String() string  { return string(a) }

type memListener struct {
	network  *Network
	host     string
	address  memAddr
	incoming chan net.Conn
	once     sync.Once
	closed   chan struct{}
}

func (l *memListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.incoming:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *memListener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.network.mu.Lock()
		defer l.network.mu.Unlock()
		if l.network.listeners[string(l.address)] == l {
			delete(l.network.listeners, string(l.address))
		}
	})
	return nil
}

func (l *memListener) Addr() net.Addr { return l.address }

// memConn is one end of a connection.
type memConn struct {
	net.Conn
	network *Network
	owner   string
	ends    [2]string
	once    sync.Once
	closed  chan struct{}

	mu         sync.Mutex
	blackholed bool
	// peer is the other end. inputEnded is set once it has closed its sending side.
	peer       *memConn
	inputEnded bool
	// queue holds the pieces that wait for a link; delivering is set while deliver runs.
	queue      []queuedPiece
	delivering bool
	// lost is the number of bytes that were sent and dropped.
	lost int
}

// queuedPiece is data in transit, or the end of the connection or of its sending side.
type queuedPiece struct {
	data          []byte
	end, writeEnd bool
	arrives       time.Time
}

func (c *memConn) between(a, b string) bool {
	has := func(name string) bool { return name == "*" || c.ends[0] == name || c.ends[1] == name }
	return has(a) && has(b)
}

func (c *memConn) blackhole() {
	c.mu.Lock()
	c.blackholed = true
	c.mu.Unlock()
	// A pending write would wait forever for a reader: the deadline ends it.
	_ = c.Conn.SetWriteDeadline(time.Now())
}

func (c *memConn) isBlackholed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.blackholed
}

func (c *memConn) Write(data []byte) (int, error) {
	sent := 0
	for {
		next := data[sent:min(len(data), sent+pieceBytes)]
		n, err := c.writePiece(next)
		sent += n
		if err != nil || sent == len(data) {
			return sent, err
		}
	}
}

func (c *memConn) writePiece(data []byte) (int, error) {
	if c.isBlackholed() {
		c.addLost(len(data))
		return len(data), nil
	}
	if c.enqueue(queuedPiece{data: data}) {
		return len(data), nil
	}
	n, err := c.Conn.Write(data)
	if err != nil && c.isBlackholed() {
		c.addLost(len(data) - n)
		return len(data), nil
	}
	return n, err
}

func (c *memConn) addLost(count int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lost += count
}

// Unacknowledged returns the number of bytes sent that have not arrived, as a socket's send queue does.
func (c *memConn) Unacknowledged() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	count := c.lost
	for _, piece := range c.queue {
		count += len(piece.data)
	}
	return count
}

// enqueue queues a piece that has to wait for a link and reports whether it did. The writer
// isn't blocked, as if the sender's socket buffer were unlimited.
func (c *memConn) enqueue(piece queuedPiece) bool {
	to := c.ends[0]
	if to == c.owner {
		to = c.ends[1]
	}
	takes := max(c.network.Links.Reserve(c.owner, to, len(piece.data)), c.network.silence(c.owner, to))
	c.mu.Lock()
	defer c.mu.Unlock()
	if takes <= 0 && !c.delivering {
		return false
	}
	piece.data, piece.arrives = bytes.Clone(piece.data), time.Now().Add(takes)
	c.queue = append(c.queue, piece)
	if !c.delivering {
		c.delivering = true
		go c.deliver()
	}
	return true
}

// deliver writes queued pieces in order, each once it has passed the links, until the queue
// is empty.
func (c *memConn) deliver() {
	for {
		c.mu.Lock()
		if len(c.queue) == 0 {
			c.delivering = false
			c.mu.Unlock()
			return
		}
		next := c.queue[0]
		c.queue = c.queue[1:]
		c.mu.Unlock()
		arrived := time.NewTimer(time.Until(next.arrives))
		select {
		case <-arrived.C:
		case <-c.closed:
			arrived.Stop()
		}
		if c.isBlackholed() {
			c.addLost(len(next.data))
			continue
		}
		if next.end {
			_ = c.abort()
			return
		}
		if next.writeEnd {
			c.peer.endInput()
			continue
		}
		_, _ = c.Conn.Write(next.data)
	}
}

func (c *memConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if n == 0 && c.isInputEnded() {
		return 0, io.EOF
	}
	if c.isBlackholed() && (n > 0 || err == nil) {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

// CloseWrite closes the sending side, as that of a TCP connection: the other end reads io.EOF after
// what was written before, and can still write.
func (c *memConn) CloseWrite() error {
	if !c.isBlackholed() && !c.enqueue(queuedPiece{writeEnd: true}) {
		c.peer.endInput()
	}
	return nil
}

// endInput ends the pending and all later reads.
func (c *memConn) endInput() {
	c.mu.Lock()
	c.inputEnded = true
	c.mu.Unlock()
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
}

func (c *memConn) isInputEnded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.inputEnded
}

// SetReadDeadline implements net.Conn. Reads of an input that has ended do not wait.
func (c *memConn) SetReadDeadline(at time.Time) error {
	err := c.Conn.SetReadDeadline(at)
	if c.isInputEnded() {
		return c.Conn.SetReadDeadline(time.Unix(1, 0))
	}
	return err
}

// Close implements net.Conn. As with TCP, what was written before arrives before the end does.
func (c *memConn) Close() error {
	if c.isBlackholed() || !c.enqueue(queuedPiece{end: true}) {
		return c.abort()
	}
	// The owner's own reads end at once.
	return c.SetReadDeadline(time.Now())
}

// abort closes the connection and drops what is in transit.
func (c *memConn) abort() error {
	c.once.Do(func() {
		close(c.closed)
		c.network.mu.Lock()
		delete(c.network.conns, c)
		c.network.mu.Unlock()
	})
	return c.Conn.Close()
}

func (c *memConn) RemoteAddr() net.Addr { return memAddr(c.ends[0] + ":0") }
