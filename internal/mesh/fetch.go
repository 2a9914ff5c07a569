package mesh

import (
	"context"
	"time"

	"github.com/cherrystage/cherrystage/internal/peer"
	"github.com/cherrystage/cherrystage/internal/registry"
	"github.com/pkg/errors"
)

// fetchTimeout bounds one call of a fetch: an announcement, or a piece of what is fetched.
// A source that takes longer is frozen, cut off or much asked; another one goes on.
const fetchTimeout = 500 * time.Millisecond

// FetchParams asks for the records of a kind: those that changed after a revision of an era,
// or those of the parts whose digests differ from the asker's, or all.
type FetchParams struct {
	Kind  string       `json:"kind"`
	Since uint64       `json:"since,omitempty"`
	Era   registry.Era `json:"era,omitempty"`
	Parts []uint64     `json:"parts,omitempty"`
	// PartialID is the ID of the parcel of which the asker has some pieces, 0 without any.
	PartialID uint64 `json:"begun,omitempty"`
}

// FetchResult gives the records, or announces them where they are many.
type FetchResult struct {
	registry.Snapshot
	Archive *Announcement `json:"parcel,omitempty"`
}

// fetchUntilCurrent fetches a kind of record until no host is known that has more, from one source
// after the other.
//
// Tied to one source, a host whose source froze waited out a second, and then until it was
// told again, before it asked another.
func (s *Service) fetchUntilCurrent(kind string) {
	var left partialArchive
	for {
		source, ok := s.freshness.nextSource(kind)
		if !ok {
			return
		}
		s.fetchFrom(source, kind, &left)
	}
}

func (s *Service) fetchFrom(address, kind string, left *partialArchive) {
	replica := s.Kinds[kind]
	before := replica.Version()
	begun := s.Now()
	err := s.fetchChanges(address, kind, left)
	if errors.Is(err, errIncomplete) {
		err = s.fetchParts(address, kind, left)
	}
	s.logFetch(kind, address, before, s.Now().Sub(begun), err)
	if before.Before(replica.Position()) {
		s.HeartbeatNow()
	}
}

// slowFetch is how long a fetch takes, or how long it was known that there is more, where
// a line about it is worth its bytes.
const slowFetch = 100 * time.Millisecond

// logFetch logs what became of a fetch: failures and what took long, and the rest where
// everything is logged. Records change several times a second in a busy fleet.
func (s *Service) logFetch(kind, address string, before registry.Version, took time.Duration, err error) {
	behind, _ := s.freshness.behind(kind)
	line := []any{
		"kind", kind, "address", address, "took_ms", took.Milliseconds(), "behind_ms", behind.Milliseconds(),
		"from_revision", before.Revision, "revision", s.Kinds[kind].Revision(), "age_ms", s.freshness.age(kind).Milliseconds(),
	}
	s.fetches.Add(1)
	if err != nil {
		s.fetchesFailed.Add(1)
		s.Log.Info("records not fetched from a peer", append(line, "error", err.Error())...)
		return
	}
	if took >= slowFetch || behind >= slowFetch {
		s.Log.Info("records fetched from a peer", line...)
		return
	}
	s.Log.Debug("records fetched from a peer", line...)
}

// errIncomplete: the peer does not know all that changed, or more differs than that.
var errIncomplete = errors.New("the changes that the peer knows are not all that differs")

// fetchChanges fetches what changed since this host knew all.
func (s *Service) fetchChanges(address, kind string, left *partialArchive) error {
	replica := s.Kinds[kind]
	before := replica.Version()
	if before.Revision == 0 {
		return errIncomplete
	}
	snapshot, err := s.fetchSnapshot(address, FetchParams{Kind: kind, Since: before.Revision, Era: before.Era}, left)
	if err != nil {
		return err
	}
	if snapshot.Since != before.Revision || !replica.MergeChanges(snapshot, before) {
		return errIncomplete
	}
	return nil
}

// fetchParts fetches the parts that differ.
func (s *Service) fetchParts(address, kind string, left *partialArchive) error {
	replica := s.Kinds[kind]
	parts, before := replica.Parts()
	snapshot, err := s.fetchSnapshot(address, FetchParams{Kind: kind, Parts: parts}, left)
	if err != nil {
		return err
	}
	if before.Before(snapshot.Position) || snapshot.Parts != nil && snapshot.Position == before.Position {
		replica.MergeParts(snapshot, before)
	}
	return nil
}

// fetchSnapshot asks a host and fetches the pieces of what it announces.
func (s *Service) fetchSnapshot(address string, params FetchParams, left *partialArchive) (registry.Snapshot, error) {
	var result FetchResult
	params.PartialID = left.archive.ID
	if err := s.callSource(address, methodFetch, params, &result); err != nil {
		return registry.Snapshot{}, err
	}
	if result.Archive == nil {
		return result.Snapshot, nil
	}
	left.start(*result.Archive)
	if len(left.data) == 0 {
		left.data = result.Archive.First
	}
	for !left.complete() {
		var piece PieceResult
		if err := s.callSource(address, methodPiece, left.nextPiece(), &piece); err != nil {
			return registry.Snapshot{}, err
		}
		if err := left.add(piece.Data); err != nil {
			return registry.Snapshot{}, err
		}
	}
	records, err := inflate(left.data)
	*left = partialArchive{}
	result.Snapshot.Records = records
	return result.Snapshot, err
}

func (s *Service) callSource(address, method string, params, result any) error {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	return s.Pool.Call(ctx, address, method, params, result)
}

// partialArchive is what a fetch has of a parcel. It outlives a source that fails: what has
// come over a thin link is not sent again.
type partialArchive struct {
	archive Archive
	data    []byte
}

// start goes on with a parcel, or begins another one.
func (u *partialArchive) start(announced Announcement) {
	if u.archive != announced.Archive {
		*u = partialArchive{archive: announced.Archive}
	}
}

func (u *partialArchive) complete() bool { return len(u.data) >= u.archive.Bytes }

func (u *partialArchive) nextPiece() PieceParams {
	return PieceParams{ID: u.archive.ID, Offset: len(u.data)}
}

func (u *partialArchive) add(data []byte) error {
	if len(data) == 0 {
		return errors.New("the peer gave an empty piece")
	}
	u.data = append(u.data, data...)
	return nil
}

func (s *Service) handleFetch(_ context.Context, _ peer.Identity, params FetchParams) (FetchResult, error) {
	replica := s.Kinds[params.Kind]
	if replica == nil {
		return FetchResult{}, peer.Refuse(errors.Errorf("no records of kind %q are kept", params.Kind))
	}
	var snapshot registry.Snapshot
	if params.Since == 0 {
		snapshot = replica.DifferingParts(params.Parts)
	} else {
		// Where the changes are not all known the asker hears so and asks for parts.
		snapshot, _ = replica.ChangedSince(registry.Position{Era: params.Era, Revision: params.Since})
	}
	if !exceedsInline(snapshot.Records) {
		return FetchResult{Snapshot: snapshot}, nil
	}
	parcel, err := s.archives.announce(params.Kind, snapshot.Records, params.PartialID)
	if err != nil {
		return FetchResult{}, peer.Refuse(err)
	}
	snapshot.Records = nil
	return FetchResult{Snapshot: snapshot, Archive: parcel}, nil
}

func (s *Service) handlePiece(_ context.Context, _ peer.Identity, params PieceParams) (PieceResult, error) {
	data, ok := s.archives.piece(params)
	if !ok {
		return PieceResult{}, peer.Refuse(errors.New("no such piece is kept"))
	}
	return PieceResult{Data: data}, nil
}
