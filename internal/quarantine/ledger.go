package quarantine

import (
	"slices"
	"time"
)

const (
	// endsToHold is the number of runners that end under a request before it is kept from
	// others. Two may be chance: a request that was cut off comes again, and may meet
	// another runner's end. The platform allows three.
	endsToHold = 3
	// sameEnd is the time within which two cut answers of one runner come from one end of
	// it. Hosts notice an end within some milliseconds of each other, and a runner takes
	// seconds to come back.
	sameEnd = time.Second
	// maxEnds bounds the ends that are kept of a request: as many as hosts may still add
	// before all of them know.
	maxEnds = 8
	// maxSuspects bounds the requests that ends are counted for. The loss of a data centre
	// of 148 runners with 75 requests each leaves 72 with each of 460 hosts.
	maxSuspects = 2048
)

// Truncation is an answer that broke off, most likely since its runner ended.
type Truncation struct {
	Content Fingerprint
	// Runner is the ID of the runner's lifetime.
	Runner string
	At     time.Time
	// Elapsed is how long the runner had had the request.
	Elapsed time.Duration
}

// end is the end of a runner under a request.
type end struct {
	runner string
	at     time.Time
}

// same says whether two hosts, or two requests, tell of one end.
func (e end) same(other end) bool {
	return e.runner == other.runner && e.at.Sub(other.at).Abs() < sameEnd
}

// evidence is what was seen of the ends of runners under a request.
type evidence struct {
	// ends are those of runners under it, in the order in which they were told.
	ends []end
	// lasted is the longest time that a runner had had it at its end.
	lasted time.Duration
}

// with joins two pieces of evidence.
func (v evidence) with(more evidence) evidence {
	sum := evidence{ends: slices.Clone(v.ends), lasted: max(v.lasted, more.lasted)}
	for _, e := range more.ends {
		if len(sum.ends) < maxEnds && !slices.ContainsFunc(sum.ends, e.same) {
			sum.ends = append(sum.ends, e)
		}
	}
	return sum
}

// endsByRunner are ends by the ID of their runner.
type endsByRunner map[string][]end

func (b endsByRunner) add(ends []end) {
	for _, e := range ends {
		b[e.runner] = append(b[e.runner], e)
	}
}

// without counts the ends that are not among these.
func (b endsByRunner) without(ends []end) int {
	count := 0
	for _, e := range ends {
		if !slices.ContainsFunc(b[e.runner], e.same) {
			count++
		}
	}
	return count
}

// since gives the evidence without ends from before a moment.
func (v evidence) since(moment time.Time) evidence {
	kept := evidence{lasted: v.lasted}
	for _, e := range v.ends {
		if !e.at.Before(moment) {
			kept.ends = append(kept.ends, e)
		}
	}
	return kept
}

// first gives when the first end was; the zero time without any.
func (v evidence) first() time.Time {
	var first time.Time
	for _, e := range v.ends {
		if first.IsZero() || e.at.Before(first) {
			first = e.at
		}
	}
	return first
}

// of gives the evidence of one cut.
func of(cut Truncation) evidence {
	return evidence{ends: []end{{runner: cut.Runner, at: cut.At}}, lasted: cut.Elapsed}
}

// ledger keeps the evidence on requests that are not suspected yet. It is not safe for
// concurrent use.
type ledger map[Fingerprint]evidence

// count takes a cut into account and gives all evidence on its request, none if there
// is no room for another request.
func (l ledger) count(cut Truncation, now time.Time) evidence {
	known, ok := l[cut.Content]
	if !ok && len(l) >= maxSuspects {
		l.forgetOld(now)
		if len(l) >= maxSuspects {
			return evidence{}
		}
	}
	known = known.since(now.Add(-memory)).with(of(cut))
	l[cut.Content] = known
	return known
}

func (l ledger) forgetOld(now time.Time) {
	for content, known := range l {
		if len(known.since(now.Add(-memory)).ends) == 0 {
			delete(l, content)
		}
	}
}
