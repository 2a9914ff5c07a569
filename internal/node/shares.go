package node

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/cherrystage/cherrystage/internal/loading"
	"github.com/cherrystage/cherrystage/internal/objectapi"
	"github.com/pkg/errors"
)

const (
	shareInterval = 2 * time.Second
	// shareRefresh is the time after which the claims are read again although
	// the members are the same: what is read when nothing changes must not grow
	// with the fleet.
	shareRefresh = 30 * time.Second
)

// shareClaims is what the loop that claims shares remembers.
type shareClaims struct {
	members []string
	readAt  time.Time
}

// due says whether the claims must be looked at.
func (s *shareClaims) due(members []string, now time.Time) bool {
	return !slices.Equal(members, s.members) || now.Sub(s.readAt) >= shareRefresh
}

func (n *Node) shareOwner() loading.Owner {
	return loading.Owner{Host: n.self.Host, Incarnation: n.self.Incarnation}
}

// claimShares brings this host's claim on the weight store's allowance to its
// part. While the object API is away the shares stay as they are.
func (n *Node) claimShares(ctx context.Context) {
	n.mu.Lock()
	draining := n.draining
	n.mu.Unlock()
	if draining {
		return
	}
	members := n.candidates(time.Now())
	if !n.claimed.due(members, time.Now()) {
		return
	}
	claims, version, err := n.readShares(ctx)
	if err != nil {
		return
	}
	next, changed := claims.Claim(n.shareOwner(), n.cfg.Loads.Shares, len(members), func(owner loading.Owner) bool {
		return n.processEnded(ctx, owner)
	})
	if changed && n.writeShares(ctx, next, version) != nil {
		return
	}
	own := next.Count(n.shareOwner())
	n.allowance.SetOwn(own, version == 0, time.Now())
	if !changed && next.Settled(members) {
		n.claimed = shareClaims{members: members, readAt: time.Now()}
	}
}

// processEnded says whether a process is proven over: its host is gone from
// the list, or its lease has ended.
func (n *Node) processEnded(ctx context.Context, owner loading.Owner) bool {
	if n.hosts.Removed(owner.Host) {
		return true
	}
	if n.members.Alive(owner.Host, time.Now()) {
		member, _ := n.members.Get(owner.Host)
		return member.Incarnation != owner.Incarnation
	}
	return n.controller.Ended(ctx, owner.Host, owner.Incarnation)
}

// releaseShares gives this host's shares back at a planned stop.
func (n *Node) releaseShares(ctx context.Context) {
	n.allowance.SetOwn(0, true, time.Now())
	claims, version, err := n.readShares(ctx)
	if err != nil {
		return
	}
	if err := n.writeShares(ctx, claims.Release(n.shareOwner()), version); err != nil {
		n.log.Debug("shares not released; they are free once this host's lease has ended", "error", err)
	}
}

func (n *Node) readShares(ctx context.Context) (loading.Claims, objectapi.Version, error) {
	object, err := n.objects.Get(ctx, loading.SharesKey)
	if errors.Is(err, objectapi.ErrNotFound) {
		return loading.Claims{}, 0, nil
	}
	if err != nil {
		return loading.Claims{}, 0, err
	}
	var claims loading.Claims
	err = json.Unmarshal(object.Value, &claims)
	return claims, object.Version, errors.Wrap(err, "decode shares")
}

func (n *Node) writeShares(ctx context.Context, claims loading.Claims, version objectapi.Version) error {
	text, err := json.Marshal(claims)
	if err != nil {
		return errors.Wrap(err, "encode shares")
	}
	_, err = n.objects.Put(ctx, loading.SharesKey, text, version)
	return err
}
