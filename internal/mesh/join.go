package mesh

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cherrystage/cherrystage/internal/peer"
)

const (
	// silenceBeforeQuery is how long nobody may tell a host anything before it asks. It is
	// as long as two heartbeats and leaves half of a configuration's two seconds.
	silenceBeforeQuery = 900 * time.Millisecond
	// queryInterval is the least time between two such questions, some 0.5 KB each.
	queryInterval = 400 * time.Millisecond
)

// KnownResult tells what a host knows of each kind of record.
type KnownResult struct {
	Known map[string]KnownVersion `json:"known"`
}

func (s *Service) handleKnown(context.Context, peer.Identity, struct{}) (KnownResult, error) {
	return KnownResult{Known: s.freshness.known()}, nil
}

// queryPeers asks a host for what it knows while nobody tells this host anything.
//
// The failure it answers: a process starts while the store is down or turns its
// host away. It knows no other host, nobody sends it heartbeats since its record
// is not there, and it turned all callers away until the store came back, eight
// seconds on a bad day. The settings name hosts to begin with, and what those know
// is as good as the store's word: replicas never go back.
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
	// In turn: drawn anew each time, a host that is gone was asked three times in a
	// row by one process in eight, which then did not serve for a second more.
	address := candidates[s.queries%len(candidates)]
	s.queries++
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	sent := s.Now()
	var answer KnownResult
	if err := s.Pool.Call(ctx, address, methodKnown, struct{}{}, &answer); err != nil {
		s.Log.Debug("host asked for what it knows does not answer", "address", address, "error", err.Error())
		return
	}
	s.learn("", address, answer.Known, nil, sent)
}

// queryCandidates gives the other hosts that can be asked: those that are known, or
// else those that the settings name.
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
	// watcherRetryPause is the longest pause after a failed call to the store of a host
	// that others rely on, or that hears no other host.
	watcherRetryPause = 500 * time.Millisecond
	// followerRetryPause is that of a host that hears others, in a fleet of up to
	// patientFleet hosts; in a larger one it grows with the fleet, so that as
	// many ask in all: one outage would otherwise cost a large fleet most of a day's calls.
	followerRetryPause = 3 * time.Second
	followerPauseFleet = 20
	// contactTimeout is how long a host counts as hearing others.
	contactTimeout = 1200 * time.Millisecond
	// fallbackStep is the time between two turns to ask the store in place of hosts that
	// watch. What one learns reaches the hosts that it tells, and those that they tell,
	// within two steps.
	fallbackStep = 40 * time.Millisecond
	// behindTimeout is how long a host that knows of more than it has leaves it to other
	// hosts to give it that.
	behindTimeout = 400 * time.Millisecond
)

// MaxRetryPause gives the longest pause after a failed call to the store for a kind of
// record.
func (s *Service) MaxRetryPause(kind string) time.Duration {
	if s.State.IsWatcher(kind) || s.freshness.silence() > contactTimeout {
		return watcherRetryPause
	}
	return followerRetryPause * time.Duration(max(followerPauseFleet, s.State.Size())) / followerPauseFleet
}
