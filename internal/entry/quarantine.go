package entry

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cherrystage/cherrystage/internal/board"
	"github.com/cherrystage/cherrystage/internal/fleet"
	"github.com/cherrystage/cherrystage/internal/mesh"
	"github.com/cherrystage/cherrystage/internal/peer"
	"github.com/cherrystage/cherrystage/internal/quarantine"
	"github.com/cherrystage/cherrystage/internal/registry"
	"github.com/hashicorp/go-hclog"
)

const (
	// countingHosts is the number of hosts that count the runner crashes caused by a request.
	// Any one of them suffices, so two may be lost together with their counts.
	countingHosts = 3
	// pendingInterval is how often truncated responses are checked while some are pending.
	pendingInterval = 100 * time.Millisecond
	// recordInterval is how often persistent records are synced while the quarantine is
	// not empty. Until a record is written, a loss of all hosts forgets what it is about.
	recordInterval = 200 * time.Millisecond
	// recordRetryPause is the pause after a write that failed.
	recordRetryPause = time.Second
	// quarantineTimeout bounds a call to a peer. A lost packet is retransmitted after
	// about 250 ms.
	quarantineTimeout = 400 * time.Millisecond
	// recordTimeout bounds a write to the store.
	recordTimeout = time.Second
	// reportRounds is the number of rounds in which lower-ranked hosts replace those that do
	// not respond. With half of the hosts lost or partitioned off, one request in eight
	// reaches none of its first three; after four rounds one in 4,096 reaches none. They take
	// 1.6 of the three seconds in which hosts are to agree.
	reportRounds = 4
	// maxLoggedParts bounds the log lines on the parts of prompts that one crash is counted against.
	maxLoggedParts = 16
	// minBroadcastInterval is the least time between two rounds of extra heartbeats, which
	// send five messages each.
	minBroadcastInterval = 100 * time.Millisecond
)

// Peer methods that exchange quarantined requests.
const (
	methodTruncations = "quarantine.cuts"
	methodEntries     = "quarantine.list"
)

// TruncationsParams reports truncated responses.
type TruncationsParams struct {
	Truncations []TruncationParams `json:"cuts"`
	// Parts reports them against parts of their prompts.
	Parts []PartTruncations `json:"parts,omitempty"`
}

// TruncationParams is a truncated response.
type TruncationParams struct {
	Content quarantine.Fingerprint `json:"content"`
	// Depth is as in quarantine.Subject.
	Depth  int    `json:"depth,omitempty"`
	Runner string `json:"runner"`
	AgeMS  int64  `json:"age_ms"`
	// LastedMS is how long the runner had been processing the request.
	LastedMS int64 `json:"lasted_ms"`
}

func (p TruncationParams) truncation(now time.Time) quarantine.Truncation {
	return quarantine.Truncation{
		Content: p.Content, Depth: p.Depth, Runner: p.Runner, At: now.Add(-time.Duration(p.AgeMS) * time.Millisecond),
		Elapsed: time.Duration(p.LastedMS) * time.Millisecond,
	}
}

func newTruncationParams(truncation quarantine.Truncation, now time.Time) TruncationParams {
	return TruncationParams{Content: truncation.Content, Depth: truncation.Depth, Runner: truncation.Runner, AgeMS: now.Sub(truncation.At).Milliseconds(), LastedMS: truncation.Elapsed.Milliseconds()}
}

// EntriesResult holds a host's quarantine entries.
type EntriesResult struct {
	Entries []quarantine.Entry `json:"entries"`
}

// recordPrefix is the name prefix of persistent records of quarantined requests. They
// share a record kind with hosts and owners.
const recordPrefix = "content."

// QuarantineRecord is the persistent record of a quarantined request. Its name is
// recordPrefix and the content's fingerprint, Round that of its quarantine.Entry.
type QuarantineRecord struct {
	Round int `json:"round"`
}

// quarantineSync keeps this host's quarantine of requests that crash runners in sync with
// those of its peers and with the store.
type quarantineSync struct {
	host       string
	quarantine *quarantine.Quarantine
	mesh       *mesh.State
	pool       *peer.Pool
	store      registry.Store
	board      *board.Board
	now        func() time.Time
	log        hclog.Logger
	// liveness returns what is known of a runner since a time.
	liveness func(runner string, since time.Time) quarantine.Liveness
	// broadcast sends heartbeats at once.
	broadcast func()
	// records holds the persistent records.
	records *registry.Replica

	// broadcastDigest is the digest last broadcast, at broadcastAt. Only run uses them.
	broadcastDigest uint64
	broadcastAt     time.Time

	// recordRetryAt is when records are written again after a failure. Only run uses it.
	recordRetryAt time.Time

	// fetching is set while entries are fetched from a peer.
	fetching atomic.Bool
}

func newQuarantineSync(host string, state *mesh.State, pool *peer.Pool, store registry.Store, b *board.Board, now func() time.Time, log hclog.Logger) *quarantineSync {
	s := &quarantineSync{
		host: host, quarantine: quarantine.New(), mesh: state, pool: pool, store: store, board: b, now: now, log: log,
	}
	s.liveness = s.livenessByResponses
	s.quarantine.SetTrialDecider(func(content quarantine.Fingerprint) bool {
		ranked := s.rankedHosts(content)
		return len(ranked) > 0 && ranked[0] == host
	})
	return s
}

// livenessByResponses returns what this host's own responses tell of a runner.
func (s *quarantineSync) livenessByResponses(runner string, since time.Time) quarantine.Liveness {
	if s.board.RespondedSince(runner, since) {
		return quarantine.Alive
	}
	return quarantine.Silent
}

func (s *quarantineSync) register(mux *peer.Mux) {
	peer.Handle(mux, methodTruncations, func(_ context.Context, from peer.Identity, p TruncationsParams) (struct{}, error) {
		now := s.now()
		for _, params := range p.Truncations {
			s.countTruncation(params.truncation(now), from.Host)
		}
		for _, params := range p.Parts {
			truncations, err := params.truncations(now)
			if err != nil {
				return struct{}{}, err
			}
			s.countParts(truncations, from.Host)
		}
		return struct{}{}, nil
	})
	peer.Handle(mux, methodEntries, func(context.Context, peer.Identity, struct{}) (EntriesResult, error) {
		return EntriesResult{Entries: s.quarantine.Entries(s.now())}, nil
	})
}

// run reports, broadcasts and records until ctx is done. It sleeps while there is nothing
// to do.
func (s *quarantineSync) run(ctx context.Context) {
	var recordedAt time.Time
	for ctx.Err() == nil {
		s.reportDue(ctx)
		s.broadcastNews()
		if s.now().Sub(recordedAt) >= recordInterval {
			recordedAt = s.now()
			s.quarantine.Prune(s.now())
			s.syncRecords(ctx)
		}
		s.wait(ctx)
	}
}

func (s *quarantineSync) wait(ctx context.Context) {
	var due <-chan time.Time
	switch {
	case s.hasNews():
		due = time.After(minBroadcastInterval)
	case s.quarantine.Pending():
		due = time.After(pendingInterval)
	case s.quarantine.Size() > 0:
		due = time.After(recordInterval)
	}
	select {
	case <-ctx.Done():
	case <-due:
	case <-s.quarantine.Wakeups():
	}
}

// reportDue reports truncated responses to their counting hosts. It counts them locally as
// well, since a host that is partitioned off has only its own counts.
func (s *quarantineSync) reportDue(ctx context.Context) {
	due, dropped := s.quarantine.TakeDue(s.now(), s.liveness)
	if dropped > 0 {
		s.log.Warn("dropped reports of truncated responses: too many at once", "dropped", dropped)
	}
	if len(due) == 0 {
		return
	}
	s.log.Info("reporting truncated responses", "cuts", len(due), "runner", due[0].Runner)
	reports := make([]*truncationReport, 0, len(due))
	requests, parts := splitTruncations(due)
	for _, truncation := range requests {
		s.countTruncation(truncation, s.host)
		reports = append(reports, newTruncationReport(truncation, s.rankedHosts(truncation.Content), s.host))
	}
	for _, ofCrash := range parts {
		s.countParts(ofCrash, s.host)
		reports = append(reports, newPartsReport(ofCrash, s.hostsForParts(), s.host))
	}
	go s.reportAll(ctx, reports)
}

// hostsForParts returns all hosts by their rank as counting hosts of parts of prompts. The same hosts
// count all parts: a prompt may name thousands, and a report to other hosts for each of them would go to
// all hosts of a large fleet.
func (s *quarantineSync) hostsForParts() []string {
	return fleet.Rank(recordPrefix+"parts", s.mesh.Members())
}

// rankedHosts returns all hosts by their rank as counting hosts of a request.
func (s *quarantineSync) rankedHosts(content quarantine.Fingerprint) []string {
	return fleet.Rank(recordPrefix+content.String(), s.mesh.Members())
}

// reportAll sends the reports, batched by host.
func (s *quarantineSync) reportAll(ctx context.Context, reports []*truncationReport) {
	for range reportRounds {
		byHost := map[string][]*truncationReport{}
		for _, r := range reports {
			for _, host := range r.nextHosts() {
				byHost[host] = append(byHost[host], r)
			}
		}
		if len(byHost) == 0 {
			return
		}
		var wg sync.WaitGroup
		for host, batch := range byHost {
			wg.Go(func() {
				if s.reportTo(ctx, host, batch) {
					acknowledged(batch)
				}
			})
		}
		wg.Wait()
	}
}

// reportTo sends reports to one host and returns whether it received them.
func (s *quarantineSync) reportTo(ctx context.Context, host string, reports []*truncationReport) bool {
	address, ok := s.mesh.AddressOf(host)
	if !ok {
		return false
	}
	now := s.now()
	var params TruncationsParams
	for _, r := range reports {
		if r.parts != nil {
			params.Parts = append(params.Parts, newPartTruncations(r.parts, now))
			continue
		}
		params.Truncations = append(params.Truncations, newTruncationParams(r.truncation, now))
	}
	ctx, cancel := context.WithTimeout(ctx, quarantineTimeout)
	defer cancel()
	if err := s.pool.Call(ctx, address, methodTruncations, params, nil); err != nil {
		s.log.Info("could not report truncated responses", "peer", host, "cuts", len(params.Truncations), "crashes_with_parts", len(params.Parts), "error", err.Error())
		return false
	}
	return true
}

// countTruncation counts a truncated response.
func (s *quarantineSync) countTruncation(truncation quarantine.Truncation, from string) {
	s.logCount(truncation, s.quarantine.Count(truncation, s.now()), from)
}

// countParts counts the truncations of one crash against parts of prompts. Of thousands it logs only some.
func (s *quarantineSync) countParts(truncations []quarantine.Truncation, from string) {
	lines := 0
	for i, counted := range s.quarantine.CountAll(truncations, s.now()) {
		if lines < maxLoggedParts && s.logCount(truncations[i], counted, from) {
			lines++
		}
	}
}

// logCount logs the count of crashes against a subject if there are several, and reports whether it did.
func (s *quarantineSync) logCount(truncation quarantine.Truncation, counted quarantine.CountResult, from string) bool {
	worthLogging := counted.Crashes > 1 || counted.Suspected
	if worthLogging {
		s.log.Info("request crashes runners", "content", truncation.Content.String(), "depth", truncation.Depth, "ends", counted.Crashes, "runner", truncation.Runner, "reported_by", from,
			"age_ms", s.now().Sub(truncation.At).Milliseconds(), "lasted_ms", truncation.Elapsed.Milliseconds(), "suspected", counted.Suspected)
	}
	return worthLogging
}

// hasNews reports whether the quarantine changed since the last broadcast.
func (s *quarantineSync) hasNews() bool { return s.quarantine.Digest() != s.broadcastDigest }

// broadcastNews sends heartbeats at once if the quarantine changed.
func (s *quarantineSync) broadcastNews() {
	now := s.now()
	if !s.hasNews() || now.Sub(s.broadcastAt) < minBroadcastInterval {
		return
	}
	s.broadcastDigest, s.broadcastAt = s.quarantine.Digest(), now
	s.broadcast()
}

// onPeerDigest fetches a peer's entries if its digest differs from this host's. It fetches
// from one peer at a time: all peers that have a change announce it at once, with the same
// content.
func (s *quarantineSync) onPeerDigest(host string, digest uint64) {
	if digest == 0 || digest == s.quarantine.Digest() || !s.fetching.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer s.fetching.Store(false)
		s.fetchEntries(host)
	}()
}

func (s *quarantineSync) fetchEntries(host string) {
	address, ok := s.mesh.AddressOf(host)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), quarantineTimeout)
	defer cancel()
	var result EntriesResult
	if err := s.pool.Call(ctx, address, methodEntries, struct{}{}, &result); err != nil {
		s.log.Info("could not fetch quarantine entries", "peer", host, "error", err.Error())
		return
	}
	for _, update := range s.quarantine.Merge(result.Entries, s.now()) {
		s.logUpdate(update, host)
	}
}

func (s *quarantineSync) logUpdate(update quarantine.Entry, from string) {
	message := "request quarantined"
	if update.Cleared {
		message = "request cleared: it received a complete response"
	}
	s.log.Info(message, "content", update.Content.String(), "depth", update.Depth, "round", update.Round, "age_ms", update.AgeMS, "ends", len(update.Crashes), "from", from)
}

// applyRecords applies persistent records to the quarantine.
func (s *quarantineSync) applyRecords(changes []registry.Change) {
	for _, change := range changes {
		name, ok := strings.CutPrefix(change.Name, recordPrefix)
		if !ok || change.Removed {
			continue
		}
		var content quarantine.Fingerprint
		var record QuarantineRecord
		if err := content.UnmarshalText([]byte(name)); err != nil {
			s.log.Warn("malformed quarantine record", "record", change.Name, "error", err.Error())
			continue
		}
		if err := json.Unmarshal(change.Spec, &record); err != nil || record.Round < 1 {
			s.log.Warn("malformed quarantine record", "record", change.Name, "spec", string(change.Spec))
			continue
		}
		if s.quarantine.Restore(content, record.Round, s.now()) {
			s.log.Info("request quarantined", "content", content.String(), "round", record.Round, "from", "a record in the store")
		}
	}
}

// syncRecords creates and deletes persistent records as the quarantine requires. The
// first-ranked counting host of a request does so; if that host is lost, the next one takes
// over once its lease expires.
func (s *quarantineSync) syncRecords(ctx context.Context) {
	if s.quarantine.Size() == 0 || s.now().Before(s.recordRetryAt) {
		return
	}
	persistent := s.quarantine.Snapshot(s.now())
	for _, e := range s.quarantine.Entries(s.now()) {
		if ranked := s.rankedHosts(e.Content); len(ranked) == 0 || ranked[0] != s.host {
			continue
		}
		round, wanted := persistent[e.Content]
		known, exists := s.records.Get(recordPrefix + e.Content.String())
		switch {
		case wanted && !exists:
			s.createRecord(ctx, e.Content, round)
		case !wanted && exists:
			s.deleteRecord(ctx, known)
		}
	}
}

func (s *quarantineSync) createRecord(ctx context.Context, content quarantine.Fingerprint, round int) {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	record, err := s.store.Create(ctx, mesh.Kind, recordPrefix+content.String(), QuarantineRecord{Round: round})
	if err != nil {
		s.recordRetryAt = s.now().Add(recordRetryPause)
		s.log.Info("could not write quarantine record", "content", content.String(), "error", err.Error())
		return
	}
	s.records.Put(record)
	s.log.Info("quarantine record written", "content", content.String(), "round", round, "revision", record.Revision)
}

func (s *quarantineSync) deleteRecord(ctx context.Context, record registry.Record) {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	era := s.records.Position().Era
	if err := s.store.Delete(ctx, mesh.Kind, record.Name, record.Revision); err != nil && !registry.IsNotFound(err) {
		s.recordRetryAt = s.now().Add(recordRetryPause)
		s.log.Info("could not delete quarantine record", "record", record.Name, "error", err.Error())
		return
	}
	s.records.Drop(record, era)
	s.log.Info("quarantine record deleted", "record", record.Name)
}
