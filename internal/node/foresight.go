package node

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/cherrystage/cherrystage/internal/demand"
	"github.com/cherrystage/cherrystage/internal/dispatch"
	"github.com/cherrystage/cherrystage/internal/inventory"
	"github.com/cherrystage/cherrystage/internal/objectapi"
	"github.com/pkg/errors"
)

const (
	prefetchInterval = time.Second
	// maxForecasts limits the number of models examined in one round.
	maxForecasts = 128
	// maxPrefetchesPerRound limits the prefetches that a home requests in one round.
	maxPrefetchesPerRound = 4
	// minPrefetchRate is the minimum rate, in requests per second, at which a model is
	// prefetched: one request in two minutes.
	minPrefetchRate = 1.0 / 120
	// hourlyPatternLead is how long before an hour the models that are usually requested in it
	// are prefetched.
	hourlyPatternLead = 3 * time.Minute
	// hourlyPatternRate is the minimum rate assumed for such a model, in requests per second.
	hourlyPatternRate = 1.0 / 60
	// newVersionShare is the share of an adapter's demand that is assumed for a version that is
	// not current yet.
	newVersionShare = 0.9

	demandPrefix       = "demand/"
	demandSaveInterval = 30 * time.Second
	maxSavedEstimates  = 2048
)

// prefetchExpected requests loads of the models that this host is home of and that will probably
// be needed. This also restores the models that a runner lost in a restart, in order of demand.
func (n *Node) prefetchExpected(ctx context.Context) {
	now := time.Now()
	if n.isDraining() {
		return
	}
	prefetches := 0
	for _, forecast := range n.forecasts(now) {
		if prefetches == maxPrefetchesPerRound {
			return
		}
		if n.prefetch(ctx, forecast, now) {
			prefetches++
		}
	}
}

// forecasts returns the models to examine, in descending order of expected demand.
func (n *Node) forecasts(now time.Time) []demand.Forecast {
	rates := map[string]float64{}
	add := func(model string, perSecond float64) { rates[model] = max(rates[model], perSecond) }
	snapshot := n.follower.Snapshot()
	hottest := n.demand.estimator.Hottest(now, maxForecasts)
	n.recentVersions.observe(snapshot, hottest, now)
	for _, forecast := range hottest {
		if forecast.PerSecond < minPrefetchRate {
			break
		}
		n.addVersions(snapshot, forecast, add)
	}
	if until := now.Truncate(time.Hour).Add(time.Hour).Sub(now); until < hourlyPatternLead {
		for _, forecast := range n.demand.estimator.UsualAtHour(now.Add(hourlyPatternLead), maxForecasts) {
			add(forecast.Model, max(forecast.PerSecond, hourlyPatternRate))
		}
	}
	forecasts := make([]demand.Forecast, 0, len(rates))
	for model, perSecond := range rates {
		forecasts = append(forecasts, demand.Forecast{Model: model, PerSecond: perSecond})
	}
	slices.SortFunc(forecasts, func(a, b demand.Forecast) int {
		return cmp.Or(cmp.Compare(b.PerSecond, a.PerSecond), cmp.Compare(a.Model, b.Model))
	})
	return forecasts
}

// addVersions converts the demand for a model to demand for the versions that will be requested:
// the current one and a recently added one, which operators will probably make current.
func (n *Node) addVersions(snapshot *inventory.Snapshot, forecast demand.Forecast, add func(model string, perSecond float64)) {
	name, version := inventory.SplitModel(forecast.Model)
	adapter, ok := snapshot.Adapter(name)
	if !ok {
		return
	}
	if version != adapter.Current {
		// Demand for a version that was current moves to the current one.
		add(inventory.ModelName(name, adapter.Current), forecast.PerSecond)
		return
	}
	add(forecast.Model, forecast.PerSecond)
	if recent, ok := n.recentVersions.versions[name]; ok && recent.version != adapter.Current {
		add(inventory.ModelName(name, recent.version), forecast.PerSecond*newVersionShare)
	}
}

// versionHistory records the recently added versions of adapters in demand. Only the prefetch
// loop accesses it.
type versionHistory struct {
	lastSnapshot *inventory.Snapshot
	versions     map[string]recentVersion
}

type recentVersion struct {
	version string
	at      time.Time
}

// recentVersionTTL is how long a new version is expected to become current.
const recentVersionTTL = time.Hour

// observe compares a snapshot with the previous one.
func (h *versionHistory) observe(snapshot *inventory.Snapshot, hottest []demand.Forecast, now time.Time) {
	if h.lastSnapshot == nil || h.versions == nil {
		h.lastSnapshot = snapshot
		h.versions = map[string]recentVersion{}
	}
	for name, recent := range h.versions {
		if now.Sub(recent.at) > recentVersionTTL {
			delete(h.versions, name)
		}
	}
	if h.lastSnapshot.Revision() == snapshot.Revision() {
		return
	}
	for _, forecast := range hottest {
		name, _ := inventory.SplitModel(forecast.Model)
		before, known := h.lastSnapshot.Adapter(name)
		after, _ := snapshot.Adapter(name)
		for _, version := range after.Versions {
			if known && !slices.Contains(before.Versions, version) {
				h.versions[name] = recentVersion{version: version, at: now}
			}
		}
	}
	h.lastSnapshot = snapshot
}

// prefetch requests a load of a model that is not on any runner. It reports whether it did.
func (n *Node) prefetch(ctx context.Context, forecast demand.Forecast, now time.Time) bool {
	if dispatch.HomeHost(forecast.Model, n.candidates(now)) != n.cfg.Host || len(n.runnerTable.RunnersWith(forecast.Model)) > 0 {
		return false
	}
	name, _ := inventory.SplitModel(forecast.Model)
	adapter, ok := n.follower.Snapshot().Adapter(name)
	if !ok {
		return false
	}
	runner, ok := n.dispatcher.PlacePrefetch(ctx, forecast.Model, adapter.Base)
	if !ok {
		return false
	}
	n.dispatcher.Prefetch(ctx, runner, forecast.Model, forecast.PerSecond)
	return true
}

func (n *Node) isDraining() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.draining
}

// saveDemand stores this host's estimates for the hosts that become home of its models after it.
func (n *Node) saveDemand(ctx context.Context) {
	encoded, err := json.Marshal(n.demand.estimator.Save(time.Now(), maxSavedEstimates))
	if err != nil || len(encoded) > objectapi.MaxValueBytes {
		n.log.Warn("cannot save demand estimates", "bytes", len(encoded), "error", err)
		return
	}
	key := demandPrefix + n.cfg.Host
	version := n.demandVersion
	version, err = n.objects.Put(ctx, key, encoded, version)
	if errors.Is(err, objectapi.ErrConflict) {
		// An earlier process of this host wrote the object. Read its estimates before
		// overwriting them.
		version = n.restoreDemand(ctx, n.cfg.Host)
	}
	if version > 0 {
		n.demandVersion = version
	}
}

// restoreDemand adds the stored estimates of a host, for models that this host is home of.
func (n *Node) restoreDemand(ctx context.Context, host string) objectapi.Version {
	object, err := n.objects.Get(ctx, demandPrefix+host)
	if err != nil {
		return 0
	}
	var saved []demand.SavedEstimate
	if err := json.Unmarshal(object.Value, &saved); err != nil {
		n.log.Warn("cannot decode stored demand estimates", "host", host, "error", err)
		return object.Version
	}
	now := time.Now()
	candidates := n.candidates(now)
	saved = slices.DeleteFunc(saved, func(item demand.SavedEstimate) bool {
		return dispatch.HomeHost(item.Model, candidates) != n.cfg.Host
	})
	n.demand.estimator.Restore(saved, now)
	return object.Version
}

// takeOverDemand restores the estimates of members that are no longer candidates, for models
// that this host is home of now.
func (n *Node) takeOverDemand(ctx context.Context) {
	current := n.candidates(time.Now())
	var departed []string
	for _, host := range n.lastCandidates {
		if !slices.Contains(current, host) {
			departed = append(departed, host)
		}
	}
	changed := !slices.Equal(current, n.lastCandidates)
	n.lastCandidates = current
	for _, host := range departed {
		n.restoreDemand(ctx, host)
	}
	if changed && len(departed) == 0 {
		// A member has joined. Other hosts have the estimates of the models that it is home of.
		n.sendDemand(ctx)
	}
}

// sendDemand sends estimates of models with a different home to that home.
func (n *Node) sendDemand(ctx context.Context) {
	now := time.Now()
	candidates := n.candidates(now)
	byHome := map[string][]demand.SavedEstimate{}
	for _, item := range n.demand.estimator.Save(now, maxSavedEstimates) {
		if home := dispatch.HomeHost(item.Model, candidates); home != "" && home != n.cfg.Host {
			byHome[home] = append(byHome[home], item)
		}
	}
	for home, items := range byHome {
		member, ok := n.members.Get(home)
		if !ok {
			continue
		}
		if err := n.call(ctx, member.Address, methodDemand, demandParams{Items: items}, nil); err != nil {
			n.log.Debug("cannot send demand estimates", "peer", home, "error", err)
		}
	}
}

type demandParams struct {
	Items []demand.SavedEstimate `json:"items"`
}
