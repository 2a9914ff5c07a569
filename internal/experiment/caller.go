package experiment

import (
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/cherrystage/cherrystage/internal/adapters"
	"github.com/cherrystage/cherrystage/internal/placing"
	"github.com/cherrystage/cherrystage/internal/quarantine"
	"github.com/cherrystage/cherrystage/internal/site"
	"github.com/cherrystage/cherrystage/internal/streams"
	"github.com/pkg/errors"
)

// Timing of a caller and of the product's handling of a request, as in package serve.
const (
	// retryAfter is the time after which a refused caller retries.
	retryAfter = 300 * time.Millisecond
	// A caller abandons a request without an event after callerSilence, after silenceTargets
	// times its target latency or after silenceGaps times its target gap, whichever is longest.
	callerSilence  = 2 * time.Second
	silenceTargets = 4
	silenceGaps    = 8
	// sendReserve and firstEventReserve are the parts of the caller's silence and of the
	// target latency that are kept for sending the request and for its first event.
	sendReserve       = 150 * time.Millisecond
	firstEventReserve = 60 * time.Millisecond
	// promptWaitDivisor divides the target latency to give the wait for prefill that is
	// accepted.
	promptWaitDivisor = 2
	// missingPause is the pause before another search after an engine lacked the adapter.
	missingPause = 30 * time.Millisecond
	maxSends     = 4
	// suspectFactor is the multiple of the target latency after which a runner without a
	// first event is suspected.
	suspectFactor = 2
	// outputSpread is the standard deviation of the logarithm of answer lengths.
	outputSpread = 0.7
)

// request is one caller's request, including its retry.
type request struct {
	sim  *simulation
	kind *KindConfig
	// workspace is nil if the configuration has none.
	workspace *WorkspaceConfig
	key       adapters.Key
	// surge is set if the request belongs to a surge of demand.
	surge bool
	// prompt and output are the numbers of tokens of the prompt and of the answer.
	prompt  int
	output  int
	begun   time.Time
	retried bool
	// bad is set for a request whose prompt holds a bad part. subjects are those of the quarantine,
	// empty if no part is bad.
	bad      *BadPartConfig
	subjects []quarantine.Subject
	// id names the stream, continues is the request whose stream this one continues, origin what is
	// known of its begin, and beganAt the version that began it. The caller leaves early if leaves is
	// set.
	id        string
	continues *request
	origin    *streams.Origin
	beganAt   string
	leaves    bool
	events    int
	// firstTry is where the request's first try counts, nil if it does not.
	firstTry *FirstTries

	silenceState

	// The fields below belong to the current attempt.
	host    *host
	arrived time.Time
	search  *placing.Search
	runners []*site.Runner
	step    placing.Step
	// lastResort is set if every other runner has refused; waited is set once the owner has
	// told the host to ask again, with a ticket if the request was deferred.
	lastResort bool
	waited     bool
	ticket     uint64
	sends      int
	// arrivals counts the sends that reached an engine.
	arrivals int
	engine   *engine
	run      *engineRun
	first    time.Time
	lastSeen time.Time
	// gap is the longest time between two events.
	gap      time.Duration
	finished bool
	tried    map[string]bool
}

// generateRequests creates the requests of a kind, one after the other.
func (sim *simulation) generateRequests(kind *KindConfig) {
	rate := kind.PerS * sim.loadFactor(kind.Name)
	if rate <= 0 {
		sim.clock.after(time.Second, func() { sim.generateRequests(kind) })
		return
	}
	sim.clock.after(seconds(sim.demand.ExpFloat64()/rate), func() {
		if sim.clock.now.Sub(sim.started) > seconds(sim.cfg.LengthS) {
			return
		}
		sim.newRequest(kind)
		sim.generateRequests(kind)
	})
}

// loadFactor returns the factor by which bursts and the swing of demand currently multiply the
// load of a kind.
func (sim *simulation) loadFactor(kind string) float64 {
	at := sim.clock.now.Sub(sim.started)
	factor := sim.cfg.Demand.swingFactor(at)
	for _, burst := range sim.cfg.Bursts {
		if (burst.Kind == "" || burst.Kind == kind) && at >= seconds(burst.AtS) && at < seconds(burst.AtS+burst.ForS) {
			factor *= burst.Factor
		}
	}
	return factor
}

// newRequest draws a request of a kind and starts its first attempt.
func (sim *simulation) newRequest(kind *KindConfig) {
	r := &request{sim: sim, kind: kind, begun: sim.clock.now}
	r.workspace = sim.drawWorkspace()
	r.key = adapters.Key{Adapter: site.Adapter{Model: modelName}}
	if sim.demand.Float64() < sim.cfg.Demand.Named {
		var adapter int
		adapter, r.surge = sim.drawAdapter()
		r.key.Name = adapterName(adapter)
	}
	r.prompt = lognormal(sim.demand, kind.Prompt, kind.Spread)
	if kind.MostRead > 0 {
		r.prompt = min(r.prompt, kind.MostRead)
	}
	r.output = max(1, lognormal(sim.demand, kind.Events, outputSpread)*sim.cfg.Engines.Stride)
	if len(sim.cfg.BadParts) > 0 {
		r.setSubjects(sim.cfg.BadParts[0].WholeRequests)
	}
	r.drawLeaving()
	sim.result.countAsked(r)
	r.startAttempt()
}

// zipf draws a popularity rank. Rank k, counted from 1, has a weight of 1 / k^s; the result
// is counted from 0.
func (sim *simulation) zipf() int {
	s := sim.cfg.Demand.Zipf
	n := float64(sim.cfg.Demand.Adapters)
	// The inverse of the integral of x^-s. It approximates the distribution well beyond the
	// first ranks and keeps the share of the first one.
	u := sim.demand.Float64()
	x := math.Pow(1-u*(1-math.Pow(n+0.5, 1-s)/math.Pow(0.5, 1-s)), 1/(1-s)) * 0.5
	return min(len(sim.popularity)-1, max(0, int(x+0.5)-1))
}

// lognormal draws a log-normal number of at least 1 with the given mean; spread is the
// standard deviation of its logarithm.
func lognormal(rng *rand.Rand, mean, spread float64) int {
	return max(1, int(mean*math.Exp(spread*rng.NormFloat64()-spread*spread/2)))
}

// startAttempt starts an attempt at a random host.
func (r *request) startAttempt() {
	sim := r.sim
	r.host = sim.hosts[sim.choices.IntN(len(sim.hosts))]
	if r.host.stalledUntil.After(sim.clock.now) {
		sim.clock.at(r.host.stalledUntil.Add(wakeReads), r.arrive)
		return
	}
	r.arrive()
}

// arrive starts an attempt at the host that has read the request.
func (r *request) arrive() {
	sim := r.sim
	r.arrived = sim.clock.now
	r.sends, r.arrivals, r.finished, r.run, r.attempts, r.pays = 0, 0, false, nil, 0, false
	r.tried = map[string]bool{}
	if sim.hostsDown {
		// The connection fails, so the caller retries.
		r.retryOrRefuse()
		return
	}
	if r.isBlocked() || !r.findOrigin() {
		r.finished = true
		return
	}
	if !r.retried {
		if r.firstTry = sim.firstTries(r.host); r.firstTry != nil {
			r.firstTry.Asked++
		}
	}
	r.host.budget.RecordRequest(sim.clock.now, len(sim.hosts))
	if sim.policy == Reference {
		r.placeByReference()
		return
	}
	r.startSearch()
}

// timeLeft returns the time within which it is still useful to send the request.
func (r *request) timeLeft() time.Duration {
	now := r.sim.clock.now
	from := r.arrived
	if r.beside != nil && !r.beside.first.IsZero() {
		from = r.beside.lastSeen
	}
	return min(from.Add(r.patience()-sendReserve).Sub(now), r.begun.Add(seconds(r.kind.DeadlineS)).Sub(now))
}

// startSearch ranks the runners for the request's key and starts the search.
func (r *request) startSearch() {
	key := r.key.PlacementKey()
	if r.key.Name == "" {
		key = "any" + strconv.Itoa(r.sim.choices.IntN(1<<20))
	}
	r.runners = r.usable(r.sim.rankRunners(key))
	r.search = r.host.spreads.Search(key, len(r.runners))
	if r.search.PreferLocal() {
		r.runners = slices.Clone(r.runners)
		slices.SortStableFunc(r.runners, func(a, b *site.Runner) int { return r.distance(a) - r.distance(b) })
	}
	r.askNext()
}

// distance returns 0 for a runner in the host's data centre and 1 for any other.
func (r *request) distance(runner *site.Runner) int {
	if runner.DataCentre == r.host.centre {
		return 0
	}
	return 1
}

// askNext asks the owner of the next runner in the search for admission.
func (r *request) askNext() {
	sim := r.sim
	for {
		step, lastResort, more := r.search.Next(sim.choices.Float64())
		if !more || r.timeLeft() <= 0 {
			r.retryOrRefuse()
			return
		}
		runner := r.runners[step.Rank]
		if r.tried[runner.ID] || (!lastResort && r.host.board.View(runner.ID, sim.clock.now).Suspect) {
			continue
		}
		r.step, r.lastResort, r.waited, r.ticket = step, lastResort, false, 0
		r.askOwner()
		return
	}
}

func (r *request) askOwner() {
	sim := r.sim
	runner := r.runners[r.step.Rank]
	delay := sim.latency(r.host.centre, runner.DataCentre)
	sim.result.Asks++
	sim.clock.after(delay, func() {
		c := sim.controllers[runner.ID]
		if c == nil || r.finished {
			sim.clock.after(delay, func() { r.refused(runner, adapters.ErrNotOwner) })
			return
		}
		target := millis(r.kind.TargetMS)
		admitted, err := c.Admit(adapters.AdmissionRequest{
			Key: r.key, PromptTokens: r.prompt, MaxOutputTokens: r.output, ExpectedOutputTokens: r.output, PromptWait: target / promptWaitDivisor,
			LatencyBudget: r.arrived.Add(target - firstEventReserve).Sub(sim.clock.now), MaxWait: r.timeLeft(), LastResort: r.lastResort,
			Home: r.step.Home && r.key.Name != "" && sim.policy == Product, Retry: r.step.Retry, Waited: r.waited,
			Ranked: sim.cfg.ordersByPriority(), Precedence: r.precedence(), Ticket: r.ticket,
		})
		sim.lastAsker[r.key] = r
		sim.scheduleStep(c, 0)
		if err != nil {
			sim.clock.after(delay, func() { r.refused(runner, err) })
			return
		}
		if !admitted.AskAgain {
			sim.load[runner.ID]++
		}
		sim.clock.after(delay, func() { r.admitted(runner, admitted) })
	})
}

func (r *request) refused(runner *site.Runner, err error) {
	if r.finished {
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
	r.askNext()
}

func (r *request) admitted(runner *site.Runner, admitted adapters.AdmissionResult) {
	sim := r.sim
	pause := admitted.At.Sub(sim.clock.now)
	if pause > r.timeLeft() {
		r.releaseAdmission(runner, admitted)
		r.search.Refused(false, false, nil)
		r.askNext()
		return
	}
	if !r.waited && !r.step.Home && r.key.Name != "" && sim.policy == Product {
		sim.result.Told++
		home := sim.controllers[r.runners[0].ID]
		sim.clock.after(sim.latency(r.host.centre, r.runners[0].DataCentre), func() {
			if home != nil {
				home.AddReplica(r.key, runner.ID)
			}
		})
	}
	sim.clock.after(max(0, pause), func() {
		if r.finished {
			r.releaseAdmission(runner, admitted)
			return
		}
		if admitted.AskAgain {
			r.waited, r.ticket = true, admitted.Ticket
			r.askOwner()
			return
		}
		r.search.Admitted(r.step.Rank)
		if r.pays && r.beside == nil && !r.host.budget.Take(sim.clock.now, len(sim.hosts)) {
			r.releaseAdmission(runner, admitted)
			r.endUnsent(noRetry)
			return
		}
		r.send(runner)
	})
}

// releaseAdmission gives back an admission that isn't used.
func (r *request) releaseAdmission(runner *site.Runner, admitted adapters.AdmissionResult) {
	if !admitted.AskAgain {
		r.sim.reportEnd(runner.ID, r.key)
	}
}

// reportEnd tells a runner's owner, after a delay, that a request has ended.
func (sim *simulation) reportEnd(runner string, key adapters.Key) {
	sim.clock.after(endReportDelay, func() {
		if sim.load[runner] > 0 {
			sim.load[runner]--
		}
		if c := sim.controllers[runner]; c != nil {
			c.RequestsEnded(map[site.Adapter]int{key.Adapter: 1})
		}
	})
}

// send sends the request to the runner that admitted it.
func (r *request) send(runner *site.Runner) {
	sim := r.sim
	if r.isBlocked() {
		sim.reportEnd(runner.ID, r.key)
		return
	}
	r.sends++
	delay, setUp, reached := sim.path(r.host, runner)
	if !reached {
		sent := &engineRun{key: r.key}
		r.run = sent
		sim.clock.after(setUp, func() {
			sim.reportEnd(runner.ID, r.key)
			r.notRun(sent, runner, unreachable)
		})
		r.giveUpAfter(r.timeLeft() + sendReserve)
		return
	}
	r.arrivals++
	r.attempts++
	if r.beside != nil {
		r.beside.attempts++
		r.beside.hasRetry = false
	}
	h, sentAt := r.host, sim.clock.now
	cuts := h.cuts
	viaRelay := h.cutOff
	h.board.RecordStart(runner.ID, sentAt)
	r.suspectSilence(runner)
	sim.clock.after(delay+setUp, func() {
		if r.finished && r.beside != nil {
			h.board.RecordEnd(runner.ID)
			sim.reportEnd(runner.ID, r.key)
			return
		}
		e := sim.byID[runner.ID]
		sent := &engineRun{key: r.key, unread: r.prompt + r.passed, remaining: r.output - r.passed, sentAt: sentAt, heardAt: sentAt, beyond: r.pays}
		sent.event = func() {
			if r.bad != nil {
				sim.endEngine(e, *r.bad)
				return
			}
			if !viaRelay && h.cuts != cuts {
				return // the connection dropped all data since the cut
			}
			h.receive(sim.clock, delay, func() { r.event(sent, runner) })
		}
		sent.ended = func(whole bool) {
			h.receive(sim.clock, delay, func() {
				if sent.canceled {
					return
				}
				h.board.RecordEnd(runner.ID)
				sim.reportEnd(runner.ID, r.key)
				if viaRelay || h.cuts == cuts {
					r.end(sent, runner, whole)
				}
			})
		}
		r.engine, r.run = e, sent
		r.recordBadSend()
		if r.pays {
			sim.result.Silence.Runs++
		}
		if r.beside != nil {
			r.watchSecond(sent, runner)
		} else {
			r.watchSilence(sent, runner)
		}
		if why := e.submit(sent); why != accepted {
			sim.clock.after(delay, func() {
				h.board.RecordEnd(runner.ID)
				sim.reportEnd(runner.ID, r.key)
				r.notRun(sent, runner, why)
			})
		}
	})
	if r.beside == nil {
		r.giveUpAfter(r.timeLeft() + sendReserve)
	}
}

// suspectSilence records a failure of the runner if no event arrives in time.
func (r *request) suspectSilence(runner *site.Runner) {
	sends := r.sends
	h := r.host
	r.sim.clock.after(suspectFactor*millis(r.kind.TargetMS), func() {
		if r.first.IsZero() && r.sends == sends && !r.finished && r.host == h {
			h.board.RecordFailure(runner.ID, false, r.sim.clock.now)
		}
	})
}

// giveUpAfter has the caller abandon the request if no event arrives within silence, or at
// its deadline.
func (r *request) giveUpAfter(silence time.Duration) {
	sim := r.sim
	sends, arrived := r.sends, r.arrived
	sim.clock.after(silence, func() {
		if !r.finished && r.first.IsZero() && r.sends == sends && r.arrived.Equal(arrived) {
			r.abandon()
		}
	})
	sim.clock.at(r.begun.Add(seconds(r.kind.DeadlineS)), func() {
		if !r.finished && r.arrived.Equal(arrived) {
			r.abandon()
		}
	})
}

// abandon cancels the request and counts it as failed.
func (r *request) abandon() {
	r.finished = true
	r.overtake()
	if r.first.IsZero() && r.sim.cfg.Silence != "" {
		r.sim.result.Silence.NotBegun++
	}
	if r.run != nil {
		r.engine.cancel(r.run)
		r.host.board.RecordEnd(r.engine.runner.ID)
		r.sim.reportEnd(r.engine.runner.ID, r.key)
	}
	r.sim.result.countFailed(r)
}

func (r *request) event(sent *engineRun, runner *site.Runner) {
	if r.adopted {
		r.beside.event(sent, runner)
		return
	}
	if r.finished || r.run != sent {
		return
	}
	now := r.sim.clock.now
	r.hear(sent, runner)
	if r.beside != nil {
		r.beside.adopt(r)
		r.beside.event(sent, runner)
		return
	}
	r.overtake()
	r.host.board.RecordActivity(runner.ID, now)
	begins := false
	if r.first.IsZero() {
		r.first = now
		begins = true
		r.recordFirst(runner)
		r.sim.observePrefill(runner.ID, r.prompt, now.Sub(sent.sentAt))
	} else {
		r.gap = max(r.gap, now.Sub(r.lastSeen))
	}
	r.lastSeen = now
	r.passed = min(r.output, r.passed+r.sim.cfg.Engines.Stride)
	if begins {
		r.watchCaller()
	}
	r.leaveIfDue()
}

func (r *request) end(sent *engineRun, runner *site.Runner, whole bool) {
	if r.adopted {
		r.beside.end(sent, runner, whole)
		return
	}
	if r.finished || r.run != sent {
		return
	}
	r.overtake()
	r.finished = true
	now := r.sim.clock.now
	r.recordEnd(runner.ID, whole, sent.sentAt)
	if !whole {
		r.host.board.RecordFailure(runner.ID, false, now)
		r.sim.ownerBoard.RecordFailure(runner.ID, false, now)
		r.sim.result.countFailed(r)
		return
	}
	if r.sim.cfg.Silence != "" {
		r.countSilence()
	}
	r.host.board.RecordSuccess(runner.ID, now)
	r.sim.ownerBoard.RecordSuccess(runner.ID, now)
	r.sim.result.countServed(r)
}

// notRun continues after an engine did not run the request: it tries another runner if the
// retry budget allows.
func (r *request) notRun(sent *engineRun, runner *site.Runner, why refusal) {
	if r.finished || r.run != sent {
		return
	}
	sim := r.sim
	r.run = nil
	sim.result.TurnedAway++
	if r.beside != nil {
		r.endUnsent(noPlace)
		return
	}
	if why == unreachable {
		r.host.board.RecordFailure(runner.ID, true, sim.clock.now)
		r.tried[runner.ID] = true
	}
	if r.sends >= maxSends || r.arrivals > 0 && !r.host.budget.Take(sim.clock.now, len(sim.hosts)) {
		r.retryOrRefuse()
		return
	}
	if why != notLoaded {
		r.tried[runner.ID] = true
		r.startSearch()
		return
	}
	if c := sim.controllers[runner.ID]; c != nil {
		c.AdapterMissing(r.key.Adapter)
		sim.scheduleStep(c, 0)
	}
	sim.clock.after(missingPause, r.startSearch)
}

// retryOrRefuse tells the caller to retry later, which it does once.
func (r *request) retryOrRefuse() {
	if r.pays {
		r.endUnsent(noPlace)
		return
	}
	r.finished = true
	sim := r.sim
	sim.result.Refusals++
	if r.retried || sim.clock.now.Add(retryAfter).After(r.begun.Add(seconds(r.kind.DeadlineS))) {
		sim.result.countRefused(r)
		return
	}
	r.retried = true
	sim.clock.after(retryAfter, r.startAttempt)
}
