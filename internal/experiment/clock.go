package experiment

import (
	"container/heap"
	"time"
)

// clock is virtual time: a queue of what is to be done when.
type clock struct {
	now    time.Time
	events eventHeap
	number uint64
}

type event struct {
	at time.Time
	// number keeps events of one moment in the order of their making.
	number uint64
	do     func()
}

// at has something done at a time, or now if that is past.
func (c *clock) at(at time.Time, do func()) {
	if at.Before(c.now) {
		at = c.now
	}
	c.number++
	heap.Push(&c.events, event{at: at, number: c.number, do: do})
}

func (c *clock) after(wait time.Duration, do func()) { c.at(c.now.Add(wait), do) }

// run plays all events up to a time.
func (c *clock) run(until time.Time) {
	for len(c.events) > 0 && !c.events[0].at.After(until) {
		next := heap.Pop(&c.events).(event)
		c.now = next.at
		next.do()
	}
	c.now = until
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].number < h[j].number
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
