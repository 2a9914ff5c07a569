package mesh

import (
	"context"
	"time"

	"github.com/cherrystage/cherrystage/internal/peer"
)

// WatchParams tells the second host that watches a kind of record that the first begins a watch
// of WaitMS milliseconds.
type WatchParams struct {
	Kind   string `json:"kind"`
	WaitMS int64  `json:"wait_ms"`
}

// WatchBegins records that this host begins to watch a kind of record for at most wait. If it is
// the first host that watches the kind, it tells the second, whose next watch begins in the middle
// of this one.
//
// A change ends the watches of both hosts, so they would begin together from then on. A watch that
// reports nothing of a change would then delay it by its whole wait, whichever host asks first
// afterwards.
func (s *Service) WatchBegins(kind string, wait time.Duration) {
	second, ok := s.State.SecondWatcher(kind)
	if !ok {
		return
	}
	go s.tellWatch(second, WatchParams{Kind: kind, WaitMS: wait.Milliseconds()})
}

func (s *Service) tellWatch(second Peer, params WatchParams) {
	ctx, cancel := context.WithTimeout(context.Background(), heartbeatTimeout)
	defer cancel()
	var none struct{}
	if err := s.Pool.Call(ctx, second.Address, methodWatch, params, &none); err != nil {
		s.Log.Debug("telling the other watching host of a watch failed", "peer", second.Host, "kind", params.Kind, "error", err.Error())
	}
}

func (s *Service) handleWatchBegins(_ context.Context, _ peer.Identity, params WatchParams) (struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.Kinds[params.Kind] != nil {
		s.nextWatch[params.Kind] = s.Now().Add(min(time.Duration(params.WaitMS)*time.Millisecond, maxWatchWait) / 2)
	}
	return struct{}{}, nil
}

// maxWatchWait bounds the wait that another host tells.
const maxWatchWait = 2 * time.Second

// untilWatch returns the time until this host's next watch of a kind is due.
func (s *Service) untilWatch(kind string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(0, s.nextWatch[kind].Sub(s.Now()))
}
