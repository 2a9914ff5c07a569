// Package placing chooses the runner for a request. It does no I/O: callers pass in
// what they know of the runners and get a decision.
//
// The workload it is designed for has thousands of adapters, of which the runners
// together can hold a tenth, and one adapter that receives a fifth of all requests.
// Rendezvous hashing ranks the runners for each adapter; the first one is the
// adapter's home. A request goes to the first runner in that order that is not much
// busier than the others, so a cold adapter is loaded on one runner only and a hot one
// on as many as its traffic needs. Whether a runner is too busy is decided by its
// owner, the host that gives it orders and knows its load.
package placing

const (
	// maxLoadRatio is how much busier than the mean a runner may be before requests
	// for its adapters go to their next runner. A lower value loads adapters on more
	// runners than they need; a higher one makes decoding steps on the busy runner
	// slower.
	maxLoadRatio = 1.5
	// uncontendedShare of the request slots may always be used. With 58 of 64
	// requests running a decoding step takes 7.4 ms instead of 5.5 (from the
	// platform's data sheets), whereas another replica of an adapter costs a fetch
	// from the weight store, a quarter of a second and an adapter slot that another
	// adapter needs.
	uncontendedShare = 0.9
	// loadedShare of the request slots may be used by requests whose adapter is on
	// the runner. A request runs for about two seconds, so one queued behind an
	// eighth of the slots waits for 250 ms. Loading its adapter on another runner
	// takes as long, and also needs a fetch and an adapter slot there.
	loadedShare = 1.125
	// queueShare is how many requests a runner may be given beyond its slots, as a
	// share of them. They wait on the runner until others finish.
	queueShare = 0.25
)

// Limits are the numbers of requests up to which a runner accepts another one.
type Limits struct {
	// NotLoaded applies to requests whose adapter would have to be loaded, Loaded to
	// those whose adapter is on the runner. Max is never exceeded.
	NotLoaded, Loaded, Max int
}

// LimitsFor returns the limits of a runner with the given number of request slots.
// The utilization is the mean share of slots in use over all runners.
func LimitsFor(slots int, utilization float64) Limits { return LimitsAt(slots, utilization, 1) }

// minSpeed bounds the effect of a runner's speed on its limits. Speeds are learned from few
// responses, and a limit that is too low leaves slots idle.
const minSpeed = 0.5

// LimitsAt returns the limits of a runner with a speed relative to most runners, 1 for as fast as
// these or faster.
//
// The requests of an adapter occupy the slots of a slow runner for longer, so it takes on new
// adapters up to a share of its slots that matches its speed; the adapters beyond that, and
// replicas of those that it holds, go to faster runners. Its queue also takes longer to drain, so
// it is shorter in proportion. All slots remain in use for adapters on the runner, since fewer
// requests at a time would not make it faster, and Max is the same, since requests that no other
// runner admits would be refused.
func LimitsAt(slots int, utilization, speed float64) Limits {
	speed = min(1, max(minSpeed, speed))
	available := float64(slots)
	notLoaded := int(max(utilization*maxLoadRatio, uncontendedShare)*available*speed) + 1
	return Limits{
		NotLoaded: min(notLoaded, slots),
		Loaded:    int((1 + (loadedShare-1)*speed) * available),
		Max:       slots + max(1, int(available*queueShare)),
	}
}

// sharedQueueDivisor divides a runner's slots into the requests that a ledger, which counts them for
// all hosts, may grant beyond them. They wait in the runner's own queue. A slot would be idle
// otherwise from the end of one request until the ledger has heard of it and the next request has
// arrived: several messages, where requests run for 30 to 60 ms.
const sharedQueueDivisor = 3

// QueueFor returns how many requests beyond its slots a ledger may grant on a runner.
func QueueFor(slots int) int { return slots / sharedQueueDivisor }

// Candidate is a runner of a service in which every runner can serve every request.
type Candidate struct {
	ID string
	// Load is the number of requests on the runner, from all hosts.
	Load  int
	Slots int
	// Suspect is set for runners that recently failed requests.
	Suspect bool
	// Local is set for runners in the host's own data centre.
	Local bool
}

// LeastLoaded returns the index of the least loaded runner below its limit, or -1 if
// there is none. Suspect runners are used only if no other is available.
func LeastLoaded(candidates []Candidate) int {
	if i := leastLoadedWhere(candidates, func(c Candidate) bool { return !c.Suspect && c.Load < LimitsFor(c.Slots, 0).Max }); i >= 0 {
		return i
	}
	return leastLoadedWhere(candidates, func(c Candidate) bool { return c.Load < LimitsFor(c.Slots, 0).Max })
}

// leastLoadedWhere returns the eligible candidate with the smallest share of its
// slots in use. Ties go to local candidates first, then to earlier ones.
func leastLoadedWhere(candidates []Candidate, eligible func(Candidate) bool) int {
	best := -1
	for i, c := range candidates {
		if eligible(c) && (best < 0 || lessLoaded(c, candidates[best])) {
			best = i
		}
	}
	return best
}

func lessLoaded(a, b Candidate) bool {
	left, right := a.Load*b.Slots, b.Load*a.Slots
	if left != right {
		return left < right
	}
	return a.Local && !b.Local
}
