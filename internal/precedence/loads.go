package precedence

import (
	"time"

	"github.com/cherrystage/cherrystage/internal/site"
)

// Rank is the rank of an adapter load: that of the highest request that waits for it.
type Rank struct {
	// Awaited is set if a request waits for the load, Protected if one that goes before
	// those of any precedence.
	Awaited, Protected bool
	Precedence         site.Precedence
}

// Compare returns a negative number if r goes before other, 0 if neither does, and a
// positive number otherwise.
func (r Rank) Compare(other Rank) int {
	switch {
	case r.Awaited != other.Awaited:
		return order(r.Awaited)
	case r.Protected != other.Protected:
		return order(r.Protected)
	case r.Protected:
		return 0
	default:
		return r.Precedence.Compare(other.Precedence)
	}
}

func order(first bool) int {
	if first {
		return -1
	}
	return 1
}

// QueuedLoad is a load that is not ordered yet.
type QueuedLoad struct {
	Rank  Rank
	DueAt time.Time
}

// Displaced returns the index of the queued load that gives its adapter slot to a load of
// the given rank: the lowest, and of equals the one that is due last. It returns false if
// no queued load ranks lower.
//
// Requests for cold adapters come in bursts, and a runner has few adapter slots. By the
// order of arrival, the requests with the lowest precedence may hold all of them.
func Displaced(queued []QueuedLoad, rank Rank) (int, bool) {
	lowest, found := 0, false
	for i, load := range queued {
		if load.Rank.Compare(rank) <= 0 {
			continue
		}
		before := 0
		if found {
			before = queued[lowest].Rank.Compare(load.Rank)
		}
		if !found || before < 0 || before == 0 && load.DueAt.After(queued[lowest].DueAt) {
			lowest, found = i, true
		}
	}
	return lowest, found
}

// RankOf returns the rank of a request's load.
func (q *Queue) RankOf(ask Ask, now time.Time) Rank {
	kind := q.kindOf(ask, now)
	return Rank{Awaited: true, Precedence: kind.Precedence, Protected: q.Shares.Protected(kind)}
}

// Reserved reports whether the last request slots of the runner are kept from a request.
func (q *Queue) Reserved(ask Ask, now time.Time) bool {
	return q.Active(now) && q.Shares.Reserved(q.kindOf(ask, now), now)
}
