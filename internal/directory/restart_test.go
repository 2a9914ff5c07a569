package directory

import (
	"testing"
	"time"

	"github.com/cherrystage/cherrystage/internal/registry"
	"github.com/cherrystage/cherrystage/internal/site"
	"github.com/shoenig/test/must"
)

// eventRecorder records the calls of OnRunner.
type eventRecorder struct{ removed, updated []string }

func (r *eventRecorder) record(runner *site.Runner, removed bool) {
	if removed {
		r.removed = append(r.removed, runner.ID)
		return
	}
	r.updated = append(r.updated, runner.ID)
}

// A runner restarts under the same instance. Requests would wait for adapters that the
// previous lifetime had loaded, so state kept under its ID must be dropped: the previous
// lifetime is reported as removed and the new one as updated.
func TestRestartUnderOneInstanceIsAnotherLifetime(t *testing.T) {
	now := time.Unix(1000, 0)
	d := newDirectory(&now)
	var events eventRecorder
	d.OnRunner = events.record
	d.Runners.Listed([]registry.Record{record("a", `{"born":100,"address":"a:1"}`, 1)}, registry.Position{Revision: 1})
	d.Runners.Changed([]registry.Change{{Record: record("a", `{"born":200,"address":"a:1"}`, 2)}}, registry.Position{Revision: 2})
	must.Eq(t, []string{"a~100"}, events.removed)
	runners := d.Snapshot().ByService["s"]
	must.Len(t, 1, runners)
	must.Eq(t, "a~200", runners[0].ID)
	must.Eq(t, "a", runners[0].Instance)
}

// The store applies a write of the previous lifetime late, over the entry of the new one.
// Hosts that accepted it would route requests to adapters that are no longer loaded.
func TestLateEntryOfEarlierLifetime(t *testing.T) {
	now := time.Unix(1000, 0)
	d := newDirectory(&now)
	d.Runners.Listed([]registry.Record{record("a", `{"born":200,"address":"a:1"}`, 1)}, registry.Position{Revision: 1})
	d.Runners.Changed([]registry.Change{{Record: record("a", `{"born":100,"address":"a:1"}`, 2)}}, registry.Position{Revision: 2})
	must.Eq(t, "a~200", d.Snapshot().ByService["s"][0].ID)
}

// A runner that is partitioned from the store restarts, and its owner learns of it from the
// runner itself. Neither the old entry nor an older report may bring the previous lifetime
// back.
func TestRestartBeforeEntryIsUpdated(t *testing.T) {
	now := time.Unix(1000, 0)
	d := newDirectory(&now)
	d.Runners.Listed([]registry.Record{record("a", `{"born":100,"address":"a:1"}`, 1)}, registry.Position{Revision: 1})
	d.MarkRestarted("a", 300)
	must.Eq(t, "a~300", d.Snapshot().ByService["s"][0].ID)
	d.MarkRestarted("a", 200)
	d.MarkRestarted("unknown", 200)
	d.Runners.Changed([]registry.Change{{Record: record("a", `{"born":100,"address":"a:1"}`, 2)}}, registry.Position{Revision: 2})
	must.Eq(t, "a~300", d.Snapshot().ByService["s"][0].ID)
	must.MapLen(t, 1, d.Snapshot().Runners)
}

// A runner's entry has no start time, but its reports do. The next entry must be accepted,
// or the host would never see that the runner is leaving.
func TestEntryWithoutStartTimeIsAccepted(t *testing.T) {
	now := time.Unix(1000, 0)
	d := newDirectory(&now)
	d.Runners.Listed([]registry.Record{record("a", "false", 1)}, registry.Position{Revision: 1})
	d.MarkRestarted("a", 300)
	d.Runners.Changed([]registry.Change{{Record: record("a", "true", 2)}}, registry.Position{Revision: 2})
	must.SliceEmpty(t, d.Snapshot().ByService["s"])
	must.True(t, d.Snapshot().Runners["a~300"].Leaving)
}

// Another writer corrupts a runner's entry. That runner is removed until its entry can be
// decoded again; the other runners stay.
func TestMalformedEntryRemovesOnlyItsRunner(t *testing.T) {
	now := time.Unix(1000, 0)
	d := newDirectory(&now)
	var events eventRecorder
	d.OnRunner = events.record
	d.Runners.Listed([]registry.Record{record("a", "false", 1), record("b", "false", 2), record("x", `"?"`, 3)}, registry.Position{Revision: 3})
	must.Len(t, 2, d.Snapshot().ByService["s"])
	d.Runners.Changed([]registry.Change{{Record: record("a", `"?"`, 4)}}, registry.Position{Revision: 4})
	must.Len(t, 1, d.Snapshot().ByService["s"])
	must.Eq(t, []string{"a"}, events.removed)
	d.Runners.Changed([]registry.Change{{Record: record("a", "false", 5)}}, registry.Position{Revision: 5})
	must.Len(t, 2, d.Snapshot().ByService["s"])
}

// A process crashes and restarts under another instance at the same address before its
// former entry expires. Only the newer one gets work: requests addressed to the former
// instance would be refused.
func TestNewerRunnerAtAnAddressReplacesTheOlder(t *testing.T) {
	for name, entries := range map[string][]registry.Record{
		"by start time": {record("a", `{"born":100,"address":"x:1"}`, 9), record("b", `{"born":200,"address":"x:1"}`, 2)},
		"by revision":   {record("a", `{"address":"x:1"}`, 1), record("b", `{"address":"x:1"}`, 2)},
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

// A runner restarts under its instance with other software, and says so to its owner before its
// entry shows it. The version of its former entry must not count for it.
func TestRestartedRunnerHasNoKnownSoftware(t *testing.T) {
	now := time.Unix(1000, 0)
	d := newDirectory(&now)
	d.Runners.Listed([]registry.Record{record("a", `{"born":100,"address":"a:1"}`, 1)}, registry.Position{Revision: 1})
	must.False(t, d.Snapshot().Runners["a~100"].SoftwareUnknown)
	d.MarkRestarted("a", 300)
	must.True(t, d.Snapshot().Runners["a~300"].SoftwareUnknown)
	d.Runners.Changed([]registry.Change{{Record: record("a", `{"born":300,"address":"a:1"}`, 2)}}, registry.Position{Revision: 2})
	must.False(t, d.Snapshot().Runners["a~300"].SoftwareUnknown)
}
