package quarantine

import (
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
// fleet. These accuse a request under which three runners have ended. The word goes to all
// hosts; one that has answered the request whole clears it, and otherwise all keep it from
// their runners. So a popular request that happened to run beside the ends stays served.
type Quarantine struct {
	completions completions
	// list is replaced as a whole, since each request reads it and few change it.
	list  atomic.Pointer[list]
	woken chan struct{}

	mu      sync.Mutex
	ledger  ledger
	pending []Cut
	dropped int
}

// New makes an empty quarantine.
func New() *Quarantine {
	q := &Quarantine{woken: make(chan struct{}, 1), ledger: ledger{ends: map[Fingerprint][]end{}}}
	q.list.Store(newList(map[Fingerprint]entry{}))
	return q
}

// Woken receives when there may be something to report or to tell.
func (q *Quarantine) Woken() <-chan struct{} { return q.woken }

func (q *Quarantine) wake() {
	select {
	case q.woken <- struct{}{}:
	default:
	}
}

// Held says whether a request is kept from runners, and for how much longer.
func (q *Quarantine) Held(content Fingerprint, now time.Time) (left time.Duration, held bool) {
	e, ok := q.list.Load().entries[content]
	if !ok {
		return 0, false
	}
	return e.held(now)
}

// Completed notes that a request was answered whole. That clears it.
func (q *Quarantine) Completed(content Fingerprint, now time.Time) {
	q.completions.note(content, now)
	if !q.accused(content) {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if e := q.list.Load().entries[content]; q.accused(content) {
		e.cleared, e.at = true, now
		q.set(content, e)
	}
}

func (q *Quarantine) accused(content Fingerprint) bool {
	e, ok := q.list.Load().entries[content]
	return ok && !e.cleared
}

// set replaces an entry; the lock is held.
func (q *Quarantine) set(content Fingerprint, e entry) {
	q.list.Store(q.list.Load().with(content, e))
	if e.cleared {
		q.ledger.forget(content)
	}
	q.wake()
}

// CutOff notes that the answer to a request broke off, most likely since its runner ended.
func (q *Quarantine) CutOff(cut Cut) {
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

// Due gives the cuts to report: those whose runner has not answered anything that was sent
// since. It also gives how many had to be dropped.
func (q *Quarantine) Due(now time.Time, answered func(runner string, since time.Time) bool) (due []Cut, dropped int) {
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

// Count counts a cut that this host or a peer reported, and says how many ends there are
// and whether the request is accused for them.
func (q *Quarantine) Count(cut Cut, now time.Time) (ends int, accused bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	known, listed := q.list.Load().entries[cut.Content]
	if listed && !known.over(now) {
		if !known.onProbation(now) || !cut.At.After(known.at.Add(sentence)) {
			return 0, false
		}
		return 1, q.accuse(cut.Content, entry{round: known.round + 1, at: now, first: cut.At}, now)
	}
	ends, first := q.ledger.count(cut, now)
	if ends < endsToHold {
		return ends, false
	}
	return ends, q.accuse(cut.Content, entry{round: 1, at: now, first: first}, now)
}

// accuse adds an entry, unless the request is known to be served or there is no room; the
// lock is held.
func (q *Quarantine) accuse(content Fingerprint, e entry, now time.Time) bool {
	q.ledger.forget(content)
	l := q.list.Load()
	if _, listed := l.entries[content]; !listed && l.full() {
		return false
	}
	if q.served(content, e) {
		e.cleared, e.at = true, now
	}
	q.set(content, e)
	return !e.cleared
}

// served says whether this host has answered the request whole since its ends began.
func (q *Quarantine) served(content Fingerprint, e entry) bool {
	at, ok := q.completions.last(content)
	return ok && at.After(e.first.Add(-completedBefore))
}

// Merge takes over what a peer tells, and gives what was news.
func (q *Quarantine) Merge(told []Entry, now time.Time) (news []Entry) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, one := range told {
		e := heard(one, now)
		l := q.list.Load()
		known, listed := l.entries[one.Content]
		if e.over(now) || !listed && l.full() || listed && !e.replaces(known) {
			continue
		}
		if !e.cleared && q.served(one.Content, e) {
			e.cleared, e.at = true, now
		}
		q.set(one.Content, e)
		news = append(news, e.told(one.Content, now))
	}
	return news
}

// Recorded takes over that a request is kept from runners by a lasting record, which says
// nothing of when. A host that starts keeps to it at once.
func (q *Quarantine) Recorded(content Fingerprint, round int, now time.Time) bool {
	at := now.Add(-hearing)
	news := q.Merge([]Entry{entry{round: round, at: at, first: at}.told(content, now)}, now)
	return len(news) > 0
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

// Forget drops what is over.
func (q *Quarantine) Forget(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.ledger.forgetOld(now)
	if current := q.list.Load().current(now); len(current.entries) < q.Size() {
		q.list.Store(current)
	}
}

// Lasting says which requests a lasting record should keep from runners, by round: a fleet
// that loses power forgets all else.
func (q *Quarantine) Lasting(now time.Time) map[Fingerprint]int {
	lasting := map[Fingerprint]int{}
	for content, e := range q.list.Load().entries {
		if _, held := e.held(now); held {
			lasting[content] = e.round
		}
	}
	return lasting
}
