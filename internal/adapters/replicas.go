package adapters

import "slices"

// Replicas keeps, for the adapters whose home is this runner, which other runners
// hold them. It is not safe for concurrent use.
//
// An adapter's home is sometimes busy or has loads queued, and a request goes to the
// adapter's next runner. When the home wasn't informed, each later request made the home
// load the adapter too. In a simulated day with many cold adapters 1,237 were fetched
// where 838 had been requested: a third of the fetches were useless, although the
// weight store was never idle.
type Replicas struct {
	byKey map[Key]*replicaSet
	clock uint64
}

// replicaSet is the set of runners that hold one adapter, except its home. It is never
// empty.
type replicaSet struct {
	runners []string
	// next is the index of the runner to return first next time.
	next int
	// lastUsed is the clock at the last use; the least recently used entry is
	// evicted.
	lastUsed uint64
}

const (
	// maxTrackedAdapters bounds the adapters whose runners are kept. Three thousand
	// adapters on nine runners make 333 per home.
	maxTrackedAdapters = 1024
	// maxReplicas bounds the runners kept for one adapter. The most popular of a
	// region's 20,000 adapters keeps about 50 runners with 12 request slots busy.
	maxReplicas = 128
	// maxPicked is how many runners are returned at a time. Asking one that turns out
	// to be busy costs a request about three milliseconds.
	maxPicked = 3
)

// NewReplicas returns an empty table.
func NewReplicas() *Replicas { return &Replicas{byKey: map[Key]*replicaSet{}} }

// Add records that a runner holds an adapter.
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

// Pick returns some of the runners that hold an adapter, in rotation.
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

// Has reports whether another runner holds an adapter.
func (r *Replicas) Has(key Key) bool { return r.byKey[key] != nil }

// HasBesides reports whether a runner other than the given one holds an adapter.
func (r *Replicas) HasBesides(key Key, runner string) bool {
	known := r.byKey[key]
	return known != nil && slices.ContainsFunc(known.runners, func(other string) bool { return other != runner })
}

// Retain drops the runners for which keep returns false.
func (r *Replicas) Retain(keep func(runner string) bool) {
	for key, known := range r.byKey {
		known.runners = slices.DeleteFunc(known.runners, func(runner string) bool { return !keep(runner) })
		known.next = 0
		if len(known.runners) == 0 {
			delete(r.byKey, key)
		}
	}
}
