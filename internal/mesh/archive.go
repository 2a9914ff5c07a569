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
	// maxInlineBytes is the size up to which records are sent inline. A message of this
	// size takes 7 ms on a 10 Mbit/s link.
	maxInlineBytes = 8 << 10
	// pieceBytes is the size of a piece, which takes 18 ms on a 10 Mbit/s link as encoded.
	// Messages queued behind it, such as heartbeats, still meet their timeouts.
	pieceBytes = 16 << 10
	// maxArchives, maxArchiveBytes and archiveRetention bound the cache. It needs an
	// archive for each host that learns of a change from this one, since each may lack
	// something else.
	maxArchives      = 32
	maxArchiveBytes  = 2 << 20
	archiveRetention = 10 * time.Second
	// maxUnpackedBytes bounds the unpacked size of a received archive.
	maxUnpackedBytes = 64 << 20
)

// Archive identifies packed records that are fetched in pieces.
type Archive struct {
	// ID identifies the packed bytes. Hosts that hold the same records produce the same
	// bytes under the same ID, so that a fetch interrupted at one host can resume at
	// another.
	ID uint64 `json:"id"`
	// Bytes is the total size of all pieces.
	Bytes int `json:"bytes"`
}

// Announcement announces an archive with its first piece, which is omitted if the caller
// already has a part of that archive.
type Announcement struct {
	Archive
	First []byte `json:"first,omitempty"`
}

// PieceParams asks for a piece of an archive.
type PieceParams struct {
	ID     uint64 `json:"id"`
	Offset int    `json:"offset"`
}

// PieceResult is a piece of an archive.
type PieceResult struct {
	Data []byte `json:"data"`
}

// archiveCache keeps packed records for the hosts that fetch them. It is safe for
// concurrent use.
type archiveCache struct {
	now func() time.Time

	mu       sync.Mutex
	archives []*cachedArchive
}

type cachedArchive struct {
	id   uint64
	used time.Time
	// size is the length of data once it is packed. It is set under the cache's lock.
	size int
	once sync.Once
	data []byte
	err  error
}

// exceedsInline reports whether records are too large to be sent inline.
func exceedsInline(records []registry.Record) bool {
	bytes := 0
	for _, record := range records {
		bytes += len(record.Name) + len(record.Spec)
	}
	return bytes > maxInlineBytes
}

// pack packs records and keeps the archive.
func (c *archiveCache) pack(kind string, records []registry.Record) (Archive, error) {
	slices.SortFunc(records, func(a, b registry.Record) int { return cmp.Compare(a.Name, b.Name) })
	archive := c.getOrAdd(archiveID(kind, records))
	archive.once.Do(func() { archive.data, archive.err = deflate(records) })
	c.evict(archive)
	return Archive{ID: archive.id, Bytes: len(archive.data)}, archive.err
}

// announce packs records and announces the archive, with the first piece unless the caller
// has begun to fetch that archive. partialID is 0 if the caller has none.
func (c *archiveCache) announce(kind string, records []registry.Record, partialID uint64) (*Announcement, error) {
	archive, err := c.pack(kind, records)
	if err != nil {
		return nil, err
	}
	announcement := &Announcement{Archive: archive}
	if archive.ID != partialID {
		announcement.First, _ = c.piece(PieceParams{ID: archive.ID})
	}
	return announcement, nil
}

// evict drops the least recently used archives, but not the latest one.
func (c *archiveCache) evict(latest *cachedArchive) {
	c.mu.Lock()
	defer c.mu.Unlock()
	bytes := 0
	for _, archive := range c.archives {
		bytes += archive.size
	}
	if latest.size == 0 {
		latest.size = len(latest.data)
		bytes += latest.size
	}
	for len(c.archives) > maxArchives || bytes > maxArchiveBytes {
		oldest := slices.MinFunc(c.archives, func(a, b *cachedArchive) int { return a.used.Compare(b.used) })
		if oldest == latest {
			return
		}
		bytes -= oldest.size
		c.archives = slices.DeleteFunc(c.archives, func(archive *cachedArchive) bool { return archive == oldest })
	}
}

// archiveID returns a hash of everything that is packed of the records.
func archiveID(kind string, records []registry.Record) uint64 {
	digest := xxhash.New()
	_, _ = fmt.Fprint(digest, kind)
	for _, record := range records {
		_, _ = fmt.Fprintf(digest, "\x00%s\x00%d\x00%d\x00", record.Name, record.Revision, len(record.Spec))
		_, _ = digest.Write(record.Spec)
	}
	return digest.Sum64()
}

// getOrAdd returns the archive with an ID and adds an empty one if there is none.
func (c *archiveCache) getOrAdd(id uint64) *cachedArchive {
	c.mu.Lock()
	defer c.mu.Unlock()
	if archive := c.lookup(id); archive != nil {
		return archive
	}
	archive := &cachedArchive{id: id, used: c.now()}
	c.archives = append(c.archives, archive)
	return archive
}

// lookup returns the archive with an ID, or nil, and drops expired archives. The caller
// holds p.mu.
func (c *archiveCache) lookup(id uint64) *cachedArchive {
	now := c.now()
	c.archives = slices.DeleteFunc(c.archives, func(archive *cachedArchive) bool { return now.Sub(archive.used) > archiveRetention })
	for _, archive := range c.archives {
		if archive.id == id {
			archive.used = now
			return archive
		}
	}
	return nil
}

// piece returns a piece of an archive and whether the cache has it.
func (c *archiveCache) piece(params PieceParams) ([]byte, bool) {
	c.mu.Lock()
	archive := c.lookup(params.ID)
	c.mu.Unlock()
	if archive == nil || params.Offset < 0 || params.Offset > len(archive.data) {
		return nil, false
	}
	return archive.data[params.Offset:min(len(archive.data), params.Offset+pieceBytes)], true
}

// deflate packs records. Configurations with many routes shrink to a tenth or less.
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
