package configlog

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"github.com/cherrystage/cherrystage/internal/inventory"
	"github.com/cherrystage/cherrystage/internal/objectapi"
	"github.com/pkg/errors"
)

// EncodeChunks encodes a snapshot as documents of bounded size.
func EncodeChunks(snapshot *inventory.Snapshot) ([][]byte, error) {
	rest := snapshot.Document()
	adapters := rest.Adapters
	rest.Adapters = nil
	first, err := json.Marshal(rest)
	if err != nil {
		return nil, errors.Wrap(err, "encode inventory")
	}
	chunks := [][]byte{first}
	for len(adapters) > 0 {
		n, err := countFitting(adapters)
		if err != nil {
			return nil, err
		}
		part, err := json.Marshal(inventory.Document{Adapters: adapters[:n]})
		if err != nil {
			return nil, errors.Wrap(err, "encode inventory")
		}
		chunks = append(chunks, part)
		adapters = adapters[n:]
	}
	return chunks, nil
}

// countFitting returns how many of the adapters fit into one chunk, at least one.
func countFitting(adapters []inventory.Adapter) (int, error) {
	size := 0
	for i, adapter := range adapters {
		text, err := json.Marshal(adapter)
		if err != nil {
			return 0, errors.Wrap(err, "encode adapter")
		}
		size += len(text) + 1
		if size > maxChunkBytes && i > 0 {
			return i, nil
		}
	}
	return len(adapters), nil
}

// DecodeChunks decodes a snapshot from its chunks.
func DecodeChunks(revision inventory.Revision, chunks [][]byte) (*inventory.Snapshot, error) {
	var ops []inventory.Op
	for _, chunk := range chunks {
		var part inventory.Document
		if err := json.Unmarshal(chunk, &part); err != nil {
			return nil, errors.Wrap(err, "decode chunk")
		}
		ops = append(ops, inventory.Diff(inventory.Empty(), part)...)
	}
	if revision == 0 {
		return inventory.Empty(), nil
	}
	return inventory.Empty().Apply(revision, ops)
}

// writeChunks stores a snapshot and returns the names of its chunks. A chunk is
// named by the digest of its content, so writing it twice, or again after a lost
// response, is harmless.
func (p *Publisher) writeChunks(ctx context.Context, snapshot *inventory.Snapshot) ([]string, error) {
	chunks, err := EncodeChunks(snapshot)
	if err != nil {
		return nil, err
	}
	var names []string
	for _, chunk := range chunks {
		digest := sha256.Sum256(chunk)
		name := hex.EncodeToString(digest[:])
		if err := p.createImmutable(ctx, chunkPrefix+name, chunk); err != nil {
			return nil, err
		}
		names = append(names, name)
	}
	return names, nil
}

// createImmutable writes an object that is either absent or already the same.
func (p *Publisher) createImmutable(ctx context.Context, key string, value []byte) error {
	var err error
	for range maxPutAttempts {
		_, err = p.objects.Put(ctx, key, value, 0)
		if err == nil || errors.Is(err, objectapi.ErrConflict) {
			return nil
		}
		if !errors.Is(err, objectapi.ErrAnswerLost) {
			return err
		}
	}
	return err
}
