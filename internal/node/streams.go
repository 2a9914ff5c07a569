package node

import "sync"

// requestLimiter counts and limits the open requests.
type requestLimiter struct {
	limit int

	mu    sync.Mutex
	open  int
	empty chan struct{}
}

func newRequestLimiter(limit int) *requestLimiter {
	return &requestLimiter{limit: limit, empty: closedChannel()}
}

func closedChannel() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}

// Begin adds a request. It returns false if the limit is reached.
func (s *requestLimiter) Begin() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open >= s.limit {
		return false
	}
	if s.open == 0 {
		s.empty = make(chan struct{})
	}
	s.open++
	return true
}

// End removes a request.
func (s *requestLimiter) End() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open--
	if s.open == 0 {
		close(s.empty)
	}
}

// Open returns the number of open requests.
func (s *requestLimiter) Open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.open
}

// Empty returns a channel that is closed while no request is open.
func (s *requestLimiter) Empty() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.empty
}
