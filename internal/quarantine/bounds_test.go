package quarantine

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// longestList is the number of parts that a header of 16 KB can name.
const longestList = 4096

// subjectsFrom returns the subjects of a prompt with the given number of parts, of its own from one on.
func subjectsFrom(first, count int) []Subject {
	subjects := make([]Subject, 0, count)
	for i := range count {
		subjects = append(subjects, Subject{Fingerprint: Fingerprint(first + i), Depth: i + 1})
	}
	return subjects
}

// Prompts of the longest header, no part of which comes twice, are cut off and completed by the hundred:
// what a host keeps of them must stay bounded.
func TestStateOfTheLongestPromptsIsBounded(t *testing.T) {
	const mostBytes = 16 << 20
	q := New()
	var before, held runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for i := range 100 {
		at := after(time.Duration(i) * 300 * time.Millisecond)
		runner := fmt.Sprintf("i-%010d", i)
		q.RecordTruncations(subjectsFrom(i*longestList, longestList), Truncation{Runner: runner, At: at})
		q.RecordCompletions(subjectsFrom((1000+i)*longestList, longestList), at)
		due, _ := q.TakeDue(at.Add(livenessDelay), func(string, time.Time) Liveness { return Silent })
		q.CountAll(due, at.Add(livenessDelay))
	}
	runtime.GC()
	runtime.ReadMemStats(&held)
	must.Less(t, mostBytes, int64(held.HeapAlloc)-int64(before.HeapAlloc))
	must.LessEq(t, maxTrackedParts, len(q.parts.subjects))
	must.LessEq(t, maxEntries, q.Size())
	runtime.KeepAlive(q)
}

// All parts of prompts of a thousand parts have the same crashes, and nothing is answered in between.
// The list keeps the likeliest causes and not the first; once the others run without the bad part, it is
// the only one that is blocked.
func TestBadPartOfAThousandIsFound(t *testing.T) {
	const parts, badPlace = 1000, 17
	q := New()
	prompt := subjectsFrom(1, parts)
	for i := range 3 {
		countAt(q, fmt.Sprintf("r%d", i), time.Duration(i)*time.Second, 50*time.Millisecond, prompt...)
	}
	must.LessEq(t, maxEntries, q.Size())
	bad := prompt[badPlace]
	for _, subject := range prompt {
		if subject != bad {
			q.RecordCompletion(subject, after(3*time.Second))
		}
	}
	countAt(q, "r3", 4*time.Second, 50*time.Millisecond, bad)
	must.True(t, blocked(q, bad.Fingerprint, 5*time.Second))
	for _, subject := range prompt {
		must.Eq(t, subject == bad, blocked(q, subject.Fingerprint, 5*time.Second))
	}
}

// A loss of many runners leaves more evidence than a host keeps. What crashes runners afterwards must be
// counted all the same, and what already had two crashes must keep them.
func TestLossDoesNotKeepLaterCrashesFromBeingCounted(t *testing.T) {
	for depth, limit := range []int{maxTrackedRequests, maxTrackedParts} {
		q := New()
		earlier, later := Subject{Fingerprint: 1, Depth: depth}, Subject{Fingerprint: 2, Depth: depth}
		countAt(q, "e1", 0, 0, earlier)
		countAt(q, "e2", time.Second, 0, earlier)
		for i := range 2 * limit {
			countAt(q, "lost", 2*time.Second, 0, Subject{Fingerprint: Fingerprint(100 + i), Depth: depth})
		}
		must.True(t, countAt(q, "e3", 3*time.Second, 0, earlier).Suspected)
		for i := range 2 {
			countAt(q, fmt.Sprintf("l%d", i), time.Duration(4+i)*time.Second, 0, later)
		}
		must.True(t, countAt(q, "l2", 6*time.Second, 0, later).Suspected)
	}
}

// More parts are cut off at once than a host holds back. Which of them it leaves out must differ from
// crash to crash: a part that is left out each time would crash runners on and on.
func TestWhichPartsAreLeftOutDiffers(t *testing.T) {
	prompt := subjectsFrom(1, 2*maxPendingParts)
	reported := map[Fingerprint]int{}
	const crashes = 12
	for i := range crashes {
		q := New()
		q.RecordTruncations(prompt, Truncation{Runner: fmt.Sprintf("r%d", i), At: epoch})
		due, dropped := q.TakeDue(after(livenessDelay), func(string, time.Time) Liveness { return Silent })
		must.Eq(t, maxPendingParts, dropped)
		for _, truncation := range due {
			reported[truncation.Content]++
		}
	}
	never := 0
	for _, subject := range prompt {
		if reported[subject.Fingerprint] == 0 {
			never++
		}
	}
	must.Less(t, len(prompt)/100, never, must.Sprintf("parts that no report of %d crashes names", crashes))
}
