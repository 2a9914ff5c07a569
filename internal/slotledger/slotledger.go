// Package slotledger decides which request of a service without models may use a request slot of
// which runner, for all hosts together. It keeps the grants, each with an expiry, and a bounded
// queue of the requests that wait for a slot.
//
// The load it is designed for: each of 60 to 70 hosts gets a few requests a second for four
// runners of six slots, and a request runs for 30 to 60 ms. Heartbeats tell a host every second
// what the others have in flight, by which time most of it has ended, so that hosts that choose by
// heartbeats send requests to full runners while others have free slots. In bursts the demand is
// 1.2 times the capacity; what the precedence of a request is worth then is decided here.
//
// The package does no I/O and starts no goroutine: callers pass in the time and deliver the
// decisions.
package slotledger

import (
	"time"

	"github.com/cherrystage/cherrystage/internal/site"
)

// Holder is the process that asks for slots and returns them.
type Holder struct {
	Host string
	// Incarnation tells the processes of a host apart.
	Incarnation string
}

// ID identifies a request for a slot, and its grant. It is chosen by the holder, so that a holder
// that got no answer can return what it may have been granted.
type ID struct {
	Holder
	Number uint64
}

// Runner is a runner that a request may go to.
type Runner struct {
	ID string
	// Slots is the number of request slots that the runner announced.
	Slots int
	// Queue is the number of requests that the runner takes beyond its slots.
	Queue int
	// RefusalPause is for how long the runner counts as full after it refused a request, 0 for
	// the usual rule.
	RefusalPause time.Duration
}

// Request is a request for a slot.
type Request struct {
	ID ID
	// Runners are those that the request may go to, preferred ones first.
	Runners    []Runner
	Precedence site.Precedence
	// Due is when the request's answer is due. Among requests of the same precedence the one
	// that is due first goes first.
	Due time.Time
	// MaxWait is how long the request may wait for a slot.
	MaxWait time.Duration
	// Lifetime is the time after which the request has certainly ended.
	Lifetime time.Duration
}

// Release ends a grant or a wait.
type Release struct {
	ID ID
	// Refused reports that the runner refused the request although it had been granted a slot.
	Refused bool
}

// Outcome is the state of a request for a slot.
type Outcome uint8

// Outcomes of a request for a slot.
const (
	// Queued means that the request waits for a slot.
	Queued Outcome = iota
	// Granted means that the request may be sent to the runner that the decision names.
	Granted
	// Refused means that no slot becomes free within the time that the request can wait.
	Refused
	// Withdrawn means that the holder gave the request up, or stopped asking for it.
	Withdrawn
)

// Decision is the answer to a request for a slot.
type Decision struct {
	ID      ID
	Outcome Outcome
	// Runner is the ID of the runner with the granted slot.
	Runner string
	// Wait is the expected time until the request could begin, unless it is granted.
	Wait time.Duration
	// Scarce reports that few slots are free or requests wait for one, so that the slot should be
	// returned without delay.
	Scarce bool
}

// Bounds on the state of a ledger.
const (
	// maxWaiters bounds the queue. At the capacity of four runners of six slots and 60 ms for a
	// request, a request behind so many others waits for more than a second.
	maxWaiters = 512
	// maxRunners bounds the runners of one service that the ledger knows.
	maxRunners = 1024
	// maxSlots bounds the slots of one runner.
	maxSlots = 4096
	// maxCandidates bounds the runners that one request can name.
	maxCandidates = 64
)

const (
	// maxLifetime bounds how long a grant is counted without being returned.
	maxLifetime = 5 * time.Second
	// minLifetime is a lower bound on it, since a request may be sent at the very end of its time.
	minLifetime = 50 * time.Millisecond
	// fullPeriod is how long a runner counts as full that refused a request although the ledger
	// showed a free slot.
	fullPeriod = 100 * time.Millisecond
	// HoldLimit bounds how long the call of a waiting request may be held before the holder has to
	// ask again. A holder that cannot be told that its ledger has ended waits for this long.
	HoldLimit = 500 * time.Millisecond
	// attendance is how long a waiting request keeps its place after its holder asked for it.
	attendance = HoldLimit + 200*time.Millisecond
	// While requests wait without a pause, one more is granted beyond a runner's slots every
	// minGrowthInterval. The interval doubles with each of these that the runner refuses, up to
	// maxGrowthInterval: some runners queue no request. Below the capacity requests wait for a few
	// hundred milliseconds at most, so that nothing is tried then.
	minGrowthInterval = 500 * time.Millisecond
	maxGrowthInterval = 30 * time.Second
	// overdueHolds times the mean hold before its answer is due, a waiting request counts as
	// overdue. With the mean alone, half of the requests that are granted a slot at the last moment
	// are answered late.
	overdueHolds = 2
	// maxExpectedWait bounds the wait that is expected, since demand beyond the capacity lasts for a
	// few seconds. No request waits longer.
	maxExpectedWait = 3 * time.Second
	// leastRate is the part of the returned slots that is expected to be left for a request, however
	// many of higher precedence arrive.
	leastRate = 1.0 / 32
	// minHold is a lower bound on the time for which a slot is held, in estimates.
	minHold = time.Millisecond
	// runnerRetention is how long a runner without grants is kept after it was last named.
	runnerRetention = time.Minute
	// scarceDivisor: slots count as scarce if at most one in scarceDivisor is free. A slot that is
	// returned 15 ms late after a request of 30 to 60 ms is lost for a fifth of the time or more.
	scarceDivisor = 3
)
