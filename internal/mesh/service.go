package mesh

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cherrystage/cherrystage/internal/objectapi"
	"github.com/cherrystage/cherrystage/internal/peer"
	"github.com/cherrystage/cherrystage/internal/registry"
	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
)

const (
	// loopInterval is the interval of the main loop, which checks leases and owners.
	loopInterval = 200 * time.Millisecond
	// storeTimeout bounds a write to the store.
	storeTimeout = time.Second
	// startupSettle is how long a new process waits before it claims runners. All hosts of
	// a deployment start within 300 ms of each other, and one that knows no other host
	// would claim all runners.
	startupSettle = 1200 * time.Millisecond
	// joinSettle is how long claims wait after a host joined. While hosts are still
	// joining, several of them rank first for a runner in their own view.
	joinSettle = 600 * time.Millisecond
	// settleEraPause is the pause after an attempt to record an era as settled.
	settleEraPause = 2 * time.Second
	// deadRecordRetention is how long the record of a dead host is kept.
	deadRecordRetention = 60 * time.Second
	// outageAge is the age of this host's records from which the store counts as away. A host
	// asks the store itself before they are that old.
	outageAge = 5 * time.Second
	// registrationTime is how long after an outage of the store all live hosts have
	// registered: a call that began during the outage ends, the pause after it passes, and
	// the main loop runs.
	registrationTime = storeTimeout + watcherRetryPause + loopInterval
)

// Methods that peers call.
const (
	methodHeartbeat = "mesh.beat"
	methodFetch     = "mesh.fetch"
	methodPiece     = "mesh.piece"
	methodVote      = "mesh.vote"
	methodKnown     = "mesh.known"
	methodNews      = "mesh.news"
	methodWatch     = "mesh.watch"
)

// StatusExchange supplies and receives the status that heartbeats carry.
type StatusExchange interface {
	// Status returns this host's status for its peers.
	Status() any
	// ReceiveStatus handles the status that a peer had no earlier than asOf. A status that this
	// host reads late is older than its content says.
	ReceiveStatus(host string, status json.RawMessage, asOf time.Time)
}

// Service performs the I/O of the package: heartbeats, fetches and store writes.
type Service struct {
	Deps
	fleet     *registry.Replica
	started   time.Time
	freshness *freshness
	archives  archiveCache
	delays    delays

	fetches       atomic.Int64
	fetchesFailed atomic.Int64

	mu            sync.Mutex
	senders       map[string]*heartbeatSender
	breakAttempts map[string]*breakAttempt
	wakeup        chan struct{}
	// news is signalled when the next host should be told of changes.
	news chan struct{}
	// nextWatch is the time at which this host's next watch of a kind is due if it is the
	// second host that watches it.
	nextWatch map[string]time.Time
	// queriedAt is when a peer was last queried, queries the number of queries. After a
	// failed call the store is not called before storeRetryAt. Only Run's goroutine uses
	// them.
	queriedAt    time.Time
	queries      int
	storeRetryAt time.Time
	storeBackoff time.Duration
	// settleRetryAt is when an era may next be recorded as settled. Only Run's goroutine
	// uses it.
	settleRetryAt time.Time
}

// Deps are the dependencies of a Service.
type Deps struct {
	Self       peer.Identity
	Address    string
	DataCentre string
	// Seeds are the addresses of peers that a new process may query first.
	Seeds []string
	State *State
	Store registry.Store
	// Kinds are the replicas, by kind, whose records hosts fetch from each other.
	Kinds    map[string]*registry.Replica
	Pool     *peer.Pool
	Statuses StatusExchange
	// Runners returns the runners that need an owner.
	Runners func() []Runner
	// Reach reports whether this host reaches any of the runners at the given addresses, which
	// it owns, or whether no other host is known to reach them either. It may be nil, which
	// stands for always.
	Reach func(owned []string) bool
	// OtherChanges receives changes of records that are neither host nor owner records.
	// They share the kind because they change too seldom for a watch of their own.
	OtherChanges func(changes []registry.Change)
	Now          func() time.Time
	Log          hclog.Logger
}

// NewService returns a Service that does not run yet.
func NewService(deps Deps) *Service {
	s := &Service{Deps: deps, started: deps.Now(), senders: map[string]*heartbeatSender{}, breakAttempts: map[string]*breakAttempt{}, wakeup: make(chan struct{}, 1), news: make(chan struct{}, 1), nextWatch: map[string]time.Time{}, archives: archiveCache{now: deps.Now}}
	s.fleet = registry.NewReplica()
	s.fleet.Strip = normalizeSpec
	s.Kinds[Kind] = s.fleet
	s.freshness = newFreshness(s.Kinds, deps.Now)
	s.fleet.OnEra = func(era registry.Era) {
		s.State.BeginEra(era, s.Now())
		s.Log.Warn("store's era changed", "kind", Kind, "era", era, "revision", s.fleet.Revision())
		s.wake()
	}
	s.fleet.OnPosition = s.State.AdvanceTo
	s.fleet.OnChange = func(changes []registry.Change, _ bool) {
		s.State.Apply(changes, s.Now())
		s.forgetRemovedHosts(changes)
		if other := otherRecords(changes); len(other) > 0 && s.OtherChanges != nil {
			s.OtherChanges(other)
		}
		s.wake()
	}
	return s
}

// forgetRemovedHosts drops the delay estimates of hosts whose records were removed.
func (s *Service) forgetRemovedHosts(changes []registry.Change) {
	for _, change := range changes {
		if host, ok := strings.CutPrefix(change.Name, hostPrefix); ok && change.Removed {
			s.delays.forget(host)
		}
	}
}

// ReplicationStatus holds the versions and ages of this host's records, for the metrics.
type ReplicationStatus struct {
	Kinds         map[string]KindStatus `json:"kinds"`
	Fetches       int64                 `json:"fetches"`
	FetchesFailed int64                 `json:"fetches_failed"`
}

// KindStatus is the position and the greatest possible age of a kind of record, and how
// long newer records have been known to exist.
type KindStatus struct {
	registry.Position
	AgeMS    int64 `json:"age_ms"`
	BehindMS int64 `json:"behind_ms"`
}

// ReplicationStatus returns the state of this host's records.
func (s *Service) ReplicationStatus() ReplicationStatus {
	status := ReplicationStatus{Kinds: map[string]KindStatus{}, Fetches: s.fetches.Load(), FetchesFailed: s.fetchesFailed.Load()}
	for kind, known := range s.freshness.known() {
		behind, _ := s.freshness.behind(kind)
		status.Kinds[kind] = KindStatus{Position: known.Position, AgeMS: known.AgeMS, BehindMS: behind.Milliseconds()}
	}
	return status
}

// Fleet returns the replica of this package's records.
func (s *Service) Fleet() *registry.Replica { return s.fleet }

// Register adds the methods that peers call.
func (s *Service) Register(mux *peer.Mux) {
	peer.Handle(mux, methodHeartbeat, s.handleHeartbeat)
	peer.Handle(mux, methodFetch, s.handleFetch)
	peer.Handle(mux, methodPiece, s.handlePiece)
	peer.Handle(mux, methodVote, s.handleVote)
	peer.Handle(mux, methodKnown, s.handleKnown)
	peer.Handle(mux, methodNews, s.handleNews)
	peer.Handle(mux, methodWatch, s.handleWatchBegins)
}

func (s *Service) wake() {
	select {
	case s.wakeup <- struct{}{}:
	default:
	}
}

// Run maintains the lease, the owner records and the heartbeats until the context ends.
func (s *Service) Run(ctx context.Context) {
	go s.tellNextHost(ctx)
	go s.probeHosts(ctx)
	for ctx.Err() == nil {
		s.maintainLease(ctx)
		s.failOver(ctx)
		s.updateSenders(ctx)
		s.queryPeers(ctx)
		s.wait(ctx)
	}
}

func (s *Service) wait(ctx context.Context) {
	timer := time.NewTimer(s.State.untilHandover(s.Now(), loopInterval))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-s.wakeup:
	}
}

// maintainLease writes this host's record if it is not registered, if its lease was
// broken, if promises are missing, or if the witnesses change.
func (s *Service) maintainLease(ctx context.Context) {
	if s.Now().Before(s.storeRetryAt) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if s.State.Epoch() == 0 || s.ownRecordLost() {
		s.register(ctx)
		return
	}
	if s.Now().Sub(s.started) < startupSettle {
		// The other hosts are not known yet, and no owned runner needs a lease. Witnesses
		// chosen now would soon change, at the cost of a write each time.
		return
	}
	if s.Reach != nil {
		s.State.SetReach(s.Reach(s.State.OwnedAddresses(s.Runners())), s.Now())
	}
	if s.State.HandoverDue(s.Now()) {
		s.handOver(ctx)
		return
	}
	witnesses, changed := s.State.ChooseWitnesses(s.Now())
	if changed || s.State.NeedsRenewal(s.Now()) || s.cutOffOutdated() {
		s.renew(ctx, witnesses)
	}
}

// cutOffOutdated reports whether this host's record is wrong on whether it reaches runners.
func (s *Service) cutOffOutdated() bool {
	record, _ := s.fleet.Get(hostRecordName(s.Self.Host))
	_, own, ok := decodeHost(record)
	return ok && own.CutOff != s.State.IsCutOff()
}

func (s *Service) register(ctx context.Context) {
	if s.fleet.Revision() == 0 {
		// It is not known yet whether the store has a record of an earlier process.
		return
	}
	name := hostRecordName(s.Self.Host)
	var own HostRecord
	current, _ := s.fleet.Get(name)
	if _, m, ok := decodeHost(current); ok {
		if s.isHeldElsewhere(m.HostRecord) {
			s.replaceHolder(ctx, m)
			return
		}
		own = m.HostRecord
	}
	own.Epoch, own.Broken = s.State.NextEpoch(own, s.fleet.Revision()), false
	own.Address, own.DataCentre, own.Incarnation = s.Address, s.DataCentre, s.Self.Incarnation
	own.CutOff, own.Contested = s.State.IsCutOff(), false
	// A process that has just started knows no hosts yet and keeps the witnesses of its
	// record. The same applies to a record that the store has lost.
	if _, wanted, needsCheck := s.State.UnverifiedRecord(); needsCheck && len(wanted) > 0 {
		own.Witnesses = wanted
	} else if witnesses, _ := s.State.ChooseWitnesses(s.Now()); len(witnesses) > 0 {
		own.Witnesses = witnesses
	}
	own.Renewals++
	sent := s.Now()
	record, err := s.writeOwnRecord(ctx, name, own, current.Revision)
	if err != nil {
		s.Log.Debug("registration failed", "error", err.Error())
		s.refreshAfterConflict(ctx, name, err)
		s.backOffStore()
		return
	}
	if !s.applyRecord(record) {
		s.backOffStore()
		return
	}
	s.storeBackoff = 0
	s.State.PromiseAfter(record.Revision)
	s.State.Registered(own.Epoch, own.Witnesses, sent)
	s.Log.Info("registered", "epoch", own.Epoch, "revision", record.Revision, "witnesses", len(own.Witnesses))
}

// ownRecordLost reports whether the store came back without this host's current record.
func (s *Service) ownRecordLost() bool {
	epoch, witnesses, needsCheck := s.State.UnverifiedRecord()
	if !needsCheck {
		return false
	}
	record, _ := s.fleet.Get(hostRecordName(s.Self.Host))
	_, own, ok := decodeHost(record)
	if !ok || own.Broken || own.Epoch != epoch || own.Incarnation != s.Self.Incarnation || !slices.Equal(own.Witnesses, witnesses) {
		return true
	}
	s.State.RecordVerified()
	return false
}

// applyRecord applies a record from a store's answer, and reports whether the answer
// belongs to this host's era. On a record of another era the host must not act yet.
func (s *Service) applyRecord(record registry.Record) bool {
	if s.fleet.Put(record) {
		return true
	}
	s.Log.Info("ignored record of another era", "record", record.Name, "era", record.Era, "known_era", s.fleet.Position().Era, "revision", record.Revision)
	s.freshness.expectEra(Kind, record.Era)
	return false
}

// settleEra records in the store that the current era is settled, once it is.
func (s *Service) settleEra(ctx context.Context) {
	now := s.Now()
	era, due := s.State.EraToSettle(now)
	if !due || now.Before(s.settleRetryAt) {
		return
	}
	s.settleRetryAt = now.Add(settleEraPause)
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	current, _ := s.fleet.Get(eraRecordName)
	var record registry.Record
	var err error
	if current.Revision == 0 {
		record, err = s.Store.Create(ctx, Kind, eraRecordName, EraRecord{Settled: era})
	} else {
		record, err = s.Store.Update(ctx, Kind, eraRecordName, EraRecord{Settled: era}, current.Revision)
	}
	if err != nil {
		s.Log.Info("recording era as settled failed", "era", era, "error", err.Error())
		s.refreshAfterConflict(ctx, eraRecordName, err)
		return
	}
	s.applyRecord(record)
	s.Log.Info("era settled: no host acts on an earlier one", "era", era, "revision", record.Revision)
}

func (s *Service) writeOwnRecord(ctx context.Context, name string, own HostRecord, revision uint64) (registry.Record, error) {
	if revision == 0 {
		return s.Store.Create(ctx, Kind, name, own)
	}
	return s.Store.Update(ctx, Kind, name, own, revision)
}

// renew renews the lease in the store with the given witnesses.
func (s *Service) renew(ctx context.Context, witnesses []string) {
	current, ok := s.fleet.Get(hostRecordName(s.Self.Host))
	if !ok {
		s.rereadOwnRecord(ctx)
		return
	}
	_, m, ok := decodeHost(current)
	if !ok || m.Broken {
		s.rereadOwnRecord(ctx)
		return
	}
	own := m.HostRecord
	own.Witnesses = witnesses
	own.CutOff, own.Contested = s.State.IsCutOff(), false
	own.Renewals++
	sent := s.Now()
	record, err := s.Store.Update(ctx, Kind, current.Name, own, current.Revision)
	switch {
	case err == nil:
		if !s.applyRecord(record) {
			// It is not known which witnesses the record of the other era names.
			s.State.RecordUnknown()
			s.backOffStore()
			return
		}
		s.storeBackoff = 0
		s.State.Registered(own.Epoch, own.Witnesses, sent)
	case registry.IsConflict(err), registry.IsNotFound(err):
		// An earlier write of this record without an answer has succeeded, the lease was
		// broken, or the record was removed.
		s.rereadOwnRecord(ctx)
	case errors.Is(err, objectapi.ErrAnswerLost):
		s.State.RenewalUncertain(witnesses)
		s.Log.Info("lease renewal uncertain: no answer from the store", "error", err.Error())
		s.backOffStore()
		s.rereadOwnRecord(ctx)
	default:
		s.Log.Debug("lease renewal failed", "error", err.Error())
		s.backOffStore()
	}
}

// backOffStore suspends calls by maintainLease after one failed. Without it, a host without
// a lease called the store five times a second throughout an outage. Such a host gives no
// orders, and the pause delays its registration by at most watcherRetryPause.
func (s *Service) backOffStore() {
	s.storeBackoff = min(max(loopInterval, 2*s.storeBackoff), watcherRetryPause)
	s.storeRetryAt = s.Now().Add(s.storeBackoff)
}

// rereadOwnRecord reads this host's record to see whether an earlier renewal whose answer
// was lost was written, or whether the lease was broken.
func (s *Service) rereadOwnRecord(ctx context.Context) {
	sent := s.Now()
	era := s.fleet.Position().Era
	known, _ := s.fleet.Get(hostRecordName(s.Self.Host))
	record, err := s.Store.Get(ctx, Kind, hostRecordName(s.Self.Host))
	if registry.IsNotFound(err) {
		s.State.LeaseLost(s.Now())
		s.fleet.Drop(known, era)
		return
	}
	if err != nil {
		s.Log.Debug("reading own record failed", "error", err.Error())
		return
	}
	if !s.applyRecord(record) {
		return
	}
	_, m, ok := decodeHost(record)
	if !ok || m.Broken || m.Incarnation != s.Self.Incarnation {
		s.State.LeaseLost(s.Now())
		s.Log.Warn("lease lost", "broken", m.Broken, "epoch", m.Epoch)
		return
	}
	// A write that is still in flight will fail on its revision once this record is
	// renewed, so the witnesses read here hold from then on.
	s.Log.Debug("own record read", "revision", record.Revision, "read_ms", s.Now().Sub(sent).Milliseconds())
}

// failOver breaks the leases of dead peers and claims runners without an owner.
func (s *Service) failOver(ctx context.Context) {
	now := s.Now()
	breakable := s.breakable(now)
	for _, dead := range breakable {
		s.startBreak(ctx, dead)
	}
	s.pruneBreakAttempts(breakable)
	for _, dead := range s.State.RemovableRecords(now, deadRecordRetention) {
		s.removeRecord(ctx, dead)
	}
	s.settleEra(ctx)
	if now.Sub(s.started) < startupSettle || !s.State.JoinsSettled(now, joinSettle) {
		return
	}
	if !s.freshness.confirmedSince(Kind, s.started.Add(joinSettle)) {
		// The first listing lacks hosts that started a moment later. Two hosts would claim
		// each runner, and one of them would read the record to see why it failed.
		return
	}
	for _, claim := range s.State.Claims(s.Runners(), now) {
		s.claim(ctx, claim)
	}
}

// breakable returns the peers to declare dead. After an outage of the store, or of this
// host's path to it, it first leaves the others time to register.
//
// Hosts that restart while the store is away cannot register, so they have no lease and are
// silent. Without this pause they would be declared dead although they live, and their runners
// would change owners several times while requests for them are refused.
func (s *Service) breakable(now time.Time) []DeadHost {
	if back, ok := s.freshness.backSince(Kind); !ok || back < registrationTime {
		return nil
	}
	return s.State.Breakable(now)
}

func (s *Service) claim(ctx context.Context, claim Claim) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	var record registry.Record
	var err error
	if claim.Revision == 0 {
		record, err = s.Store.Create(ctx, Kind, claim.Name, claim.Record)
	} else {
		record, err = s.Store.Update(ctx, Kind, claim.Name, claim.Record, claim.Revision)
	}
	if err != nil {
		s.Log.Info("claiming runner failed", "address", claim.Address, "error", err.Error())
		s.refreshAfterConflict(ctx, claim.Name, err)
		return
	}
	s.applyRecord(record)
	s.Log.Info("runner claimed", "address", claim.Address, "token", fencingToken(record.Era, record.Revision), "epoch", claim.Record.Epoch,
		"replaced_revision", claim.Revision, "replaced_owner", claim.Replaced.Host, "replaced_epoch", claim.Replaced.Epoch, "owner_epoch", claim.ReplacedHost.Epoch, "owner_broken", claim.ReplacedHost.Broken)
}

// refreshAfterConflict reads a record again after a conflict or a lost answer, because the
// watch may be behind.
func (s *Service) refreshAfterConflict(ctx context.Context, name string, cause error) {
	if !registry.IsConflict(cause) && !registry.IsNotFound(cause) && !errors.Is(cause, objectapi.ErrAnswerLost) {
		return
	}
	era := s.fleet.Position().Era
	known, _ := s.fleet.Get(name)
	record, err := s.Store.Get(ctx, Kind, name)
	switch {
	case err == nil:
		s.applyRecord(record)
	case registry.IsNotFound(err):
		s.fleet.Drop(known, era)
	default:
		s.Log.Debug("reading record failed", "record", name, "error", err.Error())
	}
}

func (s *Service) removeRecord(ctx context.Context, dead DeadHost) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	era := s.fleet.Position().Era
	err := s.Store.Delete(ctx, Kind, hostRecordName(dead.Host), dead.Revision)
	if registry.IsNotFound(err) {
		s.fleet.Drop(registry.Record{Name: hostRecordName(dead.Host), Revision: dead.Revision}, era)
		return
	}
	if err != nil {
		s.Log.Debug("removing record of a dead host failed", "peer", dead.Host, "error", err.Error())
		return
	}
	s.Log.Info("record of a dead host removed", "peer", dead.Host)
}
