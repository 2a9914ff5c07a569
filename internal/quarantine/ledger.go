package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// crashThreshold is the number of crashes after which a request becomes suspect. Two may be
	// coincidence: a request that was cut off is retried and may meet the crash of another
	// runner. The platform tolerates three.
	crashThreshold = 3
	// SameCrashWindow is the time within which truncated responses from one runner are
	// attributed to the same crash. Hosts notice a crash within milliseconds of each other, and
	// a runner takes seconds to restart.
	SameCrashWindow = time.Second
	// sameLossWindow is the time within which the hosts notice crashes of the same moment.
	sameLossWindow = 100 * time.Millisecond
	// maxCrashes bounds the crashes kept for a request. One that comes often may crash more runners
	// before all hosts block it.
	maxCrashes = 8
	// maxTrackedRequests bounds the requests that crashes are counted for. The loss of a data
	// centre of 148 runners with 75 requests each reports 72 requests to each of 460 hosts.
	maxTrackedRequests = 2048
	// maxTrackedParts bounds the parts of prompts: four of the longest lists that a header of
	// 16 KB holds, or the parts of 4,000 requests of four. One takes 150 to 500 bytes.
	maxTrackedParts = 16384
	// lossThreshold is the number of crashes at the same moment after which a part is suspect that
	// no host has answered whole of late. The platform counts from the fifth crash on.
	lossThreshold = 5
)

// Truncation is a response that broke off, most likely because its runner crashed.
type Truncation struct {
	// Content is what may be to blame, Depth is as in Subject.
	Content Fingerprint
	Depth   int
	// Runner is the runner's instance ID.
	Runner string
	At     time.Time
	// Elapsed is the time from sending the request to the truncation.
	Elapsed time.Duration
	// LooksWhole is set if only the end of the connection marked the end of the response: it was
	// whole unless the runner crashed.
	LooksWhole bool
}

// crash is the crash of a runner that was executing a request.
type crash struct {
	runner string
	at     time.Time
}

// sameAs reports whether two reports, from different hosts or for different requests, describe
// one crash.
func (c crash) sameAs(other crash) bool {
	return c.runner == other.runner && c.at.Sub(other.at).Abs() < SameCrashWindow
}

// evidence is what is known about the crashes of runners that were executing a request.
type evidence struct {
	// crashes are in the order in which they were reported.
	crashes []crash
	// maxElapsed is the longest time that a runner had the request before it crashed.
	maxElapsed time.Duration
	// depth is as in Subject, the greatest where a part has several places.
	depth int
}

// union combines the evidence, counting a crash that both contain once.
func (v evidence) union(other evidence) evidence {
	result := evidence{crashes: slices.Clone(v.crashes), maxElapsed: max(v.maxElapsed, other.maxElapsed), depth: max(v.depth, other.depth)}
	for _, c := range other.crashes {
		if !result.full() && !slices.ContainsFunc(result.crashes, c.sameAs) {
			result.crashes = append(result.crashes, c)
		}
	}
	return result
}

// full reports whether there may be more crashes than are kept.
func (v evidence) full() bool { return len(v.crashes) >= maxCrashes }

// causes are the crashes that blocked subjects explain.
type causes struct {
	// byRunner maps the ID of a runner to its crashes.
	byRunner map[string][]crash
	// uncounted are the times in which there may be more crashes than were kept.
	uncounted []period
}

type period struct{ from, to time.Time }

func (p period) contains(at time.Time) bool { return !at.Before(p.from) && !at.After(p.to) }

// add adds the crashes of a blocked subject.
func (c *causes) add(e entry) {
	for _, known := range e.crashes {
		c.byRunner[known.runner] = append(c.byRunner[known.runner], known)
	}
	if e.full() {
		c.uncounted = append(c.uncounted, period{from: e.firstCrash(), to: e.agreedAt()})
	}
}

// countOwn returns how many crashes of a subject the blocked ones do not explain. A subject that is full
// itself may be a second cause, of which no further crash would be kept: only known crashes explain its.
func (c *causes) countOwn(v evidence) int {
	count := 0
	for _, known := range v.crashes {
		if !c.areKnownFor(known) && (v.full() || !c.mayExplain(known)) {
			count++
		}
	}
	return count
}

func (c *causes) areKnownFor(known crash) bool {
	return slices.ContainsFunc(c.byRunner[known.runner], known.sameAs)
}

func (c *causes) mayExplain(known crash) bool {
	return slices.ContainsFunc(c.uncounted, func(p period) bool { return p.contains(known.at) })
}

// since returns the evidence without crashes before t.
func (v evidence) since(t time.Time) evidence {
	kept := evidence{maxElapsed: v.maxElapsed, depth: v.depth}
	for _, c := range v.crashes {
		if !c.at.Before(t) {
			kept.crashes = append(kept.crashes, c)
		}
	}
	return kept
}

// suffices reports whether the evidence makes its subject suspect. Runners that are lost together
// may have had a popular part in common, so few crashes of one moment do not suffice against a part.
//
// Many do: requests with a bad part may come together again, a moment later. What was merely popular
// has been answered whole shortly before, and is cleared by that, see clearedSince.
func (v evidence) suffices() bool {
	if v.depth > 0 && v.isOneLoss() {
		return len(v.crashes) >= lossThreshold
	}
	return len(v.crashes) >= crashThreshold
}

// isOneLoss reports whether all crashes came at the same moment.
func (v evidence) isOneLoss() bool {
	first := v.firstCrash()
	for _, c := range v.crashes {
		if c.at.Sub(first) > sameLossWindow {
			return false
		}
	}
	return true
}

// clearedSince returns the time from which a completion clears the subject: some time before the
// first crash for a whole request, and the first crash for a part, which many requests complete. If all
// crashes came at one moment, no answer could come in between, and that time counts for a part as well.
func (v evidence) clearedSince(first time.Time) time.Time {
	if v.depth > 0 && !v.isOneLoss() {
		return first
	}
	return first.Add(-contentCompletionGrace)
}

// firstCrash returns the time of the earliest crash, the zero time if there is none.
func (v evidence) firstCrash() time.Time {
	var first time.Time
	for _, c := range v.crashes {
		if first.IsZero() || c.at.Before(first) {
			first = c.at
		}
	}
	return first
}

// evidenceOf returns the evidence of a single truncation.
func evidenceOf(truncation Truncation) evidence {
	return evidence{crashes: []crash{{runner: truncation.Runner, at: truncation.At}}, maxElapsed: truncation.Elapsed, depth: truncation.Depth}
}

// lastCrash returns the time of the latest crash, the zero time if there is none.
func (v evidence) lastCrash() time.Time {
	var last time.Time
	for _, c := range v.crashes {
		if c.at.After(last) {
			last = c.at
		}
	}
	return last
}

// ledger holds the evidence on subjects of one kind that are not suspect yet. It is not safe for
// concurrent use.
type ledger struct {
	subjects map[Fingerprint]evidence
	limit    int
	prunedAt time.Time
}

// pruneInterval is the minimum time between two looks for evidence that has expired.
const pruneInterval = 10 * time.Second

func newLedger(limit int) *ledger { return &ledger{subjects: map[Fingerprint]evidence{}, limit: limit} }

// add records a truncation and returns all evidence on its subject.
func (l *ledger) add(truncation Truncation, now time.Time) evidence {
	known, ok := l.subjects[truncation.Content]
	if !ok && len(l.subjects) >= l.limit {
		l.prune(now)
		l.makeRoom()
	}
	known = known.since(now.Add(-evidenceTTL)).union(evidenceOf(truncation))
	l.subjects[truncation.Content] = known
	return known
}

// prune drops evidence that has expired.
func (l *ledger) prune(now time.Time) {
	if now.Sub(l.prunedAt) < pruneInterval {
		return
	}
	l.prunedAt = now
	for content, known := range l.subjects {
		if known.lastCrash().Before(now.Add(-evidenceTTL)) {
			delete(l.subjects, content)
		}
	}
}

// makeRoom drops a quarter of the subjects if the ledger is full: those with the fewest crashes, and of
// these the ones whose last crash is longest ago. If it kept the first ones instead, a loss of many
// runners would fill it, and what crashes runners afterwards would not be counted for ten minutes.
func (l *ledger) makeRoom() {
	if len(l.subjects) < l.limit {
		return
	}
	contents := slices.Collect(maps.Keys(l.subjects))
	slices.SortFunc(contents, func(a, b Fingerprint) int {
		x, y := l.subjects[a], l.subjects[b]
		return cmp.Or(len(x.crashes)-len(y.crashes), x.lastCrash().Compare(y.lastCrash()))
	})
	for _, content := range contents[:(l.limit+3)/4] {
		delete(l.subjects, content)
	}
}
