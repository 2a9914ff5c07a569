package entry

import (
	"context"
	"time"

	"github.com/cherrystage/cherrystage/internal/adapters"
	"github.com/cherrystage/cherrystage/internal/site"
)

// TellParams tells an owner what became of requests on its runners.
type TellParams struct {
	Runners map[string]Told `json:"runners"`
}

// Told is what a host tells of one runner.
type Told struct {
	Running int `json:"running"`
	Good    int `json:"good,omitempty"`
	Bad     int `json:"bad,omitempty"`
	// Hard failures are those to connect at all.
	Hard int `json:"hard,omitempty"`
	// Refused counts requests that the runner turned away.
	Refused int `json:"refused,omitempty"`
	// ReadingNS is the shortest time that an answer's beginning showed for a token of its
	// prompt, in nanoseconds.
	ReadingNS int64 `json:"reading_ns,omitempty"`
	// Ended counts the requests that have ended, by adapter.
	Ended map[string]int `json:"ended,omitempty"`
}

// news says whether there is anything to tell beside the number of requests.
func (t Told) news() bool { return t.Good+t.Bad+t.Hard+t.Refused+len(t.Ended) > 0 }

// tolled is what was last told of a runner.
type tolled struct {
	running int
	at      time.Time
}

// ReportOutcome implements serve.Owners.
func (o *owners) ReportOutcome(runner string, good, hard bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	told := o.outcomes[runner]
	switch {
	case good:
		told.Good++
	case hard:
		told.Hard++
	default:
		told.Bad++
	}
	o.outcomes[runner] = told
}

// ReportRefused implements serve.Owners.
func (o *owners) ReportRefused(runner string) {
	o.board.RecordRefusal(runner, o.now())
	o.mu.Lock()
	defer o.mu.Unlock()
	told := o.outcomes[runner]
	told.Refused++
	o.outcomes[runner] = told
}

const (
	// tellInterval is how often owners are told what became of requests, if anything
	// did. Told four times as often, ends of requests free places sooner, but what
	// callers get stays the same (0.775 and 0.777 served on busy days).
	tellInterval = 200 * time.Millisecond
	// tellAgain is how often a number that did not change is told again, so that
	// it does not count as that of a host that is gone.
	tellAgain = time.Second
)

// tell tells the owners what has changed on their runners. What an owner cannot be told
// is kept: without the word that requests have ended, it takes the places of their
// adapters for used until the longest of them would be over.
func (o *owners) tell(ctx context.Context, runners map[string]*site.Runner) {
	own := o.board.OwnRequests()
	byOwner := map[string]TellParams{}
	for id, runner := range runners {
		_, address, err := o.find(runner)
		if err != nil {
			continue
		}
		told, changed := o.changed(id, own[id])
		if !changed || address == "" {
			continue
		}
		if byOwner[address].Runners == nil {
			byOwner[address] = TellParams{Runners: map[string]Told{}}
		}
		byOwner[address].Runners[id] = told
	}
	for address, params := range byOwner {
		go o.tellOne(ctx, address, params)
	}
}

func (o *owners) tellOne(ctx context.Context, address string, params TellParams) {
	ctx, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	if err := o.pool.Call(ctx, address, methodTell, params, nil); err != nil {
		o.log.Debug("owner not told of its runners", "address", address, "error", err.Error())
		o.keep(params)
	}
}

// keep takes back what an owner was not told.
func (o *owners) keep(params TellParams) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for runner, told := range params.Runners {
		kept := o.outcomes[runner]
		kept.Good += told.Good
		kept.Bad += told.Bad
		kept.Hard += told.Hard
		kept.Refused += told.Refused
		if kept.Ended == nil {
			kept.Ended = told.Ended
		} else {
			for adapter, requests := range told.Ended {
				kept.Ended[adapter] += requests
			}
		}
		o.outcomes[runner] = kept
		delete(o.told, runner)
	}
}

// changed gives what has to be told of a runner.
func (o *owners) changed(runner string, running int) (Told, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.now()
	told := o.outcomes[runner]
	last := o.told[runner]
	again := running > 0 && now.Sub(last.at) >= tellAgain
	if !told.news() && running == last.running && !again {
		return Told{}, false
	}
	delete(o.outcomes, runner)
	o.told[runner] = tolled{running: running, at: now}
	told.Running = running
	return told, true
}

// ReportFirstEvent implements serve.Owners. It is told along with what comes of the request.
func (o *owners) ReportFirstEvent(runner *site.Runner, tokens int, first time.Duration) {
	perToken := adapters.PrefillPerToken(tokens, first)
	if perToken <= 0 {
		return
	}
	if keeper, ok := o.owner.Controller(runner.ID); ok {
		keeper.ObservePrefill(perToken)
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	told := o.outcomes[runner.ID]
	if told.ReadingNS == 0 || int64(perToken) < told.ReadingNS {
		told.ReadingNS = int64(perToken)
	}
	o.outcomes[runner.ID] = told
}

func (o *owners) takeEnded(runner string, ended map[string]int) {
	keeper, ok := o.owner.Controller(runner)
	if !ok || len(ended) == 0 {
		return
	}
	byAdapter := make(map[site.Adapter]int, len(ended))
	for name, requests := range ended {
		byAdapter[site.AdapterNamed(name)] = requests
	}
	keeper.RequestsEnded(byAdapter)
}

func (o *owners) takeTold(host string, params TellParams) {
	now := o.now()
	for runner, told := range params.Runners {
		o.board.SetPeerRequests(host, runner, told.Running, now)
		o.takeEnded(runner, told.Ended)
		if keeper, ok := o.owner.Controller(runner); ok {
			keeper.ObservePrefill(float64(told.ReadingNS))
		}
		for range told.Good {
			o.board.RecordSuccess(runner, now)
		}
		for range told.Bad {
			o.board.RecordFailure(runner, false, now)
		}
		if told.Good == 0 {
			for range told.Refused {
				o.board.RecordRefusal(runner, now)
			}
		}
		if told.Hard > 0 {
			o.board.RecordFailure(runner, true, now)
		}
	}
}
