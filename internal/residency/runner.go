package residency

import (
	"sort"
	"sync"
	"time"

	"github.com/cherrystage/cherrystage/internal/engine"
	"github.com/pkg/errors"
)

// SlotState is the state of a slot.
type SlotState string

const (
	SlotLoading   SlotState = "loading"
	SlotResident  SlotState = "resident"
	SlotRecalling SlotState = "recalling"
	SlotEvicting  SlotState = "evicting"
	// SlotPending is the state of a model that is to be loaded and has no slot
	// yet.
	SlotPending SlotState = "wanted"
)

// Reasons for refusing a pin.
var (
	ErrNotOwner    = errors.New("this host does not own the runner")
	ErrNotResident = errors.New("the model is not loaded on the runner")
	ErrEvicting    = errors.New("the model is being evicted from the runner")
	ErrInDoubt     = errors.New("an earlier owner may still evict the model from the runner")
)

// inFlightGrace allows for requests of a dead process to reach the engine and
// appear in a report.
const inFlightGrace = time.Second

// Runner is the owner's state of one runner. It is safe for concurrent use.
type Runner struct {
	mu            sync.Mutex
	id            string
	checksFence   bool
	owned         bool
	grantsEnabled bool
	fence         uint64
	seq           uint64
	slotCount     int
	boot          string
	slots         map[string]*slot
	// lostPins holds the pins granted on models that the engine has lost.
	lostPins map[string]map[string]pinGrant
	// removedAt holds when models were evicted or reported missing, so that an
	// older report does not bring them back.
	removedAt map[string]time.Time
	// pendingHolders are the members that have not reported their pins yet.
	pendingHolders       map[string]bool
	reportedIncarnations map[string]string
	// inDoubt holds the evictions, by model, that may still take effect.
	inDoubt map[string]Intent
	// report is the latest report, and reportTime the time that it describes.
	report     engine.Report
	reportTime time.Time
}

type slot struct {
	state   SlotState
	pins    map[string]pinGrant
	changed time.Time
	lastUse time.Time
	// idleReportAfter is set when a holder ended without reporting how its
	// requests ended: only a report that describes a later time proves the
	// model idle.
	idleReportAfter time.Time
	// loadEndsBy is set when the answer to a load order was lost: the time
	// after which the load can no longer be in flight.
	loadEndsBy time.Time
}

type pinGrant struct {
	seq         uint64
	incarnation string
}

// NewRunner returns the state of a runner that is not owned yet.
func NewRunner(id string, checksFence bool) *Runner {
	return &Runner{id: id, checksFence: checksFence, slots: map[string]*slot{}}
}

// TakeOver begins an ownership. members are the entry hosts that may hold pins:
// nothing is evicted until each has reported its pins or is proven dead.
func (r *Runner) TakeOver(record Record, members []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.owned = true
	r.grantsEnabled = false
	r.fence = record.Fence
	r.seq = 0
	r.slots = map[string]*slot{}
	r.lostPins = map[string]map[string]pinGrant{}
	r.removedAt = map[string]time.Time{}
	r.reportedIncarnations = map[string]string{}
	r.pendingHolders = map[string]bool{}
	for _, member := range members {
		r.pendingHolders[member] = true
	}
	r.inDoubt = map[string]Intent{}
	if !r.checksFence {
		for _, intent := range record.Intents {
			r.inDoubt[intent.Model] = intent
		}
	}
	r.reportTime = time.Time{}
}

// EnableGrants allows pins to be granted. An engine that checks fencing must
// have accepted an order under the new fence first: until then it would still
// obey an order of the previous owner.
func (r *Runner) EnableGrants() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.grantsEnabled = r.owned
}

// EndOwnership marks the runner as no longer owned.
func (r *Runner) EndOwnership() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.owned = false
	r.grantsEnabled = false
}

// Owned returns the fence, and whether the runner is owned.
func (r *Runner) Owned() (uint64, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fence, r.owned
}

// ApplyReport applies a load report that was requested at the time asked. The
// report describes the state at that time less its lag.
func (r *Runner) ApplyReport(report engine.Report, asked time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	describedAt := asked.Add(-report.Lag())
	if describedAt.Before(r.reportTime) {
		return
	}
	r.slotCount = report.Slots
	if r.boot != "" && r.boot != report.BootID {
		r.dropResident()
	}
	r.boot = report.BootID
	r.report = report
	r.reportTime = describedAt
	r.reconcile()
}

// dropResident drops the resident models after the engine was restarted cold.
// Loads in flight stay: their own answers tell how they ended.
func (r *Runner) dropResident() {
	for model, s := range r.slots {
		if s.state != SlotLoading {
			r.dropSlot(model)
		}
	}
}

// dropSlot drops the slot of a model that the engine has lost. Its pins are
// kept: their holders do not know of the loss, and use them again once the
// model is loaded again.
func (r *Runner) dropSlot(model string) {
	if s := r.slots[model]; s != nil && len(s.pins) > 0 {
		r.lostPins[model] = s.pins
	}
	delete(r.slots, model)
}

// addSlot adds a slot for a model, with the pins that were granted on it before
// the engine lost it.
func (r *Runner) addSlot(model string, state SlotState, now time.Time) *slot {
	pins := r.lostPins[model]
	if pins == nil {
		pins = map[string]pinGrant{}
	}
	delete(r.lostPins, model)
	s := &slot{state: state, pins: pins, changed: now, lastUse: now}
	r.slots[model] = s
	return s
}

// pinsOn returns the pins granted on a model, whether it has a slot or was
// lost.
func (r *Runner) pinsOn(model string) map[string]pinGrant {
	if s := r.slots[model]; s != nil {
		return s.pins
	}
	return r.lostPins[model]
}

// reconcile updates the slots from the report. It ignores slots that changed
// after the time that the report describes.
func (r *Runner) reconcile() {
	present := make(map[string]bool, len(r.report.Resident))
	for _, resident := range r.report.Resident {
		present[resident.Model] = true
		r.reconcileResident(resident.Model)
		s := r.slots[resident.Model]
		idle := resident.Running+resident.Queued == 0
		if s != nil && idle && r.reportTime.After(s.idleReportAfter) {
			s.idleReportAfter = time.Time{}
		}
	}
	for model, s := range r.slots {
		if present[model] || !r.reportTime.After(s.changed) {
			continue
		}
		if s.state != SlotLoading || (!s.loadEndsBy.IsZero() && r.reportTime.After(s.loadEndsBy)) {
			r.dropSlot(model)
		}
	}
	for model, at := range r.removedAt {
		if r.reportTime.After(at) {
			delete(r.removedAt, model)
		}
	}
}

func (r *Runner) reconcileResident(model string) {
	s := r.slots[model]
	if s == nil {
		if _, removed := r.removedAt[model]; !removed || r.reportTime.After(r.removedAt[model]) {
			r.addSlot(model, SlotResident, r.reportTime)
		}
		return
	}
	if s.state == SlotLoading && !s.loadEndsBy.IsZero() {
		s.state = SlotResident
		s.loadEndsBy = time.Time{}
	}
}

// Grant gives a holder a pin on a resident model.
func (r *Runner) Grant(holder, incarnation, model string, now time.Time) (Pin, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.owned || !r.grantsEnabled {
		return Pin{}, ErrNotOwner
	}
	if _, doubted := r.inDoubt[model]; doubted {
		return Pin{}, ErrInDoubt
	}
	s := r.slots[model]
	if s == nil || s.state == SlotLoading {
		return Pin{}, ErrNotResident
	}
	if s.state != SlotResident {
		return Pin{}, ErrEvicting
	}
	r.seq++
	s.pins[holder] = pinGrant{seq: r.seq, incarnation: incarnation}
	s.lastUse = now
	return Pin{Runner: r.id, Model: model, Fence: r.fence, Seq: r.seq}, nil
}

// AcceptReturn removes a returned pin. It ignores a return that is older than
// the holder's latest grant.
func (r *Runner) AcceptReturn(holder string, ret PinReturn, now time.Time) {
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
			delete(r.lostPins, ret.Pin.Model)
		}
		return
	}
	s.lastUse = now
	if !ret.Clean {
		s.idleReportAfter = now.Add(inFlightGrace)
	}
}

// AddReportedPins adds the pins that a member reports to hold.
func (r *Runner) AddReportedPins(member, incarnation string, pins []HeldPin, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.owned {
		return
	}
	if r.pendingHolders[member] {
		// An earlier process of this member may have left requests running.
		r.requireIdleReport(now)
	}
	delete(r.pendingHolders, member)
	r.reportedIncarnations[member] = incarnation
	for _, held := range pins {
		pinsOfModel := r.pinsOn(held.Model)
		if pinsOfModel == nil {
			// Not loaded as far as this owner knows: the pin counts once it is.
			pinsOfModel = map[string]pinGrant{}
			r.lostPins[held.Model] = pinsOfModel
		}
		if _, reported := pinsOfModel[member]; !reported {
			pinsOfModel[member] = pinGrant{incarnation: incarnation}
		}
		if s := r.slots[held.Model]; s != nil {
			s.lastUse = now
		}
	}
}

// MemberSeen records a member. A process that has not reported its pins yet may
// hold pins of an earlier owner.
func (r *Runner) MemberSeen(member, incarnation string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	reported, ok := r.reportedIncarnations[member]
	if r.owned && (!ok || reported != incarnation) {
		r.pendingHolders[member] = true
	}
}

// ProcessEnded records that a member's process is proven dead, because the
// platform no longer lists its host (liveIncarnation is empty), or because a
// later process runs there. Its requests may still be running on the engine, so
// a later report must show each model idle.
func (r *Runner) ProcessEnded(member, liveIncarnation string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	wasPending := r.pendingHolders[member] && liveIncarnation == ""
	if wasPending {
		delete(r.pendingHolders, member)
	}
	for _, pins := range r.lostPins {
		if pin, held := pins[member]; held && pin.incarnation != liveIncarnation {
			delete(pins, member)
		}
	}
	for _, s := range r.slots {
		pin, held := s.pins[member]
		stale := held && pin.incarnation != liveIncarnation
		if stale {
			delete(s.pins, member)
		}
		if stale || wasPending {
			s.idleReportAfter = now.Add(inFlightGrace)
		}
	}
}

// requireIdleReport blocks the eviction of each model until a later report
// shows it idle.
func (r *Runner) requireIdleReport(now time.Time) {
	for _, s := range r.slots {
		s.idleReportAfter = now.Add(inFlightGrace)
	}
}

// ResolveInDoubt clears the in-doubt evictions for which finished returns true.
func (r *Runner) ResolveInDoubt(finished func(Intent) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for model, intent := range r.inDoubt {
		if finished(intent) {
			delete(r.inDoubt, model)
		}
	}
}

// PendingHolders returns the members that still block evictions, sorted.
func (r *Runner) PendingHolders() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return sortedKeys(r.pendingHolders)
}

func sortedKeys[V any](set map[string]V) []string {
	keys := make([]string, 0, len(set))
	for key := range set {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}
