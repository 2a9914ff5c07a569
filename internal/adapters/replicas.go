package adapters

import "slices"

// Replicas keeps, for the adapters whose home a runner is, on which other
// runners they lie. It is not safe for concurrent use.
//
// The load it answers: an adapter's home is now and then busy or has a queue of
// loads, and its request goes to the adapter's next runner. Without a word of
// that at the home, each later request had the home load a copy too: on a day of
// many cold adapters 1,237 were fetched where 838 had been asked for, and the
// weight store, which was never idle, brought a third of them in vain.
type Replicas struct {
	byKey map[Key]*replicaSet
	clock uint64
}

// replicaSet are the runners of one adapter beside its home.
type replicaSet struct {
	runners []string
	// next is the runner that is named first next time.
	next int
	// lastUsed grows with each use; the entry lastUsed longest ago makes way.
	lastUsed uint64
}

const (
	// maxTrackedAdapters bounds the adapters whose runners are kept: three thousand
	// adapters on nine runners make 333 a home.
	maxTrackedAdapters = 1024
	// maxReplicas bounds the runners of one adapter. The most wanted of a region's
	// 20,000 keeps some 50 runners of 12 slots busy.
	maxReplicas = 128
	// maxPicked is how many are named at a time: one that is busy costs its
	// asker some three milliseconds.
	maxPicked = 3
)

// NewReplicas makes an empty table.
func NewReplicas() *Replicas { return &Replicas{byKey: map[Key]*replicaSet{}} }

// Add notes that an adapter was placed on a runner.
func (r *Replicas) Add(key Key, runner string) {
	r.clock++
	known := r.byKey[key]
	if known == nil {
		r.makeRoom()
		known = &replicaSet{}
		r.byKey[key] = known
	}
	known.lastUsed = r.clock
	for _, other := range known.runners {
		if other == runner {
			return
		}
	}
	if len(known.runners) >= maxReplicas {
		known.runners = known.runners[1:]
	}
	known.runners = append(known.runners, runner)
}

func (r *Replicas) makeRoom() {
	if len(r.byKey) < maxTrackedAdapters {
		return
	}
	var oldest Key
	least := r.clock
	for key, known := range r.byKey {
		if known.lastUsed < least {
			oldest, least = key, known.lastUsed
		}
	}
	delete(r.byKey, oldest)
}

// Pick gives some of the runners on which an adapter lies, others each time.
func (r *Replicas) Pick(key Key) []string {
	known := r.byKey[key]
	if known == nil {
		return nil
	}
	r.clock++
	known.lastUsed = r.clock
	count := min(maxPicked, len(known.runners))
	picked := make([]string, 0, count)
	for i := range count {
		picked = append(picked, known.runners[(known.next+i)%len(known.runners)])
	}
	known.next = (known.next + count) % len(known.runners)
	return picked
}

// Has says whether an adapter lies on another runner.
func (r *Replicas) Has(key Key) bool { return r.byKey[key] != nil }

// Retain drops the runners that are gone.
func (r *Replicas) Retain(alive func(runner string) bool) {
	for key, known := range r.byKey {
		known.runners = slices.DeleteFunc(known.runners, func(runner string) bool { return !alive(runner) })
		known.next = 0
		if len(known.runners) == 0 {
			delete(r.byKey, key)
		}
	}
}
