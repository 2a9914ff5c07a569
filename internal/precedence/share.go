package precedence

import (
	"math"
	"math/bits"
	"time"

	"github.com/cherrystage/cherrystage/internal/site"
)

const (
	// lastResortAsks is the number of runners that a request asks as a last resort.
	lastResortAsks = 2
	// creditPerAsk is what a request earns for its kind when it asks as a last resort, as
	// a share of what all requests get; one that is served costs 1. So of the requests of
	// a kind that no runner takes in time, a third of the overall share is served whatever
	// else waits. No kind may get less than a quarter of it.
	creditPerAsk = 1.0 / 3 / lastResortAsks
	// minCredit is the credit of a kind whose requests are all served. Twelve have to be
	// refused until one is protected, so that a short overload protects none. maxCredit
	// bounds how many of a kind are protected in a row.
	minCredit = -1
	maxCredit = 2
	// workHalfLife is the half-life of the work counted by kind: shorter than the
	// seconds for which an adapter is hot, longer than the requests of one burst.
	workHalfLife = 2 * time.Second
	// maxHigherWork bounds the share of the prefill that is taken to go to requests of
	// higher precedence. It is learned from few requests.
	maxHigherWork = 0.9
	// levelTTL is how long a kind is remembered, and maxLevels how many are.
	levelTTL  = 30 * time.Second
	maxLevels = 256
	// recentAsk is how recent an ask has to be to count for the reserve of request
	// slots.
	recentAsk = time.Second
)

// Kind is a kind of requests that gets a share of its own: of one precedence, with
// prompts whose lengths differ by less than a factor of two. Of requests with the same
// precedence those with long prompts are put off first.
type Kind struct {
	site.Precedence
	// SizeClass is the length of the prompt in bits.
	SizeClass int
}

// KindOf returns the kind of a request.
func KindOf(p site.Precedence, tokens int) Kind {
	return Kind{Precedence: p, SizeClass: bits.Len(uint(max(0, tokens)))}
}

// level is what is known of the requests of one kind on a runner.
type level struct {
	credit  float64
	work    decaying
	askedAt time.Time
}

// Shares counts what the requests of each kind get on one runner. It is not safe for
// concurrent use.
type Shares struct {
	levels map[Kind]*level
	// served counts requests that took their turns, lastResorts those that asked as a
	// last resort and did not.
	served, lastResorts decaying
}

// decaying is a sum whose parts lose half of their weight in each workHalfLife.
type decaying struct {
	sum float64
	at  time.Time
}

func (d *decaying) by(now time.Time) float64 {
	return d.sum * math.Exp2(-now.Sub(d.at).Seconds()/workHalfLife.Seconds())
}

func (d *decaying) add(amount float64, now time.Time) {
	d.sum, d.at = d.by(now)+amount, now
}

// overall returns the share of the requests that are served. One more counts as served, so
// that it is above 0 before any is.
func (s *Shares) overall(now time.Time) float64 {
	served, refused := 1+s.served.by(now), max(0, s.lastResorts.by(now)/lastResortAsks)
	return served / (served + refused)
}

func (s *Shares) get(kind Kind, now time.Time) *level {
	known := s.levels[kind]
	if known != nil {
		return known
	}
	if s.levels == nil {
		s.levels = map[Kind]*level{}
	}
	if len(s.levels) >= maxLevels {
		s.forgetOldest()
	}
	known = &level{askedAt: now}
	s.levels[kind] = known
	return known
}

func (s *Shares) forgetOldest() {
	var oldest Kind
	var at time.Time
	for kind, known := range s.levels {
		if at.IsZero() || known.askedAt.Before(at) {
			oldest, at = kind, known.askedAt
		}
	}
	delete(s.levels, oldest)
}

// Asked counts a request that asks the runner for the first time, as a last resort or
// not.
func (s *Shares) Asked(kind Kind, lastResort bool, now time.Time) {
	known := s.get(kind, now)
	known.askedAt = now
	if lastResort {
		s.lastResorts.add(1, now)
		known.credit = min(maxCredit, known.credit+creditPerAsk*s.overall(now))
	}
}

// Served counts a request that takes its turn, as a last resort or not.
func (s *Shares) Served(kind Kind, lastResort bool, cost time.Duration, now time.Time) {
	known := s.get(kind, now)
	known.credit = max(minCredit, known.credit-1)
	known.work.add(cost.Seconds(), now)
	s.served.add(1, now)
	if lastResort {
		s.lastResorts.add(-1, now)
	}
}

// Protected reports whether the next request of a kind has to be served for it to get its
// share.
func (s *Shares) Protected(kind Kind) bool {
	known := s.levels[kind]
	return known != nil && known.credit >= 1
}

// HigherWork returns the share of the prefill that lately went to requests of higher
// precedence. Those that arrive while a request waits go before it as well.
func (s *Shares) HigherWork(p site.Precedence, now time.Time) float64 {
	var work float64
	for other, known := range s.levels {
		if other.Compare(p) < 0 {
			work += known.work.by(now)
		}
	}
	return min(maxHigherWork, work*math.Ln2/workHalfLife.Seconds())
}

// Lowest returns the lowest precedence that asked lately, and false if none did.
func (s *Shares) Lowest(now time.Time) (site.Precedence, bool) {
	var lowest site.Precedence
	found := false
	for kind, known := range s.levels {
		if now.Sub(known.askedAt) > levelTTL {
			delete(s.levels, kind)
			continue
		}
		if !found || kind.Compare(lowest) > 0 {
			lowest, found = kind.Precedence, true
		}
	}
	return lowest, found
}

// Reserved reports whether the last request slots are kept from requests of a kind:
// requests of several precedences asked within the last second, and none of a lower one.
func (s *Shares) Reserved(kind Kind, now time.Time) bool {
	higher := false
	for other, known := range s.levels {
		if now.Sub(known.askedAt) > recentAsk {
			continue
		}
		switch order := other.Compare(kind.Precedence); {
		case order > 0:
			return false
		case order < 0:
			higher = true
		}
	}
	return higher && !s.Protected(kind)
}
