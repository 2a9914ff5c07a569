package mesh

import (
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
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
	kinds map[string]*registry.Replica
	now   func() time.Time

	mu sync.Mutex
	at map[string]time.Time
	// copiedAt is when a kind was listed from a copy of the store.
	copiedAt map[string]time.Time
	fetching map[string]bool
	// behindSince is when another host first told of more than this one has.
	behindSince map[string]time.Time
	// heardAt is when another host last told what it knows.
	heardAt time.Time
}

func newSpread(kinds map[string]*registry.Replica, now func() time.Time) *spread {
	return &spread{kinds: kinds, now: now, at: map[string]time.Time{}, copiedAt: map[string]time.Time{}, fetching: map[string]bool{}, behindSince: map[string]time.Time{}}
}

func (s *spread) confirmed(kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.at[kind] = s.now()
	delete(s.behindSince, kind)
}

func (s *spread) copied(kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.copiedAt[kind] = s.now()
}

// patienceAge is the age by which a host turns to the store itself: a listing from a
// copy counts as new, for the hosts that watch tell what it lacks.
func (s *spread) patienceAge(kind string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	age := s.ageOf(kind)
	if at, ok := s.copiedAt[kind]; ok {
		age = min(age, s.now().Sub(at))
	}
	return age
}

func (s *spread) age(kind string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ageOf(kind)
}

func (s *spread) ageOf(kind string) time.Duration {
	at, ok := s.at[kind]
	if !ok {
		return unconfirmed
	}
	return s.now().Sub(at)
}

// silence gives how long no other host has told anything.
func (s *spread) silence() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.now().Sub(s.heardAt)
}

// lot draws a number in [0, 1) for a host, another one each time that a kind of
// record was confirmed.
func (s *spread) lot(kind, host string) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	drawn := xxhash.Sum64String(host + "\x00" + kind + "\x00" + strconv.FormatInt(s.at[kind].UnixNano(), 10))
	return float64(drawn>>11) / (1 << 53)
}

// since says whether a kind of record was confirmed after a moment.
func (s *spread) since(kind string, moment time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.at[kind].After(moment)
}

func (s *spread) known() map[string]Known {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := make(map[string]Known, len(s.kinds))
	for kind, replica := range s.kinds {
		known[kind] = Known{Version: replica.Version(), AgeMS: s.ageOf(kind).Milliseconds()}
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
		younger := own.Digest == known.Digest && own.AgeMS+fresher.Milliseconds() <= known.AgeMS
		if !told || younger || own.Digest != known.Digest && own.Revision > known.Revision {
			lacking[kind] = own
		}
	}
	return lacking
}

// heard notes that another host answered or asked.
func (s *spread) heard() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heardAt = s.now()
}

// learn takes over what a peer knows and gives the kinds to fetch from it.
func (s *spread) learn(theirs map[string]Known) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var fetch []string
	for kind, known := range theirs {
		replica := s.kinds[kind]
		if replica == nil {
			continue
		}
		own := replica.Version()
		switch {
		case own.Digest == known.Digest && own.Revision > 0:
			at := s.now().Add(-time.Duration(known.AgeMS) * time.Millisecond)
			if at.After(s.at[kind]) {
				s.at[kind] = at
			}
		case known.Revision > own.Revision:
			if s.behindSince[kind].IsZero() {
				s.behindSince[kind] = s.now()
			}
			if !s.fetching[kind] {
				s.fetching[kind] = true
				fetch = append(fetch, kind)
			}
		}
	}
	return fetch
}

// behind gives for how long it has been known that there is more than this host has.
func (s *spread) behind(kind string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.behindSince[kind].IsZero() {
		return 0
	}
	return s.now().Sub(s.behindSince[kind])
}

// caughtUp notes that this host has what it was told of.
func (s *spread) caughtUp(kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.behindSince, kind)
}

func (s *spread) fetched(kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.fetching, kind)
}
