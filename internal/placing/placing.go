// Package placing decides to which runner a request goes. It is pure: it takes
// what is known and gives a decision.
//
// The load it answers: thousands of adapters, of which the runners together
// hold a tenth, and of which one takes a fifth of all requests. Each adapter has
// an order of runners by rendezvous hashing. A request goes to the first of them
// that is not much busier than the others, so that cold adapters lie on one
// runner each and only hot ones spread, as far as their load asks. The runner's
// owner, which knows its load, says whether it is.
package placing

const (
	// balance is how much busier than the mean a runner may be before requests
	// for its adapters go to their next runner. Lower spreads adapters over more
	// places than they need; higher makes steps longer on the busy runner.
	balance = 1.5
	// quietShare of the slots may always be used: with 58 of 64 requests running
	// a step takes 7.4 ms and not 5.5 by the sheets, while a copy of an adapter on
	// one more runner costs a fetch from the weight store, a quarter of a second
	// and a place that another adapter needs.
	quietShare = 0.9
	// heldShare of the slots may be used by requests whose adapter lies on the
	// runner. A request runs for some two seconds, so one that waits behind an
	// eighth of the slots waits for 250 ms, which is what loading its adapter on
	// another runner takes, but needs no fetch and no place there.
	heldShare = 1.125
	// overfull is how many requests beyond its slots a runner is given, as a
	// share of them: they wait there while others finish.
	overfull = 0.25
)

// Limits are the numbers of requests that a runner may have.
type Limits struct {
	// NotLoaded is the number up to which it takes requests whose adapter would have
	// to be loaded, Loaded that for adapters which lie there, Max the one that it
	// never exceeds.
	NotLoaded, Loaded, Max int
}

// LimitsFor gives the limits of a runner with so many slots while the runners are
// filled to a share of theirs on average.
func LimitsFor(slots int, share float64) Limits {
	fair := int(max(share*balance, quietShare)*float64(slots)) + 1
	return Limits{
		NotLoaded: min(fair, slots),
		Loaded:    int(heldShare * float64(slots)),
		Max:       slots + max(1, int(float64(slots)*overfull)),
	}
}

// Candidate is a runner of a service whose runners all serve every request.
type Candidate struct {
	ID string
	// Load is the number of requests of all hosts on the runner.
	Load  int
	Slots int
	// Suspect runners failed requests lately.
	Suspect bool
	// Local runners are in the host's own data centre.
	Local bool
}

// LeastLoaded chooses a runner for a request that any runner of the service serves,
// and gives -1 where none has room.
func LeastLoaded(candidates []Candidate) int {
	if i := least(candidates, func(c Candidate) bool { return !c.Suspect && c.Load < LimitsFor(c.Slots, 0).Max }); i >= 0 {
		return i
	}
	return least(candidates, func(c Candidate) bool { return c.Load < LimitsFor(c.Slots, 0).Max })
}

// least gives the fitting candidate with the smallest share of its slots in
// use, near ones and then earlier ones first.
func least(candidates []Candidate, fits func(Candidate) bool) int {
	best := -1
	for i, c := range candidates {
		if fits(c) && (best < 0 || less(c, candidates[best])) {
			best = i
		}
	}
	return best
}

func less(a, b Candidate) bool {
	left, right := a.Load*b.Slots, b.Load*a.Slots
	if left != right {
		return left < right
	}
	return a.Local && !b.Local
}
