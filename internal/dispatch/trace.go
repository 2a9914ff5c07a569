package dispatch

import (
	"sync"
	"time"
)

const (
	maxTraces = 4096
	maxNotes  = 32
)

// Traces keeps the traces of the latest requests, so that operators can see how
// they were routed. It is safe for concurrent use.
type Traces struct {
	mu   sync.Mutex
	ring []*Trace
	byID map[string]*Trace
	next int
}

// Trace is the event log of one request.
type Trace struct {
	mu      sync.Mutex
	id      string
	caller  string
	model   string
	began   time.Time
	ended   time.Time
	runner  string
	verdict string
	refusal string
	notes   []Note
}

// Note is one event of a request and the time since its start.
type Note struct {
	AfterMS float64 `json:"after_ms"`
	Text    string  `json:"text"`
}

// TraceReport is a trace as shown to operators.
type TraceReport struct {
	ID      string    `json:"id"`
	Caller  string    `json:"caller"`
	Model   string    `json:"model"`
	Began   time.Time `json:"began"`
	TookMS  float64   `json:"took_ms"`
	Runner  string    `json:"runner"`
	Verdict string    `json:"verdict"`
	Refusal string    `json:"refusal,omitempty"`
	Notes   []Note    `json:"notes"`
}

// NewTraces returns an empty collection.
func NewTraces() *Traces {
	return &Traces{ring: make([]*Trace, maxTraces), byID: map[string]*Trace{}}
}

// Begin starts the trace of a request, replacing the oldest one.
func (t *Traces) Begin(id, caller, model string, now time.Time) *Trace {
	trace := &Trace{id: id, caller: caller, model: model, began: now}
	t.mu.Lock()
	defer t.mu.Unlock()
	if old := t.ring[t.next]; old != nil && t.byID[old.id] == old {
		delete(t.byID, old.id)
	}
	t.ring[t.next] = trace
	t.byID[id] = trace
	t.next = (t.next + 1) % maxTraces
	return trace
}

// Find returns the trace of a request.
func (t *Traces) Find(id string) (TraceReport, bool) {
	t.mu.Lock()
	trace := t.byID[id]
	t.mu.Unlock()
	if trace == nil {
		return TraceReport{}, false
	}
	return trace.report(), true
}

// Note adds an event.
func (t *Trace) Note(text string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.noteLocked(text, now)
}

func (t *Trace) noteLocked(text string, now time.Time) {
	if len(t.notes) < maxNotes {
		t.notes = append(t.notes, Note{AfterMS: milliseconds(now.Sub(t.began)), Text: text})
	}
}

// Sent records that the request was sent to a target.
func (t *Trace) Sent(target string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.runner = target
	t.noteLocked("sent to "+target, now)
}

// Runner returns the target that the request was last sent to.
func (t *Trace) Runner() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.runner
}

// End records the result of the request.
func (t *Trace) End(refusal *Refusal, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ended = now
	t.verdict = verdictOf(refusal).String()
	if refusal != nil {
		t.refusal = refusal.Error()
	}
}

func (t *Trace) report() TraceReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	report := TraceReport{
		ID: t.id, Caller: t.caller, Model: t.model, Began: t.began, Runner: t.runner,
		Verdict: t.verdict, Refusal: t.refusal, Notes: append([]Note(nil), t.notes...),
	}
	if !t.ended.IsZero() {
		report.TookMS = milliseconds(t.ended.Sub(t.began))
	}
	return report
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
