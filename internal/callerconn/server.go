package callerconn

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// Server is the HTTP server for callers. It is safe for concurrent use.
type Server struct {
	http        *http.Server
	connections *connections

	mu        sync.Mutex
	listeners []net.Listener
	stopping  bool
}

// NewServer returns a server with net/http's settings, whose ConnContext and ConnState it sets.
func NewServer(inner *http.Server) *Server {
	// net/http would answer OPTIONS * with an empty success of its own.
	inner.DisableGeneralOptionsHandler = true
	inner.ConnContext, inner.ConnState = withRecorder, recordState
	return &Server{http: inner, connections: newConnections()}
}

// Serve serves the connections of a listener. It returns http.ErrServerClosed after Shutdown or Close.
func (s *Server) Serve(listener net.Listener) error {
	s.mu.Lock()
	s.listeners = append(s.listeners, listener)
	s.mu.Unlock()
	err := s.http.Serve(s.connections.listener(listener))
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping {
		return http.ErrServerClosed
	}
	return err
}

// shutdownInterval is how often Shutdown looks for connections that have become idle.
const shutdownInterval = 20 * time.Millisecond

// Shutdown stops accepting connections, closes each one once all requests that were read on it have
// been answered, and returns when none is left or ctx ends.
//
// http.Server's own Shutdown closes connections without an answer to what it has read on them.
func (s *Server) Shutdown(ctx context.Context) error {
	s.closeListeners()
	ticker := time.NewTicker(shutdownInterval)
	defer ticker.Stop()
	for s.connections.closeIdle(time.Now()) > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}

func (s *Server) closeListeners() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopping = true
	for _, listener := range s.listeners {
		_ = listener.Close()
	}
}

// Close closes the listeners and all connections at once.
func (s *Server) Close() error {
	s.closeListeners()
	return s.http.Close()
}
