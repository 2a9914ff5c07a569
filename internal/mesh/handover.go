package mesh

import (
	"context"
	"time"

	"github.com/cherrystage/cherrystage/internal/objectapi"
	"github.com/cherrystage/cherrystage/internal/registry"
	"github.com/pkg/errors"
)

// cutOffDelay is how long a host without runners reaches none before its record says so.
const cutOffDelay = time.Second

// handover is the state of a host that reaches none of the runners it owns and gives up its
// claims, so that hosts that reach the runners can claim them.
//
// Such a host is reached by the store and its witnesses, so its lease would never be broken and
// its runners would get no orders for as long as it is cut off. It first stops ordering for the
// order gap and then writes its record with the next epoch, which ends all its claims: whoever
// claims the runners afterwards orders at least the gap later.
type handover struct {
	// quietSince is when this host stopped ordering, zero while it may order.
	quietSince time.Time
	// attemptedAt is when the next epoch was first sent to the store in a write whose outcome
	// is not known, zero if there is none. From then on the host must not order under the
	// present epoch again.
	attemptedAt time.Time
	// cutOff is set while this host should claim no runners, because it does not reach them.
	cutOff bool
}

// SetReach tells whether this host reaches the runners that it owns. If it reaches none, it
// stops ordering at once; if it reaches them again before its claims have ended, it goes on.
func (s *State) SetReach(reaches bool, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case !reaches && s.handover.quietSince.IsZero():
		s.handover.quietSince = now
	case !reaches:
		if !s.ownsAny() && now.Sub(s.handover.quietSince) >= cutOffDelay {
			s.handover.cutOff = true
		}
	case reaches && s.handover.attemptedAt.IsZero():
		s.handover = handover{}
	case reaches:
		s.handover.cutOff = false
	}
}

// HandoverDue reports whether this host should end its claims: it owns runners and has not
// ordered any for the order gap.
func (s *State) HandoverDue(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.handover
	if s.epoch == 0 || h.quietSince.IsZero() || now.Sub(h.quietSince) < s.timing.OrderGap+s.timing.Margin {
		return false
	}
	return !h.attemptedAt.IsZero() || s.ownsAny()
}

// untilHandover returns the time until this host should end its claims, or most if that is
// earlier.
func (s *State) untilHandover(now time.Time, most time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.handover.quietSince.IsZero() {
		return most
	}
	left := s.handover.quietSince.Add(s.timing.OrderGap + s.timing.Margin).Sub(now)
	if left <= 0 {
		return most
	}
	return min(left, most)
}

// ownsAny reports whether this host has a claim in force. The caller holds s.mu.
func (s *State) ownsAny() bool {
	for _, o := range s.owners {
		if o.Host == s.self && o.Epoch == s.epoch {
			return true
		}
	}
	return false
}

// OwnedAddresses returns those of the runners that this host owns.
func (s *State) OwnedAddresses(runners []Runner) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var owned []string
	for _, runner := range runners {
		if o, found := s.owners[ownerRecordName(runner.Address)]; found && o.Host == s.self && o.Epoch == s.epoch && s.epoch != 0 {
			owned = append(owned, runner.Address)
		}
	}
	return owned
}

// HandoverAttempted records that the next epoch is about to be sent to the store.
func (s *State) HandoverAttempted(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.handover.attemptedAt.IsZero() {
		s.handover.attemptedAt = now
	}
	s.handover.cutOff = true
}

// isQuiet reports whether this host must not order because it hands its runners over. The
// caller holds s.mu.
func (s *State) isQuiet() bool { return !s.handover.quietSince.IsZero() }

// IsCutOff reports whether this host's record should say that it reaches no runners.
func (s *State) IsCutOff() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.handover.cutOff
}

// handOver writes this host's record with the next epoch, which ends its claims.
func (s *Service) handOver(ctx context.Context) {
	current, ok := s.fleet.Get(hostRecordName(s.Self.Host))
	if !ok {
		s.rereadOwnRecord(ctx)
		return
	}
	_, m, ok := decodeHost(current)
	if !ok || m.Broken || m.Epoch < s.State.Epoch() {
		s.rereadOwnRecord(ctx)
		return
	}
	own := m.HostRecord
	if own.Epoch == s.State.Epoch() {
		own.Epoch++
	}
	own.CutOff, own.Contested = true, false
	own.Renewals++
	sent := s.Now()
	s.State.HandoverAttempted(sent)
	record, err := s.Store.Update(ctx, Kind, current.Name, own, current.Revision)
	switch {
	case err == nil && s.applyRecord(record):
		s.storeBackoff = 0
		s.State.Registered(own.Epoch, own.Witnesses, sent)
		s.HeartbeatNow()
		s.Log.Warn("runners handed over: this host reaches none of them", "epoch", own.Epoch, "revision", record.Revision)
		return
	case registry.IsConflict(err), registry.IsNotFound(err), errors.Is(err, objectapi.ErrAnswerLost):
		s.rereadOwnRecord(ctx)
	case err != nil:
		s.Log.Info("handing runners over failed", "error", err.Error())
	}
	s.backOffStore()
}
