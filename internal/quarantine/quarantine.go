package quarantine

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cherrystage/cherrystage/internal/awake"
	"github.com/cherrystage/cherrystage/internal/standstill"
)

const (
	// livenessDelay is how long after a truncation its runner may prove that it is alive, by
	// responding to a request that was sent later. Connections break for many reasons; a runner
	// with any traffic responds to something within this time.
	livenessDelay = 200 * time.Millisecond
	// maxLivenessDelay is the same where nothing is known of the runner.
	maxLivenessDelay = 1200 * time.Millisecond
	// maxPending bounds the truncations that wait for livenessDelay: ten times as many as one
	// crash causes on a host, with the parts of the prompts that were cut off.
	maxPending = 1024
)

// Quarantine is one host's state of requests that crash runners. Its methods take the current
// time as an argument and do no I/O. It is safe for concurrent use.
//
// Each host reports truncated responses to a few hosts that count them for the whole fleet. When
// three runners have crashed while executing a request, these hosts mark it as suspect and
// notify all others. A host that has completed the request clears it; otherwise all hosts block
// it. A popular request that merely ran on the crashed runners thus stays available.
type Quarantine struct {
	// Standstill knows for which time this process could not run; nil stands for never.
	Standstill *standstill.Monitor

	// completions are those of whole requests, partCompletions those of parts of prompts. The
	// latter would displace the former, which have to be remembered for longer.
	completions     completions
	partCompletions completions
	// list is replaced as a whole: every request reads it, and it rarely changes.
	list    atomic.Pointer[list]
	wakeups chan struct{}

	mu      sync.Mutex
	ledger  ledger
	pending []Truncation
	dropped int
	// trials counts the trials of blocked parts; decidesTrials reports whether this host is the
	// one that may make them.
	trials        map[Fingerprint]int
	decidesTrials func(content Fingerprint) bool
}

// New returns an empty quarantine.
func New() *Quarantine {
	q := &Quarantine{wakeups: make(chan struct{}, 1), ledger: ledger{}, trials: map[Fingerprint]int{}, decidesTrials: func(Fingerprint) bool { return false }}
	q.list.Store(newList(map[Fingerprint]entry{}))
	return q
}

// Wakeups returns a channel that receives when there may be something to report to other hosts.
func (q *Quarantine) Wakeups() <-chan struct{} { return q.wakeups }

func (q *Quarantine) wake() {
	select {
	case q.wakeups <- struct{}{}:
	default:
	}
}

// BlockedFor returns how long a request is still blocked, and whether it is.
func (q *Quarantine) BlockedFor(content Fingerprint, now time.Time) (remaining time.Duration, blocked bool) {
	return q.list.Load().blockedFor(content, now)
}

// Blocked returns for how long any of a request's subjects is still blocked, and whether one is.
func (q *Quarantine) Blocked(subjects []Subject, now time.Time) (remaining time.Duration, blocked bool) {
	l := q.list.Load()
	if len(l.entries) == 0 {
		return 0, false
	}
	for _, subject := range subjects {
		if left, held := l.blockedFor(subject.Fingerprint, now); held {
			remaining, blocked = max(remaining, left), true
		}
	}
	return remaining, blocked
}

// RecordCompletions records that a request was answered completely, which clears its subjects.
func (q *Quarantine) RecordCompletions(subjects []Subject, now time.Time) {
	for _, subject := range subjects {
		q.RecordCompletion(subject, now)
	}
}

// RecordCompletion records that a request with a subject was answered completely, which clears it.
func (q *Quarantine) RecordCompletion(subject Subject, now time.Time) {
	content := subject.Fingerprint
	q.completionsOf(subject.Depth).record(content, now)
	if !q.suspected(content) {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if e := q.list.Load().entries[content]; q.suspected(content) {
		e.cleared, e.changedAt = true, now
		q.set(content, e)
	}
}

func (q *Quarantine) completionsOf(depth int) *completions {
	if depth > 0 {
		return &q.partCompletions
	}
	return &q.completions
}

func (q *Quarantine) suspected(content Fingerprint) bool {
	e, ok := q.list.Load().entries[content]
	return ok && !e.cleared
}

// set replaces an entry. The caller holds q.mu.
func (q *Quarantine) set(content Fingerprint, e entry) {
	q.list.Store(q.list.Load().withEntry(content, e))
	delete(q.ledger, content)
	q.wake()
}

// RecordTruncations records that the response to a request broke off, most likely because its
// runner crashed, against each of its subjects.
func (q *Quarantine) RecordTruncations(subjects []Subject, truncation Truncation) {
	for _, subject := range subjects {
		truncation.Content, truncation.Depth = subject.Fingerprint, subject.Depth
		q.RecordTruncation(truncation)
	}
}

// RecordTruncation records that the response to a request broke off, most likely because its
// runner crashed.
func (q *Quarantine) RecordTruncation(truncation Truncation) {
	at, ok := q.completionsOf(truncation.Depth).lastCompletion(truncation.Content)
	grace := contentCompletionGrace
	if truncation.Depth > 0 {
		grace = partCompletionGrace
	}
	if ok && truncation.At.Sub(at) < grace {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.joinPending(truncation) {
		return
	}
	if len(q.pending) >= maxPending {
		q.dropped++
		return
	}
	q.pending = append(q.pending, truncation)
	q.wake()
}

// joinPending adds a truncation to one that is pending for the same subject and crash, and reports
// whether there was one. The caller holds q.mu.
func (q *Quarantine) joinPending(truncation Truncation) bool {
	for i := range q.pending {
		known := &q.pending[i]
		if known.Content != truncation.Content || known.Runner != truncation.Runner || known.LooksWhole != truncation.LooksWhole ||
			truncation.At.Sub(known.At) >= sameCrashWindow {
			continue
		}
		known.Elapsed, known.Depth = max(known.Elapsed, truncation.Elapsed), max(known.Depth, truncation.Depth)
		return true
	}
	return false
}

// Liveness is what a host knows of a runner since one of its responses was truncated.
type Liveness uint8

const (
	// Silent: the runner has not responded to any request sent since.
	Silent Liveness = iota
	// Alive: the runner has responded, or other hosts reach it.
	Alive
	// Unknown: this host has not reached any runner since, so the fault may be its own.
	Unknown
	// Gone: no connection to the runner can be opened, or its entry is gone.
	Gone
)

// TakeDue removes and returns the truncations to report: those whose runner is silent. It also
// returns the number that were dropped. Where nothing is known of a runner, it waits for longer.
//
// The time for which this host stood still does not count: responses that show that the runner lives
// may lie unread in their sockets. Otherwise a request whose connections broke just before would be
// blocked for crashes that did not happen.
//
// A response that looks whole counts only if its runner is known to have crashed: where responses
// end with their connections, each of them would count otherwise. It counts as a completion only if
// the runner is known to live.
func (q *Quarantine) TakeDue(now time.Time, liveness func(runner string, since time.Time) Liveness) (due []Truncation, dropped int) {
	whole, due, dropped := q.takeDue(now, liveness)
	for _, truncation := range whole {
		q.RecordCompletion(Subject{Fingerprint: truncation.Content, Depth: truncation.Depth}, now)
	}
	return due, dropped
}

func (q *Quarantine) takeDue(now time.Time, liveness func(runner string, since time.Time) Liveness) (whole, due []Truncation, dropped int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	waiting := q.pending[:0]
	for _, truncation := range q.pending {
		age := awake.Between(q.Standstill, truncation.At, now)
		if age < livenessDelay {
			waiting = append(waiting, truncation)
			continue
		}
		known := liveness(truncation.Runner, truncation.At)
		undecided := known == Unknown || truncation.LooksWhole && known == Silent
		switch {
		case undecided && age < maxLivenessDelay:
			waiting = append(waiting, truncation)
		case known == Alive && truncation.LooksWhole:
			whole = append(whole, truncation)
		case known != Alive && (!truncation.LooksWhole || known == Gone):
			due = append(due, truncation)
		}
	}
	q.pending = waiting
	dropped, q.dropped = q.dropped, 0
	return whole, due, dropped
}

// Pending reports whether truncations are waiting for livenessDelay.
func (q *Quarantine) Pending() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.pending) > 0
}

// CountResult is the result of counting a truncation.
type CountResult struct {
	// Crashes is the number of crashes counted against the request.
	Crashes int
	// Suspected reports that this truncation made the request suspect.
	Suspected bool
}

// Count counts a truncation that this host or a peer reported.
func (q *Quarantine) Count(truncation Truncation, now time.Time) CountResult {
	q.mu.Lock()
	defer q.mu.Unlock()
	known, listed := q.list.Load().entries[truncation.Content]
	switch {
	case !listed || known.expired(now):
		found := q.ledger.add(truncation, now)
		suspected := found.suffices() && q.suspect(truncation.Content, 1, found, now)
		return CountResult{Crashes: len(found.crashes), Suspected: suspected}
	case known.cleared && known.depth > 0:
		// It was sound, and may have become bad since.
		found := q.ledger.add(truncation, now).since(known.changedAt)
		return CountResult{Crashes: len(found.crashes), Suspected: found.suffices() && q.suspect(truncation.Content, known.round+1, found, now)}
	case known.cleared:
		return CountResult{}
	case known.halfOpen(now):
		since := evidenceOf(truncation).since(known.changedAt.Add(quarantineDuration))
		return CountResult{Crashes: len(since.crashes), Suspected: len(since.crashes) > 0 && q.suspect(truncation.Content, known.round+1, since, now)}
	default:
		updated := known
		updated.evidence = known.union(evidenceOf(truncation))
		if updated.differsFrom(known) {
			q.set(truncation.Content, updated)
		}
		return CountResult{Crashes: len(updated.crashes)}
	}
}

// suspect marks a request as suspect, or as cleared if this host has completed it. In a full list it
// takes the place of a cleared one, and does nothing if there is none. The caller holds q.mu.
func (q *Quarantine) suspect(content Fingerprint, round int, found evidence, now time.Time) bool {
	l := q.list.Load()
	if _, listed := l.entries[content]; !listed && l.full() {
		oldest, ok := l.oldestCleared()
		if !ok {
			return false
		}
		q.list.Store(l.withoutEntry(oldest))
	}
	e := entry{round: round, changedAt: now, evidence: found}
	e.cleared = q.served(content, e)
	q.set(content, e)
	return !e.cleared
}

// served reports whether this host has answered the request completely since its crashes began.
func (q *Quarantine) served(content Fingerprint, e entry) bool {
	at, ok := q.completionsOf(e.depth).lastCompletion(content)
	return ok && at.After(e.clearedSince(e.firstSeen()))
}

// Merge applies entries received from a peer and returns those that changed the list.
func (q *Quarantine) Merge(received []Entry, now time.Time) (changed []Entry) {
	q.mu.Lock()
	defer q.mu.Unlock()
	entries := maps.Clone(q.list.Load().entries)
	for _, r := range received {
		e := imported(r, now)
		known, listed := entries[r.Content]
		if listed {
			e = known.mergedWith(e)
		}
		if e.expired(now) || !listed && len(entries) >= maxEntries || listed && !e.differsFrom(known) {
			continue
		}
		if !e.cleared && q.served(r.Content, e) {
			e.cleared, e.changedAt = true, now
		}
		entries[r.Content] = e
		delete(q.ledger, r.Content)
		changed = append(changed, e.export(r.Content, now))
	}
	if len(changed) > 0 {
		q.list.Store(newList(entries))
		q.wake()
	}
	return changed
}

// Restore adds a quarantined request from a persistent record, which contains no times. It skips
// confirmationDelay, so that a host blocks the request as soon as it starts. A record of a later
// round than the known one replaces what is known.
func (q *Quarantine) Restore(content Fingerprint, round int, now time.Time) bool {
	if known, listed := q.list.Load().entries[content]; listed && known.round >= round {
		return false
	}
	return len(q.Merge([]Entry{{Content: content, Round: round, AgeMS: confirmationDelay.Milliseconds()}}, now)) > 0
}

// Entries returns the unexpired entries, to send to a peer.
func (q *Quarantine) Entries(now time.Time) []Entry {
	var exported []Entry
	for content, e := range q.list.Load().entries {
		if !e.expired(now) {
			exported = append(exported, e.export(content, now))
		}
	}
	return exported
}

// Digest is equal on hosts with equivalent lists, 0 for an empty one.
func (q *Quarantine) Digest() uint64 { return q.list.Load().digest }

// Size returns the number of entries in the list, including cleared and half-open ones.
func (q *Quarantine) Size() int { return len(q.list.Load().entries) }

// Prune drops expired entries.
func (q *Quarantine) Prune(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.ledger.prune(now)
	if unexpired := q.list.Load().unexpired(now); len(unexpired.entries) < q.Size() {
		q.list.Store(unexpired)
	}
	for content := range q.trials {
		if _, listed := q.list.Load().entries[content]; !listed {
			delete(q.trials, content)
		}
	}
}

// Snapshot returns the rounds of the blocked requests, for the persistent record: everything
// else is lost in a power failure of the whole fleet.
func (q *Quarantine) Snapshot(now time.Time) map[Fingerprint]int {
	snapshot := map[Fingerprint]int{}
	l := q.list.Load()
	for content, e := range l.entries {
		if _, blocked := l.blockedFor(content, now); blocked {
			snapshot[content] = e.round
		}
	}
	return snapshot
}
