package board

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// A runner that turns all requests away at once looks idle and gets every request first.
func TestRunnerThatRefusesInARowIsLeftAlone(t *testing.T) {
	b := New()
	for i := range refusalsInRow - 1 {
		b.RecordRefusal("r", at(i))
	}
	must.False(t, b.View("r", at(10)).Refusing, must.Sprint("a full one refuses now and then"))
	b.RecordRefusal("r", at(10))
	must.True(t, b.View("r", at(11)).Refusing)
	must.False(t, b.View("r", at(10).Add(refusingFirst)).Refusing, must.Sprint("tried again"))
	b.RecordRefusal("r", at(200))
	must.True(t, b.View("r", at(200).Add(refusingFirst)).Refusing, must.Sprint("longer each time"))
	for i := range 20 {
		b.RecordRefusal("r", at(1000*(i+1)))
	}
	must.False(t, b.View("r", at(20000).Add(refusingMost)).Refusing, must.Sprint("never for long"))
}

func TestRunnerThatTakesARequestRefusesNoMore(t *testing.T) {
	for name, takes := range map[string]func(b *Board){
		"answered":       func(b *Board) { b.RecordResponse("r", at(20)) },
		"told by a peer": func(b *Board) { b.RecordSuccess("r", at(20)) },
	} {
		b := New()
		for range refusalsInRow {
			b.RecordRefusal("r", at(10))
		}
		takes(b)
		must.False(t, b.View("r", at(21)).Refusing, must.Sprint(name))
		b.RecordRefusal("r", at(30))
		must.False(t, b.View("r", at(31)).Refusing, must.Sprint(name, ": counted anew"))
	}
}

// Entries of runners lapse in an outage of the store. Forgotten with them, a rest and a limit
// would be broken as the runners are listed again.
func TestWhatARunnerAskedForOutlivesItsEntry(t *testing.T) {
	b := New()
	b.RecordStart("r", at(0))
	b.RecordSignal("r", Signal{Limited: true, Rate: 2, Backoff: 3 * time.Second}, at(0), at(10))
	b.Forget("r", at(100))
	view := b.View("r", at(500))
	must.Eq(t, 0, view.Own)
	must.True(t, view.Limited)
	must.Eq(t, 2510*time.Millisecond, view.BlockedFor)
	b.Forget("s", at(200).Add(goneLife))
	for i := range b.shards {
		for runner := range b.shards[i].entries {
			must.NotEq(t, "s", runner)
		}
	}
}
