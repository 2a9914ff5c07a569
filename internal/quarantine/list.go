package quarantine

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// confirmWait is how long a request that was just suspected is still sent, so that a host
	// where it was answered whole can say so first. News takes 0.4 s through 195 hosts; with
	// it all hosts agree within two of the platform's three seconds.
	confirmWait = 800 * time.Millisecond
	// holdTime is how long a request is kept from the runners, and halfOpenTime how long
	// after that a single further end suffices. Engines are mended by people, which takes
	// longer than minutes; a try each ten minutes costs a runner and the answers on it.
	holdTime     = 10 * time.Minute
	halfOpenTime = 10 * time.Minute
	// clearedTime is how long a request that was cleared is not suspected again.
	clearedTime = time.Minute
	// completedBefore is how long before the first end a whole answer still clears a
	// request: one that runners have just served does not end them. Three runners that
	// are lost at one moment leave a popular request no time for an answer in between.
	completedBefore = 10 * time.Second
	// ownEndsToHold is the number of ends of its own for which a request is kept from
	// runners if others explain the rest. One may be chance.
	ownEndsToHold = 2
	// maxEntries bounds the list, 150 KB as it goes between hosts if all have eight ends.
	maxEntries = 256
)

// Entry is what hosts tell each other of a request that was suspected.
type Entry struct {
	Content Fingerprint `json:"content"`
	// Round counts how often the request became suspect. What is told of a later round
	// replaces what was told of an earlier one.
	Round int `json:"round"`
	// Cleared says that the request was answered whole after all.
	Cleared bool `json:"cleared,omitempty"`
	// AgeMS is how long ago the request was suspected or cleared.
	AgeMS int64 `json:"age_ms"`
	// Crashes are the ends of runners under it, LastedMS the longest time that one of these
	// had had it.
	Crashes   []Crash `json:"ends,omitempty"`
	ElapsedMS int64   `json:"lasted_ms,omitempty"`
}

// Crash is the end of a runner.
type Crash struct {
	Runner string `json:"runner"`
	AgeMS  int64  `json:"age_ms"`
}

// entry is an Entry by this host's clock.
type entry struct {
	round   int
	cleared bool
	at      time.Time
	evidence
}

// begin gives when the first end was, or, where a lasting record does not tell, when the
// request was suspected.
func (e entry) begin() time.Time {
	if first := e.first(); !first.IsZero() {
		return first
	}
	return e.at
}

// held says for how long the request is still kept from runners, if it is.
func (e entry) held(now time.Time) (time.Duration, bool) {
	age := now.Sub(e.at)
	if e.cleared || age >= holdTime {
		return 0, false
	}
	// In a later round the others had their time to clear it in the first.
	if e.round == 1 && age < confirmWait {
		return 0, false
	}
	return holdTime - age, true
}

// halfOpen says that one more end suffices.
func (e entry) halfOpen(now time.Time) bool { return !e.cleared && now.Sub(e.at) >= holdTime }

func (e entry) over(now time.Time) bool {
	if e.cleared {
		return now.Sub(e.at) >= clearedTime
	}
	return now.Sub(e.at) >= holdTime+halfOpenTime
}

// merged gives what is known after a peer told of the same request. Hosts may hear in any
// order and more than once, and end up with the same.
func (e entry) merged(told entry) entry {
	if told.round > e.round || told.round == e.round && told.cleared && !e.cleared {
		return told
	}
	if told.round == e.round && told.cleared == e.cleared {
		e.evidence = e.with(told.evidence)
	}
	return e
}

// differs says whether hosts should hear of the difference.
func (e entry) differs(other entry) bool { return e.mark() != other.mark() }

// mark is the same for entries that say the same. Times are left out, since no two hosts
// have quite the same.
func (e entry) mark() string {
	return fmt.Sprint(e.round, e.cleared, len(e.ends), e.lasted.Milliseconds())
}

func (e entry) told(content Fingerprint, now time.Time) Entry {
	told := Entry{
		Content: content, Round: e.round, Cleared: e.cleared,
		AgeMS: now.Sub(e.at).Milliseconds(), ElapsedMS: e.lasted.Milliseconds(),
	}
	for _, end := range e.ends {
		told.Crashes = append(told.Crashes, Crash{Runner: end.runner, AgeMS: now.Sub(end.at).Milliseconds()})
	}
	return told
}

func heard(told Entry, now time.Time) entry {
	ago := func(ms int64) time.Time { return now.Add(-time.Duration(ms) * time.Millisecond) }
	e := entry{round: told.Round, cleared: told.Cleared, at: ago(told.AgeMS)}
	e.lasted = time.Duration(told.ElapsedMS) * time.Millisecond
	for _, one := range told.Crashes[:min(maxEnds, len(told.Crashes))] {
		e.ends = append(e.ends, end{runner: one.Runner, at: ago(one.AgeMS)})
	}
	return e
}

// list is what is known of suspected requests. It is not changed once it is made.
type list struct {
	entries map[Fingerprint]entry
	// explained are the suspected requests whose ends others explain.
	explained map[Fingerprint]bool
	// digest is the same for lists that say the same, 0 for an empty one.
	digest uint64
}

func newList(entries map[Fingerprint]entry) *list {
	l := &list{entries: entries, explained: explained(entries)}
	for content, e := range entries {
		l.digest ^= xxhash.Sum64String(content.String() + e.mark())
	}
	return l
}

// explained gives the suspected requests that others explain.
//
// A request that runs wherever another ends the runner has the same ends against it, and
// both would be kept away; then it could no longer be answered whole and cleared. So of
// requests with the same ends only the likeliest cause is kept: that with most ends, and
// then the one that runners never had for long, since it ends the runner that begins it.
// If that is the wrong one, the other has an end of its own next, and the two change places.
func explained(entries map[Fingerprint]entry) map[Fingerprint]bool {
	var suspected []Fingerprint
	for content, e := range entries {
		if !e.cleared {
			suspected = append(suspected, content)
		}
	}
	slices.SortFunc(suspected, func(a, b Fingerprint) int {
		x, y := entries[a], entries[b]
		return cmp.Or(len(y.ends)-len(x.ends), cmp.Compare(x.lasted, y.lasted), cmp.Compare(a, b))
	})
	found := map[Fingerprint]bool{}
	known := endsByRunner{}
	for _, content := range suspected {
		e := entries[content]
		if own := known.without(e.ends); own < len(e.ends) && own < ownEndsToHold {
			found[content] = true
			continue
		}
		known.add(e.ends)
	}
	return found
}

// held says for how long a request is still kept from runners, if it is.
func (l *list) held(content Fingerprint, now time.Time) (time.Duration, bool) {
	e, ok := l.entries[content]
	if !ok || l.explained[content] {
		return 0, false
	}
	return e.held(now)
}

func (l *list) full() bool { return len(l.entries) >= maxEntries }

// with gives a list with another entry for a request.
func (l *list) with(content Fingerprint, e entry) *list {
	entries := maps.Clone(l.entries)
	entries[content] = e
	return newList(entries)
}

// current gives a list without what is over.
func (l *list) current(now time.Time) *list {
	entries := maps.Clone(l.entries)
	maps.DeleteFunc(entries, func(_ Fingerprint, e entry) bool { return e.over(now) })
	return newList(entries)
}
