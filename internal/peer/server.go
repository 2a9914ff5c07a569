package peer

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"
)

const handshakeTimeout = 3 * time.Second

// Server takes peers' connections.
type Server struct {
	self Identity
	key  []byte
	mux  *Mux
	log  hclog.Logger

	rejected atomic.Int64
	mu       sync.Mutex
	conns    map[*session]struct{}
	closed   bool
}

// NewServer makes a server for the process self.
func NewServer(self Identity, key []byte, mux *Mux, log hclog.Logger) *Server {
	return &Server{self: self, key: key, mux: mux, log: log, conns: map[*session]struct{}{}}
}

// Rejected gives the number of calls refused for want of a proof.
func (s *Server) Rejected() int64 { return s.rejected.Load() }

// Serve accepts connections until the listener closes.
func (s *Server) Serve(listener net.Listener) error {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return errors.Wrap(err, "peer listener")
		}
		s.start(conn)
	}
}

func (s *Server) start(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		_ = conn.Close()
		return
	}
	sess := &session{server: s, conn: conn, nonce: newNonce()}
	sess.patience = time.AfterFunc(handshakeTimeout, sess.expire)
	s.conns[sess] = struct{}{}
	rpc := jsonrpc2.NewConn(context.Background(), jsonrpc2.NewBufferedStream(conn, codec{}),
		jsonrpc2.AsyncHandler(jsonrpc2.HandlerWithError(sess.handle)), jsonrpc2.SetLogger(rpcLog{s.log}))
	go s.forget(sess, rpc)
}

// rpcLog takes what the library logs, which is mostly the end of connections.
type rpcLog struct{ log hclog.Logger }

func (l rpcLog) Printf(format string, values ...any) { l.log.Debug(fmt.Sprintf(format, values...)) }

func (s *Server) forget(sess *session, rpc *jsonrpc2.Conn) {
	<-rpc.DisconnectNotify()
	sess.patience.Stop()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, sess)
}

// Close ends all connections.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for sess := range s.conns {
		_ = sess.conn.Close()
	}
}

// session is one connection. Until its peer has proven the key it serves the
// handshake only.
type session struct {
	server   *Server
	conn     net.Conn
	nonce    string
	patience *time.Timer

	mu     sync.Mutex
	peer   Identity
	proven bool
}

// expire closes a connection whose peer never proved the key.
func (s *session) expire() {
	if _, proven := s.identity(); !proven {
		_ = s.conn.Close()
	}
}

func (s *session) identity() (Identity, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.peer, s.proven
}

func (s *session) handle(ctx context.Context, _ *jsonrpc2.Conn, req *jsonrpc2.Request) (any, error) {
	if req.Params == nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "no parameters"}
	}
	switch req.Method {
	case methodHello:
		return s.hello(*req.Params)
	case methodProve:
		return s.prove(*req.Params)
	}
	from, proven := s.identity()
	if !proven {
		return nil, s.reject(from, "call before the proof")
	}
	handler, ok := s.server.mux.handlers[req.Method]
	if !ok {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "no method " + req.Method}
	}
	return handler(ctx, from, *req.Params)
}

func (s *session) reject(from Identity, why string) error {
	s.server.rejected.Add(1)
	s.server.log.Warn("peer rejected", "peer", from.Host, "address", s.conn.RemoteAddr().String(), "reason", why)
	return &jsonrpc2.Error{Code: CodeUnauthorized, Message: "not authorized: " + why}
}
