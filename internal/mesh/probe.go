package mesh

import (
	"context"
	"slices"
	"sync"
	"time"
)

const (
	// probeInterval is the time between two probes of the next host.
	probeInterval = time.Second
	// probeSilence is how long a host may leave probes unanswered before the host after it is
	// probed as well.
	probeSilence = 2 * time.Second
	// silentProbeInterval is the time between two probes of a host that has been silent for long.
	silentProbeInterval = 8 * time.Second
	// probesAtOnce bounds the concurrent probes of a host. Most are answered within
	// milliseconds; only where many neighbours are lost together do probes wait for each other.
	probesAtOnce = 16
	// unansweredLogInterval is the minimum time between two log lines on one silent host.
	unansweredLogInterval = 10 * time.Second
)

// HostsToProbe returns the live hosts that this host should probe: the next one in the order
// of names, and two more after it for each of those that leaves probes unanswered, up to one that
// answers.
//
// A host that is lost together with all its witnesses is missed by nobody else: hosts that are
// no witness of it expect no heartbeats from it. Whoever is lost, the nearest host before it
// that lives probes it, and in calm each host probes one other. Twice as many each time reach
// the end of any row of lost hosts soon.
func (s *State) HostsToProbe(now time.Time) []Peer {
	s.mu.Lock()
	defer s.mu.Unlock()
	hosts := s.currentMembership().hosts
	own, found := slices.BinarySearch(hosts, s.self)
	if !found {
		return nil
	}
	var probed []Peer
	wanted := 1
	for i := 1; i < len(hosts); i++ {
		host := hosts[(own+i)%len(hosts)]
		peer := s.peerOf(host)
		if i > wanted {
			peer.unansweredSince = time.Time{}
			continue
		}
		unanswered := s.unanswered(peer, now)
		if unanswered >= probeSilence {
			wanted += 2
		}
		if unanswered == 0 && now.Sub(peer.answeredAt) < probeSilence {
			wanted = i
		}
		if unanswered < s.timing.breakTimeout() || now.Sub(peer.probedAt) >= silentProbeInterval {
			peer.probedAt = now
			probed = append(probed, Peer{Host: host, Address: s.members[host].Address})
		}
	}
	return probed
}

// unanswered returns for how long a peer has left this host's probes unanswered. The caller holds
// s.mu.
func (s *State) unanswered(peer *peerState, now time.Time) time.Duration {
	if peer.unansweredSince.IsZero() {
		return 0
	}
	return s.running(peer.unansweredSince, now)
}

// ProbeAnswered records that a peer has answered a probe.
func (s *State) ProbeAnswered(host string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	peer := s.peerOf(host)
	peer.unansweredSince, peer.answeredAt = time.Time{}, now
}

// ProbeUnanswered records that a peer did not answer a probe that was sent at a time.
func (s *State) ProbeUnanswered(host string, sent time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if peer := s.peerOf(host); peer.unansweredSince.IsZero() {
		peer.unansweredSince = sent
	}
}

// SilentHost describes a live host that leaves this host's probes unanswered.
type SilentHost struct {
	Host string
	// Silent is for how long it has answered none.
	Silent time.Duration
	// Witnesses is the number of its witnesses, WitnessesGone of those that count as a vote to
	// break its lease, and VotesNeeded the number of votes that breaking takes.
	Witnesses, WitnessesGone, VotesNeeded int
}

// SilentHosts returns the live hosts that have left this host's probes unanswered for longer than
// a host has to be silent before its lease is broken.
func (s *State) SilentHosts(now time.Time) []SilentHost {
	s.mu.Lock()
	defer s.mu.Unlock()
	var silent []SilentHost
	for _, host := range s.currentMembership().hosts {
		unanswered := s.unanswered(s.peerOf(host), now)
		if unanswered < s.timing.breakTimeout() {
			continue
		}
		m := s.members[host]
		described := SilentHost{Host: host, Silent: unanswered, Witnesses: len(m.Witnesses), VotesNeeded: neededVotes(m)}
		for _, witness := range m.Witnesses {
			if s.witnessGone(witness, now) {
				described.WitnessesGone++
			}
		}
		silent = append(silent, described)
	}
	return silent
}

// probeHosts probes hosts, and contests the leases of silent ones, until the context ends.
func (s *Service) probeHosts(ctx context.Context) {
	logged := map[string]time.Time{}
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.probeRound(ctx)
			s.logSilentHosts(logged)
			s.contestSilentHosts(ctx, s.Now())
		}
	}
}

// probeRound probes each host that is due once.
func (s *Service) probeRound(ctx context.Context) {
	var round sync.WaitGroup
	slots := make(chan struct{}, probesAtOnce)
	for _, host := range s.State.HostsToProbe(s.Now()) {
		slots <- struct{}{}
		round.Go(func() {
			defer func() { <-slots }()
			s.probe(ctx, host)
		})
	}
	round.Wait()
}

func (s *Service) probe(ctx context.Context, host Peer) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	sent := s.Now()
	var answer KnownResult
	if err := s.Pool.Call(ctx, host.Address, methodKnown, struct{}{}, &answer); err != nil {
		s.State.ProbeUnanswered(host.Host, sent)
		return
	}
	s.State.ProbeAnswered(host.Host, s.Now())
}

// logSilentHosts logs the hosts that are silent although their leases are not broken.
func (s *Service) logSilentHosts(logged map[string]time.Time) {
	now := s.Now()
	for _, silent := range s.State.SilentHosts(now) {
		if now.Sub(logged[silent.Host]) < unansweredLogInterval {
			continue
		}
		logged[silent.Host] = now
		s.Log.Warn("host does not answer and its lease is not broken", "peer", silent.Host, "silent_ms", silent.Silent.Milliseconds(),
			"witnesses", silent.Witnesses, "witnesses_gone", silent.WitnessesGone, "votes_needed", silent.VotesNeeded,
			"own_lease_ms", s.State.ValidUntil().Sub(now).Milliseconds())
	}
	for host, at := range logged {
		if now.Sub(at) > 2*unansweredLogInterval {
			delete(logged, host)
		}
	}
}
