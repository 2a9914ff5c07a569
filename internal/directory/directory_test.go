package directory

import (
	"encoding/json"
	"strconv"
	"testing"
	"time"

	"github.com/cherrystage/cherrystage/internal/registry"
	"github.com/cherrystage/cherrystage/internal/site"
	"github.com/cherrystage/cherrystage/internal/standstill"
	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
)

// decoder decodes a configuration or a version from a number, and a runner from a boolean
// (whether it is leaving) or from an object with its start time (born) and address.
type decoder struct{}

func (decoder) Config(spec json.RawMessage) (*site.Config, error) {
	var version int64
	if err := json.Unmarshal(spec, &version); err != nil {
		return nil, errors.Wrap(err, "test configuration")
	}
	return site.NewConfig(version, nil, nil, site.Limits{}), nil
}

func (decoder) Runner(name string, spec json.RawMessage) (*site.Runner, error) {
	if leaving, err := strconv.ParseBool(string(spec)); err == nil {
		return &site.Runner{ID: name, Instance: name, Service: "s", Address: name + ":1", Leaving: leaving}, nil
	}
	var entry struct {
		Born    int64
		Address string
	}
	if err := json.Unmarshal(spec, &entry); err != nil {
		return nil, errors.Wrap(err, "test runner")
	}
	return &site.Runner{ID: site.LifetimeID(name, entry.Born), Instance: name, StartedMS: entry.Born, Service: "s", Address: entry.Address}, nil
}

func (decoder) StripRunner(spec json.RawMessage) json.RawMessage         { return spec }
func (decoder) StripConfig(spec json.RawMessage) json.RawMessage         { return spec }
func (decoder) StripAdapterVersion(spec json.RawMessage) json.RawMessage { return spec }

func (decoder) AdapterVersion(spec json.RawMessage) (site.AdapterVersion, error) {
	var version int64
	err := json.Unmarshal(spec, &version)
	return site.AdapterVersion{Adapter: site.Adapter{Model: "m", Name: "a"}, Version: version}, err
}

func newDirectory(now *time.Time) *Directory {
	return New(decoder{}, func() time.Time { return *now }, hclog.NewNullLogger())
}

func record(name, spec string, revision uint64) registry.Record {
	return registry.Record{Name: name, Revision: revision, Spec: json.RawMessage(spec)}
}

// A host keeps the newest configuration it could decode when an older version arrives
// under a newer revision, or one that cannot be decoded.
func TestNewestDecodableConfigIsKept(t *testing.T) {
	now := time.Unix(1000, 0)
	d := newDirectory(&now)
	d.Configs.Listed([]registry.Record{record("main", "7", 1)}, registry.Position{Revision: 1})
	d.Configs.Listed([]registry.Record{record("main", "5", 2)}, registry.Position{Revision: 2})
	must.Eq(t, 7, d.Snapshot().Config.Version)
	d.Configs.Listed([]registry.Record{record("main", `"?"`, 3)}, registry.Position{Revision: 3})
	must.Eq(t, 7, d.Snapshot().Config.Version)
	d.Configs.Listed(nil, registry.Position{Revision: 4})
	must.Eq(t, 7, d.Snapshot().Config.Version)
}

// A runner whose entry says that it is leaving, or is removed, gets no new work.
func TestLeavingRunnerGetsNoNewWork(t *testing.T) {
	now := time.Unix(1000, 0)
	d := newDirectory(&now)
	d.Runners.Listed([]registry.Record{record("a", "false", 1), record("b", "false", 2)}, registry.Position{Revision: 2})
	must.Len(t, 2, d.Snapshot().ByService["s"])
	d.Runners.Changed([]registry.Change{{Record: record("a", "true", 3)}}, registry.Position{Revision: 3})
	must.Len(t, 1, d.Snapshot().ByService["s"])
	d.Runners.Changed([]registry.Change{{Record: record("b", "false", 4), Removed: true}}, registry.Position{Revision: 4})
	must.SliceEmpty(t, d.Snapshot().ByService["s"])
}

// The entries of live runners expire during a store outage, and the list is empty for a
// moment afterwards. Callers must not be refused for lack of runners; a runner whose
// entry does not come back is removed.
func TestExpiredRunnersAreKeptBrieflyAfterOutage(t *testing.T) {
	now := time.Unix(1000, 0)
	d := newDirectory(&now)
	d.Runners.Listed([]registry.Record{record("a", "false", 1), record("b", "false", 2)}, registry.Position{Revision: 2})
	d.OutageEnded()
	d.Runners.Listed(nil, registry.Position{Revision: 5})
	must.Len(t, 2, d.Snapshot().ByService["s"])
	now = now.Add(time.Second)
	d.Runners.Changed([]registry.Change{{Record: record("a", "false", 6)}}, registry.Position{Revision: 6})
	now = now.Add(outageGrace)
	d.Expire()
	runners := d.Snapshot().ByService["s"]
	must.Len(t, 1, runners)
	must.Eq(t, "a", runners[0].ID)
}

// The store comes back, and a host is suspended before it hears that the runners have written their
// entries again. The changes lie in a socket when it wakes. If the grace period had passed meanwhile,
// the host would remove all runners, refuse its callers, and forget what is loaded where.
func TestStandstillDoesNotUseUpTheGracePeriod(t *testing.T) {
	for _, lapsesBefore := range []bool{true, false} {
		now := time.Unix(1000, 0)
		d := newDirectory(&now)
		d.Standstill = &standstill.Monitor{}
		d.Standstill.Tick(now)
		d.Runners.Listed([]registry.Record{record("a", "false", 1), record("b", "false", 2)}, registry.Position{Revision: 2})
		d.OutageEnded()
		if lapsesBefore {
			d.Runners.Listed(nil, registry.Position{Revision: 5})
		}
		now = now.Add(3 * time.Second)
		if !lapsesBefore {
			d.Runners.Listed(nil, registry.Position{Revision: 5})
		}
		d.Expire()
		must.Len(t, 2, d.Snapshot().ByService["s"])
		d.Runners.Changed([]registry.Change{{Record: record("a", "false", 6)}}, registry.Position{Revision: 6})
		for range 50 {
			d.Standstill.Tick(now)
			now = now.Add(standstill.Interval)
		}
		d.Expire()
		must.Len(t, 1, d.Snapshot().ByService["s"], must.Sprint("a runner that stays missing"))
	}
}

// The store is restored from a copy that lists a runner that has left, and a host is suspended. The
// removal of the entry lies in a socket when it wakes: until it is read, the runner gets no work.
func TestStandstillDoesNotEndTheDistrustOfARestoredStore(t *testing.T) {
	now := time.Unix(1000, 0)
	d := newDirectory(&now)
	d.Standstill = &standstill.Monitor{}
	d.Standstill.Tick(now)
	d.Runners.Listed([]registry.Record{record("a", "true", 3)}, registry.Position{Revision: 3})
	d.Runners.Listed([]registry.Record{record("a", "false", 1)}, registry.Position{Era: 1, Revision: 1})
	now = now.Add(distrustPeriod)
	d.Expire()
	must.SliceEmpty(t, d.Snapshot().ByService["s"])
}

// The store is restored from an older copy that lists a runner as ready that has left, and one
// that was removed. They get no work until the entries of runners that no longer exist have
// had time to expire; a runner that is still listed then is live.
func TestEntriesOfDepartedRunnersAreIgnoredAfterRestore(t *testing.T) {
	now := time.Unix(1000, 0)
	d := newDirectory(&now)
	entries := []registry.Record{record("a", "false", 1), record("b", "false", 2), record("c", "false", 3)}
	d.Runners.Listed(entries, registry.Position{Revision: 3})
	d.Runners.Changed([]registry.Change{{Record: record("a", "true", 4)}, {Record: record("b", "false", 5), Removed: true}}, registry.Position{Revision: 5})
	now = now.Add(time.Second)
	d.Runners.Listed(entries, registry.Position{Era: 1, Revision: 3})
	must.Len(t, 1, d.Snapshot().ByService["s"])
	now = now.Add(distrustPeriod / 2)
	d.Runners.Changed([]registry.Change{{Record: record("b", "false", 4), Removed: true}}, registry.Position{Era: 1, Revision: 4})
	now = now.Add(distrustPeriod / 2)
	d.Expire()
	runners := d.Snapshot().ByService["s"]
	must.Len(t, 2, runners)
	must.Eq(t, "a", runners[0].ID)
	must.Eq(t, "c", runners[1].ID)
}

// After the store is restored from an older copy, a runner without a start time takes over the
// address of another one. Its revision is lower than the other entry's in the previous era.
// Requests go to the new runner.
func TestAddressTakenOverInANewEra(t *testing.T) {
	now := time.Unix(1000, 0)
	d := newDirectory(&now)
	before := record("z", `{"Address":"r:1"}`, 90)
	d.Runners.Listed([]registry.Record{before}, registry.Position{Revision: 90})
	before.Revision = 40
	d.Runners.Listed([]registry.Record{before}, registry.Position{Era: 1, Revision: 40})
	d.Runners.Changed([]registry.Change{{Record: record("b", `{"Address":"r:1"}`, 60)}}, registry.Position{Era: 1, Revision: 60})
	runners := d.Snapshot().ByService["s"]
	must.Len(t, 1, runners)
	must.Eq(t, "b", runners[0].ID)
}

// A watch was reset without an outage. A runner that is missing from the new list has left
// and gets no more work.
func TestMissingWithoutOutageIsRemoved(t *testing.T) {
	now := time.Unix(1000, 0)
	d := newDirectory(&now)
	d.Runners.Listed([]registry.Record{record("a", "false", 1)}, registry.Position{Revision: 1})
	d.Runners.Listed(nil, registry.Position{Revision: 9})
	must.SliceEmpty(t, d.Snapshot().ByService["s"])
}

// An older version of an adapter that arrives under a newer revision is ignored.
func TestOlderAdapterVersionIsIgnored(t *testing.T) {
	now := time.Unix(1000, 0)
	d := newDirectory(&now)
	adapter := site.Adapter{Model: "m", Name: "a"}
	d.Versions.Listed([]registry.Record{record("m.a", "3", 1)}, registry.Position{Revision: 1})
	d.Versions.Changed([]registry.Change{{Record: record("m.a", "2", 2)}}, registry.Position{Revision: 2})
	must.Eq(t, 3, d.Snapshot().Versions[adapter])
}

// A runner reports that it is leaving while its entry still says ready, because the store
// takes no writes or applies one late. The runner's own report takes precedence.
func TestOwnLeavingReportOverridesTheEntry(t *testing.T) {
	now := time.Unix(1000, 0)
	d := newDirectory(&now)
	putReady := func(name string, revision uint64) {
		d.Runners.Changed([]registry.Change{{Record: record(name, "false", revision)}}, registry.Position{Revision: revision})
	}
	putReady("r", 1)
	must.Len(t, 1, d.Snapshot().ByService["s"])
	must.True(t, d.MarkLeaving("r"))
	must.False(t, d.MarkLeaving("r"), must.Sprint("already recorded"))
	must.Eq(t, []string{"r"}, d.UnlistedLeaving())
	must.Len(t, 0, d.Snapshot().ByService["s"])
	must.True(t, d.Snapshot().Runners["r"].Leaving)
	putReady("r", 2)
	must.Len(t, 0, d.Snapshot().ByService["s"])
	d.Runners.Changed([]registry.Change{{Record: record("r", "true", 3)}}, registry.Position{Revision: 3})
	must.SliceEmpty(t, d.UnlistedLeaving(), must.Sprint("the entry says so itself"))
	putReady("other", 4)
	must.Len(t, 1, d.Snapshot().ByService["s"])
}

// A runner that restarts under its instance is no longer leaving.
func TestLeavingReportEndsWithLifetime(t *testing.T) {
	now := time.Unix(1000, 0)
	d := newDirectory(&now)
	d.Runners.Changed([]registry.Change{{Record: record("r", `{"Born":1,"Address":"r:1"}`, 1)}}, registry.Position{Revision: 1})
	must.True(t, d.MarkLeaving(site.LifetimeID("r", 1)))
	d.Runners.Changed([]registry.Change{{Record: record("r", `{"Born":2,"Address":"r:1"}`, 2)}}, registry.Position{Revision: 2})
	must.Len(t, 1, d.Snapshot().ByService["s"])
	now = now.Add(2 * leavingRetention)
	must.True(t, d.MarkLeaving("other"))
	must.MapLen(t, 1, d.leavingSince, must.Sprint("the old report is dropped"))
}
