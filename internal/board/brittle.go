package board

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	// brittleSilence is for how long no answer of a service's runners may say that they are
	// brittle before one that does not say so ends that state.
	brittleSilence = time.Second
	// brittleTTL is how long the state lasts without any answer.
	brittleTTL = time.Minute
	// refusalSpacing divided by the number of requests that a brittle runner may turn away in a
	// second is the least time between two such requests.
	refusalSpacing = 1200 * time.Millisecond
	// minRefusalSpacing and maxRefusalSpacing bound that time.
	minRefusalSpacing = 100 * time.Millisecond
	maxRefusalSpacing = 10 * time.Second
)

// Brittleness tracks the services whose runners announce that they fall over if they have to turn
// away more than a number of requests within a second. It is safe for concurrent use.
type Brittleness struct {
	mu       sync.Mutex
	services map[string]brittle
}

// brittle is the state of one service.
type brittle struct {
	// isBrittle is false if the runners stopped announcing it.
	isBrittle bool
	// perSecond is the number of requests that a runner can turn away in a second.
	perSecond  float64
	reportedAt time.Time
}

// NewBrittleness returns the state of services none of which is brittle.
func NewBrittleness() *Brittleness { return &Brittleness{services: map[string]brittle{}} }

// Record applies the signal in an answer of one of a service's runners to a request sent at a
// time, and reports whether the service's state changed.
func (b *Brittleness) Record(service string, signal Signal, sent, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	before := b.current(service, now)
	switch {
	case signal.Brittle:
		b.services[service] = brittle{isBrittle: true, perSecond: signal.RefusalsPerSecond, reportedAt: now}
		return !before.isBrittle || before.perSecond != signal.RefusalsPerSecond
	case before.isBrittle && sent.After(before.reportedAt) && now.Sub(before.reportedAt) >= brittleSilence:
		b.services[service] = brittle{reportedAt: now}
		return true
	default:
		return false
	}
}

// current returns the state of a service. The caller holds b.mu.
func (b *Brittleness) current(service string, now time.Time) brittle {
	state := b.services[service]
	if now.Sub(state.reportedAt) >= brittleTTL {
		return brittle{}
	}
	return state
}

// Of reports whether a service's runners are brittle, and how many requests each can turn away in
// a second.
func (b *Brittleness) Of(service string, now time.Time) (perSecond float64, isBrittle bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	state := b.current(service, now)
	return state.perSecond, state.isBrittle
}

// Any returns the services whose runners are brittle.
func (b *Brittleness) Any(now time.Time) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var services []string
	for service := range b.services {
		if b.current(service, now).isBrittle {
			services = append(services, service)
		}
	}
	return services
}

// RefusalSpacing returns the least time between two requests that a brittle runner turns away, if
// a number of senders turn to it independently.
func RefusalSpacing(perSecond float64, senders int) time.Duration {
	spacing := time.Duration(float64(refusalSpacing) * float64(max(1, senders)) / max(1, perSecond))
	return min(max(spacing, minRefusalSpacing), maxRefusalSpacing)
}

// BrittleReport is the state of a service as hosts exchange it.
type BrittleReport struct {
	Service string `json:"service"`
	// Brittle is false if the runners no longer say that they are.
	Brittle   bool    `json:"brittle,omitempty"`
	PerSecond float64 `json:"per_s,omitempty"`
	// AgeMS is the time since a runner said so.
	AgeMS int64 `json:"age_ms"`
}

// Reports returns the reports to send to a peer, by service.
func (b *Brittleness) Reports(now time.Time) []BrittleReport {
	b.mu.Lock()
	defer b.mu.Unlock()
	var reports []BrittleReport
	for service, state := range b.services {
		if b.current(service, now).isBrittle || !state.isBrittle && now.Sub(state.reportedAt) < liftedLimitTTL {
			reports = append(reports, BrittleReport{Service: service, Brittle: state.isBrittle, PerSecond: state.perSecond, AgeMS: now.Sub(state.reportedAt).Milliseconds()})
		}
	}
	slices.SortFunc(reports, func(x, y BrittleReport) int { return cmp.Compare(x.Service, y.Service) })
	return reports[:min(len(reports), maxLimitReports)]
}

// Merge applies a peer's report if it is newer than the known state, and reports whether that
// changed it.
func (b *Brittleness) Merge(report BrittleReport, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	before := b.current(report.Service, now)
	reportedAt := now.Add(-time.Duration(report.AgeMS) * time.Millisecond)
	if !reportedAt.After(before.reportedAt.Add(minAgeGain)) {
		return false
	}
	b.services[report.Service] = brittle{isBrittle: report.Brittle, perSecond: report.PerSecond, reportedAt: reportedAt}
	return before.isBrittle != report.Brittle || before.perSecond != report.PerSecond
}
