package quarantine

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// confirmationDelay is how long a request that just became suspect is still sent, so that a
	// host that completed it can clear it first. Changes take 0.4 s to reach 195 hosts; with
	// this delay all hosts agree within two of the three seconds that the platform allows.
	confirmationDelay = 800 * time.Millisecond
	// agreementTime is how long after a subject became suspect it may crash runners: confirmationDelay,
	// the way through the fleet, and the time in which a runner that has it crashes.
	agreementTime = 2 * time.Second
	// A suspect request is blocked for quarantineDuration. For halfOpenDuration after that it is
	// sent again, and one more crash makes it suspect again. Engines are repaired by people,
	// which takes longer than minutes; one attempt every ten minutes costs one runner and the
	// responses on it.
	quarantineDuration = 10 * time.Minute
	halfOpenDuration   = 10 * time.Minute
	// clearedDuration is how long a cleared request cannot become suspect again.
	clearedDuration = time.Minute
	// contentCompletionGrace is how long before the first crash a completion still clears a request:
	// a request that runners have just completed does not crash them. When three runners are lost
	// at once, a popular request may have no time to complete in between.
	contentCompletionGrace = 10 * time.Second
	// partCompletionGrace is how long after a completion a host reports no truncation against a part
	// of prompts. A part that many requests share completes all the time, until no runner bears it
	// any more.
	partCompletionGrace = 500 * time.Millisecond
	// ownCrashThreshold is the number of crashes not explained by other requests that keeps a
	// request blocked. One may be coincidence.
	ownCrashThreshold = 2
	// maxEntries bounds the list, to 150 KB on the wire if every entry has eight crashes. The
	// likeliest causes stay.
	maxEntries = 256
)

// Entry is the state of a suspect or cleared request as hosts exchange it.
type Entry struct {
	Content Fingerprint `json:"content"`
	// Round counts how often the request became suspect. The state of a later round replaces
	// that of an earlier one.
	Round int `json:"round"`
	// Cleared reports that the request was answered completely.
	Cleared bool `json:"cleared,omitempty"`
	// AgeMS is the time since the request became suspect or was cleared.
	AgeMS int64 `json:"age_ms"`
	// Crashes are those of runners that were executing the request, ElapsedMS the longest time
	// that one of them had it.
	Crashes   []Crash `json:"ends,omitempty"`
	ElapsedMS int64   `json:"lasted_ms,omitempty"`
	// Depth is as in Subject.
	Depth int `json:"depth,omitempty"`
}

// Crash is the crash of a runner.
type Crash struct {
	Runner string `json:"runner"`
	AgeMS  int64  `json:"age_ms"`
}

// entry is an Entry with times of this host's clock.
type entry struct {
	round     int
	cleared   bool
	changedAt time.Time
	evidence
}

// agreedAt returns from when on no host sends the subject to runners, if it is to blame.
func (e entry) agreedAt() time.Time { return e.changedAt.Add(agreementTime) }

// firstSeen returns the time of the first crash, or, for an entry from a persistent record,
// which has no crashes, when the request became suspect.
func (e entry) firstSeen() time.Time {
	if first := e.firstCrash(); !first.IsZero() {
		return first
	}
	return e.changedAt
}

// blockedFor returns how long the request is still blocked, and whether it is.
func (e entry) blockedFor(now time.Time) (time.Duration, bool) {
	age := now.Sub(e.changedAt)
	if e.cleared || age >= quarantineDuration {
		return 0, false
	}
	// In later rounds other hosts have had the first round to clear a request. A part that was
	// cleared may have become bad, or be a bystander again.
	if (e.round == 1 || e.depth > 0) && age < confirmationDelay {
		return 0, false
	}
	return quarantineDuration - age, true
}

// halfOpen reports that a single further crash makes the request suspect again.
func (e entry) halfOpen(now time.Time) bool {
	return !e.cleared && now.Sub(e.changedAt) >= quarantineDuration
}

func (e entry) expired(now time.Time) bool {
	if e.cleared {
		return now.Sub(e.changedAt) >= clearedDuration
	}
	return now.Sub(e.changedAt) >= quarantineDuration+halfOpenDuration
}

// mergedWith returns the entry combined with one received from a peer. The result does not
// depend on the order or the repetition of merges.
func (e entry) mergedWith(received entry) entry {
	if received.round > e.round || received.round == e.round && received.cleared && !e.cleared {
		return received
	}
	if received.round == e.round && received.cleared == e.cleared {
		e.evidence = e.union(received.evidence)
	}
	return e
}

// differsFrom reports whether the difference must be sent to other hosts.
func (e entry) differsFrom(other entry) bool { return e.signature() != other.signature() }

// signature is equal for equivalent entries. It omits times, which differ slightly between
// hosts.
func (e entry) signature() string {
	return fmt.Sprint(e.round, e.cleared, len(e.crashes), e.maxElapsed.Milliseconds(), e.depth)
}

func (e entry) export(content Fingerprint, now time.Time) Entry {
	exported := Entry{
		Content: content, Round: e.round, Cleared: e.cleared,
		AgeMS: now.Sub(e.changedAt).Milliseconds(), ElapsedMS: e.maxElapsed.Milliseconds(), Depth: e.depth,
	}
	for _, crash := range e.crashes {
		exported.Crashes = append(exported.Crashes, Crash{Runner: crash.runner, AgeMS: now.Sub(crash.at).Milliseconds()})
	}
	return exported
}

func imported(received Entry, now time.Time) entry {
	ago := func(ms int64) time.Time { return now.Add(-time.Duration(ms) * time.Millisecond) }
	e := entry{round: received.Round, cleared: received.Cleared, changedAt: ago(received.AgeMS)}
	e.maxElapsed = time.Duration(received.ElapsedMS) * time.Millisecond
	e.depth = received.Depth
	for _, c := range received.Crashes[:min(maxCrashes, len(received.Crashes))] {
		e.crashes = append(e.crashes, crash{runner: c.Runner, at: ago(c.AgeMS)})
	}
	return e
}

// narrowness orders subjects by how few requests hold them: a whole request is the narrowest, and
// requests that share a part share those before it as well.
func (v evidence) narrowness() int {
	if v.depth == 0 {
		return math.MaxInt
	}
	return v.depth
}

// list holds the suspect and cleared requests. It is immutable.
type list struct {
	entries map[Fingerprint]entry
	// explained contains the suspect requests whose crashes are attributed to other requests.
	explained map[Fingerprint]bool
	// digest is equal for equivalent lists, 0 for an empty one.
	digest uint64
}

func newList(entries map[Fingerprint]entry) *list {
	l := &list{entries: entries, explained: explained(entries)}
	for content, e := range entries {
		l.digest ^= xxhash.Sum64String(content.String() + e.signature())
	}
	return l
}

// compareCauses orders subjects by how likely they are to blame, the likeliest first.
func compareCauses(a Fingerprint, x evidence, b Fingerprint, y evidence) int {
	return cmp.Or(len(y.crashes)-len(x.crashes), cmp.Compare(x.maxElapsed, y.maxElapsed), y.narrowness()-x.narrowness(), cmp.Compare(a, b))
}

// explained returns the suspect requests whose crashes are attributed to other requests.
//
// A harmless request that runs wherever another crashes the runner has the same crashes counted
// against it. If both were blocked, the harmless one could not complete and be cleared. Of
// requests with the same crashes only the likeliest cause is therefore blocked: the one with the
// most crashes, then the one that runners had for the shortest time, since it crashes them
// immediately, then the one that the fewest requests hold. If that is the wrong one, the other
// causes a crash of its own next and the two change places.
//
// A cause may crash more runners than are counted before all hosts block it. Until then a crash that is
// not among them is attributed to it as well: nothing that was on its runners would be cleared meanwhile.
func explained(entries map[Fingerprint]entry) map[Fingerprint]bool {
	var suspected []Fingerprint
	for content, e := range entries {
		if !e.cleared {
			suspected = append(suspected, content)
		}
	}
	slices.SortFunc(suspected, func(a, b Fingerprint) int { return compareCauses(a, entries[a].evidence, b, entries[b].evidence) })
	result := map[Fingerprint]bool{}
	explaining := &causes{byRunner: map[string][]crash{}}
	for _, content := range suspected {
		e := entries[content]
		if own := explaining.countOwn(e.evidence); own < len(e.crashes) && own < ownCrashThreshold {
			result[content] = true
			continue
		}
		explaining.add(e)
	}
	return result
}

// blockedFor returns how long a request is still blocked, and whether it is.
func (l *list) blockedFor(content Fingerprint, now time.Time) (time.Duration, bool) {
	e, ok := l.entries[content]
	if !ok || l.explained[content] {
		return 0, false
	}
	return e.blockedFor(now)
}

// leastImportant returns the entry that gives way in a full list: the one that was cleared first, or, if
// none is cleared, the suspect that is the least likely to blame. Which suspects stay is the same on all
// hosts, whatever they hear first.
func leastImportant(entries map[Fingerprint]entry) Fingerprint {
	var least Fingerprint
	found := false
	for content, e := range entries {
		if !found || givesWay(content, e, least, entries[least]) {
			least, found = content, true
		}
	}
	return least
}

// givesWay reports whether the first of two entries is less important.
func givesWay(a Fingerprint, x entry, b Fingerprint, y entry) bool {
	switch {
	case x.cleared != y.cleared:
		return x.cleared
	case x.cleared:
		return x.changedAt.Before(y.changedAt)
	default:
		return compareCauses(a, x.evidence, b, y.evidence) > 0
	}
}

// unexpired returns a copy of the list without expired entries.
func (l *list) unexpired(now time.Time) *list {
	entries := maps.Clone(l.entries)
	maps.DeleteFunc(entries, func(_ Fingerprint, e entry) bool { return e.expired(now) })
	return newList(entries)
}
