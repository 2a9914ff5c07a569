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

// Server accepts peers' connections and serves their calls.
type Server struct {
	self Identity
	key  []byte
	mux  *Mux
	log  hclog.Logger

	rejected atomic.Int64
	mu       sync.Mutex
	sessions map[*session]struct{}
	closed   bool
}

// NewServer returns a server for the process self.
func NewServer(self Identity, key []byte, mux *Mux, log hclog.Logger) *Server {
	return &Server{self: self, key: key, mux: mux, log: log, sessions: map[*session]struct{}{}}
}

// Rejected returns the number of calls rejected for lack of authentication.
func (s *Server) Rejected() int64 { return s.rejected.Load() }

// Serve accepts connections until the listener closes.
func (s *Server) Serve(listener net.Listener) error {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return errors.Wrap(err, "accept peer connection")
		}
		s.startSession(conn)
	}
}

func (s *Server) startSession(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		_ = conn.Close()
		return
	}
	sess := &session{server: s, conn: conn, nonce: newNonce()}
	sess.handshakeTimer = time.AfterFunc(handshakeTimeout, sess.closeUnproven)
	s.sessions[sess] = struct{}{}
	rpc := jsonrpc2.NewConn(context.Background(), jsonrpc2.NewBufferedStream(conn, boundedCodec{}),
		jsonrpc2.AsyncHandler(jsonrpc2.HandlerWithError(sess.handle)), jsonrpc2.SetLogger(rpcLogger{s.log}))
	go s.removeOnDisconnect(sess, rpc)
}

// rpcLogger passes the library's log lines on at debug level; most report closed connections.
type rpcLogger struct{ log hclog.Logger }

func (l rpcLogger) Printf(format string, values ...any) { l.log.Debug(fmt.Sprintf(format, values...)) }

func (s *Server) removeOnDisconnect(sess *session, rpc *jsonrpc2.Conn) {
	<-rpc.DisconnectNotify()
	sess.handshakeTimer.Stop()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, sess)
}

// Close closes all connections.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for sess := range s.sessions {
		_ = sess.conn.Close()
	}
}

// session is one connection. Until its peer has proven the key, it serves only the handshake.
type session struct {
	server         *Server
	conn           net.Conn
	nonce          string
	handshakeTimer *time.Timer

	mu     sync.Mutex
	peer   Identity
	proven bool
}

// closeUnproven closes the connection if its peer has not proven the key.
func (s *session) closeUnproven() {
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
		return s.handleHello(*req.Params)
	case methodProve:
		return s.handleProve(*req.Params)
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
