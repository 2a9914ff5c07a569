package peer

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cherrystage/cherrystage/internal/awake"
	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"
)

// Dialer opens a connection to a peer's address.
type Dialer func(ctx context.Context, network, address string) (net.Conn, error)

// Pool holds one connection to each peer that this process calls. It is safe for concurrent
// use.
type Pool struct {
	self Identity
	key  []byte
	dial Dialer
	log  hclog.Logger
	// Clock tells for how long this process was running during a call. It may be set before the
	// first call.
	Clock awake.Clock

	mu    sync.Mutex
	links map[string]*link
}

// link is the connection to one address.
type link struct {
	// connecting holds a token while a connection is being established.
	connecting chan struct{}

	mu   sync.Mutex
	rpc  *jsonrpc2.Conn
	peer Identity
	// lastRead is when data last arrived on the connection.
	lastRead atomic.Pointer[time.Time]
}

// activityConn records on its link when data arrives.
type activityConn struct {
	net.Conn
	link *link
}

func (c *activityConn) Read(into []byte) (int, error) {
	n, err := c.Conn.Read(into)
	if n > 0 {
		now := time.Now()
		c.link.lastRead.Store(&now)
	}
	return n, err
}

// receivedSince reports whether data arrived on the connection after the given time.
func (l *link) receivedSince(moment time.Time) bool {
	readAt := l.lastRead.Load()
	return readAt != nil && readAt.After(moment)
}

// NewPool returns a pool for the process self.
func NewPool(self Identity, key []byte, dial Dialer, log hclog.Logger) *Pool {
	return &Pool{self: self, key: key, dial: dial, log: log, links: map[string]*link{}}
}

// Call calls a method of the peer at an address. The context must have a deadline. If it passes
// and no data arrived during the call, the connection is closed: it may stay silent while a new
// one would work. A connection on which other answers arrive is only slow; closing it would fail
// the other calls too.
//
// The time for which this process stood still does not count: the answer may lie unread in the
// socket. Otherwise a host that wakes from a suspension would close its connections to all peers and
// take them for unreachable.
func (p *Pool) Call(ctx context.Context, address, method string, params, result any) error {
	return p.call(ctx, address, method, params, result, true)
}

// CallLong calls a method that may take until the deadline by design, so a deadline that passes
// does not close the connection.
func (p *Pool) CallLong(ctx context.Context, address, method string, params, result any) error {
	return p.call(ctx, address, method, params, result, false)
}

func (p *Pool) call(ctx context.Context, address, method string, params, result any, closeOnDeadline bool) error {
	l := p.link(address)
	limit := p.Clock.LimitOf(ctx)
	var rpc *jsonrpc2.Conn
	err := limit.Await(ctx, func(ctx context.Context) (err error) {
		rpc, err = l.connect(ctx, p, address)
		return err
	})
	if err != nil {
		return errors.Wrapf(err, "peer %s", address)
	}
	start := time.Now()
	err = waitForAnswer(ctx, limit, rpc, method, params, result)
	if err == nil {
		return nil
	}
	silent := errors.Is(ctx.Err(), context.DeadlineExceeded) && !l.receivedSince(start)
	if errors.Is(err, jsonrpc2.ErrClosed) || (closeOnDeadline && silent) {
		l.drop(rpc)
	}
	return errors.Wrapf(err, "peer %s: %s", address, method)
}

// waitForAnswer calls a method and waits for the answer.
func waitForAnswer(ctx context.Context, limit awake.Limit, rpc *jsonrpc2.Conn, method string, params, result any) error {
	waiter, err := rpc.DispatchCall(ctx, method, params)
	if err != nil {
		return err
	}
	return limit.Await(ctx, func(ctx context.Context) error { return waiter.Wait(ctx, result) })
}

func (p *Pool) link(address string) *link {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.links[address]
	if l == nil {
		l = &link{connecting: make(chan struct{}, 1)}
		p.links[address] = l
	}
	return l
}

// connect returns the link's connection and establishes one if there is none. Concurrent callers
// wait for one handshake, each until its own deadline.
//
// A mutex would not do: when a host loses power, a vote on its lease tries to connect for a
// second, while requests that ask the host for admission have a quarter of that. Behind a mutex
// they would wait for as long as the vote.
func (l *link) connect(ctx context.Context, p *Pool, address string) (*jsonrpc2.Conn, error) {
	if rpc := l.current(); rpc != nil {
		return rpc, nil
	}
	select {
	case l.connecting <- struct{}{}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	defer func() { <-l.connecting }()
	if rpc := l.current(); rpc != nil {
		return rpc, nil
	}
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	conn, err := p.dial(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	rpc := jsonrpc2.NewConn(context.Background(), jsonrpc2.NewBufferedStream(&activityConn{Conn: conn, link: l}, boundedCodec{}), ignoreCalls{}, jsonrpc2.SetLogger(rpcLogger{p.log}))
	peer, err := clientHandshake(ctx, rpc, p.self, p.key)
	if err != nil {
		_ = rpc.Close()
		return nil, err
	}
	l.mu.Lock()
	l.rpc = rpc
	l.peer = peer
	l.mu.Unlock()
	go l.dropOnDisconnect(rpc)
	return rpc, nil
}

// current returns the connection, or nil if there is none.
func (l *link) current() *jsonrpc2.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rpc
}

func (l *link) dropOnDisconnect(rpc *jsonrpc2.Conn) {
	<-rpc.DisconnectNotify()
	l.drop(rpc)
}

func (l *link) drop(rpc *jsonrpc2.Conn) {
	l.mu.Lock()
	if l.rpc == rpc {
		l.rpc = nil
	}
	l.mu.Unlock()
	_ = rpc.Close()
}

// Close closes all connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.links {
		if rpc := l.current(); rpc != nil {
			l.drop(rpc)
		}
	}
}

// ignoreCalls ignores calls from the server, which uses a connection of its own for them.
type ignoreCalls struct{}

func (ignoreCalls) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}
