package experiment

import (
	"math"
	"strconv"
	"time"

	"github.com/cherrystage/cherrystage/internal/site"
)

// swingFactor returns the factor by which the demand is above its mean, at a time since the start
// of the load.
func (c DemandConfig) swingFactor(at time.Duration) float64 {
	if c.Swing == 0 {
		return 1
	}
	return 1 + c.Swing*math.Sin(2*math.Pi*at.Seconds()/c.SwingS)
}

// adapterName returns the name of an adapter by its number.
func adapterName(adapter int) string { return "a" + strconv.Itoa(adapter) }

// drawAdapter draws the adapter that a request names, and reports whether a surge of demand chose
// it.
func (sim *simulation) drawAdapter() (adapter int, surge bool) {
	at := sim.clock.now.Sub(sim.started)
	for i, surge := range sim.cfg.Surges {
		if share := surge.shareAt(at); share > 0 && sim.demand.Float64() < share {
			return sim.surging[i], true
		}
	}
	return sim.popularity[sim.zipf()], false
}

// shareAt returns the surge's share of requests at a time since the start of the load.
func (c SurgeConfig) shareAt(at time.Duration) float64 {
	since := at.Seconds() - c.AtS
	if since < 0 || since >= c.ForS {
		return 0
	}
	if since < c.RiseS {
		return c.Share * since / c.RiseS
	}
	return c.Share
}

// drawWorkspace draws the workspace of a request, nil if the configuration has none.
func (sim *simulation) drawWorkspace() *WorkspaceConfig {
	workspaces := sim.cfg.Workspaces
	if len(workspaces) == 0 {
		return nil
	}
	total := 0.0
	for _, workspace := range workspaces {
		total += workspace.Weight
	}
	left := sim.demand.Float64() * total
	for i := range workspaces {
		left -= workspaces[i].Weight
		if left < 0 {
			return &workspaces[i]
		}
	}
	return &workspaces[len(workspaces)-1]
}

// precedence returns the request's position in the priority order, as site.PrecedenceOf does.
func (r *request) precedence() site.Precedence {
	precedence := site.Precedence{Workspace: r.kind.Priority, Route: r.kind.Priority}
	if r.workspace != nil && r.workspace.Priority != nil {
		precedence.Workspace = *r.workspace.Priority
	}
	return precedence
}
