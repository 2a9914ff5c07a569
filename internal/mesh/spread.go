package mesh

import (
	"slices"
	"sync"
	"time"

	"github.com/cherrystage/cherrystage/internal/registry"
)

// Known is what a host knows of a kind of record.
type Known struct {
	registry.Version
	// AgeMS is how long ago the store said that this is all.
	AgeMS int64 `json:"age_ms"`
}

// unconfirmed is the age of what the store never confirmed.
const unconfirmed = time.Hour

// spread keeps how fresh the replicas are. Few hosts watch the store; the others
// hear from them, or from who heard, that they have everything. A host that
// hears nothing asks the store itself, so hosts that are cut off from the
// others miss nothing. It is safe for concurrent use.
type spread struct {
	now func() time.Time

	mu    sync.Mutex
	kinds map[string]*knowledge
	// heardAt is when another host last told what it knows.
	heardAt time.Time
}

// knowledge is how fresh one replica is, and who has more.
type knowledge struct {
	replica *registry.Replica
	// asOf is a moment up to which the replica has everything, by the store's word.
	asOf time.Time
	// copiedAt is when the replica was listed from a copy of the store.
	copiedAt time.Time
	// sources are hosts that told of more than the replica has, the last one last;
	// fetching says that they are being asked.
	sources  []source
	fetching bool
	// lacks is the position that the replica was first told of and does not have, since
	// lackingSince.
	lacks        registry.Position
	lackingSince time.Time
}

// source is a host that has more than this one.
type source struct {
	address string
	at      registry.Position
}

// maxSources is how many hosts that have more of a kind of record are remembered.
const maxSources = 4

func newSpread(replicas map[string]*registry.Replica, now func() time.Time) *spread {
	s := &spread{now: now, kinds: make(map[string]*knowledge, len(replicas))}
	for kind, replica := range replicas {
		s.kinds[kind] = &knowledge{replica: replica}
	}
	return s
}

// confirmed notes that a replica has everything up to a moment.
func (s *spread) confirmed(kind string, asOf time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.kinds[kind].confirmed(asOf)
}

func (k *knowledge) confirmed(asOf time.Time) {
	if asOf.After(k.asOf) {
		k.asOf = asOf
	}
}

func (s *spread) copied(kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.kinds[kind].copiedAt = s.now()
}

// patienceAge is the age by which a host turns to the store itself: a listing from a
// copy counts as new, for the hosts that watch tell what it lacks.
func (s *spread) patienceAge(kind string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.kinds[kind]
	age := k.age(s.now())
	if !k.copiedAt.IsZero() {
		age = min(age, s.now().Sub(k.copiedAt))
	}
	return age
}

func (s *spread) age(kind string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.kinds[kind].age(s.now())
}

func (k *knowledge) age(now time.Time) time.Duration {
	if k.asOf.IsZero() {
		return unconfirmed
	}
	return now.Sub(k.asOf)
}

// behind says whether there is more than this host has, and for how long it has known.
func (s *spread) behind(kind string) (since time.Duration, lacks bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.kinds[kind]
	if !k.lacking() {
		return 0, false
	}
	return s.now().Sub(k.lackingSince), true
}

func (k *knowledge) lacking() bool { return k.replica.Position().Before(k.lacks) }

// silence gives how long no other host has told anything.
func (s *spread) silence() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.now().Sub(s.heardAt)
}

// since says whether a kind of record was confirmed as of a moment or later.
func (s *spread) since(kind string, moment time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.kinds[kind].asOf.After(moment)
}

func (s *spread) known() map[string]Known {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := make(map[string]Known, len(s.kinds))
	for kind, k := range s.kinds {
		known[kind] = Known{Version: k.replica.Version(), AgeMS: k.age(s.now()).Milliseconds()}
	}
	return known
}

// fresher is by how much what a host knows has to be younger to be worth telling. It
// is a tenth of the age from which a host asks the store itself.
const fresher = 150 * time.Millisecond

// lacking gives what a peer lacks of what this host knows: kinds of which it knows
// less, and those of which it knows the same for longer.
//
// Of what heartbeats say in a fleet at rest nearly all is known; told each time, it is the
// larger part of what goes between data centres.
func (s *spread) lacking(theirs map[string]Known) map[string]Known {
	lacking := map[string]Known{}
	for kind, own := range s.known() {
		known, told := theirs[kind]
		same := own.Digest == known.Digest && own.Era == known.Era
		younger := same && own.AgeMS+fresher.Milliseconds() <= known.AgeMS
		if !told || younger || !same && known.Before(own.Position) {
			lacking[kind] = own
		}
	}
	return lacking
}

// newEra notes that the store answered in an era of which the replica knows nothing yet.
func (s *spread) newEra(kind string, era registry.Era) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.kinds[kind]
	if at := (registry.Position{Era: era}); !k.lacking() && k.replica.Position().Before(at) {
		k.lacks, k.lackingSince = at, s.now()
	}
}

// heard notes that another host answered or asked.
func (s *spread) heard() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heardAt = s.now()
}

// learn takes over what the peer at an address knew at a moment, and gives the kinds that
// are now to be fetched.
func (s *spread) learn(address string, theirs map[string]Known, moment time.Time) []string {
	s.adopt(theirs)
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
			k.confirmed(moment.Add(-time.Duration(known.AgeMS) * time.Millisecond))
			k.lacks = registry.Position{}
		case own.Before(known.Position):
			k.told(source{address: address, at: known.Position}, s.now())
			if !k.fetching {
				k.fetching = true
				fetch = append(fetch, kind)
			}
		}
	}
	return fetch
}

// adopt moves replicas that hold what a peer does to the peer's position, where that is of
// another era or they have not had the store's own word.
func (s *spread) adopt(theirs map[string]Known) {
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

// told remembers who has more.
func (k *knowledge) told(by source, now time.Time) {
	if !k.lacking() {
		k.lacks, k.lackingSince = by.at, now
	}
	k.sources = slices.DeleteFunc(k.sources, func(known source) bool { return known.address == by.address })
	if len(k.sources) >= maxSources {
		k.sources = slices.Delete(k.sources, 0, 1)
	}
	k.sources = append(k.sources, by)
}

// nextSource gives the host that last told of more than this one has, and forgets it: it is
// asked again once it tells so again. Without any the fetching has ended.
func (s *spread) nextSource(kind string) (address string, ok bool) {
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
