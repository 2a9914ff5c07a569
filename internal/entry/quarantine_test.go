package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cherrystage/cherrystage/internal/board"
	"github.com/cherrystage/cherrystage/internal/mesh"
	"github.com/cherrystage/cherrystage/internal/peer"
	"github.com/cherrystage/cherrystage/internal/quarantine"
	"github.com/cherrystage/cherrystage/internal/registry"
	"github.com/cherrystage/cherrystage/internal/standin"
	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
)

// recordStore is an in-memory store. While down is set, Create fails.
type recordStore struct {
	registry.Store
	mu      sync.Mutex
	records map[string]registry.Record
	calls   int
	down    bool
}

func (s *recordStore) Create(_ context.Context, _, name string, spec any) (registry.Record, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.down {
		return registry.Record{}, errors.New("the store is down")
	}
	raw, err := json.Marshal(spec)
	if err != nil {
		return registry.Record{}, err
	}
	record := registry.Record{Name: name, Revision: uint64(s.calls), Spec: raw}
	s.records[name] = record
	return record, nil
}

func (s *recordStore) Delete(_ context.Context, _, name string, _ uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	delete(s.records, name)
	return nil
}

// locked runs do while holding the store's lock.
func (s *recordStore) locked(do func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	do()
}

// quarantineHost is one host of a fleet that exchanges quarantine entries.
type quarantineHost struct {
	*quarantineSync
	network    *standin.Network
	broadcasts atomic.Int32
}

// withQuarantineHosts runs a test with hosts that know of each other and share a store.
func withQuarantineHosts(t *testing.T, names []string, run func(hosts map[string]*quarantineHost, store *recordStore)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		network := standin.NewNetwork()
		defer network.Close()
		ctx, cancel := context.WithCancel(t.Context())
		defer func() {
			cancel()
			network.Close()
			synctest.Wait()
		}()
		store := &recordStore{records: map[string]registry.Record{}}
		hosts := map[string]*quarantineHost{}
		for _, name := range names {
			state := mesh.NewState(name, mesh.Timing{Lease: mesh.DefaultLease, OrderGap: time.Second, Margin: mesh.DefaultMargin}, time.Now())
			for i, other := range names {
				spec, err := json.Marshal(mesh.HostRecord{Address: other + ":1", Epoch: 1})
				must.NoError(t, err)
				state.Apply([]registry.Change{{Record: registry.Record{Name: "host." + other, Revision: uint64(i + 1), Spec: spec}}}, time.Now())
			}
			identity, key := peer.Identity{Host: name, Incarnation: "1"}, []byte("key")
			pool := peer.NewPool(identity, key, network.Host(name).Dial, hclog.NewNullLogger())
			host := &quarantineHost{network: network, quarantineSync: newQuarantineSync(name, state, pool, store, board.New(), time.Now, hclog.NewNullLogger())}
			host.broadcast = func() { host.broadcasts.Add(1) }
			host.records = registry.NewReplica()
			host.records.OnChange = func(changes []registry.Change, _ bool) { host.applyRecords(changes) }
			mux := peer.NewMux()
			host.register(mux)
			listener, err := network.Host(name).Listen("1")
			must.NoError(t, err)
			go func() { _ = peer.NewServer(identity, key, mux, hclog.NewNullLogger()).Serve(listener) }()
			defer func() { _ = listener.Close() }()
			hosts[name] = host
			go host.run(ctx)
		}
		run(hosts, store)
	})
}

const poison = quarantine.Fingerprint(7)

// truncate simulates a response on this host that a runner crash truncated.
func (h *quarantineHost) truncate(runner int) {
	h.quarantine.RecordTruncation(quarantine.Truncation{Content: poison, Runner: fmt.Sprintf("r%d", runner), At: time.Now(), Elapsed: 50 * time.Millisecond})
}

// Each of three hosts sees one runner crash under a request. No host alone has seen enough
// crashes, but each counting host of the request has.
func TestCrashesAreCountedAcrossHosts(t *testing.T) {
	withQuarantineHosts(t, []string{"a", "b", "c", "d", "e"}, func(hosts map[string]*quarantineHost, _ *recordStore) {
		for i, name := range []string{"a", "b", "c"} {
			hosts[name].truncate(i)
			time.Sleep(time.Second)
		}
		time.Sleep(time.Second)
		counting := 0
		for _, host := range hosts {
			if _, held := host.quarantine.BlockedFor(poison, time.Now()); held {
				counting++
			}
		}
		must.Eq(t, countingHosts, counting)
	})
}

// The counting hosts of a request are lost or partitioned off together, before their leases
// expire. The next-ranked hosts count in their place. They are the same for all reporting
// hosts, so that the crashes are still added up.
func TestCrashesAreCountedInPlaceOfLostHosts(t *testing.T) {
	names := []string{"a", "b", "c", "d", "e", "f", "g", "h"}
	withQuarantineHosts(t, names, func(hosts map[string]*quarantineHost, _ *recordStore) {
		ranked := hosts["a"].rankedHosts(poison)
		lost, remaining := ranked[:4], ranked[4:]
		for _, name := range lost {
			hosts[name].network.KillHost(name)
		}
		for i, name := range remaining[:3] {
			hosts[name].truncate(i)
			time.Sleep(time.Second)
		}
		time.Sleep(time.Second)
		for _, name := range remaining[:2] {
			_, held := hosts[name].quarantine.BlockedFor(poison, time.Now())
			must.True(t, held, must.Sprint(name))
		}
	})
}

// A heartbeat tells a host that a peer has entries that it lacks. The host fetches them
// once and broadcasts the change.
func TestHostFetchesMissingEntries(t *testing.T) {
	withQuarantineHosts(t, []string{"a", "b"}, func(hosts map[string]*quarantineHost, _ *recordStore) {
		a, b := hosts["a"], hosts["b"]
		for i := range 3 {
			a.quarantine.Count(quarantine.Truncation{Content: poison, Runner: fmt.Sprintf("r%d", i), At: time.Now()}, time.Now())
		}
		b.onPeerDigest("a", 0)
		time.Sleep(100 * time.Millisecond)
		must.Eq(t, 0, b.quarantine.Size(), must.Sprint("a peer with an empty quarantine"))
		b.onPeerDigest("a", a.quarantine.Digest())
		time.Sleep(time.Second)
		must.Eq(t, a.quarantine.Digest(), b.quarantine.Digest())
		must.Eq(t, 1, b.broadcasts.Load())
		_, held := b.quarantine.BlockedFor(poison, time.Now())
		must.True(t, held)
	})
}

// A request is quarantined while the store is down. One of the hosts writes its record once
// the store is back, and deletes it when the request is cleared.
func TestQuarantineRecordIsWrittenAfterOutage(t *testing.T) {
	withQuarantineHosts(t, []string{"a", "b", "c"}, func(hosts map[string]*quarantineHost, store *recordStore) {
		store.locked(func() { store.down = true })
		for i := range 3 {
			for _, host := range hosts {
				host.truncate(i)
			}
			time.Sleep(time.Second)
		}
		time.Sleep(3 * time.Second)
		store.locked(func() {
			must.LessEq(t, 5, store.calls, must.Sprint("one host tries, once a second"))
			store.down = false
		})
		time.Sleep(2 * time.Second)
		name := recordPrefix + poison.String()
		var record registry.Record
		store.locked(func() {
			must.MapContainsKey(t, store.records, name)
			record = store.records[name]
		})

		fresh := quarantine.New()
		restarted := &quarantineSync{quarantine: fresh, now: time.Now, log: hclog.NewNullLogger()}
		restarted.applyRecords([]registry.Change{
			{Record: registry.Record{Name: recordPrefix + "nonsense", Spec: json.RawMessage(`{"round":1}`)}},
			{Record: registry.Record{Name: name, Spec: json.RawMessage("{}")}},
			{Record: registry.Record{Name: "another", Spec: json.RawMessage(`{"round":1}`)}},
		})
		must.Eq(t, 0, fresh.Size(), must.Sprint("malformed and unrelated records"))
		restarted.applyRecords([]registry.Change{{Record: record}})
		_, held := fresh.BlockedFor(poison, time.Now())
		must.True(t, held)

		for _, host := range hosts {
			host.quarantine.RecordCompletion(quarantine.Subject{Fingerprint: poison}, time.Now())
		}
		time.Sleep(2 * time.Second)
		store.locked(func() { must.MapEmpty(t, store.records) })
	})
}

// In a fleet of the intended size, a runner's crash truncates 75 responses, each of which its host
// reports to three others, so the size of a report must be bounded.
func TestSizeOfQuarantineMessages(t *testing.T) {
	runner := "i-" + strings.Repeat("f", 10) + "~1700000000000"
	truncation, err := json.Marshal(TruncationParams{Content: poison, Runner: runner, AgeMS: 1000, LastedMS: 12000})
	must.NoError(t, err)
	must.LessEq(t, 110, len(truncation), must.Sprint(string(truncation)))
	entry := quarantine.Entry{Content: poison, Round: 1, AgeMS: 600_000, ElapsedMS: 12_000}
	for range 8 {
		entry.Crashes = append(entry.Crashes, quarantine.Crash{Runner: runner, AgeMS: 600_000})
	}
	encoded, err := json.Marshal(entry)
	must.NoError(t, err)
	must.LessEq(t, 600, len(encoded), must.Sprint(string(encoded)))
}
