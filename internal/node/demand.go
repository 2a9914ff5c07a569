package node

import (
	"sync"
	"time"

	"github.com/cherrystage/cherrystage/internal/demand"
	"github.com/cherrystage/cherrystage/internal/dispatch"
)

// demandLimit bounds the models with an estimate on one host.
const demandLimit = 8192

// pendingLimit bounds the models counted for one peer between two heartbeats.
const pendingLimit = 512

// demandKeeper counts this host's requests, hands the counts to the homes of
// their models, and keeps the estimates of the models that this host is home of.
type demandKeeper struct {
	node      *Node
	estimator *demand.Estimator

	mu      sync.Mutex
	pending map[string]map[string]float64
}

func newDemandKeeper(n *Node) *demandKeeper {
	return &demandKeeper{node: n, estimator: demand.NewEstimator(demandLimit), pending: map[string]map[string]float64{}}
}

// Count counts one request. The count goes into this host's own estimate,
// which decides its evictions, and to the model's home, which foresees.
func (k *demandKeeper) Count(model string, now time.Time) {
	k.estimator.Add(model, 1, now)
	home := dispatch.Home(model, k.node.members.Candidates("", now))
	if home == "" || home == k.node.cfg.Host {
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

// PerSecond gives the likely requests a second for a model.
func (k *demandKeeper) PerSecond(model string, now time.Time) float64 {
	return k.estimator.PerSecond(model, now)
}
