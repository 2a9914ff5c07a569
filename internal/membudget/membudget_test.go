package membudget

import (
	"bytes"
	"context"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// endless never ends.
type endless struct{}

func (endless) Read(p []byte) (int, error) { return len(p), nil }

// More bodies come at once than there is memory for: as many as fit are read whole, the others are
// refused, and what was reserved is free again afterwards.
func TestBodiesThatComeAtOnceAreBounded(t *testing.T) {
	const length, callers, fit = 4 << 20, 110, 8
	b := New(fit * (length + 1))
	body := strings.Repeat("x", length)
	var group sync.WaitGroup
	var mu sync.Mutex
	whole, refused := 0, 0
	var holds []*Hold
	for range callers {
		group.Go(func() {
			hold := b.Hold()
			read, err := ReadAll(strings.NewReader(body), length, length, hold)
			mu.Lock()
			defer mu.Unlock()
			holds = append(holds, hold)
			if err == nil {
				must.Eq(t, length, len(read))
				whole++
				return
			}
			must.ErrorIs(t, err, ErrExhausted)
			refused++
		})
	}
	group.Wait()
	must.Between(t, fit, whole, fit+1)
	must.Eq(t, callers, whole+refused)
	must.LessEq(t, int64(fit*(length+1)), b.Used())
	for _, hold := range holds {
		hold.Release()
	}
	must.Eq(t, 0, b.Used())
}

// Usual requests go on while long ones use up the budget.
func TestShortBodiesNeedNoRoom(t *testing.T) {
	b := New(freeBytes)
	must.True(t, b.Hold().Grow(2*freeBytes))
	read, err := ReadAll(strings.NewReader("short"), -1, 1<<20, b.Hold())
	must.NoError(t, err)
	must.Eq(t, "short", string(read))
	_, err = ReadAll(endless{}, -1, 1<<20, b.Hold())
	must.ErrorIs(t, err, ErrExhausted)
}

// A body without an end is read up to its bound, and what is kept for it never exceeds that.
func TestEndlessBodyEndsAtItsBound(t *testing.T) {
	const limit = 1 << 20
	b := New(10 * limit)
	hold := b.Hold()
	_, err := ReadAll(endless{}, -1, limit, hold)
	must.ErrorIs(t, err, ErrTooLong)
	must.LessEq(t, int64(limit+1), b.Used())
	hold.Release()
	must.False(t, hold.Grow(1<<20), must.Sprint("what is read after the release is not reserved for good"))
	must.Eq(t, 0, b.Used())
}

// Bodies of any length are read whole, and one that breaks off is reported.
func TestReadAll(t *testing.T) {
	for _, length := range []int{0, 1, minBufferBytes - 1, minBufferBytes, minBufferBytes + 1, 100_000} {
		body := bytes.Repeat([]byte{7}, length)
		for _, known := range []int64{-1, int64(length)} {
			read, err := ReadAll(bytes.NewReader(body), known, 100_000, nil)
			must.NoError(t, err)
			must.SliceLen(t, length, read)
		}
	}
	_, err := ReadAll(io.MultiReader(strings.NewReader("part"), brokenReader{}), -1, 100, nil)
	must.ErrorIs(t, err, io.ErrUnexpectedEOF)
}

type brokenReader struct{}

func (brokenReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// A body that finds no room waits, so that a moment's load costs its caller no refusal.
func TestBodyWaitsForRoom(t *testing.T) {
	const length = 1 << 20
	b := New(length + 1)
	first := b.Hold()
	_, err := ReadAll(strings.NewReader(strings.Repeat("x", length)), length, length, first)
	must.NoError(t, err)
	done := make(chan error)
	go func() {
		_, err := AwaitAll(t.Context(), strings.NewReader(strings.Repeat("y", length)), length, length, b.Hold())
		done <- err
	}()
	select {
	case <-done:
		t.Fatal("read beside the first")
	case <-time.After(50 * time.Millisecond):
	}
	first.Release()
	must.NoError(t, <-done)
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = AwaitAll(ended, strings.NewReader(strings.Repeat("z", length)), length, length, b.Hold())
	must.ErrorIs(t, err, ErrExhausted)
}
