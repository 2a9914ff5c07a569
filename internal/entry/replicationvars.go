package entry

import (
	"expvar"
	"sync/atomic"

	"github.com/cherrystage/cherrystage/internal/adapters"
)

// maxHotAdapters is the number of adapters on the metrics page.
const maxHotAdapters = 20

// hotAdapter is an adapter with much demand, as shown on the metrics page.
type hotAdapter struct {
	Adapter string `json:"adapter"`
	Version int64  `json:"version,omitempty"`
	Home    string `json:"home"`
	// PerSecond counts requests that asked the home, RefusedPerSecond those of them that it refused
	// as busy.
	PerSecond        float64 `json:"per_s"`
	RefusedPerSecond float64 `json:"refused_per_s"`
	TokensPerSecond  float64 `json:"tokens_per_s"`
	// Running is the number of request slots that the demand keeps busy.
	Running float64 `json:"running"`
	// Planned is the number of replicas of the last plan, Replicas are the runners besides the home's
	// that hold the adapter.
	Planned  int      `json:"planned"`
	Replicas []string `json:"replicas"`
}

func hotAdapters(owner *adapters.Owner) []hotAdapter {
	shown := []hotAdapter{}
	for _, hot := range owner.Hottest(maxHotAdapters) {
		shown = append(shown, hotAdapter{
			Adapter: hot.Key.String(), Version: hot.Key.Version, Home: hot.Home,
			PerSecond: rounded(hot.PerSecond), RefusedPerSecond: rounded(hot.RefusedPerSecond),
			TokensPerSecond: rounded(hot.TokensPerSecond), Running: rounded(hot.Running),
			Planned: hot.Planned, Replicas: hot.Replicas,
		})
	}
	return shown
}

// replicationVars adds the metrics of replicas to the metrics page.
func replicationVars(vars *expvar.Map, owner *adapters.Owner) {
	counters := owner.Replication()
	for name, counter := range map[string]*atomic.Int64{
		"replicas_planned":        &counters.Planned,
		"replicas_loaded":         &counters.Loaded,
		"replicas_refused":        &counters.Refused,
		"replicas_unreachable":    &counters.Unreachable,
		"adapters_recovered":      &counters.Recovered,
		"adapters_evicted":        &counters.Evicted,
		"adapters_evicted_wanted": &counters.EvictedWanted,
	} {
		vars.Set(name, expvar.Func(func() any { return counter.Load() }))
	}
	vars.Set("hot_adapters", expvar.Func(func() any { return hotAdapters(owner) }))
}
