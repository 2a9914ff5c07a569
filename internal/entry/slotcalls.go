package entry

import (
	"math"
	"time"

	"github.com/cherrystage/cherrystage/internal/peer"
	"github.com/cherrystage/cherrystage/internal/site"
	"github.com/cherrystage/cherrystage/internal/slotledger"
)

// Peer methods served by the host that keeps the ledger of a service's request slots.
const (
	methodSlotsAcquire = "slots.acquire"
	methodSlotsRelease = "slots.release"
)

// slotKey returns the ranking key that selects the ledger's host of a service.
func slotKey(service string) string { return "slots/" + service }

// SlotRunner is a runner that a request may go to.
type SlotRunner struct {
	ID    string `json:"id"`
	Slots int    `json:"slots"`
}

// SlotAcquireParams asks for a request slot of a service. The same request is sent again while the
// request waits.
type SlotAcquireParams struct {
	Service string `json:"service"`
	// Number identifies the request among those of the calling process.
	Number  uint64       `json:"n"`
	Runners []SlotRunner `json:"runners"`
	// Rank is the request's precedence, see AdmitParams.
	Rank *[2]int `json:"rank,omitempty"`
	// DueMS is the time until the answer is due, which may have passed; WaitMS is how long the
	// request can wait for a slot, and LeftMS the time after which it has ended.
	DueMS  int64 `json:"due_ms"`
	WaitMS int64 `json:"wait_ms"`
	LeftMS int64 `json:"left_ms"`
	// HoldMS is how long the answer may be held back while the request waits.
	HoldMS int64 `json:"hold_ms,omitempty"`
	// Released holds slots that the calling host returns.
	Released []SlotRelease `json:"released,omitempty"`
}

// SlotAcquireResult is the answer to a request for a slot: the runner, a refusal, or neither while
// the request waits.
type SlotAcquireResult struct {
	Runner string `json:"runner,omitempty"`
	// Refused reports that no slot becomes free in time. WaitMS is the expected time until one is.
	Refused bool  `json:"refused,omitempty"`
	WaitMS  int64 `json:"wait_ms,omitempty"`
	// Scarce reports that the slot should be returned without delay.
	Scarce bool `json:"scarce,omitempty"`
}

// SlotRelease returns a slot, or ends a wait for one.
type SlotRelease struct {
	Service string `json:"service"`
	Number  uint64 `json:"n"`
	// Refused reports that the runner refused the request.
	Refused bool `json:"refused,omitempty"`
}

// SlotReleaseParams returns several slots.
type SlotReleaseParams struct {
	Released []SlotRelease `json:"released"`
}

func holderOf(from peer.Identity) slotledger.Holder {
	return slotledger.Holder{Host: from.Host, Incarnation: from.Incarnation}
}

func milliseconds(count int64) time.Duration {
	const most = int64(time.Hour / time.Millisecond)
	return time.Duration(min(max(count, -most), most)) * time.Millisecond
}

// request returns the request without its runners.
func (p SlotAcquireParams) request(from peer.Identity, now time.Time) slotledger.Request {
	// Requests of hosts that send no rank go last.
	precedence := site.Precedence{Workspace: math.MaxInt, Route: math.MaxInt}
	if p.Rank != nil {
		precedence = site.Precedence{Workspace: p.Rank[0], Route: p.Rank[1]}
	}
	return slotledger.Request{
		ID: slotledger.ID{Holder: holderOf(from), Number: p.Number}, Precedence: precedence,
		Due: now.Add(milliseconds(p.DueMS)), MaxWait: max(0, milliseconds(p.WaitMS)), Lifetime: max(0, milliseconds(p.LeftMS)),
	}
}

// slotResult returns the answer for a decision. A request whose wait was ended without its holder
// giving it up is placed without a slot.
func slotResult(decision slotledger.Decision) (SlotAcquireResult, error) {
	result := SlotAcquireResult{WaitMS: decision.Wait.Milliseconds(), Scarce: decision.Scarce}
	switch decision.Outcome {
	case slotledger.Granted:
		result.Runner = decision.Runner
	case slotledger.Refused:
		result.Refused = true
	case slotledger.Withdrawn:
		return SlotAcquireResult{}, errWaitEnded
	case slotledger.Queued:
	}
	return result, nil
}
