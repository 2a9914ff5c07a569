package mesh

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/cherrystage/cherrystage/internal/objectapi"
	"github.com/cherrystage/cherrystage/internal/peer"
	"github.com/cherrystage/cherrystage/internal/registry"
	"github.com/hashicorp/go-hclog"
	"github.com/shoenig/test/must"
)

// playStep is the time between two steps of a play.
const playStep = 50 * time.Millisecond

// play is a fleet whose hosts learn of each other's records at different times. They lose
// heartbeats, answers of the store and connections, stand still and restart.
type play struct {
	rng   *rand.Rand
	now   time.Time
	names []string
	hosts map[string]*playedHost
	// records, revision and log are the store's. late are writes without an answer that the
	// store has not applied yet.
	records  map[string]registry.Record
	revision uint64
	log      []registry.Change
	late     []lateAction
	away     bool
	// troubled is set while there is any trouble.
	troubled  bool
	orders    map[string]order
	takeovers int
	trace     []string
}

// playedHost is a host of a play. It stands still until frozenUntil.
type playedHost struct {
	*Service
	frozenUntil time.Time
	cutUntil    time.Time
}

// lateAction is something that happens at a time.
type lateAction struct {
	at  time.Time
	run func()
}

// order is the last order to a runner.
type order struct {
	host  string
	token uint64
	at    time.Time
}

func newPlay(seed uint64, hosts int) *play {
	p := &play{
		rng: rand.New(rand.NewPCG(seed, 0)), now: testStart, hosts: map[string]*playedHost{},
		records: map[string]registry.Record{}, orders: map[string]order{},
	}
	for i := range hosts {
		name := string(rune('a' + i))
		p.names = append(p.names, name)
		p.start(name)
	}
	return p
}

func (p *play) note(format string, args ...any) {
	p.trace = append(p.trace, fmt.Sprintf("%8.2f ", p.now.Sub(testStart).Seconds())+fmt.Sprintf(format, args...))
}

// chance returns true once in n times.
func (p *play) chance(n int) bool { return p.rng.IntN(n) == 0 }

func (p *play) start(name string) {
	s := NewService(Deps{
		Self: peer.Identity{Host: name, Incarnation: strconv.Itoa(p.rng.IntN(1e9))}, Address: name + ":1",
		State: NewState(name, testTiming, p.now), Store: &playedStore{play: p, host: name},
		Kinds: map[string]*registry.Replica{}, Now: func() time.Time { return p.now }, Log: hclog.NewNullLogger(),
		Runners: func() []Runner { return []Runner{{Address: "10.0.0.1:1"}, {Address: "10.0.0.2:1"}} },
	})
	p.hosts[name] = &playedHost{Service: s}
}

// runs reports whether a host does anything now.
func (p *play) runs(host string) bool { return !p.now.Before(p.hosts[host].frozenUntil) }

func (p *play) connected(a, b string) bool {
	return !p.now.Before(p.hosts[a].cutUntil) && !p.now.Before(p.hosts[b].cutUntil)
}

// after runs an action later.
func (p *play) after(delay time.Duration, run func()) {
	p.late = append(p.late, lateAction{p.now.Add(delay), run})
}

func (p *play) runLate() {
	due := []lateAction{}
	p.late = slices.DeleteFunc(p.late, func(a lateAction) bool {
		if a.at.After(p.now) {
			return false
		}
		due = append(due, a)
		return true
	})
	for _, action := range due {
		action.run()
	}
}

// write applies a write to the store.
func (p *play) write(by, name string, spec any, revision uint64) (registry.Record, error) {
	if p.records[name].Revision != revision {
		return registry.Record{}, &objectapi.Error{Op: "update", Cause: objectapi.ErrConflict}
	}
	p.revision++
	if spec == nil {
		delete(p.records, name)
		p.log = append(p.log, registry.Change{Record: registry.Record{Name: name, Revision: p.revision}, Removed: true})
		p.note("%s removed %s at %d", by, name, p.revision)
		return registry.Record{}, nil
	}
	raw, _ := json.Marshal(spec)
	record := registry.Record{Name: name, Revision: p.revision, Spec: raw}
	p.records[name] = record
	p.log = append(p.log, registry.Change{Record: record})
	p.note("%s wrote %s at %d over %d: %s", by, name, p.revision, revision, raw)
	return record, nil
}

// playedStore is the store as a host sees it.
type playedStore struct {
	registry.Store
	play *play
	host string
}

func lostAnswer() error { return &objectapi.Error{Op: "update", Cause: objectapi.ErrAnswerLost} }

func (s *playedStore) Update(_ context.Context, _, name string, spec any, revision uint64) (registry.Record, error) {
	p := s.play
	switch {
	case p.away || p.troubled && p.chance(6):
		if p.chance(2) {
			p.after(time.Duration(p.rng.IntN(1000))*time.Millisecond, func() { _, _ = p.write(s.host+" (late)", name, spec, revision) })
		}
		return registry.Record{}, lostAnswer()
	case p.troubled && p.chance(6):
		_, _ = p.write(s.host+" (no answer)", name, spec, revision)
		return registry.Record{}, lostAnswer()
	}
	return p.write(s.host, name, spec, revision)
}

func (s *playedStore) Create(ctx context.Context, kind, name string, spec any) (registry.Record, error) {
	return s.Update(ctx, kind, name, spec, 0)
}

func (s *playedStore) Delete(ctx context.Context, kind, name string, revision uint64) error {
	_, err := s.Update(ctx, kind, name, nil, revision)
	return err
}

func (s *playedStore) Get(_ context.Context, _, name string) (registry.Record, error) {
	if s.play.away || s.play.troubled && s.play.chance(6) {
		return registry.Record{}, lostAnswer()
	}
	record, ok := s.play.records[name]
	if !ok {
		return record, &objectapi.Error{Op: "get", Cause: objectapi.ErrNotFound}
	}
	return record, nil
}

// follow has a host learn of records from the store or from another host.
func (p *play) follow(h *playedHost) {
	position := h.fleet.Position()
	every := 2
	if p.troubled {
		every = 12
	}
	if !p.away && p.chance(every) {
		if position.Revision == 0 {
			if p.revision > 0 || p.now.Sub(testStart) > time.Second {
				p.revision = max(p.revision, 1)
				h.fleet.Listed(slices.Collect(maps.Values(p.records)), registry.Position{Revision: p.revision})
				h.Confirmed(Kind, p.now)
			}
			return
		}
		to := p.revision
		if to > position.Revision && p.troubled {
			to = position.Revision + 1 + p.rng.Uint64N(to-position.Revision)
		}
		var changes []registry.Change
		for _, change := range p.log {
			if change.Revision > position.Revision && change.Revision <= to {
				changes = append(changes, change)
			}
		}
		h.fleet.Changed(changes, registry.Position{Revision: to})
		h.Confirmed(Kind, p.now)
	}
	from := p.hosts[p.names[p.rng.IntN(len(p.names))]]
	if from == h || !p.runs(from.Self.Host) || !p.connected(h.Self.Host, from.Self.Host) || !h.fleet.Position().Before(from.fleet.Position()) || !p.chance(2) {
		return
	}
	base := h.fleet.Version()
	if changes, ok := from.fleet.ChangedSince(base.Position); ok && base.Revision > 0 && h.fleet.MergeChanges(changes, base) {
		return
	}
	parts, base := h.fleet.Parts()
	if snapshot := from.fleet.DifferingParts(parts); base.Before(snapshot.Position) {
		h.fleet.MergeParts(snapshot, base)
	}
}

// beat sends a host's heartbeats.
func (p *play) beat(h *playedHost) {
	for _, witness := range h.State.Witnesses() {
		w := p.hosts[witness.Host]
		if w == nil || !p.runs(witness.Host) || !p.connected(h.Self.Host, witness.Host) || p.troubled && p.chance(4) {
			continue
		}
		sent := p.now
		at := registry.Position{Revision: h.ownRecordRevision(0)}
		answer := w.State.ReceiveHeartbeat(h.Self.Host, at, p.now)
		promised, renew := answer.Promised, answer.Renew
		if p.troubled && p.chance(4) {
			continue
		}
		current := h.State
		p.after(time.Duration(p.rng.IntN(200))*time.Millisecond, func() {
			if h.State != current {
				return
			}
			if promised {
				current.PromiseReceived(witness.Host, sent)
			}
			if renew {
				current.RenewalRequested(sent)
			}
		})
	}
}

// breakLeases has a host collect votes and break leases.
func (p *play) breakLeases(ctx context.Context, h *playedHost) {
	for _, dead := range h.breakable(p.now) {
		if !p.chance(4) {
			continue
		}
		votes := dead.VotesNeeded
		for _, witness := range dead.Witnesses {
			w := p.hosts[witness.Host]
			if w != nil && p.runs(witness.Host) && p.connected(h.Self.Host, witness.Host) && w.State.Vote(dead.Host, registry.Position{Revision: dead.Revision}, p.now) {
				votes--
			}
		}
		if votes > 0 {
			continue
		}
		dead.Record.Broken = true
		p.after(time.Duration(p.rng.IntN(800))*time.Millisecond, func() {
			record, err := h.Store.Update(ctx, Kind, hostRecordName(dead.Host), dead.Record, dead.Revision)
			if err != nil {
				h.refreshAfterConflict(ctx, hostRecordName(dead.Host), err)
				return
			}
			h.applyRecord(record)
		})
	}
}

func (p *play) claim(ctx context.Context, h *playedHost) {
	if p.now.Sub(h.started) < startupSettle || !h.State.JoinsSettled(p.now, joinSettle) {
		return
	}
	for _, claim := range h.State.Claims(h.Runners(), p.now) {
		h.claim(ctx, claim)
	}
}

// order has a host order what it may, and returns what is wrong with that.
func (p *play) order(h *playedHost) string {
	for _, runner := range h.Runners() {
		token, ok := h.State.MayOrder(runner.Address, p.now)
		if !ok {
			continue
		}
		last := p.orders[runner.Address]
		p.orders[runner.Address] = order{h.Self.Host, token, p.now}
		if last.host == "" || last.host == h.Self.Host {
			continue
		}
		p.takeovers++
		p.note("%s orders %s under token %d, %s after %s", h.Self.Host, runner.Address, token, p.now.Sub(last.at), last.host)
		if p.now.Sub(last.at) < testTiming.OrderGap || token < last.token {
			return fmt.Sprintf("%s orders %s under token %d, %s after %s under %d", h.Self.Host, runner.Address, token, p.now.Sub(last.at), last.host, last.token)
		}
	}
	return ""
}

// trouble begins and ends troubles.
func (p *play) trouble() {
	if p.chance(400) {
		p.troubled = !p.troubled
		p.away = p.troubled && p.chance(2)
		p.note("troubled %t, store away %t", p.troubled, p.away)
	}
	if p.away && p.chance(200) {
		p.away = false
		p.note("the store is back")
	}
	if !p.troubled || !p.chance(40) {
		return
	}
	name := p.names[p.rng.IntN(len(p.names))]
	length := time.Duration(p.rng.IntN(8000)) * time.Millisecond
	switch p.rng.IntN(3) {
	case 0:
		p.hosts[name].frozenUntil = p.now.Add(length)
		p.note("%s stands still for %s", name, length)
	case 1:
		p.hosts[name].cutUntil = p.now.Add(length)
		p.note("%s is cut off for %s", name, length)
	default:
		p.start(name)
		p.note("%s restarts", name)
	}
}

// step plays one step and returns what went wrong.
func (p *play) step(ctx context.Context) string {
	p.now = p.now.Add(playStep)
	p.trouble()
	p.runLate()
	for _, i := range p.rng.Perm(len(p.names)) {
		h := p.hosts[p.names[i]]
		if !p.runs(h.Self.Host) {
			continue
		}
		for _, act := range p.rng.Perm(5) {
			switch act {
			case 0:
				p.follow(h)
			case 1:
				if p.chance(4) {
					h.maintainLease(ctx)
				}
			case 2:
				if p.chance(6) {
					p.beat(h)
				}
			case 3:
				p.breakLeases(ctx, h)
				if p.chance(4) {
					p.claim(ctx, h)
				}
				for _, dead := range h.State.RemovableRecords(p.now, 5*time.Second) {
					h.removeRecord(ctx, dead)
				}
			default:
				if wrong := p.order(h); wrong != "" {
					return wrong
				}
			}
		}
	}
	return ""
}

// Hosts decide by records that they learn of at different times, while they lose messages and
// answers, stand still and restart. No two hosts may order a runner within the gap.
func TestOrdersWhileRecordsArriveLate(t *testing.T) {
	plays, _ := strconv.Atoi(cmp.Or(os.Getenv("CHERRYSTAGE_PLAYS"), "100"))
	takeovers, failures := 0, 0
	for seed := range plays {
		p := newPlay(uint64(seed), 3+seed%4)
		for p.now.Sub(testStart) < 3*time.Minute {
			if wrong := p.step(t.Context()); wrong != "" {
				failures++
				if failures == 1 {
					for _, line := range p.trace[max(0, len(p.trace)-40):] {
						t.Log(line)
					}
				}
				t.Errorf("seed %d: %s", seed, wrong)
				break
			}
		}
		takeovers += p.takeovers
	}
	t.Logf("%d plays, %d takeovers, %d with orders of two hosts", plays, takeovers, failures)
	must.Positive(t, takeovers)
}
