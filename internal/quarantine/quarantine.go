package quarantine

import (
	"cmp"
	"maps"
	"slices"
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
	// maxPendingRequests and maxPendingParts bound the truncations that wait for livenessDelay: ten
	// times as many as one crash causes on a host at the planned size, and the parts of four of the
	// longest prompts that a header of 16 KB holds. Beyond that, which are left out is random, so
	// that none is left out each time.
	maxPendingRequests = 1024
	maxPendingParts    = 16384
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

	mu sync.Mutex
	// requests and parts hold the evidence on subjects that are not listed.
	requests *ledger
	parts    *ledger
	// pending holds the truncations that are not reported yet, the earliest of each crash and
	// subject. pendingParts is the number of those of parts.
	pending      map[pendingKey]Truncation
	pendingParts int
	dropped      int
	// trials counts the trials of blocked parts; decidesTrials reports whether this host is the
	// one that may make them.
	trials        map[Fingerprint]int
	decidesTrials func(content Fingerprint) bool
}

// New returns an empty quarantine.
func New() *Quarantine {
	q := &Quarantine{wakeups: make(chan struct{}, 1), requests: newLedger(maxTrackedRequests), parts: newLedger(maxTrackedParts), pending: map[pendingKey]Truncation{}, trials: map[Fingerprint]int{}, decidesTrials: func(Fingerprint) bool { return false }}
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
		edit := q.edit()
		edit.set(content, e)
		edit.commit()
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

func (q *Quarantine) ledgerOf(depth int) *ledger {
	if depth > 0 {
		return q.parts
	}
	return q.requests
}

// listEdit is a change of several entries of the list, which is replaced once. The reports of one crash
// may concern thousands of parts.
type listEdit struct {
	q       *Quarantine
	entries map[Fingerprint]entry
	changed bool
}

// edit begins a change of the list. The caller holds q.mu until commit.
func (q *Quarantine) edit() *listEdit { return &listEdit{q: q, entries: q.list.Load().entries} }

// set replaces an entry. Crashes since it was cleared stay evidence.
func (l *listEdit) set(content Fingerprint, e entry) {
	l.own()
	l.entries[content] = e
	delete(l.q.ledgerOf(e.depth).subjects, content)
	if e.cleared && e.depth > 0 {
		l.q.keepEvidence(content, e.since(e.changedAt))
	}
}

// keepEvidence keeps the evidence on a subject that is not listed as suspect. The caller holds q.mu.
func (q *Quarantine) keepEvidence(content Fingerprint, found evidence) {
	if len(found.crashes) == 0 {
		return
	}
	ledger := q.ledgerOf(found.depth)
	ledger.makeRoom()
	ledger.subjects[content] = found
}

// own makes the entries a copy that may be changed.
func (l *listEdit) own() {
	if !l.changed {
		l.entries, l.changed = maps.Clone(l.entries), true
	}
}

// admit makes room for an entry, and reports whether there is any: the least important one gives way
// in a full list, and its crashes stay evidence.
func (l *listEdit) admit(content Fingerprint, e entry) bool {
	if _, listed := l.entries[content]; listed || len(l.entries) < maxEntries {
		return true
	}
	least := leastImportant(l.entries)
	if !givesWay(least, l.entries[least], content, e) {
		return false
	}
	l.own()
	if given := l.entries[least]; !given.cleared {
		l.q.keepEvidence(least, given.evidence)
	}
	delete(l.entries, least)
	return true
}

// commit replaces the list if entries were set.
func (l *listEdit) commit() {
	if l.changed {
		l.q.list.Store(newList(l.entries))
		l.q.wake()
	}
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
	q.addPending(truncation)
}

// pendingKey identifies the pending truncations of one subject and runner, which belong to one crash if
// they come within SameCrashWindow.
type pendingKey struct {
	content    Fingerprint
	runner     string
	looksWhole bool
	// later is set for the truncations of a crash that came while those of an earlier one of the same
	// runner are still pending.
	later bool
}

// addPending adds a truncation to the pending ones, or to one of the same subject and crash. The caller
// holds q.mu.
func (q *Quarantine) addPending(truncation Truncation) {
	key := pendingKey{content: truncation.Content, runner: truncation.Runner, looksWhole: truncation.LooksWhole}
	known, pending := q.pending[key]
	if pending && truncation.At.Sub(known.At) >= SameCrashWindow {
		key.later = true
		known, pending = q.pending[key]
	}
	if pending {
		known.Elapsed, known.Depth = max(known.Elapsed, truncation.Elapsed), max(known.Depth, truncation.Depth)
		q.pending[key] = known
		return
	}
	q.makePendingRoom(truncation.Depth > 0)
	q.pending[key] = truncation
	if truncation.Depth > 0 {
		q.pendingParts++
	}
	q.wake()
}

// makePendingRoom drops a random pending truncation of the same kind if there are too many. The
// caller holds q.mu.
func (q *Quarantine) makePendingRoom(ofParts bool) {
	pending, limit := len(q.pending)-q.pendingParts, maxPendingRequests
	if ofParts {
		pending, limit = q.pendingParts, maxPendingParts
	}
	if pending < limit {
		return
	}
	for key, truncation := range q.pending {
		if truncation.Depth > 0 == ofParts {
			q.dropPending(key)
			q.dropped++
			return
		}
	}
}

func (q *Quarantine) dropPending(key pendingKey) {
	if q.pending[key].Depth > 0 {
		q.pendingParts--
	}
	delete(q.pending, key)
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
	known := map[livenessKey]Liveness{}
	for key, truncation := range q.pending {
		age := awake.Between(q.Standstill, truncation.At, now)
		if age < livenessDelay {
			continue
		}
		state := livenessOf(known, truncation, liveness)
		undecided := state == Unknown || truncation.LooksWhole && state == Silent
		if undecided && age < maxLivenessDelay {
			continue
		}
		q.dropPending(key)
		switch {
		case state == Alive && truncation.LooksWhole:
			whole = append(whole, truncation)
		case state != Alive && (!truncation.LooksWhole || state == Gone):
			due = append(due, truncation)
		}
	}
	sortTruncations(whole)
	sortTruncations(due)
	dropped, q.dropped = q.dropped, 0
	return whole, due, dropped
}

// livenessKey identifies a question for the state of a runner since a time.
type livenessKey struct {
	runner string
	since  time.Time
}

// livenessOf asks for the state of a truncation's runner once for all subjects of one answer.
func livenessOf(known map[livenessKey]Liveness, truncation Truncation, liveness func(runner string, since time.Time) Liveness) Liveness {
	key := livenessKey{runner: truncation.Runner, since: truncation.At}
	state, ok := known[key]
	if !ok {
		state = liveness(truncation.Runner, truncation.At)
		known[key] = state
	}
	return state
}

// sortTruncations orders truncations by time, those of whole requests first.
func sortTruncations(truncations []Truncation) {
	slices.SortFunc(truncations, func(a, b Truncation) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Runner, b.Runner), cmp.Compare(a.Depth, b.Depth), cmp.Compare(a.Content, b.Content))
	})
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
	return q.CountAll([]Truncation{truncation}, now)[0]
}

// CountAll counts truncations and returns the result of each.
func (q *Quarantine) CountAll(truncations []Truncation, now time.Time) []CountResult {
	q.mu.Lock()
	defer q.mu.Unlock()
	results := make([]CountResult, 0, len(truncations))
	edit := q.edit()
	for _, truncation := range truncations {
		results = append(results, edit.count(truncation, now))
	}
	edit.commit()
	return results
}

func (l *listEdit) count(truncation Truncation, now time.Time) CountResult {
	ledger := l.q.ledgerOf(truncation.Depth)
	known, listed := l.entries[truncation.Content]
	switch {
	case !listed || known.expired(now):
		found := ledger.add(truncation, now)
		suspected := found.suffices() && l.suspect(truncation.Content, 1, found, now)
		return CountResult{Crashes: len(found.crashes), Suspected: suspected}
	case known.cleared && known.depth > 0:
		// It was sound, and may have become bad since.
		found := ledger.add(truncation, now).since(known.changedAt)
		return CountResult{Crashes: len(found.crashes), Suspected: found.suffices() && l.suspect(truncation.Content, known.round+1, found, now)}
	case known.cleared:
		return CountResult{}
	case known.halfOpen(now):
		since := evidenceOf(truncation).since(known.changedAt.Add(quarantineDuration))
		return CountResult{Crashes: len(since.crashes), Suspected: len(since.crashes) > 0 && l.suspect(truncation.Content, known.round+1, since, now)}
	default:
		updated := known
		updated.evidence = known.union(evidenceOf(truncation))
		if updated.differsFrom(known) {
			l.set(truncation.Content, updated)
		}
		return CountResult{Crashes: len(updated.crashes)}
	}
}

// suspect marks a subject as suspect, or as cleared if this host has completed it. It does nothing if
// the list is full of likelier causes.
func (l *listEdit) suspect(content Fingerprint, round int, found evidence, now time.Time) bool {
	e := l.q.clearedIfServed(content, entry{round: round, changedAt: now, evidence: found}, now)
	if !l.admit(content, e) {
		return false
	}
	l.set(content, e)
	return !e.cleared
}

// clearedIfServed returns the entry as cleared if this host has answered the request completely since
// its crashes began. What was answered just before all crashes came at one moment is cleared as of then:
// the crashes still count once more come.
func (q *Quarantine) clearedIfServed(content Fingerprint, e entry, now time.Time) entry {
	at, ok := q.completionsOf(e.depth).lastCompletion(content)
	first := e.firstSeen()
	if e.cleared || !ok || !at.After(e.clearedSince(first)) {
		return e
	}
	e.cleared, e.changedAt = true, now
	if e.depth > 0 && at.Before(first) {
		e.changedAt = at
	}
	return e
}

// Merge applies entries received from a peer and returns those that changed the list.
func (q *Quarantine) Merge(received []Entry, now time.Time) (changed []Entry) {
	q.mu.Lock()
	defer q.mu.Unlock()
	edit := q.edit()
	for _, r := range received {
		e := imported(r, now)
		known, listed := edit.entries[r.Content]
		if listed {
			e = known.mergedWith(e)
		}
		if e.expired(now) || listed && !e.differsFrom(known) {
			continue
		}
		e = q.clearedIfServed(r.Content, e, now)
		if !edit.admit(r.Content, e) {
			continue
		}
		edit.set(r.Content, e)
		changed = append(changed, e.export(r.Content, now))
	}
	edit.commit()
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
	q.requests.prune(now)
	q.parts.prune(now)
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
