package placing

import (
	"testing"

	"github.com/shoenig/test/must"
)

func runner(id string, load int) Candidate {
	return Candidate{ID: id, Load: load, Slots: 64, Loadable: true}
}

func TestAdapter(t *testing.T) {
	resident := func(c Candidate) Candidate { c.Resident = true; return c }
	suspect := func(c Candidate) Candidate { c.Suspect = true; return c }
	orphan := func(c Candidate) Candidate { c.Loadable = false; return c }
	for _, test := range []struct {
		name       string
		candidates []Candidate
		want       Choice
	}{
		{"nobody", nil, None},
		{"cold: the adapter's first runner loads it", []Candidate{runner("a", 0), runner("b", 0)}, Choice{0, true}},
		{"resident on a later runner: no second copy", []Candidate{runner("a", 0), resident(runner("b", 5))}, Choice{1, false}},
		{"hot: its runner is far busier than the others", []Candidate{resident(runner("a", 60)), runner("b", 10), runner("c", 10)}, Choice{1, true}},
		{"all busy alike: no copy helps", []Candidate{resident(runner("a", 60)), runner("b", 60), runner("c", 60)}, Choice{0, false}},
		{"suspect runners come last", []Candidate{suspect(resident(runner("a", 0))), runner("b", 0)}, Choice{1, true}},
		{"a suspect is better than a refusal", []Candidate{suspect(resident(runner("a", 0)))}, Choice{0, false}},
		{"nobody gives the first its orders", []Candidate{orphan(runner("a", 0)), runner("b", 0)}, Choice{1, true}},
		{"resident without an owner still serves", []Candidate{orphan(resident(runner("a", 0)))}, Choice{0, false}},
		{"all full", []Candidate{resident(runner("a", 80)), runner("b", 80)}, None},
	} {
		t.Run(test.name, func(t *testing.T) {
			must.Eq(t, test.want, Adapter(test.candidates))
		})
	}
}

func TestPlain(t *testing.T) {
	small := func(id string, load int, near bool) Candidate {
		return Candidate{ID: id, Load: load, Slots: 6, Near: near}
	}
	must.Eq(t, Choice{Index: 1}, Plain([]Candidate{small("a", 3, true), small("b", 1, false)}))
	must.Eq(t, Choice{Index: 1}, Plain([]Candidate{small("a", 1, false), small("b", 1, true)}))
	must.Eq(t, None, Plain([]Candidate{small("a", 7, true), small("b", 8, true)}))
	must.Eq(t, None, Plain(nil))
	suspect := small("a", 0, true)
	suspect.Suspect = true
	must.Eq(t, Choice{Index: 1}, Plain([]Candidate{suspect, small("b", 6, false)}))
	must.Eq(t, Choice{Index: 0}, Plain([]Candidate{suspect}))
}
