package serve

import (
	"context"
	"net/http"
	"time"

	"github.com/cherrystage/cherrystage/internal/site"
	"github.com/cherrystage/cherrystage/internal/verdict"
)

// Quotas enforces the quotas of workspaces across all hosts.
type Quotas interface {
	// Charge charges a request to its workspace. Target is the request's target latency;
	// the call takes a fraction of it at most.
	Charge(ctx context.Context, workspace *site.Workspace, cost float64, target time.Duration) Charge
	// Refund returns the charge of a request that has not run.
	Refund(charge Charge)
}

// ChargeOutcome is the result of a charge.
type ChargeOutcome uint8

// Outcomes of a charge. The zero value is that of a request that counts towards no quota.
const (
	ChargeUnmetered ChargeOutcome = iota
	ChargeGranted
	// ChargeRefused means that the workspace has used up its quota.
	ChargeRefused
	// ChargeUnknown means that no host that counts the workspace's quota answered.
	ChargeUnknown
)

// Charge is the record of a request's charge.
type Charge struct {
	Outcome   ChargeOutcome
	Workspace string
	// Cost is in the units of the workspace's quota.
	Cost float64
	// Part is the part of the quota that was charged, At when it was.
	Part int
	At   time.Time
	// Wait is the time after which to retry a refused request.
	Wait time.Duration
	// CountedBy is the host that decided, or the reason why none was asked. Level is the
	// number of units left there and Age the greatest possible age of that number.
	CountedBy string
	Level     float64
	Age       time.Duration
	// Window is the period over which the quota is enforced.
	Window time.Duration
}

// chargeWorkspace charges the request to its workspace before any other work is done for it,
// and answers it if that fails. Retries are not charged again.
func (l *lifecycle) chargeWorkspace(ctx context.Context) bool {
	workspace := l.request.Caller.Workspace
	if workspace == nil {
		return true
	}
	if workspace.Quota.InTokens && l.request.TokenCounts.Err != nil {
		l.writePlain(http.StatusBadRequest, l.request.TokenCounts.Err.Error())
		return false
	}
	cost := workspace.Quota.Cost(l.request.TokenCounts.Tokens, l.request.TokenCounts.Present)
	l.charge = l.s.Quotas.Charge(ctx, workspace, cost, l.route.TargetLatency)
	switch l.charge.Outcome {
	case ChargeRefused:
		l.s.Counters.OverQuota.Add(1)
		l.refuseWithStatus(http.StatusTooManyRequests, l.charge.Wait, "the workspace has used its quota up")
		return false
	case ChargeUnknown:
		l.refuse(l.charge.Wait, "no host that counts for the workspace's quota answered")
		return false
	default:
		return true
	}
}

// refundIfNotRun refunds the charge of a request that has not run.
func (l *lifecycle) refundIfNotRun() {
	if l.charge.Outcome == ChargeGranted && !l.mayHaveRun() {
		l.s.Quotas.Refund(l.charge)
	}
}

// mayHaveRun reports whether a runner may have started the request.
func (l *lifecycle) mayHaveRun() bool {
	if l.sends == 0 {
		return false
	}
	return l.mayHaveRunCount > 0 || l.failure == nil || l.failure.Verdict != verdict.NotRun
}

// chargeLogFields returns the fields on the charge for the request's log line.
func (l *lifecycle) chargeLogFields() []any {
	workspace := l.request.Caller.Workspace
	if workspace == nil {
		return nil
	}
	fields := []any{"workspace", workspace.Name, "priority", workspace.PriorityOn(l.route)}
	if l.charge.Outcome == ChargeUnmetered {
		return fields
	}
	return append(fields, "cost", l.charge.Cost, "quota_rate", workspace.Quota.Rate, "quota_burst", workspace.Quota.Burst, "in_tokens", workspace.Quota.InTokens, "quota_window_ms", l.charge.Window.Milliseconds(),
		"quota_part", l.charge.Part, "counted_by", l.charge.CountedBy, "quota_level", l.charge.Level, "quota_age_ms", l.charge.Age.Milliseconds())
}
