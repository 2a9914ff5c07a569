package board

import (
	"cmp"
	"slices"
	"time"
)

// Signal is the backpressure information in one response of a runner.
type Signal struct {
	// Limited reports that the response carries a rate limit. Rate is the number of requests per
	// second that the runner accepts from all hosts together, for as long as its responses
	// repeat it.
	Limited bool
	Rate    float64
	// Brittle reports that the runner falls over if it has to turn away more than
	// RefusalsPerSecond requests within a second.
	Brittle           bool
	RefusalsPerSecond float64
	// Leaving reports that the runner is about to shut down.
	Leaving bool
	// Backoff is how long the runner wants no requests from the host that it refused, 0 if
	// unspecified.
	Backoff time.Duration
	// Malformed describes a header that could not be parsed, empty if there was none.
	Malformed string
}

// rateLimit is the known state of a runner's rate limit. The zero value is that of a runner that
// never announced one.
type rateLimit struct {
	limited bool
	rate    float64
	// reportedAt is when this host or a peer received the response that set the state.
	reportedAt time.Time
	// blockedUntil is when the counting host (see package quota) may grant this host a request
	// again.
	blockedUntil time.Time
}

// SignalChange describes how a response changed the known state of its runner.
type SignalChange struct {
	LimitChange
	// BackoffStarted reports that the runner requests a backoff and had none in effect.
	BackoffStarted bool
	// MalformedStarted reports a malformed signal that differs from that of the previous
	// response.
	MalformedStarted bool
}

// LimitChange describes a change of a runner's rate limit.
type LimitChange struct {
	Changed bool
	// Before and After are in requests per second, 0 without a limit.
	Before, After float64
}

// RecordSignal applies the signal of a response to a request that was sent at the given time.
func (b *Board) RecordSignal(runner string, signal Signal, sent, now time.Time) SignalChange {
	var change SignalChange
	b.withEntry(runner, func(e *entry) {
		if signal.Malformed == "" {
			change.LimitChange = e.limit.applySignal(signal, sent, now)
		}
		change.BackoffStarted = e.startBackoff(signal.Backoff, now)
		change.MalformedStarted = signal.Malformed != "" && signal.Malformed != e.malformed
		e.malformed = signal.Malformed
	})
	return change
}

// startBackoff extends the backoff to at least duration from now, and reports whether none was
// in effect before. A longer backoff that was requested earlier stays in effect.
func (e *entry) startBackoff(duration time.Duration, now time.Time) bool {
	until := now.Add(duration)
	if duration <= 0 || !until.After(e.backoffUntil) {
		return false
	}
	began := !now.Before(e.backoffUntil)
	e.backoffUntil = until
	return began
}

// applySignal updates the limit from a response. A response without a limit lifts it only if its
// request was sent after the last report: responses are reordered, and a stale one would lift a
// limit that is still in force.
func (l *rateLimit) applySignal(signal Signal, sent, now time.Time) LimitChange {
	before := *l
	switch {
	case signal.Limited:
		l.limited, l.rate, l.reportedAt = true, signal.Rate, now
	case l.limited && sent.After(l.reportedAt):
		*l = rateLimit{reportedAt: now}
	}
	return l.changeFrom(before)
}

func (l *rateLimit) changeFrom(before rateLimit) LimitChange {
	if before.limited == l.limited && before.rate == l.rate {
		return LimitChange{}
	}
	return LimitChange{Changed: true, Before: before.rate, After: l.rate}
}

// LimitReport is the state of a runner's rate limit as hosts exchange it.
type LimitReport struct {
	Runner string `json:"runner"`
	// Limited is false if the runner has lifted its limit.
	Limited bool    `json:"limited,omitempty"`
	Rate    float64 `json:"rate,omitempty"`
	// AgeMS is the time since the runner reported the state.
	AgeMS int64 `json:"age_ms"`
}

const (
	// liftedLimitTTL is how long peers are told that a limit was lifted; it exceeds the time
	// that a report takes to reach all hosts.
	liftedLimitTTL = 10 * time.Second
	// maxLimitReports bounds the reports in one heartbeat, to 2 KB. Hosts forward what they
	// receive, so the latest report on each runner reaches all.
	maxLimitReports = 32
	// minAgeGain is how much newer a peer's report must be to replace the known state. Transit
	// time makes a report look newer by that much, and two hosts could otherwise keep refreshing
	// a stale one between them.
	minAgeGain = 50 * time.Millisecond
)

// LimitReports returns the reports to send to a peer, newest first.
func (b *Board) LimitReports(now time.Time) []LimitReport {
	var reports []LimitReport
	for i := range b.shards {
		reports = b.shards[i].appendLimitReports(reports, now)
	}
	slices.SortFunc(reports, func(x, y LimitReport) int {
		return cmp.Or(cmp.Compare(x.AgeMS, y.AgeMS), cmp.Compare(x.Runner, y.Runner))
	})
	return reports[:min(len(reports), maxLimitReports)]
}

func (s *shard) appendLimitReports(reports []LimitReport, now time.Time) []LimitReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	for runner, e := range s.entries {
		if e.limit.limited || now.Sub(e.limit.reportedAt) < liftedLimitTTL {
			reports = append(reports, e.limit.report(runner, now))
		}
	}
	return reports
}

func (l *rateLimit) report(runner string, now time.Time) LimitReport {
	return LimitReport{Runner: runner, Limited: l.limited, Rate: l.rate, AgeMS: now.Sub(l.reportedAt).Milliseconds()}
}

// LimitedCount returns the number of runners with a rate limit.
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

// LimitReportFor returns the report on one runner.
func (b *Board) LimitReportFor(runner string, now time.Time) LimitReport {
	var report LimitReport
	b.withEntry(runner, func(e *entry) { report = e.limit.report(runner, now) })
	return report
}

// MergePeerLimit applies a peer's report if it is newer than the known state.
func (b *Board) MergePeerLimit(report LimitReport, now time.Time) LimitChange {
	var change LimitChange
	b.withEntry(report.Runner, func(e *entry) { change = e.limit.mergeReport(report, now) })
	return change
}

func (l *rateLimit) mergeReport(report LimitReport, now time.Time) LimitChange {
	reportedAt := now.Add(-time.Duration(report.AgeMS) * time.Millisecond)
	if !reportedAt.After(l.reportedAt.Add(minAgeGain)) {
		return LimitChange{}
	}
	before := *l
	l.limited, l.rate, l.reportedAt = report.Limited, report.Rate, reportedAt
	if !l.limited {
		l.blockedUntil = time.Time{}
	}
	return l.changeFrom(before)
}

// BlockUntil records that this host is granted nothing of the runner's limit until the given
// time.
func (b *Board) BlockUntil(runner string, until time.Time) {
	b.withEntry(runner, func(e *entry) { e.limit.blockedUntil = until })
}

// blockedFor returns how long no request may be sent to the runner.
func (e *entry) blockedFor(now time.Time) time.Duration {
	remaining := e.backoffUntil.Sub(now)
	if e.limit.limited {
		remaining = max(remaining, e.limit.blockedUntil.Sub(now))
	}
	return max(0, remaining)
}
