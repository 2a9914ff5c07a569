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
	foresightInterval = time.Second
	// foresightLimit bounds the models looked at in one round.
	foresightLimit = 128
	// prefetchesAhead bounds the foreseen loads that a home asks for in a round.
	prefetchesAhead = 4
	// foresightLeast is the least rate, in requests a second, for which a model
	// is loaded before anyone asks: one request in two minutes.
	foresightLeast = 1.0 / 120
	// habitLead is how long before an hour its habitual models are loaded.
	habitLead = 3 * time.Minute
	// habitRate is the rate that a habit alone counts for.
	habitRate = 1.0 / 60
	// versionShare is the part of an adapter's demand that a version that is
	// not current yet is loaded for.
	versionShare = 0.9

	demandPrefix   = "demand/"
	demandInterval = 30 * time.Second
	demandSaved    = 2048
)

// foresee asks for the loads that will likely be needed, of the models that
// this host is home of. Models lost with a runner's restart come back by it
// too, the hottest first.
func (n *Node) foresee(ctx context.Context) {
	now := time.Now()
	if n.isDraining() {
		return
	}
	asked := 0
	for _, forecast := range n.forecasts(now) {
		if asked == prefetchesAhead {
			return
		}
		if n.prefetch(ctx, forecast, now) {
			asked++
		}
	}
}

// forecasts gives the models to look at, the most likely first.
func (n *Node) forecasts(now time.Time) []demand.Forecast {
	wanted := map[string]float64{}
	add := func(model string, perSecond float64) { wanted[model] = max(wanted[model], perSecond) }
	snapshot := n.follower.Snapshot()
	hottest := n.demand.estimator.Hottest(now, foresightLimit)
	n.fresh.note(snapshot, hottest, now)
	for _, forecast := range hottest {
		if forecast.PerSecond < foresightLeast {
			break
		}
		n.addVersions(snapshot, forecast, add)
	}
	if until := now.Truncate(time.Hour).Add(time.Hour).Sub(now); until < habitLead {
		for _, forecast := range n.demand.estimator.UsualAtHour(now.Add(habitLead), foresightLimit) {
			add(forecast.Model, max(forecast.PerSecond, habitRate))
		}
	}
	forecasts := make([]demand.Forecast, 0, len(wanted))
	for model, perSecond := range wanted {
		forecasts = append(forecasts, demand.Forecast{Model: model, PerSecond: perSecond})
	}
	slices.SortFunc(forecasts, func(a, b demand.Forecast) int {
		return cmp.Or(cmp.Compare(b.PerSecond, a.PerSecond), cmp.Compare(a.Model, b.Model))
	})
	return forecasts
}

// addVersions turns the demand for a model into that for the versions that
// will be asked for: the current one, and one that was listed lately, which
// operators are likely to make current.
func (n *Node) addVersions(snapshot *inventory.Snapshot, forecast demand.Forecast, add func(model string, perSecond float64)) {
	name, version := inventory.SplitModel(forecast.Model)
	adapter, ok := snapshot.Adapter(name)
	if !ok {
		return
	}
	if version != adapter.Current {
		// Demand for what was current until lately goes to what is now.
		add(inventory.ModelName(name, adapter.Current), forecast.PerSecond)
		return
	}
	add(forecast.Model, forecast.PerSecond)
	if coming, ok := n.fresh.versions[name]; ok && coming.version != adapter.Current {
		add(inventory.ModelName(name, coming.version), forecast.PerSecond*versionShare)
	}
}

// freshVersions remembers, of the adapters in demand, the versions that were
// listed lately. It belongs to the loop that foresees.
type freshVersions struct {
	seen     *inventory.Snapshot
	versions map[string]freshVersion
}

type freshVersion struct {
	version string
	at      time.Time
}

// freshLife is how long a new version is expected to become current.
const freshLife = time.Hour

// note compares a new snapshot with the one before.
func (f *freshVersions) note(snapshot *inventory.Snapshot, hottest []demand.Forecast, now time.Time) {
	if f.seen == nil || f.versions == nil {
		f.seen = snapshot
		f.versions = map[string]freshVersion{}
	}
	for name, fresh := range f.versions {
		if now.Sub(fresh.at) > freshLife {
			delete(f.versions, name)
		}
	}
	if f.seen.Revision() == snapshot.Revision() {
		return
	}
	for _, forecast := range hottest {
		name, _ := inventory.SplitModel(forecast.Model)
		before, known := f.seen.Adapter(name)
		after, _ := snapshot.Adapter(name)
		for _, version := range after.Versions {
			if known && !slices.Contains(before.Versions, version) {
				f.versions[name] = freshVersion{version: version, at: now}
			}
		}
	}
	f.seen = snapshot
}

// prefetch asks for a load of a model that is nowhere; it reports whether it did.
func (n *Node) prefetch(ctx context.Context, forecast demand.Forecast, now time.Time) bool {
	if dispatch.Home(forecast.Model, n.candidates(now)) != n.cfg.Host || len(n.table.RunnersWith(forecast.Model)) > 0 {
		return false
	}
	name, _ := inventory.SplitModel(forecast.Model)
	adapter, ok := n.follower.Snapshot().Adapter(name)
	if !ok {
		return false
	}
	runner, ok := n.dispatcher.PlaceAhead(ctx, forecast.Model, adapter.Base)
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

// saveDemand stores this host's estimates, so that whoever becomes home of its
// models after it need not begin from nothing.
func (n *Node) saveDemand(ctx context.Context) {
	text, err := json.Marshal(n.demand.estimator.Save(time.Now(), demandSaved))
	if err != nil || len(text) > objectapi.MaxValueBytes {
		n.log.Warn("demand not saved", "bytes", len(text), "error", err)
		return
	}
	key := demandPrefix + n.cfg.Host
	version := n.demandVersion
	version, err = n.objects.Put(ctx, key, text, version)
	if errors.Is(err, objectapi.ErrConflict) {
		// An earlier process of this host wrote it: take what it knew over first.
		version = n.restoreDemand(ctx, n.cfg.Host)
	}
	if version > 0 {
		n.demandVersion = version
	}
}

// restoreDemand takes the stored estimates of a host over.
func (n *Node) restoreDemand(ctx context.Context, host string) objectapi.Version {
	object, err := n.objects.Get(ctx, demandPrefix+host)
	if err != nil {
		return 0
	}
	var saved []demand.SavedEstimate
	if err := json.Unmarshal(object.Value, &saved); err != nil {
		n.log.Warn("stored demand not readable", "host", host, "error", err)
		return object.Version
	}
	now := time.Now()
	candidates := n.candidates(now)
	saved = slices.DeleteFunc(saved, func(item demand.SavedEstimate) bool {
		return dispatch.Home(item.Model, candidates) != n.cfg.Host
	})
	n.demand.estimator.Restore(saved, now)
	return object.Version
}

// inheritDemand takes the estimates of members over that are not candidates
// any more, as far as this host is now home of their models.
func (n *Node) inheritDemand(ctx context.Context) {
	current := n.candidates(time.Now())
	var left []string
	for _, host := range n.lastCandidates {
		if !slices.Contains(current, host) {
			left = append(left, host)
		}
	}
	changed := !slices.Equal(current, n.lastCandidates)
	n.lastCandidates = current
	for _, host := range left {
		n.restoreDemand(ctx, host)
	}
	if changed && len(left) == 0 {
		// A member came: the models it is home of now are known to others.
		n.handDemand(ctx)
	}
}

// handDemand sends the estimates of models whose home has changed to it.
func (n *Node) handDemand(ctx context.Context) {
	now := time.Now()
	candidates := n.candidates(now)
	byHome := map[string][]demand.SavedEstimate{}
	for _, item := range n.demand.estimator.Save(now, demandSaved) {
		if home := dispatch.Home(item.Model, candidates); home != "" && home != n.cfg.Host {
			byHome[home] = append(byHome[home], item)
		}
	}
	for home, items := range byHome {
		member, ok := n.members.Get(home)
		if !ok {
			continue
		}
		if err := n.call(ctx, member.Address, methodDemand, demandParams{Items: items}, nil); err != nil {
			n.log.Debug("demand not handed over", "peer", home, "error", err)
		}
	}
}

type demandParams struct {
	Items []demand.SavedEstimate `json:"items"`
}
