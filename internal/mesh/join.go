package mesh

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cherrystage/cherrystage/internal/peer"
)

const (
	// silenceBeforeQuery is how long a host waits without contact before it queries peers:
	// two heartbeats of a large fleet, which leaves half of the two seconds in which a
	// configuration must take effect.
	silenceBeforeQuery = 900 * time.Millisecond
	// queryInterval is the minimum time between two queries, of about 0.5 KB each.
	queryInterval = 400 * time.Millisecond
)

// KnownResult holds a host's version of each kind of record.
type KnownResult struct {
	Known map[string]KnownVersion `json:"known"`
}

func (s *Service) handleKnown(context.Context, peer.Identity, struct{}) (KnownResult, error) {
	return KnownResult{Known: s.freshness.known()}, nil
}

// queryPeers asks one host for its versions while no other host contacts this one.
//
// A process that starts while the store is down or refuses its host knows no other host
// and gets no heartbeats, since its record does not exist. Without this query it rejected
// all requests until the store came back, up to eight seconds later. Peers from the
// settings are as good a source as the store, because replicas never go back to an older
// version.
func (s *Service) queryPeers(ctx context.Context) {
	now := s.Now()
	if now.Sub(s.started) < queryInterval || now.Sub(s.queriedAt) < queryInterval || s.freshness.silence() < silenceBeforeQuery {
		return
	}
	s.queriedAt = now
	candidates := s.queryCandidates()
	if len(candidates) == 0 {
		return
	}
	if s.queries == 0 {
		s.queries = rand.IntN(len(candidates))
	}
	// Candidates are asked in turn. With a random choice each time, one process in eight
	// asked a dead host three times in a row and began to serve a second later.
	address := candidates[s.queries%len(candidates)]
	s.queries++
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	sent := s.Now()
	var answer KnownResult
	if err := s.Pool.Call(ctx, address, methodKnown, struct{}{}, &answer); err != nil {
		s.Log.Debug("querying peer failed", "address", address, "error", err.Error())
		return
	}
	s.learn("", address, answer.Known, nil, sent)
}

// queryCandidates returns the addresses of the other known hosts, or the seeds from the
// settings if none is known.
func (s *Service) queryCandidates() []string {
	var known []string
	for _, host := range s.State.Members() {
		if address, ok := s.State.AddressOf(host); ok && address != s.Address {
			known = append(known, address)
		}
	}
	if len(known) > 0 {
		return known
	}
	for _, seed := range s.Seeds {
		if seed != s.Address {
			known = append(known, seed)
		}
	}
	return known
}

const (
	// watcherRetryPause is the longest pause after a failed store call on a host that
	// watches for others or has no contact to other hosts.
	watcherRetryPause = 500 * time.Millisecond
	// followerRetryPause is the longest such pause on other hosts, in a fleet of up to
	// followerPauseFleet hosts. In a larger fleet it grows in proportion, so that the
	// total rate of calls stays the same: one outage would otherwise cost a large fleet
	// most of a day's calls.
	followerRetryPause = 3 * time.Second
	followerPauseFleet = 20
	// contactTimeout is how long after the last message from another host this host counts
	// as in contact.
	contactTimeout = 1200 * time.Millisecond
	// fallbackStep is the time between two turns of hosts that ask the store in place of
	// the watchers. Within two steps, a new version reaches the peers of the host that found
	// it and the peers of those.
	fallbackStep = 40 * time.Millisecond
	// behindTimeout is how long a host that knows of a newer version waits for other hosts
	// to supply it before it asks the store.
	behindTimeout = 400 * time.Millisecond
)

// MaxRetryPause returns the longest pause after a failed store call for a kind of record.
func (s *Service) MaxRetryPause(kind string) time.Duration {
	if s.State.IsWatcher(kind) || s.freshness.silence() > contactTimeout {
		return watcherRetryPause
	}
	return followerRetryPause * time.Duration(max(followerPauseFleet, s.State.Size())) / followerPauseFleet
}
