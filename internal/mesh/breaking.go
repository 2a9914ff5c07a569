package mesh

import (
	"slices"
	"time"

	"github.com/cherrystage/cherrystage/internal/fleet"
	"github.com/cherrystage/cherrystage/internal/registry"
)

// Vote says whether this host agrees that the lease of a peer, in the record of
// a revision, is broken. From then on it does not promise to keep it.
func (s *State) Vote(host string, at registry.Position, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	peer := s.peerOf(host)
	silence := s.timing.breakTimeout()
	if now.Sub(peer.heardAt) < silence || now.Sub(s.started) < silence || at.Era != s.era || peer.revision > at.Revision {
		return false
	}
	peer.votedRevision = at.Revision
	return true
}

// DeadHost is a peer whose lease should be ended.
type DeadHost struct {
	Host     string
	Record   HostRecord
	Revision uint64
	// Era is that of the revision.
	Era registry.Era
	// Witnesses are those whose votes are needed beside this host's.
	Witnesses []Peer
	// VotesNeeded is how many of them must agree.
	VotesNeeded int
}

// Breakable gives the peers that should be declared dead, as far as this host
// can tell: it is one of the peer's witnesses and has not heard it, and the
// peer's record was not renewed, for so long that the peer has stopped giving
// orders and that the gap has passed since. A majority of the witnesses must
// vote so too. The write must be conditional on the revision: a renewal that
// came meanwhile makes it fail. In a new era of the store this host waits until a peer
// that acts by the one before has stopped, and tells of what is known to be broken.
func (s *State) Breakable(now time.Time) []DeadHost {
	s.mu.Lock()
	defer s.mu.Unlock()
	silence := s.timing.breakTimeout()
	if now.Sub(s.started) < silence {
		return nil
	}
	var breaks []DeadHost
	for host, m := range s.members {
		if host == s.self || m.Broken {
			continue
		}
		settled := s.eraSettled(now) && now.Sub(s.peerOf(host).changedAt) >= silence
		if !settled && !s.leaseKnownEnded(host, m) {
			continue
		}
		if b, ok := s.breakable(host, m, now); ok {
			breaks = append(breaks, b)
		}
	}
	return breaks
}

func (s *State) breakable(host string, m member, now time.Time) (DeadHost, bool) {
	own := slices.Index(m.Witnesses, s.self)
	if own >= 0 {
		// The first witness begins; the others follow if it does not.
		patience := s.timing.breakTimeout() + time.Duration(own)*s.timing.Margin
		if now.Sub(s.peerOf(host).heardAt) < patience {
			return DeadHost{}, false
		}
	} else if !s.witnessesGone(m, now) || fleet.First(host, s.currentMembership().without(host)) != s.self {
		return DeadHost{}, false
	}
	b := DeadHost{Host: host, Record: m.HostRecord, Revision: m.revision, Era: s.era, VotesNeeded: neededVotes(m)}
	for _, witness := range m.Witnesses {
		b.countWitness(s, witness, now)
	}
	return b, true
}

func neededVotes(m member) int {
	if len(m.Witnesses) == 0 {
		return 0
	}
	return majority(len(m.Witnesses))
}

// witnessesGone says that no living witness's vote is needed to break a lease. Only
// then may a host break it that is no witness.
func (s *State) witnessesGone(m member, now time.Time) bool {
	missing := neededVotes(m)
	for _, witness := range m.Witnesses {
		if s.witnessGone(witness, now) {
			missing--
		}
	}
	return missing <= 0
}

// witnessGone says that a witness's own lease has been broken for long enough. It promised
// only while that was valid, so its last promise is as old as the gap, and over after
// a lease more.
func (s *State) witnessGone(witness string, now time.Time) bool {
	m, ok := s.members[witness]
	return !ok || m.Broken && now.Sub(s.peerOf(witness).changedAt) > s.timing.Lease
}

// countWitness adds one witness: its vote is asked for, or counts as given where it is gone.
func (b *DeadHost) countWitness(s *State, witness string, now time.Time) {
	switch {
	case witness == s.self:
		b.VotesNeeded--
		s.peerOf(b.Host).votedRevision = b.Revision
	case s.witnessGone(witness, now):
		b.VotesNeeded--
	case !s.members[witness].Broken:
		b.Witnesses = append(b.Witnesses, Peer{Host: witness, Address: s.members[witness].Address})
	}
}

// RemovableRecords gives hosts whose lease was ended so long ago that their record is of no
// use any more.
func (s *State) RemovableRecords(now time.Time, after time.Duration) []DeadHost {
	s.mu.Lock()
	defer s.mu.Unlock()
	var dead []DeadHost
	for host, m := range s.members {
		if m.Broken && host != s.self && now.Sub(s.peerOf(host).changedAt) > after && fleet.First(host, s.currentMembership().hosts) == s.self {
			dead = append(dead, DeadHost{Host: host, Record: m.HostRecord, Revision: m.revision, Era: s.era})
		}
	}
	return dead
}
