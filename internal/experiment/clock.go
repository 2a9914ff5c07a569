package experiment

import (
	"container/heap"
	"time"
)

// clock is virtual time: a queue of scheduled events.
type clock struct {
	now      time.Time
	events   eventHeap
	sequence uint64
}

type event struct {
	at time.Time
	// sequence keeps events at the same time in the order in which they were scheduled.
	sequence uint64
	action   func()
}

// at schedules an action at a time, or now if that is past.
func (c *clock) at(at time.Time, action func()) {
	if at.Before(c.now) {
		at = c.now
	}
	c.sequence++
	heap.Push(&c.events, event{at: at, sequence: c.sequence, action: action})
}

// after schedules an action after a duration.
func (c *clock) after(wait time.Duration, action func()) { c.at(c.now.Add(wait), action) }

// run executes all events up to and including a time.
func (c *clock) run(until time.Time) {
	for len(c.events) > 0 && !c.events[0].at.After(until) {
		next := heap.Pop(&c.events).(event)
		c.now = next.at
		next.action()
	}
	c.now = until
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].sequence < h[j].sequence
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
