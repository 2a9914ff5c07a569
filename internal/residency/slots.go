package residency

import (
	"slices"
	"time"
)

// HolderPin is a granted pin and its holder.
type HolderPin struct {
	Holder string
	Pin    Pin
}

// FreeSlots returns the number of free slots.
func (r *Runner) FreeSlots() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.slotCount - len(r.slots)
}

// State returns the state of a model's slot.
func (r *Runner) State(model string) (SlotState, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.slots[model]
	if s == nil {
		return "", false
	}
	return s.state, true
}

// BeginLoad reserves a free slot for a model. It returns false if no slot is
// free, the model has a slot already, or an earlier owner may still evict it.
func (r *Runner) BeginLoad(model string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, doubted := r.inDoubt[model]
	if !r.owned || !r.grantsEnabled || doubted || r.slots[model] != nil || r.slotCount <= len(r.slots) {
		return false
	}
	r.addSlot(model, SlotLoading, now)
	return true
}

// LoadSucceeded records that the engine has loaded a model.
func (r *Runner) LoadSucceeded(model string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.slots[model]
	if s == nil {
		s = r.addSlot(model, SlotResident, now)
	}
	s.state = SlotResident
	s.loadEndsBy = time.Time{}
	s.changed = now
	s.lastUse = now
}

// LoadFailed frees the slot of a load that the engine refused or that failed.
func (r *Runner) LoadFailed(model string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.slots[model]; s != nil && s.state == SlotLoading {
		r.dropSlot(model)
	}
}

// LoadUnknown records that the answer to a load order was lost. The slot stays
// reserved, since the load may still succeed, until a report describes a time
// after endsBy, when the load can no longer be in flight.
func (r *Runner) LoadUnknown(model string, endsBy time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.slots[model]; s != nil && s.state == SlotLoading {
		s.loadEndsBy = endsBy
	}
}

// ModelMissing records that the engine has reported a model as missing,
// whatever its last load report says.
func (r *Runner) ModelMissing(model string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.slots[model]
	if s == nil || s.state == SlotLoading || s.changed.After(now) {
		return
	}
	r.dropSlot(model)
	r.removedAt[model] = now
}

// EvictionCandidate is a model that could be evicted.
type EvictionCandidate struct {
	Model   string
	LastUse time.Time
	Pinned  int
	Running int
	InDoubt bool
}

// EvictionCandidates returns the models that could be evicted. It returns none
// until all members have reported their pins.
func (r *Runner) EvictionCandidates() []EvictionCandidate {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.evictionCandidatesLocked()
}

func (r *Runner) evictionCandidatesLocked() []EvictionCandidate {
	if !r.owned || !r.grantsEnabled || len(r.pendingHolders) > 0 {
		return nil
	}
	running := r.runningByModel()
	var candidates []EvictionCandidate
	for model, s := range r.slots {
		if s.state != SlotResident || !s.idleReportAfter.IsZero() {
			continue
		}
		_, doubted := r.inDoubt[model]
		candidates = append(candidates, EvictionCandidate{
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

// BeginRecall stops granting pins on a model and returns the pins to recall.
func (r *Runner) BeginRecall(model string) ([]HolderPin, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.slots[model]
	if !r.owned || s == nil || s.state != SlotResident {
		return nil, false
	}
	s.state = SlotRecalling
	var held []HolderPin
	for _, holder := range sortedKeys(s.pins) {
		pin := Pin{Runner: r.id, Model: model, Fence: r.fence, Seq: s.pins[holder].seq}
		held = append(held, HolderPin{Holder: holder, Pin: pin})
	}
	return held, true
}

// CancelRecall allows pins on a model again after a recall that was not
// completed.
func (r *Runner) CancelRecall(model string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.slots[model]; s != nil && s.state == SlotRecalling {
		s.state = SlotResident
	}
}

// BeginEvict moves a recalled slot to evicting, if no pin is held, all members
// have reported their pins, and no request can be running.
func (r *Runner) BeginEvict(model string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.slots[model]
	if !r.owned || s == nil || s.state != SlotRecalling {
		return false
	}
	if len(s.pins) > 0 || len(r.pendingHolders) > 0 || !s.idleReportAfter.IsZero() {
		return false
	}
	s.state = SlotEvicting
	return true
}

// PinCount returns the number of pins held on a model.
func (r *Runner) PinCount(model string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.slots[model]; s != nil {
		return len(s.pins)
	}
	return 0
}

// Evicted records that the engine has evicted a model.
func (r *Runner) Evicted(model string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.slots, model)
	r.removedAt[model] = now
}

// EvictNotRun makes a model resident again, after an eviction that was not sent
// or that the engine refused.
func (r *Runner) EvictNotRun(model string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.slots[model]; s != nil && s.state == SlotEvicting {
		s.state = SlotResident
	}
}

// EvictUnknown records that the answer to an eviction was lost. The order may
// take effect late, so the model is in doubt and gets no pin until this is
// resolved.
func (r *Runner) EvictUnknown(intent Intent) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inDoubt[intent.Model] = intent
	if s := r.slots[intent.Model]; s != nil && s.state == SlotEvicting {
		s.state = SlotResident
	}
}

// SlotView is a slot as shown to peers and operators.
type SlotView struct {
	Model   string    `json:"m"`
	State   SlotState `json:"s,omitempty"`
	Running int       `json:"r,omitempty"`
	Pins    int       `json:"p,omitempty"`
}

// View is what an owner publishes about a runner.
type View struct {
	Runner string `json:"id"`
	Owner  string `json:"owner"`
	Fence  uint64 `json:"fence"`
	// Boot identifies the engine's last start.
	Boot  string `json:"boot,omitempty"`
	Slots int    `json:"slots"`
	// MaxBatch is the size of the engine's batch, and Fill the fraction of it in
	// use, as the engine reports it.
	MaxBatch int        `json:"batch"`
	Running  int        `json:"running"`
	Queued   int        `json:"queued"`
	Fill     float64    `json:"fill"`
	Models   []SlotView `json:"models"`
	// Wanted lists the models that are to be loaded and have no slot yet,
	// sorted.
	Wanted []string `json:"wanted,omitempty"`
	// Doubts is the number of evictions that may still take effect.
	Doubts int `json:"doubts,omitempty"`
	// Evictable is the number of models that could be evicted now.
	Evictable int `json:"evictable"`
	// Unheard is the number of members that have not reported their pins yet.
	Unheard int `json:"unheard,omitempty"`
}

// View returns the published state of the runner, the slots sorted by model.
func (r *Runner) View(owner string) View {
	r.mu.Lock()
	defer r.mu.Unlock()
	running := r.runningByModel()
	view := View{
		Runner: r.id, Owner: owner, Fence: r.fence, Boot: r.boot, Slots: r.slotCount, MaxBatch: r.report.MaxBatch,
		Running: r.report.Running, Queued: r.report.Queued, Fill: r.report.Fill,
		Doubts: len(r.inDoubt), Unheard: len(r.pendingHolders),
	}
	for _, candidate := range r.evictionCandidatesLocked() {
		if candidate.Running == 0 {
			view.Evictable++
		}
	}
	for _, model := range sortedKeys(r.slots) {
		s := r.slots[model]
		state := s.state
		if _, doubted := r.inDoubt[model]; doubted {
			state = SlotEvicting
		}
		view.Models = append(view.Models, SlotView{Model: model, State: state, Running: running[model], Pins: len(s.pins)})
	}
	return view
}

// loadLevels is the number of levels, in fractions of a runner's batch, in
// which its load is published: a busy runner's load changes with every report,
// and publishing each change would make up most of the traffic between hosts.
const loadLevels = 8

// loadLevel returns the level of a view's load.
func (v View) loadLevel() int {
	if v.MaxBatch == 0 {
		return 0
	}
	return (v.Running + v.Queued) * loadLevels / v.MaxBatch
}

// EquivalentForPeers reports whether two views differ in nothing that peers
// must be sent.
func (v View) EquivalentForPeers(other View) bool {
	if v.Runner != other.Runner || v.Owner != other.Owner || v.Fence != other.Fence || v.Boot != other.Boot ||
		v.Slots != other.Slots || v.loadLevel() != other.loadLevel() ||
		(v.Evictable == 0) != (other.Evictable == 0) {
		return false
	}
	return v.SameModels(other)
}

// SameModels reports whether two views show the same models in the same states.
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
