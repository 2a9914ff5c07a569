package standin

import (
	"net/http"
	"sync"
	"time"
)

// WeightStore plays the weight store: it remembers when loads began and slows
// those beyond the number that it serves at full speed.
type WeightStore struct {
	mu       sync.Mutex
	parallel int
	active   int
	slowdown int
	starts   []time.Time
}

// NewWeightStore makes a store that serves so many loads at full speed at a time.
func NewWeightStore(parallel int) *WeightStore {
	return &WeightStore{parallel: parallel, slowdown: 1}
}

// SetSlowdown makes every load take so many times as long.
func (s *WeightStore) SetSlowdown(times int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slowdown = times
}

// LoadStarts gives the times at which loads began.
func (s *WeightStore) LoadStarts() []time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]time.Time(nil), s.starts...)
}

func (s *WeightStore) fetch(duration time.Duration) {
	s.mu.Lock()
	s.starts = append(s.starts, time.Now())
	s.active++
	factor := s.slowdown * max(1, (s.active+s.parallel-1)/s.parallel)
	s.mu.Unlock()
	// A load goes on when its asker has given up, as on a real engine.
	time.Sleep(duration * time.Duration(factor))
	s.mu.Lock()
	s.active--
	s.mu.Unlock()
}

// Service plays a plain service that counts what it ran.
type Service struct {
	mu   sync.Mutex
	runs map[string]int
}

// NewService makes a plain service.
func NewService() *Service { return &Service{runs: map[string]int{}} }

// Runs tells how often a body was run.
func (s *Service) Runs(request string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[request]
}

// ServeHTTP implements http.Handler: it answers with the path it was called on.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.runs[r.Header.Get("X-Cherrystage-Request")]++
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]string{"path": r.URL.Path, "method": r.Method})
}
