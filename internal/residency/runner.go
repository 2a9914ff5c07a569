package residency

import (
	"sort"
	"sync"
	"time"

	"github.com/cherrystage/cherrystage/internal/engine"
	"github.com/pkg/errors"
)

// SlotState is what a slot of a runner is doing.
type SlotState string

// States of a slot.
const (
	SlotLoading   SlotState = "loading"
	SlotResident  SlotState = "resident"
	SlotRecalling SlotState = "recalling"
	SlotEvicting  SlotState = "evicting"
	// SlotWanted is the state of a model that is to be loaded and has no slot yet.
	SlotWanted SlotState = "wanted"
)

// Refusals of a pin.
var (
	ErrNotOwner    = errors.New("this host does not own the runner")
	ErrNotResident = errors.New("the model is not loaded on the runner")
	ErrClosing     = errors.New("the model is being evicted from the runner")
	ErrInDoubt     = errors.New("an earlier owner may still evict the model from the runner")
)

// settleTime is allowed for what a dead process had sent to reach the engine
// and show in a report.
const settleTime = time.Second

// Runner is the owner's side of one runner. It is safe for concurrent use.
type Runner struct {
	mu          sync.Mutex
	id          string
	checksFence bool
	owned       bool
	ready       bool
	fence       uint64
	seq         uint64
	slotCount   int
	boot        string
	slots       map[string]*slot
	// lost holds the pins that are out on models that the engine lost.
	lost    map[string]map[string]outPin
	gone    map[string]time.Time
	unheard map[string]bool
	heard   map[string]string
	doubts  map[string]Intent
	// report is the newest; described is the time at which it was true.
	report    engine.Report
	described time.Time
}

type slot struct {
	state   SlotState
	pins    map[string]outPin
	changed time.Time
	lastUse time.Time
	// busyUntil: only a report that describes a later time proves the model
	// idle, because a holder ended without saying how its requests ended.
	busyUntil time.Time
	orphaned  time.Time
}

type outPin struct {
	seq         uint64
	incarnation string
}

// NewRunner makes the owner's side of a runner that is not owned yet.
func NewRunner(id string, checksFence bool) *Runner {
	return &Runner{id: id, checksFence: checksFence, slots: map[string]*slot{}}
}

// TakeOver begins an ownership. members are the entry hosts that may hold
// pins: until each has told its pins, or is proven dead, nothing is evicted.
func (r *Runner) TakeOver(record Record, members []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.owned = true
	r.ready = false
	r.fence = record.Fence
	r.seq = 0
	r.slots = map[string]*slot{}
	r.lost = map[string]map[string]outPin{}
	r.gone = map[string]time.Time{}
	r.heard = map[string]string{}
	r.unheard = map[string]bool{}
	for _, member := range members {
		r.unheard[member] = true
	}
	r.doubts = map[string]Intent{}
	if !r.checksFence {
		for _, intent := range record.Intents {
			r.doubts[intent.Model] = intent
		}
	}
	r.described = time.Time{}
}

// Open lets pins be granted. An engine that checks fencing must have taken an
// order under the new number first: until then an order of the earlier owner
// could still come and be obeyed.
func (r *Runner) Open() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ready = r.owned
}

// Lose ends the ownership.
func (r *Runner) Lose() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.owned = false
	r.ready = false
}

// Owned gives the fencing number while the runner is owned.
func (r *Runner) Owned() (uint64, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fence, r.owned
}

// Observe takes a load report over that was asked for at a time. What the
// report says was true its lag earlier.
func (r *Runner) Observe(report engine.Report, asked time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	described := asked.Add(-report.Lag())
	if described.Before(r.described) {
		return
	}
	r.slotCount = report.Slots
	if r.boot != "" && r.boot != report.BootID {
		r.forgetResident()
	}
	r.boot = report.BootID
	r.report = report
	r.described = described
	r.reconcile()
}

// forgetResident follows a cold start of the engine. Loads under way stay:
// their own answers tell what became of them.
func (r *Runner) forgetResident() {
	for model, s := range r.slots {
		if s.state != SlotLoading {
			r.loseSlot(model)
		}
	}
}

// loseSlot drops the slot of a model that the engine has lost. Its pins stay:
// their holders do not know, and use them again once the model is loaded again.
func (r *Runner) loseSlot(model string) {
	if s := r.slots[model]; s != nil && len(s.pins) > 0 {
		r.lost[model] = s.pins
	}
	delete(r.slots, model)
}

// addSlot makes a slot for a model, with the pins that were out on it before
// the engine lost it.
func (r *Runner) addSlot(model string, state SlotState, now time.Time) *slot {
	pins := r.lost[model]
	if pins == nil {
		pins = map[string]outPin{}
	}
	delete(r.lost, model)
	s := &slot{state: state, pins: pins, changed: now, lastUse: now}
	r.slots[model] = s
	return s
}

// pinsOn gives the pins that are out on a model, whether it has a slot or was lost.
func (r *Runner) pinsOn(model string) map[string]outPin {
	if s := r.slots[model]; s != nil {
		return s.pins
	}
	return r.lost[model]
}

// reconcile settles the table against the report. A report older than the
// last change of a slot says nothing about it.
func (r *Runner) reconcile() {
	present := make(map[string]bool, len(r.report.Resident))
	for _, resident := range r.report.Resident {
		present[resident.Model] = true
		r.settlePresent(resident.Model)
		s := r.slots[resident.Model]
		idle := resident.Running+resident.Queued == 0
		if s != nil && idle && r.described.After(s.busyUntil) {
			s.busyUntil = time.Time{}
		}
	}
	for model, s := range r.slots {
		if present[model] || !r.described.After(s.changed) {
			continue
		}
		if s.state != SlotLoading || (!s.orphaned.IsZero() && r.described.After(s.orphaned)) {
			r.loseSlot(model)
		}
	}
	for model, at := range r.gone {
		if r.described.After(at) {
			delete(r.gone, model)
		}
	}
}

func (r *Runner) settlePresent(model string) {
	s := r.slots[model]
	if s == nil {
		if _, evicted := r.gone[model]; !evicted || r.described.After(r.gone[model]) {
			r.addSlot(model, SlotResident, r.described)
		}
		return
	}
	if s.state == SlotLoading && !s.orphaned.IsZero() {
		s.state = SlotResident
		s.orphaned = time.Time{}
	}
}

// Grant gives a holder a pin on a loaded model.
func (r *Runner) Grant(holder, incarnation, model string, now time.Time) (Pin, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.owned || !r.ready {
		return Pin{}, ErrNotOwner
	}
	if _, doubted := r.doubts[model]; doubted {
		return Pin{}, ErrInDoubt
	}
	s := r.slots[model]
	if s == nil || s.state == SlotLoading {
		return Pin{}, ErrNotResident
	}
	if s.state != SlotResident {
		return Pin{}, ErrClosing
	}
	r.seq++
	s.pins[holder] = outPin{seq: r.seq, incarnation: incarnation}
	s.lastUse = now
	return Pin{Runner: r.id, Model: model, Fence: r.fence, Seq: r.seq}, nil
}

// Returned takes a pin back. A return older than the holder's newest grant is
// one that the grant overtook, and is left aside.
func (r *Runner) Returned(holder string, ret Return, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if ret.Pin.Fence != r.fence {
		return
	}
	pins := r.pinsOn(ret.Pin.Model)
	pin, ok := pins[holder]
	if !ok || ret.Pin.Seq < pin.seq {
		return
	}
	delete(pins, holder)
	s := r.slots[ret.Pin.Model]
	if s == nil {
		if len(pins) == 0 {
			delete(r.lost, ret.Pin.Model)
		}
		return
	}
	s.lastUse = now
	if !ret.Clean {
		s.busyUntil = now.Add(settleTime)
	}
}

// Heard takes over the pins that a member told.
func (r *Runner) Heard(member, incarnation string, pins []HeldPin, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.owned {
		return
	}
	if r.unheard[member] {
		// An earlier process of this member may have left requests behind.
		r.doubtIdle(now)
	}
	delete(r.unheard, member)
	r.heard[member] = incarnation
	for _, held := range pins {
		known := r.pinsOn(held.Model)
		if known == nil {
			// Not loaded, as far as this owner knows: the pin counts once it is.
			known = map[string]outPin{}
			r.lost[held.Model] = known
		}
		if _, told := known[member]; !told {
			known[member] = outPin{incarnation: incarnation}
		}
		if s := r.slots[held.Model]; s != nil {
			s.lastUse = now
		}
	}
}

// Joined notes a member that was seen; one not heard before may hold pins of
// an earlier owner.
func (r *Runner) Joined(member, incarnation string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	heard, ok := r.heard[member]
	if r.owned && (!ok || heard != incarnation) {
		r.unheard[member] = true
	}
}

// Ended notes that a process of a member is proven dead: the platform no
// longer lists its host, or a later process speaks for it. Its requests may
// still be running on the engine, so a later report must show each model idle.
func (r *Runner) Ended(member, live string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	unheard := r.unheard[member] && live == ""
	if unheard {
		delete(r.unheard, member)
	}
	for _, pins := range r.lost {
		if pin, pinned := pins[member]; pinned && pin.incarnation != live {
			delete(pins, member)
		}
	}
	for _, s := range r.slots {
		pin, pinned := s.pins[member]
		stale := pinned && pin.incarnation != live
		if stale {
			delete(s.pins, member)
		}
		if stale || unheard {
			s.busyUntil = now.Add(settleTime)
		}
	}
}

// doubtIdle wants a later report to show each model idle once before it is evicted.
func (r *Runner) doubtIdle(now time.Time) {
	for _, s := range r.slots {
		s.busyUntil = now.Add(settleTime)
	}
}

// SettleDoubts drops the doubts about evictions of earlier owners that are
// proven over.
func (r *Runner) SettleDoubts(over func(Intent) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for model, intent := range r.doubts {
		if over(intent) {
			delete(r.doubts, model)
		}
	}
}

// Unheard gives the members that still block evictions, sorted.
func (r *Runner) Unheard() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return sortedKeys(r.unheard)
}

func sortedKeys[V any](set map[string]V) []string {
	keys := make([]string, 0, len(set))
	for key := range set {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}
