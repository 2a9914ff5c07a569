package directory

import (
	"testing"
	"time"

	"github.com/cherrystage/cherrystage/internal/registry"
	"github.com/cherrystage/cherrystage/internal/site"
	"github.com/shoenig/test/must"
)

// told records what a directory told of runners.
type told struct{ gone, there []string }

func (t *told) runner(runner *site.Runner, gone bool) {
	if gone {
		t.gone = append(t.gone, runner.ID)
		return
	}
	t.there = append(t.there, runner.ID)
}

// A runner starts again under its instance. Callers' requests would wait for
// adapters that lay there before: whatever is kept under the lifetime's ID must end,
// so the lifetime before is told as gone and the new one as there.
func TestRestartUnderOneInstanceIsAnotherLifetime(t *testing.T) {
	now := time.Unix(1000, 0)
	d := newDirectory(&now)
	var told told
	d.OnRunner = told.runner
	d.Runners.Listed([]registry.Record{spec("a", `{"born":100,"address":"a:1"}`, 1)}, registry.Position{Revision: 1})
	d.Runners.Changed([]registry.Change{{Record: spec("a", `{"born":200,"address":"a:1"}`, 2)}}, registry.Position{Revision: 2})
	must.Eq(t, []string{"a~100"}, told.gone)
	runners := d.Snapshot().ByService["s"]
	must.Len(t, 1, runners)
	must.Eq(t, "a~200", runners[0].ID)
	must.Eq(t, "a", runners[0].Instance)
}

// The store carries a write of the lifetime before out late, over the entry of the
// new one. Hosts that took it would send requests for adapters that are gone.
func TestLateEntryOfEarlierLifetime(t *testing.T) {
	now := time.Unix(1000, 0)
	d := newDirectory(&now)
	d.Runners.Listed([]registry.Record{spec("a", `{"born":200,"address":"a:1"}`, 1)}, registry.Position{Revision: 1})
	d.Runners.Changed([]registry.Change{{Record: spec("a", `{"born":100,"address":"a:1"}`, 2)}}, registry.Position{Revision: 2})
	must.Eq(t, "a~200", d.Snapshot().ByService["s"][0].ID)
}

// A runner restarts behind a cut from the store. Its owner learns of it from the
// runner itself; the entry that is there already must not bring the lifetime before
// back, and neither must an older word.
func TestRestartBeforeTheEntrySaysSo(t *testing.T) {
	now := time.Unix(1000, 0)
	d := newDirectory(&now)
	d.Runners.Listed([]registry.Record{spec("a", `{"born":100,"address":"a:1"}`, 1)}, registry.Position{Revision: 1})
	d.MarkRestarted("a", 300)
	must.Eq(t, "a~300", d.Snapshot().ByService["s"][0].ID)
	d.MarkRestarted("a", 200)
	d.MarkRestarted("unknown", 200)
	d.Runners.Changed([]registry.Change{{Record: spec("a", `{"born":100,"address":"a:1"}`, 2)}}, registry.Position{Revision: 2})
	must.Eq(t, "a~300", d.Snapshot().ByService["s"][0].ID)
	must.MapLen(t, 1, d.Snapshot().Runners)
}

// A runner's entry does not tell its start, but its reports do. The next entry must
// be taken, or the runner's leaving would never be seen.
func TestEntryWithoutStart(t *testing.T) {
	now := time.Unix(1000, 0)
	d := newDirectory(&now)
	d.Runners.Listed([]registry.Record{spec("a", "false", 1)}, registry.Position{Revision: 1})
	d.MarkRestarted("a", 300)
	d.Runners.Changed([]registry.Change{{Record: spec("a", "true", 2)}}, registry.Position{Revision: 2})
	must.SliceEmpty(t, d.Snapshot().ByService["s"])
	must.True(t, d.Snapshot().Runners["a~300"].Leaving)
}

// Another writer spoils a runner's entry. It names no runner to use any more; the
// others hold, and so does what comes after it.
func TestEntryThatCannotBeRead(t *testing.T) {
	now := time.Unix(1000, 0)
	d := newDirectory(&now)
	var told told
	d.OnRunner = told.runner
	d.Runners.Listed([]registry.Record{spec("a", "false", 1), spec("b", "false", 2), spec("x", `"?"`, 3)}, registry.Position{Revision: 3})
	must.Len(t, 2, d.Snapshot().ByService["s"])
	d.Runners.Changed([]registry.Change{{Record: spec("a", `"?"`, 4)}}, registry.Position{Revision: 4})
	must.Len(t, 1, d.Snapshot().ByService["s"])
	must.Eq(t, []string{"a"}, told.gone)
	d.Runners.Changed([]registry.Change{{Record: spec("a", "false", 5)}}, registry.Position{Revision: 5})
	must.Len(t, 2, d.Snapshot().ByService["s"])
}

// A process crashes and starts again under another instance at its address, while
// its former entry has not lapsed. Only the later one gets work: the other's name
// would have each request turned away.
func TestOneRunnerAtAnAddress(t *testing.T) {
	for name, entries := range map[string][]registry.Record{
		"by their starts":    {spec("a", `{"born":100,"address":"x:1"}`, 9), spec("b", `{"born":200,"address":"x:1"}`, 2)},
		"by their revisions": {spec("a", `{"address":"x:1"}`, 1), spec("b", `{"address":"x:1"}`, 2)},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			d := newDirectory(&now)
			d.Runners.Listed(entries, registry.Position{Revision: 9})
			runners := d.Snapshot().ByService["s"]
			must.Len(t, 1, runners)
			must.Eq(t, "b", runners[0].Instance)
			must.MapLen(t, 2, d.Snapshot().Runners)
		})
	}
}
