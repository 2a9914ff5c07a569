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
	// countingHosts is the number of hosts that count the ends of runners under a request. Any
	// of them suffices: two may be lost with what they counted.
	countingHosts = 3
	// pendingInterval is how often cuts are looked at while some wait.
	pendingInterval = 100 * time.Millisecond
	// recordInterval is how often lasting records are looked at while there is anything
	// to keep.
	recordInterval = time.Second
	// quarantineTimeout bounds a report or a question to a peer. A packet that is lost on the
	// way is sent again in some 250 ms.
	quarantineTimeout = 400 * time.Millisecond
	// recordTimeout bounds a write to the store.
	recordTimeout = time.Second
	// reportRounds is how often hosts further down are tried in place of those that do not
	// answer. With half of the hosts lost or behind a cut, one request in eight finds none of
	// its first three; in four rounds one in 4,096 finds none. They take 1.6 of the three
	// seconds in which hosts are to agree.
	reportRounds = 4
	// minBroadcastInterval is the least time between two rounds of heartbeats out of turn, five
	// messages each, however much there is to tell.
	minBroadcastInterval = 100 * time.Millisecond
)

// Methods by which hosts tell each other of requests that end runners.
const (
	methodCuts    = "quarantine.cuts"
	methodEntries = "quarantine.list"
)

// CutsParams reports answers that broke off.
type CutsParams struct {
	Cuts []CutParams `json:"cuts"`
}

// CutParams is one answer that broke off.
type CutParams struct {
	Content quarantine.Fingerprint `json:"content"`
	Runner  string                 `json:"runner"`
	AgeMS   int64                  `json:"age_ms"`
	// LastedMS is how long the runner had had the request.
	LastedMS int64 `json:"lasted_ms"`
}

func (p CutParams) cut(now time.Time) quarantine.Cut {
	return quarantine.Cut{
		Content: p.Content, Runner: p.Runner, At: now.Add(-time.Duration(p.AgeMS) * time.Millisecond),
		Lasted: time.Duration(p.LastedMS) * time.Millisecond,
	}
}

func newCutParams(cut quarantine.Cut, now time.Time) CutParams {
	return CutParams{Content: cut.Content, Runner: cut.Runner, AgeMS: now.Sub(cut.At).Milliseconds(), LastedMS: cut.Lasted.Milliseconds()}
}

// EntriesResult tells what a host knows of requests that end runners.
type EntriesResult struct {
	Entries []quarantine.Entry `json:"entries"`
}

// recordPrefix begins the names of lasting records of requests that are kept from
// runners. They share the kind of hosts and owners.
const recordPrefix = "content."

// QuarantineRecord is a lasting record. The content's fingerprint is its name.
type QuarantineRecord struct {
	Round int `json:"round"`
}

// quarantineSync is how this host and its peers tell each other of requests that end runners.
type quarantineSync struct {
	host       string
	quarantine *quarantine.Quarantine
	mesh       *mesh.State
	pool       *peer.Pool
	store      registry.Store
	board      *board.Board
	now        func() time.Time
	log        hclog.Logger
	// broadcast has heartbeats sent at once.
	broadcast func()
	// records holds the lasting records.
	records *registry.Replica

	// broadcastDigest is the digest that was last spread, and when. They are run's.
	broadcastDigest uint64
	broadcastAt     time.Time

	// fetching says that a peer is being asked.
	fetching atomic.Bool
}

func newQuarantineSync(host string, state *mesh.State, pool *peer.Pool, store registry.Store, b *board.Board, now func() time.Time, log hclog.Logger) *quarantineSync {
	return &quarantineSync{
		host: host, quarantine: quarantine.New(), mesh: state, pool: pool, store: store, board: b, now: now, log: log,
	}
}

func (s *quarantineSync) register(mux *peer.Mux) {
	peer.Handle(mux, methodCuts, func(_ context.Context, from peer.Identity, p CutsParams) (struct{}, error) {
		now := s.now()
		for _, cut := range p.Cuts {
			s.countCut(cut.cut(now), from.Host)
		}
		return struct{}{}, nil
	})
	peer.Handle(mux, methodEntries, func(context.Context, peer.Identity, struct{}) (EntriesResult, error) {
		return EntriesResult{Entries: s.quarantine.Entries(s.now())}, nil
	})
}

// run reports, tells and records until the context ends. It sleeps while there is nothing
// to do.
func (s *quarantineSync) run(ctx context.Context) {
	var recordedAt time.Time
	for ctx.Err() == nil {
		s.reportDue(ctx)
		s.broadcastNews()
		if s.now().Sub(recordedAt) >= recordInterval {
			recordedAt = s.now()
			s.quarantine.Forget(s.now())
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
	case <-s.quarantine.Woken():
	}
}

// reportDue reports the answers that broke off to the hosts that count for the whole fleet,
// and counts them here too: a host that is cut off from the others has only its own.
func (s *quarantineSync) reportDue(ctx context.Context) {
	due, dropped := s.quarantine.Due(s.now(), s.board.AnsweredSince)
	if dropped > 0 {
		s.log.Warn("answers that broke off not counted: too many at once", "dropped", dropped)
	}
	if len(due) == 0 {
		return
	}
	reports := make([]*failureReport, 0, len(due))
	for _, cut := range due {
		s.countCut(cut, s.host)
		reports = append(reports, newFailureReport(cut, s.rankedHosts(cut.Content), s.host))
	}
	go s.reportAll(ctx, reports)
}

// rankedHosts gives the hosts in the order in which they count the ends under a request.
func (s *quarantineSync) rankedHosts(content quarantine.Fingerprint) []string {
	return fleet.Rank(recordPrefix+content.String(), s.mesh.Members())
}

// reportAll sends reports, all that go to one host together.
func (s *quarantineSync) reportAll(ctx context.Context, reports []*failureReport) {
	for range reportRounds {
		byHost := map[string][]*failureReport{}
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

// reportTo tells one host of answers that broke off, and says whether it has heard.
func (s *quarantineSync) reportTo(ctx context.Context, host string, reports []*failureReport) bool {
	address, ok := s.mesh.AddressOf(host)
	if !ok {
		return false
	}
	now := s.now()
	var params CutsParams
	for _, r := range reports {
		params.Cuts = append(params.Cuts, newCutParams(r.cut, now))
	}
	ctx, cancel := context.WithTimeout(ctx, quarantineTimeout)
	defer cancel()
	if err := s.pool.Call(ctx, address, methodCuts, params, nil); err != nil {
		s.log.Info("answers that broke off not reported", "peer", host, "cuts", len(params.Cuts), "error", err.Error())
		return false
	}
	return true
}

// countCut counts an answer that broke off.
func (s *quarantineSync) countCut(cut quarantine.Cut, from string) {
	counted := s.quarantine.Count(cut, s.now())
	if counted.Ends > 1 || counted.Suspected {
		s.log.Info("runners end under a request", "content", cut.Content.String(), "ends", counted.Ends, "runner", cut.Runner, "reported_by", from,
			"age_ms", s.now().Sub(cut.At).Milliseconds(), "lasted_ms", cut.Lasted.Milliseconds(), "suspected", counted.Suspected)
	}
}

// hasNews says that something changed that others should know.
func (s *quarantineSync) hasNews() bool { return s.quarantine.Digest() != s.broadcastDigest }

// broadcastNews has heartbeats sent at once if something changed that others should know.
func (s *quarantineSync) broadcastNews() {
	now := s.now()
	if !s.hasNews() || now.Sub(s.broadcastAt) < minBroadcastInterval {
		return
	}
	s.broadcastDigest, s.broadcastAt = s.quarantine.Digest(), now
	s.broadcast()
}

// onPeerDigest asks a peer for what it knows if that is not what this host knows. One peer is
// asked at a time: all who have the news offer it at once, and say the same.
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
		s.log.Info("peer not asked for requests that end runners", "peer", host, "error", err.Error())
		return
	}
	for _, update := range s.quarantine.Merge(result.Entries, s.now()) {
		s.logUpdate(update, host)
	}
}

func (s *quarantineSync) logUpdate(update quarantine.Entry, from string) {
	message := "request kept from runners"
	if update.Cleared {
		message = "request cleared: it was answered whole"
	}
	s.log.Info(message, "content", update.Content.String(), "round", update.Round, "age_ms", update.AgeMS, "ends", len(update.Ends), "from", from)
}

// applyRecords takes over lasting records.
func (s *quarantineSync) applyRecords(changes []registry.Change) {
	for _, change := range changes {
		name, ok := strings.CutPrefix(change.Name, recordPrefix)
		if !ok || change.Removed {
			continue
		}
		var content quarantine.Fingerprint
		var record QuarantineRecord
		if err := content.UnmarshalText([]byte(name)); err != nil {
			s.log.Warn("record of a request not understood", "record", change.Name, "error", err.Error())
			continue
		}
		if err := json.Unmarshal(change.Spec, &record); err != nil || record.Round < 1 {
			s.log.Warn("record of a request not understood", "record", change.Name, "spec", string(change.Spec))
			continue
		}
		if s.quarantine.Recorded(content, record.Round, s.now()) {
			s.log.Info("request kept from runners", "content", content.String(), "round", record.Round, "from", "a record in the store")
		}
	}
}

// syncRecords keeps the lasting records as they should be. For each request the first of the
// hosts that count for it does, so a host that is lost is stood in for once its lease ends.
func (s *quarantineSync) syncRecords(ctx context.Context) {
	if s.quarantine.Size() == 0 {
		return
	}
	lasting := s.quarantine.Lasting(s.now())
	for _, e := range s.quarantine.Entries(s.now()) {
		if ranked := s.rankedHosts(e.Content); len(ranked) == 0 || ranked[0] != s.host {
			continue
		}
		round, wanted := lasting[e.Content]
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
		s.log.Info("request's record not written", "content", content.String(), "error", err.Error())
		return
	}
	s.records.Put(record)
	s.log.Info("request's record written", "content", content.String(), "round", round, "revision", record.Revision)
}

func (s *quarantineSync) deleteRecord(ctx context.Context, record registry.Record) {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	era := s.records.Position().Era
	if err := s.store.Delete(ctx, mesh.Kind, record.Name, record.Revision); err != nil && !registry.NotFound(err) {
		s.log.Info("request's record not removed", "record", record.Name, "error", err.Error())
		return
	}
	s.records.Drop(record.Name, era)
	s.log.Info("request's record removed", "record", record.Name)
}
