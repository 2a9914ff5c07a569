package dispatch

import (
	"context"
	"time"

	"github.com/cherrystage/cherrystage/internal/engine"
	"github.com/cherrystage/cherrystage/internal/fleet"
	"github.com/cherrystage/cherrystage/internal/plain"
)

// serviceHost selects a live host of a service that its breaker allows, round robin.
func (d *Dispatcher) serviceHost(service string, avoided map[string]bool) (fleet.Host, bool) {
	now := time.Now()
	var hosts []fleet.Host
	for _, host := range d.deps.Hosts.ByRole(fleet.RoleService) {
		if host.Service == service && host.State == fleet.StateLive && !avoided[host.ID] {
			hosts = append(hosts, host)
		}
	}
	for offset := range hosts {
		host := hosts[(d.ids.roundRobin()+offset)%len(hosts)]
		if d.deps.Breakers.Allow(host.ID, now) {
			return host, true
		}
	}
	return fleet.Host{}, false
}

// Service serves a request to a plain service.
func (d *Dispatcher) Service(ctx context.Context, req Request, call plain.Call) (answer plain.Answer, refusal *Refusal) {
	trace := d.deps.Traces.Begin(req.ID, req.Caller, "service/"+req.Service, time.Now())
	refusal = d.admitAndClaim(ctx, req, trace, func(ctx context.Context) *Refusal {
		var failed *Refusal
		answer, failed = d.runServiceAttempts(ctx, req, call, trace)
		return failed
	})
	trace.End(refusal, time.Now())
	d.deps.Metrics.CountRequest(refusal)
	return answer, refusal
}

func (d *Dispatcher) runServiceAttempts(ctx context.Context, req Request, call plain.Call, trace *Trace) (plain.Answer, *Refusal) {
	d.deps.Budget.AddRequest()
	state := &attemptState{avoidTargets: map[string]bool{}}
	for range maxAttempts {
		host, ok := d.serviceHost(req.Service, state.avoidTargets)
		if !ok {
			break
		}
		trace.Sent(host.ID, time.Now())
		call.Address = host.Address
		answer, failure := d.deps.Services.Do(ctx, call)
		d.deps.Breakers.Record(host.ID, healthy(failure), time.Now())
		if failure == nil {
			trace.Note(host.ID+": whole, shown by: "+string(answer.End), time.Now())
			return answer, nil
		}
		trace.Note(host.ID+": "+failure.Error(), time.Now())
		if failure.Code == engine.CodeUnproven {
			d.deps.Log.Warn("answer of a service not passed on", "id", req.ID, "service", req.Service, "host", host.ID, "cause", failure.Cause.Error())
		}
		state.recordFailure(failure)
		if !failure.MayRetry(req.Idempotent) || !d.deps.Budget.TryRetry() {
			return answer, state.finalRefusal(failureRefusal(failure))
		}
		state.avoidTargets[host.ID] = true
	}
	return plain.Answer{}, state.finalRefusal(notRunRefusal(CodeNoTarget, "no host of the service can take the request", retrySoon))
}
