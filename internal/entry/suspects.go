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
	// counters is the number of hosts that count the ends of runners under a request. Any
	// of them suffices: two may be lost with what they counted.
	counters = 3
	// suspectInterval is how often cuts are looked at while some wait.
	suspectInterval = 100 * time.Millisecond
	// recordInterval is how often lasting records are looked at while there is anything
	// to keep.
	recordInterval = time.Second
	// suspectTimeout bounds a report or a question to a peer. A packet that is lost on the
	// way is sent again in some 250 ms.
	suspectTimeout = 400 * time.Millisecond
	// recordTimeout bounds a write to the store.
	recordTimeout = time.Second
	// reportRounds is how often hosts further down are tried in place of those that do not
	// answer. With half of the hosts lost or behind a cut, one request in eight finds none of
	// its first three; in four rounds one in 4,096 finds none. They take 1.6 of the three
	// seconds in which hosts are to agree.
	reportRounds = 4
	// spreadInterval is the least time between two rounds of heartbeats out of turn, five
	// messages each, however much there is to tell.
	spreadInterval = 100 * time.Millisecond
)

// Methods by which hosts tell each other of requests that end runners.
const (
	methodCuts     = "quarantine.cuts"
	methodSuspects = "quarantine.list"
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

func (p CutParams) cut(now time.Time) quarantine.Truncation {
	return quarantine.Truncation{
		Content: p.Content, Runner: p.Runner, At: now.Add(-time.Duration(p.AgeMS) * time.Millisecond),
		Elapsed: time.Duration(p.LastedMS) * time.Millisecond,
	}
}

func told(cut quarantine.Truncation, now time.Time) CutParams {
	return CutParams{Content: cut.Content, Runner: cut.Runner, AgeMS: now.Sub(cut.At).Milliseconds(), LastedMS: cut.Elapsed.Milliseconds()}
}

// SuspectsResult tells what a host knows of requests that end runners.
type SuspectsResult struct {
	Entries []quarantine.Entry `json:"entries"`
}

// suspectPrefix begins the names of lasting records of requests that are kept from
// runners. They share the kind of hosts and owners.
const suspectPrefix = "content."

// SuspectRecord is a lasting record. The content's fingerprint is its name.
type SuspectRecord struct {
	Round int `json:"round"`
}

// suspects is how this host and its peers tell each other of requests that end runners.
type suspects struct {
	host       string
	quarantine *quarantine.Quarantine
	mesh       *mesh.State
	pool       *peer.Pool
	store      registry.Store
	board      *board.Board
	now        func() time.Time
	log        hclog.Logger
	// spread has heartbeats sent at once.
	spread func()
	// records holds the lasting records.
	records *registry.Replica

	// told is the digest that was last spread, and when. They are run's.
	told   uint64
	toldAt time.Time

	// asking says that a peer is being asked.
	asking atomic.Bool
}

func newSuspects(host string, state *mesh.State, pool *peer.Pool, store registry.Store, b *board.Board, now func() time.Time, log hclog.Logger) *suspects {
	return &suspects{
		host: host, quarantine: quarantine.New(), mesh: state, pool: pool, store: store, board: b, now: now, log: log,
	}
}

func (s *suspects) register(mux *peer.Mux) {
	peer.Handle(mux, methodCuts, func(_ context.Context, from peer.Identity, p CutsParams) (struct{}, error) {
		now := s.now()
		for _, cut := range p.Cuts {
			s.count(cut.cut(now), from.Host)
		}
		return struct{}{}, nil
	})
	peer.Handle(mux, methodSuspects, func(context.Context, peer.Identity, struct{}) (SuspectsResult, error) {
		return SuspectsResult{Entries: s.quarantine.Entries(s.now())}, nil
	})
}

// run reports, tells and records until the context ends. It sleeps while there is nothing
// to do.
func (s *suspects) run(ctx context.Context) {
	var recordedAt time.Time
	for ctx.Err() == nil {
		s.report(ctx)
		s.tell()
		if s.now().Sub(recordedAt) >= recordInterval {
			recordedAt = s.now()
			s.quarantine.Prune(s.now())
			s.record(ctx)
		}
		s.wait(ctx)
	}
}

func (s *suspects) wait(ctx context.Context) {
	var due <-chan time.Time
	switch {
	case s.untold():
		due = time.After(spreadInterval)
	case s.quarantine.Pending():
		due = time.After(suspectInterval)
	case s.quarantine.Size() > 0:
		due = time.After(recordInterval)
	}
	select {
	case <-ctx.Done():
	case <-due:
	case <-s.quarantine.Wakeups():
	}
}

// report reports the answers that broke off to the hosts that count for the whole fleet,
// and counts them here too: a host that is cut off from the others has only its own.
func (s *suspects) report(ctx context.Context) {
	due, dropped := s.quarantine.TakeDue(s.now(), s.board.RespondedSince)
	if dropped > 0 {
		s.log.Warn("answers that broke off not counted: too many at once", "dropped", dropped)
	}
	if len(due) == 0 {
		return
	}
	reports := make([]*report, 0, len(due))
	for _, cut := range due {
		s.count(cut, s.host)
		reports = append(reports, newReport(cut, s.ranked(cut.Content), s.host))
	}
	go s.reportAll(ctx, reports)
}

// ranked gives the hosts in the order in which they count the ends under a request.
func (s *suspects) ranked(content quarantine.Fingerprint) []string {
	return fleet.Rank(suspectPrefix+content.String(), s.mesh.Members())
}

// reportAll sends reports, all that go to one host together.
func (s *suspects) reportAll(ctx context.Context, reports []*report) {
	for range reportRounds {
		byHost := map[string][]*report{}
		for _, r := range reports {
			for _, host := range r.next() {
				byHost[host] = append(byHost[host], r)
			}
		}
		if len(byHost) == 0 {
			return
		}
		var round sync.WaitGroup
		for host, those := range byHost {
			round.Go(func() {
				if s.reportTo(ctx, host, those) {
					taken(those)
				}
			})
		}
		round.Wait()
	}
}

// reportTo tells one host of answers that broke off, and says whether it has heard.
func (s *suspects) reportTo(ctx context.Context, host string, reports []*report) bool {
	address, ok := s.mesh.AddressOf(host)
	if !ok {
		return false
	}
	now := s.now()
	var params CutsParams
	for _, r := range reports {
		params.Cuts = append(params.Cuts, told(r.cut, now))
	}
	ctx, cancel := context.WithTimeout(ctx, suspectTimeout)
	defer cancel()
	if err := s.pool.Call(ctx, address, methodCuts, params, nil); err != nil {
		s.log.Info("answers that broke off not reported", "peer", host, "cuts", len(params.Cuts), "error", err.Error())
		return false
	}
	return true
}

// count counts an answer that broke off.
func (s *suspects) count(cut quarantine.Truncation, from string) {
	counted := s.quarantine.Count(cut, s.now())
	if counted.Crashes > 1 || counted.Suspected {
		s.log.Info("runners end under a request", "content", cut.Content.String(), "ends", counted.Crashes, "runner", cut.Runner, "reported_by", from,
			"age_ms", s.now().Sub(cut.At).Milliseconds(), "lasted_ms", cut.Elapsed.Milliseconds(), "suspected", counted.Suspected)
	}
}

// untold says that something changed that others should know.
func (s *suspects) untold() bool { return s.quarantine.Digest() != s.told }

// tell has heartbeats sent at once if something changed that others should know.
func (s *suspects) tell() {
	now := s.now()
	if !s.untold() || now.Sub(s.toldAt) < spreadInterval {
		return
	}
	s.told, s.toldAt = s.quarantine.Digest(), now
	s.spread()
}

// heard asks a peer for what it knows if that is not what this host knows. One peer is
// asked at a time: all who have the news offer it at once, and say the same.
func (s *suspects) heard(host string, digest uint64) {
	if digest == 0 || digest == s.quarantine.Digest() || !s.asking.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer s.asking.Store(false)
		s.ask(host)
	}()
}

func (s *suspects) ask(host string) {
	address, ok := s.mesh.AddressOf(host)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), suspectTimeout)
	defer cancel()
	var result SuspectsResult
	if err := s.pool.Call(ctx, address, methodSuspects, struct{}{}, &result); err != nil {
		s.log.Info("peer not asked for requests that end runners", "peer", host, "error", err.Error())
		return
	}
	for _, news := range s.quarantine.Merge(result.Entries, s.now()) {
		s.logNews(news, host)
	}
}

func (s *suspects) logNews(news quarantine.Entry, from string) {
	message := "request kept from runners"
	if news.Cleared {
		message = "request cleared: it was answered whole"
	}
	s.log.Info(message, "content", news.Content.String(), "round", news.Round, "age_ms", news.AgeMS, "ends", len(news.Crashes), "from", from)
}

// recorded takes over lasting records.
func (s *suspects) recorded(changes []registry.Change) {
	for _, change := range changes {
		name, ok := strings.CutPrefix(change.Name, suspectPrefix)
		if !ok || change.Removed {
			continue
		}
		var content quarantine.Fingerprint
		var record SuspectRecord
		if err := content.UnmarshalText([]byte(name)); err != nil {
			s.log.Warn("record of a request not understood", "record", change.Name, "error", err.Error())
			continue
		}
		if err := json.Unmarshal(change.Spec, &record); err != nil || record.Round < 1 {
			s.log.Warn("record of a request not understood", "record", change.Name, "spec", string(change.Spec))
			continue
		}
		if s.quarantine.Restore(content, record.Round, s.now()) {
			s.log.Info("request kept from runners", "content", content.String(), "round", record.Round, "from", "a record in the store")
		}
	}
}

// record keeps the lasting records as they should be. For each request the first of the
// hosts that count for it does, so a host that is lost is stood in for once its lease ends.
func (s *suspects) record(ctx context.Context) {
	if s.quarantine.Size() == 0 {
		return
	}
	lasting := s.quarantine.Snapshot(s.now())
	for _, e := range s.quarantine.Entries(s.now()) {
		if ranked := s.ranked(e.Content); len(ranked) == 0 || ranked[0] != s.host {
			continue
		}
		round, wanted := lasting[e.Content]
		known, exists := s.records.Get(suspectPrefix + e.Content.String())
		switch {
		case wanted && !exists:
			s.create(ctx, e.Content, round)
		case !wanted && exists:
			s.remove(ctx, known)
		}
	}
}

func (s *suspects) create(ctx context.Context, content quarantine.Fingerprint, round int) {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	record, err := s.store.Create(ctx, mesh.Kind, suspectPrefix+content.String(), SuspectRecord{Round: round})
	if err != nil {
		s.log.Info("request's record not written", "content", content.String(), "error", err.Error())
		return
	}
	s.records.Put(record)
	s.log.Info("request's record written", "content", content.String(), "round", round, "revision", record.Revision)
}

func (s *suspects) remove(ctx context.Context, record registry.Record) {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	era := s.records.Position().Era
	if err := s.store.Delete(ctx, mesh.Kind, record.Name, record.Revision); err != nil && !registry.IsNotFound(err) {
		s.log.Info("request's record not removed", "record", record.Name, "error", err.Error())
		return
	}
	s.records.Drop(record.Name, era)
	s.log.Info("request's record removed", "record", record.Name)
}
