package entry

import (
	"context"
	"slices"
	"time"

	"github.com/cherrystage/cherrystage/internal/adapters"
	"github.com/cherrystage/cherrystage/internal/directory"
	"github.com/cherrystage/cherrystage/internal/site"
	"github.com/cherrystage/cherrystage/internal/timing"
)

const (
	// recoveryInterval is the time between two attempts to have a lost runner's adapters loaded,
	// recoveryAttempts their number. The weight store is busy right after a loss, and requests
	// come first. After some seconds requests have loaded what is wanted.
	recoveryInterval = 200 * time.Millisecond
	recoveryAttempts = 15
)

// runnerLost has the adapters of a runner that leaves or is gone loaded elsewhere, in the background.
// It does so once for each runner, since the entry of a leaving runner changes with each of its
// adapters.
func (r *replicator) runnerLost(runner *site.Runner, gone bool, snapshot func() *directory.Snapshot) {
	// Taken now, since the runner's controller is stopped soon.
	lost := r.lostAdapters(runner, snapshot())
	if r.beginRecovery(runner.ID, gone, len(lost) > 0) {
		go r.recover(context.Background(), runner, lost, snapshot)
	}
}

// beginRecovery reports whether to recover a runner's adapters now: there are some, and it was not
// done before. A runner that is gone is forgotten.
func (r *replicator) beginRecovery(runner string, gone, needed bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	begins := needed && !r.recovered[runner]
	switch {
	case gone:
		delete(r.recovered, runner)
	case begins:
		r.recovered[runner] = true
	}
	return begins
}

// lostAdapters returns the adapters that are lost with a runner of this host.
func (r *replicator) lostAdapters(runner *site.Runner, snapshot *directory.Snapshot) []adapters.AheadLoad {
	controller, ok := r.owner.Controller(runner.ID)
	if !ok {
		return nil
	}
	return controller.LostAdapters(snapshot.Versions)
}

// recover has a lost runner's adapters loaded at their new homes, those with the most demand first.
// Loads that are refused because the weight store or a runner has too much to do are tried again.
func (r *replicator) recover(ctx context.Context, runner *site.Runner, lost []adapters.AheadLoad, snapshot func() *directory.Snapshot) {
	if len(lost) == 0 {
		return
	}
	r.log.Info("recovering adapters of a lost runner", "runner", runner.ID, "adapters", len(lost), "first", lost[0].Key.String(), "per_s", lost[0].PerSecond)
	for range recoveryAttempts {
		runners := withoutRunner(snapshot().ByService[runner.Service], runner.ID)
		lost = slices.DeleteFunc(lost, func(load adapters.AheadLoad) bool { return r.recoverOne(ctx, load, runners) })
		if len(lost) == 0 || ctx.Err() != nil {
			return
		}
		timing.Sleep(ctx, recoveryInterval)
	}
}

// recoverOne asks an adapter's new home to load it and reports whether that is settled.
func (r *replicator) recoverOne(ctx context.Context, load adapters.AheadLoad, runners []*site.Runner) bool {
	home := homeOf(load.Key, runners)
	if home == nil {
		return true
	}
	result, err := r.owners.prefetchAhead(ctx, home, load)
	if err != nil || result.Refusal == adapters.ErrBusy || result.Refusal == adapters.ErrNotOwner {
		return false
	}
	if result.Refusal == "" {
		r.owner.Replication().Recovered.Add(1)
	}
	return true
}

func withoutRunner(runners []*site.Runner, id string) []*site.Runner {
	return slices.DeleteFunc(slices.Clone(runners), func(runner *site.Runner) bool { return runner.ID == id })
}
