package adapters

import "time"

// lateOrderMax is how long after it was sent an order without an answer may still be
// carried out: the platform names 2 to 12 s, and a second is kept as a margin.
const lateOrderMax = 13 * time.Second

// LateOrders are the orders without an answer that a runner may still carry out, by
// the sequence that they were given for.
//
// The failure they guard against: a runner loses answers, crashes and starts again
// under its instance. Its orders are counted anew, and a load that was given to the
// lifetime before is carried out once the count comes by the sequence that it was
// given for. If all places are taken by then, the runner crashes: it was ordered to
// hold more than it can. Within one lifetime this cannot be, since the sequence only
// grows and an order that was overtaken is void.
type LateOrders map[int64]lateOrder

// lateOrder is the latest order of one sequence.
type lateOrder struct {
	load  bool
	until time.Time
}

// add keeps an order that has no answer yet. Once it has one, settled takes it back
// and leaves those that were given for the sequence before.
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

// expire drops the orders that are not carried out any more.
func (l LateOrders) expire(now time.Time) {
	for sequence, order := range l {
		if now.After(order.until) {
			delete(l, sequence)
		}
	}
}

// lookahead is how many orders lookahead places are kept free: an order to load needs the
// room that the sequence after it calls for, and making room takes an order as well.
const lookahead = 2

// reservedSlots gives how many reservedSlots have to be kept free at a sequence.
func (l LateOrders) reservedSlots(sequence int64) int {
	most := 0
	for next := sequence; next <= sequence+lookahead; next++ {
		most = max(most, l.consecutiveLoads(next))
	}
	return most
}

// consecutiveLoads gives how many places late orders may take before the owner notices: the
// loads of the sequences that follow on each other. The owner's first order after
// one of them finds another sequence.
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
