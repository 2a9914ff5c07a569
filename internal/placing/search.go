package placing

// Bounds of one request's search.
const (
	// maxAsks bounds the owners that one request asks, some 3 ms each, and
	// maxLastAsks those that it asks for any place at all. With six, 64 of 13,700
	// requests of the experiment's grown day were refused while slots were free
	// further on, with nine one; the mean is two.
	maxAsks     = 9
	maxLastAsks = 2
)

// Search is the search of one request for a place on an engine: a walk over its
// adapter's runners, and another one on which it takes any place at all.
type Search struct {
	spreads *SpreadEstimator
	// key is that of the adapter's spread, whole the one over all data centres.
	key, whole string
	places     int
	walk       *Walk
	last       bool
	asks       int
	// busy counts the runners of this walk that had too many requests.
	busy int
}

// nearPrefix marks the spread of an adapter's requests of one data centre.
const nearPrefix = "near "

// Search begins a search over so many runners.
func (s *SpreadEstimator) Search(key string, places int) *Search {
	search := &Search{spreads: s, key: key, whole: key, places: places}
	if s.IsWide(key) {
		search.key = nearPrefix + key
	}
	search.walk = s.Walk(search.key, places)
	return search
}

// PreferLocal says that the runners are to be ordered with those of the request's data
// centre first.
func (s *Search) PreferLocal() bool { return s.key != s.whole }

// Next gives the next place to ask, and whether for any place at all; false after
// the last. The draw is uniform in [0, 1).
func (s *Search) Next(draw float64) (step Step, last, more bool) {
	if s.asks < s.limit() {
		if step, more = s.walk.Next(draw); more {
			return step, s.last, true
		}
	}
	if s.last {
		return Step{}, true, false
	}
	s.last, s.asks, s.busy = true, 0, 0
	s.walk = s.spreads.Walk(s.key, s.places)
	step, more = s.walk.Next(draw)
	return step, true, more
}

func (s *Search) limit() int {
	if s.last {
		return maxLastAsks
	}
	return maxAsks
}

// Refused notes that a runner's owner refused the request: since it is busy, or
// since the adapter lies elsewhere; named are the places that it named.
func (s *Search) Refused(busy, elsewhere bool, named []int) {
	s.asks++
	if busy {
		s.busy++
	}
	if len(named) > 0 {
		s.walk.AddReplicas(named, elsewhere)
	}
}

// Admitted notes where the request was admitted.
func (s *Search) Admitted(place int) {
	s.spreads.Admitted(s.key, place, s.busy)
	if s.PreferLocal() && place == 0 && s.busy == 0 {
		// One runner of the data centre is enough: the adapter may be less wanted
		// than it was.
		s.spreads.Admitted(s.whole, 0, 0)
	}
}
