package mesh

import (
	"context"
	"time"

	"github.com/cherrystage/cherrystage/internal/peer"
)

// News tells a host which versions another host has.
type News struct {
	Address string                  `json:"address"`
	Known   map[string]KnownVersion `json:"known"`
}

// announceNews tells the witnesses and the next host at once if the records of a kind have
// changed since the last time.
//
// If a host left what it learns from the store to its next heartbeat, a change that its watch
// reports late would reach callers of other hosts half a second later still.
func (s *Service) announceNews(kind string) {
	if !s.freshness.takeNews(kind) {
		return
	}
	s.HeartbeatNow()
	select {
	case s.news <- struct{}{}:
	default:
	}
}

// tellNextHost tells the next host in the order of names of each change, until the context
// ends.
//
// Hosts that join late are witnesses of nobody, as the others keep theirs. They would learn of
// a change only from the answers to their own heartbeats, half a second after all others. Every
// host is the next one of some host.
func (s *Service) tellNextHost(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.news:
			s.sendNews(ctx)
		}
	}
}

func (s *Service) sendNews(ctx context.Context) {
	next, ok := s.State.NextHost()
	if !ok || s.hasSender(next.Host) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	var none struct{}
	if err := s.Pool.Call(ctx, next.Address, methodNews, News{Address: s.Address, Known: s.freshness.known()}, &none); err != nil {
		s.Log.Debug("telling the next host of changes failed", "peer", next.Host, "error", err.Error())
	}
}

// hasSender reports whether heartbeats are sent to a host.
func (s *Service) hasSender(host string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.senders[host] != nil
}

// handleNews fetches what the sender has in advance. Its versions confirm nothing: unlike the
// delay of heartbeats, that of rare messages cannot be estimated.
func (s *Service) handleNews(_ context.Context, from peer.Identity, news News) (struct{}, error) {
	s.learn(from.Host, news.Address, news.Known, nil, time.Time{})
	return struct{}{}, nil
}
