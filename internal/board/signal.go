package board

import (
	"cmp"
	"slices"
	"time"
)

// Signal is what one answer of a runner says of the requests that it can take.
type Signal struct {
	// Limited says that the runner names a Rate: the requests a second that it takes from
	// all hosts together, for as long as its answers say so.
	Limited bool
	Rate    float64
	// Leaving says that the runner is about to end its work.
	Leaving bool
	// Backoff is for how long the runner wants no request from the host that it turned away,
	// 0 where it did not say.
	Backoff time.Duration
	// Malformed is what the runner said and is not understood.
	Malformed string
}

// limit is what is known of a runner's limit. The zero value is that of a runner that never
// named one.
type limit struct {
	limited bool
	rate    float64
	// saidAt is when the answer came that said so, to this host or to a peer.
	saidAt time.Time
	// refusedUntil is until when the host that counts for all has nothing for this one.
	refusedUntil time.Time
}

// SignalChange is what an answer changed in what is known of its runner.
type SignalChange struct {
	LimitChange
	// BackoffStarted says that the runner asks for rest, and did not rest before.
	BackoffStarted bool
	// MalformedStarted says that the runner says something that is not understood, and did not before.
	MalformedStarted bool
}

// LimitChange is a change of a runner's limit.
type LimitChange struct {
	Changed bool
	// Before and After are in requests a second, 0 where there is no limit.
	Before, After float64
}

// RecordSignal notes what an answer to a request that was sent at a time says.
func (b *Board) RecordSignal(runner string, signal Signal, sent, now time.Time) SignalChange {
	var change SignalChange
	b.with(runner, func(e *entry) {
		if signal.Malformed == "" {
			change.LimitChange = e.limit.hear(signal, sent, now)
		}
		change.BackoffStarted = e.rest(signal.Backoff, now)
		change.MalformedStarted = signal.Malformed != "" && signal.Malformed != e.unread
		e.unread = signal.Malformed
	})
	return change
}

// rest notes that the runner wants nothing from this host for a time, and says whether it
// did not rest before. What it asked for earlier and lasts longer still holds.
func (e *entry) rest(length time.Duration, now time.Time) bool {
	until := now.Add(length)
	if length <= 0 || !until.After(e.restUntil) {
		return false
	}
	began := !now.Before(e.restUntil)
	e.restUntil = until
	return began
}

// hear takes an answer's word. Without a limit it ends one only if its request was sent
// after the last word of it: answers overtake each other, and an old one would lift what
// the runner still wants.
func (l *limit) hear(signal Signal, sent, now time.Time) LimitChange {
	before := *l
	switch {
	case signal.Limited:
		l.limited, l.rate, l.saidAt = true, signal.Rate, now
	case l.limited && sent.After(l.saidAt):
		*l = limit{saidAt: now}
	}
	return l.change(before)
}

func (l *limit) change(before limit) LimitChange {
	if before.limited == l.limited && before.rate == l.rate {
		return LimitChange{}
	}
	return LimitChange{Changed: true, Before: before.rate, After: l.rate}
}

// LimitReport is what hosts tell each other of a runner's limit.
type LimitReport struct {
	Runner string `json:"runner"`
	// Limited is false where the runner has lifted its limit.
	Limited bool    `json:"limited,omitempty"`
	Rate    float64 `json:"rate,omitempty"`
	// AgeMS is how long ago the runner said so.
	AgeMS int64 `json:"age_ms"`
}

const (
	// liftedLife is how long others are told that a limit was lifted: for longer than it
	// takes to reach all hosts.
	liftedLife = 10 * time.Second
	// mostLimits bounds what one heartbeat tells, 2 KB. Hosts that hear others tell on, so
	// the newest words of each reach all.
	mostLimits = 32
	// newerBy is how much newer a peer's word must be to replace what is known. The way of
	// a heartbeat makes each word look that much newer than it is, and two hosts that tell
	// each other would keep an old one young.
	newerBy = 50 * time.Millisecond
)

// LimitReports gives what to tell a peer, the newest words first.
func (b *Board) LimitReports(now time.Time) []LimitReport {
	var limits []LimitReport
	for i := range b.shards {
		limits = b.shards[i].limits(limits, now)
	}
	slices.SortFunc(limits, func(x, y LimitReport) int {
		return cmp.Or(cmp.Compare(x.AgeMS, y.AgeMS), cmp.Compare(x.Runner, y.Runner))
	})
	return limits[:min(len(limits), mostLimits)]
}

func (s *shard) limits(limits []LimitReport, now time.Time) []LimitReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	for runner, e := range s.entries {
		if e.limit.limited || now.Sub(e.limit.saidAt) < liftedLife {
			limits = append(limits, e.limit.told(runner, now))
		}
	}
	return limits
}

func (l *limit) told(runner string, now time.Time) LimitReport {
	return LimitReport{Runner: runner, Limited: l.limited, Rate: l.rate, AgeMS: now.Sub(l.saidAt).Milliseconds()}
}

// LimitedCount gives the number of runners that name a limit.
func (b *Board) LimitedCount() int {
	count := 0
	for i := range b.shards {
		b.shards[i].mu.Lock()
		for _, e := range b.shards[i].entries {
			if e.limit.limited {
				count++
			}
		}
		b.shards[i].mu.Unlock()
	}
	return count
}

// LimitReportFor gives what to tell a peer of one runner.
func (b *Board) LimitReportFor(runner string, now time.Time) LimitReport {
	var told LimitReport
	b.with(runner, func(e *entry) { told = e.limit.told(runner, now) })
	return told
}

// MergePeerLimit takes over what a peer tells of a runner's limit, if it is newer.
func (b *Board) MergePeerLimit(told LimitReport, now time.Time) LimitChange {
	var change LimitChange
	b.with(told.Runner, func(e *entry) { change = e.limit.hearPeer(told, now) })
	return change
}

func (l *limit) hearPeer(told LimitReport, now time.Time) LimitChange {
	saidAt := now.Add(-time.Duration(told.AgeMS) * time.Millisecond)
	if !saidAt.After(l.saidAt.Add(newerBy)) {
		return LimitChange{}
	}
	before := *l
	l.limited, l.rate, l.saidAt = told.Limited, told.Rate, saidAt
	if !l.limited {
		l.refusedUntil = time.Time{}
	}
	return l.change(before)
}

// BlockUntil notes until when this host gets nothing of a runner's limit.
func (b *Board) BlockUntil(runner string, until time.Time) {
	b.with(runner, func(e *entry) { e.limit.refusedUntil = until })
}

// barred gives for how long no request may be sent to the runner.
func (e *entry) barred(now time.Time) time.Duration {
	left := e.restUntil.Sub(now)
	if e.limit.limited {
		left = max(left, e.limit.refusedUntil.Sub(now))
	}
	return max(0, left)
}
