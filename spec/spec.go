// Package spec specifies the core protocols as small state machines that are
// explored exhaustively within bounds. State covers the ownership of one runner:
// leases, fencing tokens, pins, recalls, eviction intents, delayed orders, a
// paused owner, and an engine that checks or ignores fencing tokens. StoreState
// covers the configuration head and claims, QuotaState the counting of quotas,
// EraState a store that is restored from a backup, OrdererState epochs and claims of a
// runner by hosts that restart and lag, and LeaseState the votes and promises on which
// their leases depend.
//
// Each safeguard can be switched off; the exploration then finds a state that
// violates an invariant.
package spec

import "fmt"

// Safeguards switches the parts of the ownership protocol. Protocol gives those of
// the implementation.
type Safeguards struct {
	// Fenced: the engine rejects orders with an old fencing token.
	Fenced bool
	// FenceFirst: before a new owner grants pins, it sends the engine an order
	// with the new fencing token.
	FenceFirst bool
	// Intents: an owner stores an eviction intent before it orders the eviction,
	// and its successor grants no pin on a model with an intent. For engines that
	// don't check fencing tokens.
	Intents bool
	// AwaitAllReports: a new owner evicts nothing until every holder has reported
	// its pins.
	AwaitAllReports bool
	// AwaitPinReturns: no model is evicted while a holder has a pin on it.
	AwaitPinReturns bool
	// VoidRecalledGrants: a holder refuses a grant that its recall has overtaken.
	VoidRecalledGrants bool
	// RefuseOldGrants: a holder refuses grants of an earlier owner.
	RefuseOldGrants bool
	// Models is the number of models in the runner's slots, up to MaxModels.
	// They share only the owner, the fencing tokens and the holders' reports;
	// one model reaches most faults.
	Models int
}

// Protocol returns the safeguards of the implementation, for an engine that does or
// does not check fencing tokens.
func Protocol(fenced bool) Safeguards {
	return Safeguards{
		Fenced: fenced, FenceFirst: fenced, Intents: !fenced, AwaitAllReports: true,
		AwaitPinReturns: true, VoidRecalledGrants: true, RefuseOldGrants: true, Models: 1,
	}
}

// Bounds of the exploration.
const (
	Owners    = 2 // the first owner and its successor
	Holders   = 2
	MaxModels = 2 // they fill two slots; loading a third requires an eviction
	maxSeq    = 2 // grants by one owner
)

// pinState is what an owner knows about one holder's pin. Out is set while the pin is not
// returned.
type pinState struct {
	Out           bool
	Seq           uint8
	ReportPending bool
}

// owner is what one owner knows. Owner 0 has fence 1, owner 1 has fence 2.
type owner struct {
	Active       bool
	EngineFenced bool
	Seq          uint8
	Pins         [MaxModels][Holders]pinState
	Recalling    [MaxModels]bool
	Evicted      [MaxModels]bool
}

// pinMessage is a grant or recall in transit to a holder; Seq 0 means none. A recall
// carries the pin's number plus one.
type pinMessage struct{ Seq uint8 }

// State is one state of the ownership model. It is comparable, so that it can be a
// map key.
type State struct {
	// Fence and Intents are the stored record: the current owner's fencing token
	// and the evictions that were announced.
	Fence   uint8
	Intents [MaxModels]bool
	Owners  [Owners]owner
	// Grants and Recalls are messages in transit, by owner, model and holder.
	Grants  [Owners][MaxModels][Holders]pinMessage
	Recalls [Owners][MaxModels][Holders]pinMessage
	// HolderFence is the highest fencing token that a holder knows; the fields up
	// to Using are the holders' state too.
	HolderFence [Holders]uint8
	Held        [MaxModels][Holders]bool
	HeldSeq     [MaxModels][Holders]uint8
	Recalled    [MaxModels][Holders]bool
	Void        [MaxModels][Holders]uint8
	Using       [MaxModels][Holders]bool
	// Orders are eviction orders in transit to the engine, by owner.
	Orders [Owners][MaxModels]bool
	// EngineFence is the highest fencing token that the engine has seen, Loaded
	// the models that it holds.
	EngineFence uint8
	Loaded      [MaxModels]bool
	// Violation describes the invariant that was violated, if any.
	Violation string
}

// Initial returns the state in which the first owner has taken over the runner and
// both models are loaded.
func Initial() State {
	var s State
	s.Fence, s.EngineFence = 1, 1
	s.Owners[0].Active, s.Owners[0].EngineFenced = true, true
	for model := range MaxModels {
		s.Loaded[model] = true
	}
	for holder := range Holders {
		s.HolderFence[holder] = 1
	}
	return s
}

// Next returns every state that is reachable in one step.
func Next(s State, g Safeguards) []State {
	var next []State
	add := func(change func(n *State)) {
		n := s
		change(&n)
		next = append(next, n)
	}
	takeOver(s, g, add)
	for o := range Owners {
		fenceEngine(s, g, o, add)
		for m := range g.Models {
			ownerSteps(s, g, o, m, add)
			for h := range Holders {
				messageSteps(s, g, o, m, h, add)
			}
		}
		for h := range Holders {
			reportPins(s, g, o, h, add)
		}
	}
	for m := range g.Models {
		for h := range Holders {
			holderSteps(s, m, h, add)
		}
	}
	return next
}

type addState func(change func(n *State))

func fenceOf(o int) uint8 { return uint8(o + 1) }

// takeOver makes the second owner the successor: the first owner's lease is broken
// while it is paused. It doesn't notice, and later continues what it was doing.
func takeOver(s State, g Safeguards, add addState) {
	if s.Fence != 1 {
		return
	}
	add(func(n *State) {
		n.Fence = 2
		successor := &n.Owners[1]
		successor.Active = true
		successor.EngineFenced = !g.FenceFirst
		for m := range g.Models {
			successor.Evicted[m] = !s.Loaded[m]
			for h := range Holders {
				successor.Pins[m][h].ReportPending = g.AwaitAllReports
			}
		}
	})
}

// fenceEngine has the successor's first order raise the engine's fencing token, so
// that the engine rejects later orders of the first owner.
func fenceEngine(s State, g Safeguards, o int, add addState) {
	if s.Owners[o].Active && !s.Owners[o].EngineFenced && g.FenceFirst {
		add(func(n *State) {
			n.EngineFence = max(n.EngineFence, fenceOf(o))
			n.Owners[o].EngineFenced = true
		})
	}
}

// reportPins has a holder report its pins to a new owner; from then on it refuses
// grants of earlier owners.
func reportPins(s State, g Safeguards, o, h int, add addState) {
	if !s.Owners[o].Active || !s.Owners[o].Pins[0][h].ReportPending || s.HolderFence[h] > fenceOf(o) {
		return
	}
	add(func(n *State) {
		raiseFence(n, h, fenceOf(o))
		for m := range MaxModels {
			pin := &n.Owners[o].Pins[m][h]
			pin.ReportPending = false
			if s.Held[m][h] && !pin.Out {
				*pin = pinState{Out: true}
			}
		}
	})
}

// raiseFence has a holder accept a newer owner. Sequence numbers and recalls of the
// earlier owner become void.
func raiseFence(n *State, h int, fence uint8) {
	if fence <= n.HolderFence[h] {
		return
	}
	n.HolderFence[h] = fence
	for m := range MaxModels {
		n.Void[m][h] = 0
		n.HeldSeq[m][h] = 0
		n.Recalled[m][h] = false
	}
}

func ownerSteps(s State, g Safeguards, o, m int, add addState) {
	own := &s.Owners[o]
	if !own.Active {
		return
	}
	grantable := own.EngineFenced && !own.Recalling[m] && !own.Evicted[m] && own.Seq < maxSeq
	if grantable && !(g.Intents && o == 1 && s.Intents[m]) {
		for h := range Holders {
			add(func(n *State) {
				n.Owners[o].Seq++
				seq := n.Owners[o].Seq
				n.Owners[o].Pins[m][h] = pinState{Out: true, Seq: seq, ReportPending: own.Pins[m][h].ReportPending}
				n.Grants[o][m][h] = pinMessage{seq}
			})
		}
	}
	if own.EngineFenced && !own.Recalling[m] && !own.Evicted[m] {
		add(func(n *State) { beginRecall(n, o, m) })
	}
	if own.Recalling[m] && mayEvict(s, g, o, m) {
		add(func(n *State) { sendEviction(n, g, o, m) })
	}
	if s.Orders[o][m] {
		add(func(n *State) { executeOrder(n, g, o, m) })
	}
}

func beginRecall(n *State, o, m int) {
	n.Owners[o].Recalling[m] = true
	for h := range Holders {
		if pin := n.Owners[o].Pins[m][h]; pin.Out {
			n.Recalls[o][m][h] = pinMessage{pin.Seq + 1}
		}
	}
}

func mayEvict(s State, g Safeguards, o, m int) bool {
	own := &s.Owners[o]
	if own.Evicted[m] {
		return false
	}
	for h := range Holders {
		if own.Pins[m][h].ReportPending || (g.AwaitPinReturns && own.Pins[m][h].Out) {
			return false
		}
	}
	// An intent is a conditional write, which fails for an owner that was replaced.
	return !g.Intents || s.Fence == fenceOf(o)
}

func sendEviction(n *State, g Safeguards, o, m int) {
	if g.Intents {
		n.Intents[m] = true
	}
	n.Owners[o].Evicted[m] = true
	n.Orders[o][m] = true
}

// executeOrder has an eviction order reach the engine, after any delay.
func executeOrder(n *State, g Safeguards, o, m int) {
	n.Orders[o][m] = false
	if g.Fenced && fenceOf(o) < n.EngineFence {
		return
	}
	n.EngineFence = max(n.EngineFence, fenceOf(o))
	for h := range Holders {
		if n.Loaded[m] && n.Using[m][h] {
			n.Violation = fmt.Sprintf("model %d evicted while holder %d uses it", m, h)
		}
	}
	n.Loaded[m] = false
}

func messageSteps(s State, g Safeguards, o, m, h int, add addState) {
	if sent := s.Grants[o][m][h]; sent.Seq > 0 {
		add(func(n *State) {
			n.Grants[o][m][h] = pinMessage{}
			receiveGrant(n, g, o, m, h, sent.Seq)
		})
		add(func(n *State) { n.Grants[o][m][h] = pinMessage{} }) // the grant is lost
	}
	if sent := s.Recalls[o][m][h]; sent.Seq > 0 {
		add(func(n *State) {
			n.Recalls[o][m][h] = pinMessage{}
			receiveRecall(n, o, m, h, sent.Seq-1)
		})
	}
}

func receiveGrant(n *State, g Safeguards, o, m, h int, seq uint8) {
	if fenceOf(o) < n.HolderFence[h] && g.RefuseOldGrants {
		return
	}
	raiseFence(n, h, fenceOf(o))
	if g.VoidRecalledGrants && seq <= n.Void[m][h] {
		return
	}
	if !n.Held[m][h] {
		n.Held[m][h], n.HeldSeq[m][h] = true, seq
		return
	}
	if seq > n.HeldSeq[m][h] {
		n.HeldSeq[m][h] = seq
		n.Recalled[m][h] = false
	}
}

func receiveRecall(n *State, o, m, h int, seq uint8) {
	if fenceOf(o) < n.HolderFence[h] {
		return
	}
	raiseFence(n, h, fenceOf(o))
	n.Void[m][h] = max(n.Void[m][h], seq)
	if !n.Held[m][h] {
		receiveReturn(n, o, m, h, seq)
		return
	}
	n.HeldSeq[m][h] = max(n.HeldSeq[m][h], seq)
	n.Recalled[m][h] = true
	if !n.Using[m][h] {
		returnPin(n, m, h)
	}
}

// returnPin returns a pin to the latest owner that the holder knows.
func returnPin(n *State, m, h int) {
	seq := n.HeldSeq[m][h]
	n.Held[m][h], n.HeldSeq[m][h], n.Recalled[m][h] = false, 0, false
	receiveReturn(n, int(n.HolderFence[h])-1, m, h, seq)
}

func receiveReturn(n *State, o, m, h int, seq uint8) {
	pin := &n.Owners[o].Pins[m][h]
	if pin.Out && seq >= pin.Seq {
		*pin = pinState{ReportPending: pin.ReportPending}
	}
}

func holderSteps(s State, m, h int, add addState) {
	if s.Held[m][h] && !s.Recalled[m][h] && !s.Using[m][h] {
		// The engine refuses a request for a model that isn't loaded.
		add(func(n *State) { n.Using[m][h] = s.Loaded[m] })
	}
	if s.Using[m][h] {
		add(func(n *State) {
			n.Using[m][h] = false
			if n.Recalled[m][h] {
				returnPin(n, m, h)
			}
		})
	}
	if s.Held[m][h] && !s.Using[m][h] {
		add(func(n *State) { returnPin(n, m, h) })
	}
}

// Explore searches the ownership model breadth first, up to limit states. It returns
// the number of distinct states, the shortest path to a violation, if there is one,
// and whether the search ended before it reached the limit.
func Explore(g Safeguards, limit int) (states int, path []State, complete bool) {
	return explore(Initial(), func(s State) []State { return Next(s, g) }, func(s State) bool { return s.Violation != "" }, limit)
}

// explore implements Explore for any state machine with comparable states.
func explore[S comparable](initial S, next func(S) []S, violated func(S) bool, limit int) (int, []S, bool) {
	predecessor := map[S]S{initial: initial}
	queue := []S{initial}
	for len(queue) > 0 {
		state := queue[0]
		queue = queue[1:]
		if violated(state) {
			return len(predecessor), pathTo(predecessor, state), true
		}
		for _, following := range next(state) {
			if _, visited := predecessor[following]; visited {
				continue
			}
			if len(predecessor) >= limit {
				return len(predecessor), nil, false
			}
			predecessor[following] = state
			queue = append(queue, following)
		}
	}
	return len(predecessor), nil, true
}

func pathTo[S comparable](predecessor map[S]S, state S) []S {
	path := []S{state}
	for predecessor[state] != state {
		state = predecessor[state]
		path = append([]S{state}, path...)
	}
	return path
}
