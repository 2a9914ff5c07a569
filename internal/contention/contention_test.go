package contention

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"

	"github.com/cherrystage/cherrystage/internal/site"
	"github.com/shoenig/test/must"
)

// Guards against counters that run away or lose requests: a request counts as waiting for one cause
// at a time, and as nothing but its outcome once it has ended.
func TestCountersFollowARequest(t *testing.T) {
	c := NewCounters()
	r := c.Begin(site.Precedence{Workspace: 1, Route: 2}, "w")
	key := RequestKey{WorkspacePriority: 1, RoutePriority: 2, Workspace: "w"}
	load, slot := key, key
	load.Cause, slot.Cause = CauseLoad, CauseSlot
	r.Defer(CauseLoad)
	must.Eq(t, []Requests{{RequestKey: key, Open: 1}, {RequestKey: load, Deferred: 1}}, c.Requests())
	r.Defer(CauseSlot)
	must.Eq(t, []Requests{{RequestKey: key, Open: 1}, {RequestKey: slot, Deferred: 1}}, c.Requests())
	r.EndRefused(CauseSlot)
	must.Eq(t, []Requests{{RequestKey: key}, {RequestKey: slot, Refused: 1}}, c.Requests())
	other := c.Begin(site.Precedence{Workspace: 1, Route: 2}, "w")
	other.Defer(CauseLoad)
	other.Resume()
	other.EndServed()
	must.Eq(t, []Requests{{RequestKey: key, Served: 1}, {RequestKey: slot, Refused: 1}}, c.Requests())
	var none *Counters
	none.Begin(site.Precedence{}, "").Defer(CauseLoad)
	must.SliceEmpty(t, none.Requests())
}

// Guards against a host whose memory or metrics page grows with the names of workspaces and the
// words of other hosts, and against requests that are lost beyond the bound.
func TestCountersAreBounded(t *testing.T) {
	c := NewCounters()
	const requests = 20_000
	var writers sync.WaitGroup
	for w := range 4 {
		writers.Go(func() {
			for i := range requests / 4 {
				precedence := site.Precedence{Workspace: i % 500, Route: w}
				c.Begin(precedence, fmt.Sprintf("w%d", i)).EndRefused(fmt.Sprintf("%d %s", i, strings.Repeat("x", 2*maxCauseBytes)))
			}
		})
	}
	writers.Wait()
	counted, open := int64(0), int64(0)
	all := c.Requests()
	for _, one := range all {
		counted += one.Refused
		open += one.Open
		must.LessEq(t, maxCauseBytes, len(one.Cause))
	}
	must.Eq(t, requests, counted)
	must.Eq(t, 0, open)
	must.LessEq(t, counterShards*(2*maxGroups+1)*(maxCauses+2), len(all))
	encoded, err := json.Marshal(Sources{}.Page(c))
	must.NoError(t, err)
	must.Less(t, 4<<20, len(encoded), must.Sprint("readers take no larger page"))
}

// Guards against sums that hide a host or count a runner twice: requests and demand are added up,
// and a runner that two hosts list while it changes hands is that of the later announcement.
func TestMerge(t *testing.T) {
	key := RequestKey{RoutePriority: 1, Workspace: "w"}
	waits := key
	waits.Cause = CauseLoad
	fleet := Merge([]HostPage{
		{Host: "h1", Page: Page{
			Requests:  []Requests{{RequestKey: key, Open: 2, Served: 5}, {RequestKey: waits, Deferred: 1}},
			Adapters:  []Adapter{{Adapter: "base/a1", PerS: 4, Replicas: []string{"r1"}}, {Adapter: "base/a2", PerS: 5}},
			Evictions: map[string]int64{"load": 2},
			Runners:   []Runner{{Runner: "r1", TokensPerMS: 40}, {Runner: "r2", TokensPerMS: 40, WorkPercent: 100, WorkAgeMS: 900}},
			Slots:     []SlotLedger{{Service: "api", Slots: 6, Granted: 4, Queued: 1, LongestWaitMS: 30, Grants: 10}},
		}},
		{Host: "h2", Page: Page{
			Requests:  []Requests{{RequestKey: key, Open: 1, Failed: 1}, {RequestKey: waits, Deferred: 2, Refused: 3}},
			Adapters:  []Adapter{{Adapter: "base/a1", PerS: 3, RefusedPerS: 1, Replicas: []string{"r2", "r1"}, Planned: 3}},
			Evictions: map[string]int64{"load": 1, "demand": 1},
			Runners:   []Runner{{Runner: "r2", TokensPerMS: 40, WorkPercent: 250, WorkAgeMS: 10}, {Runner: "r3", TokensPerMS: 20}},
			Slots:     []SlotLedger{{Service: "other", Slots: 2, Granted: 2, LongestWaitMS: 50, Grants: 1, Expired: 1}},
		}},
	})
	must.Eq(t, 2, fleet.Hosts)
	must.Eq(t, []Requests{{RequestKey: waits, Deferred: 3, Refused: 3}, {RequestKey: key, Open: 3, Served: 5, Failed: 1}}, fleet.Requests)
	must.Eq(t, Requests{Open: 3, Served: 5, Failed: 1, Deferred: 3, Refused: 3}, fleet.Totals)
	must.Eq(t, []Adapter{{Adapter: "base/a1", PerS: 7, RefusedPerS: 1, Replicas: []string{"r1", "r2"}, Planned: 3}, {Adapter: "base/a2", PerS: 5}}, fleet.Adapters)
	must.Eq(t, map[string]int64{"load": 3, "demand": 1}, fleet.Evictions)
	must.Len(t, 3, fleet.Runners)
	must.Eq(t, "r2", fleet.Runners[0].Runner.Runner)
	must.Eq(t, "h2", fleet.Runners[0].Host)
	must.Eq(t, 2.5, fleet.Runners[0].Slowness)
	must.Eq(t, 2, fleet.Runners[1].Slowness)
	must.True(t, fleet.Runners[1].Slow())
	must.False(t, fleet.Runners[2].Slow())
	must.Eq(t, SlotLedger{Slots: 8, Granted: 6, Queued: 1, LongestWaitMS: 50, Grants: 11, Expired: 1}, fleet.SlotTotals)
	must.Len(t, 2, fleet.Slots)
}

// Guards against a part of the page that a package fills but the page drops.
func TestPageTakesAllSources(t *testing.T) {
	sources := Sources{
		Adapters:  func() []Adapter { return []Adapter{{Adapter: "base/a1"}} },
		Evictions: func() map[string]int64 { return map[string]int64{"load": 1} },
		Runners:   func() []Runner { return []Runner{{Runner: "r1"}} },
		Slots:     func() []SlotLedger { return []SlotLedger{{Service: "api"}} },
	}
	page := sources.Page(nil)
	must.Len(t, 1, page.Adapters)
	must.MapLen(t, 1, page.Evictions)
	must.Len(t, 1, page.Runners)
	must.Len(t, 1, page.Slots)
	encoded, err := json.Marshal(Sources{}.Page(NewCounters()))
	must.NoError(t, err)
	must.Eq(t, "{}", string(encoded))
}
