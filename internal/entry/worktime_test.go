package entry

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/cherrystage/cherrystage/internal/site"
	"github.com/shoenig/test/must"
)

// The owner of a runner sees few of its answers. Other hosts report the work time that they hear,
// once and with its age; otherwise the owner would pace prompts by an old figure, or take an old
// one for new.
func TestWorkTimeIsReportedToTheOwner(t *testing.T) {
	withRemoteOwner(t, func(o *ownerClient, owner *fakeOwner) {
		runners := map[string]*site.Runner{remoteRunner.ID: remoteRunner}
		report := func() {
			o.reportOutcomes(context.Background(), runners)
			time.Sleep(time.Millisecond)
		}
		o.board.RecordWork(remoteRunner.ID, 250, time.Now())
		time.Sleep(150 * time.Millisecond)
		report()
		must.Len(t, 1, owner.reports())
		must.Eq(t, 250, owner.reports()[0].WorkPercent)
		must.Eq(t, 150, owner.reports()[0].WorkAgeMS)
		report()
		must.Len(t, 1, owner.reports(), must.Sprint("nothing new"))

		o.board.RecordWork(remoteRunner.ID, 100, time.Now())
		time.Sleep(maxWorkAge + time.Millisecond)
		report()
		must.Len(t, 1, owner.reports(), must.Sprint("too old"))
	})
}

// A report without a work time is byte for byte that of a host without this part.
func TestReportWithoutWorkTimeIsUnchanged(t *testing.T) {
	withRemoteOwner(t, func(o *ownerClient, owner *fakeOwner) {
		o.board.RecordStart(remoteRunner.ID, time.Now())
		o.ReportFirstEvent(remoteRunner, 1000, 50*time.Millisecond)
		outcomes, changed := o.takePending(remoteRunner.ID, 1, o.newWorkTime(remoteRunner.ID))
		must.True(t, changed)
		raw, err := json.Marshal(outcomes)
		must.NoError(t, err)
		must.Eq(t, `{"running":1,"reading_ns":40000}`, string(raw))
	})
}

// The shortest prefill time says most of a runner's speed, but not if it is the shortest only
// because the others were observed during a slowdown.
func TestShortestPrefillIsThatAtTheUsualSpeed(t *testing.T) {
	var outcomes RunnerOutcomes
	outcomes.addPrefill(30_000, 100)
	outcomes.addPrefill(50_000, 250)
	must.Eq(t, 50_000, outcomes.PromptTokenNS)
	must.Eq(t, 250, outcomes.PromptWorkPercent)
	outcomes.addPrefill(25_000, 0)
	must.Eq(t, 50_000, outcomes.PromptTokenNS)
}

// A peer's figure that is too old, or whose age cannot be true, must not replace what is known.
func TestImplausibleWorkReportIsIgnored(t *testing.T) {
	withRemoteOwner(t, func(o *ownerClient, _ *fakeOwner) {
		for _, outcomes := range []RunnerOutcomes{{}, {WorkPercent: 300, WorkAgeMS: 2000}, {WorkPercent: 300, WorkAgeMS: -5}, {WorkPercent: -3}} {
			o.applyOutcomes("c", OutcomesParams{Runners: map[string]RunnerOutcomes{remoteRunner.ID: outcomes}})
			must.Eq(t, 0, o.board.View(remoteRunner.ID, time.Now()).WorkPercent)
		}
		o.applyOutcomes("c", OutcomesParams{Runners: map[string]RunnerOutcomes{remoteRunner.ID: {WorkPercent: 300, WorkAgeMS: 40}}})
		view := o.board.View(remoteRunner.ID, time.Now())
		must.Eq(t, 300, view.WorkPercent)
		must.Eq(t, 40*time.Millisecond, view.WorkAge)
	})
}
