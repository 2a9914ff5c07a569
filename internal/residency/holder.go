package residency

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const holderShards = 64

// Pin is an owner's permission to send requests for a model to a runner. It is
// valid until it is returned and never expires by time, since a holder that was
// paused could not know that it had expired.
type Pin struct {
	Runner string `json:"runner"`
	Model  string `json:"model"`
	Fence  uint64 `json:"fence"`
	Seq    uint64 `json:"seq"`
}

// PinReturn is a returned pin. Clean is set if every request that used it has
// finished; otherwise the engine may still be working on one.
type PinReturn struct {
	Pin   Pin  `json:"pin"`
	Clean bool `json:"clean"`
}

// Holder tracks the pins that an entry host holds. It is safe for concurrent
// use; runners are sharded, with one lock per shard.
type Holder struct {
	shards [holderShards]holderShard
}

type holderShard struct {
	mu      sync.Mutex
	runners map[string]*runnerPins
}

type runnerPins struct {
	fence uint64
	pins  map[string]*heldPin
	// voidedSeqs holds, for each model, the highest sequence number recalled so
	// far. A grant up to that number is void, even if it arrives after its
	// recall.
	voidedSeqs map[string]uint64
}

type heldPin struct {
	seq      uint64
	uses     int
	recalled bool
	unclean  bool
	lastUsed time.Time
}

// NewHolder returns a holder without pins.
func NewHolder() *Holder {
	h := &Holder{}
	for i := range h.shards {
		h.shards[i].runners = map[string]*runnerPins{}
	}
	return h
}

func (h *Holder) shard(runner string) *holderShard {
	return &h.shards[xxhash.Sum64String(runner)%holderShards]
}

func (s *holderShard) runner(id string) *runnerPins {
	held := s.runners[id]
	if held == nil {
		held = &runnerPins{pins: map[string]*heldPin{}, voidedSeqs: map[string]uint64{}}
		s.runners[id] = held
	}
	return held
}

// pin returns the pin held on a model, or nil.
func (s *holderShard) pin(runner, model string) *heldPin {
	held := s.runners[runner]
	if held == nil {
		return nil
	}
	return held.pins[model]
}

// AcceptGrant stores a granted pin and reports whether it may be used. It
// refuses a grant whose recall arrived first, since the owner already counts
// the pin as returned, and a grant of an owner that has been succeeded, since
// the successor does not know of it.
func (h *Holder) AcceptGrant(pin Pin, now time.Time) bool {
	s := h.shard(pin.Runner)
	s.mu.Lock()
	defer s.mu.Unlock()
	held := s.runner(pin.Runner)
	if pin.Fence < held.fence {
		return false
	}
	held.adoptFence(pin.Fence)
	if pin.Seq <= held.voidedSeqs[pin.Model] {
		return false
	}
	current := held.pins[pin.Model]
	if current == nil {
		held.pins[pin.Model] = &heldPin{seq: pin.Seq, lastUsed: now}
		return true
	}
	if pin.Seq > current.seq {
		current.seq = pin.Seq
		current.recalled = false
	}
	return true
}

// adoptFence records a new owner. The new owner numbers its pins from one, so
// pins held from the previous owner get number zero. Recalls of the previous
// owner are cleared: the new owner has to recall those pins itself.
func (r *runnerPins) adoptFence(fence uint64) {
	if fence <= r.fence {
		return
	}
	r.fence = fence
	r.voidedSeqs = map[string]uint64{}
	for _, pin := range r.pins {
		pin.seq = 0
		pin.recalled = false
	}
}

// ObserveFence records the fencing token of a runner's owner, as reported by a
// peer, so that grants of earlier owners are refused.
func (h *Holder) ObserveFence(runner string, fence uint64) {
	s := h.shard(runner)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runner(runner).adoptFence(fence)
}

// CanUse reports whether a use could begin now.
func (h *Holder) CanUse(runner, model string) bool {
	s := h.shard(runner)
	s.mu.Lock()
	defer s.mu.Unlock()
	pin := s.pin(runner, model)
	return pin != nil && !pin.recalled
}

// BeginUse begins a use of a model on a runner. It returns false if no pin
// allows it.
func (h *Holder) BeginUse(runner, model string) bool {
	s := h.shard(runner)
	s.mu.Lock()
	defer s.mu.Unlock()
	pin := s.pin(runner, model)
	if pin == nil || pin.recalled {
		return false
	}
	pin.uses++
	return true
}

// EndUse ends a use. clean means that the request has finished on the engine.
// If the pin was recalled and this was its last use, EndUse returns the pin to
// send back.
func (h *Holder) EndUse(runner, model string, clean bool, now time.Time) (PinReturn, bool) {
	s := h.shard(runner)
	s.mu.Lock()
	defer s.mu.Unlock()
	pin := s.pin(runner, model)
	if pin == nil {
		return PinReturn{}, false
	}
	pin.uses--
	pin.lastUsed = now
	pin.unclean = pin.unclean || !clean
	if !pin.recalled || pin.uses > 0 {
		return PinReturn{}, false
	}
	return s.runners[runner].removePin(runner, model), true
}

func (r *runnerPins) removePin(runner, model string) PinReturn {
	pin := r.pins[model]
	delete(r.pins, model)
	return PinReturn{
		Pin:   Pin{Runner: runner, Model: model, Fence: r.fence, Seq: pin.seq},
		Clean: !pin.unclean,
	}
}

// Recall requests a pin back and allows no new use of it. An unused pin is
// returned at once, a pin in use by EndUse after its last use. If the grant has
// not arrived yet, it is void.
func (h *Holder) Recall(pin Pin) (PinReturn, bool) {
	s := h.shard(pin.Runner)
	s.mu.Lock()
	defer s.mu.Unlock()
	held := s.runner(pin.Runner)
	if pin.Fence < held.fence {
		return PinReturn{}, false
	}
	held.adoptFence(pin.Fence)
	held.voidedSeqs[pin.Model] = max(held.voidedSeqs[pin.Model], pin.Seq)
	current := held.pins[pin.Model]
	if current == nil {
		return PinReturn{Pin: pin, Clean: true}, true
	}
	current.seq = max(current.seq, pin.Seq)
	current.recalled = true
	if current.uses > 0 {
		return PinReturn{}, false
	}
	return held.removePin(pin.Runner, pin.Model), true
}

// HeldPin is a held pin as reported to a new owner.
type HeldPin struct {
	Model string `json:"model"`
	Uses  int    `json:"uses"`
}

// ListPins returns the pins that this host holds on a runner, for its new
// owner. Grants with a lower fence are refused from now on, so the list stays
// complete. It returns false if this host knows a later owner.
func (h *Holder) ListPins(runner string, fence uint64) ([]HeldPin, bool) {
	s := h.shard(runner)
	s.mu.Lock()
	defer s.mu.Unlock()
	held := s.runner(runner)
	if fence < held.fence {
		return nil, false
	}
	held.adoptFence(fence)
	var list []HeldPin
	for model, pin := range held.pins {
		list = append(list, HeldPin{Model: model, Uses: pin.uses})
	}
	return list, true
}

// Drop returns the pin on a model that the engine no longer has. A pin in use
// is returned by EndUse after its last use.
func (h *Holder) Drop(runner, model string) (PinReturn, bool) {
	s := h.shard(runner)
	s.mu.Lock()
	defer s.mu.Unlock()
	pin := s.pin(runner, model)
	if pin == nil {
		return PinReturn{}, false
	}
	pin.recalled = true
	if pin.uses > 0 {
		return PinReturn{}, false
	}
	return s.runners[runner].removePin(runner, model), true
}

// ReturnIdle returns the unused pins whose last use was before cutoff.
func (h *Holder) ReturnIdle(cutoff time.Time) []PinReturn {
	var returns []PinReturn
	for i := range h.shards {
		s := &h.shards[i]
		s.mu.Lock()
		for runner, held := range s.runners {
			for model, pin := range held.pins {
				if pin.uses == 0 && pin.lastUsed.Before(cutoff) {
					returns = append(returns, held.removePin(runner, model))
				}
			}
		}
		s.mu.Unlock()
	}
	return returns
}

// PinCount returns the number of pins held.
func (h *Holder) PinCount() int {
	count := 0
	for i := range h.shards {
		s := &h.shards[i]
		s.mu.Lock()
		for _, held := range s.runners {
			count += len(held.pins)
		}
		s.mu.Unlock()
	}
	return count
}
