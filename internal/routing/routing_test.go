package routing

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/cherrystage/cherrystage/internal/fleet"
	"github.com/cherrystage/cherrystage/internal/residency"
	"github.com/shoenig/test/must"
)

func avoidNone(string) bool { return false }

func located(id string, state residency.SlotState, occupancy int) Located {
	return Located{State: state, Runner: Runner{ID: id, Live: true, Known: true, Owner: "o", Slots: 4, MaxBatch: 8, Occupancy: occupancy}}
}

var testTimes = Times{Service: 4 * time.Second, Load: time.Second}

func TestChooseByStateAndPreset(t *testing.T) {
	leaving := located("r1", residency.SlotResident, 0)
	leaving.Live = false
	for _, row := range []struct {
		name         string
		located      []Located
		weights      Weights
		action       Action
		runner       string
		needsReplica bool
	}{
		{"on no runner", nil, PresetStalls, ActionNone, "", false},
		{"only on a leaving runner", []Located{leaving}, PresetStalls, ActionNone, "", false},
		{"resident before loading", []Located{located("r1", residency.SlotLoading, 0), located("r2", residency.SlotResident, 7)}, PresetStalls, ActionSend, "r2", false},
		{"least loaded for short stalls", []Located{located("r1", residency.SlotResident, 5), located("r2", residency.SlotResident, 2)}, PresetStalls, ActionSend, "r2", false},
		{"most loaded for full batches", []Located{located("r1", residency.SlotResident, 5), located("r2", residency.SlotResident, 2)}, PresetBatches, ActionSend, "r1", false},
		{"not full before queued, also for full batches", []Located{located("r1", residency.SlotResident, 9), located("r2", residency.SlotResident, 2)}, PresetBatches, ActionSend, "r2", false},
		{"joins a pending load", []Located{located("r1", residency.SlotPending, 0)}, PresetStalls, ActionJoin, "r1", false},
		{"only replica is busy", []Located{located("r1", residency.SlotResident, 20)}, PresetStalls, ActionSend, "r1", true},
		{"another replica is loading", []Located{located("r1", residency.SlotResident, 20), located("r2", residency.SlotLoading, 0)}, PresetStalls, ActionSend, "r1", false},
		{"being evicted", []Located{located("r1", residency.SlotEvicting, 0)}, PresetStalls, ActionNone, "", false},
	} {
		t.Run(row.name, func(t *testing.T) {
			got := Choose(row.located, row.weights, testTimes, avoidNone)
			must.Eq(t, row.action, got.Action)
			must.Eq(t, row.runner, got.Runner.ID)
			must.Eq(t, row.needsReplica, got.NeedsReplica)
		})
	}
}

func TestPlaceOrdersRunnersByState(t *testing.T) {
	base := Runner{Live: true, Known: true, Owner: "o", Slots: 4, MaxBatch: 8}
	with := func(id string, change func(r *Runner)) Runner {
		r := base
		r.ID = id
		change(&r)
		return r
	}
	free := with("free", func(r *Runner) { r.Free = 1 })
	full := with("full", func(r *Runner) { r.Evictable = 2 })
	blocked := with("blocked", func(*Runner) {})
	busy := with("busy", func(r *Runner) { r.Free, r.Occupancy = 1, 30 })
	loading := with("loading", func(r *Runner) { r.Free, r.Loading = 2, 2 })
	for _, row := range []struct {
		want    string
		runners []Runner
	}{
		{"free", []Runner{full, blocked, free, busy, loading}},
		{"loading", []Runner{full, blocked, busy, loading}},
		{"full", []Runner{full, blocked, busy}},
		{"busy", []Runner{blocked, busy}},
		{"blocked", []Runner{blocked}},
	} {
		got, ok := Place("a@1", row.runners, PresetStalls, testTimes, avoidNone)
		must.True(t, ok)
		must.Eq(t, row.want, got.ID)
	}
	_, ok := Place("a@1", []Runner{free}, PresetStalls, testTimes, func(string) bool { return true })
	must.False(t, ok)
}

func TestReportOfEarlierOwnerIsIgnored(t *testing.T) {
	// An owner that was paused reports its runner's state after its successor has.
	// Routing keeps to the successor's report.
	table := NewTable()
	table.SetHosts([]fleet.Host{{ID: "r", Role: fleet.RoleRunner, State: fleet.StateLive}})
	must.True(t, table.Update(residency.View{Runner: "r", Owner: "new", Fence: 2, Models: []residency.SlotView{{Model: "a@1", State: residency.SlotResident}}}))
	must.False(t, table.Update(residency.View{Runner: "r", Owner: "old", Fence: 1}))
	must.Len(t, 1, table.RunnersWith("a@1"))
	table.SetHosts(nil)
	must.SliceEmpty(t, table.RunnersWith("a@1"))
}

// bigTable returns a table of runners with 16 slots each; model i is resident on
// runner i/16.
func bigTable(runners int) *Table {
	table := NewTable()
	var hosts []fleet.Host
	for i := range runners {
		hosts = append(hosts, fleet.Host{ID: fmt.Sprintf("runner-%04d", i), Role: fleet.RoleRunner, State: fleet.StateLive, Base: "base"})
	}
	table.SetHosts(hosts)
	for i, host := range hosts {
		table.Update(viewOf(host.ID, i))
	}
	return table
}

func viewOf(id string, index int) residency.View {
	view := residency.View{Runner: id, Owner: "entry-1", Fence: 3, Slots: 16, MaxBatch: 64, Running: 20 + index%8, Evictable: 1}
	for slot := range 16 {
		view.Models = append(view.Models, residency.SlotView{Model: fmt.Sprintf("adapter-%06d@1", index*16+slot), State: residency.SlotResident})
	}
	return view
}

func BenchmarkDecide(b *testing.B) {
	for _, runners := range []int{12, 530} {
		b.Run(fmt.Sprintf("resident/%d-runners", runners), func(b *testing.B) {
			table := bigTable(runners)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				Choose(table.RunnersWith("adapter-000017@1"), PresetStalls, testTimes, avoidNone)
			}
		})
		b.Run(fmt.Sprintf("cold/%d-runners", runners), func(b *testing.B) {
			table := bigTable(runners)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				Place("adapter-139999@1", table.All("base"), PresetStalls, testTimes, avoidNone)
			}
		})
	}
}

func BenchmarkUpdate(b *testing.B) {
	table := bigTable(530)
	view := viewOf("runner-0007", 7)
	text, _ := json.Marshal(view)
	b.ReportMetric(float64(len(text)), "bytes/view")
	for i := 0; b.Loop(); i++ {
		view.Running = i % 64
		table.Update(view)
	}
}
