package entry

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cherrystage/cherrystage/internal/directory"
	"github.com/cherrystage/cherrystage/internal/fleet"
	"github.com/cherrystage/cherrystage/internal/mesh"
	"github.com/cherrystage/cherrystage/internal/peer"
	"github.com/cherrystage/cherrystage/internal/registry"
	"github.com/cherrystage/cherrystage/internal/serve"
	"github.com/cherrystage/cherrystage/internal/site"
	"github.com/cherrystage/cherrystage/internal/streams"
	"github.com/cherrystage/cherrystage/internal/timing"
	"github.com/hashicorp/go-hclog"
)

const (
	// streamHosts is the number of other hosts that are told what began a stream. With half of
	// the hosts lost together, one stream in sixteen is known to none of the four.
	streamHosts = 3
	// lookupHosts is the number of other hosts that are asked. Hosts that joined or left since a
	// stream began shift the ranks of those that were told.
	lookupHosts = streamHosts + 2
	// announceWait bounds how long the first event of a stream is held until another host knows
	// of the stream. The platform counts an event as late after 120 ms.
	announceWait = 60 * time.Millisecond
	// announceTimeout bounds telling one host, lookupTimeout asking one.
	announceTimeout = 400 * time.Millisecond
	lookupTimeout   = 200 * time.Millisecond
	// catchUpPeriod is the age of the streams that are told when it turns out that other versions
	// may begin streams: the longest time limit of callers.
	catchUpPeriod = 20 * time.Second
	// versionRecordInterval is how often the records of versions are checked. The first host in
	// a service's ranking writes its record; each further one waits for an interval more.
	versionRecordInterval = time.Second
)

// Peer methods about the origins of streams.
const (
	methodStreamsBegun = "streams.begun"
	methodStreamOrigin = "streams.origin"
)

// versionRecordPrefix is the name prefix of the records of the versions that may have begun
// streams. They share a record kind with hosts and owners.
const versionRecordPrefix = "streams."

// VersionRecord lists the software versions of a service that may begin streams, or may have begun
// streams that callers may still continue. Its name is versionRecordPrefix and the service's name.
type VersionRecord struct {
	Versions []string `json:"versions"`
}

// BegunParams tells what began streams.
type BegunParams struct {
	Streams []BegunStream `json:"streams"`
}

// BegunStream is a stream and what began it.
type BegunStream struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	Version string `json:"version"`
}

// OriginParams asks what began a stream.
type OriginParams struct {
	ID        string `json:"id"`
	Route     string `json:"route"`
	Resumable bool   `json:"resumable,omitempty"`
}

// OriginResult tells what began a stream. Sole is set if the answering host does not know the
// stream, but only one version can have begun it.
type OriginResult struct {
	Known   bool   `json:"known,omitempty"`
	Sole    bool   `json:"sole,omitempty"`
	Service string `json:"service,omitempty"`
	Version string `json:"version,omitempty"`
}

func (r OriginResult) origin() streams.Origin {
	return streams.Origin{Service: r.Service, Version: r.Version}
}

// streamOrigins implements serve.Streams: it knows, with the other hosts, which software version
// began the streams that callers may continue.
type streamOrigins struct {
	host     string
	mesh     *mesh.State
	pool     *peer.Pool
	store    registry.Store
	origins  *streams.Origins
	versions *streams.Versions
	// age returns the age of the list of runners, recordsAge that of the persistent records, which
	// records holds.
	age, recordsAge func() time.Duration
	records         *registry.Replica
	now             func() time.Time
	log             hclog.Logger

	announced, unannounced, asked atomic.Int64

	// The rest is used by observe only.
	config     *site.Config
	snapshot   *directory.Snapshot
	listed     map[string][]string
	generation int
	stale      bool

	// wantedSince holds since when each record has to be written. Only run uses it.
	wantedSince map[string]time.Time
}

func newStreamOrigins(host string, state *mesh.State, pool *peer.Pool, store registry.Store, now func() time.Time, log hclog.Logger) *streamOrigins {
	return &streamOrigins{
		host: host, mesh: state, pool: pool, store: store, origins: streams.NewOrigins(), versions: streams.NewVersions(now()),
		now: now, log: log, wantedSince: map[string]time.Time{},
	}
}

func (s *streamOrigins) register(mux *peer.Mux) {
	peer.Handle(mux, methodStreamsBegun, func(_ context.Context, _ peer.Identity, p BegunParams) (struct{}, error) {
		now := s.now()
		for _, begun := range p.Streams {
			s.origins.Record(begun.ID, streams.Origin{Service: begun.Service, Version: begun.Version}, false, now)
		}
		return struct{}{}, nil
	})
	peer.Handle(mux, methodStreamOrigin, func(_ context.Context, _ peer.Identity, p OriginParams) (OriginResult, error) {
		return s.knownOrigin(p), nil
	})
}

// asOf returns the time up to which the list of runners is complete.
func (s *streamOrigins) asOf(now time.Time) time.Time { return now.Add(-s.age()) }

// knownOrigin returns what this host knows of a stream.
func (s *streamOrigins) knownOrigin(p OriginParams) OriginResult {
	now := s.now()
	if origin, ok := s.origins.Get(p.ID, now); ok {
		return OriginResult{Known: true, Service: origin.Service, Version: origin.Version}
	}
	if version, ok := s.versions.Sole(p.Route, p.Resumable, s.asOf(now), now); ok {
		return OriginResult{Sole: true, Version: version}
	}
	return OriginResult{}
}

// MayBegin implements serve.Streams.
func (s *streamOrigins) MayBegin(runner *site.Runner) bool {
	return !runner.SoftwareUnknown && s.versions.MayBegin(runner.Service, runner.SoftwareVersion)
}

// OriginOf implements serve.Streams.
func (s *streamOrigins) OriginOf(ctx context.Context, route *site.Route, id string) (streams.Origin, serve.OriginSource) {
	params := OriginParams{ID: id, Route: route.Key(), Resumable: route.Resumable}
	switch known := s.knownOrigin(params); {
	case known.Known:
		return known.origin(), serve.OriginRemembered
	case known.Sole:
		return known.origin(), serve.OriginSole
	}
	return s.askOthers(ctx, params)
}

// askOthers asks the hosts that were most likely told of a stream. Any host's proof that only one
// version can have begun it is as good as another's.
func (s *streamOrigins) askOthers(ctx context.Context, params OriginParams) (streams.Origin, serve.OriginSource) {
	hosts := s.rankedOthers(params.ID)
	hosts = hosts[:min(lookupHosts, len(hosts))]
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	answers := make(chan OriginResult, len(hosts))
	for _, host := range hosts {
		go func() { answers <- s.ask(ctx, host, params) }()
	}
	s.asked.Add(1)
	for range hosts {
		switch answer := <-answers; {
		case answer.Known:
			s.origins.Record(params.ID, answer.origin(), false, s.now())
			return answer.origin(), serve.OriginTold
		case answer.Sole:
			return answer.origin(), serve.OriginSole
		}
	}
	return streams.Origin{}, serve.OriginUnknown
}

func (s *streamOrigins) ask(ctx context.Context, host string, params OriginParams) (result OriginResult) {
	address, ok := s.mesh.AddressOf(host)
	if !ok {
		return OriginResult{}
	}
	if err := s.pool.Call(ctx, address, methodStreamOrigin, params, &result); err != nil {
		s.log.Info("could not ask for a stream's origin", "peer", host, "stream", params.ID, "error", err.Error())
		return OriginResult{}
	}
	return result
}

// rankedOthers returns all other hosts by their rank for a stream.
func (s *streamOrigins) rankedOthers(id string) []string {
	ranked := fleet.Rank(versionRecordPrefix+id, s.mesh.Members())
	return slices.DeleteFunc(ranked, func(host string) bool { return host == s.host })
}

// RecordBegin implements serve.Streams. It returns once another host knows of the stream, or after
// announceWait: the caller may continue a stream that no other host knows only at this one.
func (s *streamOrigins) RecordBegin(ctx context.Context, route *site.Route, id string, origin streams.Origin) {
	now := s.now()
	s.origins.Record(id, origin, true, now)
	if !s.versions.Announces(route.Key(), s.asOf(now), now) {
		return
	}
	hosts := s.rankedOthers(id)
	if len(hosts) == 0 {
		return
	}
	told := make(chan struct{}, streamHosts)
	params := BegunParams{Streams: []BegunStream{{ID: id, Service: origin.Service, Version: origin.Version}}}
	for rank := range min(streamHosts, len(hosts)) {
		go s.tellOne(hosts, rank, params, told)
	}
	timer := time.NewTimer(announceWait)
	defer timer.Stop()
	select {
	case <-told:
		s.announced.Add(1)
	case <-timer.C:
		s.unannounced.Add(1)
	case <-ctx.Done():
	}
}

// tellOne tells the host of a rank, or if that one cannot be told, the one streamHosts after it.
func (s *streamOrigins) tellOne(hosts []string, rank int, params BegunParams, told chan<- struct{}) {
	for ; rank < len(hosts) && rank < 2*streamHosts; rank += streamHosts {
		if s.tell(hosts[rank], params) {
			told <- struct{}{}
			return
		}
	}
}

func (s *streamOrigins) tell(host string, params BegunParams) bool {
	address, ok := s.mesh.AddressOf(host)
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), announceTimeout)
	defer cancel()
	if err := s.pool.Call(ctx, address, methodStreamsBegun, params, nil); err != nil {
		s.log.Info("could not tell what began streams", "peer", host, "streams", len(params.Streams), "error", err.Error())
		return false
	}
	return true
}

// observe takes note of the listed versions. When a second one turns up, or this host cannot show
// any more that there is none, it tells others of the streams that it has begun lately.
//
// asOf is the time up to which the list of runners was complete before the snapshot was taken.
func (s *streamOrigins) observe(snapshot *directory.Snapshot, asOf time.Time) {
	now := s.now()
	if snapshot.Config != nil && snapshot.Config != s.config {
		s.config = snapshot.Config
		s.versions.SetTargets(s.config.StreamTargets(), now)
	}
	// The replica's position would be too early: until the records are applied, a version that stands
	// in one of them would not count among those that may have begun a stream.
	if s.mesh.RecordsApplied() {
		s.versions.SetRecordsKnown()
	}
	if !snapshot.RunnersKnown {
		return
	}
	if snapshot != s.snapshot {
		s.snapshot, s.listed = snapshot, listedVersions(snapshot)
	}
	s.versions.Observe(streams.Observation{AsOf: asOf, RecordsAsOf: now.Add(-s.recordsAge()), Versions: s.listed}, now)
	stale := now.Sub(asOf) >= streams.AnnounceAge
	if generation := s.versions.Generation(); generation != s.generation || stale && !s.stale {
		s.generation = generation
		s.catchUp(asOf, now)
	}
	s.stale = stale
}

// listedVersions returns the software versions of each service's listed runners.
func listedVersions(snapshot *directory.Snapshot) map[string][]string {
	listed := map[string][]string{}
	for _, runner := range snapshot.Runners {
		if !runner.SoftwareUnknown && !slices.Contains(listed[runner.Service], runner.SoftwareVersion) {
			listed[runner.Service] = append(listed[runner.Service], runner.SoftwareVersion)
		}
	}
	return listed
}

// catchUp tells other hosts of the streams that this host began lately, if they are to know.
func (s *streamOrigins) catchUp(asOf, now time.Time) {
	if !s.versions.AnnouncesAny(asOf, now) {
		return
	}
	byHost := map[string][]BegunStream{}
	own := s.origins.Own(now.Add(-catchUpPeriod))
	for id, origin := range own {
		hosts := s.rankedOthers(id)
		for _, host := range hosts[:min(streamHosts, len(hosts))] {
			byHost[host] = append(byHost[host], BegunStream{ID: id, Service: origin.Service, Version: origin.Version})
		}
	}
	if len(own) > 0 {
		s.log.Info("telling other hosts what began streams", "streams", len(own), "hosts", len(byHost), "runners_age_ms", now.Sub(asOf).Milliseconds())
	}
	for host, begun := range byHost {
		go s.tell(host, BegunParams{Streams: begun})
	}
}

// applyRecords applies records of versions.
func (s *streamOrigins) applyRecords(changes []registry.Change) {
	for _, change := range changes {
		service, ok := strings.CutPrefix(change.Name, versionRecordPrefix)
		if !ok {
			continue
		}
		var record VersionRecord
		if !change.Removed {
			if err := json.Unmarshal(change.Spec, &record); err != nil {
				s.log.Warn("malformed record of versions", "record", change.Name, "error", err.Error())
				continue
			}
		}
		s.versions.SetRecord(service, record.Versions, s.now())
		s.log.Info("versions that may begin streams", "service", service, "versions", record.Versions, "revision", change.Revision)
	}
}

// run writes the records of versions until ctx is done.
func (s *streamOrigins) run(ctx context.Context) {
	timing.Every(ctx, versionRecordInterval, func() { s.syncRecords(ctx) })
}

// syncRecords writes the records that differ from what they should list. Each host that ranks
// lower for a service waits for longer, so that one host writes unless it cannot.
func (s *streamOrigins) syncRecords(ctx context.Context) {
	now := s.now()
	wanted := s.versions.WantedRecords(s.asOf(now), now)
	for service := range s.wantedSince {
		if wanted[service] == nil {
			delete(s.wantedSince, service)
		}
	}
	for service, versions := range wanted {
		since, ok := s.wantedSince[service]
		if !ok {
			since = now
			s.wantedSince[service] = now
		}
		rank := slices.Index(fleet.Rank(versionRecordPrefix+service, s.mesh.Members()), s.host)
		if rank >= 0 && now.Sub(since) >= time.Duration(rank)*versionRecordInterval {
			s.writeRecord(ctx, service, versions)
		}
	}
}

func (s *streamOrigins) writeRecord(ctx context.Context, service string, versions []string) {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	name, spec := versionRecordPrefix+service, VersionRecord{Versions: versions}
	var record registry.Record
	var err error
	if known, exists := s.records.Get(name); exists {
		record, err = s.store.Update(ctx, mesh.Kind, name, spec, known.Revision)
	} else {
		record, err = s.store.Create(ctx, mesh.Kind, name, spec)
	}
	if err != nil {
		s.log.Info("could not write the record of versions", "service", service, "versions", versions, "error", err.Error())
		return
	}
	s.records.Put(record)
	s.log.Info("record of versions written", "service", service, "versions", versions, "revision", record.Revision)
}
