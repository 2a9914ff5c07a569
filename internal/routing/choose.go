package routing

import (
	"time"

	"github.com/cherrystage/cherrystage/internal/fleet"
	"github.com/cherrystage/cherrystage/internal/residency"
)

// Weights set the trade-off between short stalls and full batches.
type Weights struct {
	// Pack prefers the fuller of the runners that can take a request at once, so that
	// engines run full batches. Without it the emptier runner is preferred.
	Pack bool
	// ReplicaWait is the minimum expected wait for a busy replica at which another
	// replica is loaded.
	ReplicaWait time.Duration
	// BatchDepth is the multiple of its batch size up to which a runner is filled
	// before requests count as waiting.
	BatchDepth float64
}

// Presets for the two deployments.
var (
	// PresetStalls favours short stalls (Kushiro).
	PresetStalls = Weights{ReplicaWait: 500 * time.Millisecond, BatchDepth: 1}
	// PresetBatches favours full batches (Caroni).
	PresetBatches = Weights{Pack: true, ReplicaWait: 3 * time.Second, BatchDepth: 1}
)

// PresetNamed returns the preset named in a setting, PresetStalls for other names.
func PresetNamed(name string) Weights {
	if name == "batches" {
		return PresetBatches
	}
	return PresetStalls
}

// Action is what to do with a request.
type Action string

// Actions of a decision.
const (
	// ActionSend sends the request to a runner on which the model is resident.
	ActionSend Action = "send"
	// ActionJoin waits on a runner for a load that is already under way.
	ActionJoin Action = "join"
	// ActionLoad has the model loaded on a runner and waits for it.
	ActionLoad Action = "load"
	// ActionNone means that no runner can serve the model now.
	ActionNone Action = "none"
)

// Decision is where a request goes, and why.
type Decision struct {
	Action Action
	Runner Runner
	// Wait is the expected time until the request is in a batch.
	Wait time.Duration
	// NeedsReplica is set if even the best replica is so busy that another is worth
	// a load.
	NeedsReplica bool
	Reason       string
}

// Times are the measured times from which waits are estimated.
type Times struct {
	// Service is the mean time that a request occupies a position in a batch.
	Service time.Duration
	// Load is the expected time until a load requested now is done.
	Load time.Duration
}

// Choose picks one of the runners on which the model has a slot. avoid reports the
// runners that must not be used, because of this request or the circuit breaker.
func Choose(located []Located, weights Weights, times Times, avoid func(id string) bool) Decision {
	var best, joining *Located
	var bestWait time.Duration
	for i := range located {
		candidate := &located[i]
		if !candidate.Live || avoid(candidate.ID) {
			continue
		}
		switch candidate.State {
		case residency.SlotResident:
			wait := QueueWait(candidate.Runner, weights, times)
			if best == nil || better(candidate.Runner, wait, best.Runner, bestWait, weights) {
				best, bestWait = candidate, wait
			}
		case residency.SlotLoading, residency.SlotPending:
			if joining == nil || candidate.Occupancy < joining.Occupancy {
				joining = candidate
			}
		}
	}
	if best != nil {
		needsReplica := bestWait > weights.ReplicaWait && bestWait > times.Load && joining == nil
		return Decision{Action: ActionSend, Runner: best.Runner, Wait: bestWait, NeedsReplica: needsReplica, Reason: "resident"}
	}
	if joining != nil {
		return Decision{Action: ActionJoin, Runner: joining.Runner, Wait: times.Load, Reason: "being loaded"}
	}
	return Decision{Action: ActionNone, Reason: "not resident"}
}

// better reports whether resident runner a is preferred to b: the shorter wait first,
// then the fuller runner when packing or else the emptier one.
func better(a Runner, aWait time.Duration, b Runner, bWait time.Duration, weights Weights) bool {
	if aWait != bWait {
		return aWait < bWait
	}
	if a.Occupancy != b.Occupancy {
		return (a.Occupancy > b.Occupancy) == weights.Pack
	}
	return a.ID < b.ID
}

// QueueWait estimates how long a request waits for a position in a runner's batch.
func QueueWait(r Runner, weights Weights, times Times) time.Duration {
	capacity := int(float64(r.MaxBatch) * weights.BatchDepth)
	if r.MaxBatch == 0 || r.Occupancy < capacity {
		return 0
	}
	ahead := r.Occupancy - capacity + 1
	return times.Service * time.Duration(ahead) / time.Duration(r.MaxBatch)
}

// Place picks a runner to load a model on: one with a free slot and few loads under
// way, then the least busy one. Ties are broken by rendezvous hashing, so that hosts
// that decide at the same time for one model pick the same runner.
func Place(model string, runners []Runner, weights Weights, times Times, avoid func(id string) bool) (Runner, bool) {
	var ids []string
	best := map[string]Runner{}
	bestScore := placeScore{}
	for _, r := range runners {
		if !r.Live || !r.Known || r.Owner == "" || r.Slots == 0 || avoid(r.ID) {
			continue
		}
		score := scoreRunner(r, weights, times)
		if len(ids) > 0 && bestScore.less(score) {
			continue
		}
		if len(ids) == 0 || score.less(bestScore) {
			ids = ids[:0]
			bestScore = score
		}
		ids = append(ids, r.ID)
		best[r.ID] = r
	}
	chosen := fleet.First(model, ids)
	return best[chosen], chosen != ""
}

// placeScore ranks runners for a load; smaller is better. Its values are coarse, so
// that hosts with slightly different views agree.
type placeScore struct {
	slotCost  int // 0: a slot is free, 1: one can be freed by an eviction, 2: neither
	loading   int
	wait      int // queue wait in units of waitBucket
	occupancy int // occupancy in fractions of a batch, by occupancyBuckets
}

const (
	waitBucket       = 500 * time.Millisecond
	occupancyBuckets = 8
)

func scoreRunner(r Runner, weights Weights, times Times) placeScore {
	score := placeScore{loading: r.Loading, wait: int(QueueWait(r, weights, times) / waitBucket)}
	switch {
	case r.Free > 0:
	case r.Evictable > 0:
		score.slotCost = 1
	default:
		// No slot can be freed there now, for instance because a host that may hold
		// pins is not heard from. Any other runner serves the caller sooner.
		score.slotCost = 2
	}
	if r.MaxBatch > 0 {
		score.occupancy = r.Occupancy * occupancyBuckets / r.MaxBatch
	}
	if weights.Pack && score.wait == 0 {
		// A runner that is busy already fills its batches better than an idle one.
		score.occupancy = occupancyBuckets - score.occupancy
	}
	return score
}

// less ranks a runner on which no slot can be freed last, whatever its wait.
func (a placeScore) less(b placeScore) bool {
	if (a.slotCost == 2) != (b.slotCost == 2) {
		return a.slotCost < b.slotCost
	}
	if a.wait != b.wait {
		return a.wait < b.wait
	}
	if a.slotCost != b.slotCost {
		return a.slotCost < b.slotCost
	}
	if a.loading != b.loading {
		return a.loading < b.loading
	}
	return a.occupancy < b.occupancy
}
