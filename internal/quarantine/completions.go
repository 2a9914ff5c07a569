package quarantine

import (
	"sync"
	"time"
)

const (
	// memory is how long ends of runners count against a request, and how long a whole
	// answer to it is remembered. A request that ends a runner less often than each five
	// minutes costs its fleet less than ordinary failures do.
	memory = 10 * time.Minute
	// completionShards keep requests on different cores from waiting for one lock.
	completionShards = 16
	// completionsPerShard bounds a generation: all shards together hold the requests of
	// ten minutes at 27 a second, what a host gets at the target size at its peak. Two
	// generations take 1 MB.
	completionsPerShard = 1024
)

// completions remembers which requests were answered whole, and when last. It is safe for
// concurrent use.
type completions struct {
	shards [completionShards]completionShard
}

// completionShard keeps two generations. The older one is dropped when the younger is old
// or full, so that forgetting takes no search.
type completionShard struct {
	mu    sync.Mutex
	young map[Fingerprint]time.Time
	old   map[Fingerprint]time.Time
	since time.Time
}

func (c *completions) shard(content Fingerprint) *completionShard {
	return &c.shards[content%completionShards]
}

func (c *completions) note(content Fingerprint, now time.Time) {
	s := c.shard(content)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.young == nil || len(s.young) >= completionsPerShard || now.Sub(s.since) >= memory {
		s.old, s.young, s.since = s.young, map[Fingerprint]time.Time{}, now
	}
	s.young[content] = now
}

// last gives when a request was last answered whole.
func (c *completions) last(content Fingerprint) (time.Time, bool) {
	s := c.shard(content)
	s.mu.Lock()
	defer s.mu.Unlock()
	if at, ok := s.young[content]; ok {
		return at, true
	}
	at, ok := s.old[content]
	return at, ok
}
