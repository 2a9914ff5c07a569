package board

import "time"

const (
	// refusalThreshold is the number of consecutive refusals after which a runner counts as
	// refusing everything. A runner that is merely full accepts a request as soon as another
	// ends.
	refusalThreshold = 3
	// initialRefusalPause and maxRefusalPause bound how long such a runner is skipped before it
	// is tried again.
	initialRefusalPause = 100 * time.Millisecond
	maxRefusalPause     = time.Second
)

// refusals tracks a runner's consecutive refusals.
//
// A runner that refuses immediately has nothing in flight. If it were ranked as the least
// loaded, it would be offered every request first, which delays callers and uses up the retry
// budget.
type refusals struct {
	consecutive int
	pausedUntil time.Time
}

// paused reports whether the runner is to be skipped.
func (r *refusals) paused(now time.Time) bool { return now.Before(r.pausedUntil) }

func (r *refusals) record(now time.Time, spacing time.Duration) {
	if spacing > 0 {
		r.consecutive++
		r.pausedUntil = now.Add(spacing)
		return
	}
	if r.paused(now) {
		// Sent before the pause began.
		return
	}
	r.consecutive++
	if excess := r.consecutive - refusalThreshold; excess >= 0 {
		r.pausedUntil = now.Add(min(initialRefusalPause<<min(excess, 4), maxRefusalPause))
	}
}

// RecordRefusal records that a runner refused a request for lack of capacity.
func (b *Board) RecordRefusal(runner string, now time.Time) {
	b.withEntry(runner, func(e *entry) { e.refusals.record(now, 0) })
}

// RecordBrittleRefusal records that a brittle runner refused a request. It counts as refusing
// everything for the given time.
func (b *Board) RecordBrittleRefusal(runner string, spacing time.Duration, now time.Time) {
	b.withEntry(runner, func(e *entry) { e.refusals.record(now, spacing) })
}
