package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/cherrystage/cherrystage/internal/standstill"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func after(d time.Duration) time.Time { return epoch.Add(d) }

// countCrashes counts a number of crashes against a request, one per second.
func countCrashes(q *Quarantine, content Fingerprint, crashes int, from time.Duration) {
	for i := range crashes {
		at := after(from + time.Duration(i)*time.Second)
		q.Count(Truncation{Content: content, Runner: fmt.Sprintf("r%d", i), At: at}, at)
	}
}

func blocked(q *Quarantine, content Fingerprint, at time.Duration) bool {
	_, blocked := q.BlockedFor(content, after(at))
	return blocked
}

// A request that has crashed three runners is blocked for ten minutes, unless a host has
// completed it. After that, one more crash blocks it at once.
func TestQuarantinedAfterThreeCrashes(t *testing.T) {
	q := New()
	countCrashes(q, 1, 2, 0)
	must.False(t, blocked(q, 1, 5*time.Second))
	must.Eq(t, CountResult{Crashes: 3, Suspected: true}, q.Count(Truncation{Content: 1, Runner: "r2", At: after(2 * time.Second)}, after(2*time.Second)))
	must.False(t, blocked(q, 1, 2*time.Second+confirmationDelay-1), must.Sprint("other hosts may clear it first"))
	must.True(t, blocked(q, 1, 2*time.Second+confirmationDelay))
	remaining, _ := q.BlockedFor(1, after(time.Minute))
	must.Eq(t, quarantineDuration-58*time.Second, remaining)

	released := 2*time.Second + quarantineDuration
	must.False(t, blocked(q, 1, released))
	must.MapEmpty(t, q.Snapshot(after(released)))
	must.True(t, q.Count(Truncation{Content: 1, Runner: "r9", At: after(released + time.Second)}, after(released+time.Second)).Suspected)
	must.True(t, blocked(q, 1, released+time.Second), must.Sprint("blocked without delay"))
}

// Several truncated responses from one crash, also when several hosts report them, count once.
// The same instance may crash again after a restart.
func TestOneCrashCountsOnce(t *testing.T) {
	q := New()
	for i, at := range []time.Duration{0, 3 * time.Millisecond, 400 * time.Millisecond} {
		must.Eq(t, 1, q.Count(Truncation{Content: 1, Runner: "r", At: after(at)}, after(time.Second)).Crashes, must.Sprint(i))
	}
	must.Eq(t, 2, q.Count(Truncation{Content: 1, Runner: "r", At: after(4 * time.Second)}, after(4*time.Second)).Crashes)
}

// Crashes that are far apart do not make a request suspect.
func TestOldCrashesExpire(t *testing.T) {
	q := New()
	countCrashes(q, 1, 2, 0)
	countCrashes(q, 1, 2, evidenceTTL+time.Minute)
	must.False(t, blocked(q, 1, evidenceTTL+time.Hour))
	must.Eq(t, 0, q.Size())
}

// A popular request runs on three runners that crash. Another host has completed it since and
// clears it before any caller is refused.
func TestPopularRequestIsCleared(t *testing.T) {
	counting, serving := New(), New()
	serving.RecordCompletion(Subject{Fingerprint: 1}, after(time.Second))
	countCrashes(counting, 1, 3, 0)
	changed := serving.Merge(counting.Entries(after(2200*time.Millisecond)), after(2200*time.Millisecond))
	must.Len(t, 1, changed)
	must.True(t, changed[0].Cleared)
	must.False(t, blocked(serving, 1, time.Minute))
	counting.Merge(serving.Entries(after(2300*time.Millisecond)), after(2300*time.Millisecond))
	must.False(t, blocked(counting, 1, time.Minute))
	must.Eq(t, counting.Digest(), serving.Digest())
	countCrashes(counting, 1, 3, 10*time.Second)
	must.False(t, blocked(counting, 1, time.Minute), must.Sprint("a cleared request does not become suspect again immediately"))
}

// Three runners are lost at the same time. A request that was completed shortly before does not
// become suspect, neither on the host that completed it nor on others.
func TestSimultaneousLossDoesNotBlockCompletedRequest(t *testing.T) {
	counting, serving := New(), New()
	serving.RecordCompletion(Subject{Fingerprint: 1}, epoch)
	for i := range 3 {
		at := after(5 * time.Second)
		counting.Count(Truncation{Content: 1, Runner: fmt.Sprintf("r%d", i), At: at}, at)
	}
	serving.Merge(counting.Entries(after(5*time.Second)), after(5*time.Second))
	counting.Merge(serving.Entries(after(5*time.Second)), after(5*time.Second))
	must.False(t, blocked(counting, 1, 10*time.Second))

	serving.RecordTruncation(Truncation{Content: 1, Runner: "r", At: after(5 * time.Second)})
	must.False(t, serving.Pending())
}

// A request is blocked while a response to it is in flight. When the response completes, the
// request is cleared.
func TestLateCompletionClearsBlockedRequest(t *testing.T) {
	q := New()
	countCrashes(q, 1, 3, 0)
	must.True(t, blocked(q, 1, 5*time.Second))
	q.RecordCompletion(Subject{Fingerprint: 1}, after(6*time.Second))
	must.False(t, blocked(q, 1, 6*time.Second))
}

// A runner that responds to a later request has not crashed, and its truncated responses are not
// reported.
func TestTruncationsOfLiveRunnersAreNotReported(t *testing.T) {
	q := New()
	q.RecordTruncation(Truncation{Content: 1, Runner: "alive", At: epoch})
	q.RecordTruncation(Truncation{Content: 2, Runner: "ended", At: epoch})
	liveness := func(runner string, _ time.Time) Liveness { return map[string]Liveness{"alive": Alive}[runner] }
	due, _ := q.TakeDue(after(livenessDelay-1), liveness)
	must.SliceEmpty(t, due)
	must.True(t, q.Pending())
	due, _ = q.TakeDue(after(livenessDelay), liveness)
	must.Eq(t, []Truncation{{Content: 2, Runner: "ended", At: epoch}}, due)
	must.False(t, q.Pending())
}

// A host that reaches no runner does not know whether they have crashed. It waits for the answer,
// but not for ever.
func TestTruncationsWaitWhileNothingIsKnown(t *testing.T) {
	q := New()
	q.RecordTruncation(Truncation{Content: 1, Runner: "r", At: epoch})
	unknown := func(string, time.Time) Liveness { return Unknown }
	due, _ := q.TakeDue(after(maxLivenessDelay-1), unknown)
	must.SliceEmpty(t, due)
	must.True(t, q.Pending())
	due, _ = q.TakeDue(after(maxLivenessDelay), unknown)
	must.Len(t, 1, due)
}

// Connections to a runner break, and the host is suspended before the runner can respond to anything
// else. When it wakes, that response lies in a socket. If the time of the suspension counted, the host
// would report a crash, and three such reports would block the request for all callers.
func TestRunnerMayProveThatItLivesAfterAStandstill(t *testing.T) {
	for _, length := range []time.Duration{1500 * time.Millisecond, 3 * time.Second} {
		q := New()
		q.Standstill = &standstill.Monitor{}
		q.Standstill.Tick(epoch)
		for content, liveness := range map[Fingerprint]Liveness{1: Silent, 2: Unknown, 3: Gone} {
			q.RecordTruncation(Truncation{Content: content, Runner: "r", At: epoch})
			due, _ := q.TakeDue(after(length), func(string, time.Time) Liveness { return liveness })
			must.SliceEmpty(t, due)
		}
		must.True(t, q.Pending())
		q.Standstill.Tick(after(length))
		for ms := time.Duration(50); ms <= 1200; ms += 50 {
			q.Standstill.Tick(after(length + ms*time.Millisecond))
		}
		due, _ := q.TakeDue(after(length+livenessDelay+50*time.Millisecond), func(string, time.Time) Liveness { return Silent })
		must.Len(t, 3, due, must.Sprint("runners that stayed silent"))
	}
}

// After the loss of all runners of a data centre, the state that a host keeps is bounded and the
// number of dropped truncations is returned.
func TestRetainedStateIsBounded(t *testing.T) {
	q := New()
	for depth, limit := range []int{maxPendingRequests, maxPendingParts} {
		for i := range 2 * limit {
			q.RecordTruncation(Truncation{Content: Fingerprint(i), Depth: depth, Runner: "r", At: epoch})
		}
		due, dropped := q.TakeDue(after(livenessDelay), func(string, time.Time) Liveness { return Silent })
		must.Len(t, limit, due)
		must.Eq(t, limit, dropped)
	}
	for depth, limit := range []int{maxTrackedRequests, maxTrackedParts} {
		for i := range 2 * limit {
			q.Count(Truncation{Content: Fingerprint(i), Depth: depth, Runner: "r", At: epoch}, epoch)
		}
		must.Between(t, 3*limit/4, len(q.ledgerOf(depth).subjects), limit)
	}
	for i := range 2 * maxEntries {
		q.Restore(Fingerprint(i), 1, epoch)
	}
	must.Eq(t, maxEntries, q.Size())
	for i := range 10 * completionShards * completionsPerShard {
		q.RecordCompletion(Subject{Fingerprint: Fingerprint(i)}, epoch)
	}
	for i := range q.completions.shards {
		must.LessEq(t, 2*completionsPerShard, len(q.completions.shards[i].current)+len(q.completions.shards[i].previous))
	}
	q.Prune(after(quarantineDuration + halfOpenDuration + time.Second))
	must.Eq(t, 0, q.Size())
	must.MapEmpty(t, q.requests.subjects)
	must.MapEmpty(t, q.parts.subjects)
}

// Two requests always run together, and neither is completed, so that each may be the cause of
// the crashes. If both were blocked, the harmless one could not complete and be cleared. The one
// that runners had for the shorter time is blocked; if the other causes a crash of its own, the
// two change places. Both are blocked if each causes crashes of its own.
func TestRequestsThatAlwaysRunTogether(t *testing.T) {
	const quick, slow = 1, 2
	both := func() *Quarantine {
		q := New()
		for i := range 3 {
			at := after(time.Duration(i) * time.Second)
			for content, lasted := range map[Fingerprint]time.Duration{quick: 60 * time.Millisecond, slow: time.Second} {
				q.Count(Truncation{Content: content, Runner: fmt.Sprintf("r%d", i), At: at, Elapsed: lasted}, at)
			}
		}
		must.True(t, blocked(q, quick, 4*time.Second))
		must.False(t, blocked(q, slow, 4*time.Second))
		return q
	}
	right := both()
	right.RecordCompletion(Subject{Fingerprint: slow}, after(5*time.Second))
	must.True(t, blocked(right, quick, time.Minute))
	must.False(t, blocked(right, slow, time.Minute))

	wrong := both()
	wrong.Count(Truncation{Content: slow, Runner: "r3", At: after(5 * time.Second), Elapsed: time.Second}, after(5*time.Second))
	must.True(t, blocked(wrong, slow, 6*time.Second))
	must.False(t, blocked(wrong, quick, 6*time.Second))

	two := both()
	for i := range 2 {
		at := after(time.Duration(5+i) * time.Second)
		two.Count(Truncation{Content: slow, Runner: fmt.Sprintf("s%d", i), At: at, Elapsed: time.Second}, at)
	}
	for i := range 2 {
		at := after(time.Duration(8+i) * time.Second)
		two.Count(Truncation{Content: quick, Runner: fmt.Sprintf("q%d", i), At: at, Elapsed: time.Second}, at)
	}
	must.True(t, blocked(two, slow, time.Minute))
	must.True(t, blocked(two, quick, time.Minute))
}

// A host that starts blocks the requests in the persistent record at once.
func TestRestoredRequestsAreBlockedAtOnce(t *testing.T) {
	q := New()
	must.True(t, q.Restore(1, 2, epoch))
	must.False(t, q.Restore(1, 2, epoch))
	must.True(t, blocked(q, 1, 0))
	must.Eq(t, 2, q.Snapshot(epoch)[1])
}

// A request that this host knows as cleared became suspect again on other hosts, of which it
// hears nothing. The record of the later round must block it here too.
func TestRecordOfALaterRoundIsApplied(t *testing.T) {
	q := New()
	q.Merge([]Entry{{Content: 1, Round: 1, Cleared: true}}, epoch)
	must.False(t, q.Restore(1, 1, epoch), must.Sprint("cleared since"))
	must.True(t, q.Restore(1, 2, epoch))
	must.True(t, blocked(q, 1, 0))
}

// Hosts that receive the same entries in any order and any number of times end up with the same
// list.
func TestHostsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		received := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Entry {
			return Entry{
				Content: Fingerprint(rapid.IntRange(1, 3).Draw(t, "content")),
				Round:   rapid.IntRange(1, 3).Draw(t, "round"),
				Cleared: rapid.Bool().Draw(t, "cleared"),
				AgeMS:   int64(rapid.IntRange(0, 1000).Draw(t, "age")),
			}
		}), 1, 12).Draw(t, "told")
		a, b := New(), New()
		for _, entry := range received {
			a.Merge([]Entry{entry}, epoch)
		}
		for _, entry := range rapid.Permutation(received).Draw(t, "again") {
			b.Merge([]Entry{entry, entry}, epoch)
		}
		must.Eq(t, a.Digest(), b.Digest())
		a.Merge(b.Entries(epoch), epoch)
		must.Eq(t, a.Digest(), b.Digest())
	})
}

// BenchmarkBlockedFor measures the lookup that every request makes in a list of ordinary size:
// 16 ns, plus 2.2 µs for the fingerprint of 2 KB.
func BenchmarkBlockedFor(b *testing.B) {
	q := New()
	for i := range 8 {
		q.Restore(Fingerprint(i), 1, epoch)
	}
	for b.Loop() {
		q.BlockedFor(99, epoch)
	}
}

func BenchmarkFingerprint(b *testing.B) {
	content := Content{Method: "POST", Authority: "a.example", RequestURI: "/live/x", Adapter: "base/a1", Body: make([]byte, 2048)}
	for b.Loop() {
		content.Fingerprint()
	}
}

// BenchmarkFullList measures one change of a full list: 2.7 ms.
func BenchmarkFullList(b *testing.B) {
	entries := map[Fingerprint]entry{}
	for i := range maxEntries {
		e := entry{round: 1, changedAt: epoch}
		for j := range maxCrashes {
			e.crashes = append(e.crashes, crash{runner: fmt.Sprintf("i-%d-%d", i/2, j), at: epoch})
		}
		entries[Fingerprint(i)] = e
	}
	for b.Loop() {
		newList(entries)
	}
}
