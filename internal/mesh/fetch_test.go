package mesh

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cherrystage/cherrystage/internal/peer"
	"github.com/cherrystage/cherrystage/internal/registry"
	"github.com/cherrystage/cherrystage/internal/standin"
	"github.com/hashicorp/go-hclog"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// largeRecord returns a record that hardly compresses.
func largeRecord(revision uint64, bytes int) registry.Record {
	rng := rand.New(rand.NewPCG(revision, 1))
	text := make([]byte, bytes)
	for i := range text {
		text[i] = "abcdefghijklmnopqrstuvwxyz0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZ-_"[rng.IntN(64)]
	}
	spec, err := json.Marshal(string(text))
	if err != nil {
		panic(err)
	}
	return registry.Record{Name: "main", Revision: revision, Spec: spec}
}

// cluster holds services that reach each other over an in-memory network.
type cluster struct {
	net  *standin.Network
	read map[string]*atomic.Int64
	all  map[string]*Service
	ends []func()
}

// withCluster runs a test in virtual time with the services of some hosts, which have one
// record "main" of kind "k" as of revision 1.
func withCluster(t *testing.T, run func(m *cluster), hosts ...string) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		m := &cluster{net: standin.NewNetwork(), read: map[string]*atomic.Int64{}, all: map[string]*Service{}}
		for _, host := range hosts {
			m.start(t, host)
		}
		run(m)
		for _, end := range m.ends {
			end()
		}
		m.net.Close()
		time.Sleep(time.Minute)
	})
}

func (m *cluster) start(t *testing.T, host string) {
	self := peer.Identity{Host: host, Incarnation: "one"}
	read := &atomic.Int64{}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := m.net.Host(host).Dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countingConn{Conn: conn, read: read}, nil
	}
	replica := registry.NewReplica()
	replica.Listed([]registry.Record{{Name: "main", Revision: 1, Spec: json.RawMessage("1")}}, registry.Position{Revision: 1})
	s := NewService(Deps{
		Self: self, Address: host + ":1", State: NewState(host, testTiming, time.Now()), Kinds: map[string]*registry.Replica{"k": replica},
		Pool: peer.NewPool(self, nil, dial, hclog.NewNullLogger()), Statuses: noStatus{}, Now: time.Now, Log: hclog.NewNullLogger(),
	})
	mux := peer.NewMux()
	s.Register(mux)
	listener, err := m.net.Host(host).Listen("1")
	must.NoError(t, err)
	server := peer.NewServer(self, nil, mux, hclog.NewNullLogger())
	go func() { _ = server.Serve(listener) }()
	m.ends = append(m.ends, s.Pool.Close, server.Close, func() { _ = listener.Close() })
	m.all[host], m.read[host] = s, read
}

// countingConn counts the bytes read from a connection.
type countingConn struct {
	net.Conn
	read *atomic.Int64
}

func (c *countingConn) Read(into []byte) (int, error) {
	n, err := c.Conn.Read(into)
	c.read.Add(int64(n))
	return n, err
}

// update gives hosts the second version of the record.
func (m *cluster) update(bytes int, hosts ...string) {
	for _, host := range hosts {
		m.all[host].Kinds["k"].Changed([]registry.Change{{Record: largeRecord(2, bytes)}}, registry.Position{Revision: 2})
	}
}

// announce lets a host learn the versions of another.
func (m *cluster) announce(to, from string) {
	m.all[to].learn(from, from+":1", m.all[from].freshness.known(), nil, time.Now())
}

func (m *cluster) revision(host string) uint64 { return m.all[host].Kinds["k"].Revision() }

// A host fetches 300 KB over a slow link. Half way its source loses power and accepts no
// new connection. The fetch must resume at another host that announced the record, and
// transfer only the other half. Restarted, it would send the whole record over the link
// again.
func TestFetchResumesAtAnotherSource(t *testing.T) {
	const size = 300_000
	withCluster(t, func(m *cluster) {
		m.net.Links.SetBandwidth("asker", 10)
		m.update(size, "first", "second")
		m.announce("asker", "second")
		m.announce("asker", "first")
		time.Sleep(120 * time.Millisecond)
		must.Eq(t, 1, m.revision("asker"))
		m.net.Partition("asker", "first")
		m.net.Partition("asker", "second")
		m.net.Heal("asker", "second")
		m.announce("asker", "second")
		time.Sleep(time.Second)
		must.Eq(t, 2, m.revision("asker"))
		// Six bits of each byte, carried in four bytes for three.
		const wire = size * 6 / 8 * 4 / 3
		must.Between(t, wire, m.read["asker"].Load(), wire+wire/4)
	}, "asker", "first", "second")
}

// Three hosts announce a record, and the links of two pass nothing. Each of them must be
// abandoned after half a second and the third asked without waiting for another
// announcement.
func TestSilentSourceIsAbandoned(t *testing.T) {
	withCluster(t, func(m *cluster) {
		m.update(100_000, "stuck", "other", "full")
		for _, host := range []string{"stuck", "full"} {
			m.net.Links.SetBandwidth(host, 0.0001)
		}
		m.announce("asker", "stuck")
		time.Sleep(50 * time.Millisecond)
		m.announce("asker", "other")
		m.announce("asker", "full")
		time.Sleep(1200 * time.Millisecond)
		must.Eq(t, 2, m.revision("asker"))
	}, "asker", "stuck", "other", "full")
}

// Twelve hosts fetch a megabyte from one host whose link of 10 Mbit/s needs ten seconds
// for it all. No call can transfer the whole record within its timeout, yet all hosts must
// get it, with no more bytes than twelve times its size. In one call, no host would ever
// get it.
func TestLargeRecordOverASlowLink(t *testing.T) {
	hosts := []string{"source"}
	for i := range 12 {
		hosts = append(hosts, fmt.Sprintf("h%d", i))
	}
	withCluster(t, func(m *cluster) {
		m.net.Links.SetBandwidth("source", 10)
		const size = 1_000_000
		m.update(size, "source")
		for end := time.Now().Add(14 * time.Second); time.Now().Before(end); time.Sleep(largeFleetInterval) {
			for _, host := range hosts[1:] {
				m.announce(host, "source")
			}
		}
		total := int64(0)
		for _, host := range hosts[1:] {
			must.Eq(t, 2, m.revision(host), must.Sprint(host))
			total += m.read[host].Load()
		}
		must.Less(t, 12*size*5/4, total)
	}, hosts...)
}

// Twelve hosts that each lack different records fetch them at the same time from one host
// over a slow link. All must succeed: the archive for one host must not evict, again and
// again, the one that another host is fetching.
func TestConcurrentFetchesOfDifferentRecords(t *testing.T) {
	hosts := []string{"source"}
	for i := range 12 {
		hosts = append(hosts, fmt.Sprintf("h%d", i))
	}
	withCluster(t, func(m *cluster) {
		m.net.Links.SetBandwidth("source", 10)
		for i, host := range hosts[1:] {
			m.all[host].Kinds["k"].Changed([]registry.Change{{Record: registry.Record{Name: fmt.Sprint("own-", i), Revision: uint64(i + 2), Spec: json.RawMessage("1")}}}, registry.Position{Revision: uint64(i + 2)})
			m.all["source"].Kinds["k"].Changed([]registry.Change{{Record: registry.Record{Name: fmt.Sprint("own-", i), Revision: uint64(i + 2), Spec: json.RawMessage("1")}}}, registry.Position{Revision: uint64(i + 2)})
		}
		m.all["source"].Kinds["k"].Changed([]registry.Change{{Record: largeRecord(20, 60_000)}}, registry.Position{Revision: 20})
		for _, host := range hosts[1:] {
			m.announce(host, "source")
		}
		time.Sleep(3 * time.Second)
		for _, host := range hosts[1:] {
			must.Eq(t, 20, m.revision(host), must.Sprint(host))
		}
	}, hosts...)
}

// Unpacking restores what was packed. The same records give the same bytes under the same
// ID on any host, and other records another ID.
func TestPackingIsReversibleAndDeterministic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var records []registry.Record
		for i := range rapid.IntRange(0, 20).Draw(t, "records") {
			spec, err := json.Marshal(rapid.String().Draw(t, "spec"))
			must.NoError(t, err)
			records = append(records, registry.Record{Name: fmt.Sprint(i), Revision: uint64(i + 1), Spec: spec})
		}
		one, other := archiveCache{now: time.Now}, archiveCache{now: time.Now}
		packed, err := one.pack("k", records)
		must.NoError(t, err)
		same, err := other.pack("k", records)
		must.NoError(t, err)
		must.Eq(t, packed, same)
		partial := partialArchive{archive: packed}
		for !partial.complete() {
			data, ok := one.piece(partial.nextPiece())
			must.True(t, ok)
			must.NoError(t, partial.add(data))
		}
		unpacked, err := inflate(partial.data)
		must.NoError(t, err)
		must.Eq(t, len(records), len(unpacked))
		for i, record := range unpacked {
			must.Eq(t, records[i], record)
		}
		changed, err := one.pack("k", append(records, registry.Record{Name: "new", Revision: 99}))
		must.NoError(t, err)
		must.NotEq(t, packed.ID, changed.ID)
	})
}

// The cache stays bounded, and requests for evicted archives are refused.
func TestArchiveCacheIsBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	p := archiveCache{now: func() time.Time { return now }}
	first, err := p.pack("k", []registry.Record{largeRecord(1, 100)})
	must.NoError(t, err)
	for i := range 3 * maxArchives {
		now = now.Add(time.Millisecond)
		_, err := p.pack("k", []registry.Record{largeRecord(uint64(i+2), 100)})
		must.NoError(t, err)
	}
	must.Eq(t, maxArchives, len(p.archives))
	for i := range 5 {
		now = now.Add(time.Millisecond)
		_, err := p.pack("k", []registry.Record{largeRecord(uint64(1000+i), 1_000_000)})
		must.NoError(t, err)
	}
	must.Eq(t, 2, len(p.archives))
	_, ok := p.piece(PieceParams{ID: first.ID})
	must.False(t, ok)
	now = now.Add(archiveRetention + time.Second)
	_, err = p.pack("k", nil)
	must.NoError(t, err)
	must.Eq(t, 1, len(p.archives))
	_, ok = p.piece(PieceParams{ID: p.archives[0].id, Offset: -1})
	must.False(t, ok)
}

func FuzzInflate(f *testing.F) {
	packed, _ := deflate([]registry.Record{largeRecord(1, 100)})
	f.Add(packed)
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		// Unpacking must terminate on any input.
		_, _ = inflate(data)
	})
}
