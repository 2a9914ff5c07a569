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

// TestMain fixes the seed, so that every run gives the same verdict.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "20000")
	_ = flag.Set("rapid.steps", "50")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// machine drives the real aggregates of one runner, its owners in succession
// and two holders, with every message free to be late, lost or overtaken. It
// checks after each step that no model with a request under way is evicted.
type machine struct {
	now     time.Time
	record  residency.Record
	owner   *residency.Runner
	former  []*residency.Runner
	holders []*residency.Holder
	// loaded and using are the engine's own truth.
	loaded map[string]bool
	using  map[string]int
	// grants, recalls and returns are messages under way.
	grants  []sent[residency.Pin]
	recalls []sent[residency.Pin]
	returns []sent[residency.Return]
	uses    []use
	broken  string
	boot    int
}

type sent[T any] struct {
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
	m := &machine{now: time.Unix(0, 0), record: residency.Record{Runner: "r"}, loaded: map[string]bool{}, using: map[string]int{}}
	for range 2 {
		m.holders = append(m.holders, residency.NewHolder())
	}
	m.takeOver()
	return m
}

func (m *machine) takeOver() {
	if m.owner != nil {
		m.former = append(m.former, m.owner)
	}
	m.record, _ = m.record.Take("owner", fmt.Sprint(m.record.Fence), true)
	m.owner = residency.NewRunner("r", true)
	m.owner.TakeOver(m.record, []string{holderName(0), holderName(1)})
	m.report()
	m.owner.Open()
}

func (m *machine) report() {
	m.now = m.now.Add(10 * time.Second)
	report := engine.Report{BootID: fmt.Sprint(m.boot), Slots: slots, MaxBatch: 4}
	for _, model := range models {
		if m.loaded[model] {
			report.Resident = append(report.Resident, engine.ResidentModel{Model: model, Running: m.using[model]})
			report.Running += m.using[model]
		}
	}
	m.owner.Observe(report, m.now)
	m.now = m.now.Add(10 * time.Second)
}

func pick[T any](t *rapid.T, from *[]T, label string) T {
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
				m.owner.Loaded(name, m.now)
			}
		},
		"grant": func(t *rapid.T) {
			h := holder.Draw(t, "holder")
			owner := m.anyOwner(t)
			if pin, err := owner.Grant(holderName(h), "1", model.Draw(t, "model"), m.now); err == nil {
				m.grants = append(m.grants, sent[residency.Pin]{h, pin})
			}
		},
		"grant arrives": func(t *rapid.T) {
			if len(m.grants) > 0 {
				got := pick(t, &m.grants, "grant")
				m.holders[got.holder].Granted(got.value, m.now)
			}
		},
		"use begins": func(t *rapid.T) {
			h, name := holder.Draw(t, "holder"), model.Draw(t, "model")
			if m.holders[h].Use("r", name) {
				m.uses = append(m.uses, use{h, name})
				if m.loaded[name] {
					m.using[name]++
				}
			}
		},
		"use ends": func(t *rapid.T) {
			if len(m.uses) == 0 {
				return
			}
			ended := pick(t, &m.uses, "use")
			m.using[ended.model]--
			if ret, due := m.holders[ended.holder].Done("r", ended.model, true, m.now); due {
				m.returns = append(m.returns, sent[residency.Return]{ended.holder, ret})
			}
		},
		"recall": func(t *rapid.T) {
			pinned, _ := m.anyOwner(t).BeginRecall(model.Draw(t, "model"))
			for _, out := range pinned {
				h := 0
				if out.Holder == holderName(1) {
					h = 1
				}
				m.recalls = append(m.recalls, sent[residency.Pin]{h, out.Pin})
			}
		},
		"recall arrives": func(t *rapid.T) {
			if len(m.recalls) == 0 {
				return
			}
			got := pick(t, &m.recalls, "recall")
			if ret, back := m.holders[got.holder].Recall(got.value); back {
				m.returns = append(m.returns, sent[residency.Return]{got.holder, ret})
			}
		},
		"return arrives": func(t *rapid.T) {
			if len(m.returns) > 0 {
				got := pick(t, &m.returns, "return")
				m.owner.Returned(holderName(got.holder), got.value, m.now)
				for _, former := range m.former {
					former.Returned(holderName(got.holder), got.value, m.now)
				}
			}
		},
		"message lost": func(t *rapid.T) {
			if len(m.grants) > 0 {
				pick(t, &m.grants, "grant")
			}
		},
		"idle pins go back": func(t *rapid.T) {
			h := holder.Draw(t, "holder")
			for _, ret := range m.holders[h].IdleSince(m.now.Add(time.Hour)) {
				m.returns = append(m.returns, sent[residency.Return]{h, ret})
			}
		},
		"recall called off": func(t *rapid.T) { m.owner.CancelRecall(model.Draw(t, "model")) },
		"evict":             func(t *rapid.T) { m.evict(m.owner, model.Draw(t, "model")) },
		"holder heard": func(t *rapid.T) {
			h := holder.Draw(t, "holder")
			if pins, complete := m.holders[h].List("r", m.record.Fence); complete {
				m.owner.Heard(holderName(h), "1", pins, m.now)
			}
		},
		"report":    func(*rapid.T) { m.report() },
		"take over": func(*rapid.T) { m.takeOver() },
		"": func(t *rapid.T) {
			if m.broken != "" {
				t.Fatal(m.broken)
			}
		},
	}
}

// restart empties the engine as a cold start does; what ran on it ends.
func (m *machine) restart() {
	m.boot++
	clear(m.loaded)
	clear(m.using)
	for _, ended := range m.uses {
		if ret, due := m.holders[ended.holder].Done("r", ended.model, false, m.now); due {
			m.returns = append(m.returns, sent[residency.Return]{ended.holder, ret})
		}
	}
	m.uses = nil
	m.report()
}

// anyOwner gives the owner, or a former one that does not know that it is.
func (m *machine) anyOwner(t *rapid.T) *residency.Runner {
	at := rapid.IntRange(0, len(m.former)).Draw(t, "owner")
	if at == len(m.former) {
		return m.owner
	}
	return m.former[at]
}

// evict is obeyed by the engine from the newest owner only: it checks fencing.
func (m *machine) evict(owner *residency.Runner, model string) {
	if !owner.BeginEvict(model) {
		return
	}
	if m.loaded[model] && m.using[model] > 0 {
		m.broken = fmt.Sprintf("%s evicted with %d requests under way", model, m.using[model])
	}
	delete(m.loaded, model)
	m.using[model] = 0
	m.uses = keepOther(m.uses, model)
	owner.Evicted(model, m.now)
}

func keepOther(uses []use, model string) []use {
	var kept []use
	for _, u := range uses {
		if u.model != model {
			kept = append(kept, u)
		}
	}
	return kept
}

func TestRace04NoInterleavingEvictsAModelInUse(t *testing.T) {
	// A recall crosses a new request, overtakes the grant it recalls, or comes
	// from an owner that has a successor; returns come late or not at all. In
	// whatever order: no model is evicted while a request uses it.
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine()
		m.owner.Heard(holderName(0), "1", nil, m.now)
		m.owner.Heard(holderName(1), "1", nil, m.now)
		m.report()
		t.Repeat(m.steps())
	})
}

func TestRace05NoInterleavingAfterARestartEvictsAModelInUse(t *testing.T) {
	// As before, with an engine that has restarted cold in between, so that
	// pins are out on models that it lost and loads again.
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine()
		m.owner.Heard(holderName(0), "1", nil, m.now)
		m.owner.Heard(holderName(1), "1", nil, m.now)
		m.loaded["a@1"] = true
		m.report()
		m.report()
		for h := range m.holders {
			pin, err := m.owner.Grant(holderName(h), "1", "a@1", m.now)
			must.NoError(t, err)
			m.holders[h].Granted(pin, m.now)
		}
		m.restart()
		t.Repeat(m.steps())
	})
}

func TestRace04RecallOvertakesItsGrant(t *testing.T) {
	// The owner recalls a pin whose grant is still on its way, and takes the
	// holder's word that it has none. The grant that arrives after is void:
	// no request begins on it, and the eviction hits none.
	m := newMachine()
	m.owner.Heard(holderName(0), "1", nil, m.now)
	m.owner.Heard(holderName(1), "1", nil, m.now)
	must.True(t, m.owner.BeginLoad("a@1", m.now))
	m.owner.Loaded("a@1", m.now)
	pin, err := m.owner.Grant(holderName(0), "1", "a@1", m.now)
	must.NoError(t, err)
	_, ok := m.owner.BeginRecall("a@1")
	must.True(t, ok)
	ret, back := m.holders[0].Recall(pin)
	must.True(t, back)
	m.owner.Returned(holderName(0), ret, m.now)
	must.False(t, m.holders[0].Granted(pin, m.now))
	must.False(t, m.holders[0].Use("r", "a@1"))
	must.Eq(t, 0, m.owner.PinsOut("a@1"))
}

func TestRecalledPinTakesNoNewUse(t *testing.T) {
	// A pin is recalled while a request uses it, and ever new requests come.
	// None begins on it, so the pin goes back when the one under way has ended
	// and the owner does not wait for good.
	h := residency.NewHolder()
	pin := residency.Pin{Runner: "r", Model: "a@1", Fence: 1, Seq: 1}
	must.True(t, h.Granted(pin, time.Time{}))
	must.True(t, h.Use("r", "a@1"))
	_, back := h.Recall(pin)
	must.False(t, back)
	must.False(t, h.Use("r", "a@1"))
	ret, due := h.Done("r", "a@1", true, time.Time{})
	must.True(t, due)
	must.Eq(t, residency.Return{Pin: pin, Clean: true}, ret)
}

func TestReturnOfAnEarlierOwnersPinDoesNotPassForANewerOne(t *testing.T) {
	// A holder gives back an idle pin of the owner before, while the new
	// owner's first grant to it is on its way. The new owner must not take the
	// old pin's return for that grant: the holder is about to use it.
	m := newMachine()
	old := residency.Pin{Runner: "r", Model: "a@1", Fence: m.record.Fence, Seq: 7}
	must.True(t, m.holders[0].Granted(old, m.now))
	m.loaded["a@1"] = true
	m.takeOver()
	grant, err := m.owner.Grant(holderName(0), "1", "a@1", m.now)
	must.NoError(t, err)
	m.holders[0].Learn("r", m.record.Fence)
	for _, ret := range m.holders[0].IdleSince(m.now.Add(time.Hour)) {
		m.owner.Returned(holderName(0), ret, m.now)
	}
	must.True(t, m.holders[0].Granted(grant, m.now))
	must.Eq(t, 1, m.owner.PinsOut("a@1"))
}

func TestPinsOutliveALostModel(t *testing.T) {
	// An engine restarts cold. One host finds the model missing and has it
	// loaded again; another still holds its pin from before, and uses it. The
	// owner must recall that pin too before it evicts the model.
	m := newMachine()
	m.owner.Heard(holderName(0), "1", nil, m.now)
	m.owner.Heard(holderName(1), "1", nil, m.now)
	must.True(t, m.owner.BeginLoad("a@1", m.now))
	m.owner.Loaded("a@1", m.now)
	pin, err := m.owner.Grant(holderName(1), "1", "a@1", m.now)
	must.NoError(t, err)
	m.owner.Missing("a@1", m.now)
	must.True(t, m.owner.BeginLoad("a@1", m.now))
	m.owner.Loaded("a@1", m.now)
	pinned, ok := m.owner.BeginRecall("a@1")
	must.True(t, ok)
	must.Eq(t, []residency.PinnedBy{{Holder: holderName(1), Pin: pin}}, pinned)
	must.False(t, m.owner.BeginEvict("a@1"))
}
