package mesh

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/cherrystage/cherrystage/internal/objectapi"
	"github.com/cherrystage/cherrystage/internal/peer"
	"github.com/cherrystage/cherrystage/internal/registry"
	"github.com/cherrystage/cherrystage/internal/timing"
	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
)

const (
	// beatInterval is the time between heartbeats to a peer. Four a second keep
	// the numbers of running requests fresh and cost about 0.4% of a core with
	// seven hosts.
	beatInterval = 250 * time.Millisecond
	// beatTimeout bounds a heartbeat; a connection that did not answer by then
	// may have gone silent for good and is replaced.
	beatTimeout = 400 * time.Millisecond
	// dutyInterval is how often leases and owners are looked at.
	dutyInterval = 200 * time.Millisecond
	// callTimeout bounds a write to the store.
	callTimeout = time.Second
	// settleTime is how long a fresh host waits before it claims runners: all
	// hosts of a deployment start within 300 ms of each other, and one that
	// knows only itself would claim all runners.
	settleTime = 1200 * time.Millisecond
	// deadRecordAge is how long the record of a dead host is kept.
	deadRecordAge = 60 * time.Second
	// fetchAfter is how long a peer may be ahead in a kind of record before the
	// records are fetched from it instead of the store.
	fetchAfter = 300 * time.Millisecond
)

// Methods that peers call.
const (
	methodBeat  = "mesh.beat"
	methodFetch = "mesh.fetch"
)

// Beat is a heartbeat.
type Beat struct {
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	// HeardMS tells how long ago the sender heard others, so that a host that is
	// cut off from one peer only is not declared dead.
	HeardMS map[string]int64 `json:"heard_ms,omitempty"`
	// Versions tells what the sender knows of each kind of record.
	Versions map[string]registry.Version `json:"versions,omitempty"`
	// Status is what the sender tells of its runners and requests.
	Status json.RawMessage `json:"status,omitempty"`
}

// BeatAnswer is the promise not to take the sender's runners over for the
// length of a lease.
type BeatAnswer struct {
	Promised bool `json:"promised"`
	// Incarnation is that of the answering process.
	Incarnation string `json:"incarnation"`
}

// FetchParams asks for all records of a kind.
type FetchParams struct {
	Kind string `json:"kind"`
}

// Statuses is what hosts tell each other in heartbeats.
type Statuses interface {
	// StatusFor gives what a peer should know; arrived is called with the peer's
	// incarnation if it got there.
	StatusFor(host string) (status any, arrived func(incarnation string))
	// StatusFrom takes over what a peer told.
	StatusFrom(host string, status json.RawMessage)
}

// Service does the I/O of the mesh.
type Service struct {
	self     peer.Identity
	address  string
	centre   string
	state    *State
	store    registry.Store
	fleet    *registry.Replica
	kinds    map[string]*registry.Replica
	pool     *peer.Pool
	statuses Statuses
	now      func() time.Time
	log      hclog.Logger
	started  time.Time

	mu      sync.Mutex
	beating map[string]bool
	ahead   map[string]time.Time
	// addresses gives the runners that need an owner.
	addresses func() []string
	kick      chan struct{}
}

// Deps are what a service works with.
type Deps struct {
	Self       peer.Identity
	Address    string
	DataCentre string
	State      *State
	Store      registry.Store
	// Kinds are the replicas that hosts pass on to each other.
	Kinds     map[string]*registry.Replica
	Pool      *peer.Pool
	Statuses  Statuses
	Addresses func() []string
	Now       func() time.Time
	Log       hclog.Logger
}

// NewService makes a service.
func NewService(deps Deps) *Service {
	s := &Service{
		self:      deps.Self,
		address:   deps.Address,
		centre:    deps.DataCentre,
		state:     deps.State,
		store:     deps.Store,
		kinds:     deps.Kinds,
		pool:      deps.Pool,
		statuses:  deps.Statuses,
		now:       deps.Now,
		log:       deps.Log,
		started:   deps.Now(),
		beating:   map[string]bool{},
		ahead:     map[string]time.Time{},
		addresses: deps.Addresses,
		kick:      make(chan struct{}, 1),
	}
	s.fleet = registry.NewReplica()
	s.fleet.OnChange = func(changes []registry.Change, _ bool) {
		s.state.Apply(changes, s.now())
		s.wake()
	}
	s.kinds[Kind] = s.fleet
	return s
}

// Fleet is the replica of this package's records.
func (s *Service) Fleet() *registry.Replica { return s.fleet }

// Register adds the methods that peers call.
func (s *Service) Register(mux *peer.Mux) {
	peer.Handle(mux, methodBeat, s.takeBeat)
	peer.Handle(mux, methodFetch, s.fetch)
}

func (s *Service) wake() {
	select {
	case s.kick <- struct{}{}:
	default:
	}
}

// Run keeps the lease, the owners and the heartbeats until the context ends.
func (s *Service) Run(ctx context.Context) {
	for ctx.Err() == nil {
		s.register(ctx)
		s.renew(ctx)
		s.takeOver(ctx)
		s.beatNewPeers(ctx)
		s.wait(ctx)
	}
}

func (s *Service) wait(ctx context.Context) {
	timer := time.NewTimer(dutyInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-s.kick:
	}
}

// register writes the own record at the start and after the lease was broken.
func (s *Service) register(ctx context.Context) {
	if s.state.Epoch() != 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := s.now()
	record, epoch, err := s.writeOwn(ctx)
	if err != nil {
		s.log.Debug("registration failed", "error", err.Error())
		return
	}
	s.state.Registered(epoch, sent)
	s.fleet.Put(record)
	s.log.Info("registered", "epoch", epoch, "revision", record.Revision)
}

func (s *Service) writeOwn(ctx context.Context) (registry.Record, int64, error) {
	own := HostRecord{Address: s.address, DataCentre: s.centre, Incarnation: s.self.Incarnation, Epoch: 1}
	name := hostName(s.self.Host)
	current, err := s.store.Get(ctx, Kind, name)
	if registry.NotFound(err) {
		record, err := s.store.Create(ctx, Kind, name, own)
		return record, own.Epoch, err
	}
	if err != nil {
		return registry.Record{}, 0, err
	}
	if _, m, ok := decodeHost(current); ok {
		own.Epoch = m.Epoch
		own.Renewals = m.Renewals + 1
		if m.Broken {
			own.Epoch++
		}
	}
	record, err := s.store.Update(ctx, Kind, name, own, current.Revision)
	return record, own.Epoch, err
}

// renew renews the lease in the store where a peer's promise is missing.
func (s *Service) renew(ctx context.Context) {
	if !s.state.NeedsRenewal(s.now()) {
		return
	}
	current, ok := s.fleet.Get(hostName(s.self.Host))
	if !ok {
		return
	}
	_, m, ok := decodeHost(current)
	if !ok {
		return
	}
	own := m.HostRecord
	own.Renewals++
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := s.now()
	record, err := s.store.Update(ctx, Kind, current.Name, own, current.Revision)
	switch {
	case err == nil:
		s.state.Registered(own.Epoch, sent)
		s.fleet.Put(record)
	case registry.Conflict(err):
		s.reread(ctx)
	default:
		s.log.Debug("lease not renewed", "error", err.Error())
	}
}

// reread finds out why the own record has another revision: an earlier renewal
// whose answer was lost, or the end of the lease.
func (s *Service) reread(ctx context.Context) {
	record, err := s.store.Get(ctx, Kind, hostName(s.self.Host))
	if registry.NotFound(err) {
		s.state.Lost()
		return
	}
	if err != nil {
		s.log.Debug("own record not read", "error", err.Error())
		return
	}
	s.fleet.Put(record)
	if _, m, ok := decodeHost(record); ok && m.Broken {
		s.state.Lost()
		s.log.Warn("lease broken by a peer", "epoch", m.Epoch)
	}
}

// takeOver ends the leases of dead peers and claims runners without an owner.
func (s *Service) takeOver(ctx context.Context) {
	now := s.now()
	for _, dead := range s.state.Breakable(now) {
		s.breakLease(ctx, dead)
	}
	if now.Sub(s.started) < settleTime {
		return
	}
	for _, claim := range s.state.Claims(s.addresses(), now) {
		s.claim(ctx, claim)
	}
	for _, dead := range s.state.Dead(now, deadRecordAge) {
		s.removeDead(ctx, dead)
	}
}

func (s *Service) breakLease(ctx context.Context, dead Break) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	dead.Record.Broken = true
	record, err := s.store.Update(ctx, Kind, hostName(dead.Host), dead.Record, dead.Revision)
	if err != nil {
		s.log.Info("lease not broken", "host", dead.Host, "revision", dead.Revision, "error", err.Error())
		s.refresh(ctx, hostName(dead.Host), err)
		return
	}
	s.fleet.Put(record)
	s.log.Warn("lease broken: the host was silent for too long", "host", dead.Host, "epoch", dead.Record.Epoch, "revision", record.Revision)
}

func (s *Service) claim(ctx context.Context, claim Claim) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var record registry.Record
	var err error
	if claim.Revision == 0 {
		record, err = s.store.Create(ctx, Kind, claim.Name, claim.Record)
	} else {
		record, err = s.store.Update(ctx, Kind, claim.Name, claim.Record, claim.Revision)
	}
	if err != nil {
		s.log.Info("runner not claimed", "address", claim.Address, "error", err.Error())
		s.refresh(ctx, claim.Name, err)
		return
	}
	s.fleet.Put(record)
	s.log.Info("runner claimed", "address", claim.Address, "token", record.Revision, "epoch", claim.Record.Epoch)
}

// refresh reads a record again after a conflict; the watch may be behind.
func (s *Service) refresh(ctx context.Context, name string, cause error) {
	if !registry.Conflict(cause) && !errors.Is(cause, objectapi.ErrAnswerLost) {
		return
	}
	record, err := s.store.Get(ctx, Kind, name)
	if err != nil {
		s.log.Debug("record not read", "record", name, "error", err.Error())
		return
	}
	s.fleet.Put(record)
}

func (s *Service) removeDead(ctx context.Context, dead Break) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := s.store.Delete(ctx, Kind, hostName(dead.Host), dead.Revision); err != nil {
		s.log.Debug("record of a dead host not removed", "host", dead.Host, "error", err.Error())
		return
	}
	s.log.Info("record of a dead host removed", "host", dead.Host)
}

// beatNewPeers starts the heartbeats to peers that have none yet.
func (s *Service) beatNewPeers(ctx context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.state.Peers() {
		if s.beating[p.Host] {
			continue
		}
		s.beating[p.Host] = true
		go s.beatLoop(ctx, p.Host)
	}
}

// beatLoop sends heartbeats to a peer while it has a record in force.
func (s *Service) beatLoop(ctx context.Context, host string) {
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.beating, host)
	}()
	silent := false
	for ctx.Err() == nil {
		address, ok := s.peerAddress(host)
		if !ok {
			return
		}
		err := s.beat(ctx, host, address)
		if ctx.Err() == nil && (err != nil) != silent {
			silent = err != nil
			s.tellSilence(host, silent, err)
		}
		timing.Sleep(ctx, beatInterval)
	}
}

func (s *Service) tellSilence(host string, silent bool, err error) {
	if silent {
		s.log.Warn("dependency lost", "dependency", "peer", "host", host, "error", err.Error())
		return
	}
	s.log.Info("dependency regained", "dependency", "peer", "host", host)
}

func (s *Service) peerAddress(host string) (string, bool) {
	for _, p := range s.state.Peers() {
		if p.Host == host {
			return p.Address, true
		}
	}
	return "", false
}

func (s *Service) beat(ctx context.Context, host, address string) error {
	ctx, cancel := context.WithTimeout(ctx, beatTimeout)
	defer cancel()
	sent := s.now()
	status, arrived := s.statuses.StatusFor(host)
	encoded, err := json.Marshal(status)
	if err != nil {
		return errors.Wrap(err, "status")
	}
	beat := Beat{
		Address:    s.address,
		DataCentre: s.centre,
		HeardMS:    inMilliseconds(s.state.Ages(sent)),
		Versions:   s.versions(),
		Status:     encoded,
	}
	var answer BeatAnswer
	if err := s.pool.Call(ctx, address, methodBeat, beat, &answer); err != nil {
		return err
	}
	arrived(answer.Incarnation)
	if answer.Promised {
		s.state.Promised(host, sent)
	}
	return nil
}

func inMilliseconds(ages map[string]time.Duration) map[string]int64 {
	ms := make(map[string]int64, len(ages))
	for host, age := range ages {
		ms[host] = age.Milliseconds()
	}
	return ms
}

func (s *Service) versions() map[string]registry.Version {
	versions := make(map[string]registry.Version, len(s.kinds))
	for kind, replica := range s.kinds {
		versions[kind] = replica.Version()
	}
	return versions
}

func (s *Service) takeBeat(ctx context.Context, from peer.Identity, beat Beat) (BeatAnswer, error) {
	now := s.now()
	s.state.Heard(from.Host, 0, now)
	s.state.Learn(from.Host, HostRecord{Address: beat.Address, DataCentre: beat.DataCentre, Incarnation: from.Incarnation})
	for host, ms := range beat.HeardMS {
		if host != s.self.Host {
			s.state.Heard(host, time.Duration(ms)*time.Millisecond, now)
		}
	}
	s.catchUp(beat, now)
	s.statuses.StatusFrom(from.Host, beat.Status)
	return BeatAnswer{Promised: true, Incarnation: s.self.Incarnation}, nil
}

// catchUp fetches a kind of record from a peer that has been ahead for some
// time: the store may turn this host away, or its watch may have gone silent.
func (s *Service) catchUp(beat Beat, now time.Time) {
	for kind, version := range beat.Versions {
		replica := s.kinds[kind]
		if replica == nil {
			continue
		}
		if !s.behind(kind, replica.Version(), version, now) {
			continue
		}
		go s.fetchFrom(beat.Address, kind, replica)
	}
}

func (s *Service) behind(kind string, own, theirs registry.Version, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if theirs.Digest == own.Digest {
		delete(s.ahead, kind)
		return false
	}
	if theirs.Revision <= own.Revision {
		return false
	}
	since, known := s.ahead[kind]
	if !known {
		s.ahead[kind] = now
		return own.Revision == 0
	}
	if now.Sub(since) < fetchAfter {
		return false
	}
	s.ahead[kind] = now
	return true
}

func (s *Service) fetchFrom(address, kind string, replica *registry.Replica) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	before := replica.Revision()
	var snapshot registry.Snapshot
	if err := s.pool.Call(ctx, address, methodFetch, FetchParams{Kind: kind}, &snapshot); err != nil {
		s.log.Debug("records not fetched from a peer", "kind", kind, "address", address, "error", err.Error())
		return
	}
	if snapshot.Revision <= before {
		return
	}
	replica.Listed(snapshot.Records, snapshot.Revision)
	s.log.Info("records fetched from a peer", "kind", kind, "address", address, "from_revision", before, "revision", snapshot.Revision)
}

func (s *Service) fetch(_ context.Context, _ peer.Identity, params FetchParams) (registry.Snapshot, error) {
	replica := s.kinds[params.Kind]
	if replica == nil {
		return registry.Snapshot{}, peer.Refuse(errors.Errorf("no records of kind %q are kept", params.Kind))
	}
	return replica.Snapshot(), nil
}
