package entry

import (
	"context"
	"sync"
	"time"

	"github.com/cherrystage/cherrystage/internal/adapters"
	"github.com/cherrystage/cherrystage/internal/board"
	"github.com/cherrystage/cherrystage/internal/mesh"
	"github.com/cherrystage/cherrystage/internal/peer"
	"github.com/cherrystage/cherrystage/internal/site"
	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
)

const (
	// ownerTimeout bounds an owner's answer, which takes a few milliseconds.
	ownerTimeout = 250 * time.Millisecond
	// ownerRest is how long a host that did not answer is not asked: its lease
	// takes seconds to end, and each request would wait for the timeout.
	ownerRest = time.Second
	// knownLife is how long an adapter is thought to stay on a runner whose owner
	// cannot be asked.
	knownLife = 20 * time.Second
)

// owners is how this host speaks to the owners of runners, itself included.
type owners struct {
	host  string
	owner *adapters.Owner
	mesh  *mesh.State
	pool  *peer.Pool
	board *board.Board
	now   func() time.Time
	log   hclog.Logger

	resting resting

	mu sync.Mutex
	// known are adapters that lay on a runner when its owner last said so.
	known map[string]map[site.Adapter]known
	// outcomes of requests since they were last told, by runner.
	outcomes map[string]Told
	told     map[string]tolled
}

type known struct {
	version int64
	at      time.Time
}

func newOwners(host string, state *mesh.State, pool *peer.Pool, b *board.Board, now func() time.Time, log hclog.Logger) *owners {
	return &owners{
		host: host, mesh: state, pool: pool, board: b, now: now, log: log,
		known:    map[string]map[site.Adapter]known{},
		outcomes: map[string]Told{}, told: map[string]tolled{},
	}
}

// errUnreachable: the runner has no owner that answers.
var errUnreachable = errors.New("the runner's owner cannot be asked")

// Admit implements serve.Owners.
func (o *owners) Admit(ctx context.Context, runner *site.Runner, ask adapters.AdmissionRequest) (adapters.AdmissionResult, error) {
	admitted, err := o.admit(ctx, runner, ask)
	if errors.Is(err, errUnreachable) && o.lies(runner.ID, ask.Key) {
		return adapters.AdmissionResult{At: o.now()}, nil
	}
	if err == nil && !admitted.AskAgain && ask.Key.Name != "" {
		o.note(runner.ID, ask.Key)
	}
	return admitted, err
}

func (o *owners) admit(ctx context.Context, runner *site.Runner, ask adapters.AdmissionRequest) (adapters.AdmissionResult, error) {
	host, address, err := o.find(runner)
	if err != nil {
		return adapters.AdmissionResult{}, err
	}
	if host == o.host {
		return o.admitHere(runner.ID, ask)
	}
	// A caller that leaves must not end the call: the connection, which other
	// requests use, would be given up as one that does not answer.
	asking, cancel := context.WithTimeout(context.WithoutCancel(ctx), ownerTimeout)
	defer cancel()
	var result AdmitResult
	err = o.pool.Call(asking, address, methodAdmit, AdmitParams{
		Runner: runner.ID, Model: ask.Key.Model, Adapter: ask.Key.Name, Version: ask.Key.Version, Tokens: ask.PromptTokens, Output: ask.MaxOutputTokens, Likely: ask.ExpectedOutputTokens,
		PatienceMS: ask.PromptWait.Milliseconds(), WithinMS: ask.MaxWait.Milliseconds(), TargetMS: ask.LatencyBudget.Milliseconds(),
		Running: o.board.OwnRequestsOn(runner.ID), Last: ask.LastResort, Home: ask.Home, Anew: ask.Retry, Waited: ask.Waited, Barred: ask.Barred,
	}, &result)
	if err != nil {
		return adapters.AdmissionResult{}, o.failed(host, err)
	}
	if result.Refusal != "" {
		return adapters.AdmissionResult{}, result.refusal()
	}
	return adapters.AdmissionResult{At: o.now().Add(time.Duration(result.ReadyMS) * time.Millisecond), AskAgain: result.Again}, nil
}

// find gives a runner's owner and its address, unless it is known not to
// answer.
func (o *owners) find(runner *site.Runner) (host, address string, err error) {
	host, ok := o.mesh.OwnerOf(runner.Address)
	if !ok {
		return "", "", errUnreachable
	}
	if host == o.host {
		return host, "", nil
	}
	address, ok = o.mesh.AddressOf(host)
	if !ok || o.resting.rests(host, o.now()) {
		return "", "", errUnreachable
	}
	return host, address, nil
}

// OwnerOf implements serve.Owners.
func (o *owners) OwnerOf(runner *site.Runner) string {
	host, _ := o.mesh.OwnerOf(runner.Address)
	return host
}

// failed notes that a host does not answer.
func (o *owners) failed(host string, err error) error {
	now := o.now()
	if !o.resting.rests(host, now) {
		o.log.Warn("owner does not answer", "owner", host, "rest_ms", ownerRest.Milliseconds(), "error", err.Error())
	}
	o.resting.rest(host, now.Add(ownerRest))
	return errUnreachable
}

func (o *owners) admitHere(runner string, ask adapters.AdmissionRequest) (adapters.AdmissionResult, error) {
	keeper, ok := o.owner.CurrentController(runner)
	if !ok {
		return adapters.AdmissionResult{}, adapters.ErrNotOwner
	}
	return keeper.Admit(ask)
}

func (o *owners) note(runner string, key adapters.Key) {
	o.mu.Lock()
	defer o.mu.Unlock()
	lies := o.known[runner]
	if lies == nil {
		lies = map[site.Adapter]known{}
		o.known[runner] = lies
	}
	lies[key.Adapter] = known{version: key.Version, at: o.now()}
}

// lies says whether a request may be sent to a runner without its owner.
func (o *owners) lies(runner string, key adapters.Key) bool {
	if key.Name == "" {
		return true
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	k, ok := o.known[runner][key.Adapter]
	return ok && k.version >= key.Version && o.now().Sub(k.at) < knownLife
}

// ReportMissing implements serve.Owners.
func (o *owners) ReportMissing(runner *site.Runner, key adapters.Key) {
	o.mu.Lock()
	delete(o.known[runner.ID], key.Adapter)
	o.mu.Unlock()
	host, address, err := o.find(runner)
	if err != nil {
		return
	}
	if host == o.host {
		o.missingHere(runner.ID, key.Adapter)
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), ownerTimeout)
		defer cancel()
		params := AdmitParams{Runner: runner.ID, Model: key.Model, Adapter: key.Name}
		if err := o.pool.Call(ctx, address, methodMissing, params, nil); err != nil {
			o.log.Debug("owner not told of a missing adapter", "runner", runner.ID, "adapter", key.String(), "error", err.Error())
		}
	}()
}

func (o *owners) missingHere(runner string, adapter site.Adapter) {
	if keeper, ok := o.owner.CurrentController(runner); ok {
		keeper.AdapterMissing(adapter)
	}
}

// ReportPlaced implements serve.Owners.
func (o *owners) ReportPlaced(home *site.Runner, key adapters.Key, runner *site.Runner) {
	go func() { _ = o.tellHome(context.Background(), home, key, runner) }()
}

// tellHome tells an adapter's home that the adapter lies on another runner. An error
// says that the home does not know it.
func (o *owners) tellHome(ctx context.Context, home *site.Runner, key adapters.Key, runner *site.Runner) error {
	params := PlacedParams{Home: home.ID, Model: key.Model, Adapter: key.Name, Version: key.Version, Runner: runner.ID}
	host, address, err := o.find(home)
	switch {
	case err != nil:
	case host == o.host:
		err = o.placedHere(params)
	default:
		ctx, cancel := context.WithTimeout(ctx, ownerTimeout)
		defer cancel()
		err = o.pool.Call(ctx, address, methodPlaced, params, nil)
	}
	if err != nil {
		o.log.Debug("home not told of a placed adapter", "home", home.ID, "runner", runner.ID, "adapter", key.String(), "error", err.Error())
	}
	return err
}

func (o *owners) placedHere(params PlacedParams) error {
	keeper, ok := o.owner.Controller(params.Home)
	if !ok {
		return adapters.ErrNotOwner
	}
	keeper.AddReplica(params.key(), params.Runner)
	return nil
}

// Release implements serve.Owners.
func (o *owners) Release(runner *site.Runner, adapter site.Adapter) {
	if keeper, ok := o.owner.Controller(runner.ID); ok {
		keeper.RequestsEnded(map[site.Adapter]int{adapter: 1})
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	told := o.outcomes[runner.ID]
	if told.Ended == nil {
		told.Ended = map[string]int{}
	}
	told.Ended[adapter.String()]++
	o.outcomes[runner.ID] = told
}

// prefetch has a runner load an adapter that nobody has asked for yet.
func (o *owners) prefetch(ctx context.Context, runner *site.Runner, key adapters.Key) {
	host, address, err := o.find(runner)
	if err != nil {
		return
	}
	if host == o.host {
		o.prefetchHere(runner.ID, key)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	params := AdmitParams{Runner: runner.ID, Model: key.Model, Adapter: key.Name, Version: key.Version}
	if err := o.pool.Call(ctx, address, methodAhead, params, nil); err != nil {
		o.log.Debug("owner not asked to load ahead", "runner", runner.ID, "adapter", key.String(), "error", err.Error())
	}
}

func (o *owners) prefetchHere(runner string, key adapters.Key) {
	if keeper, ok := o.owner.Controller(runner); ok {
		keeper.Prefetch(key)
	}
}

// forget drops a runner that is gone.
func (o *owners) forget(runner string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.known, runner)
	delete(o.outcomes, runner)
	delete(o.told, runner)
}
