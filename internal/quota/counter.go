package quota

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// shardCount divides what is counted over locks.
const shardCount = 16

// Ownership is a host's right to count a part: since when at least nobody else has granted
// anything of it, and the epoch of the host's lease that it rests on.
type Ownership struct {
	Since time.Time
	Epoch int64
}

// Counter is what one host counts for the fleet. Whether it has the right to is decided
// by its caller. It is safe for concurrent use.
type Counter struct {
	shards [shardCount]counterShard
}

type counterShard struct {
	mu    sync.Mutex
	parts map[partID]*counted
}

type partID struct {
	key  string
	part int
}

// counted is a part that this host counts, and the epoch in which it began to.
type counted struct {
	*bucket
	epoch int64
}

// NewCounter makes a counter that has counted nothing.
func NewCounter() *Counter {
	c := &Counter{}
	for i := range c.shards {
		c.shards[i].parts = map[partID]*counted{}
	}
	return c
}

func shardOf(key string) int { return int(xxhash.Sum64String(key) % shardCount) }

// Grant answers an ask under a right and a part's limit.
//
// A host whose lease was broken was followed by another one that granted units of the
// part. It begins anew under its next lease, or the same units would be granted twice.
func (c *Counter) Grant(ask GrantRequest, limit Limit, right Ownership, now time.Time) GrantResponse {
	shard := &c.shards[shardOf(ask.Key)]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	id := partID{key: ask.Key, part: ask.Part}
	part := shard.parts[id]
	if part == nil || part.epoch != right.Epoch {
		part = &counted{bucket: newBucket(right.Since), epoch: right.Epoch}
		shard.parts[id] = part
	}
	return part.take(ask, limit, now)
}

// Retain forgets the parts that this host does not count any more.
func (c *Counter) Retain(counts func(key string, part int) bool) {
	for i := range c.shards {
		c.shards[i].keep(counts)
	}
}

func (s *counterShard) keep(counts func(key string, part int) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.parts {
		if !counts(id.key, id.part) {
			delete(s.parts, id)
		}
	}
}

// Size gives the number of parts that this host counts.
func (c *Counter) Size() int {
	size := 0
	for i := range c.shards {
		c.shards[i].mu.Lock()
		size += len(c.shards[i].parts)
		c.shards[i].mu.Unlock()
	}
	return size
}
