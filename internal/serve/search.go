package serve

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cherrystage/cherrystage/internal/adapters"
	"github.com/cherrystage/cherrystage/internal/placing"
	"github.com/cherrystage/cherrystage/internal/site"
	"github.com/pkg/errors"
)

// search is the search of one request for a place on an engine.
type search struct {
	*life
	// key is that of the adapter's spread, whole the one over all data centres.
	key, whole string
	// runners are in the adapter's order.
	runners []*site.Runner
	// busy counts the runners that had too many requests.
	busy int
	// named says that the home named the runner that is asked.
	named bool
}

// run walks over the runners once.
func (s *search) run(ctx context.Context, last bool) bool {
	walk := s.s.spreads.Walk(s.key, len(s.runners))
	s.busy = 0
	asks := 0
	for asks < limitOf(last) {
		step, more := walk.Next(rand.Float64())
		if !more {
			return false
		}
		s.runner = s.runners[step.Place]
		if s.tried[s.runner.ID] || (!last && s.s.Board.View(s.runner.ID, s.s.Now()).Suspect) {
			continue
		}
		err := s.admitted(ctx, step, last)
		if err == nil {
			s.note(step)
			return true
		}
		asks++
		if ctx.Err() != nil || s.startWithin() <= 0 {
			return false
		}
		s.refused(walk, err)
	}
	return false
}

func limitOf(last bool) int {
	if last {
		return maxLastAsks
	}
	return maxAsks
}

// refused takes a refusal into account.
func (s *search) refused(walk *placing.Walk, err error) {
	if errors.Is(err, adapters.ErrBusy) || errors.Is(err, adapters.ErrPressed) {
		s.busy++
	}
	var replicated *adapters.ReplicatedError
	if !errors.As(err, &replicated) {
		return
	}
	s.named = true
	walk.Named(s.placesOf(replicated.Runners), errors.Is(err, adapters.ErrElsewhere))
}

// placesOf gives the places of runners that are still there.
func (s *search) placesOf(ids []string) []int {
	var places []int
	for _, id := range ids {
		for place, runner := range s.runners {
			if runner.ID == id {
				places = append(places, place)
			}
		}
	}
	return places
}

// note keeps where the request was admitted, and tells the adapter's home.
func (s *search) note(step placing.Step) {
	s.rank, s.near = step.Place, s.key != s.whole
	s.s.spreads.Admitted(s.key, step.Place, s.busy)
	if s.key != s.whole && step.Place == 0 && s.busy == 0 {
		// One runner of the data centre is enough: the adapter may be less wanted
		// than it was.
		s.s.spreads.Admitted(s.whole, 0, 0)
	}
}

// tellHome tells the adapter's home that another runner has it, or will: requests
// that come while it is loaded there go there too.
func (s *search) tellHome(step placing.Step) {
	if s.asksHome() && !step.Home {
		s.s.Owners.Placed(s.runners[0], s.life.key, s.runner)
	}
}

// asksHome says whether a home is of use: a request without an adapter runs
// anywhere.
func (s *search) asksHome() bool { return s.life.key.Name != "" }

// admitted waits until the request may be sent to the runner, and gives the
// refusal if its owner does not admit it.
func (s *search) admitted(ctx context.Context, step placing.Step, last bool) error {
	l := s.life
	waited := false
	for {
		within := l.startWithin()
		admitted, err := l.s.Owners.Admit(ctx, l.runner, adapters.Admission{
			Key:      l.key,
			Tokens:   l.request.PromptTokens,
			Output:   l.request.OutputTokens,
			Patience: l.route.TargetLatency / patienceShare,
			Target:   l.arrived.Add(l.route.TargetLatency - sendMargin).Sub(l.s.Now()),
			Within:   within,
			Last:     last,
			Home:     step.Home && s.asksHome(),
			Anew:     step.Anew,
			Waited:   waited,
		})
		if err != nil {
			l.s.Log.Debug("not admitted", "id", l.request.ID, "runner", l.runner.ID, "adapter", l.key.String(), "last", last, "error", err.Error())
			l.refusals = append(l.refusals, err.Error())
			return err
		}
		pause := admitted.At.Sub(l.s.Now())
		if pause > within {
			l.unused(admitted)
			return errTooLate
		}
		if !waited {
			s.tellHome(step)
		}
		l.loaded = l.loaded || admitted.Again
		l.pause(ctx, pause)
		if ctx.Err() != nil {
			l.unused(admitted)
			return ctx.Err()
		}
		if !admitted.Again {
			return nil
		}
		waited = true
	}
}

var errTooLate = errors.New("the runner is free too late for the request")

func (l *life) pause(ctx context.Context, pause time.Duration) {
	if pause <= 0 {
		return
	}
	l.waited += pause
	sleep(ctx, pause)
}

// unused gives a place back that the request was admitted to.
func (l *life) unused(admitted adapters.Admitted) {
	if !admitted.Again {
		l.s.Owners.Ended(l.runner, l.key.Adapter)
	}
}
