package mesh

import (
	"slices"
	"time"

	"github.com/cherrystage/cherrystage/internal/fleet"
	"github.com/cherrystage/cherrystage/internal/registry"
)

// ReceiveHeartbeat records a peer's heartbeat and reports whether this host promises to
// keep the peer's lease.
//
// A host whose own lease has expired does not promise: its lease may be broken without its
// knowledge, and a broken witness counts as a vote to break. Neither does a host that has
// agreed to break this lease, until a newer record shows that the lease was kept, or that
// knows that it was broken or its record removed: the peer may not know that yet, and would
// order on. Nor does a host in another era of the store: there the peer's record may name
// other witnesses, who may break its lease.
//
// at is the position of the peer's record as the peer knows it. Its revision is 0 if the peer
// did not send it.
func (s *State) ReceiveHeartbeat(host string, at registry.Position, now time.Time) WitnessAnswer {
	s.mu.Lock()
	defer s.mu.Unlock()
	peer := s.peerOf(host)
	answer := s.answerHeartbeat(host, peer, at, now)
	peer.noteHeartbeat(now, answer.Presumed, s.timing.breakTimeout())
	return answer
}

// WitnessAnswer is what a witness says of a peer's lease.
type WitnessAnswer struct {
	// Promised: this host promises to keep the lease.
	Promised bool
	// Presumed: it would, but for the time for which it has had no news from the store. Set
	// wherever Promised is.
	Presumed bool
	// Renew: only a newer record of the peer is missing for a promise.
	Renew bool
}

func (s *State) answerHeartbeat(host string, peer *peerState, at registry.Position, now time.Time) WitnessAnswer {
	keeps, renew := s.mayPromise(host, peer, at)
	presumed := now.Before(s.presumedUntil())
	return WitnessAnswer{
		Promised: keeps && now.Before(s.validUntil()),
		Presumed: keeps && presumed,
		Renew:    renew && presumed,
	}
}

// mayPromise reports whether the peer's record lets this host promise to keep its lease, and if not,
// whether a newer record would. The caller holds s.mu.
func (s *State) mayPromise(host string, peer *peerState, at registry.Position) (promised, renew bool) {
	if at.Era != s.era {
		return false, false
	}
	if peer.votedAt.Revision > 0 && peer.votedAt.Era != s.era && at.Revision == 0 {
		// The peer's record may have the revision that was voted on in another era, and this
		// host may not know yet. The peer sends the revision after a refusal.
		return false, false
	}
	at.Revision = s.leaseRevision(host, at.Revision)
	renew = at.Revision <= s.promisesAfter || peer.mayBeBroken(at)
	return !renew, renew
}

// ReceiveLeaselessHeartbeat records a heartbeat of a peer that cannot hold a lease and asks for
// no promise.
func (s *State) ReceiveLeaselessHeartbeat(host string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peerOf(host).noteHeartbeat(now, false, s.timing.breakTimeout())
}

// WantsPromises reports whether promises can let this host give orders. A host whose lease
// lapsed long ago needs the store for that, for example because its last renewal got no answer
// and one of the two lists of witnesses has no majority. If it asked for promises all the same,
// it would keep its runners without orders for as long as it lives.
func (s *State) WantsPromises(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.epoch != 0 && now.Sub(s.presumedUntil()) < s.timing.breakTimeout()
}

// leaseRevision returns the revision of the record that holds a peer's lease, or 0 if the lease
// is known to be broken or the record to be removed. The peer's own word on the revision counts
// only if this host does not know all records up to it. The caller holds s.mu.
func (s *State) leaseRevision(host string, own uint64) uint64 {
	m, known := s.members[host]
	switch {
	case own > m.revision && !s.isCompleteTo(own):
		return own
	case !known || m.Broken:
		return 0
	default:
		return m.revision
	}
}

// PromiseReceived records a peer's promise in answer to a heartbeat sent at a time.
func (s *State) PromiseReceived(host string, sent time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	peer := s.peerOf(host)
	if sent.After(peer.promisedAt) {
		s.dropRetainedIfLapsed(sent)
		peer.promisedAt = sent
	}
	peer.notePresumed(sent)
}

// PresumedReceived records that a peer presumes this host's lease without promising to keep it, in
// answer to a heartbeat sent at a time.
func (s *State) PresumedReceived(host string, sent time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peerOf(host).notePresumed(sent)
}

func (p *peerState) notePresumed(sent time.Time) {
	if sent.After(p.presumedAt) {
		p.presumedAt = sent
	}
}

// Peer is another host.
type Peer struct {
	Host    string
	Address string
}

// Witnesses returns the hosts that receive this host's heartbeats.
func (s *State) Witnesses() []Peer {
	s.mu.Lock()
	defer s.mu.Unlock()
	var peers []Peer
	for _, host := range s.possibleWitnesses() {
		if m, ok := s.members[host]; ok {
			peers = append(peers, Peer{Host: host, Address: m.Address})
		}
	}
	return peers
}

// possibleWitnesses returns the hosts that this host's record names, or may name. A host
// that sent no heartbeats while it does not know would be taken for dead.
func (s *State) possibleWitnesses() []string {
	hosts := slices.Clone(s.witnesses)
	if s.witnesses == nil {
		hosts = slices.Clone(s.recordWitnesses)
	}
	hosts = append(hosts, s.attempted...)
	slices.Sort(hosts)
	return slices.Compact(hosts)
}

// majorityPromised returns the time from which a majority of the witnesses has promised, or
// the zero time without witnesses. If one of two lists of witnesses may be in force, it is a
// majority of both.
func (s *State) majorityPromised() time.Time {
	return s.majorityAnswered(func(p *peerState) time.Time { return p.promisedAt })
}

// majorityAnswered is majorityPromised for any kind of answer.
func (s *State) majorityAnswered(answeredAt func(p *peerState) time.Time) time.Time {
	answered := s.majorityOf(s.witnesses, answeredAt)
	if s.attempted == nil {
		return answered
	}
	if attempted := s.majorityOf(s.attempted, answeredAt); attempted.Before(answered) {
		return attempted
	}
	return answered
}

func (s *State) majorityOf(witnesses []string, answeredAt func(p *peerState) time.Time) time.Time {
	if len(witnesses) == 0 {
		return time.Time{}
	}
	times := make([]time.Time, 0, len(witnesses))
	for _, host := range witnesses {
		times = append(times, answeredAt(s.peerOf(host)))
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	return times[majority(len(times))-1]
}

func majority(of int) int { return of/2 + 1 }

// RenewalRequested records that a witness did not promise because it wants a newer record of
// this host, in answer to a heartbeat sent at a time.
func (s *State) RenewalRequested(sent time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if sent.After(s.renewalRequested) {
		s.renewalRequested = sent
	}
}

// NeedsRenewal reports whether the lease should be renewed in the store: the promises of a
// majority are older than half the lease, and the last renewal is older than a third of it;
// or a witness asked for a newer record, while others keep the lease; or another host contests it.
func (s *State) NeedsRenewal(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.epoch == 0 {
		return false
	}
	third := s.timing.Lease / 3
	if s.members[s.self].Contested {
		return now.Sub(s.renewedAt) > third
	}
	if now.Sub(s.majorityPromised()) > 3*third/2 {
		return now.Sub(s.renewedAt) > third && !s.onlyStoreIsSilent(now)
	}
	return s.renewalRequested.After(s.renewedAt) && now.Sub(s.renewedAt) > requestedRenewalInterval
}

// nearWitnesses is the number of witnesses from the host's own data centre if enough
// others exist. It is less than a majority, so that no lease depends on one data centre
// and the hosts of a lost data centre can be declared dead by others. Near witnesses save
// traffic between data centres: with a random choice four of five witnesses were
// elsewhere.
const nearWitnesses = 2

// ChooseWitnesses returns the witnesses that this host's record should name, and whether
// they differ from those that it names.
func (s *State) ChooseWitnesses(now time.Time) ([]string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.attempted != nil {
		return s.attempted, true
	}
	if len(s.witnesses) > 0 && now.Sub(s.chosenAt) < minRechooseInterval {
		return s.witnesses, false
	}
	wanted := s.selectWitnesses(now)
	if slices.Equal(wanted, s.witnesses) {
		return wanted, false
	}
	s.chosenAt = now
	return wanted, true
}

// selectWitnesses keeps the witnesses that answer and adds others up to maxWitnesses. A host that stood
// still could not hear its witnesses meanwhile. If it replaced them all at once, it would have none
// left that has heard it before.
func (s *State) selectWitnesses(now time.Time) []string {
	var wanted []string
	for _, host := range s.witnesses {
		if m, ok := s.members[host]; ok && !m.Broken && s.running(s.peerOf(host).presumedAt, now) < witnessTimeout {
			wanted = append(wanted, host)
		}
	}
	if len(wanted) >= maxWitnesses {
		slices.Sort(wanted)
		return wanted
	}
	var others []string
	for _, host := range s.currentMembership().hosts {
		if host != s.self && !slices.Contains(wanted, host) {
			others = append(others, host)
		}
	}
	others = fleet.Rank("witness."+s.self, others)
	centre := s.members[s.self].DataCentre
	near := 0
	for _, host := range wanted {
		if s.members[host].DataCentre == centre {
			near++
		}
	}
	// Silent witnesses come last, preceded by near hosts beyond nearWitnesses.
	order := make(map[string]int, len(others))
	for _, host := range others {
		switch {
		case s.isSilentWitness(host):
			order[host] = 3
		case s.members[host].DataCentre != centre:
			order[host] = 1
		case near < nearWitnesses:
			near++
		default:
			order[host] = 2
		}
	}
	slices.SortStableFunc(others, func(a, b string) int { return order[a] - order[b] })
	wanted = append(wanted, others[:min(len(others), maxWitnesses-len(wanted))]...)
	slices.Sort(wanted)
	return wanted
}

// isSilentWitness reports whether a host that selectWitnesses did not keep is a witness,
// that is, one that did not answer recently.
func (s *State) isSilentWitness(host string) bool { return slices.Contains(s.witnesses, host) }
