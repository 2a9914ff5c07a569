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
		WorkPercent: view.WorkPercent, WorkAgeMS: view.WorkAge.Milliseconds(), BacklogMS: controller.PrefillBacklog().Milliseconds(),
	}
	if perToken := controller.PrefillPerToken(); perToken > 0 {
		state.TokensPerMS = float64(time.Millisecond) / perToken
	}
	return state
}

// adapterStates returns the adapters with the most demand whose homes are runners of this host, for
// the metrics page.
func (e *Entry) adapterStates() []contention.Adapter { return hotAdapters(e.owner) }

func hotAdapters(owner *adapters.Owner) []contention.Adapter {
	var states []contention.Adapter
	for _, hot := range owner.Hottest(contention.MaxAdapters) {
		replicas := hot.Replicas
		if hot.Held {
			replicas = append([]string{hot.Home}, replicas...)
		}
		states = append(states, contention.Adapter{
			Adapter: hot.Key.String(), PerS: rounded(hot.PerSecond), RefusedPerS: rounded(hot.RefusedPerSecond), Planned: hot.Planned, Replicas: replicas,
		})
	}
	return states
}

// evictions returns the number of evictions of adapters on this host's runners, by reason.
func (e *Entry) evictions() map[string]int64 { return e.owner.Replication().Evictions() }

// slotLedgerStates returns the state of the slot ledgers that this host keeps, for the metrics page.
func (e *Entry) slotLedgerStates() []contention.SlotLedger {
	var states []contention.SlotLedger
	for service, status := range e.slots.ledgers.status() {
		states = append(states, contention.SlotLedger{
			Service: service, Slots: status.Slots, Granted: status.Running, Queued: status.Waiting,
			LongestWaitMS: status.LongestWait.Milliseconds(), HoldMS: status.MeanHold.Milliseconds(),
			Grants: status.Granted, Refused: status.Refused, Expired: status.Expired,
			Promoted: status.Promoted, RefusedByRunner: status.RefusedByRunner, Full: status.Full,
		})
	}
	slices.SortFunc(states, func(a, b contention.SlotLedger) int { return cmp.Compare(a.Service, b.Service) })
	return states
}
