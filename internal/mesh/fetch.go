package mesh

import (
	"context"
	"time"

	"github.com/cherrystage/cherrystage/internal/peer"
	"github.com/cherrystage/cherrystage/internal/registry"
	"github.com/pkg/errors"
)

// fetchTimeout bounds one call of a fetch, which returns an announcement or one piece. A
// slower source is frozen, cut off or overloaded, and the fetch moves on to another.
const fetchTimeout = 500 * time.Millisecond

// FetchParams asks for records of a kind: those changed after a revision of an era, those
// of the parts whose digests differ from Parts, or all.
type FetchParams struct {
	Kind  string       `json:"kind"`
	Since uint64       `json:"since,omitempty"`
	Era   registry.Era `json:"era,omitempty"`
	Parts []uint64     `json:"parts,omitempty"`
	// PartialID is the ID of the archive of which the caller has some pieces, 0 if none.
	PartialID uint64 `json:"begun,omitempty"`
}

// FetchResult returns the records, or announces an archive of them if they exceed
// maxInlineBytes.
type FetchResult struct {
	registry.Snapshot
	Archive *Announcement `json:"parcel,omitempty"`
}

// fetchUntilCurrent fetches a kind of record from one source after the other until no
// known host has a newer version.
//
// When a host fetched from one source only and that source froze, the host waited for a
// timeout of a second and then for the next announcement before it asked another.
func (s *Service) fetchUntilCurrent(kind string) {
	var partial partialArchive
	for {
		source, ok := s.freshness.nextSource(kind)
		if !ok {
			return
		}
		s.fetchFrom(source, kind, &partial)
	}
}

func (s *Service) fetchFrom(address, kind string, partial *partialArchive) {
	replica := s.Kinds[kind]
	before := replica.Version()
	start := s.Now()
	err := s.fetchChanges(address, kind, partial)
	if errors.Is(err, errIncomplete) {
		err = s.fetchParts(address, kind, partial)
	}
	s.logFetch(kind, address, before, s.Now().Sub(start), err)
	s.announceNews(kind)
}

// slowFetch is the duration of a fetch, or of being behind, from which a fetch is logged
// at info level.
const slowFetch = 100 * time.Millisecond

// logFetch logs the outcome of a fetch: failures and slow fetches at info level, others at
// debug level. Records change several times a second in a busy fleet.
func (s *Service) logFetch(kind, address string, before registry.Version, took time.Duration, err error) {
	behind, _ := s.freshness.behind(kind)
	fields := []any{
		"kind", kind, "address", address, "took_ms", took.Milliseconds(), "behind_ms", behind.Milliseconds(),
		"from_revision", before.Revision, "revision", s.Kinds[kind].Revision(), "age_ms", s.freshness.age(kind).Milliseconds(),
	}
	s.fetches.Add(1)
	if err != nil {
		s.fetchesFailed.Add(1)
		s.Log.Info("fetching records from a peer failed", append(fields, "error", err.Error())...)
		return
	}
	if took >= slowFetch || behind >= slowFetch {
		s.Log.Info("records fetched from a peer", fields...)
		return
	}
	s.Log.Debug("records fetched from a peer", fields...)
}

// errIncomplete is returned if the peer's changes do not cover all that differs.
var errIncomplete = errors.New("the peer's changes do not cover all differences")

// fetchChanges fetches the changes since the last complete version. It returns
// errIncomplete if they do not bring this host up to the peer's version.
func (s *Service) fetchChanges(address, kind string, partial *partialArchive) error {
	replica := s.Kinds[kind]
	before := replica.Version()
	if before.Revision == 0 {
		return errIncomplete
	}
	snapshot, err := s.fetchSnapshot(address, FetchParams{Kind: kind, Since: before.Revision, Era: before.Era}, partial)
	if err != nil {
		return err
	}
	if snapshot.Since != before.Revision || !replica.MergeChanges(snapshot, before) {
		return errIncomplete
	}
	return nil
}

// fetchParts fetches the records of the parts that differ.
func (s *Service) fetchParts(address, kind string, partial *partialArchive) error {
	replica := s.Kinds[kind]
	parts, before := replica.Parts()
	snapshot, err := s.fetchSnapshot(address, FetchParams{Kind: kind, Parts: parts}, partial)
	if err != nil {
		return err
	}
	if before.Before(snapshot.Position) || snapshot.Parts != nil && snapshot.Position == before.Position {
		replica.MergeParts(snapshot, before)
	}
	return nil
}

// fetchSnapshot fetches records from a host, piece by piece if it announces an archive.
func (s *Service) fetchSnapshot(address string, params FetchParams, partial *partialArchive) (registry.Snapshot, error) {
	var result FetchResult
	params.PartialID = partial.archive.ID
	if err := s.callSource(address, methodFetch, params, &result); err != nil {
		return registry.Snapshot{}, err
	}
	if result.Archive == nil {
		return result.Snapshot, nil
	}
	partial.start(*result.Archive)
	if len(partial.data) == 0 {
		partial.data = result.Archive.First
	}
	for !partial.complete() {
		var piece PieceResult
		if err := s.callSource(address, methodPiece, partial.nextPiece(), &piece); err != nil {
			return registry.Snapshot{}, err
		}
		if err := partial.add(piece.Data); err != nil {
			return registry.Snapshot{}, err
		}
	}
	records, err := inflate(partial.data)
	*partial = partialArchive{}
	result.Snapshot.Records = records
	return result.Snapshot, err
}

func (s *Service) callSource(address, method string, params, result any) error {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	return s.Pool.Call(ctx, address, method, params, result)
}

// partialArchive is the part of an archive fetched so far. It is kept when a source fails,
// so that bytes already received over a slow link are not sent again.
type partialArchive struct {
	archive Archive
	data    []byte
}

// start resumes the announced archive, or starts over if it is another one.
func (p *partialArchive) start(announced Announcement) {
	if p.archive != announced.Archive {
		*p = partialArchive{archive: announced.Archive}
	}
}

func (p *partialArchive) complete() bool { return len(p.data) >= p.archive.Bytes }

func (p *partialArchive) nextPiece() PieceParams {
	return PieceParams{ID: p.archive.ID, Offset: len(p.data)}
}

func (p *partialArchive) add(data []byte) error {
	if len(data) == 0 {
		return errors.New("the peer returned an empty piece")
	}
	p.data = append(p.data, data...)
	return nil
}

func (s *Service) handleFetch(_ context.Context, _ peer.Identity, params FetchParams) (FetchResult, error) {
	replica := s.Kinds[params.Kind]
	if replica == nil {
		return FetchResult{}, peer.NewRefusal(errors.Errorf("no records of kind %q are kept", params.Kind))
	}
	var snapshot registry.Snapshot
	if params.Since == 0 {
		snapshot = replica.DifferingParts(params.Parts)
	} else {
		// If the changes are not all known, the result says so and the caller asks for
		// parts.
		snapshot, _ = replica.ChangedSince(registry.Position{Era: params.Era, Revision: params.Since})
	}
	if !exceedsInline(snapshot.Records) {
		return FetchResult{Snapshot: snapshot}, nil
	}
	archive, err := s.archives.announce(params.Kind, snapshot.Records, params.PartialID)
	if err != nil {
		return FetchResult{}, peer.NewRefusal(err)
	}
	snapshot.Records = nil
	return FetchResult{Snapshot: snapshot, Archive: archive}, nil
}

func (s *Service) handlePiece(_ context.Context, _ peer.Identity, params PieceParams) (PieceResult, error) {
	data, ok := s.archives.piece(params)
	if !ok {
		return PieceResult{}, peer.NewRefusal(errors.New("no such piece is kept"))
	}
	return PieceResult{Data: data}, nil
}
