package entry

import (
	"context"
	"sync"
	"time"

	"github.com/cherrystage/cherrystage/internal/adapters"
	"github.com/cherrystage/cherrystage/internal/board"
	"github.com/cherrystage/cherrystage/internal/directory"
	"github.com/cherrystage/cherrystage/internal/mesh"
	"github.com/cherrystage/cherrystage/internal/peer"
	"github.com/cherrystage/cherrystage/internal/site"
	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
)

const (
	// ownerTimeout bounds a call to an owner, which usually takes a few milliseconds.
	ownerTimeout = 250 * time.Millisecond
	// ownerBackoff is how long a host is not called after it failed to respond. Its
	// lease takes seconds to expire, and each request would wait for the timeout.
	ownerBackoff = time.Second
	// placementTTL is how long an adapter is assumed to stay on a runner whose owner
	// is unreachable.
	placementTTL = 20 * time.Second
)

// ownerClient calls the hosts that own runners, which may be this host itself.
type ownerClient struct {
	host  string
	owner *adapters.Owner
	mesh  *mesh.State
	pool  *peer.Pool
	board *board.Board
	// brittle and directory tell which runners are brittle.
	brittle   *board.Brittleness
	directory *directory.Directory
	now       func() time.Time
	log       hclog.Logger

	backoff   hostBackoff
	ownerless *ownerlessRunners

	mu sync.Mutex
	// placements holds, by runner, the adapters that its owner last confirmed on it.
	placements map[string]map[site.Adapter]placement
	// pending holds the outcomes not yet reported to the owner, by runner.
	pending map[string]RunnerOutcomes
	// reported holds the load last reported, by runner.
	reported map[string]reportedLoad
}

type placement struct {
	version int64
	at      time.Time
}

func newOwnerClient(host string, state *mesh.State, pool *peer.Pool, b *board.Board, now func() time.Time, log hclog.Logger) *ownerClient {
	return &ownerClient{
		ownerless: newOwnerlessRunners(now, log),
		host:      host, mesh: state, pool: pool, board: b, brittle: board.NewBrittleness(), now: now, log: log,
		placements: map[string]map[site.Adapter]placement{},
		pending:    map[string]RunnerOutcomes{}, reported: map[string]reportedLoad{},
	}
}

// errOwnerUnreachable is returned if a runner has no owner or its owner does not respond.
var errOwnerUnreachable = errors.New("the runner's owner is unreachable")

// Admit implements serve.Owners.
func (o *ownerClient) Admit(ctx context.Context, runner *site.Runner, request adapters.AdmissionRequest) (adapters.AdmissionResult, error) {
	admitted, err := o.admit(ctx, runner, request)
	o.noteOwner(runner, err)
	if errors.Is(err, errOwnerUnreachable) && o.recentlyPlaced(runner.ID, request.Key) && o.mayGuess(runner) {
		return adapters.AdmissionResult{At: o.now()}, nil
	}
	if err == nil && !admitted.AskAgain && request.Key.Name != "" {
		o.recordPlacement(runner.ID, request.Key)
	}
	return admitted, err
}

// noteOwner records whether a runner's owner responded. If it has not for long, the runner is asked
// what it holds.
//
// A host without a lease may be the one that is cut off. It would begin streams that no other host
// learns of, and that cannot go on there.
func (o *ownerClient) noteOwner(runner *site.Runner, err error) {
	if !errors.Is(err, errOwnerUnreachable) || !o.now().Before(o.mesh.ValidUntil()) {
		o.ownerless.noteReached(runner.ID)
		return
	}
	if o.ownerless.noteUnreachable(runner.ID) {
		go o.readPlacements(runner)
	}
}

// readPlacements replaces what is known of the adapters on a runner by its own report.
func (o *ownerClient) readPlacements(runner *site.Runner) {
	asked := o.now()
	held, ok := o.ownerless.read(runner)
	if !ok {
		return
	}
	placements := make(map[site.Adapter]placement, len(held))
	for _, key := range held {
		placements[key.Adapter] = placement{version: key.Version, at: asked}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.placements[runner.ID] = placements
}

func (o *ownerClient) admit(ctx context.Context, runner *site.Runner, request adapters.AdmissionRequest) (adapters.AdmissionResult, error) {
	host, address, err := o.locateOwner(runner)
	if err != nil {
		return adapters.AdmissionResult{}, err
	}
	if host == o.host {
		return o.admitLocal(runner.ID, request)
	}
	// The call must not be canceled when the caller disconnects: the connection,
	// which other requests share, would be closed as unresponsive.
	callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), ownerTimeout)
	defer cancel()
	var result AdmitResult
	err = o.pool.Call(callCtx, address, methodAdmit, AdmitParams{
		Runner: runner.ID, Model: request.Key.Model, Adapter: request.Key.Name, Version: request.Key.Version, PromptTokens: request.PromptTokens, MaxOutputTokens: request.MaxOutputTokens, ExpectedOutputTokens: request.ExpectedOutputTokens,
		PromptWaitMS: request.PromptWait.Milliseconds(), MaxWaitMS: request.MaxWait.Milliseconds(), LatencyBudgetMS: request.LatencyBudget.Milliseconds(),
		Running: o.board.OwnRequestsOn(runner.ID), LastResort: request.LastResort, Home: request.Home, Retry: request.Retry, Waited: request.Waited, Barred: request.Barred, Rank: rankOf(request), Ticket: request.Ticket,
	}, &result)
	if err != nil {
		return adapters.AdmissionResult{}, o.noteUnreachable(host, err)
	}
	if result.Refusal != "" {
		return adapters.AdmissionResult{}, result.refusalError()
	}
	return adapters.AdmissionResult{At: o.now().Add(time.Duration(result.ReadyMS) * time.Millisecond), AskAgain: result.AskAgain, Ticket: result.Ticket}, nil
}

// locateOwner returns a runner's owner and the owner's address, which is empty for
// this host. It fails if there is no owner, if its address is unknown, or if a call to it
// failed less than ownerBackoff ago.
func (o *ownerClient) locateOwner(runner *site.Runner) (host, address string, err error) {
	host, ok := o.mesh.OwnerOf(runner.Address)
	if !ok {
		return "", "", errOwnerUnreachable
	}
	if host == o.host {
		return host, "", nil
	}
	address, ok = o.mesh.AddressOf(host)
	if !ok || o.backoff.active(host, o.now()) {
		return "", "", errOwnerUnreachable
	}
	return host, address, nil
}

// OwnerOf implements serve.Owners.
func (o *ownerClient) OwnerOf(runner *site.Runner) string {
	host, _ := o.mesh.OwnerOf(runner.Address)
	return host
}

// noteUnreachable backs off from a host that did not respond.
func (o *ownerClient) noteUnreachable(host string, err error) error {
	now := o.now()
	if !o.backoff.active(host, now) {
		o.log.Warn("runner owner unreachable, backing off", "owner", host, "rest_ms", ownerBackoff.Milliseconds(), "error", err.Error())
	}
	o.backoff.set(host, now.Add(ownerBackoff))
	return errOwnerUnreachable
}

func (o *ownerClient) admitLocal(runner string, request adapters.AdmissionRequest) (adapters.AdmissionResult, error) {
	controller, ok := o.owner.CurrentController(runner)
	if !ok {
		return adapters.AdmissionResult{}, adapters.ErrNotOwner
	}
	return controller.Admit(request)
}

func (o *ownerClient) recordPlacement(runner string, key adapters.Key) {
	o.mu.Lock()
	defer o.mu.Unlock()
	versions := o.placements[runner]
	if versions == nil {
		versions = map[site.Adapter]placement{}
		o.placements[runner] = versions
	}
	versions[key.Adapter] = placement{version: key.Version, at: o.now()}
}

// recentlyPlaced reports whether a request may be sent to a runner without asking its
// owner: it needs no adapter, or its adapter was on the runner within placementTTL.
func (o *ownerClient) recentlyPlaced(runner string, key adapters.Key) bool {
	if key.Name == "" {
		return true
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	known, ok := o.placements[runner][key.Adapter]
	return ok && known.version >= key.Version && o.now().Sub(known.at) < placementTTL
}

// mayGuess reports whether a request may be sent to a runner without asking its owner. A brittle
// runner gets no more from each host than one slot, or its part of the slots.
func (o *ownerClient) mayGuess(runner *site.Runner) bool {
	if _, isBrittle := o.brittle.Of(runner.Service, o.now()); !isBrittle {
		return true
	}
	return o.board.OwnRequestsOn(runner.ID) < max(1, runner.Slots/o.mesh.Size())
}

// ReportMissing implements serve.Owners.
func (o *ownerClient) ReportMissing(runner *site.Runner, key adapters.Key) {
	o.mu.Lock()
	delete(o.placements[runner.ID], key.Adapter)
	o.mu.Unlock()
	host, address, err := o.locateOwner(runner)
	if err != nil {
		return
	}
	if host == o.host {
		o.missingLocal(runner.ID, key.Adapter)
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), ownerTimeout)
		defer cancel()
		params := AdmitParams{Runner: runner.ID, Model: key.Model, Adapter: key.Name}
		if err := o.pool.Call(ctx, address, methodMissing, params, nil); err != nil {
			o.log.Debug("could not report a missing adapter to its runner's owner", "runner", runner.ID, "adapter", key.String(), "error", err.Error())
		}
	}()
}

func (o *ownerClient) missingLocal(runner string, adapter site.Adapter) {
	if controller, ok := o.owner.CurrentController(runner); ok {
		controller.AdapterMissing(adapter)
	}
}

// ReportPlaced implements serve.Owners.
func (o *ownerClient) ReportPlaced(home *site.Runner, key adapters.Key, runner *site.Runner) {
	go func() { _ = o.notifyHome(context.Background(), home, key, runner) }()
}

// notifyHome informs the owner of an adapter's home runner that the adapter is loaded on
// another runner. It returns an error if the home was not informed.
func (o *ownerClient) notifyHome(ctx context.Context, home *site.Runner, key adapters.Key, runner *site.Runner) error {
	params := PlacedParams{Home: home.ID, Model: key.Model, Adapter: key.Name, Version: key.Version, Runner: runner.ID}
	host, address, err := o.locateOwner(home)
	switch {
	case err != nil:
	case host == o.host:
		err = o.placedLocal(params)
	default:
		ctx, cancel := context.WithTimeout(ctx, ownerTimeout)
		defer cancel()
		err = o.pool.Call(ctx, address, methodPlaced, params, nil)
	}
	if err != nil {
		o.log.Debug("could not notify the adapter's home runner of a placement", "home", home.ID, "runner", runner.ID, "adapter", key.String(), "error", err.Error())
	}
	return err
}

func (o *ownerClient) placedLocal(params PlacedParams) error {
	controller, ok := o.owner.Controller(params.Home)
	if !ok {
		return adapters.ErrNotOwner
	}
	controller.AddReplica(params.key(), params.Runner)
	return nil
}

// Release implements serve.Owners.
func (o *ownerClient) Release(runner *site.Runner, adapter site.Adapter) {
	if controller, ok := o.owner.Controller(runner.ID); ok {
		controller.RequestsEnded(map[site.Adapter]int{adapter: 1})
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	outcomes := o.pending[runner.ID]
	if outcomes.Ended == nil {
		outcomes.Ended = map[string]int{}
	}
	outcomes.Ended[adapter.String()]++
	o.pending[runner.ID] = outcomes
}

// prefetch asks a runner's owner to load an adapter ahead of any request for it.
func (o *ownerClient) prefetch(ctx context.Context, runner *site.Runner, key adapters.Key) {
	host, address, err := o.locateOwner(runner)
	if err != nil {
		return
	}
	if host == o.host {
		o.prefetchLocal(runner.ID, key)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	params := AdmitParams{Runner: runner.ID, Model: key.Model, Adapter: key.Name, Version: key.Version}
	if err := o.pool.Call(ctx, address, methodPrefetch, params, nil); err != nil {
		o.log.Debug("could not ask the runner's owner to prefetch", "runner", runner.ID, "adapter", key.String(), "error", err.Error())
	}
}

func (o *ownerClient) prefetchLocal(runner string, key adapters.Key) {
	if controller, ok := o.owner.Controller(runner); ok {
		controller.Prefetch(key)
	}
}

// forget drops the state of a runner that is gone.
func (o *ownerClient) forget(runner string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ownerless.noteReached(runner)
	delete(o.placements, runner)
	delete(o.pending, runner)
	delete(o.reported, runner)
}
