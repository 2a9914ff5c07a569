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
	if !s.addListener(listener) {
		_ = listener.Close()
		return http.ErrServerClosed
	}
	err := s.http.Serve(s.connections.listener(listener))
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping {
		return http.ErrServerClosed
	}
	return err
}

// addListener records a listener, unless the server is stopping.
func (s *Server) addListener(listener net.Listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping {
		return false
	}
	s.listeners = append(s.listeners, listener)
	return true
}

// shutdownInterval is how often Shutdown looks for connections that have become idle.
const shutdownInterval = 20 * time.Millisecond

// lastAnswersWait is how long the requests that still wait at the end of a stop have to be answered.
const lastAnswersWait = 150 * time.Millisecond

// Shutdown stops accepting connections, closes each one once all requests that were read on it have
// been answered, and returns when none is left. When ctx ends, it ends the requests that still wait, and
// returns the error of ctx lastAnswersWait later at most, with the number of connections that were left
// when it ended.
//
// http.Server's own Shutdown closes connections without an answer to what it has read on them.
func (s *Server) Shutdown(ctx context.Context) (left int, err error) {
	s.closeListeners()
	if left = s.drain(ctx); left == 0 {
		return 0, nil
	}
	s.connections.endHost()
	last, cancel := context.WithTimeout(context.WithoutCancel(ctx), lastAnswersWait)
	defer cancel()
	s.drain(last)
	return left, ctx.Err()
}

// drain closes idle connections until none is left or ctx ends, and returns the number of those left.
func (s *Server) drain(ctx context.Context) (left int) {
	ticker := time.NewTicker(shutdownInterval)
	defer ticker.Stop()
	for {
		left = s.connections.closeIdle(time.Now())
		if left == 0 {
			return 0
		}
		select {
		case <-ctx.Done():
			return left
		case <-ticker.C:
		}
	}
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
