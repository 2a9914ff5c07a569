// Package engine is the HTTP client for model engines: it streams completions as
// server-sent events, resumes and cancels them, orders adapters to be loaded and
// evicted, and fetches load reports.
package engine

import "time"

// Headers that an entry host sets on a request to an engine.
const (
	// HeaderRequestID identifies the attempt for cancel and resume. An engine that returns it in its
	// answers proves to which attempt they belong.
	HeaderRequestID = "X-Request-Id"
	// HeaderTrace carries the caller's request ID into the engine's log.
	HeaderTrace = "X-Cherrystage-Request"
	// HeaderPriority is the caller's priority; larger values are served first.
	HeaderPriority = "X-Priority"
	// HeaderNotRun is a response header that marks a refusal issued before the
	// engine began the request.
	HeaderNotRun = "X-Not-Run"
)

// OrderKind is the operation that an order requests.
type OrderKind string

// Kinds of orders.
const (
	OrderLoad  OrderKind = "load"
	OrderEvict OrderKind = "evict"
)

// Order asks an engine to load or evict an adapter. Model is the adapter's
// versioned name. Fence is a fencing token: an engine that checks it refuses
// tokens lower than the highest it has seen.
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

// ErrorResponse is the JSON body of an engine's error response.
type ErrorResponse struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

// ResidentModel is an adapter version that occupies a slot.
type ResidentModel struct {
	Model   string `json:"model"`
	Running int    `json:"running"`
	Queued  int    `json:"queued"`
}

// Report is an engine's load report. It describes the state of the engine Lag
// before the report was sent.
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
	// Fill is the mean batch utilization since the last report, from 0 to 1.
	Fill float64 `json:"fill"`
}

// Lag returns the age that the report's content had when it was sent.
func (r Report) Lag() time.Duration { return time.Duration(r.LagMS) * time.Millisecond }

// Piece is one server-sent event of a streamed response.
type Piece struct {
	// Position is the index of the piece in its response, from zero.
	Position int
	// Data is the event's JSON as the engine sent it.
	Data []byte
}
