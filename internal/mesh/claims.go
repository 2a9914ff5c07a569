package mesh

import (
	"time"

	"github.com/cherrystage/cherrystage/internal/fleet"
)

// Claim is a runner that this host should own.
type Claim struct {
	Address string
	Name    string
	// Revision is that of the record to replace, 0 where there is none.
	Revision uint64
	Record   OwnerRecord
}

// Runner is a runner that needs an owner.
type Runner struct {
	Address    string
	DataCentre string
}

// Claims gives the runners without an owner for which this host comes first
// among the hosts in force, and those it owned in an earlier epoch. Hosts of the
// runner's own data centre come before others: most of what an owner says and
// hears is about requests that stay there.
func (s *State) Claims(runners []Runner) []Claim {
	s.mu.Lock()
	defer s.mu.Unlock()
	// Claimed under another epoch than its record tells, a runner would be claimed again and
	// again: nobody takes such a claim for one in force.
	if own, ok := s.members[s.self]; s.epoch == 0 || !ok || own.Broken || own.Epoch != s.epoch {
		return nil
	}
	var claims []Claim
	for _, runner := range runners {
		address := runner.Address
		name := ownerRecordName(address)
		o, found := s.owners[name]
		if found && s.ownerInForce(o) {
			continue
		}
		if fleet.First(address, s.currentMembership().hostsNear(runner.DataCentre)) != s.self {
			continue
		}
		claims = append(claims, Claim{Address: address, Name: name, Revision: o.revision, Record: OwnerRecord{Host: s.self, Epoch: s.epoch}})
	}
	return claims
}

// JoinsSettled says that no host has joined for a time.
func (s *State) JoinsSettled(now time.Time, since time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(s.lastJoin) >= since
}
