package mesh

import (
	"context"
	"time"

	"github.com/cherrystage/cherrystage/internal/peer"
	"github.com/cherrystage/cherrystage/internal/registry"
	"github.com/pkg/errors"
)

// FetchParams asks for the records of a kind: those that changed after a revision, or those
// of the parts whose digests differ from the asker's, or all.
type FetchParams struct {
	Kind  string   `json:"kind"`
	Since uint64   `json:"since,omitempty"`
	Parts []uint64 `json:"parts,omitempty"`
}

func (s *Service) fetchFrom(address, kind string) {
	defer s.spread.fetched(kind)
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	replica := s.Kinds[kind]
	before := replica.Version()
	begun := s.Now()
	err := s.fetchChanges(ctx, address, kind)
	if errors.Is(err, errIncomplete) {
		err = s.fetchParts(ctx, address, kind)
	}
	s.tellFetch(kind, address, before, s.Now().Sub(begun), err)
	if replica.Version().Revision > before.Revision {
		s.Spread()
	}
}

// slowFetch is how long a fetch takes, or how long it was known that there is more, where
// a line about it is worth its bytes.
const slowFetch = 100 * time.Millisecond

// tellFetch logs what became of a fetch: failures and what took long, and the rest where
// everything is logged. Records change several times a second in a busy fleet.
func (s *Service) tellFetch(kind, address string, before registry.Version, took time.Duration, err error) {
	behind := s.spread.behind(kind)
	line := []any{
		"kind", kind, "address", address, "took_ms", took.Milliseconds(), "behind_ms", behind.Milliseconds(),
		"from_revision", before.Revision, "revision", s.Kinds[kind].Revision(), "age_ms", s.spread.age(kind).Milliseconds(),
	}
	s.fetches.Add(1)
	if err != nil {
		s.fetchesFailed.Add(1)
		s.Log.Info("records not fetched from a peer", append(line, "error", err.Error())...)
		return
	}
	s.spread.caughtUp(kind)
	if took >= slowFetch || behind >= slowFetch {
		s.Log.Info("records fetched from a peer", line...)
		return
	}
	s.Log.Debug("records fetched from a peer", line...)
}

// errIncomplete: the peer does not know all that changed, or more differs than that.
var errIncomplete = errors.New("the changes that the peer knows are not all that differs")

// fetchChanges fetches what changed since this host knew all.
func (s *Service) fetchChanges(ctx context.Context, address, kind string) error {
	replica := s.Kinds[kind]
	before := replica.Version()
	if before.Revision == 0 {
		return errIncomplete
	}
	var snapshot registry.Snapshot
	if err := s.Pool.Call(ctx, address, methodFetch, FetchParams{Kind: kind, Since: before.Revision}, &snapshot); err != nil {
		return err
	}
	if snapshot.Since != before.Revision || !replica.MergeSince(snapshot, before) {
		return errIncomplete
	}
	return nil
}

// fetchParts fetches the parts that differ.
func (s *Service) fetchParts(ctx context.Context, address, kind string) error {
	replica := s.Kinds[kind]
	parts, before := replica.Parts()
	var snapshot registry.Snapshot
	if err := s.Pool.Call(ctx, address, methodFetch, FetchParams{Kind: kind, Parts: parts}, &snapshot); err != nil {
		return err
	}
	if snapshot.Revision > before.Revision || snapshot.Parts != nil && snapshot.Revision == before.Revision {
		replica.Merge(snapshot, before)
	}
	return nil
}

func (s *Service) fetch(_ context.Context, _ peer.Identity, params FetchParams) (registry.Snapshot, error) {
	replica := s.Kinds[params.Kind]
	if replica == nil {
		return registry.Snapshot{}, peer.Refuse(errors.Errorf("no records of kind %q are kept", params.Kind))
	}
	if params.Since == 0 {
		return replica.Differing(params.Parts), nil
	}
	// Where the changes are not all known the asker hears so and asks for parts.
	snapshot, _ := replica.ChangedSince(params.Since)
	return snapshot, nil
}
