package residency_test

import (
	"testing"

	"github.com/cherrystage/cherrystage/internal/residency"
	"github.com/shoenig/test/must"
)

func TestViewChangesSentToPeers(t *testing.T) {
	base := residency.View{
		Runner: "r", Owner: "e", Fence: 2, Slots: 4, MaxBatch: 64, Running: 17, Evictable: 2,
		Models: []residency.SlotView{{Model: "a@1", State: residency.SlotResident, Running: 17}},
	}
	for _, row := range []struct {
		name   string
		change func(v *residency.View)
		same   bool
	}{
		{"a little more load", func(v *residency.View) { v.Running = 23 }, true},
		{"an eighth of the batch more", func(v *residency.View) { v.Running = 25 }, false},
		{"another number of models to evict", func(v *residency.View) { v.Evictable = 1 }, true},
		{"nothing to evict any more", func(v *residency.View) { v.Evictable = 0 }, false},
		{"another owner", func(v *residency.View) { v.Fence = 3 }, false},
		{"a restart", func(v *residency.View) { v.Boot = "2" }, false},
		{"another model", func(v *residency.View) { v.Models = nil }, false},
		{"another state", func(v *residency.View) {
			v.Models = []residency.SlotView{{Model: "a@1", State: residency.SlotEvicting}}
		}, false},
		{"another pending load", func(v *residency.View) { v.Wanted = []string{"b@1"} }, false},
	} {
		t.Run(row.name, func(t *testing.T) {
			changed := base
			row.change(&changed)
			must.Eq(t, row.same, changed.EquivalentForPeers(base))
		})
	}
}
