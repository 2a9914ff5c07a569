package residency

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const holderShards = 64

// Pin is an owner's standing permission to send requests for a model to a
// runner. It stands until it is given back; no clock ends it, since a holder
// that was paused cannot know that its time is over.
type Pin struct {
	Runner string `json:"runner"`
	Model  string `json:"model"`
	Fence  uint64 `json:"fence"`
	Seq    uint64 `json:"seq"`
}

// Return is a pin given back. Clean says that every request that used it has
// come to its end; otherwise the engine may still be at work on one.
type Return struct {
	Pin   Pin  `json:"pin"`
	Clean bool `json:"clean"`
}

// Holder is an entry host's side of pins. It is safe for concurrent use; the
// runners are divided into shards with a lock each.
type Holder struct {
	shards [holderShards]holderShard
}

type holderShard struct {
	mu      sync.Mutex
	runners map[string]*heldRunner
}

type heldRunner struct {
	fence uint64
	pins  map[string]*heldPin
	// void holds, for each model, the highest pin that was recalled before
	// its grant arrived.
	void map[string]uint64
}

type heldPin struct {
	seq      uint64
	uses     int
	recalled bool
	unclean  bool
	idle     time.Time
}

// NewHolder makes a holder without pins.
func NewHolder() *Holder {
	h := &Holder{}
	for i := range h.shards {
		h.shards[i].runners = map[string]*heldRunner{}
	}
	return h
}

func (h *Holder) shard(runner string) *holderShard {
	return &h.shards[xxhash.Sum64String(runner)%holderShards]
}

func (s *holderShard) runner(id string) *heldRunner {
	held := s.runners[id]
	if held == nil {
		held = &heldRunner{pins: map[string]*heldPin{}, void: map[string]uint64{}}
		s.runners[id] = held
	}
	return held
}

// pin gives the pin held on a model, or nil.
func (s *holderShard) pin(runner, model string) *heldPin {
	held := s.runners[runner]
	if held == nil {
		return nil
	}
	return held.pins[model]
}

// Granted takes a pin over and reports whether it may be used. Two grants are
// refused: one whose recall overtook it on the way (its owner already counts
// it as given back), and one of an owner that has a successor (the successor
// does not know of it).
func (h *Holder) Granted(pin Pin, now time.Time) bool {
	s := h.shard(pin.Runner)
	s.mu.Lock()
	defer s.mu.Unlock()
	held := s.runner(pin.Runner)
	if pin.Fence < held.fence {
		return false
	}
	held.raise(pin.Fence)
	if pin.Seq <= held.void[pin.Model] {
		return false
	}
	current := held.pins[pin.Model]
	if current == nil {
		held.pins[pin.Model] = &heldPin{seq: pin.Seq, idle: now}
		return true
	}
	if pin.Seq > current.seq {
		current.seq = pin.Seq
		current.recalled = false
	}
	return true
}

// raise notes a new owner. It numbers its pins afresh, so those held from the
// owner before count as its number zero, and what that owner recalled and has
// not got back is the new owner's to recall.
func (r *heldRunner) raise(fence uint64) {
	if fence <= r.fence {
		return
	}
	r.fence = fence
	r.void = map[string]uint64{}
	for _, pin := range r.pins {
		pin.seq = 0
		pin.recalled = false
	}
}

// ObserveFence notes the fencing number of a runner's owner, heard from a peer, so
// that a grant of an earlier owner is refused.
func (h *Holder) ObserveFence(runner string, fence uint64) {
	s := h.shard(runner)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runner(runner).raise(fence)
}

// Holds says whether a use could begin now.
func (h *Holder) Holds(runner, model string) bool {
	s := h.shard(runner)
	s.mu.Lock()
	defer s.mu.Unlock()
	pin := s.pin(runner, model)
	return pin != nil && !pin.recalled
}

// Use begins a use of a model on a runner; false if no pin allows it.
func (h *Holder) Use(runner, model string) bool {
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

// Done ends a use; clean says that the request came to its end on the engine.
// It gives the pin back if it was recalled and this was its last use.
func (h *Holder) Done(runner, model string, clean bool, now time.Time) (Return, bool) {
	s := h.shard(runner)
	s.mu.Lock()
	defer s.mu.Unlock()
	pin := s.pin(runner, model)
	if pin == nil {
		return Return{}, false
	}
	pin.uses--
	pin.idle = now
	pin.unclean = pin.unclean || !clean
	if !pin.recalled || pin.uses > 0 {
		return Return{}, false
	}
	return s.runners[runner].giveBack(runner, model), true
}

func (r *heldRunner) giveBack(runner, model string) Return {
	pin := r.pins[model]
	delete(r.pins, model)
	return Return{
		Pin:   Pin{Runner: runner, Model: model, Fence: r.fence, Seq: pin.seq},
		Clean: !pin.unclean,
	}
}

// Recall asks for a pin back. It is given back at once when unused, and by
// Done after its last use otherwise; from now on no use begins. A recall of a
// pin that has not arrived yet makes its grant void.
func (h *Holder) Recall(pin Pin) (Return, bool) {
	s := h.shard(pin.Runner)
	s.mu.Lock()
	defer s.mu.Unlock()
	held := s.runner(pin.Runner)
	if pin.Fence < held.fence {
		return Return{}, false
	}
	held.raise(pin.Fence)
	held.void[pin.Model] = max(held.void[pin.Model], pin.Seq)
	current := held.pins[pin.Model]
	if current == nil {
		return Return{Pin: pin, Clean: true}, true
	}
	current.seq = max(current.seq, pin.Seq)
	current.recalled = true
	if current.uses > 0 {
		return Return{}, false
	}
	return held.giveBack(pin.Runner, pin.Model), true
}

// HeldPin is a pin as a new owner asks for it.
type HeldPin struct {
	Model string `json:"model"`
	Uses  int    `json:"uses"`
}

// List tells a new owner which pins this host holds on a runner. From now on
// grants under a lower fence are refused, so the list stays complete.
func (h *Holder) List(runner string, fence uint64) ([]HeldPin, bool) {
	s := h.shard(runner)
	s.mu.Lock()
	defer s.mu.Unlock()
	held := s.runner(runner)
	if fence < held.fence {
		return nil, false
	}
	held.raise(fence)
	var list []HeldPin
	for model, pin := range held.pins {
		list = append(list, HeldPin{Model: model, Uses: pin.uses})
	}
	return list, true
}

// Drop forgets an unused pin that the engine has shown to be worthless (the
// model is no longer loaded) and gives it back.
func (h *Holder) Drop(runner, model string) (Return, bool) {
	s := h.shard(runner)
	s.mu.Lock()
	defer s.mu.Unlock()
	pin := s.pin(runner, model)
	if pin == nil {
		return Return{}, false
	}
	pin.recalled = true
	if pin.uses > 0 {
		return Return{}, false
	}
	return s.runners[runner].giveBack(runner, model), true
}

// IdleSince gives back the pins that have had no use since a time.
func (h *Holder) IdleSince(limit time.Time) []Return {
	var returns []Return
	for i := range h.shards {
		s := &h.shards[i]
		s.mu.Lock()
		for runner, held := range s.runners {
			for model, pin := range held.pins {
				if pin.uses == 0 && pin.idle.Before(limit) {
					returns = append(returns, held.giveBack(runner, model))
				}
			}
		}
		s.mu.Unlock()
	}
	return returns
}

// PinCount gives the number of pins held.
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
