package entry

import (
	"expvar"
	"sync/atomic"

	"github.com/cherrystage/cherrystage/internal/adapters"
)

// replicationVars adds the metrics of replicas to the metrics page.
func replicationVars(vars *expvar.Map, owner *adapters.Owner) {
	counters := owner.Replication()
	for name, counter := range map[string]*atomic.Int64{
		"replicas_planned":        &counters.Planned,
		"replicas_loaded":         &counters.Loaded,
		"replicas_refused":        &counters.Refused,
		"replicas_unreachable":    &counters.Unreachable,
		"adapters_recovered":      &counters.Recovered,
		"adapters_evicted_wanted": &counters.EvictedWanted,
	} {
		vars.Set(name, expvar.Func(func() any { return counter.Load() }))
	}
}
