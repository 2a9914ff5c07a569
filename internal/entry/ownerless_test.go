package entry

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/cherrystage/cherrystage/internal/adapters"
	"github.com/cherrystage/cherrystage/internal/site"
	"github.com/shoenig/test/must"
)

// The owner of a runner is lost, and this process has just started, so it knows no placement. Requests
// for what the runner holds must be served without waiting for another owner, and only these.
func TestRunnerWithoutOwnerServesWhatItHolds(t *testing.T) {
	withRemoteOwner(t, func(o *ownerClient, owner *fakeOwner) {
		owner.locked(func() { owner.silent = true })
		reads := 0
		o.ownerless.report = func(context.Context, string) (adapters.Report, error) {
			reads++
			return adapters.Report{Adapters: []adapters.Held{
				{Key: adapters.Key{Adapter: site.Adapter{Model: "m", Name: "held"}, Version: 3}},
				{Key: adapters.Key{Adapter: site.Adapter{Model: "m", Name: "incoming"}, Version: 3}, Incoming: true},
			}}, nil
		}
		admit := func(name string, version int64) error {
			o.mesh.Registered(1, nil, time.Now())
			request := admissionFor(name)
			request.Key.Version = version
			_, err := o.Admit(context.Background(), remoteRunner, request)
			return err
		}
		must.ErrorIs(t, admit("held", 3), errOwnerUnreachable)
		time.Sleep(ownerlessDelay)
		must.ErrorIs(t, admit("held", 3), errOwnerUnreachable, must.Sprint("this request has the runner asked"))
		begin := time.Now()
		for time.Since(begin) < 30*time.Second {
			time.Sleep(100 * time.Millisecond)
			must.NoError(t, admit("held", 3))
			must.ErrorIs(t, admit("held", 4), errOwnerUnreachable)
			must.ErrorIs(t, admit("incoming", 3), errOwnerUnreachable)
			must.ErrorIs(t, admit("cold", 3), errOwnerUnreachable)
		}
		must.LessEq(t, int(time.Since(begin)/ownerlessInterval)+1, reads)
	})
}

// A host that has no lease may be cut off itself. It must not serve runners whose owners it can't reach.
func TestHostWithoutALeaseAsksNoRunnerWhatItHolds(t *testing.T) {
	withRemoteOwner(t, func(o *ownerClient, owner *fakeOwner) {
		owner.locked(func() { owner.silent = true })
		o.ownerless.report = func(context.Context, string) (adapters.Report, error) {
			t.Error("asked")
			return adapters.Report{}, nil
		}
		for range 20 {
			time.Sleep(ownerlessDelay / 5)
			_, err := o.Admit(context.Background(), remoteRunner, admissionFor("held"))
			must.ErrorIs(t, err, errOwnerUnreachable)
		}
	})
}

// The owners of all runners of a large fleet are lost. Every host would ask every runner what it
// holds; the reports of one host must stay bounded.
func TestReportsOfRunnersWithoutOwnersAreBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	r := newOwnerlessRunners(func() time.Time { return now }, nil)
	asked := 0
	const seconds = 20
	for range seconds * 10 {
		now = now.Add(100 * time.Millisecond)
		for runner := range 3700 {
			if r.noteUnreachable(fmt.Sprint(runner)) {
				asked++
			}
		}
	}
	must.LessEq(t, (seconds+1)*maxOwnerlessReports, asked)
	must.Greater(t, (seconds-4)*maxOwnerlessReports, asked)
}
