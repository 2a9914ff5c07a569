package entry

import (
	"context"
	"sync"
	"time"

	"github.com/cherrystage/cherrystage/internal/adapters"
	"github.com/cherrystage/cherrystage/internal/board"
	"github.com/cherrystage/cherrystage/internal/directory"
	"github.com/cherrystage/cherrystage/internal/replication"
	"github.com/cherrystage/cherrystage/internal/serve"
	"github.com/cherrystage/cherrystage/internal/site"
	"github.com/cherrystage/cherrystage/internal/timing"
	"github.com/hashicorp/go-hclog"
)

const (
	// planInterval is how often homes plan replicas. It is a third of the time of a fetch, which
	// is the least delay of a new replica.
	planInterval = 100 * time.Millisecond
	// assumedLoadTime is the time after which a replica counts as ready on a runner whose owner
	// does not say when it will be.
	assumedLoadTime = 300 * time.Millisecond
	// maxLoadTime bounds the time that an owner names. A replica that is late for longer was
	// evicted or never ordered.
	maxLoadTime = 3 * time.Second
)

// replicator has replicas loaded that the homes among this host's runners plan, see
// docs/design/replication.md.
type replicator struct {
	owner     *adapters.Owner
	owners    *ownerClient
	board     *board.Board
	contended func() bool
	now       func() time.Time
	log       hclog.Logger

	mu sync.Mutex
	// recovered holds the leaving runners whose adapters were loaded elsewhere.
	recovered map[string]bool
}

func newReplicator(owner *adapters.Owner, owners *ownerClient, b *board.Board, contended func() bool, now func() time.Time) *replicator {
	return &replicator{owner: owner, owners: owners, board: b, contended: contended, now: now, log: owners.log, recovered: map[string]bool{}}
}

// plan starts the loads of missing replicas. It does not wait for their answers.
func (r *replicator) plan(ctx context.Context, snapshot *directory.Snapshot) {
	if snapshot.Config == nil || !r.contended() {
		return
	}
	for service, runners := range snapshot.ByService {
		if !snapshot.IsEngine(service) {
			continue
		}
		for _, runner := range runners {
			controller, ok := r.owner.Controller(runner.ID)
			if !ok {
				continue
			}
			for _, plan := range controller.PlanReplicas() {
				r.load(ctx, controller, runner, plan, runners)
			}
		}
	}
}

// load starts the loads of an adapter's missing replicas, in parallel.
func (r *replicator) load(ctx context.Context, controller *adapters.Controller, home *site.Runner, plan adapters.ReplicaPlan, runners []*site.Runner) {
	ranked := serve.RankRunners(plan.Key.PlacementKey(), serve.WithModel(runners, plan.Key.Model))
	order := candidateOrder(ranked, home)
	chosen := replication.Choose(r.candidates(order), plan.Unavailable, plan.Missing)
	replicas := min(plan.Missing, len(chosen))
	r.owner.Replication().Planned.Add(int64(replicas))
	next := &candidateQueue{runners: chosen}
	byID := make(map[string]*site.Runner, len(ranked))
	for _, runner := range ranked {
		byID[runner.ID] = runner
	}
	for range replicas {
		go func() {
			for id, ok := next.take(); ok; id, ok = next.take() {
				if r.loadOn(ctx, controller, home, plan, byID[id], ranked) {
					return
				}
			}
		}()
	}
}

// candidateOrder returns the runners in the order in which they get replicas. The first runner of
// a data centre is asked by that data centre's requests for popular adapters, so its replicas are
// made nearby.
func candidateOrder(ranked []*site.Runner, home *site.Runner) []*site.Runner {
	if len(ranked) > 0 && ranked[0].ID == home.ID {
		return ranked
	}
	return serve.NearFirst(ranked, home.DataCentre)
}

func (r *replicator) candidates(order []*site.Runner) []replication.Candidate {
	now := r.now()
	candidates := make([]replication.Candidate, 0, len(order))
	for _, runner := range order {
		view := r.board.View(runner.ID, now)
		avoided := runner.Leaving || view.Suspect || view.Refusing || view.BlockedFor > 0
		candidates = append(candidates, replication.Candidate{Runner: runner.ID, Avoided: avoided})
	}
	return candidates
}

// candidateQueue hands each runner to one of several goroutines.
type candidateQueue struct {
	mu      sync.Mutex
	runners []string
}

func (q *candidateQueue) take() (string, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.runners) == 0 {
		return "", false
	}
	first := q.runners[0]
	q.runners = q.runners[1:]
	return first, true
}

// loadOn asks for a replica on one runner and reports whether it was accepted.
func (r *replicator) loadOn(ctx context.Context, controller *adapters.Controller, home *site.Runner, plan adapters.ReplicaPlan, runner *site.Runner, ranked []*site.Runner) bool {
	counters := r.owner.Replication()
	atHome := runner.ID == home.ID
	if !atHome {
		// Recorded before the answer, so that the next plan does not ask for it as well.
		controller.ReplicaRequested(plan.Key, runner.ID, r.now().Add(assumedLoadTime))
	}
	result, err := r.owners.prefetchAhead(ctx, runner, adapters.AheadLoad{Key: plan.Key, PerSecond: plan.PerReplica})
	switch {
	case err != nil:
		counters.Unreachable.Add(1)
	case result.Refusal != "":
		counters.Refused.Add(1)
		r.log.Debug("replica refused", "adapter", plan.Key.String(), "runner", runner.ID, "reason", result.Refusal.Error())
	default:
		counters.Loaded.Add(1)
		if !atHome {
			readyAt := r.now().Add(result.readyIn())
			controller.ReplicaAccepted(plan.Key, runner.ID, readyAt)
			r.notifyLocalHome(ctx, home, plan.Key, runner, ranked, result.readyIn())
		}
		return true
	}
	controller.ReplicaRefused(plan.Key, runner.ID)
	return false
}

// notifyLocalHome tells the first runner of the replica's data centre about it once it is ready.
// Requests for a popular adapter ask that runner first.
func (r *replicator) notifyLocalHome(ctx context.Context, home *site.Runner, key adapters.Key, runner *site.Runner, ranked []*site.Runner, readyIn time.Duration) {
	local := serve.NearFirst(ranked, runner.DataCentre)[0]
	if local.ID == home.ID || local.ID == runner.ID {
		return
	}
	timing.Sleep(ctx, readyIn)
	if ctx.Err() == nil {
		_ = r.owners.notifyHome(ctx, local, key, runner)
	}
}

// PrefetchResult is the answer to a prefetch ahead of demand. It is empty for other prefetches and
// from hosts of earlier versions, which load ahead as they do at new versions of adapters.
type PrefetchResult struct {
	Refusal adapters.Refusal `json:"refusal,omitempty"`
	// ReadyMS is the time in milliseconds until the adapter will be loaded, nil if unknown.
	ReadyMS *int64 `json:"ready_ms,omitempty"`
}

// readyIn returns the time until the adapter will be loaded, at most maxLoadTime.
func (p PrefetchResult) readyIn() time.Duration {
	if p.ReadyMS == nil {
		return assumedLoadTime
	}
	return time.Duration(min(maxLoadTime.Milliseconds(), max(0, *p.ReadyMS))) * time.Millisecond
}

// prefetchAhead asks a runner's owner to load an adapter ahead of demand. It returns an error if
// the owner does not answer.
func (o *ownerClient) prefetchAhead(ctx context.Context, runner *site.Runner, load adapters.AheadLoad) (PrefetchResult, error) {
	host, address, err := o.locateOwner(runner)
	if err != nil {
		return PrefetchResult{}, err
	}
	if host == o.host {
		return o.prefetchAheadLocal(runner.ID, load), nil
	}
	ctx, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	var result PrefetchResult
	key := load.Key
	params := AdmitParams{Runner: runner.ID, Model: key.Model, Adapter: key.Name, Version: key.Version, AheadPerSecond: load.PerSecond, Lost: load.Lost}
	if err := o.pool.Call(ctx, address, methodPrefetch, params, &result); err != nil {
		return PrefetchResult{}, o.noteUnreachable(host, err)
	}
	return result, nil
}

func (o *ownerClient) prefetchAheadLocal(runner string, load adapters.AheadLoad) PrefetchResult {
	controller, ok := o.owner.Controller(runner)
	if !ok {
		return PrefetchResult{Refusal: adapters.ErrNotOwner}
	}
	readyAt, err := controller.PrefetchAhead(load)
	if result, refused := refusalResult(err); refused {
		return PrefetchResult{Refusal: result.Refusal}
	}
	readyMS := max(0, readyAt.Sub(o.now()).Milliseconds())
	return PrefetchResult{ReadyMS: &readyMS}
}
