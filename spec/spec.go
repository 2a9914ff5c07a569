// Package spec is the specification of the core protocol as a small state
// machine, explored exhaustively within bounds: ownership of one runner under
// leases and fencing numbers, pins and recalls, intents, orders that come
// late, a paused owner, and an engine that checks fencing numbers or ignores
// them. A second, smaller machine covers the configuration head and claims.
//
// Each safeguard can be switched off; the exploration then finds a state in
// which a promise is broken.
package spec

import "fmt"

// Safeguards are the switches. All are on in the protocol as it is built.
type Safeguards struct {
	// Fenced: the engine refuses orders under an old fencing number.
	Fenced bool
	// FenceFirst: before it grants pins a new owner has the engine take an
	// order under the new number.
	FenceFirst bool
	// Intents: an owner writes an eviction down before it orders it, and a
	// successor lets nobody use what is named there. For unfenced engines.
	Intents bool
	// HearAll: a new owner evicts nothing before every holder told its pins.
	HearAll bool
	// WaitReturns: nothing is evicted while a pin is out.
	WaitReturns bool
	// VoidGrants: a grant whose recall overtook it is refused.
	VoidGrants bool
	// RefuseOldGrants: a holder refuses grants of an earlier owner.
	RefuseOldGrants bool
	// Models is the number of models in the runner's slots, up to MaxModels.
	// They share the owner, the fencing numbers and the holders' word, and
	// nothing else; one model is enough for most faults.
	Models int
}

// Protocol is the protocol as it is built, before an engine that does or does
// not check fencing numbers.
func Protocol(fenced bool) Safeguards {
	return Safeguards{
		Fenced: fenced, FenceFirst: fenced, Intents: !fenced, HearAll: true,
		WaitReturns: true, VoidGrants: true, RefuseOldGrants: true, Models: 1,
	}
}

// Bounds of the exploration.
const (
	Owners    = 2 // the first owner and its successor
	Holders   = 2
	MaxModels = 2 // in two slots; a third is what room is wanted for
	maxSeq    = 2 // grants that one owner gives
)

// pinState is what an owner knows of one holder's pin.
type pinState struct {
	Out     bool
	Seq     uint8
	Unheard bool
}

// owner is one owner's knowledge. Owner 0 has fence 1, owner 1 has fence 2.
type owner struct {
	Active  bool
	Open    bool
	Seq     uint8
	Pins    [MaxModels][Holders]pinState
	Closing [MaxModels]bool
	Gone    [MaxModels]bool
}

// grant is a pin under way to a holder; Seq zero means none.
type grant struct{ Seq uint8 }

// State is one state of the whole. It is comparable, so states are kept in a map.
type State struct {
	// Record is the store's: the owner's number and the intents.
	Fence   uint8
	Intents [MaxModels]bool
	Owners  [Owners]owner
	// Grants and Recalls are messages under way, from owner to holder.
	Grants  [Owners][MaxModels][Holders]grant
	Recalls [Owners][MaxModels][Holders]grant
	// Holders' state.
	HolderFence [Holders]uint8
	Held        [MaxModels][Holders]bool
	HeldSeq     [MaxModels][Holders]uint8
	Recalled    [MaxModels][Holders]bool
	Void        [MaxModels][Holders]uint8
	Using       [MaxModels][Holders]bool
	// Orders to evict under way to the engine, by owner.
	Orders [Owners][MaxModels]bool
	// Engine.
	EngineFence uint8
	Loaded      [MaxModels]bool
	// Broken names the promise that was broken.
	Broken string
}

// Initial is the state after the first owner has taken the runner over and
// both models are loaded.
func Initial() State {
	var s State
	s.Fence, s.EngineFence = 1, 1
	s.Owners[0].Active, s.Owners[0].Open = true, true
	for model := range MaxModels {
		s.Loaded[model] = true
	}
	for holder := range Holders {
		s.HolderFence[holder] = 1
	}
	return s
}

// Next gives every state that one step leads to.
func Next(s State, g Safeguards) []State {
	var next []State
	add := func(change func(n *State)) {
		n := s
		change(&n)
		next = append(next, n)
	}
	takeOver(s, g, add)
	for o := range Owners {
		openEngine(s, g, o, add)
		for m := range g.Models {
			ownerSteps(s, g, o, m, add)
			for h := range Holders {
				messageSteps(s, g, o, m, h, add)
			}
		}
		for h := range Holders {
			hear(s, g, o, h, add)
		}
	}
	for m := range g.Models {
		for h := range Holders {
			useSteps(s, m, h, add)
		}
	}
	return next
}

type adder func(change func(n *State))

func fenceOf(o int) uint8 { return uint8(o + 1) }

// takeOver: the first owner's lease is broken while it is paused; it does not
// know, and goes on afterwards with what it was doing.
func takeOver(s State, g Safeguards, add adder) {
	if s.Fence != 1 {
		return
	}
	add(func(n *State) {
		n.Fence = 2
		successor := &n.Owners[1]
		successor.Active = true
		successor.Open = !g.FenceFirst
		for m := range g.Models {
			successor.Gone[m] = !s.Loaded[m]
			for h := range Holders {
				successor.Pins[m][h].Unheard = g.HearAll
			}
		}
	})
}

// openEngine: the successor's first order makes the engine know its number.
func openEngine(s State, g Safeguards, o int, add adder) {
	if s.Owners[o].Active && !s.Owners[o].Open && g.FenceFirst {
		add(func(n *State) {
			n.EngineFence = max(n.EngineFence, fenceOf(o))
			n.Owners[o].Open = true
		})
	}
}

// hear: a holder tells a new owner its pins, and refuses older grants from then on.
func hear(s State, g Safeguards, o, h int, add adder) {
	if !s.Owners[o].Active || !s.Owners[o].Pins[0][h].Unheard || s.HolderFence[h] > fenceOf(o) {
		return
	}
	add(func(n *State) {
		raise(n, h, fenceOf(o))
		for m := range MaxModels {
			pin := &n.Owners[o].Pins[m][h]
			pin.Unheard = false
			if s.Held[m][h] && !pin.Out {
				*pin = pinState{Out: true}
			}
		}
	})
}

func raise(n *State, h int, fence uint8) {
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

func ownerSteps(s State, g Safeguards, o, m int, add adder) {
	own := &s.Owners[o]
	if !own.Active {
		return
	}
	grantable := own.Open && !own.Closing[m] && !own.Gone[m] && own.Seq < maxSeq
	if grantable && !(g.Intents && o == 1 && s.Intents[m]) {
		for h := range Holders {
			add(func(n *State) {
				n.Owners[o].Seq++
				seq := n.Owners[o].Seq
				n.Owners[o].Pins[m][h] = pinState{Out: true, Seq: seq, Unheard: own.Pins[m][h].Unheard}
				n.Grants[o][m][h] = grant{seq}
			})
		}
	}
	if own.Open && !own.Closing[m] && !own.Gone[m] {
		add(func(n *State) { beginRecall(n, o, m) })
	}
	if own.Closing[m] && mayEvict(s, g, o, m) {
		add(func(n *State) { sendEviction(n, g, o, m) })
	}
	if s.Orders[o][m] {
		add(func(n *State) { obey(n, g, o, m) })
	}
}

func beginRecall(n *State, o, m int) {
	n.Owners[o].Closing[m] = true
	for h := range Holders {
		if pin := n.Owners[o].Pins[m][h]; pin.Out {
			n.Recalls[o][m][h] = grant{pin.Seq + 1}
		}
	}
}

func mayEvict(s State, g Safeguards, o, m int) bool {
	own := &s.Owners[o]
	if own.Gone[m] {
		return false
	}
	for h := range Holders {
		if own.Pins[m][h].Unheard || (g.WaitReturns && own.Pins[m][h].Out) {
			return false
		}
	}
	// The intent is a conditional write: an owner that was replaced fails at it.
	return !g.Intents || s.Fence == fenceOf(o)
}

func sendEviction(n *State, g Safeguards, o, m int) {
	if g.Intents {
		n.Intents[m] = true
	}
	n.Owners[o].Gone[m] = true
	n.Orders[o][m] = true
}

// obey: the order reaches the engine, however late.
func obey(n *State, g Safeguards, o, m int) {
	n.Orders[o][m] = false
	if g.Fenced && fenceOf(o) < n.EngineFence {
		return
	}
	n.EngineFence = max(n.EngineFence, fenceOf(o))
	for h := range Holders {
		if n.Loaded[m] && n.Using[m][h] {
			n.Broken = fmt.Sprintf("model %d evicted while holder %d uses it", m, h)
		}
	}
	n.Loaded[m] = false
}

func messageSteps(s State, g Safeguards, o, m, h int, add adder) {
	if sent := s.Grants[o][m][h]; sent.Seq > 0 {
		add(func(n *State) {
			n.Grants[o][m][h] = grant{}
			takeGrant(n, g, o, m, h, sent.Seq)
		})
		add(func(n *State) { n.Grants[o][m][h] = grant{} }) // lost
	}
	if sent := s.Recalls[o][m][h]; sent.Seq > 0 {
		add(func(n *State) {
			n.Recalls[o][m][h] = grant{}
			takeRecall(n, o, m, h, sent.Seq-1)
		})
	}
}

func takeGrant(n *State, g Safeguards, o, m, h int, seq uint8) {
	if fenceOf(o) < n.HolderFence[h] && g.RefuseOldGrants {
		return
	}
	raise(n, h, fenceOf(o))
	if g.VoidGrants && seq <= n.Void[m][h] {
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

func takeRecall(n *State, o, m, h int, seq uint8) {
	if fenceOf(o) < n.HolderFence[h] {
		return
	}
	raise(n, h, fenceOf(o))
	n.Void[m][h] = max(n.Void[m][h], seq)
	if !n.Held[m][h] {
		takeReturn(n, o, m, h, seq)
		return
	}
	n.HeldSeq[m][h] = max(n.HeldSeq[m][h], seq)
	n.Recalled[m][h] = true
	if !n.Using[m][h] {
		giveBack(n, m, h)
	}
}

// giveBack returns a pin to the owner that the holder knows.
func giveBack(n *State, m, h int) {
	seq := n.HeldSeq[m][h]
	n.Held[m][h], n.HeldSeq[m][h], n.Recalled[m][h] = false, 0, false
	takeReturn(n, int(n.HolderFence[h])-1, m, h, seq)
}

func takeReturn(n *State, o, m, h int, seq uint8) {
	pin := &n.Owners[o].Pins[m][h]
	if pin.Out && seq >= pin.Seq {
		*pin = pinState{Unheard: pin.Unheard}
	}
}

func useSteps(s State, m, h int, add adder) {
	if s.Held[m][h] && !s.Recalled[m][h] && !s.Using[m][h] {
		// A request for a model that is not loaded is refused by the engine, not run.
		add(func(n *State) { n.Using[m][h] = s.Loaded[m] })
	}
	if s.Using[m][h] {
		add(func(n *State) {
			n.Using[m][h] = false
			if n.Recalled[m][h] {
				giveBack(n, m, h)
			}
		})
	}
	if s.Held[m][h] && !s.Using[m][h] {
		add(func(n *State) { giveBack(n, m, h) })
	}
}

// Explore visits every state within so many steps and at most so many states,
// breadth first. It returns the number of distinct states and the shortest way
// to a broken promise, if there is one.
func Explore(g Safeguards, limit int) (states int, broken []State, complete bool) {
	return explore(Initial(), func(s State) []State { return Next(s, g) }, func(s State) bool { return s.Broken != "" }, limit)
}

// explore is a breadth-first search over comparable states.
func explore[S comparable](initial S, next func(S) []S, bad func(S) bool, limit int) (int, []S, bool) {
	from := map[S]S{initial: initial}
	queue := []S{initial}
	for len(queue) > 0 {
		state := queue[0]
		queue = queue[1:]
		if bad(state) {
			return len(from), wayTo(from, state), true
		}
		for _, following := range next(state) {
			if _, seen := from[following]; seen {
				continue
			}
			if len(from) >= limit {
				return len(from), nil, false
			}
			from[following] = state
			queue = append(queue, following)
		}
	}
	return len(from), nil, true
}

func wayTo[S comparable](from map[S]S, state S) []S {
	way := []S{state}
	for from[state] != state {
		state = from[state]
		way = append([]S{state}, way...)
	}
	return way
}
