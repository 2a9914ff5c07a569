// Package logging writes log lines without ever making the writer wait.
package logging

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	// queueLines is how many lines wait at most: about a second of a host's
	// busiest time, in about a megabyte.
	queueLines = 2048
	// linesPerSecond bounds what is written in the long run; a host under the
	// heaviest load of the sites decides on some 60 requests a second.
	linesPerSecond = 400
	// dropNotice is how often dropped lines are told of.
	dropNotice = time.Second
)

// Writer passes lines on to an output from a goroutine of its own. Lines that
// find the queue full, or that go beyond the rate, are dropped and counted.
type Writer struct {
	lines   chan []byte
	dropped atomic.Int64
	told    int64
	done    chan struct{}
}

// NewWriter starts a writer.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{lines: make(chan []byte, queueLines), done: make(chan struct{})}
	go w.run(out)
	return w
}

// Write implements io.Writer. It never blocks.
func (w *Writer) Write(line []byte) (int, error) {
	kept := append([]byte(nil), line...)
	select {
	case w.lines <- kept:
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped gives the number of lines that were not written.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Close writes what waits, for at most a time, and stops.
func (w *Writer) Close(patience time.Duration) {
	w.lines <- nil
	select {
	case <-w.done:
	case <-time.After(patience):
	}
}

func (w *Writer) run(out io.Writer) {
	defer close(w.done)
	second := time.Now()
	written := 0
	for line := range w.lines {
		if line == nil {
			return
		}
		now := time.Now()
		if now.Sub(second) >= dropNotice {
			w.tellDropped(out)
			second = now
			written = 0
		}
		if written >= linesPerSecond {
			w.dropped.Add(1)
			continue
		}
		written++
		// Nobody can be told that standard output fails; the counter shows it.
		if _, err := out.Write(line); err != nil {
			w.dropped.Add(1)
		}
	}
}

func (w *Writer) tellDropped(out io.Writer) {
	dropped := w.dropped.Load()
	if dropped == w.told {
		return
	}
	_, _ = fmt.Fprintf(out, "{\"@level\":\"warn\",\"@message\":\"log lines dropped\",\"lines\":%d,\"total\":%d}\n", dropped-w.told, dropped)
	w.told = dropped
}
