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

// recordStore keeps records; while down it refuses every call.
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

// with looks at the store or changes a fault.
func (s *recordStore) with(do func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	do()
}

// suspectHost is one host of a fleet that tells each other of requests.
type suspectHost struct {
	*quarantineSync
	network *standin.Network
	spreads atomic.Int32
}

// withSuspects runs a test with hosts that know each other and share a store.
func withSuspects(t *testing.T, names []string, run func(hosts map[string]*suspectHost, store *recordStore)) {
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
		hosts := map[string]*suspectHost{}
		for _, name := range names {
			state := mesh.NewState(name, mesh.Timing{Lease: mesh.UsualLease, OrderGap: time.Second, Margin: mesh.UsualMargin}, time.Now())
			for i, other := range names {
				spec, err := json.Marshal(mesh.HostRecord{Address: other + ":1", Epoch: 1})
				must.NoError(t, err)
				state.Apply([]registry.Change{{Record: registry.Record{Name: "host." + other, Revision: uint64(i + 1), Spec: spec}}}, time.Now())
			}
			identity, key := peer.Identity{Host: name, Incarnation: "1"}, []byte("key")
			pool := peer.NewPool(identity, key, network.Host(name).Dial, hclog.NewNullLogger())
			host := &suspectHost{network: network, quarantineSync: newQuarantineSync(name, state, pool, store, board.New(), time.Now, hclog.NewNullLogger())}
			host.broadcast = func() { host.spreads.Add(1) }
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

const fatal = quarantine.Fingerprint(7)

// cutOff has a request's answer broken off on a host, at the end of a runner.
func (h *suspectHost) cutOff(runner int) {
	h.quarantine.CutOff(quarantine.Cut{Content: fatal, Runner: fmt.Sprintf("r%d", runner), At: time.Now(), Lasted: 50 * time.Millisecond})
}

// Each of three hosts sees one runner end under a request. None of them alone has seen
// enough; the hosts that count for the fleet have, whichever of them are asked.
func TestEndsAreCountedForTheFleet(t *testing.T) {
	withSuspects(t, []string{"a", "b", "c", "d", "e"}, func(hosts map[string]*suspectHost, _ *recordStore) {
		for i, name := range []string{"a", "b", "c"} {
			hosts[name].cutOff(i)
			time.Sleep(time.Second)
		}
		time.Sleep(time.Second)
		counting := 0
		for _, host := range hosts {
			if _, held := host.quarantine.Held(fatal, time.Now()); held {
				counting++
			}
		}
		must.Eq(t, countingHosts, counting)
	})
}

// The hosts that count for a request are lost at once, or lie behind a cut, and their
// leases have not ended yet. Those that come next in their order count in their place, the
// same for all hosts that report, so that the ends still come together.
func TestEndsAreCountedInPlaceOfLostHosts(t *testing.T) {
	names := []string{"a", "b", "c", "d", "e", "f", "g", "h"}
	withSuspects(t, names, func(hosts map[string]*suspectHost, _ *recordStore) {
		ranked := hosts["a"].rankedHosts(fatal)
		lost, left := ranked[:4], ranked[4:]
		for _, name := range lost {
			hosts[name].network.End(name)
		}
		for i, name := range left[:3] {
			hosts[name].cutOff(i)
			time.Sleep(time.Second)
		}
		time.Sleep(time.Second)
		for _, name := range left[:2] {
			_, held := hosts[name].quarantine.Held(fatal, time.Now())
			must.True(t, held, must.Sprint(name))
		}
	})
}

// A host hears by a heartbeat that a peer knows what it does not. It asks the peer, once,
// and passes on that there is news.
func TestHostAsksForWhatItLacks(t *testing.T) {
	withSuspects(t, []string{"a", "b"}, func(hosts map[string]*suspectHost, _ *recordStore) {
		a, b := hosts["a"], hosts["b"]
		for i := range 3 {
			a.quarantine.Count(quarantine.Cut{Content: fatal, Runner: fmt.Sprintf("r%d", i), At: time.Now()}, time.Now())
		}
		b.onPeerDigest("a", 0)
		time.Sleep(100 * time.Millisecond)
		must.Eq(t, 0, b.quarantine.Size(), must.Sprint("a peer that knows nothing"))
		b.onPeerDigest("a", a.quarantine.Digest())
		time.Sleep(time.Second)
		must.Eq(t, a.quarantine.Digest(), b.quarantine.Digest())
		must.Eq(t, 1, b.spreads.Load())
		_, held := b.quarantine.Held(fatal, time.Now())
		must.True(t, held)
	})
}

// A request is kept from runners while the store is down. Its record is written once the
// store is back, by one of the hosts, and removed when the request is cleared.
func TestLastingRecord(t *testing.T) {
	withSuspects(t, []string{"a", "b", "c"}, func(hosts map[string]*suspectHost, store *recordStore) {
		store.with(func() { store.down = true })
		for i := range 3 {
			for _, host := range hosts {
				host.cutOff(i)
			}
			time.Sleep(time.Second)
		}
		time.Sleep(3 * time.Second)
		store.with(func() {
			must.LessEq(t, 5, store.calls, must.Sprint("one host asks, once a second"))
			store.down = false
		})
		time.Sleep(2 * time.Second)
		name := recordPrefix + fatal.String()
		var record registry.Record
		store.with(func() {
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
		must.Eq(t, 0, fresh.Size(), must.Sprint("spoilt records, and those of others"))
		restarted.applyRecords([]registry.Change{{Record: record}})
		_, held := fresh.Held(fatal, time.Now())
		must.True(t, held)

		for _, host := range hosts {
			host.quarantine.Completed(fatal, time.Now())
		}
		time.Sleep(2 * time.Second)
		store.with(func() { must.MapEmpty(t, store.records) })
	})
}

// At the target size a runner's end cuts 75 answers, which are reported by their hosts to
// three others each; what a host is told of one is bounded.
func TestSizeOfWhatHostsTell(t *testing.T) {
	runner := "i-" + strings.Repeat("f", 10) + "~1700000000000"
	cut, err := json.Marshal(CutParams{Content: fatal, Runner: runner, AgeMS: 1000, LastedMS: 12000})
	must.NoError(t, err)
	must.LessEq(t, 110, len(cut), must.Sprint(string(cut)))
	entry := quarantine.Entry{Content: fatal, Round: 1, AgeMS: 600_000, LastedMS: 12_000}
	for range 8 {
		entry.Ends = append(entry.Ends, quarantine.End{Runner: runner, AgeMS: 600_000})
	}
	told, err := json.Marshal(entry)
	must.NoError(t, err)
	must.LessEq(t, 600, len(told), must.Sprint(string(told)))
}
