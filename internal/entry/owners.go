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

// Methods that a runner's owner serves.
const (
	methodAdmit   = "runner.admit"
	methodMissing = "runner.missing"
	methodPlaced  = "runner.placed"
	methodTell    = "runner.tell"
	methodAhead   = "runner.prefetch"
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

// AdmitParams asks a runner's owner for the place of a request.
type AdmitParams struct {
	Runner  string `json:"runner"`
	Model   string `json:"model"`
	Adapter string `json:"adapter,omitempty"`
	Version int64  `json:"version,omitempty"`
	// Tokens is the length of the prompt, Output the most tokens of the answer.
	Tokens int `json:"tokens,omitempty"`
	Output int `json:"output,omitempty"`
	// PatienceMS is the longest wait for other prompts, WithinMS the time after
	// which sending the request is of no use.
	PatienceMS int64 `json:"patience_ms,omitempty"`
	WithinMS   int64 `json:"within_ms,omitempty"`
	// TargetMS is the time within which the request has to be sent to be on time.
	TargetMS int64 `json:"target_ms,omitempty"`
	// Running is the number of the asker's requests on the runner.
	Running int `json:"running,omitempty"`
	// Last: no other runner took the request. The others are those of
	// adapters.Admission.
	Last   bool `json:"last,omitempty"`
	Home   bool `json:"home,omitempty"`
	Anew   bool `json:"anew,omitempty"`
	Waited bool `json:"waited,omitempty"`
}

// AdmitResult tells in how many milliseconds the request may be sent.
type AdmitResult struct {
	ReadyMS int64 `json:"ready_ms"`
	// Again: the adapter is on its way; ask again once it is there.
	Again bool `json:"again,omitempty"`
	// Refusal is set where the request is not admitted. Elsewhere are other
	// runners with the adapter.
	Refusal   adapters.Refusal `json:"refusal,omitempty"`
	Elsewhere []string         `json:"elsewhere,omitempty"`
}

// PlacedParams tells the owner of an adapter's home on which other runner the
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

func (p AdmitParams) admission() adapters.Admission {
	return adapters.Admission{
		Key:      adapters.Key{Adapter: site.Adapter{Model: p.Model, Name: p.Adapter}, Version: p.Version},
		Tokens:   p.Tokens,
		Output:   p.Output,
		Patience: time.Duration(p.PatienceMS) * time.Millisecond,
		Within:   time.Duration(p.WithinMS) * time.Millisecond,
		Target:   time.Duration(p.TargetMS) * time.Millisecond,
		Last:     p.Last,
		Home:     p.Home,
		Anew:     p.Anew,
		Waited:   p.Waited,
	}
}

// TellParams tells an owner what became of requests on its runners.
type TellParams struct {
	Runners map[string]Told `json:"runners"`
}

// Told is what a host tells of one runner.
type Told struct {
	Running int `json:"running"`
	Good    int `json:"good,omitempty"`
	Bad     int `json:"bad,omitempty"`
	// Hard failures are those to connect at all.
	Hard int `json:"hard,omitempty"`
	// Ended counts the requests that have ended, by adapter.
	Ended map[string]int `json:"ended,omitempty"`
}

// news says whether there is anything to tell beside the number of requests.
func (t Told) news() bool { return t.Good+t.Bad+t.Hard+len(t.Ended) > 0 }

// owners is how this host speaks to the owners of runners, itself included.
type owners struct {
	host  string
	owner *adapters.Owner
	mesh  *mesh.State
	pool  *peer.Pool
	board *board.Board
	now   func() time.Time
	log   hclog.Logger

	mu sync.Mutex
	// known are adapters that lay on a runner when its owner last said so.
	known map[string]map[site.Adapter]known
	// resting are hosts that did not answer, until they are asked again.
	resting map[string]time.Time
	// outcomes of requests since they were last told, by runner.
	outcomes map[string]Told
	told     map[string]tolled
}

type known struct {
	version int64
	at      time.Time
}

// tolled is what was last told of a runner.
type tolled struct {
	running int
	at      time.Time
}

func newOwners(host string, state *mesh.State, pool *peer.Pool, b *board.Board, now func() time.Time, log hclog.Logger) *owners {
	return &owners{
		host: host, mesh: state, pool: pool, board: b, now: now, log: log,
		known: map[string]map[site.Adapter]known{}, resting: map[string]time.Time{},
		outcomes: map[string]Told{}, told: map[string]tolled{},
	}
}

// errUnreachable: the runner has no owner that answers.
var errUnreachable = errors.New("the runner's owner cannot be asked")

// Admit implements serve.Owners.
func (o *owners) Admit(ctx context.Context, runner *site.Runner, ask adapters.Admission) (adapters.Admitted, error) {
	admitted, err := o.admit(ctx, runner, ask)
	if errors.Is(err, errUnreachable) && o.lies(runner.ID, ask.Key) {
		return adapters.Admitted{At: o.now()}, nil
	}
	if err == nil && !admitted.Again && ask.Key.Name != "" {
		o.note(runner.ID, ask.Key)
	}
	return admitted, err
}

func (o *owners) admit(ctx context.Context, runner *site.Runner, ask adapters.Admission) (adapters.Admitted, error) {
	host, address, err := o.find(runner)
	if err != nil {
		return adapters.Admitted{}, err
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
		Runner: runner.ID, Model: ask.Key.Model, Adapter: ask.Key.Name, Version: ask.Key.Version, Tokens: ask.Tokens, Output: ask.Output,
		PatienceMS: ask.Patience.Milliseconds(), WithinMS: ask.Within.Milliseconds(), TargetMS: ask.Target.Milliseconds(),
		Running: o.board.Running(runner.ID), Last: ask.Last, Home: ask.Home, Anew: ask.Anew, Waited: ask.Waited,
	}, &result)
	if err != nil {
		return adapters.Admitted{}, o.failed(host, err)
	}
	if result.Refusal != "" {
		return adapters.Admitted{}, result.refusal()
	}
	return adapters.Admitted{At: o.now().Add(time.Duration(result.ReadyMS) * time.Millisecond), Again: result.Again}, nil
}

func (r AdmitResult) refusal() error {
	if len(r.Elsewhere) == 0 {
		return r.Refusal
	}
	return &adapters.ReplicatedError{Refusal: r.Refusal, Runners: r.Elsewhere}
}

func refused(err error) (AdmitResult, bool) {
	var replicated *adapters.ReplicatedError
	if errors.As(err, &replicated) {
		return AdmitResult{Refusal: replicated.Refusal, Elsewhere: replicated.Runners}, true
	}
	var refusal adapters.Refusal
	if errors.As(err, &refusal) {
		return AdmitResult{Refusal: refusal}, true
	}
	return AdmitResult{}, false
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
	o.mu.Lock()
	resting := o.now().Before(o.resting[host])
	o.mu.Unlock()
	address, ok = o.mesh.AddressOf(host)
	if !ok || resting {
		return "", "", errUnreachable
	}
	return host, address, nil
}

// failed notes that a host does not answer.
func (o *owners) failed(host string, err error) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.now().After(o.resting[host]) {
		o.log.Warn("owner does not answer", "owner", host, "rest_ms", ownerRest.Milliseconds(), "error", err.Error())
	}
	o.resting[host] = o.now().Add(ownerRest)
	return errUnreachable
}

func (o *owners) admitHere(runner string, ask adapters.Admission) (adapters.Admitted, error) {
	keeper, ok := o.owner.Keeper(runner)
	if !ok {
		return adapters.Admitted{}, adapters.ErrNotOwner
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

// Missing implements serve.Owners.
func (o *owners) Missing(runner *site.Runner, key adapters.Key) {
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
	if keeper, ok := o.owner.Keeper(runner); ok {
		keeper.Missing(adapter)
	}
}

// Placed implements serve.Owners.
func (o *owners) Placed(home *site.Runner, key adapters.Key, runner *site.Runner) {
	host, address, err := o.find(home)
	if err != nil {
		return
	}
	params := PlacedParams{Home: home.ID, Model: key.Model, Adapter: key.Name, Version: key.Version, Runner: runner.ID}
	if host == o.host {
		o.placedHere(params)
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), ownerTimeout)
		defer cancel()
		if err := o.pool.Call(ctx, address, methodPlaced, params, nil); err != nil {
			o.log.Debug("home not told of a placed adapter", "home", home.ID, "runner", runner.ID, "adapter", key.String(), "error", err.Error())
		}
	}()
}

func (o *owners) placedHere(params PlacedParams) {
	if keeper, ok := o.owner.Keeper(params.Home); ok {
		keeper.Placed(params.key(), params.Runner)
	}
}

// Ended implements serve.Owners.
func (o *owners) Ended(runner *site.Runner, adapter site.Adapter) {
	if keeper, ok := o.owner.Keeper(runner.ID); ok {
		keeper.Ended(map[site.Adapter]int{adapter: 1})
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
	if keeper, ok := o.owner.Keeper(runner); ok {
		keeper.Prefetch(key)
	}
}

// Outcome implements serve.Owners.
func (o *owners) Outcome(runner string, good, hard bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	told := o.outcomes[runner]
	switch {
	case good:
		told.Good++
	case hard:
		told.Hard++
	default:
		told.Bad++
	}
	o.outcomes[runner] = told
}

const (
	// tellInterval is how often owners are told what became of requests.
	tellInterval = 200 * time.Millisecond
	// tellAgain is how often a number that did not change is told again, so that
	// it does not count as that of a host that is gone.
	tellAgain = time.Second
)

// tell tells the owners what has changed on their runners.
func (o *owners) tell(ctx context.Context, runners map[string]*site.Runner) {
	own := o.board.Own()
	byOwner := map[string]TellParams{}
	for id, runner := range runners {
		told, changed := o.changed(id, own[id])
		if !changed {
			continue
		}
		_, address, err := o.find(runner)
		if err != nil || address == "" {
			continue
		}
		if byOwner[address].Runners == nil {
			byOwner[address] = TellParams{Runners: map[string]Told{}}
		}
		byOwner[address].Runners[id] = told
	}
	for address, params := range byOwner {
		go o.tellOne(ctx, address, params)
	}
}

func (o *owners) tellOne(ctx context.Context, address string, params TellParams) {
	ctx, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	if err := o.pool.Call(ctx, address, methodTell, params, nil); err != nil {
		o.log.Debug("owner not told of its runners", "address", address, "error", err.Error())
	}
}

// changed gives what has to be told of a runner.
func (o *owners) changed(runner string, running int) (Told, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.now()
	told := o.outcomes[runner]
	last := o.told[runner]
	again := running > 0 && now.Sub(last.at) >= tellAgain
	if !told.news() && running == last.running && !again {
		return Told{}, false
	}
	delete(o.outcomes, runner)
	o.told[runner] = tolled{running: running, at: now}
	told.Running = running
	return told, true
}

// forget drops a runner that is gone.
func (o *owners) forget(runner string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.known, runner)
	delete(o.outcomes, runner)
	delete(o.told, runner)
}

// register adds the methods that peers call.
func (o *owners) register(mux *peer.Mux) {
	peer.Handle(mux, methodAdmit, func(_ context.Context, from peer.Identity, p AdmitParams) (AdmitResult, error) {
		admitted, err := o.admitHere(p.Runner, p.admission())
		if result, ok := refused(err); ok {
			return result, nil
		}
		if !admitted.Again {
			o.board.PeerOn(from.Host, p.Runner, p.Running+1, o.now())
		}
		return AdmitResult{ReadyMS: max(0, admitted.At.Sub(o.now()).Milliseconds()), Again: admitted.Again}, nil
	})
	peer.Handle(mux, methodMissing, func(_ context.Context, _ peer.Identity, p AdmitParams) (struct{}, error) {
		o.missingHere(p.Runner, p.admission().Key.Adapter)
		return struct{}{}, nil
	})
	peer.Handle(mux, methodPlaced, func(_ context.Context, _ peer.Identity, p PlacedParams) (struct{}, error) {
		o.placedHere(p)
		return struct{}{}, nil
	})
	peer.Handle(mux, methodAhead, func(_ context.Context, _ peer.Identity, p AdmitParams) (struct{}, error) {
		o.prefetchHere(p.Runner, p.admission().Key)
		return struct{}{}, nil
	})
	peer.Handle(mux, methodTell, func(_ context.Context, from peer.Identity, p TellParams) (struct{}, error) {
		o.takeTold(from.Host, p)
		return struct{}{}, nil
	})
}

func (o *owners) takeEnded(runner string, ended map[string]int) {
	keeper, ok := o.owner.Keeper(runner)
	if !ok || len(ended) == 0 {
		return
	}
	byAdapter := make(map[site.Adapter]int, len(ended))
	for name, requests := range ended {
		byAdapter[site.AdapterNamed(name)] = requests
	}
	keeper.Ended(byAdapter)
}

func (o *owners) takeTold(host string, params TellParams) {
	now := o.now()
	for runner, told := range params.Runners {
		o.board.PeerOn(host, runner, told.Running, now)
		o.takeEnded(runner, told.Ended)
		for range told.Good {
			o.board.Good(runner, now)
		}
		for range told.Bad {
			o.board.Bad(runner, false, now)
		}
		if told.Hard > 0 {
			o.board.Bad(runner, true, now)
		}
	}
}
