package directory

import (
	"encoding/json"
	"strconv"
	"testing"
	"time"

	"github.com/cherrystage/cherrystage/internal/registry"
	"github.com/cherrystage/cherrystage/internal/site"
	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
)

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
	var told struct {
		Born    int64
		Address string
	}
	if err := json.Unmarshal(spec, &told); err != nil {
		return nil, errors.Wrap(err, "test runner")
	}
	return &site.Runner{ID: site.Lifetime(name, told.Born), Instance: name, Born: told.Born, Service: "s", Address: told.Address}, nil
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

func spec(name, text string, revision uint64) registry.Record {
	return registry.Record{Name: name, Revision: revision, Spec: json.RawMessage(text)}
}

// A configuration in force is followed by an older one under a newer revision,
// or by one that cannot be read. The host keeps the newest it understood.
func TestConfigNeverGoesBack(t *testing.T) {
	now := time.Unix(1000, 0)
	d := newDirectory(&now)
	d.Configs.Listed([]registry.Record{spec("main", "7", 1)}, registry.Position{Revision: 1})
	d.Configs.Listed([]registry.Record{spec("main", "5", 2)}, registry.Position{Revision: 2})
	must.Eq(t, 7, d.Snapshot().Config.Version)
	d.Configs.Listed([]registry.Record{spec("main", `"?"`, 3)}, registry.Position{Revision: 3})
	must.Eq(t, 7, d.Snapshot().Config.Version)
	d.Configs.Listed(nil, registry.Position{Revision: 4})
	must.Eq(t, 7, d.Snapshot().Config.Version)
}

// A runner's entry says that it is leaving, or is gone. It gets nothing new.
func TestLeavingRunner(t *testing.T) {
	now := time.Unix(1000, 0)
	d := newDirectory(&now)
	d.Runners.Listed([]registry.Record{spec("a", "false", 1), spec("b", "false", 2)}, registry.Position{Revision: 2})
	must.Len(t, 2, d.Snapshot().ByService["s"])
	d.Runners.Changed([]registry.Change{{Record: spec("a", "true", 3)}}, registry.Position{Revision: 3})
	must.Len(t, 1, d.Snapshot().ByService["s"])
	d.Runners.Changed([]registry.Change{{Record: spec("b", "false", 4), Removed: true}}, registry.Position{Revision: 4})
	must.SliceEmpty(t, d.Snapshot().ByService["s"])
}

// The store was away and the entries of living runners lapsed meanwhile. For a
// moment the list is empty. Callers must not be refused for want of runners; an
// entry that stays away is taken as gone.
func TestLapsedRunnersAreBelievedForAMoment(t *testing.T) {
	now := time.Unix(1000, 0)
	d := newDirectory(&now)
	d.Runners.Listed([]registry.Record{spec("a", "false", 1), spec("b", "false", 2)}, registry.Position{Revision: 2})
	d.OutageEnded()
	d.Runners.Listed(nil, registry.Position{Revision: 5})
	must.Len(t, 2, d.Snapshot().ByService["s"])
	now = now.Add(time.Second)
	d.Runners.Changed([]registry.Change{{Record: spec("a", "false", 6)}}, registry.Position{Revision: 6})
	now = now.Add(lapseGrace)
	d.Expire()
	runners := d.Snapshot().ByService["s"]
	must.Len(t, 1, runners)
	must.Eq(t, "a", runners[0].ID)
}

// The store comes back from a copy in which a runner that left is ready, and one that was
// removed is there. They get nothing until the store has had the time to let the entries of
// runners that are gone lapse; what it still lists then lives.
func TestCopyIsNotBelievedOfRunnersThatLeft(t *testing.T) {
	now := time.Unix(1000, 0)
	d := newDirectory(&now)
	entries := []registry.Record{spec("a", "false", 1), spec("b", "false", 2), spec("c", "false", 3)}
	d.Runners.Listed(entries, registry.Position{Revision: 3})
	d.Runners.Changed([]registry.Change{{Record: spec("a", "true", 4)}, {Record: spec("b", "false", 5), Removed: true}}, registry.Position{Revision: 5})
	now = now.Add(time.Second)
	d.Runners.Listed(entries, registry.Position{Era: 1, Revision: 3})
	must.Len(t, 1, d.Snapshot().ByService["s"])
	now = now.Add(doubtLife / 2)
	d.Runners.Changed([]registry.Change{{Record: spec("b", "false", 4), Removed: true}}, registry.Position{Era: 1, Revision: 4})
	now = now.Add(doubtLife / 2)
	d.Expire()
	runners := d.Snapshot().ByService["s"]
	must.Len(t, 2, runners)
	must.Eq(t, "a", runners[0].ID)
	must.Eq(t, "c", runners[1].ID)
}

// The store comes back from a copy. A runner of which the start is not told takes the address
// of another one over, under a revision that the other entry had before. Requests go to it.
func TestAddressTakenOverInANewEra(t *testing.T) {
	now := time.Unix(1000, 0)
	d := newDirectory(&now)
	before := spec("z", `{"Address":"r:1"}`, 90)
	d.Runners.Listed([]registry.Record{before}, registry.Position{Revision: 90})
	before.Revision = 40
	d.Runners.Listed([]registry.Record{before}, registry.Position{Era: 1, Revision: 40})
	d.Runners.Changed([]registry.Change{{Record: spec("b", `{"Address":"r:1"}`, 60)}}, registry.Position{Era: 1, Revision: 60})
	runners := d.Snapshot().ByService["s"]
	must.Len(t, 1, runners)
	must.Eq(t, "b", runners[0].ID)
}

// A watch's history was dropped without an outage. A runner that is missing
// from the new list has left, and gets nothing more.
func TestMissingWithoutOutageIsGone(t *testing.T) {
	now := time.Unix(1000, 0)
	d := newDirectory(&now)
	d.Runners.Listed([]registry.Record{spec("a", "false", 1)}, registry.Position{Revision: 1})
	d.Runners.Listed(nil, registry.Position{Revision: 9})
	must.SliceEmpty(t, d.Snapshot().ByService["s"])
}

func TestVersionsOnlyGrow(t *testing.T) {
	now := time.Unix(1000, 0)
	d := newDirectory(&now)
	adapter := site.Adapter{Model: "m", Name: "a"}
	d.Versions.Listed([]registry.Record{spec("m.a", "3", 1)}, registry.Position{Revision: 1})
	d.Versions.Changed([]registry.Change{{Record: spec("m.a", "2", 2)}}, registry.Position{Revision: 2})
	must.Eq(t, 3, d.Snapshot().Versions[adapter])
}

// The store's entry of a runner says that it is ready, late or while the store takes no
// writes, although the runner says that it leaves.
func TestOwnWordOutlivesTheEntry(t *testing.T) {
	now := time.Unix(1000, 0)
	d := newDirectory(&now)
	list := func(name string, revision uint64) {
		d.Runners.Changed([]registry.Change{{Record: spec(name, "false", revision)}}, registry.Position{Revision: revision})
	}
	list("r", 1)
	must.Len(t, 1, d.Snapshot().ByService["s"])
	must.True(t, d.MarkLeaving("r"))
	must.False(t, d.MarkLeaving("r"), must.Sprint("no news"))
	must.Eq(t, []string{"r"}, d.UnlistedLeaving())
	must.Len(t, 0, d.Snapshot().ByService["s"])
	must.True(t, d.Snapshot().Runners["r"].Leaving)
	list("r", 2)
	must.Len(t, 0, d.Snapshot().ByService["s"])
	d.Runners.Changed([]registry.Change{{Record: spec("r", "true", 3)}}, registry.Position{Revision: 3})
	must.SliceEmpty(t, d.UnlistedLeaving(), must.Sprint("all read it in the store"))
	list("other", 4)
	must.Len(t, 1, d.Snapshot().ByService["s"])
}

// A runner that starts again under its instance does not leave any more.
func TestOwnWordEndsWithItsLifetime(t *testing.T) {
	now := time.Unix(1000, 0)
	d := newDirectory(&now)
	d.Runners.Changed([]registry.Change{{Record: spec("r", `{"Born":1,"Address":"r:1"}`, 1)}}, registry.Position{Revision: 1})
	must.True(t, d.MarkLeaving(site.Lifetime("r", 1)))
	d.Runners.Changed([]registry.Change{{Record: spec("r", `{"Born":2,"Address":"r:1"}`, 2)}}, registry.Position{Revision: 2})
	must.Len(t, 1, d.Snapshot().ByService["s"])
	now = now.Add(2 * leavingLife)
	must.True(t, d.MarkLeaving("other"))
	must.MapLen(t, 1, d.leaving, must.Sprint("forgotten at last"))
}
