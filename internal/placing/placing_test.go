package placing

import (
	"testing"

	"github.com/shoenig/test/must"
)

func TestLimitsForSlotsAndUtilization(t *testing.T) {
	for _, test := range []struct {
		name        string
		slots       int
		utilization float64
		want        Limits
	}{
		{"quiet: no copies while runners are nine tenths full", 64, 0.1, Limits{NotLoaded: 58, Loaded: 72, Max: 80}},
		{"busy: a runner may be half as busy again as the mean", 64, 0.65, Limits{NotLoaded: 63, Loaded: 72, Max: 80}},
		{"full: no runner is better than another", 64, 1.2, Limits{NotLoaded: 64, Loaded: 72, Max: 80}},
		{"few slots", 12, 0.1, Limits{NotLoaded: 11, Loaded: 13, Max: 15}},
		{"one slot", 1, 0, Limits{NotLoaded: 1, Loaded: 1, Max: 2}},
	} {
		t.Run(test.name, func(t *testing.T) { must.Eq(t, test.want, LimitsFor(test.slots, test.utilization)) })
	}
}

func TestLeastLoaded(t *testing.T) {
	candidate := func(id string, load int, local bool) Candidate {
		return Candidate{ID: id, Load: load, Slots: 6, Local: local}
	}
	must.Eq(t, 1, LeastLoaded([]Candidate{candidate("a", 3, true), candidate("b", 1, false)}))
	must.Eq(t, 1, LeastLoaded([]Candidate{candidate("a", 1, false), candidate("b", 1, true)}))
	must.Eq(t, -1, LeastLoaded([]Candidate{candidate("a", 7, true), candidate("b", 8, true)}))
	must.Eq(t, -1, LeastLoaded(nil))
	suspect := candidate("a", 0, true)
	suspect.Suspect = true
	must.Eq(t, 1, LeastLoaded([]Candidate{suspect, candidate("b", 6, false)}))
	must.Eq(t, 0, LeastLoaded([]Candidate{suspect}), must.Sprint("a suspect is better than a refusal"))
}
