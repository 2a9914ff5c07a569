package entry

import (
	"context"
	"time"

	"github.com/cherrystage/cherrystage/internal/adapters"
	"github.com/cherrystage/cherrystage/internal/directory"
	"github.com/cherrystage/cherrystage/internal/fleet"
	"github.com/cherrystage/cherrystage/internal/serve"
	"github.com/cherrystage/cherrystage/internal/site"
)

// homeNotifyInterval is how often this host looks whether the homes of what lies on
// its runners know of it. Nothing is sent unless a home is new.
const homeNotifyInterval = time.Second

// homeNotifier tells the homes of adapters which of them lie on this host's runners.
//
// The failure it answers: all hosts lose power, or a runner comes back after a
// crash, and homes know nothing of what lies on the other runners. Each adapter
// that is asked for is then fetched once more, just when the weight store is busy
// with what the crash has cost. After a total loss a hundred of 300 copies came
// from this. A home that could not be told, since nobody owns it yet, is told again:
// a runner is listed some tenths of a second before it has an owner.
type homeNotifier struct {
	owner  *adapters.Owner
	owners *ownerClient
	// notified is the home that was notified of an adapter on a runner.
	notified map[string]map[adapters.Key]string
}

func newHomeNotifier(owner *adapters.Owner, owners *ownerClient) *homeNotifier {
	return &homeNotifier{owner: owner, owners: owners, notified: map[string]map[adapters.Key]string{}}
}

// run tells the homes that do not know yet.
func (r *homeNotifier) run(ctx context.Context, snapshot *directory.Snapshot) {
	if snapshot.Config == nil {
		return
	}
	for id := range r.notified {
		if _, ok := r.owner.Keeper(id); !ok {
			delete(r.notified, id)
		}
	}
	for service, runners := range snapshot.ByService {
		if !snapshot.IsEngine(service) {
			continue
		}
		for _, runner := range runners {
			if keeper, ok := r.owner.Keeper(runner.ID); ok {
				r.notify(ctx, runner, keeper.Holding(snapshot.Versions), runners)
			}
		}
	}
}

func (r *homeNotifier) notify(ctx context.Context, runner *site.Runner, held []adapters.Key, runners []*site.Runner) {
	before := r.notified[runner.ID]
	current := make(map[adapters.Key]string, len(held))
	for _, key := range held {
		home := homeOf(key, runners)
		if home == nil {
			continue
		}
		known := home.ID == runner.ID || before[key] == home.ID || r.owners.notifyHome(ctx, home, key, runner) == nil
		if known {
			current[key] = home.ID
		}
	}
	r.notified[runner.ID] = current
}

// homeOf gives the runner that comes first in an adapter's order.
func homeOf(key adapters.Key, runners []*site.Runner) *site.Runner {
	holders := serve.WithModel(runners, key.Model)
	addresses := make([]string, 0, len(holders))
	for _, runner := range holders {
		addresses = append(addresses, runner.Address)
	}
	first := fleet.First(key.PlacementKey(), addresses)
	for _, runner := range holders {
		if runner.Address == first {
			return runner
		}
	}
	return nil
}
