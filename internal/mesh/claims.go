package mesh

import (
	"time"

	"github.com/cherrystage/cherrystage/internal/fleet"
)

// Claim is a runner that this host should claim.
type Claim struct {
	Address string
	Name    string
	// Revision is the revision of the owner record to replace, 0 if there is none.
	Revision uint64
	Record   OwnerRecord
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
func (s *State) Claims(runners []Runner) []Claim {
	s.mu.Lock()
	defer s.mu.Unlock()
	// No host accepts a claim under another epoch than the one in the host's record, so a
	// runner claimed that way would be claimed again and again.
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

// JoinsSettled reports whether no host has joined for at least a period.
func (s *State) JoinsSettled(now time.Time, period time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(s.lastJoin) >= period
}
