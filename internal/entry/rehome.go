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

// homeNotifyInterval is how often this host checks for adapters on its runners whose
// home runner was not notified. Nothing is sent unless a home is new.
const homeNotifyInterval = time.Second

// homeNotifier tells the home runners of adapters which of them are loaded on this
// host's runners.
//
// After all hosts lose power, or a runner restarts after a crash, homes do not know
// which adapters are loaded on other runners. Each requested adapter would then be
// fetched again, just when the weight store is busy recovering; after a total loss a
// hundred of 300 copies were such duplicates. A home without an owner is notified again
// later: a runner is listed some tenths of a second before it has an owner.
type homeNotifier struct {
	owner  *adapters.Owner
	owners *ownerClient
	// notified holds, by runner and adapter, the home that was last notified.
	notified map[string]map[adapters.Key]string
}

func newHomeNotifier(owner *adapters.Owner, owners *ownerClient) *homeNotifier {
	return &homeNotifier{owner: owner, owners: owners, notified: map[string]map[adapters.Key]string{}}
}

// run notifies the homes that were not notified yet.
func (n *homeNotifier) run(ctx context.Context, snapshot *directory.Snapshot) {
	if snapshot.Config == nil {
		return
	}
	for id := range n.notified {
		if _, ok := n.owner.Controller(id); !ok {
			delete(n.notified, id)
		}
	}
	for service, runners := range snapshot.ByService {
		if !snapshot.IsEngine(service) {
			continue
		}
		for _, runner := range runners {
			if controller, ok := n.owner.Controller(runner.ID); ok {
				n.notify(ctx, runner, controller.HeldKeys(snapshot.Versions), runners)
			}
		}
	}
}

func (n *homeNotifier) notify(ctx context.Context, runner *site.Runner, loaded []adapters.Key, runners []*site.Runner) {
	before := n.notified[runner.ID]
	current := make(map[adapters.Key]string, len(loaded))
	for _, key := range loaded {
		home := homeOf(key, runners)
		if home == nil {
			continue
		}
		informed := home.ID == runner.ID || before[key] == home.ID || n.owners.notifyHome(ctx, home, key, runner) == nil
		if informed {
			current[key] = home.ID
		}
	}
	n.notified[runner.ID] = current
}

// homeOf returns an adapter's home: the runner that ranks first for it.
func homeOf(key adapters.Key, runners []*site.Runner) *site.Runner {
	candidates := serve.WithModel(runners, key.Model)
	addresses := make([]string, 0, len(candidates))
	for _, runner := range candidates {
		addresses = append(addresses, runner.Address)
	}
	first := fleet.First(key.PlacementKey(), addresses)
	for _, runner := range candidates {
		if runner.Address == first {
			return runner
		}
	}
	return nil
}
