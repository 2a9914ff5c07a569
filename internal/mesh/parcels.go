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
	// inlineBytes is the size of records up to which they are sent as they are. A message
	// of this size takes 7 ms of a link of 10 Mbit/s.
	inlineBytes = 8 << 10
	// pieceBytes is the size of a piece, 18 ms of a link of 10 Mbit/s as it is sent: what
	// waits behind it on the link, heartbeats among it, keeps its own time limit.
	pieceBytes = 16 << 10
	// maxParcels, maxParcelBytes and parcelLife bound what is kept packed for hosts that
	// fetch it: a parcel for each of those that hear of a change from this host, who may each
	// lack something else.
	maxParcels     = 32
	maxParcelBytes = 2 << 20
	parcelLife     = 10 * time.Second
	// maxUnpackedBytes bounds what a host makes of another's parcel.
	maxUnpackedBytes = 64 << 20
)

// Parcel announces records that are fetched in pieces.
type Parcel struct {
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
	Parcel
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

// parcels keeps packed records for the hosts that fetch them. It is safe for concurrent
// use.
type parcels struct {
	now func() time.Time

	mu   sync.Mutex
	kept []*packed
}

type packed struct {
	id   uint64
	used time.Time
	// size is that of data once it is packed, and is the parcels' to set.
	size int
	once sync.Once
	data []byte
	err  error
}

// large says whether records are too many to be sent as they are.
func large(records []registry.Record) bool {
	bytes := 0
	for _, record := range records {
		bytes += len(record.Name) + len(record.Spec)
	}
	return bytes > inlineBytes
}

// pack keeps records and announces them.
func (p *parcels) pack(kind string, records []registry.Record) (Parcel, error) {
	slices.SortFunc(records, func(a, b registry.Record) int { return cmp.Compare(a.Name, b.Name) })
	parcel := p.keep(parcelID(kind, records))
	parcel.once.Do(func() { parcel.data, parcel.err = deflate(records) })
	p.bound(parcel)
	return Parcel{ID: parcel.id, Bytes: len(parcel.data)}, parcel.err
}

// announce packs records for a host that has begun to fetch the parcel with an ID, 0 for one
// that has not.
func (p *parcels) announce(kind string, records []registry.Record, begun uint64) (*Announcement, error) {
	parcel, err := p.pack(kind, records)
	if err != nil {
		return nil, err
	}
	announced := &Announcement{Parcel: parcel}
	if parcel.ID != begun {
		announced.First, _ = p.piece(PieceParams{ID: parcel.ID})
	}
	return announced, nil
}

// bound drops the parcels that were asked for longest ago, but not the one given.
func (p *parcels) bound(latest *packed) {
	p.mu.Lock()
	defer p.mu.Unlock()
	bytes := 0
	for _, kept := range p.kept {
		bytes += kept.size
	}
	if latest.size == 0 {
		latest.size = len(latest.data)
		bytes += latest.size
	}
	for len(p.kept) > maxParcels || bytes > maxParcelBytes {
		oldest := slices.MinFunc(p.kept, func(a, b *packed) int { return a.used.Compare(b.used) })
		if oldest == latest {
			return
		}
		bytes -= oldest.size
		p.kept = slices.DeleteFunc(p.kept, func(kept *packed) bool { return kept == oldest })
	}
}

// parcelID tells records apart by all that is packed of them.
func parcelID(kind string, records []registry.Record) uint64 {
	digest := xxhash.New()
	_, _ = fmt.Fprint(digest, kind)
	for _, record := range records {
		_, _ = fmt.Fprintf(digest, "\x00%s\x00%d\x00%d\x00", record.Name, record.Revision, len(record.Spec))
		_, _ = digest.Write(record.Spec)
	}
	return digest.Sum64()
}

// keep gives the parcel with an ID, a new one where there is none.
func (p *parcels) keep(id uint64) *packed {
	p.mu.Lock()
	defer p.mu.Unlock()
	if parcel := p.find(id); parcel != nil {
		return parcel
	}
	parcel := &packed{id: id, used: p.now()}
	p.kept = append(p.kept, parcel)
	return parcel
}

// find gives a parcel, and drops those that nobody has asked for lately; the lock is held.
func (p *parcels) find(id uint64) *packed {
	now := p.now()
	p.kept = slices.DeleteFunc(p.kept, func(kept *packed) bool { return now.Sub(kept.used) > parcelLife })
	for _, kept := range p.kept {
		if kept.id == id {
			kept.used = now
			return kept
		}
	}
	return nil
}

// piece gives a piece of a parcel, and whether the parcel is kept.
func (p *parcels) piece(params PieceParams) ([]byte, bool) {
	p.mu.Lock()
	parcel := p.find(params.ID)
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
