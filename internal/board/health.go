package board

import "time"

const (
	// failureWeight is the weight of the newest outcome in the failure rate. A
	// runner that fails two fifths of its requests passes suspectRate after
	// some four requests; one failure among good ones does not.
	failureWeight = 0.25
	suspectRate   = 0.35
	// suspectFirst and suspectMost bound how long a runner is avoided. The first
	// is short, since one refused connection may be the connection's fault; the
	// longest keeps trials of a dead runner to one in four seconds a host.
	suspectFirst = 300 * time.Millisecond
	suspectMost  = 4 * time.Second
	// recentSuccess outweighs a peer's suspicion: the peer may be the one that
	// is cut off.
	recentSuccess = 500 * time.Millisecond
)

// health is the judgement on one runner from requests alone: a runner's own
// health page may answer while it fails its requests.
type health struct {
	rate    float64
	strikes int
	until   time.Time
	goodAt  time.Time
}

func (h *health) suspect(now time.Time) bool { return now.Before(h.until) }

// good notes a success and says whether it ends the suspicion.
func (h *health) good(now time.Time) bool {
	h.rate *= 1 - failureWeight
	h.goodAt = now
	if h.rate >= suspectRate/2 {
		return false
	}
	ended := !h.until.IsZero()
	h.strikes = 0
	h.until = time.Time{}
	return ended
}

// bad notes a failure; hard ones (no connection at all) suffice alone.
func (h *health) bad(now time.Time, hard bool) bool {
	h.rate = h.rate*(1-failureWeight) + failureWeight
	if !hard && h.rate < suspectRate {
		return false
	}
	if h.suspect(now) {
		return false
	}
	h.until = now.Add(min(suspectFirst<<h.strikes, suspectMost))
	h.strikes = min(h.strikes+1, 4)
	return true
}

// RecordSuccess notes that a runner served a request, and reports whether that ends the
// suspicion against it.
func (b *Board) RecordSuccess(runner string, now time.Time) bool {
	var ended bool
	b.with(runner, func(e *entry) {
		ended = e.health.good(now)
		e.refusals = refusals{}
	})
	return ended
}

// RecordFailure notes that a runner failed a request, and reports whether it is suspect
// since then. Hard failures are those to connect at all.
func (b *Board) RecordFailure(runner string, hard bool, now time.Time) bool {
	var turned bool
	b.with(runner, func(e *entry) { turned = e.health.bad(now, hard) })
	return turned
}

// Suspects gives the runners that this host avoids, and for how much longer.
func (b *Board) Suspects(now time.Time) map[string]time.Duration {
	suspects := map[string]time.Duration{}
	for i := range b.shards {
		s := &b.shards[i]
		s.mu.Lock()
		for runner, e := range s.entries {
			switch {
			case e.health.suspect(now):
				suspects[runner] = e.health.until.Sub(now)
			case e.silent(now):
				suspects[runner] = suspectFirst
			}
		}
		s.mu.Unlock()
	}
	return suspects
}

// MergePeerSuspicion takes over a peer's suspicion of a runner, unless the runner
// has just served this host.
func (b *Board) MergePeerSuspicion(runner string, left time.Duration, now time.Time) {
	b.with(runner, func(e *entry) {
		if now.Sub(e.health.goodAt) < recentSuccess {
			return
		}
		until := now.Add(min(left, suspectFirst))
		if until.After(e.health.until) {
			e.health.until = until
		}
	})
}
