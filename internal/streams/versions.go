package streams

import (
	"slices"
	"sync"
	"time"
)

const (
	// ActivationDelay is the least time from the listing of a runner with a new version until the
	// first stream that may be continued begins at that version. A host whose list of runners is
	// younger than that knows every version that can have begun a stream.
	ActivationDelay = 3 * time.Second
	// AnnounceAge is the age of the list of runners from which a host tells others of the streams
	// that it begins although it knows of one version only: those who cannot show any more that
	// there is no other ask for them from ActivationDelay on.
	AnnounceAge = 2 * time.Second
)

// Observation is what a host's lists say at one moment.
type Observation struct {
	// AsOf is the time up to which the list of runners is known to be complete.
	AsOf time.Time
	// RecordsAsOf is the time up to which the records of versions are known to be complete.
	RecordsAsOf time.Time
	// Versions holds the software versions of each service's listed runners.
	Versions map[string][]string
}

// Versions tracks which software versions may have begun the streams that callers may still
// continue. Its methods take the current time as an argument and do no I/O. It is safe for
// concurrent use.
//
// A version begins such streams only once it stands in a record in the store, which is written
// ActivationDelay after its first runner was listed. So a host that starts, or that lost everything
// together with all others, reads there which versions may have begun a stream, and a host with a
// younger list knows that no version is missing in it.
type Versions struct {
	mu sync.Mutex
	// asOf is that of the latest observation, zero before the first one, and observedAt its time.
	asOf, observedAt time.Time
	// gapEnd is the AsOf of the first list after one that was ActivationDelay older, recordsAsOf the
	// time up to which the records are complete.
	//
	// In such a gap a version may have been listed, recorded and have left again. It then stands in
	// no list that this host has seen, but in the record, for as long as its streams may go on. So the
	// list shows nothing until the records are complete up to the gap's end.
	gapEnd, recordsAsOf time.Time
	since               time.Time
	services            map[string]*serviceVersions
	// targets holds the services of each streaming route, by the route's key; past holds those
	// that it was sent to before, and until when.
	targets      map[string][]string
	past         map[string]map[string]time.Time
	recordsKnown bool
	// generation counts the changes of what is known.
	generation int
}

// serviceVersions is what is known of the versions of one service.
type serviceVersions struct {
	seen map[string]sighting
	// recorded holds the versions in the service's record, and since when this host knows that.
	recorded map[string]time.Time
}

// sighting tells when runners of a version were listed.
type sighting struct {
	first, last time.Time
	// mayBegin is the earliest time at which any host can have begun a stream at the version.
	mayBegin time.Time
}

// NewVersions returns a tracker that knows no version.
func NewVersions(now time.Time) *Versions {
	return &Versions{since: now, services: map[string]*serviceVersions{}, past: map[string]map[string]time.Time{}}
}

func (v *Versions) service(name string) *serviceVersions {
	s := v.services[name]
	if s == nil {
		s = &serviceVersions{seen: map[string]sighting{}, recorded: map[string]time.Time{}}
		v.services[name] = s
	}
	return s
}

// Observe records what the lists say.
func (v *Versions) Observe(o Observation, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.observedAt, v.recordsAsOf = now, o.RecordsAsOf
	for name, versions := range o.Versions {
		if v.service(name).observe(versions, v.asOf, now) {
			v.generation++
		}
	}
	v.forgetOld(now)
	if len(o.Versions) > 0 && o.AsOf.After(v.asOf) && now.Sub(o.AsOf) < Retention {
		v.noteGap(o.AsOf)
		v.asOf = o.AsOf
	}
}

// noteGap sets gapEnd if a list is the first one after a gap. A host that starts has read the records
// shortly before its first list, or reads them later.
func (v *Versions) noteGap(asOf time.Time) {
	before := v.asOf
	if before.IsZero() {
		before = v.recordsAsOf
	}
	if !before.IsZero() && asOf.Sub(before) >= ActivationDelay {
		v.gapEnd = asOf
	}
}

// listIsFresh reports whether the list of runners, complete up to asOf if it has been observed, shows
// every version that can have begun a stream by now and is in no record.
func (v *Versions) listIsFresh(asOf, now time.Time, limit time.Duration) bool {
	if v.asOf.Before(asOf) {
		asOf = v.asOf
	}
	return now.Sub(asOf) < limit && !v.recordsAsOf.Before(v.gapEnd)
}

// observe records the listed versions and reports whether one is new. before is the time up to
// which the list before was complete, zero if there was none.
func (s *serviceVersions) observe(versions []string, before, now time.Time) (changed bool) {
	for _, version := range versions {
		known, ok := s.seen[version]
		if !ok {
			changed = true
			known = sighting{first: now}
			if !before.IsZero() {
				known.mayBegin = before.Add(ActivationDelay)
			}
		}
		known.last = now
		s.seen[version] = known
	}
	return changed
}

// SetTargets records the services that each streaming route is sent to, by the route's key.
func (v *Versions) SetTargets(targets map[string][]string, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for route, services := range v.targets {
		for _, service := range services {
			if slices.Contains(targets[route], service) {
				continue
			}
			if v.past[route] == nil {
				v.past[route] = map[string]time.Time{}
			}
			v.past[route][service] = now
		}
	}
	v.targets = targets
	v.generation++
}

// servicesOf returns the services at which streams of a route can have begun.
func (v *Versions) servicesOf(route string) []string {
	services := slices.Clone(v.targets[route])
	for service := range v.past[route] {
		services = append(services, service)
	}
	return services
}

func (v *Versions) forgetOld(now time.Time) {
	for _, s := range v.services {
		for version, known := range s.seen {
			if now.Sub(known.last) >= Retention {
				delete(s.seen, version)
				v.generation++
			}
		}
	}
	for route, services := range v.past {
		for service, last := range services {
			if now.Sub(last) >= Retention {
				delete(services, service)
			}
		}
		if len(services) == 0 {
			delete(v.past, route)
		}
	}
}

// SetRecord records the versions that the store lists for a service.
func (v *Versions) SetRecord(service string, versions []string, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	s := v.service(service)
	recorded := map[string]time.Time{}
	for _, version := range versions {
		recorded[version] = now
		if since, known := s.recorded[version]; known {
			recorded[version] = since
		}
	}
	s.recorded = recorded
	v.generation++
}

// SetRecordsKnown records that all records of the store have been read at least once.
func (v *Versions) SetRecordsKnown() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.recordsKnown = true
}

// all returns every version that the host knows of, including those that begin no stream yet.
func (s *serviceVersions) all() map[string]bool {
	known := map[string]bool{}
	for version := range s.seen {
		known[version] = true
	}
	for version := range s.recorded {
		known[version] = true
	}
	return known
}

// MayBegin reports whether a stream that may be continued may begin at a version. While a service
// has a single version, that one may always: nothing else can be confused with it, and callers must
// be served while the store takes no writes.
func (v *Versions) MayBegin(service, version string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	s := v.services[service]
	if s == nil || !v.recordsKnown {
		return false
	}
	if _, recorded := s.recorded[version]; recorded {
		return true
	}
	all := s.all()
	return len(all) == 1 && all[version]
}

// Sole returns the version that began a stream of a route of which nothing is known, if only one
// can have begun it. asOf is the time up to which the list of runners is complete now. The streams
// of a route that is not resumable begin at any version, so there no other may be known at all.
func (v *Versions) Sole(route string, resumable bool, asOf, now time.Time) (version string, ok bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.recordsKnown || !v.listIsFresh(asOf, now, ActivationDelay) {
		return "", false
	}
	candidates := map[string]bool{}
	for _, service := range v.servicesOf(route) {
		v.service(service).addCandidates(candidates, resumable, now)
	}
	if len(candidates) != 1 {
		return "", false
	}
	for only := range candidates {
		version = only
	}
	return version, true
}

// addCandidates adds the versions that may have begun a stream by now.
func (s *serviceVersions) addCandidates(into map[string]bool, resumable bool, now time.Time) {
	for version, known := range s.seen {
		if !resumable || !known.mayBegin.After(now) {
			into[version] = true
		}
	}
	for version := range s.recorded {
		into[version] = true
	}
}

// Announces reports whether the streams of a route are told to other hosts when they begin.
func (v *Versions) Announces(route string, asOf, now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return !v.listIsFresh(asOf, now, AnnounceAge) || v.haveSeveral(v.servicesOf(route))
}

// haveSeveral reports whether services have more than one version together.
func (v *Versions) haveSeveral(services []string) bool {
	all := map[string]bool{}
	for _, service := range services {
		for version := range v.service(service).all() {
			all[version] = true
		}
	}
	return len(all) > 1
}

// AnnouncesAny reports whether the streams of any route are told to other hosts.
func (v *Versions) AnnouncesAny(asOf, now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.listIsFresh(asOf, now, AnnounceAge) {
		return true
	}
	for route := range v.targets {
		if v.haveSeveral(v.servicesOf(route)) {
			return true
		}
	}
	return false
}

// Generation returns the number of changes so far of what is known of versions.
func (v *Versions) Generation() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.generation
}

// WantedRecords returns the versions that the record of each service with resumable streams should
// list, for those whose record differs. asOf is as for Sole.
func (v *Versions) WantedRecords(asOf, now time.Time) map[string][]string {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.recordsKnown || now.Sub(asOf) >= ActivationDelay {
		return nil
	}
	wanted := map[string][]string{}
	for _, services := range v.targets {
		for _, service := range services {
			if versions, differs := v.wantedRecord(v.service(service), now); differs {
				wanted[service] = versions
			}
		}
	}
	return wanted
}

// wantedRecord returns the versions that a service's record should list. A version is added while it is
// listed: one that has left begins no more streams. It is removed by a host that has seen no runner of
// it for Retention.
func (v *Versions) wantedRecord(s *serviceVersions, now time.Time) (versions []string, differs bool) {
	for version, since := range s.recorded {
		_, seen := s.seen[version]
		if !seen && now.Sub(since) >= Retention && now.Sub(v.since) >= Retention {
			differs = true
			continue
		}
		versions = append(versions, version)
	}
	for version, known := range s.seen {
		listed := known.last.Equal(v.observedAt)
		if _, recorded := s.recorded[version]; !recorded && listed && now.Sub(known.first) >= ActivationDelay {
			versions = append(versions, version)
			differs = true
		}
	}
	slices.Sort(versions)
	return versions, differs
}
