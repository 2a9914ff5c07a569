package mesh

import (
	"slices"
	"time"

	"github.com/cherrystage/cherrystage/internal/fleet"
	"github.com/cherrystage/cherrystage/internal/registry"
)

// Vote reports whether this host agrees to break the lease that a peer's record holds at a
// position. If it agrees, it no longer promises to keep that lease.
func (s *State) Vote(host string, at registry.Position, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	peer := s.peerOf(host)
	silence := s.timing.breakTimeout()
	if !s.isDead(peer, now, silence) || now.Sub(s.started) < silence || at.Era != s.era || peer.revision > at.Revision {
		return false
	}
	peer.agreeToBreak(at)
	return true
}

// DeadHost is a peer whose lease should be broken or whose record should be removed.
type DeadHost struct {
	Host     string
	Record   HostRecord
	Revision uint64
	// Era is the era of Revision.
	Era registry.Era
	// Witnesses are the witnesses to ask for a vote, without this host.
	Witnesses []Peer
	// VotesNeeded is the number of them that must agree.
	VotesNeeded int
}

// Breakable returns the peers to declare dead as far as this host can tell. It is a
// witness of such a peer, has not heard from it, and has not seen its record renewed for
// so long that the peer has stopped giving orders and the order gap has passed since. A
// majority of the peer's witnesses must agree. The write must be conditional on the
// revision, so that it fails if the lease was renewed meanwhile.
//
// It decides by records that are all of one age: it may know a single record of a peer that
// is newer than its other records, in which the peer's witnesses seem to be gone although
// they have registered again and promised to keep the renewed lease.
//
// No votes are needed where the peer's lease has been contested without an answer for so long
// that it has ended whatever its witnesses promise.
//
// In a new era of the store this host waits until a peer that still acts on the previous
// era has stopped, except for peers whose lease is known to have been broken.
func (s *State) Breakable(now time.Time) []DeadHost {
	s.mu.Lock()
	defer s.mu.Unlock()
	silence := s.timing.breakTimeout()
	if now.Sub(s.started) < silence {
		return nil
	}
	var dead []DeadHost
	for host, m := range s.members {
		if host == s.self || m.Broken {
			continue
		}
		if !s.isCompleteTo(m.revision) || !s.mayBeDead(host, m, now) {
			continue
		}
		if d, ok := s.breakable(host, m, now); ok {
			dead = append(dead, d)
		}
	}
	return dead
}

// mayBeDead reports whether a peer's record has not changed for so long that its renewal no
// longer lets the peer give orders. A change may lie unread in a socket while this host stands still.
// The caller holds s.mu.
func (s *State) mayBeDead(host string, m member, now time.Time) bool {
	if !s.eraSettled(now) {
		return s.leaseKnownEnded(host, m)
	}
	return s.running(s.peerOf(host).changedAt, now) >= s.timing.breakTimeout()
}

func (s *State) breakable(host string, m member, now time.Time) (DeadHost, bool) {
	if s.contestLapsed(host, m, now) {
		return DeadHost{Host: host, Record: m.HostRecord, Revision: m.revision, Era: s.era}, true
	}
	own := slices.Index(m.Witnesses, s.self)
	if own >= 0 {
		// The first witness begins; the others follow if it does not.
		timeout := s.timing.breakTimeout() + time.Duration(own)*s.timing.Margin
		if !s.isDead(s.peerOf(host), now, timeout) {
			return DeadHost{}, false
		}
	} else if !s.witnessesGone(m, now) || fleet.First(host, s.currentMembership().without(host)) != s.self {
		return DeadHost{}, false
	}
	d := DeadHost{Host: host, Record: m.HostRecord, Revision: m.revision, Era: s.era, VotesNeeded: neededVotes(m)}
	for _, witness := range m.Witnesses {
		d.countWitness(s, witness, now)
	}
	return d, true
}

func neededVotes(m member) int {
	if len(m.Witnesses) == 0 {
		return 0
	}
	return majority(len(m.Witnesses))
}

// witnessesGone reports whether the lease can be broken without the vote of any live
// witness. Only then may a host that is no witness break it.
func (s *State) witnessesGone(m member, now time.Time) bool {
	missing := neededVotes(m)
	for _, witness := range m.Witnesses {
		if s.witnessGone(witness, now) {
			missing--
		}
	}
	return missing <= 0
}

// witnessGone reports whether a witness has no record, or whether its own lease was broken
// longer ago than the duration of a lease. A witness promises only while its own lease is
// valid. When that lease is broken, the last promise is at least as old as the order gap,
// and it has expired once the duration of a lease has passed as well.
func (s *State) witnessGone(witness string, now time.Time) bool {
	m, ok := s.members[witness]
	return !ok || m.Broken && now.Sub(s.peerOf(witness).changedAt) > s.timing.Lease
}

// countWitness adds a witness to ask for its vote, or counts the vote as given where the
// witness is gone.
func (d *DeadHost) countWitness(s *State, witness string, now time.Time) {
	switch {
	case witness == s.self:
		d.VotesNeeded--
		s.peerOf(d.Host).agreeToBreak(registry.Position{Era: d.Era, Revision: d.Revision})
	case s.witnessGone(witness, now):
		d.VotesNeeded--
	case !s.members[witness].Broken:
		d.Witnesses = append(d.Witnesses, Peer{Host: witness, Address: s.members[witness].Address})
	}
}

// RemovableRecords returns the hosts whose lease was broken longer ago than after, and
// whose records this host should remove.
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
