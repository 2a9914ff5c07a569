package board

import "time"

const (
	// refusalsInRow is how many requests a runner turns away, with none between that it
	// takes, until it counts as one that takes none. A full one takes the next as soon as
	// another ends.
	refusalsInRow = 3
	// refusingFirst and refusingMost bound for how long such a runner is left alone before
	// it is tried again.
	refusingFirst = 100 * time.Millisecond
	refusingMost  = time.Second
)

// refusals are the requests that a runner turned away in a row.
//
// A runner that turns all away at once has nothing under way. Taken for the idlest of all,
// it would get every request first: callers wait for the tries, and the retry budget is
// spent on it.
type refusals struct {
	inRow int
	until time.Time
}

// hold says whether the runner is to be left alone.
func (r *refusals) hold(now time.Time) bool { return now.Before(r.until) }

func (r *refusals) note(now time.Time) {
	if r.hold(now) {
		// Sent before it was known.
		return
	}
	r.inRow++
	if beyond := r.inRow - refusalsInRow; beyond >= 0 {
		r.until = now.Add(min(refusingFirst<<min(beyond, 4), refusingMost))
	}
}

// RecordRefusal notes that a runner turned a request away, as busy as it looked.
func (b *Board) RecordRefusal(runner string, now time.Time) {
	b.with(runner, func(e *entry) { e.refusals.note(now) })
}
