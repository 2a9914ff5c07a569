package mesh

import (
	"slices"
	"time"

	"github.com/cherrystage/cherrystage/internal/fleet"
	"github.com/cherrystage/cherrystage/internal/registry"
)

// ReceiveHeartbeat notes a peer's heartbeat and says whether this host promises to keep
// the peer's lease.
//
// A host whose own lease is over does not promise: its lease may be broken
// without its knowledge, and a broken witness counts as one that agrees to break.
// One that has agreed to break this lease does not promise either, until a newer
// record shows that the lease was kept. Nor does one that knows another era of the
// store: there the peer's record may name other witnesses, who break its lease.
func (s *State) ReceiveHeartbeat(host string, era registry.Era, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	peer := s.peerOf(host)
	peer.heardAt = now
	hasVoted := peer.votedRevision != 0 && peer.votedRevision == peer.revision
	return !hasVoted && era == s.era && now.Before(s.validUntil())
}

// PromiseReceived notes a peer's promise in answer to a heartbeat sent at a time.
func (s *State) PromiseReceived(host string, sent time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if peer := s.peerOf(host); sent.After(peer.promisedAt) {
		s.dropRetainedIfLapsed(sent)
		peer.promisedAt = sent
	}
}

// Peer is another host.
type Peer struct {
	Host    string
	Address string
}

// Witnesses gives the hosts that heartbeats go to.
func (s *State) Witnesses() []Peer {
	s.mu.Lock()
	defer s.mu.Unlock()
	var peers []Peer
	for _, host := range s.witnesses {
		if m, ok := s.members[host]; ok {
			peers = append(peers, Peer{Host: host, Address: m.Address})
		}
	}
	return peers
}

// majorityPromised gives the time from which a majority of the witnesses has
// promised; zero without witnesses.
func (s *State) majorityPromised() time.Time {
	if len(s.witnesses) == 0 {
		return time.Time{}
	}
	times := make([]time.Time, 0, len(s.witnesses))
	for _, host := range s.witnesses {
		times = append(times, s.peerOf(host).promisedAt)
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	return times[majority(len(times))-1]
}

func majority(of int) int { return of/2 + 1 }

// NeedsRenewal says whether the lease should be renewed in the store, since the
// promises of a majority are missing.
func (s *State) NeedsRenewal(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.epoch == 0 {
		return false
	}
	third := s.timing.Lease / 3
	return now.Sub(s.majorityPromised()) > 3*third/2 && now.Sub(s.renewedAt) > third
}

// nearWitnesses is how many of the witnesses are of the host's own data centre, if
// others can be had. It is less than a majority, so that no lease hangs on one data
// centre and the hosts of one that is lost can be broken by the others. Each of them
// saves the bytes of its heartbeats between data centres: drawn from all, four of five
// were elsewhere.
const nearWitnesses = 2

// ChooseWitnesses gives the witnesses that the own record should name, and whether they
// are others than those it names.
func (s *State) ChooseWitnesses(now time.Time) ([]string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
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

// selectWitnesses keeps the witnesses that answer and fills up with others.
func (s *State) selectWitnesses(now time.Time) []string {
	var wanted []string
	for _, host := range s.witnesses {
		if m, ok := s.members[host]; ok && !m.Broken && now.Sub(s.peerOf(host).promisedAt) < witnessTimeout {
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
	// Hosts that were silent as witnesses come last, before them those near that are
	// too many.
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

// isSilentWitness says that a host is a witness that did not answer lately.
func (s *State) isSilentWitness(host string) bool { return slices.Contains(s.witnesses, host) }
