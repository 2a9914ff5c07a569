package serve

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cherrystage/cherrystage/internal/answer"
	"github.com/cherrystage/cherrystage/internal/verdict"
)

// Counters counts requests by outcome.
type Counters struct {
	// Hedges counts the second attempts beside silent ones.
	Hedges                                                                   atomic.Int64
	Served, Refused, Failed, Canceled, RetriesDenied, Quarantined, OverQuota atomic.Int64
	// StreamsContinued counts requests that continue a stream, OriginsUnknown those refused because
	// it was not known what began it.
	StreamsContinued, OriginsUnknown atomic.Int64
	// StreamsCut counts the streams that this host ended after their first event without their end,
	// though their callers were there.
	StreamsCut atomic.Int64
	// EndsShown counts the answers that ended with their connection and were shown to be whole,
	// EndsNotShown those that were not.
	EndsShown, EndsNotShown atomic.Int64
	FirstByte               Histogram
}

// refuseOrFail ends a request that is not sent to another runner: as refused if no runner can
// have run it, as failed otherwise.
func (l *lifecycle) refuseOrFail(wait time.Duration, reason string) {
	if l.mayHaveRunCount > 0 {
		l.fail(reason)
		return
	}
	l.refuse(wait, reason)
}

// refuse answers that the request has not run and may be retried after wait.
func (l *lifecycle) refuse(wait time.Duration, reason string) {
	l.refuseWithStatus(http.StatusServiceUnavailable, wait, reason)
}

func (l *lifecycle) refuseWithStatus(status int, wait time.Duration, reason string) {
	if l.hedging {
		l.hedgeRefusal = reason
		return
	}
	if l.headerWritten {
		l.cut(reason)
		return
	}
	l.s.Counters.Refused.Add(1)
	l.w.Header().Set("Retry-After", formatRetryAfter(wait))
	l.writePlain(status, reason)
}

// fail answers that the request may have run, or refuses it if no runner has run it.
func (l *lifecycle) fail(reason string) {
	if l.hedging {
		l.hedgeRefusal = reason
		return
	}
	if l.mayHaveRunCount == 0 && (l.failure == nil || l.failure.Verdict == verdict.NotRun) {
		l.refuse(l.retryAfter(), reason)
		return
	}
	if l.headerWritten {
		l.cut(reason)
		return
	}
	l.s.Counters.Failed.Add(1)
	l.writePlain(http.StatusBadGateway, reason)
}

// cut records why an answer that has begun ends without its end, unless it goes on after all.
func (l *lifecycle) cut(reason string) { l.cutReason = reason }

// countCut counts an answer that ends without its end.
func (l *lifecycle) countCut() {
	l.s.Counters.Failed.Add(1)
	l.s.Counters.StreamsCut.Add(1)
}

// giveUp ends a request whose deadline has passed, whose caller has left or whose host is about to end.
func (l *lifecycle) giveUp(ctx context.Context) {
	if l.hedging {
		l.hedgeRefusal = reasonTimeOut
		return
	}
	stopping := errors.Is(context.Cause(ctx), answer.ErrStopping)
	if l.callerGone || errors.Is(ctx.Err(), context.Canceled) && !stopping {
		if l.status != statusClientClosedRequest {
			l.s.Counters.Canceled.Add(1)
		}
		l.status = statusClientClosedRequest
		return
	}
	if stopping {
		l.fail(answer.ErrStopping.Error())
		return
	}
	notRun := l.mayHaveRunCount == 0 && (l.failure == nil || l.failure.Verdict == verdict.NotRun)
	if notRun {
		l.refuse(l.retryAfter(), "the request's time ran out before a runner could begin it")
		return
	}
	if l.headerWritten {
		l.cut(reasonTimeOut)
		return
	}
	l.s.Counters.Failed.Add(1)
	l.writePlain(http.StatusGatewayTimeout, reasonTimeOut)
}

const (
	reasonTimeOut     = "no answer within the request's time"
	reasonBudgetSpent = "the retry budget is spent"
)

// statusClientClosedRequest is logged for a caller that closed its connection.
const statusClientClosedRequest = 499

func (l *lifecycle) writePlain(status int, reason string) {
	l.reason = reason
	l.noteHeader(status)
	l.complete = l.w.WriteOwn(status, reason) == nil
}

// logRequest logs the outcome of the request and what led to it.
func (l *lifecycle) logRequest(ctx context.Context) {
	now := l.s.Now()
	if l.headerWritten && !l.complete && l.status != statusClientClosedRequest {
		l.countCut()
	}
	if l.failure == nil && l.complete && l.status < http.StatusInternalServerError {
		l.s.Counters.Served.Add(1)
		l.s.Counters.FirstByte.Observe(l.firstByteAt.Sub(l.arrived))
	}
	snapshot := l.s.Directory.Snapshot()
	configAge, runnersAge := l.s.Ages()
	fields := []any{
		"id", l.request.ID, "content", l.subjects[0].String(), "from", l.request.ClientAddr, "route", l.route.Name, "kind", l.route.Kind.String(), "status", l.status, "complete", l.complete,
		"sends", l.sends, "may_have_run", l.mayHaveRunCount, "ms", now.Sub(l.arrived).Milliseconds(),
		"target_ms", l.route.TargetLatency.Milliseconds(), "target_gap_ms", l.route.TargetGap.Milliseconds(),
		"left_ms", l.deadline.Sub(now).Milliseconds(), "config", snapshot.Config.Version,
		"config_age_ms", configAge.Milliseconds(), "runners_age_ms", runnersAge.Milliseconds(),
	}
	fields = append(fields, l.chargeLogFields()...)
	if l.runner != nil {
		view := l.s.Board.View(l.runner.ID, now)
		fields = append(fields, "runner", l.runner.ID, "software_version", l.runner.SoftwareVersion, "runner_load", view.Load, "runner_suspect", view.Suspect, "runner_limited", view.Limited, "runner_limit_per_s", view.Rate, "owner", l.s.Owners.OwnerOf(l.runner))
	}
	if l.via != "" {
		fields = append(fields, "via", l.via)
	}
	fields = append(fields, l.ending.logFields()...)
	if parts := l.partsForLog(); parts != "" {
		fields = append(fields, "parts", parts)
	}
	if l.request.ResumeAfter != "" {
		fields = append(fields, "resume_after", l.request.ResumeAfter, "resumes", l.request.Resumes, "origin_source", string(l.originSource))
	}
	if l.origin != nil {
		fields = append(fields, "began_at_version", l.origin.Version)
	}
	if l.key.Name != "" {
		fields = append(fields, "adapter", l.key.String(), "prompt_tokens", l.request.PromptTokens, "version", l.key.Version, "rank", l.rank, "near", l.near, "load_ordered", l.waitedForLoad, "load_wait_ms", l.waited.Milliseconds())
	}
	fields = append(fields, l.contentionLogFields()...)
	if !l.firstByteAt.IsZero() {
		fields = append(fields, "first_ms", l.firstByteAt.Sub(l.arrived).Milliseconds())
	}
	fields = append(fields, l.slotLogFields()...)
	if len(l.refusals) > 0 {
		fields = append(fields, "not_admitted", strings.Join(l.refusals, "; "), "asked", strings.Join(l.refusedBy, "; "))
	}
	if len(l.skipped) > 0 {
		fields = append(fields, "passed_over", strings.Join(l.skipped, "; "), "come_back_ms", l.soonestRetry.Milliseconds())
	}
	if l.longestGap > 0 {
		fields = append(fields, "gap_ms", l.longestGap.Milliseconds(), "gap_ended_ms_ago", now.Sub(l.longestGapEnd).Milliseconds())
	}
	if l.reason != "" {
		fields = append(fields, "answered", l.reason)
	}
	if l.status == statusClientClosedRequest && ctx.Err() != nil {
		fields = append(fields, "left", context.Cause(ctx).Error())
	}
	if l.cutReason != "" && !l.complete {
		fields = append(fields, "cut", l.cutReason)
		fields = append(fields, l.silenceLogFields()...)
	}
	if l.failure != nil {
		fields = append(fields, "verdict", l.failure.Verdict.String(), "cause", l.failure.Error())
	}
	l.s.Log.Info("request", fields...)
}

// silenceLogFields tell how long the answer has been silent, and for how much of that this host stood
// still itself.
func (l *lifecycle) silenceLogFields() []any {
	now, since := l.s.Now(), l.heardAt()
	return []any{
		"events", l.events, "silent_ms", now.Sub(since).Milliseconds(),
		"stood_still_ms", (now.Sub(since) - l.s.Standstill.Awake(since, now)).Milliseconds(),
	}
}

// heardAt returns when the latest event of the answer was passed on, or else when the latest attempt
// was sent.
func (l *lifecycle) heardAt() time.Time {
	if l.lastWriteAt.After(l.sentAt) {
		return l.lastWriteAt
	}
	return l.sentAt
}
