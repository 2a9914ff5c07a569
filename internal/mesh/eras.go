package mesh

import (
	"time"

	"github.com/cherrystage/cherrystage/internal/registry"
)

const (
	// eraPropagation is how long after one host has learnt of the store's new era the others have:
	// heartbeats out of turn reach all within a few intervals of 450 ms.
	eraPropagation = time.Second
	// endedLeaseRetention is for how long it is remembered that a lease was broken. A store that comes
	// back from a copy has lost some seconds.
	endedLeaseRetention = 10 * time.Minute
	// revisionBits is how much of a fencing token is the revision of the claim: enough for ten
	// years of 3,200 writes a second. With the era above it, tokens stay below 2^53, the most
	// that every reader of JSON takes.
	revisionBits = 40
)

// eraRecordName names the record that tells up to which era the rights of earlier ones are over.
const eraRecordName = "era"

// EraRecord lets a process that starts know whether hosts may still act by what the store has
// lost.
type EraRecord struct {
	// Settled is the last era in which all hosts have stopped what they did by an earlier one.
	Settled registry.Era `json:"settled"`
}

// fencingToken gives the token of a claim. Claims of a later era have higher ones, although
// the store gives revisions out again.
func fencingToken(era registry.Era, revision uint64) uint64 {
	return uint64(era)<<revisionBits | revision
}

// eraTransition is how a host goes from one era of the store to the next.
//
// A store that comes back from a copy has lost leases, ends of leases and claims. Two hosts
// then own one runner: one by what the store says now, one by what it has lost. So nobody
// orders by the word of a new era before those that act by the old one have stopped, but the
// host that did already, whose lease has been valid all the while: no other can have taken its
// runners over.
type eraTransition struct {
	era registry.Era
	// settled is the last era of which a record says that it is settled.
	settled registry.Era
	// eraSince is when this host learnt of the era.
	eraSince time.Time
	// retained names the owner records of the runners that this host goes on ordering.
	retained map[string]bool
	// previousLeaseEnd is up to when the lease of the era before was valid.
	previousLeaseEnd time.Time
	// unverified says that it has not been looked whether the own record is as it was, named
	// which witnesses it named.
	unverified      bool
	recordWitnesses []string
	// endedLeases tells of the hosts whose lease was broken in which epoch, also where the store
	// has lost that.
	endedLeases map[string]endedLease
}

type endedLease struct {
	epoch int64
	at    time.Time
}

// BeginEra notes that the store's records are now of another era. It comes before the changes
// that this brings.
func (s *State) BeginEra(era registry.Era, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	kept := map[string]bool{}
	for name, o := range s.owners {
		if o.Host == s.self && o.Epoch == s.epoch && s.mayOrderInEra(name, now) {
			kept[name] = true
		}
	}
	if !now.Before(s.validUntil()) {
		kept = nil
	}
	s.previousLeaseEnd = s.validUntil()
	s.retained, s.era, s.eraSince = kept, era, now
	s.unverified = s.epoch != 0
	if s.unverified && s.witnesses != nil {
		s.recordWitnesses = s.witnesses
	}
	s.witnesses = nil
	for _, peer := range s.peers {
		peer.votedRevision = 0
	}
	// Hosts that joined or left in what was lost are seen a moment later.
	s.lastJoin = now
}

// mayOrderInEra says whether this host may order a runner by an owner record of the present era;
// the lock is held.
func (s *State) mayOrderInEra(name string, now time.Time) bool {
	return s.retained[name] || s.eraSettled(now)
}

// eraSettled says whether all hosts have stopped what they did by an earlier era; the lock is
// held.
func (s *State) eraSettled(now time.Time) bool {
	return s.era <= s.settled || now.Sub(s.eraSince) >= s.timing.breakTimeout()+eraPropagation
}

// dropRetainedIfLapsed drops what this host kept if its lease was over before it is valid again from a
// moment; the lock is held. Others may have taken its runners over in between.
func (s *State) dropRetainedIfLapsed(from time.Time) {
	if s.retained != nil && !from.Before(s.validUntil()) {
		s.retained = nil
	}
}

// UnverifiedRecord says whether it has to be looked whether the store still has the own record, and
// gives the epoch and the witnesses that the record should have.
func (s *State) UnverifiedRecord() (epoch int64, witnesses []string, unchecked bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.epoch, s.recordWitnesses, s.unverified
}

// RecordVerified notes that the store has the own record as it was: promises of its witnesses count.
func (s *State) RecordVerified() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unverified = false
	s.witnesses = s.recordWitnesses
}

// NextEpoch gives the epoch for a new own record, whatever the store still knows of those
// before.
func (s *State) NextEpoch(stored HostRecord) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := max(stored.Epoch, s.lastEpoch, s.endedLeases[s.self].epoch+1)
	if stored.Broken && next == stored.Epoch {
		next++
	}
	return next
}

// noteLeaseEnd notes that a lease was broken in an epoch; the lock is held.
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

// leaseKnownEnded says that a lease was broken, though the store may have lost that; the lock is
// held.
func (s *State) leaseKnownEnded(host string, m member) bool {
	lease, ok := s.endedLeases[host]
	return ok && lease.epoch >= m.Epoch
}

// EraToSettle says whether this host is the one that has to note that the present era is settled.
// Without the record each process that starts would wait for as long as hosts that act by an
// earlier era may go on.
func (s *State) EraToSettle(now time.Time) (registry.Era, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	due := s.epoch != 0 && s.era > s.settled && s.eraSettled(now)
	return s.era, due && s.currentMembership().leaderFor(eraRecordName) == s.self
}
