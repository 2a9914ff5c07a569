package mesh

import (
	"context"
	"time"

	"github.com/cherrystage/cherrystage/internal/peer"
	"github.com/cherrystage/cherrystage/internal/registry"
)

// breakAttempt tracks the attempts to break one dead host's lease.
type breakAttempt struct {
	running bool
	// retryAt is when the next attempt may begin, backoff the pause after the last one.
	retryAt time.Time
	backoff time.Duration
}

const (
	// breakBackoff is the pause after an attempt to which too few witnesses agreed. It
	// doubles up to maxBreakBackoff. A later attempt succeeds once witnesses are back or
	// their own leases are broken, which takes seconds.
	breakBackoff    = 500 * time.Millisecond
	maxBreakBackoff = 10 * time.Second
)

// startBreak begins to break a dead host's lease in the background, unless an attempt is
// running or its backoff has not passed.
//
// When many hosts fall silent together, the votes on each of them wait a second for
// witnesses that are silent too. Votes asked for one after the other kept the surviving
// hosts from renewing their own leases, which then expired as well and left all runners
// without an owner. Concurrent attempts with a backoff do not block renewals.
func (s *Service) startBreak(ctx context.Context, dead DeadHost) {
	s.mu.Lock()
	defer s.mu.Unlock()
	attempt := s.breakAttempts[dead.Host]
	if attempt == nil {
		attempt = &breakAttempt{backoff: breakBackoff}
		s.breakAttempts[dead.Host] = attempt
	}
	if attempt.running || s.Now().Before(attempt.retryAt) {
		return
	}
	attempt.running = true
	go func() {
		s.breakLease(ctx, dead)
		s.mu.Lock()
		defer s.mu.Unlock()
		attempt.running = false
		attempt.retryAt = s.Now().Add(attempt.backoff)
		attempt.backoff = min(2*attempt.backoff, maxBreakBackoff)
	}()
}

// pruneBreakAttempts drops the state of hosts that are no longer breakable.
func (s *Service) pruneBreakAttempts(dead []DeadHost) {
	s.mu.Lock()
	defer s.mu.Unlock()
	breakable := make(map[string]bool, len(dead))
	for _, d := range dead {
		breakable[d.Host] = true
	}
	for host, attempt := range s.breakAttempts {
		if !breakable[host] && !attempt.running {
			delete(s.breakAttempts, host)
		}
	}
}

// breakLease breaks a dead host's lease if enough witnesses agree.
func (s *Service) breakLease(ctx context.Context, dead DeadHost) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if s.collectVotes(ctx, dead) {
		s.writeBroken(ctx, dead)
	}
}

// writeBroken writes that a host's lease has ended, if its record is unchanged.
func (s *Service) writeBroken(ctx context.Context, dead DeadHost) {
	dead.Record.Broken = true
	record, err := s.Store.Update(ctx, Kind, hostRecordName(dead.Host), dead.Record, dead.Revision)
	if err != nil {
		s.Log.Info("breaking lease failed", "peer", dead.Host, "revision", dead.Revision, "error", err.Error())
		s.refreshAfterConflict(ctx, hostRecordName(dead.Host), err)
		return
	}
	s.applyRecord(record)
	s.Log.Warn("lease broken: no heartbeats or renewals from the host", "peer", dead.Host, "contested", dead.Record.Contested, "epoch", dead.Record.Epoch, "revision", record.Revision)
}

// collectVotes asks the other witnesses for their votes and reports whether enough agreed.
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

// VoteParams asks a witness to agree to break a host's lease.
type VoteParams struct {
	Host string `json:"host"`
	// Position is the position of the host's record, which holds the lease.
	registry.Position
}

// VoteResult is a witness's vote.
type VoteResult struct {
	Agreed bool `json:"agreed"`
}

func (s *Service) handleVote(_ context.Context, from peer.Identity, params VoteParams) (VoteResult, error) {
	agreed := s.State.Vote(params.Host, params.Position, s.Now())
	s.Log.Info("voted on breaking a lease", "peer", params.Host, "asked_by", from.Host, "agreed", agreed)
	return VoteResult{Agreed: agreed}, nil
}
