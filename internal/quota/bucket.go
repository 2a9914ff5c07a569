package quota

import (
	"math"
	"slices"
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
	// since is when it began to fill. peaks holds the highest level in each of the latest periods, the
	// present one first, which began at peaksFrom.
	since     time.Time
	peaks     [peakPeriods]float64
	peaksFrom time.Time
}

const (
	// peakPeriod is the resolution of the history of levels.
	peakPeriod  = 250 * time.Millisecond
	peakPeriods = 16
	// maxReturnAge is how long after their grant units can be returned.
	maxReturnAge = (peakPeriods - 2) * peakPeriod
)

// newBucket returns the bucket of a part that no other host grants units of after since, which
// may be in the future. The bucket starts empty and fills from since on: a full one would grant
// the burst a second time after a restart of the fleet, and one that fills earlier would grant
// units that the previous leader grants too.
func newBucket(since time.Time) *bucket { return &bucket{refilledAt: since, since: since} }

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
	b.level = min(limit.Burst, b.level)
	b.notePeak(now)
	b.takeBack(request.Returned, request.ReturnedAge, limit, now)
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

// notePeak records the present level.
func (b *bucket) notePeak(now time.Time) {
	if now.Sub(b.peaksFrom) >= peakPeriods*peakPeriod {
		b.peaks, b.peaksFrom = [peakPeriods]float64{}, now
		for i := range b.peaks {
			b.peaks[i] = b.level
		}
	}
	for ; now.Sub(b.peaksFrom) >= peakPeriod; b.peaksFrom = b.peaksFrom.Add(peakPeriod) {
		copy(b.peaks[1:], b.peaks[:])
		b.peaks[0] = b.level
	}
	b.peaks[0] = max(b.peaks[0], b.level)
}

// takeBack adds units that were granted a time ago and not used, as far as the bucket would hold them had
// they not been granted: it had the room for them all the while.
//
// Bounded by the present level alone, the units of requests that did not run could be granted again and again
// while the bucket filled beside them, and a workspace was served far more than its quota afterwards.
func (b *bucket) takeBack(units float64, age time.Duration, limit Limit, now time.Time) {
	if units <= 0 || age > maxReturnAge || now.Add(-age).Before(b.since) {
		return
	}
	periods := b.peaks[:(age+max(0, now.Sub(b.peaksFrom)))/peakPeriod+1]
	room := limit.Burst - slices.Max(periods)
	if room <= 0 {
		return
	}
	units = min(units, room)
	b.level += units
	for i := range periods {
		periods[i] += units
	}
}
