package mesh

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cherrystage/cherrystage/internal/objectapi"
	"github.com/cherrystage/cherrystage/internal/registry"
	"github.com/cherrystage/cherrystage/internal/timing"
)

const (
	// listTimeout bounds a listing, as the platform's client does.
	listTimeout = 2 * time.Second
	// maxLateness is how long after the caller gave up a write may still be carried out.
	maxLateness = 4 * time.Second
)

// faultyStore is a store in memory with conditional writes, watches, restores from copies and
// the faults that hosts must tolerate. Faults are set under mu.
type faultyStore struct {
	// onWrite is called under mu for each write that took effect. It must not block.
	onWrite func(by string, record registry.Record, removed bool)

	mu       sync.Mutex
	era      registry.Era
	revision uint64
	records  map[string]registry.Record
	events   []storeEvent
	// revisions holds the store's revision over time, for watches that lag.
	revisions []timedRevision
	// changed is closed at each change, restored at each restore, answering when the store
	// begins to answer again.
	changed, restored, answering chan struct{}
	// down and silent count the reasons to reject calls or to leave them without an answer.
	down, silent int
	// unreachable are hosts whose calls get no answer, lag is how far their watches are behind.
	unreachable map[string]bool
	lag         map[string]time.Duration
	// lossRate is the share of calls whose answer is lost after they were executed, lateRate
	// the share of writes without an answer that are carried out later. lateAcrossEras lets a
	// restore keep such writes.
	lossRate, lateRate float64
	lateAcrossEras     bool
}

type storeEvent struct {
	registry.Change
	revision uint64
	at       time.Time
}

type timedRevision struct {
	at       time.Time
	revision uint64
}

func newFaultyStore() *faultyStore {
	return &faultyStore{
		records: map[string]registry.Record{}, changed: make(chan struct{}), restored: make(chan struct{}), answering: make(chan struct{}),
		unreachable: map[string]bool{}, lag: map[string]time.Duration{},
	}
}

// update changes fields under the lock.
func (s *faultyStore) update(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

// answer ends one reason not to answer. Stalled calls go on.
func (s *faultyStore) answer(end func()) {
	s.update(func() {
		end()
		close(s.answering)
		s.answering = make(chan struct{})
	})
}

// advance issues a revision. The caller holds mu.
func (s *faultyStore) advance() {
	s.revision++
	s.revisions = append(s.revisions, timedRevision{at: time.Now(), revision: s.revision})
}

// writeOther stands for a write of another kind of record.
func (s *faultyStore) writeOther() { s.update(s.advance) }

// storeCopy is the content of the store at one moment.
type storeCopy struct {
	revision uint64
	records  map[string]registry.Record
	events   []storeEvent
}

func (s *faultyStore) copy() storeCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return storeCopy{revision: s.revision, records: maps.Clone(s.records), events: slices.Clone(s.events)}
}

// restore replaces the content by a copy and begins a new era.
func (s *faultyStore) restore(from storeCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.revision, s.records, s.events = from.revision, maps.Clone(from.records), slices.Clone(from.events)
	s.revisions = []timedRevision{{revision: s.revision}}
	close(s.restored)
	s.restored = make(chan struct{})
}

// write writes or removes a record if it has the given revision, 0 if it must not exist.
func (s *faultyStore) write(by, name string, spec json.RawMessage, revision uint64) (registry.Record, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known, exists := s.records[name]
	if !exists && revision != 0 {
		return registry.Record{}, &objectapi.Error{Op: "write", Key: name, Cause: objectapi.ErrNotFound}
	}
	if known.Revision != revision {
		return registry.Record{}, &objectapi.Error{Op: "write", Key: name, Cause: objectapi.ErrConflict}
	}
	s.advance()
	record := registry.Record{Name: name, Revision: s.revision, Spec: spec}
	event := storeEvent{Change: registry.Change{Record: record}, revision: s.revision, at: time.Now()}
	if spec == nil {
		delete(s.records, name)
		event.Change = registry.Change{Record: known, Removed: true}
	} else {
		s.records[name] = record
	}
	s.events = append(s.events, event)
	s.onWrite(by, event.Record, event.Removed)
	close(s.changed)
	s.changed = make(chan struct{})
	record.Era = s.era
	return record, nil
}

// changesFor returns the changes after a revision that a host's watch shows by now, and when
// the next one becomes visible, which is the zero time if there is none. The caller holds mu.
func (s *faultyStore) changesFor(host string, since uint64) (changes registry.Changes, next time.Time) {
	visible := time.Now().Add(-s.lag[host])
	changes.Position = registry.Position{Era: s.era, Revision: since}
	for _, mark := range slices.Backward(s.revisions) {
		if !mark.at.After(visible) {
			changes.Revision = max(since, mark.revision)
			break
		}
	}
	for _, event := range s.events {
		if event.revision <= since {
			continue
		}
		if event.at.After(visible) {
			return changes, event.at.Add(s.lag[host])
		}
		changes.List = append(changes.List, event.Change)
	}
	return changes, time.Time{}
}

// storeClient is a host's client of the store. It implements registry.Store.
type storeClient struct {
	registry.Store
	store *faultyStore
	host  string
	mu    sync.Mutex
	rng   *rand.Rand
}

// client returns the client of a process.
func (s *faultyStore) client(host string, seed, process uint64) *storeClient {
	return &storeClient{store: s, host: host, rng: rand.New(rand.NewPCG(seed, 1000+process))}
}

// callPlan is what happens to a call.
type callPlan struct {
	request, response time.Duration
	// lost and hangs tell that the answer is lost, at once or without a sign; stalls that
	// the call goes on when a silent store answers again.
	lost, hangs, stalls bool
	// late is how long after the caller gave up the write is carried out, 0 for never.
	late time.Duration
}

func (c *storeClient) plan() callPlan {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	upTo := func(most time.Duration) time.Duration { return time.Duration(1 + c.rng.Int64N(int64(most))) }
	p := callPlan{request: upTo(8 * time.Millisecond), response: upTo(8 * time.Millisecond)}
	if c.rng.IntN(20) == 0 {
		p.request, p.response = upTo(200*time.Millisecond), upTo(200*time.Millisecond)
	}
	p.lost, p.hangs, p.stalls = c.rng.Float64() < c.store.lossRate, c.rng.IntN(2) == 0, c.rng.IntN(2) == 0
	if late := upTo(maxLateness); c.rng.Float64() < c.store.lateRate {
		p.late = late
	}
	return p
}

// call makes one call. execute carries it out at the store; late is the same for a caller that
// has given up, nil for reads.
func (c *storeClient) call(ctx context.Context, op string, execute func() error, late func()) error {
	p := c.plan()
	lost := &objectapi.Error{Op: op, Cause: objectapi.ErrAnswerLost}
	if ctx.Err() != nil {
		return lost
	}
	timing.Sleep(ctx, p.request)
	if err := c.admit(ctx, op, p.stalls); err != nil {
		if late != nil && p.late > 0 && ctx.Err() != nil {
			c.store.later(p.late, late)
		}
		return err
	}
	err := execute()
	if p.lost {
		if p.hangs {
			<-ctx.Done()
		}
		return lost
	}
	timing.Sleep(ctx, p.response)
	if admitted := c.admit(ctx, op, false); admitted != nil {
		return lost
	}
	return err
}

// admit returns an error if the store does not take or answer a call. It blocks while the store
// is silent; a call that does not stall gets no answer even if the store is back.
func (c *storeClient) admit(ctx context.Context, op string, stalls bool) error {
	for ctx.Err() == nil {
		c.store.mu.Lock()
		down, silent, answering := c.store.down > 0, c.store.silent > 0 || c.store.unreachable[c.host], c.store.answering
		c.store.mu.Unlock()
		if down {
			return &objectapi.Error{Op: op, Cause: objectapi.ErrUnavailable}
		}
		if !silent {
			return nil
		}
		if !stalls {
			answering = nil
		}
		select {
		case <-ctx.Done():
		case <-answering:
		}
	}
	return &objectapi.Error{Op: op, Cause: objectapi.ErrAnswerLost, Detail: ctx.Err().Error()}
}

// later carries out a write whose caller has given up. A restore drops it unless lateAcrossEras
// is set.
func (s *faultyStore) later(after time.Duration, write func()) {
	s.mu.Lock()
	era := s.era
	s.mu.Unlock()
	time.AfterFunc(after, func() {
		s.mu.Lock()
		dropped := s.era != era && !s.lateAcrossEras
		s.mu.Unlock()
		if !dropped {
			write()
		}
	})
}

func (c *storeClient) write(ctx context.Context, name string, spec any, revision uint64) (record registry.Record, err error) {
	var raw json.RawMessage
	if spec != nil {
		if raw, err = json.Marshal(spec); err != nil {
			return record, err
		}
	}
	execute := func() error {
		record, err = c.store.write(c.host, name, raw, revision)
		return err
	}
	late := func() { _, _ = c.store.write(c.host+" (late)", name, raw, revision) }
	if err := c.call(ctx, "write", execute, late); err != nil {
		return registry.Record{}, err
	}
	return record, nil
}

func (c *storeClient) Create(ctx context.Context, _, name string, spec any) (registry.Record, error) {
	return c.write(ctx, name, spec, 0)
}

func (c *storeClient) Update(ctx context.Context, _, name string, spec any, revision uint64) (registry.Record, error) {
	return c.write(ctx, name, spec, revision)
}

func (c *storeClient) Delete(ctx context.Context, _, name string, revision uint64) error {
	_, err := c.write(ctx, name, nil, revision)
	return err
}

func (c *storeClient) Get(ctx context.Context, _, name string) (record registry.Record, err error) {
	err = c.call(ctx, "get", func() error {
		c.store.mu.Lock()
		defer c.store.mu.Unlock()
		known, ok := c.store.records[name]
		if !ok {
			return &objectapi.Error{Op: "get", Key: name, Cause: objectapi.ErrNotFound}
		}
		record = known
		record.Era = c.store.era
		return nil
	}, nil)
	return record, err
}

func (c *storeClient) List(ctx context.Context, _ string) (listing registry.Listing, err error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	err = c.call(ctx, "list", func() error {
		c.store.mu.Lock()
		defer c.store.mu.Unlock()
		listing = registry.Listing{Records: slices.Collect(maps.Values(c.store.records)), Position: registry.Position{Era: c.store.era, Revision: c.store.revision}}
		return nil
	}, nil)
	return listing, err
}

func (c *storeClient) Watch(ctx context.Context, _ string, since uint64, wait time.Duration) (changes registry.Changes, err error) {
	err = c.call(ctx, "watch", func() error {
		changes, err = c.awaitChanges(ctx, since, time.Now().Add(wait))
		return err
	}, nil)
	return changes, err
}

// awaitChanges waits until a host's watch shows changes, or until the end of its wait. A restore
// ends it with an error.
func (c *storeClient) awaitChanges(ctx context.Context, since uint64, end time.Time) (registry.Changes, error) {
	s := c.store
	for {
		s.mu.Lock()
		changed, restored, gone := s.changed, s.restored, since > s.revision
		changes, next := s.changesFor(c.host, since)
		s.mu.Unlock()
		if gone {
			return changes, registry.ErrHistoryGone
		}
		if len(changes.List) > 0 || !time.Now().Before(end) {
			return changes, nil
		}
		if next.IsZero() || next.After(end) {
			next = end
		}
		timer := time.NewTimer(time.Until(next))
		select {
		case <-timer.C:
		case <-changed:
		case <-restored:
			timer.Stop()
			return changes, &objectapi.Error{Op: "watch", Cause: objectapi.ErrAnswerLost, Detail: fmt.Sprint("restored after ", since)}
		case <-ctx.Done():
			timer.Stop()
			return changes, &objectapi.Error{Op: "watch", Cause: objectapi.ErrAnswerLost, Detail: ctx.Err().Error()}
		}
		timer.Stop()
	}
}
