package quota

import (
	"math"
	"time"
)

const (
	// aheadShare of what a part holds beyond its half is granted ahead to one host at
	// most: near its limit a part is left to the requests that are there.
	aheadShare = 0.125
	// leastWait keeps refused callers from coming back at once, longestWait from never.
	leastWait   = 50 * time.Millisecond
	longestWait = 10 * time.Second
)

// bucket is one part's token bucket.
type bucket struct {
	level float64
	// promised are units that refused callers were told to come back for.
	promised float64
	at       time.Time
}

// newBucket makes the bucket of a part that nobody else grants anything of from a moment
// on, which may be ahead. One that began full would have a fleet that starts anew spend the
// burst twice; one that filled before the moment would do so beside the host before it.
func newBucket(since time.Time) *bucket { return &bucket{at: since} }

// refill adds what the time since the last call brought.
func (b *bucket) refill(limit Limit, now time.Time) {
	if passed := now.Sub(b.at); passed > 0 {
		brought := limit.Rate * passed.Seconds()
		b.level += brought
		b.promised = max(0, b.promised-brought)
		b.at = now
	}
}

// take answers an ask. A request that costs more than the bucket can hold is granted once
// it is full; what it takes beyond that is paid back by those after it.
func (b *bucket) take(ask GrantRequest, limit Limit, now time.Time) GrantResponse {
	b.refill(limit, now)
	// What a bucket held under a limit that was lowered since is not granted any more.
	b.level = min(limit.Burst, b.level+ask.Returned)
	if ask.Cost == 0 {
		return GrantResponse{Level: b.level}
	}
	if needed := min(ask.Cost, limit.Burst); b.level < needed {
		return GrantResponse{RetryAfter: b.wait(needed, limit), Level: b.level}
	}
	b.level -= ask.Cost
	ahead := math.Floor(min(ask.Prefetch, max(0, b.level-limit.Burst/2)*aheadShare))
	b.level -= ahead
	return GrantResponse{Granted: ask.Cost + ahead, Level: b.level}
}

// wait gives when a refused request may be granted: after those that were told before it.
// Told the same time, all would come back together and most be refused again.
func (b *bucket) wait(needed float64, limit Limit) time.Duration {
	missing := needed - b.level + b.promised
	b.promised += needed
	if limit.Rate <= 0 {
		return longestWait
	}
	seconds := min(missing/limit.Rate, longestWait.Seconds())
	return max(leastWait, time.Duration(seconds*float64(time.Second)))
}
