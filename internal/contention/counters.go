package contention

import (
	"cmp"
	"hash/maphash"
	"slices"
	"sync"

	"github.com/cherrystage/cherrystage/internal/site"
)

// Causes for which requests wait.
const (
	// CausePlacement stands for the whole search for a runner where nothing tells more.
	CausePlacement = "placement"
	CausePrefill   = "prefill"
	CauseLoad      = "adapter load"
	CauseSlot      = "request slot"
)

// Others replaces workspaces and causes beyond the greatest number.
const Others = "(others)"

const (
	counterShards = 8
	// maxGroups is the number of precedences and workspaces in a shard. With 16 workspaces and
	// three routes a host has 48 in all.
	maxGroups = 32
	// maxCauses is the number of causes of a group. Some words come from other hosts, so their
	// number is not known.
	maxCauses = 16
	// maxCauseBytes is the length of a cause.
	maxCauseBytes = 64
)

// Counters counts a host's requests. It holds some 9,000 counts at most, which take less than 2 MB.
// It is safe for concurrent use; use NewCounters.
type Counters struct {
	seed   maphash.Seed
	shards [counterShards]counterShard
}

type counterShard struct {
	mu     sync.Mutex
	groups map[requestGroup]*groupCounts
}

type requestGroup struct {
	precedence site.Precedence
	workspace  string
}

type groupCounts struct {
	open, served, failed int64
	causes               map[string]*causeCounts
}

type causeCounts struct{ deferred, refused int64 }

// NewCounters returns counters of a process that has had no requests.
func NewCounters() *Counters {
	c := &Counters{seed: maphash.MakeSeed()}
	for i := range c.shards {
		c.shards[i].groups = map[requestGroup]*groupCounts{}
	}
	return c
}

// Request is one request in progress. It is used by one goroutine. Its methods do nothing on nil.
type Request struct {
	shard  *counterShard
	counts *groupCounts
	// waiting is the cause for which the request waits, nil if it doesn't.
	waiting *causeCounts
}

// Begin counts a request as open until its End.
func (c *Counters) Begin(precedence site.Precedence, workspace string) *Request {
	if c == nil {
		return nil
	}
	group := requestGroup{precedence: precedence, workspace: workspace}
	shard := &c.shards[maphash.Comparable(c.seed, group)%counterShards]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	counts := shard.group(group)
	counts.open++
	return &Request{shard: shard, counts: counts}
}

// group returns the counts of a group; s.mu must be held. One group of each precedence may be added
// beyond maxGroups, and with too many precedences all others count as one.
func (s *counterShard) group(group requestGroup) *groupCounts {
	if counts := s.groups[group]; counts != nil {
		return counts
	}
	if len(s.groups) >= maxGroups {
		group.workspace = Others
	}
	if len(s.groups) >= 2*maxGroups {
		group.precedence = site.Precedence{}
	}
	counts := s.groups[group]
	if counts == nil {
		counts = &groupCounts{causes: map[string]*causeCounts{}}
		s.groups[group] = counts
	}
	return counts
}

// cause returns the counts of a cause; the lock of the group's shard must be held.
func (g *groupCounts) cause(cause string) *causeCounts {
	cause = cause[:min(len(cause), maxCauseBytes)]
	if g.causes[cause] == nil && len(g.causes) >= maxCauses {
		cause = Others
	}
	counts := g.causes[cause]
	if counts == nil {
		counts = &causeCounts{}
		g.causes[cause] = counts
	}
	return counts
}

// Defer counts the request as waiting for a cause until Resume, End or the next Defer.
func (r *Request) Defer(cause string) {
	if r == nil {
		return
	}
	r.shard.mu.Lock()
	defer r.shard.mu.Unlock()
	r.resume()
	r.waiting = r.counts.cause(cause)
	r.waiting.deferred++
}

// Resume ends the wait.
func (r *Request) Resume() {
	if r == nil {
		return
	}
	r.shard.mu.Lock()
	defer r.shard.mu.Unlock()
	r.resume()
}

// resume is Resume with the shard's lock held.
func (r *Request) resume() {
	if r.waiting != nil {
		r.waiting.deferred--
		r.waiting = nil
	}
}

// EndServed counts a complete answer and ends the request.
func (r *Request) EndServed() {
	r.end(func() { r.counts.served++ })
}

// EndRefused counts a refusal and ends the request.
func (r *Request) EndRefused(cause string) {
	r.end(func() { r.counts.cause(cause).refused++ })
}

// EndFailed counts a request that was neither served nor refused, and ends it.
func (r *Request) EndFailed() {
	r.end(func() { r.counts.failed++ })
}

func (r *Request) end(count func()) {
	if r == nil {
		return
	}
	r.shard.mu.Lock()
	defer r.shard.mu.Unlock()
	r.resume()
	r.counts.open--
	count()
}

// Requests returns the current counts, sorted by key.
func (c *Counters) Requests() []Requests {
	if c == nil {
		return nil
	}
	var all []Requests
	for i := range c.shards {
		all = c.shards[i].appendTo(all)
	}
	all = sumByKey(all)
	slices.SortFunc(all, func(a, b Requests) int { return a.RequestKey.compare(b.RequestKey) })
	return all
}

func (s *counterShard) appendTo(all []Requests) []Requests {
	s.mu.Lock()
	defer s.mu.Unlock()
	for group, counts := range s.groups {
		key := RequestKey{WorkspacePriority: group.precedence.Workspace, RoutePriority: group.precedence.Route, Workspace: group.workspace}
		all = append(all, Requests{RequestKey: key, Open: counts.open, Served: counts.served, Failed: counts.failed})
		for cause, of := range counts.causes {
			if of.deferred == 0 && of.refused == 0 {
				continue
			}
			key.Cause = cause
			all = append(all, Requests{RequestKey: key, Deferred: of.deferred, Refused: of.refused})
		}
	}
	return all
}

// sumByKey adds up the counts with equal keys.
func sumByKey(all []Requests) []Requests {
	index := make(map[RequestKey]int, len(all))
	sums := make([]Requests, 0, len(all))
	for _, one := range all {
		at, known := index[one.RequestKey]
		if !known {
			index[one.RequestKey] = len(sums)
			sums = append(sums, one)
			continue
		}
		sums[at].add(one)
	}
	return sums
}

// compare orders keys by precedence, workspace and cause.
func (k RequestKey) compare(other RequestKey) int {
	return cmp.Or(
		cmp.Compare(k.WorkspacePriority, other.WorkspacePriority),
		cmp.Compare(k.RoutePriority, other.RoutePriority),
		cmp.Compare(k.Workspace, other.Workspace),
		cmp.Compare(k.Cause, other.Cause),
	)
}
