package experiment

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/cherrystage/cherrystage/internal/site"
	"github.com/cherrystage/cherrystage/internal/streams"
)

// Timing and names of what hosts know of versions, as in packages streams and entry.
const (
	streamRoute   = "streams"
	streamService = "engines"
	firstVersion  = "v1"
	// observeInterval is how often a host looks at its list of engines, which is up to mostListAge
	// old.
	observeInterval = 500 * time.Millisecond
	mostListAge     = time.Second
	// recordDelay is the time until all hosts know a record of the store.
	recordDelay = 300 * time.Millisecond
	// streamHosts other hosts are told of a stream, lookupHosts asked, and those told of the
	// streams of the last catchUpPeriod if another version turns up.
	streamHosts   = 3
	lookupHosts   = 5
	catchUpPeriod = 20 * time.Second
	// A caller leaves after leaveAfter events and is back after comeBack.
	leaveAfter = 2
	comeBack   = 100 * time.Millisecond
	// replaceTime is the time until an engine of another version is there.
	replaceTime = time.Second
)

// VersionConfig replaces engines by ones of another software version.
type VersionConfig struct {
	AtS float64 `toml:"at_s"`
	// Share of the engines is replaced, LeaveShare of the callers leave and continue their streams
	// at other hosts.
	Share      float64 `toml:"share"`
	LeaveShare float64 `toml:"leave_share"`
	// AnyVersion has hosts continue streams at any version.
	AnyVersion bool `toml:"any_version"`
}

// VersionResult counts streams that callers continue.
type VersionResult struct {
	TakenUp int `json:"taken_up"`
	WentOn  int `json:"went_on"`
	// Mixed counts streams that went on at another version, Unknown those refused since it was not
	// known what began them.
	Mixed   int `json:"mixed"`
	Unknown int `json:"unknown"`
}

// listedAt is the list of versions from a time on.
type listedAt struct {
	at       time.Time
	versions []string
}

// versionOf returns the software version of the engine at an address.
func (sim *simulation) versionOf(address string) string {
	if version, ok := sim.replaced[address]; ok {
		return version
	}
	return firstVersion
}

// noteVersions adds the versions of the present engines to the history.
func (sim *simulation) noteVersions() {
	var present []string
	for _, runner := range sim.runners {
		if !slices.Contains(present, runner.SoftwareVersion) {
			present = append(present, runner.SoftwareVersion)
		}
	}
	sim.listed = append(sim.listed, listedAt{at: sim.clock.now, versions: present})
}

// replaceEngines replaces engines by ones of another version.
func (sim *simulation) replaceEngines(config VersionConfig, number int) {
	for _, e := range sim.drawEngines(config.Share) {
		e.crash()
		sim.removeInstance(e.runner.ID)
		sim.replaced[e.runner.Address] = fmt.Sprintf("v%d", number+2)
		sim.clock.after(replaceTime, func() { sim.addEngine(e.runner.Address, e.runner.DataCentre) })
	}
	sim.listRunners()
}

// startVersions has all hosts observe their lists, and know the record of the first version.
func (sim *simulation) startVersions() {
	sim.noteVersions()
	for _, h := range sim.hosts {
		h.versions = streams.NewVersions(sim.clock.now)
		h.versions.SetTargets(map[string][]string{streamRoute: {streamService}}, sim.clock.now)
		h.versions.SetRecord(streamService, []string{firstVersion}, sim.clock.now)
		h.versions.SetRecordsKnown()
		h.origins = streams.NewOrigins()
		sim.observeVersions(h)
	}
}

// observeVersions has a host look at its list, which is some time old.
func (sim *simulation) observeVersions(h *host) {
	now := sim.clock.now
	h.listAsOf = now.Add(-time.Duration(sim.versionDraws.Int64N(int64(mostListAge))))
	var versions []string
	for _, list := range sim.listed {
		if versions == nil || !list.at.After(h.listAsOf) {
			versions = list.versions
		}
	}
	h.versions.Observe(streams.Observation{AsOf: h.listAsOf, RecordsAsOf: h.listAsOf, Versions: map[string][]string{streamService: versions}}, now)
	if generation := h.versions.Generation(); generation != h.generation {
		h.generation = generation
		sim.catchUp(h)
	}
	wanted := h.versions.WantedRecords(h.listAsOf, now)[streamService]
	if wanted != nil && sim.rankHosts(streamService)[0] == h.name {
		sim.clock.after(recordDelay, func() {
			for _, other := range sim.hosts {
				other.versions.SetRecord(streamService, wanted, sim.clock.now)
			}
		})
	}
	sim.clock.after(observeInterval, func() { sim.observeVersions(h) })
}

// catchUp tells other hosts of the streams that a host began lately.
func (sim *simulation) catchUp(h *host) {
	if !h.versions.AnnouncesAny(h.listAsOf, sim.clock.now) {
		return
	}
	for id, origin := range h.origins.Own(sim.clock.now.Add(-catchUpPeriod)) {
		sim.tellOrigin(h, id, origin)
	}
}

func (sim *simulation) tellOrigin(h *host, id string, origin streams.Origin) {
	for _, other := range sim.othersFor(h, id, streamHosts) {
		sim.clock.after(sim.latency(h.centre, other.centre), func() { other.origins.Record(id, origin, false, sim.clock.now) })
	}
}

// othersFor returns up to most other hosts by their rank for a stream.
func (sim *simulation) othersFor(h *host, id string, most int) []*host {
	var others []*host
	for _, name := range sim.rankHosts(id) {
		if name != h.name && len(others) < most {
			others = append(others, sim.hostNamed(name))
		}
	}
	return others
}

// resumable reports whether streams are continued in this run.
func (sim *simulation) resumable() bool { return len(sim.cfg.Versions) > 0 }

// usable returns the runners at which the request may begin or go on.
func (r *request) usable(runners []*site.Runner) []*site.Runner {
	if !r.sim.resumable() || r.sim.cfg.Versions[0].AnyVersion {
		return runners
	}
	return slices.DeleteFunc(slices.Clone(runners), func(runner *site.Runner) bool {
		if r.origin != nil {
			return runner.SoftwareVersion != r.origin.Version
		}
		return !r.host.versions.MayBegin(streamService, runner.SoftwareVersion)
	})
}

// findOrigin finds out what began the stream that the request continues, and reports whether it
// may go on.
func (r *request) findOrigin() bool {
	sim, h := r.sim, r.host
	if r.continues == nil || sim.cfg.Versions[0].AnyVersion {
		return true
	}
	for _, other := range append([]*host{h}, sim.othersFor(h, r.id, lookupHosts)...) {
		if origin, ok := other.origins.Get(r.id, sim.clock.now); ok {
			r.origin = &origin
			return true
		}
		if version, ok := other.versions.Sole(streamRoute, true, other.listAsOf, sim.clock.now); ok {
			r.origin = &streams.Origin{Service: streamService, Version: version}
			return true
		}
	}
	sim.result.Versions.Unknown++
	return false
}

// recordFirst records what began the stream, or that it went on.
func (r *request) recordFirst(runner *site.Runner) {
	sim := r.sim
	if !sim.resumable() {
		return
	}
	if r.continues != nil {
		sim.result.Versions.WentOn++
		if r.continues.beganAt != runner.SoftwareVersion {
			sim.result.Versions.Mixed++
		}
		return
	}
	r.beganAt = runner.SoftwareVersion
	origin := streams.Origin{Service: streamService, Version: runner.SoftwareVersion}
	r.host.origins.Record(r.id, origin, true, sim.clock.now)
	if r.host.versions.Announces(streamRoute, r.host.listAsOf, sim.clock.now) {
		sim.tellOrigin(r.host, r.id, origin)
	}
}

// leaveIfDue has the caller leave after leaveAfter events and continue the stream elsewhere.
func (r *request) leaveIfDue() {
	r.events++
	if !r.leaves || r.events != leaveAfter {
		return
	}
	sim := r.sim
	r.finished = true
	r.engine.cancel(r.run)
	r.host.board.RecordEnd(r.engine.runner.ID)
	sim.reportEnd(r.engine.runner.ID, r.key)
	sim.result.countServed(r)
	rest := &request{sim: sim, kind: r.kind, workspace: r.workspace, key: r.key, prompt: r.prompt, id: r.id, continues: r, retried: true}
	rest.output = max(sim.cfg.Engines.Stride, r.output-leaveAfter*sim.cfg.Engines.Stride)
	sim.clock.after(comeBack, func() {
		rest.begun = sim.clock.now
		sim.result.Versions.TakenUp++
		rest.startAttempt()
	})
}

// drawLeaving draws whether the caller of a new request leaves.
func (r *request) drawLeaving() {
	if !r.sim.resumable() {
		return
	}
	r.sim.contents++
	r.id = fmt.Sprintf("s%d", r.sim.contents)
	r.leaves = r.sim.versionDraws.Float64() < r.sim.cfg.Versions[0].LeaveShare && r.output > int(math.Ceil(leaveAfter+1))*r.sim.cfg.Engines.Stride
}
