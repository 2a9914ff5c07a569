package serve

import (
	"context"
	"slices"

	"github.com/cherrystage/cherrystage/internal/adapters"
	"github.com/cherrystage/cherrystage/internal/fleet"
	"github.com/cherrystage/cherrystage/internal/placing"
	"github.com/cherrystage/cherrystage/internal/site"
)

// place selects the runner for the next attempt. If no runner can take the request, it answers
// the request and returns false.
func (l *lifecycle) place(ctx context.Context) bool {
	snapshot := l.s.Directory.Snapshot()
	runners := l.eligible(snapshot.ByService[l.service.Name])
	if l.origin != nil && len(runners) == 0 {
		l.refuseOrFail(versionGoneRetryAfter, reasonVersionGone)
		return false
	}
	if l.service.Engine == nil {
		return l.placePlain(ctx, runners)
	}
	l.key = adapters.Key{Adapter: l.request.Adapter, Version: snapshot.Versions[l.request.Adapter]}
	l.keyChosenAt = l.s.Now()
	return l.placeOnEngine(ctx, RankRunners(l.placementKey(), WithModel(runners, l.key.Model)))
}

// reasonAllBarred is the answer to callers while the rate limits and pauses of all runners
// allow no request.
const reasonAllBarred = "all runners take no request at the moment"

// placePlain selects a runner of a service without models: by a request slot that all hosts share,
// or else by what this host knows of the runners' load.
func (l *lifecycle) placePlain(ctx context.Context, runners []*site.Runner) bool {
	if l.sharesSlots() {
		usable, candidates := l.plainCandidates(runners)
		switch l.placeBySlot(ctx, usable, candidates) {
		case SlotGranted:
			return true
		case SlotRefused:
			return false
		case SlotUnknown:
			// The request may have waited.
			runners = l.eligible(l.s.Directory.Snapshot().ByService[l.service.Name])
		}
	}
	return l.placeByLoad(runners)
}

// placeByLoad selects the least loaded runner as far as this host knows.
func (l *lifecycle) placeByLoad(runners []*site.Runner) bool {
	if l.brittle {
		runners = l.withRoomByGuess(runners)
	}
	usable, candidates := l.plainCandidates(runners)
	if len(candidates) == 0 && l.soonestRetry > 0 {
		l.refuseOrFail(l.soonestRetry, reasonAllBarred)
		return false
	}
	choice := placing.LeastLoaded(candidates)
	if choice < 0 {
		l.refuseOrFail(l.retryAfter(), "no runner has room")
		return false
	}
	l.runner = usable[choice]
	return true
}

// plainCandidates returns the runners to which the request may go, and what is known of each.
func (l *lifecycle) plainCandidates(runners []*site.Runner) ([]*site.Runner, []placing.Candidate) {
	now := l.s.Now()
	var usable []*site.Runner
	var candidates []placing.Candidate
	for _, runner := range runners {
		view := l.s.Board.View(runner.ID, now)
		if view.BlockedFor > 0 {
			l.skip(runner.ID, view.BlockedFor)
			continue
		}
		if l.tried[runner.ID] {
			continue
		}
		usable = append(usable, runner)
		candidates = append(candidates, placing.Candidate{
			ID:    runner.ID,
			Load:  view.Load,
			Slots: runner.Slots,
			// The ledger of a brittle service knows better whether a runner has room.
			Suspect: view.Suspect || view.Refusing && !l.brittle,
			Local:   runner.DataCentre == l.s.DataCentre,
		})
	}
	return usable, candidates
}

// withRoomByGuess returns the brittle runners that may be sent a request by what this host alone
// knows of their load: no host sends one more than one request, or its part of the slots, at a
// time.
func (l *lifecycle) withRoomByGuess(runners []*site.Runner) []*site.Runner {
	var found []*site.Runner
	for _, runner := range runners {
		view := l.s.Board.View(runner.ID, l.s.Now())
		if !view.Refusing && view.Load < runner.Slots && view.Own < max(1, runner.Slots/max(1, l.s.HostCount())) {
			found = append(found, runner)
		}
	}
	return found
}

// NearFirst returns the runners with those of the data centre first, otherwise in the same
// order.
func NearFirst(runners []*site.Runner, centre string) []*site.Runner {
	sorted := slices.Clone(runners)
	slices.SortStableFunc(sorted, func(a, b *site.Runner) int { return distance(a, centre) - distance(b, centre) })
	return sorted
}

func distance(runner *site.Runner, centre string) int {
	if runner.DataCentre == centre {
		return 0
	}
	return 1
}

// WithModel returns the runners that hold a base model.
func WithModel(runners []*site.Runner, model string) []*site.Runner {
	var found []*site.Runner
	for _, runner := range runners {
		if runner.Holds(model) {
			found = append(found, runner)
		}
	}
	return found
}

// placementKey returns the key that determines the order in which runners are tried: that of
// the adapter, or the request's ID if it uses none. A new version has another key than the old
// one, so that it is loaded on a runner where it need not wait for the old one's answers.
func (l *lifecycle) placementKey() string {
	if l.key.Name == "" {
		return l.request.ID
	}
	return l.key.PlacementKey()
}

// RankRunners returns the runners in the order for a key, which is the same on every host.
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
