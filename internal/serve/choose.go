package serve

import (
	"github.com/cherrystage/cherrystage/internal/adapters"
	"github.com/cherrystage/cherrystage/internal/fleet"
	"github.com/cherrystage/cherrystage/internal/placing"
	"github.com/cherrystage/cherrystage/internal/site"
)

// choose decides where the request goes by what is believed now.
func (l *life) choose() (placing.Choice, []*site.Runner) {
	snapshot := l.s.Directory.Snapshot()
	runners := snapshot.ByService[l.service.Name]
	if l.service.Engine == nil {
		usable, candidates := l.candidates(runners, false)
		return placing.Plain(candidates), usable
	}
	l.key = adapters.Key{Adapter: l.request.Adapter, Version: snapshot.Versions[l.request.Adapter]}
	usable, candidates := l.candidates(ranked(l.key, withModel(runners, l.key.Model)), l.key.Name != "")
	if l.key.Name == "" {
		return placing.Plain(candidates), usable
	}
	return placing.Adapter(candidates), usable
}

func (l *life) candidates(runners []*site.Runner, adapter bool) ([]*site.Runner, []placing.Candidate) {
	now := l.s.Now()
	usable := make([]*site.Runner, 0, len(runners))
	candidates := make([]placing.Candidate, 0, len(runners))
	for _, runner := range runners {
		if l.tried[runner.ID] {
			continue
		}
		view := l.s.Board.View(runner.ID, now)
		candidate := placing.Candidate{
			ID:      runner.ID,
			Load:    view.Load,
			Slots:   runner.Slots,
			Suspect: view.Suspect,
			Near:    runner.DataCentre == l.s.DataCentre,
		}
		if adapter {
			_, candidate.Resident = l.s.Residency.ReadyAt(runner.ID, l.key)
			candidate.Loadable = l.s.Residency.Loadable(runner)
		}
		usable = append(usable, runner)
		candidates = append(candidates, candidate)
	}
	return usable, candidates
}

func withModel(runners []*site.Runner, model string) []*site.Runner {
	var found []*site.Runner
	for _, runner := range runners {
		if runner.Holds(model) {
			found = append(found, runner)
		}
	}
	return found
}

// ranked gives runners in an adapter's order. A new version counts as another
// adapter: it is loaded beside the old one, on a runner where it does not have
// to wait until the answers of the old one end.
func ranked(key adapters.Key, runners []*site.Runner) []*site.Runner {
	byAddress := make(map[string]*site.Runner, len(runners))
	addresses := make([]string, 0, len(runners))
	for _, runner := range runners {
		byAddress[runner.Address] = runner
		addresses = append(addresses, runner.Address)
	}
	order := fleet.Rank(key.PlacementKey(), addresses)
	sorted := make([]*site.Runner, 0, len(runners))
	for _, address := range order {
		sorted = append(sorted, byAddress[address])
	}
	return sorted
}
