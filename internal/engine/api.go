// Package engine is the adapter to model engines: completions as server-sent
// events, orders to load and evict, load reports, cancel and resume.
package engine

import "time"

// Headers that an entry host sets on a request to an engine.
const (
	// HeaderRequestID names the attempt; cancel and resume refer to it.
	HeaderRequestID = "X-Request-Id"
	// HeaderTrace carries the caller's request identifier into the engine's log.
	HeaderTrace = "X-Cherrystage-Request"
	// HeaderPriority is the caller's priority; a larger number goes first.
	HeaderPriority = "X-Priority"
	// HeaderNotRun marks a refusal that came before the request was begun.
	HeaderNotRun = "X-Not-Run"
)

// OrderKind names what an order asks of an engine.
type OrderKind string

// Kinds of orders.
const (
	OrderLoad  OrderKind = "load"
	OrderEvict OrderKind = "evict"
)

// Order asks an engine to load or evict an adapter. Model is the adapter's
// versioned name. An engine that checks fencing refuses a Fence lower than
// the highest it has seen.
type Order struct {
	ID    string    `json:"id"`
	Kind  OrderKind `json:"kind"`
	Model string    `json:"model"`
	Fence uint64    `json:"fence"`
}

// Codes of refused orders.
const (
	CodeStaleFence = "stale_fence"
	CodeNoSlot     = "no_slot"
	CodeLoadFailed = "load_failed"
	CodeNotLoaded  = "adapter_not_loaded"
	CodeBusy       = "busy"
)

// ErrorResponse is an engine's JSON error.
type ErrorResponse struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

// ResidentModel is one adapter version in a slot.
type ResidentModel struct {
	Model   string `json:"model"`
	Running int    `json:"running"`
	Queued  int    `json:"queued"`
}

// Report is an engine's load report. It describes the engine as it was Lag
// before the answer was sent.
type Report struct {
	// BootID changes with every start of the engine.
	BootID   string          `json:"boot"`
	Seq      uint64          `json:"seq"`
	LagMS    int64           `json:"lag_ms"`
	Slots    int             `json:"slots"`
	MaxBatch int             `json:"max_batch"`
	Resident []ResidentModel `json:"resident"`
	Running  int             `json:"running"`
	Queued   int             `json:"queued"`
	// Fill is the mean share of the batch that was used since the last report, 0 to 1.
	Fill float64 `json:"fill"`
}

// Lag gives the age of the report's content when it was sent.
func (r Report) Lag() time.Duration { return time.Duration(r.LagMS) * time.Millisecond }

// Piece is one server-sent event of an answer.
type Piece struct {
	// Position counts the pieces of one answer from zero.
	Position int
	// Data is the event's JSON, as the engine wrote it.
	Data []byte
}
