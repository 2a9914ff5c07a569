package placing

// Bounds on the search for one request.
const (
	// maxProbes bounds the owners that one request asks, at about 3 ms each, and
	// maxLastResortProbes those that it asks as a last resort. With a bound of six,
	// 64 of 13,700 requests of the scenario kushiro-grown (internal/experiment) were
	// refused while runners further down the order had free slots; with nine, one
	// was. On average a request asks two.
	maxProbes           = 9
	maxLastResortProbes = 2
)

// Search looks for a runner that admits one request. It walks over the adapter's
// runners, and if none admits the request, walks again and asks for admission as a
// last resort.
type Search struct {
	spreads *SpreadEstimator
	// globalKey identifies the adapter's spread over all data centres. key identifies
	// the spread that the search uses: that one, or the spread of the requests from
	// this data centre.
	key, globalKey string
	runners        int
	walk           *Walk
	lastResort     bool
	probes         int
	// busyCount is the number of runners of this walk that were too busy.
	busyCount int
}

// localPrefix marks the spread of an adapter's requests within one data centre.
const localPrefix = "near "

// Search starts a search over the given number of runners.
func (s *SpreadEstimator) Search(key string, runners int) *Search {
	search := &Search{spreads: s, key: key, globalKey: key, runners: runners}
	if s.IsWide(key) {
		search.key = localPrefix + key
	}
	search.walk = s.Walk(search.key, runners)
	return search
}

// PreferLocal reports whether the caller has to order the runners of the request's
// data centre before all others.
func (s *Search) PreferLocal() bool { return s.key != s.globalKey }

// Next returns the next runner to ask and whether to ask it as a last resort; more is
// false after the last one. draw is a uniform random number in [0, 1).
func (s *Search) Next(draw float64) (step Step, lastResort, more bool) {
	if s.probes < s.probeLimit() {
		if step, more = s.walk.Next(draw); more {
			return step, s.lastResort, true
		}
	}
	if s.lastResort {
		return Step{}, true, false
	}
	s.lastResort, s.probes, s.busyCount = true, 0, 0
	s.walk = s.spreads.Walk(s.key, s.runners)
	step, more = s.walk.Next(draw)
	return step, true, more
}

func (s *Search) probeLimit() int {
	if s.lastResort {
		return maxLastResortProbes
	}
	return maxProbes
}

// Refused records that a runner's owner refused the request. busy is set if the runner
// is too busy, heldElsewhere if other runners hold the adapter; both are false for
// other reasons. replicas are the ranks of the runners that the owner named.
func (s *Search) Refused(busy, heldElsewhere bool, replicas []int) {
	s.probes++
	if busy {
		s.busyCount++
	}
	if len(replicas) > 0 {
		s.walk.AddReplicas(replicas, heldElsewhere)
	}
}

// Admitted records which runner admitted the request.
func (s *Search) Admitted(rank int) {
	s.spreads.Admitted(s.key, rank, s.busyCount)
	if s.PreferLocal() && rank == 0 && s.busyCount == 0 {
		// The first runner of the data centre had room, so demand may have fallen:
		// let the spread over all data centres decay as well.
		s.spreads.Admitted(s.globalKey, 0, 0)
	}
}
