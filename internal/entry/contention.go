package entry

import (
	"cmp"
	"slices"
	"time"

	"github.com/cherrystage/cherrystage/internal/adapters"
	"github.com/cherrystage/cherrystage/internal/contention"
	"github.com/cherrystage/cherrystage/internal/site"
)

// runnerStates returns the state of the runners that this host owns, for the metrics page.
func (e *Entry) runnerStates() []contention.Runner {
	now := e.now()
	var states []contention.Runner
	for _, runner := range e.directory.Snapshot().Runners {
		if controller, owned := e.owner.Controller(runner.ID); owned {
			states = append(states, e.runnerState(runner, controller, now))
		}
	}
	slices.SortFunc(states, func(a, b contention.Runner) int { return cmp.Compare(a.Runner, b.Runner) })
	return states
}

func (e *Entry) runnerState(runner *site.Runner, controller *adapters.Controller, now time.Time) contention.Runner {
	view := e.board.View(runner.ID, now)
	state := contention.Runner{
		Runner: runner.ID, Service: runner.Service, Load: view.Load, Slots: runner.Slots, Suspect: view.Suspect,
		WorkPercent: view.WorkPercent, WorkAgeMS: view.WorkAge.Milliseconds(),
	}
	if perToken := controller.PrefillPerToken(); perToken > 0 {
		state.TokensPerMS = float64(time.Millisecond) / perToken
	}
	return state
}
