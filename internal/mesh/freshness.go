package mesh

import (
	"slices"
	"sync"
	"time"

	"github.com/cherrystage/cherrystage/internal/registry"
)

// KnownVersion is a host's version of a kind of record.
type KnownVersion struct {
	registry.Version
	// AgeMS is how long ago, in milliseconds, the store confirmed the version as current.
	AgeMS int64 `json:"age_ms"`
}

// unconfirmedAge is the age of a version that the store never confirmed.
const unconfirmedAge = time.Hour

// freshness tracks how current the replicas are. Few hosts watch the store. The others
// learn from them, directly or through further hosts, that their records are complete. A
// host without contact asks the store itself, so that it misses nothing while cut off from
// the others. It is safe for concurrent use.
type freshness struct {
	now func() time.Time

	mu    sync.Mutex
	kinds map[string]*kindFreshness
	// lastContact is when another host last sent its versions.
	lastContact time.Time
}

// kindFreshness tracks how current one replica is and which hosts have newer records.
type kindFreshness struct {
	replica *registry.Replica
	// asOf is the time up to which, according to the store, the replica is complete.
	asOf time.Time
	// backAt is when the store last confirmed the replica again after an outage.
	backAt time.Time
	// staleListAt is when the replica was listed from a stale copy of the store.
	staleListAt time.Time
	// sources are hosts that announced newer records, the latest last. fetching is set
	// while they are being asked.
	sources  []source
	fetching bool
	// missing is the first announced position that the replica does not have, known since
	// missingSince.
	missing      registry.Position
	missingSince time.Time
	// announced is the version of the replica that takeNews last saw.
	announced registry.Version
}

// source is a host with newer records.
type source struct {
	address string
	at      registry.Position
}

// maxSources bounds the sources kept for a kind of record.
const maxSources = 4

func newFreshness(replicas map[string]*registry.Replica, now func() time.Time) *freshness {
	f := &freshness{now: now, kinds: make(map[string]*kindFreshness, len(replicas))}
	for kind, replica := range replicas {
		f.kinds[kind] = &kindFreshness{replica: replica}
	}
	return f
}

// confirm records that a replica is complete up to asOf.
func (f *freshness) confirm(kind string, asOf time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.kinds[kind].confirm(asOf, f.now())
}

func (k *kindFreshness) confirm(asOf, now time.Time) {
	if asOf.After(k.asOf) {
		if asOf.Sub(k.asOf) > outageAge {
			k.backAt = now
		}
		k.asOf = asOf
	}
}

// takeNews reports whether a replica's records differ from those at its last call.
func (f *freshness) takeNews(kind string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	k := f.kinds[kind]
	before, now := k.announced, k.replica.Version()
	k.announced = now
	return now.Digest != before.Digest || now.Era != before.Era
}

// backSince returns how long ago the store confirmed a kind again after an outage, and false
// during one.
func (f *freshness) backSince(kind string) (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	k := f.kinds[kind]
	now := f.now()
	return now.Sub(k.backAt), k.age(now) <= outageAge
}

func (f *freshness) listedStale(kind string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.kinds[kind].staleListAt = f.now()
}

// ageForFallback returns the age that decides when a host asks the store itself. A stale
// listing counts as current, since the watching hosts announce what it lacks.
func (f *freshness) ageForFallback(kind string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	k := f.kinds[kind]
	age := k.age(f.now())
	if !k.staleListAt.IsZero() {
		age = min(age, f.now().Sub(k.staleListAt))
	}
	return age
}

func (f *freshness) age(kind string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.kinds[kind].age(f.now())
}

func (k *kindFreshness) age(now time.Time) time.Duration {
	if k.asOf.IsZero() {
		return unconfirmedAge
	}
	return now.Sub(k.asOf)
}

// behind reports whether newer records are known to exist, and for how long.
func (f *freshness) behind(kind string) (duration time.Duration, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	k := f.kinds[kind]
	if !k.isBehind() {
		return 0, false
	}
	return f.now().Sub(k.missingSince), true
}

func (k *kindFreshness) isBehind() bool { return k.replica.Position().Before(k.missing) }

// silence returns the time since another host last sent anything.
func (f *freshness) silence() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now().Sub(f.lastContact)
}

// confirmedAt returns the time up to which the store has confirmed a kind, or the zero time.
func (f *freshness) confirmedAt(kind string) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.kinds[kind].asOf
}

// confirmedSince reports whether the store confirmed a kind of record as of a time after
// moment.
func (f *freshness) confirmedSince(kind string, moment time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.kinds[kind].asOf.After(moment)
}

func (f *freshness) known() map[string]KnownVersion {
	f.mu.Lock()
	defer f.mu.Unlock()
	known := make(map[string]KnownVersion, len(f.kinds))
	for kind, k := range f.kinds {
		known[kind] = KnownVersion{Version: k.replica.Version(), AgeMS: k.age(f.now()).Milliseconds()}
	}
	return known
}

// minAgeGain is how much younger a confirmation must be to be worth sending. It is a tenth
// of the age at which a host asks the store itself.
const minAgeGain = 150 * time.Millisecond

// newsFor returns the versions that a peer lacks: kinds of which this host has newer
// records, and kinds with the same records but a younger confirmation.
//
// In an idle fleet nearly everything is known already; sent each time, it would make up
// most of the bytes between data centres.
func (f *freshness) newsFor(theirs map[string]KnownVersion) map[string]KnownVersion {
	news := map[string]KnownVersion{}
	for kind, own := range f.known() {
		known, ok := theirs[kind]
		same := own.Digest == known.Digest && own.Era == known.Era
		younger := same && own.AgeMS+minAgeGain.Milliseconds() <= known.AgeMS
		if !ok || younger || !same && known.Before(own.Position) {
			news[kind] = own
		}
	}
	return news
}

// expectEra records that the store answered in an era later than the replica's.
func (f *freshness) expectEra(kind string, era registry.Era) {
	f.mu.Lock()
	defer f.mu.Unlock()
	k := f.kinds[kind]
	if at := (registry.Position{Era: era}); !k.isBehind() && k.replica.Position().Before(at) {
		k.missing, k.missingSince = at, f.now()
	}
}

// noteContact records that another host answered or called.
func (f *freshness) noteContact() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastContact = f.now()
}

// learn merges the versions that the peer at an address had at the given time, and returns
// the kinds to fetch.
func (f *freshness) learn(address string, theirs map[string]KnownVersion, moment time.Time) []string {
	f.adoptPositions(theirs)
	f.mu.Lock()
	defer f.mu.Unlock()
	var fetch []string
	for kind, known := range theirs {
		k := f.kinds[kind]
		if k == nil {
			continue
		}
		own := k.replica.Version()
		switch {
		case own.Digest == known.Digest && own.Era == known.Era && own.Revision > 0:
			k.confirm(moment.Add(-time.Duration(known.AgeMS)*time.Millisecond), f.now())
			k.missing = registry.Position{}
		case own.Before(known.Position):
			k.addSource(source{address: address, at: known.Position}, f.now())
			if !k.fetching {
				k.fetching = true
				fetch = append(fetch, kind)
			}
		}
	}
	return fetch
}

// adoptPositions moves replicas with the same records as a peer's to the peer's position,
// if it belongs to another era or the store has not confirmed them yet.
func (f *freshness) adoptPositions(theirs map[string]KnownVersion) {
	for kind, known := range theirs {
		k := f.kinds[kind]
		if k == nil {
			continue
		}
		if own := k.replica.Position(); own.Era != known.Era || own.Revision == 0 {
			k.replica.AdoptPosition(known.Version)
		}
	}
}

// addSource remembers a host with newer records.
func (k *kindFreshness) addSource(added source, now time.Time) {
	if !k.isBehind() {
		k.missing, k.missingSince = added.at, now
	}
	k.sources = slices.DeleteFunc(k.sources, func(known source) bool { return known.address == added.address })
	if len(k.sources) >= maxSources {
		k.sources = slices.Delete(k.sources, 0, 1)
	}
	k.sources = append(k.sources, added)
}

// nextSource removes and returns the host that last announced newer records; it is asked
// again once it announces them again. If there is none, the fetch ends.
func (f *freshness) nextSource(kind string) (address string, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	k := f.kinds[kind]
	own := k.replica.Position()
	for len(k.sources) > 0 {
		last := k.sources[len(k.sources)-1]
		k.sources = k.sources[:len(k.sources)-1]
		if own.Before(last.at) {
			return last.address, true
		}
	}
	k.fetching = false
	return "", false
}
