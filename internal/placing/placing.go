// Package placing decides to which runner a request goes. It is pure: it takes
// what is known and gives a decision.
//
// The load it answers: thousands of adapters, of which the runners together
// hold a tenth, and of which one takes a fifth of all requests. Each adapter has
// an order of runners by rendezvous hashing. It goes to the first of them that
// is not much busier than the others, so that cold adapters lie on one runner
// each and only hot ones spread, as far as their load asks.
package placing

// Candidate is a runner that may serve.
type Candidate struct {
	ID string
	// Load is the number of requests of all hosts on the runner.
	Load  int
	Slots int
	// Resident says that the adapter is there, or will be by Ready.
	Resident bool
	// Loadable says that a live host gives the runner its orders.
	Loadable bool
	// Suspect runners failed requests lately.
	Suspect bool
	// Near runners are in the host's own data centre.
	Near bool
}

// Limits of the load on a runner.
const (
	// balance is how much busier than the mean a runner may be before requests
	// for its adapters go to their next runner. Lower spreads adapters over more
	// places than they need; higher makes steps longer on the busy runner.
	balance = 1.5
	// quietShare of the slots may always be used: with 38 of 64 requests running
	// a step takes 5.9 ms and not 5.5, while a copy of an adapter on one more
	// runner costs a fetch from the weight store and a quarter of a second.
	quietShare = 0.6
	// overfull is how many requests beyond its slots a runner is given, as a
	// share of them: they wait there while others finish, some 60 ms each.
	overfull = 0.25
)

// Choice is a decision.
type Choice struct {
	// Index of the candidate, -1 where none may take the request.
	Index int
	// Load says that the adapter has to be loaded there first.
	Load bool
}

// None is the choice of no runner.
var None = Choice{Index: -1}

// Adapter chooses a runner for a request for an adapter. The candidates are in
// the adapter's order.
func Adapter(candidates []Candidate) Choice {
	bound := bounds(candidates)
	if i := first(candidates, func(c Candidate) bool { return !c.Suspect && c.Resident && c.Load < bound(c) }); i >= 0 {
		return Choice{Index: i}
	}
	if i := first(candidates, func(c Candidate) bool { return !c.Suspect && c.Loadable && c.Load < bound(c) }); i >= 0 {
		return Choice{Index: i, Load: !candidates[i].Resident}
	}
	if i := least(candidates, func(c Candidate) bool { return !c.Suspect && c.Resident && c.Load < ceiling(c) }); i >= 0 {
		return Choice{Index: i}
	}
	if i := least(candidates, func(c Candidate) bool { return c.Loadable && c.Load < ceiling(c) }); i >= 0 {
		return Choice{Index: i, Load: !candidates[i].Resident}
	}
	if i := least(candidates, func(c Candidate) bool { return c.Resident && c.Load < ceiling(c) }); i >= 0 {
		return Choice{Index: i}
	}
	return None
}

// Plain chooses a runner for a request that any runner of the service serves.
func Plain(candidates []Candidate) Choice {
	if i := least(candidates, func(c Candidate) bool { return !c.Suspect && c.Load < ceiling(c) }); i >= 0 {
		return Choice{Index: i}
	}
	return Choice{Index: least(candidates, func(c Candidate) bool { return c.Load < ceiling(c) })}
}

// bounds gives the load up to which a runner takes requests of its adapters.
func bounds(candidates []Candidate) func(Candidate) int {
	load, slots := 0, 0
	for _, c := range candidates {
		load += c.Load
		slots += c.Slots
	}
	share := 0.0
	if slots > 0 {
		share = float64(load) / float64(slots)
	}
	return func(c Candidate) int {
		fair := max(share*balance, quietShare) * float64(c.Slots)
		return min(int(fair)+1, c.Slots)
	}
}

func ceiling(c Candidate) int { return c.Slots + max(1, int(float64(c.Slots)*overfull)) }

func first(candidates []Candidate, fits func(Candidate) bool) int {
	for i, c := range candidates {
		if fits(c) {
			return i
		}
	}
	return -1
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
	return a.Near && !b.Near
}
