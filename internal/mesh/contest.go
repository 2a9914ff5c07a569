package mesh

import (
	"context"
	"time"
)

// Contesting a lease replaces the votes of witnesses that are lost together with its holder.
//
// Without it no lease of theirs was ever broken: a lost witness counts as a vote only once its own
// lease is broken, by votes of other lost hosts. Their runners had no owner until an operator
// removed the records, and requests for adapters were refused.
//
// A living host marks the record of a silent one as contested. The holder of the lease may order for
// MaxStoreSilence after the store last had its record uncontested, so it has stopped by then,
// however its witnesses promise, unless it has renewed the record. A renewal changes the record's
// revision, on which the write that breaks the lease depends.

const (
	// contestDelay is how much longer than a dead host one must be silent before its lease is
	// contested: by then its witnesses have broken the lease if they live.
	contestDelay = time.Second
	// contestPause is the minimum time from an answer of the holder to the next contest. A host that
	// only this one does not reach answers each.
	contestPause = 30 * time.Second
)

// contestState is what this host knows of the contest of a peer's lease.
type contestState struct {
	// since is when this host first knew the record that says so, zero if it says no such thing.
	since time.Time
	// answeredAt is when the holder's answer to a contest became known.
	answeredAt time.Time
}

// note records that a peer's record has changed.
func (c *contestState) note(before, after member, now time.Time) {
	if before.Contested && !after.Contested && !after.Broken {
		c.answeredAt = now
	}
	c.since = time.Time{}
	if after.Contested {
		c.since = now
	}
}

// mayRepeat reports whether enough time has passed since the holder's last answer.
func (c contestState) mayRepeat(now time.Time) bool {
	return c.answeredAt.IsZero() || now.Sub(c.answeredAt) >= contestPause
}

// onlyContested reports whether a record differs from the one before only in that the lease is
// contested: its holder has not renewed it in between.
func onlyContested(before, after member) bool {
	return after.Contested && !after.Broken && after.Renewals == before.Renewals && after.Epoch == before.Epoch && after.Incarnation == before.Incarnation
}

// contestLapsed reports whether a peer's lease was contested so long ago that its holder has given
// no orders for the order gap. The time counts from when this host learned of it, so a process that
// has just started counts anew. The caller holds s.mu.
func (s *State) contestLapsed(host string, m member, now time.Time) bool {
	peer := s.peerOf(host)
	if !m.Contested || s.unanswered(peer, now) < s.timing.breakTimeout() {
		return false
	}
	return now.Sub(peer.contest.since) >= s.timing.MaxStoreSilence+s.timing.breakTimeout()
}

// OwnContest tells what to do about this host's record if a process at another address holds it: contest its
// lease, or break it, as it was contested so long ago that the process has given no orders for the order gap.
func (s *State) OwnContest(now time.Time) (contest, lapsed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.peerOf(s.self).contest
	if s.members[s.self].Contested {
		return false, !known.since.IsZero() && now.Sub(known.since) >= s.timing.MaxStoreSilence+s.timing.breakTimeout()
	}
	return known.mayRepeat(now), false
}

// Contestable returns the peers whose lease this host should contest: they leave its probes
// unanswered, and their witnesses have not broken the lease.
func (s *State) Contestable(now time.Time) []DeadHost {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.timing.MaxStoreSilence == 0 || !now.Before(s.validUntil()) || !s.eraSettled(now) {
		return nil
	}
	var silent []DeadHost
	for _, host := range s.currentMembership().hosts {
		m := s.members[host]
		if !m.Contested && s.isCompleteTo(m.revision) && s.shouldContest(s.peerOf(host), now) {
			silent = append(silent, DeadHost{Host: host, Record: m.HostRecord, Revision: m.revision, Era: s.era})
		}
	}
	return silent
}

func (s *State) shouldContest(peer *peerState, now time.Time) bool {
	least := s.timing.breakTimeout() + contestDelay
	if s.unanswered(peer, now) < least || s.running(peer.changedAt, now) < least {
		return false
	}
	return peer.contest.mayRepeat(now)
}

// StoreSeen records that at a time the store had this host's record uncontested.
func (s *State) StoreSeen(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.noteStoreSeen(at)
}

// noteStoreSeen is StoreSeen for callers that hold s.mu.
func (s *State) noteStoreSeen(at time.Time) {
	if at.After(s.storeSeenAt) {
		s.storeSeenAt = at
	}
}

// onlyStoreIsSilent reports whether this host lacks promises only because neither it nor its
// witnesses have had news from the store for too long. It need not try to renew its lease until
// they have. The caller holds s.mu.
func (s *State) onlyStoreIsSilent(now time.Time) bool {
	return now.Sub(s.storeSeenAt) >= s.timing.MaxStoreSilence && now.Before(s.presumedUntil())
}

// noteStoreSeen tells the state of the last confirmation by the store, unless it found this host's
// record contested. The record is read after the confirmation, so it is of that time or later.
func (s *Service) noteStoreSeen() {
	at := s.freshness.confirmedAt(Kind)
	record, _ := s.fleet.Get(hostRecordName(s.Self.Host))
	if _, own, ok := decodeHost(record); ok && !own.Contested && !own.Broken {
		s.State.StoreSeen(at)
	}
}

// contestSilentHosts marks the leases of silent hosts as contested. The main loop does not wait for
// it, since it renews this host's own lease.
func (s *Service) contestSilentHosts(ctx context.Context, now time.Time) {
	if back, ok := s.freshness.backSince(Kind); !ok || back < registrationTime {
		return
	}
	for _, silent := range s.State.Contestable(now) {
		s.contest(ctx, silent)
	}
}

func (s *Service) contest(ctx context.Context, silent DeadHost) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	silent.Record.Contested = true
	record, err := s.Store.Update(ctx, Kind, hostRecordName(silent.Host), silent.Record, silent.Revision)
	if err != nil {
		s.Log.Info("contesting lease failed", "peer", silent.Host, "revision", silent.Revision, "error", err.Error())
		s.refreshAfterConflict(ctx, hostRecordName(silent.Host), err)
		return
	}
	s.applyRecord(record)
	s.Log.Warn("lease contested: the host answers no probes and its witnesses have not broken it", "peer", silent.Host, "epoch", silent.Record.Epoch, "revision", record.Revision)
}

// isHeldElsewhere reports whether this host's record holds the lease of a process at another address: of a
// machine that bore the same name, and may live on without the store and order its runners.
func (s *Service) isHeldElsewhere(own HostRecord) bool {
	return !own.Broken && own.Address != "" && own.Address != s.Address
}

// replaceHolder ends the lease of a process that bears this host's name at another address. If others don't
// break it, as no witness is left, this host contests and breaks it itself; it then registers under the next
// epoch, which leaves the claims behind.
func (s *Service) replaceHolder(ctx context.Context, held member) {
	host := DeadHost{Host: s.Self.Host, Record: held.HostRecord, Revision: held.revision}
	contest, lapsed := s.State.OwnContest(s.Now())
	switch {
	case contest:
		s.contest(ctx, host)
	case lapsed:
		s.writeBroken(ctx, host)
	}
	s.backOffStore()
}
