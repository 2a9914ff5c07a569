// Package membudget bounds the memory that concurrent requests keep for bodies and answers.
//
// Each of them is bounded by itself, but a host has hundreds at a time: without a bound on their sum,
// callers that send long bodies together, or a runner that answers without an end, make the process
// exceed its memory, and every request of the host is lost with it.
package membudget

import (
	"context"
	"io"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
	"golang.org/x/sync/semaphore"
)

const (
	// freeBytes is what each Hold may keep without a reservation, so that usual requests go on while
	// long ones use up the budget.
	freeBytes = 16 << 10
	// minBufferBytes is the size of the first buffer of a read of unknown length.
	minBufferBytes = 4 << 10
)

var (
	// ErrExhausted is returned if the budget has no room.
	ErrExhausted = errors.New("no memory is left for another body")
	// ErrTooLong is returned for more bytes than the reader may have.
	ErrTooLong = errors.New("more bytes than allowed")
)

// Budget is a number of bytes that holds share. It is safe for concurrent use.
type Budget struct {
	room *semaphore.Weighted
	used atomic.Int64
}

// New returns a budget of a number of bytes.
func New(limit int64) *Budget { return &Budget{room: semaphore.NewWeighted(limit)} }

// Used returns the bytes that are reserved.
func (b *Budget) Used() int64 { return b.used.Load() }

// tryReserve reserves bytes if there is room now.
func (b *Budget) tryReserve(bytes int64) bool {
	if !b.room.TryAcquire(bytes) {
		return false
	}
	b.used.Add(bytes)
	return true
}

// awaitRoom reserves bytes once there is room, unless ctx ends before. Who waits is served in turn.
func (b *Budget) awaitRoom(ctx context.Context, bytes int64) bool {
	if b.room.Acquire(ctx, bytes) != nil {
		return false
	}
	b.used.Add(bytes)
	return true
}

func (b *Budget) release(bytes int64) {
	b.used.Add(-bytes)
	b.room.Release(bytes)
}

// Hold is what one request or answer keeps. It is safe for concurrent use. A nil Hold is not bounded.
type Hold struct {
	budget *Budget

	mu       sync.Mutex
	bytes    int64
	reserved int64
	released bool
}

// Hold returns a hold without any bytes. A nil Budget stands for no bound.
func (b *Budget) Hold() *Hold {
	if b == nil {
		return nil
	}
	return &Hold{budget: b}
}

// Grow adds bytes to the hold, and reports whether there was room for them. A released hold has none.
func (h *Hold) Grow(bytes int64) bool {
	if h == nil {
		return true
	}
	return h.grow(bytes, h.budget.tryReserve)
}

func (h *Hold) grow(bytes int64, reserve func(bytes int64) bool) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.released {
		return false
	}
	missing := max(0, h.bytes+bytes-freeBytes) - h.reserved
	if missing > 0 && !reserve(missing) {
		return false
	}
	h.bytes += bytes
	h.reserved += max(0, missing)
	return true
}

// Release returns what the hold has reserved.
func (h *Hold) Release() {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.reserved > 0 {
		h.budget.release(h.reserved)
	}
	h.bytes, h.reserved, h.released = 0, 0, true
}

// ReadAll reads up to limit bytes. The hold grows before each buffer does: by the length at once where
// it is known, so that bodies which are read together do not use up the budget before any is whole. A
// length below 0 is not known.
func ReadAll(r io.Reader, length, limit int64, hold *Hold) ([]byte, error) {
	if length > limit {
		return nil, ErrTooLong
	}
	first := firstBuffer(length, limit)
	if !hold.Grow(first) {
		return nil, ErrExhausted
	}
	return readInto(make([]byte, 0, first), r, limit, hold)
}

// AwaitAll is ReadAll that waits for room until ctx ends, before it reads anything.
func AwaitAll(ctx context.Context, r io.Reader, length, limit int64, hold *Hold) ([]byte, error) {
	if length > limit {
		return nil, ErrTooLong
	}
	first := firstBuffer(length, limit)
	if hold != nil && !hold.grow(first, func(bytes int64) bool { return hold.budget.awaitRoom(ctx, bytes) }) {
		return nil, ErrExhausted
	}
	return readInto(make([]byte, 0, first), r, limit, hold)
}

// firstBuffer returns the size of the first buffer: one byte more than the length, which shows whether the
// reader has ended.
func firstBuffer(length, limit int64) int64 {
	if length < 0 {
		return min(minBufferBytes, limit) + 1
	}
	return length + 1
}

// readInto reads up to limit bytes into a buffer that grows with hold.
func readInto(buffer []byte, r io.Reader, limit int64, hold *Hold) ([]byte, error) {
	for {
		n, err := r.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		switch {
		case int64(len(buffer)) > limit:
			return nil, ErrTooLong
		case err == io.EOF:
			return buffer, nil
		case err != nil:
			return buffer, err
		case len(buffer) < cap(buffer):
			continue
		}
		grown := min(2*int64(cap(buffer)), limit+1)
		if !hold.Grow(grown - int64(cap(buffer))) {
			return nil, ErrExhausted
		}
		buffer = append(make([]byte, 0, grown), buffer...)
	}
}
