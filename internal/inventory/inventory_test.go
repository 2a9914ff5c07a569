package inventory

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/shoenig/test/must"
)

func adapterNamed(i int) Adapter {
	return Adapter{Name: fmt.Sprintf("adapter-%06d", i), Base: "base", Versions: []string{"1", "2"}, Current: "1", Callers: []string{"*"}}
}

func snapshotOf(count int) *Snapshot {
	ops := make([]Op, 0, count)
	for i := range count {
		a := adapterNamed(i)
		ops = append(ops, Op{PutAdapter: &a})
	}
	snapshot, err := Empty().Apply(1, ops)
	if err != nil {
		panic(err)
	}
	return snapshot
}

func TestChangeIsAtomic(t *testing.T) {
	snapshot := snapshotOf(10)
	good, bad := adapterNamed(11), adapterNamed(12)
	bad.Current = "9"
	_, err := snapshot.Apply(2, []Op{{PutAdapter: &good}, {PutAdapter: &bad}})
	must.ErrorContains(t, err, "current version")
	must.Eq(t, 10, snapshot.Len())
	_, ok := snapshot.Adapter(good.Name)
	must.False(t, ok)
	_, err = snapshot.Apply(1, nil)
	must.ErrorContains(t, err, "not after revision")
}

func TestSnapshotsAreImmutable(t *testing.T) {
	before := snapshotOf(100)
	changed := adapterNamed(7)
	changed.Current = "2"
	after, err := before.Apply(2, []Op{{PutAdapter: &changed}, {DeleteAdapter: "adapter-000008"}})
	must.NoError(t, err)
	old, _ := before.Adapter("adapter-000007")
	must.Eq(t, "1", old.Current)
	current, _ := after.Adapter("adapter-000007")
	must.Eq(t, "2", current.Current)
	must.Eq(t, 100, before.Len())
	must.Eq(t, 99, after.Len())
	must.SliceEmpty(t, Diff(after, after.Document()))
	must.Len(t, 2, Diff(before, after.Document()))
}

func TestInvalidOpsAreRejected(t *testing.T) {
	priority := 12
	for text, op := range map[string]Op{
		"adapter name":    {PutAdapter: &Adapter{Name: "A b"}},
		"versions":        {PutAdapter: &Adapter{Name: "a", Base: "b"}},
		"listed twice":    {PutAdapter: &Adapter{Name: "a", Base: "b", Versions: []string{"1", "1"}}},
		"key_digest":      {PutCaller: &Caller{Name: "c", KeyDigest: "00"}},
		"not within":      {PutRule: &Rule{Name: "r", Priority: &priority}},
		"path_prefix":     {PutRule: &Rule{Name: "r", PathPrefix: "x"}},
		"changes nothing": {PutRule: &Rule{Name: "r"}},
		"puts and":        {},
	} {
		must.ErrorContains(t, op.Check(), text)
	}
}

func TestMemoryOf140000Adapters(t *testing.T) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	snapshot := snapshotOf(140_000)
	runtime.GC()
	runtime.ReadMemStats(&after)
	bytes := int64(after.HeapAlloc) - int64(before.HeapAlloc)
	t.Logf("%d bytes in total, %d per adapter", bytes, bytes/140_000)
	must.Less(t, 16_000_000, bytes)
	must.Eq(t, 140_000, snapshot.Len())
}

func BenchmarkResolve(b *testing.B) {
	for _, count := range []int{3_000, 140_000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			snapshot := snapshotOf(count)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				if _, _, err := snapshot.Resolve(fmt.Sprintf("adapter-%06d", i%count)); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func BenchmarkApplyOne(b *testing.B) {
	for _, count := range []int{3_000, 140_000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			snapshot := snapshotOf(count)
			a := adapterNamed(5)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				next, err := snapshot.Apply(snapshot.Revision()+1, []Op{{PutAdapter: &a}})
				if err != nil {
					b.Fatal(err)
				}
				snapshot = next
			}
		})
	}
}
