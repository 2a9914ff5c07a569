package quarantine

import (
	"sync"
	"time"
)

const (
	// evidenceTTL is how long crashes count against a request, and how long its completions are
	// remembered. A request that crashes a runner less often than every five minutes costs the
	// fleet less than ordinary failures do.
	evidenceTTL = 10 * time.Minute
	// completionShards is the number of independently locked shards.
	completionShards = 16
	// completionsPerShard bounds a generation. All shards together hold ten minutes of requests
	// at 27 per second, a host's peak rate at the planned fleet size. Two generations take 1 MB.
	completionsPerShard = 1024
)

// completions remembers when requests were last answered completely. It is safe for concurrent
// use.
type completions struct {
	shards [completionShards]completionShard
}

// completionShard keeps two generations of entries. The previous one is dropped when the current
// one is old or full, so expiry needs no scan.
type completionShard struct {
	mu        sync.Mutex
	current   map[Fingerprint]time.Time
	previous  map[Fingerprint]time.Time
	rotatedAt time.Time
}

func (c *completions) shard(content Fingerprint) *completionShard {
	return &c.shards[content%completionShards]
}

func (c *completions) record(content Fingerprint, now time.Time) {
	s := c.shard(content)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current == nil || len(s.current) >= completionsPerShard || now.Sub(s.rotatedAt) >= evidenceTTL {
		s.previous, s.current, s.rotatedAt = s.current, map[Fingerprint]time.Time{}, now
	}
	s.current[content] = now
}

// lastCompletion returns when a request was last answered completely.
func (c *completions) lastCompletion(content Fingerprint) (time.Time, bool) {
	s := c.shard(content)
	s.mu.Lock()
	defer s.mu.Unlock()
	if at, ok := s.current[content]; ok {
		return at, true
	}
	at, ok := s.previous[content]
	return at, ok
}
