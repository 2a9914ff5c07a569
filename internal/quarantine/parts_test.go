package quarantine

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const (
	first  Fingerprint = 11 // a part that many requests share
	middle Fingerprint = 12 // a part of fewer requests
	whole  Fingerprint = 13
)

// countAt counts the crash of a runner against subjects at a time.
func countAt(q *Quarantine, runner string, at time.Duration, elapsed time.Duration, subjects ...Subject) (last CountResult) {
	for _, subject := range subjects {
		last = q.Count(Truncation{Content: subject.Fingerprint, Depth: subject.Depth, Runner: runner, At: after(at), Elapsed: elapsed}, after(at))
	}
	return last
}

func TestSubjectsOfARequest(t *testing.T) {
	content := Content{Method: "POST", Authority: "h", RequestURI: "/a", Body: []byte("x")}
	subjects := SubjectsOf(content, slices.Values([]string{"5c1e07a2", "91bd3f06"}))
	must.Len(t, 3, subjects)
	must.Eq(t, Subject{Fingerprint: content.Fingerprint()}, subjects[0])
	must.Eq(t, []int{0, 1, 2}, []int{subjects[0].Depth, subjects[1].Depth, subjects[2].Depth})
	elsewhere := SubjectsOf(Content{Method: "GET"}, slices.Values([]string{"91bd3f06"}))
	must.Eq(t, subjects[2].Fingerprint, elsewhere[1].Fingerprint, must.Sprint("whatever else the request holds"))
	must.Len(t, 1, SubjectsOf(content, nil))
}

// Runners are lost together while a popular part is on each: that is one crash against the part,
// however many they are, since answers with it came shortly before. One that ends runners one by one is
// known after the third.
func TestRunnersLostTogetherAreOneCrashAgainstAPart(t *testing.T) {
	together, one := New(), New()
	part := Subject{Fingerprint: first, Depth: 1}
	together.RecordCompletion(part, after(-contentCompletionGrace/2))
	for i := range 5 {
		must.False(t, countAt(together, fmt.Sprintf("r%d", i), time.Duration(i)*10*time.Millisecond, 0, part).Suspected)
	}
	must.False(t, blocked(together, first, 4*time.Second))
	must.True(t, countAt(together, "r9", 5*time.Second, 0, part).Suspected)
	for i := range 2 {
		must.False(t, countAt(one, fmt.Sprintf("r%d", i), time.Duration(i)*300*time.Millisecond, 0, part).Suspected)
	}
	must.True(t, countAt(one, "r2", 600*time.Millisecond, 0, part).Suspected)
}

// Requests with a bad part come together, and again a moment later. The crashes of the first moment must
// suffice, as many as the platform counts; fewer may be a loss that runners with one new part in common
// had together.
func TestManyCrashesOfOneMomentSufficeAgainstAPart(t *testing.T) {
	for crashes, suspected := range map[int]bool{lossThreshold - 1: false, lossThreshold: true} {
		q := New()
		q.SetTrialDecider(func(Fingerprint) bool { return true })
		part := Subject{Fingerprint: first, Depth: 4}
		for i := range crashes {
			countAt(q, fmt.Sprintf("r%d", i), time.Duration(i)*time.Millisecond, 0, part)
		}
		must.Eq(t, suspected, blocked(q, first, time.Second), must.Sprintf("%d crashes", crashes))
		if !suspected {
			continue
		}
		must.True(t, q.TakeTrial([]Subject{part}, after(4*time.Second)), must.Sprint("it may have been a loss"))
		countAt(q, "r9", 5*time.Second, 0, part)
		must.False(t, q.TakeTrial([]Subject{part}, after(time.Minute)), must.Sprint("it was none"))
	}
}

// A part was popular on one host only, which did not count the crashes. It clears the part, and the
// crashes still count: one more suffices.
func TestHostThatAnsweredAPartBeforeALossClearsIt(t *testing.T) {
	counting, serving := New(), New()
	part := Subject{Fingerprint: first, Depth: 1}
	serving.RecordCompletion(part, after(-5*time.Second))
	for i := range lossThreshold {
		countAt(counting, fmt.Sprintf("r%d", i), 0, 0, part)
	}
	serving.Merge(counting.Entries(after(300*time.Millisecond)), after(300*time.Millisecond))
	counting.Merge(serving.Entries(after(600*time.Millisecond)), after(600*time.Millisecond))
	must.False(t, blocked(counting, first, time.Second))
	must.False(t, blocked(serving, first, time.Second))
	must.True(t, countAt(counting, "r9", 5*time.Second, 0, part).Suspected)
}

// A first part and a rarer one come together in all requests that crashed runners, and no answer
// tells them apart yet. The rarer one is blocked; if a request without it crashes a runner, the first.
func TestOfPartsWithTheSameCrashesTheNarrowestIsBlocked(t *testing.T) {
	q := New()
	both := []Subject{{Fingerprint: first, Depth: 1}, {Fingerprint: middle, Depth: 2}}
	for i := range 3 {
		countAt(q, fmt.Sprintf("r%d", i), time.Duration(i)*time.Second, 50*time.Millisecond, both...)
	}
	must.False(t, blocked(q, first, 4*time.Second))
	must.True(t, blocked(q, middle, 4*time.Second))
	countAt(q, "r5", 5*time.Second, 50*time.Millisecond, both[0])
	must.True(t, blocked(q, first, 6*time.Second))
	must.False(t, blocked(q, middle, 6*time.Second), must.Sprint("given back"))
}

// A bad part crashes more runners than are counted before all hosts block it. A part of sound requests
// was on some of the later ones, and has no answer that could clear it: it was blocked for them.
func TestCrashesBeyondThoseCountedAreNotBlamedOnOthers(t *testing.T) {
	q := New()
	bad, sound := Subject{Fingerprint: first, Depth: 2}, Subject{Fingerprint: middle, Depth: 2}
	const interval = 70 * time.Millisecond
	for i := range 2 * maxCrashes {
		subjects := []Subject{bad}
		if i >= maxCrashes && i%2 == 0 {
			subjects = append(subjects, sound)
		}
		countAt(q, fmt.Sprintf("r%d", i), time.Duration(i)*interval, 50*time.Millisecond, subjects...)
	}
	must.True(t, blocked(q, first, 3*time.Second))
	must.False(t, blocked(q, middle, 3*time.Second))
	// Once all hosts block the one, further crashes have another cause.
	for i := range 2 {
		countAt(q, fmt.Sprintf("later%d", i), time.Duration(4+i)*time.Second, 50*time.Millisecond, sound)
	}
	must.True(t, blocked(q, middle, 6*time.Second))
}

// Two bad parts crash more runners at the same time than are counted. Each of them is blocked.
func TestTwoCausesBeyondTheCountedCrashesAreBlocked(t *testing.T) {
	q := New()
	for i := range 60 {
		one, other := Subject{Fingerprint: first, Depth: 2}, Subject{Fingerprint: middle, Depth: 2}
		at := time.Duration(i) * 70 * time.Millisecond
		if !blocked(q, first, at) {
			countAt(q, fmt.Sprintf("r%d", i), at, 50*time.Millisecond, one)
		}
		if !blocked(q, middle, at) {
			countAt(q, fmt.Sprintf("o%d", i), at, 60*time.Millisecond, other)
		}
	}
	must.True(t, blocked(q, first, 3*time.Second))
	must.True(t, blocked(q, middle, 3*time.Second))
}

// As many crashes as are counted do not hide a second cause that has runners of its own before or after,
// and fewer hide none that comes at the same time.
func TestSecondCauseBesideAKnownOneIsBlocked(t *testing.T) {
	for _, crashes := range []int{crashThreshold, maxCrashes} {
		q := New()
		one, other := Subject{Fingerprint: first, Depth: 2}, Subject{Fingerprint: middle, Depth: 2}
		offset := time.Duration(0)
		if crashes == maxCrashes {
			offset = 3 * time.Second
		}
		for i := range crashes {
			countAt(q, fmt.Sprintf("r%d", i), time.Duration(i)*200*time.Millisecond, 50*time.Millisecond, one)
		}
		for i := range crashThreshold {
			countAt(q, fmt.Sprintf("o%d", i), offset+time.Duration(i)*200*time.Millisecond, 50*time.Millisecond, other)
		}
		must.True(t, blocked(q, first, 6*time.Second))
		must.True(t, blocked(q, middle, 6*time.Second))
	}
}

// The same request crashes three runners: it is the narrowest. Another one with the same part shows
// that the part is to blame.
func TestRequestIsBlockedBeforeItsParts(t *testing.T) {
	q := New()
	request, part := Subject{Fingerprint: whole}, Subject{Fingerprint: middle, Depth: 2}
	for i := range 3 {
		countAt(q, fmt.Sprintf("r%d", i), time.Duration(i)*time.Second, 50*time.Millisecond, request, part)
	}
	must.True(t, blocked(q, whole, 4*time.Second))
	must.False(t, blocked(q, middle, 4*time.Second))
	countAt(q, "r3", 5*time.Second, 50*time.Millisecond, part)
	must.True(t, blocked(q, middle, 6*time.Second))
}

// A part is cleared by an answer, and from then on no runner bears it.
func TestClearedPartMayBecomeSuspectAgain(t *testing.T) {
	q := New()
	part := Subject{Fingerprint: middle, Depth: 2}
	for i := range 3 {
		countAt(q, fmt.Sprintf("r%d", i), time.Duration(i)*time.Second, 0, part)
	}
	q.RecordCompletion(part, after(2500*time.Millisecond))
	must.False(t, blocked(q, middle, 4*time.Second))
	for i := range 3 {
		must.Eq(t, i == 2, countAt(q, fmt.Sprintf("s%d", i), time.Duration(5+i)*time.Second, 0, part).Suspected)
	}
	must.False(t, blocked(q, middle, 7*time.Second+confirmationDelay-1), must.Sprint("other hosts may clear it first"))
	must.True(t, blocked(q, middle, 7*time.Second+confirmationDelay))
}

// Completions of a part do not displace those of whole requests, which are remembered for longer.
func TestCompletionsOfPartsAndRequestsAreApart(t *testing.T) {
	q := New()
	q.RecordCompletion(Subject{Fingerprint: whole, Depth: 1}, after(0))
	q.RecordTruncation(Truncation{Content: whole, Runner: "r", At: after(time.Second)})
	must.True(t, q.Pending())
	q = New()
	q.RecordCompletion(Subject{Fingerprint: whole}, after(0))
	q.RecordTruncation(Truncation{Content: whole, Runner: "r", At: after(time.Second)})
	must.False(t, q.Pending())
	q.RecordCompletion(Subject{Fingerprint: middle, Depth: 2}, after(0))
	q.RecordTruncation(Truncation{Content: middle, Depth: 2, Runner: "r", At: after(partCompletionGrace - 1)})
	must.False(t, q.Pending())
	q.RecordTruncation(Truncation{Content: middle, Depth: 2, Runner: "r", At: after(partCompletionGrace)})
	must.True(t, q.Pending())
}

// Only the end of its connection marked the end of a response. It was whole if the runner lives,
// broke off if the runner is known to be gone, and says nothing otherwise.
func TestResponsesThatLookWhole(t *testing.T) {
	for _, row := range []struct {
		liveness Liveness
		reported bool
		complete bool
	}{{Alive, false, true}, {Gone, true, false}, {Silent, false, false}, {Unknown, false, false}} {
		q := New()
		countCrashes(q, 1, 3, 0)
		q.RecordTruncation(Truncation{Content: 1, Runner: "r", At: after(2500 * time.Millisecond), LooksWhole: true})
		tell := func(string, time.Time) Liveness { return row.liveness }
		due, _ := q.TakeDue(after(2500*time.Millisecond+livenessDelay), tell)
		later, _ := q.TakeDue(after(2500*time.Millisecond+maxLivenessDelay), tell)
		must.Eq(t, row.reported, len(due)+len(later) == 1, must.Sprint(row.liveness))
		must.False(t, q.Pending())
		must.Eq(t, !row.complete, blocked(q, 1, 5*time.Second), must.Sprint(row.liveness))
	}
}

// The truncations of one crash are reported once for each subject, with the longest time.
func TestTruncationsOfOneCrashAreJoined(t *testing.T) {
	q := New()
	for i := range 5 {
		q.RecordTruncations([]Subject{{Fingerprint: Fingerprint(100 + i)}, {Fingerprint: first, Depth: 1}},
			Truncation{Runner: "r", At: after(0), Elapsed: time.Duration(i) * time.Second})
	}
	due, _ := q.TakeDue(after(time.Second), func(string, time.Time) Liveness { return Silent })
	must.Len(t, 6, due)
	for _, truncation := range due {
		if truncation.Content == first {
			must.Eq(t, 4*time.Second, truncation.Elapsed)
		}
	}
}

// A blocked part that was sound before is tried three times by one host, ever later; one that never
// was is not.
func TestTrialsOfABlockedPart(t *testing.T) {
	q, other := New(), New()
	q.SetTrialDecider(func(Fingerprint) bool { return true })
	part := Subject{Fingerprint: middle, Depth: 2}
	request := []Subject{{Fingerprint: whole}, part}
	for _, host := range []*Quarantine{q, other} {
		host.RecordCompletion(part, after(-time.Minute))
		for i := range 3 {
			countAt(host, fmt.Sprintf("r%d", i), time.Duration(i)*time.Second, 0, part)
		}
	}
	blockedAt := 2 * time.Second
	must.False(t, q.TakeTrial(request, after(blockedAt+trialDelays[0]-1)))
	for _, delay := range trialDelays {
		must.False(t, other.TakeTrial(request, after(blockedAt+delay)), must.Sprint("not its turn"))
		must.True(t, q.TakeTrial(request, after(blockedAt+delay)))
		must.False(t, q.TakeTrial(request, after(blockedAt+delay)))
	}
	must.False(t, q.TakeTrial(request, after(blockedAt+5*time.Minute)))
	q.RecordCompletion(part, after(blockedAt+5*time.Minute))
	must.False(t, blocked(q, middle, blockedAt+5*time.Minute))

	never := New()
	never.SetTrialDecider(func(Fingerprint) bool { return true })
	for i := range 3 {
		countAt(never, fmt.Sprintf("r%d", i), time.Duration(i)*time.Second, 0, part)
	}
	must.False(t, never.TakeTrial(request, after(time.Minute)))
}

// Many popular parts were suspected and cleared while runners ended. The one that is to blame must
// still find room.
func TestSuspectTakesThePlaceOfAClearedOne(t *testing.T) {
	q := New()
	for i := range maxEntries {
		part := Subject{Fingerprint: Fingerprint(1000 + i), Depth: 1}
		for crash := range 3 {
			countAt(q, fmt.Sprintf("r%d", crash), time.Duration(crash)*time.Second, 0, part)
		}
		q.RecordCompletion(part, after(3*time.Second+time.Duration(i)*time.Millisecond))
	}
	must.Eq(t, maxEntries, q.Size())
	for i := range 3 {
		countAt(q, fmt.Sprintf("s%d", i), time.Duration(5+i)*time.Second, 0, Subject{Fingerprint: middle, Depth: 2})
	}
	must.True(t, blocked(q, middle, 8*time.Second))
	must.Eq(t, maxEntries, q.Size())
}

func BenchmarkSubjectsOfFourParts(b *testing.B) {
	content := Content{Method: "POST", Authority: "h", RequestURI: "/a", Body: make([]byte, 2048)}
	parts := []string{"5c1e07a2", "91bd3f06", "e4402b7d", "77aa01c3"}
	for _, n := range []int{0, len(parts)} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				SubjectsOf(content, slices.Values(parts[:n]))
			}
		})
	}
}

func BenchmarkCompletionOfFourParts(b *testing.B) {
	q := New()
	subjects := SubjectsOf(Content{Method: "POST"}, slices.Values([]string{"5c1e07a2", "91bd3f06", "e4402b7d", "77aa01c3"}))
	for b.Loop() {
		q.RecordCompletions(subjects, epoch)
	}
}
