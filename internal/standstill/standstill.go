// Package standstill tells for which time this process could not run: its host was suspended, or
// had no processor time for it.
//
// While a process stands still, its timers expire and what others sent waits in its sockets. Once
// it runs again, it would take its own standstill for the silence of all others.
package standstill

import (
	"sync"
	"time"
)

const (
	// Interval is how often Tick is to be called.
	Interval = 50 * time.Millisecond
	// tolerance is how late a tick may be before the process counts as having stood still.
	tolerance = 25 * time.Millisecond
	// retention is how long a standstill is remembered, longer than any silence that is judged.
	retention = time.Minute
)

// span is a time in which the process stood still.
type span struct{ from, to time.Time }

// Monitor records when this process stood still. It takes the time as an argument, which must
// include the time for which the host was suspended. A nil Monitor knows of no standstill. It is safe
// for concurrent use.
type Monitor struct {
	mu       sync.Mutex
	lastTick time.Time
	// spans are in the order of time and do not overlap.
	spans []span
	count int64
	total time.Duration
}

// Tick records that the process is running, and returns for how long it stood still before, 0 if it
// did not.
func (m *Monitor) Tick(now time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	stood := m.openSpan(now)
	m.lastTick = now
	m.forget(now)
	length := stood.to.Sub(stood.from)
	if length <= 0 {
		return 0
	}
	m.spans = append(m.spans, stood)
	m.count++
	m.total += length
	return length
}

// openSpan returns the standstill since the last tick, which is empty if the next tick is not late
// at the given time.
func (m *Monitor) openSpan(at time.Time) span {
	due := m.lastTick.Add(Interval + tolerance)
	if m.lastTick.IsZero() || !at.After(due) {
		return span{}
	}
	return span{from: due, to: at}
}

func (m *Monitor) forget(now time.Time) {
	old := 0
	for old < len(m.spans) && now.Sub(m.spans[old].to) > retention {
		old++
	}
	m.spans = m.spans[old:]
}

// Awake returns for how long the process was running between two times. It counts a standstill
// from which the process has just woken, also before the next tick.
func (m *Monitor) Awake(from, to time.Time) time.Duration {
	awake := to.Sub(from)
	if m == nil {
		return awake
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for i := len(m.spans) - 1; i >= 0 && m.spans[i].to.After(from); i-- {
		awake -= m.spans[i].overlap(from, to)
	}
	return awake - m.openSpan(to).overlap(from, to)
}

// Longest returns the longest time for which the process stood still at a stretch between two times.
func (m *Monitor) Longest(from, to time.Time) time.Duration {
	if m == nil {
		return 0
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	longest := m.openSpan(to).overlap(from, to)
	for i := len(m.spans) - 1; i >= 0 && m.spans[i].to.After(from); i-- {
		longest = max(longest, m.spans[i].overlap(from, to))
	}
	return longest
}

// overlap returns how much of the span lies between two times.
func (s span) overlap(from, to time.Time) time.Duration {
	if s.from.After(from) {
		from = s.from
	}
	if s.to.Before(to) {
		to = s.to
	}
	return max(0, to.Sub(from))
}

// Totals returns how often the process stood still, and for how long in all.
func (m *Monitor) Totals() (count int64, total time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.count, m.total
}
