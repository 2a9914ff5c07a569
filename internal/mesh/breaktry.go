package mesh

import (
	"context"
	"time"

	"github.com/cherrystage/cherrystage/internal/peer"
	"github.com/cherrystage/cherrystage/internal/registry"
)

// breakAttempt is the try to end one dead host's lease.
type breakAttempt struct {
	running bool
	// retryAt is when it may be tried retryAt, pause how long after the last try.
	retryAt time.Time
	backoff time.Duration
}

const (
	// breakBackoff is the pause after a try to end a lease that too few witnesses agreed
	// to, and longestBreakPause what it grows to, doubled each time. Witnesses that are
	// back or whose own lease is ended make it succeed; they take seconds to.
	breakBackoff    = 500 * time.Millisecond
	maxBreakBackoff = 10 * time.Second
)

// startBreak begins to end a dead host's lease, unless that is under way or was tried a
// moment ago.
//
// The failure it answers: many hosts fall silent at once. The votes on each of them
// wait a second for witnesses that are silent too. Asked for one after the other, they
// kept the survivors from renewing their own leases, so these lapsed as well, and all
// runners were without an owner. Asked for side by side and seldom, they keep nobody
// from anything.
func (s *Service) startBreak(ctx context.Context, dead DeadHost) {
	s.mu.Lock()
	defer s.mu.Unlock()
	try := s.breakAttempts[dead.Host]
	if try == nil {
		try = &breakAttempt{backoff: breakBackoff}
		s.breakAttempts[dead.Host] = try
	}
	if try.running || s.Now().Before(try.retryAt) {
		return
	}
	try.running = true
	go func() {
		s.breakLease(ctx, dead)
		s.mu.Lock()
		defer s.mu.Unlock()
		try.running = false
		try.retryAt = s.Now().Add(try.backoff)
		try.backoff = min(2*try.backoff, maxBreakBackoff)
	}()
}

// pruneBreakAttempts drops the tries for hosts that are no longer to be broken.
func (s *Service) pruneBreakAttempts(dead []DeadHost) {
	s.mu.Lock()
	defer s.mu.Unlock()
	still := make(map[string]bool, len(dead))
	for _, b := range dead {
		still[b.Host] = true
	}
	for host, try := range s.breakAttempts {
		if !still[host] && !try.running {
			delete(s.breakAttempts, host)
		}
	}
}

// breakLease ends a dead host's lease if enough witnesses agree.
func (s *Service) breakLease(ctx context.Context, dead DeadHost) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if !s.collectVotes(ctx, dead) {
		return
	}
	dead.Record.Broken = true
	record, err := s.Store.Update(ctx, Kind, hostRecordName(dead.Host), dead.Record, dead.Revision)
	if err != nil {
		s.Log.Info("lease not broken", "peer", dead.Host, "revision", dead.Revision, "error", err.Error())
		s.refreshAfterConflict(ctx, hostRecordName(dead.Host), err)
		return
	}
	s.applyRecord(record)
	s.Log.Warn("lease broken: the host was silent for too long", "peer", dead.Host, "epoch", dead.Record.Epoch, "revision", record.Revision)
}

// collectVotes asks the other witnesses for their votes.
func (s *Service) collectVotes(ctx context.Context, dead DeadHost) bool {
	if dead.VotesNeeded > len(dead.Witnesses) {
		s.Log.Info("lease not broken: too few witnesses are left", "peer", dead.Host, "witnesses", len(dead.Witnesses), "needed", dead.VotesNeeded)
		return false
	}
	answers := make(chan bool, len(dead.Witnesses))
	for _, witness := range dead.Witnesses {
		go func() {
			var answer VoteResult
			err := s.Pool.Call(ctx, witness.Address, methodVote, VoteParams{Host: dead.Host, Position: registry.Position{Era: dead.Era, Revision: dead.Revision}}, &answer)
			answers <- err == nil && answer.Agreed
		}()
	}
	votes := dead.VotesNeeded
	for range dead.Witnesses {
		if votes <= 0 {
			break
		}
		if <-answers {
			votes--
		}
	}
	if votes > 0 {
		s.Log.Info("lease not broken: too few witnesses agree", "peer", dead.Host, "missing", votes)
	}
	return votes <= 0
}

// VoteParams asks a witness whether a lease should be broken.
type VoteParams struct {
	Host string `json:"host"`
	// Position is that of the host's record, of which the lease is a part.
	registry.Position
}

// VoteResult is a witness's vote.
type VoteResult struct {
	Agreed bool `json:"agreed"`
}

func (s *Service) handleVote(_ context.Context, from peer.Identity, params VoteParams) (VoteResult, error) {
	agreed := s.State.Vote(params.Host, params.Position, s.Now())
	s.Log.Info("vote on a lease", "peer", params.Host, "asked_by", from.Host, "agreed", agreed)
	return VoteResult{Agreed: agreed}, nil
}
