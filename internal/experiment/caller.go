package experiment

import (
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/cherrystage/cherrystage/internal/adapters"
	"github.com/cherrystage/cherrystage/internal/placing"
	"github.com/cherrystage/cherrystage/internal/site"
	"github.com/pkg/errors"
)

// Figures of a caller and of the product's requests, as in package serve.
const (
	retryAfter    = 300 * time.Millisecond
	callerSilence = 2 * time.Second
	callerTargets = 4
	callerGaps    = 8
	sendMargin    = 150 * time.Millisecond
	firstMargin   = 60 * time.Millisecond
	patienceShare = 2
	earlyPause    = 30 * time.Millisecond
	maxSends      = 4
	silentFactor  = 2
	// outputSpread is that of the lengths of answers.
	outputSpread = 0.7
)

// request is one caller's request, its retry included.
type request struct {
	w       *world
	kind    *KindConfig
	key     adapters.Key
	prompt  int
	output  int
	begun   time.Time
	retried bool

	// of the present try
	host     *host
	arrived  time.Time
	search   *placing.Search
	runners  []*site.Runner
	step     placing.Step
	last     bool
	waited   bool
	sends    int
	engine   *engine
	run      *run
	first    time.Time
	lastSeen time.Time
	gap      time.Duration
	over     bool
	tried    map[string]bool
}

// arrive makes the requests of a kind, one after the other.
func (w *world) arrive(kind *KindConfig) {
	rate := kind.PerS * w.factor(kind.Name)
	if rate <= 0 {
		w.clock.after(time.Second, func() { w.arrive(kind) })
		return
	}
	w.clock.after(seconds(w.demand.ExpFloat64()/rate), func() {
		if w.clock.now.Sub(w.started) > seconds(w.cfg.LengthS) {
			return
		}
		w.ask(kind)
		w.arrive(kind)
	})
}

func (w *world) factor(kind string) float64 {
	factor := 1.0
	at := w.clock.now.Sub(w.started)
	for _, burst := range w.cfg.Bursts {
		if (burst.Kind == "" || burst.Kind == kind) && at >= seconds(burst.AtS) && at < seconds(burst.AtS+burst.ForS) {
			factor *= burst.Factor
		}
	}
	return factor
}

func (w *world) ask(kind *KindConfig) {
	r := &request{w: w, kind: kind, begun: w.clock.now}
	r.key = adapters.Key{Adapter: site.Adapter{Model: modelName}}
	if w.demand.Float64() < w.cfg.Demand.Named {
		r.key.Name = "a" + strconv.Itoa(w.wanted[w.zipf()])
	}
	r.prompt = lognormal(w.demand, kind.Prompt, kind.Spread)
	if kind.MostRead > 0 {
		r.prompt = min(r.prompt, kind.MostRead)
	}
	r.output = max(1, lognormal(w.demand, kind.Events, outputSpread)*w.cfg.Engines.Stride)
	w.result.asked(r)
	r.begin()
}

// zipf draws a rank of popularity: rank k, from 1, with a weight of 1 / k^s.
func (w *world) zipf() int {
	s := w.cfg.Demand.Zipf
	n := float64(w.cfg.Demand.Adapters)
	// The inverse of the integral of x^-s, which is close enough beyond the first
	// ranks and keeps the first one's share.
	u := w.demand.Float64()
	x := math.Pow(1-u*(1-math.Pow(n+0.5, 1-s)/math.Pow(0.5, 1-s)), 1/(1-s)) * 0.5
	return min(len(w.wanted)-1, max(0, int(x+0.5)-1))
}

// lognormal draws a number with a mean and a spread of its logarithm.
func lognormal(rng *rand.Rand, mean, spread float64) int {
	return max(1, int(mean*math.Exp(spread*rng.NormFloat64()-spread*spread/2)))
}

// begin begins a try at some host.
func (r *request) begin() {
	w := r.w
	r.host = w.hosts[w.rng.IntN(len(w.hosts))]
	r.arrived = w.clock.now
	r.sends, r.over, r.run = 0, false, nil
	r.tried = map[string]bool{}
	if w.down {
		// No connection: the caller tries again.
		r.refuse()
		return
	}
	r.host.budget.RecordRequest(w.clock.now, len(w.hosts))
	if w.policy == Reference {
		r.placeByReference()
		return
	}
	r.place()
}

// within is the time within which sending the request is of use.
func (r *request) within() time.Duration {
	now := r.w.clock.now
	silence := max(callerSilence, callerTargets*millis(r.kind.TargetMS), callerGaps*millis(r.kind.GapMS))
	return min(r.arrived.Add(silence-sendMargin).Sub(now), r.begun.Add(seconds(r.kind.DeadlineS)).Sub(now))
}

func (r *request) place() {
	key := r.key.PlacementKey()
	if r.key.Name == "" {
		key = "any" + strconv.Itoa(r.w.rng.IntN(1<<20))
	}
	r.runners = r.w.order(key)
	r.search = r.host.spreads.Search(key, len(r.runners))
	if r.search.PreferLocal() {
		r.runners = slices.Clone(r.runners)
		slices.SortStableFunc(r.runners, func(a, b *site.Runner) int { return r.far(a) - r.far(b) })
	}
	r.next()
}

func (r *request) far(runner *site.Runner) int {
	if runner.DataCentre == r.host.centre {
		return 0
	}
	return 1
}

// next asks the next owner.
func (r *request) next() {
	w := r.w
	for {
		step, last, more := r.search.Next(w.rng.Float64())
		if !more || r.within() <= 0 {
			r.refuse()
			return
		}
		runner := r.runners[step.Rank]
		if r.tried[runner.ID] || (!last && r.host.board.View(runner.ID, w.clock.now).Suspect) {
			continue
		}
		r.step, r.last, r.waited = step, last, false
		r.askOwner()
		return
	}
}

func (r *request) askOwner() {
	w := r.w
	runner := r.runners[r.step.Rank]
	way := w.way(r.host.centre, runner.DataCentre)
	w.result.Asks++
	w.clock.after(way, func() {
		k := w.keepers[runner.ID]
		if k == nil || r.over {
			w.clock.after(way, func() { r.refused(runner, adapters.ErrNotOwner) })
			return
		}
		target := millis(r.kind.TargetMS)
		admitted, err := k.Admit(adapters.AdmissionRequest{
			Key: r.key, PromptTokens: r.prompt, MaxOutputTokens: r.output, ExpectedOutputTokens: r.output, PromptWait: target / patienceShare,
			LatencyBudget: r.arrived.Add(target - firstMargin).Sub(w.clock.now), MaxWait: r.within(), LastResort: r.last,
			Home: r.step.Home && r.key.Name != "" && w.policy == Product, Retry: r.step.Retry, Waited: r.waited,
		})
		w.wake(k, 0)
		if err != nil {
			w.clock.after(way, func() { r.refused(runner, err) })
			return
		}
		if !admitted.AskAgain {
			w.load[runner.ID]++
		}
		w.clock.after(way, func() { r.admitted(runner, admitted) })
	})
}

func (r *request) refused(runner *site.Runner, err error) {
	if r.over {
		return
	}
	busy := errors.Is(err, adapters.ErrBusy) || errors.Is(err, adapters.ErrPromptBacklog)
	var replicated *adapters.ReplicatedError
	var named []int
	if errors.As(err, &replicated) {
		for _, id := range replicated.Runners {
			for place, other := range r.runners {
				if other.ID == id {
					named = append(named, place)
				}
			}
		}
	}
	r.search.Refused(busy, errors.Is(err, adapters.ErrHeldElsewhere), named)
	r.next()
}

func (r *request) admitted(runner *site.Runner, admitted adapters.AdmissionResult) {
	w := r.w
	pause := admitted.At.Sub(w.clock.now)
	if pause > r.within() {
		r.unused(runner, admitted)
		r.search.Refused(false, false, nil)
		r.next()
		return
	}
	if !r.waited && !r.step.Home && r.key.Name != "" && w.policy == Product {
		w.result.Told++
		home := w.keepers[r.runners[0].ID]
		w.clock.after(w.way(r.host.centre, r.runners[0].DataCentre), func() {
			if home != nil {
				home.AddReplica(r.key, runner.ID)
			}
		})
	}
	w.clock.after(max(0, pause), func() {
		if r.over {
			r.unused(runner, admitted)
			return
		}
		if admitted.AskAgain {
			r.waited = true
			r.askOwner()
			return
		}
		r.search.Admitted(r.step.Rank)
		r.send(runner)
	})
}

func (r *request) unused(runner *site.Runner, admitted adapters.AdmissionResult) {
	if !admitted.AskAgain {
		r.w.ended(runner.ID, r.key)
	}
}

// ended tells a runner's owner that a request is over.
func (w *world) ended(runner string, key adapters.Key) {
	w.clock.after(toldAfter, func() {
		if w.load[runner] > 0 {
			w.load[runner]--
		}
		if k := w.keepers[runner]; k != nil {
			k.RequestsEnded(map[site.Adapter]int{key.Adapter: 1})
		}
	})
}

// send sends the request to the runner that admitted it.
func (r *request) send(runner *site.Runner) {
	w := r.w
	r.sends++
	way := w.way(r.host.centre, runner.DataCentre)
	h := r.host
	h.board.RecordStart(runner.ID, w.clock.now)
	r.watch(runner)
	w.clock.after(way, func() {
		e := w.byID[runner.ID]
		sent := &run{key: r.key, unread: r.prompt, left: r.output}
		sent.event = func() { w.clock.after(way, func() { r.event(sent, runner) }) }
		sent.ended = func(whole bool) {
			w.clock.after(way, func() {
				h.board.RecordEnd(runner.ID)
				w.ended(runner.ID, r.key)
				r.end(sent, runner, whole)
			})
		}
		r.engine, r.run = e, sent
		if why := e.submit(sent); why != taken {
			w.clock.after(way, func() {
				h.board.RecordEnd(runner.ID)
				w.ended(runner.ID, r.key)
				r.turnedAway(sent, runner, why)
			})
		}
	})
	r.giveUpAfter(r.within() + sendMargin)
}

// watch counts a runner's silence against it.
func (r *request) watch(runner *site.Runner) {
	sends := r.sends
	h := r.host
	r.w.clock.after(silentFactor*millis(r.kind.TargetMS), func() {
		if r.first.IsZero() && r.sends == sends && !r.over && r.host == h {
			h.board.RecordFailure(runner.ID, false, r.w.clock.now)
		}
	})
}

// giveUpAfter has the caller leave if nothing has come by then, or if its time is
// over.
func (r *request) giveUpAfter(silence time.Duration) {
	w := r.w
	sends, arrived := r.sends, r.arrived
	w.clock.after(silence, func() {
		if !r.over && r.first.IsZero() && r.sends == sends && r.arrived.Equal(arrived) {
			r.leave()
		}
	})
	w.clock.at(r.begun.Add(seconds(r.kind.DeadlineS)), func() {
		if !r.over && r.arrived.Equal(arrived) {
			r.leave()
		}
	})
}

func (r *request) leave() {
	r.over = true
	if r.run != nil {
		r.engine.cancel(r.run)
		r.host.board.RecordEnd(r.engine.runner.ID)
		r.w.ended(r.engine.runner.ID, r.key)
	}
	r.w.result.failed(r)
}

func (r *request) event(sent *run, runner *site.Runner) {
	if r.over || r.run != sent {
		return
	}
	now := r.w.clock.now
	r.host.board.RecordActivity(runner.ID, now)
	if r.first.IsZero() {
		r.first = now
	} else {
		r.gap = max(r.gap, now.Sub(r.lastSeen))
	}
	r.lastSeen = now
}

func (r *request) end(sent *run, runner *site.Runner, whole bool) {
	if r.over || r.run != sent {
		return
	}
	r.over = true
	now := r.w.clock.now
	if !whole {
		r.host.board.RecordFailure(runner.ID, false, now)
		r.w.owners.RecordFailure(runner.ID, false, now)
		r.w.result.failed(r)
		return
	}
	r.host.board.RecordSuccess(runner.ID, now)
	r.w.owners.RecordSuccess(runner.ID, now)
	r.w.result.served(r)
}

// turnedAway goes on after a runner did not run the request.
func (r *request) turnedAway(sent *run, runner *site.Runner, why refusal) {
	if r.over || r.run != sent {
		return
	}
	w := r.w
	r.run = nil
	w.result.TurnedAway++
	if why == unreachable {
		r.host.board.RecordFailure(runner.ID, true, w.clock.now)
		r.tried[runner.ID] = true
	}
	if r.sends >= maxSends || !r.host.budget.Take(w.clock.now, len(w.hosts)) {
		r.refuse()
		return
	}
	if why != absent {
		r.tried[runner.ID] = true
		r.place()
		return
	}
	if k := w.keepers[runner.ID]; k != nil {
		k.AdapterMissing(r.key.Adapter)
		w.wake(k, 0)
	}
	w.clock.after(earlyPause, r.place)
}

// refuse tells the caller to come back; it does so once.
func (r *request) refuse() {
	r.over = true
	w := r.w
	w.result.Refusals++
	if r.retried || w.clock.now.Add(retryAfter).After(r.begun.Add(seconds(r.kind.DeadlineS))) {
		w.result.refused(r)
		return
	}
	r.retried = true
	w.clock.after(retryAfter, r.begin)
}
