package experiment

import (
	"slices"
	"strconv"
	"time"

	"github.com/cherrystage/cherrystage/internal/fleet"
	"github.com/cherrystage/cherrystage/internal/quarantine"
)

// Timing of the quarantine, as in packages quarantine and entry.
const (
	// truncationCheck is the time from a truncated response until its host reports it.
	truncationCheck = 220 * time.Millisecond
	// quarantineSpread is the time until all hosts have a change of another host's list.
	quarantineSpread = 300 * time.Millisecond
	// countingHosts is the number of hosts that count a report.
	countingHosts = 3
	// crashesTolerated and sendsSettle are the platform's: it counts requests with a bad part that
	// reach engines later than sendsSettle after that many crashes.
	crashesTolerated = 5
	sendsSettle      = 3 * time.Second
)

// BadPartConfig sends requests whose prompts hold a part that ends each engine that begins a
// response on it. No two are alike otherwise.
type BadPartConfig struct {
	AtS  float64 `toml:"at_s"`
	ForS float64 `toml:"for_s"`
	// PerS is the number of such requests per second, DownS the time until an engine is back.
	PerS  float64 `toml:"per_s"`
	DownS float64 `toml:"down_s"`
	// WholeRequests has the quarantine know whole requests only.
	WholeRequests bool `toml:"whole_requests"`
}

// BadPartResult counts what a bad part caused.
type BadPartResult struct {
	// Sends counts the requests with the part that reached engines, SentLate those later than
	// sendsSettle after the crash number crashesTolerated, Crashes the engines that ended.
	Sends    int `json:"sends"`
	SentLate int `json:"sent_late"`
	Crashes  int `json:"crashes"`
	// Blocked counts sound requests that the quarantine refused.
	Blocked int `json:"sound_blocked"`
	// settledAt is the time from which sends are late, zero before enough crashes.
	settledAt time.Time
}

const badPartName = "bad"

// generateBadRequests creates the requests with a bad part, one after the other.
func (sim *simulation) generateBadRequests(config BadPartConfig, end time.Time) {
	sim.clock.after(seconds(sim.badDraws.ExpFloat64()/config.PerS), func() {
		if sim.clock.now.After(end) {
			return
		}
		kind := &sim.cfg.Kinds[sim.badDraws.IntN(len(sim.cfg.Kinds))]
		r := &request{sim: sim, kind: kind, begun: sim.clock.now, bad: &config, prompt: int(kind.Prompt), output: sim.cfg.Engines.Stride * 4, retried: true}
		r.key.Model, r.key.Name = modelName, adapterName(sim.badDraws.IntN(sim.cfg.Demand.Adapters))
		r.setSubjects(config.WholeRequests)
		r.startAttempt()
		sim.generateBadRequests(config, end)
	})
}

// setSubjects sets the subjects of a request for the quarantine: its content is its own, the parts
// of its prompt are those of its kind, of its adapter and, if it has one, the bad one.
func (r *request) setSubjects(wholeRequests bool) {
	r.sim.contents++
	parts := []string{"kind " + r.kind.Name, "adapter " + r.key.Name}
	if r.bad != nil {
		parts = append(parts, badPartName)
	}
	if wholeRequests {
		parts = nil
	}
	r.subjects = quarantine.SubjectsOf(quarantine.Content{RequestURI: strconv.Itoa(r.sim.contents)}, slices.Values(parts))
}

// isBlocked reports whether the quarantine blocks the request, and ends it if so.
func (r *request) isBlocked() bool {
	if _, blocked := r.host.quarantine.Blocked(r.subjects, r.sim.clock.now); !blocked {
		return false
	}
	r.finished = true
	if r.bad == nil {
		r.sim.result.BadPart.Blocked++
		r.sim.result.countRefused(r)
	}
	return true
}

// recordBadSend counts a request with a bad part that reaches an engine.
func (r *request) recordBadSend() {
	if r.bad == nil {
		return
	}
	result := &r.sim.result.BadPart
	result.Sends++
	if !result.settledAt.IsZero() && r.sim.clock.now.After(result.settledAt) {
		result.SentLate++
	}
}

// endEngine ends the engine that begins a response on a bad part.
func (sim *simulation) endEngine(e *engine, config BadPartConfig) {
	if e.gone {
		return
	}
	result := &sim.result.BadPart
	result.Crashes++
	if result.Crashes == crashesTolerated {
		result.settledAt = sim.clock.now.Add(sendsSettle)
	}
	e.crash()
	sim.removeInstance(e.runner.ID)
	sim.listRunners()
	sim.clock.after(seconds(config.DownS), func() { sim.addEngine(e.runner.Address, e.runner.DataCentre) })
}

// recordEnd tells the host's quarantine how the response to a request ended.
func (r *request) recordEnd(runner string, whole bool, sentAt time.Time) {
	if len(r.subjects) == 0 {
		return
	}
	now := r.sim.clock.now
	h := r.host
	if whole {
		h.quarantine.RecordCompletions(r.subjects, now)
		return
	}
	h.quarantine.RecordTruncations(r.subjects, quarantine.Truncation{Runner: runner, At: now, Elapsed: now.Sub(sentAt)})
	r.sim.clock.after(truncationCheck, func() { r.sim.reportTruncations(h) })
}

// reportTruncations has a host report the truncated responses of engines that are gone.
func (sim *simulation) reportTruncations(h *host) {
	due, _ := h.quarantine.TakeDue(sim.clock.now, func(runner string, _ time.Time) quarantine.Liveness {
		if e := sim.byID[runner]; e != nil && !e.gone {
			return quarantine.Alive
		}
		return quarantine.Silent
	})
	for _, truncation := range due {
		h.quarantine.Count(truncation, sim.clock.now)
		for _, name := range sim.rankHosts(truncation.Content.String())[:min(countingHosts, len(sim.hosts))] {
			other := sim.hostNamed(name)
			if other == h {
				continue
			}
			sim.clock.after(sim.latency(h.centre, other.centre), func() { other.quarantine.Count(truncation, sim.clock.now) })
		}
	}
	if len(due) > 0 {
		sim.clock.after(quarantineSpread, sim.spreadQuarantine)
	}
}

// spreadQuarantine has all hosts tell each other of their lists.
func (sim *simulation) spreadQuarantine() {
	for _, from := range sim.hosts {
		entries := from.quarantine.Entries(sim.clock.now)
		for _, to := range sim.hosts {
			if from.quarantine.Digest() != to.quarantine.Digest() {
				to.quarantine.Merge(entries, sim.clock.now)
			}
		}
	}
}

// rankHosts returns the names of all hosts in the order for a key.
func (sim *simulation) rankHosts(key string) []string {
	names := make([]string, 0, len(sim.hosts))
	for _, h := range sim.hosts {
		names = append(names, h.name)
	}
	return fleet.Rank(key, names)
}

func (sim *simulation) hostNamed(name string) *host {
	return sim.hosts[slices.IndexFunc(sim.hosts, func(h *host) bool { return h.name == name })]
}
