package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

var begin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func after(d time.Duration) time.Time { return begin.Add(d) }

// endsUnder counts so many ends of runners under a request, one a second from a moment on.
func endsUnder(q *Quarantine, content Fingerprint, ends int, from time.Duration) {
	for i := range ends {
		at := after(from + time.Duration(i)*time.Second)
		q.Count(Truncation{Content: content, Runner: fmt.Sprintf("r%d", i), At: at}, at)
	}
}

func held(q *Quarantine, content Fingerprint, at time.Duration) bool {
	_, held := q.BlockedFor(content, after(at))
	return held
}

// A request ends one runner after the other. It is kept from the others once three have
// ended and nobody has answered it whole, for ten minutes, and one further end suffices then.
func TestHeldAfterThreeEnds(t *testing.T) {
	q := New()
	endsUnder(q, 1, 2, 0)
	must.False(t, held(q, 1, 5*time.Second))
	must.Eq(t, CountResult{Crashes: 3, Suspected: true}, q.Count(Truncation{Content: 1, Runner: "r2", At: after(2 * time.Second)}, after(2*time.Second)))
	must.False(t, held(q, 1, 2*time.Second+confirmWait-1), must.Sprint("the others may clear it first"))
	must.True(t, held(q, 1, 2*time.Second+confirmWait))
	left, _ := q.BlockedFor(1, after(time.Minute))
	must.Eq(t, holdTime-58*time.Second, left)

	released := 2*time.Second + holdTime
	must.False(t, held(q, 1, released))
	must.MapEmpty(t, q.Snapshot(after(released)))
	must.True(t, q.Count(Truncation{Content: 1, Runner: "r9", At: after(released + time.Second)}, after(released+time.Second)).Suspected)
	must.True(t, held(q, 1, released+time.Second), must.Sprint("at once"))
}

// Several answers break off at one end of a runner, and several hosts report the same. They
// count once; the same instance may end again after it came back.
func TestOneEndCountsOnce(t *testing.T) {
	q := New()
	for i, at := range []time.Duration{0, 3 * time.Millisecond, 400 * time.Millisecond} {
		must.Eq(t, 1, q.Count(Truncation{Content: 1, Runner: "r", At: after(at)}, after(time.Second)).Crashes, must.Sprint(i))
	}
	must.Eq(t, 2, q.Count(Truncation{Content: 1, Runner: "r", At: after(4 * time.Second)}, after(4*time.Second)).Crashes)
}

// Ends that lie far apart are no sign of a request that ends runners.
func TestOldEndsAreForgotten(t *testing.T) {
	q := New()
	endsUnder(q, 1, 2, 0)
	endsUnder(q, 1, 2, memory+time.Minute)
	must.False(t, held(q, 1, memory+time.Hour))
	must.Eq(t, 0, q.Size())
}

// A popular request runs beside three ends. Another host has answered it whole since, and
// says so before anybody turns a caller away.
func TestPopularRequestIsCleared(t *testing.T) {
	counting, serving := New(), New()
	serving.RecordCompletion(1, after(time.Second))
	endsUnder(counting, 1, 3, 0)
	news := serving.Merge(counting.Entries(after(2200*time.Millisecond)), after(2200*time.Millisecond))
	must.Len(t, 1, news)
	must.True(t, news[0].Cleared)
	must.False(t, held(serving, 1, time.Minute))
	counting.Merge(serving.Entries(after(2300*time.Millisecond)), after(2300*time.Millisecond))
	must.False(t, held(counting, 1, time.Minute))
	must.Eq(t, counting.Digest(), serving.Digest())
	endsUnder(counting, 1, 3, 10*time.Second)
	must.False(t, held(counting, 1, time.Minute), must.Sprint("not suspected again so soon"))
}

// Three runners are lost at one moment, and with them all that ran there. What was served
// shortly before is not suspect for it, on the host that served it and on the others.
func TestRunnersLostTogether(t *testing.T) {
	counting, serving := New(), New()
	serving.RecordCompletion(1, begin)
	for i := range 3 {
		at := after(5 * time.Second)
		counting.Count(Truncation{Content: 1, Runner: fmt.Sprintf("r%d", i), At: at}, at)
	}
	serving.Merge(counting.Entries(after(5*time.Second)), after(5*time.Second))
	counting.Merge(serving.Entries(after(5*time.Second)), after(5*time.Second))
	must.False(t, held(counting, 1, 10*time.Second))

	serving.RecordTruncation(Truncation{Content: 1, Runner: "r", At: after(5 * time.Second)})
	must.False(t, serving.Pending())
}

// A request is kept from runners, and an answer to it that was under way comes whole after
// all. It is sent again from then on.
func TestLateAnswerClears(t *testing.T) {
	q := New()
	endsUnder(q, 1, 3, 0)
	must.True(t, held(q, 1, 5*time.Second))
	q.RecordCompletion(1, after(6*time.Second))
	must.False(t, held(q, 1, 6*time.Second))
}

// Connections break off for many reasons. A runner that answers what was sent later has not
// ended, and its cut answers are not reported.
func TestCutsOfRunnersThatLive(t *testing.T) {
	q := New()
	q.RecordTruncation(Truncation{Content: 1, Runner: "alive", At: begin})
	q.RecordTruncation(Truncation{Content: 2, Runner: "ended", At: begin})
	alive := func(runner string, _ time.Time) bool { return runner == "alive" }
	due, _ := q.TakeDue(after(settle-1), alive)
	must.SliceEmpty(t, due)
	must.True(t, q.Pending())
	due, _ = q.TakeDue(after(settle), alive)
	must.Eq(t, []Truncation{{Content: 2, Runner: "ended", At: begin}}, due)
	must.False(t, q.Pending())
}

// All runners of a data centre are lost. What a host keeps of it is bounded, and what is
// dropped is told.
func TestBounds(t *testing.T) {
	q := New()
	for i := range 2 * maxPending {
		q.RecordTruncation(Truncation{Content: Fingerprint(i), Runner: "r", At: begin})
	}
	due, dropped := q.TakeDue(after(settle), func(string, time.Time) bool { return false })
	must.Len(t, maxPending, due)
	must.Eq(t, maxPending, dropped)
	for i := range 2 * maxSuspects {
		q.Count(Truncation{Content: Fingerprint(i), Runner: "r", At: begin}, begin)
	}
	must.MapLen(t, maxSuspects, q.ledger)
	for i := range 2 * maxEntries {
		q.Restore(Fingerprint(i), 1, begin)
	}
	must.Eq(t, maxEntries, q.Size())
	for i := range 10 * completionShards * completionsPerShard {
		q.RecordCompletion(Fingerprint(i), begin)
	}
	for i := range q.completions.shards {
		must.LessEq(t, 2*completionsPerShard, len(q.completions.shards[i].young)+len(q.completions.shards[i].old))
	}
	q.Prune(after(holdTime + halfOpenTime + time.Second))
	must.Eq(t, 0, q.Size())
	must.MapEmpty(t, q.ledger)
}

// Two requests run side by side wherever a runner ends, and neither is ever answered: by
// the ends alone, each may be the cause. Kept away both, the harmless one could no longer
// be answered and cleared. The one that runners never had for long is kept; if that is the wrong
// one, the other has an end of its own, and the two change places. Both are kept if both
// end runners by themselves.
func TestRequestsThatRunSideBySide(t *testing.T) {
	const quick, slow = 1, 2
	both := func() *Quarantine {
		q := New()
		for i := range 3 {
			at := after(time.Duration(i) * time.Second)
			for content, lasted := range map[Fingerprint]time.Duration{quick: 60 * time.Millisecond, slow: time.Second} {
				q.Count(Truncation{Content: content, Runner: fmt.Sprintf("r%d", i), At: at, Elapsed: lasted}, at)
			}
		}
		must.True(t, held(q, quick, 4*time.Second))
		must.False(t, held(q, slow, 4*time.Second))
		return q
	}
	right := both()
	right.RecordCompletion(slow, after(5*time.Second))
	must.True(t, held(right, quick, time.Minute))
	must.False(t, held(right, slow, time.Minute))

	wrong := both()
	wrong.Count(Truncation{Content: slow, Runner: "r3", At: after(5 * time.Second), Elapsed: time.Second}, after(5*time.Second))
	must.True(t, held(wrong, slow, 6*time.Second))
	must.False(t, held(wrong, quick, 6*time.Second))

	two := both()
	for i := range 2 {
		at := after(time.Duration(5+i) * time.Second)
		two.Count(Truncation{Content: slow, Runner: fmt.Sprintf("s%d", i), At: at, Elapsed: time.Second}, at)
	}
	for i := range 2 {
		at := after(time.Duration(8+i) * time.Second)
		two.Count(Truncation{Content: quick, Runner: fmt.Sprintf("q%d", i), At: at, Elapsed: time.Second}, at)
	}
	must.True(t, held(two, slow, time.Minute))
	must.True(t, held(two, quick, time.Minute))
}

// A host that starts reads that a request is kept from runners. It keeps to that at once.
func TestRecorded(t *testing.T) {
	q := New()
	must.True(t, q.Restore(1, 2, begin))
	must.False(t, q.Restore(1, 2, begin))
	must.True(t, held(q, 1, 0))
	must.Eq(t, 2, q.Snapshot(begin)[1])
}

// Hosts hear of suspicions, of further rounds and that a request was cleared in any order
// and more than once. They end up with the same list.
func TestHostsAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		told := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Entry {
			return Entry{
				Content: Fingerprint(rapid.IntRange(1, 3).Draw(t, "content")),
				Round:   rapid.IntRange(1, 3).Draw(t, "round"),
				Cleared: rapid.Bool().Draw(t, "cleared"),
				AgeMS:   int64(rapid.IntRange(0, 1000).Draw(t, "age")),
			}
		}), 1, 12).Draw(t, "told")
		a, b := New(), New()
		for _, one := range told {
			a.Merge([]Entry{one}, begin)
		}
		for _, one := range rapid.Permutation(told).Draw(t, "again") {
			b.Merge([]Entry{one, one}, begin)
		}
		must.Eq(t, a.Digest(), b.Digest())
		a.Merge(b.Entries(begin), begin)
		must.Eq(t, a.Digest(), b.Digest())
	})
}

// BenchmarkHeld is what each request pays for the look at an ordinary list: 16 ns, and 2.2 µs
// for the fingerprint of 2 KB.
func BenchmarkHeld(b *testing.B) {
	q := New()
	for i := range 8 {
		q.Restore(Fingerprint(i), 1, begin)
	}
	for b.Loop() {
		q.BlockedFor(99, begin)
	}
}

func BenchmarkFingerprint(b *testing.B) {
	content := Content{Method: "POST", Authority: "a.example", RequestURI: "/live/x", Adapter: "base/a1", Body: make([]byte, 2048)}
	for b.Loop() {
		content.Fingerprint()
	}
}

// BenchmarkFullList is what a host pays for one change of a list that is full: 2.7 ms.
func BenchmarkFullList(b *testing.B) {
	entries := map[Fingerprint]entry{}
	for i := range maxEntries {
		e := entry{round: 1, at: begin}
		for j := range maxEnds {
			e.ends = append(e.ends, end{runner: fmt.Sprintf("i-%d-%d", i/2, j), at: begin})
		}
		entries[Fingerprint(i)] = e
	}
	for b.Loop() {
		newList(entries)
	}
}
