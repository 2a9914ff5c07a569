package residency_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/cherrystage/cherrystage/internal/engine"
	"github.com/cherrystage/cherrystage/internal/residency"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// TestMain fixes the seed, so that the result is reproducible.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "20000")
	_ = flag.Set("rapid.steps", "50")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// machine is the state machine of the property tests. It drives one runner,
// its successive owners and two holders, with messages that may be delayed,
// lost or reordered, and checks after each step that no model with a request
// in flight was evicted.
type machine struct {
	now            time.Time
	record         residency.Record
	owner          *residency.Runner
	previousOwners []*residency.Runner
	holders        []*residency.Holder
	// loaded and running are the engine's actual state.
	loaded  map[string]bool
	running map[string]int
	// grants, recalls and returns are messages in flight.
	grants    []inFlight[residency.Pin]
	recalls   []inFlight[residency.Pin]
	returns   []inFlight[residency.PinReturn]
	uses      []use
	violation string
	boot      int
}

type inFlight[T any] struct {
	holder int
	value  T
}

type use struct {
	holder int
	model  string
}

var models = []string{"a@1", "b@1"}

const slots = 2

func holderName(i int) string { return fmt.Sprintf("h%d", i) }

func newMachine() *machine {
	m := &machine{now: time.Unix(0, 0), record: residency.Record{Runner: "r"}, loaded: map[string]bool{}, running: map[string]int{}}
	for range 2 {
		m.holders = append(m.holders, residency.NewHolder())
	}
	m.takeOver()
	return m
}

func (m *machine) takeOver() {
	if m.owner != nil {
		m.previousOwners = append(m.previousOwners, m.owner)
	}
	m.record, _ = m.record.TakeOver("owner", fmt.Sprint(m.record.Fence), true)
	m.owner = residency.NewRunner("r", true)
	m.owner.TakeOver(m.record, []string{holderName(0), holderName(1)})
	m.report()
	m.owner.EnableGrants()
}

func (m *machine) report() {
	m.now = m.now.Add(10 * time.Second)
	report := engine.Report{BootID: fmt.Sprint(m.boot), Slots: slots, MaxBatch: 4}
	for _, model := range models {
		if m.loaded[model] {
			report.Resident = append(report.Resident, engine.ResidentModel{Model: model, Running: m.running[model]})
			report.Running += m.running[model]
		}
	}
	m.owner.ApplyReport(report, m.now)
	m.now = m.now.Add(10 * time.Second)
}

func removeOne[T any](t *rapid.T, from *[]T, label string) T {
	at := rapid.IntRange(0, len(*from)-1).Draw(t, label)
	chosen := (*from)[at]
	*from = append((*from)[:at], (*from)[at+1:]...)
	return chosen
}

func (m *machine) steps() map[string]func(*rapid.T) {
	model := rapid.SampledFrom(models)
	holder := rapid.IntRange(0, 1)
	return map[string]func(*rapid.T){
		"load": func(t *rapid.T) {
			name := model.Draw(t, "model")
			if len(m.loaded) < slots && m.owner.BeginLoad(name, m.now) {
				m.loaded[name] = true
				m.owner.LoadSucceeded(name, m.now)
			}
		},
		"grant": func(t *rapid.T) {
			h := holder.Draw(t, "holder")
			owner := m.anyOwner(t)
			if pin, err := owner.Grant(holderName(h), "1", model.Draw(t, "model"), m.now); err == nil {
				m.grants = append(m.grants, inFlight[residency.Pin]{h, pin})
			}
		},
		"grant arrives": func(t *rapid.T) {
			if len(m.grants) > 0 {
				got := removeOne(t, &m.grants, "grant")
				m.holders[got.holder].AcceptGrant(got.value, m.now)
			}
		},
		"use begins": func(t *rapid.T) {
			h, name := holder.Draw(t, "holder"), model.Draw(t, "model")
			if m.holders[h].BeginUse("r", name) {
				m.uses = append(m.uses, use{h, name})
				if m.loaded[name] {
					m.running[name]++
				}
			}
		},
		"use ends": func(t *rapid.T) {
			if len(m.uses) == 0 {
				return
			}
			ended := removeOne(t, &m.uses, "use")
			m.running[ended.model]--
			if ret, due := m.holders[ended.holder].EndUse("r", ended.model, true, m.now); due {
				m.returns = append(m.returns, inFlight[residency.PinReturn]{ended.holder, ret})
			}
		},
		"recall": func(t *rapid.T) {
			held, _ := m.anyOwner(t).BeginRecall(model.Draw(t, "model"))
			for _, out := range held {
				h := 0
				if out.Holder == holderName(1) {
					h = 1
				}
				m.recalls = append(m.recalls, inFlight[residency.Pin]{h, out.Pin})
			}
		},
		"recall arrives": func(t *rapid.T) {
			if len(m.recalls) == 0 {
				return
			}
			got := removeOne(t, &m.recalls, "recall")
			if ret, back := m.holders[got.holder].Recall(got.value); back {
				m.returns = append(m.returns, inFlight[residency.PinReturn]{got.holder, ret})
			}
		},
		"return arrives": func(t *rapid.T) {
			if len(m.returns) > 0 {
				got := removeOne(t, &m.returns, "return")
				m.owner.AcceptReturn(holderName(got.holder), got.value, m.now)
				for _, former := range m.previousOwners {
					former.AcceptReturn(holderName(got.holder), got.value, m.now)
				}
			}
		},
		"message lost": func(t *rapid.T) {
			if len(m.grants) > 0 {
				removeOne(t, &m.grants, "grant")
			}
		},
		"idle pins go back": func(t *rapid.T) {
			h := holder.Draw(t, "holder")
			for _, ret := range m.holders[h].ReturnIdle(m.now.Add(time.Hour)) {
				m.returns = append(m.returns, inFlight[residency.PinReturn]{h, ret})
			}
		},
		"recall called off": func(t *rapid.T) { m.owner.CancelRecall(model.Draw(t, "model")) },
		"evict":             func(t *rapid.T) { m.evict(m.owner, model.Draw(t, "model")) },
		"holder heard": func(t *rapid.T) {
			h := holder.Draw(t, "holder")
			if pins, complete := m.holders[h].ListPins("r", m.record.Fence); complete {
				m.owner.AddReportedPins(holderName(h), "1", pins, m.now)
			}
		},
		"report":    func(*rapid.T) { m.report() },
		"take over": func(*rapid.T) { m.takeOver() },
		"": func(t *rapid.T) {
			if m.violation != "" {
				t.Fatal(m.violation)
			}
		},
	}
}

// restartEngine simulates a cold restart: the engine loses all models, and the
// requests running on it end.
func (m *machine) restartEngine() {
	m.boot++
	clear(m.loaded)
	clear(m.running)
	for _, ended := range m.uses {
		if ret, due := m.holders[ended.holder].EndUse("r", ended.model, false, m.now); due {
			m.returns = append(m.returns, inFlight[residency.PinReturn]{ended.holder, ret})
		}
	}
	m.uses = nil
	m.report()
}

// anyOwner returns the owner, or a previous one that does not know yet that it
// has been succeeded.
func (m *machine) anyOwner(t *rapid.T) *residency.Runner {
	at := rapid.IntRange(0, len(m.previousOwners)).Draw(t, "owner")
	if at == len(m.previousOwners) {
		return m.owner
	}
	return m.previousOwners[at]
}

// evict evicts a model for the latest owner: the engine checks fencing and
// refuses the others.
func (m *machine) evict(owner *residency.Runner, model string) {
	if !owner.BeginEvict(model) {
		return
	}
	if m.loaded[model] && m.running[model] > 0 {
		m.violation = fmt.Sprintf("%s evicted with %d requests in flight", model, m.running[model])
	}
	delete(m.loaded, model)
	m.running[model] = 0
	m.uses = withoutModel(m.uses, model)
	owner.Evicted(model, m.now)
}

func withoutModel(uses []use, model string) []use {
	var kept []use
	for _, u := range uses {
		if u.model != model {
			kept = append(kept, u)
		}
	}
	return kept
}

func TestRace04NoInterleavingEvictsAModelInUse(t *testing.T) {
	// A recall races with a new request, arrives before the grant it recalls,
	// or comes from an owner that has been succeeded; returns arrive late or
	// never. In any order, no model is evicted while a request uses it.
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine()
		m.owner.AddReportedPins(holderName(0), "1", nil, m.now)
		m.owner.AddReportedPins(holderName(1), "1", nil, m.now)
		m.report()
		t.Repeat(m.steps())
	})
}

func TestRace05NoInterleavingAfterARestartEvictsAModelInUse(t *testing.T) {
	// As above, after a cold restart of the engine, so that pins are held on
	// models that it has lost and loads again.
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine()
		m.owner.AddReportedPins(holderName(0), "1", nil, m.now)
		m.owner.AddReportedPins(holderName(1), "1", nil, m.now)
		m.loaded["a@1"] = true
		m.report()
		m.report()
		for h := range m.holders {
			pin, err := m.owner.Grant(holderName(h), "1", "a@1", m.now)
			must.NoError(t, err)
			m.holders[h].AcceptGrant(pin, m.now)
		}
		m.restartEngine()
		t.Repeat(m.steps())
	})
}

func TestRace04RecallOvertakesItsGrant(t *testing.T) {
	// The owner recalls a pin whose grant is still in flight, and the holder
	// answers that it has none. The grant that arrives later must be void, or
	// a request could begin on it while the model is evicted.
	m := newMachine()
	m.owner.AddReportedPins(holderName(0), "1", nil, m.now)
	m.owner.AddReportedPins(holderName(1), "1", nil, m.now)
	must.True(t, m.owner.BeginLoad("a@1", m.now))
	m.owner.LoadSucceeded("a@1", m.now)
	pin, err := m.owner.Grant(holderName(0), "1", "a@1", m.now)
	must.NoError(t, err)
	_, ok := m.owner.BeginRecall("a@1")
	must.True(t, ok)
	ret, back := m.holders[0].Recall(pin)
	must.True(t, back)
	m.owner.AcceptReturn(holderName(0), ret, m.now)
	must.False(t, m.holders[0].AcceptGrant(pin, m.now))
	must.False(t, m.holders[0].BeginUse("r", "a@1"))
	must.Eq(t, 0, m.owner.PinCount("a@1"))
}

func TestRecalledPinTakesNoNewUse(t *testing.T) {
	// A pin is recalled while a request uses it, and new requests keep coming.
	// If they could begin on it, the pin would never be returned and the owner
	// would wait forever.
	h := residency.NewHolder()
	pin := residency.Pin{Runner: "r", Model: "a@1", Fence: 1, Seq: 1}
	must.True(t, h.AcceptGrant(pin, time.Time{}))
	must.True(t, h.BeginUse("r", "a@1"))
	_, back := h.Recall(pin)
	must.False(t, back)
	must.False(t, h.BeginUse("r", "a@1"))
	ret, due := h.EndUse("r", "a@1", true, time.Time{})
	must.True(t, due)
	must.Eq(t, residency.PinReturn{Pin: pin, Clean: true}, ret)
}

func TestReturnOfOldPinIsNotTakenForNewGrant(t *testing.T) {
	// A holder returns an idle pin of the previous owner while the new owner's
	// first grant to it is in flight. The new owner must not take this for the
	// return of its grant, which the holder is about to use.
	m := newMachine()
	old := residency.Pin{Runner: "r", Model: "a@1", Fence: m.record.Fence, Seq: 7}
	must.True(t, m.holders[0].AcceptGrant(old, m.now))
	m.loaded["a@1"] = true
	m.takeOver()
	grant, err := m.owner.Grant(holderName(0), "1", "a@1", m.now)
	must.NoError(t, err)
	m.holders[0].ObserveFence("r", m.record.Fence)
	for _, ret := range m.holders[0].ReturnIdle(m.now.Add(time.Hour)) {
		m.owner.AcceptReturn(holderName(0), ret, m.now)
	}
	must.True(t, m.holders[0].AcceptGrant(grant, m.now))
	must.Eq(t, 1, m.owner.PinCount("a@1"))
}

func TestEarlierPinsAreRecalledAfterAReload(t *testing.T) {
	// An engine restarts cold. One host finds the model missing and has it
	// loaded again; another still holds its earlier pin and uses it. The owner
	// must recall that pin too before it evicts the model.
	m := newMachine()
	m.owner.AddReportedPins(holderName(0), "1", nil, m.now)
	m.owner.AddReportedPins(holderName(1), "1", nil, m.now)
	must.True(t, m.owner.BeginLoad("a@1", m.now))
	m.owner.LoadSucceeded("a@1", m.now)
	pin, err := m.owner.Grant(holderName(1), "1", "a@1", m.now)
	must.NoError(t, err)
	m.owner.ModelMissing("a@1", m.now)
	must.True(t, m.owner.BeginLoad("a@1", m.now))
	m.owner.LoadSucceeded("a@1", m.now)
	held, ok := m.owner.BeginRecall("a@1")
	must.True(t, ok)
	must.Eq(t, []residency.HolderPin{{Holder: holderName(1), Pin: pin}}, held)
	must.False(t, m.owner.BeginEvict("a@1"))
}
