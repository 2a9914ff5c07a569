package mesh

import (
	"time"

	"github.com/cherrystage/cherrystage/internal/registry"
)

const (
	// eraSpread is how long after one host has learnt of the store's new era the others have:
	// heartbeats out of turn reach all within a few intervals of 450 ms.
	eraSpread = time.Second
	// endedLife is for how long it is remembered that a lease was broken. A store that comes
	// back from a copy has lost some seconds.
	endedLife = 10 * time.Minute
	// revisionBits is how much of a fencing token is the revision of the claim: enough for ten
	// years of 3,200 writes a second. With the era above it, tokens stay below 2^53, the most
	// that every reader of JSON takes.
	revisionBits = 40
)

// eraName names the record that tells up to which era the rights of earlier ones are over.
const eraName = "era"

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

// transition is how a host goes from one era of the store to the next.
//
// A store that comes back from a copy has lost leases, ends of leases and claims. Two hosts
// then own one runner: one by what the store says now, one by what it has lost. So nobody
// orders by the word of a new era before those that act by the old one have stopped, but the
// host that did already, whose lease has been valid all the while: no other can have taken its
// runners over.
type transition struct {
	era registry.Era
	// settled is the last era of which a record says that it is settled.
	settled registry.Era
	// since is when this host learnt of the era.
	since time.Time
	// kept names the owner records of the runners that this host goes on ordering.
	kept map[string]bool
	// granted is up to when the lease of the era before was valid.
	granted time.Time
	// unchecked says that it has not been looked whether the own record is as it was, named
	// which witnesses it named.
	unchecked bool
	named     []string
	// ended tells of the hosts whose lease was broken in which epoch, also where the store
	// has lost that.
	ended map[string]endedLease
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
		if o.Host == s.self && o.Epoch == s.epoch && s.mayOrderIn(name, now) {
			kept[name] = true
		}
	}
	if !now.Before(s.validUntil()) {
		kept = nil
	}
	s.granted = s.validUntil()
	s.kept, s.era, s.since = kept, era, now
	s.unchecked = s.epoch != 0
	if s.unchecked && s.witnesses != nil {
		s.named = s.witnesses
	}
	s.witnesses = nil
	for _, signs := range s.peers {
		signs.voted = 0
	}
	// Hosts that joined or left in what was lost are seen a moment later.
	s.joined = now
}

// mayOrderIn says whether this host may order a runner by an owner record of the present era;
// the lock is held.
func (s *State) mayOrderIn(ownerName string, now time.Time) bool {
	return s.kept[ownerName] || s.eraSettled(now)
}

// eraSettled says whether all hosts have stopped what they did by an earlier era; the lock is
// held.
func (s *State) eraSettled(now time.Time) bool {
	return s.era <= s.settled || now.Sub(s.since) >= s.timing.silence()+eraSpread
}

// continued drops what this host kept if its lease was over before it is valid again from a
// moment; the lock is held. Others may have taken its runners over in between.
func (s *State) continued(from time.Time) {
	if s.kept != nil && !from.Before(s.validUntil()) {
		s.kept = nil
	}
}

// Unchecked says whether it has to be looked whether the store still has the own record, and
// gives the epoch and the witnesses that the record should have.
func (s *State) Unchecked() (epoch int64, witnesses []string, unchecked bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.epoch, s.named, s.unchecked
}

// Checked notes that the store has the own record as it was: promises of its witnesses count.
func (s *State) Checked() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unchecked = false
	s.witnesses = s.named
}

// NextEpoch gives the epoch for a new own record, whatever the store still knows of those
// before.
func (s *State) NextEpoch(stored HostRecord) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := max(stored.Epoch, s.lastEpoch, s.ended[s.self].epoch+1)
	if stored.Broken && next == stored.Epoch {
		next++
	}
	return next
}

// end notes that a lease was broken in an epoch; the lock is held.
func (s *State) end(host string, epoch int64, now time.Time) {
	if s.ended == nil {
		s.ended = map[string]endedLease{}
	}
	for other, lease := range s.ended {
		if now.Sub(lease.at) > endedLife {
			delete(s.ended, other)
		}
	}
	if epoch >= s.ended[host].epoch {
		s.ended[host] = endedLease{epoch: epoch, at: now}
	}
}

// knownEnded says that a lease was broken, though the store may have lost that; the lock is
// held.
func (s *State) knownEnded(host string, m member) bool {
	lease, ok := s.ended[host]
	return ok && lease.epoch >= m.Epoch
}

// Settles says whether this host is the one that has to note that the present era is settled.
// Without the record each process that starts would wait for as long as hosts that act by an
// earlier era may go on.
func (s *State) Settles(now time.Time) (registry.Era, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	due := s.epoch != 0 && s.era > s.settled && s.eraSettled(now)
	return s.era, due && s.inForce().firstFor(eraName) == s.self
}
