package experiment

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cherrystage/cherrystage/internal/adapters"
	"github.com/cherrystage/cherrystage/internal/site"
)

// engine models one runner: a batch that generates a token per step for each of its requests
// and prefills prompts in between, places for adapters, and orders.
type engine struct {
	sim      *simulation
	cfg      EngineConfig
	runner   *site.Runner
	held     map[adapters.Key]bool
	incoming map[adapters.Key]*fetch
	evicting map[adapters.Key]bool
	// cached holds the adapters that load fast, the most recent last.
	cached []adapters.Key
	// sequence is the number of orders accepted so far.
	sequence int64
	running  []*engineRun
	waiting  []*engineRun
	stepping bool
	silent   bool
	gone     bool
	// speed is relative to an engine of middle speed. work is the momentary work time, 1 if work
	// takes as long as usual on this engine.
	speed, work float64
	// draws is of this engine alone, so that a lost engine changes nothing for the others.
	draws *rand.Rand
	// pacer is used by the reference policy; owners have their own.
	pacer adapters.Pacer
	// steps counts the steps, and filled the requests in the batch, summed over them.
	steps  int
	filled int
}

// engineRun is a request on an engine.
type engineRun struct {
	key adapters.Key
	// unread and context count prompt tokens before and after prefill; context includes
	// generated tokens. remaining counts the tokens still to generate.
	unread, context, remaining, generated int
	// sentAt is when the host sent the request.
	sentAt time.Time
	// heard is set once the host has heard an event, at heardAt; before, that is when it was sent.
	heard   bool
	heardAt time.Time
	// beyond is set for a run beyond the first of its request, canceled once it is not wanted.
	beyond, canceled bool
	event            func()
	ended            func(whole bool)
}

// refusal says why an engine refused a request.
type refusal uint8

const (
	accepted refusal = iota
	notLoaded
	queueFull
	unreachable
)

func newEngine(sim *simulation, cfg EngineConfig, runner *site.Runner) *engine {
	e := &engine{
		sim: sim, cfg: cfg, runner: runner, held: map[adapters.Key]bool{}, incoming: map[adapters.Key]*fetch{}, evicting: map[adapters.Key]bool{},
		work: 1, draws: rand.New(rand.NewPCG(sim.cfg.Seed, addressHash(runner.Address))),
	}
	e.speed = drawSpeed(e.draws, cfg.SpeedSpread)
	return e
}

// order executes an order.
func (e *engine) order(order adapters.Order) adapters.Outcome {
	if e.gone || e.silent {
		return adapters.OutcomeUnknown
	}
	if order.Sequence != e.sequence {
		return adapters.OutcomeConflict
	}
	if order.Load {
		return e.load(order.Key)
	}
	return e.unload(order.Key.Adapter)
}

// maxIncoming is the number of adapters that one engine may be loading at a time.
const maxIncoming = 4

func (e *engine) load(key adapters.Key) adapters.Outcome {
	switch {
	case e.held[key]:
		return adapters.OutcomeDone
	case len(e.incoming) >= maxIncoming:
		return adapters.OutcomeConflict
	}
	if len(e.held)+len(e.incoming) >= e.cfg.Places {
		// A real engine would crash.
		e.sim.result.Overfull++
		return adapters.OutcomeRejected
	}
	e.sequence++
	arrived := func() {
		delete(e.incoming, key)
		e.held[key] = true
		e.cache(key)
	}
	if e.isCached(key) {
		f := &fetch{}
		e.incoming[key] = f
		e.sim.result.Reloads++
		e.sim.clock.after(e.sim.store.loadTime/10, func() {
			if e.incoming[key] == f {
				arrived()
			}
		})
		return adapters.OutcomeAccepted
	}
	e.sim.recordFetch(e.runner.ID, key)
	e.incoming[key] = e.sim.store.startFetch(arrived)
	return adapters.OutcomeAccepted
}

func (e *engine) unload(adapter site.Adapter) adapters.Outcome {
	for key := range e.held {
		if key.Adapter != adapter {
			continue
		}
		e.sequence++
		if e.uses(key) {
			e.evicting[key] = true
			return adapters.OutcomeAccepted
		}
		delete(e.held, key)
		return adapters.OutcomeDone
	}
	return adapters.OutcomeDone
}

func (e *engine) uses(key adapters.Key) bool {
	for _, runs := range [][]*engineRun{e.running, e.waiting} {
		for _, r := range runs {
			if r.key == key {
				return true
			}
		}
	}
	return false
}

func (e *engine) cache(key adapters.Key) {
	for i, known := range e.cached {
		if known == key {
			e.cached = append(e.cached[:i], e.cached[i+1:]...)
			break
		}
	}
	e.cached = append(e.cached, key)
	if len(e.cached) > e.cfg.Remembered {
		e.cached = e.cached[1:]
	}
}

func (e *engine) isCached(key adapters.Key) bool {
	for _, known := range e.cached {
		if known == key {
			return true
		}
	}
	return false
}

func (e *engine) report() (adapters.Report, bool) {
	if e.gone || e.silent {
		return adapters.Report{}, false
	}
	report := adapters.Report{Sequence: e.sequence, Models: []string{modelName}}
	for key := range e.held {
		report.Adapters = append(report.Adapters, adapters.Held{Key: key})
	}
	for key := range e.incoming {
		report.Adapters = append(report.Adapters, adapters.Held{Key: key, Incoming: true})
	}
	return report, true
}

// submit hands the engine a request.
func (e *engine) submit(r *engineRun) refusal {
	switch {
	case e.gone:
		return unreachable
	case e.silent:
		e.waiting = append(e.waiting, r)
		return accepted
	case r.key.Name != "" && (!e.held[r.key] || e.evicting[r.key]):
		return notLoaded
	case len(e.running)+len(e.waiting) >= e.cfg.Slots+e.cfg.Queue:
		return queueFull
	}
	e.begin(r)
	return accepted
}

// begin queues a request that the engine has accepted.
func (e *engine) begin(r *engineRun) {
	if delay := e.sim.firstDelay; delay > 0 {
		e.sim.clock.after(delay, func() {
			if !r.canceled && !e.gone {
				e.waiting = append(e.waiting, r)
				e.startStep()
			}
		})
		return
	}
	e.waiting = append(e.waiting, r)
	e.startStep()
}

// cancel removes a request whose caller has left.
func (e *engine) cancel(r *engineRun) {
	r.canceled = true
	e.running = removeRun(e.running, r)
	e.waiting = removeRun(e.waiting, r)
	e.finishEvictions()
}

func removeRun(runs []*engineRun, r *engineRun) []*engineRun {
	for i, other := range runs {
		if other == r {
			return append(runs[:i:i], runs[i+1:]...)
		}
	}
	return runs
}

func (e *engine) finishEvictions() {
	for key := range e.evicting {
		if !e.uses(key) {
			delete(e.evicting, key)
			delete(e.held, key)
		}
	}
}

func (e *engine) startStep() {
	if e.stepping || e.silent || e.gone {
		return
	}
	for len(e.running) < e.cfg.Slots && len(e.waiting) > 0 {
		e.running = append(e.running, e.waiting[0])
		e.waiting = e.waiting[1:]
	}
	if len(e.running) == 0 {
		return
	}
	e.stepping = true
	batch := append([]*engineRun(nil), e.running...)
	read := e.prefill(batch)
	e.steps++
	e.filled += len(batch)
	e.sim.clock.after(e.stepTime(batch, read), func() { e.endStep(batch) })
}

// prefill reads prompts, in batch order, and returns the number of tokens read.
func (e *engine) prefill(batch []*engineRun) int {
	budget := e.cfg.Chunk
	for _, r := range batch {
		part := min(budget, r.unread)
		r.unread -= part
		r.context += part
		budget -= part
		if part > 0 && r.unread == 0 && r.beyond {
			e.sim.result.Silence.Prompts++
		}
	}
	return e.cfg.Chunk - budget
}

func (e *engine) stepTime(batch []*engineRun, read int) time.Duration {
	tokens := 0
	for _, r := range batch {
		tokens += r.context
	}
	ms := e.cfg.StepMS + e.cfg.SlotMS*float64(len(batch)) + e.cfg.ContextMS*float64(tokens)/1000 + float64(read)/e.cfg.ReadPerMS
	return millis(ms * e.work / e.speed)
}

// endStep completes a step: each request whose prompt is read gains one token.
func (e *engine) endStep(batch []*engineRun) {
	e.stepping = false
	if e.gone || e.silent {
		return
	}
	for _, r := range batch {
		if r.unread > 0 || !e.runs(r) {
			continue
		}
		r.generated++
		r.context++
		r.remaining--
		if r.generated%e.cfg.Stride == 0 || r.remaining <= 0 {
			e.announceWork()
			r.event()
		}
		if r.remaining <= 0 {
			e.running = removeRun(e.running, r)
			r.ended(true)
		}
	}
	e.finishEvictions()
	e.startStep()
}

func (e *engine) runs(r *engineRun) bool {
	for _, other := range e.running {
		if other == r {
			return true
		}
	}
	return false
}

// crash removes the engine with everything that it runs and holds.
func (e *engine) crash() {
	e.gone = true
	for _, f := range e.incoming {
		e.sim.store.cancel(f)
	}
	lost := append(append([]*engineRun(nil), e.running...), e.waiting...)
	e.running, e.waiting = nil, nil
	for _, r := range lost {
		r.ended(false)
	}
}

// engineAPI implements adapters.Engines for the modelled engines.
type engineAPI struct{ sim *simulation }

// Order implements adapters.Engines.
func (x engineAPI) Order(_ context.Context, address string, order adapters.Order) (adapters.OrderAnswer, error) {
	x.sim.result.Orders++
	if e := x.sim.byAddress[address]; e != nil && e.runner.ID == order.Instance {
		return adapters.OrderAnswer{Outcome: e.order(order)}, nil
	}
	return adapters.OrderAnswer{Outcome: adapters.OutcomeRejected}, nil
}

// Report implements adapters.Engines.
func (x engineAPI) Report(_ context.Context, address string) (adapters.Report, error) {
	if e := x.sim.byAddress[address]; e != nil {
		if report, ok := e.report(); ok {
			return report, nil
		}
	}
	return adapters.Report{}, errNoAnswer
}

// WorkPercent implements adapters.Engines: modelled engines announce no work time.
func (engineAPI) WorkPercent(context.Context, string, string) (int, error) { return 0, nil }

func (engineAPI) Instance(context.Context, string, string) (string, error) { return "", nil }
