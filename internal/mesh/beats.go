package mesh

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cherrystage/cherrystage/internal/peer"
	"github.com/pkg/errors"
)

const (
	// beatInterval is the time between heartbeats to a witness: three a second
	// to five witnesses cost a host about half a percent of a core, however
	// large the fleet is. In a large fleet what they say matters less to each
	// host, while their bytes are a third of all that goes between data centres;
	// three in a lease still bear two losses.
	beatInterval      = 300 * time.Millisecond
	largeBeatInterval = 450 * time.Millisecond
	largeFleet        = 20
	// beatTimeout bounds a heartbeat; a connection that did not answer by then
	// may have gone silent for good and is replaced.
	beatTimeout = 400 * time.Millisecond
)

// Beat is a heartbeat.
type Beat struct {
	Address string `json:"address"`
	// SentMS is when it was sent by the sender's clock, which may differ from others' by any
	// time.
	SentMS int64 `json:"sent_ms"`
	// Known tells what the sender knows of each kind of record, by kind.
	Known map[string]Known `json:"known,omitempty"`
	// Status is what the sender tells of its runners and requests.
	Status json.RawMessage `json:"status,omitempty"`
}

// BeatAnswer answers a heartbeat.
type BeatAnswer struct {
	// Promised: the lease will not be broken with this host's vote before a
	// lease, the gap and a margin have passed.
	Promised bool `json:"promised,omitempty"`
	// Known tells what the sender of the heartbeat lacks.
	Known  map[string]Known `json:"known,omitempty"`
	Status json.RawMessage  `json:"status,omitempty"`
}

// beater sends the heartbeats to one witness.
type beater struct {
	host string
	stop context.CancelFunc
	now  chan struct{}
}

// beatWitnesses starts and stops beaters.
func (s *Service) beatWitnesses(ctx context.Context) {
	wanted := map[string]bool{}
	for _, witness := range s.State.Witnesses() {
		wanted[witness.Host] = true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for host := range wanted {
		if s.beating[host] != nil {
			continue
		}
		ctx, cancel := context.WithCancel(ctx)
		b := &beater{host: host, stop: cancel, now: make(chan struct{}, 1)}
		s.beating[host] = b
		go s.beatLoop(ctx, b)
	}
	for host, b := range s.beating {
		if !wanted[host] {
			b.stop()
			delete(s.beating, host)
		}
	}
}

// HeartbeatNow sends heartbeats at once, since something changed that others should
// know.
func (s *Service) HeartbeatNow() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, b := range s.beating {
		select {
		case b.now <- struct{}{}:
		default:
		}
	}
}

func (s *Service) beatLoop(ctx context.Context, b *beater) {
	silent := false
	for ctx.Err() == nil {
		err := s.beat(ctx, b.host)
		if ctx.Err() == nil && (err != nil) != silent {
			silent = err != nil
			s.tellSilence(b.host, silent, err)
		}
		b.pause(ctx, s.interval())
	}
}

func (s *Service) interval() time.Duration {
	if s.State.Size() > largeFleet {
		return largeBeatInterval
	}
	return beatInterval
}

func (b *beater) pause(ctx context.Context, interval time.Duration) {
	timer := time.NewTimer(interval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-b.now:
	}
}

func (s *Service) tellSilence(host string, silent bool, err error) {
	if silent {
		s.Log.Warn("dependency lost", "dependency", "peer", "peer", host, "error", err.Error())
		return
	}
	s.Log.Info("dependency regained", "dependency", "peer", "peer", host)
}

func (s *Service) beat(ctx context.Context, host string) error {
	address, ok := s.State.AddressOf(host)
	if !ok {
		return errors.Errorf("the address of %s is not known", host)
	}
	ctx, cancel := context.WithTimeout(ctx, beatTimeout)
	defer cancel()
	sent := s.Now()
	beat := Beat{Address: s.Address, SentMS: sent.UnixMilli(), Known: s.spread.known(), Status: s.status()}
	var answer BeatAnswer
	if err := s.Pool.Call(ctx, address, methodBeat, beat, &answer); err != nil {
		return err
	}
	if answer.Promised {
		s.State.Promised(host, sent)
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

func (s *Service) takeBeat(_ context.Context, from peer.Identity, beat Beat) (BeatAnswer, error) {
	now := s.Now()
	promised := s.State.TakeBeat(from.Host, beat.Known[Kind].Era, now)
	s.learn(from.Host, beat.Address, beat.Known, beat.Status, now.Add(-s.delays.of(from.Host, beat.SentMS, now)))
	return BeatAnswer{Promised: promised, Known: s.spread.lacking(beat.Known), Status: s.status()}, nil
}

// learn takes over what a peer knew at a moment, and fetches what it is ahead in.
func (s *Service) learn(host, address string, known map[string]Known, status json.RawMessage, moment time.Time) {
	s.spread.heard()
	for _, kind := range s.spread.learn(address, known, moment) {
		go s.pursue(kind)
	}
	if len(status) > 0 {
		s.Statuses.ReceiveStatus(host, status)
	}
}

// Confirmed notes that a kind's replica has everything up to a moment, by the store's own
// word.
func (s *Service) Confirmed(kind string, asOf time.Time) { s.spread.confirmed(kind, asOf) }

// ListedStale notes that a kind's replica was listed from a copy of the store.
func (s *Service) ListedStale(kind string) { s.spread.copied(kind) }

// Age gives how old what is known of a kind of record may be.
func (s *Service) Age(kind string) time.Duration { return s.spread.age(kind) }

// WatchDelay gives how long this host may leave a kind of record to the hosts that
// watch it: not at all if it is one of them, and else until what it knows
// is older than a limit, or until it has known for a while that there is more.
//
// The limit and the longest turn bound, for every host and whatever others tell or fail to
// tell it, how old what it goes by may be before it asks the store itself.
func (s *Service) WatchDelay(kind string, limit time.Duration) time.Duration {
	turn := s.State.Turn(kind)
	if turn == 0 {
		return 0
	}
	due := limit - s.spread.patienceAge(kind)
	if s.spread.silence() > heardLately {
		return due
	}
	due += waitForTurn(turn)
	if behind, lacks := s.spread.behind(kind); lacks {
		return min(due, behindPatience-behind)
	}
	return due
}
