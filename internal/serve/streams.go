package serve

import (
	"context"
	"slices"
	"time"

	"github.com/cherrystage/cherrystage/internal/site"
	"github.com/cherrystage/cherrystage/internal/streams"
)

// OriginSource is how it is known which software version began a stream.
type OriginSource string

// Sources of a stream's origin.
const (
	OriginUnknown    OriginSource = ""
	OriginRemembered OriginSource = "remembered" // by this host
	OriginTold       OriginSource = "told"       // by another host
	OriginSole       OriginSource = "sole"       // no other version can have begun it
)

// Streams knows which runners may begin a stream, and which may continue it.
type Streams interface {
	// MayBegin reports whether a stream that may be continued may begin at a runner.
	MayBegin(runner *site.Runner) bool
	// OriginOf returns what began the stream of a route whose first event came with the request
	// id. The origin's service is empty if it is not known.
	OriginOf(ctx context.Context, route *site.Route, id string) (streams.Origin, OriginSource)
	// RecordBegin records what began a stream, before its first event is sent to the caller.
	RecordBegin(ctx context.Context, route *site.Route, id string, origin streams.Origin)
}

const (
	// originUnknownRetryAfter is when callers are told to retry if it is not known what began
	// their stream: by then a host that just started has heard from others.
	originUnknownRetryAfter = time.Second
	// versionGoneRetryAfter is the same if no runner has the version any more. It hardly ever
	// comes back.
	versionGoneRetryAfter = 5 * time.Second
)

const (
	reasonOriginUnknown = "it is not known which software version began the stream"
	reasonVersionGone   = "no runner has the software version that began the stream"
)

// continuesStream reports whether the request continues a stream that its caller has the
// beginning of.
func (l *lifecycle) continuesStream() bool {
	return l.s.Streams != nil && l.route.Kind == site.Streaming && l.request.ResumeAfter != ""
}

// findOrigin finds out what began the stream that the request continues. If that is not known, it
// refuses the request and returns false.
func (l *lifecycle) findOrigin(ctx context.Context) bool {
	if !l.continuesStream() {
		return true
	}
	origin, source := l.s.Streams.OriginOf(ctx, l.route, l.request.Resumes)
	l.originSource = source
	if source == OriginUnknown {
		l.s.Counters.OriginsUnknown.Add(1)
		l.refuse(originUnknownRetryAfter, reasonOriginUnknown)
		return false
	}
	l.s.Counters.StreamsContinued.Add(1)
	l.origin = &origin
	return true
}

// pickService returns the name of the service for the request: the one that began its stream
// while the route still sends there.
func (l *lifecycle) pickService(draw float64) string {
	if l.origin != nil && l.route.SendsTo(l.origin.Service) {
		return l.origin.Service
	}
	return l.route.PickService(draw)
}

// eligible returns the runners that may run the request: for the rest of a stream, those of the
// software version that began it.
func (l *lifecycle) eligible(runners []*site.Runner) []*site.Runner {
	if l.s.Streams == nil || l.origin == nil && !l.mayBeContinued() {
		return runners
	}
	l.restriction = ""
	first := slices.IndexFunc(runners, func(runner *site.Runner) bool { return !l.isEligible(runner) })
	if first < 0 {
		return runners
	}
	// The ranks of an adapter's runners differ from those among all of them.
	l.restriction = " of some versions"
	if l.origin != nil {
		l.restriction = " of version " + l.origin.Version
	}
	kept := slices.Clone(runners[:first])
	for _, runner := range runners[first+1:] {
		if l.isEligible(runner) {
			kept = append(kept, runner)
		}
	}
	return kept
}

func (l *lifecycle) isEligible(runner *site.Runner) bool {
	if l.origin != nil {
		return !runner.SoftwareUnknown && runner.SoftwareVersion == l.origin.Version
	}
	return l.s.Streams.MayBegin(runner)
}

// mayBeContinued reports whether the caller may continue the request's stream.
func (l *lifecycle) mayBeContinued() bool {
	return l.route.Kind == site.Streaming && l.route.Resumable
}

// beginStream records, before the first event is passed on, which version began the stream.
func (l *lifecycle) beginStream(ctx context.Context) {
	if l.s.Streams == nil {
		return
	}
	began := l.request.ID
	if l.origin != nil {
		began = l.request.Resumes
	}
	l.origin = &streams.Origin{Service: l.service.Name, Version: l.runner.SoftwareVersion}
	if l.mayBeContinued() && began != "" {
		l.s.Streams.RecordBegin(ctx, l.route, began, *l.origin)
	}
}
