package configsync

import (
	"context"
	"sync"

	"github.com/cherrystage/cherrystage/internal/configlog"
	"github.com/cherrystage/cherrystage/internal/fleet"
	"github.com/cherrystage/cherrystage/internal/inventory"
	"github.com/cherrystage/cherrystage/internal/peer"
	"github.com/pkg/errors"
)

type partParams struct {
	// Revision is zero for the first part. Later parts repeat the revision of the first
	// answer.
	Revision inventory.Revision `json:"revision"`
	Index    int                `json:"index"`
}

type partResult struct {
	Revision inventory.Revision `json:"revision"`
	Count    int                `json:"count"`
	Data     []byte             `json:"data"`
}

// partCache caches the encoded parts of the snapshot that was last asked for, so that many
// new hosts cost one encoding.
type partCache struct {
	mu       sync.Mutex
	revision inventory.Revision
	parts    [][]byte
}

func (c *partCache) get(snapshot *inventory.Snapshot, p partParams) (partResult, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p.Index == 0 && c.revision != snapshot.Revision() {
		parts, err := configlog.EncodeChunks(snapshot)
		if err != nil {
			return partResult{}, err
		}
		c.revision, c.parts = snapshot.Revision(), parts
	}
	if (p.Index > 0 && p.Revision != c.revision) || p.Index < 0 || p.Index >= len(c.parts) {
		return partResult{}, peer.NewRefusal(errors.Errorf("no part %d of revision %d", p.Index, p.Revision))
	}
	return partResult{Revision: c.revision, Count: len(c.parts), Data: c.parts[p.Index]}, nil
}

// pullAllParts fetches a peer's whole inventory, part by part.
func (s *Service) pullAllParts(ctx context.Context, member fleet.Member) error {
	var parts [][]byte
	var params partParams
	var revision inventory.Revision
	for {
		part, err := s.pullPart(ctx, member, params)
		if err != nil {
			return err
		}
		parts = append(parts, part.Data)
		revision = part.Revision
		if len(parts) == part.Count {
			break
		}
		params = partParams{Revision: part.Revision, Index: len(parts)}
	}
	snapshot, err := configlog.DecodeChunks(revision, parts)
	if err != nil {
		return err
	}
	s.adopt(snapshot, nil, "peer "+member.Host)
	return nil
}

func (s *Service) pullPart(ctx context.Context, member fleet.Member, params partParams) (partResult, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var part partResult
	err := s.peers.Call(ctx, member.Address, methodPart, params, &part)
	return part, err
}
