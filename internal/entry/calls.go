package entry

import (
	"context"
	"time"

	"github.com/cherrystage/cherrystage/internal/adapters"
	"github.com/cherrystage/cherrystage/internal/peer"
	"github.com/cherrystage/cherrystage/internal/site"
	"github.com/pkg/errors"
)

// Peer methods served by the owner of a runner.
const (
	methodAdmit    = "runner.admit"
	methodMissing  = "runner.missing"
	methodPlaced   = "runner.placed"
	methodOutcomes = "runner.tell"
	methodPrefetch = "runner.prefetch"
	methodDemand   = "runner.demand"
)

// AdmitParams asks a runner's owner to admit a request. The fields are those of
// adapters.AdmissionRequest.
type AdmitParams struct {
	Runner  string `json:"runner"`
	Model   string `json:"model"`
	Adapter string `json:"adapter,omitempty"`
	Version int64  `json:"version,omitempty"`
	// PromptTokens is the prompt length, MaxOutputTokens the maximum response length in tokens.
	PromptTokens    int `json:"tokens,omitempty"`
	MaxOutputTokens int `json:"output,omitempty"`
	// ExpectedOutputTokens is the caller's estimate of the response length in tokens.
	ExpectedOutputTokens int `json:"likely,omitempty"`
	// PromptWaitMS is a lower bound for how long the request may wait for other prompts
	// before it goes to another runner, MaxWaitMS the time after which sending the request is of no use.
	PromptWaitMS int64 `json:"patience_ms,omitempty"`
	MaxWaitMS    int64 `json:"within_ms,omitempty"`
	// LatencyBudgetMS is the time within which the first event is due.
	LatencyBudgetMS int64 `json:"target_ms,omitempty"`
	// Running is the number of requests of the calling host on the runner.
	Running int `json:"running,omitempty"`
	// LastResort reports that every other runner refused the request.
	LastResort bool `json:"last,omitempty"`
	// Home, Retry, Waited and Barred are as in adapters.AdmissionRequest.
	Home   bool `json:"home,omitempty"`
	Retry  bool `json:"anew,omitempty"`
	Waited bool `json:"waited,omitempty"`
	Barred bool `json:"barred,omitempty"`
	// Rank is the request's precedence, workspace's priority first; nil if requests are not
	// ordered by priority.
	Rank *[2]int `json:"rank,omitempty"`
	// Ticket is that of the last result, absent if it had none.
	Ticket uint64 `json:"ticket,omitempty"`
	// AheadPerSecond is set in a prefetch ahead of demand: the requests per second that are
	// expected for the adapter on the runner.
	AheadPerSecond float64 `json:"ahead_per_s,omitempty"`
	// Lost is as in adapters.AheadLoad.
	Lost string `json:"lost,omitempty"`
}

func (p AdmitParams) aheadLoad() adapters.AheadLoad {
	return adapters.AheadLoad{Key: p.admission().Key, PerSecond: p.AheadPerSecond, Lost: p.Lost}
}

// rankOf returns the wire form of a request's precedence.
func rankOf(request adapters.AdmissionRequest) *[2]int {
	if !request.Ranked {
		return nil
	}
	return &[2]int{request.Precedence.Workspace, request.Precedence.Route}
}

// AdmitResult is the result of an admission.
type AdmitResult struct {
	// ReadyMS is the time in milliseconds until the request may be sent.
	ReadyMS int64 `json:"ready_ms"`
	// AskAgain reports that the adapter is still loading; the caller asks again after ReadyMS.
	AskAgain bool `json:"again,omitempty"`
	// Ticket identifies a request that was deferred because others go first.
	Ticket uint64 `json:"ticket,omitempty"`
	// Refusal is set if the request is not admitted. Elsewhere lists other
	// runners with the adapter.
	Refusal   adapters.Refusal `json:"refusal,omitempty"`
	Elsewhere []string         `json:"elsewhere,omitempty"`
	// WaitMS is the time after which the runner is expected to have capacity for a
	// refused request, 0 if that is not known.
	WaitMS int64 `json:"wait_ms,omitempty"`
}

// PlacedParams tells the owner of an adapter's home runner on which other runner the
// adapter was placed.
type PlacedParams struct {
	Home    string `json:"home"`
	Model   string `json:"model"`
	Adapter string `json:"adapter"`
	Version int64  `json:"version,omitempty"`
	Runner  string `json:"runner"`
}

func (p PlacedParams) key() adapters.Key {
	return adapters.Key{Adapter: site.Adapter{Model: p.Model, Name: p.Adapter}, Version: p.Version}
}

func (p AdmitParams) admission() adapters.AdmissionRequest {
	var precedence site.Precedence
	if p.Rank != nil {
		precedence = site.Precedence{Workspace: p.Rank[0], Route: p.Rank[1]}
	}
	return adapters.AdmissionRequest{
		Ranked: p.Rank != nil, Precedence: precedence, Ticket: p.Ticket,
		Key:                  adapters.Key{Adapter: site.Adapter{Model: p.Model, Name: p.Adapter}, Version: p.Version},
		PromptTokens:         p.PromptTokens,
		MaxOutputTokens:      p.MaxOutputTokens,
		ExpectedOutputTokens: p.ExpectedOutputTokens,
		PromptWait:           time.Duration(p.PromptWaitMS) * time.Millisecond,
		MaxWait:              time.Duration(p.MaxWaitMS) * time.Millisecond,
		LatencyBudget:        time.Duration(p.LatencyBudgetMS) * time.Millisecond,
		LastResort:           p.LastResort,
		Home:                 p.Home,
		Retry:                p.Retry,
		Waited:               p.Waited,
		Barred:               p.Barred,
	}
}

func (r AdmitResult) refusalError() error {
	var err error = r.Refusal
	if len(r.Elsewhere) > 0 {
		err = &adapters.ReplicatedError{Refusal: r.Refusal, Runners: r.Elsewhere}
	}
	if r.WaitMS <= 0 {
		return err
	}
	return &adapters.WaitError{Err: err, Wait: time.Duration(r.WaitMS) * time.Millisecond}
}

func refusalResult(err error) (AdmitResult, bool) {
	var replicated *adapters.ReplicatedError
	if errors.As(err, &replicated) {
		return AdmitResult{Refusal: replicated.Refusal, Elsewhere: replicated.Runners, WaitMS: adapters.WaitOf(err).Milliseconds()}, true
	}
	var refusal adapters.Refusal
	if errors.As(err, &refusal) {
		return AdmitResult{Refusal: refusal, WaitMS: adapters.WaitOf(err).Milliseconds()}, true
	}
	return AdmitResult{}, false
}

// wholeMS returns a time in milliseconds, rounded up: a request that arrives a fraction of a millisecond
// before its adapter is loaded is refused.
func wholeMS(d time.Duration) int64 {
	return max(0, (d + time.Millisecond - 1).Milliseconds())
}

// register adds the peer methods that owners serve.
func (o *ownerClient) register(mux *peer.Mux) {
	peer.Handle(mux, methodAdmit, func(_ context.Context, from peer.Identity, p AdmitParams) (AdmitResult, error) {
		admitted, err := o.admitLocal(p.Runner, p.admission())
		if result, ok := refusalResult(err); ok {
			return result, nil
		}
		if !admitted.AskAgain {
			o.board.SetPeerRequests(from.Host, p.Runner, p.Running+1, o.now())
		}
		return AdmitResult{ReadyMS: wholeMS(admitted.At.Sub(o.now())), AskAgain: admitted.AskAgain, Ticket: admitted.Ticket}, nil
	})
	peer.Handle(mux, methodMissing, func(_ context.Context, _ peer.Identity, p AdmitParams) (struct{}, error) {
		o.missingLocal(p.Runner, p.admission().Key.Adapter)
		return struct{}{}, nil
	})
	peer.Handle(mux, methodPlaced, func(_ context.Context, _ peer.Identity, p PlacedParams) (struct{}, error) {
		if err := o.placedLocal(p); err != nil {
			return struct{}{}, peer.NewRefusal(err)
		}
		return struct{}{}, nil
	})
	peer.Handle(mux, methodPrefetch, func(_ context.Context, _ peer.Identity, p AdmitParams) (PrefetchResult, error) {
		if p.AheadPerSecond > 0 {
			return o.prefetchAheadLocal(p.Runner, p.aheadLoad()), nil
		}
		o.prefetchLocal(p.Runner, p.admission().Key)
		return PrefetchResult{}, nil
	})
	peer.Handle(mux, methodDemand, func(_ context.Context, _ peer.Identity, p DemandParams) (struct{}, error) {
		if err := o.demandLocal(p); err != nil {
			return struct{}{}, peer.NewRefusal(err)
		}
		return struct{}{}, nil
	})
	peer.Handle(mux, methodOutcomes, func(_ context.Context, from peer.Identity, p OutcomesParams) (struct{}, error) {
		o.applyOutcomes(from.Host, p)
		return struct{}{}, nil
	})
}
