package placing

import (
	"testing"

	"github.com/shoenig/test/must"
)

func TestLimits(t *testing.T) {
	for _, test := range []struct {
		name  string
		slots int
		share float64
		want  Limits
	}{
		{"quiet: no copies while runners are nine tenths full", 64, 0.1, Limits{NotLoaded: 58, Loaded: 72, Max: 80}},
		{"busy: a runner may be half as busy again as the mean", 64, 0.65, Limits{NotLoaded: 63, Loaded: 72, Max: 80}},
		{"full: no runner is better than another", 64, 1.2, Limits{NotLoaded: 64, Loaded: 72, Max: 80}},
		{"few slots", 12, 0.1, Limits{NotLoaded: 11, Loaded: 13, Max: 15}},
		{"one slot", 1, 0, Limits{NotLoaded: 1, Loaded: 1, Max: 2}},
	} {
		t.Run(test.name, func(t *testing.T) { must.Eq(t, test.want, LimitsFor(test.slots, test.share)) })
	}
}

func TestPlain(t *testing.T) {
	small := func(id string, load int, near bool) Candidate {
		return Candidate{ID: id, Load: load, Slots: 6, Local: near}
	}
	must.Eq(t, 1, LeastLoaded([]Candidate{small("a", 3, true), small("b", 1, false)}))
	must.Eq(t, 1, LeastLoaded([]Candidate{small("a", 1, false), small("b", 1, true)}))
	must.Eq(t, -1, LeastLoaded([]Candidate{small("a", 7, true), small("b", 8, true)}))
	must.Eq(t, -1, LeastLoaded(nil))
	suspect := small("a", 0, true)
	suspect.Suspect = true
	must.Eq(t, 1, LeastLoaded([]Candidate{suspect, small("b", 6, false)}))
	must.Eq(t, 0, LeastLoaded([]Candidate{suspect}), must.Sprint("a suspect is better than a refusal"))
}
