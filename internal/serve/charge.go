package serve

import (
	"context"
	"net/http"
	"time"

	"github.com/cherrystage/cherrystage/internal/site"
	"github.com/cherrystage/cherrystage/internal/verdict"
)

// Quotas keeps workspaces to their quotas over all hosts.
type Quotas interface {
	// Charge charges a request to its workspace. Target is the request's target latency,
	// of which the answer takes a part at most.
	Charge(ctx context.Context, workspace *site.Workspace, cost float64, target time.Duration) Charge
	// Refund takes a charge back whose request has not run.
	Refund(charge Charge)
}

// ChargeOutcome is what came of a charge.
type ChargeOutcome uint8

// Outcomes of a charge. The zero value is that of a request that counts for nobody.
const (
	ChargeUnmetered ChargeOutcome = iota
	ChargeGranted
	// ChargeRefused: the workspace has used its quota up.
	ChargeRefused
	// ChargeUnknown: no host that counts for the workspace answered.
	ChargeUnknown
)

// Charge is what a request was charged.
type Charge struct {
	Outcome   ChargeOutcome
	Workspace string
	// Cost is in the units of the workspace's quota.
	Cost float64
	Part int
	// Wait is when to come back after a refusal.
	Wait time.Duration
	// CountedBy is who said so, Level the units that were left there and Age how old the
	// number may be.
	CountedBy string
	Level     float64
	Age       time.Duration
	// Window is that in which the quota is judged.
	Window time.Duration
}

// chargeWorkspace charges the request to its workspace before anything else is spent on it, and
// answers it where that fails. Further attempts are not charged again.
func (l *life) chargeWorkspace(ctx context.Context) bool {
	workspace := l.request.Caller.Workspace
	if workspace == nil {
		return true
	}
	if workspace.Quota.InTokens && l.request.TokenCounts.Err != nil {
		l.plain(http.StatusBadRequest, l.request.TokenCounts.Err.Error())
		return false
	}
	cost := workspace.Quota.Cost(l.request.TokenCounts.Tokens, l.request.TokenCounts.Present)
	l.charge = l.s.Quotas.Charge(ctx, workspace, cost, l.route.TargetLatency)
	switch l.charge.Outcome {
	case ChargeRefused:
		l.s.Counters.OverQuota.Add(1)
		l.refuseWith(http.StatusTooManyRequests, l.charge.Wait, "the workspace has used its quota up")
		return false
	case ChargeUnknown:
		l.refuse(l.charge.Wait, "no host that counts for the workspace's quota answered")
		return false
	default:
		return true
	}
}

// giveChargeBack takes the charge back of a request that has not run.
func (l *life) giveChargeBack() {
	if l.charge.Outcome == ChargeGranted && !l.ran() {
		l.s.Quotas.Refund(l.charge)
	}
}

// ran says whether a runner may have begun the request.
func (l *life) ran() bool {
	if l.sends == 0 {
		return false
	}
	return l.mayRun > 0 || l.failure == nil || l.failure.Verdict != verdict.NotRun
}

// chargeFields tell of the charge in the request's line.
func (l *life) chargeFields() []any {
	workspace := l.request.Caller.Workspace
	if workspace == nil {
		return nil
	}
	fields := []any{"workspace", workspace.Name, "priority", workspace.RankOf(l.route)}
	if l.charge.Outcome == ChargeUnmetered {
		return fields
	}
	return append(fields, "cost", l.charge.Cost, "quota_rate", workspace.Quota.Rate, "quota_burst", workspace.Quota.Burst, "in_tokens", workspace.Quota.InTokens, "quota_window_ms", l.charge.Window.Milliseconds(),
		"quota_part", l.charge.Part, "counted_by", l.charge.CountedBy, "quota_level", l.charge.Level, "quota_age_ms", l.charge.Age.Milliseconds())
}
