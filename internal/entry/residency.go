package entry

import (
	"context"
	"sync"
	"time"

	"github.com/cherrystage/cherrystage/internal/adapters"
	"github.com/cherrystage/cherrystage/internal/mesh"
	"github.com/cherrystage/cherrystage/internal/peer"
	"github.com/cherrystage/cherrystage/internal/site"
	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
)

// Methods that a runner's owner serves.
const (
	methodWant    = "adapters.want"
	methodMissing = "adapters.missing"
)

const (
	// wantTimeout bounds a peer's answer to a wish for an adapter, which comes
	// once the load is ordered: on a cold start after two or three seconds.
	wantTimeout = 3 * time.Second
	// missingTimeout bounds the word that an adapter is missing.
	missingTimeout = 300 * time.Millisecond
)

// WantParams asks a runner's owner for the place of a request.
type WantParams struct {
	Runner  string `json:"runner"`
	Model   string `json:"model"`
	Adapter string `json:"adapter"`
	Version int64  `json:"version,omitempty"`
	// Tokens is the length of the prompt, PatienceMS the longest wait for other
	// prompts.
	Tokens     int   `json:"tokens,omitempty"`
	PatienceMS int64 `json:"patience_ms,omitempty"`
	// WithinMS is the time after which sending the request is of no use.
	WithinMS int64 `json:"within_ms,omitempty"`
}

// WantResult tells in how many milliseconds the request may be sent.
type WantResult struct {
	ReadyMS int64 `json:"ready_ms"`
	// Again: the adapter is on its way; ask again once it is there.
	Again bool `json:"again,omitempty"`
}

func (p WantParams) admission() adapters.Admission {
	return adapters.Admission{
		Key:      p.key(),
		Tokens:   p.Tokens,
		Patience: time.Duration(p.PatienceMS) * time.Millisecond,
		Within:   time.Duration(p.WithinMS) * time.Millisecond,
	}
}

func (p WantParams) key() adapters.Key {
	return adapters.Key{Adapter: site.Adapter{Model: p.Model, Name: p.Adapter}, Version: p.Version}
}

func wantParams(runner string, key adapters.Key) WantParams {
	return WantParams{Runner: runner, Model: key.Model, Adapter: key.Name, Version: key.Version}
}

// residency is what this host knows of the adapters on runners: from its own
// keepers, from the owners' heartbeats and from their answers.
type residency struct {
	host  string
	owner *adapters.Owner
	mesh  *mesh.State
	pool  *peer.Pool
	now   func() time.Time
	log   hclog.Logger

	mu     sync.RWMutex
	places map[string]map[site.Adapter]known
	used   map[string]*usedOn
}

// usedOn are the adapters that requests of this host used on a peer's runner.
type usedOn struct {
	address  string
	adapters map[site.Adapter]bool
}

// known is an adapter on a runner.
type known struct {
	version int64
	readyAt time.Time
	// told is when it became known, for what heartbeats that were already on
	// their way do not know yet.
	told time.Time
}

// settleTime is how long what an owner answered outweighs its heartbeats.
const settleTime = 600 * time.Millisecond

func newResidency(host string, state *mesh.State, pool *peer.Pool, now func() time.Time, log hclog.Logger) *residency {
	return &residency{
		host: host, mesh: state, pool: pool, now: now, log: log,
		places: map[string]map[site.Adapter]known{}, used: map[string]*usedOn{},
	}
}

// ReadyAt implements serve.Residency.
func (r *residency) ReadyAt(runner string, key adapters.Key) (time.Time, bool) {
	if keeper, ok := r.owner.Keeper(runner); ok {
		return keeper.ReadyAt(key)
	}
	r.mu.RLock()
	defer r.mu.RUnlock()
	k, ok := r.places[runner][key.Adapter]
	if !ok || (key.Version != 0 && k.version < key.Version) {
		return time.Time{}, false
	}
	return k.readyAt, true
}

// Admit implements serve.Residency.
func (r *residency) Admit(ctx context.Context, runner *site.Runner, ask adapters.Admission) (adapters.Admitted, error) {
	admitted, err := r.ask(ctx, runner, ask)
	if err != nil {
		return adapters.Admitted{}, err
	}
	if admitted.Again {
		r.note(runner.ID, ask.Key, admitted.At)
	}
	return admitted, nil
}

func (r *residency) ask(ctx context.Context, runner *site.Runner, ask adapters.Admission) (adapters.Admitted, error) {
	host, live := r.mesh.Reachable(runner.Address, r.now())
	if !live {
		return adapters.Admitted{}, errors.Errorf("the owner of %s is not live", runner.Address)
	}
	if host == r.host {
		return r.admitHere(ctx, runner.ID, ask)
	}
	address, ok := r.mesh.AddressOf(host)
	if !ok {
		return adapters.Admitted{}, errors.Errorf("the address of %s is not known", host)
	}
	ctx, cancel := context.WithTimeout(ctx, wantTimeout)
	defer cancel()
	var result WantResult
	params := wantParams(runner.ID, ask.Key)
	params.Tokens = ask.Tokens
	params.PatienceMS = ask.Patience.Milliseconds()
	params.WithinMS = ask.Within.Milliseconds()
	if err := r.pool.CallLong(ctx, address, methodWant, params, &result); err != nil {
		return adapters.Admitted{}, err
	}
	at := r.now().Add(time.Duration(result.ReadyMS) * time.Millisecond)
	return adapters.Admitted{At: at, Again: result.Again}, nil
}

func (r *residency) admitHere(ctx context.Context, runner string, ask adapters.Admission) (adapters.Admitted, error) {
	keeper, ok := r.owner.Keeper(runner)
	if !ok {
		return adapters.Admitted{}, adapters.ErrNotOwner
	}
	return keeper.Admit(ctx, ask)
}

func (r *residency) note(runner string, key adapters.Key, readyAt time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	places := r.places[runner]
	if places == nil {
		places = map[site.Adapter]known{}
		r.places[runner] = places
	}
	places[key.Adapter] = known{version: key.Version, readyAt: readyAt, told: r.now()}
}

// Missing implements serve.Residency.
func (r *residency) Missing(runner *site.Runner, key adapters.Key) {
	r.mu.Lock()
	delete(r.places[runner.ID], key.Adapter)
	r.mu.Unlock()
	host, live := r.mesh.Reachable(runner.Address, r.now())
	if !live {
		return
	}
	if host == r.host {
		r.missingHere(runner.ID, key.Adapter)
		return
	}
	address, ok := r.mesh.AddressOf(host)
	if !ok {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), missingTimeout)
		defer cancel()
		if err := r.pool.CallLong(ctx, address, methodMissing, wantParams(runner.ID, key), nil); err != nil {
			r.log.Debug("owner not told of a missing adapter", "runner", runner.ID, "adapter", key.String(), "error", err.Error())
		}
	}()
}

func (r *residency) missingHere(runner string, adapter site.Adapter) {
	if keeper, ok := r.owner.Keeper(runner); ok {
		keeper.Missing(adapter)
	}
}

// Used implements serve.Residency.
func (r *residency) Used(runner *site.Runner, adapter site.Adapter) {
	if keeper, ok := r.owner.Keeper(runner.ID); ok {
		keeper.Touch([]site.Adapter{adapter})
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	used := r.used[runner.ID]
	if used == nil {
		used = &usedOn{address: runner.Address, adapters: map[site.Adapter]bool{}}
		r.used[runner.ID] = used
	}
	used.adapters[adapter] = true
}

// Loadable implements serve.Residency.
func (r *residency) Loadable(runner *site.Runner) bool {
	_, live := r.mesh.Reachable(runner.Address, r.now())
	return live
}

// takeUsed gives and forgets the uses on the runners of an owner, in the form
// of heartbeats.
func (r *residency) takeUsed(host string) map[string][]string {
	r.mu.Lock()
	defer r.mu.Unlock()
	names := map[string][]string{}
	for runner, used := range r.used {
		owner, ok := r.mesh.OwnerOf(used.address)
		if ok && owner != host {
			continue
		}
		delete(r.used, runner)
		if !ok {
			continue
		}
		for adapter := range used.adapters {
			names[runner] = append(names[runner], adapter.String())
		}
	}
	return names
}

// replace takes over what an owner tells of a runner.
func (r *residency) replace(runner string, places map[adapters.Key]time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	next := make(map[site.Adapter]known, len(places))
	for key, readyAt := range places {
		next[key.Adapter] = known{version: key.Version, readyAt: readyAt}
	}
	for adapter, k := range r.places[runner] {
		if _, ok := next[adapter]; !ok && now.Sub(k.told) < settleTime {
			next[adapter] = k
		}
	}
	r.places[runner] = next
}

// forget drops a runner that is gone.
func (r *residency) forget(runner string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.places, runner)
	delete(r.used, runner)
}

// register adds the methods that peers call.
func (r *residency) register(mux *peer.Mux) {
	peer.Handle(mux, methodWant, func(ctx context.Context, _ peer.Identity, p WantParams) (WantResult, error) {
		ctx, cancel := context.WithTimeout(ctx, wantTimeout)
		defer cancel()
		admitted, err := r.admitHere(ctx, p.Runner, p.admission())
		if err != nil {
			return WantResult{}, peer.Refuse(err)
		}
		return WantResult{ReadyMS: max(0, admitted.At.Sub(r.now()).Milliseconds()), Again: admitted.Again}, nil
	})
	peer.Handle(mux, methodMissing, func(_ context.Context, _ peer.Identity, p WantParams) (struct{}, error) {
		r.missingHere(p.Runner, p.key().Adapter)
		return struct{}{}, nil
	})
}
