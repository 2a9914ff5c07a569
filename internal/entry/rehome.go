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

// rehomeInterval is how often this host looks whether the homes of what lies on
// its runners know of it. Nothing is sent unless a home is new.
const rehomeInterval = time.Second

// rehome tells the homes of adapters which of them lie on this host's runners.
//
// The failure it answers: all hosts lose power, or a runner comes back after a
// crash, and homes know nothing of what lies on the other runners. Each adapter
// that is asked for is then fetched once more, just when the weight store is busy
// with what the crash has cost. After a total loss a hundred of 300 copies came
// from this. A home that could not be told, since nobody owns it yet, is told again:
// a runner is listed some tenths of a second before it has an owner.
type rehome struct {
	owner  *adapters.Owner
	owners *owners
	// told is the home that was told of an adapter on a runner.
	told map[string]map[adapters.Key]string
}

func newRehome(owner *adapters.Owner, owners *owners) *rehome {
	return &rehome{owner: owner, owners: owners, told: map[string]map[adapters.Key]string{}}
}

// run tells the homes that do not know yet.
func (r *rehome) run(ctx context.Context, snapshot *directory.Snapshot) {
	if snapshot.Config == nil {
		return
	}
	for id := range r.told {
		if _, ok := r.owner.Controller(id); !ok {
			delete(r.told, id)
		}
	}
	for service, runners := range snapshot.ByService {
		if !snapshot.IsEngine(service) {
			continue
		}
		for _, runner := range runners {
			if keeper, ok := r.owner.Controller(runner.ID); ok {
				r.tell(ctx, runner, keeper.HeldKeys(snapshot.Versions), runners)
			}
		}
	}
}

func (r *rehome) tell(ctx context.Context, runner *site.Runner, held []adapters.Key, runners []*site.Runner) {
	before := r.told[runner.ID]
	now := make(map[adapters.Key]string, len(held))
	for _, key := range held {
		home := homeOf(key, runners)
		if home == nil {
			continue
		}
		known := home.ID == runner.ID || before[key] == home.ID || r.owners.tellHome(ctx, home, key, runner) == nil
		if known {
			now[key] = home.ID
		}
	}
	r.told[runner.ID] = now
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
