package placing

// Step is the next runner that a request asks for a place. Places count in the
// order of the adapter's runners.
type Step struct {
	Rank int
	// Home is set at the first place: the runner's owner keeps on which others
	// the adapter lies. Retry: it is asked once more, since none of those took the
	// request.
	Home, Retry bool
}

// Walk is the order in which one request tries its adapter's runners: where the
// adapter's last request was admitted if it is spread over several, the home,
// the runners that the home names, the home anew, and then those that do not
// hold the adapter yet.
type Walk struct {
	spread
	known  bool
	places int
	tried  map[int]bool
	named  []int
	// anew says that the home lacks the adapter and left it to those it named.
	anew bool
}

// Walk begins a request's walk over so many runners.
func (s *SpreadEstimator) Walk(key string, places int) *Walk {
	known := s.of(key)
	return &Walk{spread: known, known: known.width > single, places: places, tried: map[int]bool{}}
}

// AddReplicas takes the places that the home named when it refused. With elsewhere it
// refused since the adapter lies there.
func (w *Walk) AddReplicas(places []int, elsewhere bool) {
	w.named = places
	w.anew = elsewhere
}

// Next gives the next place to try, or false after the last. The draw is uniform
// in [0, 1).
func (w *Walk) Next(draw float64) (Step, bool) {
	if w.known && len(w.tried) == 0 && draw >= look && w.last < w.places {
		return w.try(w.last), true
	}
	if !w.tried[0] && w.places > 0 {
		return w.try(0), true
	}
	if place, ok := w.nextNamed(); ok {
		return w.try(place), true
	}
	if w.anew {
		w.anew = false
		return Step{Home: true, Retry: true}, true
	}
	if len(w.tried) >= w.places {
		return Step{}, false
	}
	return w.try(w.fresh(draw)), true
}

func (w *Walk) nextNamed() (int, bool) {
	for len(w.named) > 0 {
		place := w.named[0]
		w.named = w.named[1:]
		if place < w.places && !w.tried[place] {
			return place, true
		}
	}
	return 0, false
}

// fresh gives a place that need not hold the adapter. For an adapter on one
// runner it is the first one left, the same on every host: requests that come at
// the same time then have one copy made and not one each. A wide adapter's is
// drawn from those that it is spread over, and after each refusal from twice as
// many.
func (w *Walk) fresh(draw float64) int {
	if !w.known {
		return w.untried(0)
	}
	w.width = min(2*w.width, float64(w.places))
	return w.untried(int(draw * w.width))
}

// untried gives the first place from one on that was not tried.
func (w *Walk) untried(place int) int {
	place %= w.places
	for w.tried[place] {
		place = (place + 1) % w.places
	}
	return place
}

func (w *Walk) try(place int) Step {
	w.tried[place] = true
	return Step{Rank: place, Home: place == 0}
}
