package board

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// A runner that refuses every request immediately looks idle and would be offered every request
// first.
func TestRunnerIsPausedAfterConsecutiveRefusals(t *testing.T) {
	b := New()
	for i := range refusalThreshold - 1 {
		b.RecordRefusal("r", at(i))
	}
	must.False(t, b.View("r", at(10)).Refusing, must.Sprint("a full runner refuses occasionally"))
	b.RecordRefusal("r", at(10))
	must.True(t, b.View("r", at(11)).Refusing)
	must.False(t, b.View("r", at(10).Add(initialRefusalPause)).Refusing, must.Sprint("tried again"))
	b.RecordRefusal("r", at(200))
	must.True(t, b.View("r", at(200).Add(initialRefusalPause)).Refusing, must.Sprint("the pause grows"))
	for i := range 20 {
		b.RecordRefusal("r", at(1000*(i+1)))
	}
	must.False(t, b.View("r", at(20000).Add(maxRefusalPause)).Refusing, must.Sprint("the pause is bounded"))
}

func TestAcceptedRequestResetsRefusals(t *testing.T) {
	for name, accept := range map[string]func(b *Board){
		"answered":       func(b *Board) { b.RecordResponse("r", at(20)) },
		"request served": func(b *Board) { b.RecordSuccess("r", at(20)) },
	} {
		b := New()
		for range refusalThreshold {
			b.RecordRefusal("r", at(10))
		}
		accept(b)
		must.False(t, b.View("r", at(21)).Refusing, must.Sprint(name))
		b.RecordRefusal("r", at(30))
		must.False(t, b.View("r", at(31)).Refusing, must.Sprint(name, ": count is reset"))
	}
}

// Runners disappear from the list during a store outage. If their limits and backoffs were
// dropped with them, both would be violated as soon as the runners are listed again.
func TestLimitAndBackoffSurviveRemovalFromTheList(t *testing.T) {
	b := New()
	b.RecordStart("r", at(0))
	b.RecordSignal("r", Signal{Limited: true, Rate: 2, Backoff: 3 * time.Second}, at(0), at(10))
	b.Forget("r", at(100))
	view := b.View("r", at(500))
	must.Eq(t, 0, view.Own)
	must.True(t, view.Limited)
	must.Eq(t, 2510*time.Millisecond, view.BlockedFor)
	b.Forget("s", at(200).Add(removedRetention))
	for i := range b.shards {
		for runner := range b.shards[i].entries {
			must.NotEq(t, "s", runner)
		}
	}
}
