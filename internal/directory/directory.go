// Package directory maintains a host's view of its deployment: the
// configuration in force, the runners, and the newest versions of adapters.
// Readers take an immutable snapshot without locking.
package directory

import (
	"encoding/json"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cherrystage/cherrystage/internal/awake"
	"github.com/cherrystage/cherrystage/internal/registry"
	"github.com/cherrystage/cherrystage/internal/site"
	"github.com/cherrystage/cherrystage/internal/standstill"
	"github.com/hashicorp/go-hclog"
)

// outageGrace is how long after a store outage, or after the store was restored from an
// older copy, a runner whose entry is missing is kept. Entries expire while the store is
// unreachable, and live runners rewrite theirs within about two seconds of its return.
// Without the grace period every outage would remove all runners at once.
const outageGrace = 2300 * time.Millisecond

// Decoder decodes the platform's records.
type Decoder interface {
	Config(spec json.RawMessage) (*site.Config, error)
	// StripConfig replaces callers' keys in a configuration by their digests. It is
	// idempotent, and Config accepts both forms.
	StripConfig(spec json.RawMessage) json.RawMessage
	Runner(name string, spec json.RawMessage) (*site.Runner, error)
	// StripRunner removes the fields of a runner's entry that Runner does not read.
	StripRunner(spec json.RawMessage) json.RawMessage
	AdapterVersion(spec json.RawMessage) (site.AdapterVersion, error)
	// StripAdapterVersion removes the fields of a version's record that AdapterVersion
	// does not read.
	StripAdapterVersion(spec json.RawMessage) json.RawMessage
}

// Snapshot is the host's view at one moment. It is immutable.
type Snapshot struct {
	// Config is nil until a configuration has been received.
	Config *site.Config
	// Runners holds all runners, including leaving ones, by the ID of their lifetime.
	Runners map[string]*site.Runner
	// ByService holds the runners of each service that may receive work, sorted by
	// address, at most one per address.
	ByService map[string][]*site.Runner
	Versions  map[site.Adapter]int64
	// RunnersKnown reports whether the full list of runners has been read at least once.
	RunnersKnown bool
}

// IsEngine reports whether a service's runners are model engines.
func (s *Snapshot) IsEngine(service string) bool {
	if s.Config == nil {
		return false
	}
	configured := s.Config.Services[service]
	return configured != nil && configured.Engine != nil
}

// Directory builds snapshots from records. It is safe for concurrent use.
type Directory struct {
	decoder Decoder
	log     hclog.Logger
	now     func() time.Time

	// Configs, Runners and Versions receive the store's records. Changes to them update the
	// snapshot.
	Configs  *registry.Replica
	Runners  *registry.Replica
	Versions *registry.Replica

	// Standstill knows for which time this process could not run; nil stands for never. It must
	// be set before the replicas receive data.
	Standstill *standstill.Monitor

	// OnRunner and OnVersion are called on changes. They may be nil and must be set
	// before the replicas receive data.
	OnRunner  func(changed *site.Runner, removed bool)
	OnVersion func(version site.AdapterVersion)

	mu     sync.Mutex
	config *site.Config
	// runners holds the runners' entries by instance. lapsed holds the instances whose
	// entries are missing after a store outage or a restore, with the beginning of their
	// grace period.
	runners map[string]runnerEntry
	lapsed  map[string]time.Time
	// leavingSince holds the lifetimes that reported that they are leaving, and when.
	leavingSince map[string]time.Time
	// removedAt holds the lifetimes whose entries were removed, and when. distrusted holds
	// those that are treated as leaving whatever the store says, and since when.
	removedAt    map[string]time.Time
	distrusted   map[string]time.Time
	versions     map[site.Adapter]int64
	runnersKnown bool
	// graceSince is when the latest grace period for missing runners began.
	graceSince time.Time
	snapshot   atomic.Pointer[Snapshot]
}

// runnerEntry is a runner with the revision of its entry in the store.
type runnerEntry struct {
	*site.Runner
	revision uint64
}

// New returns an empty directory.
func New(decoder Decoder, now func() time.Time, log hclog.Logger) *Directory {
	d := &Directory{
		decoder:      decoder,
		log:          log,
		now:          now,
		Configs:      registry.NewContentReplica(decoder.StripConfig),
		Runners:      registry.NewContentReplica(decoder.StripRunner),
		Versions:     registry.NewContentReplica(decoder.StripAdapterVersion),
		runners:      map[string]runnerEntry{},
		lapsed:       map[string]time.Time{},
		leavingSince: map[string]time.Time{},
		removedAt:    map[string]time.Time{},
		distrusted:   map[string]time.Time{},
		versions:     map[site.Adapter]int64{},
	}
	d.Configs.OnChange = d.handleConfigChanges
	d.Runners.OnEra = d.handleNewEra
	d.Runners.OnChange = d.handleRunnerChanges
	d.Versions.OnChange = d.handleVersionChanges
	d.snapshot.Store(&Snapshot{})
	return d
}

// Snapshot returns the current view.
func (d *Directory) Snapshot() *Snapshot { return d.snapshot.Load() }

// OutageEnded starts the grace period for missing runners after the store was unreachable.
func (d *Directory) OutageEnded() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.graceSince = d.now()
}

// graceLeft returns how much of a grace period is left that began at a time. The time for which this
// host stood still does not count: runners have written their entries meanwhile, and the changes lie
// unread in a socket. The lock is held.
func (d *Directory) graceLeft(since, now time.Time) time.Duration {
	return outageGrace - awake.Between(d.Standstill, since, now)
}

func (d *Directory) handleConfigChanges(changes []registry.Change, _ bool) {
	for _, change := range changes {
		if change.Removed {
			continue
		}
		start := d.now()
		config, err := d.decoder.Config(change.Spec)
		if err != nil {
			d.log.Error("configuration cannot be decoded; the previous one stays in force", "revision", change.Revision, "error", err.Error())
			continue
		}
		d.applyConfig(config, change.Revision, len(change.Spec), start)
	}
}

// applyConfig puts a configuration in force if it is newer than the current one. A host
// never returns to an older configuration while its process runs.
func (d *Directory) applyConfig(config *site.Config, revision uint64, bytes int, start time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.config != nil && config.Version <= d.config.Version {
		return
	}
	d.config = config
	d.publish()
	d.log.Info("configuration in force", "version", config.Version, "revision", revision, "routes", config.Len(), "bytes", bytes, "read_ms", d.now().Sub(start).Milliseconds(),
		"keys_needed", config.Workspaces != nil, "workspaces", len(config.Workspaces.Names()))
	if config.Workspaces != nil && len(config.Workspaces.WithSharedKey) > 0 {
		d.log.Error("key is assigned to two workspaces; the first one listed keeps it", "version", config.Version, "workspaces", config.Workspaces.WithSharedKey)
	}
}

func (d *Directory) handleRunnerChanges(changes []registry.Change, full bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	for _, change := range changes {
		d.handleRunnerChange(change, now)
	}
	d.runnersKnown = d.runnersKnown || full
	d.publish()
}

func (d *Directory) handleRunnerChange(change registry.Change, now time.Time) {
	if change.Removed {
		if left := d.graceLeft(d.graceSince, now); left > 0 {
			d.lapsed[change.Name] = d.graceSince
			d.log.Info("runner missing after an outage or a restore of the store; keeping it for the grace period", "runner", change.Name, "believed_ms", left.Milliseconds())
			return
		}
		d.recordRemoval(change.Name, now)
		d.removeRunner(change.Name, "entry removed")
		return
	}
	runner, err := d.decoder.Runner(change.Name, change.Spec)
	if err != nil {
		d.log.Error("runner entry cannot be decoded", "runner", change.Name, "revision", change.Revision, "error", err.Error())
		d.removeRunner(change.Name, "entry cannot be decoded")
		return
	}
	delete(d.lapsed, change.Name)
	d.putRunner(runner, change.Revision)
}

// putRunner adds or updates a runner's entry. The lock is held.
func (d *Directory) putRunner(runner *site.Runner, revision uint64) {
	before, known := d.runners[runner.Instance]
	if known && runner.StartedMS == 0 && before.StartedMS != 0 {
		runner = runner.WithStart(before.StartedMS)
	}
	if known && runner.StartedMS < before.StartedMS {
		// The store applied a write of the previous lifetime late. Accepting it would
		// send all hosts back to a process that no longer exists.
		d.log.Info("ignoring entry of an earlier lifetime", "runner", runner.ID, "instead_of", before.ID, "revision", revision)
		return
	}
	if known && before.ID != runner.ID {
		d.removeRunner(runner.Instance, "restarted")
	}
	d.runners[runner.Instance] = runnerEntry{Runner: runner, revision: revision}
	if !known || before.ID != runner.ID || before.Leaving != runner.Leaving {
		d.log.Info("runner listed", "runner", runner.ID, "service", runner.Service, "address", runner.Address, "data_centre", runner.DataCentre, "leaving", runner.Leaving, "software_version", runner.SoftwareVersion, "revision", revision)
	}
	if d.OnRunner != nil {
		d.OnRunner(runner, false)
	}
}

// MarkRestarted records that a runner reported a restart under the same instance before
// its entry shows it. While the runner is partitioned from the store its entry stays
// unchanged, and this host would wait for adapters of the previous lifetime.
func (d *Directory) MarkRestarted(instance string, startedMS int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	known, ok := d.runners[instance]
	if !ok || startedMS <= known.StartedMS {
		return
	}
	restarted := known.WithStart(startedMS)
	restarted.SoftwareUnknown = true
	d.putRunner(restarted, known.revision)
	d.publish()
}

// leavingRetention is how long a runner's report that it is leaving is kept. Its process
// ends long before.
const leavingRetention = 10 * time.Minute

// MarkLeaving records a lifetime's own report that it is leaving, and returns whether it is
// new. The report holds for the rest of the lifetime, whatever its entry says.
//
// While the store takes no writes the entry of a leaving runner still says ready, and a
// write applied late says so again. If the entry took precedence, the runner would get
// requests that it cannot finish.
func (d *Directory) MarkLeaving(id string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	if _, known := d.leavingSince[id]; known {
		return false
	}
	for other, since := range d.leavingSince {
		if now.Sub(since) > leavingRetention {
			delete(d.leavingSince, other)
		}
	}
	d.leavingSince[id] = now
	d.publish()
	if runner, ok := d.runners[site.InstanceOf(id)]; ok && d.OnRunner != nil {
		d.OnRunner(runner.Runner, false)
	}
	return true
}

// maxLeavingReported bounds how many leaving runners a host reports to a peer at a time.
const maxLeavingReported = 32

// UnlistedLeaving returns up to maxLeavingReported runners that reported that they are
// leaving while their entries do not say so.
func (d *Directory) UnlistedLeaving() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var ids []string
	for _, runner := range d.runners {
		if _, leaving := d.leavingSince[runner.ID]; leaving && !runner.Leaving && len(ids) < maxLeavingReported {
			ids = append(ids, runner.ID)
		}
	}
	return ids
}

// effectiveRunner returns a runner with Leaving set if its entry or its own report says so,
// or while the store is not trusted about it. The lock is held.
func (d *Directory) effectiveRunner(runner *site.Runner) *site.Runner {
	_, leaving := d.leavingSince[runner.ID]
	_, distrusted := d.distrusted[runner.ID]
	if runner.Leaving || !leaving && !distrusted {
		return runner
	}
	marked := *runner
	marked.Leaving = true
	return &marked
}

const (
	// removalRetention is how long the removal of an entry is remembered. An older copy that
	// the store is restored from is some seconds old.
	removalRetention = 30 * time.Second
	// distrustPeriod is how long a restored store is not trusted about the presence of a
	// runner that left. It is longer than three heartbeats of a runner, after which the
	// entry of a runner that no longer exists expires again.
	distrustPeriod = 6 * time.Second
)

// recordRemoval records that the entry of an instance was removed. The lock is held.
func (d *Directory) recordRemoval(instance string, now time.Time) {
	for id, since := range d.removedAt {
		if now.Sub(since) > removalRetention {
			delete(d.removedAt, id)
		}
	}
	if runner, ok := d.runners[instance]; ok {
		d.removedAt[runner.ID] = now
	}
}

// handleNewEra handles a store that was restored from an older copy.
//
// The copy may list a runner as ready that has left or no longer exists, until the runner
// writes its state again or its entry expires. Trusting it would send the runner requests
// long after the store acknowledged that it is leaving, and its responses would be cut off.
// The copy may also lack a live runner. If that one were removed, its callers would be
// refused until its entry is back.
func (d *Directory) handleNewEra(registry.Era) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	d.graceSince = now
	for instance, runner := range d.runners {
		// Revisions of the previous era cannot be compared with those of the new one.
		runner.revision = 0
		d.runners[instance] = runner
		if d.effectiveRunner(runner.Runner).Leaving {
			d.distrusted[runner.ID] = now
		}
	}
	for id, since := range d.removedAt {
		if now.Sub(since) <= removalRetention {
			d.distrusted[id] = now
		}
	}
}

// removeRunner removes a runner by its instance. The lock is held.
func (d *Directory) removeRunner(instance, reason string) {
	runner, ok := d.runners[instance]
	if !ok {
		return
	}
	delete(d.runners, instance)
	delete(d.lapsed, instance)
	d.log.Info("runner gone", "runner", runner.ID, "service", runner.Service, "reason", reason)
	if d.OnRunner != nil {
		d.OnRunner(runner.Runner, true)
	}
}

// Expire removes runners whose grace period is over, and trusts the store again about
// runners whose distrust period is over.
func (d *Directory) Expire() {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	changed := false
	for instance, since := range d.lapsed {
		if d.graceLeft(since, now) > 0 {
			continue
		}
		d.removeRunner(instance, "still missing at the end of the grace period")
		delete(d.lapsed, instance)
		changed = true
	}
	for id, since := range d.distrusted {
		if awake.Between(d.Standstill, since, now) < distrustPeriod {
			continue
		}
		delete(d.distrusted, id)
		changed = true
	}
	if changed {
		d.publish()
	}
}

func (d *Directory) handleVersionChanges(changes []registry.Change, _ bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, change := range changes {
		if change.Removed {
			continue
		}
		d.handleVersionChange(change)
	}
	d.publish()
}

func (d *Directory) handleVersionChange(change registry.Change) {
	version, err := d.decoder.AdapterVersion(change.Spec)
	if err != nil {
		d.log.Error("adapter version cannot be decoded", "record", change.Name, "error", err.Error())
		return
	}
	if version.Version <= d.versions[version.Adapter] {
		return
	}
	d.versions[version.Adapter] = version.Version
	d.log.Info("adapter version in force", "adapter", version.Adapter.String(), "version", version.Version, "revision", change.Revision)
	if d.OnVersion != nil {
		d.OnVersion(version)
	}
}

// publish replaces the snapshot. The lock is held.
func (d *Directory) publish() {
	next := &Snapshot{
		Config:       d.config,
		Runners:      make(map[string]*site.Runner, len(d.runners)),
		ByService:    map[string][]*site.Runner{},
		Versions:     make(map[site.Adapter]int64, len(d.versions)),
		RunnersKnown: d.runnersKnown,
	}
	newest := d.newestByAddress()
	for _, entry := range d.runners {
		runner := d.effectiveRunner(entry.Runner)
		next.Runners[runner.ID] = runner
		if !runner.Leaving && newest[runner.Address].Instance == runner.Instance {
			next.ByService[runner.Service] = append(next.ByService[runner.Service], runner)
		}
	}
	for _, runners := range next.ByService {
		sort.Slice(runners, func(i, j int) bool { return runners[i].Address < runners[j].Address })
	}
	for adapter, version := range d.versions {
		next.Versions[adapter] = version
	}
	d.snapshot.Store(next)
}

// newestByAddress returns the newest runner at each address. The lock is held. A process
// that crashed and restarted under another instance is listed twice until its former entry
// expires; requests sent to the former instance would be refused for seconds.
func (d *Directory) newestByAddress() map[string]runnerEntry {
	byAddress := make(map[string]runnerEntry, len(d.runners))
	for _, runner := range d.runners {
		other, ok := byAddress[runner.Address]
		if !ok || runner.supersedes(other) {
			byAddress[runner.Address] = runner
		}
	}
	return byAddress
}

// supersedes reports whether a runner took over the address of another one. Where a start
// time is unknown, the entry written last is the newer one.
func (e runnerEntry) supersedes(other runnerEntry) bool {
	if e.StartedMS != other.StartedMS && e.StartedMS != 0 && other.StartedMS != 0 {
		return e.StartedMS > other.StartedMS
	}
	if e.revision != other.revision {
		return e.revision > other.revision
	}
	return e.Instance > other.Instance
}
