package board

import (
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// at gives a moment in milliseconds after the tests' epoch.
func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

func TestLimitBeginsChangesAndEnds(t *testing.T) {
	b := New()
	must.Eq(t, SignalChange{}, b.RecordSignal("r", Signal{}, at(0), at(1)))
	must.Eq(t, SignalChange{LimitChange: LimitChange{Changed: true, After: 2}}, b.RecordSignal("r", Signal{Limited: true, Rate: 2}, at(10), at(20)))
	must.Eq(t, SignalChange{}, b.RecordSignal("r", Signal{Limited: true, Rate: 2}, at(30), at(40)))
	must.Eq(t, SignalChange{LimitChange: LimitChange{Changed: true, Before: 2, After: 1.5}}, b.RecordSignal("r", Signal{Limited: true, Rate: 1.5}, at(50), at(60)))
	must.Eq(t, View{Limited: true, Rate: 1.5}, b.View("r", at(60)))
	must.Eq(t, SignalChange{}, b.RecordSignal("r", Signal{}, at(55), at(70)), must.Sprint("sent before the last word"))
	must.Eq(t, SignalChange{LimitChange: LimitChange{Changed: true, Before: 1.5}}, b.RecordSignal("r", Signal{}, at(61), at(80)))
	must.Eq(t, View{}, b.View("r", at(80)))
}

func TestLimitOfNothing(t *testing.T) {
	b := New()
	must.Eq(t, SignalChange{LimitChange: LimitChange{Changed: true}}, b.RecordSignal("r", Signal{Limited: true}, at(0), at(10)))
	must.True(t, b.View("r", at(10)).Limited)
}

func TestWordThatIsNotUnderstoodChangesNothing(t *testing.T) {
	b := New()
	b.RecordSignal("r", Signal{Limited: true, Rate: 2}, at(0), at(10))
	must.Eq(t, SignalChange{MalformedStarted: true}, b.RecordSignal("r", Signal{Malformed: "few"}, at(20), at(30)))
	must.Eq(t, SignalChange{}, b.RecordSignal("r", Signal{Malformed: "few"}, at(40), at(50)), must.Sprint("told once"))
	must.True(t, b.View("r", at(50)).Limited)
}

func TestLimitsGoFromHostToHost(t *testing.T) {
	a, b := New(), New()
	a.RecordSignal("r", Signal{Limited: true, Rate: 2}, at(0), at(10))
	told := a.LimitReports(at(110))
	must.Eq(t, []LimitReport{{Runner: "r", Limited: true, Rate: 2, AgeMS: 100}}, told)
	must.Eq(t, LimitChange{Changed: true, After: 2}, b.MergePeerLimit(told[0], at(112)))
	must.Eq(t, LimitChange{}, b.MergePeerLimit(told[0], at(112)))

	b.RecordSignal("r", Signal{}, at(120), at(200))
	must.Eq(t, LimitChange{}, b.MergePeerLimit(told[0], at(210)), must.Sprint("an older word"))
	lifted := b.LimitReports(at(300))
	must.Eq(t, []LimitReport{{Runner: "r", AgeMS: 100}}, lifted)
	must.Eq(t, LimitChange{Changed: true, Before: 2}, a.MergePeerLimit(lifted[0], at(301)))
	must.SliceEmpty(t, a.LimitReports(at(201).Add(liftedLife)), must.Sprint("not told for ever"))
}

// Two hosts that tell each other what one runner once said keep the word young, and a limit
// that was lifted since comes back.
func TestWordDoesNotGrowYoungerOnItsWay(t *testing.T) {
	const way = 20
	a, b := New(), New()
	a.RecordSignal("r", Signal{Limited: true, Rate: 2}, at(0), at(0))
	now := 100
	for range 50 {
		for _, told := range a.LimitReports(at(now)) {
			b.MergePeerLimit(told, at(now+way))
		}
		now += way
		for _, told := range b.LimitReports(at(now)) {
			a.MergePeerLimit(told, at(now+way))
		}
		now += 200
	}
	must.Eq(t, int64(now), a.LimitReportFor("r", at(now)).AgeMS)
}

func TestFewLimitsAreToldAtATime(t *testing.T) {
	b := New()
	for i := range 2 * mostLimits {
		b.RecordSignal(strconv.Itoa(i), Signal{Limited: true, Rate: 1}, at(i), at(i))
	}
	told := b.LimitReports(at(100))
	must.SliceLen(t, mostLimits, told)
	must.Eq(t, strconv.Itoa(2*mostLimits-1), told[0].Runner, must.Sprint("the newest first"))
	must.Eq(t, 2*mostLimits, b.LimitedCount())
}

func TestBarredUntilItsTurn(t *testing.T) {
	b := New()
	b.BlockUntil("r", at(500))
	must.Eq(t, 0, b.View("r", at(0)).BlockedFor, must.Sprint("no limit"))
	b.RecordSignal("r", Signal{Limited: true, Rate: 2}, at(0), at(0))
	must.Eq(t, 400*time.Millisecond, b.View("r", at(100)).BlockedFor)
	must.Eq(t, 0, b.View("r", at(500)).BlockedFor)
	b.RecordSignal("r", Signal{}, at(10), at(20))
	must.Eq(t, 0, b.View("r", at(100)).BlockedFor, must.Sprint("lifted"))
}

func TestRestIsAskedForOnce(t *testing.T) {
	b := New()
	must.Eq(t, SignalChange{BackoffStarted: true}, b.RecordSignal("r", Signal{Backoff: time.Second}, at(0), at(10)))
	must.Eq(t, SignalChange{}, b.RecordSignal("r", Signal{Backoff: time.Second}, at(0), at(20)))
	must.Eq(t, SignalChange{}, b.RecordSignal("r", Signal{Backoff: 100 * time.Millisecond}, at(0), at(30)), must.Sprint("the longer one holds"))
	must.Eq(t, SignalChange{BackoffStarted: true}, b.RecordSignal("r", Signal{Backoff: time.Second}, at(0), at(1020)))
}
