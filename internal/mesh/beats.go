package mesh

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cherrystage/cherrystage/internal/peer"
	"github.com/pkg/errors"
)

const (
	// heartbeatInterval is the time between heartbeats to a witness: three a second
	// to five witnesses cost a host about half a percent of a core, however
	// large the fleet is. In a large fleet what they say matters less to each
	// host, while their bytes are a third of all that goes between data centres;
	// three in a lease still bear two losses.
	heartbeatInterval  = 300 * time.Millisecond
	largeFleetInterval = 450 * time.Millisecond
	largeFleet         = 20
	// heartbeatTimeout bounds a heartbeat; a connection that did not answer by then
	// may have gone silent for good and is replaced.
	heartbeatTimeout = 400 * time.Millisecond
)

// Heartbeat is a heartbeat.
type Heartbeat struct {
	Address string `json:"address"`
	// SentMS is when it was sent by the sender's clock, which may differ from others' by any
	// time.
	SentMS int64 `json:"sent_ms"`
	// Known tells what the sender knows of each kind of record, by kind.
	Known map[string]KnownVersion `json:"known,omitempty"`
	// Status is what the sender tells of its runners and requests.
	Status json.RawMessage `json:"status,omitempty"`
}

// HeartbeatResult answers a heartbeat.
type HeartbeatResult struct {
	// Promised: the lease will not be broken with this host's vote before a
	// lease, the gap and a margin have passed.
	Promised bool `json:"promised,omitempty"`
	// Known tells what the sender of the heartbeat lacks.
	Known  map[string]KnownVersion `json:"known,omitempty"`
	Status json.RawMessage         `json:"status,omitempty"`
}

// heartbeatSender sends the heartbeats to one witness.
type heartbeatSender struct {
	host    string
	stop    context.CancelFunc
	trigger chan struct{}
}

// updateSenders starts and stops beaters.
func (s *Service) updateSenders(ctx context.Context) {
	wanted := map[string]bool{}
	for _, witness := range s.State.Witnesses() {
		wanted[witness.Host] = true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for host := range wanted {
		if s.senders[host] != nil {
			continue
		}
		ctx, cancel := context.WithCancel(ctx)
		b := &heartbeatSender{host: host, stop: cancel, trigger: make(chan struct{}, 1)}
		s.senders[host] = b
		go s.sendHeartbeats(ctx, b)
	}
	for host, b := range s.senders {
		if !wanted[host] {
			b.stop()
			delete(s.senders, host)
		}
	}
}

// HeartbeatNow sends heartbeats at once, since something changed that others should
// know.
func (s *Service) HeartbeatNow() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, b := range s.senders {
		select {
		case b.trigger <- struct{}{}:
		default:
		}
	}
}

func (s *Service) sendHeartbeats(ctx context.Context, b *heartbeatSender) {
	silent := false
	for ctx.Err() == nil {
		err := s.sendHeartbeat(ctx, b.host)
		if ctx.Err() == nil && (err != nil) != silent {
			silent = err != nil
			s.logPeerState(b.host, silent, err)
		}
		b.pause(ctx, s.interval())
	}
}

func (s *Service) interval() time.Duration {
	if s.State.Size() > largeFleet {
		return largeFleetInterval
	}
	return heartbeatInterval
}

func (b *heartbeatSender) pause(ctx context.Context, interval time.Duration) {
	timer := time.NewTimer(interval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-b.trigger:
	}
}

func (s *Service) logPeerState(host string, silent bool, err error) {
	if silent {
		s.Log.Warn("dependency lost", "dependency", "peer", "peer", host, "error", err.Error())
		return
	}
	s.Log.Info("dependency regained", "dependency", "peer", "peer", host)
}

func (s *Service) sendHeartbeat(ctx context.Context, host string) error {
	address, ok := s.State.AddressOf(host)
	if !ok {
		return errors.Errorf("the address of %s is not known", host)
	}
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	sent := s.Now()
	beat := Heartbeat{Address: s.Address, SentMS: sent.UnixMilli(), Known: s.freshness.known(), Status: s.status()}
	var answer HeartbeatResult
	if err := s.Pool.Call(ctx, address, methodHeartbeat, beat, &answer); err != nil {
		return err
	}
	if answer.Promised {
		s.State.PromiseReceived(host, sent)
	}
	// What the peer knew is at least as old as the question.
	s.learn(host, address, answer.Known, answer.Status, sent)
	return nil
}

func (s *Service) status() json.RawMessage {
	encoded, err := json.Marshal(s.Statuses.Status())
	if err != nil {
		s.Log.Error("status not encoded", "error", err.Error())
		return nil
	}
	return encoded
}

func (s *Service) handleHeartbeat(_ context.Context, from peer.Identity, beat Heartbeat) (HeartbeatResult, error) {
	now := s.Now()
	promised := s.State.ReceiveHeartbeat(from.Host, beat.Known[Kind].Era, now)
	s.learn(from.Host, beat.Address, beat.Known, beat.Status, now.Add(-s.delays.estimate(from.Host, beat.SentMS, now)))
	return HeartbeatResult{Promised: promised, Known: s.freshness.newsFor(beat.Known), Status: s.status()}, nil
}

// learn takes over what a peer knew at a moment, and fetches what it is ahead in.
func (s *Service) learn(host, address string, known map[string]KnownVersion, status json.RawMessage, moment time.Time) {
	s.freshness.noteContact()
	for _, kind := range s.freshness.learn(address, known, moment) {
		go s.fetchUntilCurrent(kind)
	}
	if len(status) > 0 {
		s.Statuses.ReceiveStatus(host, status)
	}
}

// Confirmed notes that a kind's replica has everything up to a moment, by the store's own
// word.
func (s *Service) Confirmed(kind string, asOf time.Time) { s.freshness.confirm(kind, asOf) }

// ListedStale notes that a kind's replica was listed from a copy of the store.
func (s *Service) ListedStale(kind string) { s.freshness.listedStale(kind) }

// Age gives how old what is known of a kind of record may be.
func (s *Service) Age(kind string) time.Duration { return s.freshness.age(kind) }

// WatchDelay gives how long this host may leave a kind of record to the hosts that
// watch it: not at all if it is one of them, and else until what it knows
// is older than a limit, or until it has known for a while that there is more.
//
// The limit and the longest turn bound, for every host and whatever others tell or fail to
// tell it, how old what it goes by may be before it asks the store itself.
func (s *Service) WatchDelay(kind string, limit time.Duration) time.Duration {
	turn := s.State.FallbackTurn(kind)
	if turn == 0 {
		return 0
	}
	due := limit - s.freshness.ageForFallback(kind)
	if s.freshness.silence() > contactTimeout {
		return due
	}
	due += fallbackDelay(turn)
	if behind, isBehind := s.freshness.behind(kind); isBehind {
		return min(due, behindTimeout-behind)
	}
	return due
}
