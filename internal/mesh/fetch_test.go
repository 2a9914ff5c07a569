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

// largeRecord is a record that packing hardly makes smaller.
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

// meshes are services that reach each other over a network in memory.
type meshes struct {
	net  *standin.Network
	read map[string]*atomic.Int64
	all  map[string]*Service
	ends []func()
}

// inMeshes runs a test in virtual time with the services of some hosts that know one record
// "main" of kind "k" as of revision 1.
func inMeshes(t *testing.T, run func(m *meshes), hosts ...string) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		m := &meshes{net: standin.NewNetwork(), read: map[string]*atomic.Int64{}, all: map[string]*Service{}}
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

func (m *meshes) start(t *testing.T, host string) {
	self := peer.Identity{Host: host, Incarnation: "one"}
	read := &atomic.Int64{}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := m.net.Host(host).Dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &counted{Conn: conn, read: read}, nil
	}
	replica := registry.NewReplica()
	replica.Listed([]registry.Record{{Name: "main", Revision: 1, Spec: json.RawMessage("1")}}, registry.Position{Revision: 1})
	s := NewService(Deps{
		Self: self, Address: host + ":1", State: NewState(host, usual, time.Now()), Kinds: map[string]*registry.Replica{"k": replica},
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

// counted counts what is read of a connection.
type counted struct {
	net.Conn
	read *atomic.Int64
}

func (c *counted) Read(into []byte) (int, error) {
	n, err := c.Conn.Read(into)
	c.read.Add(int64(n))
	return n, err
}

// change gives hosts the second version of the record.
func (m *meshes) change(bytes int, hosts ...string) {
	for _, host := range hosts {
		m.all[host].Kinds["k"].Changed([]registry.Change{{Record: largeRecord(2, bytes)}}, registry.Position{Revision: 2})
	}
}

// tell has a host hear what another one knows.
func (m *meshes) tell(to, from string) {
	m.all[to].learn(from, from+":1", m.all[from].freshness.known(), nil, time.Now())
}

func (m *meshes) revision(host string) uint64 { return m.all[host].Kinds["k"].Revision() }

// A host fetches 300 KB over a thin link. Half way its source loses power, and no new
// connection reaches it. The fetch goes on at another host that had told of the record too,
// and fetches the other half. Begun anew, it would take the link for the whole once more.
func TestFetchGoesOnAtAnotherSource(t *testing.T) {
	const size = 300_000
	inMeshes(t, func(m *meshes) {
		m.net.Links.Limit("asker", 10)
		m.change(size, "first", "second")
		m.tell("asker", "second")
		m.tell("asker", "first")
		time.Sleep(120 * time.Millisecond)
		must.Eq(t, 1, m.revision("asker"))
		m.net.Cut("asker", "first")
		m.net.Cut("asker", "second")
		m.net.Mend("asker", "second")
		m.tell("asker", "second")
		time.Sleep(time.Second)
		must.Eq(t, 2, m.revision("asker"))
		// Six bits of each byte, carried in four bytes for three.
		const wire = size * 6 / 8 * 4 / 3
		must.Between(t, wire, m.read["asker"].Load(), wire+wire/4)
	}, "asker", "first", "second")
}

// Three hosts tell of a record, and the links of two let nothing through. Each is left after
// half a second, and the third is asked without waiting until it tells again.
func TestSilentSourceIsLeft(t *testing.T) {
	inMeshes(t, func(m *meshes) {
		m.change(100_000, "stuck", "other", "full")
		for _, host := range []string{"stuck", "full"} {
			m.net.Links.Limit(host, 0.0001)
		}
		m.tell("asker", "stuck")
		time.Sleep(50 * time.Millisecond)
		m.tell("asker", "other")
		m.tell("asker", "full")
		time.Sleep(1200 * time.Millisecond)
		must.Eq(t, 2, m.revision("asker"))
	}, "asker", "stuck", "other", "full")
}

// Twelve hosts fetch a megabyte from one over links of 10 Mbit/s, which takes its link ten
// seconds. None gets anything within the limit of a call, and all get it in the end, with no
// more bytes than twelve times what it is. Fetched in one call, nobody would ever get it.
func TestLargeRecordThroughOneThinLink(t *testing.T) {
	hosts := []string{"source"}
	for i := range 12 {
		hosts = append(hosts, fmt.Sprintf("h%d", i))
	}
	inMeshes(t, func(m *meshes) {
		m.net.Links.Limit("source", 10)
		const size = 1_000_000
		m.change(size, "source")
		for end := time.Now().Add(14 * time.Second); time.Now().Before(end); time.Sleep(largeFleetInterval) {
			for _, host := range hosts[1:] {
				m.tell(host, "source")
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

// Twelve hosts that each lack something else fetch it from one over a thin link at the same
// time. Each gets it: what is kept packed for one does not push out what another has begun
// to fetch, again and again.
func TestHostsThatLackDifferentRecords(t *testing.T) {
	hosts := []string{"source"}
	for i := range 12 {
		hosts = append(hosts, fmt.Sprintf("h%d", i))
	}
	inMeshes(t, func(m *meshes) {
		m.net.Links.Limit("source", 10)
		for i, host := range hosts[1:] {
			m.all[host].Kinds["k"].Changed([]registry.Change{{Record: registry.Record{Name: fmt.Sprint("own-", i), Revision: uint64(i + 2), Spec: json.RawMessage("1")}}}, registry.Position{Revision: uint64(i + 2)})
			m.all["source"].Kinds["k"].Changed([]registry.Change{{Record: registry.Record{Name: fmt.Sprint("own-", i), Revision: uint64(i + 2), Spec: json.RawMessage("1")}}}, registry.Position{Revision: uint64(i + 2)})
		}
		m.all["source"].Kinds["k"].Changed([]registry.Change{{Record: largeRecord(20, 60_000)}}, registry.Position{Revision: 20})
		for _, host := range hosts[1:] {
			m.tell(host, "source")
		}
		time.Sleep(3 * time.Second)
		for _, host := range hosts[1:] {
			must.Eq(t, 20, m.revision(host), must.Sprint(host))
		}
	}, hosts...)
}

// Whatever the records are, what a host unpacks is what another one packed; two that hold
// the same give the same bytes under the same ID, and others another ID.
func TestPackedRecords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var records []registry.Record
		for i := range rapid.IntRange(0, 20).Draw(t, "records") {
			spec, err := json.Marshal(rapid.String().Draw(t, "spec"))
			must.NoError(t, err)
			records = append(records, registry.Record{Name: fmt.Sprint(i), Revision: uint64(i + 1), Spec: spec})
		}
		one, other := archiveCache{now: time.Now}, archiveCache{now: time.Now}
		parcel, err := one.pack("k", records)
		must.NoError(t, err)
		same, err := other.pack("k", records)
		must.NoError(t, err)
		must.Eq(t, parcel, same)
		left := partialArchive{archive: parcel}
		for !left.complete() {
			data, ok := one.piece(left.nextPiece())
			must.True(t, ok)
			must.NoError(t, left.add(data))
		}
		unpacked, err := inflate(left.data)
		must.NoError(t, err)
		must.Eq(t, len(records), len(unpacked))
		for i, record := range unpacked {
			must.Eq(t, records[i], record)
		}
		changed, err := one.pack("k", append(records, registry.Record{Name: "new", Revision: 99}))
		must.NoError(t, err)
		must.NotEq(t, parcel.ID, changed.ID)
	})
}

// What is kept packed stays bounded, and hosts that ask for what is no longer kept are told.
func TestParcelsAreForgotten(t *testing.T) {
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
		// Whatever a peer sends, unpacking it ends.
		_, _ = inflate(data)
	})
}
