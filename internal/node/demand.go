package node

import (
	"sync"
	"time"

	"github.com/cherrystage/cherrystage/internal/demand"
	"github.com/cherrystage/cherrystage/internal/dispatch"
)

const (
	// maxEstimates limits the number of models with an estimate on one host.
	maxEstimates = 8192
	// maxPendingModels limits the number of models counted for one peer between two heartbeats.
	maxPendingModels = 512
	// reportedRateTTL is how long a rate that a home reported remains valid.
	reportedRateTTL = 30 * time.Second
	// rateReportInterval is the interval of rate reports to each owner.
	rateReportInterval = 5 * time.Second
)

// demandTracker estimates the demand for models. It counts this host's requests and sends the
// counts to the models' homes, the hosts that keep their estimates. For the models that this
// host is home of, it keeps the estimates and reports rates to the owners of the runners on
// which they are resident.
type demandTracker struct {
	node      *Node
	estimator *demand.Estimator

	mu sync.Mutex
	// pending holds the counts for the next heartbeats, by home and model.
	pending       map[string]map[string]float64
	reportedRates map[string]reportedRate
	// ratesSentAt holds the time of the last rate report, by host.
	ratesSentAt map[string]time.Time
}

// reportedRate is a rate reported by a model's home.
type reportedRate struct {
	perSecond float64
	at        time.Time
}

func newDemandTracker(n *Node) *demandTracker {
	return &demandTracker{
		node: n, estimator: demand.NewEstimator(maxEstimates), pending: map[string]map[string]float64{},
		reportedRates: map[string]reportedRate{}, ratesSentAt: map[string]time.Time{},
	}
}

// Count counts one request. If this host is the model's home the count goes into the estimate,
// otherwise into the next heartbeat to the home.
func (d *demandTracker) Count(model string, now time.Time) {
	home := dispatch.HomeHost(model, d.node.candidates(now))
	if home == "" || home == d.node.cfg.Host {
		d.estimator.Add(model, 1, now)
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	counts := d.pending[home]
	if counts == nil {
		counts = map[string]float64{}
		d.pending[home] = counts
	}
	if _, known := counts[model]; known || len(counts) < maxPendingModels {
		counts[model]++
	}
}

// takeCounts returns the counts for a peer since the last call.
func (d *demandTracker) takeCounts(host string) []demand.Count {
	d.mu.Lock()
	defer d.mu.Unlock()
	var counts []demand.Count
	for model, n := range d.pending[host] {
		counts = append(counts, demand.Count{Model: model, N: n})
	}
	delete(d.pending, host)
	return counts
}

// addCounts adds the counts of a peer to the estimates.
func (d *demandTracker) addCounts(counts []demand.Count) {
	now := time.Now()
	for _, count := range counts {
		d.estimator.Add(count.Model, count.N, now)
	}
}

// PerSecond returns the expected requests per second for a model over all hosts: the larger one
// of this host's estimate and a valid rate reported by the model's home.
func (d *demandTracker) PerSecond(model string, now time.Time) float64 {
	own := d.estimator.PerSecond(model, now)
	d.mu.Lock()
	defer d.mu.Unlock()
	reported, ok := d.reportedRates[model]
	if !ok || now.Sub(reported.at) > reportedRateTTL {
		return own
	}
	return max(own, reported.perSecond)
}

// ratesFor returns the rates of the models that this host is home of and that are resident on a
// peer's runners, and nil until the next report is due. The peer uses them to select models to
// evict.
func (d *demandTracker) ratesFor(host string) []demand.Count {
	now := time.Now()
	d.mu.Lock()
	due := now.Sub(d.ratesSentAt[host]) >= rateReportInterval
	if due {
		d.ratesSentAt[host] = now
	}
	d.mu.Unlock()
	if !due {
		return nil
	}
	candidates := d.node.candidates(now)
	var rates []demand.Count
	for _, view := range d.node.runnerTable.Views() {
		if view.Owner != host {
			continue
		}
		for _, slot := range view.Models {
			if dispatch.HomeHost(slot.Model, candidates) == d.node.cfg.Host {
				rates = append(rates, demand.Count{Model: slot.Model, N: d.estimator.PerSecond(slot.Model, now)})
			}
		}
	}
	return rates
}

// setReportedRates stores the rates that a home reported.
func (d *demandTracker) setReportedRates(rates []demand.Count) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	for model, reported := range d.reportedRates {
		if now.Sub(reported.at) > reportedRateTTL {
			delete(d.reportedRates, model)
		}
	}
	for _, rate := range rates {
		d.reportedRates[rate.Model] = reportedRate{perSecond: rate.N, at: now}
	}
}
