package residency

import (
	"slices"
	"time"
)

// PinnedBy is a pin that is out, with its holder.
type PinnedBy struct {
	Holder string
	Pin    Pin
}

// Free gives the number of slots that hold nothing.
func (r *Runner) Free() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.slotCount - len(r.slots)
}

// State gives the state of a model's slot.
func (r *Runner) State(model string) (SlotState, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.slots[model]
	if s == nil {
		return "", false
	}
	return s.state, true
}

// BeginLoad takes a free slot for a model; false if there is none, the model
// has a slot already, or an earlier owner may still evict it.
func (r *Runner) BeginLoad(model string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, doubted := r.doubts[model]
	if !r.owned || !r.ready || doubted || r.slots[model] != nil || r.slotCount <= len(r.slots) {
		return false
	}
	r.addSlot(model, SlotLoading, now)
	return true
}

// Loaded notes that the engine has loaded a model.
func (r *Runner) Loaded(model string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.slots[model]
	if s == nil {
		s = r.addSlot(model, SlotResident, now)
	}
	s.state = SlotResident
	s.orphaned = time.Time{}
	s.changed = now
	s.lastUse = now
}

// LoadFailed notes that the engine refused a load or failed at it: the slot is free.
func (r *Runner) LoadFailed(model string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.slots[model]; s != nil && s.state == SlotLoading {
		r.loseSlot(model)
	}
}

// LoadUnknown notes that the answer to a load order was lost. The slot stays
// taken: the load may yet succeed. A report that describes a time after
// settled, when no load of ours can be under way, tells.
func (r *Runner) LoadUnknown(model string, settled time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.slots[model]; s != nil && s.state == SlotLoading {
		s.orphaned = settled
	}
}

// Missing notes that the engine said it has no such model, whatever its last
// report says.
func (r *Runner) Missing(model string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.slots[model]
	if s == nil || s.state == SlotLoading || s.changed.After(now) {
		return
	}
	r.loseSlot(model)
	r.gone[model] = now
}

// Candidate is a model that could be evicted, as the choice of a victim sees it.
type Candidate struct {
	Model   string
	LastUse time.Time
	Pinned  int
	Running int
	InDoubt bool
}

// Candidates gives the models that could be evicted, or nothing while a member
// has not told its pins.
func (r *Runner) Candidates() []Candidate {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.candidatesLocked()
}

func (r *Runner) candidatesLocked() []Candidate {
	if !r.owned || !r.ready || len(r.unheard) > 0 {
		return nil
	}
	running := r.runningByModel()
	var candidates []Candidate
	for model, s := range r.slots {
		if s.state != SlotResident || !s.busyUntil.IsZero() {
			continue
		}
		_, doubted := r.doubts[model]
		candidates = append(candidates, Candidate{
			Model: model, LastUse: s.lastUse, Pinned: len(s.pins), Running: running[model], InDoubt: doubted,
		})
	}
	return candidates
}

func (r *Runner) runningByModel() map[string]int {
	running := make(map[string]int, len(r.report.Resident))
	for _, resident := range r.report.Resident {
		running[resident.Model] = resident.Running + resident.Queued
	}
	return running
}

// BeginRecall closes a model to new pins and gives the pins to be recalled.
func (r *Runner) BeginRecall(model string) ([]PinnedBy, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.slots[model]
	if !r.owned || s == nil || s.state != SlotResident {
		return nil, false
	}
	s.state = SlotRecalling
	var pinned []PinnedBy
	for _, holder := range sortedKeys(s.pins) {
		pin := Pin{Runner: r.id, Model: model, Fence: r.fence, Seq: s.pins[holder].seq}
		pinned = append(pinned, PinnedBy{Holder: holder, Pin: pin})
	}
	return pinned, true
}

// CancelRecall opens a model again after a recall that took too long.
func (r *Runner) CancelRecall(model string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.slots[model]; s != nil && s.state == SlotRecalling {
		s.state = SlotResident
	}
}

// BeginEvict closes the slot for good, if no pin is out, no member is unheard
// and nothing can be running.
func (r *Runner) BeginEvict(model string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.slots[model]
	if !r.owned || s == nil || s.state != SlotRecalling {
		return false
	}
	if len(s.pins) > 0 || len(r.unheard) > 0 || !s.busyUntil.IsZero() {
		return false
	}
	s.state = SlotEvicting
	return true
}

// PinsOut gives the number of pins out on a model.
func (r *Runner) PinsOut(model string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.slots[model]; s != nil {
		return len(s.pins)
	}
	return 0
}

// Evicted notes that the engine has evicted a model.
func (r *Runner) Evicted(model string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.slots, model)
	r.gone[model] = now
}

// EvictNotSent opens a model again: the order did not go out and never will.
func (r *Runner) EvictNotSent(model string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.slots[model]; s != nil && s.state == SlotEvicting {
		s.state = SlotResident
	}
}

// EvictUnknown notes that the answer to an eviction was lost. The order may
// take effect late, so the model is in doubt: it gets no pin until the doubt
// is settled.
func (r *Runner) EvictUnknown(intent Intent) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.doubts[intent.Model] = intent
	if s := r.slots[intent.Model]; s != nil && s.state == SlotEvicting {
		s.state = SlotResident
	}
}

// SlotView is one slot as peers and operators see it.
type SlotView struct {
	Model   string    `json:"m"`
	State   SlotState `json:"s,omitempty"`
	Running int       `json:"r,omitempty"`
	Pins    int       `json:"p,omitempty"`
}

// View is what an owner tells of a runner.
type View struct {
	Runner   string     `json:"id"`
	Owner    string     `json:"owner"`
	Fence    uint64     `json:"fence"`
	Boot     string     `json:"boot,omitempty"`
	Slots    int        `json:"slots"`
	MaxBatch int        `json:"batch"`
	Running  int        `json:"running"`
	Queued   int        `json:"queued"`
	Fill     float64    `json:"fill"`
	Models   []SlotView `json:"models"`
	// Wanted are the models that are to be loaded and have no slot yet, sorted.
	Wanted []string `json:"wanted,omitempty"`
	Doubts int      `json:"doubts,omitempty"`
	// Evictable is the number of models that could make room now.
	Evictable int `json:"evictable"`
	Unheard   int `json:"unheard,omitempty"`
}

// View gives the runner as its owner sees it, the slots sorted by model.
func (r *Runner) View(owner string) View {
	r.mu.Lock()
	defer r.mu.Unlock()
	running := r.runningByModel()
	view := View{
		Runner: r.id, Owner: owner, Fence: r.fence, Boot: r.boot, Slots: r.slotCount, MaxBatch: r.report.MaxBatch,
		Running: r.report.Running, Queued: r.report.Queued, Fill: r.report.Fill,
		Doubts: len(r.doubts), Unheard: len(r.unheard),
	}
	for _, candidate := range r.candidatesLocked() {
		if candidate.Running == 0 {
			view.Evictable++
		}
	}
	for _, model := range sortedKeys(r.slots) {
		s := r.slots[model]
		state := s.state
		if _, doubted := r.doubts[model]; doubted {
			state = SlotEvicting
		}
		view.Models = append(view.Models, SlotView{Model: model, State: state, Running: running[model], Pins: len(s.pins)})
	}
	return view
}

// loadSteps is the number of steps of a runner's batch in which its load is
// told to peers: a busy runner's load moves with every report, and told each
// time it would be most of what hosts say to each other.
const loadSteps = 8

// loadStep gives the step of a view's load.
func (v View) loadStep() int {
	if v.MaxBatch == 0 {
		return 0
	}
	return (v.Running + v.Queued) * loadSteps / v.MaxBatch
}

// EquivalentForPeers says whether two views differ in nothing that a peer must be told.
func (v View) EquivalentForPeers(other View) bool {
	if v.Runner != other.Runner || v.Owner != other.Owner || v.Fence != other.Fence || v.Boot != other.Boot ||
		v.Slots != other.Slots || v.loadStep() != other.loadStep() ||
		(v.Evictable == 0) != (other.Evictable == 0) {
		return false
	}
	return v.SameModels(other)
}

// SameModels says whether two views show the same models in the same states.
func (v View) SameModels(other View) bool {
	if len(v.Models) != len(other.Models) || !slices.Equal(v.Wanted, other.Wanted) {
		return false
	}
	for i := range v.Models {
		if v.Models[i].Model != other.Models[i].Model || v.Models[i].State != other.Models[i].State {
			return false
		}
	}
	return true
}
