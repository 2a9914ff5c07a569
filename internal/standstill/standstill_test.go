package standstill

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var epoch = time.Unix(1000, 0)

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

// tickUntil ticks on time from one time to another.
func tickUntil(m *Monitor, from, to int) {
	for ms := from; ms <= to; ms += 50 {
		m.Tick(at(ms))
	}
}

// A process is suspended for 1.5 s. The time of the suspension does not count as time in which it
// could have heard others, neither before its first tick afterwards nor after it.
func TestSuspensionDoesNotCount(t *testing.T) {
	m := &Monitor{}
	tickUntil(m, 0, 1000)
	must.Eq(t, 300*time.Millisecond, m.Awake(at(700), at(1000)))
	must.Eq(t, 375*time.Millisecond, m.Awake(at(700), at(2500)), must.Sprint("before the tick"))
	must.Eq(t, 1425*time.Millisecond, m.Tick(at(2500)))
	must.Eq(t, 375*time.Millisecond, m.Awake(at(700), at(2500)))
	tickUntil(m, 2550, 3000)
	must.Eq(t, 875*time.Millisecond, m.Awake(at(700), at(3000)))
	must.Eq(t, 100*time.Millisecond, m.Awake(at(2900), at(3000)))
	count, total := m.Totals()
	must.Eq(t, 1, count)
	must.Eq(t, 1425*time.Millisecond, total)
}

// A host gives a process a slice of processor time now and then: only the slices count.
func TestStarvationCountsInPart(t *testing.T) {
	m := &Monitor{}
	for ms := 0; ms <= 3000; ms += 300 {
		m.Tick(at(ms))
	}
	must.Eq(t, 750*time.Millisecond, m.Awake(at(0), at(3000)))
}

func TestPunctualTicksAreNoStandstill(t *testing.T) {
	m := &Monitor{}
	for ms := 0; ms <= 2000; ms += 70 {
		must.Eq(t, 0, m.Tick(at(ms)))
	}
	must.Eq(t, 2*time.Second, m.Awake(at(0), at(2000)))
	var unknown *Monitor
	must.Eq(t, time.Second, unknown.Awake(at(0), at(1000)))
}

func TestOldStandstillsAreForgotten(t *testing.T) {
	m := &Monitor{}
	for ms := 0; ms <= 600_000; ms += 300 {
		m.Tick(at(ms))
	}
	must.LessEq(t, 202, len(m.spans))
}
