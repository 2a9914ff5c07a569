package standin

import (
	"net/http"
	"sync"
	"time"
)

// WeightStore is a stand-in for the weight store: it records when loads began, and slows
// down those beyond the number that it serves at full speed.
type WeightStore struct {
	mu       sync.Mutex
	parallel int
	active   int
	slowdown int
	starts   []time.Time
}

// NewWeightStore returns a store that serves up to parallel concurrent loads at full speed.
func NewWeightStore(parallel int) *WeightStore {
	return &WeightStore{parallel: parallel, slowdown: 1}
}

// SetSlowdown multiplies the time that every load takes.
func (s *WeightStore) SetSlowdown(times int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slowdown = times
}

// LoadStarts returns the times at which loads began.
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
	// A load continues after its requester gave up, as on a real engine.
	time.Sleep(duration * time.Duration(factor))
	s.mu.Lock()
	s.active--
	s.mu.Unlock()
}

// Service is a stand-in for a plain service; it counts the requests that it ran.
type Service struct {
	mu   sync.Mutex
	runs map[string]int
}

// NewService returns a plain service.
func NewService() *Service { return &Service{runs: map[string]int{}} }

// Runs returns how often a request was run, by its X-Cherrystage-Request header.
func (s *Service) Runs(request string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[request]
}

// ServeHTTP implements http.Handler: it answers with the request's path and method.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.runs[r.Header.Get("X-Cherrystage-Request")]++
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]string{"path": r.URL.Path, "method": r.Method})
}
