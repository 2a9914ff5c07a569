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
	// placeMemory is how long a home answers alike for one model: by then the
	// load shows in the owners' heartbeats.
	placeMemory = 3 * time.Second
	placeLimit  = 4096
)

// Home gives the member that keeps a model's demand and chooses where it is
// loaded; all versions of an adapter have one home. It is a hint, not a lease: two homes for a moment cost one extra
// load, and nothing that must hold depends on it.
func Home(model string, candidates []string) string {
	adapter, _ := inventory.SplitModel(model)
	return fleet.First("home/"+adapter, candidates)
}

// Placer chooses where models are loaded: at their home for all hosts.
type Placer struct {
	self    string
	table   *routing.Table
	members *fleet.Members
	peers   Peers
	weights routing.Weights
	usual   time.Duration

	mu     sync.Mutex
	recent map[string]placement
}

type placement struct {
	runner string
	at     time.Time
}

// NewPlacer makes a placer; usual is the time of a load where no member that
// orders loads tells a better one.
func NewPlacer(self string, table *routing.Table, members *fleet.Members, peers Peers, weights routing.Weights, usual time.Duration) *Placer {
	return &Placer{self: self, table: table, members: members, peers: peers, weights: weights, usual: usual, recent: map[string]placement{}}
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
		return placeResult{Runner: p.placeHere(params, times, time.Now())}, nil
	})
}

// Place chooses the runner on which a model is to be loaded.
func (p *Placer) Place(ctx context.Context, model, base string, avoid map[string]bool, times routing.Times) (routing.Runner, bool) {
	params := placeParams{Model: model, Base: base, Avoid: avoid, LoadMS: times.Load.Milliseconds()}
	home := Home(model, p.members.Candidates("", time.Now()))
	runner := ""
	if home != "" && home != p.self {
		runner = p.placeThere(ctx, home, params)
	}
	if runner == "" {
		runner = p.placeHere(params, times, time.Now())
	}
	return p.table.Get(runner)
}

func (p *Placer) placeThere(ctx context.Context, home string, params placeParams) string {
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

func (p *Placer) placeHere(params placeParams, times routing.Times, now time.Time) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	last, ok := p.recent[params.Model]
	if ok && now.Sub(last.at) < placeMemory && !params.Avoid[last.runner] {
		return last.runner
	}
	avoid := func(id string) bool { return params.Avoid[id] }
	runners := slices.DeleteFunc(p.withPlacements(p.table.All(params.Base), now), func(r routing.Runner) bool {
		return !p.members.Alive(r.Owner, now)
	})
	runner, ok := routing.Place(params.Model, runners, p.weights, times, avoid)
	if !ok {
		return ""
	}
	p.remember(params.Model, runner.ID, now)
	return runner.ID
}

// withPlacements counts the loads placed lately that do not show in the
// owners' words yet, so that a burst of cold models spreads.
func (p *Placer) withPlacements(runners []routing.Runner, now time.Time) []routing.Runner {
	placed := map[string]int{}
	for _, recent := range p.recent {
		if now.Sub(recent.at) < placeMemory/6 {
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
	if len(p.recent) >= placeLimit {
		clear(p.recent)
	}
	for old, recent := range p.recent {
		if now.Sub(recent.at) >= placeMemory {
			delete(p.recent, old)
		}
	}
	p.recent[model] = placement{runner: runner, at: now}
}

// PlaceAhead chooses the runner for a load that nobody waits for.
func (d *Dispatcher) PlaceAhead(ctx context.Context, model, base string) (routing.Runner, bool) {
	return d.deps.Placer.Place(ctx, model, base, nil, d.times(time.Now()))
}

// LoadWait gives the time until a load asked for now would be done, as the
// member that orders loads last told.
func (p *Placer) LoadWait(now time.Time) time.Duration {
	host := fleet.First("loading/order", p.members.Candidates("", now))
	if member, ok := p.members.Get(host); ok && member.LoadWaitMS > 0 {
		return time.Duration(member.LoadWaitMS) * time.Millisecond
	}
	return p.usual
}
