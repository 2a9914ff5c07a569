package slotledger

import (
	"math"
	"time"

	"github.com/cherrystage/cherrystage/internal/site"
)

const (
	// shareHalfLife is the time after which a request counts half in the shares. Bursts last for
	// some seconds.
	shareHalfLife = 5 * time.Second
	// rateHalfLife is the time after which a request counts half in the rate of its precedence. A
	// rate that follows more slowly would have requests refused after a burst has ended.
	rateHalfLife = time.Second
	// leastShare is the least served share of each precedence, as a share of the served share of
	// all requests. No kind of request may fall below a quarter; the rest covers requests that
	// are granted a slot and served too late.
	leastShare = 0.3
	// maxShares bounds the precedences that are counted apart; all others count as one.
	maxShares = 128
)

// otherPrecedences stands for the precedences beyond maxShares.
var otherPrecedences = site.Precedence{Workspace: math.MaxInt, Route: math.MaxInt}

// share counts the requests that asked for a slot and that got one, decaying with time.
type share struct {
	asked, served float64
	// recent counts those that asked, decaying faster.
	recent float64
	at     time.Time
}

func (s *share) decayTo(now time.Time) {
	if passed := now.Sub(s.at); passed > 0 {
		factor := math.Exp2(-passed.Seconds() / shareHalfLife.Seconds())
		s.asked *= factor
		s.served *= factor
		s.recent *= math.Exp2(-passed.Seconds() / rateHalfLife.Seconds())
		s.at = now
	}
}

// shares tells which precedences get fewer slots than the least share. Without it, requests of the
// lowest precedence get none at all for as long as the demand exceeds the capacity.
type shares struct {
	all          share
	byPrecedence map[site.Precedence]*share
}

func newShares() shares { return shares{byPrecedence: map[site.Precedence]*share{}} }

func (s *shares) of(precedence site.Precedence, now time.Time) *share {
	found := s.byPrecedence[precedence]
	if found == nil && len(s.byPrecedence) >= maxShares {
		precedence = otherPrecedences
		found = s.byPrecedence[precedence]
	}
	if found == nil {
		found = &share{at: now}
		s.byPrecedence[precedence] = found
	}
	found.decayTo(now)
	return found
}

func (s *shares) asked(precedence site.Precedence, now time.Time) {
	s.all.decayTo(now)
	s.all.asked++
	own := s.of(precedence, now)
	own.asked++
	own.recent++
}

// rateBefore returns the rate of requests of higher precedence, per second, including those of
// the same precedence if own is set.
func (s *shares) rateBefore(precedence site.Precedence, own bool, now time.Time) float64 {
	count := 0.0
	for other, share := range s.byPrecedence {
		if order := other.Compare(precedence); order < 0 || own && order == 0 {
			share.decayTo(now)
			count += share.recent
		}
	}
	return count * math.Ln2 / rateHalfLife.Seconds()
}

func (s *shares) served(precedence site.Precedence, now time.Time) {
	s.all.decayTo(now)
	s.all.served++
	s.of(precedence, now).served++
}

// fallsShort reports whether the precedence still falls short of the least share if one more of
// its requests is served.
func (s *shares) fallsShort(precedence site.Precedence, now time.Time) bool {
	s.all.decayTo(now)
	if s.all.asked == 0 {
		return false
	}
	own := s.of(precedence, now)
	return own.served+1 <= leastShare*(own.asked+1)*s.all.served/s.all.asked
}
