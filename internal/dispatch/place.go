package dispatch

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cherrystage/cherrystage/internal/fleet"
	"github.com/cherrystage/cherrystage/internal/inventory"
	"github.com/cherrystage/cherrystage/internal/peer"
	"github.com/cherrystage/cherrystage/internal/routing"
)

const (
	methodPlace  = "route.place"
	placeTimeout = 500 * time.Millisecond
	// placementTTL is how long a home gives the same answer for a model: until
	// then the load shows in the owners' heartbeats.
	placementTTL  = 3 * time.Second
	maxPlacements = 4096
)

// HomeHost returns the home of a model: the member that tracks its demand and
// chooses where it is loaded. All versions of an adapter have the same home. It
// is a hint, not a lease: two homes for a moment cost one extra load, and no
// guarantee depends on it.
func HomeHost(model string, candidates []string) string {
	adapter, _ := inventory.SplitModel(model)
	return fleet.First("home/"+adapter, candidates)
}

// Placer chooses the runners on which models are loaded. A model's home chooses
// for all hosts.
type Placer struct {
	self            string
	table           *routing.Table
	members         *fleet.Members
	peers           Peers
	weights         routing.Weights
	defaultLoadTime time.Duration

	mu     sync.Mutex
	recent map[string]placement
}

type placement struct {
	runner string
	at     time.Time
}

// NewPlacer returns a placer. defaultLoadTime is the assumed duration of a load
// if the load coordinator does not report one.
func NewPlacer(self string, table *routing.Table, members *fleet.Members, peers Peers, weights routing.Weights, defaultLoadTime time.Duration) *Placer {
	return &Placer{self: self, table: table, members: members, peers: peers, weights: weights, defaultLoadTime: defaultLoadTime, recent: map[string]placement{}}
}

type placeParams struct {
	Model  string          `json:"model"`
	Base   string          `json:"base"`
	Avoid  map[string]bool `json:"avoid,omitempty"`
	LoadMS int64           `json:"load_ms"`
}

type placeResult struct {
	Runner string `json:"runner"`
}

// Register adds the method that peers call.
func (p *Placer) Register(mux *peer.Mux) {
	peer.Handle(mux, methodPlace, func(_ context.Context, _ peer.Identity, params placeParams) (placeResult, error) {
		times := routing.Times{Load: time.Duration(params.LoadMS) * time.Millisecond}
		return placeResult{Runner: p.placeLocal(params, times, time.Now())}, nil
	})
}

// Place chooses the runner on which to load a model.
func (p *Placer) Place(ctx context.Context, model, base string, avoid map[string]bool, expected routing.Times) (routing.Runner, bool) {
	params := placeParams{Model: model, Base: base, Avoid: avoid, LoadMS: expected.Load.Milliseconds()}
	home := HomeHost(model, p.members.Candidates("", time.Now()))
	runner := ""
	if home != "" && home != p.self {
		runner = p.placeRemote(ctx, home, params)
	}
	if runner == "" {
		runner = p.placeLocal(params, expected, time.Now())
	}
	return p.table.Get(runner)
}

func (p *Placer) placeRemote(ctx context.Context, home string, params placeParams) string {
	member, ok := p.members.Get(home)
	if !ok {
		return ""
	}
	ctx, cancel := context.WithTimeout(ctx, placeTimeout)
	defer cancel()
	var result placeResult
	if err := p.peers.Call(ctx, member.Address, methodPlace, params, &result); err != nil {
		return ""
	}
	return result.Runner
}

func (p *Placer) placeLocal(params placeParams, times routing.Times, now time.Time) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	last, ok := p.recent[params.Model]
	if ok && now.Sub(last.at) < placementTTL && !params.Avoid[last.runner] {
		return last.runner
	}
	avoid := func(id string) bool { return params.Avoid[id] }
	runners := slices.DeleteFunc(p.addRecentPlacements(p.table.All(params.Base), now), func(r routing.Runner) bool {
		return !p.members.Alive(r.Owner, now)
	})
	runner, ok := routing.Place(params.Model, runners, p.weights, times, avoid)
	if !ok {
		return ""
	}
	p.remember(params.Model, runner.ID, now)
	return runner.ID
}

// addRecentPlacements adds recent placements that the owners' reports do not
// show yet, so that a burst of cold models is spread.
func (p *Placer) addRecentPlacements(runners []routing.Runner, now time.Time) []routing.Runner {
	placed := map[string]int{}
	for _, recent := range p.recent {
		if now.Sub(recent.at) < placementTTL/6 {
			placed[recent.runner]++
		}
	}
	for i := range runners {
		extra := max(0, placed[runners[i].ID]-runners[i].Loading)
		runners[i].Loading += extra
		runners[i].Free -= extra
	}
	return runners
}

func (p *Placer) remember(model, runner string, now time.Time) {
	if len(p.recent) >= maxPlacements {
		clear(p.recent)
	}
	for old, recent := range p.recent {
		if now.Sub(recent.at) >= placementTTL {
			delete(p.recent, old)
		}
	}
	p.recent[model] = placement{runner: runner, at: now}
}

// PlacePrefetch chooses the runner for a load that nobody waits for.
func (d *Dispatcher) PlacePrefetch(ctx context.Context, model, base string) (routing.Runner, bool) {
	return d.deps.Placer.Place(ctx, model, base, nil, d.expectedTimes(time.Now()))
}

// ExpectedLoadTime returns the time until a load requested now would be done,
// as last reported by the load coordinator.
func (p *Placer) ExpectedLoadTime(now time.Time) time.Duration {
	host := fleet.First("loading/order", p.members.Candidates("", now))
	if member, ok := p.members.Get(host); ok && member.LoadWaitMS > 0 {
		return time.Duration(member.LoadWaitMS) * time.Millisecond
	}
	return p.defaultLoadTime
}
