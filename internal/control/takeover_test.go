package control

import (
	"context"
	"testing"
	"time"

	"github.com/cherrystage/cherrystage/internal/engine"
	"github.com/cherrystage/cherrystage/internal/fleet"
	"github.com/cherrystage/cherrystage/internal/objectapi"
	"github.com/cherrystage/cherrystage/internal/peer"
	"github.com/cherrystage/cherrystage/internal/residency"
	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
)

// silentEngines answer nothing.
type silentEngines struct{}

func (silentEngines) Order(context.Context, string, engine.Order) error {
	return errors.New("no answer")
}

func (silentEngines) Report(context.Context, string) (engine.Report, error) {
	return engine.Report{}, errors.New("no answer")
}

// newTestController returns the controller of host a, whose engines answer nothing.
func newTestController(stored Objects) *Controller {
	return New(Config{Self: peer.Identity{Host: "a", Incarnation: "one"}, LeaseLife: time.Second, ReportInterval: time.Hour}, Deps{
		Engines: silentEngines{}, Objects: stored, Hosts: fleet.NewTable(), Members: fleet.NewMembers(time.Minute), Holder: residency.NewHolder(),
		Publish: func(residency.View) {}, Log: hclog.NewNullLogger(),
	})
}

// A host loses its lease while an eviction is on its way, and takes the runner over again. Its
// earlier eviction is still out: if the host told a successor, or itself, that it sends no more,
// the model would get pins again and the late eviction hit a request.
func TestEvictionsOfAnEarlierOwnershipAreStillOut(t *testing.T) {
	host := fleet.Host{ID: "r", Address: "r:1"}
	c := newTestController(nil)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	c.startManaging(ctx, host, residency.Record{Runner: "r", Owner: "a", Incarnation: "one", Fence: 5}, 1)
	earlier := c.ownedRunner("r")
	earlier.addEvictionsInFlight(1)
	c.endAllOwnership()
	c.startManaging(ctx, host, residency.Record{Runner: "r", Owner: "a", Incarnation: "one", Fence: 6}, 2)
	must.True(t, c.listPins(listParams{Runner: "r", Fence: 6}).OrdersOut)
	must.True(t, c.listPins(listParams{Runner: "r", Fence: 7}).OrdersOut)
	earlier.addEvictionsInFlight(-1)
	must.False(t, c.listPins(listParams{Runner: "r", Fence: 7}).OrdersOut)
}

// objects holds objects in memory and checks versions. It takes no calls while it is down.
type objects struct {
	down   bool
	values map[string]objectapi.Object
}

func (o *objects) Get(_ context.Context, key string) (objectapi.Object, error) {
	object, ok := o.values[key]
	switch {
	case o.down:
		return object, objectapi.ErrUnavailable
	case !ok:
		return object, objectapi.ErrNotFound
	}
	return object, nil
}

func (o *objects) Put(_ context.Context, key string, value []byte, ifVersion objectapi.Version) (objectapi.Version, error) {
	switch {
	case o.down:
		return 0, objectapi.ErrUnavailable
	case o.values[key].Version != ifVersion:
		return 0, objectapi.ErrConflict
	}
	o.values[key] = objectapi.Object{Key: key, Value: value, Version: ifVersion + 1}
	return ifVersion + 1, nil
}

// A host hands a runner over while the object API is away, or has lost its lease and renewed it.
// The runner's record still names it, and its lease holds. Nobody else may take the runner over
// then, so it would have no owner for as long as this process lives.
func TestRunnerIsReleasedLater(t *testing.T) {
	for name, end := range map[string]func(c *Controller, stored *objects){
		"release failed": func(c *Controller, stored *objects) {
			stored.down = true
			c.release(t.Context(), c.ownedRunner("r"))
			stored.down = false
		},
		"lease lost": func(c *Controller, _ *objects) { c.endAllOwnership() },
	} {
		stored := &objects{values: map[string]objectapi.Object{}}
		c := newTestController(stored)
		c.deps.Hosts.Update(fleet.List{Version: 1, Hosts: []fleet.Host{{ID: "r", Address: "r:1", Role: fleet.RoleRunner}}})
		c.deps.Members.Observe(fleet.Member{Host: "b", Incarnation: "one", Ready: true}, time.Now())
		ctx, cancel := context.WithCancel(t.Context())
		record := residency.Record{Runner: "r", Owner: "a", Incarnation: "one", Fence: 5}
		version, err := c.writeRecord(ctx, record, 0)
		must.NoError(t, err)
		host, _ := c.deps.Hosts.Host("r")
		c.startManaging(ctx, host, record, version)
		m := c.ownedRunner("r")
		end(c, stored)
		<-m.done
		c.reconcile(ctx, time.Now())
		got, _, err := c.readRecord(ctx, "r")
		must.NoError(t, err)
		must.Eq(t, record.Release(), got, must.Sprint(name))
		cancel()
	}
}
