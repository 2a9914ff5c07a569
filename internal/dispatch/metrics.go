package dispatch

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cherrystage/cherrystage/internal/verdict"
)

// Bounds of the histograms, in microseconds.
const (
	histogramMin    = 1
	histogramMax    = int64(10 * time.Minute / time.Microsecond)
	histogramDigits = 2
)

// Metrics counts requests and records their latencies. It is safe for
// concurrent use.
type Metrics struct {
	ran, notRun, mayHaveRun, retries, stalls atomic.Int64

	queue, stall, first histogram
}

type histogram struct {
	mu   sync.Mutex
	hist *hdrhistogram.Histogram
}

func (h *histogram) record(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.hist == nil {
		h.hist = hdrhistogram.New(histogramMin, histogramMax, histogramDigits)
	}
	_ = h.hist.RecordValue(max(histogramMin, min(histogramMax, d.Microseconds())))
}

// Quantiles summarize a histogram, in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean_ms"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

func (h *histogram) quantiles() Quantiles {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.hist == nil {
		return Quantiles{}
	}
	at := func(q float64) float64 { return float64(h.hist.ValueAtQuantile(q)) / 1000 }
	return Quantiles{
		Count: h.hist.TotalCount(), Mean: h.hist.Mean() / 1000,
		P50: at(50), P95: at(95), P99: at(99), Max: float64(h.hist.Max()) / 1000,
	}
}

// CountRequest counts a finished request by its verdict.
func (m *Metrics) CountRequest(refusal *Refusal) {
	switch verdictOf(refusal) {
	case verdict.Ran:
		m.ran.Add(1)
	case verdict.NotRun:
		m.notRun.Add(1)
	default:
		m.mayHaveRun.Add(1)
	}
}

// CountRetry counts a retry.
func (m *Metrics) CountRetry() { m.retries.Add(1) }

// ObserveQueueTime records the time a request waited for admission.
func (m *Metrics) ObserveQueueTime(d time.Duration) { m.queue.record(d) }

// ObserveLoadStall records the time a request waited for a load.
func (m *Metrics) ObserveLoadStall(d time.Duration) {
	m.stalls.Add(1)
	m.stall.record(d)
}

// ObserveFirstPiece records the time from sending to the first piece.
func (m *Metrics) ObserveFirstPiece(d time.Duration) { m.first.record(d) }

// MetricsSnapshot holds the metrics at one moment.
type MetricsSnapshot struct {
	Ran        int64     `json:"requests_ran"`
	NotRun     int64     `json:"requests_not_run"`
	MayHaveRun int64     `json:"requests_may_have_run"`
	Retries    int64     `json:"retries"`
	Stalls     int64     `json:"requests_stalled"`
	Queue      Quantiles `json:"queue_time"`
	Stall      Quantiles `json:"load_stall"`
	First      Quantiles `json:"time_to_first_piece"`
}

// Snapshot returns the current metrics.
func (m *Metrics) Snapshot() MetricsSnapshot {
	return MetricsSnapshot{
		Ran: m.ran.Load(), NotRun: m.notRun.Load(), MayHaveRun: m.mayHaveRun.Load(),
		Retries: m.retries.Load(), Stalls: m.stalls.Load(),
		Queue: m.queue.quantiles(), Stall: m.stall.quantiles(), First: m.first.quantiles(),
	}
}
