package quota

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// shardCount is the number of independently locked shards.
const shardCount = 16

// Ownership is a host's leadership of a part, the exclusive right to grant its units: the time
// since which no other host has granted any, and the epoch of the host lease that it is based on.
type Ownership struct {
	Since time.Time
	Epoch int64
}

// Counter holds the token buckets of the parts that this host counts for all hosts. The caller
// decides whether the host leads a part. It is safe for concurrent use.
type Counter struct {
	shards [shardCount]counterShard
}

type counterShard struct {
	mu    sync.Mutex
	parts map[partID]*countedPart
}

type partID struct {
	key  string
	part int
}

// countedPart is a bucket and the lease epoch in which it was created.
type countedPart struct {
	*bucket
	epoch int64
}

// NewCounter returns an empty counter.
func NewCounter() *Counter {
	c := &Counter{}
	for i := range c.shards {
		c.shards[i].parts = map[partID]*countedPart{}
	}
	return c
}

func shardOf(key string) int { return int(xxhash.Sum64String(key) % shardCount) }

// Grant handles a grant request under the given limit and leadership.
//
// After a host's lease is broken another host grants units of the part, so a bucket is replaced
// by an empty one when the lease epoch changes. Otherwise the same units would be granted twice.
func (c *Counter) Grant(request GrantRequest, limit Limit, ownership Ownership, now time.Time) GrantResponse {
	shard := &c.shards[shardOf(request.Key)]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	id := partID{key: request.Key, part: request.Part}
	part := shard.parts[id]
	if part == nil || part.epoch != ownership.Epoch {
		part = &countedPart{bucket: newBucket(ownership.Since), epoch: ownership.Epoch}
		shard.parts[id] = part
	}
	return part.take(request, limit, now)
}

// Retain drops the parts that this host no longer leads.
func (c *Counter) Retain(owned func(key string, part int) bool) {
	for i := range c.shards {
		c.shards[i].retain(owned)
	}
}

func (s *counterShard) retain(owned func(key string, part int) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.parts {
		if !owned(id.key, id.part) {
			delete(s.parts, id)
		}
	}
}

// Size returns the number of parts in the counter.
func (c *Counter) Size() int {
	size := 0
	for i := range c.shards {
		c.shards[i].mu.Lock()
		size += len(c.shards[i].parts)
		c.shards[i].mu.Unlock()
	}
	return size
}
