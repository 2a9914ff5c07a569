package board

import "time"

const (
	// failureWeight is the weight of the latest outcome in the moving average of the failure
	// rate. A runner that fails two fifths of its requests exceeds suspectFailureRate after
	// about four requests; a single failure among successes does not.
	failureWeight      = 0.25
	suspectFailureRate = 0.35
	// initialSuspicion and maxSuspicion bound how long a runner is avoided. The first is short
	// because a refused connection may be a network fault; the maximum limits each host to one
	// attempt every four seconds on a dead runner.
	initialSuspicion = 300 * time.Millisecond
	maxSuspicion     = 4 * time.Second
	// recentSuccess is how long after a success a peer's suspicion is ignored: the peer may be
	// the one that is partitioned.
	recentSuccess = 500 * time.Millisecond
)

// health rates a runner by the outcomes of its requests alone: its health endpoint may succeed
// while its requests fail.
type health struct {
	failureRate  float64
	suspicions   int
	suspectUntil time.Time
	lastSuccess  time.Time
}

func (h *health) suspect(now time.Time) bool { return now.Before(h.suspectUntil) }

// recordSuccess records a success and reports whether it ends the suspicion.
func (h *health) recordSuccess(now time.Time) bool {
	h.failureRate *= 1 - failureWeight
	h.lastSuccess = now
	if h.failureRate >= suspectFailureRate/2 {
		return false
	}
	ended := !h.suspectUntil.IsZero()
	h.suspicions = 0
	h.suspectUntil = time.Time{}
	return ended
}

// recordFailure records a failure and reports whether the runner becomes suspect. A hard failure
// (no connection) is enough on its own.
func (h *health) recordFailure(now time.Time, hard bool) bool {
	h.failureRate = h.failureRate*(1-failureWeight) + failureWeight
	if !hard && h.failureRate < suspectFailureRate {
		return false
	}
	if h.suspect(now) {
		return false
	}
	h.suspectUntil = now.Add(min(initialSuspicion<<h.suspicions, maxSuspicion))
	h.suspicions = min(h.suspicions+1, 4)
	return true
}

// RecordSuccess records that a runner served a request, and reports whether this ends its
// suspicion.
func (b *Board) RecordSuccess(runner string, now time.Time) bool {
	b.lastHeard.Store(&now)
	var ended bool
	b.withEntry(runner, func(e *entry) {
		ended = e.health.recordSuccess(now)
		e.refusals = refusals{}
	})
	return ended
}

// RecordFailure records that a runner failed a request, and reports whether this makes it
// suspect. A failure is hard if no connection could be made.
func (b *Board) RecordFailure(runner string, hard bool, now time.Time) bool {
	var suspected bool
	b.withEntry(runner, func(e *entry) { suspected = e.health.recordFailure(now, hard) })
	return suspected
}

// Suspects returns the runners that this host avoids and for how much longer. While no runner at all
// sends anything, the silence of each is no reason to warn others of it.
func (b *Board) Suspects(now time.Time) map[string]time.Duration {
	noneHeard := b.NoneHeard(now)
	suspects := map[string]time.Duration{}
	for i := range b.shards {
		s := &b.shards[i]
		s.mu.Lock()
		for runner, e := range s.entries {
			switch {
			case e.health.suspect(now):
				suspects[runner] = e.health.suspectUntil.Sub(now)
			case !noneHeard && b.silent(e, now):
				suspects[runner] = initialSuspicion
			}
		}
		s.mu.Unlock()
	}
	return suspects
}

// MergePeerSuspicion adopts a peer's suspicion of a runner unless the runner served this host
// within recentSuccess.
func (b *Board) MergePeerSuspicion(runner string, remaining time.Duration, now time.Time) {
	b.withEntry(runner, func(e *entry) {
		if now.Sub(e.health.lastSuccess) < recentSuccess {
			return
		}
		until := now.Add(min(remaining, initialSuspicion))
		if until.After(e.health.suspectUntil) {
			e.health.suspectUntil = until
		}
	})
}
