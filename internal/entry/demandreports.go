package entry

import (
	"context"

	"github.com/cherrystage/cherrystage/internal/adapters"
	"github.com/cherrystage/cherrystage/internal/directory"
	"github.com/cherrystage/cherrystage/internal/replication"
	"github.com/cherrystage/cherrystage/internal/site"
)

// DemandParams reports to the owner of an adapter's home runner the demand that other runners
// admitted.
type DemandParams struct {
	Home    string          `json:"home"`
	Demands []AdapterDemand `json:"demands"`
}

// AdapterDemand is the demand for one adapter on one runner over the last seconds.
type AdapterDemand struct {
	Model   string `json:"model"`
	Adapter string `json:"adapter"`
	Version int64  `json:"version,omitempty"`
	Runner  string `json:"runner"`
	// PerSecond counts admitted requests, RefusedPerSecond those refused because the runner was
	// busy.
	PerSecond        float64 `json:"per_s"`
	RefusedPerSecond float64 `json:"refused_per_s,omitempty"`
	// TokensPerSecond is the rate of prompt tokens, Running the number of request slots in use.
	TokensPerSecond float64 `json:"tokens_per_s,omitempty"`
	Running         float64 `json:"running,omitempty"`
}

// reportPrecision is the precision of reported rates. More digits cost bandwidth only.
const reportPrecision = 100

func rounded(rate float64) float64 { return float64(int64(rate*reportPrecision+0.5)) / reportPrecision }

func demandOf(report adapters.DemandReport) AdapterDemand {
	return AdapterDemand{
		Model: report.Key.Model, Adapter: report.Key.Name, Version: report.Key.Version, Runner: report.Runner,
		PerSecond: rounded(report.Rate.PerSecond), RefusedPerSecond: rounded(report.Rate.RefusedPerSecond),
		TokensPerSecond: float64(int64(report.Rate.TokensPerSecond)), Running: rounded(report.Rate.Running),
	}
}

func (d AdapterDemand) report() adapters.DemandReport {
	return adapters.DemandReport{
		Key: adapters.Key{Adapter: site.Adapter{Model: d.Model, Name: d.Adapter}, Version: d.Version}, Runner: d.Runner,
		Rate: replication.Rate{
			PerSecond: max(0, d.PerSecond), RefusedPerSecond: max(0, d.RefusedPerSecond),
			TokensPerSecond: max(0, d.TokensPerSecond), Running: max(0, d.Running),
		},
	}
}

// report tells homes the demand that this host's runners admitted. A report that is lost is
// replaced by that of the next second.
func (r *replicator) report(ctx context.Context, snapshot *directory.Snapshot) {
	if snapshot.Config == nil || !r.contended() {
		return
	}
	for service, runners := range snapshot.ByService {
		if !snapshot.IsEngine(service) {
			continue
		}
		for home, demands := range r.demandByHome(runners, snapshot.Versions) {
			params := DemandParams{Home: home.ID, Demands: demands}
			go func() { _ = r.owners.reportDemand(ctx, home, params) }()
		}
	}
}

// demandByHome returns the demand that the runners of one service admitted for adapters whose home
// is another runner.
func (r *replicator) demandByHome(runners []*site.Runner, versions map[site.Adapter]int64) map[*site.Runner][]AdapterDemand {
	byHome := map[*site.Runner][]AdapterDemand{}
	for _, runner := range runners {
		controller, ok := r.owner.Controller(runner.ID)
		if !ok {
			continue
		}
		for _, report := range controller.DemandReports(versions) {
			home := homeOf(report.Key, runners)
			if home != nil && home.ID != runner.ID {
				byHome[home] = append(byHome[home], demandOf(report))
			}
		}
	}
	return byHome
}

// maxDemands bounds the demands that are taken from one report: those of all runners that one host
// owns after many others were lost.
const maxDemands = 512

// reportDemand reports demand to the owner of a home runner. It returns an error if the home did
// not learn it.
func (o *ownerClient) reportDemand(ctx context.Context, home *site.Runner, params DemandParams) error {
	host, address, err := o.locateOwner(home)
	switch {
	case err != nil:
	case host == o.host:
		err = o.demandLocal(params)
	default:
		ctx, cancel := context.WithTimeout(ctx, ownerTimeout)
		defer cancel()
		err = o.pool.Call(ctx, address, methodDemand, params, nil)
	}
	if err != nil {
		o.log.Debug("could not report demand to the adapters' home", "home", home.ID, "adapters", len(params.Demands), "error", err.Error())
	}
	return err
}

func (o *ownerClient) demandLocal(params DemandParams) error {
	controller, ok := o.owner.Controller(params.Home)
	if !ok {
		return adapters.ErrNotOwner
	}
	for _, demand := range params.Demands[:min(maxDemands, len(params.Demands))] {
		controller.ApplyDemand(demand.report())
	}
	return nil
}
