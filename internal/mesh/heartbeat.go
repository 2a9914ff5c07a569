package mesh

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cherrystage/cherrystage/internal/peer"
	"github.com/cherrystage/cherrystage/internal/registry"
	"github.com/pkg/errors"
)

const (
	// heartbeatInterval is the time between heartbeats to a witness. Three a second to
	// five witnesses cost a host about half a percent of a core, whatever the size of the
	// fleet. Above largeFleet hosts the interval is longer: heartbeats then make up a
	// third of all bytes between data centres, and each one matters less. Three of them in
	// a lease still tolerate two losses.
	heartbeatInterval  = 300 * time.Millisecond
	largeFleetInterval = 450 * time.Millisecond
	largeFleet         = 20
	// heartbeatTimeout bounds a heartbeat call. A connection without an answer by then may
	// be dead and is replaced.
	heartbeatTimeout = 400 * time.Millisecond
)

// Heartbeat is the request that a host sends to its witnesses.
type Heartbeat struct {
	Address string `json:"address"`
	// SentMS is the send time in Unix milliseconds by the sender's clock, which may be off
	// by any amount.
	SentMS int64 `json:"sent_ms"`
	// RecordRevision is the revision of the sender's record. It is sent only if the witness
	// did not promise last time, since the witness may not know the record yet.
	RecordRevision uint64 `json:"record_revision,omitempty"`
	// NoLease reports that the sender cannot hold a lease and asks for no promise.
	NoLease bool `json:"no_lease,omitempty"`
	// Known is the sender's version of each kind of record, by kind.
	Known map[string]KnownVersion `json:"known,omitempty"`
	// Status describes the sender's runners and requests.
	Status json.RawMessage `json:"status,omitempty"`
}

// HeartbeatResult is the answer to a Heartbeat.
type HeartbeatResult struct {
	// Promised reports that the witness will not vote to break the sender's lease before a
	// lease, the order gap and a margin have passed.
	Promised bool `json:"promised,omitempty"`
	// Presumed reports that it would promise but for its own long time without news from the store.
	Presumed bool `json:"presumed,omitempty"`
	// Renew reports that the witness promises only for a newer record of the sender.
	Renew bool `json:"renew,omitempty"`
	// Known holds the kinds of record of which the answering host has newer versions.
	Known  map[string]KnownVersion `json:"known,omitempty"`
	Status json.RawMessage         `json:"status,omitempty"`
}

// heartbeatSender sends heartbeats to one witness.
type heartbeatSender struct {
	host    string
	stop    context.CancelFunc
	trigger chan struct{}
	// promised reports whether the last answer was a promise. Only the goroutine that sends
	// uses it.
	promised bool
}

// updateSenders starts senders for new witnesses and stops those of former ones.
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
		sender := &heartbeatSender{host: host, stop: cancel, trigger: make(chan struct{}, 1)}
		s.senders[host] = sender
		go s.sendHeartbeats(ctx, sender)
	}
	for host, sender := range s.senders {
		if !wanted[host] {
			sender.stop()
			delete(s.senders, host)
		}
	}
}

// HeartbeatNow sends heartbeats at once instead of after the interval, because something
// changed that other hosts should know.
func (s *Service) HeartbeatNow() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, sender := range s.senders {
		select {
		case sender.trigger <- struct{}{}:
		default:
		}
	}
}

func (s *Service) sendHeartbeats(ctx context.Context, sender *heartbeatSender) {
	silent := false
	for ctx.Err() == nil {
		err := s.sendHeartbeat(ctx, sender)
		if ctx.Err() == nil && (err != nil) != silent {
			silent = err != nil
			s.logPeerState(sender.host, silent, err)
		}
		sender.pause(ctx, s.interval())
	}
}

func (s *Service) interval() time.Duration {
	if s.State.Size() > largeFleet {
		return largeFleetInterval
	}
	return heartbeatInterval
}

func (h *heartbeatSender) pause(ctx context.Context, interval time.Duration) {
	timer := time.NewTimer(interval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-h.trigger:
	}
}

func (s *Service) logPeerState(host string, silent bool, err error) {
	if silent {
		s.Log.Warn("dependency lost", "dependency", "peer", "peer", host, "error", err.Error())
		return
	}
	s.Log.Info("dependency regained", "dependency", "peer", "peer", host)
}

func (s *Service) sendHeartbeat(ctx context.Context, sender *heartbeatSender) error {
	host := sender.host
	address, ok := s.State.AddressOf(host)
	if !ok {
		return errors.Errorf("no address known for host %s", host)
	}
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	sent := s.Now()
	heartbeat := Heartbeat{Address: s.Address, SentMS: sent.UnixMilli(), NoLease: !s.State.WantsPromises(sent), Known: s.freshness.known(), Status: s.status()}
	if !sender.promised {
		heartbeat.RecordRevision = s.ownRecordRevision(heartbeat.Known[Kind].Era)
	}
	var answer HeartbeatResult
	if err := s.Pool.Call(ctx, address, methodHeartbeat, heartbeat, &answer); err != nil {
		return err
	}
	sender.promised = answer.Promised
	if answer.Promised {
		s.State.PromiseReceived(host, sent)
	}
	if answer.Presumed {
		s.State.PresumedReceived(host, sent)
	}
	if answer.Renew {
		s.State.RenewalRequested(sent)
	}
	// The answer reflects what the peer knew no earlier than when the call was sent.
	s.learn(host, address, answer.Known, answer.Status, sent)
	return nil
}

// ownRecordRevision returns the revision of this host's record as known in an era, 0 if there
// is none or its lease was broken.
func (s *Service) ownRecordRevision(era registry.Era) uint64 {
	record, _ := s.fleet.Get(hostRecordName(s.Self.Host))
	_, own, ok := decodeHost(record)
	if !ok || own.Broken || s.fleet.Position().Era != era {
		return 0
	}
	return record.Revision
}

func (s *Service) status() json.RawMessage {
	encoded, err := json.Marshal(s.Statuses.Status())
	if err != nil {
		s.Log.Error("encoding status failed", "error", err.Error())
		return nil
	}
	return encoded
}

func (s *Service) handleHeartbeat(_ context.Context, from peer.Identity, heartbeat Heartbeat) (HeartbeatResult, error) {
	now := s.Now()
	var answer WitnessAnswer
	if heartbeat.NoLease {
		s.State.ReceiveLeaselessHeartbeat(from.Host, now)
	} else {
		record := registry.Position{Era: heartbeat.Known[Kind].Era, Revision: heartbeat.RecordRevision}
		answer = s.State.ReceiveHeartbeat(from.Host, record, now)
	}
	s.learn(from.Host, heartbeat.Address, heartbeat.Known, heartbeat.Status, now.Add(-s.delays.estimate(from.Host, heartbeat.SentMS, now)))
	return HeartbeatResult{Promised: answer.Promised, Presumed: answer.Presumed && !answer.Promised, Renew: answer.Renew, Known: s.freshness.newsFor(heartbeat.Known), Status: s.status()}, nil
}

// learn merges what a peer knew at the given time and fetches the kinds in which it is ahead.
func (s *Service) learn(host, address string, known map[string]KnownVersion, status json.RawMessage, moment time.Time) {
	s.freshness.noteContact()
	for _, kind := range s.freshness.learn(address, known, moment) {
		go s.fetchUntilCurrent(kind)
	}
	s.noteStoreSeen()
	if len(status) > 0 {
		s.Statuses.ReceiveStatus(host, status, moment)
	}
}

// Confirmed records that, according to the store, a kind's replica is complete up to asOf.
func (s *Service) Confirmed(kind string, asOf time.Time) {
	s.freshness.confirm(kind, asOf)
	s.noteStoreSeen()
	s.announceNews(kind)
}

// ListedStale records that a kind's replica was listed from a stale copy of the store.
func (s *Service) ListedStale(kind string) { s.freshness.listedStale(kind) }

// Age returns the greatest possible age of this host's records of a kind.
func (s *Service) Age(kind string) time.Duration { return s.freshness.age(kind) }

// WatchDelay returns how long this host may rely on the watching hosts before it asks the
// store for a kind of record itself. On a watching host it lasts until its turn to watch. On
// others it lasts until the local records are older than limit plus the delay of the host's
// fallback turn, or until the host has known for behindTimeout that newer ones exist.
//
// So, whatever its peers send or fail to send, a host asks the store at the latest when its
// records are older than limit plus the delay of the last turn.
func (s *Service) WatchDelay(kind string, limit time.Duration) time.Duration {
	turn := s.State.FallbackTurn(kind)
	if turn == 0 {
		return s.untilWatch(kind)
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
