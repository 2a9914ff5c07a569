package quarantine

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// settle is how long after an answer broke off its runner may show that it lives, by
	// an answer to a request that was sent later. Connections break off for many reasons;
	// a runner with any traffic answers something in this time.
	settle = 200 * time.Millisecond
	// maxPending bounds the cuts that wait for that: ten times what one runner's end cuts
	// on a host.
	maxPending = 256
)

// Quarantine is what one host knows of requests that end runners. It takes the time as an
// argument and does no I/O. It is safe for concurrent use.
//
// Each host reports the answers that broke off to a few hosts that count for the whole
// fleet. To these a request under which three runners have ended is suspect, and they tell
// all hosts. One that has answered the request whole clears it; otherwise all keep it from
// their runners. So a popular request that happened to run beside the ends stays served.
type Quarantine struct {
	completions completions
	// list is replaced as a whole, since each request reads it and few change it.
	list  atomic.Pointer[list]
	woken chan struct{}

	mu      sync.Mutex
	ledger  ledger
	pending []Truncation
	dropped int
}

// New makes an empty quarantine.
func New() *Quarantine {
	q := &Quarantine{woken: make(chan struct{}, 1), ledger: ledger{}}
	q.list.Store(newList(map[Fingerprint]entry{}))
	return q
}

// Wakeups receives when there may be something to report or to tell.
func (q *Quarantine) Wakeups() <-chan struct{} { return q.woken }

func (q *Quarantine) wake() {
	select {
	case q.woken <- struct{}{}:
	default:
	}
}

// BlockedFor says whether a request is kept from runners, and for how much longer.
func (q *Quarantine) BlockedFor(content Fingerprint, now time.Time) (left time.Duration, held bool) {
	return q.list.Load().held(content, now)
}

// RecordCompletion notes that a request was answered whole. That clears it.
func (q *Quarantine) RecordCompletion(content Fingerprint, now time.Time) {
	q.completions.note(content, now)
	if !q.suspected(content) {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if e := q.list.Load().entries[content]; q.suspected(content) {
		e.cleared, e.at = true, now
		q.set(content, e)
	}
}

func (q *Quarantine) suspected(content Fingerprint) bool {
	e, ok := q.list.Load().entries[content]
	return ok && !e.cleared
}

// set replaces an entry; the lock is held.
func (q *Quarantine) set(content Fingerprint, e entry) {
	q.list.Store(q.list.Load().with(content, e))
	delete(q.ledger, content)
	q.wake()
}

// RecordTruncation notes that the answer to a request broke off, most likely since its runner ended.
func (q *Quarantine) RecordTruncation(cut Truncation) {
	if at, ok := q.completions.last(cut.Content); ok && cut.At.Sub(at) < completedBefore {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.pending) >= maxPending {
		q.dropped++
		return
	}
	q.pending = append(q.pending, cut)
	q.wake()
}

// TakeDue gives the cuts to report: those whose runner has not answered anything that was sent
// since. It also gives how many had to be dropped.
func (q *Quarantine) TakeDue(now time.Time, answered func(runner string, since time.Time) bool) (due []Truncation, dropped int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	waiting := q.pending[:0]
	for _, cut := range q.pending {
		switch {
		case now.Sub(cut.At) < settle:
			waiting = append(waiting, cut)
		case !answered(cut.Runner, cut.At):
			due = append(due, cut)
		}
	}
	q.pending = waiting
	dropped, q.dropped = q.dropped, 0
	return due, dropped
}

// Pending says whether cuts wait for their time.
func (q *Quarantine) Pending() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.pending) > 0
}

// CountResult is what came of a cut that was counted.
type CountResult struct {
	// Crashes is the number of ends of runners under the request.
	Crashes int
	// Suspected says that this one was the last that it took.
	Suspected bool
}

// Count counts a cut that this host or a peer reported.
func (q *Quarantine) Count(cut Truncation, now time.Time) CountResult {
	q.mu.Lock()
	defer q.mu.Unlock()
	known, listed := q.list.Load().entries[cut.Content]
	switch {
	case !listed || known.over(now):
		seen := q.ledger.count(cut, now)
		suspected := len(seen.ends) >= endsToHold && q.suspect(cut.Content, 1, seen, now)
		return CountResult{Crashes: len(seen.ends), Suspected: suspected}
	case known.cleared:
		return CountResult{}
	case known.halfOpen(now):
		since := of(cut).since(known.at.Add(holdTime))
		return CountResult{Crashes: len(since.ends), Suspected: len(since.ends) > 0 && q.suspect(cut.Content, known.round+1, since, now)}
	default:
		more := known
		more.evidence = known.with(of(cut))
		if more.differs(known) {
			q.set(cut.Content, more)
		}
		return CountResult{Crashes: len(more.ends)}
	}
}

// suspect adds an entry, unless the request is known to be served or there is no room; the
// lock is held.
func (q *Quarantine) suspect(content Fingerprint, round int, seen evidence, now time.Time) bool {
	l := q.list.Load()
	if _, listed := l.entries[content]; !listed && l.full() {
		return false
	}
	e := entry{round: round, at: now, evidence: seen}
	e.cleared = q.served(content, e)
	q.set(content, e)
	return !e.cleared
}

// served says whether this host has answered the request whole since its ends began.
func (q *Quarantine) served(content Fingerprint, e entry) bool {
	at, ok := q.completions.last(content)
	return ok && at.After(e.begin().Add(-completedBefore))
}

// Merge takes over what a peer tells, and gives what was news.
func (q *Quarantine) Merge(told []Entry, now time.Time) (news []Entry) {
	q.mu.Lock()
	defer q.mu.Unlock()
	entries := maps.Clone(q.list.Load().entries)
	for _, one := range told {
		e := heard(one, now)
		known, listed := entries[one.Content]
		if listed {
			e = known.merged(e)
		}
		if e.over(now) || !listed && len(entries) >= maxEntries || listed && !e.differs(known) {
			continue
		}
		if !e.cleared && q.served(one.Content, e) {
			e.cleared, e.at = true, now
		}
		entries[one.Content] = e
		delete(q.ledger, one.Content)
		news = append(news, e.told(one.Content, now))
	}
	if len(news) > 0 {
		q.list.Store(newList(entries))
		q.wake()
	}
	return news
}

// Restore takes over that a request is kept from runners by a lasting record, which says
// nothing of when. A host that starts keeps to it at once.
func (q *Quarantine) Restore(content Fingerprint, round int, now time.Time) bool {
	if _, listed := q.list.Load().entries[content]; listed {
		return false
	}
	return len(q.Merge([]Entry{{Content: content, Round: round, AgeMS: confirmWait.Milliseconds()}}, now)) > 0
}

// Entries gives what to tell a peer, without what is over.
func (q *Quarantine) Entries(now time.Time) []Entry {
	var told []Entry
	for content, e := range q.list.Load().entries {
		if !e.over(now) {
			told = append(told, e.told(content, now))
		}
	}
	return told
}

// Digest is the same on hosts that know the same, and 0 where nothing is known.
func (q *Quarantine) Digest() uint64 { return q.list.Load().digest }

// Size gives the number of requests that are kept from runners or were of late.
func (q *Quarantine) Size() int { return len(q.list.Load().entries) }

// Prune drops what is over.
func (q *Quarantine) Prune(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.ledger.forgetOld(now)
	if current := q.list.Load().current(now); len(current.entries) < q.Size() {
		q.list.Store(current)
	}
}

// Snapshot gives the requests that a lasting record should keep from runners, by round: a
// fleet that loses power forgets all else.
func (q *Quarantine) Snapshot(now time.Time) map[Fingerprint]int {
	lasting := map[Fingerprint]int{}
	l := q.list.Load()
	for content, e := range l.entries {
		if _, held := l.held(content, now); held {
			lasting[content] = e.round
		}
	}
	return lasting
}
