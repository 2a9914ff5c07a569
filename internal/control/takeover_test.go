package control

import (
	"context"
	"testing"
	"time"

	"github.com/cherrystage/cherrystage/internal/engine"
	"github.com/cherrystage/cherrystage/internal/fleet"
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

// A host loses its lease while an eviction is on its way, and takes the runner over again. Its
// earlier eviction is still out: if the host told a successor, or itself, that it sends no more,
// the model would get pins again and the late eviction hit a request.
func TestEvictionsOfAnEarlierOwnershipAreStillOut(t *testing.T) {
	self := peer.Identity{Host: "a", Incarnation: "one"}
	host := fleet.Host{ID: "r", Address: "r:1"}
	c := New(Config{Self: self, LeaseLife: time.Second, ReportInterval: time.Hour}, Deps{
		Engines: silentEngines{}, Hosts: fleet.NewTable(), Members: fleet.NewMembers(time.Second), Holder: residency.NewHolder(), Log: hclog.NewNullLogger(),
	})
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
