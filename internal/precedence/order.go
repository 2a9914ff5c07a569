// Package precedence decides which of the requests that compete for one runner goes
// first: for prefill, for adapter slots and for the last request slots. It does no I/O,
// and time is an argument.
//
// It addresses a load in which requests with little time and requests with much time
// share runners, and in which there are more of them for seconds at a time than the
// runners can serve. In the order of arrival, long prompts whose callers can wait go
// ahead of short ones whose callers can't, and a request whose adapter was loaded in time
// may be late because of other prompts.
package precedence

import (
	"cmp"
	"slices"
	"time"

	"github.com/cherrystage/cherrystage/internal/site"
)

// Prompt is a request that waits for its turn at the prefill of one runner.
type Prompt struct {
	Precedence site.Precedence
	// Protected is set for a request that goes before those of any precedence because
	// its own got too small a share. Overdue is set for a request that has been deferred
	// for as long as it may be.
	Protected, Overdue bool
	// Cost is the time that the prefill takes.
	Cost time.Duration
	// Due is when the prefill has to begin for the request to be on time, and End when
	// it has to begin to be of use.
	Due, End time.Time
	// Seq orders requests that are alike otherwise.
	Seq uint64
}

// Prefill is the state of a runner's prefill.
type Prefill struct {
	// Backlog is the time that the prompts which took their turns need. Burst is how
	// much of it may be sent at once, see adapters.Pacer.
	Backlog, Burst time.Duration
}

// Wait returns how long a prompt waits that comes after others with a total cost of
// before.
func (p Prefill) Wait(cost, before time.Duration) time.Duration {
	return max(0, p.Backlog+before-max(0, p.Burst-cost))
}

// inDanger reports whether a request that is due in left may be late because of a wait: it
// takes over half of its time. The other half is for requests that arrive later and go
// first as well.
func inDanger(wait, left time.Duration) bool { return wait > left/2 }

// lower reports whether a goes after b by precedence alone.
func lower(a, b *Prompt) bool {
	if a.Protected != b.Protected {
		return b.Protected
	}
	return !a.Protected && a.Precedence.Compare(b.Precedence) > 0
}

// Order sorts prompts in the order in which they should take their turns.
//
// Those that were deferred for as long as possible go first. Then come those that can
// be on time, the one with the least time left before the others: this is the order in
// which all of them are on time if any order does that. Where no order does, requests of
// the lowest precedence are put after those that can be on time, until the others are
// in no danger. Of equals, the one with the longest prompt is put off, so that few are.
// Those and the ones that are late already come last, by precedence: they are late
// anyway, but each that goes before one that could be on time costs that one its time.
func Order(prompts []*Prompt, prefill Prefill, now time.Time) []*Prompt {
	overdue := make([]*Prompt, 0, len(prompts))
	var inTime, late []*Prompt
	for _, p := range prompts {
		switch {
		case p.Overdue:
			overdue = append(overdue, p)
		case p.Due.Before(now):
			late = append(late, p)
		default:
			inTime = append(inTime, p)
		}
	}
	slices.SortFunc(overdue, func(a, b *Prompt) int { return cmp.Or(a.End.Compare(b.End), cmp.Compare(a.Seq, b.Seq)) })
	var before time.Duration
	for _, p := range overdue {
		before += p.Cost
	}
	slices.SortFunc(inTime, compareDue)
	inTime, putOff := putOff(inTime, prefill, before, now)
	late = append(late, putOff...)
	slices.SortFunc(late, func(a, b *Prompt) int {
		switch {
		case lower(b, a):
			return -1
		case lower(a, b):
			return 1
		default:
			return compareDue(a, b)
		}
	})
	return append(append(overdue, inTime...), late...)
}

func compareDue(a, b *Prompt) int {
	return cmp.Or(a.Due.Compare(b.Due), a.Precedence.Compare(b.Precedence), cmp.Compare(a.Seq, b.Seq))
}

// putOff splits prompts in the order of their due times into those that keep their
// places and those that are put off, so that the others can be on time.
func putOff(sorted []*Prompt, prefill Prefill, before time.Duration, now time.Time) (kept, putOff []*Prompt) {
	for _, p := range sorted {
		kept = append(kept, p)
		before += p.Cost
		for len(kept) > 0 {
			last := kept[len(kept)-1]
			wait, left := prefill.Wait(last.Cost, before-last.Cost), last.Due.Sub(now)
			if !inDanger(wait, left) {
				break
			}
			victim := leastOf(kept)
			if wait <= left && !lower(kept[victim], last) {
				break
			}
			before -= kept[victim].Cost
			putOff = append(putOff, kept[victim])
			kept = slices.Delete(kept, victim, victim+1)
			if victim == len(kept) {
				break
			}
		}
	}
	return kept, putOff
}

// leastOf returns the index of the prompt to put off: of the lowest precedence, the
// longest, the last to be due.
func leastOf(prompts []*Prompt) int {
	least := 0
	for i, p := range prompts {
		if lower(p, prompts[least]) || !lower(prompts[least], p) && p.Cost >= prompts[least].Cost {
			least = i
		}
	}
	return least
}
