package mesh

import (
	"bytes"
	"cmp"
	"compress/flate"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cherrystage/cherrystage/internal/registry"
	"github.com/pkg/errors"
)

const (
	// maxInlineBytes is the size of records up to which they are sent as they are. A message
	// of this size takes 7 ms of a link of 10 Mbit/s.
	maxInlineBytes = 8 << 10
	// pieceBytes is the size of a piece, 18 ms of a link of 10 Mbit/s as it is sent: what
	// waits behind it on the link, heartbeats among it, keeps its own time limit.
	pieceBytes = 16 << 10
	// maxArchives, maxParcelBytes and parcelLife bound what is kept packed for hosts that
	// fetch it: a parcel for each of those that hear of a change from this host, who may each
	// lack something else.
	maxArchives      = 32
	maxArchiveBytes  = 2 << 20
	archiveRetention = 10 * time.Second
	// maxUnpackedBytes bounds what a host makes of another's parcel.
	maxUnpackedBytes = 64 << 20
)

// Archive announces records that are fetched in pieces.
type Archive struct {
	// ID names the packed bytes: two hosts that hold the same records give the same bytes
	// under the same ID, so that a fetch that one of them left unfinished goes on at the
	// other.
	ID uint64 `json:"id"`
	// Bytes is the size of all pieces together.
	Bytes int `json:"bytes"`
}

// Announcement is a parcel with its first piece, which is left out for a host that has begun
// to fetch the parcel.
type Announcement struct {
	Archive
	First []byte `json:"first,omitempty"`
}

// PieceParams asks for a piece of a parcel.
type PieceParams struct {
	ID     uint64 `json:"id"`
	Offset int    `json:"offset"`
}

// PieceResult is a piece of a parcel.
type PieceResult struct {
	Data []byte `json:"data"`
}

// archiveCache keeps packed records for the hosts that fetch them. It is safe for concurrent
// use.
type archiveCache struct {
	now func() time.Time

	mu       sync.Mutex
	archives []*cachedArchive
}

type cachedArchive struct {
	id   uint64
	used time.Time
	// size is that of data once it is packed, and is the parcels' to set.
	size int
	once sync.Once
	data []byte
	err  error
}

// exceedsInline says whether records are too many to be sent as they are.
func exceedsInline(records []registry.Record) bool {
	bytes := 0
	for _, record := range records {
		bytes += len(record.Name) + len(record.Spec)
	}
	return bytes > maxInlineBytes
}

// pack keeps records and announces them.
func (p *archiveCache) pack(kind string, records []registry.Record) (Archive, error) {
	slices.SortFunc(records, func(a, b registry.Record) int { return cmp.Compare(a.Name, b.Name) })
	parcel := p.getOrAdd(archiveID(kind, records))
	parcel.once.Do(func() { parcel.data, parcel.err = deflate(records) })
	p.evict(parcel)
	return Archive{ID: parcel.id, Bytes: len(parcel.data)}, parcel.err
}

// announce packs records for a host that has begun to fetch the parcel with an ID, 0 for one
// that has not.
func (p *archiveCache) announce(kind string, records []registry.Record, begun uint64) (*Announcement, error) {
	parcel, err := p.pack(kind, records)
	if err != nil {
		return nil, err
	}
	announced := &Announcement{Archive: parcel}
	if parcel.ID != begun {
		announced.First, _ = p.piece(PieceParams{ID: parcel.ID})
	}
	return announced, nil
}

// evict drops the parcels that were asked for longest ago, but not the one given.
func (p *archiveCache) evict(latest *cachedArchive) {
	p.mu.Lock()
	defer p.mu.Unlock()
	bytes := 0
	for _, kept := range p.archives {
		bytes += kept.size
	}
	if latest.size == 0 {
		latest.size = len(latest.data)
		bytes += latest.size
	}
	for len(p.archives) > maxArchives || bytes > maxArchiveBytes {
		oldest := slices.MinFunc(p.archives, func(a, b *cachedArchive) int { return a.used.Compare(b.used) })
		if oldest == latest {
			return
		}
		bytes -= oldest.size
		p.archives = slices.DeleteFunc(p.archives, func(kept *cachedArchive) bool { return kept == oldest })
	}
}

// archiveID tells records apart by all that is packed of them.
func archiveID(kind string, records []registry.Record) uint64 {
	digest := xxhash.New()
	_, _ = fmt.Fprint(digest, kind)
	for _, record := range records {
		_, _ = fmt.Fprintf(digest, "\x00%s\x00%d\x00%d\x00", record.Name, record.Revision, len(record.Spec))
		_, _ = digest.Write(record.Spec)
	}
	return digest.Sum64()
}

// getOrAdd gives the parcel with an ID, a new one where there is none.
func (p *archiveCache) getOrAdd(id uint64) *cachedArchive {
	p.mu.Lock()
	defer p.mu.Unlock()
	if parcel := p.lookup(id); parcel != nil {
		return parcel
	}
	parcel := &cachedArchive{id: id, used: p.now()}
	p.archives = append(p.archives, parcel)
	return parcel
}

// lookup gives a parcel, and drops those that nobody has asked for lately; the lock is held.
func (p *archiveCache) lookup(id uint64) *cachedArchive {
	now := p.now()
	p.archives = slices.DeleteFunc(p.archives, func(kept *cachedArchive) bool { return now.Sub(kept.used) > archiveRetention })
	for _, kept := range p.archives {
		if kept.id == id {
			kept.used = now
			return kept
		}
	}
	return nil
}

// piece gives a piece of a parcel, and whether the parcel is kept.
func (p *archiveCache) piece(params PieceParams) ([]byte, bool) {
	p.mu.Lock()
	parcel := p.lookup(params.ID)
	p.mu.Unlock()
	if parcel == nil || params.Offset < 0 || params.Offset > len(parcel.data) {
		return nil, false
	}
	return parcel.data[params.Offset:min(len(parcel.data), params.Offset+pieceBytes)], true
}

// deflate packs records: configurations of many routes shrink to a tenth and less.
func deflate(records []registry.Record) ([]byte, error) {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "pack records")
	}
	if err := json.NewEncoder(w).Encode(records); err != nil {
		return nil, errors.Wrap(err, "pack records")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "pack records")
	}
	return out.Bytes(), nil
}

// inflate unpacks records.
func inflate(data []byte) ([]registry.Record, error) {
	r := flate.NewReader(bytes.NewReader(data))
	text, err := io.ReadAll(io.LimitReader(r, maxUnpackedBytes))
	if err != nil {
		return nil, errors.Wrap(err, "unpack records")
	}
	var records []registry.Record
	err = json.Unmarshal(text, &records)
	return records, errors.Wrap(err, "unpack records")
}
