package replication

import "math"

// Capacity describes what one runner can do for one adapter.
type Capacity struct {
	// Slots is the number of its request slots.
	Slots int
	// TokensPerSecond is the rate at which it takes prompt tokens.
	TokensPerSecond float64
}

const (
	// slotShare is the share of a runner's request slots, and promptShare that of its prompt
	// rate, that the requests for one adapter may use. Above it their prompts queue behind each
	// other, and other adapters on the runner get no turn.
	slotShare   = 0.7
	promptShare = 0.6
	// maxNeeded bounds a plan.
	maxNeeded = 128
)

// Needed returns the number of replicas that serve a demand, at least 1.
func Needed(rate Rate, capacity Capacity) int {
	slots := float64(capacity.Slots) * slotShare
	tokens := capacity.TokensPerSecond * promptShare
	if slots <= 0 || tokens <= 0 {
		return 1
	}
	most := max(rate.Running/slots, rate.TokensPerSecond/tokens)
	return min(maxNeeded, max(1, int(math.Ceil(most))))
}

const (
	// starvedShare is the share of refused requests from which replicas are too few for a growing
	// demand, whatever the estimate of their work says.
	starvedShare = 0.5
	// starvedGrowth is the factor by which the number of replicas then grows.
	starvedGrowth = 1.5
	// maxStarvedFactor bounds that growth relative to the estimate: a runner also refuses because
	// of its other adapters, and a home with many replicas is often full.
	maxStarvedFactor = 1.5
)

// neededWhileStarved returns the number of replicas for a growing demand whose requests are
// refused.
func neededWhileStarved(needed, current int) int {
	grown := int(math.Ceil(starvedGrowth * float64(max(1, current))))
	return max(needed, min(grown, int(math.Ceil(maxStarvedFactor*float64(needed)))))
}

// Candidate is a runner that may get a replica.
type Candidate struct {
	Runner string
	// Avoided is set for runners that must not get requests now.
	Avoided bool
}

// triesPerReplica is how many runners are asked at most for each missing replica. Runners refuse
// if all their adapters are in use or have more demand.
const triesPerReplica = 6

// Choose returns the runners to ask for missing replicas, in the order of the candidates, without
// those that are held or avoided.
func Choose(candidates []Candidate, held func(runner string) bool, missing int) []string {
	var chosen []string
	for _, candidate := range candidates {
		if len(chosen) >= missing*triesPerReplica {
			break
		}
		if !candidate.Avoided && !held(candidate.Runner) {
			chosen = append(chosen, candidate.Runner)
		}
	}
	return chosen
}
