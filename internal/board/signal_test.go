package board

import (
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// at returns the time that many milliseconds after epoch.
func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

func TestLimitBeginsChangesAndEnds(t *testing.T) {
	b := New()
	must.Eq(t, SignalChange{}, b.RecordSignal("r", Signal{}, at(0), at(1)))
	must.Eq(t, SignalChange{LimitChange: LimitChange{Changed: true, After: 2}}, b.RecordSignal("r", Signal{Limited: true, Rate: 2}, at(10), at(20)))
	must.Eq(t, SignalChange{}, b.RecordSignal("r", Signal{Limited: true, Rate: 2}, at(30), at(40)))
	must.Eq(t, SignalChange{LimitChange: LimitChange{Changed: true, Before: 2, After: 1.5}}, b.RecordSignal("r", Signal{Limited: true, Rate: 1.5}, at(50), at(60)))
	must.Eq(t, View{Limited: true, Rate: 1.5}, b.View("r", at(60)))
	must.Eq(t, SignalChange{}, b.RecordSignal("r", Signal{}, at(55), at(70)), must.Sprint("sent before the last report"))
	must.Eq(t, SignalChange{LimitChange: LimitChange{Changed: true, Before: 1.5}}, b.RecordSignal("r", Signal{}, at(61), at(80)))
	must.Eq(t, View{}, b.View("r", at(80)))
}

func TestRateOfZeroIsALimit(t *testing.T) {
	b := New()
	must.Eq(t, SignalChange{LimitChange: LimitChange{Changed: true}}, b.RecordSignal("r", Signal{Limited: true}, at(0), at(10)))
	must.True(t, b.View("r", at(10)).Limited)
}

func TestMalformedSignalKeepsTheLimit(t *testing.T) {
	b := New()
	b.RecordSignal("r", Signal{Limited: true, Rate: 2}, at(0), at(10))
	must.Eq(t, SignalChange{MalformedStarted: true}, b.RecordSignal("r", Signal{Malformed: "few"}, at(20), at(30)))
	must.Eq(t, SignalChange{}, b.RecordSignal("r", Signal{Malformed: "few"}, at(40), at(50)), must.Sprint("reported once"))
	must.True(t, b.View("r", at(50)).Limited)
}

func TestLimitReportsReachOtherHosts(t *testing.T) {
	a, b := New(), New()
	a.RecordSignal("r", Signal{Limited: true, Rate: 2}, at(0), at(10))
	reports := a.LimitReports(at(110))
	must.Eq(t, []LimitReport{{Runner: "r", Limited: true, Rate: 2, AgeMS: 100}}, reports)
	must.Eq(t, LimitChange{Changed: true, After: 2}, b.MergePeerLimit(reports[0], at(112)))
	must.Eq(t, LimitChange{}, b.MergePeerLimit(reports[0], at(112)))

	b.RecordSignal("r", Signal{}, at(120), at(200))
	must.Eq(t, LimitChange{}, b.MergePeerLimit(reports[0], at(210)), must.Sprint("an older report"))
	lifted := b.LimitReports(at(300))
	must.Eq(t, []LimitReport{{Runner: "r", AgeMS: 100}}, lifted)
	must.Eq(t, LimitChange{Changed: true, Before: 2}, a.MergePeerLimit(lifted[0], at(301)))
	must.SliceEmpty(t, a.LimitReports(at(201).Add(liftedLimitTTL)), must.Sprint("not reported for ever"))
}

// Two hosts that exchange a report must not make it look newer each time, or a limit that was
// lifted since would come back.
func TestExchangedReportsKeepTheirAge(t *testing.T) {
	const delay = 20
	a, b := New(), New()
	a.RecordSignal("r", Signal{Limited: true, Rate: 2}, at(0), at(0))
	now := 100
	for range 50 {
		for _, report := range a.LimitReports(at(now)) {
			b.MergePeerLimit(report, at(now+delay))
		}
		now += delay
		for _, report := range b.LimitReports(at(now)) {
			a.MergePeerLimit(report, at(now+delay))
		}
		now += 200
	}
	must.Eq(t, int64(now), a.LimitReportFor("r", at(now)).AgeMS)
}

func TestLimitReportsAreBounded(t *testing.T) {
	b := New()
	for i := range 2 * maxLimitReports {
		b.RecordSignal(strconv.Itoa(i), Signal{Limited: true, Rate: 1}, at(i), at(i))
	}
	reports := b.LimitReports(at(100))
	must.SliceLen(t, maxLimitReports, reports)
	must.Eq(t, strconv.Itoa(2*maxLimitReports-1), reports[0].Runner, must.Sprint("newest first"))
	must.Eq(t, 2*maxLimitReports, b.LimitedCount())
}

func TestOnlyLimitedRunnersAreBlocked(t *testing.T) {
	b := New()
	b.BlockUntil("r", at(500))
	must.Eq(t, 0, b.View("r", at(0)).BlockedFor, must.Sprint("no limit"))
	b.RecordSignal("r", Signal{Limited: true, Rate: 2}, at(0), at(0))
	must.Eq(t, 400*time.Millisecond, b.View("r", at(100)).BlockedFor)
	must.Eq(t, 0, b.View("r", at(500)).BlockedFor)
	b.RecordSignal("r", Signal{}, at(10), at(20))
	must.Eq(t, 0, b.View("r", at(100)).BlockedFor, must.Sprint("lifted"))
}

func TestBackoffStartsOnce(t *testing.T) {
	b := New()
	must.Eq(t, SignalChange{BackoffStarted: true}, b.RecordSignal("r", Signal{Backoff: time.Second}, at(0), at(10)))
	must.Eq(t, SignalChange{}, b.RecordSignal("r", Signal{Backoff: time.Second}, at(0), at(20)))
	must.Eq(t, SignalChange{}, b.RecordSignal("r", Signal{Backoff: 100 * time.Millisecond}, at(0), at(30)), must.Sprint("the longer backoff stays in effect"))
	must.Eq(t, SignalChange{BackoffStarted: true}, b.RecordSignal("r", Signal{Backoff: time.Second}, at(0), at(1020)))
}
