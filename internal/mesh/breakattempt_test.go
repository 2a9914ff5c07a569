package mesh

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cherrystage/cherrystage/internal/objectapi"
	"github.com/cherrystage/cherrystage/internal/peer"
	"github.com/cherrystage/cherrystage/internal/registry"
	"github.com/hashicorp/go-hclog"
	"github.com/shoenig/test/must"
)

// memoryStore keeps records in memory and checks revisions. It does not support watches.
type memoryStore struct {
	registry.Store
	mu       sync.Mutex
	records  map[string]registry.Record
	revision uint64
	removed  []string
}

func (m *memoryStore) Get(_ context.Context, _, name string) (registry.Record, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	record, ok := m.records[name]
	if !ok {
		return record, &objectapi.Error{Op: "get", Cause: objectapi.ErrNotFound}
	}
	return record, nil
}

func (m *memoryStore) Create(ctx context.Context, kind, name string, spec any) (registry.Record, error) {
	return m.Update(ctx, kind, name, spec, 0)
}

func (m *memoryStore) Update(_ context.Context, _, name string, spec any, revision uint64) (registry.Record, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.records[name].Revision != revision {
		return registry.Record{}, &objectapi.Error{Op: "update", Cause: objectapi.ErrConflict}
	}
	raw, err := json.Marshal(spec)
	if err != nil {
		return registry.Record{}, err
	}
	m.revision++
	m.records[name] = registry.Record{Name: name, Revision: m.revision, Spec: raw}
	return m.records[name], nil
}

func (m *memoryStore) Delete(_ context.Context, _, name string, _ uint64) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.records, name)
	m.removed = append(m.removed, name)
	return nil
}

// survivor returns the service of the only live host of a fleet. Connection attempts to the
// other hosts get no answer. Each host is a witness of the next five. asked returns the
// number of connection attempts.
func survivor(t *testing.T, ctx context.Context, size int) (s *Service, store *memoryStore, asked func() int) {
	t.Helper()
	store = &memoryStore{records: map[string]registry.Record{}}
	names := make([]string, 0, size)
	for i := range size {
		names = append(names, fmt.Sprintf("h%02d", i))
	}
	var mu sync.Mutex
	dials := 0
	silent := func(ctx context.Context, _, _ string) (net.Conn, error) {
		mu.Lock()
		dials++
		mu.Unlock()
		<-ctx.Done()
		return nil, ctx.Err()
	}
	self := peer.Identity{Host: names[0], Incarnation: "one"}
	state := NewState(names[0], testTiming, time.Now())
	s = NewService(Deps{
		Self: self, Address: "h00:1", State: state, Store: store, Kinds: map[string]*registry.Replica{},
		Pool: peer.NewPool(self, nil, silent, hclog.NewNullLogger()), Statuses: noStatus{}, Runners: func() []Runner { return nil },
		Now: time.Now, Log: hclog.NewNullLogger(),
	})
	var records []registry.Record
	for i, name := range names {
		var witnesses []string
		for w := range maxWitnesses {
			witnesses = append(witnesses, names[(i+size-1-w)%size])
		}
		record, err := store.Create(ctx, Kind, hostRecordName(name), HostRecord{Address: name + ":1", Epoch: 1, Incarnation: "one", Witnesses: witnesses})
		must.NoError(t, err)
		records = append(records, record)
		if i == 0 {
			defer state.Registered(1, witnesses, time.Now())
		}
	}
	s.fleet.Listed(records, registry.Position{Revision: store.revision})
	return s, store, func() int {
		mu.Lock()
		defer mu.Unlock()
		return dials
	}
}

// confirmRecords confirms the records of hosts and owners as a follower does while the store
// answers.
func confirmRecords(ctx context.Context, s *Service) {
	for ctx.Err() == nil {
		s.Confirmed(Kind, time.Now())
		time.Sleep(loopInterval)
	}
}

type noStatus struct{}

func (noStatus) Status() any                                      { return struct{}{} }
func (noStatus) ReceiveStatus(string, json.RawMessage, time.Time) {}

// All other hosts of a fleet fall silent for good. The survivor is a witness of five of
// them, and too few of their other witnesses answer to break their leases. While it asks
// for votes it must go on renewing its own lease, so that its runners keep an owner, and
// it must back off, since nothing changes between attempts.
func TestSurvivorKeepsItsLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s, _, asked := survivor(t, ctx, 30)
		done := make(chan struct{})
		go func() {
			defer close(done)
			s.Run(ctx)
		}()
		go confirmRecords(ctx, s)
		time.Sleep(testTiming.breakTimeout() + 3*time.Second)
		before := asked()
		lapsed := 0
		const samples = 600
		for range samples {
			time.Sleep(100 * time.Millisecond)
			if !time.Now().Before(s.State.ValidUntil()) {
				lapsed++
			}
		}
		must.Eq(t, 0, lapsed, must.Sprintf("samples of %d without a lease", samples))
		perSecond := float64(asked()-before) / 60
		must.Less(t, 25, perSecond, must.Sprint("connections tried a second, heartbeats included"))
		cancel()
		<-done
		time.Sleep(time.Minute)
	})
}

// An operator removes the records of hosts that are lost for good. Their witnesses count
// as gone, so that the remaining host may claim their runners and callers get adapters
// loaded again.
func TestRecordsOfLostHostsAreRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _, _ := survivor(t, t.Context(), 30)
		now := time.Now()
		s.State.Apply([]registry.Change{change(t, ownerRecordName("r1:1"), OwnerRecord{Host: "h07", Epoch: 1}, 90)}, now)
		runners := []Runner{{Address: "r1:1"}}
		must.SliceEmpty(t, s.State.Claims(runners, now))
		for i := 1; i < 30; i++ {
			gone := registry.Change{Record: registry.Record{Name: hostRecordName(fmt.Sprintf("h%02d", i))}, Removed: true}
			s.State.Apply([]registry.Change{gone}, now)
		}
		s.State.AdvanceTo(registry.Position{Revision: 119})
		must.Len(t, 1, s.State.Claims(runners, now))
	})
}
