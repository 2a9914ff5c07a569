package mesh

import (
	"time"

	"github.com/cherrystage/cherrystage/internal/fleet"
)

// claimStatus tells what is known of the lease on which a claim depends.
type claimStatus uint8

const (
	// claimInForce: the claimer's lease is not known to have ended.
	claimInForce claimStatus = iota
	// claimUnclear: the claimer's record is older than the claim, or not known.
	claimUnclear
	// claimEnded: the lease was broken, or its record removed after that, so the claimer has
	// stopped giving orders.
	claimEnded
)

// claimStatus returns the status of an owner record. The caller holds s.mu.
//
// A claim may be known before the claimer's record, because this host has read or written
// that one record. If such a claim counted as ended, this host would replace it while the
// claimer, which has just registered, gives orders by it. So a claim has ended only if the
// claimer's record is of a later epoch, or broken, which remains true whatever this host
// does not know yet; or if there is no such record among all records up to the claim.
func (s *State) claimStatus(o owner) claimStatus {
	m, known := s.members[o.Host]
	switch {
	case !known && s.isCompleteTo(o.revision):
		return claimEnded
	case !known || m.Epoch < o.Epoch:
		return claimUnclear
	case m.Epoch > o.Epoch || m.Broken:
		return claimEnded
	default:
		return claimInForce
	}
}

// Claim is a runner that this host should claim.
type Claim struct {
	Address string
	Name    string
	// Revision is the revision of the owner record to replace, 0 if there is none.
	Revision uint64
	Record   OwnerRecord
	// Replaced is the owner record to replace, ReplacedHost the record of its host as known.
	Replaced     OwnerRecord
	ReplacedHost HostRecord
}

// Runner is a runner that needs an owner.
type Runner struct {
	Address    string
	DataCentre string
}

// Claims returns the runners without a valid owner for which this host ranks first among
// the live hosts, including those that it owned in an earlier epoch. Hosts in the runner's
// data centre rank before others, since most of an owner's traffic concerns requests that
// stay there.
func (s *State) Claims(runners []Runner, now time.Time) []Claim {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.mayClaim(now) {
		return nil
	}
	var claims []Claim
	for _, runner := range runners {
		name := ownerRecordName(runner.Address)
		o, found := s.owners[name]
		if !s.shouldClaim(runner, o, found) {
			continue
		}
		claims = append(claims, Claim{
			Address: runner.Address, Name: name, Revision: o.revision, Record: OwnerRecord{Host: s.self, Epoch: s.epoch},
			Replaced: o.OwnerRecord, ReplacedHost: s.members[o.Host].HostRecord,
		})
	}
	return claims
}

// mayClaim reports whether other hosts would accept a claim of this host. They accept none
// of another epoch than that of the host's record, or of a broken one. A host without a
// lease may have been broken without its knowledge. Runners claimed that way would be
// claimed again and again. The caller holds s.mu.
func (s *State) mayClaim(now time.Time) bool {
	own, ok := s.members[s.self]
	return s.epoch != 0 && ok && !own.Broken && own.Epoch == s.epoch && !s.isQuiet() && now.Before(s.validUntil())
}

// shouldClaim reports whether this host should replace a runner's owner record, or create
// it if none is found. The caller holds s.mu.
func (s *State) shouldClaim(runner Runner, o owner, found bool) bool {
	if found && o.Host == s.self && o.Epoch > s.epoch {
		// A write of an earlier process of this host, which only this host can tell from a
		// claim by a record that is not known yet.
		return true
	}
	if found && s.claimStatus(o) != claimEnded {
		return false
	}
	return fleet.First(runner.Address, s.currentMembership().reachingNear(runner.DataCentre)) == s.self
}

// JoinsSettled reports whether no host has joined for at least a period.
func (s *State) JoinsSettled(now time.Time, period time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(s.lastJoin) >= period
}
