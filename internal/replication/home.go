package replication

import (
	"cmp"
	"slices"
	"time"
)

const (
	// MaxKeys bounds the adapters that are counted for one runner.
	MaxKeys = 1024
	// maxHolders bounds the replicas that one home knows, over all adapters.
	maxHolders = 4096
	// MinReportedPerSecond is the demand from which an owner reports an adapter to its home.
	MinReportedPerSecond = 2
	// reportTTL is how long a report counts. Reports come once a second, and one may be lost.
	reportTTL = 2500 * time.Millisecond
	// holderTTL is how long a replica counts that no request and no report has confirmed. A runner
	// evicts an adapter without saying so.
	holderTTL = 5 * time.Second
	// refusalTTL is how long a runner that refused a replica is not asked again for it.
	refusalTTL = time.Second
	// maxRefusals is the number of refusals in a row after which an adapter whose demand does not
	// grow gets no plan for refusalTTL: the runners have no room for it.
	maxRefusals = 6
	// maxConcurrentLoads bounds the replicas of all adapters of one home that are being loaded.
	maxConcurrentLoads = 8
)

// Home holds what the home of some adapters knows of their demand and replicas. It is not safe
// for concurrent use.
type Home[K Key] struct {
	asks    *Estimator[K]
	entries map[K]*homeEntry
	holders int
	// changed holds the adapters whose demand may have grown since the last plan.
	changed map[K]struct{}
}

// homeEntry is what is known of one adapter's replicas, except the one at home.
type homeEntry struct {
	holders map[string]*holder
	// refusedUntil holds the runners that refused a replica.
	refusedUntil map[string]time.Time
	// refusals counts the refusals since a replica was last accepted.
	refusals    int
	pausedUntil time.Time
	usedAt      time.Time
	// planned is the number of replicas, the home's included, of the last plan.
	planned int
}

// holder is a runner that holds or loads an adapter.
type holder struct {
	readyAt     time.Time
	confirmedAt time.Time
	// announced is set once the runner is named to requests.
	announced  bool
	rate       Rate
	reportedAt time.Time
}

// NewHome returns a home that knows nothing.
func NewHome[K Key]() *Home[K] {
	return &Home[K]{asks: NewEstimator[K](MaxKeys), entries: map[K]*homeEntry{}, changed: map[K]struct{}{}}
}

// Asked counts a request that asked the home first.
func (h *Home[K]) Asked(key K, sample Sample, now time.Time) {
	h.asks.Add(key, sample, now)
	h.change(key)
}

func (h *Home[K]) change(key K) {
	if len(h.changed) < MaxKeys {
		h.changed[key] = struct{}{}
	}
}

func (h *Home[K]) entry(key K, now time.Time) *homeEntry {
	known := h.entries[key]
	if known == nil {
		if len(h.entries) >= MaxKeys {
			h.dropOldest()
		}
		known = &homeEntry{holders: map[string]*holder{}, refusedUntil: map[string]time.Time{}}
		h.entries[key] = known
	}
	known.usedAt = now
	return known
}

// dropOldest drops the adapter that was used least recently.
func (h *Home[K]) dropOldest() {
	var oldest K
	var found *homeEntry
	for key, known := range h.entries {
		if found == nil || known.usedAt.Before(found.usedAt) {
			oldest, found = key, known
		}
	}
	if found != nil {
		h.holders -= len(found.holders)
		delete(h.entries, oldest)
	}
}

func (h *Home[K]) holder(key K, runner string, now time.Time) *holder {
	known := h.entry(key, now)
	if found := known.holders[runner]; found != nil {
		return found
	}
	for h.holders >= maxHolders && len(h.entries) > 1 {
		h.dropOldest()
	}
	found := &holder{readyAt: now}
	if h.holders < maxHolders && h.entries[key] == known {
		known.holders[runner] = found
		h.holders++
	}
	return found
}

// Confirmed records that a runner holds an adapter.
func (h *Home[K]) Confirmed(key K, runner string, now time.Time) {
	found := h.holder(key, runner, now)
	found.confirmedAt = now
	found.announced = true
}

// Reported records the demand that a runner's owner reported.
func (h *Home[K]) Reported(key K, runner string, rate Rate, now time.Time) {
	found := h.holder(key, runner, now)
	found.confirmedAt, found.reportedAt, found.rate = now, now, rate
	found.announced = true
	h.change(key)
}

// Requested records that a runner was asked for a replica, so that the next plan does not ask for
// it as well. It counts as being loaded until readyAt.
func (h *Home[K]) Requested(key K, runner string, readyAt, now time.Time) {
	found := h.holder(key, runner, now)
	if now.Sub(found.confirmedAt) > holderTTL {
		// It held the adapter earlier, and requests no longer go there.
		found.announced = false
	}
	found.readyAt, found.confirmedAt = readyAt, laterOf(now, readyAt)
	h.change(key)
}

// Accepted records that a runner accepted a replica, which will be ready at a time.
func (h *Home[K]) Accepted(key K, runner string, readyAt, now time.Time) {
	h.Requested(key, runner, readyAt, now)
	h.entry(key, now).refusals = 0
}

// Refused records that a runner refused a replica.
func (h *Home[K]) Refused(key K, runner string, now time.Time) {
	known := h.entry(key, now)
	for other, until := range known.refusedUntil {
		if now.After(until) {
			delete(known.refusedUntil, other)
		}
	}
	known.refusedUntil[runner] = now.Add(refusalTTL)
	if known.refusals++; known.refusals >= maxRefusals {
		known.refusals = 0
		known.pausedUntil = now.Add(refusalTTL)
	}
	if found := known.holders[runner]; found != nil && !found.announced {
		delete(known.holders, runner)
		h.holders--
	}
	h.change(key)
}

// RemoveRunner drops a runner whose lifetime has ended.
func (h *Home[K]) RemoveRunner(runner string) {
	for key, known := range h.entries {
		delete(known.refusedUntil, runner)
		if known.holders[runner] == nil {
			continue
		}
		delete(known.holders, runner)
		h.holders--
		h.change(key)
	}
}

// TakeReady returns the replicas that became ready since the last call and that requests were not
// told of.
func (h *Home[K]) TakeReady(key K, now time.Time) []string {
	known := h.entries[key]
	if known == nil {
		return nil
	}
	var ready []string
	for runner, found := range known.holders {
		if !found.announced && !now.Before(found.readyAt) {
			found.announced = true
			ready = append(ready, runner)
		}
	}
	slices.Sort(ready)
	return ready
}

// LoadingRunners returns up to limit runners that are loading an adapter, the one that is ready
// first before the others.
func (h *Home[K]) LoadingRunners(key K, limit int, now time.Time) []string {
	known := h.entries[key]
	if known == nil {
		return nil
	}
	var loading []string
	for runner, found := range known.holders {
		if now.Before(found.readyAt) {
			loading = append(loading, runner)
		}
	}
	slices.SortFunc(loading, func(a, b string) int {
		return cmp.Or(known.holders[a].readyAt.Compare(known.holders[b].readyAt), cmp.Compare(a, b))
	})
	return loading[:min(limit, len(loading))]
}

// Situation is what a home knows besides the demand.
type Situation[K Key] struct {
	// Runner is the home's runner.
	Runner   string
	Capacity Capacity
	// Own returns the demand that the home's runner admitted, and whether it holds the adapter.
	Own func(key K) (rate Rate, held bool)
	// StoreRoom is the number of fetches that may be added without saturating the weight store.
	StoreRoom int
}

// Plan tells which replicas an adapter lacks.
type Plan[K Key] struct {
	Key K
	// Demand is the demand that the plan serves, Growing whether it grows.
	Demand  Rate
	Growing bool
	// Needed and Held are numbers of replicas, Held includes those that are being loaded. Missing
	// is how many to load now.
	Needed, Held, Loading, Missing int
	// PerReplica is the demand per second that one of the needed replicas gets.
	PerReplica float64
	// paused is set while the runners refuse replicas of the adapter.
	paused bool
	// unavailable holds the runners that hold the adapter or refused it.
	unavailable map[string]bool
}

// Unavailable reports whether a runner holds the adapter already or refused it.
func (p Plan[K]) Unavailable(runner string) bool { return p.unavailable[runner] }

// Plans returns the adapters that lack replicas, those with the most demand first.
func (h *Home[K]) Plans(situation Situation[K], now time.Time) []Plan[K] {
	var plans []Plan[K]
	for key := range h.changed {
		if plan := h.plan(key, situation, now); plan.Needed > plan.Held {
			plans = append(plans, plan)
		}
	}
	clear(h.changed)
	if len(plans) == 0 {
		return nil
	}
	slices.SortFunc(plans, func(a, b Plan[K]) int {
		return orderByDemand(a.Demand.PerSecond, b.Demand.PerSecond, a.Key, b.Key)
	})
	room := min(situation.StoreRoom, maxConcurrentLoads-h.loading(now))
	for i := range plans {
		if !plans[i].paused {
			plans[i].Missing = max(0, min(room, plans[i].Needed-plans[i].Held))
		}
		room -= plans[i].Missing
		// The next plan goes on, without waiting for another request.
		h.change(plans[i].Key)
	}
	return plans
}

// loading returns the number of replicas that are being loaded.
func (h *Home[K]) loading(now time.Time) int {
	count := 0
	for _, known := range h.entries {
		for _, found := range known.holders {
			if now.Before(found.readyAt) {
				count++
			}
		}
	}
	return count
}

func (h *Home[K]) plan(key K, situation Situation[K], now time.Time) Plan[K] {
	plan := Plan[K]{Key: key, unavailable: map[string]bool{}}
	own, held := situation.Own(key)
	if held {
		plan.Held++
		plan.unavailable[situation.Runner] = true
	}
	served := own
	if known := h.entries[key]; known != nil {
		served = served.plus(plan.addHolders(known, now))
	}
	growth := h.asks.Growth(key, now)
	plan.Growing = growth.Growing
	if known := h.entries[key]; known != nil {
		plan.paused = !growth.Growing && now.Before(known.pausedUntil)
	}
	// A request that the home refuses is admitted by another replica and reported from there, so
	// the two are not added.
	plan.Demand = h.asks.Rate(key, now).scaledTo(growth.PerSecond)
	if served.PerSecond > plan.Demand.PerSecond {
		plan.Demand = served
	}
	plan.Needed = Needed(plan.Demand, situation.Capacity)
	if growth.Growing && growth.RefusedShare >= starvedShare && plan.Loading == 0 {
		plan.Needed = neededWhileStarved(plan.Needed, plan.Held)
	}
	plan.PerReplica = plan.Demand.PerSecond / float64(plan.Needed)
	if known := h.entries[key]; known != nil {
		known.planned = plan.Needed
	}
	return plan
}

// addHolders counts the runners that hold or load the adapter and returns the demand that they
// reported.
func (p *Plan[K]) addHolders(known *homeEntry, now time.Time) Rate {
	var served Rate
	for runner, found := range known.holders {
		if now.Sub(found.confirmedAt) > holderTTL {
			continue
		}
		p.Held++
		p.unavailable[runner] = true
		if now.Before(found.readyAt) {
			p.Loading++
		}
		if now.Sub(found.reportedAt) <= reportTTL {
			served = served.plus(found.rate)
		}
	}
	for runner, until := range known.refusedUntil {
		if now.Before(until) {
			p.unavailable[runner] = true
		}
	}
	return served
}

// Hot is an adapter with its demand and replicas as its home knows them.
type Hot[K Key] struct {
	Key K
	Rate
	// Replicas are the runners besides the home's, Planned is the number of the last plan.
	Replicas []string
	Planned  int
}

// Hottest returns up to limit adapters with the most demand at this home.
func (h *Home[K]) Hottest(limit int, now time.Time) []Hot[K] {
	var hottest []Hot[K]
	for _, demand := range h.asks.Most(limit, MinReportedPerSecond, now) {
		hot := Hot[K]{Key: demand.Key, Rate: demand.Rate}
		if known := h.entries[demand.Key]; known != nil {
			hot.Planned = known.planned
			for runner, found := range known.holders {
				if now.Sub(found.confirmedAt) <= holderTTL {
					hot.Replicas = append(hot.Replicas, runner)
				}
			}
		}
		slices.Sort(hot.Replicas)
		hottest = append(hottest, hot)
	}
	return hottest
}

// Size returns the numbers of adapters and of replicas that are known.
func (h *Home[K]) Size() (adapters, replicas int) { return len(h.entries), h.holders }

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
