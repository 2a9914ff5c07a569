package mesh

import (
	"time"

	"github.com/cherrystage/cherrystage/internal/registry"
)

const (
	// eraPropagation is how long after the first host learns of a new era of the store all
	// others know of it: heartbeats that are sent at once reach all hosts within a few
	// intervals of 450 ms.
	eraPropagation = time.Second
	// endedLeaseRetention is how long a broken lease is remembered. A store that is
	// restored from a copy has lost some seconds.
	endedLeaseRetention = 10 * time.Minute
	// revisionBits is the number of low bits of a fencing token that hold the revision of
	// the claim: enough for ten years of 3,200 writes a second. With the era above them
	// tokens stay below 2^53, the largest integer that every JSON reader accepts.
	revisionBits = 40
)

// eraRecordName is the name of the store's EraRecord.
const eraRecordName = "era"

// EraRecord tells a starting process whether other hosts may still act on records that the
// store has lost.
type EraRecord struct {
	// Settled is the last era in which all hosts have stopped acting on an earlier one.
	Settled registry.Era `json:"settled"`
}

// fencingToken returns the fencing token of a claim. Tokens of a later era are higher,
// although the store issues the same revisions again.
func fencingToken(era registry.Era, revision uint64) uint64 {
	return uint64(era)<<revisionBits | revision
}

// eraTransition is the state of a host's transition to a new era of the store.
//
// A store that is restored from a copy has lost some leases, broken leases and claims. A
// runner may then have two owners: one in the store's records, and one whose claim the
// store has lost. So no host gives orders by the records of a new era before the hosts
// that act on the old era have stopped. The exception is a host that owned the runner
// before and whose lease was valid throughout, since no other host can have taken that
// runner over.
type eraTransition struct {
	era registry.Era
	// settled is the last era that an EraRecord declared settled.
	settled registry.Era
	// eraSince is when this host learned of the era.
	eraSince time.Time
	// retained holds the names of the owner records of the runners that this host keeps
	// giving orders to.
	retained map[string]bool
	// previousLeaseEnd is when the lease ends that was valid when the era changed.
	previousLeaseEnd time.Time
	// unverified is set until this host has checked that the store still has its own
	// record as it was; recordWitnesses are the witnesses that the record named.
	unverified      bool
	recordWitnesses []string
	// endedLeases holds the broken leases by host, including those that the store has
	// lost.
	endedLeases map[string]endedLease
}

type endedLease struct {
	epoch int64
	at    time.Time
}

// BeginEra records that the store's records now belong to another era. It must be called
// before the resulting changes are applied.
func (s *State) BeginEra(era registry.Era, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	owned := map[string]bool{}
	for name, o := range s.owners {
		if o.Host == s.self && o.Epoch == s.epoch && s.mayOrderInEra(name, now) {
			owned[name] = true
		}
	}
	if !now.Before(s.validUntil()) {
		owned = nil
	}
	s.previousLeaseEnd = s.validUntil()
	s.retained, s.era, s.eraSince = owned, era, now
	s.revision = 0
	s.unverified = s.epoch != 0
	if s.unverified && s.witnesses != nil {
		s.recordWitnesses = s.witnesses
	}
	s.witnesses = nil
	for _, peer := range s.peers {
		// A record of the new era may have the revision of one of the old era.
		peer.changedAt = now
		peer.contest.since = now
	}
	// Hosts that joined or left in the part that the store has lost appear again a moment
	// later, so a new era counts as a join.
	s.lastJoin = now
}

// mayOrderInEra reports whether this host may give orders to a runner by an owner record
// of the current era. The caller holds s.mu.
func (s *State) mayOrderInEra(name string, now time.Time) bool {
	return s.retained[name] || s.eraSettled(now)
}

// eraSettled reports whether all hosts have stopped acting on earlier eras. The caller
// holds s.mu.
func (s *State) eraSettled(now time.Time) bool {
	return s.era <= s.settled || now.Sub(s.eraSince) >= s.timing.breakTimeout()+eraPropagation
}

// dropRetainedIfLapsed drops the retained runners if the lease had expired before renewed,
// the time from which it is valid again: another host may have taken them over in between.
// The caller holds s.mu.
func (s *State) dropRetainedIfLapsed(renewed time.Time) {
	if s.retained != nil && !renewed.Before(s.validUntil()) {
		s.retained = nil
	}
}

// UnverifiedRecord reports whether the store must be checked for this host's own record,
// and returns the epoch and the witnesses that the record should have.
func (s *State) UnverifiedRecord() (epoch int64, witnesses []string, needsCheck bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.epoch, s.recordWitnesses, s.unverified
}

// RecordVerified records that the store has this host's record unchanged, so that the
// promises of its witnesses count.
func (s *State) RecordVerified() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unverified = false
	s.witnesses = s.recordWitnesses
}

// NextEpoch returns the epoch for a new record of this host. stored is the host's record, or
// the zero value if the store had none at the given revision. The result is at least the host's
// last epoch and higher than any epoch whose lease was broken, including epochs that the store
// has lost.
//
// Without a stored record it is also higher than the store's revision, and so than the epoch
// of a record that was removed. Else a claim of that record would be in force again, while
// another host is replacing it.
func (s *State) NextEpoch(stored HostRecord, revision uint64) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if stored.Epoch == 0 {
		stored.Epoch = int64(revision) + 1
		for _, o := range s.owners {
			if o.Host == s.self {
				stored.Epoch = max(stored.Epoch, o.Epoch+1)
			}
		}
	}
	next := max(stored.Epoch, s.lastEpoch, s.endedLeases[s.self].epoch+1)
	if stored.Broken && next == stored.Epoch {
		next++
	}
	return next
}

// noteLeaseEnd remembers that a host's lease was broken in an epoch. The caller holds
// s.mu.
func (s *State) noteLeaseEnd(host string, epoch int64, now time.Time) {
	if s.endedLeases == nil {
		s.endedLeases = map[string]endedLease{}
	}
	for endedHost, lease := range s.endedLeases {
		if now.Sub(lease.at) > endedLeaseRetention {
			delete(s.endedLeases, endedHost)
		}
	}
	if epoch >= s.endedLeases[host].epoch {
		s.endedLeases[host] = endedLease{epoch: epoch, at: now}
	}
}

// leaseKnownEnded reports whether the lease in m is known to have been broken, even if the
// store has lost that. The caller holds s.mu.
func (s *State) leaseKnownEnded(host string, m member) bool {
	lease, ok := s.endedLeases[host]
	return ok && lease.epoch >= m.Epoch
}

// EraToSettle returns the current era and whether this host should record it as settled.
// Without the record each starting process would wait for as long as hosts may still act
// on an earlier era.
func (s *State) EraToSettle(now time.Time) (registry.Era, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	due := s.epoch != 0 && s.era > s.settled && s.eraSettled(now)
	return s.era, due && s.currentMembership().leaderFor(eraRecordName) == s.self
}
