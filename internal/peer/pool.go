package peer

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"
)

// Dialer opens a connection to a peer's address.
type Dialer func(ctx context.Context, network, address string) (net.Conn, error)

// Pool keeps one connection to each peer that this process calls. It is safe
// for concurrent use.
type Pool struct {
	self Identity
	key  []byte
	dial Dialer
	log  hclog.Logger

	mu    sync.Mutex
	peers map[string]*link
}

// link is the connection to one address.
type link struct {
	// connecting holds a token while a connection is made.
	connecting chan struct{}

	mu   sync.Mutex
	rpc  *jsonrpc2.Conn
	peer Identity
	// heard is when something last came over the connection.
	heard atomic.Pointer[time.Time]
}

// heardConn notes on its link when something comes.
type heardConn struct {
	net.Conn
	link *link
}

func (c *heardConn) Read(into []byte) (int, error) {
	n, err := c.Conn.Read(into)
	if n > 0 {
		now := time.Now()
		c.link.heard.Store(&now)
	}
	return n, err
}

// heardSince says whether something came over the connection after a moment.
func (l *link) heardSince(moment time.Time) bool {
	heard := l.heard.Load()
	return heard != nil && heard.After(moment)
}

// NewPool makes a pool for the process self.
func NewPool(self Identity, key []byte, dial Dialer, log hclog.Logger) *Pool {
	return &Pool{self: self, key: key, dial: dial, log: log, peers: map[string]*link{}}
}

// Call calls a method of the peer at an address. The context must have a
// deadline. If it passes and nothing at all came meanwhile, the connection is given up with
// it: it may have gone silent for good while a new one would work. One on which other
// answers come is only slow: closed, it would take the calls of others with it.
func (p *Pool) Call(ctx context.Context, address, method string, params, result any) error {
	return p.call(ctx, address, method, params, result, true)
}

// CallLong calls a method that may rightly take until the deadline, so a
// passed deadline says nothing about the connection.
func (p *Pool) CallLong(ctx context.Context, address, method string, params, result any) error {
	return p.call(ctx, address, method, params, result, false)
}

func (p *Pool) call(ctx context.Context, address, method string, params, result any, closeOnDeadline bool) error {
	l := p.link(address)
	rpc, err := l.connect(ctx, p, address)
	if err != nil {
		return errors.Wrapf(err, "peer %s", address)
	}
	begun := time.Now()
	err = rpc.Call(ctx, method, params, result)
	if err == nil {
		return nil
	}
	silent := errors.Is(ctx.Err(), context.DeadlineExceeded) && !l.heardSince(begun)
	if errors.Is(err, jsonrpc2.ErrClosed) || (closeOnDeadline && silent) {
		l.drop(rpc)
	}
	return errors.Wrapf(err, "peer %s: %s", address, method)
}

func (p *Pool) link(address string) *link {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.peers[address]
	if l == nil {
		l = &link{connecting: make(chan struct{}, 1)}
		p.peers[address] = l
	}
	return l
}

// connect gives the link's connection, making one where there is none. Callers of one
// peer wait for one handshake, each as long as its own deadline allows.
//
// The failure it answers: a host loses power. A vote on its lease tries to reach it for
// a second, and the requests that ask the host for a place meanwhile have a quarter of
// that. Behind a lock they waited out the vote's time and only then went on.
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
	rpc := jsonrpc2.NewConn(context.Background(), jsonrpc2.NewBufferedStream(&heardConn{Conn: conn, link: l}, codec{}), noCalls{}, jsonrpc2.SetLogger(rpcLog{p.log}))
	peer, err := introduce(ctx, rpc, p.self, p.key)
	if err != nil {
		_ = rpc.Close()
		return nil, err
	}
	l.mu.Lock()
	l.rpc = rpc
	l.peer = peer
	l.mu.Unlock()
	go l.watch(rpc)
	return rpc, nil
}

// current gives the connection if there is one.
func (l *link) current() *jsonrpc2.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rpc
}

func (l *link) watch(rpc *jsonrpc2.Conn) {
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

// Close ends all connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.peers {
		if rpc := l.current(); rpc != nil {
			l.drop(rpc)
		}
	}
}

// noCalls serves nothing: a peer calls over its own connection.
type noCalls struct{}

func (noCalls) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}
