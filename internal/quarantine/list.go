package quarantine

import (
	"fmt"
	"maps"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// hearing is how long a request that was just accused is still sent, so that a host
	// where it was answered whole can say so first. Word takes some 0.3 s through a fleet;
	// with it all hosts agree within two of the platform's three seconds.
	hearing = 800 * time.Millisecond
	// sentence is how long a request is kept from the runners, and probation how long
	// after that a single further end suffices. Runners are mended by people, which takes
	// longer than minutes; a try each ten minutes costs a runner and the answers on it.
	sentence  = 10 * time.Minute
	probation = 10 * time.Minute
	// immunity is how long a request that was cleared is not accused again.
	immunity = time.Minute
	// completedBefore is how long before the first end a whole answer still speaks for a
	// request: one that runners have just served does not end them. Three runners that
	// are lost at one moment leave a popular request no time for an answer in between.
	completedBefore = 10 * time.Second
	// maxEntries bounds the list, 20 KB as it goes between hosts.
	maxEntries = 256
)

// Entry is what hosts tell each other of a request that was accused.
type Entry struct {
	Content Fingerprint `json:"content"`
	// Round counts the accusations. The word on a later one replaces that on an earlier.
	Round int `json:"round"`
	// Cleared says that the request was answered whole after all.
	Cleared bool `json:"cleared,omitempty"`
	// AgeMS is how long ago the request was accused or cleared, FirstMS when the first
	// of the ends was.
	AgeMS   int64 `json:"age_ms"`
	FirstMS int64 `json:"first_ms,omitempty"`
}

// entry is an Entry by this host's clock.
type entry struct {
	round   int
	cleared bool
	at      time.Time
	first   time.Time
}

// held says for how long the request is still kept from runners, if it is.
func (e entry) held(now time.Time) (time.Duration, bool) {
	age := now.Sub(e.at)
	if e.cleared || age >= sentence {
		return 0, false
	}
	// After a first round others have been heard already.
	if e.round == 1 && age < hearing {
		return 0, false
	}
	return sentence - age, true
}

// onProbation says that one more end suffices.
func (e entry) onProbation(now time.Time) bool { return !e.cleared && now.Sub(e.at) >= sentence }

func (e entry) over(now time.Time) bool {
	if e.cleared {
		return now.Sub(e.at) >= immunity
	}
	return now.Sub(e.at) >= sentence+probation
}

// replaces says whether what a peer tells is newer than what is known. Hosts may hear in
// any order and more than once, and end up with the same.
func (e entry) replaces(known entry) bool {
	if e.round != known.round {
		return e.round > known.round
	}
	return e.cleared && !known.cleared
}

func (e entry) told(content Fingerprint, now time.Time) Entry {
	return Entry{
		Content: content, Round: e.round, Cleared: e.cleared,
		AgeMS: now.Sub(e.at).Milliseconds(), FirstMS: now.Sub(e.first).Milliseconds(),
	}
}

func heard(told Entry, now time.Time) entry {
	return entry{
		round: told.Round, cleared: told.Cleared,
		at:    now.Add(-time.Duration(told.AgeMS) * time.Millisecond),
		first: now.Add(-time.Duration(told.FirstMS) * time.Millisecond),
	}
}

// list is what is known of accused requests. It is not changed once it is made.
type list struct {
	entries map[Fingerprint]entry
	// digest is the same for lists that say the same, 0 for an empty one. Times are left
	// out, since no two hosts have quite the same.
	digest uint64
}

func newList(entries map[Fingerprint]entry) *list {
	l := &list{entries: entries}
	for content, e := range entries {
		l.digest ^= xxhash.Sum64String(fmt.Sprint(content, e.round, e.cleared))
	}
	return l
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
