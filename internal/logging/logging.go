// Package logging writes log lines asynchronously, so that a slow log output never delays
// requests.
package logging

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	// queueCapacity is the maximum number of queued lines, which take about one megabyte.
	// Lines that arrive while the queue is full are dropped and counted.
	queueCapacity = 2048
	// maxLinesPerSecond limits the output. A host under the heaviest load of the known
	// deployments handles some 60 requests a second.
	maxLinesPerSecond = 400
	// rateInterval is the interval over which the rate is enforced and dropped lines are
	// reported.
	rateInterval = time.Second
)

// Writer passes lines to an output from its own goroutine. Lines that exceed the queue or the
// rate are dropped and counted.
type Writer struct {
	lines           chan []byte
	dropped         atomic.Int64
	reportedDropped int64
	done            chan struct{}
}

// NewWriter starts a writer.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{lines: make(chan []byte, queueCapacity), done: make(chan struct{})}
	go w.run(out)
	return w
}

// Write implements io.Writer. It never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	copied := append([]byte(nil), line...)
	select {
	case w.lines <- copied:
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were not written.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Close writes the queued lines, waiting at most for the timeout, and stops the writer.
func (w *Writer) Close(timeout time.Duration) {
	w.lines <- nil
	select {
	case <-w.done:
	case <-time.After(timeout):
	}
}

func (w *Writer) run(out io.Writer) {
	defer close(w.done)
	intervalStart := time.Now()
	written := 0
	for line := range w.lines {
		if line == nil {
			return
		}
		now := time.Now()
		if now.Sub(intervalStart) >= rateInterval {
			w.reportDropped(out)
			intervalStart = now
			written = 0
		}
		if written >= maxLinesPerSecond {
			w.dropped.Add(1)
			continue
		}
		written++
		// An output that fails leaves no place to report the error; the counter shows it.
		if _, err := out.Write(line); err != nil {
			w.dropped.Add(1)
		}
	}
}

func (w *Writer) reportDropped(out io.Writer) {
	dropped := w.dropped.Load()
	if dropped == w.reportedDropped {
		return
	}
	_, _ = fmt.Fprintf(out, "{\"@level\":\"warn\",\"@message\":\"log lines dropped\",\"lines\":%d,\"total\":%d}\n", dropped-w.reportedDropped, dropped)
	w.reportedDropped = dropped
}
