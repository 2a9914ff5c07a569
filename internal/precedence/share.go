package precedence

import (
	"math"
	"time"

	"github.com/cherrystage/cherrystage/internal/site"
)

const (
	// creditPerAsk is what a request earns for its precedence when it asks as a last
	// resort, which it does on two runners: one that is served costs 1. So of the
	// requests of a precedence that no runner takes in time, a third is served whatever
	// else waits. No kind of request may get less than a quarter of the share that the
	// others get.
	creditPerAsk = 1.0 / 6
	// minCredit is where a precedence stands whose requests are all served. Twelve have
	// to ask in vain until one is protected, so that a single busy moment protects none.
	minCredit = -1
	maxCredit = 2
	// workHalfLife is the half-life of the work counted by precedence: shorter than the
	// seconds for which an adapter is hot, longer than the requests of one burst.
	workHalfLife = 2 * time.Second
	// maxHigherWork bounds the share of the prefill that is taken to go to requests of
	// higher precedence. It is learned from few requests.
	maxHigherWork = 0.9
	// levelTTL is how long a precedence is remembered, and maxLevels how many are.
	levelTTL  = 30 * time.Second
	maxLevels = 256
	// recentAsk is how recent an ask has to be to count for the reserve of request
	// slots.
	recentAsk = time.Second
)

// level is what is known of the requests of one precedence on a runner.
type level struct {
	credit  float64
	work    float64
	workAt  time.Time
	askedAt time.Time
}

// Shares counts what the requests of each precedence get on one runner. It is not safe
// for concurrent use.
type Shares struct{ levels map[site.Precedence]*level }

func (s *Shares) get(p site.Precedence, now time.Time) *level {
	known := s.levels[p]
	if known != nil {
		return known
	}
	if s.levels == nil {
		s.levels = map[site.Precedence]*level{}
	}
	if len(s.levels) >= maxLevels {
		s.forgetOldest()
	}
	known = &level{workAt: now, askedAt: now}
	s.levels[p] = known
	return known
}

func (s *Shares) forgetOldest() {
	var oldest site.Precedence
	var at time.Time
	for p, known := range s.levels {
		if at.IsZero() || known.askedAt.Before(at) {
			oldest, at = p, known.askedAt
		}
	}
	delete(s.levels, oldest)
}

// Asked counts a request that asks the runner for the first time, as a last resort or
// not.
func (s *Shares) Asked(p site.Precedence, lastResort bool, now time.Time) {
	known := s.get(p, now)
	known.askedAt = now
	if lastResort {
		known.credit = min(maxCredit, known.credit+creditPerAsk)
	}
}

// Served counts a request that takes its turn.
func (s *Shares) Served(p site.Precedence, cost time.Duration, now time.Time) {
	known := s.get(p, now)
	known.credit = max(minCredit, known.credit-1)
	known.work = known.workBy(now) + cost.Seconds()
	known.workAt = now
}

func (l *level) workBy(now time.Time) float64 {
	return l.work * math.Exp2(-now.Sub(l.workAt).Seconds()/workHalfLife.Seconds())
}

// Protected reports whether the next request of a precedence has to be served for it to
// get its share.
func (s *Shares) Protected(p site.Precedence) bool {
	known := s.levels[p]
	return known != nil && known.credit >= 1
}

// HigherWork returns the share of the prefill that lately went to requests of higher
// precedence. Those that arrive while a request waits go before it as well.
func (s *Shares) HigherWork(p site.Precedence, now time.Time) float64 {
	var work float64
	for other, known := range s.levels {
		if other.Compare(p) < 0 {
			work += known.workBy(now)
		}
	}
	return min(maxHigherWork, work*math.Ln2/workHalfLife.Seconds())
}

// Lowest returns the lowest precedence that asked lately, and false if none did.
func (s *Shares) Lowest(now time.Time) (site.Precedence, bool) {
	var lowest site.Precedence
	found := false
	for p, known := range s.levels {
		if now.Sub(known.askedAt) > levelTTL {
			delete(s.levels, p)
			continue
		}
		if !found || p.Compare(lowest) > 0 {
			lowest, found = p, true
		}
	}
	return lowest, found
}

// Reserved reports whether the last request slots are kept from a request of this
// precedence: requests of several precedences asked within the last second, and none of
// a lower one.
func (s *Shares) Reserved(p site.Precedence, now time.Time) bool {
	higher := false
	for other, known := range s.levels {
		if now.Sub(known.askedAt) > recentAsk {
			continue
		}
		switch order := other.Compare(p); {
		case order > 0:
			return false
		case order < 0:
			higher = true
		}
	}
	return higher && !s.Protected(p)
}
