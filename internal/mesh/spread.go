package mesh

import (
	"slices"
	"sync"
	"time"

	"github.com/cherrystage/cherrystage/internal/registry"
)

// KnownVersion is what a host knows of a kind of record.
type KnownVersion struct {
	registry.Version
	// AgeMS is how long ago the store said that this is all.
	AgeMS int64 `json:"age_ms"`
}

// unconfirmedAge is the age of what the store never confirmed.
const unconfirmedAge = time.Hour

// freshness keeps how fresh the replicas are. Few hosts watch the store; the others
// hear from them, or from who heard, that they have everything. A host that
// hears nothing asks the store itself, so hosts that are cut off from the
// others miss nothing. It is safe for concurrent use.
type freshness struct {
	now func() time.Time

	mu    sync.Mutex
	kinds map[string]*kindFreshness
	// lastContact is when another host last told what it knows.
	lastContact time.Time
}

// kindFreshness is how fresh one replica is, and who has more.
type kindFreshness struct {
	replica *registry.Replica
	// asOf is a moment up to which the replica has everything, by the store's word.
	asOf time.Time
	// staleListAt is when the replica was listed from a copy of the store.
	staleListAt time.Time
	// sources are hosts that told of more than the replica has, the last one last;
	// fetching says that they are being asked.
	sources  []source
	fetching bool
	// missing is the position that the replica was first told of and does not have, since
	// lackingSince.
	missing      registry.Position
	missingSince time.Time
}

// source is a host that has more than this one.
type source struct {
	address string
	at      registry.Position
}

// maxSources is how many hosts that have more of a kind of record are remembered.
const maxSources = 4

func newFreshness(replicas map[string]*registry.Replica, now func() time.Time) *freshness {
	s := &freshness{now: now, kinds: make(map[string]*kindFreshness, len(replicas))}
	for kind, replica := range replicas {
		s.kinds[kind] = &kindFreshness{replica: replica}
	}
	return s
}

// confirm notes that a replica has everything up to a moment.
func (s *freshness) confirm(kind string, asOf time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.kinds[kind].confirm(asOf)
}

func (k *kindFreshness) confirm(asOf time.Time) {
	if asOf.After(k.asOf) {
		k.asOf = asOf
	}
}

func (s *freshness) listedStale(kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.kinds[kind].staleListAt = s.now()
}

// ageForFallback is the age by which a host turns to the store itself: a listing from a
// copy counts as new, for the hosts that watch tell what it lacks.
func (s *freshness) ageForFallback(kind string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.kinds[kind]
	age := k.age(s.now())
	if !k.staleListAt.IsZero() {
		age = min(age, s.now().Sub(k.staleListAt))
	}
	return age
}

func (s *freshness) age(kind string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.kinds[kind].age(s.now())
}

func (k *kindFreshness) age(now time.Time) time.Duration {
	if k.asOf.IsZero() {
		return unconfirmedAge
	}
	return now.Sub(k.asOf)
}

// behind says whether there is more than this host has, and for how long it has known.
func (s *freshness) behind(kind string) (since time.Duration, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.kinds[kind]
	if !k.isBehind() {
		return 0, false
	}
	return s.now().Sub(k.missingSince), true
}

func (k *kindFreshness) isBehind() bool { return k.replica.Position().Before(k.missing) }

// silence gives how long no other host has told anything.
func (s *freshness) silence() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.now().Sub(s.lastContact)
}

// confirmedSince says whether a kind of record was confirmed as of a moment or later.
func (s *freshness) confirmedSince(kind string, moment time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.kinds[kind].asOf.After(moment)
}

func (s *freshness) known() map[string]KnownVersion {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := make(map[string]KnownVersion, len(s.kinds))
	for kind, k := range s.kinds {
		known[kind] = KnownVersion{Version: k.replica.Version(), AgeMS: k.age(s.now()).Milliseconds()}
	}
	return known
}

// minAgeGain is by how much what a host knows has to be younger to be worth telling. It
// is a tenth of the age from which a host asks the store itself.
const minAgeGain = 150 * time.Millisecond

// newsFor gives what a peer lacks of what this host knows: kinds of which it knows
// less, and those of which it knows the same for longer.
//
// Of what heartbeats say in a fleet at rest nearly all is known; told each time, it is the
// larger part of what goes between data centres.
func (s *freshness) newsFor(theirs map[string]KnownVersion) map[string]KnownVersion {
	lacking := map[string]KnownVersion{}
	for kind, own := range s.known() {
		known, told := theirs[kind]
		same := own.Digest == known.Digest && own.Era == known.Era
		younger := same && own.AgeMS+minAgeGain.Milliseconds() <= known.AgeMS
		if !told || younger || !same && known.Before(own.Position) {
			lacking[kind] = own
		}
	}
	return lacking
}

// expectEra notes that the store answered in an era of which the replica knows nothing yet.
func (s *freshness) expectEra(kind string, era registry.Era) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.kinds[kind]
	if at := (registry.Position{Era: era}); !k.isBehind() && k.replica.Position().Before(at) {
		k.missing, k.missingSince = at, s.now()
	}
}

// noteContact notes that another host answered or asked.
func (s *freshness) noteContact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastContact = s.now()
}

// learn takes over what the peer at an address knew at a moment, and gives the kinds that
// are now to be fetched.
func (s *freshness) learn(address string, theirs map[string]KnownVersion, moment time.Time) []string {
	s.adoptPositions(theirs)
	s.mu.Lock()
	defer s.mu.Unlock()
	var fetch []string
	for kind, known := range theirs {
		k := s.kinds[kind]
		if k == nil {
			continue
		}
		own := k.replica.Version()
		switch {
		case own.Digest == known.Digest && own.Era == known.Era && own.Revision > 0:
			k.confirm(moment.Add(-time.Duration(known.AgeMS) * time.Millisecond))
			k.missing = registry.Position{}
		case own.Before(known.Position):
			k.addSource(source{address: address, at: known.Position}, s.now())
			if !k.fetching {
				k.fetching = true
				fetch = append(fetch, kind)
			}
		}
	}
	return fetch
}

// adoptPositions moves replicas that hold what a peer does to the peer's position, where that is of
// another era or they have not had the store's own word.
func (s *freshness) adoptPositions(theirs map[string]KnownVersion) {
	for kind, known := range theirs {
		k := s.kinds[kind]
		if k == nil {
			continue
		}
		if own := k.replica.Position(); own.Era != known.Era || own.Revision == 0 {
			k.replica.AdoptPosition(known.Version)
		}
	}
}

// addSource remembers who has more.
func (k *kindFreshness) addSource(by source, now time.Time) {
	if !k.isBehind() {
		k.missing, k.missingSince = by.at, now
	}
	k.sources = slices.DeleteFunc(k.sources, func(known source) bool { return known.address == by.address })
	if len(k.sources) >= maxSources {
		k.sources = slices.Delete(k.sources, 0, 1)
	}
	k.sources = append(k.sources, by)
}

// nextSource gives the host that last told of more than this one has, and forgets it: it is
// asked again once it tells so again. Without any the fetching has ended.
func (s *freshness) nextSource(kind string) (address string, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.kinds[kind]
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
