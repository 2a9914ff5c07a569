package placing

// Step is the next runner to ask for admission.
type Step struct {
	// Rank is the runner's position in the adapter's order.
	Rank int
	// Home is set for the first runner in the adapter's order, whose owner knows
	// which other runners hold the adapter. Retry is set when the home is asked again
	// because none of those admitted the request.
	Home, Retry bool
}

// Walk is the order in which one request tries its adapter's runners: the runner that
// admitted the last request if the adapter is spread over several, the home, the
// replicas that the home names, the home again, and then the runners that need not
// hold the adapter.
type Walk struct {
	spread
	isSpread bool
	runners  int
	tried    map[int]bool
	replicas []int
	// retryHome is set if the home would have to load the adapter and refused the
	// request because others hold it.
	retryHome bool
}

// Walk starts a walk over the given number of runners.
func (s *SpreadEstimator) Walk(key string, runners int) *Walk {
	known := s.get(key)
	return &Walk{spread: known, isSpread: known.width > minSpreadWidth, runners: runners, tried: map[int]bool{}}
}

// AddReplicas sets the ranks that the home named when it refused the request.
// heldElsewhere is set if it refused because these runners hold the adapter.
func (w *Walk) AddReplicas(ranks []int, heldElsewhere bool) {
	w.replicas = ranks
	w.retryHome = heldElsewhere
}

// Next returns the next runner to try, or false after the last one. draw is a uniform
// random number in [0, 1).
func (w *Walk) Next(draw float64) (Step, bool) {
	if w.isSpread && len(w.tried) == 0 && draw >= exploreShare && w.lastRank < w.runners {
		return w.visit(w.lastRank), true
	}
	if !w.tried[0] && w.runners > 0 {
		return w.visit(0), true
	}
	if rank, ok := w.nextReplica(); ok {
		return w.visit(rank), true
	}
	if w.retryHome {
		w.retryHome = false
		return Step{Home: true, Retry: true}, true
	}
	if len(w.tried) >= w.runners {
		return Step{}, false
	}
	return w.visit(w.nextUnloaded(draw)), true
}

func (w *Walk) nextReplica() (int, bool) {
	for len(w.replicas) > 0 {
		rank := w.replicas[0]
		w.replicas = w.replicas[1:]
		if rank < w.runners && !w.tried[rank] {
			return rank, true
		}
	}
	return 0, false
}

// nextUnloaded returns the rank of an untried runner that need not hold the adapter.
// For an adapter that needs a single runner it is the lowest untried rank, the same on
// every host, so that concurrent requests cause one load instead of one each. For a
// spread adapter it is drawn at random from its width, which doubles with each call.
func (w *Walk) nextUnloaded(draw float64) int {
	if !w.isSpread {
		return w.firstUntried(0)
	}
	w.width = min(2*w.width, float64(w.runners))
	return w.firstUntried(int(draw * w.width))
}

// firstUntried returns the first untried rank from the given one on, wrapping around.
func (w *Walk) firstUntried(rank int) int {
	rank %= w.runners
	for w.tried[rank] {
		rank = (rank + 1) % w.runners
	}
	return rank
}

func (w *Walk) visit(rank int) Step {
	w.tried[rank] = true
	return Step{Rank: rank, Home: rank == 0}
}
