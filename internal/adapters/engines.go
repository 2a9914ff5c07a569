package adapters

import (
	"context"
	"time"

	"github.com/cherrystage/cherrystage/internal/board"
	"github.com/cherrystage/cherrystage/internal/site"
)

// Order is an order to a runner to load or unload an adapter. An adapter with an
// empty name stands for the base model itself.
type Order struct {
	Load bool
	Key  Key
	// Sequence is the number of orders that the runner must have accepted before this
	// one. An order that is carried out late meets another number and is void.
	Sequence int64
	// Holder is the host that gives the order, Token its fencing token.
	Holder string
	Token  uint64
	// Instance identifies the runner that the order is meant for.
	Instance string
	// Valid reports whether the order may still be sent. It is called right before the order
	// is written, and may be nil.
	Valid func() bool
}

// Outcome is the result of an order.
type Outcome uint8

// Outcomes of orders. The zero value stands for an order without an answer, which may
// have been accepted or may be carried out later.
const (
	OutcomeUnknown Outcome = iota
	// OutcomeAccepted means that the order is being carried out.
	OutcomeAccepted
	// OutcomeDone means that the requested state already holds.
	OutcomeDone
	// OutcomeConflict means that another order is in progress or the sequence number
	// differs.
	OutcomeConflict
	// OutcomeFenced means that the runner has seen a newer fencing token.
	OutcomeFenced
	// OutcomeRejected means that the runner will not carry out the order.
	OutcomeRejected
)

var outcomeNames = map[Outcome]string{
	OutcomeUnknown: "unknown", OutcomeAccepted: "accepted", OutcomeDone: "done",
	OutcomeConflict: "conflict", OutcomeFenced: "fenced", OutcomeRejected: "rejected",
}

// String returns the outcome's name as used in logs.
func (o Outcome) String() string { return outcomeNames[o] }

// Report is a runner's report of its state. It is a few hundred milliseconds old; see
// reportLag.
type Report struct {
	Sequence int64
	// StartedMS is the start time of the reporting process in milliseconds, as in
	// site.Runner; 0 if the report lacks it.
	StartedMS int64
	// Busy is set while a model is being loaded or unloaded.
	Busy     bool
	Models   []string
	Adapters []Held
	// Signal is what the runner says about the requests it can take, nil if it did
	// not answer.
	Signal *board.Signal
}

// OrderAnswer is a runner's answer to an order.
type OrderAnswer struct {
	Outcome Outcome
	// Signal is what the runner says about the requests it can take, nil if it did
	// not answer.
	Signal *board.Signal
}

// Engines sends orders to runners and reads their reports.
type Engines interface {
	Order(ctx context.Context, address string, order Order) (OrderAnswer, error)
	Report(ctx context.Context, address string) (Report, error)
	// WorkPercent checks a runner's health at a path and returns the work time that the answer
	// announces, in percent of the usual time; 0 if it announces none.
	WorkPercent(ctx context.Context, address, path string) (int, error)
	// Instance checks a runner's health at a path and returns the instance that answers, whatever its
	// health; "" if the answer does not name it.
	Instance(ctx context.Context, address, path string) (string, error)
}

// holds reports whether a report lists a base model as loaded.
func (r Report) holds(model string) bool {
	for _, name := range r.Models {
		if name == model {
			return true
		}
	}
	return false
}

// Spec is the configuration of a controller.
type Spec struct {
	Model site.Model
	// Capacity is the number of adapters that fit on the runner.
	Capacity int
	// LoadsPerSecond is the rate of base model loads that the weight store allows.
	LoadsPerSecond float64
	Pacing
}

// Pacing is what of the configuration determines how fast prompts are sent to a runner that
// announces its work time. It changes with the configuration.
type Pacing struct {
	// EventTokens is the number of output tokens in one event of a stream, 0 if unknown.
	EventTokens int
	// TargetGap is the shortest target gap of the routes to the runner's service, 0 if none has
	// one.
	TargetGap time.Duration
	// HealthPath is the path of the runner's health checks.
	HealthPath string
}
