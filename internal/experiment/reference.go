package experiment

import (
	"time"

	"github.com/cherrystage/cherrystage/internal/adapters"
)

// referencePause is how often the reference looks again for a place.
const referencePause = 20 * time.Millisecond

// placeByReference sends the request to the least busy engine that holds its
// adapter, or has the least busy one load it, by what is so at this moment.
func (r *request) placeByReference() {
	if r.over {
		return
	}
	w := r.w
	if r.within() <= 0 {
		r.refuse()
		return
	}
	if e := w.holder(r); e != nil {
		at := e.pacer.Admit(r.prompt, w.clock.now)
		w.clock.at(at, func() { r.send(e.runner) })
		return
	}
	if !w.onItsWay(r.key) {
		w.loadByReference(r.key)
	}
	w.clock.after(referencePause, r.placeByReference)
}

// holder gives the engine with the request's adapter and a free slot that would
// begin its prompt first, the least busy of those.
func (w *world) holder(r *request) *engine {
	var best *engine
	var least time.Duration
	for _, e := range w.engines {
		if e.gone || e.silent || (r.key.Name != "" && !e.held[r.key]) || e.busy() >= e.cfg.Slots {
			continue
		}
		wait := e.pacer.Wait(r.prompt, w.clock.now)
		if best == nil || wait < least || (wait == least && e.busy() < best.busy()) {
			best, least = e, wait
		}
	}
	if best != nil && least > millis(r.kind.TargetMS)/2 && !w.onItsWay(r.key) {
		// The adapter is wanted more than its engines can read prompts.
		w.loadByReference(r.key)
	}
	return best
}

func (e *engine) busy() int { return len(e.running) + len(e.waiting) }

func (w *world) onItsWay(key adapters.Key) bool {
	for _, e := range w.engines {
		if e.coming[key] != nil {
			return true
		}
	}
	return false
}

// loadByReference has the least busy engine with an idle place load an adapter.
func (w *world) loadByReference(key adapters.Key) {
	var best *engine
	for _, e := range w.engines {
		if e.gone || e.silent || e.held[key] || e.busy() >= e.cfg.Slots || len(e.coming) >= maxComing || !e.hasRoom() {
			continue
		}
		if best == nil || e.busy()+len(e.coming) < best.busy()+len(best.coming) {
			best = e
		}
	}
	if best == nil {
		return
	}
	if len(best.held)+len(best.coming) >= best.cfg.Places {
		delete(best.held, best.victim())
	}
	best.load(key)
}

func (e *engine) hasRoom() bool {
	if len(e.held)+len(e.coming) < e.cfg.Places {
		return true
	}
	return e.victim() != (adapters.Key{})
}

// victim gives the idle adapter that was loaded longest ago.
func (e *engine) victim() adapters.Key {
	for _, key := range e.memory {
		if e.held[key] && !e.uses(key) {
			return key
		}
	}
	return adapters.Key{}
}
