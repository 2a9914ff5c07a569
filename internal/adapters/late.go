package adapters

import "time"

// lateOrderMax is how long after it was sent an order without an answer may still be
// carried out. The platform documents 2 to 12 s; one second is added as a margin.
const lateOrderMax = 13 * time.Second

// LateOrders are the orders without an answer that a runner may still carry out, by
// the sequence number that they were given for.
//
// They guard against this failure: a runner loses answers, crashes and restarts under
// its instance. Its sequence starts again, and a load meant for the previous lifetime
// is carried out once the sequence reaches that load's number. If all slots are taken
// by then, the runner is ordered to hold more than it can and crashes. Within one
// lifetime this can't happen, since the sequence only grows and an order for an
// earlier number is void.
type LateOrders map[int64]lateOrder

// lateOrder is the state of the orders given for one sequence number.
type lateOrder struct {
	load  bool
	until time.Time
}

// add records an order that has no answer yet. undo is called once it is answered: it
// removes the order, or restores what was recorded earlier for the same sequence
// number.
func (l LateOrders) add(sequence int64, load bool, now time.Time) (undo func()) {
	before, noted := l[sequence]
	l[sequence] = lateOrder{load: load || before.load, until: now.Add(lateOrderMax)}
	return func() {
		if noted {
			l[sequence] = before
			return
		}
		delete(l, sequence)
	}
}

// merge adds other orders.
func (l LateOrders) merge(others LateOrders) {
	for sequence, order := range others {
		order.load = order.load || l[sequence].load
		l[sequence] = order
	}
}

// expire drops the orders that can no longer be carried out.
func (l LateOrders) expire(now time.Time) {
	for sequence, order := range l {
		if now.After(order.until) {
			delete(l, sequence)
		}
	}
}

// lookahead is how many orders ahead slots are reserved. A load needs the slots
// reserved at the following sequence number, and freeing a slot takes an order as
// well.
const lookahead = 2

// reservedSlots returns how many slots have to be kept free at a sequence number.
func (l LateOrders) reservedSlots(sequence int64) int {
	most := 0
	for next := sequence; next <= sequence+lookahead; next++ {
		most = max(most, l.consecutiveLoads(next))
	}
	return most
}

// consecutiveLoads returns how many slots late orders may take before the owner
// notices: the loads among the orders with consecutive sequence numbers. After one of
// them is carried out, the owner's next order is answered with a sequence conflict.
func (l LateOrders) consecutiveLoads(sequence int64) int {
	loads := 0
	for {
		order, ok := l[sequence]
		if !ok {
			return loads
		}
		if order.load {
			loads++
		}
		sequence++
	}
}
