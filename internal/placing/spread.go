package placing

import "sync"

// SpreadEstimator learns over how many runners each adapter is spread, from where its
// requests were admitted. It is safe for concurrent use.
//
// The load it answers: of 112 runners with 12 slots each, the most wanted adapter
// keeps 25 busy. Asked one after the other, the first three were always full, and
// a sixth of all requests was refused while half of the slots were free.
type SpreadEstimator struct {
	mu     sync.Mutex
	widths map[string]spread
}

// spread is what is known of one adapter.
type spread struct {
	width float64
	// last is where a request was admitted last.
	last int
}

const (
	// widen is the part of the way that a width goes towards where a request was
	// admitted after refusals, narrow what it loses with each request that was
	// admitted at once: some ten of these undo one refusal.
	widen  = 0.5
	narrow = 0.99
	// look is the share of requests that look for a place anew and do not begin
	// where the last one was admitted: they find out that fewer runners would do.
	look = 0.1
	// single is the width from which on an adapter counts as lying on one runner.
	single = 1.05
	// maxSpreads bounds the adapters with a width; those beyond start anew.
	maxSpreads = 4096
)

// NewSpreadEstimator makes spreads that know nothing: each adapter on one runner.
func NewSpreadEstimator() *SpreadEstimator { return &SpreadEstimator{widths: map[string]spread{}} }

func (s *SpreadEstimator) of(key string) spread {
	s.mu.Lock()
	defer s.mu.Unlock()
	known, ok := s.widths[key]
	if !ok {
		return spread{width: 1}
	}
	return known
}

// Admitted notes that a request was admitted at a place in the adapter's order
// of runners, after so many refusals of busy ones. Other refusals say nothing of
// how much the adapter is wanted.
func (s *SpreadEstimator) Admitted(key string, place, busy int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	width := max(1, s.widths[key].width)
	switch {
	case busy == 0:
		width *= narrow
	case float64(place+1) > width:
		width += widen * (float64(place+1) - width)
	}
	if width < single || len(s.widths) >= maxSpreads {
		delete(s.widths, key)
		return
	}
	s.widths[key] = spread{width: width, last: place}
}

// wide is the width from which on each data centre has enough requests for an
// adapter to fill a runner of its own.
const wide = 4

// IsWide says that an adapter is spread over so many runners that its requests can
// stay in their data centre.
//
// The load it answers: bytes between data centres are the dearest thing after
// fetches, and three quarters of all answers crossed, those of the ten most
// wanted adapters too, which lie everywhere.
func (s *SpreadEstimator) IsWide(key string) bool { return s.of(key).width >= wide }
