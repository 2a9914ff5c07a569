package routing

import (
	"time"

	"github.com/cherrystage/cherrystage/internal/fleet"
	"github.com/cherrystage/cherrystage/internal/residency"
)

// Weights balance short stalls against full batches.
type Weights struct {
	// Pack: among runners that can take a request at once, the fuller goes
	// first, so that engines fill their steps; otherwise the emptier does.
	Pack bool
	// ReplicaWait is the least expected wait for a busy copy at which another
	// copy is loaded.
	ReplicaWait time.Duration
	// BatchDepth is how many times its batch a runner is filled before its
	// requests count as waiting.
	BatchDepth float64
}

// Presets for the two deployments.
var (
	// PresetStalls weighs short stalls more (Kushiro).
	PresetStalls = Weights{ReplicaWait: 500 * time.Millisecond, BatchDepth: 1}
	// PresetBatches weighs full batches more (Caroni).
	PresetBatches = Weights{Pack: true, ReplicaWait: 3 * time.Second, BatchDepth: 1}
)

// PresetNamed gives the preset that a setting names.
func PresetNamed(name string) Weights {
	if name == "batches" {
		return PresetBatches
	}
	return PresetStalls
}

// Action is what to do with a request.
type Action string

// Actions.
const (
	// ActionSend: the model is resident.
	ActionSend Action = "send"
	// ActionJoin: the model is being loaded there; wait for it.
	ActionJoin Action = "join"
	// ActionLoad: have it loaded there and wait.
	ActionLoad Action = "load"
	// ActionNone: no runner can serve the model.
	ActionNone Action = "none"
)

// Decision says where a request goes, and why.
type Decision struct {
	Action Action
	Runner Runner
	// Wait is the expected wait before the request is in a batch.
	Wait time.Duration
	// NeedsReplica: the best copy is so busy that another is worth a load.
	NeedsReplica bool
	Reason       string
}

// Times are the measured times that expected waits are made from.
type Times struct {
	// Service is the mean time that a request holds a place in a batch.
	Service time.Duration
	// Load is the expected time until a load asked for now is done.
	Load time.Duration
}

// Choose picks among the runners on which the model has a slot. avoid names
// runners that this request, or the breaker, stays away from.
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
		case residency.SlotLoading, residency.SlotWanted:
			if joining == nil || candidate.Occupancy < joining.Occupancy {
				joining = candidate
			}
		}
	}
	if best != nil {
		spread := bestWait > weights.ReplicaWait && bestWait > times.Load && joining == nil
		return Decision{Action: ActionSend, Runner: best.Runner, Wait: bestWait, NeedsReplica: spread, Reason: "resident"}
	}
	if joining != nil {
		return Decision{Action: ActionJoin, Runner: joining.Runner, Wait: times.Load, Reason: "being loaded"}
	}
	return Decision{Action: ActionNone, Reason: "not resident"}
}

// better orders resident runners: the shorter wait first; among equal waits
// the fuller when packing, else the emptier.
func better(a Runner, aWait time.Duration, b Runner, bWait time.Duration, weights Weights) bool {
	if aWait != bWait {
		return aWait < bWait
	}
	if a.Occupancy != b.Occupancy {
		return (a.Occupancy > b.Occupancy) == weights.Pack
	}
	return a.ID < b.ID
}

// QueueWait estimates how long a request waits for a place in a runner's batch.
func QueueWait(r Runner, weights Weights, times Times) time.Duration {
	places := int(float64(r.MaxBatch) * weights.BatchDepth)
	if r.MaxBatch == 0 || r.Occupancy < places {
		return 0
	}
	ahead := r.Occupancy - places + 1
	return times.Service * time.Duration(ahead) / time.Duration(r.MaxBatch)
}

// Place picks a runner to load a model on: one with a free slot and few loads
// under way, then the less busy one. Ties fall by rendezvous hashing, so that
// hosts that decide at the same time for one model pick the same runner.
func Place(model string, runners []Runner, weights Weights, times Times, avoid func(id string) bool) (Runner, bool) {
	var ids []string
	best := map[string]Runner{}
	bestScore := placeScore{}
	for _, r := range runners {
		if !r.Live || !r.Known || r.Owner == "" || r.Slots == 0 || avoid(r.ID) {
			continue
		}
		score := scoreOf(r, weights, times)
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

// placeScore orders runners for a load; smaller is better. Its steps are
// coarse, so that hosts with slightly different views agree.
type placeScore struct {
	full    int // 0 with a free slot, 1 where one can be made, else 2
	loading int
	wait    int // steps of queue wait
	busy    int // steps of occupancy
}

const (
	waitStep  = 500 * time.Millisecond
	busySteps = 8
)

func scoreOf(r Runner, weights Weights, times Times) placeScore {
	score := placeScore{loading: r.Loading, wait: int(QueueWait(r, weights, times) / waitStep)}
	switch {
	case r.Free > 0:
	case r.Evictable > 0:
		score.full = 1
	default:
		// Nothing can make room there now, for instance since a host that may
		// hold pins is not heard: any other runner serves the caller sooner.
		score.full = 2
	}
	if r.MaxBatch > 0 {
		score.busy = r.Occupancy * busySteps / r.MaxBatch
	}
	if weights.Pack && score.wait == 0 {
		// A runner at work already fills its steps better than an idle one.
		score.busy = busySteps - score.busy
	}
	return score
}

func (a placeScore) less(b placeScore) bool {
	if (a.full == 2) != (b.full == 2) {
		return a.full < b.full
	}
	if a.wait != b.wait {
		return a.wait < b.wait
	}
	if a.full != b.full {
		return a.full < b.full
	}
	if a.loading != b.loading {
		return a.loading < b.loading
	}
	return a.busy < b.busy
}
