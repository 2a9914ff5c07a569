package node

import (
	"sync"
	"time"

	"github.com/cherrystage/cherrystage/internal/demand"
	"github.com/cherrystage/cherrystage/internal/dispatch"
)

const (
	// demandLimit bounds the models with an estimate on one host.
	demandLimit = 8192
	// pendingLimit bounds the models counted for one peer between two heartbeats.
	pendingLimit = 512
	// toldLife is how long a home's word on a rate is believed.
	toldLife = 30 * time.Second
	// rateInterval is the time between two words on rates to one owner.
	rateInterval = 5 * time.Second
)

// demandKeeper counts this host's requests, hands the counts to the homes of
// their models, keeps the estimates of the models that this host is home of,
// and tells owners the rates of what is resident on their runners.
type demandKeeper struct {
	node      *Node
	estimator *demand.Estimator

	mu      sync.Mutex
	pending map[string]map[string]float64
	told    map[string]toldRate
	toldAt  map[string]time.Time
}

// toldRate is a rate that a model's home told.
type toldRate struct {
	perSecond float64
	at        time.Time
}

func newDemandKeeper(n *Node) *demandKeeper {
	return &demandKeeper{
		node: n, estimator: demand.NewEstimator(demandLimit), pending: map[string]map[string]float64{},
		told: map[string]toldRate{}, toldAt: map[string]time.Time{},
	}
}

// Count counts one request. At the model's home it goes into the estimate;
// elsewhere it waits for the next heartbeat to the home.
func (k *demandKeeper) Count(model string, now time.Time) {
	home := dispatch.HomeHost(model, k.node.candidates(now))
	if home == "" || home == k.node.cfg.Host {
		k.estimator.Add(model, 1, now)
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	counts := k.pending[home]
	if counts == nil {
		counts = map[string]float64{}
		k.pending[home] = counts
	}
	if _, known := counts[model]; known || len(counts) < pendingLimit {
		counts[model]++
	}
}

// take gives the counts for a peer since the last call.
func (k *demandKeeper) take(host string) []demand.Count {
	k.mu.Lock()
	defer k.mu.Unlock()
	var counts []demand.Count
	for model, n := range k.pending[host] {
		counts = append(counts, demand.Count{Model: model, N: n})
	}
	delete(k.pending, host)
	return counts
}

// counted takes a peer's counts.
func (k *demandKeeper) counted(counts []demand.Count) {
	now := time.Now()
	for _, count := range counts {
		k.estimator.Add(count.Model, count.N, now)
	}
}

// PerSecond gives the likely requests a second for a model over all hosts: by
// this host's estimate where it is the model's home, else by the home's word.
func (k *demandKeeper) PerSecond(model string, now time.Time) float64 {
	own := k.estimator.PerSecond(model, now)
	k.mu.Lock()
	defer k.mu.Unlock()
	told, ok := k.told[model]
	if !ok || now.Sub(told.at) > toldLife {
		return own
	}
	return max(own, told.perSecond)
}

// ratesFor gives, now and then, the rates of the models that this host is home
// of and that are resident on a peer's runners: the peer decides by them what
// to evict.
func (k *demandKeeper) ratesFor(host string) []demand.Count {
	now := time.Now()
	k.mu.Lock()
	due := now.Sub(k.toldAt[host]) >= rateInterval
	if due {
		k.toldAt[host] = now
	}
	k.mu.Unlock()
	if !due {
		return nil
	}
	candidates := k.node.candidates(now)
	var rates []demand.Count
	for _, view := range k.node.table.Views() {
		if view.Owner != host {
			continue
		}
		for _, slot := range view.Models {
			if dispatch.HomeHost(slot.Model, candidates) == k.node.cfg.Host {
				rates = append(rates, demand.Count{Model: slot.Model, N: k.estimator.PerSecond(slot.Model, now)})
			}
		}
	}
	return rates
}

// tell takes a home's word on rates.
func (k *demandKeeper) tell(rates []demand.Count) {
	now := time.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	for model, told := range k.told {
		if now.Sub(told.at) > toldLife {
			delete(k.told, model)
		}
	}
	for _, rate := range rates {
		k.told[rate.Model] = toldRate{perSecond: rate.N, at: now}
	}
}
