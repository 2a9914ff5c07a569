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
	// shareRefreshInterval is the interval at which the claims are read if the members have not
	// changed. It keeps the reads from growing with the fleet.
	shareRefreshInterval = 30 * time.Second
)

// shareClaimState is the state of the loop that claims shares.
type shareClaimState struct {
	members []string
	readAt  time.Time
}

// due reports whether the claims must be read.
func (s *shareClaimState) due(members []string, now time.Time) bool {
	return !slices.Equal(members, s.members) || now.Sub(s.readAt) >= shareRefreshInterval
}

func (n *Node) shareOwner() loading.Owner {
	return loading.Owner{Host: n.self.Host, Incarnation: n.self.Incarnation}
}

// claimShares claims this host's shares of the load rate that the weight store allows. The
// shares remain as they are while the object API is unavailable.
func (n *Node) claimShares(ctx context.Context) {
	n.mu.Lock()
	draining := n.draining
	n.mu.Unlock()
	if draining {
		return
	}
	members := n.candidates(time.Now())
	if !n.shareState.due(members, time.Now()) {
		return
	}
	shares, version, err := n.readShares(ctx)
	if err != nil {
		return
	}
	next, changed := shares.Claim(n.shareOwner(), n.cfg.Loads.Shares, len(members), func(owner loading.Owner) bool {
		return n.processEnded(ctx, owner)
	})
	if changed && n.writeShares(ctx, next, version) != nil {
		return
	}
	own := next.Count(n.shareOwner())
	// Version 0 means that no host has claimed shares before.
	n.allowance.SetOwnShares(own, version == 0, time.Now())
	if !changed && next.AllOwnedBy(members) {
		n.shareState = shareClaimState{members: members, readAt: time.Now()}
	}
}

// processEnded reports whether a process has certainly ended: its host was removed from the
// list, runs another incarnation, or it released its lease.
//
// A broken lease is not enough. A host that is cut off from the object API and its peers may
// still reach the weight store and loads on, as it must while the object API is away for all.
// If others claimed its shares, the fleet would load faster than the weight store allows.
func (n *Node) processEnded(ctx context.Context, owner loading.Owner) bool {
	if n.hosts.Removed(owner.Host) {
		return true
	}
	if n.members.Alive(owner.Host, time.Now()) {
		member, _ := n.members.Get(owner.Host)
		return member.Incarnation != owner.Incarnation
	}
	return n.controller.ProcessEnded(ctx, owner.Host, owner.Incarnation)
}

// releaseShares releases this host's shares during a planned stop.
func (n *Node) releaseShares(ctx context.Context) {
	n.allowance.SetOwnShares(0, true, time.Now())
	shares, version, err := n.readShares(ctx)
	if err != nil {
		return
	}
	if err := n.writeShares(ctx, shares.Release(n.shareOwner()), version); err != nil {
		n.log.Debug("cannot release shares; they become free with the release of this host's lease", "error", err)
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
	var shares loading.Claims
	err = json.Unmarshal(object.Value, &shares)
	return shares, object.Version, errors.Wrap(err, "decode shares")
}

func (n *Node) writeShares(ctx context.Context, shares loading.Claims, version objectapi.Version) error {
	encoded, err := json.Marshal(shares)
	if err != nil {
		return errors.Wrap(err, "encode shares")
	}
	_, err = n.objects.Put(ctx, loading.SharesKey, encoded, version)
	return err
}
