package placing

import "sync"

// SpreadEstimator learns over how many runners the requests for each adapter are
// spread, from the runners that admitted them. It is safe for concurrent use.
//
// Of 112 runners with 12 request slots each, the most popular adapter keeps 25 busy.
// When every request tried the runners in order from the first, the first three were
// always full, and a sixth of all requests was refused while half of the slots were
// free.
type SpreadEstimator struct {
	mu      sync.Mutex
	spreads map[string]spread
}

// spread is what is known about the requests for one adapter.
type spread struct {
	// width is the estimated number of runners that the requests need.
	width float64
	// lastRank is the rank of the runner that last admitted a request.
	lastRank int
}

const (
	// growth is the fraction by which the width moves towards the rank of a runner
	// that admitted a request after refusals. decay is applied for each request that
	// was admitted without a refusal; about ten of these undo one refusal.
	growth = 0.5
	decay  = 0.99
	// exploreShare of the requests do not start at the runner that admitted the last
	// one. They find out whether fewer runners would do.
	exploreShare = 0.1
	// minSpreadWidth is the width below which an adapter counts as being on one
	// runner.
	minSpreadWidth = 1.05
	// maxTracked bounds the adapters whose width is kept; others have width 1.
	maxTracked = 4096
)

// NewSpreadEstimator returns an estimator in which every adapter has width 1.
func NewSpreadEstimator() *SpreadEstimator { return &SpreadEstimator{spreads: map[string]spread{}} }

func (s *SpreadEstimator) get(key string) spread {
	s.mu.Lock()
	defer s.mu.Unlock()
	known, ok := s.spreads[key]
	if !ok {
		return spread{width: 1}
	}
	return known
}

// Admitted records that the runner at a rank admitted a request for the adapter after
// busyRefusals runners had refused it as busy. Refusals for other reasons say nothing
// about the adapter's demand and must not be counted.
func (s *SpreadEstimator) Admitted(key string, rank, busyRefusals int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	width := max(1, s.spreads[key].width)
	switch {
	case busyRefusals == 0:
		width *= decay
	case float64(rank+1) > width:
		width += growth * (float64(rank+1) - width)
	}
	if width < minSpreadWidth || len(s.spreads) >= maxTracked {
		delete(s.spreads, key)
		return
	}
	s.spreads[key] = spread{width: width, lastRank: rank}
}

// localWidth is the width from which each data centre has enough requests for an
// adapter to fill a runner of its own.
const localWidth = 4

// IsWide reports whether an adapter is spread over enough runners for its requests to
// stay in their data centre.
//
// Traffic between data centres is the largest cost after fetches. Without this rule
// three quarters of all responses crossed data centres, including those of the ten
// most popular adapters, which every data centre holds.
func (s *SpreadEstimator) IsWide(key string) bool { return s.get(key).width >= localWidth }
