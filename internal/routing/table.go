// Package routing decides where a request goes: to a runner that has its
// model, or to one that is to load it.
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

// Table is what a host knows of all runners, as their owners tell it. It is
// safe for concurrent use; runners and models are in shards with a lock each.
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

// runnerInfo is one runner. inFlight counts this host's own requests there, and
// told how many there were when the owner last told: what came or went since is
// not in the owner's word.
type runnerInfo struct {
	host     fleet.Host
	view     residency.View
	known    bool
	inFlight atomic.Int64
	told     atomic.Int64
}

// NewTable makes an empty table.
func NewTable() *Table {
	t := &Table{}
	for i := range tableShards {
		t.runners[i].runners = map[string]*runnerInfo{}
		t.models[i].runners = map[string][]string{}
	}
	return t
}

func shardIndex(name string) uint64 { return xxhash.Sum64String(name) % tableShards }

// SetHosts takes the host list's runners over; those no longer listed are dropped.
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
		t.index(view, residency.View{Runner: view.Runner})
	}
}

// Update takes an owner's word over and reports whether it did. A word under
// a lower fencing number is an earlier owner's, who may have been paused.
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
	info.told.Store(info.inFlight.Load())
	s.mu.Unlock()
	t.index(old, view)
	return true
}

// index keeps the list of runners of each model.
func (t *Table) index(old, current residency.View) {
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

// modelsOf gives the models that have a slot on a runner or are to get one.
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
	// The list is replaced, not changed: readers hold it without the lock.
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

// Started counts a request sent to a runner; Finished takes it back.
func (t *Table) Started(runner string) { t.count(runner, 1) }

// Finished counts a request that has ended.
func (t *Table) Finished(runner string) { t.count(runner, -1) }

func (t *Table) count(runner string, n int64) {
	s := &t.runners[shardIndex(runner)]
	s.mu.RLock()
	defer s.mu.RUnlock()
	if info := s.runners[runner]; info != nil {
		info.inFlight.Add(n)
	}
}

// Runner is one runner as a decision sees it.
type Runner struct {
	ID      string
	Address string
	Owner   string
	Base    string
	Live    bool
	Known   bool
	Fence   uint64
	Slots   int
	Free    int
	Loading int
	// Evictable is the number of models that could make room.
	Evictable int
	MaxBatch  int
	// Occupancy is the number of requests on the runner, by the owner's last
	// word and this host's own count since.
	Occupancy   int
	OwnRequests int
}

func (info *runnerInfo) decisionView() Runner {
	view := &info.view
	loading := len(view.Wanted)
	for _, slot := range view.Models {
		if slot.State == residency.SlotLoading {
			loading++
		}
	}
	own := int(info.inFlight.Load())
	occupancy := max(view.Running+view.Queued+own-int(info.told.Load()), own)
	return Runner{
		ID: info.host.ID, Address: info.host.Address, Owner: view.Owner, Base: info.host.Base,
		Live: info.host.State == fleet.StateLive, Known: info.known, Fence: view.Fence,
		Slots: view.Slots, Free: view.Slots - len(view.Models), Loading: loading,
		Evictable: view.Evictable, MaxBatch: view.MaxBatch, Occupancy: occupancy, OwnRequests: own,
	}
}

// Get gives one runner.
func (t *Table) Get(id string) (Runner, bool) {
	s := &t.runners[shardIndex(id)]
	s.mu.RLock()
	defer s.mu.RUnlock()
	info := s.runners[id]
	if info == nil {
		return Runner{}, false
	}
	return info.decisionView(), true
}

// RunnersWith gives the runners on which a model has a slot, with the slot's state.
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
			return Located{Runner: info.decisionView(), State: slot.State}, true
		}
	}
	if slices.Contains(info.view.Wanted, model) {
		return Located{Runner: info.decisionView(), State: residency.SlotWanted}, true
	}
	return Located{}, false
}

// All gives the runners of a base model, sorted by identifier; of every base
// model where base is empty.
func (t *Table) All(base string) []Runner {
	var all []Runner
	for i := range t.runners {
		s := &t.runners[i]
		s.mu.RLock()
		for _, info := range s.runners {
			if base == "" || info.host.Base == base {
				all = append(all, info.decisionView())
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

// Views gives the owners' last words, sorted by runner.
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
