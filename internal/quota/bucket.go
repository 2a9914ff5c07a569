package quota

import (
	"math"
	"time"
)

const (
	// maxPrefetchShare is the share of the units above half of the burst that one request may
	// prefetch: close to the limit, a part serves only current requests.
	maxPrefetchShare = 0.125
	// minRetryAfter keeps refused callers from retrying immediately, maxRetryAfter from waiting
	// indefinitely.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 10 * time.Second
)

// bucket is the token bucket of one part.
type bucket struct {
	level float64
	// reserved is the cost of the refused requests that were told when to retry.
	reserved   float64
	refilledAt time.Time
}

// newBucket returns the bucket of a part that no other host grants units of after since, which
// may be in the future. The bucket starts empty and fills from since on: a full one would grant
// the burst a second time after a restart of the fleet, and one that fills earlier would grant
// units that the previous leader grants too.
func newBucket(since time.Time) *bucket { return &bucket{refilledAt: since} }

// refill adds the units accrued since the last call.
func (b *bucket) refill(limit Limit, now time.Time) {
	if elapsed := now.Sub(b.refilledAt); elapsed > 0 {
		added := limit.Rate * elapsed.Seconds()
		b.level += added
		b.reserved = max(0, b.reserved-added)
		b.refilledAt = now
	}
}

// take handles a grant request. A request that costs more than the burst is granted once the
// bucket is full, and leaves it negative: later requests wait until the debt is refilled.
func (b *bucket) take(request GrantRequest, limit Limit, now time.Time) GrantResponse {
	b.refill(limit, now)
	// Units above the burst are discarded, also when the limit was lowered since.
	b.level = min(limit.Burst, b.level+request.Returned)
	if request.Cost == 0 {
		return GrantResponse{Level: b.level}
	}
	if needed := min(request.Cost, limit.Burst); b.level < needed {
		return GrantResponse{RetryAfter: b.retryAfter(needed, limit), Level: b.level}
	}
	b.level -= request.Cost
	prefetched := math.Floor(min(request.Prefetch, max(0, b.level-limit.Burst/2)*maxPrefetchShare))
	b.level -= prefetched
	return GrantResponse{Granted: request.Cost + prefetched, Level: b.level}
}

// retryAfter returns how long a refused request should wait before it is retried, and reserves
// its cost. Retry times are spaced by the reserved units: callers with the same time would all
// return together and most would be refused again.
func (b *bucket) retryAfter(needed float64, limit Limit) time.Duration {
	missing := needed - b.level + b.reserved
	b.reserved += needed
	if limit.Rate <= 0 {
		return maxRetryAfter
	}
	seconds := min(missing/limit.Rate, maxRetryAfter.Seconds())
	return max(minRetryAfter, time.Duration(seconds*float64(time.Second)))
}
