package node

import "sync"

// streams counts the requests under way, up to a bound.
type streams struct {
	most int

	mu    sync.Mutex
	open  int
	empty chan struct{}
}

func newStreams(most int) *streams {
	return &streams{most: most, empty: closedChannel()}
}

func closedChannel() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}

// Begin counts a request; false if too many are under way.
func (s *streams) Begin() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open >= s.most {
		return false
	}
	if s.open == 0 {
		s.empty = make(chan struct{})
	}
	s.open++
	return true
}

// End counts a request that has ended.
func (s *streams) End() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open--
	if s.open == 0 {
		close(s.empty)
	}
}

// Open gives the number of requests under way.
func (s *streams) Open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.open
}

// Empty gives a channel that is closed while no request is under way.
func (s *streams) Empty() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.empty
}
