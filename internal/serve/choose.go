package serve

import (
	"context"
	"slices"

	"github.com/cherrystage/cherrystage/internal/adapters"
	"github.com/cherrystage/cherrystage/internal/fleet"
	"github.com/cherrystage/cherrystage/internal/placing"
	"github.com/cherrystage/cherrystage/internal/site"
)

// place chooses the runner that the request goes to next. It answers the
// request and returns false where none can take it.
func (l *life) place(ctx context.Context) bool {
	snapshot := l.s.Directory.Snapshot()
	runners := snapshot.ByService[l.service.Name]
	if l.service.Engine == nil {
		return l.placePlain(runners)
	}
	l.key = adapters.Key{Adapter: l.request.Adapter, Version: snapshot.Versions[l.request.Adapter]}
	l.keyAt = l.s.Now()
	return l.placeOnEngine(ctx, RankRunners(l.placementKey(), WithModel(runners, l.key.Model)))
}

// reasonBarred is what callers are told where all runners ask for fewer requests.
const reasonBarred = "all runners take no request at the moment"

func (l *life) placePlain(runners []*site.Runner) bool {
	now := l.s.Now()
	var usable []*site.Runner
	var candidates []placing.Candidate
	for _, runner := range runners {
		view := l.s.Board.View(runner.ID, now)
		if view.BlockedFor > 0 {
			l.passOver(runner.ID, view.BlockedFor)
			continue
		}
		if l.tried[runner.ID] {
			continue
		}
		usable = append(usable, runner)
		candidates = append(candidates, placing.Candidate{
			ID:      runner.ID,
			Load:    view.Load,
			Slots:   runner.Slots,
			Suspect: view.Suspect || view.Refusing,
			Local:   runner.DataCentre == l.s.DataCentre,
		})
	}
	if len(candidates) == 0 && l.comeBack > 0 {
		l.refuseOrFail(l.comeBack, reasonBarred)
		return false
	}
	choice := placing.LeastLoaded(candidates)
	if choice < 0 {
		l.refuseOrFail(retrySoon, "no runner has room")
		return false
	}
	l.runner = usable[choice]
	return true
}

// nearFirst puts the runners of a data centre before the others and keeps their
// order otherwise.
func nearFirst(runners []*site.Runner, centre string) []*site.Runner {
	sorted := slices.Clone(runners)
	slices.SortStableFunc(sorted, func(a, b *site.Runner) int { return far(a, centre) - far(b, centre) })
	return sorted
}

func far(runner *site.Runner, centre string) int {
	if runner.DataCentre == centre {
		return 0
	}
	return 1
}

// WithModel gives the runners that hold a base model.
func WithModel(runners []*site.Runner, model string) []*site.Runner {
	var found []*site.Runner
	for _, runner := range runners {
		if runner.Holds(model) {
			found = append(found, runner)
		}
	}
	return found
}

// placementKey decides in which order the request tries the runners: that of
// its adapter, or one of its own if any runner of the model serves it. A new
// version counts as another adapter: it is loaded beside the old one, on a
// runner where it does not have to wait until the answers of the old one end.
func (l *life) placementKey() string {
	if l.key.Name == "" {
		return l.request.ID
	}
	return l.key.PlacementKey()
}

// RankRunners gives runners in the order for a key, the same on every host.
func RankRunners(key string, runners []*site.Runner) []*site.Runner {
	byAddress := make(map[string]*site.Runner, len(runners))
	addresses := make([]string, 0, len(runners))
	for _, runner := range runners {
		byAddress[runner.Address] = runner
		addresses = append(addresses, runner.Address)
	}
	sorted := make([]*site.Runner, 0, len(runners))
	for _, address := range fleet.Rank(key, addresses) {
		sorted = append(sorted, byAddress[address])
	}
	return sorted
}
