// Package routing decides where a request goes: to a runner on which its model is
// resident, or to one that is to load it.
package routing

import (
	"slices"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
	"github.com/cherrystage/cherrystage/internal/fleet"
	"github.com/cherrystage/cherrystage/internal/residency"
)

const tableShards = 32

// Table holds what a host knows of all runners from their owners' reports. It is safe
// for concurrent use; runners and models are in shards with a lock each.
type Table struct {
	runners [tableShards]runnerShard
	models  [tableShards]modelShard
}

type runnerShard struct {
	mu      sync.RWMutex
	runners map[string]*runnerInfo
}

type modelShard struct {
	mu      sync.RWMutex
	runners map[string][]string
}

// runnerInfo is the state of one runner. inFlight counts this host's own requests on
// it; inFlightAtReport is that count at the time of the owner's last report, which
// does not include later changes.
type runnerInfo struct {
	host             fleet.Host
	view             residency.View
	known            bool
	inFlight         atomic.Int64
	inFlightAtReport atomic.Int64
}

// NewTable returns an empty table.
func NewTable() *Table {
	t := &Table{}
	for i := range tableShards {
		t.runners[i].runners = map[string]*runnerInfo{}
		t.models[i].runners = map[string][]string{}
	}
	return t
}

func shardIndex(name string) uint64 { return xxhash.Sum64String(name) % tableShards }

// SetHosts replaces the list of runners; those no longer listed are dropped.
func (t *Table) SetHosts(hosts []fleet.Host) {
	listed := map[string]bool{}
	for _, host := range hosts {
		listed[host.ID] = true
		s := &t.runners[shardIndex(host.ID)]
		s.mu.Lock()
		if info := s.runners[host.ID]; info != nil {
			info.host = host
		} else {
			s.runners[host.ID] = &runnerInfo{host: host}
		}
		s.mu.Unlock()
	}
	for i := range t.runners {
		t.dropUnlisted(&t.runners[i], listed)
	}
}

func (t *Table) dropUnlisted(s *runnerShard, listed map[string]bool) {
	s.mu.Lock()
	var dropped []residency.View
	for id, info := range s.runners {
		if !listed[id] {
			dropped = append(dropped, info.view)
			delete(s.runners, id)
		}
	}
	s.mu.Unlock()
	for _, view := range dropped {
		t.updateIndex(view, residency.View{Runner: view.Runner})
	}
}

// Update accepts an owner's report and reports whether it did. A report with a lower
// fencing token comes from an earlier owner, which may have been paused.
func (t *Table) Update(view residency.View) bool {
	s := &t.runners[shardIndex(view.Runner)]
	s.mu.Lock()
	info := s.runners[view.Runner]
	if info == nil || view.Fence < info.view.Fence {
		s.mu.Unlock()
		return false
	}
	old := info.view
	info.view = view
	info.known = true
	info.inFlightAtReport.Store(info.inFlight.Load())
	s.mu.Unlock()
	t.updateIndex(old, view)
	return true
}

// updateIndex updates the lists of runners by model.
func (t *Table) updateIndex(old, current residency.View) {
	keep := make(map[string]bool, len(current.Models)+len(current.Wanted))
	for _, model := range modelsOf(current) {
		keep[model] = true
		t.addRunner(model, current.Runner)
	}
	for _, model := range modelsOf(old) {
		if !keep[model] {
			t.removeRunner(model, old.Runner)
		}
	}
}

// modelsOf returns the models that have a slot on a runner or are to get one.
func modelsOf(view residency.View) []string {
	models := slices.Clone(view.Wanted)
	for _, slot := range view.Models {
		models = append(models, slot.Model)
	}
	return models
}

func (t *Table) addRunner(model, runner string) {
	s := &t.models[shardIndex(model)]
	s.mu.Lock()
	defer s.mu.Unlock()
	// The list is replaced instead of changed because readers use it without the
	// lock.
	if list := s.runners[model]; !slices.Contains(list, runner) {
		s.runners[model] = append(slices.Clone(list), runner)
	}
}

func (t *Table) removeRunner(model, runner string) {
	s := &t.models[shardIndex(model)]
	s.mu.Lock()
	defer s.mu.Unlock()
	list := slices.DeleteFunc(slices.Clone(s.runners[model]), func(id string) bool { return id == runner })
	if len(list) == 0 {
		delete(s.runners, model)
		return
	}
	s.runners[model] = list
}

// Started counts a request sent to a runner.
func (t *Table) Started(runner string) { t.count(runner, 1) }

// Finished takes back the count of a request that has ended.
func (t *Table) Finished(runner string) { t.count(runner, -1) }

func (t *Table) count(runner string, n int64) {
	s := &t.runners[shardIndex(runner)]
	s.mu.RLock()
	defer s.mu.RUnlock()
	if info := s.runners[runner]; info != nil {
		info.inFlight.Add(n)
	}
}

// Runner is the state of a runner as a decision uses it.
type Runner struct {
	ID      string
	Address string
	// Owner is the host that gives the runner orders, Fence its fencing token.
	Owner string
	// Base names the base model that the runner serves.
	Base string
	// Live is set unless the runner is leaving. Known is set once an owner has
	// reported its state.
	Live  bool
	Known bool
	Fence uint64
	// Slots is the number of slots for models, Free that of free ones. Loading is the
	// number of models being loaded or waiting for their load.
	Slots   int
	Free    int
	Loading int
	// Evictable is the number of models that can be evicted.
	Evictable int
	// MaxBatch is the number of requests in a full batch, 0 if it is not known.
	MaxBatch int
	// Occupancy is the number of requests on the runner: those of the owner's last
	// report, corrected by this host's own count since then. OwnRequests is the number
	// of this host's own requests on it.
	Occupancy   int
	OwnRequests int
}

func (info *runnerInfo) snapshot() Runner {
	view := &info.view
	loading := len(view.Wanted)
	for _, slot := range view.Models {
		if slot.State == residency.SlotLoading {
			loading++
		}
	}
	own := int(info.inFlight.Load())
	occupancy := max(view.Running+view.Queued+own-int(info.inFlightAtReport.Load()), own)
	return Runner{
		ID: info.host.ID, Address: info.host.Address, Owner: view.Owner, Base: info.host.Base,
		Live: info.host.State == fleet.StateLive, Known: info.known, Fence: view.Fence,
		Slots: view.Slots, Free: view.Slots - len(view.Models), Loading: loading,
		Evictable: view.Evictable, MaxBatch: view.MaxBatch, Occupancy: occupancy, OwnRequests: own,
	}
}

// Get returns one runner.
func (t *Table) Get(id string) (Runner, bool) {
	s := &t.runners[shardIndex(id)]
	s.mu.RLock()
	defer s.mu.RUnlock()
	info := s.runners[id]
	if info == nil {
		return Runner{}, false
	}
	return info.snapshot(), true
}

// RunnersWith returns the runners on which a model has a slot or is to get one, with
// the slot's state.
func (t *Table) RunnersWith(model string) []Located {
	s := &t.models[shardIndex(model)]
	s.mu.RLock()
	ids := s.runners[model]
	s.mu.RUnlock()
	located := make([]Located, 0, len(ids))
	for _, id := range ids {
		if l, ok := t.locate(id, model); ok {
			located = append(located, l)
		}
	}
	return located
}

// Located is a runner with the state of one model on it.
type Located struct {
	Runner
	State residency.SlotState
}

func (t *Table) locate(id, model string) (Located, bool) {
	s := &t.runners[shardIndex(id)]
	s.mu.RLock()
	defer s.mu.RUnlock()
	info := s.runners[id]
	if info == nil {
		return Located{}, false
	}
	for _, slot := range info.view.Models {
		if slot.Model == model {
			return Located{Runner: info.snapshot(), State: slot.State}, true
		}
	}
	if slices.Contains(info.view.Wanted, model) {
		return Located{Runner: info.snapshot(), State: residency.SlotPending}, true
	}
	return Located{}, false
}

// All returns the runners of a base model sorted by identifier, or those of all base
// models if base is empty.
func (t *Table) All(base string) []Runner {
	var all []Runner
	for i := range t.runners {
		s := &t.runners[i]
		s.mu.RLock()
		for _, info := range s.runners {
			if base == "" || info.host.Base == base {
				all = append(all, info.snapshot())
			}
		}
		s.mu.RUnlock()
	}
	slices.SortFunc(all, func(a, b Runner) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return all
}

// Views returns the owners' last reports sorted by runner.
func (t *Table) Views() []residency.View {
	var views []residency.View
	for i := range t.runners {
		s := &t.runners[i]
		s.mu.RLock()
		for _, info := range s.runners {
			view := info.view
			view.Runner = info.host.ID
			views = append(views, view)
		}
		s.mu.RUnlock()
	}
	slices.SortFunc(views, func(a, b residency.View) int {
		if a.Runner < b.Runner {
			return -1
		}
		return 1
	})
	return views
}
