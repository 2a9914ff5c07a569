package experiment

import (
	"time"

	"github.com/cherrystage/cherrystage/internal/adapters"
)

// referenceRetryInterval is how often the reference looks again for an engine.
const referenceRetryInterval = 20 * time.Millisecond

// placeByReference sends the request to the least busy engine that holds its adapter, or has
// the least busy one load it, based on the exact current state.
func (r *request) placeByReference() {
	if r.finished {
		return
	}
	sim := r.sim
	if r.timeLeft() <= 0 {
		r.retryOrRefuse()
		return
	}
	if e := sim.bestHolder(r); e != nil {
		at := e.pacer.Admit(r.prompt, sim.clock.now)
		sim.clock.at(at, func() { r.send(e.runner) })
		return
	}
	if !sim.isLoading(r.key) {
		sim.loadByReference(r.key)
	}
	sim.clock.after(referenceRetryInterval, r.placeByReference)
}

// bestHolder returns the engine with the request's adapter and a free slot that would begin
// its prompt first; among equals, the least busy one.
func (sim *simulation) bestHolder(r *request) *engine {
	var best *engine
	var least time.Duration
	for _, e := range sim.engines {
		if e.gone || e.silent || (r.key.Name != "" && !e.held[r.key]) || e.busy() >= e.cfg.Slots {
			continue
		}
		wait := e.pacer.Wait(r.prompt, sim.clock.now)
		if best == nil || wait < least || (wait == least && e.busy() < best.busy()) {
			best, least = e, wait
		}
	}
	if best != nil && least > millis(r.kind.TargetMS)/2 && !sim.isLoading(r.key) {
		// Its engines cannot prefill prompts fast enough for the demand.
		sim.loadByReference(r.key)
	}
	return best
}

func (e *engine) busy() int { return len(e.running) + len(e.waiting) }

func (sim *simulation) isLoading(key adapters.Key) bool {
	for _, e := range sim.engines {
		if e.incoming[key] != nil {
			return true
		}
	}
	return false
}

// loadByReference has the least busy engine with an idle place load an adapter.
func (sim *simulation) loadByReference(key adapters.Key) {
	var best *engine
	for _, e := range sim.engines {
		if e.gone || e.silent || e.held[key] || e.busy() >= e.cfg.Slots || len(e.incoming) >= maxIncoming || !e.hasFreePlace() {
			continue
		}
		if best == nil || e.busy()+len(e.incoming) < best.busy()+len(best.incoming) {
			best = e
		}
	}
	if best == nil {
		return
	}
	if len(best.held)+len(best.incoming) >= best.cfg.Places {
		delete(best.held, best.victim())
	}
	best.load(key)
}

func (e *engine) hasFreePlace() bool {
	if len(e.held)+len(e.incoming) < e.cfg.Places {
		return true
	}
	return e.victim() != (adapters.Key{})
}

// victim returns the idle adapter that was loaded longest ago.
func (e *engine) victim() adapters.Key {
	for _, key := range e.cached {
		if e.held[key] && !e.uses(key) {
			return key
		}
	}
	return adapters.Key{}
}
